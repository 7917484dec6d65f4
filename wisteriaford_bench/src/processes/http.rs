//! HTTP exchanges with processes.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use wisteriaford_client::transport::HttpRequest;
use wisteriaford_client::transport::HttpResponse;
use wisteriaford_client::transport::HttpTransport;
use wisteriaford_client::transport::Transport;

use crate::processes::error::ProcessError;
use crate::processes::error::Result;

/// Timeout of an exchange; generous, to end only exchanges that would hang.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(120);
const OK_STATUS: u16 = 200;
const LOWEST_ERROR_STATUS: u16 = 400;

/// Sends a `GET` request.
///
/// # Errors
///
/// Fails if there is no complete answer.
pub fn get(address: SocketAddr, path: &str) -> Result<HttpResponse> {
    Ok(send(address, &HttpRequest::get(path.to_owned()))?)
}

/// Sends a `GET` request and parses the JSON answer.
///
/// # Errors
///
/// Fails if there is no complete answer, or it has an error status or is not JSON.
pub fn get_json(address: SocketAddr, path: &str) -> Result<Value> {
    read_json(address, path, &get(address, path)?)
}

/// Posts JSON and parses the JSON answer.
///
/// # Errors
///
/// Fails if there is no complete answer, or it has an error status or is not JSON.
pub fn post_json(address: SocketAddr, path: &str, body: &Value) -> Result<Value> {
    let bytes = body.to_string().into_bytes();
    let http_request = HttpRequest::post(path.to_owned(), "application/json", bytes);
    read_json(address, path, &send(address, &http_request)?)
}

/// Returns whether a daemon accepts requests.
#[must_use]
pub fn is_ready(address: SocketAddr) -> bool {
    get(address, "/readyz").is_ok_and(|response| response.status == OK_STATUS)
}

/// Sends a request and returns the answer.
///
/// # Errors
///
/// Fails if there is no complete answer.
pub fn send(
    address: SocketAddr,
    http_request: &HttpRequest,
) -> std::result::Result<HttpResponse, wisteriaford_client::transport::TransportError> {
    let transport = HttpTransport {
        timeout: EXCHANGE_TIMEOUT,
    };
    transport.send(address, http_request)
}

fn read_json(address: SocketAddr, path: &str, response: &HttpResponse) -> Result<Value> {
    if response.status >= LOWEST_ERROR_STATUS {
        return Err(ProcessError::ErrorStatus {
            address,
            path: path.to_owned(),
            status: response.status,
            body: String::from_utf8_lossy(&response.body).into_owned(),
        });
    }
    Ok(serde_json::from_slice(&response.body)?)
}
