//! Connections to endpoints: directly, or over another instance while the own links are cut.
//!
//! Connecting sends nothing of a request, so that both ways may be tried at the same time.

mod checks;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use http::HeaderValue;
use http::header;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::links::LinkChange;
use wisteriaford_core::gateway::links::Way;
use wisteriaford_core::time::Timestamp;

use crate::adapter::EndpointRequest;
use crate::carry;
use crate::carry::CarryError;
use crate::client::CallError;
use crate::client::CompleteAnswer;
use crate::client::IncomingAnswer;
use crate::clock;
use crate::connection_pool::Connection;
pub(crate) use crate::reach::checks::check;
pub(crate) use crate::reach::checks::check_after_silence;
pub(crate) use crate::reach::checks::check_without_answers;
use crate::reach::checks::endpoints_to_check;
pub(crate) use crate::reach::checks::watch_cut;
use crate::sends::SendKind;
use crate::state::Gateway;

/// Time without a direct connection after which other instances are asked, many round trips.
const PATIENCE: Duration = Duration::from_millis(120);
/// Time limit for the answer that verifies a direct connection.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(300);
/// The same where the connection verifies the links of an instance that is to carry another one.
const CARRIER_VERIFY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for a direct connection with that answer, which other instances replace meanwhile.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for an answer that is waited for while nothing else serves the request; deadlines of calls are
/// shorter.
const LATE_TIMEOUT: Duration = Duration::from_secs(30);
/// Age up to which a connection to another endpoint shows that the own links work.
const PROOF_TIME: Duration = Duration::from_millis(200);
/// Time before the first failure of a cut since which ejections count as caused by it.
const EJECTION_MARGIN: Duration = Duration::from_millis(500);

/// Whether a new connection must be verified before it is used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verification {
    /// Only if the own links may be cut.
    IfDoubtful,
    /// In any case.
    Always,
}

/// Sends a request to an endpoint and returns the answer once its head has arrived.
///
/// With `fresh`, a new connection is opened instead of reusing an idle one.
pub(crate) async fn open(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    request: EndpointRequest,
    fresh: bool,
) -> Result<IncomingAnswer, CallError> {
    let connection = connect(gateway, endpoint, fresh).await?;
    send(gateway, endpoint, connection, request).await
}

/// Sends a request over a connection to an endpoint.
pub(crate) async fn send(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    connection: Connection,
    request: EndpointRequest,
) -> Result<IncomingAnswer, CallError> {
    let (peer, address) = (endpoint.id.as_str(), endpoint.address);
    let (opened_at, carrier) = (connection.opened_at, connection.carrier.clone());
    let answer = gateway
        .client
        .send(connection, peer, address, request)
        .await;
    match (&answer, carrier) {
        (Ok(_), Some(carrier)) => {
            gateway.carriers().record_answered(clock::now(), &carrier);
        }
        (Ok(answer), None) => {
            record_heard(gateway, answer);
            record_answered(gateway, endpoint, opened_at);
        }
        (Err(CallError::Lost { .. }), None) => gateway.links().record_lost(clock::now()),
        (Err(_), _) => {}
    }
    answer
}

/// Sends a request to an endpoint and reads the complete answer within `timeout`.
pub(crate) async fn call(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    request: EndpointRequest,
    timeout: Duration,
) -> Result<CompleteAnswer, CallError> {
    let opened = open(gateway, endpoint, request, false);
    let (peer, address) = (endpoint.id.as_str(), endpoint.address);
    gateway
        .client
        .complete(peer, address, opened, timeout)
        .await
}

/// Connection of an inspection or an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ControlConnection {
    /// One that other requests use, too.
    Kept,
    /// One that no other request uses: the answer has no id, and must not be taken for that to another
    /// request, nor the other way round.
    Own,
}

/// Like [`call`], but never over another instance: the endpoint tells instances apart.
pub(crate) async fn call_directly(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    mut request: EndpointRequest,
    connection: ControlConnection,
    timeout: Duration,
) -> Result<CompleteAnswer, CallError> {
    let (peer, address) = (endpoint.id.as_str(), endpoint.address);
    let opened = async {
        let idle = match connection {
            ControlConnection::Kept => gateway.client.take_idle(peer, address, Way::Direct).await,
            ControlConnection::Own => {
                // The client closes the connection after the answer.
                let close = HeaderValue::from_static("close");
                request.headers.insert(header::CONNECTION, close);
                None
            }
        };
        let connection = match idle {
            Some(connection) => connection,
            None => {
                connect_directly(gateway, endpoint, Verification::IfDoubtful, VERIFY_TIMEOUT)
                    .await?
            }
        };
        send(gateway, endpoint, connection, request).await
    };
    gateway
        .client
        .complete(peer, address, opened, timeout)
        .await
}

