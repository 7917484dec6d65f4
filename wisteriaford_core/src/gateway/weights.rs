//! Rollout of named versions of the weights over the engines, by orders.
//!
//! Orders only say which version to reach; what an engine reports is the truth. Every order names
//! the number of orders that the engine had accepted, so that one which arrives late, after a
//! newer one, is refused by the engine. An engine carries out one order at a time, whatever the
//! model.
//!
//! A step takes the newest version and the one before it, so not every engine needs every version.
//! Engines are loaded at once while those that the next step can use are too few for its items,
//! and otherwise when no item of the model waits and they run no long one. Engines beyond what the
//! items need follow once a version has been the newest for a while.

mod candidates;

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::gateway::weights::candidates::Candidates;
use crate::id::EndpointId;
use crate::id::ModelId;
use crate::id::Version;
use crate::time::Timestamp;

/// One engine in so many loads at a time; further ones wait for those.
const ENGINES_PER_LOAD: usize = 5;
/// One more engine in so many is ordered beyond those, so that the next load begins when one ends.
///
/// A load that ended is seen by a question some hundred milliseconds later: at least one engine, and
/// a quarter of those that load.
const ENGINES_PER_QUEUED_LOAD: usize = 16;
/// Time after an order before the engine is first asked how far it is.
const FIRST_CHECK: Duration = Duration::from_millis(900);
/// Time between two questions to an engine that loads.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which an order counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Wait after an order or question that failed.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// Versions that a step may lag behind the newest.
const ALLOWED_LAG: u64 = 1;
/// Time that a version must be the newest before engines without any use for it are loaded.
///
/// Longer than trainers take from one version to the next.
const LAZY_LOAD_AFTER: Duration = Duration::from_secs(10);
/// Slots that are kept ready for a step, in percent of its items.
const SLOTS_PER_ITEM_PERCENT: u64 = 125;
/// Slots that all models together keep ready, in percent of the slots that there are.
///
/// Models that share engines share the loads too; beyond this, versions come faster than the
/// engines can load them for every model.
const SHARED_SLOTS_PERCENT: u64 = 100;

/// Engine as the planner is told of it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Name of the engine.
    pub endpoint: EndpointId,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Models that it has loaded.
    pub models: Vec<ModelId>,
    /// When this run of the engine began.
    pub started_unix_ms: u64,
}

/// What the items of a model need.
#[derive(Clone, Debug, Default)]
pub struct ModelDemand {
    /// Items of the largest batch job lately.
    pub items: u64,
    /// Items that wait for an engine.
    pub waiting: usize,
    /// Items that run, by engine.
    pub running: IndexMap<EndpointId, RunningItems>,
}

/// Items of a model that run at an engine.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunningItems {
    /// Items that are expected to run for long still; a load delays them, and with them their step.
    pub long_items: u32,
    /// All of them.
    pub items: u32,
}

/// Something to ask of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WeightAction {
    /// Ask for its state.
    Inspect {
        /// Engine to ask.
        endpoint: EndpointId,
    },
    /// Order a version.
    Order {
        /// Engine to order.
        endpoint: EndpointId,
        /// Model in question.
        model: ModelId,
        /// Version to reach.
        version: Version,
        /// Orders that the engine must have accepted so far.
        expected_orders: u64,
    },
}

/// What an engine reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Versions of the weights of the models that are loaded.
    pub versions: IndexMap<ModelId, Version>,
    /// Orders that the engine accepted since its start.
    pub accepted_orders: u64,
    /// An order is being carried out.
    pub busy: bool,
}

impl EngineReport {
    fn version(&self, model: &ModelId) -> Version {
        self.versions.get(model).copied().unwrap_or_default()
    }
}

/// How an order was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// It already held.
    AlreadyHolds,
    /// The engine is at work on another order, or accepted one that is not known here.
    Conflict,
    /// The engine knows a higher fencing number.
    Fenced,
    /// The engine refused it.
    Refused,
    /// Its answer was lost.
    Unknown,
}

/// Order that is not known to have ended.
#[derive(Clone, Debug)]
struct OpenOrder {
    model: ModelId,
    version: Version,
    given: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    started_unix_ms: u64,
    report: Option<EngineReport>,
    /// A question or an order is on its way.
    asked: bool,
    order: Option<OpenOrder>,
    not_before: Timestamp,
}

impl Engine {
    fn has(&self, model: &ModelId, version: Version) -> bool {
        let known = self.report.as_ref();
        known.is_some_and(|report| report.version(model) >= version)
    }

    fn loads(&self, model: &ModelId, version: Version) -> bool {
        let order = self.order.as_ref();
        order.is_some_and(|order| order.model == *model && order.version >= version)
    }

    fn is_free(&self, now: Timestamp) -> bool {
        let idle = self.report.as_ref().is_some_and(|report| !report.busy);
        idle && self.order.is_none() && !self.asked && now >= self.not_before
    }
}

/// Newest version of a model.
#[derive(Clone, Copy, Debug, Default)]
struct Target {
    version: Version,
    since: Timestamp,
}

/// Plans the orders to all engines.
#[derive(Clone, Debug, Default)]
pub struct WeightPlan {
    targets: IndexMap<ModelId, Target>,
    engines: IndexMap<EndpointId, Engine>,
}

