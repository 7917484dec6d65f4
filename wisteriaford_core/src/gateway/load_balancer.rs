//! Load balancing: endpoint statistics that this instance collects, and endpoint selection.
//!
//! Selection relies on statistics of this instance's own requests: pace, failures and refusals. The
//! pace of an endpoint is the time that it takes per unit of work, so a lower pace is faster. An
//! endpoint's published entry only says where it runs, how many slots it has and whether it is
//! leaving.

mod event_flow;
mod explanation;
mod shortlist;

use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::load_balancer::event_flow::EventFlow;
pub use crate::gateway::load_balancer::event_flow::StreamEvents;
pub use crate::gateway::load_balancer::explanation::CandidateState;
pub use crate::gateway::load_balancer::explanation::Exclusion;
pub use crate::gateway::load_balancer::shortlist::Shortlist;
use crate::gateway::pace::ConcurrencyLimit;
use crate::id::AvailabilityZone;
use crate::id::EndpointId;
use crate::id::PoolId;
use crate::id::SoftwareVersion;
use crate::time::Timestamp;

/// Duration of an endpoint's first ejection; shorter than the outage after any crash.
const FIRST_EJECTION: Duration = Duration::from_millis(400);
/// Maximum duration of an ejection; a crashed endpoint recovers within a few seconds.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Consecutive failures before an endpoint is ejected; a single lost answer isn't enough.
const FAILURES_TO_EJECT: u32 = 2;
/// Time after an ejection in which requests that must not run twice avoid the endpoint, unless another
/// request was answered there; an endpoint that crashed is back within a few seconds.
const UNPROVEN_TIME: Duration = Duration::from_secs(2);
/// Time for which an endpoint that refused a request as full is skipped: a few requests' duration.
const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// Time constant of the exponential moving average of an endpoint's pace.
const PACE_TIME_CONSTANT: Duration = Duration::from_millis(400);
/// Minimum and maximum weight of a new sample in the moving average.
const PACE_WEIGHT_RANGE: (f64, f64) = (0.02, 0.4);
/// Upper limit of a pace sample, as a multiple of the median; longer times are pauses.
const MAX_RELATIVE_PACE: f64 = 6.0;
/// Minimum interval between updates of a pool's median pace.
const MEDIAN_UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum age of an endpoint's last sample for the endpoint to count towards the median.
const MEDIAN_MAX_SAMPLE_AGE: Duration = Duration::from_secs(3);
/// Half-life of an endpoint's deviation from the median while there are no new samples.
const DEVIATION_HALF_LIFE: Duration = Duration::from_secs(4);
/// Costs for calls, which are short, so connecting and queueing dominate their latency.
pub const CALL_COSTS: Costs = Costs {
    full: 1.0,
    cross_zone: 0.25,
    new_connection: 0.6,
};
/// Costs for items, which run for seconds; a full batch slows each by only a few percent.
pub const ITEM_COSTS: Costs = Costs {
    full: 0.12,
    cross_zone: 0.0,
    new_connection: 0.02,
};
/// Relative pace at which prompt affinity to an endpoint is ignored.
const MAX_AFFINITY_PACE: f64 = 2.0;

/// Statistics of one endpoint.
#[derive(Clone, Debug)]
struct EndpointStats {
    in_flight: u32,
    /// Consecutive failures.
    failures: u32,
    /// Time of the last failure.
    failed_at: Timestamp,
    /// End of the current or last ejection.
    ejected_until: Timestamp,
    /// End of the backoff after a refusal as full.
    full_until: Timestamp,
    pool: Option<PoolId>,
    /// Moving average of the time per unit of work; zero without samples.
    pace_us: f64,
    /// Time of the last pace sample.
    pace_updated_at: Timestamp,
    flow: EventFlow,
    /// Slots of an endpoint that warms up whenever it starts or recovers.
    warm_up_slots: Option<u32>,
    /// Limit while it does.
    limit: Option<ConcurrencyLimit>,
}