/// Connects to an endpoint, or returns an idle connection unless it must be `fresh`.
pub(crate) async fn connect(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    fresh: bool,
) -> Result<Connection, CallError> {
    connect_verified(gateway, endpoint, fresh, false).await
}

/// Like [`connect`], for a request that no other endpoint can serve: an endpoint that answers late is waited
/// for.
pub(crate) async fn connect_patiently(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    fresh: bool,
) -> Result<Connection, CallError> {
    connect_verified(gateway, endpoint, fresh, true).await
}

async fn connect_verified(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    fresh: bool,
    waits: bool,
) -> Result<Connection, CallError> {
    let way = gateway.links().way(clock::now(), &endpoint.id);
    if !fresh && let Some(idle) = take_idle(gateway, endpoint, way).await {
        return Ok(idle);
    }
    if way == Way::Direct {
        return connect_any_way(gateway, endpoint, Verification::IfDoubtful, waits).await;
    }
    match connect_carried(gateway, endpoint, waits).await {
        Ok(connection) => Ok(connection),
        // The end of a cut is noticed without the requests.
        Err(error) if gateway.links().is_cut() => Err(CallError::unreachable(error)),
        Err(_) => {
            let verification = Verification::IfDoubtful;
            connect_directly(gateway, endpoint, verification, VERIFY_TIMEOUT).await
        }
    }
}

/// Returns an idle connection, if there is one. One over another instance must be answered first, unless an
/// answer came over that instance just now.
async fn take_idle(gateway: &Arc<Gateway>, endpoint: &Endpoint, way: Way) -> Option<Connection> {
    let (peer, address) = (endpoint.id.as_str(), endpoint.address);
    let idle = gateway.client.take_idle(peer, address, way).await?;
    let Some(host) = idle.carrier.clone() else {
        return Some(idle);
    };
    if !is_carrier_check_due(gateway, endpoint, &host) {
        return Some(idle);
    }
    let verified = verify(gateway, endpoint, idle, PATIENCE).await;
    if verified.is_err() {
        gateway.carriers().record_failed(clock::now(), &host);
    }
    verified.ok()?
}

/// Connects to an endpoint directly, or over another instance if that takes long or fails. With `waits`,
/// answers that are late are waited for.
async fn connect_any_way(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    verification: Verification,
    waits: bool,
) -> Result<Connection, CallError> {
    let began_at = clock::now();
    // While other instances are asked, a direct answer is not too late: if theirs came first only because of
    // a shorter time limit, all instances would take a slow endpoint for a cut.
    let direct = connect_directly(gateway, endpoint, verification, LATE_TIMEOUT);
    tokio::pin!(direct);
    let early = tokio::time::timeout(PATIENCE, direct.as_mut()).await;
    if let Ok(Ok(connection)) = early {
        return Ok(connection);
    }
    let (may_carry, has_failed_for_long) = {
        let (now, links) = (clock::now(), gateway.links());
        let may_carry = links.may_carry(now, began_at, &endpoint.id);
        (may_carry, links.has_failed_for_long(now, &endpoint.id))
    };
    let waits = waits && !has_failed_for_long;
    match early {
        Ok(failed) if !may_carry => failed,
        Err(_) if !may_carry => finish_directly(gateway, endpoint, direct, began_at, waits).await,
        Ok(Err(error)) => {
            let carried = connect_carried(gateway, endpoint, waits).await;
            carried.map_err(|_| error)
        }
        Ok(Ok(connection)) => Ok(connection),
        Err(_) => {
            let carried = connect_carried(gateway, endpoint, waits);
            tokio::pin!(carried);
            tokio::select! {
                biased;
                connected = direct.as_mut() => match connected {
                    Ok(connection) => Ok(connection),
                    Err(error) => carried.await.map_err(|_| error),
                },
                connected = carried.as_mut() => match connected {
                    Ok(connection) => Ok(connection),
                    Err(_) => finish_directly(gateway, endpoint, direct, began_at, waits).await,
                },
            }
        }
    }
}

/// Waits for a direct connection that began at `began_at`, and that nothing else replaces; with `waits`, for
/// as long as the endpoint may answer late.
async fn finish_directly(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    direct: impl Future<Output = Result<Connection, CallError>>,
    began_at: Timestamp,
    waits: bool,
) -> Result<Connection, CallError> {
    tokio::pin!(direct);
    let elapsed = clock::now().since(began_at);
    let time_left = DIRECT_TIMEOUT.saturating_sub(elapsed);
    if let Ok(connected) = tokio::time::timeout(time_left, direct.as_mut()).await {
        return connected;
    }
    if !waits || !gateway.links().may_wait(clock::now(), &endpoint.id) {
        record_failed(gateway, endpoint);
        return Err(CallError::unreachable("no answer over the connection"));
    }
    gateway.metrics.late_verifications.add(1, &[]);
    let connected = direct.await;
    log::info!(
        endpoint:% = endpoint.id, answered = connected.is_ok(),
        took_ms = clock::now().since(began_at).as_millis();
        "late answer over a new connection waited for"
    );
    connected
}

