//! Adaptive concurrency limit of the backend server.

use std::time::Duration;

/// Interval between two increases of the limit, and the minimum length of a window.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Answers at which a window ends.
///
/// The standard deviation of run times is often as large as their mean. With 100 answers the
/// mean is accurate to 10 %, and about one in a hundred trials that gain nothing succeeds by
/// chance.
const TARGET_ANSWERS_COUNT: u32 = 100;

/// Minimum number of answers for a window to be evaluated; with fewer, a trial is undone.
const MIN_ANSWERS_COUNT: u32 = 50;

/// Maximum length of a window, after which it ends even with few answers.
const MAX_WINDOW: Duration = Duration::from_secs(5);

/// The backend server counts as slow if its latency exceeds the best latency by this factor.
const SLOW_RATIO: f64 = 1.7;

/// Maximum relative change of latency between two windows at which it counts as steady.
///
/// While queues still grow or drain, the limit divided by the latency isn't the throughput.
const STEADY_RATIO: f64 = 0.15;

/// Weight of a window with a higher latency in the best latency.
const BEST_INCREASE_WEIGHT: f64 = 0.001;

/// Weight of a window with a lower latency in the best latency; below 1, because a window can
/// be fast by chance.
const BEST_DECREASE_WEIGHT: f64 = 0.3;

/// Limit during a trial, as a share of the limit before it.
const TRIAL_LIMIT_RATIO: f64 = 0.6;

/// Pause after a failed trial, in windows; doubled by each further failure.
const MIN_TRIAL_PAUSE_COUNT: u32 = 8;

/// Maximum pause between trials, in windows.
const MAX_TRIAL_PAUSE_COUNT: u32 = 64;

/// Work counts as started at low load if less than this share of the limit was in use.
const LOW_LOAD_RATIO: f64 = 0.7;

/// Minimum number of answers to work started at low load for their mean latency to be used.
const MIN_LOW_LOAD_ANSWERS_COUNT: f64 = 15.0;

/// Answers after which a trial that does not lower the latency is aborted.
const FUTILE_TRIAL_ANSWERS_COUNT: u32 = 20;

/// A trial is futile if the latency stays above this share of the latency before it.
///
/// The same bound decides whether latency at low load is as high as at high load.
const FUTILE_TRIAL_LATENCY_RATIO: f64 = 0.85;

/// A trial succeeds if it keeps at least this share of the throughput before it.
const MIN_THROUGHPUT_RATIO: f64 = 0.9;

/// Minimum limit, as a share of the announced slots.
const MIN_LIMIT_RATIO: f64 = 0.1;

/// Increase of the limit per step, as a share of the announced slots.
const RECOVERY_RATIO: f64 = 0.1;

/// Increase of the limit per step above a ceiling, as a share of the limit.
const CEILING_PROBE_RATIO: f64 = 0.02;

/// Steps after which a ceiling expires.
const CEILING_EXPIRY_COUNT: u32 = 40;

/// Adaptive limit of the work that runs concurrently, at most the announced slots.
///
/// High latency alone does not show whether the backend server has too much concurrent work or
/// has become slow in general; in the second case a lower limit only reduces throughput.
/// Therefore high latency starts a trial: the limit is lowered for one window, and stays lower
/// only if throughput is kept. Throughput is computed as limit divided by latency (Little's
/// law), which needs far fewer answers for the same accuracy than counting them. When the
/// backend server refuses work, the limit is lowered at once. The time that work waits for its
/// own outgoing calls does not count as latency.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    slots_count: usize,
    limit: f64,
    best_latency_s: f64,
    mean_run_time_s: f64,
    last_latency_s: f64,
    is_slow: bool,
    /// Latencies since the last evaluated window, by the load when the work was started.
    low_load: Latencies,
    high_load: Latencies,
    trial: Option<Trial>,
    pause_count: u32,
    next_pause_count: u32,
    ceiling: Option<Ceiling>,
    window: Window,
    window_started: Duration,
    last_raise: Duration,
}

/// Number and sum of observed latencies.
#[derive(Clone, Copy, Debug, Default)]
struct Latencies {
    count: f64,
    sum_s: f64,
}

