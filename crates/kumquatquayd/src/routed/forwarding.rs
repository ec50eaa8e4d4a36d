//! Carries a call from its entry to a backend server.

use std::{borrow::Cow, cell::Cell, net::SocketAddr, pin::pin, rc::Rc, sync::Arc, time::Duration};

use kumquatquay_core::routed::{EndpointResult, Mechanism, PickedEndpoint, RouteEntry};
use kumquatquay_wire::{
    BackendLife, ServiceName,
    routed::{
        CallHead, LinkOutcome, NotRunReason, Payload, Priority, Repeat, RouteVersion,
        UnknownReason, WorkspaceSettings,
    },
};

use super::{
    link::{link_silence, send_call},
    link_answer::{LinkAnswer, MayHaveRun},
    local_run::run_locally,
    node::RoutedNode,
};

/// Nodes that are asked for room for one call, at most. A refusal there costs a
/// round trip and no run.
const ASKED_LIMIT_COUNT: usize = 4;

/// Pause before a call looks again for a backend server that takes it.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// Time that is kept for the answer to come back.
const ANSWER_TIME: Duration = Duration::from_millis(12);

/// Time from the deadline in which no further attempt is begun.
const LAST_ATTEMPT: Duration = Duration::from_millis(18);

/// Mean times to run a call, and the least time, after which an attempt without an
/// answer is taken to hang. A call waits for two of them at a gate, and the longest of
/// a hundred runs take five.
const HANGS_WORKS: u32 = 10;
const HANGS_LEAST: Duration = Duration::from_millis(200);

/// A call of this host.
#[derive(Debug)]
pub(crate) struct OutgoingCall {
    pub(crate) caller: Option<SocketAddr>,
    pub(crate) route: Arc<RouteEntry>,
    pub(crate) service: ServiceName,
    pub(crate) version: RouteVersion,
    /// Workspace that holds the caller's key.
    pub(crate) workspace: Option<Arc<WorkspaceSettings>>,
    /// Rank of the whole request that it belongs to, as far as that is known.
    pub(crate) whole_priority: Cell<Priority>,
    pub(crate) attempt: String,
    pub(crate) deadline: Duration,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) payload: Payload,
    /// How far it has come; also told of a call whose time ran out on the way.
    pub(crate) progress: Cell<Progress>,
    /// Whether a backend server may have it.
    pub(crate) may_have_run: MayHaveRun,
}

impl OutgoingCall {
    /// Rank of the call by itself.
    fn priority(&self) -> Priority {
        let workspace = self.workspace.as_ref();
        let priority = workspace.and_then(|workspace| workspace.priority);
        priority.unwrap_or(self.route.settings.priority)
    }
}

/// What a call went through so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Backend servers to which it was sent and which have answered or are lost.
    pub(crate) sends_count: u32,
    /// Nodes that had no room for it.
    pub(crate) refusals_count: usize,
    /// Control address of the last node that it was sent to.
    pub(crate) last: Option<SocketAddr>,
}

/// Carries a call until it is answered, refused or given up.
pub(crate) async fn forward(node: &Rc<RoutedNode>, call: &OutgoingCall) -> LinkAnswer {
    node.deposit_retry_budget(&call.route.settings.name, &call.service);
    let mut course = Course::default();
    loop {
        if node.now() + LAST_ATTEMPT > call.deadline {
            return course.end(LinkAnswer::not_run(NotRunReason::Late));
        }
        let Some(choice) = choose(node, call, &course.asked) else {
            let reason = course.no_room(node, call);
            if course.can_look_again(node, call) {
                tokio::time::sleep(LOOK_AGAIN).await;
                course.asked.clear();
                continue;
            }
            return course.end(LinkAnswer::not_run(reason));
        };
        course.asked.push(choice.control);
        course.progress.last = Some(choice.control);
        call.progress.set(course.progress);
        let answer = course.attempt(node, call, &choice).await;
        let verdict = course.judge(node, call, &answer);
        call.progress.set(course.progress);
        match verdict {
            Verdict::Final => return course.end(answer),
            Verdict::Elsewhere => {}
        }
    }
}

/// The attempts of a call so far.
#[derive(Debug, Default)]
struct Course {
    /// Control addresses of the nodes that were asked.
    asked: Vec<SocketAddr>,
    progress: Progress,
    /// An attempt of which it isn't known whether it ran.
    unknown: Option<UnknownReason>,
    /// The answer of a backend server that ran the call and failed it.
    failed: Option<LinkAnswer>,
    /// Whether a node said that its backend server fails what it runs. The next one runs the call
    /// whatever it does: where all fail, some runs may still end well.
    accepts_failing: bool,
}

