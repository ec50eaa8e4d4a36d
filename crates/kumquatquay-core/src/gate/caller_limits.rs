//! Rate limits of callers, as enforced by one gate.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    time::Duration,
};

use crate::overload::GenerationalCache;

/// Size of the cache of token buckets, one for each caller that has a limit.
const MAX_CALLERS_COUNT: usize = 8_192;

/// Burst size of the token buckets, as the time that an empty one takes to fill; it holds at
/// least one call.
const BURST_DURATION: Duration = Duration::from_secs(1);

/// Token buckets of the callers that have a limit.
///
/// Each of the `n` gates of a service admits `1/n` of the limit, and entry nodes spread the
/// calls of such callers evenly over all gates, so that the gates need no coordination. See
/// `docs/design/overload.md` for how far the limit can be exceeded.
#[derive(Debug)]
pub(crate) struct CallerLimits {
    buckets: GenerationalCache<u64, Bucket>,
    seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens_count: f64,
    last_refill: Duration,
}

impl CallerLimits {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            buckets: GenerationalCache::new(MAX_CALLERS_COUNT),
            seed,
        }
    }

    /// Takes a token of the caller, if one is left; `share_per_s` is this gate's share of its
    /// limit.
    pub(crate) fn try_admit(&mut self, now: Duration, caller: &str, share_per_s: f64) -> bool {
        let mut hasher = DefaultHasher::new();
        (self.seed, caller).hash(&mut hasher);
        let burst_count = (share_per_s * BURST_DURATION.as_secs_f64()).max(1.0);
        let full_bucket = || Bucket {
            tokens_count: burst_count,
            last_refill: now,
        };
        let bucket = self
            .buckets
            .get_or_insert_with(hasher.finish(), full_bucket);
        let elapsed_s = now.saturating_sub(bucket.last_refill).as_secs_f64();
        let refilled_count = bucket.tokens_count + elapsed_s * share_per_s;
        bucket.tokens_count = refilled_count.min(burst_count);
        bucket.last_refill = now;
        if bucket.tokens_count < 1.0 {
            return false;
        }
        bucket.tokens_count -= 1.0;
        true
    }
}
