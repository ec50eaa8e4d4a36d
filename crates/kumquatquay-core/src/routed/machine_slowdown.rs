//! How fast the machine of a backend server works at this moment.

use std::time::Duration;

/// Age at which what was told says nothing any more: a machine that is shared changes its
/// pace many times a second.
const LIFETIME: Duration = Duration::from_secs(1);

/// The least time of work over its usual one that makes sense.
const LEAST_RATIO: f64 = 0.01;

/// The longest time of work over its usual one that makes sense.
const MOST_RATIO: f64 = 60.0;

/// What a backend server told last of its machine.
#[derive(Debug, Default)]
pub struct MachineSlowdown {
    told: Option<Told>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    at: Duration,
    ratio: f64,
}

impl MachineSlowdown {
    /// Takes in how long work takes over its usual time; a senseless figure is passed over.
    pub fn on_report(&mut self, now: Duration, ratio: f64) {
        if (LEAST_RATIO..=MOST_RATIO).contains(&ratio) {
            self.told = Some(Told { at: now, ratio });
        }
    }

    /// How long work takes over its usual time, while that is known.
    pub fn ratio(&self, now: Duration) -> Option<f64> {
        let told = self.told.filter(|told| now < told.at + LIFETIME);
        told.map(|told| told.ratio)
    }
}
