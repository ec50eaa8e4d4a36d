//! Finds the routes whose runs make no calls.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Runs without calls that show that a route makes none.
const PROOFS_COUNT: usize = 4;

/// Time for which a run counts as such.
const EXPIRY: Duration = Duration::from_secs(30);

/// Maximum number of routes that are tracked.
const ROUTES_LIMIT_COUNT: usize = 64;

/// Routes whose runs at the backend server of this host were seen to make no calls.
///
/// All calls of a backend server enter at the node beside it, and a run can't succeed before its calls
/// are answered. So a successful run has made no call if the node received no request at all while it
/// was in progress. This takes no call for a call of any run: a request of a caller only hides a
/// proof, however late it is read and whatever deadline it has. Routes of which nothing is known
/// count as making calls.
#[derive(Debug, Default)]
pub struct CallFreeRoutes {
    requests_count: u64,
    /// When the last runs without calls ended, by route.
    proofs: HashMap<String, VecDeque<Duration>>,
}

/// The start of a run, as [`CallFreeRoutes`] counts requests.
#[derive(Clone, Copy, Debug)]
pub struct RunStart {
    requests_count: u64,
}

impl CallFreeRoutes {
    /// A request is received on this host, from a caller or from the backend server.
    pub fn on_request(&mut self) {
        self.requests_count += 1;
    }

    /// A run starts.
    pub fn run_started(&self) -> RunStart {
        RunStart {
            requests_count: self.requests_count,
        }
    }

    /// A run of a route has succeeded: its whole answer was received.
    pub fn run_succeeded(&mut self, now: Duration, route: &str, start: RunStart) {
        let has_calls = start.requests_count != self.requests_count;
        let is_new = !self.proofs.contains_key(route);
        if has_calls || (is_new && self.proofs.len() >= ROUTES_LIMIT_COUNT) {
            return;
        }
        let proofs = self.proofs.entry(String::from(route)).or_default();
        proofs.push_back(now);
        if proofs.len() > PROOFS_COUNT {
            proofs.pop_front();
        }
    }

    /// Whether runs of a route were lately seen to make no calls. Some of its runs may still make calls.
    pub fn contains(&self, now: Duration, route: &str) -> bool {
        let proofs = self.proofs.get(route);
        proofs.is_some_and(|proofs| {
            proofs.len() >= PROOFS_COUNT && proofs.iter().all(|at| now < *at + EXPIRY)
        })
    }
}
