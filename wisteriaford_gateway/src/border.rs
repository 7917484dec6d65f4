//! What the gateway needs from the outside, as traits that an adapter implements.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use futures_util::future::BoxFuture;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::request::Parts;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::job::JobSpec;
use wisteriaford_core::gateway::job::ListedResult;
use wisteriaford_core::gateway::record::Content;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::gateway::route::RouteTable;
use wisteriaford_core::gateway::schedule::Start;
use wisteriaford_core::gateway::weights::EngineReport;
use wisteriaford_core::gateway::weights::OrderOutcome;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::Fence;
use wisteriaford_core::id::ItemId;
use wisteriaford_core::id::JobId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::Offset;
use wisteriaford_core::id::RequestId;
use wisteriaford_core::id::Version;

/// Topic of the shared log that the gateway reads or writes.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Topic {
    /// What operators and trainers publish; read only.
    #[display("publications")]
    Publications,
    /// What endpoints say of themselves; read only.
    #[display("endpoints")]
    Endpoints,
    /// Batch jobs.
    #[display("jobs")]
    Jobs,
    /// Items and texts of batch jobs.
    #[display("contents")]
    Contents,
    /// Output of items that run; not kept by key.
    #[display("progress")]
    Progress,
    /// Lease of the runner's duty.
    #[display("duty")]
    Duty,
    /// Addresses of the instances.
    #[display("instances")]
    Instances,
}

/// Record of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRecord {
    /// Position in the topic.
    pub offset: Offset,
    /// Key, of which the newest record is kept.
    pub key: CompactString,
    /// Content; without one the key is dropped.
    pub value: Option<Bytes>,
}

/// Records that a read returned.
#[derive(Clone, Debug, Default)]
pub struct LogPage {
    /// Records in the order of their offsets.
    pub records: Vec<LogRecord>,
    /// Offset after the last record of the topic.
    pub end: Offset,
}

/// Newest records of some keys.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// Records in any order.
    pub records: Vec<LogRecord>,
    /// Key to go on after, if there are more.
    pub more_after: Option<CompactString>,
    /// Offset after the last record of the topic.
    pub end: Offset,
}

/// Why a call of the log failed without an effect.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum LogError {
    /// The records that were asked for are no longer kept.
    #[display("records before offset {first} are no longer kept")]
    Truncated {
        /// First offset that is kept.
        first: Offset,
    },
    /// The topic doesn't end where the append was to begin.
    #[display("the topic ends at offset {end}")]
    Conflict {
        /// Offset after the last record.
        end: Offset,
    },
    /// The log refused the call.
    #[display("the log answered with status {status}")]
    Rejected {
        /// Status of the answer.
        status: StatusCode,
    },
    /// The log can't be reached; nothing was sent.
    #[display("the log can't be reached: {cause}")]
    Unreachable {
        /// What was found.
        cause: CompactString,
    },
    /// The call was sent and its answer was lost; it may have had its effect or have it later.
    #[display("the log's answer was lost: {cause}")]
    AnswerLost {
        /// What was found.
        cause: CompactString,
    },
    /// The answer can't be understood.
    #[display("the log's answer can't be understood: {cause}")]
    Damaged {
        /// What was found.
        cause: CompactString,
    },
}

impl LogError {
    /// Returns whether the call may have had its effect, or may have it later.
    #[must_use]
    pub fn may_have_effect(&self) -> bool {
        matches!(self, Self::AnswerLost { .. } | Self::Damaged { .. })
    }
}

/// Shared log with keyed topics.
pub trait Log: Send + Sync {
    /// Appends records in one step, if the topic ends `at` that offset where one is given.
    ///
    /// Returns the offset of the first record.
    fn append(
        &self,
        topic: Topic,
        records: Vec<KeyedValue>,
        at: Option<Offset>,
    ) -> BoxFuture<'_, Result<Offset, LogError>>;

