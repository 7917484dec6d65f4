//! Answers that the gateway generates itself.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use rand::RngExt;
use wisteriaford_http::BodyError;

use crate::client::CallError;

/// Body of an answer.
pub(crate) type AnswerBody = BoxBody<Bytes, CallError>;
/// Answer to a caller.
pub(crate) type Answer = Response<AnswerBody>;

/// Reason why a request was refused or failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Reason {
    /// The head is malformed.
    #[display("bad_head")]
    BadHead,
    /// The body is incomplete or invalid for the route.
    #[display("bad_body")]
    BadBody,
    /// The body exceeds the size limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The body did not arrive in time.
    #[display("body_too_slow")]
    BodyTooSlow,
    /// The request carries no key, or one that the configuration doesn't have.
    #[display("unknown_key")]
    UnknownKey,
    /// There is no memory for the request; it did not run.
    #[display("caller_memory")]
    CallerMemory,
    /// The batch jobs that are known take the memory that is left for them; nothing was stored.
    #[display("jobs_full")]
    JobsFull,
    /// No route matches.
    #[display("no_route")]
    NoRoute,
    /// No routing table has been received yet.
    #[display("no_routes_known")]
    NoRoutesKnown,
    /// The pool has no available endpoint.
    #[display("no_endpoint")]
    NoEndpoint,
    /// All endpoints refused the request or were unreachable; it did not run.
    #[display("endpoints_full")]
    EndpointsFull,
    /// No connection to an endpoint came about in time; the request did not run.
    #[display("endpoints_unreachable")]
    EndpointsUnreachable,
    /// The endpoints that are left limit their requests, and no more may be sent now.
    #[display("endpoints_limited")]
    EndpointsLimited,
    /// The pool is contended, and the organisation has used its share; the request did not run.
    #[display("over_share")]
    OverShare,
    /// The request continues a stream, and no instance that answers knows which version of the endpoints'
    /// software began it.
    #[display("stream_origin_unknown")]
    StreamOriginUnknown,
    /// An endpoint may have run the request, but its answer was lost.
    #[display("answer_lost")]
    AnswerLost,
    /// The request crashed the endpoints that ran it; it was not sent to another one.
    #[display("quarantined")]
    Quarantined,
    /// The caller's deadline or the route's timeout passed.
    #[display("deadline")]
    Deadline,
    /// The instance stops and can't finish the request; it did not run.
    #[display("stopping")]
    Stopping,
    /// The log is unavailable; nothing was stored or read.
    #[display("log_unavailable")]
    LogUnavailable,
    /// It is unknown whether the log stored the records.
    #[display("log_outcome_unknown")]
    LogOutcomeUnknown,
    /// The known state of batch jobs is too old, or routes and endpoints are after a pause.
    #[display("not_current")]
    NotCurrent,
    /// Another organisation has a batch job with the id of a submission.
    #[display("job_id_taken")]
    JobIdTaken,
    /// The batch job or item does not exist.
    #[display("no_such_job")]
    NoSuchJob,
}

impl Reason {
    /// Returns the status of the answer; 429 and 503 guarantee that the request did not run.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::BadHead | Self::BadBody | Self::JobIdTaken => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute | Self::NoSuchJob => StatusCode::NOT_FOUND,
            Self::NoRoutesKnown
            | Self::CallerMemory
            | Self::JobsFull
            | Self::NoEndpoint
            | Self::EndpointsFull
            | Self::EndpointsUnreachable
            | Self::EndpointsLimited
            | Self::OverShare
            | Self::StreamOriginUnknown
            | Self::Quarantined
            | Self::Stopping
            | Self::LogUnavailable
            | Self::NotCurrent => StatusCode::SERVICE_UNAVAILABLE,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::Deadline | Self::LogOutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl From<BodyError> for Reason {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::BodyTooLarge,
            BodyError::TooSlow => Self::BodyTooSlow,
            BodyError::NoMemory => Self::CallerMemory,
            BodyError::Malformed => Self::BadBody,
        }
    }
}

/// Returns a body with known content.
pub(crate) fn full_body(body: impl Into<Bytes>) -> AnswerBody {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Returns an answer with a status and an empty body.
pub(crate) fn empty_answer(status: StatusCode) -> Answer {
    let mut answer = Response::new(full_body(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Returns the answer for a reason, with a randomized `Retry-After` if a delay is given.
pub(crate) fn refuse(reason: Reason, retry_after: Option<Duration>) -> Answer {
    let mut answer = Response::new(full_body(reason.to_string()));
    *answer.status_mut() = reason.status();
    let plain = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(header::CONTENT_TYPE, plain);
    if reason == Reason::UnknownKey {
        let scheme = HeaderValue::from_static("Bearer");
        answer
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, scheme);
    }
    if let Some(delay) = retry_after {
        let jitter: f64 = rand::rng().random_range(0.8..1.2);
        let seconds = format!("{:.3}", delay.as_secs_f64() * jitter);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    answer
}
