//! HTTP client for calls to endpoints, peers and the log.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use wisteriaford_core::gateway::links::Way;
use wisteriaford_core::time::Timestamp;

use crate::adapter::EndpointRequest;
use crate::body_buffer::BodyBuffer;
use crate::clock;
use crate::connection_pool::Connection;
use crate::connection_pool::ConnectionPool;
use crate::large_bodies::LargeBodies;

/// Maximum size of the head of an answer and all interim answers before it, in bytes.
const MAX_HEAD_BYTES: usize = 256 * 1024;
/// Maximum size of a body that is read completely, in bytes; the largest page of the log has 1.4 MB.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Maximum size of an unused body, in bytes; a larger one costs more than a new connection.
const MAX_DISCARDED_BYTES: usize = 16 * 1024;
/// Silence of a call that is given up after which the idle connections to its peer are closed.
const DEAD_CONNECTION_SILENCE: Duration = Duration::from_millis(250);
/// Time limit for reading an unused body, some tens of round trips.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Error of a call without a complete answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CallError {
    /// Nothing was sent.
    #[display("unreachable: {cause}")]
    Unreachable {
        /// Description of the failure.
        cause: CompactString,
    },
    /// The answer was lost; the call may have taken effect.
    #[display("answer lost: {cause}")]
    Lost {
        /// Description of the failure.
        cause: CompactString,
    },
    /// The call timed out; it may have taken effect.
    #[display("no answer in time")]
    Timeout,
}

impl CallError {
    pub(crate) fn unreachable(cause: impl std::fmt::Display) -> Self {
        let cause = format_compact!("{cause}");
        Self::Unreachable { cause }
    }

    pub(crate) fn lost(cause: impl std::fmt::Display) -> Self {
        let cause = format_compact!("{cause}");
        Self::Lost { cause }
    }
}

/// Answer whose body has been read completely.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Answer whose body is still arriving; dropping it closes the connection.
pub(crate) struct IncomingAnswer {
    pub(crate) response: Response<Incoming>,
    connection: Connection,
    peer: CompactString,
    address: SocketAddr,
    pool: Arc<ConnectionPool>,
    large_bodies: LargeBodies,
}

impl IncomingAnswer {
    /// Returns the connection to the pool; the body must have been read completely.
    pub(crate) fn keep_connection(self) {
        let headers = self.response.headers();
        if requests_close(headers) {
            return;
        }
        let keep_alive = keep_alive_timeout(headers);
        let Self {
            connection,
            peer,
            address,
            pool,
            ..
        } = self;
        pool.put(&peer, address, connection, keep_alive);
    }

    /// Returns whether the connection had no other request before, whose answer this could be.
    pub(crate) fn is_first(&self) -> bool {
        !self.connection.reused
    }

    /// Returns whether the end of the body is marked, so that a truncated one can be told from a whole one.
    pub(crate) fn has_marked_end(&self) -> bool {
        let headers = self.response.headers();
        headers.contains_key(header::TRANSFER_ENCODING)
            || headers.contains_key(header::CONTENT_LENGTH)
    }

    /// Returns whether another instance carries the connection.
    pub(crate) fn is_carried(&self) -> bool {
        self.connection.carrier.is_some()
    }

    /// Reads the unused body, and returns the connection if it can be used for another request.
    pub(crate) async fn into_unused_connection(mut self) -> Option<Connection> {
        let read = async {
            let mut size_bytes = 0;
            while let Some(frame) = self.response.body_mut().frame().await {
                size_bytes += frame.ok()?.into_data().map_or(0, |data| data.len());
                if size_bytes > MAX_DISCARDED_BYTES {
                    return None;
                }
            }
            Some(())
        };
        let read = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
        read.ok()??;
        if requests_close(self.response.headers()) {
            return None;
        }
        let mut connection = self.connection;
        connection.sender.ready().await.ok()?;
        Some(connection)
    }

    /// Reads the complete body and returns the connection to the pool.
    ///
    /// Fails if the body exceeds [`MAX_BODY_BYTES`].
    pub(crate) async fn read_complete(self) -> Result<CompleteAnswer, CallError> {
        self.read_at_most(MAX_BODY_BYTES).await
    }

