//! The rate limit that a backend server advertises in its answers.

use std::time::Duration;

use kumquatquay_wire::{
    BackendLife,
    routed::{KnownLimit, RateReport},
};

/// Burst capacity of the token bucket beyond one call, as a time at the rate limit.
///
/// Calls arrive unevenly; without a burst the tokens of quiet moments would be lost.
const BURST_S: f64 = 0.25;

/// Lowest rate at which calls are forwarded, whatever the limit.
///
/// A backend server that gets no calls gives no answers, and could never lift its limit.
const MIN_RATE_PER_S: f64 = 0.2;

/// Shortfall with which tokens still count as one, to allow for rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Rate limit of the backend server as stated in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedRateLimit {
    /// No limit other than its slots.
    #[default]
    None,
    /// Calls per second that it accepts of all callers together.
    PerSecond(f64),
    /// A value that can't be parsed.
    Malformed,
}

/// A new, changed or lifted rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitChange {
    /// Previous limit in calls per second; `None` without one.
    pub from_per_s: Option<f64>,
    /// New limit in calls per second; `None` without one.
    pub to_per_s: Option<f64>,
}

/// Token bucket for the rate limit that the backend server of this host advertises.
///
/// All calls of all hosts to the backend server pass its gate, so this one bucket suffices and no
/// state is shared between hosts. Without an advertised limit nothing is counted.
#[derive(Debug, Default)]
pub struct ServerRateLimit {
    /// Life of the backend server.
    life: Option<BackendLife>,
    per_s: Option<f64>,
    /// When the limit was last advertised by the backend server or by a caller.
    advertised_at: Duration,
    /// Age of the limit at that time; 0 if the backend server itself advertised it.
    advertised_age: Duration,
    /// Whether this node has read an answer of this life.
    has_own_answer: bool,
    /// Tokens at `refilled_at`; each one allows one call.
    tokens: f64,
    /// When the tokens were last refilled.
    refilled_at: Duration,
}

impl ServerRateLimit {
    // Observations

    /// Sets the life of the backend server; a limit of another life is dropped.
    pub fn on_life(&mut self, life: &BackendLife) {
        if !self.matches(life) {
            *self = Self::default();
        }
        if self.life.as_ref() != Some(life) {
            self.life = Some(life.clone());
        }
    }

    fn matches(&self, life: &BackendLife) -> bool {
        self.life
            .as_ref()
            .is_some_and(|known| known.may_equal(life))
    }

    /// Updates the limit from an answer of this life, to a run that began at `began`.
    ///
    /// An answer without a limit lifts it only if its run began after the limit was last
    /// advertised. Answers to long runs may be read late, and one that was written before the
    /// server began to advertise its limit must not lift it. A malformed limit is ignored.
    pub fn on_answer(
        &mut self,
        now: Duration,
        life: &BackendLife,
        began: Duration,
        limit: AdvertisedRateLimit,
    ) -> Option<RateLimitChange> {
        if !self.matches(life) {
            return None;
        }
        let per_s = match limit {
            AdvertisedRateLimit::Malformed => return None,
            AdvertisedRateLimit::PerSecond(per_s) => Some(per_s),
            AdvertisedRateLimit::None => None,
        };
        self.has_own_answer = true;
        if per_s.is_none() && began + self.advertised_age < self.advertised_at {
            return None;
        }
        self.set_advertised(now, Duration::ZERO);
        self.set(now, per_s)
    }

    /// Updates the limit from what a caller knows of this life.
    ///
    /// A node that restarts knows no limit until the first answer, and may have forwarded the
    /// full load by then; its callers still know the limit. What callers know is ignored once the
    /// backend server itself has answered here.
    pub fn on_caller_report(
        &mut self,
        now: Duration,
        life: &BackendLife,
        known: KnownLimit,
    ) -> Option<RateLimitChange> {
        let age = Duration::from_millis(known.age_ms);
        let is_newer = self.per_s.is_none() || age < self.age(now);
        if self.has_own_answer || !self.matches(life) || !is_newer {
            return None;
        }
        self.set_advertised(now, age);
        self.set(now, Some(known.limit_milli_per_s as f64 / 1_000.0))
    }

    // State

    /// The limit in calls per second, if there is one.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Age of the limit, since the backend server advertised it.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.advertised_at) + self.advertised_age
    }

    /// Whether there is a token for one more call.
    pub fn has_token(&self, now: Duration) -> bool {
        self.per_s.is_none() || self.tokens_at(now) >= 1.0 - ROUNDING_TOLERANCE
    }

    /// Time until a call may begin with this many calls waiting ahead of it.
    pub fn wait(&self, now: Duration, ahead_count: usize) -> Duration {
        let Some(rate_per_s) = self.rate_per_s() else {
            return Duration::ZERO;
        };
        let missing = (ahead_count + 1) as f64 - self.tokens_at(now);
        Duration::from_secs_f64(missing.max(0.0) / rate_per_s)
    }

    /// The report for callers, with this many calls waiting.
    pub fn report(&self, now: Duration, waiting_count: usize) -> Option<RateReport> {
        let per_s = self.per_s?;
        Some(RateReport {
            limit_milli_per_s: (per_s * 1_000.0) as u64,
            wait_ms: self.wait(now, waiting_count).as_millis() as u32,
        })
    }

    // Tokens

    /// Takes a token for a call that begins.
    pub fn take(&mut self, now: Duration) {
        if self.per_s.is_some() {
            self.refill(now);
            self.tokens -= 1.0;
        }
    }

    /// Returns the token of a call that never reached the backend server.
    pub fn give_back(&mut self, now: Duration) {
        if self.per_s.is_some() {
            self.refill(now);
            self.tokens = (self.tokens + 1.0).min(self.burst_count());
        }
    }

    fn set_advertised(&mut self, now: Duration, age: Duration) {
        self.advertised_at = now;
        self.advertised_age = age;
    }

    fn set(&mut self, now: Duration, per_s: Option<f64>) -> Option<RateLimitChange> {
        self.refill(now);
        let from_per_s = std::mem::replace(&mut self.per_s, per_s);
        // The tokens left of a higher limit must not allow a burst under a lower one.
        self.tokens = match from_per_s {
            None => 0.0,
            Some(_) => self.tokens.min(self.burst_count()),
        };
        (from_per_s != per_s).then_some(RateLimitChange {
            from_per_s,
            to_per_s: per_s,
        })
    }

    fn refill(&mut self, now: Duration) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }

    fn tokens_at(&self, now: Duration) -> f64 {
        let Some(rate_per_s) = self.rate_per_s() else {
            return 0.0;
        };
        let passed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.tokens + passed_s * rate_per_s).min(self.burst_count())
    }

    fn rate_per_s(&self) -> Option<f64> {
        self.per_s.map(|per_s| per_s.max(MIN_RATE_PER_S))
    }

    fn burst_count(&self) -> f64 {
        1.0 + BURST_S * self.rate_per_s().unwrap_or_default()
    }
}
