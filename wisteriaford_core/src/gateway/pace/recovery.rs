//! Concurrency limit of an endpoint that started or was ejected, without an announcement.
//!
//! The limit doubles with each full set of answers at the usual pace, so that an endpoint as fast as
//! before is full within two response times. Refusals and lost requests lower it. An endpoint that stays
//! slow is bounded by Little's law, like one that announces a slow start.

use std::time::Duration;

use crate::time::Timestamp;

/// Share of the slots that are used at first, as a divisor. It is rounded up, so that two doublings reach
/// all slots.
const FIRST_SHARE_DIVISOR: u32 = 4;
/// Relative time above which an answer is slow; work differs between requests, and most differences are
/// smaller.
const SLOW_RATIO: f64 = 1.5;
/// Time over which all answers must be slow before the limit falls. A single pause of an endpoint delays
/// the events of all its streams at once, but for less than this.
const SLOW_TIME: Duration = Duration::from_millis(300);
/// Number of slow samples before the limit falls.
const SLOW_SAMPLES: u32 = 3;
/// Factor of a decrease because of slow answers.
const SLOW_FACTOR: f64 = 0.8;
/// Factor of a decrease after a refusal.
const REFUSAL_FACTOR: f64 = 0.5;
/// Minimum time between two decreases; the requests sent before the first one end meanwhile.
const DECREASE_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which an endpoint that refused a request counts as having no free slots.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Number of answers at the usual pace, in multiples of the slots, that end a limit which too few requests
/// reach.
const USUAL_ANSWERS_PER_SLOT: u32 = 2;
/// Time without requests after which the limit says nothing about the endpoint any more: others have used
/// it meanwhile.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Reason why an endpoint is limited.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum LimitCause {
    /// It is new, or restarted.
    #[display("start")]
    Start,
    /// It was ejected.
    #[display("ejection")]
    Ejection,
}

/// Concurrency limit of an endpoint that started or was ejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryLimit {
    slots: u32,
    limit: f64,
    cause: LimitCause,
    began_at: Timestamp,
    /// Time of the last answer or decrease.
    used_at: Timestamp,
    /// Whether the limit grows by one with each answer, until the first refusal.
    is_doubling: bool,
    /// Whether the endpoint has answered since the start or the last loss.
    has_answered: bool,
    /// Last samples of the time taken relative to the usual one; zero for none.
    ratios: [f64; 3],
    slow_since: Option<Timestamp>,
    slow_samples: u32,
    /// Answers at the usual pace since the last decrease.
    usual_answers: u32,
    decreased_at: Timestamp,
    refused_at: Option<Timestamp>,
    /// State before the first loss, with the time of the loss.
    before_loss: Option<(Timestamp, f64, bool)>,
}

