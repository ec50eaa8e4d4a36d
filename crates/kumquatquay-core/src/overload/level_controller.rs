//! How a gate sets the level of its service.

use std::{collections::VecDeque, time::Duration};

use kumquatquay_wire::{Cohort, Importance};

use super::class_set::ClassSet;

/// How often the level is set at most.
const WINDOW_LEAST: Duration = Duration::from_millis(100);

/// How often the level is set at least.
const WINDOW_GREATEST: Duration = Duration::from_millis(500);

/// Arrivals that a window waits for.
const WINDOW_ARRIVALS_COUNT: u32 = 32;

/// Arrivals that are kept to find out what a level would refuse.
const ARRIVALS_LIMIT_COUNT: usize = 256;

/// How long an arrival counts.
const ARRIVALS_LAPSE: Duration = Duration::from_secs(1);

/// Mean wait, as a share of that in a full queue, above which work is shed.
const SHED_WAIT_RATIO: f64 = 0.7;

/// Use of the limit below which more is admitted.
const PROBE_BUSY_RATIO: f64 = 0.93;

/// Use of the limit below which the band of a probe doubles.
const IDLE_BUSY_RATIO: f64 = 0.6;

/// The use of the limit that is aimed at.
const AIMED_BUSY_RATIO: f64 = 0.97;

/// How much of a little room one window fills.
const FILLED_LEAST_RATIO: f64 = 0.5;

/// How much of much room one window fills, as after the end of an overload.
const FILLED_GREATEST_RATIO: f64 = 1.5;

/// Use of the limit at which there is much room.
const ROOMY_BUSY_RATIO: f64 = 0.7;

/// How much of a small excess one window sheds. Refusals come in bursts, and
/// shedding all of one leaves room unused until it is probed for again.
const GAIN_LEAST: f64 = 0.2;

/// How much of a great excess one window sheds.
const GAIN_GREATEST: f64 = 0.7;

/// The least share of arrivals that one window sheds.
const SHED_LEAST_RATIO: f64 = 0.02;

/// The greatest share of arrivals that one window sheds.
const SHED_GREATEST_RATIO: f64 = 0.6;

/// How far a probe goes below the level at least: a 128th of a class.
const FIRST_BAND: u32 = 512;

/// Sets the level of one gate's service from what the gate sees.
///
/// It falls behind no surge: one window of refusals raises the level by the
/// share that was refused. It recovers by probing: each window with room left
/// lowers it by as many cohorts as should fill half of that room, and by a band
/// that doubles where that says nothing, as between two classes.
#[derive(Debug)]
pub(crate) struct LevelController {
    level: Importance,
    band: u32,
    last_change: Option<Duration>,
    window: Window,
    window_began: Duration,
    arrivals: VecDeque<(Duration, Importance)>,
    classes: ClassSet,
}

/// How much work a gate has room for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GateCapacity {
    /// Work that may run at the same time.
    pub(crate) limit_count: usize,
    /// Work that may wait.
    pub(crate) queue_count: usize,
    /// Mean time to run work, in seconds.
    pub(crate) run_time_s: f64,
}

impl GateCapacity {
    /// The wait at the end of a full queue, in seconds.
    fn full_wait_s(self) -> f64 {
        self.run_time_s * self.queue_count as f64 / self.limit_count.max(1) as f64
    }

    /// Share of arrivals that a gate refuses by chance when the load is just what
    /// it can run: about that of a queue M/M/c/c+q at full load. Shedding for
    /// these would leave slots idle.
    fn tolerated_ratio(self) -> f64 {
        let spread = 1.25 * (self.limit_count as f64).sqrt();
        1.0 / (self.queue_count as f64 + 1.0 + spread)
    }
}

/// What one window saw of work at or above the level.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    arrived_count: u32,
    refused_count: u32,
    started_count: u32,
    waited_s: f64,
    samples_count: u32,
    busy_ratio: f64,
}

impl Default for LevelController {
    fn default() -> Self {
        Self {
            level: Importance::LEAST,
            band: FIRST_BAND,
            last_change: None,
            window: Window::default(),
            window_began: Duration::ZERO,
            arrivals: VecDeque::new(),
            classes: ClassSet::default(),
        }
    }
}

impl LevelController {
    /// The least importance admitted now.
    pub(crate) fn level(&self) -> Importance {
        self.level
    }

    /// Time since the level changed; `None` if it never did.
    pub(crate) fn last_change(&self) -> Option<Duration> {
        self.last_change
    }

