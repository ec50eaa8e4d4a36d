//! Sets the share of the offered load that is let in, from what a gate sees.

use std::{collections::VecDeque, time::Duration};

/// Length of the span over which a gate counts before it acts.
const WINDOW: Duration = Duration::from_millis(100);

/// Load that the level aims at, in slots asked for over slots there are.
///
/// What is left serves the unevenness of arrivals: calls wait some milliseconds.
const TARGET_RATIO: f64 = 0.97;

/// Time in which a queue that has formed is to be worked off.
const DRAIN_S: f64 = 0.4;

/// Spans after which a change of the level shows at the gate: the news goes up with
/// answers, and whole requests that were let in before still make their calls.
const RESPONSE_SPANS: usize = 6;

/// Part of the way to the wanted level that is gone in each span. The wanted level
/// comes from one noisy span; over five of them the noise is halved.
const STEP_RATIO: f64 = 0.2;

/// The same while the load that is seen was let in by an open level: what is wanted doesn't move
/// then, and the first second of a surge is when most is lost.
const FIRST_STEP_RATIO: f64 = 0.5;

/// Level from which on a gate counts as open.
const OPEN_LEVEL: f64 = 0.97;

/// Least and greatest change that is wanted at once: as much up as down. A load that is
/// off by more than this is mostly a short clump, or belongs to what the level doesn't
/// govern. With 1.25 upwards a level grew by a fifth in a second, and a service that had
/// been pressed for three seconds refused a quarter of all requests for eight more, with
/// half of its slots empty.
const CHANGE_LEAST: f64 = 0.4;
const CHANGE_GREATEST: f64 = 2.5;

/// The level never falls below this, so that it can rise again by its own share.
const LEVEL_LEAST: f64 = 0.02;

/// Spans over which the work of one long call is counted, at most.
const SPREAD_SPANS_COUNT: usize = 10;

/// Slots that a gate is taken to have at least; without any, a load over them has no end.
const SLOTS_LEAST: f64 = 0.01;

/// Weight of the newest span against those before.
const NEW_WEIGHT: f64 = 0.4;

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
pub struct LevelController {
    level: f64,
    load: f64,
    window_began: Duration,
    /// Expected work of the calls that arrived, by the span in which they keep slots busy: this
    /// one and those that follow.
    asked: VecDeque<Duration>,
    heard_sum: f64,
    heard_count: u32,
    /// Levels of the last spans, the oldest first.
    past: VecDeque<f64>,
}

impl Default for LevelController {
    fn default() -> Self {
        Self {
            level: 1.0,
            load: 0.0,
            window_began: Duration::ZERO,
            asked: VecDeque::new(),
            heard_sum: 0.0,
            heard_count: 0,
            past: VecDeque::new(),
        }
    }
}

/// What a gate is like at the end of a span.
#[derive(Clone, Copy, Debug)]
pub struct GateState {
    /// Calls that run at the same time where as many run as may: under a rate limit a part of
    /// one, if need be.
    pub slots: f64,
    /// Expected work of the calls that wait.
    pub waiting_work: Duration,
}

impl LevelController {
    /// A call arrived at the gate, whatever becomes of it; it is expected to run for `work`, and
    /// its sender knows the service's level as `heard`.
    ///
    /// One that finds no room at several gates counts at each of them: it stands for the
    /// further calls that its run would have made, and that aren't made now.
    pub fn on_arrival(&mut self, heard: f64, work: Duration) {
        self.ask(work);
        self.heard_sum += heard;
        self.heard_count += 1;
    }

    /// Counts the work of a call in the spans in which it runs, if it runs from now on. Counted at
    /// once, a call of nine spans would look as if it took as many slots for one.
    fn ask(&mut self, work: Duration) {
        let spans = work.as_secs_f64() / WINDOW.as_secs_f64();
        let spans_count = (spans.ceil() as usize).clamp(1, SPREAD_SPANS_COUNT);
        if self.asked.len() < spans_count {
            self.asked.resize(spans_count, Duration::ZERO);
        }
        let share = work / spans_count as u32;
        for asked in self.asked.iter_mut().take(spans_count) {
            *asked += share;
        }
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
        let slots = gate.slots.max(SLOTS_LEAST);
        let asked = self.asked.pop_front().unwrap_or_default();
        self.window_began = now;
        let asked = asked.as_secs_f64() / passed_s / slots;
        let queue_s = gate.waiting_work.as_secs_f64() / slots;
        let load = asked + queue_s / DRAIN_S;
        self.load += NEW_WEIGHT * (load - self.load);
        self.move_level();
        self.come_together();
        self.past.push_back(self.level);
        if self.past.len() > RESPONSE_SPANS {
            self.past.pop_front();
        }
    }

    /// The load that is seen now was let in by the level of some spans ago, and goes
    /// in proportion to it: that level times what there is room for over what there
    /// is gives the level that fits. Taking the present level in place of the past
    /// one would correct the same excess again in each span until the correction
    /// shows, and swing between shutting out all and none.
    fn move_level(&mut self) {
        let past = self.past.front().copied().unwrap_or(self.level);
        let change = TARGET_RATIO / self.load.max(1e-3);
        let wanted = past * change.clamp(CHANGE_LEAST, CHANGE_GREATEST);
        let is_first = past >= OPEN_LEVEL && wanted < self.level;
        let step = if is_first {
            FIRST_STEP_RATIO
        } else {
            STEP_RATIO
        };
        let level = self.level + step * (wanted - self.level);
        self.level = level.clamp(LEVEL_LEAST, 1.0);
    }

    fn come_together(&mut self) {
        let heard_count = std::mem::take(&mut self.heard_count);
        let heard_sum = std::mem::take(&mut self.heard_sum);
        if heard_count > 0 {
            let heard = heard_sum / f64::from(heard_count);
            self.level += TOGETHER_RATIO * (heard - self.level);
        }
    }
}
