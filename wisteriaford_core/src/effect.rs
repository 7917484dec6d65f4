//! What an instance wants done.

use std::time::Duration;

use compact_str::CompactString;
use wisteriaford_proto::peer::PeerMessage;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::settings::Priority;

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
use crate::note::Note;
use crate::reply::Reply;
use crate::step::ScoreItem;
use crate::step::ScoreTicket;
use crate::work::Work;

/// Something to be done by the driver of an instance.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to a peer; it may get lost.
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
    /// Send a request to an endpoint and report what comes back as attempt events.
    Open(Attempt),
    /// Stop an attempt: close its connection and tell the endpoint to cancel it.
    Cancel {
        /// Attempt.
        attempt: AttemptId,
        /// Address of the endpoint.
        address: CompactString,
    },
    /// Ask an endpoint for its state.
    Poll {
        /// Endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: CompactString,
    },
    /// Ask an endpoint for the changes of its prefix cache.
    ReadCache {
        /// Endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: CompactString,
        /// Number of the first change asked for.
        from: u64,
    },
    /// Order an endpoint to reach a version of the weights.
    Order {
        /// Endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: CompactString,
        /// Fencing number of the lease.
        fence: Fence,
        /// Version to reach.
        version: Version,
    },
    /// Append a record to the log.
    Append {
        /// Names the answer.
        append: AppendId,
        /// Stream.
        stream: LogStream,
        /// Record.
        record: Record,
    },
    /// Ask the weight store for the newest version of a model.
    PollModel(ModelId),
    /// Ask the platform for its list of instances.
    PollInstances,
    /// Have samples scored.
    Score {
        /// Names the answer.
        ticket: ScoreTicket,
        /// Address of the scorer.
        address: CompactString,
        /// Samples.
        samples: Vec<ScoreItem>,
    },
    /// Write down something worth knowing, as one line.
    Note(Note),
    /// Exit: everything in progress is finished and handed over.
    Exit,
}

/// One try of a request at one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Unique id.
    pub id: AttemptId,
    /// Request that it belongs to.
    pub request: RequestId,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: CompactString,
    /// What is to be done.
    pub work: Work,
    /// Urgency.
    pub priority: Priority,
    /// Token to begin at, after a stream that broke.
    pub from_token: u32,
    /// Longest silence of the connection before the attempt is given up.
    pub silence_timeout: Duration,
}
