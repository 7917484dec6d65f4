//! Typed errors of the HTTP interface for callers.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::Full;
use wisteriaford_client::message::ErrorAnswer;
use wisteriaford_client::message::ErrorBody;
use wisteriaford_client::message::MessageError;
use wisteriaford_client::message::Outcome;
use wisteriaford_core::id::IdError;
use wisteriaford_core::id::RequestId;
use wisteriaford_core::instance::NotReady;
use wisteriaford_core::refusal;
use wisteriaford_core::refusal::Refusal;
use wisteriaford_core::refusal::RefusalReason;

/// `Retry-After` when there is no memory for a body, about the time in which stalled ones are closed.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a caller's request failed.
#[derive(Debug, Display)]
pub enum Failure {
    /// The path does not exist.
    #[display("there is nothing at this path")]
    NotFound,
    /// The path does not support this method.
    #[display("this path takes another method")]
    MethodNotAllowed,
    /// The content type is not JSON, although the path requires it.
    #[display("the content type must be application/json")]
    WrongContentType,
    /// The body exceeds the maximum size.
    #[display("a body has at most {limit_bytes} bytes")]
    TooLarge {
        /// Maximum body size, in bytes.
        limit_bytes: usize,
    },
    /// The body did not arrive in time.
    #[display("the body took too long")]
    BodyTooSlow,
    /// There is no memory for the body.
    #[display("the instance holds too much for its callers")]
    NoMemory,
    /// The connection ended before the whole body was received.
    #[display("the body ended before it was whole")]
    TruncatedBody,
    /// The body is not valid JSON or does not match the schema.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A field of the body has an invalid value.
    #[display("{_0}")]
    Message(MessageError),
    /// A header is missing or malformed.
    #[display("header `{name}` is missing or malformed")]
    Header {
        /// Name of the header.
        name: &'static str,
    },
    /// A path segment is malformed.
    #[display("{_0}")]
    Path(IdError),
    /// The step number is not an unsigned integer.
    #[display("a step is a whole number")]
    StepNumber,
    /// The instance does not accept requests.
    #[display("not ready: {}", _0.code())]
    NotReady(NotReady),
    /// The instance has shut down.
    #[display("the instance has shut down")]
    ShutDown,
    /// The instance does not know the request.
    #[display("this instance does not know the request")]
    RequestUnknown,
    /// The core refused the request.
    #[display("{_1}")]
    Refused(Option<RequestId>, Refusal),
}

impl Failure {
    /// Returns the HTTP answer for the failure, with a typed JSON body.
    #[must_use]
    pub fn response(&self) -> Response<Full<Bytes>> {
        self.with_outcome(self.outcome())
    }

    /// Returns the HTTP answer for the failure of a call that may be a retry.
    ///
    /// The outcome is unknown unless the core decided, since an earlier attempt may have run.
    #[must_use]
    pub fn response_to_retry(&self) -> Response<Full<Bytes>> {
        let outcome = match self {
            // The core tracks the key, so its outcome already covers earlier attempts.
            Self::Refused(..) => self.outcome(),
            _ => Some(Outcome::OutcomeUnknown),
        };
        self.with_outcome(outcome)
    }

    fn with_outcome(&self, outcome: Option<Outcome>) -> Response<Full<Bytes>> {
        let body = ErrorAnswer {
            error: ErrorBody {
                code: self.code().to_owned(),
                message: self.to_string(),
                outcome,
                retry_after_ms: self.retry_after().map(saturating_ms),
                request_id: self.request().map(ToString::to_string),
            },
        };
        let mut response = Response::builder()
            .status(self.status())
            .header(CONTENT_TYPE, "application/json");
        if let Some(retry_after) = self.retry_after() {
            let retry_after_s = retry_after.as_millis().div_ceil(1_000);
            response = response.header(RETRY_AFTER, retry_after_s.to_string());
        }
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        response
            .body(Full::from(bytes))
            .unwrap_or_else(|_| Response::new(Full::default()))
    }

    /// Returns the reason to count if the request was refused before it reached the core.
    #[must_use]
    pub fn http_refusal_reason(&self) -> Option<RefusalReason> {
        match self {
            Self::TooLarge { .. } => Some(RefusalReason::TooLarge),
            Self::WrongContentType
            | Self::BodyTooSlow
            | Self::TruncatedBody
            | Self::Json(_)
            | Self::Message(_)
            | Self::Header { .. }
            | Self::Path(_)
            | Self::StepNumber => Some(RefusalReason::BadRequest),
            Self::NotFound
            | Self::MethodNotAllowed
            | Self::NoMemory
            | Self::NotReady(_)
            | Self::ShutDown
            | Self::RequestUnknown
            | Self::Refused(..) => None,
        }
    }

    fn code(&self) -> &'static str {
        match self {
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::WrongContentType => "wrong_content_type",
            Self::TooLarge { .. } => RefusalReason::TooLarge.code(),
            Self::BodyTooSlow => "body_too_slow",
            Self::NoMemory => "caller_memory",
            Self::TruncatedBody => "truncated_body",
            Self::Json(_) => "malformed_json",
            Self::Message(_) | Self::Header { .. } | Self::Path(_) | Self::StepNumber => {
                RefusalReason::BadRequest.code()
            }
            Self::NotReady(reason) => reason.code(),
            Self::ShutDown => RefusalReason::ShuttingDown.code(),
            Self::RequestUnknown => "request_unknown",
            Self::Refused(_, refusal) => refusal.reason.code(),
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::NotFound | Self::RequestUnknown => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::WrongContentType => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::TruncatedBody
            | Self::Json(_)
            | Self::Message(_)
            | Self::Header { .. }
            | Self::Path(_)
            | Self::StepNumber => StatusCode::BAD_REQUEST,
            Self::NoMemory | Self::NotReady(_) | Self::ShutDown => StatusCode::SERVICE_UNAVAILABLE,
            Self::Refused(_, refusal) => refusal_status(refusal.reason),
        }
    }

    fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Refused(_, refusal) => Some(match refusal.outcome {
                refusal::Outcome::NotRun => Outcome::NotRun,
                refusal::Outcome::OutcomeUnknown => Outcome::OutcomeUnknown,
            }),
            Self::ShutDown => Some(Outcome::OutcomeUnknown),
            Self::RequestUnknown => None,
            _ => Some(Outcome::NotRun),
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused(_, refusal) => refusal.retry_after,
            Self::NoMemory => Some(MEMORY_RETRY_AFTER),
            _ => None,
        }
    }

    fn request(&self) -> Option<&RequestId> {
        match self {
            Self::Refused(request, _) => request.as_ref(),
            _ => None,
        }
    }
}

/// Returns a duration in milliseconds, rounded down and capped at `u64::MAX`.
pub(crate) fn saturating_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::UnknownCaller => StatusCode::FORBIDDEN,
        RefusalReason::UnknownPool | RefusalReason::UnknownRoute => StatusCode::NOT_FOUND,
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::CallerRateLimit
        | RefusalReason::CallerInFlightLimit
        | RefusalReason::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::KeyInUse
        | RefusalReason::KeyExpired
        | RefusalReason::KeyAlreadyRun
        | RefusalReason::StepUnknown => StatusCode::CONFLICT,
        RefusalReason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::EndpointFailed | RefusalReason::StreamLost => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
