//! State of the endpoints of a pool from the view of one request, to explain a selection.

use std::time::Duration;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::load_balancer::LoadBalancer;
use crate::gateway::load_balancer::SelectionCriteria;
use crate::id::EndpointId;
use crate::id::SoftwareVersion;
use crate::time::Timestamp;

/// Reason why an endpoint isn't selected for a request while there are others.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Exclusion {
    /// It is being taken out of service.
    #[display("leaving")]
    Leaving,
    /// The request was already sent to it.
    #[display("tried")]
    Tried,
    /// It runs another version of the software than the request needs.
    #[display("other_software")]
    OtherSoftware,
    /// It doesn't accept the request: other weights, or a limit that it announced.
    #[display("not_accepted")]
    NotAccepted,
    /// It runs as many requests of this instance as it may.
    #[display("at_limit")]
    AtLimit,
    /// It failed, and is left aside for a while.
    #[display("ejected")]
    Ejected,
    /// It refused a request as full, and is left aside for a moment.
    #[display("full")]
    Full,
}

/// State of an endpoint from the view of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateState<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Reason why it isn't selected while there are others; `None` if it could be selected.
    pub exclusion: Option<Exclusion>,
    /// Time until an ejection or a back-off ends.
    pub available_in: Duration,
    /// Requests of this instance in flight there.
    pub in_flight: u32,
    /// Maximum number of those, while its answers show that it bears no more.
    pub limit: Option<u32>,
    /// Time per unit of work relative to the median of its pool.
    pub relative_pace: f64,
    /// Number of idle connections to it.
    pub idle_connections: usize,
    /// Cost by which endpoints are compared; the lowest one is selected.
    pub cost: f64,
}

impl LoadBalancer {
    /// Returns the state of each endpoint of the pool, by the criteria of [`LoadBalancer::select`].
    pub fn candidate_states<'a>(
        &self,
        now: Timestamp,
        table: &'a EndpointTable,
        query: &SelectionCriteria<'_>,
        idle_connections: impl Fn(&EndpointId) -> usize,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> Vec<CandidateState<'a>> {
        let candidates = self.candidates(now, table, query, &accepts);
        let has_room = self.has_room(now, query, candidates);
        let of_pool = table.iter().filter(|e| e.pool == *query.pool);
        let states = of_pool.map(|endpoint| {
            let stats = self.stats.get(&endpoint.id);
            let available_at = stats.map_or(now, |stats| stats.ejected_until.max(stats.full_until));
            let idle_connections = idle_connections(&endpoint.id);
            CandidateState {
                endpoint,
                exclusion: self.exclusion(now, endpoint, query, has_room, &accepts),
                available_in: available_at.since(now),
                in_flight: self.in_flight(&endpoint.id),
                limit: self.limit(&endpoint.id),
                relative_pace: self.relative_pace(now, &endpoint.id),
                idle_connections,
                cost: self.cost(now, endpoint, &query.costs, idle_connections),
            }
        });
        states.collect()
    }

    fn exclusion(
        &self,
        now: Timestamp,
        endpoint: &Endpoint,
        query: &SelectionCriteria<'_>,
        has_room: bool,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> Option<Exclusion> {
        let is_other = |software: &SoftwareVersion| endpoint.software != *software;
        let stats = self.stats.get(&endpoint.id);
        if endpoint.leaving {
            Some(Exclusion::Leaving)
        } else if query.tried.contains(&endpoint.id) {
            Some(Exclusion::Tried)
        } else if query.software.is_some_and(is_other) {
            Some(Exclusion::OtherSoftware)
        } else if !accepts(endpoint) {
            Some(Exclusion::NotAccepted)
        } else if stats.is_some_and(|stats| stats.ejected_until > now) {
            Some(Exclusion::Ejected)
        } else if stats.is_some_and(|stats| stats.full_until > now) {
            Some(Exclusion::Full)
        } else if !self.may_exceed(now, endpoint, query)
            || has_room && !self.has_capacity(endpoint, query)
        {
            Some(Exclusion::AtLimit)
        } else {
            None
        }
    }
}
