//! Bytes of a connection to an endpoint that one instance carries for another.
//!
//! The endpoint's bytes come in frames, so that the end of its connection can be told from that of the
//! carrier: an answer may end with its connection.

use std::io;
use std::pin::Pin;

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
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::StreamReader;

/// Maximum size of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Returns the stream of bytes to and from the endpoint, at the instance whose connection it is.
pub(crate) fn open(upgraded: Upgraded) -> impl AsyncRead + AsyncWrite + Send + Unpin + 'static {
    let (read, write) = tokio::io::split(TokioIo::new(upgraded));
    let frames = FramedRead::new(read, codec());
    tokio::io::join(StreamReader::new(until_end(frames)), write)
}

/// Carries a connection to an endpoint until either end closes it.
pub(crate) async fn carry(upgraded: Upgraded, endpoint: TcpStream) {
    let (mut from_instance, to_instance) = tokio::io::split(TokioIo::new(upgraded));
    let (mut from_endpoint, mut to_endpoint) = endpoint.into_split();
    let mut frames = FramedWrite::new(to_instance, codec());
    // A failure closes both connections, which each end notices.
    tokio::select! {
        _ = tokio::io::copy(&mut from_instance, &mut to_endpoint) => {}
        _ = send_frames(&mut from_endpoint, &mut frames) => {}
    }
}

/// Sends what an endpoint sends, and an empty frame once it has closed its connection.
async fn send_frames<W>(
    from_endpoint: &mut OwnedReadHalf,
    frames: &mut FramedWrite<W, LengthDelimitedCodec>,
) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    loop {
        // An idle connection holds no buffer.
        from_endpoint.readable().await?;
        let mut bytes = BytesMut::with_capacity(MAX_FRAME_BYTES);
        let mut limited = (&mut *from_endpoint).take(MAX_FRAME_BYTES as u64);
        let count = limited.read_buf(&mut bytes).await?;
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
