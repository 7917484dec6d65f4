//! Checks whether the own links to endpoints work.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::time::Timestamp;

use crate::clock;
use crate::reach::Verification;
use crate::reach::connect_any_way;
use crate::reach::connect_directly;
use crate::state::Gateway;

/// Number of endpoints that a check of the own links connects to.
const CHECKED_ENDPOINTS: usize = 2;
/// Minimum time between checks that are made because of silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of the direct connections that find out whether a cut has ended.
const RESTORE_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for the answers over these connections, of which a few are open at a time.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns whether the own links work: whether one of some endpoints is connected to directly, or none of
/// them is reached by others either.
pub(crate) async fn check(gateway: &Arc<Gateway>, since: Timestamp) -> bool {
    let _guard = gateway.link_check.lock().await;
    {
        let links = gateway.links();
        if links.is_cut() || links.is_proven_since(since) {
            return !links.is_cut();
        }
    }
    let mut is_reached_by_others = false;
    for endpoint in endpoints_to_check(gateway) {
        let connected = connect_any_way(gateway, &endpoint, Verification::Always, false).await;
        let Ok(connection) = connected else { continue };
        let is_direct = connection.carrier.is_none();
        let (peer, address) = (endpoint.id.as_str(), endpoint.address);
        gateway.client.keep_unused(peer, address, connection);
        if is_direct {
            return true;
        }
        is_reached_by_others = true;
    }
    !is_reached_by_others
}

/// Returns some endpoints, others each time; those that seem to work first.
pub(super) fn endpoints_to_check(gateway: &Gateway) -> Vec<Endpoint> {
    let turn = gateway
        .check_turn
        .fetch_add(CHECKED_ENDPOINTS, Ordering::Relaxed);
    let now = clock::now();
    let view = gateway.view.load();
    let load_balancer = gateway.load_balancer();
    let limits = gateway.announced_limits();
    let serving = view.endpoints.iter().filter(|endpoint| !endpoint.leaving);
    let mut endpoints: Vec<&Endpoint> = serving.collect();
    if endpoints.is_empty() {
        return Vec::new();
    }
    let middle = turn % endpoints.len();
    endpoints.rotate_left(middle);
    endpoints.sort_by_key(|endpoint| {
        let is_limited = limits.get(endpoint).is_some();
        (is_limited, !load_balancer.is_available(now, &endpoint.id))
    });
    let checked = endpoints.into_iter().take(CHECKED_ENDPOINTS);
    checked.cloned().collect()
}

/// Checks the own links if nothing has come from any endpoint since a time.
pub(crate) fn check_after_silence(gateway: &Arc<Gateway>, since: Timestamp) {
    if !gateway.is_heard_since(since) {
        check_in_background(gateway, since);
    }
}

/// Checks the own links if no request has been answered directly since a time: streams may go on although
/// nothing that is sent arrives.
pub(crate) fn check_without_answers(gateway: &Arc<Gateway>, since: Timestamp) {
    if !gateway.links().is_answered_since(since) {
        check_in_background(gateway, since);
    }
}

fn check_in_background(gateway: &Arc<Gateway>, since: Timestamp) {
    let now = clock::now();
    if gateway.links().is_cut() {
        return;
    }
    let last_us = gateway.silence_checked_at_us.load(Ordering::Acquire);
    if now.since(Timestamp(last_us)) < CHECK_INTERVAL {
        return;
    }
    gateway
        .silence_checked_at_us
        .store(now.0, Ordering::Release);
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let is_intact = check(&gateway, now).await;
        log::info!(
            silent_ms = now.since(since).as_millis(), intact = is_intact,
            took_ms = clock::now().since(now).as_millis();
            "links checked after silence of all endpoints"
        );
    });
}

/// Finds out when cut links work again, until the process ends.
pub(crate) async fn watch_cut(gateway: Arc<Gateway>) {
    let mut turn = 0;
    loop {
        let changed = gateway.links_changed.notified();
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(RESTORE_INTERVAL) => {}
        }
        let endpoint = {
            let links = gateway.links();
            let failed = links.failed_endpoint(turn).filter(|_| links.is_cut());
            failed.cloned()
        };
        let view = gateway.view.load();
        let endpoint = endpoint.and_then(|endpoint| view.endpoints.get(&endpoint).cloned());
        let endpoint = endpoint.and_then(|endpoint| {
            // Only an answer ends a cut, and an endpoint with a limit isn't probed.
            if gateway.announced_limits().get(&endpoint).is_some() {
                endpoints_to_check(&gateway).into_iter().next()
            } else {
                Some(endpoint)
            }
        });
        if let Some(endpoint) = endpoint {
            turn = turn.wrapping_add(1);
            let gateway = Arc::clone(&gateway);
            // A late answer shows as well that the cut has ended. The outcome is recorded where it is found.
            tokio::spawn(async move {
                let verification = Verification::Always;
                drop(connect_directly(&gateway, &endpoint, verification, RESTORE_TIMEOUT).await);
            });
        }
    }
}
