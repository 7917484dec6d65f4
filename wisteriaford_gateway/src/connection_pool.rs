//! Open connections to endpoints and the log, kept for reuse.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::Equivalent;
use indexmap::IndexMap;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use wisteriaford_core::time::Timestamp;

use crate::client::CallError;
use crate::clock;

/// Longest time to establish a connection.
///
/// A hundred times the round trip between availability zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that sent data may stay unacknowledged before a connection counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the peer's kernel is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time that an idle connection is kept if its peer names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(8);
/// Part of the peer's idle timeout that is left unused, so that no request crosses its close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Most idle connections to one peer.
const MAX_IDLE_PER_PEER: usize = 32;

/// Open connection that serves one request at a time; dropping it closes it.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) reused: bool,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection.
    async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| CallError::unreachable("no connection in time"))?
            .map_err(CallError::unreachable)?;
        configure(&stream).map_err(CallError::unreachable)?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, driver) = handshake.await.map_err(CallError::unreachable)?;
        // The driver's error also ends the request that is in progress, which reports it.
        let driver = tokio::spawn(async move { drop(driver.await) });
        Ok(Self {
            sender,
            reused: false,
            driver,
        })
    }
}

fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(Duration::from_secs(1))
        .with_retries(3);
    socket.set_tcp_keepalive(&keepalive)
}

struct Idle {
    connection: Connection,
    until: Timestamp,
}

/// Name and address of a peer, to look it up without a copy of its name.
#[derive(Hash)]
struct PeerRef<'a>(&'a str, SocketAddr);

impl Equivalent<(String, SocketAddr)> for PeerRef<'_> {
    fn equivalent(&self, key: &(String, SocketAddr)) -> bool {
        self.0 == key.0 && self.1 == key.1
    }
}

/// Idle connections by peer.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<IndexMap<(String, SocketAddr), Vec<Idle>>>,
}

impl ConnectionPool {
    /// Returns an idle connection to a peer, or a new one.
    ///
    /// `peer` tells apart peers that have the same address one after the other.
    pub(crate) async fn get(
        &self,
        peer: &str,
        address: SocketAddr,
        fresh: bool,
    ) -> Result<Connection, CallError> {
        while !fresh && let Some(mut connection) = self.take(peer, address) {
            // A closed connection is found here without a wait.
            if connection.sender.ready().await.is_ok() {
                connection.reused = true;
                return Ok(connection);
            }
        }
        Connection::open(address).await
    }

    /// Keeps a connection whose last answer was read whole.
    pub(crate) fn put(
        &self,
        peer: &str,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let idle_time = keep_alive
            .unwrap_or(DEFAULT_IDLE)
            .saturating_sub(IDLE_MARGIN);
        if idle_time.is_zero() || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let list = idle.entry((peer.to_owned(), address)).or_default();
        if list.len() < MAX_IDLE_PER_PEER {
            let until = clock::now() + idle_time;
            list.push(Idle { connection, until });
        }
    }

    /// Returns the number of idle connections to a peer.
    pub(crate) fn idle_count(&self, peer: &str, address: SocketAddr) -> usize {
        let now = clock::now();
        let idle = self.lock();
        let list = idle.get(&PeerRef(peer, address));
        list.map_or(0, |list| list.iter().filter(|i| is_usable(i, now)).count())
    }

    /// Closes idle connections whose time is over, and those to peers that `is_known` denies.
    pub(crate) fn prune(&self, is_known: impl Fn(&str) -> bool) {
        let now = clock::now();
        self.lock().retain(|(peer, _), list| {
            list.retain(|idle| is_usable(idle, now));
            !list.is_empty() && is_known(peer)
        });
    }

    fn take(&self, peer: &str, address: SocketAddr) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.lock();
        let list = idle.get_mut(&PeerRef(peer, address))?;
        list.retain(|idle| is_usable(idle, now));
        list.pop().map(|idle| idle.connection)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<(String, SocketAddr), Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_usable(idle: &Idle, now: Timestamp) -> bool {
    idle.until > now && !idle.connection.sender.is_closed()
}
