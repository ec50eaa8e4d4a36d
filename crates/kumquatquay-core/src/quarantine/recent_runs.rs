//! Fingerprints of requests that ran to an answer lately at the backend server of this host.

use std::{collections::BTreeSet, time::Duration};

use kumquatquay_wire::Fingerprint;

/// For how long a run to its end speaks for its fingerprint, at least; at most twice as long.
///
/// A path that many callers use ends a run many times in it. It is short, so that a request which
/// ran well until a release of its service is still recognised.
const RETENTION: Duration = Duration::from_secs(10);

/// Fingerprints in one generation, at most: 400 different ones a second.
const GENERATION_LIMIT_COUNT: usize = 4_096;

/// Fingerprints of requests that ran to an answer lately, in two generations.
///
/// A request that many callers send is in flight whenever a backend server ends. Without this
/// it would be suspected of each crash.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentRuns {
    newer: BTreeSet<Fingerprint>,
    older: BTreeSet<Fingerprint>,
    /// When the newer generation began, on the monotonic clock.
    newer_since: Duration,
}

impl RecentRuns {
    pub(crate) fn add(&mut self, now: Duration, fingerprint: Fingerprint) {
        self.rotate(now);
        self.newer.insert(fingerprint);
    }

    pub(crate) fn contains(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let age = now.saturating_sub(self.newer_since);
        let is_in_newer = age < RETENTION * 2 && self.newer.contains(&fingerprint);
        is_in_newer || (age < RETENTION && self.older.contains(&fingerprint))
    }

    fn rotate(&mut self, now: Duration) {
        let age = now.saturating_sub(self.newer_since);
        if age < RETENTION && self.newer.len() < GENERATION_LIMIT_COUNT {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= RETENTION * 2 {
            self.older.clear();
        }
        self.newer_since = now;
    }
}
