//! Inputs and outputs of the membership protocol.

use compact_str::CompactString;
use derive_more::Display;
use wisteriaford_proto::membership::MembershipMessage;

use super::Member;
use super::MemberState;
use crate::id::AvailabilityZone;
use crate::id::InstanceId;
use crate::id::Region;

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// In service.
    Live,
    /// Being taken out of service.
    Leaving,
}

/// Instance in the platform's list, which lags behind the actual state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// Unique id.
    pub id: InstanceId,
    /// Address on which it listens for peers.
    pub address: CompactString,
    /// Availability zone it runs in.
    pub availability_zone: AvailabilityZone,
    /// Region it runs in.
    pub region: Region,
    /// State in the list.
    pub state: ListedState,
}

/// Peer that sent a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sender {
    /// Unique id.
    pub id: InstanceId,
    /// Address on which it listens for peers.
    pub address: CompactString,
}

/// Why the state of a member changed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Cause {
    /// A peer reported the state.
    #[display("reported by a peer")]
    Reported,
    /// The member acknowledged neither a direct nor an indirect probe.
    #[display("probe failed")]
    ProbeFailed,
    /// The member did not refute a suspicion in time.
    #[display("suspicion timed out")]
    SuspicionTimeout,
    /// The member has been dead for [`super::DEAD_RETENTION`] and was removed.
    #[display("forgotten")]
    Expired,
}

/// Message to send or change to report.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipOutput {
    /// Send a message.
    Send {
        /// Recipient, if known.
        to: Option<InstanceId>,
        /// Address to send it to.
        address: CompactString,
        /// Message.
        message: MembershipMessage,
    },
    /// The state of another member changed.
    Changed {
        /// Member in its new state.
        member: Member,
        /// Previous state, none if the member was unknown.
        from: Option<MemberState>,
        /// New state, none if the member was removed.
        to: Option<MemberState>,
        /// Cause of the change.
        cause: Cause,
    },
}
