//! Limits of callers over the whole fleet, kept by each instance for its part alone.
//!
//! An instance's part of a limit follows its part of the demand that instances gossip. A small
//! part is split evenly, so that an instance that sees a caller for the first time needs no
//! permission. Where an instance hears only some of the others, it scales what it heard to the
//! whole fleet. A part is never less than one request, so a limit below the number of instances
//! can be passed by at most one request an instance.

use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use wisteriaford_proto::fleet::CallerUse;

use crate::id::CallerId;
use crate::id::InstanceId;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::settings::Caller;
use crate::time::Timestamp;

/// Part of a limit that is split evenly between the instances, in thousandths.
pub const EVEN_PART_MILLI: u64 = 50;
/// Time that a peer's report counts for.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(10);
/// Time that demand is measured over.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(1);

const WHOLE: u64 = 1_000_000;
const MILLI: u64 = 1_000;
const MICROS_PER_S: u64 = 1_000_000;
const SMOOTHING: u64 = 4;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Own {
    in_flight_limit: u64,
    rate_limit_per_s: u64,
    in_flight: u64,
    demand_milli_per_s: u64,
    asked: u64,
    window_start: Timestamp,
    /// Requests that may be sent now, in millionths.
    tokens: u64,
    refilled: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct Report {
    at: Timestamp,
    demand_milli_per_s: IndexMap<CallerId, u64>,
}

/// Limits as one instance keeps them.
#[derive(Clone, Debug)]
pub struct Limits {
    members: u64,
    own: IndexMap<CallerId, Own>,
    reports: IndexMap<InstanceId, Report>,
    /// Sums of the reports.
    heard_milli_per_s: IndexMap<CallerId, u64>,
    oldest_report: Timestamp,
    rng: Pcg32,
}

impl Limits {
    /// Returns limits without any caller; `seed` spreads the times to come back.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            members: 1,
            own: IndexMap::new(),
            reports: IndexMap::new(),
            heard_milli_per_s: IndexMap::new(),
            oldest_report: Timestamp::default(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Takes the callers of a configuration; what is known of those that stay is kept.
    pub fn configure(&mut self, now: Timestamp, callers: &IndexMap<CallerId, Caller>) {
        self.own
            .retain(|id, own| callers.contains_key(id) || own.in_flight > 0);
        for (id, caller) in callers {
            let own = self.own.entry(id.clone()).or_insert_with(|| Own::new(now));
            own.in_flight_limit = u64::try_from(caller.in_flight_limit).unwrap_or(u64::MAX);
            own.rate_limit_per_s = u64::from(caller.rate_limit_per_s);
        }
    }

    /// Takes the number of instances that serve callers, this one included.
    pub fn set_members(&mut self, members: usize) {
        self.members = u64::try_from(members.max(1)).unwrap_or(u64::MAX);
    }

    /// Takes what another instance gossiped of its callers.
    pub fn merge(&mut self, now: Timestamp, from: &InstanceId, uses: &[CallerUse]) {
        let demand = uses.iter().map(|used| {
            let caller = CallerId::from(used.caller.as_str());
            (caller, u64::from(used.demand_milli_per_s))
        });
        let report = Report {
            at: now,
            demand_milli_per_s: demand.collect(),
        };
        self.add(&report);
        if let Some(earlier) = self.reports.insert(from.clone(), report) {
            self.subtract(&earlier);
        }
        self.forget_aged(now);
    }

    /// Admits a request, which counts as in progress until [`Self::finish`].
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached and when to come back; the request did not run.
    pub fn admit(&mut self, now: Timestamp, caller: &CallerId) -> Result<(), Refusal> {
        self.forget_aged(now);
        let part = self.part(caller);
        let Some(own) = self.own.get_mut(caller) else {
            return Err(Refusal::not_run(RefusalReason::UnknownCaller));
        };
        own.measure(now);
        own.asked += 1;
        own.refill(now, part);
        if own.in_flight >= scale(own.in_flight_limit, part).max(1) {
            let retry_after = self.spread(IN_FLIGHT_RETRY_AFTER);
            let refusal = Refusal::not_run(RefusalReason::CallerInFlightLimit);
            return Err(refusal.with_retry_after(retry_after));
        }
        if own.tokens < WHOLE {
            let wait = own.wait(part);
            let retry_after = self.spread(wait);
            let refusal = Refusal::not_run(RefusalReason::CallerRateLimit);
            return Err(refusal.with_retry_after(retry_after));
        }
        own.tokens -= WHOLE;
        own.in_flight += 1;
        Ok(())
    }

    /// Ends a request that was admitted.
    pub fn finish(&mut self, caller: &CallerId) {
        if let Some(own) = self.own.get_mut(caller) {
            own.in_flight = own.in_flight.saturating_sub(1);
        }
    }

    /// Returns what to gossip of this instance's callers; those without demand are left out.
    pub fn uses(&mut self, now: Timestamp) -> Vec<CallerUse> {
        for own in self.own.values_mut() {
            own.measure(now);
        }
        let active = self.own.iter().filter(|(_, own)| own.is_used());
        let uses = active.map(|(id, own)| CallerUse {
            caller: String::from(id),
            in_flight: u32::try_from(own.in_flight).unwrap_or(u32::MAX),
            demand_milli_per_s: u32::try_from(own.demand_milli_per_s).unwrap_or(u32::MAX),
        });
        uses.collect()
    }

    /// Returns this instance's part of a caller's limits, in millionths.
    #[must_use]
    pub fn part(&self, caller: &CallerId) -> u64 {
        let even = WHOLE / self.members;
        let heard = u64::try_from(self.reports.len()).unwrap_or(u64::MAX);
        let Some(own) = self.own.get(caller) else {
            return even;
        };
        if self.members > 1 && heard == 0 {
            return even;
        }
        let heard_milli_per_s = self.heard_milli_per_s.get(caller).copied().unwrap_or(0);
        let others = heard_milli_per_s * (self.members - 1) / heard.max(1);
        let total = own.demand_milli_per_s + others;
        if total == 0 {
            return even;
        }
        let by_demand = WHOLE * own.demand_milli_per_s / total;
        (even * EVEN_PART_MILLI + by_demand * (MILLI - EVEN_PART_MILLI)) / MILLI
    }

    fn spread(&mut self, wait: Duration) -> Duration {
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        wait + wait * self.rng.random_range(0..=50) / 100
    }

    fn add(&mut self, report: &Report) {
        for (caller, demand) in &report.demand_milli_per_s {
            *self.heard_milli_per_s.entry(caller.clone()).or_default() += demand;
        }
    }

    fn subtract(&mut self, report: &Report) {
        for (caller, demand) in &report.demand_milli_per_s {
            let Some(sum) = self.heard_milli_per_s.get_mut(caller) else {
                continue;
            };
            *sum -= demand;
            if *sum == 0 {
                self.heard_milli_per_s.swap_remove(caller);
            }
        }
    }

    /// Forgets reports that are too old, if the oldest may be.
    fn forget_aged(&mut self, now: Timestamp) {
        if now.since(self.oldest_report) < REPORT_MAX_AGE {
            return;
        }
        let aged = self.reports.iter();
        let aged = aged.filter(|(_, report)| now.since(report.at) >= REPORT_MAX_AGE);
        let aged: Vec<_> = aged.map(|(id, _)| id.clone()).collect();
        for id in aged {
            if let Some(report) = self.reports.swap_remove(&id) {
                self.subtract(&report);
            }
        }
        let oldest = self.reports.values().map(|report| report.at).min();
        self.oldest_report = oldest.unwrap_or(now);
    }
}

impl Own {
    fn new(now: Timestamp) -> Self {
        Self {
            in_flight_limit: 0,
            rate_limit_per_s: 0,
            in_flight: 0,
            demand_milli_per_s: 0,
            asked: 0,
            window_start: now,
            tokens: WHOLE,
            refilled: now,
        }
    }

    fn is_used(&self) -> bool {
        self.in_flight > 0 || self.demand_milli_per_s > 0
    }

    /// Closes the window of demand if it is over.
    fn measure(&mut self, now: Timestamp) {
        let elapsed = now.since(self.window_start);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let sample = self.asked * MILLI * MILLI / elapsed_ms;
        let old = self.demand_milli_per_s;
        let keeps = old > 0 && elapsed < DEMAND_WINDOW * 4;
        self.demand_milli_per_s = if keeps {
            (old * (SMOOTHING - 1) + sample) / SMOOTHING
        } else {
            sample
        };
        self.asked = 0;
        self.window_start = now;
    }

    /// Adds what the part of the rate gave since; a second's worth, and at least one request, can
    /// be saved up.
    fn refill(&mut self, now: Timestamp, part: u64) {
        let elapsed_us = now.since(self.refilled).as_micros();
        let per_s = self.rate_limit_per_s * part;
        let capacity = per_s.max(WHOLE);
        let gained = u128::from(per_s).saturating_mul(elapsed_us) / u128::from(MICROS_PER_S);
        let gained = u64::try_from(gained).unwrap_or(u64::MAX);
        self.tokens = self.tokens.saturating_add(gained).min(capacity);
        self.refilled = now;
    }

    /// Returns how long it takes until one request may be sent.
    fn wait(&self, part: u64) -> Duration {
        let per_s = (self.rate_limit_per_s * part).max(1);
        let missing = u128::from(WHOLE - self.tokens) * u128::from(MICROS_PER_S);
        let wait_us = missing / u128::from(per_s);
        Duration::from_micros(u64::try_from(wait_us).unwrap_or(u64::MAX))
    }
}

fn scale(limit: u64, part: u64) -> u64 {
    let scaled = u128::from(limit) * u128::from(part) / u128::from(WHOLE);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
