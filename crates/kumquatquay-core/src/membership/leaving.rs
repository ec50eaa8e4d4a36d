//! How a host stops to take new work, and how its node stops.

use std::time::Duration;

use kumquatquay_wire::{ControlBody, MemberState, OperatorReply};

use super::{gossip, merge, sender};
use crate::{Blackboard, Moment, Note, Output};

/// How long a node stays after it began to leave, though nothing is under way.
///
/// Nodes that have not heard yet still send here; while this node stays, they
/// get a `not-run` answer that names the reason, and try elsewhere at once. By
/// then the news is everywhere, see `docs/design/membership.md`.
const LEAST_STAY: Duration = Duration::from_secs(2);

/// Members that a node tells that it is gone.
const GOODBYES_COUNT: usize = 8;

/// Whether and why this host leaves.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    /// An operator drains the host.
    is_drained: bool,
    /// The host was asked to stop.
    stop: Option<Stop>,
}

#[derive(Debug)]
struct Stop {
    began: Duration,
    until: Duration,
    is_done: bool,
}

pub(crate) fn drain(board: &mut Blackboard, now: Moment, _out: &mut Vec<Output>) -> OperatorReply {
    board.membership.leaving.is_drained = true;
    tell_own_state(board, now);
    OperatorReply::Done {
        message: String::from("this host takes no new work; what it has is finished"),
    }
}

pub(crate) fn undrain(
    board: &mut Blackboard,
    now: Moment,
    _out: &mut Vec<Output>,
) -> OperatorReply {
    if board.membership.leaving.stop.is_some() {
        return OperatorReply::Refused {
            message: String::from("this node is stopping; its replacement will take new work"),
        };
    }
    board.membership.leaving.is_drained = false;
    tell_own_state(board, now);
    OperatorReply::Done {
        message: String::from("this host takes new work again"),
    }
}

pub(crate) fn on_stopping(
    board: &mut Blackboard,
    now: Moment,
    grace: Duration,
    out: &mut Vec<Output>,
) {
    if board.membership.leaving.stop.is_some() {
        return;
    }
    board.membership.leaving.stop = Some(Stop {
        began: now.monotonic,
        until: now.monotonic + grace,
        is_done: false,
    });
    tell_own_state(board, now);
    let detail = format!("takes no new work; stops within {} s", grace.as_secs_f32());
    out.push(Output::Note(Note::info("stopping", detail)));
}

/// Ends a stop that has begun, once nothing is under way or the grace is over.
pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let under_way_count = under_way_count(board);
    let Some(stop) = board.membership.leaving.stop.as_mut() else {
        return;
    };
    if stop.is_done {
        return;
    }
    let is_late = now.monotonic >= stop.until;
    let is_told = now.monotonic >= stop.began + LEAST_STAY;
    let is_finished = is_told && under_way_count == 0;
    if !is_late && !is_finished {
        return;
    }
    stop.is_done = true;
    if under_way_count > 0 {
        let detail = format!("the grace ran out with {under_way_count} requests under way");
        out.push(Output::Note(Note::warn("grace_ran_out", detail)));
    }
    merge::change_own(board, now, |own| own.state = MemberState::Gone);
    say_goodbye(board, now, out);
    out.push(Output::StopNow {
        aborted_count: under_way_count,
    });
}

/// Tells some members that this node is gone; they tell the others. Were all
/// these messages lost, the probes would find out within seconds.
fn say_goodbye(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    for to in gossip::some_near(board, GOODBYES_COUNT) {
        sender::send_near(board, now, to, ControlBody::News, out);
    }
}

fn under_way_count(board: &Blackboard) -> usize {
    board.calls.len() + board.gate.running_count() + board.gate.queued_count()
}

/// Tells the other nodes what state this host is in, if that has changed.
///
/// A drain by an operator and a stop go before what the backend server says of
/// itself: its next announcement must not bring it new work.
pub(super) fn tell_own_state(board: &mut Blackboard, now: Moment) {
    let leaving = &board.membership.leaving;
    let is_leaving = leaving.is_drained || leaving.stop.is_some();
    let announced = board.membership.announced.as_ref();
    let announced_state = announced.map_or(MemberState::Idle, |announced| announced.state);
    let announced_state = match announced_state {
        // The node stays when its backend server goes.
        MemberState::Gone => MemberState::Idle,
        state => state,
    };
    let mut record = board.members.own().clone();
    if let Some(announced) = announced {
        record.service = Some(announced.service.clone());
        record.life.clone_from(&announced.life);
        record.slots_count = announced.slots_count;
    }
    record.state = if is_leaving {
        MemberState::Draining.max(announced_state)
    } else {
        announced_state
    };
    if record != *board.members.own() {
        merge::change_own(board, now, |own| *own = record);
    }
}
