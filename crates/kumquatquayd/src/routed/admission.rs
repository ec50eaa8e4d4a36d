//! Lets whole requests in, holds them, or refuses them, before anything was done for them.

use std::{rc::Rc, time::Duration};

use http::{Response, StatusCode};
use kumquatquay_core::routed::{EntryLine, EntryRequest, Mechanism, ReturnTime, Shortage};
use rand::Rng;

use super::{
    caller_identity::IdentityRefusal,
    carry::OutgoingCall,
    holding::{HoldEnd, hold, line_of},
    http_io::{WholeBody, own_answer},
    node::{RoutedNode, StopPhase},
    request_log::log_line,
};

/// Place behind all others of the same rank.
pub(super) const LAST_PLACE: f64 = 1.0;

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
    Refused(Response<WholeBody>),
    /// Another configuration came into force while it was held.
    Reloaded,
}

/// Why a request isn't let in.
pub(super) struct NoRoom {
    shortage: Shortage,
    /// Time after which there should be room to hold it, if that is known.
    room_in: Option<Duration>,
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
    if !may_hold(node) {
        let room_in = None;
        return Admission::Refused(refuse(node, entering, &NoRoom { shortage, room_in }));
    }
    match hold(node, entering, &shortage).await {
        HoldEnd::LetIn => check_again(node, entering),
        HoldEnd::NoRoom { room_in } => {
            Admission::Refused(refuse(node, entering, &NoRoom { shortage, room_in }))
        }
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
    if call.workspace.is_some() && node.lacks_proof() {
        let refusal = IdentityRefusal::NoProof;
        node.decisions.count("refused", refusal.name());
        return Admission::Refused(refuse_for_now(node, call, refusal.text()));
    }
    Admission::LetIn
}

fn may_hold(node: &RoutedNode) -> bool {
    node.is_on(Mechanism::EntryHold) && node.stop_phase() == StopPhase::Serving
}

/// Offers a request by its rank; a call of a backend server is part of one that was let in.
fn offer(node: &RoutedNode, entering: &Entering<'_>) -> Result<(), Shortage> {
    let now = node.now();
    let call = entering.call;
    let route = &call.route.settings.name;
    if node.levels.borrow().is_from_outside(now, route) == Some(false) {
        note_call(node, entering);
        return Ok(());
    }
    if !node.is_on(Mechanism::EntryLevels) {
        return Ok(());
    }
    let place = if may_hold(node) {
        LAST_PLACE
    } else {
        node.random.borrow_mut().random()
    };
    offer_at(node, &line_of(call), place)
}

/// Offers a request at a place among those of its rank.
pub(super) fn offer_at(node: &RoutedNode, line: &EntryLine, place: f64) -> Result<(), Shortage> {
    let Some(table) = node.routes() else {
        return Ok(());
    };
    let request = EntryRequest {
        route: &line.route,
        service: &line.service,
        priority: line.priority,
        place,
    };
    let mut levels = node.levels.borrow_mut();
    levels.admit(node.now(), &request, table.priorities())
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
    if let Some(priority) = whole_priority.filter(|_| node.is_on(Mechanism::WholeOrder)) {
        call.whole_priority.set(priority);
    }
}

fn refuse(node: &RoutedNode, entering: &Entering<'_>, why: &NoRoom) -> Response<WholeBody> {
    let now = node.now();
    let shortage = &why.shortage;
    let short_for = if node.is_on(Mechanism::LateReturn) {
        shortage.lasts
    } else {
        Duration::ZERO
    };
    let returns = ReturnTime {
        target_latency: entering.call.route.settings.target_latency,
        time_left: entering.expires.map(|expires| expires.saturating_sub(now)),
        short_for,
        room_in: why.room_in,
    };
    let wait = returns.draw(&mut *node.random.borrow_mut());
    node.decisions.count("refused", "shortage");
    if node.decisions.has_line(now) {
        let why = format!(
            "{} has room for {:.2} of the offered load, told {} ms ago, short for {} ms; \
             {:.2} of this rank are let in",
            shortage.service,
            shortage.level,
            shortage.age.as_millis(),
            shortage.lasts.as_millis(),
            shortage.chance
        );
        log_line(node, entering.call, "refused", &why, None, entering.began);
    }
    own_answer(
        StatusCode::SERVICE_UNAVAILABLE,
        Some(wait),
        "no room for the whole request\n",
    )
}

fn refuse_stopping(node: &RoutedNode, call: &OutgoingCall) -> Response<WholeBody> {
    node.decisions.count("refused", "stopping");
    refuse_for_now(node, call, "this node stops\n")
}

/// Answers a request that has not run and may come back.
pub(super) fn refuse_for_now(
    node: &RoutedNode,
    call: &OutgoingCall,
    text: &'static str,
) -> Response<WholeBody> {
    let returns = ReturnTime::soon(call.route.settings.target_latency);
    let wait = returns.draw(&mut *node.random.borrow_mut());
    own_answer(StatusCode::SERVICE_UNAVAILABLE, Some(wait), text)
}
