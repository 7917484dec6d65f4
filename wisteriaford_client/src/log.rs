//! Client for the platform's log.

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
use crate::transport::HttpRequest;
use crate::transport::HttpResponse;
use crate::transport::HttpTransport;
use crate::transport::Transport;
use crate::transport::TransportError;

/// Stream to which configurations are published.
pub const STREAM: &str = LogStream::Configuration.name();
/// Offset of the first record of a stream.
pub const FIRST_OFFSET: u64 = 1;

const OCTET_STREAM: &str = "application/octet-stream";
const LOWEST_ERROR_STATUS: u16 = 400;
const LOWEST_SERVER_ERROR_STATUS: u16 = 500;

/// A record in the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Time when the log accepted the record, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Encoded `wisteriaford.record.Record`.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub data: Vec<u8>,
}

/// Result of a read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogPage {
    /// First offset that the log still retains.
    pub first_offset: u64,
    /// Offset at which the next read should start.
    pub next_offset: u64,
    /// Records in offset order.
    pub records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: u64,
}

/// Reason why an append returned no offset.
#[derive(Debug, Display, Error)]
pub enum AppendError {
    /// The connection could not be established. Nothing was appended.
    #[display("nothing was appended: {source}")]
    NotSent {
        /// Cause of the error.
        source: TransportError,
    },
    /// The log's rate limit for appends was exceeded. Nothing was appended.
    #[display("nothing was appended: the log's rate limit was exceeded")]
    RateLimited,
    /// The log refused the record. Nothing was appended.
    #[display("the log refused the record with {status} {}: {}", body.code, body.message)]
    Refused {
        /// HTTP status.
        status: u16,
        /// Error details.
        body: Box<ErrorBody>,
    },
    /// No valid response was received. The record may have been appended, which can be verified by
    /// reading the stream.
    #[display("the record may have been appended: {cause}")]
    OutcomeUnknown {
        /// Failure that was observed.
        #[error(source)]
        cause: UnknownCause,
    },
}

/// Reason why the outcome of an append is unknown.
#[derive(Debug, Display, Error)]
pub enum UnknownCause {
    /// No complete response was received.
    #[display("{source}")]
    Transport {
        /// Cause of the error.
        source: TransportError,
    },
    /// The log answered with a server error.
    #[display("the log answered {status}")]
    ServerError {
        /// HTTP status.
        status: u16,
    },
    /// The response body is not valid for the protocol.
    #[display("the log answered {status} with an invalid body")]
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

/// Reason why a read failed.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// No complete response was received.
    #[display("{source}")]
    Transport {
        /// Cause of the error.
        source: TransportError,
    },
    /// The log refused the read.
    #[display("the log answered {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The response body is not valid for the protocol.
    #[display("the log answered with an invalid body: {source}")]
    BadAnswer {
        /// Cause of the error.
        source: serde_json::Error,
    },
}

/// Append-only log whose records are addressed by offset.
pub trait Log: Send + Sync {
    /// Appends an encoded record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an error if no offset was received. The record may be in the log only after
    /// [`AppendError::OutcomeUnknown`].
    fn append(&self, record: &[u8]) -> Result<u64, AppendError>;

    /// Reads at most `max` records from an offset on. If there is none yet, waits up to `wait` for
    /// the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if the log refused the read or no valid response was received.
    fn read(&self, from: u64, max: u32, wait: Duration) -> Result<LogPage, ReadError>;
}

/// Log client over HTTP.
#[derive(Clone)]
pub struct LogClient {
    address: SocketAddr,
    transport: Arc<dyn Transport>,
}

impl LogClient {
    /// Creates a client. `timeout` must be longer than the wait of any read.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self::with_transport(address, Arc::new(HttpTransport { timeout }))
    }

    /// Creates a client with a custom transport.
    #[must_use]
    pub fn with_transport(address: SocketAddr, transport: Arc<dyn Transport>) -> Self {
        Self { address, transport }
    }
}

impl Log for LogClient {
    fn append(&self, record: &[u8]) -> Result<u64, AppendError> {
        let path = format!("/streams/{STREAM}/records");
        let http_request = HttpRequest::post(path, OCTET_STREAM, record.to_vec());
        match self.transport.send(self.address, &http_request) {
            Ok(response) => parse_append_answer(&response),
            Err(source) if source.is_not_sent() => Err(AppendError::NotSent { source }),
            Err(source) => Err(UnknownCause::Transport { source }.into()),
        }
    }

    fn read(&self, from: u64, max: u32, wait: Duration) -> Result<LogPage, ReadError> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{STREAM}/records?from={from}&max={max}&wait_ms={wait_ms}");
        let response = self
            .transport
            .send(self.address, &HttpRequest::get(path))
            .map_err(|source| ReadError::Transport { source })?;
        if response.status >= LOWEST_ERROR_STATUS {
            return Err(ReadError::Refused {
                status: response.status,
            });
        }
        serde_json::from_slice(&response.body).map_err(|source| ReadError::BadAnswer { source })
    }
}

fn parse_append_answer(response: &HttpResponse) -> Result<u64, AppendError> {
    let status = response.status;
    if status >= LOWEST_SERVER_ERROR_STATUS {
        return Err(UnknownCause::ServerError { status }.into());
    }
    if status >= LOWEST_ERROR_STATUS {
        return Err(parse_append_refusal(response));
    }
    match serde_json::from_slice::<AppendAnswer>(&response.body) {
        Ok(answer) => Ok(answer.offset),
        Err(_) => Err(UnknownCause::BadAnswer { status }.into()),
    }
}

fn parse_append_refusal(response: &HttpResponse) -> AppendError {
    let status = response.status;
    match serde_json::from_slice::<ErrorAnswer>(&response.body) {
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
