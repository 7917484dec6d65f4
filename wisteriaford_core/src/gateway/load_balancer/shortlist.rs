//! Endpoint selection for many similar requests, which evaluates the candidates only once.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexMap;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::load_balancer::Costs;
use crate::gateway::load_balancer::LoadBalancer;
use crate::gateway::load_balancer::SelectionCriteria;
use crate::gateway::load_balancer::SelectionReason;
use crate::gateway::load_balancer::selection::MAX_AFFINITY_PACE;
use crate::id::EndpointId;
use crate::time::Timestamp;

/// Cost of an endpoint, with a total order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Cost(f64);

impl Eq for Cost {}

impl PartialOrd for Cost {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Cost {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

struct Candidate<'a> {
    endpoint: &'a Endpoint,
    relative_pace: f64,
    idle_connections: usize,
    cost: Cost,
    is_excluded: bool,
}

impl Candidate<'_> {
    fn cost(&self, load_balancer: &LoadBalancer, costs: &Costs) -> Cost {
        let idle = self.idle_connections;
        Cost(load_balancer.cost_with_pace(self.endpoint, costs, self.relative_pace, idle))
    }
}

/// Available endpoints of a pool that accept one kind of request, cheapest first.
pub struct Shortlist<'a> {
    candidates: IndexMap<&'a EndpointId, Candidate<'a>>,
    /// Costs with the position of their candidate in `candidates`; outdated costs are skipped.
    queue: BinaryHeap<Reverse<(Cost, usize)>>,
    /// Those of candidates that reached their limit, but may exceed it while no other has room.
    beyond_limit: BinaryHeap<Reverse<(Cost, usize)>>,
    now: Timestamp,
    costs: Costs,
    max_in_flight: u32,
}

impl<'a> Shortlist<'a> {
    /// Evaluates all endpoints by the criteria of [`LoadBalancer::select`].
    ///
    /// Unavailable endpoints are never selected. [`Shortlist::select`] takes the preferred endpoint
    /// instead of `query`.
    pub fn new(
        load_balancer: &LoadBalancer,
        now: Timestamp,
        table: &'a EndpointTable,
        query: &SelectionCriteria<'_>,
        idle_connections: impl Fn(&EndpointId) -> usize,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> Self {
        let candidates: IndexMap<_, _> = load_balancer
            .candidates(now, table, query, accepts)
            .filter(|endpoint| load_balancer.is_available(now, &endpoint.id))
            .map(|endpoint| {
                let mut candidate = Candidate {
                    endpoint,
                    relative_pace: load_balancer.relative_pace(now, &endpoint.id),
                    idle_connections: idle_connections(&endpoint.id),
                    cost: Cost(0.0),
                    is_excluded: false,
                };
                candidate.cost = candidate.cost(load_balancer, &query.costs);
                (&endpoint.id, candidate)
            })
            .collect();
        let positions = candidates.values().enumerate();
        let queue = positions.map(|(position, candidate)| Reverse((candidate.cost, position)));
        Self {
            queue: queue.collect(),
            beyond_limit: BinaryHeap::new(),
            now,
            candidates,
            costs: query.costs,
            max_in_flight: query.max_in_flight.unwrap_or(u32::MAX),
        }
    }

    /// Selects an endpoint and records the request as sent to it.
    ///
    /// This is the preferred endpoint if it is a candidate, has capacity and isn't slow, otherwise
    /// the cheapest one.
    pub fn select(
        &mut self,
        load_balancer: &mut LoadBalancer,
        preferred: Option<&EndpointId>,
    ) -> Option<(&'a Endpoint, SelectionReason)> {
        let preferred = preferred.and_then(|id| self.preferred(load_balancer, id));
        let position = preferred.or_else(|| self.cheapest(load_balancer));
        let position = position.or_else(|| self.cheapest_beyond_limit(load_balancer))?;
        let candidates = self.candidates.len();
        let candidate = &mut self.candidates[position];
        let endpoint = candidate.endpoint;
        let reason = SelectionReason {
            in_flight: load_balancer.in_flight(&endpoint.id),
            relative_pace: candidate.relative_pace,
            candidates,
            forced: false,
        };
        load_balancer.record_start(&endpoint.id);
        candidate.idle_connections = candidate.idle_connections.saturating_sub(1);
        candidate.cost = candidate.cost(load_balancer, &self.costs);
        self.queue.push(Reverse((candidate.cost, position)));
        Some((endpoint, reason))
    }

    /// Takes back the last selection of an endpoint, and selects it no more.
    pub fn exclude(&mut self, load_balancer: &mut LoadBalancer, id: &EndpointId) {
        load_balancer.record_end(id);
        if let Some(candidate) = self.candidates.get_mut(id) {
            candidate.is_excluded = true;
        }
    }

    /// Returns whether an endpoint is a candidate with a free slot and at most `max_pace`.
    #[must_use]
    pub fn fits(&self, load_balancer: &LoadBalancer, id: &EndpointId, max_pace: f64) -> bool {
        self.candidates.get(id).is_some_and(|candidate| {
            !candidate.is_excluded
                && candidate.relative_pace <= max_pace
                && load_balancer.in_flight(id) < candidate.endpoint.slots
                && self.has_capacity(load_balancer, id)
        })
    }

    fn has_capacity(&self, load_balancer: &LoadBalancer, id: &EndpointId) -> bool {
        let limit = load_balancer.limit(id).unwrap_or(u32::MAX);
        load_balancer.in_flight(id) < self.max_in_flight.min(limit)
    }

    fn preferred(&self, load_balancer: &LoadBalancer, id: &EndpointId) -> Option<usize> {
        let position = self.candidates.get_index_of(id)?;
        let candidate = &self.candidates[position];
        let is_fast = candidate.relative_pace < MAX_AFFINITY_PACE && !candidate.is_excluded;
        (is_fast && self.has_capacity(load_balancer, id)).then_some(position)
    }

    fn cheapest(&mut self, load_balancer: &LoadBalancer) -> Option<usize> {
        while let Some(Reverse((cost, position))) = self.queue.pop() {
            let candidate = &self.candidates[position];
            if candidate.cost != cost || candidate.is_excluded {
                continue;
            }
            if self.has_capacity(load_balancer, &candidate.endpoint.id) {
                return Some(position);
            }
            self.beyond_limit.push(Reverse((cost, position)));
        }
        None
    }

    fn cheapest_beyond_limit(&mut self, load_balancer: &LoadBalancer) -> Option<usize> {
        while let Some(Reverse((cost, position))) = self.beyond_limit.pop() {
            let candidate = &self.candidates[position];
            let id = &candidate.endpoint.id;
            let limit = load_balancer.limit_without_others(self.now, id);
            let max = self.max_in_flight.min(limit.unwrap_or(u32::MAX));
            let has_capacity = load_balancer.in_flight(id) < max;
            if candidate.cost == cost && has_capacity && !candidate.is_excluded {
                return Some(position);
            }
        }
        None
    }
}
