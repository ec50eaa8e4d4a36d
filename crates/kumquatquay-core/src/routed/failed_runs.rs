//! Which failed runs are worth another one.

use std::collections::HashMap;

/// Share of failed runs of a route above which none is made again.
///
/// Where few fail, each for a reason of its own, another run mostly succeeds: with one
/// in 250 failing, one in 60,000 fails twice. Where many fail, they share a cause that
/// the next one meets as well, and the retry budget is needed for that.
const RARE_RATIO: f64 = 0.05;

/// Weight of the newest result against those before.
const NEW_WEIGHT: f64 = 0.02;

/// Routes that are remembered.
const ROUTES_LIMIT_COUNT: usize = 1_024;

/// How often the runs of each route fail, as the entry sees it.
#[derive(Debug, Default)]
pub struct FailedRuns {
    ratios: HashMap<String, f64>,
}

impl FailedRuns {
    /// A run of a route was answered by its backend server.
    pub fn on_answer(&mut self, route: &str, is_failed: bool) {
        let observed = f64::from(u8::from(is_failed));
        if let Some(ratio) = self.ratios.get_mut(route) {
            *ratio += NEW_WEIGHT * (observed - *ratio);
        } else if self.ratios.len() < ROUTES_LIMIT_COUNT {
            let first = NEW_WEIGHT * observed;
            self.ratios.insert(String::from(route), first);
        }
    }

    /// Whether runs of a route fail so rarely that another one is worth its cost.
    pub fn is_rare(&self, route: &str) -> bool {
        let ratio = self.ratios.get(route).copied();
        ratio.is_none_or(|ratio| ratio < RARE_RATIO)
    }
}
