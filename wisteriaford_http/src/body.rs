//! Reading of request bodies within size and time limits.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::body_buffer::BodyBuffer;
use crate::budget::Refused;
use crate::guard::Slot;

/// Time limit for draining the body of a refused request; callers notice the answer within a round
/// trip.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of a refused body that are drained at full speed; ordinary bodies end before.
const FREE_DRAIN_BYTES: usize = 256 * 1024;
/// Bytes that are drained between two pauses, and the pause, so that refused bodies take little processor
/// time.
const DRAIN_STEP_BYTES: usize = 64 * 1024;
const DRAIN_PAUSE: Duration = Duration::from_millis(10);
/// Bytes or frames of a body that are read before other connections have a turn. The HTTP library would
/// read sixteen buffers at a time.
const TURN_BYTES: usize = 16 * 1024;
const TURN_FRAMES: usize = 32;

/// Reason why a body was not read completely.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[display("body too large")]
    TooLarge,
    /// The body did not arrive within the time limit.
    #[display("body too slow")]
    TooSlow,
    /// There is no memory for the body; nothing of it was passed on.
    #[display("no memory for the body")]
    NoMemory,
    /// The body ended early or its encoding is invalid.
    #[display("body incomplete or malformed")]
    Malformed,
}

/// Reads a complete body.
///
/// # Errors
///
/// Fails if the body exceeds `max_bytes` (immediately if its length is declared), takes longer than
/// `timeout`, is incomplete or malformed, or exceeds the memory budget of `slot`.
pub async fn read_body(
    body: &mut Incoming,
    max_bytes: usize,
    timeout: Duration,
    slot: Option<&Slot>,
) -> Result<Bytes, BodyError> {
    let declared_bytes = body.size_hint().lower();
    let declared_bytes = usize::try_from(declared_bytes).unwrap_or(usize::MAX);
    if declared_bytes > max_bytes {
        return Err(BodyError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let _reading = slot.map(Slot::begin_body);
    let read = collect(body, max_bytes, declared_bytes, slot);
    let read = tokio::time::timeout(timeout, read).await;
    read.map_err(|_| BodyError::TooSlow)?
}

async fn collect(
    body: &mut Incoming,
    max_bytes: usize,
    declared_bytes: usize,
    slot: Option<&Slot>,
) -> Result<Bytes, BodyError> {
    let buffer = BodyBuffer::new(slot, declared_bytes);
    let mut buffer = buffer.map_err(|Refused| BodyError::NoMemory)?;
    let (mut received_bytes, mut turn_bytes, mut turn_frames) = (0, 0, 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Malformed)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        received_bytes += data.len();
        if received_bytes > max_bytes {
            return Err(BodyError::TooLarge);
        }
        let extended = buffer.extend(data);
        extended.map_err(|Refused| BodyError::NoMemory)?;
        turn_bytes += data.len();
        turn_frames += 1;
        if turn_bytes >= TURN_BYTES || turn_frames >= TURN_FRAMES {
            (turn_bytes, turn_frames) = (0, 0);
            tokio::task::yield_now().await;
        }
    }
    Ok(buffer.into())
}

/// Drains the rest of a body whose request was answered early, in a background task.
///
/// Closing a connection with unread bytes resets it, and the reset can overtake the answer.
pub fn drain(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(async move {
        let read = async {
            let (mut drained_bytes, mut step_bytes) = (0, 0);
            while let Some(Ok(frame)) = body.frame().await {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                drained_bytes += bytes;
                step_bytes += bytes;
                if drained_bytes > FREE_DRAIN_BYTES && step_bytes > DRAIN_STEP_BYTES {
                    step_bytes = 0;
                    tokio::time::sleep(DRAIN_PAUSE).await;
                }
            }
        };
        // A caller that is still sending after the timeout has ignored the answer.
        drop(tokio::time::timeout(DRAIN_TIMEOUT, read).await);
    });
}
