//! State of the non-idempotent operations at a node.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use kumquatquay_wire::Sequence;

use super::{
    claim::PartitionId, claim_partition::ClaimPartition, digest::KeyDigest,
    operation_memory::OperationMemory,
};
use crate::{CallEnding, CallId, routed::EraTracker};

/// State of the non-idempotent operations at a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperationTable {
    /// Operations whose home is this node.
    pub(crate) memory: OperationMemory,
    /// Numbers of the operations whose keys this node claims or has claimed.
    pub(crate) by_key: BTreeMap<KeyDigest, Sequence>,
    /// Numbers of the operations in `memory` that calls have reserved, dispatched or wait for.
    pub(crate) by_call: BTreeMap<CallId, Sequence>,
    /// Deadlines of waiting calls, on the monotonic clock.
    deadlines: BTreeMap<CallId, Duration>,
    by_deadline: BTreeSet<(Duration, CallId)>,
    /// Endings of calls that waited for an operation and were ended without a decision.
    pub(crate) endings: BTreeMap<CallId, CallEnding>,
    /// Calls that no longer wait and are to be resumed.
    pub(crate) resumed: VecDeque<CallId>,
    /// Whether the calls in `resumed` are being resumed further up the stack.
    pub(crate) is_resuming: bool,
    /// Claim streams that this node has used.
    pub(crate) partitions: BTreeMap<PartitionId, ClaimPartition>,
    /// Partitions of the requests to the log that are under way, by append id or read id.
    pub(crate) exchanges: BTreeMap<u64, PartitionId>,
    /// Since when the log has failed, on the monotonic clock.
    pub(crate) log_failing_since: Option<Duration>,
    /// Number of consecutive failures of the log.
    pub(crate) log_failures_count: u32,
    /// While the log fails no partition is continued on a tick before this, on the monotonic
    /// clock.
    pub(crate) log_retry_at: Duration,
    /// Keys are refused until this, on the monotonic clock: the log does not answer.
    pub(crate) log_down_until: Duration,
    /// Eras of the log, observed in the answers to any of its readers.
    pub(crate) log_eras: EraTracker,
    /// Keys are refused until this, on the monotonic clock: the log was restored from a
    /// backup that may lack their claims.
    pub(crate) claims_lost_until: Duration,
    /// When expired operations and unused views were last removed, on the monotonic clock.
    pub(crate) swept_at: Duration,
}

impl OperationTable {
    /// Adds or replaces the deadline of a waiting call.
    pub(crate) fn track_deadline(&mut self, call: CallId, deadline: Duration) {
        self.untrack_deadline(call);
        self.deadlines.insert(call, deadline);
        self.by_deadline.insert((deadline, call));
    }

    /// Removes the deadline of a call that no longer waits.
    pub(crate) fn untrack_deadline(&mut self, call: CallId) {
        if let Some(deadline) = self.deadlines.remove(&call) {
            self.by_deadline.remove(&(deadline, call));
        }
    }

    /// Returns a waiting call whose deadline has passed.
    pub(crate) fn next_overdue(&self, now: Duration) -> Option<CallId> {
        let (deadline, call) = self.by_deadline.first()?;
        (*deadline <= now).then_some(*call)
    }
}
