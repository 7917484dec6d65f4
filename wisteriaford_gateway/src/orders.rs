//! Orders to engines, while this instance is the leader and its lease is valid.

use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::gateway::answer_match;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::endpoint::EndpointTable;
use wisteriaford_core::gateway::weights::EngineReport;
use wisteriaford_core::gateway::weights::EngineView;
use wisteriaford_core::gateway::weights::OrderOutcome;
use wisteriaford_core::gateway::weights::WeightAction;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::Version;

use crate::adapter::EndpointRequest;
use crate::adapter::WeightOrder;
use crate::client::CallError;
use crate::client::CompleteAnswer;
use crate::clock;
use crate::order_guard::OrderGuard;
use crate::permits;
use crate::reach;
use crate::reach::ControlConnection;
use crate::sends::SendKind;
use crate::state::Gateway;
use crate::state::stopped;

/// Interval of the check for due actions.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of an order or an inspection.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Inspects engines and sends orders until the gateway stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    let mut engines = EngineCache::default();
    loop {
        if gateway.leadership().order_fence(clock::now()).is_some() {
            for action in due_actions(&gateway, &mut engines) {
                tokio::spawn(execute(Arc::clone(&gateway), action));
            }
        }
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = stopped(&mut stop) => return,
        }
    }
}

fn due_actions(gateway: &Gateway, engines: &mut EngineCache) -> Vec<WeightAction> {
    let view = gateway.view.load();
    let demand = gateway
        .schedule()
        .demand(&view.endpoints, &gateway.load_balancer());
    let mut plan = gateway.plan();
    for (model, version) in view.weights.iter() {
        plan.set_target(clock::now(), model, *version);
    }
    plan.next_actions(clock::now(), engines.views(&view.endpoints), &demand)
}

/// Cached plan input for the engines, rebuilt when the endpoint table changes.
#[derive(Default)]
struct EngineCache {
    table: Option<Arc<EndpointTable>>,
    views: Vec<EngineView>,
}

impl EngineCache {
    fn views(&mut self, table: &Arc<EndpointTable>) -> &[EngineView] {
        let known = self.table.as_ref();
        if !known.is_some_and(|known| Arc::ptr_eq(known, table)) {
            self.views = engine_views(table);
            self.table = Some(Arc::clone(table));
        }
        &self.views
    }
}

fn engine_views(endpoints: &EndpointTable) -> Vec<EngineView> {
    let engines = endpoints.iter();
    let engines = engines.filter(|endpoint| !endpoint.leaving && !endpoint.weights.is_empty());
    let views = engines.map(|endpoint| EngineView {
        endpoint: endpoint.id.clone(),
        slots: endpoint.slots,
        models: endpoint.weights.iter().map(|(m, _)| m.clone()).collect(),
        started_unix_ms: endpoint.started_unix_ms,
    });
    let mut views: Vec<_> = views.collect();
    // Sorted identically at every instance, so that a new leader continues with the same engines.
    views.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
    views
}

async fn execute(gateway: Arc<Gateway>, action: WeightAction) {
    match action {
        WeightAction::Inspect { endpoint } => {
            let report = inspect(&gateway, &endpoint).await;
            gateway.plan().on_report(clock::now(), &endpoint, report);
            gateway.runner_wake.notify_one();
        }
        WeightAction::Order {
            endpoint,
            model,
            version,
            expected_orders,
        } => {
            let outcome = send_order(&gateway, &endpoint, &model, version, expected_orders).await;
            gateway
                .plan()
                .on_order_outcome(clock::now(), &endpoint, outcome);
        }
    }
}

fn find_endpoint(gateway: &Gateway, endpoint: &EndpointId) -> Option<Endpoint> {
    gateway.view.load().endpoints.get(endpoint).cloned()
}

