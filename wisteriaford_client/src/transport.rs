//! One HTTP exchange on a connection of its own.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::StatusCode;
use oxhttp::model::header::CONTENT_LENGTH;
use oxhttp::model::header::TRANSFER_ENCODING;

/// Largest body of an answer, in bytes.
pub const MAX_ANSWER_LEN_BYTES: u64 = 64 << 20;

/// Header of the media type of a body.
pub const CONTENT_TYPE: &str = "content-type";

/// What is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Exchange {
    /// Whether it only reads, and may thus be sent again whatever became of it.
    pub kind: ExchangeKind,
    /// Path and query.
    pub path: String,
    /// Headers by name.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// What an exchange does at the receiver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeKind {
    /// Reads and changes nothing.
    Get,
    /// Asks for work or for a change.
    Post,
}

impl Exchange {
    /// Returns an exchange that reads `path`.
    #[must_use]
    pub fn get(path: String) -> Self {
        Self {
            kind: ExchangeKind::Get,
            path,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Returns an exchange that sends `body` to `path`.
    #[must_use]
    pub fn post(path: String, content_type: &str, body: Vec<u8>) -> Self {
        Self {
            kind: ExchangeKind::Post,
            path,
            headers: vec![(CONTENT_TYPE, content_type.to_owned())],
            body,
        }
    }
}

/// What came back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Headers by name in lower case.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns the value of a header, by its name in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Why nothing came back.
#[derive(Debug, Display, Error)]
pub enum TransportError {
    /// The exchange cannot be written as HTTP; nothing was sent.
    #[display("the request cannot be written as HTTP: {source}")]
    Malformed {
        /// Cause.
        source: oxhttp::model::Error,
    },
    /// No connection came about; nothing was sent.
    #[display("cannot connect to {address}: {source}")]
    NotSent {
        /// Receiver.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The connection ended without a whole answer; the receiver may have acted.
    #[display("no whole answer from {address}: {source}")]
    Lost {
        /// Receiver.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The answer is larger than [`MAX_ANSWER_LEN_BYTES`]; the receiver has acted.
    #[display("the answer of {address} has more than {MAX_ANSWER_LEN_BYTES} bytes")]
    TooLarge {
        /// Receiver.
        address: SocketAddr,
    },
}

impl TransportError {
    /// Returns whether the receiver cannot have acted.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Malformed { .. } | Self::NotSent { .. })
    }
}

/// Way to another process.
pub trait Transport: Send + Sync {
    /// Sends an exchange and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Fails where no whole answer came; the error says whether the receiver may have acted.
    fn send(&self, address: SocketAddr, exchange: &Exchange) -> Result<Reply, TransportError>;
}

/// HTTP/1.1 over TCP, one connection an exchange.
#[derive(Clone, Copy, Debug)]
pub struct HttpTransport {
    /// Longest time to connect, and longest silence after that.
    pub timeout: Duration,
}

impl Transport for HttpTransport {
    fn send(&self, address: SocketAddr, exchange: &Exchange) -> Result<Reply, TransportError> {
        let request = request(address, exchange)?;
        let client = oxhttp::Client::new().with_global_timeout(self.timeout);
        let response = client
            .request(request)
            .map_err(|source| connection_error(address, source))?;
        read(address, response)
    }
}

fn request(address: SocketAddr, exchange: &Exchange) -> Result<Request<Body>, TransportError> {
    let method = match exchange.kind {
        ExchangeKind::Get => Method::GET,
        ExchangeKind::Post => Method::POST,
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{}", exchange.path));
    for (name, value) in &exchange.headers {
        builder = builder.header(*name, value);
    }
    builder
        .body(Body::from(exchange.body.clone()))
        .map_err(|source| TransportError::Malformed { source })
}

/// Takes only a refused connection as proof that nothing was sent: any other kind can come late.
fn connection_error(address: SocketAddr, source: io::Error) -> TransportError {
    match source.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::AddrNotAvailable => {
            TransportError::NotSent { address, source }
        }
        _ => TransportError::Lost { address, source },
    }
}

fn read(address: SocketAddr, response: Response<Body>) -> Result<Reply, TransportError> {
    let status = response.status().as_u16();
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        })
        .collect();
    if !has_length(&response) {
        let source = io::ErrorKind::InvalidData.into();
        return Err(TransportError::Lost { address, source });
    }
    let mut body = Vec::new();
    response
        .into_body()
        .take(MAX_ANSWER_LEN_BYTES + 1)
        .read_to_end(&mut body)
        .map_err(|source| TransportError::Lost { address, source })?;
    if body.len() as u64 > MAX_ANSWER_LEN_BYTES {
        return Err(TransportError::TooLarge { address });
    }
    Ok(Reply {
        status,
        headers,
        body,
    })
}

/// Returns whether the end of the body can be told from a connection that was cut.
fn has_length(response: &Response<Body>) -> bool {
    let headers = response.headers();
    let is_bodyless = matches!(response.status(), StatusCode::NO_CONTENT);
    is_bodyless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
