//! Rate limit on bytes sent.

use std::time::Duration;

/// A token bucket of bytes.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    rate_bytes_per_s: u64,
    burst_bytes: u64,
    /// Tokens, of which [`TOKENS_PER_BYTE`] stand for one byte.
    ///
    /// A refill adds the rate for each microsecond, so it is exact without fractions.
    tokens: u64,
    refilled_at: Duration,
}

/// Tokens that stand for one byte.
const TOKENS_PER_BYTE: u64 = 1_000_000;

impl ByteBudget {
    pub(super) const fn new(rate_bytes_per_s: u64, burst_bytes: u64) -> Self {
        Self {
            rate_bytes_per_s,
            burst_bytes,
            tokens: burst_bytes * TOKENS_PER_BYTE,
            refilled_at: Duration::ZERO,
        }
    }

    /// Bytes that may be sent now.
    pub(super) fn available_bytes(&mut self, now: Duration) -> usize {
        let passed_us = now.saturating_sub(self.refilled_at).as_micros() as u64;
        self.refilled_at = now;
        let earned = passed_us.saturating_mul(self.rate_bytes_per_s);
        let full = self.burst_bytes * TOKENS_PER_BYTE;
        self.tokens = self.tokens.saturating_add(earned).min(full);
        (self.tokens / TOKENS_PER_BYTE) as usize
    }

    /// Deducts bytes that were sent.
    pub(super) fn spend(&mut self, bytes: usize) {
        let tokens = (bytes as u64).saturating_mul(TOKENS_PER_BYTE);
        self.tokens = self.tokens.saturating_sub(tokens);
    }
}
