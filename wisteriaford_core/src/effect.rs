//! Output effects of an instance.

use std::time::Duration;

use compact_str::CompactString;
use wisteriaford_proto::peer::PeerMessage;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::settings::Priority;

use crate::diagnostic::Diagnostic;
use crate::event::AppendId;
use crate::event::LogStream;
use crate::event::Ticket;
use crate::id::AttemptId;
use crate::id::EndpointId;
use crate::id::Fence;
use crate::id::InstanceId;
use crate::id::ModelId;
use crate::id::RequestId;
use crate::id::Version;
use crate::reply::Reply;
use crate::step::ScoreItem;
use crate::step::ScoreTicket;
use crate::work::Work;

/// Action for the driver of an instance to perform.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to a peer; delivery is not guaranteed.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Address of the receiver.
        address: CompactString,
        /// Message.
        message: PeerMessage,
    },
    /// Answer a caller.
    Reply(Ticket, Reply),
    /// Send a request to an endpoint and report its answer as attempt events.
    StartAttempt(Attempt),
    /// Stop an attempt: close its connection and tell the endpoint to cancel it.
    CancelAttempt {
        /// Attempt.
        attempt: AttemptId,
        /// Address of the endpoint.
        address: CompactString,
    },
    /// Poll an endpoint for its state.
    Poll {
        /// Endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: CompactString,
    },
    /// Read the changes of an endpoint's prefix cache.
    ReadCache {
        /// Endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: CompactString,
        /// Sequence number of the first change to read.
        from: u64,
    },
    /// Order an endpoint to reach a version of the weights.
    Order {
        /// Endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: CompactString,
        /// Fencing number of the endpoint's lease.
        fence: Fence,
        /// Version to reach.
        version: Version,
    },
    /// Append a record to the log.
    Append {
        /// Identifies the answer.
        append: AppendId,
        /// Stream.
        stream: LogStream,
        /// Record.
        record: Record,
    },
    /// Poll the weight store for the newest version of a model.
    PollModel(ModelId),
    /// Read the platform's list of instances.
    PollInstances,
    /// Send samples to a scorer.
    Score {
        /// Identifies the answer.
        ticket: ScoreTicket,
        /// Address of the scorer.
        address: CompactString,
        /// Samples.
        samples: Vec<ScoreItem>,
    },
    /// Write a diagnostic to the log file, as one line.
    Diagnostic(Diagnostic),
    /// Exit the process; all work in progress is finished or handed over.
    Exit,
}

/// Attempt to run a request at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Unique id.
    pub id: AttemptId,
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: CompactString,
    /// Work to run.
    pub work: Work,
    /// Priority of the request.
    pub priority: Priority,
    /// First token to generate; above 0 if an interrupted stream is resumed.
    pub from_token: u32,
    /// Time without data after which the attempt fails.
    pub silence_timeout: Duration,
}
