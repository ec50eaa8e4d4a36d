//! Lets whole requests in, holds them, or refuses them, before anything was done for them.

use std::{rc::Rc, time::Duration};

use http::{Response, StatusCode};
use kumquatquay_core::routed::{
    EntryRequest, FlowKey, Mechanism, RetryAfter, ShareGroup, Shortage,
};
use rand::Rng;

use super::{
    caller_identity::IdentityRefusal,
    entry::retry_after,
    forwarding::OutgoingCall,
    held_requests::{HoldResult, flow_key_of, hold},
    http_io::{BufferedBody, local_answer},
    node::{RoutedNode, StopPhase},
    request_log::log_request,
};

/// Place behind all others of the same rank.
const LAST_PLACE: f64 = 1.0;

/// Work of a request at a service that nobody has told yet.
const UNKNOWN_WORK: Duration = Duration::from_millis(50);

/// A request at the entry that may have to wait.
pub(super) struct PendingRequest<'a> {
    pub(super) call: &'a OutgoingCall,
    /// When it was read.
    pub(super) began: Duration,
    /// When its caller gives up, if it has said so.
    pub(super) expires: Option<Duration>,
}

/// What becomes of a request at the entry.
pub(super) enum Admission {
    /// It is let in.
    Admitted,
    /// It is refused, and has not run.
    Refused(Response<BufferedBody>),
    /// Another configuration came into force while it was held.
    ConfigurationChanged,
}

/// A service that is short, and what that means for one who asks for its room.
pub(super) struct ClaimantShortage {
    pub(super) shortage: Shortage,
    /// Share of the requests of the same claimant that are let in.
    pub(super) admission_probability: f64,
}

impl ClaimantShortage {
    /// Takes in that one of a line asks for room at the service that is short.
    fn of(node: &RoutedNode, line: &FlowKey, shortage: Shortage) -> Self {
        let admission_probability = if node.is_on(Mechanism::FairShares) {
            ask_for_share(node, line, &shortage)
        } else {
            shortage.admission_probability
        };
        Self {
            shortage,
            admission_probability,
        }
    }
}

/// The chance of a claimant, by the work that it asks of the service that is short.
fn ask_for_share(node: &RoutedNode, line: &FlowKey, shortage: &Shortage) -> f64 {
    let now = node.now();
    let works = node
        .entry_admission
        .borrow()
        .work_by_service(now, &line.route, &line.service);
    let work = works.iter().find(|work| work.service == shortage.service);
    let work = work.map_or(UNKNOWN_WORK, |work| work.work);
    let group = ShareGroup {
        service: shortage.service.clone(),
        priority: line.priority,
    };
    let mut shares = node.fair_shares.borrow_mut();
    let work_s = work.as_secs_f64();
    shares.on_request(
        now,
        &group,
        &line.claimant,
        work_s,
        shortage.admission_probability,
    )
}

impl PendingRequest<'_> {
    /// Moment until which its answer is worth most.
    pub(super) fn due(&self) -> Duration {
        let due = self.began + self.call.route.settings.target_latency;
        due.min(self.call.deadline)
    }
}

/// Lets a request in, if need be after it was held, or refuses it.
pub(super) async fn admit(node: &Rc<RoutedNode>, pending: &PendingRequest<'_>) -> Admission {
    let Err(shortage) = offer(node, pending) else {
        return Admission::Admitted;
    };
    if !decides_by_chance(node) {
        let admission_probability = shortage.admission_probability;
        let short = ClaimantShortage {
            shortage,
            admission_probability,
        };
        return Admission::Refused(refuse(node, pending, &short, None));
    }
    let line = flow_key_of(pending.call);
    let short = ClaimantShortage::of(node, &line, shortage);
    if may_hold(node) {
        return hold_or_refuse(node, pending, &line, &short).await;
    }
    if node.random.borrow_mut().random::<f64>() < short.admission_probability {
        return Admission::Admitted;
    }
    Admission::Refused(refuse(node, pending, &short, None))
}

async fn hold_or_refuse(
    node: &RoutedNode,
    pending: &PendingRequest<'_>,
    line: &FlowKey,
    short: &ClaimantShortage,
) -> Admission {
    match hold(node, pending, line, short).await {
        HoldResult::Admitted => check_again(node, pending),
        HoldResult::NoRoom { room_in } => Admission::Refused(refuse(node, pending, short, room_in)),
        HoldResult::Stopping => Admission::Refused(refuse_stopping(node, pending.call)),
        HoldResult::ConfigurationChanged => Admission::ConfigurationChanged,
    }
}

