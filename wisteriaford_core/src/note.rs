//! What is worth a line in the log file: changes of the fleet with cause and effect.

use serde::Serialize;

use crate::id::EndpointId;
use crate::id::Fence;
use crate::id::InstanceId;
use crate::id::ModelId;
use crate::id::Offset;
use crate::id::Revision;
use crate::id::Version;

/// One line of what an instance did or learnt, and why.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Note {
    /// A revision of the configuration is in force here.
    RevisionInForce {
        /// Revision.
        revision: Revision,
        /// Where it was learnt: the log or a peer.
        source: &'static str,
    },
    /// A publication was rejected.
    PublicationRejected {
        /// Publication.
        publication: String,
        /// Why.
        reason: String,
    },
    /// A record of the log could not be understood and was skipped.
    RecordDamaged {
        /// Stream.
        stream: &'static str,
        /// Offset.
        offset: Offset,
    },
    /// The log stopped answering.
    LogDown {
        /// Stream that was read.
        stream: &'static str,
    },
    /// The log answers again.
    LogUp {
        /// Stream that was read.
        stream: &'static str,
    },
    /// A member of the fleet changed its state.
    MemberChanged {
        /// Member.
        member: InstanceId,
        /// State before.
        from: &'static str,
        /// State now.
        to: &'static str,
        /// Why.
        cause: String,
    },
    /// This instance became the steward of an endpoint.
    StewardTaken {
        /// Endpoint.
        endpoint: EndpointId,
    },
    /// This instance is no longer the steward of an endpoint.
    StewardLeft {
        /// Endpoint.
        endpoint: EndpointId,
        /// Steward now.
        to: Option<InstanceId>,
    },
    /// An endpoint changed its availability.
    EndpointChanged {
        /// Endpoint.
        endpoint: EndpointId,
        /// Availability before.
        from: &'static str,
        /// Availability now.
        to: &'static str,
        /// Why.
        cause: &'static str,
    },
    /// An endpoint crashed with requests in progress.
    EndpointCrashed {
        /// Endpoint.
        endpoint: EndpointId,
        /// Requests in progress, which are suspects now.
        suspects: usize,
    },
    /// A request is refused from now on as it crashed endpoints.
    RequestQuarantined {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// A new version of a model was announced.
    VersionAnnounced {
        /// Model.
        model: ModelId,
        /// Version.
        version: Version,
    },
    /// An endpoint was ordered to reach a version.
    SwapOrdered {
        /// Endpoint.
        endpoint: EndpointId,
        /// Version.
        version: Version,
        /// Fencing number.
        fence: Fence,
    },
    /// An endpoint reached a version.
    SwapDone {
        /// Endpoint.
        endpoint: EndpointId,
        /// Version.
        version: Version,
    },
    /// An endpoint failed to reach a version.
    SwapFailed {
        /// Endpoint.
        endpoint: EndpointId,
        /// Version.
        version: Version,
    },
    /// An endpoint refused an order as its fencing number was old.
    OrderFenced {
        /// Endpoint.
        endpoint: EndpointId,
        /// Fencing number that it refused.
        fence: Fence,
    },
    /// This instance holds the lease of an endpoint.
    LeaseTaken {
        /// Endpoint.
        endpoint: EndpointId,
        /// Fencing number.
        fence: Fence,
    },
    /// The lease of an endpoint went to another instance.
    LeaseLost {
        /// Endpoint.
        endpoint: EndpointId,
        /// Holder now.
        to: InstanceId,
    },
    /// The process was paused; it looks again before it sends anything new.
    Paused {
        /// Time without an event, in milliseconds.
        gap_ms: u64,
    },
    /// The instance began to shut down.
    ShutdownBegun {
        /// Requests in progress.
        in_progress: usize,
    },
    /// The instance finished everything and exits.
    ShutdownDone,
}