enum Verdict {
    Final,
    Elsewhere,
}

impl Course {
    fn judge(&mut self, node: &RoutedNode, call: &OutgoingCall, answer: &LinkAnswer) -> Verdict {
        match &answer.outcome {
            LinkOutcome::Answered { .. } if self.may_run_elsewhere(node, call, answer) => {
                self.progress.sends_count += 1;
                self.failed = Some(answer.clone());
                self.once_more(node, call)
            }
            LinkOutcome::Answered { .. } => Verdict::Final,
            LinkOutcome::NotRun(NotRunReason::TurnedAway) => {
                self.progress.sends_count += 1;
                self.forget_hand_over(call);
                self.once_more(node, call)
            }
            LinkOutcome::NotRun(reason) => {
                self.accepts_failing |= *reason == NotRunReason::Failing;
                self.progress.refusals_count += 1;
                self.forget_hand_over(call);
                Verdict::Elsewhere
            }
            LinkOutcome::Unknown(reason) => {
                self.progress.sends_count += 1;
                self.unknown = Some(*reason);
                if call.route.settings.repeat == Repeat::AtMostOnce {
                    return Verdict::Final;
                }
                self.once_more(node, call)
            }
        }
    }

    /// Whether a failed run is worth another one: the backend server fails runs that its peers
    /// don't. Where they fail alike, a request that failed fails again.
    fn may_run_elsewhere(
        &self,
        node: &RoutedNode,
        call: &OutgoingCall,
        answer: &LinkAnswer,
    ) -> bool {
        let is_idempotent = call.route.settings.repeat == Repeat::Idempotent;
        let last = self.progress.last.filter(|_| is_idempotent);
        let targets = node.load_balancer.borrow();
        answer.is_failed_run()
            && last.is_some_and(|control| targets.is_ejected(&call.service, control))
    }

    /// The last attempt has not run, so the call has not, unless an earlier one may have.
    fn forget_hand_over(&self, call: &OutgoingCall) {
        if self.unknown.is_none() && self.failed.is_none() {
            call.may_have_run.clear();
        }
    }

    /// Makes an attempt; beside one that hangs another one is made, and the first whole
    /// answer counts.
    ///
    /// Some backend servers take calls and never answer, for one of two of them or
    /// for all. Waited for until the deadline, each is lost, and with it the whole
    /// request. The attempt that hangs goes on: the backend server may only be slow, and
    /// ended without an answer in its place a request would be lost that was under way.
    async fn attempt(
        &mut self,
        node: &Rc<RoutedNode>,
        call: &OutgoingCall,
        choice: &PickedEndpoint,
    ) -> LinkAnswer {
        let open = OpenAttempt::new(node, choice);
        let accepts_failing = self.accepts_failing;
        let mut first = pin!(attempt(node, call, choice, accepts_failing, &open));
        tokio::select! {
            answer = first.as_mut() => return answer,
            () = tokio::time::sleep(HANGS_LEAST.max(choice.mean_run_time * HANGS_WORKS)) => {}
            () = silence_on_the_way(node, call, choice) => {}
        }
        let Some(other) = self.choose_beside(node, call) else {
            return first.await;
        };
        open.hangs.set(true);
        let other_open = OpenAttempt::new(node, &other);
        let mut second = pin!(attempt(node, call, &other, accepts_failing, &other_open));
        tokio::select! {
            answer = first.as_mut() => answer.or_other_attempt(second).await,
            answer = second.as_mut() => answer.or_other_attempt(first).await,
        }
    }

    /// Where a call whose attempt hangs is sent besides, if it may be sent once more.
    fn choose_beside(&mut self, node: &RoutedNode, call: &OutgoingCall) -> Option<PickedEndpoint> {
        let is_idempotent = call.route.settings.repeat == Repeat::Idempotent;
        if !is_idempotent || !node.is_on(Mechanism::HedgedAttempts) {
            return None;
        }
        if self.progress.sends_count + 1 >= call.route.settings.attempts_count {
            return None;
        }
        let other = choose(node, call, &self.asked)?;
        if !node.withdraw_retry_budget(&call.route.settings.name, &call.service) {
            let mut targets = node.load_balancer.borrow_mut();
            targets.on_ended(node.now(), other.control, EndpointResult::Cancelled, None);
            return None;
        }
        node.metrics.count("repeat", "beside");
        self.progress.sends_count += 1;
        self.asked.push(other.control);
        self.progress.last = Some(other.control);
        call.progress.set(self.progress);
        Some(other)
    }

