//! Controls the admission level of a gate.

use std::{collections::VecDeque, time::Duration};

use kumquatquay_wire::{Cohort, Importance};

use super::class_set::ClassSet;

/// Minimum length of a window.
const MIN_WINDOW: Duration = Duration::from_millis(100);

/// Maximum length of a window.
const MAX_WINDOW: Duration = Duration::from_millis(500);

/// Arrivals at which a window may end.
const TARGET_ARRIVALS_COUNT: u32 = 32;

/// Maximum number of recent arrivals that are kept to compute what a level would refuse.
const MAX_ARRIVALS_COUNT: usize = 256;

/// Time for which an arrival counts as recent.
const ARRIVALS_LIFETIME: Duration = Duration::from_secs(1);

/// Mean wait, as a share of the wait in a full queue, above which the level is raised.
const SHED_WAIT_RATIO: f64 = 0.7;

/// Utilisation of the limit below which the level is lowered even if some work was refused.
const PROBE_UTILISATION_RATIO: f64 = 0.93;

/// Utilisation of the limit below which the step of the next probe doubles.
const IDLE_UTILISATION_RATIO: f64 = 0.6;

/// Target utilisation of the limit.
const TARGET_UTILISATION_RATIO: f64 = 0.97;

/// Share of the free capacity that one window fills if little is free.
const MIN_FILL_RATIO: f64 = 0.5;

/// Share of the free capacity that one window fills if much is free, as after an overload.
///
/// It is above 1, so the level falls by more than the free capacity calls for.
const MAX_FILL_RATIO: f64 = 1.5;

/// Utilisation of the limit below which much capacity counts as free.
const LOW_UTILISATION_RATIO: f64 = 0.7;

/// Share of a small excess that one window sheds.
///
/// Refusals come in bursts. Shedding a whole burst would leave capacity unused until further
/// probes have lowered the level again.
const MIN_GAIN: f64 = 0.2;

/// Share of a large excess that one window sheds.
const MAX_GAIN: f64 = 0.7;

/// Minimum share of the arrivals that one window sheds.
const MIN_SHED_RATIO: f64 = 0.02;

/// Maximum share of the arrivals that one window sheds.
const MAX_SHED_RATIO: f64 = 0.6;

/// Minimum and initial step of a probe, in cohorts: 1/128 of a class.
const MIN_PROBE_STEP: u32 = 512;

/// Controller of the admission level of one gate, based on its refusals, waits and utilisation.
///
/// A window with too many refusals or long waits raises the level by a share of the refused
/// work, so that it follows a surge quickly. Each window with free capacity lowers the level as
/// a probe, by the number of cohorts that is expected to fill half of that capacity (more if
/// much is free), and at least by a step. The step doubles while utilisation stays low, as when
/// no requests arrive with importances just below the level, between two classes.
#[derive(Debug)]
pub(crate) struct LevelController {
    level: Importance,
    probe_step: u32,
    last_change: Option<Duration>,
    window: Window,
    window_started: Duration,
    arrivals: VecDeque<(Duration, Importance)>,
    classes: ClassSet,
}

/// Capacity of a gate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GateCapacity {
    /// Maximum number of requests that run concurrently.
    pub(crate) limit_count: usize,
    /// Maximum number of requests in the queue.
    pub(crate) queue_limit_count: usize,
    /// Mean run time of a request, in seconds.
    pub(crate) run_time_s: f64,
}

impl GateCapacity {
    /// Wait at the end of a full queue, in seconds.
    fn full_wait_s(self) -> f64 {
        self.run_time_s * self.queue_limit_count as f64 / self.limit_count.max(1) as f64
    }

    /// Share of arrivals that a gate refuses by chance when the load equals its capacity,
    /// approximated from an M/M/c/c+q queue. Raising the level because of these refusals would
    /// leave slots idle.
    fn tolerated_refusal_ratio(self) -> f64 {
        let spread = 1.25 * (self.limit_count as f64).sqrt();
        1.0 / (self.queue_limit_count as f64 + 1.0 + spread)
    }
}

/// Counts of the work at or above the level in one window, and samples of the utilisation.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    arrived_count: u32,
    refused_count: u32,
    started_count: u32,
    waited_s: f64,
    samples_count: u32,
    utilisation_ratio: f64,
}

impl Default for LevelController {
    fn default() -> Self {
        Self {
            level: Importance::LEAST,
            probe_step: MIN_PROBE_STEP,
            last_change: None,
            window: Window::default(),
            window_started: Duration::ZERO,
            arrivals: VecDeque::new(),
            classes: ClassSet::default(),
        }
    }
}

impl LevelController {
    /// The least importance that is admitted.
    pub(crate) fn level(&self) -> Importance {
        self.level
    }

    /// When the level last changed; `None` if it never did.
    pub(crate) fn last_change(&self) -> Option<Duration> {
        self.last_change
    }