/// Connects to an endpoint directly; a connection that must be verified has to be answered within `limit`.
async fn connect_directly(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    verification: Verification,
    limit: Duration,
) -> Result<Connection, CallError> {
    let connected = async {
        let connection = Connection::open(endpoint.address).await?;
        if !is_verification_due(gateway, endpoint, verification) {
            return Ok(connection);
        }
        match verify_directly(gateway, endpoint, connection, limit).await? {
            Some(connection) => Ok(connection),
            None => Connection::open(endpoint.address).await,
        }
    };
    let connected = connected.await;
    match &connected {
        Ok(connection) if is_only_proof(gateway, endpoint) => {
            record_answered(gateway, endpoint, connection.opened_at);
        }
        Ok(_) => {}
        Err(_) => record_failed(gateway, endpoint),
    }
    connected
}

/// Verifies a direct connection like [`verify`]; an endpoint that answers after [`VERIFY_TIMEOUT`] has failed
/// until then.
async fn verify_directly(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    connection: Connection,
    limit: Duration,
) -> Result<Option<Connection>, CallError> {
    let opened_at = connection.opened_at;
    let verified = verify(gateway, endpoint, connection, limit);
    tokio::pin!(verified);
    let early = tokio::time::timeout(VERIFY_TIMEOUT, verified.as_mut()).await;
    if let Ok(verified) = early {
        return verified;
    }
    // The answer over this connection ends the failure.
    gateway.links().record_failed(opened_at, &endpoint.id);
    verified.await
}

/// Returns whether an open connection must do as evidence of working links: no endpoint may be probed.
fn is_only_proof(gateway: &Gateway, endpoint: &Endpoint) -> bool {
    let limits = gateway.announced_limits();
    let is_limited = |endpoint: &Endpoint| limits.get(endpoint).is_some();
    is_limited(endpoint) && gateway.view.load().endpoints.iter().all(is_limited)
}

/// Makes sure that the own links work: that an endpoint answered lately, or does now. An answer that is late is
/// waited for, as the instance that asks may have no other way; it bounds the time itself.
pub(crate) async fn verify_links(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
) -> Result<(), CallError> {
    if gateway.links().trusts_new_connections(clock::now()) {
        return Ok(());
    }
    let is_limited = gateway.announced_limits().get(endpoint).is_some();
    let other = endpoints_to_check(gateway).into_iter().next();
    let other = other.filter(|_| is_limited);
    let endpoint = other.as_ref().unwrap_or(endpoint);
    let limit = if gateway.links().may_wait(clock::now(), &endpoint.id) {
        CARRIER_VERIFY_TIMEOUT
    } else {
        VERIFY_TIMEOUT
    };
    let connection = connect_directly(gateway, endpoint, Verification::Always, limit).await?;
    let (peer, address) = (endpoint.id.as_str(), endpoint.address);
    gateway.client.keep_unused(peer, address, connection);
    Ok(())
}

fn is_verification_due(gateway: &Gateway, endpoint: &Endpoint, verification: Verification) -> bool {
    // The request would count towards the limit of an endpoint.
    if gateway.announced_limits().get(endpoint).is_some() {
        return false;
    }
    verification == Verification::Always || !gateway.links().trusts_new_connections(clock::now())
}

/// Returns whether an endpoint must answer over a connection that an instance carries before it is used.
pub(crate) fn is_carrier_check_due(
    gateway: &Gateway,
    endpoint: &Endpoint,
    host: &CompactString,
) -> bool {
    // The request would count towards the limit of an endpoint.
    let is_limited = gateway.announced_limits().get(endpoint).is_some();
    !is_limited && !gateway.carriers().is_proven(clock::now(), host)
}

/// Verifies that an endpoint answers over a connection within `timeout`; returns the connection unless the endpoint closes
/// it.
pub(crate) async fn verify(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    connection: Connection,
    timeout: Duration,
) -> Result<Option<Connection>, CallError> {
    let request = gateway.endpoints.inspection_request(&endpoint.id);
    let sent_at = gateway.record_send(endpoint, SendKind::Probe);
    let answered = send(gateway, endpoint, connection, request);
    let answer = tokio::time::timeout(timeout, answered).await;
    let answer = answer.map_err(|_| CallError::unreachable("no answer over the connection"))?;
    let answer = answer.map_err(CallError::unreachable)?;
    let metadata = {
        let response = &answer.response;
        let protocol = &gateway.endpoints;
        protocol.decode_answer(response.status(), response.headers())
    };
    gateway.record_answer(endpoint, sent_at, &metadata);
    Ok(answer.into_unused_connection().await)
}

