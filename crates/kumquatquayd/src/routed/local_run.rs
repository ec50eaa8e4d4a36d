//! Runs a call at the backend server of this host.

use std::{rc::Rc, time::Duration};

use http::{Method, Request, Uri};
use http_body_util::Full;
use kumquatquay_core::routed::{
    Admission, GateCall, GateQueueKey, Mechanism, RejectedCall, RouteRunTime, RunId,
};
use kumquatquay_wire::routed::{CallHead, LinkOutcome, NotRunReason, Payload, UnknownReason};
use tokio::sync::oneshot;

use super::{
    backend_pool::{BackendAnswer, SendError},
    http_io::{BufferedBody, fields_from_headers, headers_from_fields},
    interface::ForwardedMetadata,
    link_answer::LinkAnswer,
    members::{announce_backend, announce_backend_death},
    node::{RoutedNode, RunPermit},
    server_notices::{on_known_limit, on_notices},
};

/// The least time in which a call is still handed over.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(2);

/// Statuses that promise that a request has not run. A backend server says so in a
/// field of its own; without it such a status is no promise that may be passed on.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Fields that a backend server is told beside those of the caller, mostly.
const HAND_OVER_FIELDS_COUNT: usize = 3;

/// A call and the moment at which its time is over.
struct Timed<'a> {
    call: &'a CallHead<'a>,
    payload: &'a Payload,
    due: Duration,
    deadline: Duration,
}

impl Timed<'_> {
    /// The moment after which the call would not end in time: it is refused then,
    /// while its sender can still say that it has not run.
    fn latest_start(&self, node: &RoutedNode) -> Duration {
        let work = node.gate.borrow().run_times().estimate(self.call.route);
        self.deadline.saturating_sub(work.mul_f64(LEAST_WORK_RATIO))
    }
}

/// Part of the mean time to run a call of its route that must be left when it begins.
const LEAST_WORK_RATIO: f64 = 0.5;

/// Runs a call at the backend server of this host, once there is room for it.
///
/// When there is room, `confirmed` tells whether the call is still to be run. When
/// `cancelled` is done, a call that waits is taken out, and one that runs is given up if
/// it may run again; one that may not is let run to its end.
pub(crate) async fn run_locally(
    node: &Rc<RoutedNode>,
    call: &CallHead<'_>,
    payload: &Payload,
    confirmed: impl Future<Output = bool>,
    cancelled: impl Future<Output = ()>,
) -> LinkAnswer {
    let now = node.now();
    on_known_limit(node, call);
    let deadline = now + Duration::from_millis(call.remaining_ms);
    let heard = f64::from(call.level_permille) / 1_000.0;
    let work = node.gate.borrow().run_times().estimate(call.route);
    node.level_controller.borrow_mut().on_arrival(heard, work);
    node.route_callers
        .borrow_mut()
        .record_call(now, call.route, call.caller_service);
    let due = now + Duration::from_millis(call.target_latency_ms);
    let timed = Timed {
        call,
        payload,
        due,
        deadline,
    };
    let mut cancelled = std::pin::pin!(cancelled);
    let slot = tokio::select! {
        slot = wait_for_confirmed_slot(node, &timed, confirmed) => slot,
        () = cancelled.as_mut() => Err(NotRunReason::Late),
    };
    let slot = match slot {
        Ok(slot) => slot,
        Err(reason) => return LinkAnswer::not_run(reason),
    };
    if call.is_idempotent {
        tokio::select! {
            answer = hand_over(node, &timed, slot) => answer,
            () = cancelled => LinkAnswer::unknown(UnknownReason::NoAnswer),
        }
    } else {
        hand_over(node, &timed, slot).await
    }
}

/// How often the level of the gate is set.
const LEVEL_INTERVAL: Duration = Duration::from_millis(100);