    /// Work arrived at the gate.
    pub(crate) fn on_arrival(&mut self, now: Duration, importance: Importance) {
        if self.arrivals.len() >= ARRIVALS_LIMIT_COUNT {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back((now, importance));
        self.classes.insert(importance.class());
        if importance >= self.level {
            self.window.arrived_count += 1;
        }
    }

    /// The gate refused work for want of room, or its time ran out there.
    ///
    /// Senders learn a new level with their next answer; what they sent before
    /// is below it and must not raise it again.
    pub(crate) fn on_refused(&mut self, importance: Importance) {
        if importance >= self.level {
            self.window.refused_count += 1;
        }
    }

    /// Work was handed over after this wait.
    pub(crate) fn on_started(&mut self, importance: Importance, waited: Duration) {
        if importance >= self.level {
            self.window.started_count += 1;
            self.window.waited_s += waited.as_secs_f64();
        }
    }

    /// Notes how much of the limit is in use.
    pub(crate) fn on_utilization(&mut self, running_count: usize, limit_count: usize) {
        self.window.samples_count += 1;
        self.window.busy_ratio += running_count as f64 / limit_count.max(1) as f64;
    }

    /// Ends the window if it is time.
    pub(crate) fn on_tick(&mut self, now: Duration, room: GateCapacity) {
        let lasted = now.saturating_sub(self.window_began);
        let run = Duration::from_secs_f64(room.run_time_s).clamp(WINDOW_LEAST, WINDOW_GREATEST);
        let is_poor = self.window.arrived_count < WINDOW_ARRIVALS_COUNT;
        if lasted < run || (is_poor && lasted < WINDOW_GREATEST) {
            return;
        }
        self.window_began = now;
        let window = std::mem::take(&mut self.window);
        let busy_ratio = window.busy_ratio();
        let has_waited = window.wait_ratio(room.full_wait_s()) > SHED_WAIT_RATIO;
        let excess_ratio = window.refused_ratio() - room.tolerated_ratio();
        if excess_ratio > 0.0 || has_waited {
            self.raise(now, excess_ratio * gain_of(excess_ratio));
        } else if busy_ratio < PROBE_BUSY_RATIO || window.refused_count == 0 {
            self.probe(now, busy_ratio);
        }
    }

    fn raise(&mut self, now: Duration, refused_ratio: f64) {
        let shed_ratio = refused_ratio.clamp(SHED_LEAST_RATIO, SHED_GREATEST_RATIO);
        let lapse = ARRIVALS_LAPSE;
        let counts = |(at, importance): &&(Duration, Importance)| {
            *importance >= self.level && now.saturating_sub(*at) < lapse
        };
        let recent = self.arrivals.iter().filter(counts);
        let mut admitted: Vec<_> = recent.map(|(_, importance)| *importance).collect();
        admitted.sort_unstable();
        let shed_count = (admitted.len() as f64 * shed_ratio).ceil() as usize;
        let Some(least_kept) = admitted.get(shed_count.min(admitted.len().saturating_sub(1)))
        else {
            return;
        };
        self.band = FIRST_BAND;
        self.set(now, *least_kept);
    }

    fn probe(&mut self, now: Duration, busy_ratio: f64) {
        if self.level == Importance::LEAST {
            return;
        }
        let room_ratio = (AIMED_BUSY_RATIO / busy_ratio.max(0.1) - 1.0).max(0.0);
        let admitted = f64::from(Cohort::MAX - self.level.cohort());
        let filling = (filled_ratio(busy_ratio) * room_ratio * admitted) as u32;
        let lowered = self.lowered_by(filling.max(self.band));
        let is_idle = busy_ratio < IDLE_BUSY_RATIO;
        self.band = if is_idle {
            self.band.saturating_mul(2)
        } else {
            FIRST_BAND
        };
        self.set(now, lowered);
    }

    /// The level a number of cohorts further down. Classes that never came here
    /// are skipped: there may be hundreds of them between two that did.
    fn lowered_by(&self, mut cohorts_count: u32) -> Importance {
        let mut level = self.level;
        while u32::from(level.cohort()) < cohorts_count {
            let Some(class) = self.classes.next_below(level.class()) else {
                return Importance::LEAST;
            };
            cohorts_count -= u32::from(level.cohort());
            level = Importance::new(class, Cohort::MAX);
        }
        Importance::from_number(level.get() - cohorts_count)
    }

    fn set(&mut self, now: Duration, level: Importance) {
        if level != self.level {
            self.level = level;
            self.last_change = Some(now);
        }
    }
}

impl Window {
    fn refused_ratio(&self) -> f64 {
        f64::from(self.refused_count) / f64::from(self.arrived_count.max(1))
    }

    fn busy_ratio(&self) -> f64 {
        self.busy_ratio / f64::from(self.samples_count.max(1))
    }

    fn wait_ratio(&self, full_wait_s: f64) -> f64 {
        if self.started_count == 0 || full_wait_s <= 0.0 {
            return 0.0;
        }
        self.waited_s / f64::from(self.started_count) / full_wait_s
    }
}

/// How much of an excess one window sheds: more of a great one, since no burst
/// explains that.
fn gain_of(excess_ratio: f64) -> f64 {
    (GAIN_LEAST + excess_ratio).min(GAIN_GREATEST)
}

/// How much of the room that is left one window fills. Chance makes a little room
/// and takes it back; much room means that the overload is over.
fn filled_ratio(busy_ratio: f64) -> f64 {
    if busy_ratio < ROOMY_BUSY_RATIO {
        FILLED_GREATEST_RATIO
    } else {
        FILLED_LEAST_RATIO
    }
}
