//! Draining of a host, and graceful stop of its node.

use std::time::Duration;

use kumquatquay_wire::{ControlBody, MemberState, OperatorReply};

use super::{gossip, merge, sender};
use crate::{Blackboard, Moment, Note, Output, call, gate};

/// How long a node that stops keeps running at least, even if nothing is under way.
///
/// Nodes that don't know yet still send work here. They get a `not-run` answer with the reason
/// and try elsewhere at once. After this time all nodes know, see `docs/design/membership.md`.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(2);

/// Members to which a node sends that it is gone.
const DEPARTURE_MESSAGES_COUNT: usize = 8;

/// Whether this host is drained or stops.
#[derive(Debug, Default)]
pub(crate) struct DrainState {
    /// Whether an operator has drained the host.
    is_drained: bool,
    /// Progress of the stop, once the node was asked to stop.
    stop: Option<Stop>,
}

#[derive(Debug)]
struct Stop {
    began: Duration,
    until: Duration,
    is_done: bool,
}

pub(crate) fn drain(board: &mut Blackboard, now: Moment, _out: &mut Vec<Output>) -> OperatorReply {
    board.membership.drain_state.is_drained = true;
    update_own_state(board, now);
    OperatorReply::Done {
        message: String::from("this host takes no new work; what it has is finished"),
    }
}

pub(crate) fn undrain(
    board: &mut Blackboard,
    now: Moment,
    _out: &mut Vec<Output>,
) -> OperatorReply {
    if board.membership.drain_state.stop.is_some() {
        return OperatorReply::Refused {
            message: String::from("this node is stopping; its replacement will take new work"),
        };
    }
    board.membership.drain_state.is_drained = false;
    update_own_state(board, now);
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
    if board.membership.drain_state.stop.is_some() {
        return;
    }
    board.membership.drain_state.stop = Some(Stop {
        began: now.monotonic,
        until: now.monotonic + grace,
        is_done: false,
    });
    update_own_state(board, now);
    let detail = format!(
        "takes no new work and stops within {} s",
        grace.as_secs_f32()
    );
    out.push(Output::Note(Note::info("stopping", detail)));
}

/// Whether the stop is complete, so that nothing that arrives now would be answered in time.
pub(crate) fn has_stopped(board: &Blackboard) -> bool {
    let stop = board.membership.drain_state.stop.as_ref();
    stop.is_some_and(|stop| stop.is_done)
}

/// Completes a stop once nothing is under way and [`MIN_DRAIN_TIME`] has passed, or once the
/// grace period is over. What is still under way then gets its final answer.
pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let under_way_count = under_way_count(board);
    let Some(stop) = board.membership.drain_state.stop.as_mut() else {
        return;
    };
    if stop.is_done {
        return;
    }
    let is_grace_over = now.monotonic >= stop.until;
    let is_min_time_over = now.monotonic >= stop.began + MIN_DRAIN_TIME;
    let is_finished = is_min_time_over && under_way_count == 0;
    if !is_grace_over && !is_finished {
        return;
    }
    stop.is_done = true;
    if under_way_count > 0 {
        let detail = format!("the grace period ended with {under_way_count} requests under way");
        out.push(Output::Note(Note::warn("grace_ran_out", detail)));
    }
    call::finish_all(board, now, out);
    gate::refuse_all_at_end(board, out);
    merge::change_own(board, now, |own| own.state = MemberState::Gone);
    send_departure(board, now, out);
    out.push(Output::StopNow {
        aborted_count: under_way_count,
    });
}

/// Sends to some members that this node is gone; they gossip it to the others.
///
/// If all these messages are lost, the probes detect it within seconds.
fn send_departure(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    for to in gossip::random_local_members(board, DEPARTURE_MESSAGES_COUNT) {
        sender::send_local(board, now, to, ControlBody::Gossip, out);
    }
}

fn under_way_count(board: &Blackboard) -> usize {
    board.calls.len() + board.gate.running_count() + board.gate.queued_count()
}

/// Updates this node's own record, and gossips it if it has changed.
///
/// A drain by an operator and a stop override the state that the backend server announces: its
/// next announcement must not bring it new work.
pub(super) fn update_own_state(board: &mut Blackboard, now: Moment) {
    let drain_state = &board.membership.drain_state;
    let is_leaving = drain_state.is_drained || drain_state.stop.is_some();
    let announced = board.membership.announcement.as_ref();
    let announced_state = announced.map_or(MemberState::Idle, |announced| announced.state);
    let announced_state = match announced_state {
        // The node keeps running when its backend server is gone.
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
