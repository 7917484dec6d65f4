//! Bodies of requests, within their limits.

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

/// Longest time that the rest of a refused request's body is read; callers notice the answer within
/// a round trip.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a body was not read whole.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// It is longer than allowed.
    #[display("body too large")]
    TooLarge,
    /// It did not arrive in time.
    #[display("body too slow")]
    TooSlow,
    /// It ended early, or its encoding can't be understood.
    #[display("body broken")]
    Broken,
}

/// Reads a body whole.
///
/// # Errors
///
/// Fails if it has more than `max_bytes`, at once where its length is declared, if it takes longer
/// than `timeout`, or if it breaks off.
pub async fn read_body(
    body: &mut Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let declared = body.size_hint().lower();
    if usize::try_from(declared).unwrap_or(usize::MAX) > max_bytes {
        return Err(BodyError::TooLarge);
    }
    let read = Limited::new(body, max_bytes).collect();
    let read = tokio::time::timeout(timeout, read).await;
    let read = read.map_err(|_| BodyError::TooSlow)?;
    read.map(Collected::to_bytes).map_err(|error| {
        if error.is::<LengthLimitError>() {
            BodyError::TooLarge
        } else {
            BodyError::Broken
        }
    })
}

/// Has the rest of a body that was answered early read and dropped.
///
/// A connection closed with unread bytes is reset, and the reset can overtake the answer.
pub fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(async move {
        let read = async { while body.frame().await.is_some_and(|frame| frame.is_ok()) {} };
        // A caller that still sends after this has ignored its answer.
        drop(tokio::time::timeout(DISCARD_TIMEOUT, read).await);
    });
}