    /// Whether a call that a backend server has seen is sent to another one.
    fn once_more(&self, node: &RoutedNode, call: &OutgoingCall) -> Verdict {
        let is_allowed = self.progress.sends_count < call.route.settings.attempts_count;
        if is_allowed && node.withdraw_retry_budget(&call.route.settings.name, &call.service) {
            node.metrics.count("repeat", "sent");
            Verdict::Elsewhere
        } else {
            Verdict::Final
        }
    }

    /// Why no backend server is asked now.
    ///
    /// Rate limits that leave no room now will hardly leave any for all who wait at once, so each
    /// look counts as a refusal, and the caller soon hears that it has not run.
    fn no_room(&mut self, node: &RoutedNode, call: &OutgoingCall) -> NotRunReason {
        let is_limited = node
            .load_balancer
            .borrow()
            .is_rate_limited(node.now(), &call.service);
        if !is_limited {
            return NotRunReason::Full;
        }
        self.progress.refusals_count += 1;
        call.progress.set(self.progress);
        NotRunReason::Limited
    }

    /// Whether a call for which no backend server has room looks again: while there
    /// may be one that was not found yet.
    fn can_look_again(&self, node: &RoutedNode, call: &OutgoingCall) -> bool {
        let has_time = node.now() + LOOK_AGAIN + LAST_ATTEMPT < call.deadline;
        has_time && self.progress.refusals_count < ASKED_LIMIT_COUNT
    }

    /// A later refusal says nothing of an earlier attempt that may have run.
    fn end(self, answer: LinkAnswer) -> LinkAnswer {
        if matches!(answer.outcome, LinkOutcome::Answered { .. }) {
            return answer;
        }
        if let Some(failed) = self.failed {
            return failed;
        }
        match (&answer.outcome, self.unknown) {
            (LinkOutcome::NotRun(_), Some(reason)) => LinkAnswer::unknown(reason),
            _ => answer,
        }
    }
}

/// Waits until the link to a choice has gone silent.
async fn silence_on_the_way(node: &Rc<RoutedNode>, call: &OutgoingCall, choice: &PickedEndpoint) {
    if choice.peer == node.links_address() {
        return std::future::pending().await;
    }
    link_silence(node, choice.peer, call.payload.body.len()).await;
}

fn choose(node: &RoutedNode, call: &OutgoingCall, asked: &[SocketAddr]) -> Option<PickedEndpoint> {
    let mut random = node.random.borrow_mut();
    let mut targets = node.load_balancer.borrow_mut();
    let may_repeat = call.route.settings.repeat == Repeat::Idempotent;
    targets.pick(node.now(), &call.service, asked, may_repeat, &mut *random)
}

/// Counts an attempt that is dropped before it has an answer.
struct OpenAttempt<'a> {
    node: &'a RoutedNode,
    control: SocketAddr,
    is_open: Cell<bool>,
    /// Whether another attempt was made beside it, since it gave no answer.
    hangs: Cell<bool>,
}

impl<'a> OpenAttempt<'a> {
    fn new(node: &'a RoutedNode, choice: &PickedEndpoint) -> Self {
        Self {
            node,
            control: choice.control,
            is_open: Cell::new(true),
            hangs: Cell::new(false),
        }
    }
}

impl Drop for OpenAttempt<'_> {
    fn drop(&mut self) {
        if !self.is_open.get() {
            return;
        }
        let ended = if self.hangs.get() {
            EndpointResult::Failed
        } else {
            EndpointResult::Cancelled
        };
        let now = self.node.now();
        let mut targets = self.node.load_balancer.borrow_mut();
        targets.on_ended(now, self.control, ended, None);
    }
}

async fn attempt(
    node: &Rc<RoutedNode>,
    call: &OutgoingCall,
    choice: &PickedEndpoint,
    accepts_failing: bool,
    open: &OpenAttempt<'_>,
) -> LinkAnswer {
    let answer = send(node, call, choice, accepts_failing).await;
    open.is_open.set(false);
    learn(node, call, choice.control, &answer);
    if let Some(life) = &choice.life {
        on_notices(node, choice, life, &answer);
    }
    let ended = ended_of(&answer.outcome);
    let mut targets = node.load_balancer.borrow_mut();
    targets.on_ended(node.now(), choice.control, ended, answer.report);
    answer
}

/// Takes in what a backend server has told this host of a rate limit and of its leaving.
fn on_notices(node: &RoutedNode, choice: &PickedEndpoint, life: &BackendLife, answer: &LinkAnswer) {
    if let (LinkOutcome::Answered { .. }, Some(report)) = (&answer.outcome, answer.report) {
        let mut targets = node.load_balancer.borrow_mut();
        targets.on_rate_limit(node.now(), life, report.rate);
    }
    if answer.is_leaving && node.load_balancer.borrow_mut().on_leaving(node.now(), life) {
        node.metrics.count("server_leaving", "told");
        log::info!(event = "server_leaving", life:% = life, from = "answer",
            node:% = choice.control;
            "a backend server says that it leaves and is called no more");
    }
}

