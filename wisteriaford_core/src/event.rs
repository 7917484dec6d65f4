//! Input events of an instance.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use wisteriaford_proto::peer::PeerMessage;

use crate::id::AttemptId;
use crate::id::AvailabilityZone;
use crate::id::CallerId;
use crate::id::EndpointId;
use crate::id::Incarnation;
use crate::id::InstanceId;
use crate::id::ModelId;
use crate::id::Offset;
use crate::id::PoolId;
use crate::id::PullNumber;
use crate::id::Region;
use crate::id::RequestId;
use crate::id::RouteId;
use crate::id::StepNumber;
use crate::id::Version;
use crate::membership::ListedInstance;
use crate::refusal::RetryReason;
use crate::routing::CacheEvent;
use crate::step::Score;
use crate::step::ScoreFailure;
use crate::step::ScoreTicket;
use crate::step::StepSpec;

/// Event handled by [`crate::instance::Instance::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; required at least every [`crate::instance::TICK_INTERVAL`].
    Tick,
    /// A peer sent a message.
    Peer(PeerMessage),
    /// A caller sent a request; the ticket identifies the answer.
    Caller(Ticket, CallerRequest),
    /// A caller disconnected before its answer.
    CallerDisconnected(Ticket),
    /// An endpoint sent something for an attempt, or the attempt failed.
    Attempt(AttemptId, AttemptEvent),
    /// An endpoint was polled for its state.
    Polled(EndpointId, Result<EndpointReport, PollFailure>),
    /// Changes of an endpoint's prefix cache were read.
    CacheRead(EndpointId, Result<CacheRead, PollFailure>),
    /// An endpoint answered an order, or failed to.
    OrderAnswered(EndpointId, OrderAnswer),
    /// The log was read.
    LogRead(LogStream, Result<LogRead, LogFailure>),
    /// An append to the log completed or failed.
    Appended(AppendId, Result<Offset, LogFailure>),
    /// The platform's list of instances was read.
    InstancesListed(Vec<ListedInstance>),
    /// The weight store announced the newest version of a model.
    VersionAnnounced(ModelId, Version),
    /// A scorer answered or failed.
    Scored(ScoreTicket, Result<Vec<Score>, ScoreFailure>),
    /// A graceful shutdown was requested.
    Shutdown,
}

/// Identifies a caller's open request within an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Identifies an append within an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AppendId(pub u64);

/// Stream of the log.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LogStream {
    /// Publications of the configuration.
    Configuration,
    /// Leases of endpoints.
    Leases,
    /// Claims of non-idempotent requests.
    Claims,
}

impl LogStream {
    /// All streams.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Leases, Self::Claims];

    /// Returns how long a reader pauses after a read that returned records.
    ///
    /// Many claims are appended per second, and each would complete a pending read of every
    /// instance; the pause lets the next read return them as a batch. The other streams are rarely
    /// appended to.
    #[must_use]
    pub const fn pause_after_records(self) -> Duration {
        match self {
            Self::Configuration | Self::Leases => Duration::ZERO,
            Self::Claims => Duration::from_millis(100),
        }
    }

    /// Returns the name of the stream in the platform's log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Configuration => "wisteriaford-configuration",
            Self::Leases => "wisteriaford-leases",
            Self::Claims => "wisteriaford-claims",
        }
    }
}

/// Request of a caller.
#[derive(Clone, Debug)]
pub enum CallerRequest {
    /// Generates tokens and answers when all are complete.
    Generate {
        /// Id that the caller gave, if any.
        request: Option<RequestId>,
        /// Caller.
        caller: CallerId,
        /// Pool of model engines.
        pool: PoolId,
        /// Prompt.
        prompt: Arc<str>,
        /// Most tokens of the answer.
        max_tokens: u32,
        /// Timeout, if the caller set one.
        timeout: Option<Duration>,
    },
    /// Calls a plain service.
    Call {
        /// Id that the caller gave, if any.
        request: Option<RequestId>,
        /// Caller.
        caller: CallerId,
        /// Route.
        route: RouteId,
        /// Body.
        body: Bytes,
        /// Content type.
        content_type: CompactString,
        /// Idempotency key that identifies repeats of the call.
        key: Option<CompactString>,
        /// Whether the caller states that it has not sent this call before.
        first_attempt: bool,
        /// Timeout, if the caller set one; at most the route's.
        timeout: Option<Duration>,
    },
    /// Pulls finished samples of a step.
    Pull {
        /// Trainer.
        trainer: CallerId,
        /// Step.
        step: StepNumber,
        /// Pool of model engines.
        pool: PoolId,
        /// Number of the pull.
        pull: PullNumber,
        /// Version of the weights that the trainer currently has.
        current_version: Version,
        /// Bit set of the indices that the trainer has received.
        received: Vec<u8>,
        /// Longest time to wait for samples.
        wait: Duration,
        /// Definition of the step, if the trainer includes it.
        spec: Option<Arc<StepSpec>>,
    },
    /// Requests the decisions about a request.
    Explain(RequestId),
    /// Requests the shares of the callers.
    Shares,
    /// Requests the state of the instance.
    Status,
    /// Requests the configuration in force.
    Configuration,
}

