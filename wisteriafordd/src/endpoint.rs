//! Requests, polls and orders to endpoints.

use std::io::BufReader;
use std::time::Duration;

use compact_str::CompactString;
use crossbeam::channel::Sender;
use derive_more::Display;
use derive_more::From;
use oxhttp::model::Method;
use oxhttp::model::header::CONTENT_TYPE;
use serde::Deserialize;
use serde::Serialize;
use wisteriaford_core::effect::Attempt;
use wisteriaford_core::event::AttemptEvent;
use wisteriaford_core::event::AttemptFailure;
use wisteriaford_core::event::CacheRead;
use wisteriaford_core::event::EndpointReport;
use wisteriaford_core::event::Event;
use wisteriaford_core::event::OrderAnswer;
use wisteriaford_core::event::PollFailure;
use wisteriaford_core::id::AttemptId;
use wisteriaford_core::id::Fence;
use wisteriaford_core::id::Incarnation;
use wisteriaford_core::id::Version;
use wisteriaford_core::routing::CacheChange;
use wisteriaford_core::routing::CacheEvent;
use wisteriaford_core::work::Call;
use wisteriaford_core::work::Generation;
use wisteriaford_core::work::Work;
use wisteriaford_proto::settings::Priority;

use crate::http;
use crate::http::BodyLimits;
use crate::http::HttpError;
use crate::runtime::Input;
use crate::stream;
use crate::stream::StreamError;

/// Status codes with which an endpoint reports that it did not run a request.
const NOT_RUN_STATUSES: [u16; 3] = [409, 410, 503];
/// Error codes, one of which the body of such an answer must contain.
const NOT_RUN_CODES: [&str; 3] = ["overloaded", "swapping", "leaving"];

#[derive(Serialize)]
struct GenerateRequest<'a> {
    request_id: &'a str,
    prompt: &'a str,
    seed: u64,
    max_tokens: u32,
    priority: &'static str,
    from_token: u32,
}

#[derive(Deserialize)]
struct StateResponse {
    #[serde(default)]
    incarnation: u64,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    loading_version: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    age_ms: u64,
}

#[derive(Serialize)]
struct OrderRequest<'a> {
    fence: u64,
    holder: &'a str,
    load_version: u64,
}

#[derive(Serialize)]
struct CancelRequest<'a> {
    request_id: &'a str,
}

#[derive(Deserialize)]
struct CacheEventsResponse {
    events: Vec<CacheEventResponse>,
    next: u64,
}