/// Sends a call to its target, which may be on this host.
async fn send(
    node: &Rc<RoutedNode>,
    call: &OutgoingCall,
    choice: &PickedEndpoint,
    accepts_failing: bool,
) -> LinkAnswer {
    let mut head = head_of(node, call, choice);
    head.accepts_failing = accepts_failing;
    if choice.peer != node.links_address() {
        return send_call(node, choice.peer, head, &call.payload, &call.may_have_run).await;
    }
    let confirmed = async {
        call.may_have_run.set();
        true
    };
    let never = std::future::pending();
    let mut answer = run_locally(node, &head, &call.payload, confirmed, never).await;
    answer.report = Some(node.gate_report());
    answer.news = Some(node.route_news(head.route));
    answer
}

/// Takes in what an answer tells of the services on the way.
fn learn(node: &RoutedNode, call: &OutgoingCall, gate: SocketAddr, answer: &LinkAnswer) {
    let now = node.now();
    let mut levels = node.entry_admission.borrow_mut();
    if let Some(report) = answer.report {
        levels.on_gate(now, &call.service, gate, &report);
    }
    if let Some(news) = &answer.news {
        let route = &call.route.settings.name;
        if levels.on_route_update(now, route, &call.service, gate, news.clone()) {
            node.route_demand_log
                .log_if_changed(now, route, &call.service, news);
        } else {
            node.metrics.count("news", "senseless");
            if node.metrics.take_log_permit(now) {
                log::warn!(event = "news_senseless", route = route.as_str(),
                    service = call.service.as_str(), gate:% = gate;
                    "what a node tells of a route can't be; it is passed over");
            }
        }
    }
    for pressure in &answer.pressures {
        // The gate's own word of its service goes before what others heard of it.
        if pressure.service != call.service {
            levels.on_pressure(now, pressure);
        }
    }
}

fn ended_of(outcome: &LinkOutcome) -> EndpointResult {
    match outcome {
        // Its gate tells how many runs it fails, those that lost a call left out.
        LinkOutcome::Answered { .. } => EndpointResult::Answered,
        LinkOutcome::NotRun(NotRunReason::Full | NotRunReason::Failing) => EndpointResult::GateFull,
        LinkOutcome::NotRun(NotRunReason::Limited) => EndpointResult::RateLimited,
        LinkOutcome::NotRun(NotRunReason::Late) => EndpointResult::Cancelled,
        LinkOutcome::NotRun(NotRunReason::TurnedAway | NotRunReason::Quarantined) => {
            EndpointResult::Failed
        }
        LinkOutcome::NotRun(NotRunReason::Closed) => EndpointResult::Unavailable,
        LinkOutcome::NotRun(NotRunReason::Unsent)
        | LinkOutcome::Unknown(UnknownReason::LinkLost) => EndpointResult::Unreachable,
        LinkOutcome::Unknown(_) => EndpointResult::Failed,
    }
}

fn head_of<'a>(
    node: &'a RoutedNode,
    call: &'a OutgoingCall,
    choice: &'a PickedEndpoint,
) -> CallHead<'a> {
    let settings = &call.route.settings;
    let time_left = call.deadline.saturating_sub(node.now() + ANSWER_TIME);
    let levels = node.entry_admission.borrow();
    let level = levels.level(node.now(), &call.service);
    let level = level.map_or(1.0, |(level, _)| level);
    CallHead {
        number: 0,
        route: &settings.name,
        service: &call.service,
        life: choice.life.as_ref().map(Cow::Borrowed),
        caller_service: &node.settings.service,
        workspace: call
            .workspace
            .as_ref()
            .map(|workspace| workspace.name.as_str()),
        attempt: &call.attempt,
        priority: call.priority(),
        whole_priority: call.whole_priority.get(),
        target_latency_ms: settings.target_latency.as_millis() as u64,
        level_permille: (level * 1_000.0) as u16,
        is_idempotent: settings.repeat == Repeat::Idempotent,
        known_limit: choice.known_limit,
        accepts_failing: false,
        needs_commit: settings.repeat == Repeat::AtMostOnce && node.is_on(Mechanism::Commit),
        remaining_ms: time_left.as_millis() as u64,
        followed: node.follow_state(),
        method: &call.method,
        target: &call.target,
    }
}
