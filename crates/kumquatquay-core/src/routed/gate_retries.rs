//! Which calls a gate hands over once more after they were turned away.

use std::time::Duration;

use super::RetryBudget;

/// Hand-overs of one call at one gate, at most. With 55 of 100 turned away, 98 calls
/// of 100 are served by the seventh; each one costs 1 ms.
const HAND_OVERS_LIMIT_COUNT: u32 = 7;

/// Share of turned away calls above which only calls of people are repeated.
///
/// A run that makes eight calls needs all of them. With a quarter turned away it
/// takes 2.7 repeats for each such run, and the budget of a fifth is 1.6: more runs
/// would be lost in the end than saved, and the budget with them.
const INNER_RATIO: f64 = 0.25;

/// Weight of the newest result against those before.
const NEW_WEIGHT: f64 = 0.02;

/// Decides whether a call that the backend server turned away, unrun, is handed over
/// to it again.
///
/// It answers the pattern in which backend servers shed a share of what arrives
/// though they have slots, all of a service alike. Asking another one costs a way
/// through the network and finds the same; and a node that sends few calls has next
/// to no budget for repeats, while the gates see all calls of their service and can
/// spend the budget where one repeat saves a whole request.
#[derive(Debug)]
pub struct GateRetries {
    window: RetryBudget,
    turned_away_ratio: f64,
}

/// A call that was turned away.
#[derive(Clone, Copy, Debug)]
pub struct RejectedCall {
    /// Whether a person sent it; otherwise a run makes it, mostly one of several.
    pub is_from_outside: bool,
    /// How often it was handed over.
    pub attempts_count: u32,
}

impl GateRetries {
    /// Repeats within this gate's part of the retry budget.
    pub fn new(window: RetryBudget) -> Self {
        Self {
            window,
            turned_away_ratio: 0.0,
        }
    }

    /// A call is handed over for the first time.
    pub fn on_first_attempt(&mut self, now: Duration) {
        self.window.on_requests(now, 1.0);
    }

    /// The backend server took a call or turned it away.
    pub fn on_result(&mut self, is_turned_away: bool) {
        let observed = f64::from(u8::from(is_turned_away));
        self.turned_away_ratio += NEW_WEIGHT * (observed - self.turned_away_ratio);
    }

    /// Whether a call is handed over again; it then counts as a repeat.
    pub fn try_retry(&mut self, now: Duration, call: RejectedCall) -> bool {
        let is_worth_it = call.is_from_outside || self.turned_away_ratio < INNER_RATIO;
        let may = call.attempts_count < HAND_OVERS_LIMIT_COUNT && is_worth_it;
        if !may || !self.window.has_room(now, 1.0) {
            return false;
        }
        self.window.on_retries(now, 1.0);
        true
    }
}
