//! Bytes of a connection to an endpoint that one instance carries for another.
//!
//! The endpoint's bytes come in frames, so that the end of its connection can be told from that of the
//! carrier: an answer may end with its connection.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::Stream;
use futures_util::StreamExt;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::StreamReader;
use wisteriaford_core::time::Timestamp;

use crate::clock;

/// Maximum size of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024;
/// Silence after bytes of an endpoint from which a connection counts as idle, longer than a stream pauses.
const IDLE_SILENCE: Duration = Duration::from_millis(500);
/// Interval of the check whether a connection is idle, while the instance stops.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the stream of bytes to and from the endpoint, at the instance whose connection it is.
pub(crate) fn open(upgraded: Upgraded) -> impl AsyncRead + AsyncWrite + Send + Unpin + 'static {
    let (read, write) = tokio::io::split(TokioIo::new(upgraded));
    let frames = FramedRead::new(read, codec());
    tokio::io::join(StreamReader::new(until_end(frames)), write)
}

/// Carries a connection to an endpoint until either end closes it, or until no request is in progress
/// once `stop` has completed.
pub(crate) async fn carry(upgraded: Upgraded, endpoint: TcpStream, stop: impl Future<Output = ()>) {
    let (mut from_instance, to_instance) = tokio::io::split(TokioIo::new(upgraded));
    let (mut from_endpoint, mut to_endpoint) = endpoint.into_split();
    let mut frames = FramedWrite::new(to_instance, codec());
    let activity = Activity::default();
    // The first request is on its way.
    activity.record(false);
    let close_when_idle = async {
        stop.await;
        while !activity.is_idle() {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
    };
    // A failure closes both connections, which each end notices.
    tokio::select! {
        _ = send_bytes(&mut from_instance, &mut to_endpoint, &activity) => {}
        _ = send_frames(&mut from_endpoint, &mut frames, &activity) => {}
        () = close_when_idle => {}
    }
}

/// Which end of a carried connection sent last, and when.
#[derive(Debug, Default)]
struct Activity {
    last_us: AtomicU64,
    awaits_answer: AtomicBool,
}

impl Activity {
    fn record(&self, awaits_answer: bool) {
        self.last_us.store(clock::now().0, Ordering::Release);
        self.awaits_answer.store(awaits_answer, Ordering::Release);
    }

    /// Returns whether no request seems to be in progress.
    fn is_idle(&self) -> bool {
        let last_at = Timestamp(self.last_us.load(Ordering::Acquire));
        let silence = clock::now().since(last_at);
        !self.awaits_answer.load(Ordering::Acquire) && silence >= IDLE_SILENCE
    }
}

/// Sends what an instance sends on to an endpoint.
async fn send_bytes<R, W>(
    from_instance: &mut R,
    to_endpoint: &mut W,
    activity: &Activity,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut bytes = vec![0; MAX_FRAME_BYTES];
    loop {
        let count = from_instance.read(&mut bytes).await?;
        if count == 0 {
            return Ok(());
        }
        activity.record(true);
        to_endpoint.write_all(&bytes[..count]).await?;
    }
}

/// Sends what an endpoint sends, and an empty frame once it has closed its connection.
async fn send_frames<W>(
    from_endpoint: &mut OwnedReadHalf,
    frames: &mut FramedWrite<W, LengthDelimitedCodec>,
    activity: &Activity,
) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    loop {
        // An idle connection holds no buffer in this direction.
        from_endpoint.readable().await?;
        let mut bytes = BytesMut::with_capacity(MAX_FRAME_BYTES);
        let mut limited = (&mut *from_endpoint).take(MAX_FRAME_BYTES as u64);
        let count = limited.read_buf(&mut bytes).await?;
        activity.record(false);
        frames.send(bytes.freeze()).await?;
        if count == 0 {
            return Ok(());
        }
    }
}

/// Returns the content of frames until an empty one; fails if there is none.
fn until_end<R>(
    frames: FramedRead<R, LengthDelimitedCodec>,
) -> Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>
where
    R: AsyncRead + Send + Unpin + 'static,
{
    let contents = futures_util::stream::unfold(Some(frames), |frames| async move {
        let mut frames = frames?;
        match frames.next().await {
            Some(Ok(frame)) if frame.is_empty() => None,
            Some(Ok(frame)) => Some((Ok(frame.freeze()), Some(frames))),
            Some(Err(error)) => Some((Err(error), None)),
            None => {
                let error = io::Error::new(io::ErrorKind::UnexpectedEof, "the carrier has ended");
                Some((Err(error), None))
            }
        }
    });
    Box::pin(contents)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
