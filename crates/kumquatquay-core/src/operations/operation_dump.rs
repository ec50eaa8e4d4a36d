//! Operations in the state dump.

use serde::Serialize;

use super::operation::OperationState;
use crate::{Blackboard, Moment};

/// Operations in a [`StateDump`](crate::StateDump).
#[derive(Clone, Debug, Default, Serialize)]
pub struct OperationDump {
    /// Operations whose home is this node.
    pub remembered_count: usize,
    /// Of these, claims that the log has not decided.
    pub claiming_count: usize,
    /// Of these, handed over and not answered.
    pub handed_over_count: usize,
    /// Of these, handed over with a lost answer; they never run again.
    pub lost_count: usize,
    /// Bytes of stored answers.
    pub answers_bytes: usize,
    /// Claim streams that this node has read.
    pub claim_streams_count: usize,
    /// Events of claim streams that are kept.
    pub claim_events_count: usize,
    /// Since when the log has failed, in milliseconds; absent while it works.
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
