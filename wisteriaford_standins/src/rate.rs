//! Limit of a rate by a token bucket.

use std::time::Instant;

/// Bucket that holds at most one second's worth of the rate.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    available: f64,
    filled_at: Instant,
}

impl TokenBucket {
    pub(crate) fn new(rate_per_s: u32, now: Instant) -> Self {
        let rate_per_s = f64::from(rate_per_s);
        Self {
            rate_per_s,
            available: rate_per_s,
            filled_at: now,
        }
    }

    /// Takes one if there is one.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled_at);
        let filled = self.available + passed.as_secs_f64() * self.rate_per_s;
        self.available = filled.min(self.rate_per_s);
        self.filled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