/// Calls an engine and records what it announces in its answer. Orders come from the leader itself: an
/// engine takes those over another instance for those of another leader.
async fn call_engine(
    gateway: &Arc<Gateway>,
    engine: &Endpoint,
    request: EndpointRequest,
    connection: ControlConnection,
) -> Result<CompleteAnswer, CallError> {
    let sent_at = gateway.record_send(engine, SendKind::EngineControl);
    let answer = reach::call_directly(gateway, engine, request, connection, CALL_TIMEOUT).await;
    if answer.is_err() {
        reach::check_without_answers(gateway, sent_at);
    }
    let answer = answer?;
    let protocol = &gateway.endpoints;
    let metadata = protocol.decode_answer(answer.status, &answer.headers);
    answer_match::check_control(metadata.identity()).map_err(CallError::lost)?;
    gateway.record_answer(engine, sent_at, &metadata);
    Ok(answer)
}

async fn inspect(gateway: &Arc<Gateway>, endpoint: &EndpointId) -> Option<EngineReport> {
    let engine = find_endpoint(gateway, endpoint)?;
    if !permits::take_control(gateway, &engine) {
        log::debug!(endpoint:% = endpoint; "engine not inspected, it limits its requests");
        return None;
    }
    let request = gateway.endpoints.inspection_request(endpoint);
    let report = match call_engine(gateway, &engine, request, ControlConnection::Kept).await {
        Ok(answer) if answer.status.is_success() => gateway
            .endpoints
            .decode_report(&answer.body)
            .map_err(|error| error.to_string()),
        Ok(answer) => Err(format!("status {}", answer.status)),
        Err(error) => Err(error.to_string()),
    };
    match report {
        Ok(report) => {
            log::debug!(
                endpoint:% = endpoint, busy = report.busy, versions:? = report.versions,
                orders = report.accepted_orders;
                "engine inspected"
            );
            Some(report)
        }
        Err(error) => {
            log::warn!(endpoint:% = endpoint, error:% = error; "failed to inspect engine");
            None
        }
    }
}

/// Returns whether a route to the engine's pool requires each result to come from a single version.
fn needs_single_version(gateway: &Gateway, endpoint: &EndpointId) -> bool {
    let view = gateway.view.load();
    let Some(endpoint) = view.endpoints.get(endpoint) else {
        return false;
    };
    let mut routes = view.routes.iter().filter(|route| route.single_version);
    routes.any(|route| route.targets.iter().any(|t| t.pool == endpoint.pool))
}

async fn send_order(
    gateway: &Arc<Gateway>,
    endpoint: &EndpointId,
    model: &ModelId,
    version: Version,
    expected_orders: u64,
) -> OrderOutcome {
    // The lease may have expired since the order was planned.
    let guard = OrderGuard::begin(gateway);
    let (Some(guard), engine) = (guard, find_endpoint(gateway, endpoint)) else {
        log::info!(endpoint:% = endpoint, version = version.0; "order not sent, no valid lease");
        return OrderOutcome::Refused;
    };
    let fence = guard.fence();
    let Some(engine) = engine else {
        guard.end(true);
        log::info!(endpoint:% = endpoint, version = version.0; "order not sent, no such engine");
        return OrderOutcome::Refused;
    };
    if !permits::take_control(gateway, &engine) {
        guard.end(true);
        log::info!(
            endpoint:% = endpoint, version = version.0;
            "order deferred, the engine limits its requests"
        );
        return OrderOutcome::Deferred;
    }
    let order = WeightOrder {
        endpoint: endpoint.clone(),
        model: model.clone(),
        version,
        leader: gateway.settings.load().instance.as_str().into(),
        fence,
        expected_orders,
        lets_runs_finish: needs_single_version(gateway, endpoint),
    };
    let request = gateway.endpoints.order_request(&order);
    let answer = call_engine(gateway, &engine, request, ControlConnection::Own).await;
    guard.end(matches!(answer, Ok(_) | Err(CallError::Unreachable { .. })));
    let (outcome, cause) = match answer {
        Ok(answer) => {
            let outcome = gateway.endpoints.decode_order_outcome(answer.status);
            (outcome, answer.status.to_string())
        }
        Err(error) => (OrderOutcome::Unknown, error.to_string()),
    };
    log::info!(
        endpoint:% = endpoint, model:% = model, version = version.0, fence = fence.0,
        expected_orders = expected_orders, outcome:? = outcome, cause = cause;
        "engine ordered to load weights"
    );
    gateway.metrics.orders.add(1, &[]);
    outcome
}