#[derive(Deserialize)]
struct CacheEventResponse {
    seq: u64,
    kind: CacheEventKind,
    prefix_hash: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum CacheEventKind {
    Stored,
    Evicted,
}

/// JSON object whose fields are ignored.
#[derive(Deserialize)]
struct Acknowledgement {}

/// Why an attempt did not get a complete answer.
#[derive(Debug, Display, From)]
enum AttemptError {
    #[display("{_0}")]
    Http(HttpError),
    #[display("{_0}")]
    Stream(StreamError),
}

/// Runs an attempt to completion and reports its events.
pub(crate) fn run_attempt(attempt: &Attempt, inputs: &Sender<Input>) {
    let timeout = attempt.silence_timeout;
    let report = |event| {
        let event = Event::Attempt(attempt.id.clone(), event);
        inputs.send(Input::Event(event)).is_ok()
    };
    let result = match &attempt.work {
        Work::Generate(generation) => run_generation(attempt, generation, timeout, &report),
        Work::Call(call) => run_call(attempt, call, timeout, &report),
    };
    if let Err(error) = result {
        log::debug!(
            "attempt {} at {} failed: {error}",
            attempt.id,
            attempt.endpoint
        );
        report(AttemptEvent::Failed(attempt_failure(&error)));
    }
}

fn run_generation(
    attempt: &Attempt,
    generation: &Generation,
    timeout: Duration,
    report: &dyn Fn(AttemptEvent) -> bool,
) -> Result<(), AttemptError> {
    let body = GenerateRequest {
        request_id: attempt.id.as_str(),
        prompt: &generation.prompt,
        seed: generation.seed,
        max_tokens: generation.max_tokens,
        priority: priority_name(attempt.priority),
        from_token: attempt.from_token,
    };
    let body = serde_json::to_vec(&body).map_err(|_| HttpError::Malformed)?;
    let url = format!("http://{}/generate", attempt.address);
    let headers = [(CONTENT_TYPE.as_str(), "application/json")];
    let response = http::send(timeout, Method::POST, &url, &headers, body)?;
    if !response.status().is_success() {
        http::read_success_body(response, BodyLimits::small(timeout))?;
        return Err(HttpError::Malformed.into());
    }
    stream::read_stream(BufReader::new(response.into_body()), timeout, report)?;
    Ok(())
}

fn run_call(
    attempt: &Attempt,
    call: &Call,
    timeout: Duration,
    report: &dyn Fn(AttemptEvent) -> bool,
) -> Result<(), AttemptError> {
    let url = format!("http://{}/call", attempt.address);
    let mut headers = vec![
        (CONTENT_TYPE.as_str(), call.content_type.as_str()),
        ("wisteriaford-request-id", attempt.request.as_str()),
    ];
    if let Some(key) = &call.key {
        headers.push(("idempotency-key", key));
    }
    let body = http::unretained_copy(&call.body);
    let response = http::send(timeout, Method::POST, &url, &headers, body)?;
    if response.status().is_informational() {
        // An interim answer isn't the answer to the call.
        return Err(HttpError::Malformed.into());
    }
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    let content_type = CompactString::from(content_type);
    let body = http::read_body(response, BodyLimits::short(timeout))?;
    if NOT_RUN_STATUSES.contains(&status) {
        let code = http::error_code(&body);
        if NOT_RUN_CODES.contains(&code.as_str()) {
            return Err(HttpError::Status { status, code }.into());
        }
    }
    report(AttemptEvent::Answered {
        status,
        content_type,
        body,
    });
    Ok(())
}

fn attempt_failure(error: &AttemptError) -> AttemptFailure {
    match error {
        AttemptError::Http(HttpError::NotConnected) => AttemptFailure::NotConnected,
        AttemptError::Http(HttpError::Status { code, .. }) => match code.as_str() {
            "overloaded" => AttemptFailure::Overloaded,
            "swapping" => AttemptFailure::Swapping,
            "leaving" => AttemptFailure::Leaving,
            _ => AttemptFailure::Malformed,
        },
        AttemptError::Http(HttpError::ConnectionLost(_) | HttpError::TooLarge)
        | AttemptError::Stream(StreamError::Broken) => AttemptFailure::Broken,
        AttemptError::Http(HttpError::Malformed) | AttemptError::Stream(StreamError::Malformed) => {
            AttemptFailure::Malformed
        }
    }
}

/// Tells an endpoint to stop an attempt.
pub(crate) fn cancel(address: &str, attempt: &AttemptId, timeout: Duration) {
    let url = format!("http://{address}/cancel");
    let request_id = attempt.as_str();
    let body = CancelRequest { request_id };
    // If the message is lost, the endpoint generates to the end of the stream, which is harmless.
    let _ =
        http::call::<Acknowledgement>(BodyLimits::small(timeout), Method::POST, &url, Some(&body));
}

/// Queries an endpoint for its state.
pub(crate) fn poll(address: &str, timeout: Duration) -> Result<EndpointReport, PollFailure> {
    let url = format!("http://{address}/state");
    match http::get::<StateResponse>(BodyLimits::small(timeout), &url) {
        Ok(state) => Ok(EndpointReport {
            incarnation: Incarnation(state.incarnation),
            version: Version(state.version),
            loading_version: Version(state.loading_version),
            running: state.running,
            waiting: state.waiting,
            leaving: state.leaving,
            age: Duration::from_millis(state.age_ms),
        }),
        Err(error) => Err(poll_failure(&error)),
    }
}

fn poll_failure(error: &HttpError) -> PollFailure {
    match error {
        HttpError::NotConnected => PollFailure::Refused,
        HttpError::ConnectionLost(_) => PollFailure::TimedOut,
        HttpError::Status { .. } | HttpError::TooLarge | HttpError::Malformed => {
            PollFailure::Malformed
        }
    }
}

/// Queries an endpoint for the changes of its prefix cache since an event number.
pub(crate) fn read_cache(
    address: &str,
    from: u64,
    timeout: Duration,
) -> Result<CacheRead, PollFailure> {
    let url = format!("http://{address}/cache-events?from={from}");
    let body: CacheEventsResponse = http::get_streamed(BodyLimits::cache(timeout), &url)
        .map_err(|error| poll_failure(&error))?;
    let events = body.events.into_iter().map(|event| CacheEvent {
        sequence: event.seq,
        change: match event.kind {
            CacheEventKind::Stored => CacheChange::Stored,
            CacheEventKind::Evicted => CacheChange::Evicted,
        },
        prefix_hash: event.prefix_hash,
    });
    Ok(CacheRead {
        events: events.collect(),
        next: body.next,
    })
}

/// Orders an endpoint to load a version.
pub(crate) fn order(
    address: &str,
    instance_id: &str,
    fence: Fence,
    version: Version,
    timeout: Duration,
) -> OrderAnswer {
    let url = format!("http://{address}/orders");
    let body = OrderRequest {
        fence: fence.0,
        holder: instance_id,
        load_version: version.0,
    };
    match http::call::<Acknowledgement>(BodyLimits::small(timeout), Method::POST, &url, Some(&body))
    {
        Ok(_) => OrderAnswer::Accepted,
        Err(HttpError::Status { code, .. }) if code == "fenced" => OrderAnswer::Fenced,
        Err(_) => OrderAnswer::Unknown,
    }
}

fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Interactive => "interactive",
        Priority::Batch => "batch",
    }
}
