//! Blocking HTTP client for endpoints and the platform.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::header::CONTENT_TYPE;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum number of bytes that are read of an answer's body.
const MAX_BODY_LEN_BYTES: u64 = 64 << 20;

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub(crate) enum HttpError {
    /// The connection was refused or no local address was available, so no byte was sent.
    #[display("connection refused")]
    NotConnected,
    /// The connection failed or timed out after bytes may have been sent.
    #[display("connection lost: {_0}")]
    ConnectionLost(io::Error),
    /// The status of the answer is not 2xx.
    #[display("status {status}")]
    Status {
        /// Status code.
        status: u16,
        /// Error code in the body; empty if there is none.
        code: String,
    },
    /// The request could not be built, or the answer could not be parsed.
    #[display("malformed answer")]
    Malformed,
}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::AddrNotAvailable => Self::NotConnected,
            _ => Self::ConnectionLost(error),
        }
    }
}

/// Sends a request and returns the answer with its body still unread.
pub(crate) fn send(
    timeout: Duration,
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<Response<Body>, HttpError> {
    let mut request = Request::builder().method(method).uri(url);
    for &(name, value) in headers {
        request = request.header(name, value);
    }
    let request = request
        .body(Body::from(body))
        .map_err(|_| HttpError::Malformed)?;
    let client = Client::new().with_global_timeout(timeout);
    Ok(client.request(request)?)
}

/// Sends a request with an optional JSON body and parses its JSON answer.
pub(crate) fn call<A: DeserializeOwned>(
    timeout: Duration,
    method: Method,
    url: &str,
    body: Option<&impl Serialize>,
) -> Result<A, HttpError> {
    let body = match body {
        Some(body) => serde_json::to_vec(body).map_err(|_| HttpError::Malformed)?,
        None => Vec::new(),
    };
    let headers = [(CONTENT_TYPE.as_str(), "application/json")];
    let response = send(timeout, method, url, &headers, body)?;
    let bytes = read_success_body(response)?;
    serde_json::from_slice(&bytes).map_err(|_| HttpError::Malformed)
}

/// Sends a GET request and parses its JSON answer.
pub(crate) fn get<A: DeserializeOwned>(timeout: Duration, url: &str) -> Result<A, HttpError> {
    call(timeout, Method::GET, url, None::<&()>)
}

/// Reads the body of an answer, or returns an error if its status is not 2xx.
pub(crate) fn read_success_body(response: Response<Body>) -> Result<Vec<u8>, HttpError> {
    let status = response.status();
    let bytes = read_body(response)?;
    if status.is_success() {
        return Ok(bytes);
    }
    Err(HttpError::Status {
        status: status.as_u16(),
        code: error_code(&bytes),
    })
}

/// Reads the body of an answer regardless of its status.
pub(crate) fn read_body(response: Response<Body>) -> Result<Vec<u8>, HttpError> {
    let mut bytes = Vec::new();
    response
        .into_body()
        .take(MAX_BODY_LEN_BYTES)
        .read_to_end(&mut bytes)
        .map_err(HttpError::ConnectionLost)?;
    Ok(bytes)
}

/// Returns the error code in a typed error body, or an empty string if there is none.
pub(crate) fn error_code(bytes: &[u8]) -> String {
    let body: Option<serde_json::Value> = serde_json::from_slice(bytes).ok();
    let code = body
        .as_ref()
        .and_then(|body| body["error"]["code"].as_str());
    code.unwrap_or_default().to_owned()
}
