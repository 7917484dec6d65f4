//! Selects the endpoints from which an ingress instance requests a slot.
//!
//! A request with a prompt prefix goes to an endpoint known to cache the prefix, otherwise to the
//! first endpoint in the prefix's rendezvous hash order, so that all ingress instances agree
//! without communicating. Endpoints whose load exceeds the bound are skipped. A request without a
//! prefix goes to the least loaded endpoint.
//!
//! The load bound follows Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
//! Loads", 2016.

mod cache;
mod load;

use std::cmp::Reverse;

use indexmap::IndexMap;
use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::fleet::EndpointState;

use self::cache::PrefixCache;
use self::load::LoadEstimate;
use crate::hash::hash_parts;
use crate::id::AvailabilityZone;
use crate::id::EndpointId;
use crate::id::Version;
use crate::refusal::RefusalReason;
use crate::settings::Endpoint;
use crate::time::Timestamp;

pub use self::cache::CacheChange;
pub use self::cache::CacheEvent;
pub use self::cache::MAX_PREFIXES_PER_ENDPOINT;
pub use self::load::REPORT_LAG;

/// Load bound in percent of the candidates' mean load; a prefix skips endpoints above it.
pub const LOAD_BOUND_PERCENT: u64 = 125;
/// Fixed-point scale of loads per slot.
const LOAD_PER_SLOT_SCALE: u64 = 1_000;

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, PartialEq)]
pub enum ChoiceReason {
    /// The endpoint is known to cache the prefix.
    #[display("cached_prefix")]
    CachedPrefix,
    /// The endpoint is first in the prefix's rendezvous order.
    #[display("prefix_hash")]
    PrefixHash,
    /// All endpoints before it in the rendezvous order are above the load bound.
    #[display("bounded_load")]
    BoundedLoad,
    /// The endpoint has the least load.
    #[display("least_loaded")]
    LeastLoaded,
}

/// Requirements of a request on its endpoint.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Configured endpoints of the pool.
    pub candidates: Vec<&'a Endpoint>,
    /// Hash of the prompt prefix, if the request has one.
    pub prefix_hash: Option<u64>,
    /// Oldest version of the weights that may run the request; 0 allows any.
    pub oldest_version: Version,
    /// Endpoints that must not be chosen, such as those at which the request already failed.
    pub exclude: &'a [EndpointId],
}

/// Endpoint from which a slot is requested.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointChoice {
    /// Chosen endpoint.
    pub endpoint: EndpointId,
    /// Why it was chosen.
    pub reason: ChoiceReason,
}

/// State known of one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointView {
    load: LoadEstimate,
    prefix_cache: PrefixCache,
    leaving: bool,
}

/// Candidate endpoint with its sort keys.
struct ScoredCandidate<'a> {
    endpoint: &'a Endpoint,
    load: u64,
    slots: u64,
    same_zone: bool,
    cached: bool,
    rendezvous_hash: u64,
}

impl ScoredCandidate<'_> {
    fn relative_load(&self) -> u64 {
        self.load * LOAD_PER_SLOT_SCALE / self.slots
    }
}

/// Routing state of an ingress instance: load, cached prefixes and availability of endpoints.
#[derive(Clone, Debug)]
pub struct Router {
    availability_zone: AvailabilityZone,
    endpoints: IndexMap<EndpointId, EndpointView>,
}

impl Router {
    /// Creates the router of an ingress instance in `availability_zone`.
    #[must_use]
    pub fn new(availability_zone: AvailabilityZone) -> Self {
        Self {
            availability_zone,
            endpoints: IndexMap::new(),
        }
    }

    /// Removes the state of endpoints that are no longer configured.
    pub fn retain(&mut self, endpoints: &IndexMap<EndpointId, Endpoint>) {
        self.endpoints.retain(|id, _| endpoints.contains_key(id));
    }

    /// Applies the state that a coordinator gossiped; reports older than the last one are ignored.
    pub fn apply_report(&mut self, now: Timestamp, state: &EndpointState) {
        let id = EndpointId::from(state.endpoint.as_str());
        self.endpoints
            .entry(id)
            .or_default()
            .load
            .apply_report(now, state);
    }

    /// Records that an endpoint is leaving, or that it returned with a new incarnation.
    ///
    /// Gossiped state doesn't override this, since it may be older.
    pub fn set_leaving(&mut self, endpoint: &EndpointId, leaving: bool) {
        let view = self.endpoints.entry(endpoint.clone()).or_default();
        view.leaving = leaving;
    }

    /// Adds a request of this ingress instance to the load estimate of an endpoint.
    ///
    /// Call it when the slot request is sent, so that a burst of requests between two reports
    /// doesn't go to a single endpoint. Call [`Self::record_released`] once when the slot request
    /// is denied or withdrawn, or when the request has ended.
    pub fn record_requested(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let view = self.endpoints.entry(endpoint.clone()).or_default();
        view.load.add_local_change(now, 1);
    }

    /// Removes a request of this ingress instance from the load estimate of an endpoint.
    pub fn record_released(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let view = self.endpoints.entry(endpoint.clone()).or_default();
        view.load.add_local_change(now, -1);
    }

    /// Applies an event of an endpoint's prefix cache; a sequence gap clears the known prefixes.
    pub fn apply_cache_event(&mut self, endpoint: &EndpointId, event: CacheEvent) {
        let view = self.endpoints.entry(endpoint.clone()).or_default();
        view.prefix_cache.apply(event);
    }

