//! Rollout of named versions of the weights over the engines, by orders.
//!
//! Orders only say which version to reach; what an engine reports is the truth. Every order names
//! the number of orders that the engine had accepted, so that one which arrives late, after a
//! newer one, is refused by the engine. An engine that is too old for the next step is loaded at
//! once; the others wait until nothing is queued for them.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::EndpointId;
use crate::id::ModelId;
use crate::id::Version;
use crate::time::Timestamp;

/// One engine in so many may load at a time; more make each load longer.
const ENGINES_PER_LOAD: usize = 5;
/// Fewest engines that may load at a time.
const MIN_LOADS_AT_ONCE: usize = 2;
/// Time after an order before the engine is first asked how far it is.
const FIRST_CHECK: Duration = Duration::from_millis(900);
/// Time between two questions to an engine that loads.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which an order counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Wait after an order or question that failed.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// Versions that a step may lag behind the newest.
const ALLOWED_LAG: u64 = 1;

/// Engine as the planner is told of it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Name of the engine.
    pub endpoint: EndpointId,
    /// Requests of this instance that it has in progress.
    pub in_flight: u32,
    /// Version that its entry in the list names.
    pub listed_version: Option<Version>,
    /// When this run of the engine began.
    pub started_unix_ms: u64,
}

/// Something to ask of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WeightAction {
    /// Ask for its state.
    Inspect {
        /// Engine to ask.
        endpoint: EndpointId,
        /// Model in question.
        model: ModelId,
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

/// What an engine reports of a model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Version of the weights, if the model is loaded.
    pub version: Option<Version>,
    /// Orders that the engine accepted since its start.
    pub accepted_orders: u64,
    /// An order is being carried out.
    pub busy: bool,
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

#[derive(Clone, Debug, Default)]
struct Engine {
    started_unix_ms: u64,
    report: Option<EngineReport>,
    asked: Option<Timestamp>,
    ordered: Option<(Version, Timestamp)>,
    not_before: Timestamp,
}

/// Plans the orders for one model.
#[derive(Clone, Debug)]
pub struct WeightPlan {
    model: ModelId,
    target: Version,
    engines: IndexMap<EndpointId, Engine>,
}

impl WeightPlan {
    /// Returns a plan that knows nothing of the engines.
    #[must_use]
    pub fn new(model: ModelId) -> Self {
        Self {
            model,
            target: Version(0),
            engines: IndexMap::new(),
        }
    }

    /// Takes the newest version that was named; an older one changes nothing.
    pub fn set_target(&mut self, version: Version) -> bool {
        let is_newer = version > self.target;
        self.target = self.target.max(version);
        is_newer
    }

    /// Returns the newest version that was named; 0 if none was.
    #[must_use]
    pub fn target(&self) -> Version {
        self.target
    }

    /// Returns the version that an engine has, as far as is known.
    #[must_use]
    pub fn version_of(&self, endpoint: &EndpointId) -> Option<Version> {
        self.engines.get(endpoint)?.report?.version
    }

    /// Returns whether an engine is at work on an order.
    #[must_use]
    pub fn is_loading(&self, endpoint: &EndpointId) -> bool {
        let engine = self.engines.get(endpoint);
        engine.is_some_and(|engine| engine.ordered.is_some())
    }

    /// Takes a version that an engine's own answer named.
    pub fn note_version(&mut self, endpoint: &EndpointId, version: Version) {
        let report = self.engines.get_mut(endpoint).and_then(|e| e.report.as_mut());
        if let Some(report) = report.filter(|report| report.version < Some(version)) {
            report.version = Some(version);
        }
    }

    /// Returns what to ask of the engines now.
    ///
    /// `idle` says that no item waits for an engine; `oldest_needed` is the oldest version that an
    /// open batch job takes.
    pub fn next_actions(
        &mut self,
        now: Timestamp,
        views: &[EngineView],
        idle: bool,
        oldest_needed: Version,
    ) -> Vec<WeightAction> {
        self.forget_gone(views);
        if self.target.0 == 0 {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for view in views {
            actions.extend(self.inspection(now, view));
        }
        let loading = self.engines.values().filter(|e| e.ordered.is_some());
        let at_once = (views.len() / ENGINES_PER_LOAD).max(MIN_LOADS_AT_ONCE);
        let free = at_once.saturating_sub(loading.count());
        let mut due = self.due_orders(now, views, idle, oldest_needed);
        due.truncate(free);
        for (_, _, endpoint, expected_orders) in due {
            if let Some(engine) = self.engines.get_mut(&endpoint) {
                engine.ordered = Some((self.target, now));
                engine.asked = Some(now);
            }
            actions.push(WeightAction::Order {
                endpoint,
                model: self.model.clone(),
                version: self.target,
                expected_orders,
            });
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
        engine.asked = None;
        let Some(report) = report else {
            engine.not_before = now + FAILURE_BACKOFF;
            return;
        };
        engine.report = Some(report);
        engine.not_before = now + CHECK_INTERVAL;
        if let Some((version, ordered_at)) = engine.ordered {
            let reached = report.version >= Some(version) && !report.busy;
            let idle = !report.busy && now.since(ordered_at) >= FIRST_CHECK;
            if reached || idle || now.since(ordered_at) >= LOAD_TIMEOUT {
                engine.ordered = None;
            }
        }
    }

    /// Takes how an order was answered.
    pub fn answered(&mut self, now: Timestamp, endpoint: &EndpointId, outcome: OrderOutcome) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.asked = None;
        match outcome {
            OrderOutcome::Accepted => {
                if let Some(report) = engine.report.as_mut() {
                    report.accepted_orders += 1;
                    report.busy = true;
                }
                engine.not_before = now + FIRST_CHECK;
            }
            OrderOutcome::AlreadyHolds => {
                if let (Some(report), Some((version, _))) = (engine.report.as_mut(), engine.ordered)
                {
                    report.version = Some(version);
                }
                engine.ordered = None;
            }
            OrderOutcome::Conflict | OrderOutcome::Refused | OrderOutcome::Fenced => {
                engine.ordered = None;
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
        self.engines
            .retain(|endpoint, _| views.iter().any(|view| view.endpoint == *endpoint));
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
        let unknown = engine.report.is_none_or(|report| report.busy);
        let wanted = unknown || engine.ordered.is_some();
        if !wanted || engine.asked.is_some() || now < engine.not_before {
            return None;
        }
        engine.asked = Some(now);
        Some(WeightAction::Inspect {
            endpoint: view.endpoint.clone(),
            model: self.model.clone(),
        })
    }

    /// Returns the engines to order, the most urgent first.
    fn due_orders(
        &self,
        now: Timestamp,
        views: &[EngineView],
        idle: bool,
        oldest_needed: Version,
    ) -> Vec<(Version, u32, EndpointId, u64)> {
        // The step that follows takes the newest version and those before it within the lag.
        let next_needed = Version(self.target.0.saturating_sub(ALLOWED_LAG));
        let needed = next_needed.max(oldest_needed);
        let mut due = Vec::new();
        for view in views {
            let Some(engine) = self.engines.get(&view.endpoint) else {
                continue;
            };
            let Some(report) = engine.report.filter(|report| !report.busy) else {
                continue;
            };
            if engine.ordered.is_some() || engine.asked.is_some() || now < engine.not_before {
                continue;
            }
            let version = report.version.unwrap_or_default();
            let is_behind = version < self.target;
            let is_urgent = version < needed;
            if is_behind && (is_urgent || (idle && view.in_flight == 0)) {
                let endpoint = view.endpoint.clone();
                due.push((version, view.in_flight, endpoint, report.accepted_orders));
            }
        }
        due.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        due
    }
}
