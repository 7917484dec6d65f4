//! Connections to endpoints, and what they tell of the instance's own links.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::links::LinkChange;

use crate::adapter::EndpointRequest;
use crate::carry;
use crate::client::CallError;
use crate::client::CompleteAnswer;
use crate::client::IncomingAnswer;
use crate::clock;
use crate::connection_pool::Connection;
use crate::state::Gateway;

/// Time after a connection to any endpoint for which an instance counts as one that reaches endpoints.
pub(crate) const VOUCH_TIME: Duration = Duration::from_secs(1);

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
    let (peer, address) = (endpoint.id.as_str(), endpoint.address);
    gateway
        .client
        .send(connection, peer, address, request)
        .await
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

async fn connect(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    fresh: bool,
) -> Result<Connection, CallError> {
    let (peer, address) = (endpoint.id.as_str(), endpoint.address);
    if !fresh && let Some(connection) = gateway.client.take_idle(peer, address).await {
        return Ok(connection);
    }
    let connected = Connection::open(address).await;
    if connected.is_ok() {
        record_connected(gateway, endpoint);
    } else {
        record_failed(gateway, endpoint);
        diagnose(gateway, endpoint);
    }
    connected
}

/// Records a direct connection to an endpoint.
pub(crate) fn record_connected(gateway: &Gateway, endpoint: &Endpoint) {
    let change = gateway.links().record_connected(clock::now(), &endpoint.id);
    log_change(endpoint, change);
}

/// Records that a direct connection to an endpoint failed.
pub(crate) fn record_failed(gateway: &Gateway, endpoint: &Endpoint) {
    gateway.metrics.failed_connections.add(1, &[]);
    gateway.links().record_failed(clock::now(), &endpoint.id);
}

fn log_change(endpoint: &Endpoint, change: Option<LinkChange>) {
    match change {
        Some(LinkChange::Cut { failing_for }) => log::warn!(
            endpoint:% = endpoint.id, failing_ms = failing_for.as_millis();
            "links to endpoints cut, others reach them"
        ),
        Some(LinkChange::Restored { cut_for, .. }) => log::info!(
            endpoint:% = endpoint.id, cut_ms = cut_for.as_millis();
            "links to endpoints restored"
        ),
        None => {}
    }
}

/// Finds out whether other instances reach an endpoint to which a connection failed.
fn diagnose(gateway: &Arc<Gateway>, endpoint: &Endpoint) {
    if gateway.is_diagnosing.swap(true, Ordering::AcqRel) {
        return;
    }
    let (gateway, endpoint) = (Arc::clone(gateway), endpoint.clone());
    tokio::spawn(async move {
        let connected_at = gateway.links().connected_at();
        let result = carry::connect(&gateway, &endpoint).await;
        let now = clock::now();
        let carrier = result
            .as_ref()
            .ok()
            .and_then(|opened| opened.carrier.clone());
        let cause = result.as_ref().err().map(ToString::to_string);
        log::info!(
            endpoint:% = endpoint.id, reached_over = carrier.as_deref(), cause = cause,
            own_connection_age_ms = now.since(connected_at).as_millis(),
            leads = gateway.leadership().leader_fence().is_some();
            "connection to an endpoint failed here"
        );
        let known_endpoints = gateway.view.load().endpoints.len();
        let change = if result.is_ok() {
            let mut links = gateway.links();
            links.record_reached(now, &endpoint.id, known_endpoints)
        } else {
            gateway.links().record_unreached(now, &endpoint.id);
            None
        };
        log_change(&endpoint, change);
        gateway.is_diagnosing.store(false, Ordering::Release);
    });
}
