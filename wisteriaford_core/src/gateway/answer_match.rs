//! Whether an answer belongs to the request that it is taken for.
//!
//! A faulty endpoint may send an answer twice, late, where the answer to a later request on the
//! connection is expected.

use derive_more::Display;
use derive_more::Error;

/// What an answer says of the request that it answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AnswerIdentity<'a> {
    /// Id of the request, as echoed by the endpoint; empty or `None` if it names none.
    pub request: Option<&'a str>,
    /// Whether the answer has the signature of an endpoint that processed the request.
    pub is_signed: bool,
    /// Whether the endpoint guarantees that it did not run the request.
    pub not_run: bool,
}

impl<'a> AnswerIdentity<'a> {
    fn named(self) -> Option<&'a str> {
        self.request.filter(|request| !request.is_empty())
    }
}

/// Reason for which an answer doesn't count as that of a request.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum AnswerMismatch {
    /// It names another request, or a request though the own one has no id.
    #[display("the answer belongs to another request")]
    OtherRequest,
    /// It names no request, on a connection that had another request before.
    #[display("the answer names no request")]
    Unnamed,
    /// It has no signature.
    #[display("the answer has no proof of coming from an endpoint")]
    Unsigned,
}

/// Checks the answer to a request with an id.
///
/// An answer that names no request counts only on a connection without an earlier request
/// (`is_first`), whose answer it could be. Refusals without a run need neither name nor signature.
///
/// # Errors
///
/// Fails if the answer doesn't count as that of the request.
pub fn check(
    expected: &str,
    answer: AnswerIdentity<'_>,
    is_first: bool,
) -> Result<(), AnswerMismatch> {
    match answer.named() {
        Some(named) if named != expected => Err(AnswerMismatch::OtherRequest),
        _ if answer.not_run => Ok(()),
        _ if !answer.is_signed => Err(AnswerMismatch::Unsigned),
        None if !is_first => Err(AnswerMismatch::Unnamed),
        _ => Ok(()),
    }
}

/// Checks the answer to a request without an id: an inspection or an order.
///
/// # Errors
///
/// Fails if the answer names a request.
pub fn check_control(answer: AnswerIdentity<'_>) -> Result<(), AnswerMismatch> {
    match answer.named() {
        Some(_) => Err(AnswerMismatch::OtherRequest),
        None => Ok(()),
    }
}
