//! How much work the backend server gets at the same time.

use std::time::Duration;

/// How often the limit is raised, and the shortest window.
const STEP: Duration = Duration::from_millis(250);

/// Answers that a window waits for. Times to run often vary as much as their mean;
/// with this many the mean is known within 10 %, and a trial that finds nothing
/// passes for a success about once in a hundred.
const ANSWERS_WANTED_COUNT: u32 = 100;

/// Answers without which a window is no ground for a trial.
const ANSWERS_LEAST_COUNT: u32 = 50;

/// The longest that a window waits for answers.
const WINDOW_GREATEST: Duration = Duration::from_secs(5);

/// Own latency above this multiple of the best one calls for a trial.
const SLOW_RATIO: f64 = 1.7;

/// A latency that changes by less than this share from window to window is
/// steady. Limit by latency is no throughput while queues still grow or drain.
const STEADY_RATIO: f64 = 0.15;

/// How fast the best latency is forgotten, a window.
const BEST_FORGOTTEN_RATIO: f64 = 0.001;

/// How far the best latency follows a better window; a lucky one is no measure.
const BEST_FOLLOWED_RATIO: f64 = 0.3;

/// The limit of a trial, as a share of the limit before it.
const TRIAL_RATIO: f64 = 0.6;

/// Windows after a trial that found nothing; doubled after each further one.
const TRIAL_PAUSE_LEAST_COUNT: u32 = 8;

/// The longest pause between trials, in windows.
const TRIAL_PAUSE_GREATEST_COUNT: u32 = 64;

/// Work began with much room left if less than this share of the limit was in use.
const LIGHT_RATIO: f64 = 0.7;

/// Answers to such work without which nothing follows from them.
const LIGHT_LEAST_COUNT: f64 = 15.0;

/// Answers after which a trial that does nothing for latency is given up.
const TRIAL_ANSWERS_COUNT: u32 = 20;

/// A trial with latency above this share of the latency before does nothing.
const TRIAL_LATENCY_RATIO: f64 = 0.85;

/// A trial that keeps this share of the throughput before it is a success.
const KEPT_THROUGHPUT_RATIO: f64 = 0.9;

/// The least limit, as a share of the slots.
const LEAST_RATIO: f64 = 0.1;

/// How fast the limit recovers, as a share of the slots a step.
const RECOVERY_RATIO: f64 = 0.1;

/// How fast it is raised beyond a ceiling, as a share of the limit a step.
const CAREFUL_RATIO: f64 = 0.02;

/// Steps after which a ceiling is forgotten.
const CEILING_LAPSE_COUNT: u32 = 40;

/// Limit of the work that runs at the same time, at most the announced slots.
///
/// Latency alone can't tell a backend server that has too much at once from one
/// that has become slow: lowering the limit of the latter only costs
/// throughput. So when latency is high, a trial lowers the limit for one window
/// and keeps the lower one only if throughput held. Throughput is taken as limit
/// by latency (Little's law), which needs far fewer answers for the same
/// certainty than counting them. A backend server that refuses lowers the limit
/// at once. Time spent waiting for calls of its own does not count as latency.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    slots_count: usize,
    limit: f64,
    best_latency_s: f64,
    mean_run_time_s: f64,
    last_latency_s: f64,
    is_slow: bool,
    /// Latency of work that began with much room left, and with little.
    light: Latencies,
    full: Latencies,
    trial: Option<Trial>,
    pause_count: u32,
    next_pause_count: u32,
    ceiling: Option<Ceiling>,
    window: Window,
    window_began: Duration,
    raised: Duration,
}

/// Latencies of one window.
#[derive(Clone, Copy, Debug, Default)]
struct Latencies {
    count: f64,
    sum_s: f64,
}

impl Latencies {
    fn add(&mut self, latency: Duration) {
        self.count += 1.0;
        self.sum_s += latency.as_secs_f64();
    }

    fn mean_s(self) -> f64 {
        self.sum_s / self.count.max(1.0)
    }
}

