//! Which instance has which duty, by rendezvous hash over the members that are alive.
//!
//! A duty moves only when its instance goes or a new one outranks it. Views may differ for
//! seconds: two instances may then have the same duty, which costs efficiency alone.

use compact_str::CompactString;
use indexmap::IndexMap;
use wisteriaford_proto::settings::EndpointKind;

use crate::hash::rendezvous_rank;
use crate::id::AvailabilityZone;
use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::Region;
use crate::id::StepKey;
use crate::membership::Member;
use crate::settings::Endpoint;

/// Instance that may have duties.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Unique id.
    pub id: InstanceId,
    /// Address that it listens at for peers.
    pub address: CompactString,
    /// Availability zone it runs in.
    pub availability_zone: AvailabilityZone,
    /// Region it runs in.
    pub region: Region,
}

impl From<&Member> for Candidate {
    fn from(member: &Member) -> Self {
        Self {
            id: member.id.clone(),
            address: member.address.clone(),
            availability_zone: member.availability_zone.clone(),
            region: member.region.clone(),
        }
    }
}

/// Place of an endpoint, near which its steward should be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointPlace {
    /// Endpoint.
    pub id: EndpointId,
    /// Kind of program.
    pub kind: EndpointKind,
    /// Availability zone it runs in.
    pub availability_zone: AvailabilityZone,
    /// Region it runs in.
    pub region: Region,
}

impl From<&Endpoint> for EndpointPlace {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            id: endpoint.id.clone(),
            kind: endpoint.kind,
            availability_zone: endpoint.availability_zone.clone(),
            region: endpoint.region.clone(),
        }
    }
}

/// Rule that gives duties to instances.
pub trait Placement {
    /// Returns the steward of an endpoint, none if no instance may have duties.
    fn steward(&self, endpoint: &EndpointPlace) -> Option<&Candidate>;

    /// Returns the owner of a step, which gathers its samples.
    fn owner(&self, step: &StepKey) -> Option<&Candidate>;

    /// Returns the keeper of a step, which holds second copies; never the owner.
    fn keeper(&self, step: &StepKey) -> Option<&Candidate>;
}

/// Placement by rendezvous hash.
///
/// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
#[derive(Clone, Debug, Default)]
pub struct Rendezvous {
    candidates: Vec<Candidate>,
}

impl Rendezvous {
    /// Makes a placement over the instances that may have duties, in any order.
    #[must_use]
    pub fn new(candidates: Vec<Candidate>) -> Self {
        Self { candidates }
    }

    /// Returns the instances that may have duties.
    #[must_use]
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    fn highest(&self, key: &str, fits: impl Fn(&Candidate) -> bool) -> Option<&Candidate> {
        let fitting = self.candidates.iter().filter(|candidate| fits(candidate));
        // The id decides between equal hashes, so that all instances agree.
        fitting.max_by_key(|c| (rendezvous_rank(key, c.id.as_str()), &c.id))
    }
}

/// Stewards of all endpoints, kept as instances come and go.
///
/// A change of the instances costs in proportion to those that came and went, not to all.
#[derive(Clone, Debug, Default)]
pub struct StewardTable {
    places: Vec<EndpointPlace>,
    candidates: IndexMap<InstanceId, Candidate>,
    stewards: IndexMap<EndpointId, InstanceId>,
}

impl StewardTable {
    /// Returns the steward of an endpoint.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointId) -> Option<&InstanceId> {
        self.stewards.get(endpoint)
    }

    /// Sets the endpoints that need stewards.
    pub fn set_endpoints(&mut self, places: Vec<EndpointPlace>, placement: &Rendezvous) {
        self.places = places;
        self.candidates = by_id(placement);
        self.stewards.clear();
        for place in &self.places {
            if let Some(steward) = placement.steward(place) {
                self.stewards.insert(place.id.clone(), steward.id.clone());
            }
        }
    }

    /// Follows a change of the instances.
    pub fn set_candidates(&mut self, placement: &Rendezvous) {
        let before = std::mem::replace(&mut self.candidates, by_id(placement));
        let now = &self.candidates;
        let stays = |id: &InstanceId| before.get(id).filter(|known| now.get(id) == Some(known));
        let came: Vec<&Candidate> = now.values().filter(|c| stays(&c.id).is_none()).collect();
        if came.is_empty() && now.len() == before.len() {
            return;
        }
        for place in &self.places {
            let known = self.stewards.get(&place.id).and_then(stays);
            let steward = match known {
                Some(known) => {
                    let contenders = came.iter().copied().chain(std::iter::once(known));
                    contenders.max_by_key(|candidate| fitness(place, candidate))
                }
                None => placement.steward(place),
            };
            match steward {
                Some(steward) => self.stewards.insert(place.id.clone(), steward.id.clone()),
                None => self.stewards.swap_remove(&place.id),
            };
        }
    }
}

fn by_id(placement: &Rendezvous) -> IndexMap<InstanceId, Candidate> {
    let candidates = placement.candidates().iter();
    candidates.map(|c| (c.id.clone(), c.clone())).collect()
}

/// Orders candidates for the steward of an endpoint: its zone, its region, the hash, the id.
fn fitness<'a>(
    place: &EndpointPlace,
    candidate: &'a Candidate,
) -> (bool, bool, u64, &'a InstanceId) {
    let in_zone = candidate.availability_zone == place.availability_zone;
    let in_region = candidate.region == place.region;
    let rank = rendezvous_rank(place.id.as_str(), candidate.id.as_str());
    (in_zone, in_region, rank, &candidate.id)
}

impl<'a> FromIterator<&'a Member> for Rendezvous {
    fn from_iter<I: IntoIterator<Item = &'a Member>>(members: I) -> Self {
        Self::new(members.into_iter().map(Candidate::from).collect())
    }
}

impl Placement for Rendezvous {
    fn steward(&self, endpoint: &EndpointPlace) -> Option<&Candidate> {
        let key = endpoint.id.as_str();
        let in_zone = |c: &Candidate| c.availability_zone == endpoint.availability_zone;
        let in_region = |c: &Candidate| c.region == endpoint.region;
        self.highest(key, in_zone)
            .or_else(|| self.highest(key, in_region))
            .or_else(|| self.highest(key, |_| true))
    }

    fn owner(&self, step: &StepKey) -> Option<&Candidate> {
        self.highest(&step.to_string(), |_| true)
    }

    /// Prefers another availability zone of the owner's region, so that the loss of a zone costs
    /// no copy and a copy crosses no region; then any other zone, then any other instance.
    fn keeper(&self, step: &StepKey) -> Option<&Candidate> {
        let owner = self.owner(step)?;
        let key = format!("{step}/copy");
        let other = |c: &Candidate| c.id != owner.id;
        let other_zone = |c: &Candidate| c.availability_zone != owner.availability_zone;
        self.highest(&key, |c| other_zone(c) && c.region == owner.region)
            .or_else(|| self.highest(&key, other_zone))
            .or_else(|| self.highest(&key, other))
    }
}
