//! The way on when what was in force is lost.

use kumquatquay_wire::{ConfigurationRecord, ConfigurationSnapshot, OperatorReply};

use super::{configuration_table::AppendPurpose, log_reader::LogFault};
use crate::{Blackboard, Note, Output, Severity};

/// Appends what this node has as the state at the end of the stream.
///
/// Only where the log has forgotten changes that neither a snapshot nor another
/// node makes up for: nodes with a state that reaches further, or with a higher
/// version, never take it, so nothing that anybody knows to be in force is
/// undone by it.
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
    let detail = format!("an operator starts the configuration over with {intents_count} entries");
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
