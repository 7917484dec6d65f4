//! Client of the platform's log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use wisteriaford_core::event::LogStream;

use crate::message::ErrorAnswer;
use crate::message::ErrorBody;
use crate::message::code;
use crate::transport::Exchange;
use crate::transport::HttpTransport;
use crate::transport::Reply;
use crate::transport::Transport;
use crate::transport::TransportError;

/// Stream that configurations are published to.
pub const STREAM: &str = LogStream::Configuration.name();
/// Offset of the first record of a stream.
pub const FIRST_OFFSET: u64 = 1;

const OCTETS: &str = "application/octet-stream";
const LOWEST_ERROR_STATUS: u16 = 400;
const LOWEST_SERVER_ERROR_STATUS: u16 = 500;

/// One record of the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// Place in the stream.
    pub offset: u64,
    /// When the log took it, in milliseconds since 1970.
    pub at_ms: u64,
    /// Encoded `wisteriaford.record.Record`.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub data: Vec<u8>,
}

/// Answers a read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogPage {
    /// First offset that the log still keeps.
    pub first_offset: u64,
    /// Offset to read from next.
    pub next_offset: u64,
    /// Records, in order.
    pub records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: u64,
}

/// Why an append got no offset.
#[derive(Debug, Display, Error)]
pub enum AppendError {
    /// No connection came about; nothing was appended.
    #[display("nothing was appended: {source}")]
    NotSent {
        /// Cause.
        source: TransportError,
    },
    /// The log takes no more appends this second; nothing was appended.
    #[display("nothing was appended: the log takes no more appends a second")]
    RateLimited,
    /// The log refused the record; nothing was appended.
    #[display("the log refused the record with {status} {}: {}", body.code, body.message)]
    Refused {
        /// HTTP status.
        status: u16,
        /// What went wrong.
        body: Box<ErrorBody>,
    },
    /// The answer was lost; the record may have been appended, and reading back shows it.
    #[display("the record may have been appended: {cause}")]
    OutcomeUnknown {
        /// What was seen.
        #[error(source)]
        cause: UnknownCause,
    },
}

/// Why the outcome of an append is not known.
#[derive(Debug, Display, Error)]
pub enum UnknownCause {
    /// No whole answer came.
    #[display("{source}")]
    Transport {
        /// Cause.
        source: TransportError,
    },
    /// The log failed with a status of its own.
    #[display("the log answered {status}")]
    ServerError {
        /// HTTP status.
        status: u16,
    },
    /// The answer is not what the protocol promises.
    #[display("the log answered {status} with a body that is not understood")]
    BadAnswer {
        /// HTTP status.
        status: u16,
    },
}

impl From<UnknownCause> for AppendError {
    fn from(cause: UnknownCause) -> Self {
        Self::OutcomeUnknown { cause }
    }
}

/// Why a read failed.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// No whole answer came.
    #[display("{source}")]
    Transport {
        /// Cause.
        source: TransportError,
    },
    /// The log refused the read.
    #[display("the log answered {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The answer is not what the protocol promises.
    #[display("the log's answer is not understood: {source}")]
    BadAnswer {
        /// Cause.
        source: serde_json::Error,
    },
}

/// Append-only log with offsets.
pub trait Log: Send + Sync {
    /// Appends an encoded record and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails where no offset came back; only [`AppendError::OutcomeUnknown`] leaves open whether
    /// the record is in the log.
    fn append(&self, record: &[u8]) -> Result<u64, AppendError>;

    /// Reads at most `max` records at or after an offset, waiting for the first if there is none.
    ///
    /// # Errors
    ///
    /// Fails where no whole answer came.
    fn read(&self, from: u64, max: u32, wait: Duration) -> Result<LogPage, ReadError>;
}

/// The log over HTTP.
#[derive(Clone)]
pub struct LogClient {
    address: SocketAddr,
    transport: Arc<dyn Transport>,
}

impl LogClient {
    /// Returns a client of the log; `timeout` must be longer than any wait of a read.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self::with_transport(address, Arc::new(HttpTransport { timeout }))
    }

    /// Returns a client of the log over a transport of the user's.
    #[must_use]
    pub fn with_transport(address: SocketAddr, transport: Arc<dyn Transport>) -> Self {
        Self { address, transport }
    }
}

impl Log for LogClient {
    fn append(&self, record: &[u8]) -> Result<u64, AppendError> {
        let path = format!("/streams/{STREAM}/records");
        let exchange = Exchange::post(path, OCTETS, record.to_vec());
        match self.transport.send(self.address, &exchange) {
            Ok(reply) => offset(&reply),
            Err(source) if source.is_not_sent() => Err(AppendError::NotSent { source }),
            Err(source) => Err(UnknownCause::Transport { source }.into()),
        }
    }

    fn read(&self, from: u64, max: u32, wait: Duration) -> Result<LogPage, ReadError> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{STREAM}/records?from={from}&max={max}&wait_ms={wait_ms}");
        let reply = self
            .transport
            .send(self.address, &Exchange::get(path))
            .map_err(|source| ReadError::Transport { source })?;
        if reply.status >= LOWEST_ERROR_STATUS {
            return Err(ReadError::Refused {
                status: reply.status,
            });
        }
        serde_json::from_slice(&reply.body).map_err(|source| ReadError::BadAnswer { source })
    }
}

fn offset(reply: &Reply) -> Result<u64, AppendError> {
    let status = reply.status;
    if status >= LOWEST_SERVER_ERROR_STATUS {
        return Err(UnknownCause::ServerError { status }.into());
    }
    if status >= LOWEST_ERROR_STATUS {
        return Err(append_refusal(reply));
    }
    match serde_json::from_slice::<AppendAnswer>(&reply.body) {
        Ok(answer) => Ok(answer.offset),
        Err(_) => Err(UnknownCause::BadAnswer { status }.into()),
    }
}

fn append_refusal(reply: &Reply) -> AppendError {
    let status = reply.status;
    match serde_json::from_slice::<ErrorAnswer>(&reply.body) {
        Ok(answer) if answer.error.code == code::RATE_LIMITED => AppendError::RateLimited,
        Ok(answer) => AppendError::Refused {
            status,
            body: Box::new(answer.error),
        },
        Err(_) => UnknownCause::BadAnswer { status }.into(),
    }
}

fn to_base64<S: Serializer>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(data))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(de::Error::custom)
}
