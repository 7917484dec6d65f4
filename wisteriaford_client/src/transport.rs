//! HTTP transport that opens one connection per request.

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

/// Maximum size of a response body, in bytes.
pub const MAX_ANSWER_LEN_BYTES: u64 = 64 << 20;

/// Header with the media type of a body.
pub const CONTENT_TYPE: &str = "content-type";

/// HTTP request to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpRequest {
    /// Method of the request. A GET has no effect on the receiver and may always be repeated.
    pub method: HttpMethod,
    /// URL path and query.
    pub path: String,
    /// Names and values of the headers.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Vec<u8>,
}

/// HTTP method of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HttpMethod {
    /// Reads without changing anything.
    Get,
    /// Requests work or a change.
    Post,
}

impl HttpRequest {
    /// Creates a GET request for `path`.
    #[must_use]
    pub fn get(path: String) -> Self {
        Self {
            method: HttpMethod::Get,
            path,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Creates a POST request that sends `body` to `path`.
    #[must_use]
    pub fn post(path: String, content_type: &str, body: Vec<u8>) -> Self {
        Self {
            method: HttpMethod::Post,
            path,
            headers: vec![(CONTENT_TYPE, content_type.to_owned())],
            body,
        }
    }
}

/// HTTP response that was received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Names, in lower case, and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Complete response body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Returns the value of the header with the given lower-case name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(other, _)| other == name);
        header.map(|(_, value)| value.as_str())
    }
}

/// Reason why no complete response was received.
#[derive(Debug, Display, Error)]
pub enum TransportError {
    /// The request is not valid HTTP. Nothing was sent.
    #[display("invalid HTTP request: {source}")]
    Malformed {
        /// Cause of the error.
        source: oxhttp::model::Error,
    },
    /// The connection could not be established. Nothing was sent.
    #[display("cannot connect to {address}: {source}")]
    NotSent {
        /// Address of the receiver.
        address: SocketAddr,
        /// Cause of the error.
        source: io::Error,
    },
    /// The connection ended before a complete response was received. The receiver may have processed
    /// the request.
    #[display("no complete response from {address}: {source}")]
    Lost {
        /// Address of the receiver.
        address: SocketAddr,
        /// Cause of the error.
        source: io::Error,
    },
    /// The response body is larger than [`MAX_ANSWER_LEN_BYTES`]. The receiver has processed the
    /// request.
    #[display("the response from {address} is larger than {MAX_ANSWER_LEN_BYTES} bytes")]
    TooLarge {
        /// Address of the receiver.
        address: SocketAddr,
    },
}

impl TransportError {
    /// Returns whether the receiver cannot have received the request.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Malformed { .. } | Self::NotSent { .. })
    }
}

/// Connection to other processes.
pub trait Transport: Send + Sync {
    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response was received. [`TransportError::is_not_sent`] tells
    /// whether the receiver may have processed the request.
    fn send(
        &self,
        address: SocketAddr,
        http_request: &HttpRequest,
    ) -> Result<HttpResponse, TransportError>;
}

/// HTTP/1.1 over TCP, with one connection per request.
#[derive(Clone, Copy, Debug)]
pub struct HttpTransport {
    /// Timeout for connecting, and for each read or write after that.
    pub timeout: Duration,
}

impl Transport for HttpTransport {
    fn send(
        &self,
        address: SocketAddr,
        http_request: &HttpRequest,
    ) -> Result<HttpResponse, TransportError> {
        let request = build_request(address, http_request)?;
        let client = oxhttp::Client::new().with_global_timeout(self.timeout);
        let response = client
            .request(request)
            .map_err(|source| connection_error(address, source))?;
        read_response(address, response)
    }
}

fn build_request(
    address: SocketAddr,
    http_request: &HttpRequest,
) -> Result<Request<Body>, TransportError> {
    let method = match http_request.method {
        HttpMethod::Get => Method::GET,
        HttpMethod::Post => Method::POST,
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{}", http_request.path));
    for (name, value) in &http_request.headers {
        builder = builder.header(*name, value);
    }
    builder
        .body(Body::from(http_request.body.clone()))
        .map_err(|source| TransportError::Malformed { source })
}

/// Classifies an I/O error. Only a refused connection or an unavailable local address proves that
/// nothing was sent: any other error may also occur after the request was sent.
fn connection_error(address: SocketAddr, source: io::Error) -> TransportError {
    match source.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::AddrNotAvailable => {
            TransportError::NotSent { address, source }
        }
        _ => TransportError::Lost { address, source },
    }
}

fn read_response(
    address: SocketAddr,
    response: Response<Body>,
) -> Result<HttpResponse, TransportError> {
    let status = response.status().as_u16();
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        })
        .collect();
    if !has_body_framing(&response) {
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
    Ok(HttpResponse {
        status,
        headers,
        body,
    })
}

/// Returns whether the end of the body can be distinguished from a lost connection.
fn has_body_framing(response: &Response<Body>) -> bool {
    let headers = response.headers();
    let is_bodyless = matches!(response.status(), StatusCode::NO_CONTENT);
    is_bodyless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
