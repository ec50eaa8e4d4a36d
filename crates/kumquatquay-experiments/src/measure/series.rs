//! Goodput over time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::load::Sample;

/// Length of one point.
const POINT: Duration = Duration::from_millis(500);

/// Load and goodput in one stretch of time, by intended start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SeriesPoint {
    /// Middle of the stretch, in seconds since the start of the load.
    pub t_s: f64,
    /// Requests that were to start.
    pub offered_per_s: f64,
    /// Of these, requests that completed usefully.
    pub good_per_s: f64,
}

/// Counts samples into stretches of half a second.
pub fn series<'a>(
    samples: impl Iterator<Item = &'a Sample>,
    duration: Duration,
) -> Vec<SeriesPoint> {
    let points_count = duration.as_millis().div_ceil(POINT.as_millis()) as usize;
    let mut counts = vec![(0_u32, 0_u32); points_count];
    for sample in samples {
        let index = (sample.intended.as_millis() / POINT.as_millis()) as usize;
        if let Some((offered, good)) = counts.get_mut(index) {
            *offered += 1;
            *good += u32::from(sample.is_good());
        }
    }
    let per_s = |count: u32| f64::from(count) / POINT.as_secs_f64();
    let points = counts.iter().enumerate();
    points
        .map(|(index, (offered, good))| SeriesPoint {
            t_s: (index as f64 + 0.5) * POINT.as_secs_f64(),
            offered_per_s: per_s(*offered),
            good_per_s: per_s(*good),
        })
        .collect()
}
