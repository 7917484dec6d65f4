//! Diagnostics: lines of the log file about changes of the fleet, with cause and effect.

use serde::Serialize;

use crate::id::EndpointId;
use crate::id::Fence;
use crate::id::InstanceId;
use crate::id::ModelId;
use crate::id::Offset;
use crate::id::Revision;
use crate::id::Version;

/// Diagnostic of something that an instance did or learned, and why.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Diagnostic {
    /// A revision of the configuration took effect at this instance.
    RevisionInForce {
        /// Revision.
        revision: Revision,
        /// Source of the revision: the log or a peer.
        source: &'static str,
    },
    /// A publication was rejected.
    PublicationRejected {
        /// Id of the publication.
        publication: String,
        /// Why it was rejected.
        reason: String,
    },
    /// A record of the log could not be decoded and was skipped.
    RecordDamaged {
        /// Stream.
        stream: &'static str,
        /// Offset of the record.
        offset: Offset,
    },
    /// The log no longer answers.
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
        /// Cause of the change.
        cause: String,
    },
    /// This instance became the coordinator of an endpoint.
    StewardTaken {
        /// Endpoint.
        endpoint: EndpointId,
    },
    /// This instance is no longer the coordinator of an endpoint.
    StewardLeft {
        /// Endpoint.
        endpoint: EndpointId,
        /// New coordinator, if any.
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
        /// Cause of the change.
        cause: &'static str,
    },
    /// An endpoint crashed with requests in progress.
    EndpointCrashed {
        /// Endpoint.
        endpoint: EndpointId,
        /// Number of requests in progress, which are now suspects.
        suspects: usize,
    },
    /// A request was quarantined because it crashed endpoints.
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
    /// An endpoint rejected an order because its fencing number was outdated.
    OrderFenced {
        /// Endpoint.
        endpoint: EndpointId,
        /// Rejected fencing number.
        fence: Fence,
    },
    /// This instance acquired the lease of an endpoint.
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
        /// New holder.
        to: InstanceId,
    },
    /// The process was paused; it polls endpoints and instances again before sending anything new.
    Paused {
        /// Time without events in milliseconds.
        gap_ms: u64,
    },
    /// The instance started to shut down.
    ShutdownBegun {
        /// Number of requests in progress.
        in_progress: usize,
    },
    /// The instance finished all work and exits.
    ShutdownDone,
}
