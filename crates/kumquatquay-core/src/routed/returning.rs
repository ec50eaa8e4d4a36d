//! Remembers refused requests, to let those in that come back as they were told.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use kumquatquay_wire::Fingerprint;

/// Requests that are remembered; at 40 bytes each, 160 KB.
const LIMIT_COUNT: usize = 4_096;

/// Time after the told moment in which a return counts.
const LATEST: Duration = Duration::from_secs(2);

/// Part of the told time that must have passed: clocks and ways differ a little.
const PATIENCE_RATIO: f64 = 0.9;

/// Requests that were refused and told when to come back.
///
/// A caller that waits as it was told and is refused again has lost twice. Those
/// who come back at the told time go before others of their rank; those who come
/// earlier gain nothing by it.
#[derive(Debug, Default)]
pub struct Returning {
    told: HashMap<Fingerprint, Told>,
    order: VecDeque<(Fingerprint, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    from: Duration,
    until: Duration,
}

impl Returning {
    /// A request was refused and told to come back after `wait`.
    pub fn refused(&mut self, now: Duration, request: Fingerprint, wait: Duration) {
        self.forget(now);
        let until = now + wait + LATEST;
        let from = now + wait.mul_f64(PATIENCE_RATIO);
        self.told.insert(request, Told { from, until });
        self.order.push_back((request, until));
    }

    /// Whether a request comes back as it was told; it counts once.
    pub fn returns(&mut self, now: Duration, request: Fingerprint) -> bool {
        let Some(told) = self.told.get(&request) else {
            return false;
        };
        if now < told.from {
            return false;
        }
        let is_in_time = now <= told.until;
        self.told.remove(&request);
        is_in_time
    }

    fn forget(&mut self, now: Duration) {
        while let Some((request, until)) = self.order.front().copied() {
            if self.order.len() < LIMIT_COUNT && now <= until {
                return;
            }
            self.order.pop_front();
            // It may have been refused again since, with a later end.
            if self
                .told
                .get(&request)
                .is_some_and(|told| told.until <= until)
            {
                self.told.remove(&request);
            }
        }
    }
}
