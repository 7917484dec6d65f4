//! Connections of callers.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Wait after a connection could not be accepted; long enough for one to be closed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Right to a connection, given back when it is dropped.
#[derive(Debug)]
pub struct Permit {
    _permit: Option<OwnedSemaphorePermit>,
}

/// Accepts connections until `stop` is done.
///
/// With `slots`, a connection is accepted once a permit is free, and others wait in the kernel's
/// queue.
pub async fn accept(
    listener: TcpListener,
    slots: Option<Arc<Semaphore>>,
    stop: impl Future<Output = ()>,
    serve: impl Fn(TcpStream, Permit),
) {
    tokio::pin!(stop);
    loop {
        let next = next_connection(&listener, slots.as_ref());
        let accepted = tokio::select! {
            accepted = next => accepted,
            () = &mut stop => return,
        };
        match accepted {
            Ok((stream, permit)) => serve(stream, permit),
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn next_connection(
    listener: &TcpListener,
    slots: Option<&Arc<Semaphore>>,
) -> std::io::Result<(TcpStream, Permit)> {
    let permit = match slots {
        Some(slots) => Arc::clone(slots).acquire_owned().await.ok(),
        None => None,
    };
    let (stream, _) = listener.accept().await?;
    Ok((stream, Permit { _permit: permit }))
}

/// Waits for the first byte of a connection; returns whether one came in time.
///
/// A connection without a request needs none of a server's buffers, so it is served from here on.
pub async fn has_request(stream: &TcpStream, idle_timeout: Duration) -> bool {
    // Without it small answers wait for acknowledgements; the connection works either way.
    drop(stream.set_nodelay(true));
    let mut first_byte = [0];
    let peeked = tokio::time::timeout(idle_timeout, stream.peek(&mut first_byte)).await;
    matches!(peeked, Ok(Ok(1)))
}
