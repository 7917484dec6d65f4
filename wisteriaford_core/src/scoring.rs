//! Back-off of calls to scorers, for the product's training steps and for batch jobs.

use std::time::Duration;

use crate::hash::hash_parts;
use crate::time::Timestamp;

const MAX_DOUBLINGS: u32 = 6;

/// First and longest delay of a back-off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackOffLimits {
    /// Delay after the first failure.
    pub initial: Duration,
    /// Maximum delay after repeated failures.
    pub max: Duration,
}

impl BackOffLimits {
    /// Returns the jittered delay after a failure that follows `failures` previous ones.
    ///
    /// The jitter depends on `seed` only.
    #[must_use]
    pub fn delay(&self, seed: &[&[u8]], failures: u32) -> Duration {
        let doubled = self.initial * (1 << failures.min(MAX_DOUBLINGS));
        let limited = doubled.min(self.max);
        let failures = failures.to_le_bytes();
        let mut parts = seed.to_vec();
        parts.push(&failures);
        let jitter_percent = u32::try_from(hash_parts(&parts) % 51).unwrap_or(0);
        limited * (50 + jitter_percent) / 100
    }
}

/// Back-off of a scorer's caller after consecutive failures.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ScorerBackOff {
    failures: u32,
    not_before: Timestamp,
}

impl ScorerBackOff {
    /// Returns whether the scorer may be called.
    #[must_use]
    pub fn may_call(&self, now: Timestamp) -> bool {
        now >= self.not_before
    }

    /// Returns the number of consecutive failures.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a success, which ends the back-off.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failure, after which no call starts for some time.
    pub fn record_failure(&mut self, now: Timestamp, limits: BackOffLimits, seed: &[&[u8]]) {
        self.not_before = now + limits.delay(seed, self.failures);
        self.failures = self.failures.saturating_add(1);
    }
}
