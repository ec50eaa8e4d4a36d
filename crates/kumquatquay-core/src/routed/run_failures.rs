//! Tells the failures of a backend server from those of what it calls.

use std::time::Duration;

use kumquatquay_wire::BackendLife;

/// Weight of the newest run against those before: a server that begins to fail each run is
/// told to fail a quarter of them after six.
const NEW_WEIGHT: f64 = 0.05;

/// Time within which a run ends that has lost a call.
const EXCUSE_TIME: Duration = Duration::from_secs(1);

/// Share of failed runs from which on calls that may run once at most are better run elsewhere.
/// Less than that from which on callers leave it alone: those that know it send it no more, so
/// the share rises no further, and others would each lose a call to it.
const FAILING_RATIO: f64 = 0.15;

/// Lost calls that excuse a later failure, at most.
const EXCUSES_LIMIT_COUNT: usize = 64;

/// Share of the runs of one backend server that fail by its own doing, as the node beside
/// it sees them.
///
/// It answers the pattern in which one backend server of several fails each run at once, and
/// says that it is well. It looks fast and empty, so it draws calls. Each caller by itself
/// sees a few of its failures; the node beside it sees them all, and tells them with each
/// answer.
///
/// A run that loses one of its calls fails as well, and that isn't the fault of who ran it:
/// as many failed runs as calls were lost while they were under way are left out.
#[derive(Debug, Default)]
pub struct RunFailures {
    life: Option<BackendLife>,
    ratio: f64,
    /// When calls were lost whose runs have not ended yet.
    excuses: Vec<Duration>,
}

impl RunFailures {
    /// The backend server has this life now; what was seen of another one doesn't hold.
    pub fn on_life(&mut self, life: &BackendLife) {
        if self.life.as_ref() != Some(life) {
            *self = Self {
                life: Some(life.clone()),
                ..Self::default()
            };
        }
    }

    /// A call that some run of the backend server made has failed.
    pub fn call_failed(&mut self, now: Duration) {
        self.forget_excuses(now);
        if self.excuses.len() < EXCUSES_LIMIT_COUNT {
            self.excuses.push(now);
        }
    }

    /// A run brought what it was asked for.
    pub fn succeeded(&mut self) {
        self.observe(0.0);
    }

    /// The backend server turned a call away.
    pub fn rejected(&mut self) {
        self.observe(1.0);
    }

    /// A run that began at this moment failed, or gave no answer.
    ///
    /// A call that was lost before it began is another run's. It may even be the call of a
    /// caller on this host that the server has just failed, on a route of which this host doesn't
    /// know yet that callers use it: taken for an excuse, each failure would excuse the next one.
    pub fn failed(&mut self, began: Duration, now: Duration) {
        self.forget_excuses(now);
        match self.excuses.iter().position(|lost| *lost >= began) {
            Some(excuse) => {
                self.excuses.remove(excuse);
            }
            None => self.observe(1.0),
        }
    }

    /// Share of the last runs that failed, from 0 to 1.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Whether a call that may run once at most should go elsewhere first.
    ///
    /// Such a call is lost with its run. Its sender learns with the answer that the server
    /// fails, at the price of a round trip; each of a hundred entries would lose one to find out.
    pub fn is_failing(&self) -> bool {
        self.ratio >= FAILING_RATIO
    }

    fn observe(&mut self, observed: f64) {
        self.ratio += NEW_WEIGHT * (observed - self.ratio);
    }

    fn forget_excuses(&mut self, now: Duration) {
        self.excuses.retain(|lost| now < *lost + EXCUSE_TIME);
    }
}
