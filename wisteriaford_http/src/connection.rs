//! Accepting of connections.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Delay after a failed accept, long enough for another connection to close.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Permit for one connection, released on drop.
#[derive(Debug)]
pub struct Permit {
    _permit: Option<OwnedSemaphorePermit>,
}

/// Accepts connections until `stop` completes and the accept queue is empty.
///
/// With `permits`, a connection is accepted only once a permit is free; further connections wait in
/// the kernel's accept queue.
pub async fn accept(
    listener: TcpListener,
    permits: Option<Arc<Semaphore>>,
    stop: impl Future<Output = ()>,
    serve: impl Fn(TcpStream, Permit),
) {
    tokio::pin!(stop);
    loop {
        let next = next_connection(&listener, permits.as_ref());
        let accepted = tokio::select! {
            accepted = next => accepted,
            () = &mut stop => break,
        };
        match accepted {
            Ok((stream, permit)) => serve(stream, permit),
            Err(error) => {
                log::warn!(error:% = error; "failed to accept connection");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    for stream in queued_connections(listener) {
        serve(stream, Permit { _permit: None });
    }
}

/// Closes a listener and returns the connections in its accept queue.
///
/// These are established for their callers, and closing the listener would reset them.
fn queued_connections(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let accept = || {
        let (stream, _) = listener.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    };
    std::iter::from_fn(accept).collect()
}

async fn next_connection(
    listener: &TcpListener,
    permits: Option<&Arc<Semaphore>>,
) -> std::io::Result<(TcpStream, Permit)> {
    let permit = match permits {
        Some(permits) => Arc::clone(permits).acquire_owned().await.ok(),
        None => None,
    };
    let (stream, _) = listener.accept().await?;
    Ok((stream, Permit { _permit: permit }))
}

/// Waits for the first byte of a connection and returns whether it arrived within `idle_timeout`.
///
/// Callers start serving the connection only after this, so an idle connection holds no server
/// buffers.
pub async fn wait_for_first_byte(stream: &TcpStream, idle_timeout: Duration) -> bool {
    // Without TCP_NODELAY, small answers wait for acknowledgements. A failure is harmless.
    drop(stream.set_nodelay(true));
    let mut first_byte = [0];
    let peeked = tokio::time::timeout(idle_timeout, stream.peek(&mut first_byte)).await;
    matches!(peeked, Ok(Ok(1)))
}
