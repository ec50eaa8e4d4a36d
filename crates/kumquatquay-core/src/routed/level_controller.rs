//! Controls the admission level of a service, from the load of one gate.

use std::{collections::VecDeque, time::Duration};

/// Control interval: how often the level is adjusted.
const CONTROL_INTERVAL: Duration = Duration::from_millis(100);

/// Target load, as the ratio of offered work to the capacity of the slots.
///
/// The rest of the capacity absorbs uneven arrivals, with waits of some milliseconds.
const TARGET_RATIO: f64 = 0.97;

/// Time in which a queue should be drained.
const QUEUE_DRAIN_TIME_S: f64 = 0.4;

/// Control intervals until a change of the level takes effect at the gate.
///
/// The level travels to the entries with answers, and root requests that were admitted before
/// still make their calls.
const RESPONSE_INTERVALS_COUNT: usize = 6;

/// Part of the difference to the target level that is corrected in each interval.
///
/// The target level comes from one noisy interval; over five of them the noise is halved.
const STEP_RATIO: f64 = 0.2;

/// Same as [`STEP_RATIO`] while the observed load was admitted by an open level.
///
/// The target level is stable then, and the first second of a surge causes the most failures.
const INITIAL_STEP_RATIO: f64 = 0.5;

/// Level from which on a gate counts as open, that is without refusals.
const OPEN_LEVEL: f64 = 0.97;

/// Bounds of the ratio of the target level to the past level, the same in both directions.
///
/// A load that deviates by more is mostly a short burst, or isn't controlled by the level. With an
/// upper bound of 1.25 the level rose by only a fifth per second: after an overload of three
/// seconds a service refused a quarter of all requests for another eight, with half of its slots
/// idle.
const MIN_CHANGE_RATIO: f64 = 0.4;
const MAX_CHANGE_RATIO: f64 = 2.5;

/// Lower bound when the level is adjusted, so that it can recover by multiples of itself.
const MIN_LEVEL: f64 = 0.02;

/// Most control intervals over which the work of a long call is spread.
const MAX_WORK_INTERVALS_COUNT: usize = 10;

/// Lower bound of the slots of a gate, to avoid a division by zero.
const MIN_SLOTS: f64 = 0.01;

/// Weight of a new interval in the moving average of the load.
const NEW_WEIGHT: f64 = 0.4;

/// Part of the difference to the level known by callers that is corrected in each interval.
///
/// Callers average the levels of all gates of the service. Each gate sees a different part of the
/// load; without this their levels would drift apart until some refuse everything and others
/// nothing.
const CONVERGENCE_RATIO: f64 = 0.15;

/// Controller of the admission level of one gate: the share of the offered load for which it has
/// room.
///
/// It protects against an overload in which one root request makes eight calls at the deepest
/// service. If single calls are refused there, nearly every request loses one of its eight, and
/// all work is wasted.
#[derive(Debug)]
pub struct LevelController {
    level: f64,
    load: f64,
    interval_started: Duration,
    /// Expected work of the calls that have arrived, by the control interval in which they occupy
    /// slots, starting with the current one.
    offered_work: VecDeque<Duration>,
    caller_levels_sum: f64,
    caller_levels_count: u32,
    /// Levels of the last control intervals, the oldest first.
    past_levels: VecDeque<f64>,
}

impl Default for LevelController {
    fn default() -> Self {
        Self {
            level: 1.0,
            load: 0.0,
            interval_started: Duration::ZERO,
            offered_work: VecDeque::new(),
            caller_levels_sum: 0.0,
            caller_levels_count: 0,
            past_levels: VecDeque::new(),
        }
    }
}

/// Load of a gate at the end of a control interval.
#[derive(Clone, Copy, Debug)]
pub struct GateState {
    /// Calls that can run concurrently; below 1 under a low rate limit.
    pub slots: f64,
    /// Expected work of the waiting calls.
    pub waiting_work: Duration,
}

impl LevelController {
    /// Records that a call arrived at the gate, whether or not it is accepted.
    ///
    /// `caller_level` is the level of the service as known by the caller. A call that is refused
    /// by several gates counts at each of them: it stands for the further calls that its run
    /// would have made and now doesn't make.
    pub fn on_arrival(&mut self, caller_level: f64, run_time: Duration) {
        self.add_work(run_time);
        self.caller_levels_sum += caller_level;
        self.caller_levels_count += 1;
    }

    /// Spreads the work of a call evenly over the control intervals in which it would run from now
    /// on.
    ///
    /// Counted in one interval, a call of nine intervals would look like nine calls at a time.
    fn add_work(&mut self, run_time: Duration) {
        let intervals = run_time.as_secs_f64() / CONTROL_INTERVAL.as_secs_f64();
        let intervals_count = (intervals.ceil() as usize).clamp(1, MAX_WORK_INTERVALS_COUNT);
        if self.offered_work.len() < intervals_count {
            self.offered_work.resize(intervals_count, Duration::ZERO);
        }
        let work_per_interval = run_time / intervals_count as u32;
        for offered_work in self.offered_work.iter_mut().take(intervals_count) {
            *offered_work += work_per_interval;
        }
    }

    /// The level, from 0 (nothing is admitted) to 1 (everything is).
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Adjusts the level if the control interval is over.
    pub fn tick(&mut self, now: Duration, gate: GateState) {
        let passed_s = now.saturating_sub(self.interval_started).as_secs_f64();
        if passed_s < CONTROL_INTERVAL.as_secs_f64() {
            return;
        }
        let slots = gate.slots.max(MIN_SLOTS);
        let offered_work = self.offered_work.pop_front().unwrap_or_default();
        self.interval_started = now;
        let offered_load = offered_work.as_secs_f64() / passed_s / slots;
        let queue_s = gate.waiting_work.as_secs_f64() / slots;
        let load = offered_load + queue_s / QUEUE_DRAIN_TIME_S;
        self.load += NEW_WEIGHT * (load - self.load);
        self.adjust_level();
        self.converge();
        self.past_levels.push_back(self.level);
        if self.past_levels.len() > RESPONSE_INTERVALS_COUNT {
            self.past_levels.pop_front();
        }
    }

    /// Moves the level towards the target level, which follows from the load and a past level.
    ///
    /// The load observed now was admitted by the level of some intervals ago, and is proportional
    /// to it; so the target is that level times the ratio of the target load to the observed load.
    /// With the current level instead, the same excess would be corrected again in each interval
    /// until the correction takes effect, and the level would oscillate between extremes.
    fn adjust_level(&mut self) {
        let past = self.past_levels.front().copied().unwrap_or(self.level);
        let change = TARGET_RATIO / self.load.max(1e-3);
        let target = past * change.clamp(MIN_CHANGE_RATIO, MAX_CHANGE_RATIO);
        let is_initial = past >= OPEN_LEVEL && target < self.level;
        let step = if is_initial {
            INITIAL_STEP_RATIO
        } else {
            STEP_RATIO
        };
        let level = self.level + step * (target - self.level);
        self.level = level.clamp(MIN_LEVEL, 1.0);
    }

    /// Moves the level towards the mean level known by the callers of this interval.
    fn converge(&mut self) {
        let caller_levels_count = std::mem::take(&mut self.caller_levels_count);
        let caller_levels_sum = std::mem::take(&mut self.caller_levels_sum);
        if caller_levels_count > 0 {
            let caller_level = caller_levels_sum / f64::from(caller_levels_count);
            self.level += CONVERGENCE_RATIO * (caller_level - self.level);
        }
    }
}
