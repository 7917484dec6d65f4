//! Permits to send requests to endpoints that limit them, issued by the leader for all instances.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use prost::Message;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::load_balancer::SelectionCriteria;
use wisteriaford_core::gateway::load_balancer::SelectionReason;
use wisteriaford_core::gateway::permits::PermitDecision;
use wisteriaford_core::gateway::permits::Urgency;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::limits::LimitAnswer;
use wisteriaford_proto::limits::LimitCall;
use wisteriaford_proto::limits::LimitUpdate;

use crate::adapter::EndpointRequest;
use crate::clock;
use crate::state::Gateway;
use crate::state::stopped;

/// Path of calls to the leader.
pub(crate) const LIMITS_PATH: &str = "/limits";
/// Time limit of a call to the leader, and so the age up to which a permit is used.
const LEADER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which no permits are requested after the leader couldn't be asked.
const LEADER_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum number of endpoints that one call asks for.
const MAX_CANDIDATES: usize = 8;
/// Maximum number of calls to the leader for one request.
const MAX_CALLS: usize = 3;

/// Outcome of a selection among endpoints of which some limit their requests.
pub(crate) enum Selection {
    /// One request may be sent to the endpoint.
    Selected(Endpoint, SelectionReason),
    /// All endpoints that are left limit their requests, and there is no permit.
    Limited {
        /// Time until there may be one.
        retry_after: Duration,
    },
    /// There is no endpoint left.
    NoEndpoint,
}

/// Selects an endpoint for a caller's request, and acquires a permit if the endpoint limits its
/// requests. Without a permit, another endpoint is selected.
pub(crate) async fn select(
    gateway: &Gateway,
    query: &SelectionCriteria<'_>,
    priority: u32,
) -> Selection {
    for _ in 0..MAX_CALLS {
        let candidates = candidates(gateway, query);
        let Some((first, reason)) = candidates.first() else {
            break;
        };
        let is_limited = gateway.announced_limits().get(first).is_some();
        if !is_limited {
            return Selection::Selected(first.clone(), *reason);
        }
        if let Some(index) = acquire(gateway, &candidates, priority).await {
            let (endpoint, reason) = &candidates[index];
            let view = gateway.view.load();
            // It may have left, or announced that it is leaving, meanwhile.
            let listed = view.endpoints.get(&endpoint.id);
            if listed.is_some_and(|listed| !listed.leaving) {
                return Selection::Selected(endpoint.clone(), *reason);
            }
        }
    }
    without_permit(gateway, query)
}

/// Returns the endpoint that a request would be sent to, for which it may still need a permit.
pub(crate) fn preview(gateway: &Gateway, query: &SelectionCriteria<'_>) -> Selection {
    match candidates(gateway, query).into_iter().next() {
        Some((endpoint, reason)) => Selection::Selected(endpoint, reason),
        None => without_permit(gateway, query),
    }
}

/// Returns the outcome if there is no endpoint that a request may be sent to now.
fn without_permit(gateway: &Gateway, query: &SelectionCriteria<'_>) -> Selection {
    let now = clock::now();
    let view = gateway.view.load();
    let limits = gateway.announced_limits();
    let serving = view.endpoints.serving(query.pool);
    let untried = serving.filter(|endpoint| !query.tried.contains(&endpoint.id));
    let times = untried.filter_map(|endpoint| limits.time_to_permit(now, endpoint));
    match times.min() {
        Some(retry_after) => Selection::Limited { retry_after },
        None => Selection::NoEndpoint,
    }
}

