//! How the admission level of a gate follows the load, in a simulated control loop.

use std::{collections::VecDeque, time::Duration};

use kumquatquay_core::routed::{GateState, LevelController};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::at_ms;

/// One gate with 30 slots, whose calls take 22 ms, and entries that learn its level
/// `delay_steps` tenths of a second later.
struct ControlLoop {
    controller: LevelController,
    random: StdRng,
    levels: VecDeque<f64>,
    waiting: f64,
    step: u64,
}

const SLOTS: usize = 30;
const RUN_TIME_S: f64 = 0.022;

/// What happened in a step of a tenth of a second.
struct Step {
    /// Level at its end.
    level: f64,
    /// Slots in use, as a share of all slots.
    used_ratio: f64,
    /// Calls that were given up while they waited.
    lost: f64,
}

impl ControlLoop {
    fn new(delay_steps: usize) -> Self {
        Self {
            controller: LevelController::default(),
            random: StdRng::seed_from_u64(3),
            levels: VecDeque::from(vec![1.0; delay_steps]),
            waiting: 0.0,
            step: 0,
        }
    }

    /// Simulates a tenth of a second. Of `offered` times what the gate can run, the level's share
    /// arrives, and in addition `uncontrolled` times what it can run, whatever the level.
    fn step(&mut self, offered: f64, uncontrolled: f64) -> Step {
        let level = self.levels.pop_front().unwrap();
        let capacity = SLOTS as f64 * 0.1 / RUN_TIME_S;
        let mean = capacity * (offered * level + uncontrolled);
        let arrivals = (mean + mean.sqrt() * self.random.random_range(-1.7..1.7)).max(0.0);
        for _ in 0..arrivals as u32 {
            self.controller
                .on_arrival(self.controller.level(), Duration::from_secs_f64(RUN_TIME_S));
        }
        let run = capacity.min(self.waiting + arrivals);
        let waiting = self.waiting + arrivals - run;
        // Calls wait for 0.3 s at most.
        self.waiting = waiting.min(3.0 * capacity);
        self.step += 1;
        self.controller.tick(
            at_ms(self.step * 100),
            GateState {
                slots: SLOTS as f64,
                waiting_work: Duration::from_secs_f64(RUN_TIME_S).mul_f64(self.waiting),
            },
        );
        self.levels.push_back(self.controller.level());
        Step {
            level: self.controller.level(),
            used_ratio: run / capacity,
            lost: waiting - self.waiting,
        }
    }

    fn run(&mut self, steps_count: usize, offered: f64, uncontrolled: f64) -> Vec<Step> {
        (0..steps_count)
            .map(|_| self.step(offered, uncontrolled))
            .collect()
    }
}

fn mean(steps: &[Step], value: impl Fn(&Step) -> f64) -> f64 {
    steps.iter().map(value).sum::<f64>() / steps.len() as f64
}

macro_rules! settles_under_constant_load {
    ($($name:ident: $offered:literal offered, $uncontrolled:literal uncontrolled, $delay:literal steps late;)*) => {
        $(
            /// The load stays constant. After two seconds the slots are in use and hardly any call
            /// that was admitted is lost.
            #[test]
            fn $name() {
                let mut gate = ControlLoop::new($delay);
                gate.run(20, $offered, $uncontrolled);
                let settled = gate.run(100, $offered, $uncontrolled);
                let used = mean(&settled, |step| step.used_ratio);
                let lost = mean(&settled, |step| step.lost);
                let expected = 0.85_f64.min(0.97 * ($offered + $uncontrolled));
                assert!(used >= expected, "used {used}");
                assert!(lost <= 1.0, "lost {lost} of 136 in a step");
            }
        )*
    };
}

settles_under_constant_load! {
    a_light_load: 0.7 offered, 0.0 uncontrolled, 4 steps late;
    a_load_near_the_capacity: 1.1 offered, 0.0 uncontrolled, 4 steps late;
    twice_the_capacity: 2.2 offered, 0.0 uncontrolled, 4 steps late;
    five_times_the_capacity: 5.0 offered, 0.0 uncontrolled, 4 steps late;
    a_level_that_arrives_late: 2.2 offered, 0.0 uncontrolled, 8 steps late;
    a_level_that_arrives_at_once: 2.2 offered, 0.0 uncontrolled, 1 steps late;
    a_partly_uncontrolled_load: 1.5 offered, 0.4 uncontrolled, 4 steps late;
}

/// A surge of three seconds to 1.7 times the usual load ends. Within three seconds nearly all
/// requests are admitted again.
#[test]
fn the_level_recovers_after_a_surge() {
    let mut gate = ControlLoop::new(4);
    gate.run(50, 0.85, 0.0);
    gate.run(30, 1.45, 0.0);
    let after = gate.run(30, 0.8, 0.0);
    assert!(
        after.last().unwrap().level > 0.95,
        "{}",
        after.last().unwrap().level
    );
}

/// While the load is constant, the level varies only with the noise of arrivals and doesn't
/// oscillate.
#[test]
fn the_level_does_not_oscillate() {
    let mut gate = ControlLoop::new(4);
    gate.run(30, 2.2, 0.0);
    let settled = gate.run(200, 2.2, 0.0);
    let mean_level = mean(&settled, |step| step.level);
    let deviation = mean(&settled, |step| (step.level - mean_level).abs());
    assert!(
        deviation < 0.12 * mean_level,
        "mean deviation {deviation} from level {mean_level}"
    );
}

/// In a spike of eight times the capacity nearly all requests are refused. While the level is
/// still low after it, slots are idle: two and a half seconds later nearly all requests are
/// admitted again.
#[test]
fn the_level_recovers_soon_after_a_spike() {
    let mut gate = ControlLoop::new(4);
    gate.run(50, 0.85, 0.0);
    gate.run(20, 8.0, 0.0);
    assert!(
        gate.controller.level() < 0.25,
        "{}",
        gate.controller.level()
    );
    let after = gate.run(25, 0.8, 0.0);
    let level = after.last().unwrap().level;
    assert!(level > 0.9, "{level}");
}

/// A surge to twice the capacity begins suddenly. Until the level has fallen, more requests are
/// admitted than fit, and most of them are lost. After half a second the level is at most a tenth
/// above what fits.
#[test]
fn the_level_falls_soon_when_a_surge_begins() {
    let mut gate = ControlLoop::new(4);
    gate.run(30, 0.5, 0.0);
    let surge = gate.run(5, 2.0, 0.0);
    let level = surge.last().unwrap().level;
    assert!((0.3..=0.55).contains(&level), "{level}");
}