    /// Clears the known prefixes of an endpoint, as after its restart.
    pub fn clear_cache(&mut self, endpoint: &EndpointId) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.prefix_cache.clear();
        }
    }

    /// Returns up to `count` endpoints to request a slot from, best first.
    ///
    /// # Errors
    ///
    /// Returns the most frequent reason for exclusion if no candidate is eligible.
    pub fn choose(
        &self,
        query: &RouteQuery,
        count: usize,
    ) -> Result<Vec<EndpointChoice>, RefusalReason> {
        let mut eligible = Vec::new();
        let mut excluded: IndexMap<RefusalReason, usize> = IndexMap::new();
        for endpoint in &query.candidates {
            match self.exclusion_reason(query, endpoint) {
                Some(reason) => *excluded.entry(reason).or_default() += 1,
                None => eligible.push(self.score(query, endpoint)),
            }
        }
        if eligible.is_empty() {
            let most_frequent = excluded.into_iter().max_by_key(|(_, count)| *count);
            return Err(most_frequent.map_or(RefusalReason::NoEndpoint, |(reason, _)| reason));
        }
        Ok(select(eligible, query.prefix_hash, count))
    }

    fn exclusion_reason(&self, query: &RouteQuery, endpoint: &Endpoint) -> Option<RefusalReason> {
        if query.exclude.contains(&endpoint.id) {
            return Some(RefusalReason::NoEndpoint);
        }
        let view = self.endpoints.get(&endpoint.id);
        if endpoint.leaving || view.is_some_and(|view| view.leaving) {
            return Some(RefusalReason::EndpointLeaving);
        }
        let (availability, version) = view.map_or((Availability::Serving, Version(0)), |view| {
            (view.load.availability, view.load.version)
        });
        match availability {
            Availability::EndpointLeaving => Some(RefusalReason::EndpointLeaving),
            Availability::Down => Some(RefusalReason::EndpointDown),
            Availability::Swapping => Some(RefusalReason::NoEndpoint),
            Availability::Serving => {
                (version < query.oldest_version).then_some(RefusalReason::EndpointStale)
            }
        }
    }

    fn score<'a>(&self, query: &RouteQuery, endpoint: &'a Endpoint) -> ScoredCandidate<'a> {
        let view = self.endpoints.get(&endpoint.id);
        let prefix = query.prefix_hash;
        let key = prefix.unwrap_or_default().to_le_bytes();
        ScoredCandidate {
            endpoint,
            load: view.map_or(0, |view| view.load.estimate()),
            slots: u64::try_from(endpoint.slots.max(1)).unwrap_or(u64::MAX),
            same_zone: endpoint.availability_zone == self.availability_zone,
            cached: view
                .zip(prefix)
                .is_some_and(|(view, prefix)| view.prefix_cache.contains(prefix)),
            rendezvous_hash: hash_parts(&[&key, endpoint.id.as_str().as_bytes()]),
        }
    }
}

/// Returns the best `count` candidates in order, each with the reason it was chosen.
fn select(
    mut eligible: Vec<ScoredCandidate>,
    prefix_hash: Option<u64>,
    count: usize,
) -> Vec<EndpointChoice> {
    let bound = load_bound(&eligible);
    eligible.sort_by_key(|candidate| {
        (
            candidate.relative_load(),
            !candidate.same_zone,
            candidate.rendezvous_hash,
        )
    });
    let mut choices = Vec::new();
    if prefix_hash.is_some()
        && let Some((index, reason)) = select_for_prefix(&eligible, bound)
    {
        let candidate = eligible.remove(index);
        choices.push(to_choice(&candidate, reason));
    }
    let remaining = eligible.iter();
    choices.extend(remaining.map(|candidate| to_choice(candidate, ChoiceReason::LeastLoaded)));
    choices.truncate(count);
    choices
}

fn to_choice(candidate: &ScoredCandidate, reason: ChoiceReason) -> EndpointChoice {
    EndpointChoice {
        endpoint: candidate.endpoint.id.clone(),
        reason,
    }
}

/// Returns the highest scaled load per slot that an endpoint may have with the new request.
fn load_bound(eligible: &[ScoredCandidate]) -> u64 {
    let load: u64 = eligible.iter().map(|candidate| candidate.load).sum();
    let slots: u64 = eligible.iter().map(|candidate| candidate.slots).sum();
    (load + 1) * LOAD_PER_SLOT_SCALE * LOAD_BOUND_PERCENT / 100 / slots.max(1)
}

/// Returns the index of the candidate for a prefix, or `None` if all are above the load bound.
///
/// An endpoint with free slots is never above the bound: spreading a prefix over more endpoints
/// pays off only if requests would wait otherwise.
fn select_for_prefix(eligible: &[ScoredCandidate], bound: u64) -> Option<(usize, ChoiceReason)> {
    let within_bound = |candidate: &ScoredCandidate| {
        candidate.load < candidate.slots
            || (candidate.load + 1) * LOAD_PER_SLOT_SCALE / candidate.slots <= bound
    };
    let cached = eligible
        .iter()
        .position(|candidate| candidate.cached && within_bound(candidate));
    if let Some(index) = cached {
        return Some((index, ChoiceReason::CachedPrefix));
    }
    let mut by_rendezvous_hash: Vec<usize> = (0..eligible.len()).collect();
    by_rendezvous_hash.sort_by_key(|&index| Reverse(eligible[index].rendezvous_hash));
    let position = by_rendezvous_hash
        .iter()
        .position(|&index| within_bound(&eligible[index]))?;
    let reason = if position == 0 {
        ChoiceReason::PrefixHash
    } else {
        ChoiceReason::BoundedLoad
    };
    Some((by_rendezvous_hash[position], reason))
}
