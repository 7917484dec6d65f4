//! What happens to an instance.

use std::sync::Arc;
use std::time::Duration;

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

/// Something that happened, handed to [`crate::instance::Instance::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; needed at least every [`crate::instance::TICK_INTERVAL`].
    Tick,
    /// A peer sent a message.
    Peer(PeerMessage),
    /// A caller asks for something; the ticket names the answer.
    Caller(Ticket, CallerRequest),
    /// A caller went away before its answer.
    CallerGone(Ticket),
    /// Something came from an endpoint for an attempt.
    Attempt(AttemptId, AttemptEvent),
    /// An endpoint was asked for its state.
    Polled(EndpointId, Result<EndpointReport, PollFailure>),
    /// Changes of an endpoint's prefix cache were read.
    CacheRead(EndpointId, Result<CacheRead, PollFailure>),
    /// An endpoint was given an order.
    Ordered(EndpointId, OrderAnswer),
    /// The log was read.
    LogRead(LogStream, Result<LogRead, LogFailure>),
    /// A record was appended to the log, or not.
    Appended(AppendId, Result<Offset, LogFailure>),
    /// The platform listed the instances.
    Listed(Vec<ListedInstance>),
    /// The weight store named the newest version of a model.
    Announced(ModelId, Version),
    /// A scorer answered.
    Scored(ScoreTicket, Result<Vec<Score>, ScoreFailure>),
    /// The instance is to shut down gracefully.
    Shutdown,
}

/// Names a caller's open request within an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Names an append within an instance.
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

    /// Returns how long a reader waits after a read that brought records.
    ///
    /// Claims come many a second, and each would end a read of every instance; they are read in
    /// batches once the first has come. The other streams are rarely appended to.
    #[must_use]
    pub const fn pause_after_records(self) -> Duration {
        match self {
            Self::Configuration | Self::Leases => Duration::ZERO,
            Self::Claims => Duration::from_millis(100),
        }
    }

    /// Returns the name of the stream at the platform.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Configuration => "wisteriaford-configuration",
            Self::Leases => "wisteriaford-leases",
            Self::Claims => "wisteriaford-claims",
        }
    }
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum CallerRequest {
    /// Generate tokens, whole.
    Generate {
        /// Id that the caller gave, if any.
        request: Option<RequestId>,
        /// Caller.
        caller: CallerId,
        /// Pool of model engines.
        pool: PoolId,
        /// Prompt.
        prompt: Arc<str>,
        /// Longest answer.
        max_tokens: u32,
        /// Time it has, if the caller said.
        timeout: Option<Duration>,
    },
    /// Call a plain service.
    Call {
        /// Id that the caller gave, if any.
        request: Option<RequestId>,
        /// Caller.
        caller: CallerId,
        /// Route.
        route: RouteId,
        /// Body.
        body: Arc<[u8]>,
        /// Content type.
        content_type: CompactString,
        /// Key that makes a repeat recognisable.
        key: Option<CompactString>,
        /// Whether the caller says that it never sent this call before.
        first_attempt: bool,
        /// Time it has, if the caller said; at most the route's.
        timeout: Option<Duration>,
    },
    /// Pull finished samples of a step.
    Pull {
        /// Trainer.
        trainer: CallerId,
        /// Step.
        step: StepNumber,
        /// Pool of model engines.
        pool: PoolId,
        /// Number of the pull.
        pull: PullNumber,
        /// Version of the weights that the trainer has now.
        current_version: Version,
        /// Bit set of the indices that the trainer has received.
        received: Vec<u8>,
        /// Longest time to wait for samples.
        wait: Duration,
        /// What the step consists of, when the trainer sends it along.
        spec: Option<Arc<StepSpec>>,
    },
    /// Ask for the decisions about a request.
    Explain(RequestId),
    /// Ask for the shares of the callers.
    Shares,
    /// Ask for the state of the instance.
    Status,
    /// Ask for the configuration in force.
    Configuration,
}

/// Something from an endpoint for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEvent {
    /// Tokens came.
    Tokens {
        /// Index of the first of them.
        from_token: u32,
        /// How many.
        tokens: u32,
        /// Their text.
        text: String,
        /// Version of the weights that made them, as the endpoint named it.
        version: Version,
    },
    /// The stream ended as a whole.
    Finished {
        /// Tokens of the whole answer.
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
    /// No connection was made, so no byte could reach the endpoint.
    NotConnected,
    /// The endpoint said that it did not run the request, as it was overloaded.
    Overloaded,
    /// The endpoint said that it did not run the request, as it is loading weights.
    Swapping,
    /// The endpoint said that it did not run the request, as it is leaving.
    Leaving,
    /// The connection broke after a byte may have left.
    Broken,
    /// Nothing came for longer than the pool allows.
    Silent,
    /// The endpoint's answer could not be understood.
    Malformed,
}

impl AttemptFailure {
    /// Returns whether it is proven that the endpoint did not run the request.
    #[must_use]
    pub const fn proves_not_run(self) -> bool {
        match self {
            Self::NotConnected | Self::Overloaded | Self::Swapping | Self::Leaving => true,
            Self::Broken | Self::Silent | Self::Malformed => false,
        }
    }

    /// Returns the reason by which a retry after it is counted.
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

/// State of an endpoint, as it reported it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointReport {
    /// Run of the endpoint's program; changes when it restarts.
    pub incarnation: Incarnation,
    /// Version of the weights it runs.
    pub version: Version,
    /// Version that it is loading; 0 if none.
    pub loading_version: Version,
    /// Requests in progress.
    pub running: u32,
    /// Requests waiting inside the endpoint.
    pub waiting: u32,
    /// Whether the endpoint says that it is leaving.
    pub leaving: bool,
    /// Age of the report.
    pub age: Duration,
}

/// Changes of an endpoint's prefix cache; some may be missing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheRead {
    /// Changes, in the order of their numbers.
    pub events: Vec<CacheEvent>,
    /// Number to read from next.
    pub next: u64,
}

/// Why an endpoint gave no report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollFailure {
    /// Nothing listens at its address.
    Refused,
    /// It did not answer in time.
    TimedOut,
    /// Its answer could not be understood.
    Malformed,
}

/// Answer of an endpoint to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It took the order.
    Accepted,
    /// It knows a higher fencing number.
    Fenced,
    /// It did not answer, or not to the point; the order may have been taken.
    Unknown,
}

/// Records read from a stream of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogRead {
    /// Oldest offset that the log still keeps.
    pub first_offset: Offset,
    /// Offset that the next record appended will get.
    pub next_offset: Offset,
    /// Records, in the order of their offsets.
    pub records: Vec<LogRecord>,
}

/// One record as the log keeps it.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    /// Offset.
    pub offset: Offset,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Encoded `wisteriaford.record.Record`.
    pub data: Vec<u8>,
}

/// Why the log did not do something.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFailure {
    /// It was not reached, so nothing was appended.
    NotReached,
    /// Its answer was lost: an append may have taken effect.
    AnswerLost,
    /// It refused because of its rate limit; nothing was appended.
    RateLimited,
}

/// Identity of an instance, from its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Unique id.
    pub id: InstanceId,
    /// Address for peers, an IP number and port.
    pub address: CompactString,
    /// Availability zone it runs in.
    pub availability_zone: AvailabilityZone,
    /// Region it runs in.
    pub region: Region,
    /// Run of the instance; a restart has a higher one.
    pub incarnation: Incarnation,
}
