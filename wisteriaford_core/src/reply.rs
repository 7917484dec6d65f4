//! Answers to callers.

use std::time::Duration;

use compact_str::CompactString;
use wisteriaford_proto::record::Publication;
use wisteriaford_proto::step::VersionSpan;

use crate::explain::Decision;
use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::PoolId;
use crate::id::RequestId;
use crate::id::Revision;
use crate::id::Version;
use crate::refusal::Refusal;
use crate::shares::CallerShare;
use crate::step::PullAnswer;
use crate::time::Timestamp;

/// Final answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Whole answer of a model engine.
    Generated(Generated),
    /// Whole answer of a plain service.
    Called(Called),
    /// Finished samples of a step.
    Pulled(PullAnswer),
    /// Decisions about a request; none if the instance does not know it.
    Explained(Option<Vec<(Timestamp, Decision)>>),
    /// Shares of the callers.
    Shares {
        /// Length of the window that they are counted over.
        window: Duration,
        /// Share of each caller.
        shares: Vec<CallerShare>,
    },
    /// State of the instance.
    Status(Box<Status>),
    /// Configuration in force, if there is one.
    Configuration(Option<(Revision, Box<Publication>)>),
    /// The request was refused or failed.
    Refused(Option<RequestId>, Refusal),
}

/// Whole answer of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Generated {
    /// Request.
    pub request: RequestId,
    /// Text.
    pub text: String,
    /// Tokens.
    pub tokens: u32,
    /// Versions that made it, in the order of the tokens.
    pub spans: Vec<VersionSpan>,
    /// Endpoint that finished it.
    pub endpoint: EndpointId,
}

/// Whole answer of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Called {
    /// Request.
    pub request: RequestId,
    /// Status code.
    pub status: u16,
    /// Content type.
    pub content_type: CompactString,
    /// Body.
    pub body: Vec<u8>,
    /// Endpoint that answered.
    pub endpoint: EndpointId,
}

/// State of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Revision in force.
    pub revision: Revision,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether the log answered the last read; none before the first.
    pub log_up: Option<bool>,
    /// Members of the fleet as it sees them.
    pub members: Vec<MemberStatus>,
    /// Endpoints as it sees them.
    pub endpoints: Vec<EndpointStatus>,
}

/// Member of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// Unique id.
    pub id: InstanceId,
    /// Address for peers.
    pub address: CompactString,
    /// Availability zone.
    pub availability_zone: CompactString,
    /// Stable name of its state.
    pub state: &'static str,
    /// Run of the instance.
    pub incarnation: u64,
}

/// Endpoint of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its pool.
    pub pool: PoolId,
    /// Version of the weights it runs.
    pub version: Version,
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests that wait for it.
    pub queued: u32,
    /// Stable name of its availability.
    pub availability: &'static str,
    /// Instance that grants its slots.
    pub steward: Option<InstanceId>,
}