impl RecoveryLimit {
    /// Returns the limit of an endpoint with `slots` slots that hasn't answered yet.
    #[must_use]
    pub fn new(now: Timestamp, slots: u32, cause: LimitCause) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: first_limit(slots),
            cause,
            began_at: now,
            used_at: now,
            is_doubling: true,
            has_answered: false,
            ratios: [0.0; 3],
            slow_since: None,
            slow_samples: 0,
            usual_answers: 0,
            // Requests that are lost with the one that ejected the endpoint don't count again.
            decreased_at: now,
            refused_at: None,
            before_loss: None,
        }
    }

    /// Returns the reason for the limit.
    #[must_use]
    pub fn cause(&self) -> LimitCause {
        self.cause
    }

    /// Returns the time at which the limit began.
    #[must_use]
    pub fn began_at(&self) -> Timestamp {
        self.began_at
    }

    /// Returns the number of requests that the endpoint may run at once; at least one.
    #[must_use]
    pub fn max_in_flight(&self) -> u32 {
        // The limit is between 1 and the number of slots.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = self.limit.floor() as u32;
        limit.clamp(1, self.slots)
    }

    /// Returns whether the endpoint has shown that it bears as many requests as before.
    #[must_use]
    pub fn is_lifted(&self) -> bool {
        let enough = self.slots.saturating_mul(USUAL_ANSWERS_PER_SLOT);
        self.limit >= f64::from(self.slots) || self.usual_answers >= enough
    }

    /// Returns whether an endpoint with `in_flight` requests hasn't been used for long.
    #[must_use]
    pub fn is_outdated(&self, now: Timestamp, in_flight: u32) -> bool {
        in_flight == 0 && now.since(self.used_at) >= IDLE_TIME
    }

    /// Returns whether requests may exceed the limit while no other endpoint has room.
    #[must_use]
    pub fn may_be_exceeded(&self, now: Timestamp) -> bool {
        let has_refused = self
            .refused_at
            .is_some_and(|at| now.since(at) < REFUSAL_TIME);
        self.has_answered && !has_refused
    }

    /// Records the time that the endpoint took, relative to the usual one.
    pub fn record_sample(&mut self, now: Timestamp, ratio: f64) {
        self.has_answered = true;
        self.used_at = now;
        self.ratios.rotate_left(1);
        self.ratios[2] = ratio;
        if self.pace() <= SLOW_RATIO {
            self.slow_since = None;
            self.slow_samples = 0;
            return;
        }
        self.usual_answers = 0;
        self.slow_samples = self.slow_samples.saturating_add(1);
        let since = *self.slow_since.get_or_insert(now);
        let is_slow = self.slow_samples >= SLOW_SAMPLES && now.since(since) >= SLOW_TIME;
        if is_slow && self.limit > self.bound() {
            self.decrease(now, (self.limit * SLOW_FACTOR).max(self.bound()));
        }
    }

    /// Records that a request was answered, or that its first event arrived, while `in_flight` requests
    /// were running.
    pub fn record_answer(&mut self, now: Timestamp, in_flight: u32) {
        self.has_answered = true;
        self.used_at = now;
        if self.slow_since.is_none() {
            self.usual_answers = self.usual_answers.saturating_add(1);
        }
        // While the limit doubles, the requests that it allowed a response time ago are half of it.
        let needed = if self.is_doubling {
            in_flight.saturating_mul(2)
        } else {
            in_flight
        };
        if needed < self.max_in_flight() || self.limit >= self.bound() {
            return;
        }
        let growth = if self.is_doubling {
            1.0
        } else {
            1.0 / self.limit
        };
        self.limit = (self.limit + growth).min(self.bound());
    }

    /// Records that the endpoint refused a request as full.
    pub fn record_refusal(&mut self, now: Timestamp) {
        self.is_doubling = false;
        self.refused_at = Some(now);
        self.decrease(now, self.limit * REFUSAL_FACTOR);
    }

    /// Records that a request was lost, or that the endpoint could not be reached: it has to begin again.
    pub fn record_loss(&mut self, now: Timestamp) {
        self.before_loss
            .get_or_insert((now, self.limit, self.has_answered));
        self.has_answered = false;
        self.decrease(now, self.limit.min(first_limit(self.slots)));
    }

    /// Takes back the losses since a time, which failures of the instance's own links have caused.
    pub fn undo_losses_since(&mut self, since: Timestamp) {
        let Some((lost_at, limit, has_answered)) = self.before_loss else {
            return;
        };
        if lost_at >= since {
            self.before_loss = None;
            self.limit = self.limit.max(limit);
            self.has_answered |= has_answered;
        }
    }

    /// Returns the median of the last three samples, or the lowest one while there are fewer.
    fn pace(&self) -> f64 {
        let [a, b, c] = self.ratios;
        if a == 0.0 {
            return if b == 0.0 { c } else { b.min(c) };
        }
        a.min(b).max(a.max(b).min(c))
    }

    /// Returns the bound by Little's law for an endpoint that is slow.
    fn bound(&self) -> f64 {
        let slots = f64::from(self.slots);
        let pace = self.pace();
        if pace <= SLOW_RATIO {
            slots
        } else {
            (slots / pace).max(1.0)
        }
    }

    fn decrease(&mut self, now: Timestamp, limit: f64) {
        self.usual_answers = 0;
        self.used_at = now;
        if now.since(self.decreased_at) >= DECREASE_INTERVAL {
            self.limit = limit.max(1.0).min(self.limit);
            self.decreased_at = now;
        }
    }
}

fn first_limit(slots: u32) -> f64 {
    f64::from(slots.div_ceil(FIRST_SHARE_DIVISOR))
}
