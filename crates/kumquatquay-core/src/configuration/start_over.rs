//! Restart of the configuration after its history in the log was lost.

use kumquatquay_wire::{ConfigurationRecord, ConfigurationSnapshot, OperatorReply};

use super::{configuration_table::AppendPurpose, log_reader::LogFault};
use crate::{Blackboard, Note, Output, Severity};

/// Appends a snapshot of this node's state as the state at the end of the stream.
///
/// This is allowed only if records have expired that neither a snapshot nor another node replaces.
/// Nodes with a later state or a higher version never adopt the snapshot, so it undoes no change
/// that any node knows to be in force.
pub(super) fn start_over(board: &mut Blackboard, out: &mut Vec<Output>) -> OperatorReply {
    let reader = &board.configuration.reader;
    if !matches!(reader.fault, Some(LogFault::HistoryLost { .. })) {
        return OperatorReply::Refused {
            message: String::from(
                "nothing was done: this node has not found the history of the configuration to \
                 be lost; `kumquatquay intent list` says what it knows",
            ),
        };
    }
    let through = reader.next_offset.saturating_sub(1);
    let scanned = reader.last_scanned.filter(|(offset, _)| *offset == through);
    let known = board.configuration.state.to_snapshot().unwrap_or_default();
    let snapshot = ConfigurationSnapshot {
        through,
        digest: scanned.map_or(0, |(_, digest)| digest),
        history_after: Some(through),
        ..known
    };
    let intents_count = snapshot.entries.len();
    let record = ConfigurationRecord::Snapshot(snapshot).to_bytes(&board.settings.key);
    let append = board.next_id();
    let purpose = AppendPurpose::Snapshot;
    board.configuration.appends.insert(append, purpose);
    out.push(Output::Append {
        append,
        stream: String::from(ConfigurationRecord::STREAM),
        record,
    });
    let detail = format!(
        "an operator restarts the configuration from the {intents_count} entries of this node"
    );
    out.push(Output::Note(Note::new(
        Severity::Warn,
        "configuration_starts_over",
        detail,
    )));
    OperatorReply::Done {
        message: format!(
            "the log was asked to take {intents_count} entries as what is in force; \
             `kumquatquay intent list` shows within seconds whether it did"
        ),
    }
}
