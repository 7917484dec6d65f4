//! Orders to engines, while this instance has the duty and its lease is in time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::gateway::endpoint::EndpointTable;
use wisteriaford_core::gateway::weights::EngineReport;
use wisteriaford_core::gateway::weights::EngineView;
use wisteriaford_core::gateway::weights::OrderOutcome;
use wisteriaford_core::gateway::weights::WeightAction;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::Version;

use crate::border::WeightOrder;
use crate::clock;
use crate::state::Gateway;
use crate::state::stopped;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Longest wait for the answer to an order or a question.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Gives orders until the gateway stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    let mut engines = Engines::default();
    loop {
        if gateway.duty().may_order(clock::now()).is_some() {
            for action in due(&gateway, &mut engines) {
                tokio::spawn(carry_out(Arc::clone(&gateway), action));
            }
        }
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = stopped(&mut stop) => return,
        }
    }
}

fn due(gateway: &Gateway, engines: &mut Engines) -> Vec<WeightAction> {
    let view = gateway.view.load();
    let demand = gateway.schedule().demand(&view.endpoints, &gateway.fleet());
    let mut plan = gateway.plan();
    for (model, version) in view.weights.iter() {
        plan.set_target(clock::now(), model, *version);
    }
    plan.next_actions(clock::now(), engines.of(&view.endpoints), &demand)
}

/// Engines as the plan takes them, made again when the list of endpoints has changed.
#[derive(Default)]
struct Engines {
    list: Option<Arc<EndpointTable>>,
    views: Vec<EngineView>,
}

impl Engines {
    fn of(&mut self, list: &Arc<EndpointTable>) -> &[EngineView] {
        let known = self.list.as_ref();
        if !known.is_some_and(|known| Arc::ptr_eq(known, list)) {
            self.views = engine_views(list);
            self.list = Some(Arc::clone(list));
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
    // The same order at every instance, so that another holder goes on with the same engines.
    views.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
    views
}

async fn carry_out(gateway: Arc<Gateway>, action: WeightAction) {
    match action {
        WeightAction::Inspect { endpoint } => {
            let report = inspect(&gateway, &endpoint).await;
            gateway.plan().reported(clock::now(), &endpoint, report);
            gateway.runner_wake.notify_one();
        }
        WeightAction::Order {
            endpoint,
            model,
            version,
            expected_orders,
        } => {
            let outcome = order(&gateway, &endpoint, &model, version, expected_orders).await;
            gateway.plan().answered(clock::now(), &endpoint, outcome);
        }
    }
}

fn address_of(gateway: &Gateway, endpoint: &EndpointId) -> Option<SocketAddr> {
    let view = gateway.view.load();
    view.endpoints
        .get(endpoint)
        .map(|endpoint| endpoint.address)
}

async fn inspect(gateway: &Gateway, endpoint: &EndpointId) -> Option<EngineReport> {
    let address = address_of(gateway, endpoint)?;
    let request = gateway.endpoints.inspection(endpoint);
    let called = gateway
        .client
        .call(endpoint.as_str(), address, request, CALL_TIMEOUT)
        .await;
    let report = match called {
        Ok(answer) if answer.status.is_success() => gateway
            .endpoints
            .report(&answer.body)
            .map_err(|error| error.to_string()),
        Ok(answer) => Err(format!("status {}", answer.status)),
        Err(error) => Err(error.to_string()),
    };
    match report {
        Ok(report) => {
            log::debug!(
                endpoint:% = endpoint, busy = report.busy, versions:? = report.versions,
                orders = report.accepted_orders;
                "engine reported"
            );
            Some(report)
        }
        Err(error) => {
            log::warn!(endpoint:% = endpoint, error:% = error; "engine did not report");
            None
        }
    }
}

/// Returns whether a route to the engine's pool wants each result from a single version.
fn needs_single_version(gateway: &Gateway, endpoint: &EndpointId) -> bool {
    let view = gateway.view.load();
    let Some(endpoint) = view.endpoints.get(endpoint) else {
        return false;
    };
    let mut routes = view.routes.iter().filter(|route| route.single_version);
    routes.any(|route| route.targets.iter().any(|t| t.pool == endpoint.pool))
}

async fn order(
    gateway: &Gateway,
    endpoint: &EndpointId,
    model: &ModelId,
    version: Version,
    expected_orders: u64,
) -> OrderOutcome {
    // The lease may have ended since the order was planned.
    let fence = gateway.duty().may_order(clock::now());
    let (Some(fence), Some(address)) = (fence, address_of(gateway, endpoint)) else {
        log::info!(endpoint:% = endpoint, version = version.0; "order not given, no lease");
        return OrderOutcome::Refused;
    };
    let order = WeightOrder {
        endpoint: endpoint.clone(),
        model: model.clone(),
        version,
        holder: gateway.settings.load().instance.as_str().into(),
        fence,
        expected_orders,
        lets_runs_finish: needs_single_version(gateway, endpoint),
    };
    let request = gateway.endpoints.order(&order);
    let called = gateway
        .client
        .call(endpoint.as_str(), address, request, CALL_TIMEOUT)
        .await;
    let (outcome, cause) = match called {
        Ok(answer) => {
            let outcome = gateway.endpoints.order_outcome(answer.status);
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
