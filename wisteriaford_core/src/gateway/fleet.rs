//! What this instance observes of the endpoints, and its choice among them.
//!
//! Endpoints are judged by what they did for this instance: their pace, failures and refusals.
//! What they say of themselves only says where they are and whether they leave.

mod shortlist;

use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
pub use crate::gateway::fleet::shortlist::Shortlist;
use crate::id::AvailabilityZone;
use crate::id::EndpointId;
use crate::id::PoolId;
use crate::time::Timestamp;

/// First time that a failing endpoint is left out; shorter than any crash lasts.
const FIRST_EJECTION: Duration = Duration::from_millis(400);
/// Longest time that a failing endpoint is left out; a crashed one is back after some seconds.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Failures in a row that leave an endpoint out; a single lost answer doesn't.
const FAILURES_TO_EJECT: u32 = 2;
/// Time that an endpoint which refused as full is left out: a few requests' time.
const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// Time over which the moving average of an endpoint's pace reaches.
const PACE_SPAN: Duration = Duration::from_millis(400);
/// Least and greatest weight of a new observation in that average.
const PACE_WEIGHTS: (f64, f64) = (0.02, 0.4);
/// Longest unit of work that counts, as a multiple of the usual one; a pause isn't a pace.
const MAX_RELATIVE_PACE: f64 = 6.0;
/// Time between two looks at the usual pace of a pool.
const USUAL_INTERVAL: Duration = Duration::from_millis(50);
/// Age of an observation up to which it counts for the usual pace.
const USUAL_MAX_AGE: Duration = Duration::from_secs(3);
/// Time after which half of an endpoint's deviation from the usual pace is forgotten.
const PACE_HALF_LIFE: Duration = Duration::from_secs(4);
/// What counts for calls: they are short, so a connection or a queue makes up most of their time.
pub const CALL_COSTS: Costs = Costs {
    full: 1.0,
    cross_zone: 0.25,
    new_connection: 0.6,
};
/// What counts for items: they run for seconds, and a full batch slows each by a few percent only.
pub const ITEM_COSTS: Costs = Costs {
    full: 0.12,
    cross_zone: 0.0,
    new_connection: 0.02,
};
/// Pace, relative to the usual one, beyond which an endpoint loses its affinity.
const MAX_AFFINITY_PACE: f64 = 2.0;

/// What is known of one endpoint.
#[derive(Clone, Debug)]
struct Observed {
    in_flight: u32,
    failures: u32,
    ejected_until: Timestamp,
    full_until: Timestamp,
    pool: Option<PoolId>,
    /// Moving average of the time that a unit of work takes; zero if none was seen.
    pace_us: f64,
    paced_at: Timestamp,
}

impl Default for Observed {
    fn default() -> Self {
        Self {
            in_flight: 0,
            failures: 0,
            ejected_until: Timestamp::default(),
            full_until: Timestamp::default(),
            pool: None,
            pace_us: 0.0,
            paced_at: Timestamp::default(),
        }
    }
}

impl Observed {
    fn is_left_out(&self, now: Timestamp) -> bool {
        self.ejected_until > now || self.full_until > now
    }
}

/// Usual pace of a pool: the median of its endpoints.
///
/// Under load all engines get slower together, so an engine is compared with the others and not
/// with its own past.
#[derive(Clone, Copy, Debug)]
struct UsualPace {
    pace_us: f64,
    computed: Timestamp,
}

/// Why an endpoint was chosen, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceReason {
    /// Requests of this instance that the endpoint had in progress.
    pub in_flight: u32,
    /// Its pace relative to the usual one.
    pub relative_pace: f64,
    /// Endpoints that were considered.
    pub candidates: usize,
    /// No endpoint was free of failures, so one that is left out was taken.
    pub forced: bool,
}

/// Costs of an endpoint beside its pace, in multiples of the usual pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// All its slots are taken.
    pub full: f64,
    /// It is in another availability zone.
    pub cross_zone: f64,
    /// It has no free connection.
    pub new_connection: f64,
}

/// What a choice is made for.
pub struct Query<'a> {
    /// Pool that serves the request.
    pub pool: &'a PoolId,
    /// Endpoints that were tried.
    pub tried: &'a [EndpointId],
    /// Endpoint that has the prompt cached.
    pub affinity: Option<&'a EndpointId>,
    /// Most requests in progress at an endpoint; further ones are kept back.
    pub max_in_flight: Option<u32>,
    /// Whether an endpoint that is left out may be taken if there is no other.
    pub may_force: bool,
    /// What counts beside the pace.
    pub costs: Costs,
}

