//! Choice of the endpoint for the next attempt of a call.

use std::time::Duration;

use http::StatusCode;
use wisteriaford_core::gateway::attempts::Attempts;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::load_balancer::CALL_COSTS;
use wisteriaford_core::gateway::load_balancer::SelectionCriteria;
use wisteriaford_core::gateway::load_balancer::SelectionReason;
use wisteriaford_core::gateway::route::Route;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::SoftwareVersion;

use crate::clock;
use crate::forward::Answered;
use crate::forward::Call;
use crate::permits;
use crate::permits::Selection;
use crate::refusal::Reason;
use crate::state::Gateway;

/// Minimum `Retry-After` of calls that limits of the endpoints don't allow.
const MIN_LIMIT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// How a pool refused a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PoolRefusal {
    /// An endpoint refused it as full.
    Full,
    /// The endpoints that are left limit their requests.
    Limited,
}

/// State of a call across its attempts.
pub(super) struct CallState {
    pub(super) attempts: Attempts,
    pub(super) may_have_run: bool,
    /// Whether the last attempt was one of a request that may run only alone.
    pub(super) alone: bool,
    /// Time until the call may be sent again, if it was refused as quarantined or by a limit.
    pub(super) retry_after: Option<Duration>,
    /// How the pool refused the call, if it did.
    pool_refusal: Option<PoolRefusal>,
    pub(super) failure: Option<Answered>,
}

impl CallState {
    pub(super) fn new(route: &Route) -> Self {
        Self {
            attempts: Attempts::new(route.max_attempts),
            may_have_run: false,
            alone: false,
            retry_after: None,
            pool_refusal: None,
            failure: None,
        }
    }

    /// Records the status with which an endpoint guaranteed that it did not run the call.
    pub(super) fn record_not_run(&mut self, status: StatusCode) {
        let full = [
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        if full.contains(&status) {
            self.pool_refusal.get_or_insert(PoolRefusal::Full);
        }
    }

    /// Returns the reason for refusing a call that is not sent again: `reason` promises that it did not run.
    pub(super) fn unsent_reason(&self, reason: Reason) -> Reason {
        if self.may_have_run {
            Reason::AnswerLost
        } else {
            reason
        }
    }

    /// Returns whether a call that ended without an answer was refused by a contended pool.
    pub(super) fn is_contended(&self, reason: Reason) -> bool {
        match reason {
            Reason::EndpointsFull => self.pool_refusal == Some(PoolRefusal::Full),
            Reason::EndpointsLimited => true,
            _ => false,
        }
    }
}

/// Returns the outcome of a call that has no endpoint left to try.
pub(super) fn exhausted(state: &mut CallState) -> Result<(Endpoint, Answered), Reason> {
    if state.may_have_run {
        return Err(Reason::AnswerLost);
    }
    Err(if state.pool_refusal == Some(PoolRefusal::Limited) {
        Reason::EndpointsLimited
    } else if state.attempts.tried().is_empty() {
        Reason::NoEndpoint
    } else {
        Reason::EndpointsFull
    })
}

/// Returns the criteria of the endpoint for a call on a route.
pub(crate) fn criteria<'a>(
    pool: &'a PoolId,
    tried: &'a [EndpointId],
    software: Option<&'a SoftwareVersion>,
    route: &Route,
) -> SelectionCriteria<'a> {
    SelectionCriteria {
        pool,
        tried,
        software,
        affinity: None,
        max_in_flight: None,
        allow_unavailable: true,
        prefer_proven: !route.is_idempotent(),
        costs: CALL_COSTS,
    }
}

fn criteria_of<'a>(call: &'a Call<'_>, attempts: &'a Attempts) -> SelectionCriteria<'a> {
    criteria(
        call.pool,
        attempts.tried(),
        call.software.as_ref(),
        call.route,
    )
}

/// Chooses the endpoint of the next attempt and registers the attempt with the load balancer.
pub(super) async fn next_endpoint(
    gateway: &Gateway,
    call: &Call<'_>,
    state: &mut CallState,
) -> Option<Endpoint> {
    if !state.attempts.may_try() {
        return None;
    }
    let query = criteria_of(call, &state.attempts);
    match permits::select(gateway, &query, call.priority).await {
        Selection::Selected(endpoint, reason) => {
            register_attempt(gateway, call, state, &endpoint, reason);
            Some(endpoint)
        }
        Selection::Limited { retry_after } => {
            state.pool_refusal = Some(PoolRefusal::Limited);
            state.retry_after = Some(retry_after.max(MIN_LIMIT_RETRY_AFTER));
            None
        }
        Selection::NoEndpoint => None,
    }
}

/// Chooses the endpoint of a hedge and registers it with the load balancer; none that limits its
/// requests.
pub(super) fn hedge_endpoint(
    gateway: &Gateway,
    call: &Call<'_>,
    state: &mut CallState,
) -> Option<Endpoint> {
    if !state.attempts.may_try() {
        return None;
    }
    let view = gateway.view.load();
    let (endpoint, reason) = {
        let load_balancer = gateway.load_balancer();
        let limits = gateway.announced_limits();
        let query = criteria_of(call, &state.attempts);
        let idle = |id: &EndpointId| gateway.idle_connections(&view, id);
        let accepts = |endpoint: &Endpoint| limits.get(endpoint).is_none();
        load_balancer.select(clock::now(), &view.endpoints, &query, idle, accepts)?
    };
    register_attempt(gateway, call, state, endpoint, reason);
    Some(endpoint.clone())
}

/// Returns whether the call could be sent to another endpoint that isn't ejected, should its last attempt reach
/// none.
pub(super) fn has_alternative(gateway: &Gateway, call: &Call<'_>, state: &CallState) -> bool {
    let now = clock::now();
    let view = gateway.view.load();
    let load_balancer = gateway.load_balancer();
    let limits = gateway.announced_limits();
    let query = criteria_of(call, &state.attempts);
    let accepts = |endpoint: &Endpoint| limits.may_request(now, endpoint);
    state.attempts.may_try() && load_balancer.has_available(now, &view.endpoints, &query, accepts)
}

fn register_attempt(
    gateway: &Gateway,
    call: &Call<'_>,
    state: &mut CallState,
    endpoint: &Endpoint,
    reason: SelectionReason,
) {
    gateway.load_balancer().record_start(&endpoint.id);
    log::debug!(
        request:% = call.head.request, endpoint:% = endpoint.id, in_flight = reason.in_flight,
        relative_pace = reason.relative_pace, candidates = reason.candidates,
        forced = reason.forced;
        "endpoint chosen"
    );
    state.attempts.record(endpoint.id.clone());
}
