//! The rate limit that a backend server advertises in its answers.

use std::time::Duration;

use kumquatquay_wire::{
    BackendLife,
    routed::{KnownLimit, RateReport},
};

/// Calls that may begin at once after a pause, in seconds of the limit, beside one.
///
/// Calls come unevenly: without it what the limit allows in a quiet moment would be lost.
const BURST_S: f64 = 0.25;

/// Calls a second that are handed over whatever the limit, as trials: a backend server that gets
/// none gives no answers, and could never say that its limit is over.
const TRIALS_PER_S: f64 = 0.2;

/// What tokens may lack of a whole one, for what is lost in rounding.
const ROUNDING: f64 = 1e-6;

/// What an answer says of the calls a second that its backend server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedRateLimit {
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
pub struct RateLimitChange {
    /// Calls a second until now; `None` without a limit.
    pub from_per_s: Option<f64>,
    /// Calls a second from now on; `None` without a limit.
    pub to_per_s: Option<f64>,
}

/// The rate limit of the backend server of this host, and how far it is used up.
///
/// A token bucket beside the backend server. All calls of all hosts pass here, so one count is
/// enough and none is shared. While no limit is advertised it counts nothing.
#[derive(Debug, Default)]
pub struct ServerRateLimit {
    /// Life that advertises it.
    life: Option<BackendLife>,
    per_s: Option<f64>,
    /// When it was heard of last.
    heard: Duration,
    /// How old it was then; 0 if the backend server itself said it.
    heard_age: Duration,
    /// Whether an answer of this life was read here.
    is_first_hand: bool,
    /// Calls that may begin now.
    tokens: f64,
    /// When the tokens were counted.
    counted: Duration,
}

impl ServerRateLimit {
    // Learning

    /// The life that counts; a limit of another one is over.
    pub fn on_life(&mut self, life: &BackendLife) {
        if !self.is_of(life) {
            *self = Self::default();
        }
        if self.life.as_ref() != Some(life) {
            self.life = Some(life.clone());
        }
    }

    fn is_of(&self, life: &BackendLife) -> bool {
        self.life.as_ref().is_some_and(|known| known.may_be(life))
    }

    /// Takes in what the answer of this life to a run that began at `began` says.
    ///
    /// An answer without a limit ends it if its run began after the limit was advertised last.
    /// Answers to longer runs may be read late: without this, one that was written before the
    /// server advertised its limit would end it.
    pub fn on_answer(
        &mut self,
        now: Duration,
        life: &BackendLife,
        began: Duration,
        limit: AdvertisedRateLimit,
    ) -> Option<RateLimitChange> {
        if !self.is_of(life) {
            return None;
        }
        let per_s = match limit {
            AdvertisedRateLimit::Malformed => return None,
            AdvertisedRateLimit::PerSecond(per_s) => Some(per_s),
            AdvertisedRateLimit::None => None,
        };
        self.is_first_hand = true;
        if per_s.is_none() && began + self.heard_age < self.heard {
            return None;
        }
        self.hear(now, Duration::ZERO);
        self.set(now, per_s)
    }

    /// Takes in what a caller was told of this life; how that changes the limit.
    ///
    /// A node that was started again beside a limited backend server knows of no limit until an
    /// answer comes, and by then the whole load may have been handed over. Its callers know. Once
    /// the backend server itself has answered here, they know nothing better.
    pub fn on_caller_report(
        &mut self,
        now: Duration,
        life: &BackendLife,
        known: KnownLimit,
    ) -> Option<RateLimitChange> {
        let age = Duration::from_millis(known.age_ms);
        let is_news = self.per_s.is_none() || age < self.age(now);
        if self.is_first_hand || !self.is_of(life) || !is_news {
            return None;
        }
        self.hear(now, age);
        self.set(now, Some(known.limit_milli_per_s as f64 / 1_000.0))
    }

    // Reading

    /// Calls a second that it takes, if it has said so.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// How long ago the backend server advertised it.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard) + self.heard_age
    }

    /// Whether one more call may begin.
    pub fn has_token(&self, now: Duration) -> bool {
        self.per_s.is_none() || self.tokens_at(now) >= 1.0 - ROUNDING
    }

    /// Time until a call may begin that waits behind so many others.
    pub fn wait(&self, now: Duration, ahead_count: usize) -> Duration {
        let Some(rate_per_s) = self.rate_per_s() else {
            return Duration::ZERO;
        };
        let missing = (ahead_count + 1) as f64 - self.tokens_at(now);
        Duration::from_secs_f64(missing.max(0.0) / rate_per_s)
    }

    /// What callers are told, with so many calls waiting.
    pub fn report(&self, now: Duration, waiting_count: usize) -> Option<RateReport> {
        let per_s = self.per_s?;
        Some(RateReport {
            limit_milli_per_s: (per_s * 1_000.0) as u64,
            wait_ms: self.wait(now, waiting_count).as_millis() as u32,
        })
    }

    // Counting

    /// A call begins.
    pub fn take(&mut self, now: Duration) {
        if self.per_s.is_some() {
            self.count(now);
            self.tokens -= 1.0;
        }
    }

    /// A call for which a token was taken never reached the backend server.
    pub fn give_back(&mut self, now: Duration) {
        if self.per_s.is_some() {
            self.count(now);
            self.tokens = (self.tokens + 1.0).min(self.capacity());
        }
    }

    fn hear(&mut self, now: Duration, age: Duration) {
        self.heard = now;
        self.heard_age = age;
    }

    fn set(&mut self, now: Duration, per_s: Option<f64>) -> Option<RateLimitChange> {
        self.count(now);
        let from_per_s = std::mem::replace(&mut self.per_s, per_s);
        // What a higher limit has left must not pass for room under a lower one.
        self.tokens = match from_per_s {
            None => 0.0,
            Some(_) => self.tokens.min(self.capacity()),
        };
        (from_per_s != per_s).then_some(RateLimitChange {
            from_per_s,
            to_per_s: per_s,
        })
    }

    fn count(&mut self, now: Duration) {
        self.tokens = self.tokens_at(now);
        self.counted = now;
    }

    fn tokens_at(&self, now: Duration) -> f64 {
        let Some(rate_per_s) = self.rate_per_s() else {
            return 0.0;
        };
        let passed_s = now.saturating_sub(self.counted).as_secs_f64();
        (self.tokens + passed_s * rate_per_s).min(self.capacity())
    }

    fn rate_per_s(&self) -> Option<f64> {
        self.per_s.map(|per_s| per_s.max(TRIALS_PER_S))
    }

    fn capacity(&self) -> f64 {
        1.0 + BURST_S * self.rate_per_s().unwrap_or_default()
    }
}