impl Latencies {
    fn record(&mut self, latency: Duration) {
        self.count += 1.0;
        self.sum_s += latency.as_secs_f64();
    }

    fn mean_s(self) -> f64 {
        self.sum_s / self.count.max(1.0)
    }
}

/// Limit above which more concurrency gained nothing, as a trial or a refusal has shown.
#[derive(Clone, Copy, Debug)]
struct Ceiling {
    limit: f64,
    steps_count: u32,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Start of the trial. Work that was started earlier doesn't count: it was delayed by the
    /// load under the previous limit.
    started_after: Duration,
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
    /// Sets the slots that the backend server announced; if they changed, resets the limit to
    /// them.
    pub(crate) fn set_slots_count(&mut self, slots_count: usize) {
        if slots_count == self.slots_count {
            return;
        }
        self.slots_count = slots_count;
        self.limit = slots_count as f64;
        self.trial = None;
        self.window = Window::default();
    }

    /// Resets everything, because the backend server is gone.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn limit_count(&self) -> usize {
        match self.slots_count {
            0 => 0,
            slots_count => (self.limit.round() as usize).clamp(1, slots_count),
        }
    }

    /// Moving average of the run time, in seconds; 0 before the first answer.
    pub(crate) fn mean_run_time_s(&self) -> f64 {
        self.mean_run_time_s
    }

    /// Records an answer to work that was started at `started`; `own_latency` is its run time
    /// less the time that it waited for its own outgoing calls.
    pub(crate) fn on_answered(
        &mut self,
        started: Duration,
        run_time: Duration,
        own_latency: Duration,
    ) {
        let run_time_s = run_time.as_secs_f64();
        if self.mean_run_time_s == 0.0 {
            self.mean_run_time_s = run_time_s;
        }
        self.mean_run_time_s += 0.05 * (run_time_s - self.mean_run_time_s);
        let started_after = self.trial.map(|trial| trial.started_after);
        if started_after.is_none_or(|from| started >= from) {
            self.window.answers_count += 1;
            self.window.own_latency_s += own_latency.as_secs_f64();
        }
    }

    /// Records the latency of work that was started while this much other work was running.
    pub(crate) fn on_latency(&mut self, others_at_start_count: usize, own_latency: Duration) {
        let is_low_load = (others_at_start_count as f64) < LOW_LOAD_RATIO * self.limit;
        let latencies = if is_low_load {
            &mut self.low_load
        } else {
            &mut self.high_load
        };
        latencies.record(own_latency);
    }

    /// Whether latency is about as high at low load. The backend server is then slow in general
    /// and a lower limit would only reduce throughput.
    fn is_slow_at_low_load(&self) -> bool {
        let has_enough_answers = self.low_load.count >= MIN_LOW_LOAD_ANSWERS_COUNT;
        has_enough_answers
            && self.low_load.mean_s() > FUTILE_TRIAL_LATENCY_RATIO * self.high_load.mean_s()
    }

    /// Records that work had to wait for a slot.
    pub(crate) fn on_saturated(&mut self) {
        self.window.is_saturated = true;
    }

    /// Lowers the limit below the present concurrency, because the backend server did not
    /// accept work while `others_count` others were running.
    pub(crate) fn on_backend_refused(&mut self, others_count: usize) {
        self.window.is_refused = true;
        self.limit = self.limit.min(others_count as f64).max(self.min_limit());
        self.set_ceiling();
        self.trial = None;
    }

    /// Raises the limit if a step is due, and evaluates the window if it is over.
    pub(crate) fn on_tick(&mut self, now: Duration) {
        if now.saturating_sub(self.last_raise) >= STEP_INTERVAL {
            self.last_raise = now;
            let is_frozen = self.trial.is_some() || self.is_slow || self.window.is_refused;
            if !is_frozen {
                self.recover();
            }
        }
        if self.is_trial_futile() {
            self.abort_trial();
        }
        let elapsed = now.saturating_sub(self.window_started);
        let has_few_answers = self.window.answers_count < TARGET_ANSWERS_COUNT;
        if elapsed < STEP_INTERVAL || (has_few_answers && elapsed < MAX_WINDOW) {
            return;
        }
        self.window_started = now;
        let window = std::mem::take(&mut self.window);
        if window.answers_count >= MIN_ANSWERS_COUNT {
            self.end_window(now, window);
        } else if let Some(trial) = self.trial.take() {
            self.limit = trial.limit_before;
        }
    }

    fn end_window(&mut self, now: Duration, window: Window) {
        let latency_s = window.own_latency_s / f64::from(window.answers_count);
        let throughput_per_s = self.limit_count() as f64 / latency_s.max(1e-6);
        self.update_best_latency(latency_s);
        let is_slow_at_low_load = self.is_slow_at_low_load();
        self.low_load = Latencies::default();
        self.high_load = Latencies::default();
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
        if is_steady && !is_slow_at_low_load {
            self.start_trial(now, throughput_per_s);
        }
    }

    fn update_best_latency(&mut self, latency_s: f64) {
        if self.best_latency_s == 0.0 {
            self.best_latency_s = latency_s;
        }
        let is_better = latency_s < self.best_latency_s;
        let weight = if is_better {
            BEST_DECREASE_WEIGHT
        } else {
            BEST_INCREASE_WEIGHT
        };
        self.best_latency_s += weight * (latency_s - self.best_latency_s);
    }

    fn start_trial(&mut self, now: Duration, throughput_per_s: f64) {
        let lowered = (self.limit * TRIAL_LIMIT_RATIO).max(self.min_limit());
        if lowered >= self.limit {
            return;
        }
        self.trial = Some(Trial {
            started_after: now,
            limit_before: self.limit,
            latency_before_s: self.last_latency_s,
            throughput_before_per_s: throughput_per_s,
        });
        self.limit = lowered;
    }

    fn end_trial(&mut self, trial: Trial, throughput_per_s: f64) {
        let min_throughput_per_s = MIN_THROUGHPUT_RATIO * trial.throughput_before_per_s;
        if throughput_per_s < min_throughput_per_s {
            self.undo_trial(trial);
        } else {
            self.next_pause_count = 0;
            self.set_ceiling();
        }
    }

    /// Whether the trial does not lower the latency. It then only reduces throughput, since the
    /// backend server is slow in general, and is aborted as soon as this shows.
    fn is_trial_futile(&self) -> bool {
        let Some(trial) = self.trial else {
            return false;
        };
        let answers_count = self.window.answers_count;
        let latency_s = self.window.own_latency_s / f64::from(answers_count.max(1));
        let is_high = latency_s > FUTILE_TRIAL_LATENCY_RATIO * trial.latency_before_s;
        answers_count >= FUTILE_TRIAL_ANSWERS_COUNT && is_high
    }

    fn abort_trial(&mut self) {
        if let Some(trial) = self.trial.take() {
            self.undo_trial(trial);
            self.window = Window::default();
        }
    }

    fn undo_trial(&mut self, trial: Trial) {
        self.limit = trial.limit_before;
        self.pause_count = self.next_pause_count.max(MIN_TRIAL_PAUSE_COUNT);
        self.next_pause_count = (2 * self.pause_count).min(MAX_TRIAL_PAUSE_COUNT);
    }

    fn recover(&mut self) {
        let slots = self.slots_count as f64;
        let raised = (self.limit + RECOVERY_RATIO * slots).min(slots);
        let Some(mut ceiling) = self.ceiling.take() else {
            self.limit = raised;
            return;
        };
        ceiling.steps_count += 1;
        if ceiling.steps_count < CEILING_EXPIRY_COUNT {
            self.ceiling = Some(ceiling);
        }
        let probed_limit = self.limit * (1.0 + CEILING_PROBE_RATIO);
        self.limit = raised.min(ceiling.limit.max(probed_limit)).min(slots);
    }

    fn set_ceiling(&mut self) {
        self.ceiling = Some(Ceiling {
            limit: self.limit,
            steps_count: 0,
        });
    }

    fn min_limit(&self) -> f64 {
        (self.slots_count as f64 * MIN_LIMIT_RATIO).max(1.0)
    }
}