/// Whether a request that may have been held is still allowed.
fn check_again(node: &RoutedNode, pending: &PendingRequest<'_>) -> Admission {
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
    node.is_on(Mechanism::EntryHold) && node.stop_phase() == StopPhase::Serving
}

/// Whether a request is let in by its chance, and not by a place of its own in its rank.
fn decides_by_chance(node: &RoutedNode) -> bool {
    may_hold(node) || node.is_on(Mechanism::FairShares)
}

/// Offers a request by its rank; a call of a backend server is part of one that was let in.
fn offer(node: &RoutedNode, pending: &PendingRequest<'_>) -> Result<(), Shortage> {
    let call = pending.call;
    let route = &call.route.settings.name;
    let is_from_outside = node
        .entry_admission
        .borrow()
        .is_from_outside(node.now(), route);
    if is_from_outside == Some(false) {
        note_call(node, pending);
        return Ok(());
    }
    if !node.is_on(Mechanism::EntryLevels) {
        return Ok(());
    }
    let place = if decides_by_chance(node) {
        LAST_PLACE
    } else {
        node.random.borrow_mut().random()
    };
    let request = EntryRequest {
        route,
        service: &call.service,
        priority: call.whole_priority.get(),
        tie_breaker: place,
    };
    offer_request(node, &request)
}

fn offer_request(node: &RoutedNode, request: &EntryRequest<'_>) -> Result<(), Shortage> {
    let Some(table) = node.routes() else {
        return Ok(());
    };
    let mut levels = node.entry_admission.borrow_mut();
    levels.admit(node.now(), request, table.priorities())
}

/// Offers a request of a line anew and tells the chance that it has.
pub(super) fn admission_probability(node: &RoutedNode, line: &FlowKey) -> f64 {
    let request = EntryRequest {
        route: &line.route,
        service: &line.service,
        priority: line.priority,
        tie_breaker: LAST_PLACE,
    };
    match offer_request(node, &request) {
        Ok(()) => 1.0,
        Err(shortage) => ClaimantShortage::of(node, line, shortage).admission_probability,
    }
}

/// A call that a backend server made is put to the run that made it.
fn note_call(node: &RoutedNode, pending: &PendingRequest<'_>) {
    let now = node.now();
    let call = pending.call;
    let route = &call.route.settings.name;
    node.call_graph.borrow_mut().call_started(now, route);
    let Some(expires) = pending.expires else {
        return;
    };
    let whole_priority = node.call_tracer.borrow_mut().call_started(route, expires);
    if let Some(priority) = whole_priority.filter(|_| node.is_on(Mechanism::RequestPriority)) {
        call.whole_priority.set(priority);
    }
}

fn refuse(
    node: &RoutedNode,
    pending: &PendingRequest<'_>,
    short: &ClaimantShortage,
    room_in: Option<Duration>,
) -> Response<BufferedBody> {
    let now = node.now();
    let ClaimantShortage {
        shortage,
        admission_probability,
    } = short;
    let short_for = if node.is_on(Mechanism::GrowingRetryAfter) {
        shortage.duration
    } else {
        Duration::ZERO
    };
    let returns = RetryAfter {
        target_latency: pending.call.route.settings.target_latency,
        time_left: pending.expires.map(|expires| expires.saturating_sub(now)),
        short_for,
        room_in,
    };
    let wait = returns.draw(&mut *node.random.borrow_mut());
    node.metrics.count("refused", "shortage");
    if *admission_probability < shortage.admission_probability {
        node.metrics.count("refused_by_share", "asked_for_more");
    }
    if node.metrics.take_log_permit(now) {
        let why = format!(
            "{} has room for {:.2} of the offered load, told {} ms ago, short for {} ms; \
             {:.2} of this rank are let in, {admission_probability:.2} of this workspace's",
            shortage.service,
            shortage.level,
            shortage.age.as_millis(),
            shortage.duration.as_millis(),
            shortage.admission_probability
        );
        log_request(node, pending.call, "refused", &why, None, pending.began);
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

/// Answers a request that has not run and may come back.
pub(super) fn refuse_temporarily(
    node: &RoutedNode,
    call: &OutgoingCall,
    text: &'static str,
) -> Response<BufferedBody> {
    let wait = retry_after(node, &call.route.settings);
    local_answer(StatusCode::SERVICE_UNAVAILABLE, Some(wait), text)
}