/// Sets the level of the gate from what it sees, and looks whether the backend
/// server is silent.
pub(crate) async fn update_level_periodically(node: Rc<RoutedNode>) {
    loop {
        tokio::time::sleep(LEVEL_INTERVAL).await;
        let now = node.now();
        let state = node.gate.borrow().state();
        let work = node.gate.borrow().mean_run_time();
        let is_silent = node.backend_liveness.borrow().is_silent(now, work);
        if is_silent && node.is_on(Mechanism::SilentBackend) {
            // Runs under way go on: their answers may still come.
            announce_backend_death(&node, "it gives no answers");
        }
        node.level_controller.borrow_mut().tick(now, state);
    }
}

/// Lets calls run that wait for the rate limit of the backend server, as it allows.
pub(crate) async fn admit_within_rate_limit(node: Rc<RoutedNode>) {
    loop {
        let wait = node.gate.borrow().rate_limit_wait(node.now());
        match wait {
            Some(wait) => tokio::time::sleep(wait).await,
            None => node.limit_wait_started.notified().await,
        }
        admit_waiting(&node);
    }
}

/// A place among the calls that run; leaving it lets the next one run.
struct Slot {
    node: Rc<RoutedNode>,
    route: String,
    began: Duration,
    counts_work: bool,
    has_reached_backend: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let work = self.node.now().saturating_sub(self.began);
        let run = self.counts_work.then_some(RouteRunTime {
            route: &self.route,
            run_time: work,
        });
        let mut gate = self.node.gate.borrow_mut();
        if self.has_reached_backend {
            gate.ended(run);
        } else {
            gate.not_forwarded(self.node.now());
        }
        drop(gate);
        admit_waiting(&self.node);
    }
}

/// Lets calls run that wait, as far as there is room.
pub(crate) fn admit_waiting(node: &RoutedNode) {
    let now = node.now();
    loop {
        let next = node.gate.borrow_mut().next(now);
        let Some(ticket) = next else {
            if node.gate.borrow().rate_limit_wait(now).is_some() {
                node.limit_wait_started.notify_one();
            }
            return;
        };
        if ticket.send(()).is_err() {
            // Its caller left while it waited.
            node.gate.borrow_mut().not_forwarded(now);
        }
    }
}

/// Sends calls that wait for a backend server that is leaving to other ones.
pub(crate) fn withdraw_waiting(node: &RoutedNode) {
    let waiting = node.gate.borrow_mut().withdraw_all();
    // Dropping a ticket tells its call that it isn't run here.
    drop(waiting);
}

async fn wait_for_confirmed_slot(
    node: &Rc<RoutedNode>,
    timed: &Timed<'_>,
    confirmed: impl Future<Output = bool>,
) -> Result<Slot, NotRunReason> {
    let slot = wait_for_slot(node, timed).await?;
    if !confirmed.await {
        return Err(NotRunReason::Late);
    }
    check_open(node, timed)?;
    Ok(slot)
}

async fn wait_for_slot(node: &Rc<RoutedNode>, timed: &Timed<'_>) -> Result<Slot, NotRunReason> {
    check_open(node, timed)?;
    let (ticket, granted) = oneshot::channel();
    let admission = offer(node, timed, ticket);
    let key = match admission {
        Admission::Run => return Ok(Slot::new(node, timed)),
        Admission::Refuse(_) => return Err(refusal(node)),
        Admission::Wait(key) => key,
        Admission::Evict(key, evicted) => {
            drop(evicted);
            key
        }
    };
    if node.gate.borrow().rate_limit_wait(node.now()).is_some() {
        node.metrics.count("server_limit", "waited");
        node.limit_wait_started.notify_one();
    }
    let mut waiting = WaitingCall { node, key, granted };
    let wait = timed.latest_start(node).saturating_sub(node.now());
    match tokio::time::timeout(wait, &mut waiting.granted).await {
        Ok(Ok(())) => {
            let slot = Slot::new(node, timed);
            check_open(node, timed)?;
            Ok(slot)
        }
        Ok(Err(_)) => Err(refusal(node)),
        Err(_) => Err(NotRunReason::Late),
    }
}

