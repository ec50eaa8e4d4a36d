//! Confirmations of plans, from the append to the outcome.

use std::time::Duration;

use kumquatquay_wire::{
    ChangeId, ConfigurationChange, ConfigurationRecord, ConfigurationVersion, Conflict, LogOffset,
    OperatorReply,
};

use super::{configuration_table::AppendPurpose, differences::differences, log_reading};
use crate::{AppendId, Blackboard, Counter, Moment, OperatorOutput, OperatorRequestId, Output};

/// Time after which a confirmation ends as undecided.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause before a change is appended again whose append may or may not have taken effect.
const APPEND_PAUSE: Duration = Duration::from_millis(500);

/// Limit of concurrent confirmations; further ones are refused.
const CONFIRMATIONS_LIMIT_COUNT: usize = 64;

/// A confirmation under way.
///
/// It ends when the change has been read back from the log and accepted, when it can no longer be
/// accepted, or at its timeout. A successful append is not enough, because a conflicting change
/// may precede this one in the log.
#[derive(Debug)]
pub(crate) struct Confirmation {
    change: ConfigurationChange,
    requests: Vec<OperatorRequestId>,
    /// Last record applied at the start. The change had not been accepted by then.
    started_through: Option<LogOffset>,
    expires_at: Duration,
    /// The append under way.
    append: Option<AppendId>,
    /// When to append the change again.
    append_at: Option<Duration>,
    /// Whether the change may be in the log.
    may_be_appended: bool,
    /// Offset at which the change is certainly in the log.
    appended_at: Option<LogOffset>,
}

/// Starts the confirmation of a change by an operator.
///
/// The reply may be sent later. A request for a change that is being confirmed already joins that
/// confirmation.
pub(super) fn start(
    board: &mut Blackboard,
    now: Moment,
    request: OperatorRequestId,
    change: ConfigurationChange,
    out: &mut Vec<Output>,
) {
    let id = change.id;
    if let Some(version) = board.configuration.state.accepted_version(id) {
        reply(out, request, accepted(version, true));
        return;
    }
    if let Some(confirmation) = board.configuration.confirmations.get_mut(&id) {
        confirmation.requests.push(request);
        return;
    }
    if let Some(refusal) = refusal(board, &change) {
        reply(out, request, refusal);
        return;
    }
    let started_through = board.configuration.state.through();
    board.configuration.confirmations.insert(
        id,
        Confirmation {
            change,
            requests: vec![request],
            started_through,
            expires_at: now.monotonic + CONFIRMATION_TIMEOUT,
            append: None,
            append_at: None,
            may_be_appended: false,
            appended_at: None,
        },
    );
    append(board, id, out);
}

fn refusal(board: &Blackboard, change: &ConfigurationChange) -> Option<OperatorReply> {
    let configuration = &board.configuration;
    if !configuration.is_established() {
        return Some(refused(
            "this node does not know the configuration in force yet, so it can't tell whether \
             the plan is current; nothing was changed; confirm again later or at another node",
        ));
    }
    if let Some(doubt) = &configuration.reader.fault {
        return Some(refused(format!("{doubt}; nothing was changed")));
    }
    if configuration.state.conflicts(change).next().is_some() {
        return Some(conflict(board, change));
    }
    if configuration.confirmations.len() >= CONFIRMATIONS_LIMIT_COUNT {
        return Some(refused(
            "too many confirmations are under way here; nothing was changed",
        ));
    }
    None
}

fn append(board: &mut Blackboard, id: ChangeId, out: &mut Vec<Output>) {
    let append = board.next_id();
    let Some(confirmation) = board.configuration.confirmations.get_mut(&id) else {
        return;
    };
    confirmation.append = Some(append);
    confirmation.append_at = None;
    let record = ConfigurationRecord::Change(confirmation.change.clone());
    let purpose = AppendPurpose::Change(id);
    board.configuration.appends.insert(append, purpose);
    out.push(Output::Append {
        append,
        stream: String::from(ConfigurationRecord::STREAM),
        record: record.to_bytes(&board.settings.key),
    });
}

/// Handles the success of an append.
pub(super) fn on_appended(
    board: &mut Blackboard,
    id: ChangeId,
    offset: LogOffset,
    out: &mut Vec<Output>,
) {
    if let Some(confirmation) = board.configuration.confirmations.get_mut(&id) {
        confirmation.append = None;
        confirmation.may_be_appended = true;
        confirmation.appended_at.get_or_insert(offset);
    }
    log_reading::read_immediately(board);
    finish_decided(board, out);
}

/// Handles an append that certainly had no effect.
pub(super) fn on_append_refused(
    board: &mut Blackboard,
    now: Moment,
    id: ChangeId,
    out: &mut Vec<Output>,
) {
    let Some(confirmation) = board.configuration.confirmations.get_mut(&id) else {
        return;
    };
    confirmation.append = None;
    if confirmation.may_be_appended {
        confirmation.append_at = Some(now.monotonic + APPEND_PAUSE);
        return;
    }
    // The refusal covers this append only. The same plan may have been confirmed at a node that
    // crashed afterwards, and the record of that confirmation may be in the log.
    let message = "the log does not take records now, and it certainly did not take this one, so \
                   this confirmation changed nothing anywhere; what was in force stays in force \
                   (unless the same plan was confirmed before and that answer was lost); confirm \
                   the same plan again when the log is back";
    finish(board, id, &refused(message), out);
}

