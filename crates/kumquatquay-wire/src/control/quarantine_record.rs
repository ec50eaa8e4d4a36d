//! Records of requests that crash backend servers.

use serde::{Deserialize, Serialize};

use crate::{Fingerprint, ServiceName};

/// A crash of a backend server while a request with the fingerprint was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Id of the crash: a hash of the node, its incarnation and a number.
    pub id: u64,
    /// Score in thousandths: 1000 divided by the number of suspects that were in flight, or of those that
    /// had the most crashes behind them if it was one of these and they had two at least.
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
    /// Number of crashes from which on requests with the fingerprint are refused, whatever else was in
    /// flight.
    pub const CRASHES_TO_QUARANTINE_COUNT: usize = 5;

    /// Number of crashes from which on they are refused if the score is at least
    /// [`QuarantineRecord::CLEAR_SCORE_MILLI`].
    pub const CLEAR_CRASHES_COUNT: usize = 2;

    /// Score of a fingerprint that was the only suspect at one crash, one of two at two, or the only one
    /// with two crashes behind it at a third.
    pub const CLEAR_SCORE_MILLI: u32 = 1_000;

    /// Score from which on one crash is strong evidence: one of two suspects.
    pub const STRONG_SCORE_MILLI: u32 = 500;

    /// Maximum number of crashes in a record.
    pub const CRASHES_LIMIT_COUNT: usize = 8;

    /// Returns the number of crashes that aren't cleared.
    pub fn crashes_count(&self) -> usize {
        let counting = self.crashes.iter().filter(|crash| !crash.is_cleared);
        counting.count()
    }

    /// Whether there are crashes that count, but too few for a quarantine.
    pub fn is_suspect(&self) -> bool {
        self.crashes_count() > 0 && !self.is_quarantined()
    }

    /// Whether it is a suspect with strong evidence against it, so that its requests run one at a
    /// time.
    ///
    /// With many requests in flight a crash says little of each of them. If all of them ran one at a
    /// time, the crash of one backend server would hold up a hundred unrelated requests.
    pub fn is_isolated(&self) -> bool {
        let has_strong_evidence = self.crashes_count() >= Self::CLEAR_CRASHES_COUNT
            || self.score_milli() >= Self::STRONG_SCORE_MILLI;
        self.is_suspect() && has_strong_evidence
    }

    /// Whether requests with the fingerprint are refused.
    pub fn is_quarantined(&self) -> bool {
        let crashes_count = self.crashes_count();
        let is_clear = crashes_count >= Self::CLEAR_CRASHES_COUNT
            && self.score_milli() >= Self::CLEAR_SCORE_MILLI;
        is_clear || crashes_count >= Self::CRASHES_TO_QUARANTINE_COUNT
    }

    /// Whether its requests run one at a time or are refused.
    pub fn has_strong_evidence(&self) -> bool {
        self.is_isolated() || self.is_quarantined()
    }

    /// Returns the sum of the scores of the crashes that aren't cleared, in thousandths.
    pub fn score_milli(&self) -> u32 {
        let counting = self.crashes.iter().filter(|crash| !crash.is_cleared);
        counting.map(|crash| u32::from(crash.score_milli)).sum()
    }
}
