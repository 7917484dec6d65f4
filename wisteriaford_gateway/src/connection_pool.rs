//! Pool of connections to endpoints, peers and the log.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::Equivalent;
use indexmap::IndexMap;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use wisteriaford_core::gateway::links::Way;
use wisteriaford_core::time::Timestamp;

use crate::budgeted_stream::BudgetedStream;
use crate::budgeted_stream::ReadBudget;
use crate::client::CallError;
use crate::clock;

/// Timeout for establishing a connection, a hundred times the round trip between availability
/// zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time before TCP keep-alive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 3;
/// Time that sent data may stay unacknowledged before the kernel closes the connection.
///
/// It also decides when probes give up, whatever their number (see tcp(7), `TCP_USER_TIMEOUT`): a shorter
/// one would close a sound connection to a silent peer once a single probe is lost.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
const _: () = assert!(
    UNACKNOWLEDGED_TIMEOUT.as_secs()
        >= KEEPALIVE_IDLE.as_secs() + KEEPALIVE_INTERVAL.as_secs() * KEEPALIVE_PROBES as u64
);
/// Idle timeout of connections whose peer announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Part of the peer's idle timeout that is left unused, so that no request races with the close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum size of a connection's read buffer.
const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// Maximum number of idle connections per peer.
const MAX_IDLE_PER_PEER: usize = 32;

/// Connection that serves one request at a time; dropping it closes it.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) reused: bool,
    /// Time at which it was opened.
    pub(crate) opened_at: Timestamp,
    /// Bytes that may still be read of the head of an answer.
    pub(crate) head_budget: ReadBudget,
    /// Host of the instance that carries the connection; `None` for a direct one.
    pub(crate) carrier: Option<CompactString>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a direct connection.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let opened_at = clock::now();
        let stream = connect(address).await?;
        Self::over(stream, opened_at, None).await
    }

    /// Begins to speak HTTP over a stream of bytes, which `carrier` carries.
    pub(crate) async fn over(
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        opened_at: Timestamp,
        carrier: Option<CompactString>,
    ) -> Result<Self, CallError> {
        let head_budget = ReadBudget::default();
        let stream = BudgetedStream::new(stream, head_budget.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, driver) = handshake.await.map_err(CallError::unreachable)?;
        // An error of the driver also fails the request in progress, which reports it.
        let driver = tokio::spawn(async move { drop(driver.await) });
        Ok(Self {
            sender,
            reused: false,
            opened_at,
            head_budget,
            carrier,
            driver,
        })
    }
}

/// Connects to an address.
pub(crate) async fn connect(address: SocketAddr) -> Result<TcpStream, CallError> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| CallError::unreachable("no connection in time"))?
        .map_err(CallError::unreachable)?;
    configure(&stream).map_err(CallError::unreachable)?;
    Ok(stream)
}

/// Sets the options of a connection to or from a peer, which may end without notice.
pub(crate) fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

struct IdleConnection {
    connection: Connection,
    expires_at: Timestamp,
}

/// Peer, its address, and whether connections to it are carried by another instance.
type PeerKey = (String, SocketAddr, bool);

/// Borrowed key for looking up a peer without copying its name.
#[derive(Hash)]
struct PeerRef<'a>(&'a str, SocketAddr, bool);

impl Equivalent<PeerKey> for PeerRef<'_> {
    fn equivalent(&self, key: &PeerKey) -> bool {
        self.0 == key.0 && self.1 == key.1 && self.2 == key.2
    }
}

/// Idle connections by peer.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<IndexMap<PeerKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Returns an idle connection to a peer or opens a new one.
    ///
    /// `peer` distinguishes peers that use the same address at different times.
    pub(crate) async fn get(
        &self,
        peer: &str,
        address: SocketAddr,
        fresh: bool,
    ) -> Result<Connection, CallError> {
        if !fresh && let Some(connection) = self.take_ready(peer, address, Way::Direct).await {
            return Ok(connection);
        }
        Connection::open(address).await
    }

    /// Returns an idle connection to a peer that goes the given way, if there is one.
    pub(crate) async fn take_ready(
        &self,
        peer: &str,
        address: SocketAddr,
        way: Way,
    ) -> Option<Connection> {
        while let Some(mut connection) = self.take(peer, address, way) {
            // Detects a closed connection without waiting.
            if connection.sender.ready().await.is_ok() {
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool; its last answer must have been read completely.
    pub(crate) fn put(
        &self,
        peer: &str,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let idle_timeout = keep_alive
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .saturating_sub(IDLE_MARGIN);
        if idle_timeout.is_zero() || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let is_carried = connection.carrier.is_some();
        let key = (peer.to_owned(), address, is_carried);
        let list = idle.entry(key).or_default();
        if list.len() < MAX_IDLE_PER_PEER {
            let expires_at = clock::now() + idle_timeout;
            list.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes the idle connections to a peer.
    pub(crate) fn close_idle(&self, peer: &str, address: SocketAddr) {
        let mut idle = self.lock();
        for is_carried in [false, true] {
            idle.swap_remove(&PeerRef(peer, address, is_carried));
        }
    }

    /// Closes the idle connections that other instances carry.
    pub(crate) fn close_carried(&self) {
        self.lock().retain(|(.., is_carried), _| !*is_carried);
    }

    /// Returns the number of idle connections to a peer.
    pub(crate) fn idle_count(&self, peer: &str, address: SocketAddr) -> usize {
        let now = clock::now();
        let idle = self.lock();
        let lists = [false, true].map(|is_carried| idle.get(&PeerRef(peer, address, is_carried)));
        let connections = lists.into_iter().flatten().flatten();
        connections.filter(|idle| is_usable(idle, now)).count()
    }

    /// Closes expired idle connections, and those to peers for which `is_known` returns `false`.
    pub(crate) fn prune(&self, is_known: impl Fn(&str) -> bool) {
        let now = clock::now();
        self.lock().retain(|(peer, ..), list| {
            list.retain(|idle| is_usable(idle, now));
            !list.is_empty() && is_known(peer)
        });
    }

    fn take(&self, peer: &str, address: SocketAddr, way: Way) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.lock();
        let list = idle.get_mut(&PeerRef(peer, address, way == Way::Carried))?;
        list.retain(|idle| is_usable(idle, now));
        list.pop().map(|idle| idle.connection)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<PeerKey, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_usable(idle: &IdleConnection, now: Timestamp) -> bool {
    idle.expires_at > now && !idle.connection.sender.is_closed()
}