    /// Reads the unused body of a refusal, which allows the connection to be reused; closes it if the
    /// body is large or slow.
    pub(crate) async fn discard_body(self) {
        let read = self.read_at_most(MAX_DISCARDED_BYTES);
        // The answer is of no use either way.
        drop(tokio::time::timeout(DISCARD_TIMEOUT, read).await);
    }

    async fn read_at_most(mut self, max_bytes: usize) -> Result<CompleteAnswer, CallError> {
        let length_bytes = self.response.body().size_hint().exact();
        let length_bytes = length_bytes.and_then(|bytes| usize::try_from(bytes).ok());
        if length_bytes.is_some_and(|bytes| bytes > max_bytes) {
            return Err(CallError::lost("the body is too large"));
        }
        let mut memory = self.large_bodies.begin(&self.peer, length_bytes);
        let mut body = BodyBuffer::default();
        while let Some(frame) = self.response.body_mut().frame().await {
            let data = frame.map_err(CallError::lost)?.into_data();
            let data = data.unwrap_or_default();
            let size_bytes = body.size_bytes() + data.len();
            if size_bytes > max_bytes {
                return Err(CallError::lost("the body is too large"));
            }
            memory.grow_to(size_bytes).await?;
            body.extend(&data);
        }
        let body = Bytes::from(body);
        let status = self.response.status();
        let headers = self.response.headers().clone();
        self.keep_connection();
        Ok(CompleteAnswer {
            status,
            headers,
            body,
        })
    }
}

/// Call in progress. If it is given up after a while, the idle connections to its peer are closed: they
/// may be as dead as its own.
struct CallProgress<'a> {
    pool: &'a ConnectionPool,
    peer: &'a str,
    address: SocketAddr,
    began_at: Timestamp,
    has_ended: bool,
}

impl Drop for CallProgress<'_> {
    fn drop(&mut self) {
        let elapsed = clock::now().since(self.began_at);
        if !self.has_ended && elapsed >= DEAD_CONNECTION_SILENCE {
            self.pool.close_idle(self.peer, self.address);
        }
    }
}

/// HTTP client with a connection pool.
#[derive(Clone)]
pub struct Client {
    pool: Arc<ConnectionPool>,
    /// Bound on the memory that servers can make the process use.
    large_bodies: LargeBodies,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            pool: Arc::default(),
            large_bodies: LargeBodies::of_endpoints(),
        }
    }
}

impl Client {
    /// Returns a client for the log, for other instances or for the platform's calls, with the same
    /// connections: endless bodies of endpoints don't keep it from reading large answers.
    #[must_use]
    pub fn for_peers(&self) -> Self {
        Self {
            pool: Arc::clone(&self.pool),
            large_bodies: LargeBodies::of_peers(),
        }
    }

    /// Sends a request and returns the answer once its head has arrived.
    ///
    /// With `fresh`, a new connection is opened instead of reusing an idle one.
    pub(crate) async fn open(
        &self,
        peer: &str,
        address: SocketAddr,
        request: EndpointRequest,
        fresh: bool,
    ) -> Result<IncomingAnswer, CallError> {
        let connection = self.pool.get(peer, address, fresh).await?;
        self.send(connection, peer, address, request).await
    }

    /// Returns an idle connection to a peer that goes the given way, if there is one.
    pub(crate) async fn take_idle(
        &self,
        peer: &str,
        address: SocketAddr,
        way: Way,
    ) -> Option<Connection> {
        self.pool.take_ready(peer, address, way).await
    }

    /// Keeps a connection to a peer that has not been used.
    pub(crate) fn keep_unused(&self, peer: &str, address: SocketAddr, connection: Connection) {
        self.pool.put(peer, address, connection, None);
    }

    /// Closes the idle connections that other instances carry.
    pub(crate) fn close_carried(&self) {
        self.pool.close_carried();
    }

