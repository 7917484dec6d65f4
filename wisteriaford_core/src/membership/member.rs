//! Members of the fleet and the precedence of reports about them.

use std::str::FromStr;

use compact_str::CompactString;
pub use wisteriaford_proto::membership::MemberState;

use crate::id::AvailabilityZone;
use crate::id::IdError;
use crate::id::Incarnation;
use crate::id::InstanceId;
use crate::id::Region;

/// One instance of the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Unique id of the instance.
    pub id: InstanceId,
    /// Address on which it listens for peers.
    pub address: CompactString,
    /// Availability zone it runs in.
    pub availability_zone: AvailabilityZone,
    /// Region it runs in.
    pub region: Region,
    /// Raised only by the member itself, to refute a report or after a restart.
    pub incarnation: Incarnation,
    /// State as others see it.
    pub state: MemberState,
}

impl Member {
    /// Returns whether this report about a member supersedes an earlier one.
    ///
    /// A higher incarnation always wins. Within an incarnation, dead overrides leaving, leaving
    /// overrides suspect, and suspect overrides alive.
    ///
    /// Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
    /// Group Membership Protocol", 2002.
    #[must_use]
    pub fn supersedes(&self, earlier: &Self) -> bool {
        let rank = |member: &Self| (member.incarnation, state_rank(member.state));
        rank(self) > rank(earlier)
    }
}

fn state_rank(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Dead => 3,
    }
}

impl From<&Member> for wisteriaford_proto::membership::Member {
    fn from(member: &Member) -> Self {
        Self {
            id: member.id.to_string(),
            address: member.address.to_string(),
            availability_zone: member.availability_zone.to_string(),
            region: member.region.to_string(),
            incarnation: member.incarnation.0,
            state: member.state.into(),
        }
    }
}

impl TryFrom<&wisteriaford_proto::membership::Member> for Member {
    type Error = IdError;

    fn try_from(member: &wisteriaford_proto::membership::Member) -> Result<Self, IdError> {
        Ok(Self {
            id: InstanceId::from_str(&member.id)?,
            address: CompactString::from(member.address.as_str()),
            availability_zone: AvailabilityZone::from_str(&member.availability_zone)?,
            region: Region::from_str(&member.region)?,
            incarnation: Incarnation(member.incarnation),
            state: member.state(),
        })
    }
}
