//! Readiness, counters and status of an instance.

use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::membership::MemberState;
use wisteriaford_proto::record::Publication;

use super::Instance;
use super::NotReady;
use crate::counters::Counters;
use crate::id::Revision;
use crate::id::Version;
use crate::reply::EndpointStatus;
use crate::reply::MemberStatus;
use crate::reply::Status;
use crate::settings::Endpoint;

impl Instance {
    /// Checks whether the instance accepts requests.
    ///
    /// # Errors
    ///
    /// Returns the reason if it does not.
    pub fn ready(&self) -> Result<(), NotReady> {
        if self.is_leaving {
            return Err(NotReady::Leaving);
        }
        if !self.has_confirmed_configuration() {
            return Err(NotReady::NoConfiguration);
        }
        Ok(())
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn configuration_in_force(&self) -> Option<(Revision, Box<Publication>)> {
        let current = self.fold.current()?;
        let publication = Publication::clone(&current.publication);
        Some((current.revision, Box::new(publication)))
    }

    pub(super) fn status(&self) -> Status {
        let members = self.membership.members().map(|member| MemberStatus {
            id: member.id.clone(),
            address: member.address.clone(),
            availability_zone: member.availability_zone.as_str().into(),
            state: member_state_name(member.state),
            incarnation: member.incarnation.0,
        });
        let endpoints = self.settings.endpoints.values();
        Status {
            revision: self.fold.revision(),
            ready: self.ready().is_ok(),
            leaving: self.is_leaving,
            log_up: self.log_up,
            members: members.collect(),
            endpoints: endpoints
                .map(|endpoint| self.endpoint_status(endpoint))
                .collect(),
        }
    }

    fn endpoint_status(&self, endpoint: &Endpoint) -> EndpointStatus {
        let state = self.exchange.endpoint_state(&endpoint.id);
        let availability = state.map(wisteriaford_proto::fleet::EndpointState::availability);
        EndpointStatus {
            endpoint: endpoint.id.clone(),
            pool: endpoint.pool.clone(),
            version: Version(state.map_or(0, |state| state.version)),
            in_flight: state.map_or(0, |state| state.in_flight),
            queued: state.map_or(0, |state| state.queued),
            availability: availability.map_or("unknown", availability_name),
            coordinator: self.coordinator_of(&endpoint.id),
        }
    }
}

/// Returns the stable name of an availability.
pub(super) const fn availability_name(availability: Availability) -> &'static str {
    match availability {
        Availability::Serving => "serving",
        Availability::Swapping => "swapping",
        Availability::EndpointLeaving => "leaving",
        Availability::Down => "down",
    }
}

/// Returns the stable name of a member state.
pub(super) const fn member_state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}
