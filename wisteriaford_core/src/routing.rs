//! Choice of the endpoints that an entry asks for a slot.
//!
//! A prefix goes to the endpoint that is known to cache it, else to the first of its rendezvous
//! order, so that entries agree without talking; an endpoint whose load is above the bound is
//! passed over. A request without a prefix goes to the least loaded.
//!
//! Source of the bound: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
//! Loads", 2016.

mod cache;
mod load;

use std::cmp::Reverse;

use indexmap::IndexMap;
use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::fleet::EndpointState;

use self::cache::PrefixCache;
use self::load::Load;
use crate::hash::hash_parts;
use crate::id::AvailabilityZone;
use crate::id::EndpointId;
use crate::id::Version;
use crate::refusal::RefusalReason;
use crate::settings::Endpoint;
use crate::time::Timestamp;

pub use self::cache::CacheChange;
pub use self::cache::CacheEvent;
pub use self::cache::MAX_PREFIXES;
pub use self::load::REPORT_LAG;

/// Load above the mean of the candidates at which a prefix goes elsewhere, in percent.
pub const BOUND_PERCENT: u64 = 125;
/// Parts of a slot that loads are compared in.
const LOAD_SCALE: u64 = 1_000;

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, PartialEq)]
pub enum ChoiceReason {
    /// It is known to cache the prefix.
    #[display("cached_prefix")]
    CachedPrefix,
    /// It is the first of the prefix's rendezvous order.
    #[display("prefix_hash")]
    PrefixHash,
    /// It is a later one of the rendezvous order, since those before it are above the bound.
    #[display("bounded_load")]
    BoundedLoad,
    /// It has the least load.
    #[display("least_loaded")]
    LeastLoaded,
}

/// What a request needs of an endpoint.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Endpoints of the pool, as configured.
    pub candidates: Vec<&'a Endpoint>,
    /// Hash of the prompt's prefix, if the request has one.
    pub prefix_hash: Option<u64>,
    /// Oldest version that may run it, or 0.
    pub oldest_version: Version,
    /// Endpoints that it must not go to, such as those that failed it.
    pub exclude: &'a [EndpointId],
}

/// Endpoint to ask for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Why.
    pub reason: ChoiceReason,
}

#[derive(Clone, Debug, Default)]
struct Known {
    load: Load,
    cache: PrefixCache,
    leaving: bool,
}

/// Candidate with all that its order depends on.
struct Scored<'a> {
    endpoint: &'a Endpoint,
    load: u64,
    slots: u64,
    own_zone: bool,
    cached: bool,
    rank: u64,
}

impl Scored<'_> {
    fn relative_load(&self) -> u64 {
        self.load * LOAD_SCALE / self.slots
    }
}

/// What an entry knows of the endpoints.
#[derive(Clone, Debug)]
pub struct Router {
    availability_zone: AvailabilityZone,
    known: IndexMap<EndpointId, Known>,
}

impl Router {
    /// Returns the router of an entry in `availability_zone`.
    #[must_use]
    pub fn new(availability_zone: AvailabilityZone) -> Self {
        Self {
            availability_zone,
            known: IndexMap::new(),
        }
    }

    /// Forgets endpoints that are configured no more.
    pub fn retain(&mut self, endpoints: &IndexMap<EndpointId, Endpoint>) {
        self.known.retain(|id, _| endpoints.contains_key(id));
    }

    /// Takes the state that a steward gossiped; older reports of it change nothing.
    pub fn report(&mut self, now: Timestamp, state: &EndpointState) {
        let id = EndpointId::from(state.endpoint.as_str());
        self.known.entry(id).or_default().load.report(now, state);
    }

    /// Remembers that an endpoint is leaving, or that it came back with a new incarnation.
    ///
    /// Gossiped state doesn't change this, since it may be older.
    pub fn set_leaving(&mut self, endpoint: &EndpointId, leaving: bool) {
        let known = self.known.entry(endpoint.clone()).or_default();
        known.leaving = leaving;
    }

    /// Counts a request that this entry sends to an endpoint or lets wait there.
    ///
    /// Call it when the ask for a slot goes out, so that a burst doesn't follow one report, and
    /// [`Self::note_released`] once when that ask is denied, withdrawn or its request ended.
    pub fn note_granted(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let known = self.known.entry(endpoint.clone()).or_default();
        known.load.change(now, 1);
    }

    /// Counts a request of this entry that ended at an endpoint.
    pub fn note_released(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let known = self.known.entry(endpoint.clone()).or_default();
        known.load.change(now, -1);
    }

    /// Takes an event of an endpoint's cache; a gap drops what was known of it.
    pub fn cache_event(&mut self, endpoint: &EndpointId, event: CacheEvent) {
        let known = self.known.entry(endpoint.clone()).or_default();
        known.cache.apply(event);
    }

