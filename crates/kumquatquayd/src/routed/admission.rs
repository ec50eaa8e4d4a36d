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
    holding::{HoldEnd, hold, line_of},
    http_io::{BufferedBody, local_answer},
    node::{RoutedNode, StopPhase},
    request_log::log_line,
};

/// Place behind all others of the same rank.
const LAST_PLACE: f64 = 1.0;

/// Work of a request at a service that nobody has told yet.
const UNKNOWN_WORK: Duration = Duration::from_millis(50);

/// A request at the entry that may have to wait.
pub(super) struct Entering<'a> {
    pub(super) call: &'a OutgoingCall,
    /// When it was read.
    pub(super) began: Duration,
    /// When its caller gives up, if it has said so.
    pub(super) expires: Option<Duration>,
}

/// What becomes of a request at the entry.
pub(super) enum Admission {
    /// It is let in.
    LetIn,
    /// It is refused, and has not run.
    Refused(Response<BufferedBody>),
    /// Another configuration came into force while it was held.
    Reloaded,
}

/// A service that is short, and what that means for one who asks for its room.
pub(super) struct Short {
    pub(super) shortage: Shortage,
    /// Share of the requests of the same claimant that are let in.
    pub(super) own_chance: f64,
}

impl Short {
    /// Takes in that one of a line asks for room at the service that is short.
    fn of(node: &RoutedNode, line: &FlowKey, shortage: Shortage) -> Self {
        let own_chance = if node.is_on(Mechanism::FairShares) {
            ask_for_share(node, line, &shortage)
        } else {
            shortage.chance
        };
        Self {
            shortage,
            own_chance,
        }
    }
}

/// The chance of a claimant, by the work that it asks of the service that is short.
fn ask_for_share(node: &RoutedNode, line: &FlowKey, shortage: &Shortage) -> f64 {
    let now = node.now();
    let works = node
        .levels
        .borrow()
        .work_at(now, &line.route, &line.service);
    let work = works.iter().find(|work| work.service == shortage.service);
    let work = work.map_or(UNKNOWN_WORK, |work| work.work);
    let group = ShareGroup {
        service: shortage.service.clone(),
        priority: line.priority,
    };
    let mut shares = node.shares.borrow_mut();
    let work_s = work.as_secs_f64();
    shares.ask(now, &group, &line.claimant, work_s, shortage.chance)
}

impl Entering<'_> {
    /// Moment until which its answer is worth most.
    pub(super) fn due(&self) -> Duration {
        let due = self.began + self.call.route.settings.target_latency;
        due.min(self.call.deadline)
    }
}

/// Lets a request in, if need be after it was held, or refuses it.
pub(super) async fn admit(node: &Rc<RoutedNode>, entering: &Entering<'_>) -> Admission {
    let Err(shortage) = offer(node, entering) else {
        return Admission::LetIn;
    };
    if !decides_by_chance(node) {
        let own_chance = shortage.chance;
        let short = Short {
            shortage,
            own_chance,
        };
        return Admission::Refused(refuse(node, entering, &short, None));
    }
    let line = line_of(entering.call);
    let short = Short::of(node, &line, shortage);
    if may_hold(node) {
        return hold_or_refuse(node, entering, &line, &short).await;
    }
    if node.random.borrow_mut().random::<f64>() < short.own_chance {
        return Admission::LetIn;
    }
    Admission::Refused(refuse(node, entering, &short, None))
}

async fn hold_or_refuse(
    node: &RoutedNode,
    entering: &Entering<'_>,
    line: &FlowKey,
    short: &Short,
) -> Admission {
    match hold(node, entering, line, short).await {
        HoldEnd::LetIn => check_again(node, entering),
        HoldEnd::NoRoom { room_in } => Admission::Refused(refuse(node, entering, short, room_in)),
        HoldEnd::Stopping => Admission::Refused(refuse_stopping(node, entering.call)),
        HoldEnd::Reloaded => Admission::Reloaded,
    }
}

/// Whether a request that may have been held is still allowed.
fn check_again(node: &RoutedNode, entering: &Entering<'_>) -> Admission {
    let call = entering.call;
    if call.version != node.route_version() {
        return Admission::Reloaded;
    }
    if call.workspace.is_some() && node.lacks_valid_proof() {
        let refusal = IdentityRefusal::NoProof;
        node.metrics.count("refused", refusal.name());
        return Admission::Refused(refuse_for_now(node, call, refusal.text()));
    }
    Admission::LetIn
}