    /// Reads records from an offset on, and waits at most `wait` for the first one.
    fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'_, Result<LogPage, LogError>>;

    /// Reads the record at an offset, of a size that is known.
    fn fetch(
        &self,
        topic: Topic,
        offset: Offset,
        size_bytes: u64,
    ) -> BoxFuture<'_, Result<LogRecord, LogError>>;

    /// Reads the newest record of each key, in pages.
    fn newest(
        &self,
        topic: Topic,
        after: Option<CompactString>,
    ) -> BoxFuture<'_, Result<NewestPage, LogError>>;

    /// Deletes the records before an offset.
    fn trim(&self, topic: Topic, before: Offset) -> BoxFuture<'_, Result<(), LogError>>;

    /// Returns the bounds on calls.
    fn bounds(&self) -> LogBounds;
}

/// Bounds on calls of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogBounds {
    /// Reading calls a second that all instances may make together.
    pub max_reads_per_s: u32,
    /// Most bytes of a record.
    pub max_record_bytes: usize,
    /// Most bytes of the records of one append.
    pub max_append_bytes: usize,
}

/// What a record of a read-only topic says.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A routing table is in force.
    Routes(Box<RouteTable>),
    /// A version of a model's weights is to be loaded.
    Weights {
        /// Model.
        model: ModelId,
        /// Version to reach.
        version: Version,
    },
    /// An endpoint's entry.
    Endpoint(Box<Endpoint>),
    /// An endpoint's entry was removed.
    EndpointGone(EndpointId),
    /// Something that is of no concern here.
    Other,
}

/// Why something from outside can't be used.
#[derive(Clone, Debug, Display, Error)]
#[display("{what}: {cause}")]
pub struct DecodeError {
    /// What was decoded.
    pub what: &'static str,
    /// What was found.
    pub cause: CompactString,
}

impl DecodeError {
    /// Returns an error about `what`.
    pub fn new(what: &'static str, cause: impl std::fmt::Display) -> Self {
        Self {
            what,
            cause: compact_str::format_compact!("{cause}"),
        }
    }
}

/// Decodes what operators, trainers and endpoints write to the log.
pub trait FactDecoder: Send + Sync {
    /// Decodes a record of a read-only topic.
    ///
    /// # Errors
    ///
    /// Fails on a record of another writer or format.
    fn decode(&self, record: &LogRecord, topic: Topic) -> Result<Fact, DecodeError>;

    /// Returns the endpoint whose entry has a key, even if the entry can't be decoded.
    fn endpoint_of(&self, key: &str) -> Option<EndpointId>;
}

/// What a caller asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerTarget {
    /// Results of a batch job.
    Results {
        /// Batch job.
        job: JobId,
        /// Position of the first result.
        position: usize,
        /// Longest wait for a result at that position.
        wait: Duration,
    },
    /// Body of an item.
    ItemBody {
        /// Batch job.
        job: JobId,
        /// Item.
        item: ItemId,
    },
    /// End of a batch job.
    EndJob {
        /// Batch job.
        job: JobId,
    },
    /// Whatever the route says.
    Routed,
}

/// Head of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerHead {
    /// Host that the request names, without a port.
    pub host: CompactString,
    /// Name of the request; empty if the caller gave none.
    pub request: RequestId,
    /// Time that the caller will still wait.
    pub time_left: Option<Duration>,
    /// Event that the caller has of the stream.
    pub after_event: Option<u64>,
    /// What is asked for.
    pub target: CallerTarget,
}

/// Result of an item with its text.
#[derive(Clone, Debug)]
pub struct PageResult {
    /// The result.
    pub listed: Arc<ListedResult>,
    /// Content that holds its text.
    pub content: Arc<Content>,
}

impl PageResult {
    /// Returns the data of all events in order, separated by line feeds.
    #[must_use]
    pub fn text(&self) -> &str {
        match &*self.content {
            Content::Texts(texts) => texts.get(self.listed.text_index).map_or("", String::as_str),
            Content::Items(_) => "",
        }
    }
}