    /// Records that work arrived at the gate.
    pub(crate) fn on_arrival(&mut self, now: Duration, importance: Importance) {
        if self.arrivals.len() >= MAX_ARRIVALS_COUNT {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back((now, importance));
        self.classes.insert(importance.class());
        if importance >= self.level {
            self.window.arrived_count += 1;
        }
    }

    /// Records that work was refused for lack of capacity, by the gate or the backend server,
    /// or that its deadline passed at the gate.
    ///
    /// Work below the level doesn't count: senders receive a new level only with their next
    /// answer, and what they sent before must not raise it again.
    pub(crate) fn on_refused(&mut self, importance: Importance) {
        if importance >= self.level {
            self.window.refused_count += 1;
        }
    }

    /// Records that work was forwarded to the backend server after this wait.
    pub(crate) fn on_started(&mut self, importance: Importance, wait: Duration) {
        if importance >= self.level {
            self.window.started_count += 1;
            self.window.waited_s += wait.as_secs_f64();
        }
    }

    /// Records a sample of the utilisation of the limit.
    pub(crate) fn on_utilisation(&mut self, running_count: usize, limit_count: usize) {
        self.window.samples_count += 1;
        self.window.utilisation_ratio += running_count as f64 / limit_count.max(1) as f64;
    }

    /// Adjusts the level if the window is over.
    pub(crate) fn on_tick(&mut self, now: Duration, capacity: GateCapacity) {
        let elapsed = now.saturating_sub(self.window_started);
        let window_length =
            Duration::from_secs_f64(capacity.run_time_s).clamp(MIN_WINDOW, MAX_WINDOW);
        let has_few_arrivals = self.window.arrived_count < TARGET_ARRIVALS_COUNT;
        if elapsed < window_length || (has_few_arrivals && elapsed < MAX_WINDOW) {
            return;
        }
        self.window_started = now;
        let window = std::mem::take(&mut self.window);
        let utilisation_ratio = window.utilisation_ratio();
        let is_wait_long = window.wait_ratio(capacity.full_wait_s()) > SHED_WAIT_RATIO;
        let excess_ratio = window.refused_ratio() - capacity.tolerated_refusal_ratio();
        if excess_ratio > 0.0 || is_wait_long {
            self.raise(now, excess_ratio * gain_of(excess_ratio));
        } else if utilisation_ratio < PROBE_UTILISATION_RATIO || window.refused_count == 0 {
            self.probe(now, utilisation_ratio);
        }
    }

    fn raise(&mut self, now: Duration, refused_ratio: f64) {
        let shed_ratio = refused_ratio.clamp(MIN_SHED_RATIO, MAX_SHED_RATIO);
        let lifetime = ARRIVALS_LIFETIME;
        let is_recent_and_admitted = |(at, importance): &&(Duration, Importance)| {
            *importance >= self.level && now.saturating_sub(*at) < lifetime
        };
        let recent = self.arrivals.iter().filter(is_recent_and_admitted);
        let mut admitted: Vec<_> = recent.map(|(_, importance)| *importance).collect();
        admitted.sort_unstable();
        let shed_count = (admitted.len() as f64 * shed_ratio).ceil() as usize;
        let Some(raised_level) = admitted.get(shed_count.min(admitted.len().saturating_sub(1)))
        else {
            return;
        };
        self.probe_step = MIN_PROBE_STEP;
        self.set(now, *raised_level);
    }

    fn probe(&mut self, now: Duration, utilisation_ratio: f64) {
        if self.level == Importance::LEAST {
            return;
        }
        let free_ratio = (TARGET_UTILISATION_RATIO / utilisation_ratio.max(0.1) - 1.0).max(0.0);
        let admitted = f64::from(Cohort::MAX - self.level.cohort());
        let fill_cohorts = (fill_ratio(utilisation_ratio) * free_ratio * admitted) as u32;
        let lowered = self.lowered_by(fill_cohorts.max(self.probe_step));
        let is_idle = utilisation_ratio < IDLE_UTILISATION_RATIO;
        self.probe_step = if is_idle {
            self.probe_step.saturating_mul(2)
        } else {
            MIN_PROBE_STEP
        };
        self.set(now, lowered);
    }

    /// Returns the level lowered by a number of cohorts.
    ///
    /// Classes of which no request has arrived here are skipped: there may be hundreds of them
    /// between two that are in use.
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

    fn utilisation_ratio(&self) -> f64 {
        self.utilisation_ratio / f64::from(self.samples_count.max(1))
    }

    fn wait_ratio(&self, full_wait_s: f64) -> f64 {
        if self.started_count == 0 || full_wait_s <= 0.0 {
            return 0.0;
        }
        self.waited_s / f64::from(self.started_count) / full_wait_s
    }
}

/// Share of an excess that one window sheds; it grows with the excess, since a large one is no
/// mere burst.
fn gain_of(excess_ratio: f64) -> f64 {
    (MIN_GAIN + excess_ratio).min(MAX_GAIN)
}

/// Share of the free capacity that one window fills.
///
/// A little free capacity may be due to chance and disappear again; much of it means that the
/// overload is over.
fn fill_ratio(utilisation_ratio: f64) -> f64 {
    if utilisation_ratio < LOW_UTILISATION_RATIO {
        MAX_FILL_RATIO
    } else {
        MIN_FILL_RATIO
    }
}
