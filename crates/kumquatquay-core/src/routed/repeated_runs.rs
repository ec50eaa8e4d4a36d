//! Time limits of repeated runs, by which their calls are known.

use std::time::Duration;

/// Longest time that a repeated run is given.
const MAX_LIMIT: Duration = Duration::from_millis(400);

/// Shortest limit of a repeated run; its caller may have less time left.
const MIN_LIMIT: Duration = Duration::from_millis(50);

/// Time that a repeated run is given, as a multiple of the mean run time of its route.
const LIMIT_FACTOR: u32 = 5;

/// Multiple of the mean run time that a repeated run is given at least; with less, too many would be cut.
const MIN_FACTOR: u32 = 3;

/// How long after the start of a repeated run its calls are expected at least. The run itself lasts for
/// [`MAX_LIMIT`] at most; the rest is for calls that are received late.
const EXPIRY: Duration = Duration::from_secs(5);

/// Backend servers round the time that is left to whole milliseconds.
const ROUNDING: Duration = Duration::from_millis(1);

/// Recognises the calls that repeated runs at the backend server of this host may make.
///
/// A call that a repeated run makes is a repeat at the service that it reaches. Nothing on it tells
/// which run made it, but calls expire with their run at the latest: they state no more time than the
/// run was given. So a repeated run is given little time, and each request that states no more than
/// that may be a call of it, however late it is received. Most others state more.
#[derive(Debug)]
pub struct RepeatedRuns {
    /// Longest limit of the runs repeated in this period.
    limit: Option<Duration>,
    /// The same of the period before.
    previous_limit: Option<Duration>,
    period_started: Duration,
}

impl RepeatedRuns {
    /// Creates the state of a node of whose backend server no earlier life can have repeated a run.
    pub fn new() -> Self {
        Self {
            limit: None,
            previous_limit: None,
            period_started: Duration::ZERO,
        }
    }

    /// Lets calls of runs that an earlier life of the node repeated be recognised as well.
    pub fn after_earlier_life(mut self) -> Self {
        self.previous_limit = Some(MAX_LIMIT);
        self
    }

    /// Time that a run is given at most if it is repeated and its route has this mean run time.
    pub fn limit(run_time: Duration) -> Duration {
        (run_time * LIMIT_FACTOR).clamp(MIN_LIMIT, MAX_LIMIT)
    }

    /// Whether runs with this mean run time often need more than a repeated run is given.
    pub fn is_too_long(run_time: Duration) -> bool {
        run_time * MIN_FACTOR > MAX_LIMIT
    }

    /// A repeated run starts, with this limit.
    pub fn on_start(&mut self, now: Duration, limit: Duration) {
        self.advance(now);
        self.limit = self.limit.max(Some(limit));
    }

    /// Whether a repeated run may have made a request that states this time, or none.
    pub fn may_have_made(&mut self, now: Duration, stated_time_left: Option<Duration>) -> bool {
        self.advance(now);
        let limit = self.limit.max(self.previous_limit);
        limit.is_some_and(|limit| stated_time_left.is_none_or(|stated| stated <= limit + ROUNDING))
    }

    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.period_started);
        if passed < EXPIRY {
            return;
        }
        // However long the period was: a suspended node then receives what was sent meanwhile.
        self.previous_limit = self.limit.take();
        self.period_started = now;
    }
}

impl Default for RepeatedRuns {
    fn default() -> Self {
        Self::new()
    }
}