/// Returns the best endpoint; if it limits its requests, also the next best that do.
fn candidates(
    gateway: &Gateway,
    query: &SelectionCriteria<'_>,
) -> Vec<(Endpoint, SelectionReason)> {
    let now = clock::now();
    let view = gateway.view.load();
    let load_balancer = gateway.load_balancer();
    let limits = gateway.announced_limits();
    let idle = |id: &EndpointId| gateway.idle_connections(&view, id);
    let mut found: Vec<(Endpoint, SelectionReason)> = Vec::new();
    while found.len() < MAX_CANDIDATES {
        let accepts = |endpoint: &Endpoint| {
            let is_found = found.iter().any(|(other, _)| other.id == endpoint.id);
            !is_found && limits.may_request(now, endpoint)
        };
        let selected = load_balancer.select(now, &view.endpoints, query, idle, accepts);
        let Some((endpoint, reason)) = selected else {
            break;
        };
        let is_limited = limits.get(endpoint).is_some();
        if !is_limited && !found.is_empty() {
            break;
        }
        found.push((endpoint.clone(), reason));
        if !is_limited {
            break;
        }
    }
    found
}

/// Acquires a permit for one of several limited endpoints, and returns its position.
async fn acquire(
    gateway: &Gateway,
    candidates: &[(Endpoint, SelectionReason)],
    priority: u32,
) -> Option<usize> {
    let call = {
        let now = clock::now();
        let limits = gateway.announced_limits();
        let endpoints = || candidates.iter().map(|(endpoint, _)| endpoint);
        LimitCall {
            updates: endpoints()
                .filter_map(|endpoint| limits.update_of(now, endpoint))
                .collect(),
            candidates: endpoints()
                .map(|endpoint| endpoint.incarnation().to_string())
                .collect(),
            priority,
        }
    };
    let asked_at = clock::now();
    let answer = if gateway.issuing_term().is_some() {
        Some(issue(gateway, &call))
    } else {
        call_leader(gateway, &call).await
    };
    let now = clock::now();
    let retry_after = match answer {
        Some(answer) if !answer.permitted.is_empty() => {
            let mut incarnations = call.candidates.iter();
            let position = incarnations.position(|candidate| *candidate == answer.permitted);
            if let Some((endpoint, _)) = position.map(|position| &candidates[position])
                && answer.is_unlimited
            {
                gateway
                    .announced_limits()
                    .record(now, endpoint, asked_at, None);
            }
            // A late permit may belong to a time whose requests have been counted.
            return position.filter(|_| now.since(asked_at) <= LEADER_TIMEOUT);
        }
        Some(answer) => Duration::from_millis(answer.retry_after_ms),
        None => {
            // Asked for another endpoint next, it would keep the request for its time limit again.
            let until = now + LEADER_BACKOFF;
            gateway.announced_limits().record_all_denied(until);
            return None;
        }
    };
    let mut limits = gateway.announced_limits();
    for (endpoint, _) in candidates {
        limits.record_denied(endpoint, now + retry_after);
    }
    None
}

/// Returns whether a permit for an endpoint that was acquired before `connecting_since` is too old.
pub(crate) fn is_outdated(
    gateway: &Gateway,
    endpoint: &Endpoint,
    connecting_since: Timestamp,
) -> bool {
    let is_limited = gateway.announced_limits().get(endpoint).is_some();
    is_limited && clock::now().since(connecting_since) > LEADER_TIMEOUT
}

/// Issues a permit for a call of an instance, which may be this one; the caller must be the leader.
fn issue(gateway: &Gateway, call: &LimitCall) -> LimitAnswer {
    let now = clock::now();
    let urgency = Urgency {
        priority: call.priority,
        is_batch: false,
    };
    let mut retry_after = LEADER_BACKOFF;
    let Some(term) = gateway.issuing_term() else {
        return denied(retry_after);
    };
    let limits = gateway.announced_limits();
    let mut permits = gateway.permits();
    let mut times = Vec::new();
    for incarnation in &call.candidates {
        let Some(limit) = limits.of_incarnation(incarnation) else {
            return LimitAnswer {
                permitted: incarnation.clone(),
                is_unlimited: true,
                retry_after_ms: 0,
            };
        };
        match permits.take_work(now, term, incarnation, limit.rate, urgency) {
            PermitDecision::Granted => {
                return LimitAnswer {
                    permitted: incarnation.clone(),
                    is_unlimited: false,
                    retry_after_ms: 0,
                };
            }
            PermitDecision::Denied { retry_after } => times.push(retry_after),
        }
    }
    if let Some(time) = times.into_iter().min() {
        retry_after = time;
    }
    denied(retry_after)
}

