//! Sets the share of the offered load that is let in, from what a gate sees.

use std::time::Duration;

/// Length of the span over which a gate counts before it acts.
const WINDOW: Duration = Duration::from_millis(100);

/// Load that the level aims at, in slots asked for over slots there are.
///
/// What is left serves the unevenness of arrivals: calls wait some milliseconds.
const TARGET_RATIO: f64 = 0.94;

/// Time in which a queue that has formed is to be worked off.
const DRAIN_S: f64 = 0.4;

/// Time after which a change of the level shows at the gate: the news goes up with
/// answers, and whole requests that were let in before still make their calls.
const RESPONSE_S: f64 = 0.6;

/// Change of the level, within the response time, for a load that is off by the
/// whole of what there is room for.
///
/// The load goes with the level, by as much as was offered: at 1.7 times the room a
/// level that moves by 0.1 moves the load by 0.17. An integral controller with dead
/// time doesn't swing while the product of both gains is under a half.
const GAIN: f64 = 0.3;

/// Part of [`GAIN`] with which the level goes up. Too low a level costs requests
/// that would have fitted; too high a one costs all that are half done.
const UP_RATIO: f64 = 0.6;

/// Weight of the newest span against those before.
const NEW_WEIGHT: f64 = 0.5;

/// Part of the way that the level goes in each span towards the level that callers
/// know of the service.
///
/// Callers hear of all its gates. Each gate sees another part of the load, and
/// without this their levels would drift apart until some shut out all and others
/// none.
const TOGETHER_RATIO: f64 = 0.15;

/// The level of one gate: the share of the offered load that there is room for.
///
/// It answers the pattern in which one request from outside makes eight calls at
/// the deepest service, which is short of slots: turned away there one call at a
/// time, nearly every request loses one of its eight, and all work is wasted.
#[derive(Debug)]
pub struct LevelSetter {
    level: f64,
    load: f64,
    window_began: Duration,
    arrivals_count: u32,
    heard_sum: f64,
    heard_count: u32,
}

impl Default for LevelSetter {
    fn default() -> Self {
        Self {
            level: 1.0,
            load: 0.0,
            window_began: Duration::ZERO,
            arrivals_count: 0,
            heard_sum: 0.0,
            heard_count: 0,
        }
    }
}

/// What a gate is like at the end of a span.
#[derive(Clone, Copy, Debug)]
pub struct GateState {
    /// Mean time that a call takes to run.
    pub work: Duration,
    /// Calls that may run at the same time.
    pub limit_count: usize,
    /// Calls that wait.
    pub waiting_count: usize,
}

impl LevelSetter {
    /// A call arrived at the gate, whatever becomes of it; its sender knows the
    /// service's level as `heard`.
    pub fn arrived(&mut self, heard: f64) {
        self.arrivals_count += 1;
        self.heard_sum += heard;
        self.heard_count += 1;
    }

    /// The level, from 0 (nothing is let in) to 1 (all).
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Acts if a span is over.
    pub fn tick(&mut self, now: Duration, gate: GateState) {
        let passed_s = now.saturating_sub(self.window_began).as_secs_f64();
        if passed_s < WINDOW.as_secs_f64() {
            return;
        }
        let slots = gate.limit_count.max(1) as f64;
        let arrivals = f64::from(std::mem::take(&mut self.arrivals_count));
        self.window_began = now;
        let work_s = gate.work.as_secs_f64();
        let asked = arrivals * work_s / passed_s / slots;
        let queue_s = gate.waiting_count as f64 * work_s / slots;
        let load = asked + queue_s / DRAIN_S;
        self.load += NEW_WEIGHT * (load - self.load);
        // A standstill of this node makes a span long; the level must not jump.
        let step_s = passed_s.min(2.0 * WINDOW.as_secs_f64());
        self.move_level(step_s);
        self.come_together();
    }

    fn come_together(&mut self) {
        let heard_count = std::mem::take(&mut self.heard_count);
        let heard_sum = std::mem::take(&mut self.heard_sum);
        if heard_count > 0 {
            let heard = heard_sum / f64::from(heard_count);
            self.level += TOGETHER_RATIO * (heard - self.level);
        }
    }

    fn move_level(&mut self, step_s: f64) {
        let excess = self.load - TARGET_RATIO;
        let gain = if excess > 0.0 { GAIN } else { GAIN * UP_RATIO };
        let level = self.level - gain * excess * step_s / RESPONSE_S;
        self.level = level.clamp(0.0, 1.0);
    }
}
