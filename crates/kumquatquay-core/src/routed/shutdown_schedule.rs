//! Times of the shutdown of a node.

use std::time::Duration;

/// Time left of the grace period when the node ends, whatever is still in progress.
const END_MARGIN: Duration = Duration::from_millis(600);

/// Part of a short grace period that is left instead.
const END_MARGIN_RATIO: f64 = 0.1;

/// How long a node keeps its connections open after a request to stop. Callers notice through
/// the readiness check, which they send once a second, and through each answer.
const LEAVING_TIME: Duration = Duration::from_millis(2_800);

/// Part of [`LEAVING_TIME`] in which a stopping node still accepts calls of other nodes for its
/// backend server, which no other node can reach. After it, half a second is left for the news
/// of the stop to spread, and more than half of the grace period for the accepted calls.
const DELAYED_SHUTDOWN_RATIO: f64 = 0.55;

/// Time in which the last answers are written, before the node ends.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(250);

/// Part of a short grace period that the last answers get instead. Together with the margin it is at most
/// a sixth: no run is ended before that.
const LAST_ANSWERS_RATIO: f64 = 1.0 / 15.0;

/// Times of the shutdown of a node.
///
/// The platform ends the process when the grace period is over, and counts the time in which the host
/// was suspended. So all times are on the clock that includes suspended time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When other nodes are told to send no more calls.
    pub announce_at: Duration,
    /// When idle connections are closed and new requests are refused.
    pub close_at: Duration,
    /// When each request that is still in progress gets its final answer.
    pub answer_at: Duration,
    /// How long the node goes on after that, to write these answers.
    pub last_answers_time: Duration,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that was requested at `requested_at`.
    pub fn new(requested_at: Duration, grace: Duration) -> Self {
        let end_margin = END_MARGIN.min(grace.mul_f64(END_MARGIN_RATIO));
        let last_answers_time = LAST_ANSWERS_TIME.min(grace.mul_f64(LAST_ANSWERS_RATIO));
        let serving = grace - end_margin - last_answers_time;
        let leaving = LEAVING_TIME.min(serving);
        Self {
            announce_at: requested_at + leaving.mul_f64(DELAYED_SHUTDOWN_RATIO),
            close_at: requested_at + leaving,
            answer_at: requested_at + serving,
            last_answers_time,
        }
    }

    /// Tells other nodes at once to send no more calls.
    pub fn without_delay(self, requested_at: Duration) -> Self {
        Self {
            announce_at: requested_at,
            ..self
        }
    }
}
