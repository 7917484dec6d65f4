//! Measured rate at which an endpoint finishes requests.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::time::Timestamp;

const INITIAL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_INTERVAL: Duration = Duration::from_secs(10);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
const SMOOTHING: u32 = 8;
const SPREAD_PERCENT: u32 = 50;

/// Smoothed interval between releases, and the times to come back that follow from it.
#[derive(Clone, Debug)]
pub(super) struct DrainRate {
    interval: Duration,
    last: Option<Timestamp>,
    rng: Pcg32,
}

impl DrainRate {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            interval: INITIAL_INTERVAL,
            last: None,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Counts one release.
    pub(super) fn note(&mut self, now: Timestamp) {
        if let Some(last) = self.last {
            let sample = now.since(last).min(MAX_INTERVAL);
            self.interval = (self.interval * (SMOOTHING - 1) + sample) / SMOOTHING;
        }
        self.last = Some(now);
    }

    /// Returns when `ahead` requests will have finished, plus a random part so that those who
    /// were refused together don't come back together.
    pub(super) fn retry_after(&mut self, ahead: usize) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let wait = self.interval.saturating_mul(ahead.saturating_add(1));
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        wait + wait * self.rng.random_range(0..=SPREAD_PERCENT) / 100
    }
}
