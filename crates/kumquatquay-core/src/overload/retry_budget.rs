//! The bound of retries of one node against one service.

/// Retries that each first try earns.
const RETRY_RATIO: f32 = 0.1;

/// Retries that a node may make to a service before it made first tries.
const INITIAL_RETRIES_COUNT: f32 = 5.0;

/// Earned retries that are kept.
const KEPT_RETRIES_COUNT: f32 = 20.0;

/// Retries of one node against one service: at most a tenth of its first
/// tries, and a few at the start.
///
/// The allowance of each request bounds what one request costs. This bounds
/// what all requests cost together when a service fails most of its calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    left_count: f32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            left_count: INITIAL_RETRIES_COUNT,
        }
    }
}

impl RetryBudget {
    pub(crate) fn on_first_attempt(&mut self) {
        self.left_count = (self.left_count + RETRY_RATIO).min(KEPT_RETRIES_COUNT);
    }

    pub(crate) fn has_retry(&self) -> bool {
        self.left_count >= 1.0
    }

    pub(crate) fn on_retry(&mut self) {
        self.left_count -= 1.0;
    }
}
