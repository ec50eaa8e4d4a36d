//! Dispatch of ticks, log answers and operator commands to the configuration modules.

use kumquatquay_wire::{
    ConfigurationChange, OperatorCommand, OperatorReply, SealedPlan, ServiceName,
};

use super::{
    configuration_table::AppendPurpose,
    confirmation,
    log_reading::{self, ReadAnswer},
    peer_fetch, planner, ranks, snapshot_schedule, start_over, status,
};
use crate::{
    AppendId, Blackboard, LogInput, Moment, OperatorInput, OperatorOutput, OperatorRequestId,
    Output, explain, membership, quarantine,
};

pub(crate) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    ranks::on_tick(board, now);
    peer_fetch::on_tick(board, now, out);
    log_reading::on_tick(board, now, out);
    confirmation::on_tick(board, now, out);
    snapshot_schedule::on_tick(board, now, out);
    board.configuration.plans.on_tick(now.monotonic);
    board.configuration.demand.on_tick(now);
}

/// Whether a log input answers the outstanding read.
pub(crate) fn is_awaiting(board: &Blackboard, input: &LogInput) -> bool {
    let outstanding = board.configuration.reader.outstanding;
    matches!(input, LogInput::Read { read, .. }
        if outstanding.is_some_and(|outstanding| outstanding.id == *read))
}

/// Handles the end of a read or an append.
///
/// Those of other streams are ignored: their ids are unknown here.
pub(crate) fn on_log(board: &mut Blackboard, now: Moment, input: LogInput, out: &mut Vec<Output>) {
    match input {
        LogInput::Appended { append, offset } => {
            if let Some(AppendPurpose::Change(id)) = take_append(board, append) {
                confirmation::on_appended(board, id, offset, out);
            }
        }
        LogInput::AppendRefused { append } => {
            if let Some(AppendPurpose::Change(id)) = take_append(board, append) {
                confirmation::on_append_refused(board, now, id, out);
            }
        }
        LogInput::AppendOutcomeUnknown { append } => {
            if let Some(AppendPurpose::Change(id)) = take_append(board, append) {
                confirmation::on_append_unsure(board, now, id);
            }
        }
        LogInput::Read {
            read,
            records,
            oldest_offset,
            next_offset,
            era,
            ..
        } => {
            let answer = ReadAnswer {
                records,
                oldest_offset,
                next_offset,
                era,
            };
            log_reading::on_answer(board, now, read, answer, out);
        }
        LogInput::ReadFailed { read } => log_reading::on_failed(board, now, read, out),
    }
}

fn take_append(board: &mut Blackboard, append: AppendId) -> Option<AppendPurpose> {
    board.configuration.appends.remove(&append)
}

pub(crate) fn on_operator(
    board: &mut Blackboard,
    now: Moment,
    input: OperatorInput,
    out: &mut Vec<Output>,
) {
    let reply = match input.command {
        OperatorCommand::Confirm { plan } => {
            on_confirm(board, now, input.request, input.operator, &plan, out);
            return;
        }
        OperatorCommand::Drain => membership::drain(board, now, out),
        OperatorCommand::Undrain => membership::undrain(board, now, out),
        OperatorCommand::QuarantineList => quarantine::list(board, now),
        OperatorCommand::QuarantineRelease {
            service,
            fingerprint,
        } => quarantine::release(board, now, &service, fingerprint, out),
        OperatorCommand::IntentList => intents(board),
        OperatorCommand::IntentHistory { service } => history(board, service.as_ref()),
        OperatorCommand::Plan {
            edits,
            allows_unknown,
        } => planner::plan(board, now, edits, allows_unknown),
        OperatorCommand::PlanRevert { version } => planner::plan_revert(board, now, version),
        OperatorCommand::Status { version } => status::status(board, now, version, out),
        OperatorCommand::Explain { subject } => explain::explain(board, subject),
        OperatorCommand::Names => planner::names(board),
        OperatorCommand::StartOver => start_over::start_over(board, out),
    };
    out.push(Output::Operator(OperatorOutput {
        request: input.request,
        reply,
    }));
}

fn intents(board: &Blackboard) -> OperatorReply {
    let entries = board.configuration.state.entries();
    let entries = entries.filter(|entry| entry.intent.is_some());
    OperatorReply::Intents {
        version: board.configuration.version(),
        doubts: board.configuration.doubts(),
        entries: entries.cloned().collect(),
    }
}

fn history(board: &Blackboard, service: Option<&ServiceName>) -> OperatorReply {
    let changes = board.configuration.state.history().rev();
    let changes = changes.filter(|accepted| {
        let mut intents = accepted.change.intents.iter();
        service.is_none_or(|service| intents.any(|intent| intent.service == *service))
    });
    OperatorReply::History {
        changes: changes.cloned().collect(),
    }
}

fn on_confirm(
    board: &mut Blackboard,
    now: Moment,
    request: OperatorRequestId,
    operator: String,
    plan: &str,
    out: &mut Vec<Output>,
) {
    match find_plan(board, plan) {
        Ok(change) if change.intents.is_empty() => {
            let message = "the plan changes nothing; nothing was done";
            refuse(out, request, message);
        }
        Ok(change) => {
            let change = ConfigurationChange {
                operator,
                confirmed_unix_ms: now.unix_ms(),
                ..change
            };
            confirmation::start(board, now, request, change, out);
        }
        Err(message) => refuse(out, request, message),
    }
}

fn refuse(out: &mut Vec<Output>, request: OperatorRequestId, message: &str) {
    let reply = OperatorReply::Refused {
        message: String::from(message),
    };
    out.push(Output::Operator(OperatorOutput { request, reply }));
}

fn find_plan(board: &Blackboard, plan: &str) -> Result<ConfigurationChange, &'static str> {
    if let Some(change) = board.configuration.plans.get(plan) {
        return Ok(change.clone());
    }
    if plan.starts_with("p-") && !plan.contains('_') && plan.len() < 24 {
        return Err(
            "this node does not know the plan: it was made at another node, or more than an \
             hour ago; confirm it there, or give its sealed text (kumquatquay plan --save FILE, \
             then confirm @FILE); nothing was changed",
        );
    }
    SealedPlan::from_text(plan, &board.settings.key)
        .map_err(|_| "this is not a plan, or its text was altered; nothing was changed")
}
