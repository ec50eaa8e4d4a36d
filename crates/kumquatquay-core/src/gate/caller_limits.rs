//! The share of a caller's limit that one gate enforces.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    time::Duration,
};

use crate::overload::GenerationalCache;

/// Callers with a limit that a gate keeps count of.
const CALLERS_LIMIT_COUNT: usize = 8_192;

/// How much unused share a caller may save up.
const SAVED: Duration = Duration::from_secs(1);

/// Counts calls of callers that have a limit.
///
/// Each of the `n` gates of a service admits an `n`th of the limit, and entry
/// nodes spread the calls of such callers evenly over all gates. No gate needs
/// to know what the others admit. See `docs/design/overload.md` for how far the
/// limit can be exceeded.
#[derive(Debug)]
pub(crate) struct CallerLimits {
    buckets: GenerationalCache<u64, Bucket>,
    seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    calls_count: f64,
    filled: Duration,
}

impl CallerLimits {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            buckets: GenerationalCache::new(CALLERS_LIMIT_COUNT),
            seed,
        }
    }

    /// Whether a caller may make one more call, by its share of the limit.
    pub(crate) fn try_admit(&mut self, now: Duration, caller: &str, share_per_s: f64) -> bool {
        let mut hasher = DefaultHasher::new();
        (self.seed, caller).hash(&mut hasher);
        let saved_count = (share_per_s * SAVED.as_secs_f64()).max(1.0);
        let full = || Bucket {
            calls_count: saved_count,
            filled: now,
        };
        let bucket = self.buckets.get_or_insert_with(hasher.finish(), full);
        let since_s = now.saturating_sub(bucket.filled).as_secs_f64();
        let filled_count = bucket.calls_count + since_s * share_per_s;
        bucket.calls_count = filled_count.min(saved_count);
        bucket.filled = now;
        if bucket.calls_count < 1.0 {
            return false;
        }
        bucket.calls_count -= 1.0;
        true
    }
}
