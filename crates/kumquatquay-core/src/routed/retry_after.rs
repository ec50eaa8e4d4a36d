//! When a refused caller should come back.

use std::{ops::Range, time::Duration};

use rand::Rng;

/// Part of the time within which an answer is worth most that a refused caller is asked to wait,
/// at the least and at the most: what is left is enough to be served in. Spread out, those who
/// were refused together don't return together.
const SOON_RATIOS: Range<f64> = 0.35..0.7;

/// Time that a shortage is expected to last on, in the time that it has lasted: nothing else is
/// known of its end.
const LASTS_ON_RATIOS: Range<f64> = 0.5..1.5;

/// Time over which callers are spread that are asked back when room is expected, in the time until
/// then.
const ROOM_RATIOS: Range<f64> = 1.0..2.0;

/// Part of the time that a caller has left for which it waits at the most.
const WAITS_RATIO: f64 = 1.0 / 3.0;

/// What is known of a refused caller.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfter {
    /// Time within which its answer is worth most.
    pub target_latency: Duration,
    /// Time for which it goes on waiting, if it has said so.
    pub time_left: Option<Duration>,
    /// How long there has been no room for it.
    pub shortage_duration: Duration,
    /// Time after which there should be room for it, if that is known.
    pub room_expected_in: Option<Duration>,
}

impl RetryAfter {
    /// For a caller that wasn't refused for a shortage of which more is known.
    pub fn without_shortage(target_latency: Duration) -> Self {
        Self {
            target_latency,
            time_left: None,
            shortage_duration: Duration::ZERO,
            room_expected_in: None,
        }
    }

    /// Draws the time after which it should come back.
    ///
    /// It answers the pattern in which a surge lasts for many seconds and callers come back once:
    /// asked to return soon, they find the same shortage and are refused for good. So the longer
    /// the shortage has lasted, the later they are asked back, up to what they wait for at all.
    pub fn sample(self, random: &mut impl Rng) -> Duration {
        let soon = self
            .target_latency
            .mul_f64(random.random_range(SOON_RATIOS));
        let over = self
            .shortage_duration
            .mul_f64(random.random_range(LASTS_ON_RATIOS));
        let room_expected_in = self.room_expected_in.unwrap_or_default();
        let room = room_expected_in.mul_f64(random.random_range(ROOM_RATIOS));
        let latest = self.time_left.unwrap_or_default().mul_f64(WAITS_RATIO);
        soon.max(over.max(room).min(latest))
    }
}
