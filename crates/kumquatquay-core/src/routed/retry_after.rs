//! Computes when a refused caller should retry.

use std::{ops::Range, time::Duration};

use rand::Rng;

/// Minimum wait of a refused caller, as a share of the target latency. The rest of that latency is
/// enough to serve the retry. The range spreads callers that were refused together.
const MIN_WAIT_RATIOS: Range<f64> = 0.35..0.7;

/// Expected rest of a shortage, as a multiple of the time that it has lasted: nothing else is known
/// about its end.
const SHORTAGE_REST_RATIOS: Range<f64> = 0.5..1.5;

/// Wait if room is expected, as a multiple of the time until then. The range spreads the callers
/// that retry then.
const ROOM_WAIT_RATIOS: Range<f64> = 1.0..2.0;

/// Longest wait for the end of a shortage, as a share of the time that the caller has left.
const MAX_WAIT_RATIO: f64 = 1.0 / 3.0;

/// What is known about a refused caller, to compute when it should retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfter {
    /// Latency up to which the answer has its full value to the caller.
    pub target_latency: Duration,
    /// Time for which the caller goes on waiting, if it has said so.
    pub time_left: Option<Duration>,
    /// How long there has been no room for the caller.
    pub shortage_duration: Duration,
    /// Time after which room for the caller is expected, if that is known.
    pub room_expected_in: Option<Duration>,
}

impl RetryAfter {
    /// For a caller that was refused for another reason than a shortage.
    pub fn without_shortage(target_latency: Duration) -> Self {
        Self {
            target_latency,
            time_left: None,
            shortage_duration: Duration::ZERO,
            room_expected_in: None,
        }
    }

    /// Draws the time after which the caller should retry.
    ///
    /// If a surge lasts for many seconds and callers retry once, an early retry meets the same
    /// shortage, and the caller is refused for good. So the longer the shortage has lasted, the
    /// later the caller should retry, within the time that it has left.
    pub fn sample(self, random: &mut impl Rng) -> Duration {
        let min_wait = self
            .target_latency
            .mul_f64(random.random_range(MIN_WAIT_RATIOS));
        let shortage_rest = self
            .shortage_duration
            .mul_f64(random.random_range(SHORTAGE_REST_RATIOS));
        let room_expected_in = self.room_expected_in.unwrap_or_default();
        let room = room_expected_in.mul_f64(random.random_range(ROOM_WAIT_RATIOS));
        let latest = self.time_left.unwrap_or_default().mul_f64(MAX_WAIT_RATIO);
        min_wait.max(shortage_rest.max(room).min(latest))
    }
}
