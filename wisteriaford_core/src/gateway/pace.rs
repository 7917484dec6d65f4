//! Concurrency limit of an endpoint that has just started or recovered.
//!
//! Such an endpoint may be slow for a while: caches are cold, code isn't compiled, a queue is being
//! worked off. With its full share of requests at once it makes all of them late; with a fixed ramp it
//! stays idle for longer than it needs. The limit here follows the answers instead. It grows with each
//! request that makes progress, shrinks when the endpoint refuses or loses requests, and is bounded by
//! Little's law: an endpoint that needs r times as long for a unit of work as its pool holds 1/r as
//! many requests for the same delay.

pub mod recovery;

use std::time::Duration;

use crate::time::Timestamp;

/// Share of the slots that are used at first, as a divisor.
const FIRST_SHARE_DIVISOR: u32 = 4;
/// Minimum time between two decreases; the requests sent before the first one end meanwhile.
const DECREASE_INTERVAL: Duration = Duration::from_millis(300);
/// Factor of a decrease after a refusal.
const REFUSAL_FACTOR: f64 = 0.5;
/// Factor of a decrease because of slow answers.
const SLOW_FACTOR: f64 = 0.8;
/// Number of slow samples in a row before a decrease; pauses of a few hundred milliseconds are common.
const SLOW_SAMPLES: u32 = 3;
/// Multiple of the bound by Little's law above which a limit counts as too high.
const TOLERANCE: f64 = 1.25;

/// Concurrency limit that follows how an endpoint answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    /// Whether the limit grows by one with each request, until the first decrease.
    is_probing: bool,
    /// Time per unit of work relative to the pool, as of the last sample.
    relative_pace: f64,
    slow_samples: u32,
    decreased_at: Option<Timestamp>,
}

impl ConcurrencyLimit {
    /// Returns the limit of an endpoint with `slots` slots of which nothing is known yet.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: f64::from((slots / FIRST_SHARE_DIVISOR).max(1)),
            is_probing: true,
            relative_pace: 1.0,
            slow_samples: 0,
            decreased_at: None,
        }
    }

    /// Returns the number of requests that the endpoint may run at once; at least one.
    #[must_use]
    pub fn max_in_flight(&self) -> u32 {
        // The limit is between 1 and the number of slots.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = self.limit.floor() as u32;
        limit.clamp(1, self.slots)
    }

    /// Returns whether the endpoint has shown that it bears as many requests as it has slots.
    #[must_use]
    pub fn is_lifted(&self) -> bool {
        self.limit >= f64::from(self.slots)
    }

    /// Records that a request was answered, or that its first event arrived, while `in_flight` requests
    /// were running.
    pub fn record_answer(&mut self, in_flight: u32) {
        // A limit that isn't reached says nothing about more requests.
        if in_flight < self.max_in_flight() || self.limit >= self.bound() {
            return;
        }
        let growth = if self.is_probing {
            1.0
        } else {
            1.0 / self.limit
        };
        self.limit = (self.limit + growth).min(self.bound());
    }

    /// Records the endpoint's time per unit of work, relative to that of its pool.
    pub fn record_pace(&mut self, now: Timestamp, relative_pace: f64) {
        self.relative_pace = relative_pace;
        if self.limit <= self.bound() * TOLERANCE {
            self.slow_samples = 0;
            return;
        }
        self.slow_samples += 1;
        if self.slow_samples >= SLOW_SAMPLES {
            self.slow_samples = 0;
            self.decrease(now, (self.limit * SLOW_FACTOR).max(self.bound()));
        }
    }

    /// Records that the endpoint refused a request as full.
    pub fn record_refusal(&mut self, now: Timestamp) {
        self.decrease(now, self.limit * REFUSAL_FACTOR);
    }

    /// Records that a request was lost, or that the endpoint could not be reached.
    pub fn record_loss(&mut self, now: Timestamp) {
        self.decrease(now, 1.0);
    }

    /// Returns the bound by Little's law.
    fn bound(&self) -> f64 {
        (f64::from(self.slots) / self.relative_pace.max(1.0)).max(1.0)
    }

    fn decrease(&mut self, now: Timestamp, limit: f64) {
        self.is_probing = false;
        let is_due = self
            .decreased_at
            .is_none_or(|at| now.since(at) >= DECREASE_INTERVAL);
        if is_due {
            self.limit = limit.max(1.0).min(self.limit);
            self.decreased_at = Some(now);
        }
    }
}