/// Why the gate has no room for a call.
fn refusal(node: &RoutedNode) -> NotRunReason {
    let reason = node.gate.borrow().refusal(node.now());
    if reason == NotRunReason::Limited {
        node.metrics.count("server_limit", "refused");
    }
    reason
}

/// A call in the queue; it leaves the queue with its task.
struct WaitingCall<'a> {
    node: &'a Rc<RoutedNode>,
    key: GateQueueKey,
    granted: oneshot::Receiver<()>,
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        let withdrawn = self.node.gate.borrow_mut().withdraw(self.key);
        // A grant that nobody took would hold its place for good.
        if withdrawn.is_none() && self.granted.try_recv().is_ok() {
            let now = self.node.now();
            self.node.gate.borrow_mut().not_forwarded(now);
            admit_waiting(self.node);
        }
    }
}

fn offer(node: &RoutedNode, timed: &Timed<'_>, ticket: RunPermit) -> Admission<RunPermit> {
    let call = GateCall {
        priority: timed.call.priority,
        request_priority: timed.call.whole_priority,
        soft_deadline: timed.due,
        deadline: timed.deadline,
        run_time: node.gate.borrow().run_times().estimate(timed.call.route),
    };
    node.gate.borrow_mut().offer(node.now(), call, ticket)
}

/// Whether the backend server that a call is meant for is there and takes calls.
fn check_open(node: &RoutedNode, timed: &Timed<'_>) -> Result<(), NotRunReason> {
    let now = node.now();
    if now + LEAST_TIME_LEFT > timed.deadline {
        return Err(NotRunReason::Late);
    }
    let lives = node.lives.borrow();
    let is_served = lives
        .current()
        .is_some_and(|current| current.service == timed.call.service);
    let drain = node.settings.bounds.drain.mul_f64(DRAIN_RATIO);
    let life = timed.call.life.as_deref();
    let is_once = !timed.call.is_idempotent && !timed.call.accepts_failing;
    if is_once && node.is_on(Mechanism::OutlierEjection) && node.run_failures.borrow().is_failing()
    {
        return Err(NotRunReason::Failing);
    }
    if is_served && lives.may_run(now, life, drain) {
        Ok(())
    } else {
        Err(NotRunReason::Closed)
    }
}

/// Part of the time after a leaving was acknowledged in which calls still go to
/// that backend server. By then all nodes know; the rest is for calls that begin
/// to run in that time.
const DRAIN_RATIO: f64 = 0.6;

impl Slot {
    fn new(node: &Rc<RoutedNode>, timed: &Timed<'_>) -> Self {
        Self {
            node: Rc::clone(node),
            route: String::from(timed.call.route),
            began: node.now(),
            counts_work: false,
            has_reached_backend: false,
        }
    }
}

/// A run at the backend server, as the call graph sees it.
struct Run<'a> {
    node: &'a RoutedNode,
    call: &'a CallHead<'a>,
    number: RunId,
    /// Whether anything came from the backend server.
    has_sign: bool,
    /// Whether it did all that it was asked for.
    is_well: bool,
}

impl<'a> Run<'a> {
    fn new(node: &'a RoutedNode, call: &'a CallHead<'a>, time_left: Duration) -> Self {
        let now = node.now();
        let deadline = now + time_left;
        let number =
            node.call_tracer
                .borrow_mut()
                .run_started(call.route, call.whole_priority, deadline);
        node.call_graph.borrow_mut().run_started(now, call.route);
        node.backend_liveness.borrow_mut().call_started(now);
        Self {
            node,
            call,
            number,
            has_sign: false,
            is_well: false,
        }
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        self.node
            .call_graph
            .borrow_mut()
            .run_ended(now, self.call.route);
        let mut tracer = self.node.call_tracer.borrow_mut();
        tracer.run_ended(now, self.number, self.is_well);
        self.node
            .backend_liveness
            .borrow_mut()
            .call_ended(now, self.has_sign);
    }
}

