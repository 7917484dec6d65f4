//! Endpoints that may serve many requests of a kind, looked at once and chosen from many times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexMap;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::fleet::ChoiceReason;
use crate::gateway::fleet::Costs;
use crate::gateway::fleet::Fleet;
use crate::gateway::fleet::MAX_AFFINITY_PACE;
use crate::gateway::fleet::Query;
use crate::id::EndpointId;
use crate::time::Timestamp;

/// Cost of an endpoint, ordered.
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

struct Entry<'a> {
    endpoint: &'a Endpoint,
    relative_pace: f64,
    idle_connections: usize,
    cost: Cost,
}

impl Entry<'_> {
    fn cost(&self, fleet: &Fleet, costs: &Costs) -> Cost {
        let idle = self.idle_connections;
        Cost(fleet.cost_at(self.endpoint, costs, self.relative_pace, idle))
    }
}

/// Endpoints of a pool that are sound and accept a kind of request, cheapest first.
pub struct Shortlist<'a> {
    entries: IndexMap<&'a EndpointId, Entry<'a>>,
    /// Costs with the place of their entry; those that an entry no longer has are passed over.
    queue: BinaryHeap<Reverse<(Cost, usize)>>,
    costs: Costs,
    max_in_flight: u32,
}

impl<'a> Shortlist<'a> {
    /// Looks at all endpoints, as [`Fleet::choose`] does; none is forced, and what is preferred is said
    /// at each choice.
    pub fn new(
        fleet: &Fleet,
        now: Timestamp,
        table: &'a EndpointTable,
        query: &Query<'_>,
        idle_connections: impl Fn(&EndpointId) -> usize,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> Self {
        let entries: IndexMap<_, _> = fleet
            .candidates(table, query, accepts)
            .filter(|endpoint| fleet.is_sound(now, &endpoint.id))
            .map(|endpoint| {
                let mut entry = Entry {
                    endpoint,
                    relative_pace: fleet.relative_pace(now, &endpoint.id),
                    idle_connections: idle_connections(&endpoint.id),
                    cost: Cost(0.0),
                };
                entry.cost = entry.cost(fleet, &query.costs);
                (&endpoint.id, entry)
            })
            .collect();
        let places = entries.values().enumerate();
        let queue = places.map(|(place, entry)| Reverse((entry.cost, place)));
        Self {
            queue: queue.collect(),
            entries,
            costs: query.costs,
            max_in_flight: query.max_in_flight.unwrap_or(u32::MAX),
        }
    }

    /// Chooses the preferred endpoint, if it is listed, has room and isn't slow, or else the
    /// cheapest, and counts the request as sent to it.
    pub fn choose(
        &mut self,
        fleet: &mut Fleet,
        preferred: Option<&EndpointId>,
    ) -> Option<(&'a Endpoint, ChoiceReason)> {
        let preferred = preferred.and_then(|id| self.preferred(fleet, id));
        let place = preferred.or_else(|| self.cheapest(fleet))?;
        let candidates = self.entries.len();
        let entry = &mut self.entries[place];
        let endpoint = entry.endpoint;
        let reason = ChoiceReason {
            in_flight: fleet.in_flight(&endpoint.id),
            relative_pace: entry.relative_pace,
            candidates,
            forced: false,
        };
        fleet.started(&endpoint.id);
        entry.idle_connections = entry.idle_connections.saturating_sub(1);
        entry.cost = entry.cost(fleet, &self.costs);
        self.queue.push(Reverse((entry.cost, place)));
        Some((endpoint, reason))
    }

    /// Returns whether an endpoint is listed, has a free slot, and is as fast as `max_pace`.
    #[must_use]
    pub fn fits(&self, fleet: &Fleet, id: &EndpointId, max_pace: f64) -> bool {
        self.entries.get(id).is_some_and(|entry| {
            entry.relative_pace <= max_pace && fleet.in_flight(id) < entry.endpoint.slots
        })
    }

    fn preferred(&self, fleet: &Fleet, id: &EndpointId) -> Option<usize> {
        let place = self.entries.get_index_of(id)?;
        let is_fast = self.entries[place].relative_pace < MAX_AFFINITY_PACE;
        (is_fast && fleet.in_flight(id) < self.max_in_flight).then_some(place)
    }

    fn cheapest(&mut self, fleet: &Fleet) -> Option<usize> {
        while let Some(Reverse((cost, place))) = self.queue.pop() {
            let entry = &self.entries[place];
            let has_room = fleet.in_flight(&entry.endpoint.id) < self.max_in_flight;
            if entry.cost == cost && has_room {
                return Some(place);
            }
        }
        None
    }
}
