//! Connections to endpoints over other instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::Display;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;
use wisteriaford_core::gateway::endpoint::Endpoint;

use crate::carrier::CARRY_PATH;
use crate::carrier::ENDPOINT_HEADER;
use crate::carrier::HOST_HEADER;
use crate::carrier::PROTOCOL;
use crate::clock;
use crate::connection_pool;
use crate::connection_pool::Connection;
use crate::reach;
use crate::state::Gateway;
use crate::state::lock;
use crate::tunnel;

/// Maximum number of instances that are asked to carry one connection.
const MAX_ASKED: usize = 6;
/// Delay before another instance is asked while the ones before haven't answered, some tens of round
/// trips.
const ASK_INTERVAL: Duration = Duration::from_millis(70);
/// Time limit for a connection over another instance, unless nothing else can serve the request.
const CARRY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit where nothing else can serve the request; deadlines of calls are shorter.
const LATE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of instances that reach other endpoints but not this one, after which it counts as down.
const MAX_UNREACHED: usize = 2;

/// Why an endpoint wasn't connected to over other instances.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum CarryError {
    /// Instances that reach other endpoints don't reach this one.
    #[display("{reports} other instances don't reach the endpoint")]
    Unreached {
        /// Number of these instances.
        reports: usize,
    },
    /// No instance carries the connection.
    #[display("none of {asked} instances carries the connection")]
    NoCarrier {
        /// Number of instances that were asked.
        asked: usize,
    },
    /// No instance carried the connection or declined it in time, which says nothing about the endpoint.
    #[display("no answer of {asked} instances in time")]
    TimedOut {
        /// Number of instances that were asked.
        asked: usize,
    },
}

/// Why one instance doesn't carry a connection.
enum Declined {
    /// It reaches other endpoints, but not this one.
    Unreached,
    /// It can't carry the connection, or doesn't answer.
    Unable(CompactString),
}

/// Aborts a task when it is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Connects to an endpoint over another instance.
///
/// Instances are asked one after the other; the first that connects carries the connection. With `waits`,
/// instances that answer late are waited for.
pub(crate) async fn connect(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    waits: bool,
) -> Result<Connection, CarryError> {
    let peers = gateway.log.peers();
    let own_host = gateway.settings.load().host.clone();
    let hosts: Vec<CompactString> = {
        let mut carriers = gateway.carriers();
        carriers.retain(|host| peers.contains_key(host));
        let order = carriers.order(clock::now(), &own_host, peers.keys(), MAX_ASKED);
        order.into_iter().cloned().collect()
    };
    let mut unasked = hosts.iter();
    let mut asks = FuturesUnordered::new();
    let unanswered: Mutex<Vec<&CompactString>> = Mutex::default();
    let unanswered = || lock(&unanswered);
    let unreached = AtomicUsize::new(0);
    let asking = async {
        loop {
            if let Some(host) = unasked.next() {
                let opened = open_verified(gateway, &own_host, host, peers[host], endpoint);
                asks.push(async move { (host, opened.await) });
                unanswered().push(host);
            } else if asks.is_empty() {
                return Err(CarryError::NoCarrier { asked: hosts.len() });
            }
            let interval = tokio::time::sleep(ASK_INTERVAL);
            let ended = tokio::select! {
                ended = asks.next() => ended,
                () = interval, if unasked.len() > 0 => continue,
            };
            match ended {
                Some((host, Ok(connection))) => {
                    let now = clock::now();
                    let mut carriers = gateway.carriers();
                    carriers.record_good(now, host);
                    for slower in unanswered().iter().take_while(|other| **other != host) {
                        carriers.record_failed(now, slower);
                    }
                    return Ok(connection);
                }
                Some((host, Err(Declined::Unreached))) => {
                    unanswered().retain(|other| *other != host);
                    gateway.carriers().record_answer(host);
                    unreached.fetch_add(1, Ordering::Relaxed);
                }
                Some((host, Err(Declined::Unable(cause)))) => {
                    log::debug!(host:% = host, endpoint:% = endpoint.id, cause:% = cause; "connection not carried");
                    unanswered().retain(|other| *other != host);
                    let mut carriers = gateway.carriers();
                    carriers.record_answer(host);
                    carriers.record_failed(clock::now(), host);
                }
                None => {}
            }
            let reports = unreached.load(Ordering::Relaxed);
            if reports >= MAX_UNREACHED {
                return Err(CarryError::Unreached { reports });
            }
        }
    };
    tokio::pin!(asking);
    let mut asked = tokio::time::timeout(CARRY_TIMEOUT, asking.as_mut()).await;
    // An instance that reaches other endpoints knows better than those that are late.
    if asked.is_err() && waits && unreached.load(Ordering::Relaxed) == 0 {
        let now = clock::now();
        let may_wait = {
            let mut carriers = gateway.carriers();
            let unanswered = unanswered();
            for host in unanswered.iter() {
                carriers.record_late(now, host);
            }
            unanswered.iter().any(|host| carriers.may_wait(now, host))
        };
        if may_wait {
            asked = tokio::time::timeout(LATE_TIMEOUT, asking.as_mut()).await;
        }
    }
    let result = asked.unwrap_or(Err(CarryError::TimedOut { asked: hosts.len() }));
    let unreached = unreached.load(Ordering::Relaxed);
    match result {
        Err(CarryError::NoCarrier { .. } | CarryError::TimedOut { .. }) if unreached > 0 => {
            Err(CarryError::Unreached { reports: unreached })
        }
        result => result,
    }
}

