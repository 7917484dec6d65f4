//! Selection of the endpoint with the lowest cost.

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::load_balancer::LoadBalancer;
use crate::id::EndpointId;
use crate::id::PoolId;
use crate::id::SoftwareVersion;
use crate::time::Timestamp;

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
pub(super) const MAX_AFFINITY_PACE: f64 = 2.0;

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

impl LoadBalancer {
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
        let candidates = self.candidates(now, table, query, &accepts);
        let mut candidates: Vec<&Endpoint> = candidates.collect();
        if self.has_room(now, query, candidates.iter().copied()) {
            // A request is rather sent beyond the limit of an endpoint than refused or kept waiting.
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

    /// Returns whether [`LoadBalancer::select`] would find an endpoint that is available.
    #[must_use]
    pub fn has_available(
        &self,
        now: Timestamp,
        table: &EndpointTable,
        query: &SelectionCriteria<'_>,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> bool {
        let mut candidates = self.candidates(now, table, query, accepts);
        candidates.any(|endpoint| self.is_available(now, &endpoint.id))
    }

    /// Returns the endpoints that could serve a request, including unavailable ones.
    pub(super) fn candidates<'a>(
        &self,
        now: Timestamp,
        table: &'a EndpointTable,
        query: &SelectionCriteria<'_>,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> impl Iterator<Item = &'a Endpoint> {
        table
            .iter()
            .filter(|endpoint| endpoint.pool == *query.pool && !endpoint.leaving)
            .filter(move |endpoint| self.may_exceed(now, endpoint, query))
            .filter(|endpoint| !query.tried.contains(&endpoint.id))
            .filter(|endpoint| {
                query
                    .software
                    .is_none_or(|software| endpoint.software == *software)
            })
            .filter(move |endpoint| accepts(endpoint))
    }

    /// Returns whether one of the candidates is available and has a free slot within its limit.
    pub(super) fn has_room<'a>(
        &self,
        now: Timestamp,
        query: &SelectionCriteria<'_>,
        candidates: impl IntoIterator<Item = &'a Endpoint>,
    ) -> bool {
        candidates.into_iter().any(|endpoint| {
            self.has_capacity(endpoint, query)
                && self.in_flight(&endpoint.id) < endpoint.slots
                && self.is_available(now, &endpoint.id)
        })
    }

    /// Returns whether an endpoint may get the request if no other has room. Calls, which have no maximum,
    /// may exceed every limit: they would be refused otherwise.
    pub(super) fn may_exceed(
        &self,
        now: Timestamp,
        endpoint: &Endpoint,
        query: &SelectionCriteria<'_>,
    ) -> bool {
        let Some(max) = query.max_in_flight else {
            return true;
        };
        let limit = self.limit_without_others(now, &endpoint.id);
        self.in_flight(&endpoint.id) < max.min(limit.unwrap_or(u32::MAX))
    }

    pub(super) fn has_capacity(&self, endpoint: &Endpoint, query: &SelectionCriteria<'_>) -> bool {
        let in_flight = self.in_flight(&endpoint.id);
        let is_below = |max: Option<u32>| max.is_none_or(|max| in_flight < max);
        is_below(query.max_in_flight) && is_below(self.limit(&endpoint.id))
    }

    pub(super) fn cost(
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
    pub(super) fn cost_with_pace(
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
}
