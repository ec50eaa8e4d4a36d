//! When requests are to arrive.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{Arrival, LoadClass};

/// Most arrivals of one plan.
const ARRIVALS_LIMIT_COUNT: usize = 500_000;

/// A while with one load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadPhase {
    /// How long it lasts.
    pub duration: Duration,
    /// Factor on the rates of classes that surge.
    pub load_factor: f64,
}

/// All arrivals of a load, in the order of their times.
///
/// The same classes, phases and seed give the same arrivals, so that arms that
/// are compared get the same load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArrivalPlan {
    /// The arrivals.
    pub arrivals: Vec<Arrival>,
    /// Length of all phases together.
    pub duration: Duration,
}

impl ArrivalPlan {
    /// Draws exponential times between arrivals for each class.
    pub fn new(classes: &[LoadClass], phases: &[LoadPhase], seed: u64) -> Self {
        let mut arrivals = Vec::new();
        for (index, class) in classes.iter().enumerate() {
            let mut random = StdRng::seed_from_u64(seed ^ ((index as u64 + 1) << 32));
            plan_class(class, index, phases, &mut random, &mut arrivals);
        }
        arrivals.sort_by_key(|arrival| (arrival.at, arrival.class));
        arrivals.truncate(ARRIVALS_LIMIT_COUNT);
        Self {
            arrivals,
            duration: phases.iter().map(|phase| phase.duration).sum(),
        }
    }
}

fn plan_class(
    class: &LoadClass,
    index: usize,
    phases: &[LoadPhase],
    random: &mut StdRng,
    arrivals: &mut Vec<Arrival>,
) {
    let mut phase_start = Duration::ZERO;
    for phase in phases {
        let phase_end = phase_start + phase.duration;
        let factor = if class.is_surging {
            phase.load_factor
        } else {
            1.0
        };
        let rate_per_s = class.rate_per_s * factor;
        let mut at = phase_start + draw_gap(rate_per_s, phase.duration, random);
        while at < phase_end && arrivals.len() < ARRIVALS_LIMIT_COUNT {
            arrivals.push(Arrival {
                at,
                class: index,
                entry_choice: random.random(),
            });
            at += draw_gap(rate_per_s, phase.duration, random);
        }
        phase_start = phase_end;
    }
}

/// An exponential time; at most a phase, so that a rate of zero ends.
fn draw_gap(rate_per_s: f64, limit: Duration, random: &mut StdRng) -> Duration {
    let unit: f64 = random.random();
    let gap_s = -(1.0 - unit).ln() / rate_per_s;
    if gap_s.is_finite() && gap_s < limit.as_secs_f64() {
        Duration::from_secs_f64(gap_s)
    } else {
        limit
    }
}
