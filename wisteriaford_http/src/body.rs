//! Reading of request bodies within size and time limits.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::Collected;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;

/// Time limit for draining the body of a refused request; callers notice the answer within a round
/// trip.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why a body was not read completely.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[display("body too large")]
    TooLarge,
    /// The body did not arrive within the time limit.
    #[display("body too slow")]
    TooSlow,
    /// The body ended early or its encoding is invalid.
    #[display("body incomplete or malformed")]
    Malformed,
}

/// Reads a complete body.
///
/// # Errors
///
/// Fails if the body exceeds `max_bytes` (immediately if its length is declared), takes longer than
/// `timeout`, or is incomplete or malformed.
pub async fn read_body(
    body: &mut Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let declared_bytes = body.size_hint().lower();
    if usize::try_from(declared_bytes).unwrap_or(usize::MAX) > max_bytes {
        return Err(BodyError::TooLarge);
    }
    let read = Limited::new(body, max_bytes).collect();
    let read = tokio::time::timeout(timeout, read).await;
    let read = read.map_err(|_| BodyError::TooSlow)?;
    read.map(Collected::to_bytes).map_err(|error| {
        if error.is::<LengthLimitError>() {
            BodyError::TooLarge
        } else {
            BodyError::Malformed
        }
    })
}

/// Drains the rest of a body whose request was answered early, in a background task.
///
/// Closing a connection with unread bytes resets it, and the reset can overtake the answer.
pub fn drain(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(async move {
        let read = async { while body.frame().await.is_some_and(|frame| frame.is_ok()) {} };
        // A caller that is still sending after the timeout has ignored the answer.
        drop(tokio::time::timeout(DRAIN_TIMEOUT, read).await);
    });
}
