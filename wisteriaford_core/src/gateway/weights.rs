//! Rollout of announced versions of the weights to the engines, by means of orders.
//!
//! An order only names the version to load; the engine's own report is authoritative. Every order
//! carries the number of orders that the engine is expected to have accepted so far, so the engine
//! refuses an order that arrives late, after a newer one. An engine carries out one order at a
//! time, across all models.
//!
//! A step accepts the newest version and the one before it, so not every engine needs every
//! version. While the engines that the next step can use have too few slots for its items, engines
//! are loaded immediately. Otherwise an engine is loaded when no item of the model is waiting and
//! the engine runs none of its long items. Engines beyond what the items need are loaded once a
//! version has been the newest for some time.

mod candidates;
mod version_need;

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::gateway::weights::candidates::Candidates;
pub use crate::gateway::weights::version_need::VersionNeed;
use crate::id::EndpointId;
use crate::id::ModelId;
use crate::id::Version;
use crate::time::Timestamp;

/// Number of engines per concurrent load; further loads wait for the ones in progress.
const ENGINES_PER_LOAD: usize = 5;
/// Number of engines per queued load.
///
/// Queued loads are ordered beyond the concurrent ones, so that a load begins as soon as another
/// ends. The end of a load is only seen by an inspection some hundred milliseconds later. At least
/// one load is queued, and about a quarter as many as are concurrent.
const ENGINES_PER_QUEUED_LOAD: usize = 16;
/// Time from an order to the first inspection of the engine.
const FIRST_INSPECTION_DELAY: Duration = Duration::from_millis(900);
/// Time between two inspections of an engine that is loading.
const INSPECTION_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which an order is considered failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay after a failed inspection, or after an order whose answer was lost.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of versions that a step may lag behind the newest.
const MAX_VERSION_LAG: u64 = 1;
/// Time that a version must have been the newest before engines that the items don't need are
/// loaded too.
///
/// This is longer than trainers take from one version to the next.
const LAZY_LOAD_AFTER: Duration = Duration::from_secs(10);
/// Slots kept ready for a step, in percent of its number of items.
const SLOTS_PER_ITEM_PERCENT: u64 = 125;
/// Slots that all models together keep ready, in percent of all slots.
///
/// Models that share engines also share the capacity for loads. With more slots per model, new
/// versions would arrive faster than the engines can load them for every model.
const TOTAL_READY_SLOTS_PERCENT: u64 = 100;

/// Planner's view of an engine.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Id of the engine.
    pub endpoint: EndpointId,
    /// Number of requests that the engine processes concurrently.
    pub slots: u32,
    /// Models that the engine has loaded.
    pub models: Vec<ModelId>,
    /// Start time of the engine's process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// Waiting and running items of a model.
#[derive(Clone, Debug, Default)]
pub struct ModelDemand {
    /// Number of items in the model's newest batch job.
    pub items: u64,
    /// Number of items that are waiting for an engine.
    pub waiting: usize,
    /// Oldest version that may run all waiting items.
    pub min_version: Version,
    /// Running items, by engine.
    pub running: IndexMap<EndpointId, RunningItems>,
}

/// Numbers of a model's items that are running on an engine.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunningItems {
    /// Items with a long expected remaining time; a load delays them, and with them their step.
    pub long_items: u32,
    /// All running items.
    pub items: u32,
}

/// Request to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WeightAction {
    /// Read the engine's state.
    Inspect {
        /// Engine to inspect.
        endpoint: EndpointId,
    },
    /// Order the engine to load a version.
    Order {
        /// Engine that receives the order.
        endpoint: EndpointId,
        /// Model to load.
        model: ModelId,
        /// Version to load.
        version: Version,
        /// Number of orders that the engine must have accepted so far.
        expected_orders: u64,
    },
}

/// State reported by an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Version of the weights of each loaded model.
    pub versions: IndexMap<ModelId, Version>,
    /// Number of orders that the engine has accepted since its start.
    pub accepted_orders: u64,
    /// Whether an order is being carried out.
    pub busy: bool,
}

impl EngineReport {
    fn version(&self, model: &ModelId) -> Version {
        self.versions.get(model).copied().unwrap_or_default()
    }
}