/// Results of a batch job from a position on.
#[derive(Clone, Debug)]
pub struct ResultsPage {
    /// Items of the batch job.
    pub total: usize,
    /// Position after the last result of the page.
    pub next: usize,
    /// The results.
    pub results: Vec<PageResult>,
}

/// How callers speak.
pub trait CallerProtocol: Send + Sync {
    /// Decodes the head of a request.
    ///
    /// # Errors
    ///
    /// Fails on a head that lacks what every request must have.
    fn head(&self, parts: &Parts) -> Result<CallerHead, DecodeError>;

    /// Decodes a batch job.
    ///
    /// # Errors
    ///
    /// Fails on a body that isn't one.
    fn job(
        &self,
        head: &CallerHead,
        path: &str,
        body: &[u8],
        unix_ms: u64,
    ) -> Result<JobSpec, DecodeError>;

    /// Encodes results.
    fn results(&self, page: &ResultsPage) -> Bytes;

    /// Returns whether a request to the readiness address asks for readiness.
    fn asks_readiness(&self, method: &Method, path: &str) -> bool;
}

/// What an endpoint's answer says beside its status.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerFacts {
    /// The endpoint proves that it did not run the request.
    pub not_run: bool,
    /// Request that the answer belongs to, as the endpoint names it.
    pub request: Option<RequestId>,
    /// Version of the weights that generates the answer.
    pub version: Option<Version>,
    /// The answer comes from an endpoint that worked on the request.
    pub genuine: bool,
}

/// Request to an endpoint, without a connection.
#[derive(Clone, Debug)]
pub struct EndpointRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: CompactString,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// What an endpoint is told of a request, beside what its caller said.
#[derive(Clone, Copy, Debug)]
pub struct CallFacts<'a> {
    /// Endpoint that is meant; any other one must refuse the request.
    pub endpoint: &'a EndpointId,
    /// Time until nobody waits for the answer.
    pub time_left: Duration,
    /// Rank among the requests of a model engine, 0 first; none for other endpoints.
    pub priority: Option<u32>,
}

/// How endpoints speak.
pub trait EndpointProtocol: Send + Sync {
    /// Sets the header fields of a request that the gateway is responsible for.
    fn set_call_headers(&self, headers: &mut HeaderMap, call: &CallFacts<'_>);

    /// Sets the event after which a stream goes on.
    fn set_after_event(&self, headers: &mut HeaderMap, event: u64);

    /// Returns the request that runs an item.
    fn item_request(&self, start: &Start) -> EndpointRequest;

    /// Decodes the head of an answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;

    /// Returns whether the status says that an item can never be done.
    fn is_impossible(&self, status: StatusCode) -> bool;

    /// Decodes a line of an event that names the version of the weights from here on.
    fn version_line(&self, line: &str) -> Option<Version>;

    /// Returns the request for an engine's state.
    fn inspection(&self, endpoint: &EndpointId) -> EndpointRequest;

    /// Decodes an engine's state.
    ///
    /// # Errors
    ///
    /// Fails on an answer that isn't one.
    fn report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Returns the order to load a version.
    fn order(&self, order: &WeightOrder) -> EndpointRequest;

    /// Decodes the answer to an order.
    fn order_outcome(&self, status: StatusCode) -> OrderOutcome;
}

/// Order to load a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightOrder {
    /// Engine that is ordered.
    pub endpoint: EndpointId,
    /// Model.
    pub model: ModelId,
    /// Version to reach.
    pub version: Version,
    /// Instance that gives the order.
    pub holder: CompactString,
    /// Fencing number of its lease.
    pub fence: Fence,
    /// Orders that the engine must have accepted so far.
    pub expected_orders: u64,
    /// Runs in progress end under the version they began with, before the new one is loaded.
    pub lets_runs_finish: bool,
}