/// Connects to an endpoint over another instance.
pub(crate) async fn connect_over_others(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
) -> Result<Connection, CarryError> {
    connect_carried(gateway, endpoint, false).await
}

async fn connect_carried(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    waits: bool,
) -> Result<Connection, CarryError> {
    let began_at = clock::now();
    let connected = carry::connect(gateway, endpoint, waits).await;
    let now = clock::now();
    let is_cut = gateway.links().is_cut();
    match &connected {
        Ok(connection) => {
            gateway.metrics.connections_over_others.add(1, &[]);
            log::info!(
                endpoint:% = endpoint.id, carrier = connection.carrier.as_deref(), cut = is_cut,
                took_ms = now.since(began_at).as_millis();
                "endpoint connected to over another instance"
            );
            record_reached(gateway, endpoint, now);
        }
        Err(error) => {
            log::info!(
                endpoint:% = endpoint.id, error:% = error, cut = is_cut,
                took_ms = now.since(began_at).as_millis();
                "endpoint not connected to over other instances"
            );
            if !matches!(error, CarryError::TimedOut { .. }) {
                gateway.links().record_unreached(now, &endpoint.id);
            }
        }
    }
    connected
}

/// Records that another instance reaches an endpoint that this one doesn't reach directly.
fn record_reached(gateway: &Arc<Gateway>, endpoint: &Endpoint, now: Timestamp) {
    let known_endpoints = gateway.view.load().endpoints.len();
    let change = {
        let mut links = gateway.links();
        // A direct connection may still be on its way.
        links.record_failed(now, &endpoint.id);
        links.record_reached(now, &endpoint.id, known_endpoints)
    };
    apply_change(gateway, endpoint, change);
}

/// Records an answer over a direct connection to an endpoint.
fn record_answered(gateway: &Arc<Gateway>, endpoint: &Endpoint, opened_at: Timestamp) {
    let change = {
        let mut links = gateway.links();
        links.record_answered(clock::now(), opened_at, &endpoint.id)
    };
    apply_change(gateway, endpoint, change);
}

/// Records that a direct connection to an endpoint failed.
pub(crate) fn record_failed(gateway: &Gateway, endpoint: &Endpoint) {
    gateway.metrics.failed_connections.add(1, &[]);
    gateway.links().record_failed(clock::now(), &endpoint.id);
}

/// Records that something came from an endpoint, if directly.
pub(crate) fn record_heard(gateway: &Gateway, answer: &IncomingAnswer) {
    if !answer.is_carried() {
        gateway.heard_at_us.store(clock::now().0, Ordering::Release);
    }
}

/// Logs a change of the own links, and undoes what was believed of endpoints because of them.
fn apply_change(gateway: &Arc<Gateway>, endpoint: &Endpoint, change: Option<LinkChange>) {
    let Some(change) = change else { return };
    let (LinkChange::Cut { failing_since } | LinkChange::Restored { failing_since }) = change;
    let elapsed_ms = clock::now().since(failing_since).as_millis();
    match change {
        LinkChange::Cut { .. } => log::warn!(
            endpoint:% = endpoint.id, failing_ms = elapsed_ms,
            leads = gateway.leadership().leader_fence().is_some();
            "links to endpoints cut, others reach them"
        ),
        LinkChange::Restored { .. } => {
            log::info!(endpoint:% = endpoint.id, cut_ms = elapsed_ms; "links to endpoints restored");
            gateway.client.close_carried();
        }
    }
    let since = failing_since - EJECTION_MARGIN;
    gateway.load_balancer().readmit_ejected_since(since);
    gateway.scorer_balancer().readmit_ejected_since(since);
    gateway.links_changed.notify_waiters();
    gateway.runner_wake.notify_one();
}

/// Returns whether another endpoint than one that can't be connected to answers directly, over a connection
/// not much older than `began_at`.
pub(crate) async fn is_other_reached(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    began_at: Timestamp,
) -> bool {
    if gateway.links().is_proven_since(began_at - PROOF_TIME) {
        return true;
    }
    let mut others = endpoints_to_check(gateway).into_iter();
    let Some(other) = others.find(|other| other.id != endpoint.id) else {
        return false;
    };
    let connected = connect_directly(gateway, &other, Verification::Always, VERIFY_TIMEOUT).await;
    if let Ok(connection) = connected {
        let (peer, address) = (other.id.as_str(), other.address);
        gateway.client.keep_unused(peer, address, connection);
    }
    gateway.links().is_proven_since(began_at)
}