impl Default for EndpointStats {
    fn default() -> Self {
        Self {
            in_flight: 0,
            failures: 0,
            failed_at: Timestamp::default(),
            ejected_until: Timestamp::default(),
            full_until: Timestamp::default(),
            pool: None,
            pace_us: 0.0,
            pace_updated_at: Timestamp::default(),
            flow: EventFlow::default(),
            warm_up_slots: None,
            limit: None,
        }
    }
}

impl EndpointStats {
    /// Begins a limit if the endpoint warms up after a start or a recovery.
    fn begin_limit(&mut self) {
        self.limit = self.warm_up_slots.map(ConcurrencyLimit::new);
    }

    fn is_unavailable(&self, now: Timestamp) -> bool {
        self.ejected_until > now || self.full_until > now
    }
}

/// Median pace of a pool's endpoints.
///
/// All engines slow down together under load, so an engine is compared with the other engines
/// rather than with its own history.
#[derive(Clone, Copy, Debug)]
struct MedianPace {
    pace_us: f64,
    computed_at: Timestamp,
}

/// Inputs of an endpoint selection, for logging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectionReason {
    /// Requests of this instance in flight at the endpoint.
    pub in_flight: u32,
    /// Pace of the endpoint relative to the median of its pool.
    pub relative_pace: f64,
    /// Number of candidate endpoints.
    pub candidates: usize,
    /// Whether an unavailable endpoint was selected because no other was left.
    pub forced: bool,
}

/// Cost terms added to an endpoint's pace, in multiples of the median pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Cost with all slots in use; proportional to the requests in flight and to the pace.
    pub full: f64,
    /// Cost of an endpoint in another availability zone.
    pub cross_zone: f64,
    /// Cost if there is no idle connection to the endpoint.
    pub new_connection: f64,
}

/// Criteria of an endpoint selection.
pub struct SelectionCriteria<'a> {
    /// Pool that serves the request.
    pub pool: &'a PoolId,
    /// Endpoints that were tried already and are excluded.
    pub tried: &'a [EndpointId],
    /// Version of the software that the endpoint must run; `None` for any.
    pub software: Option<&'a SoftwareVersion>,
    /// Endpoint that has the prompt in its cache.
    pub affinity: Option<&'a EndpointId>,
    /// Maximum number of requests in flight at an endpoint; endpoints that reached it are excluded.
    pub max_in_flight: Option<u32>,
    /// Whether an unavailable endpoint may be selected if there is no other.
    pub allow_unavailable: bool,
    /// Whether endpoints that have not answered since they failed are avoided if there are others.
    pub prefer_proven: bool,
    /// Cost terms added to the pace.
    pub costs: Costs,
}

/// Statistics of all endpoints and selection among them.
#[derive(Clone, Debug)]
pub struct LoadBalancer {
    availability_zone: AvailabilityZone,
    stats: IndexMap<EndpointId, EndpointStats>,
    medians: IndexMap<PoolId, MedianPace>,
}

impl LoadBalancer {
    /// Creates a load balancer without statistics for an instance in the given availability zone.
    #[must_use]
    pub fn new(availability_zone: AvailabilityZone) -> Self {
        Self {
            availability_zone,
            stats: IndexMap::new(),
            medians: IndexMap::new(),
        }
    }

