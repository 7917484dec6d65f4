//! Errors of the stand-ins.

use std::io;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde_json::Value;
use serde_json::json;

/// Result of handling one request.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Errors that can occur while handling a request.
#[derive(Debug, Display, Error, From)]
pub enum RequestError {
    /// The body isn't the JSON that this path expects.
    #[display("the body is not valid: {_0}")]
    Json(serde_json::Error),
    /// A query parameter, header or body field is missing or out of range.
    #[display("parameter {name} is missing or out of range")]
    #[from(skip)]
    Parameter {
        /// Name of the parameter.
        name: &'static str,
    },
    /// The request head isn't valid HTTP/1.1.
    #[display("the request is not valid HTTP: {_0}")]
    Head(httparse::Error),
    /// The request head or body exceeds the size limit.
    #[display("the request is larger than {limit_bytes} bytes")]
    #[from(skip)]
    TooLarge {
        /// Maximum size that is accepted.
        limit_bytes: usize,
    },
    /// The path doesn't exist or doesn't support this method.
    #[display("nothing is served at this path by this method")]
    NotFound,
    /// The weight store has no such model or version.
    #[display("no such model or version")]
    VersionUnknown,
    /// The queue is full; the request didn't run.
    #[display("too many requests wait; this one did not run")]
    Overloaded,
    /// Weights are being loaded; the request didn't run.
    #[display("weights are being loaded; this request did not run")]
    Swapping,
    /// The endpoint is leaving; the request didn't run.
    #[display("the endpoint is leaving; this request did not run")]
    Leaving,
    /// The order carried an outdated fencing number.
    #[display("the order is fenced off by number {fence}")]
    #[from(skip)]
    Fenced {
        /// Highest fencing number received so far.
        fence: u64,
    },
    /// A rate or concurrency limit was reached.
    #[display("the rate limit is reached")]
    RateLimited,
    /// The connection failed, or an injected fault closed it.
    #[display("connection: {_0}")]
    Connection(io::Error),
}

impl RequestError {
    /// Returns the HTTP status code of the answer.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::Json(_) | Self::Parameter { .. } | Self::Head(_) | Self::Connection(_) => 400,
            Self::NotFound | Self::VersionUnknown => 404,
            Self::Swapping | Self::Fenced { .. } => 409,
            Self::Leaving => 410,
            Self::TooLarge { .. } => 413,
            Self::RateLimited => 429,
            Self::Overloaded => 503,
        }
    }

    /// Returns the stable error code in the answer's body.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Json(_) => "body_invalid",
            Self::Parameter { .. } => "parameter_invalid",
            Self::Head(_) => "request_invalid",
            Self::TooLarge { .. } => "too_large",
            Self::NotFound => "not_found",
            Self::VersionUnknown => "version_unknown",
            Self::Overloaded => "overloaded",
            Self::Swapping => "swapping",
            Self::Leaving => "leaving",
            Self::Fenced { .. } => "fenced",
            Self::RateLimited => "rate_limited",
            Self::Connection(_) => "connection",
        }
    }

    /// Returns the JSON body of the answer.
    #[must_use]
    pub fn body(&self) -> Value {
        let mut error = json!({"code": self.code(), "message": self.to_string()});
        if let Self::Fenced { fence } = self {
            error["fence"] = json!(fence);
        }
        json!({ "error": error })
    }
}
