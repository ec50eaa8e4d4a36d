//! Non-idempotent operations, at most once: what is known.

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

/// Non-idempotent operations, at most once.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperationTable {
    /// Operations whose home is this node.
    pub(crate) memory: OperationMemory,
    /// Numbers of the operations that this node claims or has claimed.
    pub(crate) by_key: BTreeMap<KeyDigest, Sequence>,
    /// Operations of this memory that calls are concerned with.
    pub(crate) by_call: BTreeMap<CallId, Sequence>,
    /// Deadlines of waiting calls, on the monotonic clock.
    deadlines: BTreeMap<CallId, Duration>,
    by_deadline: BTreeSet<(Duration, CallId)>,
    /// Endings of waiting calls that will not be decided in time.
    pub(crate) endings: BTreeMap<CallId, CallEnding>,
    /// Calls that wait no longer.
    pub(crate) resumed: VecDeque<CallId>,
    /// Whether resumed calls are being worked off.
    pub(crate) is_resuming: bool,
    /// Claim streams that this node has used.
    pub(crate) partitions: BTreeMap<PartitionId, ClaimPartition>,
    /// Partitions of the requests to the log that are under way, by append or
    /// read id.
    pub(crate) exchanges: BTreeMap<u64, PartitionId>,
    /// Since when the log has failed, on the monotonic clock.
    pub(crate) log_failing_since: Option<Duration>,
    /// Failures of the log in a row.
    pub(crate) log_failures_count: u32,
    /// Nothing that can wait is asked of the log before this, on the monotonic
    /// clock.
    pub(crate) log_retry_at: Duration,
    /// Keys are refused until this, on the monotonic clock: the log is down.
    pub(crate) log_down_until: Duration,
    /// Eras of the log, as answers to any of its readers told them.
    pub(crate) log_eras: EraTracker,
    /// Keys are refused until this, on the monotonic clock: the log came back from a copy that
    /// may lack their claims.
    pub(crate) claims_lost_until: Duration,
    /// When the memory and the views were last swept, on the monotonic clock.
    pub(crate) swept_at: Duration,
}

impl OperationTable {
    /// Ends a call's wait at its deadline.
    pub(crate) fn track_deadline(&mut self, call: CallId, deadline: Duration) {
        self.untrack_deadline(call);
        self.deadlines.insert(call, deadline);
        self.by_deadline.insert((deadline, call));
    }

    /// A call waits no longer.
    pub(crate) fn untrack_deadline(&mut self, call: CallId) {
        if let Some(deadline) = self.deadlines.remove(&call) {
            self.by_deadline.remove(&(deadline, call));
        }
    }

    /// A call whose deadline has passed while it waited.
    pub(crate) fn next_overdue(&self, now: Duration) -> Option<CallId> {
        let (deadline, call) = self.by_deadline.first()?;
        (*deadline <= now).then_some(*call)
    }
}
