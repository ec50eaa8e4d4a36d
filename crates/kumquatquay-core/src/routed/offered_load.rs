//! Counts the requests that are offered on a route.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_wire::routed::Priority;

/// Ranks that are told apart on one route.
const RANKS_LIMIT_COUNT: usize = 64;

/// Time in which the count of offered requests halves.
const HALF_LIFE_S: f64 = 2.0;

/// Requests of each route that are taken as offered from the first moment on, so
/// that the first few don't decide the shares alone.
const FIRST_COUNT: f64 = 0.5;

/// Requests offered on a route, by their rank, in a count that fades.
///
/// Only their proportion to those of other routes counts.
#[derive(Debug, Default)]
pub(super) struct OfferedLoad {
    ranks: BTreeMap<Priority, Offered>,
}

/// Requests of one rank.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankLoad {
    pub(super) rank: Priority,
    pub(super) requests_count: f64,
}

/// A count that fades with time.
#[derive(Clone, Copy, Debug)]
struct Offered {
    count: f64,
    at: Duration,
}

impl OfferedLoad {
    /// Takes in a request.
    pub(super) fn offer(&mut self, now: Duration, rank: Priority) {
        if !self.ranks.contains_key(&rank) && self.ranks.len() >= RANKS_LIMIT_COUNT {
            self.ranks
                .retain(|_, offered| offered.at(now) > FIRST_COUNT);
        }
        self.ranks.entry(rank).or_default().add(now);
    }

    /// Requests offered, by rank; the few of the first moment have the rank of the route.
    pub(super) fn ranks(
        &self,
        now: Duration,
        route_rank: Priority,
    ) -> impl Iterator<Item = RankLoad> {
        let first = self.ranks.is_empty().then_some(RankLoad {
            rank: route_rank,
            requests_count: FIRST_COUNT,
        });
        let offered = self.ranks.iter().map(move |(rank, offered)| RankLoad {
            rank: *rank,
            requests_count: offered.at(now),
        });
        first.into_iter().chain(offered)
    }
}

impl Default for Offered {
    fn default() -> Self {
        Self {
            count: FIRST_COUNT,
            at: Duration::ZERO,
        }
    }
}

impl Offered {
    fn at(&self, now: Duration) -> f64 {
        let passed_s = now.saturating_sub(self.at).as_secs_f64();
        FIRST_COUNT.max(self.count * 0.5_f64.powf(passed_s / HALF_LIFE_S))
    }

    fn add(&mut self, now: Duration) {
        self.count = self.at(now) + 1.0;
        self.at = now;
    }
}
