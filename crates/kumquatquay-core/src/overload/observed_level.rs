//! Admission level of a service, as this node has observed it.

use std::time::Duration;

use kumquatquay_wire::{Cohort, DataCentreName, Importance};

/// Time after the last observation for which a level is enforced in full.
const FULL_EFFECT_TIME: Duration = Duration::from_millis(600);

/// Upper bound of the randomised time after the last observation at which a level expires.
const MAX_LIFETIME: Duration = Duration::from_millis(2_000);

/// Lower bound of that time.
const MIN_LIFETIME: Duration = Duration::from_millis(1_400);

/// Minimum weight of a new observation in the moving average.
const MIN_NEW_WEIGHT: f64 = 0.3;

/// Time constant of the moving average.
const AVERAGING_TIME: Duration = Duration::from_millis(100);

/// Admission level of one service in one data centre, as observed in answers and gossip.
///
/// It is a moving average over the observations, one for each answer or rumour, so that gates
/// with more answers have more weight. A level may travel through several nodes, each of which
/// adds the delay of its average; therefore a new observation has more weight if observations
/// are rare.
#[derive(Clone, Debug)]
pub(crate) struct ObservedLevel {
    /// Data centre of the backend servers.
    pub(crate) data_centre: DataCentreName,
    least_admitted: f64,
    observed: Duration,
}

impl ObservedLevel {
    pub(crate) fn new(data_centre: DataCentreName, level: Importance, observed: Duration) -> Self {
        Self {
            data_centre,
            least_admitted: f64::from(level.get()),
            observed,
        }
    }

    /// Adds an observation; ignores it if it is older than the newest one.
    pub(crate) fn observe(&mut self, level: Importance, observed: Duration) {
        if observed < self.observed {
            return;
        }
        let level = f64::from(level.get());
        let elapsed = observed - self.observed;
        let decayed_ratio = 1.0 - (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        let weight = decayed_ratio.max(MIN_NEW_WEIGHT);
        self.least_admitted += weight * (level - self.least_admitted);
        self.observed = observed;
    }

    /// The least importance that is admitted, regardless of the age of the observation.
    pub(crate) fn least_admitted(&self) -> Importance {
        Importance::from_number(self.least_admitted.round() as u32)
    }

    /// Whether the level admits all requests.
    pub(crate) fn admits_all(&self) -> bool {
        self.least_admitted < 0.5
    }

    /// Time since the last observation.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.observed)
    }

    /// Whether the last observation is so old that the level has no effect at any node.
    pub(crate) fn is_expired(&self, now: Duration) -> bool {
        self.age(now) >= MAX_LIFETIME
    }

    /// Whether a request of this importance is admitted.
    ///
    /// Without new observations the level expires gradually: an increasing share of the cohorts
    /// below it is admitted, the same in every class. Admitting all at once would cause a
    /// surge. The `jitter`, from 0 to 1, varies the lifetime between nodes that observed the
    /// level at the same time.
    pub(crate) fn admits(&self, now: Duration, importance: Importance, jitter: f64) -> bool {
        if importance >= self.least_admitted() {
            return true;
        }
        let age = self.age(now);
        if age <= FULL_EFFECT_TIME {
            return false;
        }
        let lifetime = MIN_LIFETIME + (MAX_LIFETIME - MIN_LIFETIME).mul_f64(jitter);
        let admitted_ratio =
            (age - FULL_EFFECT_TIME).as_secs_f64() / (lifetime - FULL_EFFECT_TIME).as_secs_f64();
        let refusal_rank = f64::from(Cohort::MAX - importance.cohort());
        refusal_rank < admitted_ratio * f64::from(Cohort::MAX)
    }
}
