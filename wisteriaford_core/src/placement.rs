//! Assignment of endpoints and steps to instances, by rendezvous hashing over the alive members.
//!
//! An assignment changes only when its instance goes away or a new one ranks higher. Views of the
//! membership may differ for seconds; two instances may then have the same assignment, which only
//! reduces efficiency.

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

/// Instance to which endpoints and steps may be assigned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Unique id.
    pub id: InstanceId,
    /// Address on which it listens for peers.
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

/// Location of an endpoint, near which its coordinator should run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointLocation {
    /// Endpoint.
    pub id: EndpointId,
    /// Kind of endpoint.
    pub kind: EndpointKind,
    /// Availability zone it runs in.
    pub availability_zone: AvailabilityZone,
    /// Region it runs in.
    pub region: Region,
}

impl From<&Endpoint> for EndpointLocation {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            id: endpoint.id.clone(),
            kind: endpoint.kind,
            availability_zone: endpoint.availability_zone.clone(),
            region: endpoint.region.clone(),
        }
    }
}

/// Assignment of endpoints and steps to instances.
pub trait Placement {
    /// Returns the coordinator of an endpoint, none if there are no candidates.
    fn coordinator(&self, endpoint: &EndpointLocation) -> Option<&Candidate>;

    /// Returns the owner of a step, which collects its samples.
    fn owner(&self, step: &StepKey) -> Option<&Candidate>;

    /// Returns the replica of a step, which holds second copies of its samples.
    ///
    /// It is never the owner.
    fn replica(&self, step: &StepKey) -> Option<&Candidate>;
}

/// Placement by rendezvous hashing.
///
/// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
#[derive(Clone, Debug, Default)]
pub struct Rendezvous {
    candidates: Vec<Candidate>,
}

impl Rendezvous {
    /// Creates a placement over the given candidates, in any order.
    #[must_use]
    pub fn new(candidates: Vec<Candidate>) -> Self {
        Self { candidates }
    }

    /// Returns the candidates.
    #[must_use]
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    fn highest_ranked(
        &self,
        key: &str,
        is_eligible: impl Fn(&Candidate) -> bool,
    ) -> Option<&Candidate> {
        let eligible = self
            .candidates
            .iter()
            .filter(|candidate| is_eligible(candidate));
        // The id breaks ties between equal hashes, so that all instances agree.
        eligible.max_by_key(|c| (rendezvous_rank(key, c.id.as_str()), &c.id))
    }
}

/// Coordinators of all endpoints, updated as candidates are added and removed.
///
/// The cost of an update depends on the number of candidates added and removed, not on their total.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorTable {
    locations: Vec<EndpointLocation>,
    candidates: IndexMap<InstanceId, Candidate>,
    coordinators: IndexMap<EndpointId, InstanceId>,
}

impl CoordinatorTable {
    /// Returns the coordinator of an endpoint.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointId) -> Option<&InstanceId> {
        self.coordinators.get(endpoint)
    }

    /// Sets the endpoints that need a coordinator.
    pub fn set_endpoints(&mut self, locations: Vec<EndpointLocation>, placement: &Rendezvous) {
        self.locations = locations;
        self.candidates = by_id(placement);
        self.coordinators.clear();
        for location in &self.locations {
            if let Some(coordinator) = placement.coordinator(location) {
                self.coordinators
                    .insert(location.id.clone(), coordinator.id.clone());
            }
        }
    }

    /// Updates the coordinators after a change of the candidates.
    pub fn set_candidates(&mut self, placement: &Rendezvous) {
        let before = std::mem::replace(&mut self.candidates, by_id(placement));
        let now = &self.candidates;
        let unchanged = |id: &InstanceId| before.get(id).filter(|old| now.get(id) == Some(old));
        let added: Vec<&Candidate> = now
            .values()
            .filter(|c| unchanged(&c.id).is_none())
            .collect();
        if added.is_empty() && now.len() == before.len() {
            return;
        }
        for location in &self.locations {
            let current = self.coordinators.get(&location.id).and_then(unchanged);
            let coordinator = match current {
                Some(current) => {
                    let contenders = added.iter().copied().chain(std::iter::once(current));
                    contenders.max_by_key(|candidate| preference(location, candidate))
                }
                None => placement.coordinator(location),
            };
            match coordinator {
                Some(coordinator) => self
                    .coordinators
                    .insert(location.id.clone(), coordinator.id.clone()),
                None => self.coordinators.swap_remove(&location.id),
            };
        }
    }
}

fn by_id(placement: &Rendezvous) -> IndexMap<InstanceId, Candidate> {
    let candidates = placement.candidates().iter();
    candidates.map(|c| (c.id.clone(), c.clone())).collect()
}

/// Returns the sort key by which the coordinator of an endpoint is chosen, highest first.
///
/// Candidates in its availability zone come first, then those in its region; the hash and then
/// the id decide among equals.
fn preference<'a>(
    location: &EndpointLocation,
    candidate: &'a Candidate,
) -> (bool, bool, u64, &'a InstanceId) {
    let in_zone = candidate.availability_zone == location.availability_zone;
    let in_region = candidate.region == location.region;
    let rank = rendezvous_rank(location.id.as_str(), candidate.id.as_str());
    (in_zone, in_region, rank, &candidate.id)
}

impl<'a> FromIterator<&'a Member> for Rendezvous {
    fn from_iter<I: IntoIterator<Item = &'a Member>>(members: I) -> Self {
        Self::new(members.into_iter().map(Candidate::from).collect())
    }
}

impl Placement for Rendezvous {
    fn coordinator(&self, endpoint: &EndpointLocation) -> Option<&Candidate> {
        let key = endpoint.id.as_str();
        let in_zone = |c: &Candidate| c.availability_zone == endpoint.availability_zone;
        let in_region = |c: &Candidate| c.region == endpoint.region;
        self.highest_ranked(key, in_zone)
            .or_else(|| self.highest_ranked(key, in_region))
            .or_else(|| self.highest_ranked(key, |_| true))
    }

    fn owner(&self, step: &StepKey) -> Option<&Candidate> {
        self.highest_ranked(&step.to_string(), |_| true)
    }

    /// Prefers another availability zone of the owner's region, so that the loss of a zone does not
    /// lose both copies and copies do not cross regions. Falls back to any other zone, then to any
    /// other instance.
    fn replica(&self, step: &StepKey) -> Option<&Candidate> {
        let owner = self.owner(step)?;
        let key = format!("{step}/copy");
        let is_other = |c: &Candidate| c.id != owner.id;
        let other_zone = |c: &Candidate| c.availability_zone != owner.availability_zone;
        self.highest_ranked(&key, |c| other_zone(c) && c.region == owner.region)
            .or_else(|| self.highest_ranked(&key, other_zone))
            .or_else(|| self.highest_ranked(&key, is_other))
    }
}
