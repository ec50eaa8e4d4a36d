//! Records of requests that crash backend servers.

use serde::{Deserialize, Serialize};

use crate::{Fingerprint, ServiceName};

/// A crash of a backend server while a request with the fingerprint was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Id of the crash: a hash of the node, its incarnation and a number.
    pub id: u64,
    /// Score in thousandths: 1000 divided by the number of requests that were in flight.
    pub score_milli: u16,
    /// Whether it no longer counts: a request with the fingerprint ran successfully
    /// afterwards, or an operator released it.
    pub is_cleared: bool,
}

/// Suspicion or quarantine of one fingerprint at one service.
///
/// Records of the same fingerprint are merged by the union of their crashes, so that two nodes
/// that observed one crash each arrive at two, independent of the order of the updates. A crash
/// that is cleared in either record is cleared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Service whose backend servers crashed.
    pub service: ServiceName,
    /// Fingerprint of the requests.
    pub fingerprint: Fingerprint,
    /// Crashes, ordered by id.
    pub crashes: Vec<Crash>,
    /// Time until the record expires, as of when it was sent, in milliseconds.
    pub remaining_ms: u32,
}

impl QuarantineRecord {
    /// Number of crashes from which on requests with the fingerprint are refused.
    pub const CRASHES_TO_QUARANTINE_COUNT: usize = 2;

    /// Maximum number of crashes in a record.
    pub const CRASHES_LIMIT_COUNT: usize = 8;

    /// Returns the number of crashes that aren't cleared.
    pub fn crashes_count(&self) -> usize {
        let counting = self.crashes.iter().filter(|crash| !crash.is_cleared);
        counting.count()
    }

    /// Whether requests with the fingerprint run one at a time.
    pub fn is_suspect(&self) -> bool {
        self.crashes_count() > 0 && !self.is_quarantined()
    }

    /// Whether requests with the fingerprint are refused.
    pub fn is_quarantined(&self) -> bool {
        self.crashes_count() >= Self::CRASHES_TO_QUARANTINE_COUNT
    }

    /// Returns the sum of the scores of the crashes that aren't cleared, in thousandths.
    pub fn score_milli(&self) -> u32 {
        let counting = self.crashes.iter().filter(|crash| !crash.is_cleared);
        counting.map(|crash| u32::from(crash.score_milli)).sum()
    }
}