/// What came of one hand-over to the backend server.
enum HandedOver {
    /// This is what becomes of the call.
    Ended(LinkAnswer),
    /// The backend server says that it has no room and has not run it.
    TurnedAway,
}

/// Hands a call to the backend server, once more if it was turned away and that is
/// worth a part of the retry budget.
async fn hand_over(node: &Rc<RoutedNode>, timed: &Timed<'_>, mut slot: Slot) -> LinkAnswer {
    node.gate_retries.borrow_mut().on_first_attempt(node.now());
    for hand_overs_count in 1.. {
        slot.began = node.now();
        let handed_over = hand_over_once(node, timed, &mut slot).await;
        let is_turned_away = matches!(handed_over, HandedOver::TurnedAway);
        count_run(node, slot.began, &handed_over);
        node.gate_retries.borrow_mut().on_result(is_turned_away);
        if let HandedOver::Ended(answer) = handed_over {
            // A server that fails at once would tell that it is the fastest.
            slot.counts_work = answer.is_success();
            return answer;
        }
        if !is_handed_over_again(node, timed, hand_overs_count) {
            break;
        }
        node.metrics.count("repeat", "at_gate");
    }
    LinkAnswer::not_run(NotRunReason::TurnedAway)
}

/// Counts how a run that began at this moment ended, and whether that was the backend server's own doing.
fn count_run(node: &RoutedNode, began: Duration, handed_over: &HandedOver) {
    let now = node.now();
    let mut failures = node.run_failures.borrow_mut();
    let outcome = match handed_over {
        HandedOver::TurnedAway => {
            failures.rejected();
            "turned_away"
        }
        HandedOver::Ended(answer) if answer.is_failed_run() => {
            failures.failed(began, now);
            "failed"
        }
        HandedOver::Ended(answer) if answer.is_success() => {
            failures.succeeded();
            "well"
        }
        HandedOver::Ended(_) => "other",
    };
    drop(failures);
    node.metrics.count("run", outcome);
}

fn is_handed_over_again(node: &RoutedNode, timed: &Timed<'_>, hand_overs_count: u32) -> bool {
    let now = node.now();
    if check_open(node, timed).is_err() || now > timed.latest_start(node) {
        return false;
    }
    if !node.is_on(Mechanism::GateRetries) {
        return false;
    }
    let services_count = node.load_balancer.borrow().services_count();
    let census = node.route_callers.borrow();
    let call = RejectedCall {
        is_from_outside: census.is_from_outside(now, timed.call.route, services_count),
        attempts_count: hand_overs_count,
    };
    let mut repeats = node.gate_retries.borrow_mut();
    repeats.try_retry(now, call) && node.gate.borrow_mut().try_forward_again(now)
}

async fn hand_over_once(node: &Rc<RoutedNode>, timed: &Timed<'_>, slot: &mut Slot) -> HandedOver {
    let time_left = timed.deadline.saturating_sub(node.now());
    let Some(request) = request_of(node, timed, time_left) else {
        return HandedOver::Ended(LinkAnswer::not_run(NotRunReason::Unsent));
    };
    slot.has_reached_backend = true;
    let mut run = Run::new(node, timed.call, time_left);
    let sent = node.backend.send(request, timed.call.is_idempotent);
    let sent = tokio::time::timeout(time_left, sent).await;
    run.has_sign = sent.is_ok();
    run.is_well = matches!(&sent, Ok(Ok(answer)) if (200..300).contains(&answer.status));
    match sent {
        Ok(Ok(answer)) => judge(node, timed, slot.began, answer),
        Ok(Err(error)) => HandedOver::Ended(on_send_error(node, error)),
        Err(_) => HandedOver::Ended(LinkAnswer::unknown(UnknownReason::NoAnswer)),
    }
}

