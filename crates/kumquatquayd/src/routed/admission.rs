//! Admits, holds or refuses root requests at the entry, before any work is done for them.

use std::{rc::Rc, time::Duration};

use http::{Response, StatusCode};
use kumquatquay_core::routed::{
    EntryRequest, FlowKey, Mechanism, RetryAfter, ShareGroup, Shortage,
};
use rand::Rng;

use super::{
    caller_identity::IdentityRefusal,
    entry::retry_after,
    held_requests::{HoldResult, flow_key, hold},
    http_io::{BufferedBody, local_answer},
    node::RoutedNode,
    outgoing_call::OutgoingCall,
    request_log::log_request,
};

/// Tie breaker that orders a request behind all others of the same priority.
const LAST_TIE_BREAKER: f64 = 1.0;

/// Work of a request at a service that is assumed until a node has reported it.
const DEFAULT_WORK: Duration = Duration::from_millis(50);

/// A request at the entry that isn't admitted yet.
pub(super) struct PendingRequest<'a> {
    pub(super) call: &'a OutgoingCall,
    /// When it was received.
    pub(super) received_at: Duration,
    /// Deadline that the caller stated, if any.
    pub(super) caller_deadline: Option<Duration>,
}

/// Result of the admission of a request at the entry.
pub(super) enum Admission {
    /// The request may be forwarded.
    Admitted,
    /// The request is refused with this response, and has not run.
    Refused(Response<BufferedBody>),
    /// Another configuration came into force while the request was held.
    ConfigurationChanged,
}

/// A service without enough capacity, and what that means for the requests of one claimant.
pub(super) struct ClaimantShortage {
    pub(super) shortage: Shortage,
    /// Share of the claimant's requests that are admitted.
    pub(super) admission_probability: f64,
}

impl ClaimantShortage {
    /// Counts a request of a flow at the service that is short, for the fair shares.
    fn of(node: &RoutedNode, flow: &FlowKey, shortage: Shortage) -> Self {
        let admission_probability = if node.is_on(Mechanism::FairShares) {
            fair_admission_probability(node, flow, &shortage)
        } else {
            shortage.admission_probability
        };
        Self {
            shortage,
            admission_probability,
        }
    }
}

/// Counts the work that a request asks of the short service, and returns the admission
/// probability of its claimant by the fair shares.
fn fair_admission_probability(node: &RoutedNode, flow: &FlowKey, shortage: &Shortage) -> f64 {
    let now = node.now();
    let works = node
        .entry_admission
        .borrow()
        .work_by_service(now, &flow.route, &flow.service);
    let work = works.iter().find(|work| work.service == shortage.service);
    let work = work.map_or(DEFAULT_WORK, |work| work.work);
    let group = ShareGroup {
        service: shortage.service.clone(),
        priority: flow.priority,
    };
    let mut shares = node.fair_shares.borrow_mut();
    let work_s = work.as_secs_f64();
    shares.on_request(
        now,
        &group,
        &flow.claimant,
        work_s,
        shortage.admission_probability,
    )
}

impl PendingRequest<'_> {
    /// Time by which the answer should be there: the target latency of the route, or the deadline
    /// if that is earlier.
    pub(super) fn soft_deadline(&self) -> Duration {
        let soft_deadline = self.received_at + self.call.route.settings.target_latency;
        soft_deadline.min(self.call.deadline)
    }
}

/// Admits a request, if need be after it was held, or refuses it. It has been [traced](trace) before.
pub(super) async fn admit(node: &Rc<RoutedNode>, pending: &PendingRequest<'_>) -> Admission {
    let Err(shortage) = check_admission(node, pending) else {
        return Admission::Admitted;
    };
    if !admits_by_probability(node) {
        let admission_probability = shortage.admission_probability;
        let claimant_shortage = ClaimantShortage {
            shortage,
            admission_probability,
        };
        return Admission::Refused(refuse(node, pending, &claimant_shortage, None));
    }
    let flow = flow_key(pending.call);
    let claimant_shortage = ClaimantShortage::of(node, &flow, shortage);
    if may_hold(node) {
        return hold_or_refuse(node, pending, &flow, &claimant_shortage).await;
    }
    if node.random.borrow_mut().random::<f64>() < claimant_shortage.admission_probability {
        return Admission::Admitted;
    }
    Admission::Refused(refuse(node, pending, &claimant_shortage, None))
}

async fn hold_or_refuse(
    node: &RoutedNode,
    pending: &PendingRequest<'_>,
    flow: &FlowKey,
    claimant_shortage: &ClaimantShortage,
) -> Admission {
    match hold(node, pending, flow, claimant_shortage).await {
        HoldResult::Admitted => recheck(node, pending),
        HoldResult::NoRoom { room_expected_in } => {
            Admission::Refused(refuse(node, pending, claimant_shortage, room_expected_in))
        }
        HoldResult::Stopping => Admission::Refused(refuse_stopping(node, pending.call)),
        HoldResult::ConfigurationChanged => Admission::ConfigurationChanged,
    }
}

/// Checks the configuration and the caller's key again, since the request may have been held.
fn recheck(node: &RoutedNode, pending: &PendingRequest<'_>) -> Admission {
    let call = pending.call;
    if call.version != node.route_version() {
        return Admission::ConfigurationChanged;
    }
    if call.workspace.is_some() && node.lacks_valid_proof() {
        let refusal = IdentityRefusal::NoProof;
        node.metrics.count("refused", refusal.name());
        return Admission::Refused(refuse_temporarily(node, call, refusal.text()));
    }
    Admission::Admitted
}