impl WeightPlan {
    /// Takes the newest version of a model that was named; an older one changes nothing.
    pub fn set_target(&mut self, now: Timestamp, model: &ModelId, version: Version) {
        let target = self.targets.entry(model.clone()).or_default();
        if version > target.version {
            *target = Target {
                version,
                since: now,
            };
        }
    }

    /// Returns the version that an engine has, as far as is known.
    #[must_use]
    pub fn version_of(&self, endpoint: &EndpointId, model: &ModelId) -> Option<Version> {
        let report = self.engines.get(endpoint)?.report.as_ref()?;
        report.versions.get(model).copied()
    }

    /// Returns whether an engine is at work on an order for a model.
    #[must_use]
    pub fn is_loading(&self, endpoint: &EndpointId, model: &ModelId) -> bool {
        let engine = self.engines.get(endpoint);
        engine.is_some_and(|engine| engine.loads(model, Version(0)))
    }

    /// Takes a version that an engine's own answer named.
    pub fn note_version(&mut self, endpoint: &EndpointId, model: &ModelId, version: Version) {
        let engine = self.engines.get_mut(endpoint);
        let report = engine.and_then(|engine| engine.report.as_mut());
        if let Some(report) = report.filter(|report| report.version(model) < version) {
            report.versions.insert(model.clone(), version);
        }
    }

    /// Returns what to ask of the engines now.
    pub fn next_actions(
        &mut self,
        now: Timestamp,
        views: &[EngineView],
        demand: &IndexMap<ModelId, ModelDemand>,
    ) -> Vec<WeightAction> {
        self.forget_gone(views);
        let mut actions = Vec::new();
        if self.targets.is_empty() {
            return actions;
        }
        for view in views {
            actions.extend(self.inspection(now, view));
        }
        let queued = (views.len() / ENGINES_PER_QUEUED_LOAD).max(1);
        let at_once = views.len() / ENGINES_PER_LOAD + queued;
        let loading = self
            .engines
            .values()
            .filter(|engine| engine.order.is_some());
        let free = at_once.saturating_sub(loading.count());
        if free == 0 {
            return actions;
        }
        let loads: Vec<_> = Candidates::new(self, now, views, demand)
            .take(free)
            .collect();
        for (endpoint, model) in loads {
            actions.extend(self.give(now, endpoint, model));
        }
        actions
    }

    /// Takes an engine's report, or `None` if the question failed.
    pub fn reported(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        report: Option<EngineReport>,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.asked = false;
        let Some(report) = report else {
            engine.not_before = now + FAILURE_BACKOFF;
            return;
        };
        engine.not_before = now + CHECK_INTERVAL;
        if let Some(order) = &engine.order {
            let age = now.since(order.given);
            let reached = report.version(&order.model) >= order.version;
            let ended = !report.busy && (reached || age >= FIRST_CHECK);
            if ended || age >= LOAD_TIMEOUT {
                engine.order = None;
                engine.not_before = now;
            }
        }
        engine.report = Some(report);
    }

    /// Takes how an order was answered.
    pub fn answered(&mut self, now: Timestamp, endpoint: &EndpointId, outcome: OrderOutcome) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.asked = false;
        match outcome {
            OrderOutcome::Accepted => {
                if let Some(report) = engine.report.as_mut() {
                    report.accepted_orders += 1;
                    report.busy = true;
                }
                engine.not_before = now + FIRST_CHECK;
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
                engine.not_before = now + CHECK_INTERVAL;
            }
            OrderOutcome::Unknown => {
                // It may be carried out later: the next report tells, and the number of accepted
                // orders keeps it from undoing a newer one.
                engine.not_before = now + FAILURE_BACKOFF;
            }
        }
    }

    fn forget_gone(&mut self, views: &[EngineView]) {
        let known: IndexSet<&EndpointId> = views.iter().map(|view| &view.endpoint).collect();
        self.engines.retain(|endpoint, _| known.contains(endpoint));
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

    /// Returns a question to an engine whose state is not known or that loads.
    fn inspection(&mut self, now: Timestamp, view: &EngineView) -> Option<WeightAction> {
        let engine = self.engines.get_mut(&view.endpoint)?;
        let unknown = engine.report.as_ref().is_none_or(|report| report.busy);
        let wanted = unknown || engine.order.is_some();
        if !wanted || engine.asked || now < engine.not_before {
            return None;
        }
        engine.asked = true;
        Some(WeightAction::Inspect {
            endpoint: view.endpoint.clone(),
        })
    }

    /// Returns the part of the slots that each model wants which all of them can have.
    fn share_percent(&self, views: &[EngineView], demand: &IndexMap<ModelId, ModelDemand>) -> u64 {
        let known = self.targets.keys().filter_map(|model| demand.get(model));
        let wanted: u64 = known.map(wanted_slots).sum();
        let all: u64 = views.iter().map(|view| u64::from(view.slots)).sum();
        let share = all * SHARED_SLOTS_PERCENT / wanted.max(1);
        share.min(100)
    }

    fn give(
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
            given: now,
        });
        engine.asked = true;
        let expected_orders = engine.report.as_ref()?.accepted_orders;
        Some(WeightAction::Order {
            endpoint,
            model,
            version,
            expected_orders,
        })
    }
}

/// Returns the slots that a model wants.
fn wanted_slots(demand: &ModelDemand) -> u64 {
    demand.items.max(1) * SLOTS_PER_ITEM_PERCENT / 100
}
