//! Share of failed runs of a backend server, without failures caused by the calls of its runs.

use std::time::Duration;

use kumquatquay_wire::BackendLife;

/// Weight of a new run in the moving average: a backend server that begins to fail every run has a
/// ratio of a quarter after six runs.
const NEW_WEIGHT: f64 = 0.05;

/// Time after a failed call within which its run is expected to end.
const MAX_RUN_TIME_AFTER_FAILURE: Duration = Duration::from_secs(1);

/// Share of failed runs from which on calls that must run at most once should go elsewhere.
///
/// It is lower than the share at which callers eject the backend server. Callers that have ejected
/// it send it no more calls, so the share rises no further, and with a higher limit each caller
/// that doesn't know yet would lose a call to it.
const FAILING_RATIO: f64 = 0.15;

/// Limit of the failed calls that are remembered.
const MAX_FAILED_CALLS_COUNT: usize = 64;

/// Share of the runs of a backend server that fail by its own fault, as seen by the node of its
/// host.
///
/// It detects a backend server that fails every run at once and still reports that it is healthy.
/// Such a backend server looks fast and empty, and so attracts calls. Each caller sees only a few
/// of its failures, while the node of its host sees all of them and reports them with each answer.
///
/// A run also fails if one of its own calls does, which isn't the fault of the backend server. So
/// each call that failed during a run cancels out one failed run.
#[derive(Debug, Default)]
pub struct RunFailures {
    life: Option<BackendLife>,
    ratio: f64,
    /// When calls failed, for those that haven't cancelled out a failed run yet.
    failed_calls: Vec<Duration>,
}

impl RunFailures {
    /// Sets the life of the backend server, and resets the share if it is another one.
    pub fn on_life(&mut self, life: &BackendLife) {
        let is_same = self
            .life
            .as_ref()
            .is_some_and(|known| known.may_equal(life));
        if !is_same {
            *self = Self::default();
        }
        self.life = Some(life.clone());
    }

    /// Records that a call made by some run of the backend server failed.
    pub fn call_failed(&mut self, now: Duration) {
        self.expire_failed_calls(now);
        if self.failed_calls.len() < MAX_FAILED_CALLS_COUNT {
            self.failed_calls.push(now);
        }
    }

    /// Records a successful run.
    pub fn succeeded(&mut self) {
        self.observe(0.0);
    }

    /// Records a rejected call, which counts as a failure.
    pub fn rejected(&mut self) {
        self.observe(1.0);
    }

    /// Records a run that began at `began` and failed or gave no answer.
    ///
    /// A call that failed before the run began belongs to another run. It may even be a call from
    /// a caller on this host that the backend server itself has just failed, on a route that this
    /// host doesn't know yet to be used by callers from outside. If it counted, each failure
    /// would cancel out the next one.
    pub fn failed(&mut self, began: Duration, now: Duration) {
        self.expire_failed_calls(now);
        match self
            .failed_calls
            .iter()
            .position(|failed_at| *failed_at >= began)
        {
            Some(index) => {
                self.failed_calls.remove(index);
            }
            None => self.observe(1.0),
        }
    }

    /// Share of the recent runs that failed, from 0 to 1.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Whether a call that must run at most once should be sent elsewhere first.
    ///
    /// Such a call is lost if its run fails. Refusing it costs a round trip and tells the sender
    /// that the backend server fails; otherwise each of a hundred entries would lose a call to
    /// find out.
    pub fn is_failing(&self) -> bool {
        self.ratio >= FAILING_RATIO
    }

    fn observe(&mut self, sample: f64) {
        self.ratio += NEW_WEIGHT * (sample - self.ratio);
    }

    fn expire_failed_calls(&mut self, now: Duration) {
        self.failed_calls
            .retain(|failed_at| now < *failed_at + MAX_RUN_TIME_AFTER_FAILURE);
    }
}
