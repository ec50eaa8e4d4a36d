//! Handles the events of calls.

use std::time::Duration;

use super::{
    arrival::on_arrived,
    ending::{finish_expired, on_abandoned, on_attempt_ended},
};
use crate::{Blackboard, CallInput, Moment, Output, operations};

/// How often expired calls are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) fn on_input(
    board: &mut Blackboard,
    now: Moment,
    input: CallInput,
    out: &mut Vec<Output>,
) {
    match input {
        CallInput::Arrived(arrived) => on_arrived(board, now, arrived, out),
        CallInput::AttemptEnded(ended) => on_attempt_ended(board, now, ended, out),
        CallInput::Abandoned { call } => on_abandoned(board, now, call, out),
        CallInput::IssueOperation(asked) => operations::issue(board, now, asked, out),
    }
}

pub(crate) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    if now.monotonic.saturating_sub(board.calls.last_sweep) < SWEEP_INTERVAL {
        return;
    }
    board.calls.last_sweep = now.monotonic;
    finish_expired(board, now, out);
}
