//! Small HTTP calls to endpoints and the platform.

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

/// Longest answer that is read, in bytes.
const MAX_ANSWER_LEN_BYTES: u64 = 64 << 20;

/// Why a call has no answer.
#[derive(Debug, Display, Error)]
pub(crate) enum HttpError {
    /// Nothing listens at the address, so no byte was sent.
    #[display("connection refused")]
    NotConnected,
    /// The connection broke or went silent after a byte may have been sent.
    #[display("connection lost: {_0}")]
    Lost(io::Error),
    /// The answer has another status than 2xx.
    #[display("status {status}")]
    Status {
        /// Status code.
        status: u16,
        /// Stable code in the body, or nothing.
        code: String,
    },
    /// The answer could not be understood.
    #[display("malformed answer")]
    Malformed,
}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::AddrNotAvailable => Self::NotConnected,
            _ => Self::Lost(error),
        }
    }
}

/// Sends a request and returns the head of its answer and the body to be read.
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

/// Sends a JSON body and reads a JSON answer.
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
    let bytes = read_whole(response)?;
    serde_json::from_slice(&bytes).map_err(|_| HttpError::Malformed)
}

/// Reads a JSON answer of a GET.
pub(crate) fn get<A: DeserializeOwned>(timeout: Duration, url: &str) -> Result<A, HttpError> {
    call(timeout, Method::GET, url, None::<&()>)
}

/// Reads the whole body of an answer with status 2xx.
pub(crate) fn read_whole(response: Response<Body>) -> Result<Vec<u8>, HttpError> {
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

/// Reads the whole body of an answer, whatever its status.
pub(crate) fn read_body(response: Response<Body>) -> Result<Vec<u8>, HttpError> {
    let mut bytes = Vec::new();
    response
        .into_body()
        .take(MAX_ANSWER_LEN_BYTES)
        .read_to_end(&mut bytes)
        .map_err(HttpError::Lost)?;
    Ok(bytes)
}

/// Returns the stable code of a typed error, or nothing.
pub(crate) fn error_code(bytes: &[u8]) -> String {
    let body: Option<serde_json::Value> = serde_json::from_slice(bytes).ok();
    let code = body
        .as_ref()
        .and_then(|body| body["error"]["code"].as_str());
    code.unwrap_or_default().to_owned()
}
