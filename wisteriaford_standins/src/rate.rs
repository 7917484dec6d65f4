//! Token bucket rate limiter.

use std::time::Instant;

/// Token bucket whose capacity is one second of its rate.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub(crate) fn new(rate_per_s: u32, now: Instant) -> Self {
        let rate_per_s = f64::from(rate_per_s);
        Self {
            rate_per_s,
            tokens: rate_per_s,
            refilled_at: now,
        }
    }

    /// Takes one token; returns false if none is available.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.rate_per_s;
        self.tokens = refilled.min(self.rate_per_s);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