    /// Forgets an endpoint's cache, as after its restart.
    pub fn forget_cache(&mut self, endpoint: &EndpointId) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.cache.clear();
        }
    }

    /// Chooses up to `count` endpoints to ask for a slot, the best first.
    ///
    /// # Errors
    ///
    /// Returns the reason that keeps most candidates out if none is fit.
    pub fn choose(&self, query: &RouteQuery, count: usize) -> Result<Vec<Choice>, RefusalReason> {
        let mut fit = Vec::new();
        let mut unfit: IndexMap<RefusalReason, usize> = IndexMap::new();
        for endpoint in &query.candidates {
            match self.unfit(query, endpoint) {
                Some(reason) => *unfit.entry(reason).or_default() += 1,
                None => fit.push(self.score(query, endpoint)),
            }
        }
        if fit.is_empty() {
            let most = unfit.into_iter().max_by_key(|(_, count)| *count);
            return Err(most.map_or(RefusalReason::NoEndpoint, |(reason, _)| reason));
        }
        Ok(order(fit, query.prefix_hash, count))
    }

    fn unfit(&self, query: &RouteQuery, endpoint: &Endpoint) -> Option<RefusalReason> {
        if query.exclude.contains(&endpoint.id) {
            return Some(RefusalReason::NoEndpoint);
        }
        let known = self.known.get(&endpoint.id);
        if endpoint.leaving || known.is_some_and(|known| known.leaving) {
            return Some(RefusalReason::EndpointLeaving);
        }
        let (availability, version) = known.map_or((Availability::Serving, Version(0)), |known| {
            (known.load.availability, known.load.version)
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

    fn score<'a>(&self, query: &RouteQuery, endpoint: &'a Endpoint) -> Scored<'a> {
        let known = self.known.get(&endpoint.id);
        let prefix = query.prefix_hash;
        let key = prefix.unwrap_or_default().to_le_bytes();
        Scored {
            endpoint,
            load: known.map_or(0, |known| known.load.estimate()),
            slots: u64::try_from(endpoint.slots.max(1)).unwrap_or(u64::MAX),
            own_zone: endpoint.availability_zone == self.availability_zone,
            cached: known
                .zip(prefix)
                .is_some_and(|(known, prefix)| known.cache.contains(prefix)),
            rank: hash_parts(&[&key, endpoint.id.as_str().as_bytes()]),
        }
    }
}

/// Orders candidates and names why each of the first `count` was taken.
fn order(mut fit: Vec<Scored>, prefix_hash: Option<u64>, count: usize) -> Vec<Choice> {
    let bound = load_bound(&fit);
    fit.sort_by_key(|scored| (scored.relative_load(), !scored.own_zone, scored.rank));
    let mut choices = Vec::new();
    if prefix_hash.is_some()
        && let Some((index, reason)) = by_prefix(&fit, bound)
    {
        let scored = fit.remove(index);
        choices.push(choice(&scored, reason));
    }
    let rest = fit.iter();
    choices.extend(rest.map(|scored| choice(scored, ChoiceReason::LeastLoaded)));
    choices.truncate(count);
    choices
}

fn choice(scored: &Scored, reason: ChoiceReason) -> Choice {
    Choice {
        endpoint: scored.endpoint.id.clone(),
        reason,
    }
}

/// Returns the most load that an endpoint may have, one more request included, for each slot.
fn load_bound(fit: &[Scored]) -> u64 {
    let load: u64 = fit.iter().map(|scored| scored.load).sum();
    let slots: u64 = fit.iter().map(|scored| scored.slots).sum();
    (load + 1) * LOAD_SCALE * BOUND_PERCENT / 100 / slots.max(1)
}

/// Returns the candidate that a prefix goes to, or none if all are above the bound.
///
/// An endpoint with free slots is never above it: spreading a prefix pays only against waiting.
fn by_prefix(fit: &[Scored], bound: u64) -> Option<(usize, ChoiceReason)> {
    let below = |scored: &Scored| {
        scored.load < scored.slots || (scored.load + 1) * LOAD_SCALE / scored.slots <= bound
    };
    let cached = fit.iter().position(|scored| scored.cached && below(scored));
    if let Some(index) = cached {
        return Some((index, ChoiceReason::CachedPrefix));
    }
    let mut by_rank: Vec<usize> = (0..fit.len()).collect();
    by_rank.sort_by_key(|&index| Reverse(fit[index].rank));
    let place = by_rank.iter().position(|&index| below(&fit[index]))?;
    let reason = if place == 0 {
        ChoiceReason::PrefixHash
    } else {
        ChoiceReason::BoundedLoad
    };
    Some((by_rank[place], reason))
}