    /// Sends a request over a connection and returns the answer once its head has arrived.
    pub(crate) async fn send(
        &self,
        mut connection: Connection,
        peer: &str,
        address: SocketAddr,
        request: EndpointRequest,
    ) -> Result<IncomingAnswer, CallError> {
        let request = build_request(request, address)?;
        connection.head_budget.limit(MAX_HEAD_BYTES);
        let sent = connection.sender.try_send_request(request).await;
        connection.head_budget.lift();
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => {
                let not_sent = error.take_message().is_some();
                let error = error.into_error();
                return Err(if not_sent {
                    CallError::unreachable(error)
                } else {
                    CallError::lost(error)
                });
            }
        };
        Ok(IncomingAnswer {
            response,
            connection,
            peer: peer.into(),
            address,
            pool: Arc::clone(&self.pool),
            large_bodies: self.large_bodies.clone(),
        })
    }

    /// Sends a request and reads the complete answer within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the peer is unreachable or the complete answer does not arrive in time.
    pub async fn call(
        &self,
        peer: &str,
        address: SocketAddr,
        request: EndpointRequest,
        timeout: Duration,
    ) -> Result<CompleteAnswer, CallError> {
        let opened = self.open(peer, address, request, false);
        self.complete(peer, address, opened, timeout).await
    }

    /// Makes a call like [`Client::call`], unless `may_send` forbids it once there is a connection.
    ///
    /// # Errors
    ///
    /// Fails like [`Client::call`]; a call that was forbidden is unreachable.
    pub async fn call_if(
        &self,
        peer: &str,
        address: SocketAddr,
        request: EndpointRequest,
        timeout: Duration,
        may_send: &(dyn Fn() -> bool + Send + Sync),
    ) -> Result<CompleteAnswer, CallError> {
        let opened = async {
            let connection = self.pool.get(peer, address, false).await?;
            if !may_send() {
                self.keep_unused(peer, address, connection);
                return Err(CallError::unreachable("the right to call has ended"));
            }
            self.send(connection, peer, address, request).await
        };
        self.complete(peer, address, opened, timeout).await
    }

    /// Reads the complete answer to a request that is being sent to a peer, within `timeout`.
    pub(crate) async fn complete(
        &self,
        peer: &str,
        address: SocketAddr,
        opened: impl Future<Output = Result<IncomingAnswer, CallError>>,
        timeout: Duration,
    ) -> Result<CompleteAnswer, CallError> {
        let mut progress = CallProgress {
            pool: &self.pool,
            peer,
            address,
            began_at: clock::now(),
            has_ended: false,
        };
        let call = async { opened.await?.read_complete().await };
        match tokio::time::timeout(timeout, call).await {
            Ok(result) => {
                progress.has_ended = true;
                result
            }
            Err(_) => Err(CallError::Timeout),
        }
    }

    /// Returns the number of idle connections to a peer.
    pub(crate) fn idle_count(&self, peer: &str, address: SocketAddr) -> usize {
        self.pool.idle_count(peer, address)
    }

    /// Closes expired idle connections and those to unknown peers.
    pub(crate) fn prune(&self, is_known: impl Fn(&str) -> bool) {
        self.pool.prune(is_known);
    }
}

fn build_request(
    request: EndpointRequest,
    address: SocketAddr,
) -> Result<Request<Full<Bytes>>, CallError> {
    let mut built = Request::builder()
        .method(request.method)
        .uri(request.path.as_str())
        .body(Full::new(request.body))
        .map_err(CallError::unreachable)?;
    *built.headers_mut() = request.headers;
    if !built.headers().contains_key(header::HOST) {
        let host = address.to_string().parse();
        let host = host.map_err(CallError::unreachable)?;
        built.headers_mut().insert(header::HOST, host);
    }
    Ok(built)
}

fn requests_close(headers: &HeaderMap) -> bool {
    let connection = headers.get(header::CONNECTION);
    let text = connection.and_then(|value| value.to_str().ok());
    text.is_some_and(|text| text.to_ascii_lowercase().contains("close"))
}

fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| value.trim().parse().ok()).flatten()
    });
    seconds.map(Duration::from_secs)
}