/// Outcome of sending an order to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine is carrying out the order.
    Accepted,
    /// The engine already has the version.
    AlreadyHolds,
    /// The engine is carrying out another order, or has accepted one that isn't known here.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine refused the order for another reason, or the order wasn't sent.
    Refused,
    /// The order wasn't sent, as the engine limits its requests.
    Deferred,
    /// The answer was lost.
    Unknown,
}

/// Order that isn't known to have ended.
#[derive(Clone, Debug)]
struct OpenOrder {
    model: ModelId,
    version: Version,
    issued_at: Timestamp,
}

/// What is known of an engine, and the request or order in progress.
#[derive(Clone, Debug, Default)]
struct Engine {
    started_unix_ms: u64,
    report: Option<EngineReport>,
    /// Whether an inspection or an order awaits its answer.
    awaits_answer: bool,
    order: Option<OpenOrder>,
    /// Time before which the engine is neither inspected nor given an order.
    not_before: Timestamp,
}

impl Engine {
    /// Returns whether the engine is known to have a version or a newer one.
    fn has_version(&self, model: &ModelId, version: Version) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| report.version(model) >= version)
    }

    /// Returns whether the engine has an open order for a version or a newer one.
    fn is_loading(&self, model: &ModelId, version: Version) -> bool {
        let order = self.order.as_ref();
        order.is_some_and(|order| order.model == *model && order.version >= version)
    }

    /// Returns whether the engine can be given an order now.
    fn can_take_order(&self, now: Timestamp) -> bool {
        let idle = self.report.as_ref().is_some_and(|report| !report.busy);
        idle && self.order.is_none() && !self.awaits_answer && now >= self.not_before
    }
}

/// Newest version of a model.
#[derive(Clone, Copy, Debug, Default)]
struct Target {
    version: Version,
    since: Timestamp,
}

/// Plans the orders for all engines.
#[derive(Clone, Debug, Default)]
pub struct WeightPlan {
    targets: IndexMap<ModelId, Target>,
    engines: IndexMap<EndpointId, Engine>,
}

impl WeightPlan {
    /// Sets the newest announced version of a model; an older version is ignored.
    pub fn set_target(&mut self, now: Timestamp, model: &ModelId, version: Version) {
        let target = self.targets.entry(model.clone()).or_default();
        if version > target.version {
            *target = Target {
                version,
                since: now,
            };
        }
    }

    /// Returns the version of a model that an engine is known to have.
    #[must_use]
    pub fn version_of(&self, endpoint: &EndpointId, model: &ModelId) -> Option<Version> {
        let report = self.engines.get(endpoint)?.report.as_ref()?;
        report.versions.get(model).copied()
    }

    /// Returns whether an engine has an open order for a model.
    #[must_use]
    pub fn is_loading(&self, endpoint: &EndpointId, model: &ModelId) -> bool {
        let engine = self.engines.get(endpoint);
        engine.is_some_and(|engine| engine.is_loading(model, Version(0)))
    }

    /// Records a version that an engine named in an answer.
    pub fn record_version(&mut self, endpoint: &EndpointId, model: &ModelId, version: Version) {
        let engine = self.engines.get_mut(endpoint);
        let report = engine.and_then(|engine| engine.report.as_mut());
        if let Some(report) = report.filter(|report| report.version(model) < version) {
            report.versions.insert(model.clone(), version);
        }
    }

    /// Returns the inspections and orders to send to engines now.
    pub fn next_actions(
        &mut self,
        now: Timestamp,
        views: &[EngineView],
        demand: &IndexMap<ModelId, ModelDemand>,
    ) -> Vec<WeightAction> {
        self.sync_engines(views);
        let mut actions = Vec::new();
        if self.targets.is_empty() {
            return actions;
        }
        for view in views {
            actions.extend(self.inspect(now, view));
        }
        let queued = (views.len() / ENGINES_PER_QUEUED_LOAD).max(1);
        let max_loads = views.len() / ENGINES_PER_LOAD + queued;
        let loading = self
            .engines
            .values()
            .filter(|engine| engine.order.is_some());
        let free = max_loads.saturating_sub(loading.count());
        if free == 0 {
            return actions;
        }
        let loads: Vec<_> = Candidates::new(self, now, views, demand)
            .take(free)
            .collect();
        for (endpoint, model) in loads {
            actions.extend(self.order(now, endpoint, model));
        }
        actions
    }

