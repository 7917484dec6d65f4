//! Budget of appends to the log: a ceiling over all kinds, shed in a stated order.
//!
//! When the budget runs low, kinds are shed from the bottom of [`AppendKind`]: leases first,
//! since a lease stays in force until it is superseded and an order can wait; then results of
//! claims, which only spare a later second try; then claims, whose callers are told that nothing
//! ran and when to come back; copies of the configuration last, since they are few and without
//! them the log forgets what is in force.

use std::time::Duration;

use derive_more::Display;

use crate::time::Timestamp;

/// Kind of an append, in the order in which they are kept.
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
    /// Lease of the right to order an endpoint about.
    #[display("lease")]
    Lease,
}

impl AppendKind {
    /// All kinds, the last one shed first.
    pub const ALL: [Self; 4] = [
        Self::Republication,
        Self::Claim,
        Self::ClaimResult,
        Self::Lease,
    ];

    /// Part of the burst that must be left for kinds above, in percent.
    const fn reserve_percent(self) -> u64 {
        match self {
            Self::Republication => 0,
            Self::Claim => 10,
            Self::ClaimResult => 30,
            Self::Lease => 50,
        }
    }
}

/// What becomes of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may be sent now.
    Send,
    /// It is shed; it may be tried again after this time.
    Shed {
        /// Time until the budget has room for this kind.
        retry_after: Duration,
    },
}

/// Counts of one kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppendCounts {
    /// Appends sent.
    pub sent: u64,
    /// Appends shed.
    pub shed: u64,
}

const MILLI: u64 = 1_000;

/// Budget of one instance: its part of the fleet's ceiling.
///
/// The parts of all instances in the view add up to the ceiling, so no messages are needed.
#[derive(Clone, Debug)]
pub struct AppendBudget {
    ceiling_per_s: u64,
    instances: u64,
    burst: u64,
    // Appends left, in thousandths.
    left_milli: u64,
    filled_at: Timestamp,
    remainder: u64,
    counts: [AppendCounts; AppendKind::ALL.len()],
}

impl AppendBudget {
    /// Makes a full budget: `ceiling_per_s` appends a second over the fleet, `burst` appends at
    /// once by this instance.
    #[must_use]
    pub fn new(ceiling_per_s: u64, burst: u64, now: Timestamp) -> Self {
        let burst = burst.max(1);
        Self {
            ceiling_per_s,
            instances: 1,
            burst,
            left_milli: burst * MILLI,
            filled_at: now,
            remainder: 0,
            counts: Default::default(),
        }
    }

    /// Sets how many instances share the ceiling.
    pub fn set_instances(&mut self, now: Timestamp, instances: usize) {
        self.fill(now);
        self.instances = u64::try_from(instances).unwrap_or(u64::MAX).max(1);
    }

    /// Asks whether an append may be sent now, and counts it.
    pub fn admit(&mut self, now: Timestamp, kind: AppendKind) -> Admission {
        self.fill(now);
        let needed_milli = self.burst * MILLI * kind.reserve_percent() / 100 + MILLI;
        let needed_milli = needed_milli.min(self.burst * MILLI);
        let counts = &mut self.counts[kind as usize];
        if self.left_milli >= needed_milli {
            counts.sent += 1;
            self.left_milli -= MILLI;
            return Admission::Send;
        }
        counts.shed += 1;
        let missing_milli = needed_milli - self.left_milli;
        let rate = self.ceiling_per_s.max(1);
        let wait_ms = (missing_milli * self.instances).div_ceil(rate);
        Admission::Shed {
            retry_after: Duration::from_millis(wait_ms.max(1)),
        }
    }

    /// Takes back an append that certainly did not reach the log.
    pub fn give_back(&mut self) {
        self.left_milli = (self.left_milli + MILLI).min(self.burst * MILLI);
    }

    /// Returns the counts of a kind.
    #[must_use]
    pub fn counts(&self, kind: AppendKind) -> AppendCounts {
        self.counts[kind as usize]
    }

    fn fill(&mut self, now: Timestamp) {
        let passed_us = now.0.saturating_sub(self.filled_at.0);
        self.filled_at = self.filled_at.max(now);
        let gained = passed_us
            .saturating_mul(self.ceiling_per_s)
            .saturating_add(self.remainder);
        // Microseconds times appends a second are millionths; a thousandth is a thousand of them.
        let unit = self.instances * 1_000;
        self.remainder = gained % unit;
        self.left_milli = (self.left_milli + gained / unit).min(self.burst * MILLI);
    }
}
