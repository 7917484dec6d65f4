//! Rate limit on appends to the log, with load shedding by kind.
//!
//! When the budget runs low, kinds are shed from the end of [`AppendKind`]. Leases go first: a
//! lease stays in force until it is superseded, and an order can wait. Claim results are next,
//! since all they do is save a later second attempt. Then come claims, whose callers are told
//! that nothing ran and when to retry. Copies of the configuration are shed last, since they are
//! few and without them the log loses the configuration in force.

use std::time::Duration;

use derive_more::Display;

use crate::time::Timestamp;

/// Kind of an append, from the last one to be shed to the first.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AppendKind {
    /// Copy of the configuration in force.
    #[display("republication")]
    Republication,
    /// Claim of the right to run a non-idempotent request.
    #[display("claim")]
    Claim,
    /// Result of a claim.
    #[display("claim_result")]
    ClaimResult,
    /// Lease of the right to send orders to an endpoint.
    #[display("lease")]
    Lease,
}

impl AppendKind {
    /// All kinds, from the last one to be shed to the first.
    pub const ALL: [Self; 4] = [
        Self::Republication,
        Self::Claim,
        Self::ClaimResult,
        Self::Lease,
    ];

    /// Returns the percentage of the burst that is reserved for the kinds before this one.
    const fn reserve_percent(self) -> u64 {
        match self {
            Self::Republication => 0,
            Self::Claim => 10,
            Self::ClaimResult => 30,
            Self::Lease => 50,
        }
    }
}

/// Decision about an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The append may be sent now.
    Send,
    /// The append is shed and may be retried later.
    Shed {
        /// Time until the budget allows an append of this kind.
        retry_after: Duration,
    },
}

/// Append counts of one kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppendCounts {
    /// Appends sent.
    pub sent: u64,
    /// Appends shed.
    pub shed: u64,
}

const MILLI: u64 = 1_000;

/// Append budget of one instance: an equal part of the fleet's ceiling.
///
/// The parts of all instances in the membership view add up to the ceiling, so no messages are
/// needed.
#[derive(Clone, Debug)]
pub struct AppendBudget {
    ceiling_per_s: u64,
    instances: u64,
    burst: u64,
    // Appends available, in thousandths.
    available_milli: u64,
    refilled_at: Timestamp,
    remainder: u64,
    counts: [AppendCounts; AppendKind::ALL.len()],
}

impl AppendBudget {
    /// Creates a full budget of `ceiling_per_s` appends per second across the fleet and bursts of
    /// `burst` appends by this instance.
    #[must_use]
    pub fn new(ceiling_per_s: u64, burst: u64, now: Timestamp) -> Self {
        let burst = burst.max(1);
        Self {
            ceiling_per_s,
            instances: 1,
            burst,
            available_milli: burst * MILLI,
            refilled_at: now,
            remainder: 0,
            counts: Default::default(),
        }
    }

    /// Sets the number of instances that share the ceiling.
    pub fn set_instances(&mut self, now: Timestamp, instances: usize) {
        self.refill(now);
        self.instances = u64::try_from(instances).unwrap_or(u64::MAX).max(1);
    }

    /// Decides whether an append may be sent now, and counts it as sent or shed.
    pub fn admit(&mut self, now: Timestamp, kind: AppendKind) -> Admission {
        self.refill(now);
        let needed_milli = self.burst * MILLI * kind.reserve_percent() / 100 + MILLI;
        let needed_milli = needed_milli.min(self.burst * MILLI);
        let counts = &mut self.counts[kind as usize];
        if self.available_milli >= needed_milli {
            counts.sent += 1;
            self.available_milli -= MILLI;
            return Admission::Send;
        }
        counts.shed += 1;
        let missing_milli = needed_milli - self.available_milli;
        let rate = self.ceiling_per_s.max(1);
        let wait_ms = (missing_milli * self.instances).div_ceil(rate);
        Admission::Shed {
            retry_after: Duration::from_millis(wait_ms.max(1)),
        }
    }

    /// Returns the budget of an append that certainly did not reach the log.
    pub fn refund(&mut self) {
        self.available_milli = (self.available_milli + MILLI).min(self.burst * MILLI);
    }

    /// Returns the append counts of a kind.
    #[must_use]
    pub fn counts(&self, kind: AppendKind) -> AppendCounts {
        self.counts[kind as usize]
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_us = now.0.saturating_sub(self.refilled_at.0);
        self.refilled_at = self.refilled_at.max(now);
        let gained = elapsed_us
            .saturating_mul(self.ceiling_per_s)
            .saturating_add(self.remainder);
        // Microseconds times appends per second gives millionths of an append; the budget counts
        // thousandths.
        let unit = self.instances * 1_000;
        self.remainder = gained % unit;
        self.available_milli = (self.available_milli + gained / unit).min(self.burst * MILLI);
    }
}
