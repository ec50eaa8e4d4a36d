//! Retry budget of the gate of one backend server.

use std::{collections::VecDeque, time::Duration};

/// Number of buckets of kept tokens in a window, of which one expires at a time.
const BUCKETS_COUNT: u32 = 10;

/// Rate at which kept tokens are earned: they are spent in the window in which they were earned or in
/// the next one, and the requests of both together may be twice those of the larger one.
const KEPT_EARNING_RATIO: f64 = 0.5;

/// Part of the extra that accrues over a window; the rest limits the tokens at any moment.
const ACCRUING_EXTRA_RATIO: f64 = 0.5;

/// Bounds the repeats that arrive at the backend server of one host.
///
/// The budget of a service holds for all of its backend servers together: the repeats in a window
/// are at most a `ratio` of the requests for the service, in that window or in the one before,
/// plus an extra. A repeat is an arrival beyond the first of its request, or the arrival of a call
/// that a repeated run makes.
///
/// Each arrival passes the gate beside its backend server, whichever node sends it, for whatever
/// cause and from whatever level of calls. So each gate admits repeats only for tokens that it earns by
/// first arrivals of its own, and for its part of the extra. What the gates admit sums to the
/// budget without a message between them. A gate that starts anew has no tokens, so a restart adds
/// nothing, and demand that was expected but never came earns nothing.
///
/// Tokens are limited to the gate's part of the extra: what arrives in a window then is covered by
/// first arrivals in the same window and by the extra. With so many gates that this part is less
/// than one token, tokens are kept for a window instead, and earned at half the rate.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    extra_count: f64,
    /// Whether it gets all tokens that it may have once its part of the extra is known.
    starts_full: bool,
    /// Tokens at hand, limited by this gate's part of the extra; kept ones come on top.
    tokens_count: f64,
    accrued_until: Duration,
    kept: VecDeque<KeptTokens>,
}

/// Tokens that expire one window after the first of them was earned.
#[derive(Clone, Copy, Debug)]
struct KeptTokens {
    since: Duration,
    count: f64,
}

impl RetryBudget {
    /// Creates the budget of a gate: `ratio` of its first arrivals, and `extra_count` repeats in
    /// each window.
    pub fn new(window: Duration, ratio: f64, extra_count: f64) -> Self {
        Self {
            ratio,
            window,
            extra_count,
            starts_full: false,
            tokens_count: 0.0,
            accrued_until: Duration::ZERO,
            kept: VecDeque::new(),
        }
    }

    /// Lets the gate start with tokens, since no earlier life of it can have spent any.
    pub fn starting_full(mut self) -> Self {
        self.starts_full = true;
        self
    }

    /// Changes this gate's part of the extra, when the number of gates changes.
    pub fn set_extra_count(&mut self, extra_count: f64) {
        self.extra_count = extra_count;
        if std::mem::take(&mut self.starts_full) {
            self.tokens_count = self.tokens_limit();
        }
        self.tokens_count = self.tokens_count.min(self.tokens_limit());
    }

    /// A call arrives for the first time, from a run that isn't a repeat.
    pub fn on_first_arrival(&mut self, now: Duration) {
        self.advance(now);
        self.earn(now, 1.0);
    }

    /// The call that counted as a first arrival was not received after all.
    pub fn on_not_received(&mut self, now: Duration) {
        self.advance(now);
        self.earn(now, -1.0);
    }

    /// Whether there is a token for a repeat beyond those that are reserved for others.
    pub fn has_room(&mut self, now: Duration, reserved_count: f64) -> bool {
        self.advance(now);
        let kept: f64 = self.kept.iter().map(|tokens| tokens.count).sum();
        self.tokens_count + kept >= 1.0 + reserved_count
    }

    /// Takes the token of a repeat that arrives; [`has_room`](Self::has_room) must hold.
    pub fn on_repeat(&mut self, now: Duration) {
        self.advance(now);
        let at_hand = self.tokens_count.clamp(0.0, 1.0);
        self.tokens_count -= at_hand;
        let mut missing = 1.0 - at_hand;
        for tokens in &mut self.kept {
            let taken = tokens.count.clamp(0.0, missing);
            tokens.count -= taken;
            missing -= taken;
        }
        // Nothing is missing if there was room.
        self.tokens_count -= missing;
    }

    /// Lets the extra accrue and kept tokens expire.
    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.accrued_until);
        self.accrued_until = now.max(self.accrued_until);
        let windows = passed.as_secs_f64() / self.window.as_secs_f64();
        let accrued = (self.extra_count - self.tokens_limit()) * windows;
        self.tokens_count = (self.tokens_count + accrued).min(self.tokens_limit());
        while self
            .kept
            .front()
            .is_some_and(|tokens| now >= tokens.since + self.window)
        {
            self.kept.pop_front();
        }
    }

    fn newest_kept(&mut self, now: Duration) -> &mut KeptTokens {
        let bucket_duration = self.window / BUCKETS_COUNT;
        let needs_bucket = self
            .kept
            .back()
            .is_none_or(|tokens| now >= tokens.since + bucket_duration);
        if needs_bucket {
            self.kept.push_back(KeptTokens {
                since: now,
                count: 0.0,
            });
        }
        self.kept.back_mut().expect("a bucket was pushed just now")
    }

    fn tokens_limit(&self) -> f64 {
        let unaccrued = self.extra_count * (1.0 - ACCRUING_EXTRA_RATIO);
        unaccrued.max(self.extra_count.min(1.0))
    }

    fn keeps_tokens(&self) -> bool {
        self.tokens_limit() < 1.0
    }

    /// Changes the tokens by those that a first arrival earns, times `count`.
    fn earn(&mut self, now: Duration, count: f64) {
        if self.keeps_tokens() {
            let earned = self.ratio * KEPT_EARNING_RATIO * count;
            self.newest_kept(now).count += earned;
        } else {
            let tokens = self.tokens_count + self.ratio * count;
            self.tokens_count = tokens.min(self.tokens_limit());
        }
    }
}
