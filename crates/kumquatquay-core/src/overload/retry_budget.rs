//! Retry budget of one node for one service.

/// Retries that each first attempt adds to the budget.
const RETRY_RATIO: f32 = 0.1;

/// Initial budget, before any first attempts.
const INITIAL_RETRIES_COUNT: f32 = 5.0;

/// Upper bound of the budget.
const MAX_RETRIES_COUNT: f32 = 20.0;

/// Budget for the retries of one node to one service: a tenth of its first attempts, and a few
/// at the start.
///
/// The retry allowance limits the retries of one request. The budget limits the retries of all
/// requests together when a service fails most of its calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    available_count: f32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            available_count: INITIAL_RETRIES_COUNT,
        }
    }
}

impl RetryBudget {
    pub(crate) fn on_first_attempt(&mut self) {
        self.available_count = (self.available_count + RETRY_RATIO).min(MAX_RETRIES_COUNT);
    }

    pub(crate) fn has_retry(&self) -> bool {
        self.available_count >= 1.0
    }

    pub(crate) fn on_retry(&mut self) {
        self.available_count -= 1.0;
    }
}
