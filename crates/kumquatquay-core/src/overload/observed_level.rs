//! A level that this node learnt from others.

use std::time::Duration;

use kumquatquay_wire::{Cohort, DataCentreName, Importance};

/// How long a level holds in full after it was observed.
const HOLD: Duration = Duration::from_millis(600);

/// When the last node forgets a level that nobody confirmed.
const LAPSE_LAST: Duration = Duration::from_millis(2_000);

/// When the first node forgets it.
const LAPSE_FIRST: Duration = Duration::from_millis(1_400);

/// Least weight of a new observation against the ones before.
const NEW_WEIGHT_LEAST: f64 = 0.3;

/// Time after which older observations count for little.
const MEMORY: Duration = Duration::from_millis(100);

/// Level of one service in one data centre, as this node knows it.
///
/// Several gates of the data centre tell their own; the average of them is
/// kept, weighted by what they answer. A level passes on through several nodes, and
/// the average of each comes late; where answers are few, the newest counts most.
#[derive(Clone, Debug)]
pub(crate) struct ObservedLevel {
    /// Where the backend servers are.
    pub(crate) data_centre: DataCentreName,
    least_admitted: f64,
    observed: Duration,
}

impl ObservedLevel {
    pub(crate) fn new(data_centre: DataCentreName, told: Importance, observed: Duration) -> Self {
        Self {
            data_centre,
            least_admitted: f64::from(told.get()),
            observed,
        }
    }

    /// Takes in an observation; one older than what is known counts for nothing.
    pub(crate) fn observe(&mut self, told: Importance, observed: Duration) {
        if observed < self.observed {
            return;
        }
        let told = f64::from(told.get());
        let since = observed - self.observed;
        let fresh_ratio = 1.0 - (-since.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        let weight = fresh_ratio.max(NEW_WEIGHT_LEAST);
        self.least_admitted += weight * (told - self.least_admitted);
        self.observed = observed;
    }

    /// The level, without regard to its age.
    pub(crate) fn least_admitted(&self) -> Importance {
        Importance::from_number(self.least_admitted.round() as u32)
    }

    /// Whether it refuses anything while it is fresh.
    pub(crate) fn admits_all(&self) -> bool {
        self.least_admitted < 0.5
    }

    /// Time since the last observation.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.observed)
    }

    /// Whether nobody confirmed it for so long that it counts for nothing.
    pub(crate) fn is_expired(&self, now: Duration) -> bool {
        self.age(now) >= LAPSE_LAST
    }

    /// Whether a request of this importance is admitted.
    ///
    /// A level that nobody confirms fades: a growing share of the cohorts below
    /// it is admitted, in every class alike. All at once would open the flood
    /// gates; the jitter keeps nodes that learnt it together from fading together.
    pub(crate) fn admits(&self, now: Duration, importance: Importance, jitter: f64) -> bool {
        if importance >= self.least_admitted() {
            return true;
        }
        let age = self.age(now);
        if age <= HOLD {
            return false;
        }
        let lapse = LAPSE_FIRST + (LAPSE_LAST - LAPSE_FIRST).mul_f64(jitter);
        let faded_ratio = (age - HOLD).as_secs_f64() / (lapse - HOLD).as_secs_f64();
        let rank = f64::from(Cohort::MAX - importance.cohort());
        rank < faded_ratio * f64::from(Cohort::MAX)
    }
}