fn request_of(
    node: &RoutedNode,
    timed: &Timed<'_>,
    time_left: Duration,
) -> Option<Request<BufferedBody>> {
    let call = timed.call;
    let mut request = Request::new(Full::new(timed.payload.body.clone()));
    *request.method_mut() = Method::from_bytes(call.method.as_bytes()).ok()?;
    *request.uri_mut() = call.target.parse::<Uri>().ok()?;
    *request.headers_mut() = headers_from_fields(&timed.payload.fields, HAND_OVER_FIELDS_COUNT);
    let hand_over = ForwardedMetadata {
        time_left,
        instance: call.life.as_ref().map(|life| &life.instance),
        caller_service: call.caller_service,
        workspace: call.workspace,
    };
    (node.dialect.write_forwarded_metadata)(request.headers_mut(), &hand_over);
    Some(request)
}

/// Decides what an answer says of the call.
///
/// A connection may bring the late answer to an earlier request, bytes that no
/// backend server vouches for, or a refusal without the promise. None of these may
/// reach a caller as the answer to its request.
fn judge(
    node: &RoutedNode,
    timed: &Timed<'_>,
    began: Duration,
    answer: BackendAnswer,
) -> HandedOver {
    let marks = (node.dialect.read_answer)(&answer.headers);
    if let Some(load) = marks.load
        && node.is_on(Mechanism::TransitAllowance)
    {
        node.gate.borrow_mut().on_backend_load(load);
    }
    if let Some(ratio) = marks.slowdown_ratio {
        node.machine_slowdown
            .borrow_mut()
            .on_report(node.now(), ratio);
    }
    let is_other = marks
        .attempt_id
        .as_ref()
        .is_some_and(|attempt| *attempt != timed.call.attempt);
    if is_other {
        node.metrics.count("garbled", "other_request");
        answer.close_connection();
        return HandedOver::Ended(LinkAnswer::unknown(UnknownReason::Garbled));
    }
    if answer.status == 421 {
        if let Some(instance) = &marks.instance
            && node.lives.borrow_mut().on_answered_as(instance)
        {
            announce_backend(node);
        }
        answer.return_to_pool(marks.keep_alive_timeout);
        return HandedOver::Ended(LinkAnswer::not_run(NotRunReason::TurnedAway));
    }
    if marks.is_not_run {
        on_notices(node, timed.call, began, &marks);
        answer.return_to_pool(marks.keep_alive_timeout);
        return HandedOver::TurnedAway;
    }
    let is_encoded = answer.headers.contains_key(http::header::CONTENT_ENCODING);
    let is_success = (200..300).contains(&answer.status);
    let is_own = marks.attempt_id.is_some() && marks.is_signed && !is_encoded;
    let is_hollow_promise = PROMISES.contains(&answer.status) && !marks.is_signed;
    if (is_success && !is_own) || is_hollow_promise {
        node.metrics.count("garbled", "unsigned");
        answer.close_connection();
        return HandedOver::Ended(LinkAnswer::unknown(UnknownReason::Garbled));
    }
    on_notices(node, timed.call, began, &marks);
    let status = answer.status;
    let fields = fields_from_headers(&answer.headers);
    let body = answer.return_to_pool(marks.keep_alive_timeout);
    HandedOver::Ended(LinkAnswer {
        outcome: LinkOutcome::Answered { status },
        payload: Payload { fields, body },
        is_leaving: marks.is_leaving,
        report: None,
        news: None,
        pressures: Vec::new(),
    })
}

fn on_send_error(node: &RoutedNode, error: SendError) -> LinkAnswer {
    match error {
        SendError::ConnectionRefused => {
            announce_backend_death(node, "nothing listens at its address");
            LinkAnswer::not_run(NotRunReason::Closed)
        }
        SendError::Unsent => LinkAnswer::not_run(NotRunReason::TurnedAway),
        SendError::ConnectionBroken => LinkAnswer::unknown(UnknownReason::BackendBroke),
    }
}