/// Opens a connection over an instance. Its links may have been cut without its knowledge: unless an answer
/// came over it just now, the endpoint must answer over the connection first; the caller bounds the time.
async fn open_verified(
    gateway: &Arc<Gateway>,
    own_host: &str,
    host: &CompactString,
    address: SocketAddr,
    endpoint: &Endpoint,
) -> Result<Connection, Declined> {
    let connection = open(own_host, host, address, endpoint).await?;
    if !reach::is_carrier_check_due(gateway, endpoint, host) {
        return Ok(connection);
    }
    match reach::verify(gateway, endpoint, connection, LATE_TIMEOUT).await {
        Ok(Some(connection)) => Ok(connection),
        // The endpoint closes its connections after each answer.
        Ok(None) => open(own_host, host, address, endpoint).await,
        Err(error) => Err(Declined::Unable(compact_str::format_compact!("{error}"))),
    }
}

async fn open(
    own_host: &str,
    host: &CompactString,
    address: SocketAddr,
    endpoint: &Endpoint,
) -> Result<Connection, Declined> {
    let unable =
        |error: &dyn std::fmt::Display| Declined::Unable(compact_str::format_compact!("{error}"));
    let stream = connection_pool::connect(address).await;
    let stream = stream.map_err(|error| unable(&error))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, driver) = handshake.map_err(|error| unable(&error))?;
    // An error of the driver also fails the request, which reports it.
    let driver = tokio::spawn(async move { drop(driver.with_upgrades().await) });
    let _driver = AbortOnDrop(driver);
    let request = Request::get(CARRY_PATH)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, PROTOCOL)
        .header(HOST_HEADER, own_host)
        .header(ENDPOINT_HEADER, endpoint.incarnation().as_str())
        .body(Empty::<Bytes>::new())
        .map_err(|error| unable(&error))?;
    let answer = sender.send_request(request).await;
    let answer = answer.map_err(|error| unable(&error))?;
    match answer.status() {
        StatusCode::SWITCHING_PROTOCOLS => {}
        StatusCode::BAD_GATEWAY => return Err(Declined::Unreached),
        status => return Err(unable(&status)),
    }
    let upgraded = hyper::upgrade::on(answer).await;
    let upgraded = upgraded.map_err(|error| unable(&error))?;
    let connection =
        Connection::over(tunnel::open(upgraded), clock::now(), Some(host.clone())).await;
    connection.map_err(|error| unable(&error))
}
