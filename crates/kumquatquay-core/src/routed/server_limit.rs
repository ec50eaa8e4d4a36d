//! The rate limit that a backend server advertises in its answers.

use std::time::Duration;

use kumquatquay_wire::BackendLife;

/// What an answer says of the calls a second that its backend server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// Nothing: it takes what its slots allow.
    #[default]
    None,
    /// So many calls a second, of all callers together.
    PerSecond(f64),
    /// Something that can't be read.
    Malformed,
}

/// How a limit came, changed or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Calls a second until now; `None` without a limit.
    pub from_per_s: Option<f64>,
    /// Calls a second from now on; `None` without a limit.
    pub to_per_s: Option<f64>,
}

/// The rate limit of the backend server of this host.
#[derive(Debug, Default)]
pub struct ServerLimit {
    /// Life that advertises it.
    life: Option<BackendLife>,
    per_s: Option<f64>,
    /// When it was advertised last.
    advertised: Duration,
}

impl ServerLimit {
    /// The life that counts; a limit of another one is over.
    pub fn on_life(&mut self, life: &BackendLife) {
        if self.life.as_ref() != Some(life) {
            *self = Self {
                life: Some(life.clone()),
                ..Self::default()
            };
        }
    }

    /// Takes in what the answer of a run that began at `began` says.
    ///
    /// An answer without a limit ends it if its run began after the limit was advertised last.
    /// Answers to longer runs may be read late: without this, one that was written before the
    /// server advertised its limit would end it.
    pub fn on_answer(
        &mut self,
        now: Duration,
        began: Duration,
        limit: AdvertisedLimit,
    ) -> Option<LimitChange> {
        match limit {
            AdvertisedLimit::PerSecond(per_s) => {
                self.advertised = now;
                self.set(Some(per_s))
            }
            AdvertisedLimit::None if began >= self.advertised => self.set(None),
            AdvertisedLimit::None | AdvertisedLimit::Malformed => None,
        }
    }

    /// Calls a second that it takes, if it has said so.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    fn set(&mut self, per_s: Option<f64>) -> Option<LimitChange> {
        let from_per_s = std::mem::replace(&mut self.per_s, per_s);
        (from_per_s != per_s).then_some(LimitChange {
            from_per_s,
            to_per_s: per_s,
        })
    }
}