    /// Discards the statistics of an endpoint that was removed or restarted.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.stats.shift_remove(endpoint);
    }

    /// Returns the number of this instance's requests in flight at an endpoint.
    #[must_use]
    pub fn in_flight(&self, endpoint: &EndpointId) -> u32 {
        self.stats.get(endpoint).map_or(0, |stats| stats.in_flight)
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_start(&mut self, endpoint: &EndpointId) {
        self.stats_mut(endpoint).in_flight += 1;
    }

    /// Records that a request to an endpoint ended.
    pub fn record_end(&mut self, endpoint: &EndpointId) {
        let stats = self.stats_mut(endpoint);
        stats.in_flight = stats.in_flight.saturating_sub(1);
    }

    /// Records an event of a stream that an endpoint sends.
    pub fn record_event(&mut self, now: Timestamp, endpoint: &EndpointId) {
        self.stats_mut(endpoint).flow.record(now);
    }

    /// Returns whether a stream has been silent for long, by its own pace, while its endpoint went on
    /// with other streams.
    #[must_use]
    pub fn is_stalled(&self, now: Timestamp, endpoint: &EndpointId, stream: &StreamEvents) -> bool {
        let stats = self.stats.get(endpoint);
        stats.is_some_and(|stats| stats.flow.is_stalled(now, stream))
    }

    /// Records the time that an endpoint took for a unit of work.
    pub fn record_pace(
        &mut self,
        now: Timestamp,
        pool: &PoolId,
        endpoint: &EndpointId,
        taken: Duration,
    ) {
        let median_us = self.medians.get(pool).map(|median| median.pace_us);
        let max_us = median_us.map_or(f64::MAX, |median| median * MAX_RELATIVE_PACE);
        let taken_us = (taken.as_secs_f64() * 1e6).min(max_us);
        let stats = self.stats_mut(endpoint);
        let elapsed =
            now.since(stats.pace_updated_at).as_secs_f64() / PACE_TIME_CONSTANT.as_secs_f64();
        let weight = elapsed.clamp(PACE_WEIGHT_RANGE.0, PACE_WEIGHT_RANGE.1);
        if stats.pace_us > 0.0 {
            stats.pace_us += (taken_us - stats.pace_us) * weight;
        } else {
            stats.pace_us = taken_us;
            stats.pool = Some(pool.clone());
        }
        stats.pace_updated_at = now;
        let computed_at = self.medians.get(pool).map(|median| median.computed_at);
        if computed_at.is_none_or(|computed_at| now.since(computed_at) >= MEDIAN_UPDATE_INTERVAL) {
            self.update_median(now, pool);
        }
    }

    fn update_median(&mut self, now: Timestamp, pool: &PoolId) {
        let recent = self.stats.values().filter(|stats| {
            stats.pool.as_ref() == Some(pool)
                && now.since(stats.pace_updated_at) <= MEDIAN_MAX_SAMPLE_AGE
        });
        let mut paces: Vec<f64> = recent.map(|stats| stats.pace_us).collect();
        paces.sort_by(f64::total_cmp);
        if let Some(&pace_us) = paces.get((paces.len().saturating_sub(1)) / 2) {
            let computed_at = now;
            self.medians.insert(
                pool.clone(),
                MedianPace {
                    pace_us,
                    computed_at,
                },
            );
        }
    }

    /// Limits the requests in flight at an endpoint that has started and says that it warms up, until
    /// its answers show that it bears as many as it has slots. The same holds when it recovers.
    pub fn announce_warm_up(&mut self, endpoint: &EndpointId, slots: u32) {
        let stats = self.stats_mut(endpoint);
        stats.warm_up_slots = Some(slots);
        stats.begin_limit();
    }

    /// Returns the number of requests that may be in flight at an endpoint, if it is limited for now.
    #[must_use]
    pub fn limit(&self, endpoint: &EndpointId) -> Option<u32> {
        let limit = self.stats.get(endpoint)?.limit.as_ref()?;
        Some(limit.max_in_flight())
    }

    /// Records that a request was answered or that its first event arrived.
    pub fn record_progress(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let relative_pace = self.relative_pace(now, endpoint);
        let Some(stats) = self.stats.get_mut(endpoint) else {
            return;
        };
        let Some(limit) = &mut stats.limit else {
            return;
        };
        limit.record_pace(now, relative_pace);
        limit.record_answer(stats.in_flight);
        if limit.is_lifted() {
            stats.limit = None;
        }
    }

    /// Records a success, which ends an ejection.
    pub fn record_success(&mut self, endpoint: &EndpointId) {
        let stats = self.stats_mut(endpoint);
        let has_recovered = stats.ejected_until > Timestamp::default();
        stats.failures = 0;
        stats.ejected_until = Timestamp::default();
        if has_recovered && stats.limit.is_none() {
            stats.begin_limit();
        }
    }

    /// Records a failure; two in a row eject the endpoint.
    ///
    /// Each further failure doubles the duration of the ejection, up to a limit.
    pub fn record_failure(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let stats = self.stats_mut(endpoint);
        stats.failures = stats.failures.saturating_add(1);
        stats.failed_at = now;
        if let Some(limit) = &mut stats.limit {
            limit.record_loss(now);
        }
        if stats.failures >= FAILURES_TO_EJECT {
            let doublings = (stats.failures - FAILURES_TO_EJECT).min(8);
            let duration = FIRST_EJECTION.saturating_mul(1 << doublings);
            stats.ejected_until = now + duration.min(MAX_EJECTION);
        }
    }

    /// Records a connection that failed or broke, which ejects the endpoint at once.
    ///
    /// One that is down may still accept connections, and would attract more requests than others.
    pub fn record_unreachable(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let stats = self.stats_mut(endpoint);
        stats.failures = stats.failures.max(FAILURES_TO_EJECT - 1);
        self.record_failure(now, endpoint);
    }

    /// Ends the ejections since a time, which failures of this instance's own links have caused.
    pub fn readmit_ejected_since(&mut self, since: Timestamp) {
        for stats in self.stats.values_mut() {
            if stats.failed_at >= since {
                stats.failures = 0;
                stats.ejected_until = Timestamp::default();
            }
        }
    }

    /// Records that an endpoint crashed, which ejects it for as long as it may take to return.
    pub fn record_crash(&mut self, now: Timestamp, endpoint: &EndpointId) {
        self.stats_mut(endpoint).ejected_until = now + MAX_EJECTION;
    }

    /// Records that an endpoint refused a request as full, and skips it for a short time.
    pub fn record_full(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let stats = self.stats_mut(endpoint);
        stats.full_until = now + FULL_BACKOFF;
        if let Some(limit) = &mut stats.limit {
            limit.record_refusal(now);
        }
    }

    /// Returns whether an endpoint is neither ejected nor backed off as full.
    #[must_use]
    pub fn is_available(&self, now: Timestamp, endpoint: &EndpointId) -> bool {
        let stats = self.stats.get(endpoint);
        stats.is_none_or(|stats| !stats.is_unavailable(now))
    }

    /// Returns whether an endpoint has answered since it last failed, or some time has passed.
    fn is_proven(&self, now: Timestamp, endpoint: &EndpointId) -> bool {
        let Some(stats) = self.stats.get(endpoint) else {
            return true;
        };
        stats.failures == 0 || now > stats.ejected_until + UNPROVEN_TIME
    }

    /// Returns the pace of an endpoint relative to the median of its pool.
    ///
    /// The value decays towards 1.0 while there are no new samples.
    #[must_use]
    pub fn relative_pace(&self, now: Timestamp, endpoint: &EndpointId) -> f64 {
        let Some(stats) = self.stats.get(endpoint) else {
            return 1.0;
        };
        let median = stats.pool.as_ref().and_then(|pool| self.medians.get(pool));
        let Some(median) = median.filter(|median| median.pace_us > 0.0) else {
            return 1.0;
        };
        let age =
            now.since(stats.pace_updated_at).as_secs_f64() / DEVIATION_HALF_LIFE.as_secs_f64();
        1.0 + (stats.pace_us / median.pace_us - 1.0) * 0.5_f64.powf(age)
    }

    /// Returns the median time per unit of work in a pool.
    #[must_use]
    pub fn median_pace(&self, pool: &PoolId) -> Option<Duration> {
        let median = self.medians.get(pool)?;
        Some(Duration::from_secs_f64(median.pace_us / 1e6))
    }

    /// Selects the endpoint with the lowest cost, or the one with prompt affinity if it isn't slow.
    ///
    /// `idle_connections` returns the number of idle connections to an endpoint; `accepts` filters
    /// the endpoints that may serve the request.
    pub fn select<'a>(
        &self,
        now: Timestamp,
        table: &'a EndpointTable,
        query: &SelectionCriteria<'_>,
        idle_connections: impl Fn(&EndpointId) -> usize,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> Option<(&'a Endpoint, SelectionReason)> {
        let mut candidates: Vec<&Endpoint> = self.candidates(table, query, &accepts).collect();
        if query.max_in_flight.is_none() && candidates.iter().any(|e| self.has_capacity(e, query)) {
            // A call is rather sent beyond the limit of an endpoint than refused.
            candidates.retain(|endpoint| self.has_capacity(endpoint, query));
        }
        let is_available = |endpoint: &&&Endpoint| self.is_available(now, &endpoint.id);
        let preferred = query.affinity.and_then(|preferred| {
            let preferred = candidates
                .iter()
                .filter(is_available)
                .find(|e| e.id == *preferred);
            preferred.filter(|e| self.relative_pace(now, &e.id) < MAX_AFFINITY_PACE)
        });
        let cheapest = |only_proven: bool| {
            let available = candidates.iter().filter(is_available);
            let available =
                available.filter(|endpoint| !only_proven || self.is_proven(now, &endpoint.id));
            let costs = available.map(|endpoint| {
                let idle = idle_connections(&endpoint.id);
                (endpoint, self.cost(now, endpoint, &query.costs, idle))
            });
            let cheapest = costs.min_by(|a, b| a.1.total_cmp(&b.1));
            cheapest.map(|(endpoint, _)| endpoint)
        };
        let mut forced = false;
        let proven = || query.prefer_proven.then(|| cheapest(true)).flatten();
        let mut selected = preferred.or_else(proven).or_else(|| cheapest(false));
        if selected.is_none() && query.allow_unavailable {
            forced = true;
            selected = candidates.iter().min_by_key(|endpoint| {
                let stats = self.stats.get(&endpoint.id);
                stats.map(|stats| stats.ejected_until.max(stats.full_until))
            });
        }
        let endpoint = selected?;
        let reason = SelectionReason {
            in_flight: self.in_flight(&endpoint.id),
            relative_pace: self.relative_pace(now, &endpoint.id),
            candidates: candidates.len(),
            forced,
        };
        Some((endpoint, reason))
    }

    /// Returns the endpoints that could serve a request, including unavailable ones.
    /// Returns whether [`LoadBalancer::select`] would find an endpoint that is available.
    #[must_use]
    pub fn has_available(
        &self,
        now: Timestamp,
        table: &EndpointTable,
        query: &SelectionCriteria<'_>,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> bool {
        let mut candidates = self.candidates(table, query, accepts);
        candidates.any(|endpoint| self.is_available(now, &endpoint.id))
    }

    fn candidates<'a>(
        &self,
        table: &'a EndpointTable,
        query: &SelectionCriteria<'_>,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> impl Iterator<Item = &'a Endpoint> {
        table
            .iter()
            .filter(|endpoint| endpoint.pool == *query.pool && !endpoint.leaving)
            .filter(|endpoint| query.max_in_flight.is_none() || self.has_capacity(endpoint, query))
            .filter(|endpoint| !query.tried.contains(&endpoint.id))
            .filter(|endpoint| {
                query
                    .software
                    .is_none_or(|software| endpoint.software == *software)
            })
            .filter(move |endpoint| accepts(endpoint))
    }

    fn has_capacity(&self, endpoint: &Endpoint, query: &SelectionCriteria<'_>) -> bool {
        let in_flight = self.in_flight(&endpoint.id);
        let is_below = |max: Option<u32>| max.is_none_or(|max| in_flight < max);
        is_below(query.max_in_flight) && is_below(self.limit(&endpoint.id))
    }

    fn cost(
        &self,
        now: Timestamp,
        endpoint: &Endpoint,
        costs: &Costs,
        idle_connections: usize,
    ) -> f64 {
        let relative_pace = self.relative_pace(now, &endpoint.id);
        self.cost_with_pace(endpoint, costs, relative_pace, idle_connections)
    }

    /// Returns the cost of an endpoint with a given relative pace.
    fn cost_with_pace(
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

    fn stats_mut(&mut self, endpoint: &EndpointId) -> &mut EndpointStats {
        if !self.stats.contains_key(endpoint) {
            self.stats
                .insert(endpoint.clone(), EndpointStats::default());
        }
        &mut self.stats[endpoint]
    }
}