/// A limit beyond which a trial or a refusal found nothing to gain.
#[derive(Clone, Copy, Debug)]
struct Ceiling {
    limit: f64,
    steps_count: u32,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Work handed over before this waited behind what the limit before the
    /// trial let in.
    counts_from: Duration,
    limit_before: f64,
    latency_before_s: f64,
    throughput_before_per_s: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    answers_count: u32,
    own_latency_s: f64,
    is_saturated: bool,
    is_refused: bool,
}

impl ConcurrencyLimit {
    /// Starts afresh with what the backend server announced.
    pub(crate) fn set_slots_count(&mut self, slots_count: usize) {
        if slots_count == self.slots_count {
            return;
        }
        self.slots_count = slots_count;
        self.limit = slots_count as f64;
        self.trial = None;
        self.window = Window::default();
    }

    /// The backend server is gone.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn limit_count(&self) -> usize {
        match self.slots_count {
            0 => 0,
            slots_count => (self.limit.round() as usize).clamp(1, slots_count),
        }
    }

    /// Mean time that work runs, in seconds; 0 before the first answer.
    pub(crate) fn mean_run_time_s(&self) -> f64 {
        self.mean_run_time_s
    }

    /// Work was answered that was handed over at `started`; `own` is the time to run less the time that it waited
    /// for calls of its own.
    pub(crate) fn on_answered(&mut self, started: Duration, run: Duration, own: Duration) {
        let run_time_s = run.as_secs_f64();
        if self.mean_run_time_s == 0.0 {
            self.mean_run_time_s = run_time_s;
        }
        self.mean_run_time_s += 0.05 * (run_time_s - self.mean_run_time_s);
        let counts_from = self.trial.map(|trial| trial.counts_from);
        if counts_from.is_none_or(|from| started >= from) {
            self.window.answers_count += 1;
            self.window.own_latency_s += own.as_secs_f64();
        }
    }

    /// Latency of work that began beside this much other work.
    pub(crate) fn on_latency(&mut self, beside_count: usize, own: Duration) {
        let is_light = (beside_count as f64) < LIGHT_RATIO * self.limit;
        let latencies = if is_light {
            &mut self.light
        } else {
            &mut self.full
        };
        latencies.add(own);
    }

    /// Whether latency is as high with much room left: the backend server is slow
    /// then and not crowded, and a lower limit would only cost throughput.
    fn is_slow_anyway(&self) -> bool {
        let is_known = self.light.count >= LIGHT_LEAST_COUNT;
        is_known && self.light.mean_s() > TRIAL_LATENCY_RATIO * self.full.mean_s()
    }

    /// Work had to wait.
    pub(crate) fn on_saturated(&mut self) {
        self.window.is_saturated = true;
    }

    /// The backend server refused work for want of room, with this many others
    /// running.
    pub(crate) fn on_backend_refused(&mut self, others_count: usize) {
        self.window.is_refused = true;
        self.limit = self.limit.min(others_count as f64).max(self.least());
        self.set_ceiling();
        self.trial = None;
    }

    /// Raises the limit step by step, and ends the window if it is time.
    pub(crate) fn on_tick(&mut self, now: Duration) {
        if now.saturating_sub(self.raised) >= STEP {
            self.raised = now;
            let is_kept = self.trial.is_some() || self.is_slow || self.window.is_refused;
            if !is_kept {
                self.recover();
            }
        }
        if self.is_trial_in_vain() {
            self.give_up_trial();
        }
        let lasted = now.saturating_sub(self.window_began);
        let is_poor = self.window.answers_count < ANSWERS_WANTED_COUNT;
        if lasted < STEP || (is_poor && lasted < WINDOW_GREATEST) {
            return;
        }
        self.window_began = now;
        let window = std::mem::take(&mut self.window);
        if window.answers_count >= ANSWERS_LEAST_COUNT {
            self.end_window(now, window);
        } else if let Some(trial) = self.trial.take() {
            self.limit = trial.limit_before;
        }
    }

    fn end_window(&mut self, now: Duration, window: Window) {
        let latency_s = window.own_latency_s / f64::from(window.answers_count);
        let throughput_per_s = self.limit_count() as f64 / latency_s.max(1e-6);
        self.follow_best(latency_s);
        let is_slow_anyway = self.is_slow_anyway();
        self.light = Latencies::default();
        self.full = Latencies::default();
        self.is_slow = latency_s > SLOW_RATIO * self.best_latency_s;
        let change_s = (latency_s - self.last_latency_s).abs();
        let is_steady = change_s < STEADY_RATIO * latency_s;
        self.last_latency_s = latency_s;
        if let Some(trial) = self.trial.take() {
            self.end_trial(trial, throughput_per_s);
            return;
        }
        if !self.is_slow || !window.is_saturated || window.is_refused {
            return;
        }
        if self.pause_count > 0 {
            self.pause_count -= 1;
            return;
        }
        if is_steady && !is_slow_anyway {
            self.begin_trial(now, throughput_per_s);
        }
    }

    fn follow_best(&mut self, latency_s: f64) {
        if self.best_latency_s == 0.0 {
            self.best_latency_s = latency_s;
        }
        let is_better = latency_s < self.best_latency_s;
        let followed_ratio = if is_better {
            BEST_FOLLOWED_RATIO
        } else {
            BEST_FORGOTTEN_RATIO
        };
        self.best_latency_s += followed_ratio * (latency_s - self.best_latency_s);
    }

    fn begin_trial(&mut self, now: Duration, throughput_per_s: f64) {
        let lowered = (self.limit * TRIAL_RATIO).max(self.least());
        if lowered >= self.limit {
            return;
        }
        self.trial = Some(Trial {
            counts_from: now,
            limit_before: self.limit,
            latency_before_s: self.last_latency_s,
            throughput_before_per_s: throughput_per_s,
        });
        self.limit = lowered;
    }

    fn end_trial(&mut self, trial: Trial, throughput_per_s: f64) {
        let kept_per_s = KEPT_THROUGHPUT_RATIO * trial.throughput_before_per_s;
        if throughput_per_s < kept_per_s {
            self.undo_trial(trial);
        } else {
            self.next_pause_count = 0;
            self.set_ceiling();
        }
    }

    /// Whether latency stays as high as before. A trial costs throughput if the
    /// backend server is slow and not crowded, so it ends as soon as that shows.
    fn is_trial_in_vain(&self) -> bool {
        let Some(trial) = self.trial else {
            return false;
        };
        let answers_count = self.window.answers_count;
        let latency_s = self.window.own_latency_s / f64::from(answers_count.max(1));
        let is_high = latency_s > TRIAL_LATENCY_RATIO * trial.latency_before_s;
        answers_count >= TRIAL_ANSWERS_COUNT && is_high
    }

    fn give_up_trial(&mut self) {
        if let Some(trial) = self.trial.take() {
            self.undo_trial(trial);
            self.window = Window::default();
        }
    }

    fn undo_trial(&mut self, trial: Trial) {
        self.limit = trial.limit_before;
        self.pause_count = self.next_pause_count.max(TRIAL_PAUSE_LEAST_COUNT);
        self.next_pause_count = (2 * self.pause_count).min(TRIAL_PAUSE_GREATEST_COUNT);
    }

    fn recover(&mut self) {
        let slots = self.slots_count as f64;
        let raised = (self.limit + RECOVERY_RATIO * slots).min(slots);
        let Some(mut ceiling) = self.ceiling.take() else {
            self.limit = raised;
            return;
        };
        ceiling.steps_count += 1;
        if ceiling.steps_count < CEILING_LAPSE_COUNT {
            self.ceiling = Some(ceiling);
        }
        let careful = self.limit * (1.0 + CAREFUL_RATIO);
        self.limit = raised.min(ceiling.limit.max(careful)).min(slots);
    }

    fn set_ceiling(&mut self) {
        self.ceiling = Some(Ceiling {
            limit: self.limit,
            steps_count: 0,
        });
    }

    fn least(&self) -> f64 {
        (self.slots_count as f64 * LEAST_RATIO).max(1.0)
    }
}
