//! What goes into and comes out of the view.

use compact_str::CompactString;
use derive_more::Display;
use wisteriaford_proto::membership::MembershipMessage;

use super::Member;
use super::MemberState;
use crate::id::AvailabilityZone;
use crate::id::InstanceId;
use crate::id::Region;

/// State that the platform's list gives an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// In service.
    Live,
    /// Being taken out of service.
    Leaving,
}

/// Instance in the platform's lagging list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// Unique id.
    pub id: InstanceId,
    /// Address that it listens at for peers.
    pub address: CompactString,
    /// Availability zone it runs in.
    pub availability_zone: AvailabilityZone,
    /// Region it runs in.
    pub region: Region,
    /// State by the list.
    pub state: ListedState,
}

/// Peer that sent a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sender {
    /// Unique id.
    pub id: InstanceId,
    /// Address that it listens at for peers.
    pub address: CompactString,
}

/// Why the state of a member changed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Cause {
    /// A peer reported it.
    #[display("reported by a peer")]
    Reported,
    /// It did not answer probes, directly or through others.
    #[display("probe failed")]
    ProbeFailed,
    /// It did not refute a suspicion in time.
    #[display("suspicion timed out")]
    SuspicionTimeout,
    /// It has been dead for [`super::FORGET_AFTER`].
    #[display("forgotten")]
    Forgotten,
}

/// What is to be done or has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipOutput {
    /// A message is to be sent.
    Send {
        /// Member that it is for, if known.
        to: Option<InstanceId>,
        /// Address to send it to.
        address: CompactString,
        /// Message.
        message: MembershipMessage,
    },
    /// The state of another member changed.
    Changed {
        /// Member with its new state.
        member: Member,
        /// State before, none if it was not known.
        from: Option<MemberState>,
        /// State after, none if it was forgotten.
        to: Option<MemberState>,
        /// Why.
        cause: Cause,
    },
}
