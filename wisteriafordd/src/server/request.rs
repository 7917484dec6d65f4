//! Parsing and validation of callers' HTTP requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use wisteriaford_client::message::GenerateRequest;
use wisteriaford_client::message::PullRequest;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::PullNumber;
use wisteriaford_core::id::RequestId;
use wisteriaford_core::id::RouteId;
use wisteriaford_core::id::StepNumber;
use wisteriaford_core::id::Version;
use wisteriaford_core::step::StepSpec;

use crate::server::failure::Failure;

const CALLER_HEADER: &str = "wisteriaford-caller";
const FIRST_ATTEMPT_HEADER: &str = "wisteriaford-first-attempt";
const KEY_HEADER: &str = "idempotency-key";
const REQUEST_HEADER: &str = "wisteriaford-request-id";
const TIMEOUT_HEADER: &str = "wisteriaford-timeout-ms";
const CALL_PATH: &str = "/v1/call/";
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_LEN_BYTES: usize = 128;

/// Checks that the content type is JSON.
///
/// # Errors
///
/// Returns an error if the content type is missing or a different one.
pub fn require_json(headers: &HeaderMap) -> Result<(), Failure> {
    let content_type = text_header(headers, CONTENT_TYPE.as_str())?.unwrap_or_default();
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    if media_type.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    Err(Failure::WrongContentType)
}

/// Returns whether a request is a call that may be a retry with the same idempotency key.
///
/// An earlier call with that key may then still run, whatever the outcome of this one.
#[must_use]
pub fn may_be_retry(path: &str, headers: &HeaderMap) -> bool {
    let is_first = headers.get(FIRST_ATTEMPT_HEADER);
    let is_first = is_first.is_some_and(|value| value.as_bytes() == b"true");
    path.starts_with(CALL_PATH) && headers.contains_key(KEY_HEADER) && !is_first
}

/// Parses a request id.
///
/// # Errors
///
/// Returns an error if the id is malformed.
pub fn parse_request_id(text: &str) -> Result<RequestId, Failure> {
    text.parse().map_err(Failure::Path)
}

/// Parses the body of a generation request.
///
/// # Errors
///
/// Returns an error if the body is malformed or a field is out of range.
pub fn parse_generate(body: &[u8]) -> Result<CallerRequest, Failure> {
    let request: GenerateRequest = serde_json::from_slice(body).map_err(Failure::Json)?;
    request.validate().map_err(Failure::Message)?;
    Ok(CallerRequest::Generate {
        request: request.request_id.map(RequestId::from),
        caller: request.caller.into(),
        pool: request.pool.into(),
        prompt: request.prompt.into(),
        max_tokens: request.max_tokens,
        timeout: request.timeout_ms.map(Duration::from_millis),
    })
}

/// Parses a call to a plain service.
///
/// # Errors
///
/// Returns an error if the route or a header is missing or malformed.
pub fn parse_call(route: &str, headers: &HeaderMap, body: Bytes) -> Result<CallerRequest, Failure> {
    let route: RouteId = route.parse().map_err(Failure::Path)?;
    let caller: CallerId = parsed_header(headers, CALLER_HEADER)?.ok_or(Failure::Header {
        name: CALLER_HEADER,
    })?;
    let key = text_header(headers, KEY_HEADER)?;
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_LEN_BYTES) {
        return Err(Failure::Header { name: KEY_HEADER });
    }
    let content_type = text_header(headers, CONTENT_TYPE.as_str())?.unwrap_or(DEFAULT_CONTENT_TYPE);
    let timeout_ms: Option<u64> = parsed_header(headers, TIMEOUT_HEADER)?;
    if timeout_ms == Some(0) {
        return Err(Failure::Header {
            name: TIMEOUT_HEADER,
        });
    }
    Ok(CallerRequest::Call {
        request: parsed_header(headers, REQUEST_HEADER)?,
        caller,
        route,
        body,
        content_type: CompactString::from(content_type),
        key: key.map(CompactString::from),
        first_attempt: parsed_header(headers, FIRST_ATTEMPT_HEADER)?.unwrap_or(false),
        timeout: timeout_ms.map(Duration::from_millis),
    })
}

/// Parses a pull of a step.
///
/// # Errors
///
/// Returns an error if the step number or the body is malformed.
pub fn parse_pull(step: &str, body: &[u8]) -> Result<CallerRequest, Failure> {
    let step: StepNumber = step.parse().map_err(|_| Failure::StepNumber)?;
    let request: PullRequest = serde_json::from_slice(body).map_err(Failure::Json)?;
    request.validate().map_err(Failure::Message)?;
    let spec = request.spec.map(|spec| StepSpec {
        group_size: spec.group_size,
        max_tokens: spec.max_tokens,
        prompts: spec.prompts,
    });
    Ok(CallerRequest::Pull {
        trainer: request.trainer.into(),
        step,
        pool: request.pool.into(),
        pull: PullNumber(request.pull),
        current_version: Version(request.current_version),
        received: request.received.as_bytes().to_vec(),
        wait: Duration::from_millis(request.wait_ms),
        spec: spec.map(Arc::new),
    })
}

fn text_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Failure::Header { name })?;
    Ok(Some(text))
}

fn parsed_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, Failure> {
    let Some(text) = text_header(headers, name)? else {
        return Ok(None);
    };
    let value = text.parse().map_err(|_| Failure::Header { name })?;
    Ok(Some(value))
}