    /// Handles an engine's report, or `None` if the inspection failed.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        report: Option<EngineReport>,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.awaits_answer = false;
        let Some(report) = report else {
            engine.not_before = now + FAILURE_BACKOFF;
            return;
        };
        engine.not_before = now + INSPECTION_INTERVAL;
        if let Some(order) = &engine.order {
            let age = now.since(order.issued_at);
            let is_loaded = report.version(&order.model) >= order.version;
            let ended = !report.busy && (is_loaded || age >= FIRST_INSPECTION_DELAY);
            if ended || age >= LOAD_TIMEOUT {
                engine.order = None;
                engine.not_before = now;
            }
        }
        engine.report = Some(report);
    }

    /// Handles the outcome of an order.
    pub fn on_order_outcome(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        outcome: OrderOutcome,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.awaits_answer = false;
        match outcome {
            OrderOutcome::Accepted => {
                if let Some(report) = engine.report.as_mut() {
                    report.accepted_orders += 1;
                    report.busy = true;
                }
                engine.not_before = now + FIRST_INSPECTION_DELAY;
            }
            OrderOutcome::AlreadyHolds => {
                let order = engine.order.take();
                if let (Some(report), Some(order)) = (engine.report.as_mut(), order) {
                    report.versions.insert(order.model, order.version);
                }
            }
            OrderOutcome::Conflict | OrderOutcome::Refused | OrderOutcome::Fenced => {
                engine.order = None;
                engine.report = None;
                engine.not_before = now + INSPECTION_INTERVAL;
            }
            OrderOutcome::Deferred => {
                engine.order = None;
                engine.not_before = now + FAILURE_BACKOFF;
            }
            OrderOutcome::Unknown => {
                // The engine may still carry out the order; the next report will show it. If the
                // order arrives late, its expected number of orders keeps it from undoing a newer
                // one.
                engine.not_before = now + FAILURE_BACKOFF;
            }
        }
    }

    /// Forgets engines that are gone, and resets those that were restarted.
    fn sync_engines(&mut self, views: &[EngineView]) {
        let current: IndexSet<&EndpointId> = views.iter().map(|view| &view.endpoint).collect();
        self.engines
            .retain(|endpoint, _| current.contains(endpoint));
        for view in views {
            let engine = self.engines.entry(view.endpoint.clone()).or_default();
            if engine.started_unix_ms != view.started_unix_ms {
                *engine = Engine {
                    started_unix_ms: view.started_unix_ms,
                    ..Engine::default()
                };
            }
        }
    }

    /// Returns an inspection if the engine's state is unknown or it is loading.
    fn inspect(&mut self, now: Timestamp, view: &EngineView) -> Option<WeightAction> {
        let engine = self.engines.get_mut(&view.endpoint)?;
        let is_stale = engine.report.as_ref().is_none_or(|report| report.busy);
        let is_needed = is_stale || engine.order.is_some();
        if !is_needed || engine.awaits_answer || now < engine.not_before {
            return None;
        }
        engine.awaits_answer = true;
        Some(WeightAction::Inspect {
            endpoint: view.endpoint.clone(),
        })
    }

    /// Returns the share of its wanted slots that each model can have, in percent.
    fn share_percent(&self, views: &[EngineView], demand: &IndexMap<ModelId, ModelDemand>) -> u64 {
        let demands = self.targets.keys().filter_map(|model| demand.get(model));
        let wanted: u64 = demands.map(wanted_slots).sum();
        let all: u64 = views.iter().map(|view| u64::from(view.slots)).sum();
        let share = all * TOTAL_READY_SLOTS_PERCENT / wanted.max(1);
        share.min(100)
    }

    /// Opens an order for the newest version of a model and returns it.
    fn order(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        model: ModelId,
    ) -> Option<WeightAction> {
        let version = self.targets.get(&model)?.version;
        let engine = self.engines.get_mut(&endpoint)?;
        engine.order = Some(OpenOrder {
            model: model.clone(),
            version,
            issued_at: now,
        });
        engine.awaits_answer = true;
        let expected_orders = engine.report.as_ref()?.accepted_orders;
        Some(WeightAction::Order {
            endpoint,
            model,
            version,
            expected_orders,
        })
    }
}

/// Returns the number of slots that a model wants to have ready.
fn wanted_slots(demand: &ModelDemand) -> u64 {
    demand.items.max(1) * SLOTS_PER_ITEM_PERCENT / 100
}
