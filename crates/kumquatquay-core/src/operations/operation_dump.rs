//! Operations in the state dump.

use serde::Serialize;

use super::operation::OperationState;
use crate::{Blackboard, Moment};

/// Operations in a [`StateDump`](crate::StateDump).
#[derive(Clone, Debug, Default, Serialize)]
pub struct OperationDump {
    /// Number of remembered operations whose home is this node.
    pub remembered_count: usize,
    /// Of these, operations with a claim that is not yet decided.
    pub claiming_count: usize,
    /// Of these, operations that were dispatched and not answered yet.
    pub handed_over_count: usize,
    /// Of these, operations that were dispatched and whose answer was lost; they never run again.
    pub lost_count: usize,
    /// Size of the stored answers in bytes.
    pub answers_bytes: usize,
    /// Number of claim streams of which this node keeps a view.
    pub claim_streams_count: usize,
    /// Number of events in the views of claim streams.
    pub claim_events_count: usize,
    /// How long the log has been failing, in milliseconds; absent while it works.
    pub log_failing_ms: Option<u64>,
}

impl OperationDump {
    pub(crate) fn of(board: &Blackboard, now: Moment) -> Self {
        let table = &board.operations;
        let views = table.partitions.values();
        let views: Vec<_> = views
            .filter_map(|partition| partition.view.as_ref())
            .collect();
        let failing = table.log_failing_since;
        let mut dump = Self {
            remembered_count: table.memory.len(),
            answers_bytes: table.memory.answers_bytes(),
            claim_streams_count: views.len(),
            claim_events_count: views.iter().map(|view| view.events_count()).sum(),
            log_failing_ms: failing.map(|since| (now.monotonic - since).as_millis() as u64),
            ..Self::default()
        };
        for (_, operation) in table.memory.iter() {
            match operation.state {
                OperationState::Claiming => dump.claiming_count += 1,
                OperationState::Dispatched(_) => dump.handed_over_count += 1,
                OperationState::OutcomeUnknown => dump.lost_count += 1,
                _ => {}
            }
        }
        dump
    }
}
