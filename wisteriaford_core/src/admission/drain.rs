//! Estimates how fast an endpoint completes requests, to derive retry delays.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::time::Timestamp;

const INITIAL_MEAN_INTERVAL: Duration = Duration::from_millis(100);
const MAX_INTERVAL: Duration = Duration::from_secs(10);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Divisor of the exponentially weighted mean: a new sample has a weight of 1/8.
const EWMA_DIVISOR: u32 = 8;
const MAX_JITTER_PERCENT: u32 = 50;

/// Exponentially weighted mean of the interval between slot releases.
#[derive(Clone, Debug)]
pub(super) struct DrainRate {
    mean_interval: Duration,
    last_release: Option<Timestamp>,
    rng: Pcg32,
}

impl DrainRate {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            mean_interval: INITIAL_MEAN_INTERVAL,
            last_release: None,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Records the release of one slot.
    pub(super) fn record_release(&mut self, now: Timestamp) {
        if let Some(last_release) = self.last_release {
            let sample = now.since(last_release).min(MAX_INTERVAL);
            self.mean_interval = (self.mean_interval * (EWMA_DIVISOR - 1) + sample) / EWMA_DIVISOR;
        }
        self.last_release = Some(now);
    }

    /// Returns how long `queued_ahead` requests are expected to take, plus random jitter so that
    /// requests refused at the same time don't all retry at once.
    pub(super) fn retry_after(&mut self, queued_ahead: usize) -> Duration {
        let queued_ahead = u32::try_from(queued_ahead).unwrap_or(u32::MAX);
        let wait = self
            .mean_interval
            .saturating_mul(queued_ahead.saturating_add(1));
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        wait + wait * self.rng.random_range(0..=MAX_JITTER_PERCENT) / 100
    }
}