fn may_hold(node: &RoutedNode) -> bool {
    node.is_on(Mechanism::EntryHold) && !node.is_stopping()
}

/// Whether requests of one priority are admitted by an admission probability, and not by a random
/// tie breaker each.
fn admits_by_probability(node: &RoutedNode) -> bool {
    may_hold(node) || node.is_on(Mechanism::FairShares)
}

/// Checks a request against the admission levels. A call of the backend server always passes: it
/// belongs to a root request that was admitted.
fn check_admission(node: &RoutedNode, pending: &PendingRequest<'_>) -> Result<(), Shortage> {
    let call = pending.call;
    let route = &call.route.settings.name;
    if is_internal(node, call) || !node.is_on(Mechanism::EntryLevels) {
        return Ok(());
    }
    let tie_breaker = if admits_by_probability(node) {
        LAST_TIE_BREAKER
    } else {
        node.random.borrow_mut().random()
    };
    let request = EntryRequest {
        route,
        service: &call.service,
        priority: call.request_priority.get(),
        tie_breaker,
    };
    check_entry_request(node, &request)
}

fn check_entry_request(node: &RoutedNode, request: &EntryRequest<'_>) -> Result<(), Shortage> {
    let Some(table) = node.routes() else {
        return Ok(());
    };
    let mut entry_admission = node.entry_admission.borrow_mut();
    entry_admission.admit(node.now(), request, table.priorities())
}

/// Current admission probability of a request of a flow, which counts as another request for the
/// fair shares.
pub(super) fn admission_probability(node: &RoutedNode, flow: &FlowKey) -> f64 {
    let request = EntryRequest {
        route: &flow.route,
        service: &flow.service,
        priority: flow.priority,
        tie_breaker: LAST_TIE_BREAKER,
    };
    match check_entry_request(node, &request) {
        Ok(()) => 1.0,
        Err(shortage) => ClaimantShortage::of(node, flow, shortage).admission_probability,
    }
}

/// Whether the route of a call is used by runs of backend servers alone.
pub(super) fn is_internal(node: &RoutedNode, call: &OutgoingCall) -> bool {
    let entry_admission = node.entry_admission.borrow();
    let route = &call.route.settings.name;
    entry_admission.is_from_outside(node.now(), route) == Some(false)
}

/// Records a request in the tracer and, if it is a call of the backend server, in the call graph.
///
/// If the tracer finds the run that made it, the call takes the priority of that run's root
/// request.
pub(super) fn trace(node: &RoutedNode, pending: &PendingRequest<'_>) {
    let call = pending.call;
    let route = &call.route.settings.name;
    let is_internal = is_internal(node, call);
    call.is_of_local_run.set(is_internal);
    if is_internal {
        let mut call_graph = node.call_graph.borrow_mut();
        call_graph.call_started(node.now(), route);
    }
    let Some(caller_deadline) = pending.caller_deadline else {
        return;
    };
    let mut tracer = node.call_tracer.borrow_mut();
    if !is_internal {
        let is_of_local_run = tracer.request_started(route, caller_deadline);
        call.is_of_local_run.set(is_of_local_run);
        return;
    }
    let request_priority = tracer.call_started(route, caller_deadline);
    if let Some(priority) = request_priority.filter(|_| node.is_on(Mechanism::RequestPriority)) {
        call.request_priority.set(priority);
    }
}

fn refuse(
    node: &RoutedNode,
    pending: &PendingRequest<'_>,
    claimant_shortage: &ClaimantShortage,
    room_expected_in: Option<Duration>,
) -> Response<BufferedBody> {
    let now = node.now();
    let ClaimantShortage {
        shortage,
        admission_probability,
    } = claimant_shortage;
    let shortage_duration = if node.is_on(Mechanism::GrowingRetryAfter) {
        shortage.duration
    } else {
        Duration::ZERO
    };
    let retry = RetryAfter {
        target_latency: pending.call.route.settings.target_latency,
        time_left: pending
            .caller_deadline
            .map(|caller_deadline| caller_deadline.saturating_sub(now)),
        shortage_duration,
        room_expected_in,
    };
    let wait = retry.sample(&mut *node.random.borrow_mut());
    node.metrics.count("refused", "shortage");
    if *admission_probability < shortage.admission_probability {
        node.metrics.count("refused_by_share", "asked_for_more");
    }
    if node.metrics.take_log_permit(now) {
        let why = format!(
            "{} has capacity for {:.2} of its load (reported {} ms ago, short for {} ms); \
             admitted: {:.2} of this priority, {admission_probability:.2} of this claimant",
            shortage.service,
            shortage.level,
            shortage.age.as_millis(),
            shortage.duration.as_millis(),
            shortage.admission_probability
        );
        log_request(
            node,
            pending.call,
            "refused",
            &why,
            None,
            pending.received_at,
        );
    }
    local_answer(
        StatusCode::SERVICE_UNAVAILABLE,
        Some(wait),
        "no room for the whole request\n",
    )
}

fn refuse_stopping(node: &RoutedNode, call: &OutgoingCall) -> Response<BufferedBody> {
    node.metrics.count("refused", "stopping");
    refuse_temporarily(node, call, "this node stops\n")
}

/// Refuses a request that has not run, with a time after which to retry.
pub(super) fn refuse_temporarily(
    node: &RoutedNode,
    call: &OutgoingCall,
    text: &'static str,
) -> Response<BufferedBody> {
    let wait = retry_after(node, &call.route.settings);
    local_answer(StatusCode::SERVICE_UNAVAILABLE, Some(wait), text)
}
