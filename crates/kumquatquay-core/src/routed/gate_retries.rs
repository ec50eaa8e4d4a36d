//! Repeats at a gate: those that callers send, and retries of calls that the backend server rejected.

use std::time::Duration;

use super::RetryBudget;

/// Limit of the attempts of one call at one gate.
///
/// If 55 % are rejected, 98 % of the calls are served within seven attempts; each costs 1 ms.
const MAX_ATTEMPTS_COUNT: u32 = 7;

/// Share of rejected calls from which on only calls from outside are retried.
///
/// A run that makes eight calls needs all of them. With a quarter rejected it takes 2.7 retries
/// per run, while a retry budget of a fifth allows 1.6: more runs would be lost than saved, and
/// the budget would be spent on them.
const MAX_INNER_REJECTED_RATIO: f64 = 0.25;

/// Tokens that are left for calls of each more important priority.
const RESERVED_COUNT: f64 = 2.0;

/// Weight of a new result in the moving average of rejections.
const NEW_WEIGHT: f64 = 0.02;

/// Admits repeats at a gate within its retry budget, and decides whether a call that the backend
/// server rejected without running it is sent to it again.
///
/// Retries at the gate are meant for services whose backend servers all shed a share of their calls
/// although they have slots. A retry at another backend server costs a network round trip and meets
/// the same share.
#[derive(Debug)]
pub struct GateRetries {
    budget: RetryBudget,
    rejected_ratio: f64,
}

/// A call that the backend server rejected without running it.
#[derive(Clone, Copy, Debug)]
pub struct RejectedCall {
    /// Whether it comes from outside; otherwise a run makes it, usually as one of several calls.
    pub is_from_outside: bool,
    /// Attempts so far at this gate.
    pub attempts_count: u32,
    /// Number of more important priorities.
    pub rank: usize,
}

impl GateRetries {
    /// Creates the decisions of a gate with this retry budget.
    pub fn new(budget: RetryBudget) -> Self {
        Self {
            budget,
            rejected_ratio: 0.0,
        }
    }

    /// Returns the retry budget.
    pub fn budget_mut(&mut self) -> &mut RetryBudget {
        &mut self.budget
    }

    /// Whether a repeat of this rank would be admitted.
    pub fn has_room(&mut self, now: Duration, rank: usize) -> bool {
        let reserved_count = RESERVED_COUNT * rank as f64;
        self.budget.has_room(now, reserved_count)
    }

    /// Admits a repeat of this rank; its token is then taken out of the budget.
    pub fn try_repeat(&mut self, now: Duration, rank: usize) -> bool {
        let has_room = self.has_room(now, rank);
        if has_room {
            self.budget.on_repeat(now);
        }
        has_room
    }

    /// Records whether the backend server rejected a call.
    pub fn on_result(&mut self, is_rejected: bool) {
        let observed = f64::from(u8::from(is_rejected));
        self.rejected_ratio += NEW_WEIGHT * (observed - self.rejected_ratio);
    }

    /// Whether a rejected call is to be retried; the retry is then taken out of the budget.
    pub fn try_retry(&mut self, now: Duration, call: RejectedCall) -> bool {
        let is_worthwhile = call.is_from_outside || self.rejected_ratio < MAX_INNER_REJECTED_RATIO;
        call.attempts_count < MAX_ATTEMPTS_COUNT && is_worthwhile && self.try_repeat(now, call.rank)
    }
}