/// Handles an append without an answer: the record may be in the log or may still arrive there.
///
/// The change is appended again with the same id. If both records get into the log, the first one
/// is accepted and the second one is a duplicate by its id.
pub(super) fn on_append_unsure(board: &mut Blackboard, now: Moment, id: ChangeId) {
    board
        .counters
        .increment(Counter::ConfigurationAppendsUnsure);
    if let Some(confirmation) = board.configuration.confirmations.get_mut(&id) {
        confirmation.append = None;
        confirmation.may_be_appended = true;
        confirmation.append_at = Some(now.monotonic + APPEND_PAUSE);
    }
    log_reading::read_immediately(board);
}

pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    if board.configuration.confirmations.is_empty() {
        return;
    }
    let is_due = |at: Option<Duration>| at.is_some_and(|at| now.monotonic >= at);
    let confirmations = board.configuration.confirmations.iter();
    let due = confirmations.filter(|(_, confirmation)| is_due(confirmation.append_at));
    let due: Vec<ChangeId> = due.map(|(id, _)| *id).collect();
    for id in due {
        append(board, id, out);
    }
    finish_expired(board, now, out);
}

fn finish_expired(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let confirmations = board.configuration.confirmations.iter();
    let expired =
        confirmations.filter(|(_, confirmation)| now.monotonic >= confirmation.expires_at);
    let expired: Vec<ChangeId> = expired.map(|(id, _)| *id).collect();
    for id in expired {
        finish(board, id, &undecided(), out);
    }
}

/// Ends the confirmations whose outcome follows from the records applied so far.
pub(super) fn finish_decided(board: &mut Blackboard, out: &mut Vec<Output>) {
    let ids: Vec<ChangeId> = board.configuration.confirmations.keys().copied().collect();
    for id in ids {
        if let Some(reply) = outcome(board, id) {
            finish(board, id, &reply, out);
        }
    }
}

fn outcome(board: &Blackboard, id: ChangeId) -> Option<OperatorReply> {
    let state = &board.configuration.state;
    if let Some(version) = state.accepted_version(id) {
        return Some(accepted(version, false));
    }
    let confirmation = board.configuration.confirmations.get(&id)?;
    let change = &confirmation.change;
    let has_conflict = state.conflicts(change).next().is_some();
    if has_conflict && has_history_since(board, confirmation.started_through) {
        return Some(conflict(board, change));
    }
    let is_read = confirmation
        .appended_at
        .is_some_and(|offset| state.through() >= Some(offset));
    is_read.then(undecided)
}

/// Whether the history has all changes that were accepted since an offset.
///
/// If it lacks some, the change itself may be among these and its conflict with the current
/// version does not show that it was rejected.
fn has_history_since(board: &Blackboard, through: Option<LogOffset>) -> bool {
    let changes = board
        .configuration
        .state
        .changes_after(through.unwrap_or_default());
    changes.is_some()
}

fn finish(board: &mut Blackboard, id: ChangeId, outcome: &OperatorReply, out: &mut Vec<Output>) {
    let Some(confirmation) = board.configuration.confirmations.remove(&id) else {
        return;
    };
    for request in confirmation.requests {
        reply(out, request, outcome.clone());
    }
}

fn reply(out: &mut Vec<Output>, request: OperatorRequestId, reply: OperatorReply) {
    out.push(Output::Operator(OperatorOutput { request, reply }));
}

fn accepted(version: ConfigurationVersion, is_repeat: bool) -> OperatorReply {
    let message = if is_repeat {
        format!("this plan had been accepted already, as version {version}; nothing more was done")
    } else {
        format!("accepted as version {version}; it is in force at this node and spreads")
    };
    OperatorReply::Accepted {
        version,
        is_repeat,
        message,
    }
}

fn refused(message: impl Into<String>) -> OperatorReply {
    OperatorReply::Refused {
        message: message.into(),
    }
}

fn undecided() -> OperatorReply {
    OperatorReply::Undecided {
        message: String::from(
            "it is not known whether the log took the change; it may be in force now or come in \
             force yet, as a whole or not at all; confirm the same plan again to find out, which \
             never applies it twice",
        ),
    }
}

/// The reply for a conflict: who made the change that is in force instead, and what differs.
fn conflict(board: &Blackboard, change: &ConfigurationChange) -> OperatorReply {
    let state = &board.configuration.state;
    let conflicts: Vec<Conflict> = state
        .conflicts(change)
        .map(|wanted| {
            let entry = state.entry(&wanted.service);
            let in_force = entry.and_then(|entry| entry.intent.as_ref());
            Conflict {
                service: wanted.service.clone(),
                base: wanted.base,
                version: entry.map(|entry| entry.version),
                operator: entry
                    .map(|entry| entry.operator.clone())
                    .unwrap_or_default(),
                confirmed_unix_ms: entry.map_or(0, |entry| entry.confirmed_unix_ms),
                differences: differences(in_force, wanted.intent.as_ref()),
            }
        })
        .collect();
    let names: Vec<&str> = conflicts
        .iter()
        .map(|conflict| conflict.operator.as_str())
        .collect();
    let message = format!(
        "a change by {} was first; nothing of this plan was changed; make a new plan",
        names.join(", ")
    );
    OperatorReply::Conflict { conflicts, message }
}