fn denied(retry_after: Duration) -> LimitAnswer {
    LimitAnswer {
        permitted: String::new(),
        is_unlimited: false,
        retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Calls the leader; returns `None` if there is none or it doesn't answer as one.
async fn call_leader(gateway: &Gateway, call: &LimitCall) -> Option<LimitAnswer> {
    let host = gateway.leadership().leader_host()?.clone();
    let address = *gateway.log.peers().get(&host)?;
    let request = EndpointRequest {
        method: Method::POST,
        path: LIMITS_PATH.into(),
        headers: HeaderMap::new(),
        body: Bytes::from(call.encode_to_vec()),
    };
    let answer = gateway.client.call(&host, address, request, LEADER_TIMEOUT);
    let decoded = match answer.await {
        Ok(answer) if answer.status == StatusCode::OK => {
            LimitAnswer::decode(answer.body).map_err(|error| error.to_string())
        }
        Ok(answer) => Err(answer.status.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match decoded {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::info!(
                leader:% = host, error = error, candidates = call.candidates.len(),
                updates = call.updates.len();
                "leader not asked about limits"
            );
            None
        }
    }
}

/// Answers a call of another instance.
pub(crate) fn receive(gateway: &Gateway, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
    let call = LimitCall::decode(body).map_err(|error| {
        log::warn!(error:% = error; "call about limits refused");
        StatusCode::BAD_REQUEST
    })?;
    merge(gateway, &call.updates);
    if gateway.issuing_term().is_none() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(issue(gateway, &call).encode_to_vec())
}

fn merge(gateway: &Gateway, updates: &[LimitUpdate]) {
    let now = clock::now();
    let mut limits = gateway.announced_limits();
    for update in updates {
        if let Some(change) = limits.merge(now, update) {
            log::info!(
                endpoint = update.incarnation, change:? = change, age_ms = update.age_ms;
                "limit of an endpoint reported by an instance"
            );
        }
    }
}

/// Takes a permit for a request of the leader itself; endpoints without a limit need none.
pub(crate) fn take_own(
    gateway: &Gateway,
    now: Timestamp,
    endpoint: &Endpoint,
    priority: u32,
) -> bool {
    let Some(limit) = gateway.announced_limits().get(endpoint) else {
        return true;
    };
    let Some(term) = gateway.issuing_term() else {
        return false;
    };
    let urgency = Urgency {
        priority,
        is_batch: true,
    };
    let incarnation = endpoint.incarnation();
    let decision = gateway
        .permits()
        .take_work(now, term, &incarnation, limit.rate, urgency);
    decision == PermitDecision::Granted
}

/// Takes a permit for an inspection or an order; endpoints without a limit need none.
pub(crate) fn take_control(gateway: &Gateway, endpoint: &Endpoint) -> bool {
    let Some(limit) = gateway.announced_limits().get(endpoint) else {
        return true;
    };
    let Some(term) = gateway.issuing_term() else {
        return false;
    };
    let incarnation = endpoint.incarnation();
    let now = clock::now();
    let decision = gateway
        .permits()
        .take_control(now, term, &incarnation, limit.rate);
    decision == PermitDecision::Granted
}

/// Tells the leader of limits that began or ended, until the gateway stops.
pub(crate) async fn report(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    loop {
        tokio::select! {
            () = gateway.limits_wake.notified() => {}
            () = stopped(&mut stop) => return,
        }
        let updates = gateway.announced_limits().take_updates(clock::now());
        if updates.is_empty() || gateway.issuing_term().is_some() {
            continue;
        }
        let call = LimitCall {
            updates,
            candidates: Vec::new(),
            priority: 0,
        };
        // What the leader doesn't learn now, it learns with the next request for a permit.
        drop(call_leader(&gateway, &call).await);
    }
}
