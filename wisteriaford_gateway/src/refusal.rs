//! Answers that the gateway gives of its own.

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

/// Why a request is refused or failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Reason {
    /// The head can't be understood.
    #[display("bad_head")]
    BadHead,
    /// The body isn't what the route takes.
    #[display("bad_body")]
    BadBody,
    /// The body is larger than allowed.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The body stopped coming.
    #[display("body_too_slow")]
    BodyTooSlow,
    /// No route matches.
    #[display("no_route")]
    NoRoute,
    /// No routing table is known yet.
    #[display("no_routes_known")]
    NoRoutesKnown,
    /// The pool has no endpoint that takes requests.
    #[display("no_endpoint")]
    NoEndpoint,
    /// All endpoints refused, with proof that the request did not run.
    #[display("endpoints_full")]
    EndpointsFull,
    /// An endpoint may have run the request, and its answer was lost.
    #[display("answer_lost")]
    AnswerLost,
    /// The caller's deadline or the route's timeout passed.
    #[display("deadline")]
    Deadline,
    /// The log doesn't take what must last.
    #[display("log_unavailable")]
    LogUnavailable,
    /// What must last may or may not have been taken by the log.
    #[display("log_outcome_unknown")]
    LogOutcomeUnknown,
    /// The state of the batch job isn't known well enough.
    #[display("not_current")]
    NotCurrent,
    /// There is no such batch job or item.
    #[display("no_such_job")]
    NoSuchJob,
}

impl Reason {
    /// Returns the status of the answer; 429 and 503 promise that the request did not run.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::BadHead | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute | Self::NoSuchJob => StatusCode::NOT_FOUND,
            Self::NoRoutesKnown
            | Self::NoEndpoint
            | Self::EndpointsFull
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
            BodyError::Broken => Self::BadBody,
        }
    }
}

/// Returns a whole body.
pub(crate) fn whole(body: impl Into<Bytes>) -> AnswerBody {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Returns an answer with a status and an empty body.
pub(crate) fn status_only(status: StatusCode) -> Answer {
    let mut answer = Response::new(whole(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Returns the answer for a reason, with the time to come back where one is known.
pub(crate) fn refuse(reason: Reason, retry_after: Option<Duration>) -> Answer {
    let mut answer = Response::new(whole(reason.to_string()));
    *answer.status_mut() = reason.status();
    let plain = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(header::CONTENT_TYPE, plain);
    if let Some(wait) = retry_after {
        let share: f64 = rand::rng().random_range(0.8..1.2);
        let seconds = format!("{:.3}", wait.as_secs_f64() * share);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    answer
}
