//! Permits to send requests to endpoints that limit them.
//!
//! A limit holds for all instances together, so that only one issues permits: the leader, while its
//! lease is valid. The others ask it for each request. A new leader begins with empty buckets, as its
//! predecessor may just have spent its own. A leader whose lease has ended while no instance reaches
//! the log issues few, as another one may have taken over; all shares together, and the bursts, stay
//! within the excess that an endpoint tolerates.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::gateway::request_rate::RequestRate;
use crate::id::Fence;
use crate::time::Timestamp;

/// Part of a limit that requests of callers and items use, in percent. A late permit and the other
/// parts fit into the half that endpoints tolerate beyond the limit.
const WORK_PERCENT: u64 = 100;
/// Part of a limit that a leader without a valid lease issues, in percent.
const UNLEASED_PERCENT: u64 = 20;
/// Part of a limit that inspections and orders use, in percent.
const CONTROL_PERCENT: u64 = 20;
/// Maximum number of unused permits of a bucket.
const MAX_BURST: f64 = 2.0;
/// Rate below which a limit isn't followed, so that its end is noticed: one request in four seconds.
const MIN_RATE: RequestRate = RequestRate::from_milli(250);
/// Time for which a permit that was refused to an urgent request is kept from less urgent ones.
const RESERVATION: Duration = Duration::from_millis(500);
/// Number of permits in a row that urgent requests get while less urgent ones wait.
const MAX_URGENT_IN_A_ROW: u32 = 3;
/// Maximum number of endpoints with a bucket; the oldest are forgotten first.
const MAX_ENDPOINTS: usize = 4_096;

/// Urgency of a request for a permit; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Urgency {
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Whether no caller waits for the answer itself; such requests come after others of their
    /// priority.
    pub is_batch: bool,
}

/// Right of an instance to issue permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IssuingTerm {
    /// Fencing number of the leader's term.
    pub fence: Fence,
    /// Whether its lease is valid.
    pub is_leased: bool,
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitDecision {
    /// One request may be sent.
    Granted,
    /// No request may be sent.
    Denied {
        /// Time until a permit may be available.
        retry_after: Duration,
    },
}

/// Permits that accrue over time.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    permits: f64,
    updated_at: Timestamp,
}

impl Bucket {
    /// Adds what has accrued; an unused bucket starts empty.
    fn refill(&mut self, now: Timestamp, rate: RequestRate) {
        if self.updated_at != Timestamp::default() {
            self.permits += rate.requests_in(now.since(self.updated_at));
        }
        // With a low limit, a burst would exceed what the endpoint tolerates.
        let burst = rate.requests_in(Duration::from_secs(1));
        self.permits = self.permits.min(burst.clamp(1.0, MAX_BURST));
        self.updated_at = now;
    }

    fn take(&mut self, rate: RequestRate) -> PermitDecision {
        if self.permits < 1.0 {
            let retry_after = rate.time_for(1.0 - self.permits);
            return PermitDecision::Denied { retry_after };
        }
        self.permits -= 1.0;
        PermitDecision::Granted
    }
}

/// Buckets of an endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointPermits {
    work: Bucket,
    control: Bucket,
    /// Urgency and time of the latest requests that were denied a permit.
    denied: Vec<(Urgency, Timestamp)>,
    /// Permits in a row that went to more urgent requests while others waited.
    urgent_in_a_row: u32,
}

impl EndpointPermits {
    fn take_work(&mut self, now: Timestamp, rate: RequestRate, urgency: Urgency) -> PermitDecision {
        self.work.refill(now, rate);
        self.denied
            .retain(|(_, denied_at)| now.since(*denied_at) < RESERVATION);
        let is_reserved = self.denied.iter().any(|(other, _)| *other < urgency);
        let may_overtake = self.urgent_in_a_row >= MAX_URGENT_IN_A_ROW;
        let decision = if is_reserved && !may_overtake && self.work.permits < 2.0 {
            let retry_after = rate.time_for(1.0);
            PermitDecision::Denied { retry_after }
        } else {
            self.work.take(rate)
        };
        self.denied.retain(|(other, _)| *other != urgency);
        if decision != PermitDecision::Granted {
            self.denied.push((urgency, now));
        } else if self.denied.iter().any(|(other, _)| *other > urgency) {
            self.urgent_in_a_row += 1;
        } else {
            self.urgent_in_a_row = 0;
        }
        decision
    }
}

/// Issuer of the permits for all endpoints.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    fence: Option<Fence>,
    endpoints: IndexMap<CompactString, EndpointPermits>,
}

impl PermitIssuer {
    /// Issues a permit for a request of a caller or an item, or for a call of a scorer.
    pub fn take_work(
        &mut self,
        now: Timestamp,
        term: IssuingTerm,
        incarnation: &str,
        limit: RequestRate,
        urgency: Urgency,
    ) -> PermitDecision {
        let percent = if term.is_leased {
            WORK_PERCENT
        } else {
            UNLEASED_PERCENT
        };
        let rate = limit.max(MIN_RATE).percent(percent);
        self.permits(term, incarnation)
            .take_work(now, rate, urgency)
    }

    /// Issues a permit for an inspection of an engine or an order to it.
    pub fn take_control(
        &mut self,
        now: Timestamp,
        term: IssuingTerm,
        incarnation: &str,
        limit: RequestRate,
    ) -> PermitDecision {
        let rate = limit.max(MIN_RATE).percent(CONTROL_PERCENT);
        let permits = self.permits(term, incarnation);
        permits.control.refill(now, rate);
        permits.control.take(rate)
    }

    fn permits(&mut self, term: IssuingTerm, incarnation: &str) -> &mut EndpointPermits {
        if self.fence.replace(term.fence) != Some(term.fence) {
            self.endpoints.clear();
        }
        if self.endpoints.len() >= MAX_ENDPOINTS && !self.endpoints.contains_key(incarnation) {
            self.endpoints.shift_remove_index(0);
        }
        let incarnation = CompactString::from(incarnation);
        self.endpoints.entry(incarnation).or_default()
    }
}
