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
    /// Complete answer of a model engine.
    Generated(GenerationResponse),
    /// Complete answer of a plain service.
    Called(CallResponse),
    /// Finished samples of a step.
    Pulled(PullAnswer),
    /// Decisions about a request; `None` if the instance has no record of it.
    Explained(Option<Vec<(Timestamp, Decision)>>),
    /// Shares of the callers.
    Shares {
        /// Length of the window over which shares are counted.
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

/// Complete answer of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct GenerationResponse {
    /// Request.
    pub request: RequestId,
    /// Text.
    pub text: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Versions of the weights that generated the text, in token order.
    pub spans: Vec<VersionSpan>,
    /// Endpoint that completed the answer.
    pub endpoint: EndpointId,
}

/// Complete answer of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResponse {
    /// Request.
    pub request: RequestId,
    /// HTTP status code.
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
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// Whether the instance is shutting down.
    pub leaving: bool,
    /// Whether the log answered the last read; `None` before the first read.
    pub log_up: Option<bool>,
    /// Members of the fleet as seen by this instance.
    pub members: Vec<MemberStatus>,
    /// Endpoints as seen by this instance.
    pub endpoints: Vec<EndpointStatus>,
}

/// State of a member of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// Unique id.
    pub id: InstanceId,
    /// Address for peers.
    pub address: CompactString,
    /// Availability zone.
    pub availability_zone: CompactString,
    /// Stable name of the member's state.
    pub state: &'static str,
    /// Incarnation of the instance.
    pub incarnation: u64,
}

/// State of a configured endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Pool of the endpoint.
    pub pool: PoolId,
    /// Version of the weights that the endpoint runs.
    pub version: Version,
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Stable name of the endpoint's availability.
    pub availability: &'static str,
    /// Coordinator of the endpoint, if known.
    pub coordinator: Option<InstanceId>,
}