/// Event of an attempt at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEvent {
    /// Tokens were received.
    Tokens {
        /// Index of the first token.
        from_token: u32,
        /// Number of tokens.
        tokens: u32,
        /// Text of the tokens.
        text: String,
        /// Version of the weights that generated them, as reported by the endpoint.
        version: Version,
    },
    /// The stream ended with a complete answer.
    Finished {
        /// Number of tokens of the complete answer.
        total_tokens: u32,
    },
    /// A plain service answered.
    Answered {
        /// Status code of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: CompactString,
        /// Body of the answer.
        body: Vec<u8>,
    },
    /// The attempt failed.
    Failed(AttemptFailure),
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptFailure {
    /// No connection was established, so no byte reached the endpoint.
    NotConnected,
    /// The endpoint reported that it did not run the request because it was overloaded.
    Overloaded,
    /// The endpoint reported that it did not run the request because it is loading weights.
    Swapping,
    /// The endpoint reported that it did not run the request because it is leaving.
    Leaving,
    /// The connection was lost after part of the request may have been sent.
    Broken,
    /// No data arrived within the pool's silence timeout.
    Silent,
    /// The endpoint's answer was malformed.
    Malformed,
}

impl AttemptFailure {
    /// Returns whether the failure proves that the endpoint did not run the request.
    #[must_use]
    pub const fn proves_not_run(self) -> bool {
        match self {
            Self::NotConnected | Self::Overloaded | Self::Swapping | Self::Leaving => true,
            Self::Broken | Self::Silent | Self::Malformed => false,
        }
    }

    /// Returns the reason by which a retry after this failure is counted.
    #[must_use]
    pub const fn retry_reason(self) -> RetryReason {
        match self {
            Self::NotConnected => RetryReason::ConnectFailed,
            Self::Overloaded => RetryReason::EndpointOverloaded,
            Self::Swapping => RetryReason::EndpointSwapping,
            Self::Leaving => RetryReason::EndpointLeaving,
            Self::Broken | Self::Malformed => RetryReason::ConnectionLost,
            Self::Silent => RetryReason::Silence,
        }
    }
}

/// State of an endpoint as it reported it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointReport {
    /// Incarnation of the endpoint's process; changes with each restart.
    pub incarnation: Incarnation,
    /// Version of the weights that the endpoint runs.
    pub version: Version,
    /// Version that the endpoint is loading; 0 if none.
    pub loading_version: Version,
    /// Requests in progress.
    pub running: u32,
    /// Requests waiting inside the endpoint.
    pub waiting: u32,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Age of the report.
    pub age: Duration,
}

/// Changes of an endpoint's prefix cache; the sequence may have gaps.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheRead {
    /// Changes, ordered by sequence number.
    pub events: Vec<CacheEvent>,
    /// Sequence number from which to read next.
    pub next: u64,
}

/// Why a poll of an endpoint returned no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollFailure {
    /// No connection was established; nothing listens at the endpoint's address.
    Refused,
    /// The endpoint did not answer in time.
    TimedOut,
    /// The answer was malformed.
    Malformed,
}

/// Answer of an endpoint to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The endpoint accepted the order.
    Accepted,
    /// The endpoint rejected the order because it has seen a higher fencing number.
    Fenced,
    /// The endpoint gave no valid answer; it may have accepted the order.
    Unknown,
}

/// Records read from a stream of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogRead {
    /// Oldest offset that the log retains.
    pub first_offset: Offset,
    /// Offset of the next record to be appended.
    pub next_offset: Offset,
    /// Records, ordered by offset.
    pub records: Vec<LogRecord>,
}

/// Record as stored in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: Offset,
    /// Time of the append in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Encoded `wisteriaford.record.Record`.
    pub data: Vec<u8>,
}

/// Why an operation on the log failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFailure {
    /// The log was not reached, so nothing was appended.
    NotReached,
    /// The answer was lost; an append may have taken effect.
    AnswerLost,
    /// The log's rate limit was exceeded; nothing was appended.
    RateLimited,
}

/// Identity of an instance, as configured.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceIdentity {
    /// Unique id.
    pub id: InstanceId,
    /// Address for peers: IP address and port.
    pub address: CompactString,
    /// Availability zone in which the instance runs.
    pub availability_zone: AvailabilityZone,
    /// Region in which the instance runs.
    pub region: Region,
    /// Incarnation of the instance; increases with each restart.
    pub incarnation: Incarnation,
}
