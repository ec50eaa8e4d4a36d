//! Forwards a call from its entry to a backend server, with retries and hedging.

use std::{borrow::Cow, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use kumquatquay_core::routed::{Mechanism, PickedEndpoint};
use kumquatquay_wire::routed::{
    CallHead, LinkOutcome, NotRunReason, Repeat, RepeatCause, UnknownReason,
};

use super::{
    attempt::{AttemptGuard, attempt},
    crash_guard::{
        gates_that_refuse_suspect, is_quarantined, may_hedge, may_send_again, quarantined,
    },
    link::link_silence,
    link_answer::LinkAnswer,
    node::RoutedNode,
    outgoing_call::{OutgoingCall, Progress},
};

/// Refusals after which the nodes that refused a call are not tried again. A refusal by a node
/// costs a round trip and no run.
const REFUSALS_LIMIT_COUNT: usize = 4;

/// Gates that are asked to admit a repeat. All gates of a service earn tokens alike.
const OVER_BUDGET_LIMIT_COUNT: usize = 2;

/// Pause before an endpoint is picked again for a call that found none.
const PICK_RETRY_PAUSE: Duration = Duration::from_millis(25);

/// How long a request searches for an endpoint at a node that stops: long enough for one that could not be reached
/// for a moment.
const STOPPING_SEARCH_TIME: Duration = Duration::from_millis(300);

/// How long a call waits in all for the gate that may run it, if it is suspected of crashes.
const ISOLATED_WAIT: Duration = Duration::from_millis(300);

/// Part of the time to the deadline that is reserved for the answer to travel back.
const ANSWER_RESERVE: Duration = Duration::from_millis(12);

/// Least time to the deadline with which another attempt is started.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(18);

/// An attempt counts as hung if it has no answer after this many mean run times, and not
/// before the minimum below. A call may wait for two mean run times at a gate, and the
/// slowest 1% of the runs take five.
const HANG_FACTOR: u32 = 10;
const MIN_HANG_TIME: Duration = Duration::from_millis(200);

/// Forwards a call, with retries, until it is answered or has finally failed.
pub(crate) async fn forward(node: &Rc<RoutedNode>, call: &OutgoingCall) -> LinkAnswer {
    let mut attempts = CallAttempts::default();
    loop {
        if node.now() + MIN_ATTEMPT_TIME > node.limit_deadline(call.deadline) {
            return attempts.finish(LinkAnswer::not_run(NotRunReason::Late));
        }
        if is_quarantined(node, call) {
            return attempts.finish(quarantined());
        }
        let Some(endpoint) = attempts.pick(node, call) else {
            attempts.searches_since.get_or_insert(node.now());
            let reason = attempts.no_endpoint_reason(node, call);
            if attempts.can_pick_again(node, call) {
                tokio::time::sleep(PICK_RETRY_PAUSE).await;
                attempts.tried_nodes.clear();
                continue;
            }
            return attempts.finish(LinkAnswer::not_run(reason));
        };
        attempts.tried_nodes.push(endpoint.control);
        attempts.progress.last_node = Some(endpoint.control);
        call.progress.set(attempts.progress);
        let answer = attempts.attempt(node, call, &endpoint).await;
        let decision = attempts.decide_retry(node, call, &answer);
        call.progress.set(attempts.progress);
        match decision {
            RetryDecision::Finish => return attempts.finish(answer),
            RetryDecision::Retry => {}
            RetryDecision::RetryAfterPause => {
                tokio::time::sleep(PICK_RETRY_PAUSE).await;
                attempts.tried_nodes.clear();
            }
        }
    }
}

/// State of the attempts of one call.
#[derive(Debug, Default)]
struct CallAttempts {
    /// Control addresses of the nodes that were tried.
    tried_nodes: Vec<SocketAddr>,
    progress: Progress,
    /// Gates that refused it as a repeat.
    over_budget_count: usize,
    /// Attempts whose run broke.
    broken_runs_count: u32,
    /// Why it is unknown whether an earlier attempt ran.
    unknown_reason: Option<UnknownReason>,
    /// The error answer of a backend server that ran the call.
    failed: Option<LinkAnswer>,
    /// Whether a node refused the call because its backend server fails too many runs. The next
    /// node is told to run it regardless: if all backend servers fail, some runs may still succeed.
    accepts_failing: bool,
    /// Since when it waits for the gate that may run it, on the monotonic clock: a gate said that it is
    /// suspected of crashes.
    isolated_since: Option<Duration>,
    /// When it first found no endpoint, on the monotonic clock.
    searches_since: Option<Duration>,
}

enum RetryDecision {
    Finish,
    Retry,
    RetryAfterPause,
}

impl CallAttempts {
    fn decide_retry(
        &mut self,
        node: &RoutedNode,
        call: &OutgoingCall,
        answer: &LinkAnswer,
    ) -> RetryDecision {
        match &answer.outcome {
            LinkOutcome::Answered { .. } if self.should_retry_failed(node, call, answer) => {
                self.progress.sends_count += 1;
                self.failed = Some(answer.clone());
                self.retry_if_attempts_are_left(node, call)
            }
            LinkOutcome::Answered { .. } => RetryDecision::Finish,
            LinkOutcome::NotRun(NotRunReason::TurnedAway) => {
                self.progress.sends_count += 1;
                self.clear_may_have_run(call);
                self.retry_if_attempts_are_left(node, call)
            }
            LinkOutcome::NotRun(NotRunReason::OverBudget) => {
                self.over_budget_count += 1;
                self.clear_may_have_run(call);
                if self.over_budget_count < OVER_BUDGET_LIMIT_COUNT {
                    RetryDecision::Retry
                } else {
                    RetryDecision::Finish
                }
            }
            LinkOutcome::NotRun(NotRunReason::Quarantined) => {
                self.clear_may_have_run(call);
                RetryDecision::Finish
            }
            LinkOutcome::NotRun(NotRunReason::Isolated) => {
                self.clear_may_have_run(call);
                self.wait_for_isolated_run(node.now())
            }
            LinkOutcome::NotRun(reason) => {
                self.accepts_failing |= *reason == NotRunReason::Failing;
                self.progress.refusals_count += 1;
                self.clear_may_have_run(call);
                RetryDecision::Retry
            }
            LinkOutcome::Unknown(reason) => {
                self.progress.sends_count += 1;
                self.unknown_reason = Some(*reason);
                self.broken_runs_count += u32::from(*reason == UnknownReason::BackendBroke);
                if !may_send_again(node, call, *reason, self.broken_runs_count) {
                    return RetryDecision::Finish;
                }
                self.retry_if_attempts_are_left(node, call)
            }
        }
    }

    /// Picks the endpoint of the next attempt: for a suspect the gate that may run it, if it can be reached.
    fn pick(&self, node: &RoutedNode, call: &OutgoingCall) -> Option<PickedEndpoint> {
        if self.isolated_since.is_some() {
            let mut excluded = gates_that_refuse_suspect(node, call);
            // One that has just refused it is not asked again before the next pause.
            excluded.extend(&self.tried_nodes);
            if let Some(endpoint) = pick_endpoint(node, call, &excluded) {
                return Some(endpoint);
            }
        }
        pick_endpoint(node, call, &self.tried_nodes)
    }

    /// Whether to wait until a suspect may run. The run of another one, or of the same request, ends soon: it
    /// clears its request, or the call is refused for good.
    fn wait_for_isolated_run(&mut self, now: Duration) -> RetryDecision {
        let since = *self.isolated_since.get_or_insert(now);
        if now < since + ISOLATED_WAIT {
            RetryDecision::RetryAfterPause
        } else {
            RetryDecision::Finish
        }
    }

    /// Whether to retry a call that failed at a backend server: only if the call is idempotent and
    /// that server an outlier. Where all servers fail alike, the retry would fail as well.
    fn should_retry_failed(
        &self,
        node: &RoutedNode,
        call: &OutgoingCall,
        answer: &LinkAnswer,
    ) -> bool {
        let is_idempotent = call.route.settings.repeat == Repeat::Idempotent;
        let last_node = self.progress.last_node.filter(|_| is_idempotent);
        let targets = node.load_balancer.borrow();
        answer.is_failed_run()
            && last_node.is_some_and(|control| targets.is_ejected(&call.service, control))
    }

    /// Records that the call has not run, after an attempt that did not run, unless an earlier
    /// attempt may have.
    fn clear_may_have_run(&self, call: &OutgoingCall) {
        if self.unknown_reason.is_none() && self.failed.is_none() {
            call.may_have_run.clear();
        }
    }

    /// Makes an attempt, and a hedged one in parallel if the first hangs. The first answer of a
    /// backend server wins.
    ///
    /// Some backend servers accept calls and never answer half of them, or all. If the node waited
    /// until the deadline, each such call would be lost, and its root request with it. The hung
    /// attempt is not cancelled: the backend server may only be slow, and the call would be lost
    /// if the hedged attempt brought no answer either.
    async fn attempt(
        &mut self,
        node: &Rc<RoutedNode>,
        call: &OutgoingCall,
        endpoint: &PickedEndpoint,
    ) -> LinkAnswer {
        let guard = AttemptGuard::new(node, endpoint);
        let head = self.call_head(node, call, endpoint);
        let mut first = pin!(attempt(node, call, endpoint, head, &guard));
        tokio::select! {
            answer = first.as_mut() => return answer,
            () = tokio::time::sleep(MIN_HANG_TIME.max(endpoint.mean_run_time * HANG_FACTOR)) => {}
            () = endpoint_silence(node, call, endpoint) => {}
        }
        let Some(other) = self.pick_hedge(node, call) else {
            return first.await;
        };
        guard.is_hedged.set(true);
        let other_guard = AttemptGuard::new(node, &other);
        let head = self.call_head(node, call, &other);
        let mut second = pin!(attempt(node, call, &other, head, &other_guard));
        tokio::select! {
            answer = first.as_mut() => answer.or_other_attempt(second).await,
            answer = second.as_mut() => answer.or_other_attempt(first).await,
        }
    }

    /// Head of the next attempt.
    fn call_head<'a>(
        &self,
        node: &'a RoutedNode,
        call: &'a OutgoingCall,
        endpoint: &'a PickedEndpoint,
    ) -> CallHead<'a> {
        let repeat = if call.may_be_of_repeated_run {
            Some(RepeatCause::OfRepeatedRun)
        } else {
            (self.progress.sends_count > 0).then_some(RepeatCause::Resent)
        };
        let settings = &call.route.settings;
        let deadline = node.limit_deadline(call.deadline);
        let time_left = deadline.saturating_sub(node.now() + ANSWER_RESERVE);
        let entry_admission = node.entry_admission.borrow();
        let level = entry_admission.level(node.now(), &call.service);
        let level = level.map_or(1.0, |(level, _)| level);
        CallHead {
            number: 0,
            route: &settings.name,
            service: &call.service,
            life: endpoint.life.as_ref().map(Cow::Borrowed),
            caller_service: &node.settings.service,
            workspace: call
                .workspace
                .as_ref()
                .map(|workspace| workspace.name.as_str()),
            attempt: &call.attempt_id,
            priority: call.priority(),
            request_priority: call.request_priority.get(),
            target_latency_ms: settings.target_latency.as_millis() as u64,
            level_permille: (level * 1_000.0) as u16,
            is_idempotent: settings.repeat == Repeat::Idempotent,
            known_limit: endpoint.known_limit,
            accepts_failing: self.accepts_failing,
            repeat,
            needs_commit: settings.repeat == Repeat::AtMostOnce && node.is_on(Mechanism::Commit),
            remaining_ms: time_left.as_millis() as u64,
            sync_state: node.sync_state(),
            method: &call.method,
            target: &call.target,
        }
    }

    /// Picks the endpoint for a hedged attempt, if the call may be hedged: it is idempotent and has
    /// attempts left.
    fn pick_hedge(&mut self, node: &RoutedNode, call: &OutgoingCall) -> Option<PickedEndpoint> {
        let is_idempotent = call.route.settings.repeat == Repeat::Idempotent;
        if !is_idempotent || !node.is_on(Mechanism::HedgedAttempts) || !may_hedge(node, call) {
            return None;
        }
        if self.isolated_since.is_some() {
            return None;
        }
        if self.progress.sends_count + 1 >= call.route.settings.attempts_count {
            return None;
        }
        let other = pick_endpoint(node, call, &self.tried_nodes)?;
        node.metrics.count("repeat", "beside");
        self.progress.sends_count += 1;
        self.tried_nodes.push(other.control);
        self.progress.last_node = Some(other.control);
        call.progress.set(self.progress);
        Some(other)
    }

    /// Retries a call that reached a backend server, if it has attempts left. Whether it fits the
    /// retry budget is decided at the gate that it is sent to.
    fn retry_if_attempts_are_left(&self, node: &RoutedNode, call: &OutgoingCall) -> RetryDecision {
        if self.progress.sends_count < call.route.settings.attempts_count {
            node.metrics.count("repeat", "sent");
            RetryDecision::Retry
        } else {
            RetryDecision::Finish
        }
    }

    /// Why no endpoint could be picked.
    ///
    /// Rate limits that are exhausted now will hardly have room for all waiting calls at once, so
    /// each failed search counts as a refusal and the caller soon learns that the call has not run.
    fn no_endpoint_reason(&mut self, node: &RoutedNode, call: &OutgoingCall) -> NotRunReason {
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

    /// Whether to search for an endpoint again after none was found: while enough time is left
    /// and the limit of refusals is not reached.
    fn can_pick_again(&self, node: &RoutedNode, call: &OutgoingCall) -> bool {
        let now = node.now();
        let deadline = node.limit_deadline(call.deadline);
        let has_time = now + PICK_RETRY_PAUSE + MIN_ATTEMPT_TIME < deadline;
        has_time
            && self.progress.refusals_count < REFUSALS_LIMIT_COUNT
            && !(node.is_stopping() && self.should_search_elsewhere(node, call))
    }

    /// Whether the caller had better search for an endpoint at another node than at this one, which stops. The
    /// run that made a call has no other node.
    fn should_search_elsewhere(&self, node: &RoutedNode, call: &OutgoingCall) -> bool {
        let may_be_of_local_run =
            call.is_of_local_run.get() && node.gate_report().running_count > 0;
        let now = node.now();
        let since = self.searches_since.unwrap_or(now);
        !may_be_of_local_run && now >= since + STOPPING_SEARCH_TIME
    }

    /// The answer for the caller. An error answer or an unknown outcome of an earlier attempt takes
    /// precedence over a later refusal, since that attempt may have run.
    fn finish(self, answer: LinkAnswer) -> LinkAnswer {
        if matches!(answer.outcome, LinkOutcome::Answered { .. }) {
            return answer;
        }
        if let Some(failed) = self.failed {
            return failed;
        }
        match (&answer.outcome, self.unknown_reason) {
            (LinkOutcome::NotRun(_), Some(reason)) => LinkAnswer::unknown(reason),
            _ => answer,
        }
    }
}

/// Waits until the link to an endpoint is silent; forever if the endpoint is on this host.
async fn endpoint_silence(node: &Rc<RoutedNode>, call: &OutgoingCall, endpoint: &PickedEndpoint) {
    if endpoint.peer == node.links_address() {
        return std::future::pending().await;
    }
    link_silence(node, endpoint.peer, call.payload.body.len()).await;
}

fn pick_endpoint(
    node: &RoutedNode,
    call: &OutgoingCall,
    tried_nodes: &[SocketAddr],
) -> Option<PickedEndpoint> {
    let mut random = node.random.borrow_mut();
    let mut targets = node.load_balancer.borrow_mut();
    let may_repeat = call.route.settings.repeat == Repeat::Idempotent;
    targets.pick(
        node.now(),
        &call.service,
        tried_nodes,
        may_repeat,
        &mut *random,
    )
}
