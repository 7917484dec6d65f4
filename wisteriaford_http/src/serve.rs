//! Serving of a caller's connection within the memory budget and the time limits.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::caller_stream::Activity;
use crate::caller_stream::CallerStream;
use crate::caller_stream::ConnectionTimeouts;
use crate::caller_stream::Eviction;
use crate::caller_stream::Expiry;
use crate::guard::Guard;
use crate::guard::Slot;

/// Minimum buffer size that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Memory of the budget that a connection's kernel buffer may take a fraction of, as a divisor.
const SOCKET_BUFFER_DIVISOR: u64 = 1_024;
/// Range of the size of a connection's receive and send buffer, in bytes. The kernel's own size grows to
/// megabytes. 64 KiB carry 64 MB/s at a round trip of 1 ms, ten times the smallest machine's link.
const SOCKET_BUFFER_BYTES: std::ops::RangeInclusive<u64> = 64 * 1024..=256 * 1024;

/// Delay of a pipelined request for each one in a row, and its maximum.
const PIPELINED_DELAY: Duration = Duration::from_millis(2);
const MAX_PIPELINED_DELAY: Duration = Duration::from_millis(100);

const HEAD_TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const OVERLOAD_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.500\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum size of a head, in bytes.
    pub max_head_bytes: usize,
    /// Time limits.
    pub timeouts: ConnectionTimeouts,
}

/// Bounds the kernel's buffers of the connections that a listener accepts, if the memory is limited.
///
/// Lowered only once a connection is open, the window would stay below half of the largest one that the
/// sender has seen, and the sender would wait 200 ms for each part.
pub fn limit_buffers(listener: &TcpListener, guard: &Guard) {
    let Some(total_bytes) = guard.limited_bytes() else {
        return;
    };
    let range = SOCKET_BUFFER_BYTES;
    let bytes = (total_bytes / SOCKET_BUFFER_DIVISOR).clamp(*range.start(), *range.end());
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    let socket = SockRef::from(listener);
    for limited in [
        socket.set_recv_buffer_size(bytes),
        socket.set_send_buffer_size(bytes),
    ] {
        if let Err(error) = limited {
            log::warn!(error:% = error; "failed to limit the buffers of callers' connections");
        }
    }
}

/// Admits a connection; answers that it is refused if there is no room.
#[must_use]
pub fn admit(guard: &std::sync::Arc<Guard>, stream: TcpStream) -> Option<(TcpStream, Slot)> {
    let source = stream.peer_addr().ok()?.ip();
    let Some(slot) = guard.open(source) else {
        drop(stream.try_write(OVERLOAD_ANSWER));
        return None;
    };
    Some((stream, slot))
}

/// Serves the requests of a connection until it ends, a time limit passes or the budget evicts it.
///
/// `close` completes when the connection is to be closed after the request in progress. Handlers find
/// the [`Slot`] among the extensions of a request.
pub async fn serve<F, B>(
    stream: TcpStream,
    slot: Slot,
    limits: ConnectionLimits,
    handle: impl Fn(Request<Incoming>) -> F,
    close: impl Future<Output = ()>,
) where
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if slot.activate().is_err() {
        drop(stream.try_write(OVERLOAD_ANSWER));
        return;
    }
    let activity = Activity::new(slot.clone());
    let service = service_fn(|mut request: Request<Incoming>| {
        let pipelined = activity.begin_request();
        let ended = EndOnDrop(activity.clone());
        request.extensions_mut().insert(slot.clone());
        let answer = handle(request);
        async move {
            if pipelined > 0 {
                // Leaves the other connections their turns; no ordinary caller pipelines requests.
                tokio::time::sleep((PIPELINED_DELAY * pipelined).min(MAX_PIPELINED_DELAY)).await;
            }
            let answer = answer.await;
            ended.0.begin_answer(answer.body().size_hint().exact());
            Ok::<_, Infallible>(answer.map(|body| AnswerBody {
                body: Box::pin(body),
                _ended: ended,
            }))
        }
    });
    let stream = CallerStream::new(stream, activity.clone(), limits.timeouts.unread);
    let mut connection = http1::Builder::new()
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(close);
    let mut is_closing = false;
    let end = loop {
        tokio::select! {
            ended = &mut connection => break End::Ended(ended),
            () = slot.evicted() => match activity.eviction() {
                Eviction::Refuse => break End::Refused,
                Eviction::Close => break End::Evicted,
                Eviction::Finish => Pin::new(&mut connection).graceful_shutdown(),
            },
            expiry = activity.expire(&limits.timeouts) => break End::Expired(expiry),
            () = &mut close, if !is_closing => {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let answer = match end {
        End::Refused => Some(OVERLOAD_ANSWER),
        End::Evicted => None,
        End::Expired(Expiry::Head) => {
            slot.record_timeout("head too slow");
            Some(HEAD_TIMEOUT_ANSWER)
        }
        End::Ended(Err(_)) if activity.is_unread() => {
            slot.record_timeout("answer not read");
            None
        }
        End::Ended(Err(error)) => {
            log::debug!(error:% = error; "connection of a caller failed");
            return;
        }
        End::Ended(Ok(())) | End::Expired(Expiry::Idle) => return,
    };
    let stream = connection.into_parts().io.into_inner().into_inner();
    let written =
        answer.map(|answer| matches!(stream.try_write(answer), Ok(n) if n == answer.len()));
    if written != Some(true) {
        // What wasn't read would stay in the kernel's buffer.
        drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
    }
}

/// How a connection ended.
enum End {
    Ended(hyper::Result<()>),
    /// It made way for others, and its request is refused.
    Refused,
    /// It made way for others without an answer.
    Evicted,
    Expired(Expiry),
}

/// Ends a request when its answer has been passed to the connection, or is dropped.
struct EndOnDrop(Activity);

impl Drop for EndOnDrop {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// Body of an answer, whose end is recorded.
struct AnswerBody<B> {
    body: Pin<Box<B>>,
    _ended: EndOnDrop,
}

impl<B: Body> Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
