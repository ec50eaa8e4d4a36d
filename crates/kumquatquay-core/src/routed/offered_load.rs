//! Counts the requests that are offered on a route.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_wire::routed::Priority;

/// Ranks that are told apart on one route.
const RANKS_LIMIT_COUNT: usize = 64;

/// Time over which requests are counted, in seconds: they fade to a third in it.
const SHORT_S: f64 = 2.9;

/// The same for the count that holds while the load stays as it is. An entry of many sees few
/// requests of a kind, so a short count is mostly noise.
const LONG_S: f64 = 20.0;

/// Standard errors by which the short count may differ from the long one until it goes before it.
const CHANGED_ERRORS: f64 = 2.5;

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

/// Two counts that fade with time.
#[derive(Clone, Copy, Debug)]
struct Offered {
    short: f64,
    long: f64,
    /// When the first came.
    since: Duration,
    at: Duration,
}

impl OfferedLoad {
    /// Takes in a request.
    pub(super) fn offer(&mut self, now: Duration, rank: Priority) {
        if !self.ranks.contains_key(&rank) && self.ranks.len() >= RANKS_LIMIT_COUNT {
            self.ranks
                .retain(|_, offered| offered.at(now) > FIRST_COUNT);
        }
        self.ranks
            .entry(rank)
            .or_insert_with(|| Offered::since(now))
            .add(now);
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

impl Offered {
    fn since(now: Duration) -> Self {
        Self {
            short: FIRST_COUNT,
            long: 0.0,
            since: now,
            at: now,
        }
    }

    /// Requests of the last seconds, by the long count unless the load has changed.
    fn at(&self, now: Duration) -> f64 {
        let short = FIRST_COUNT.max(self.short * fade(now, self.at, SHORT_S));
        let age_s = now.saturating_sub(self.since).as_secs_f64();
        if age_s < SHORT_S {
            return short;
        }
        let counted_s = LONG_S * (1.0 - (-age_s / LONG_S).exp());
        let usual = SHORT_S * self.long * fade(now, self.at, LONG_S) / counted_s;
        // The error of a count that fades is that of half as many.
        let error = (usual / 2.0).sqrt();
        let has_changed = (short - usual).abs() > CHANGED_ERRORS * error + FIRST_COUNT;
        if has_changed { short } else { usual }
    }

    fn add(&mut self, now: Duration) {
        self.short = FIRST_COUNT.max(self.short * fade(now, self.at, SHORT_S)) + 1.0;
        self.long = self.long * fade(now, self.at, LONG_S) + 1.0;
        self.at = now;
    }
}

/// What is left of a count of this moment.
fn fade(now: Duration, at: Duration, fades_s: f64) -> f64 {
    let passed_s = now.saturating_sub(at).as_secs_f64();
    (-passed_s / fades_s).exp()
}
