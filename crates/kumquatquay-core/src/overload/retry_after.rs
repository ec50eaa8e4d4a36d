//! Computes the `Retry-After` of refused requests.

use std::time::Duration;

use kumquatquay_wire::{Cohort, Importance};
use rand::Rng;

/// Mean wait of a request that is just below the level, in seconds.
const MIN_MEAN_S: f64 = 0.5;

/// Increase of the mean wait per class below the level, in seconds.
const MEAN_PER_CLASS_S: f64 = 2.0;

/// Distance from the level, in classes, beyond which the wait does not increase.
///
/// The numbers of the classes in use can be far apart, so that a greater distance says nothing
/// about the shortage.
const MAX_CLASSES: f64 = 1.5;

/// Returns a random wait after which a refused request should be sent again.
///
/// Its mean increases with the distance of the request from the level. It is randomised by up
/// to 50 % in both directions, so that refused callers don't return all at once.
pub(crate) fn retry_after(
    random: &mut impl Rng,
    level: Importance,
    importance: Importance,
) -> Duration {
    let distance = level.get().saturating_sub(importance.get());
    let distance_classes = f64::from(distance) / f64::from(Cohort::MAX);
    let mean_s = MIN_MEAN_S + MEAN_PER_CLASS_S * distance_classes.min(MAX_CLASSES);
    Duration::from_secs_f64(mean_s * random.random_range(0.5..1.5))
}