fn may_hold(node: &RoutedNode) -> bool {
    node.is_on(Mechanism::EntryHold) && node.stop_phase() == StopPhase::Serving
}

/// Whether a request is let in by its chance, and not by a place of its own in its rank.
fn decides_by_chance(node: &RoutedNode) -> bool {
    may_hold(node) || node.is_on(Mechanism::FairShares)
}

/// Offers a request by its rank; a call of a backend server is part of one that was let in.
fn offer(node: &RoutedNode, entering: &Entering<'_>) -> Result<(), Shortage> {
    let call = entering.call;
    let route = &call.route.settings.name;
    let is_from_outside = node.levels.borrow().is_from_outside(node.now(), route);
    if is_from_outside == Some(false) {
        note_call(node, entering);
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
        place,
    };
    offer_request(node, &request)
}

fn offer_request(node: &RoutedNode, request: &EntryRequest<'_>) -> Result<(), Shortage> {
    let Some(table) = node.routes() else {
        return Ok(());
    };
    let mut levels = node.levels.borrow_mut();
    levels.admit(node.now(), request, table.priorities())
}

/// Offers a request of a line anew and tells the chance that it has.
pub(super) fn offer_anew(node: &RoutedNode, line: &FlowKey) -> f64 {
    let request = EntryRequest {
        route: &line.route,
        service: &line.service,
        priority: line.priority,
        place: LAST_PLACE,
    };
    match offer_request(node, &request) {
        Ok(()) => 1.0,
        Err(shortage) => Short::of(node, line, shortage).own_chance,
    }
}

/// A call that a backend server made is put to the run that made it.
fn note_call(node: &RoutedNode, entering: &Entering<'_>) {
    let now = node.now();
    let call = entering.call;
    let route = &call.route.settings.name;
    node.graph.borrow_mut().called(now, route);
    let Some(expires) = entering.expires else {
        return;
    };
    let whole_priority = node.tracer.borrow_mut().called(route, expires);
    if let Some(priority) = whole_priority.filter(|_| node.is_on(Mechanism::RequestPriority)) {
        call.whole_priority.set(priority);
    }
}

fn refuse(
    node: &RoutedNode,
    entering: &Entering<'_>,
    short: &Short,
    room_in: Option<Duration>,
) -> Response<BufferedBody> {
    let now = node.now();
    let Short {
        shortage,
        own_chance,
    } = short;
    let short_for = if node.is_on(Mechanism::GrowingRetryAfter) {
        shortage.lasts
    } else {
        Duration::ZERO
    };
    let returns = RetryAfter {
        target_latency: entering.call.route.settings.target_latency,
        time_left: entering.expires.map(|expires| expires.saturating_sub(now)),
        short_for,
        room_in,
    };
    let wait = returns.draw(&mut *node.random.borrow_mut());
    node.metrics.count("refused", "shortage");
    if *own_chance < shortage.chance {
        node.metrics.count("refused_by_share", "asked_for_more");
    }
    if node.metrics.take_log_permit(now) {
        let why = format!(
            "{} has room for {:.2} of the offered load, told {} ms ago, short for {} ms; \
             {:.2} of this rank are let in, {own_chance:.2} of this workspace's",
            shortage.service,
            shortage.level,
            shortage.age.as_millis(),
            shortage.lasts.as_millis(),
            shortage.chance
        );
        log_line(node, entering.call, "refused", &why, None, entering.began);
    }
    local_answer(
        StatusCode::SERVICE_UNAVAILABLE,
        Some(wait),
        "no room for the whole request\n",
    )
}

fn refuse_stopping(node: &RoutedNode, call: &OutgoingCall) -> Response<BufferedBody> {
    node.metrics.count("refused", "stopping");
    refuse_for_now(node, call, "this node stops\n")
}

/// Answers a request that has not run and may come back.
pub(super) fn refuse_for_now(
    node: &RoutedNode,
    call: &OutgoingCall,
    text: &'static str,
) -> Response<BufferedBody> {
    let wait = retry_after(node, &call.route.settings);
    local_answer(StatusCode::SERVICE_UNAVAILABLE, Some(wait), text)
}
