//! Fleet-wide limits of callers, of which each instance enforces its own fraction locally.
//!
//! An instance's fraction of a limit follows its fraction of the caller's demand, which instances
//! exchange by gossip. A small part of each limit is split evenly, so that an instance can admit
//! the first requests of a new caller without coordination. An instance with reports from only
//! some of the others extrapolates them to the whole fleet. Each instance may always admit at
//! least one request, so a limit below the number of instances can be exceeded by at most one
//! request per instance.

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
pub const EVEN_SPLIT_MILLI: u64 = 50;
/// Age at which a peer's demand report is discarded.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(10);
/// Window over which demand is measured.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// One, in the millionths that fractions and token buckets are counted in.
const UNIT_MILLIONTHS: u64 = 1_000_000;
const MILLI: u64 = 1_000;
const MICROS_PER_S: u64 = 1_000_000;
/// Divisor of the exponentially weighted mean: a new sample has a weight of 1/4.
const EWMA_DIVISOR: u64 = 4;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct CallerState {
    in_flight_limit: u64,
    rate_limit_per_s: u64,
    in_flight: u64,
    demand_milli_per_s: u64,
    window_requests: u64,
    window_start: Timestamp,
    /// Token bucket level, in millionths of a request.
    tokens: u64,
    refilled_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct DemandReport {
    at: Timestamp,
    demand_milli_per_s: IndexMap<CallerId, u64>,
}

/// Caller limits, as one instance enforces them.
#[derive(Clone, Debug)]
pub struct Limits {
    members: u64,
    callers: IndexMap<CallerId, CallerState>,
    reports: IndexMap<InstanceId, DemandReport>,
    /// Sums of all reports.
    reported_milli_per_s: IndexMap<CallerId, u64>,
    oldest_report: Timestamp,
    rng: Pcg32,
}

impl Limits {
    /// Creates limits without callers; `seed` seeds the jitter of retry delays.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            members: 1,
            callers: IndexMap::new(),
            reports: IndexMap::new(),
            reported_milli_per_s: IndexMap::new(),
            oldest_report: Timestamp::default(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Applies the callers of a configuration and keeps the state of callers that remain.
    pub fn configure(&mut self, now: Timestamp, callers: &IndexMap<CallerId, Caller>) {
        self.callers
            .retain(|id, state| callers.contains_key(id) || state.in_flight > 0);
        for (id, caller) in callers {
            let state = self
                .callers
                .entry(id.clone())
                .or_insert_with(|| CallerState::new(now));
            state.in_flight_limit = u64::try_from(caller.in_flight_limit).unwrap_or(u64::MAX);
            state.rate_limit_per_s = u64::from(caller.rate_limit_per_s);
        }
    }

    /// Sets the number of instances that serve callers, including this one.
    pub fn set_members(&mut self, members: usize) {
        self.members = u64::try_from(members.max(1)).unwrap_or(u64::MAX);
    }

    /// Merges the demand that another instance reported by gossip.
    pub fn merge(&mut self, now: Timestamp, from: &InstanceId, uses: &[CallerUse]) {
        let demand = uses.iter().map(|used| {
            let caller = CallerId::from(used.caller.as_str());
            (caller, u64::from(used.demand_milli_per_s))
        });
        let report = DemandReport {
            at: now,
            demand_milli_per_s: demand.collect(),
        };
        self.add_report(&report);
        if let Some(previous) = self.reports.insert(from.clone(), report) {
            self.subtract_report(&previous);
        }
        self.expire_reports(now);
    }

    /// Admits a request, which counts as in flight until [`Self::finish`].
    ///
    /// # Errors
    ///
    /// Returns which limit was reached and a retry delay; the request has not run.
    pub fn admit(&mut self, now: Timestamp, caller: &CallerId) -> Result<(), Refusal> {
        self.expire_reports(now);
        let fraction = self.local_fraction(caller);
        let Some(state) = self.callers.get_mut(caller) else {
            return Err(Refusal::not_run(RefusalReason::UnknownCaller));
        };
        state.update_demand(now);
        state.window_requests += 1;
        state.refill(now, fraction);
        if state.in_flight >= scale(state.in_flight_limit, fraction).max(1) {
            let retry_after = self.with_jitter(IN_FLIGHT_RETRY_AFTER);
            let refusal = Refusal::not_run(RefusalReason::CallerInFlightLimit);
            return Err(refusal.with_retry_after(retry_after));
        }
        if state.tokens < UNIT_MILLIONTHS {
            let wait = state.time_to_next_request(fraction);
            let retry_after = self.with_jitter(wait);
            let refusal = Refusal::not_run(RefusalReason::CallerRateLimit);
            return Err(refusal.with_retry_after(retry_after));
        }
        state.tokens -= UNIT_MILLIONTHS;
        state.in_flight += 1;
        Ok(())
    }

    /// Ends a request that was admitted.
    pub fn finish(&mut self, caller: &CallerId) {
        if let Some(state) = self.callers.get_mut(caller) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Returns the use by this instance's callers, to send by gossip; idle callers are left out.
    pub fn uses(&mut self, now: Timestamp) -> Vec<CallerUse> {
        for state in self.callers.values_mut() {
            state.update_demand(now);
        }
        let active = self.callers.iter().filter(|(_, state)| state.is_active());
        let uses = active.map(|(id, state)| CallerUse {
            caller: String::from(id),
            in_flight: u32::try_from(state.in_flight).unwrap_or(u32::MAX),
            demand_milli_per_s: u32::try_from(state.demand_milli_per_s).unwrap_or(u32::MAX),
        });
        uses.collect()
    }

    /// Returns this instance's fraction of a caller's limits, in millionths.
    #[must_use]
    pub fn local_fraction(&self, caller: &CallerId) -> u64 {
        let even = UNIT_MILLIONTHS / self.members;
        let report_count = u64::try_from(self.reports.len()).unwrap_or(u64::MAX);
        let Some(state) = self.callers.get(caller) else {
            return even;
        };
        if self.members > 1 && report_count == 0 {
            return even;
        }
        let reported_milli_per_s = self.reported_milli_per_s.get(caller).copied().unwrap_or(0);
        let others = reported_milli_per_s * (self.members - 1) / report_count.max(1);
        let total = state.demand_milli_per_s + others;
        if total == 0 {
            return even;
        }
        let by_demand = UNIT_MILLIONTHS * state.demand_milli_per_s / total;
        (even * EVEN_SPLIT_MILLI + by_demand * (MILLI - EVEN_SPLIT_MILLI)) / MILLI
    }

    fn with_jitter(&mut self, wait: Duration) -> Duration {
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        wait + wait * self.rng.random_range(0..=50) / 100
    }

    fn add_report(&mut self, report: &DemandReport) {
        for (caller, demand) in &report.demand_milli_per_s {
            *self.reported_milli_per_s.entry(caller.clone()).or_default() += demand;
        }
    }

    fn subtract_report(&mut self, report: &DemandReport) {
        for (caller, demand) in &report.demand_milli_per_s {
            let Some(sum) = self.reported_milli_per_s.get_mut(caller) else {
                continue;
            };
            *sum -= demand;
            if *sum == 0 {
                self.reported_milli_per_s.swap_remove(caller);
            }
        }
    }

    /// Removes expired reports; skips the scan while even the oldest can't have expired.
    fn expire_reports(&mut self, now: Timestamp) {
        if now.since(self.oldest_report) < REPORT_MAX_AGE {
            return;
        }
        let expired = self.reports.iter();
        let expired = expired.filter(|(_, report)| now.since(report.at) >= REPORT_MAX_AGE);
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            if let Some(report) = self.reports.swap_remove(&id) {
                self.subtract_report(&report);
            }
        }
        let oldest = self.reports.values().map(|report| report.at).min();
        self.oldest_report = oldest.unwrap_or(now);
    }
}

impl CallerState {
    fn new(now: Timestamp) -> Self {
        Self {
            in_flight_limit: 0,
            rate_limit_per_s: 0,
            in_flight: 0,
            demand_milli_per_s: 0,
            window_requests: 0,
            window_start: now,
            tokens: UNIT_MILLIONTHS,
            refilled_at: now,
        }
    }

    fn is_active(&self) -> bool {
        self.in_flight > 0 || self.demand_milli_per_s > 0
    }

    /// Updates the demand if its window has ended.
    fn update_demand(&mut self, now: Timestamp) {
        let elapsed = now.since(self.window_start);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let sample = self.window_requests * MILLI * MILLI / elapsed_ms;
        let old = self.demand_milli_per_s;
        let is_continuous = old > 0 && elapsed < DEMAND_WINDOW * 4;
        self.demand_milli_per_s = if is_continuous {
            (old * (EWMA_DIVISOR - 1) + sample) / EWMA_DIVISOR
        } else {
            sample
        };
        self.window_requests = 0;
        self.window_start = now;
    }

    /// Refills the token bucket, whose capacity is one second's worth of requests, at least one.
    fn refill(&mut self, now: Timestamp, fraction: u64) {
        let elapsed_us = now.since(self.refilled_at).as_micros();
        let per_s = self.rate_limit_per_s * fraction;
        let capacity = per_s.max(UNIT_MILLIONTHS);
        let gained = u128::from(per_s).saturating_mul(elapsed_us) / u128::from(MICROS_PER_S);
        let gained = u64::try_from(gained).unwrap_or(u64::MAX);
        self.tokens = self.tokens.saturating_add(gained).min(capacity);
        self.refilled_at = now;
    }

    /// Returns how long it takes until the rate limit allows one request.
    fn time_to_next_request(&self, fraction: u64) -> Duration {
        let per_s = (self.rate_limit_per_s * fraction).max(1);
        let missing = u128::from(UNIT_MILLIONTHS - self.tokens) * u128::from(MICROS_PER_S);
        let wait_us = missing / u128::from(per_s);
        Duration::from_micros(u64::try_from(wait_us).unwrap_or(u64::MAX))
    }
}

fn scale(limit: u64, fraction: u64) -> u64 {
    let scaled = u128::from(limit) * u128::from(fraction) / u128::from(UNIT_MILLIONTHS);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