/// Observations of all endpoints.
#[derive(Clone, Debug)]
pub struct Fleet {
    availability_zone: AvailabilityZone,
    observed: IndexMap<EndpointId, Observed>,
    usual: IndexMap<PoolId, UsualPace>,
}

impl Fleet {
    /// Returns a fleet without observations, seen from an availability zone.
    #[must_use]
    pub fn new(availability_zone: AvailabilityZone) -> Self {
        Self {
            availability_zone,
            observed: IndexMap::new(),
            usual: IndexMap::new(),
        }
    }

    /// Forgets an endpoint that is gone or started again.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.observed.shift_remove(endpoint);
    }

    /// Returns the requests of this instance that an endpoint has in progress.
    #[must_use]
    pub fn in_flight(&self, endpoint: &EndpointId) -> u32 {
        self.observed.get(endpoint).map_or(0, |seen| seen.in_flight)
    }

    /// Counts a request that is sent.
    pub fn started(&mut self, endpoint: &EndpointId) {
        self.entry(endpoint).in_flight += 1;
    }

    /// Counts a request that ended.
    pub fn ended(&mut self, endpoint: &EndpointId) {
        let seen = self.entry(endpoint);
        seen.in_flight = seen.in_flight.saturating_sub(1);
    }

    /// Takes the time that an endpoint needed for a unit of work.
    pub fn note_pace(
        &mut self,
        now: Timestamp,
        pool: &PoolId,
        endpoint: &EndpointId,
        taken: Duration,
    ) {
        let usual_us = self.usual.get(pool).map(|usual| usual.pace_us);
        let longest_us = usual_us.map_or(f64::MAX, |usual| usual * MAX_RELATIVE_PACE);
        let taken_us = (taken.as_secs_f64() * 1e6).min(longest_us);
        let seen = self.entry(endpoint);
        let gap = now.since(seen.paced_at).as_secs_f64() / PACE_SPAN.as_secs_f64();
        let weight = gap.clamp(PACE_WEIGHTS.0, PACE_WEIGHTS.1);
        if seen.pace_us > 0.0 {
            seen.pace_us += (taken_us - seen.pace_us) * weight;
        } else {
            seen.pace_us = taken_us;
            seen.pool = Some(pool.clone());
        }
        seen.paced_at = now;
        let computed = self.usual.get(pool).map(|usual| usual.computed);
        if computed.is_none_or(|computed| now.since(computed) >= USUAL_INTERVAL) {
            self.compute_usual(now, pool);
        }
    }

    fn compute_usual(&mut self, now: Timestamp, pool: &PoolId) {
        let fresh = self.observed.values().filter(|seen| {
            seen.pool.as_ref() == Some(pool) && now.since(seen.paced_at) <= USUAL_MAX_AGE
        });
        let mut paces: Vec<f64> = fresh.map(|seen| seen.pace_us).collect();
        paces.sort_by(f64::total_cmp);
        if let Some(&pace_us) = paces.get((paces.len().saturating_sub(1)) / 2) {
            let computed = now;
            self.usual
                .insert(pool.clone(), UsualPace { pace_us, computed });
        }
    }

    /// Counts a success, which ends an endpoint's ejection.
    pub fn note_success(&mut self, endpoint: &EndpointId) {
        let seen = self.entry(endpoint);
        seen.failures = 0;
        seen.ejected_until = Timestamp::default();
    }

    /// Counts a failure; several in a row leave the endpoint out for a while.
    pub fn note_failure(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let seen = self.entry(endpoint);
        seen.failures = seen.failures.saturating_add(1);
        if seen.failures >= FAILURES_TO_EJECT {
            let doublings = (seen.failures - FAILURES_TO_EJECT).min(8);
            let time = FIRST_EJECTION.saturating_mul(1 << doublings);
            seen.ejected_until = now + time.min(MAX_EJECTION);
        }
    }

    /// Leaves out an endpoint that can't be reached at all.
    pub fn note_unreachable(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let seen = self.entry(endpoint);
        seen.failures = seen.failures.max(FAILURES_TO_EJECT - 1);
        self.note_failure(now, endpoint);
    }

    /// Leaves out an endpoint that refused as full.
    pub fn note_full(&mut self, now: Timestamp, endpoint: &EndpointId) {
        self.entry(endpoint).full_until = now + FULL_BACKOFF;
    }

    /// Returns whether an endpoint is not left out.
    #[must_use]
    pub fn is_sound(&self, now: Timestamp, endpoint: &EndpointId) -> bool {
        let seen = self.observed.get(endpoint);
        seen.is_none_or(|seen| !seen.is_left_out(now))
    }

    /// Returns the pace of an endpoint relative to the usual one of its pool.
    #[must_use]
    pub fn relative_pace(&self, now: Timestamp, endpoint: &EndpointId) -> f64 {
        let Some(seen) = self.observed.get(endpoint) else {
            return 1.0;
        };
        let usual = seen.pool.as_ref().and_then(|pool| self.usual.get(pool));
        let Some(usual) = usual.filter(|usual| usual.pace_us > 0.0) else {
            return 1.0;
        };
        let age = now.since(seen.paced_at).as_secs_f64() / PACE_HALF_LIFE.as_secs_f64();
        1.0 + (seen.pace_us / usual.pace_us - 1.0) * 0.5_f64.powf(age)
    }

    /// Returns the usual time that a unit of work takes in a pool.
    #[must_use]
    pub fn usual_pace(&self, pool: &PoolId) -> Option<Duration> {
        let usual = self.usual.get(pool)?;
        Some(Duration::from_secs_f64(usual.pace_us / 1e6))
    }

    /// Chooses the endpoint with the least expected wait.
    ///
    /// `idle_connections` tells how many open connections to an endpoint are free, `accepts` which
    /// endpoints may serve the request at all.
    pub fn choose<'a>(
        &self,
        now: Timestamp,
        table: &'a EndpointTable,
        query: &Query<'_>,
        idle_connections: impl Fn(&EndpointId) -> usize,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> Option<(&'a Endpoint, ChoiceReason)> {
        let candidates: Vec<&Endpoint> = self.candidates(table, query, accepts).collect();
        let is_sound = |endpoint: &&&Endpoint| self.is_sound(now, &endpoint.id);
        let cached = query.affinity.and_then(|cached| {
            let cached = candidates.iter().filter(is_sound).find(|e| e.id == *cached);
            cached.filter(|e| self.relative_pace(now, &e.id) < MAX_AFFINITY_PACE)
        });
        let cheapest = || {
            let sound = candidates.iter().filter(is_sound);
            let costs = sound.map(|endpoint| {
                let idle = idle_connections(&endpoint.id);
                (endpoint, self.cost(now, endpoint, &query.costs, idle))
            });
            let cheapest = costs.min_by(|a, b| a.1.total_cmp(&b.1));
            cheapest.map(|(endpoint, _)| endpoint)
        };
        let mut forced = false;
        let mut chosen = cached.or_else(cheapest);
        if chosen.is_none() && query.may_force {
            forced = true;
            chosen = candidates.iter().min_by_key(|endpoint| {
                let seen = self.observed.get(&endpoint.id);
                seen.map(|seen| seen.ejected_until.max(seen.full_until))
            });
        }
        let endpoint = chosen?;
        let reason = ChoiceReason {
            in_flight: self.in_flight(&endpoint.id),
            relative_pace: self.relative_pace(now, &endpoint.id),
            candidates: candidates.len(),
            forced,
        };
        Some((endpoint, reason))
    }

    /// Returns the endpoints that could serve a request, those that are left out included.
    fn candidates<'a>(
        &self,
        table: &'a EndpointTable,
        query: &Query<'_>,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> impl Iterator<Item = &'a Endpoint> {
        table
            .iter()
            .filter(|endpoint| endpoint.pool == *query.pool && !endpoint.leaving)
            .filter(|endpoint| self.has_room(endpoint, query))
            .filter(|endpoint| !query.tried.contains(&endpoint.id))
            .filter(move |endpoint| accepts(endpoint))
    }

    fn has_room(&self, endpoint: &Endpoint, query: &Query<'_>) -> bool {
        let max = query.max_in_flight;
        max.is_none_or(|max| self.in_flight(&endpoint.id) < max)
    }

    fn cost(
        &self,
        now: Timestamp,
        endpoint: &Endpoint,
        costs: &Costs,
        idle_connections: usize,
    ) -> f64 {
        let relative_pace = self.relative_pace(now, &endpoint.id);
        self.cost_at(endpoint, costs, relative_pace, idle_connections)
    }

    /// Returns the cost of an endpoint whose pace is known.
    fn cost_at(
        &self,
        endpoint: &Endpoint,
        costs: &Costs,
        relative_pace: f64,
        idle_connections: usize,
    ) -> f64 {
        let in_flight = f64::from(self.in_flight(&endpoint.id));
        let slots = f64::from(endpoint.slots.max(1));
        let mut cost = relative_pace * (1.0 + costs.full * in_flight / slots);
        if endpoint.availability_zone != self.availability_zone {
            cost += costs.cross_zone;
        }
        if idle_connections == 0 {
            cost += costs.new_connection;
        }
        cost
    }

    fn entry(&mut self, endpoint: &EndpointId) -> &mut Observed {
        if !self.observed.contains_key(endpoint) {
            self.observed.insert(endpoint.clone(), Observed::default());
        }
        &mut self.observed[endpoint]
    }
}
