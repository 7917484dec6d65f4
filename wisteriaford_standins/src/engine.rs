//! Model engine with continuous batching.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use clap::Args;
use clap::value_parser;
use serde::Deserialize;
use serde_json::json;

use crate::connection::Connection;
use crate::error::RequestError;
use crate::error::Result;
use crate::faults::Faults;
use crate::lagged::Lagged;
use crate::plain_service::new_incarnation;
use crate::request::Request;
use crate::server::Reply;
use crate::server::Service;

mod cache;
mod generation;
mod scheduler;
mod weights;

use cache::PrefixCache;
use scheduler::Scheduler;
use weights::Weights;

/// Settings of a model engine.
#[derive(Args, Clone, Debug)]
pub struct EngineSettings {
    /// Tokens per second of each stream [range: 1 to 10000000]
    #[arg(long, default_value_t = 200, value_parser = value_parser!(u32).range(1..=10_000_000))]
    pub tokens_per_s: u32,
    /// Time in milliseconds to the first token if the prefix isn't cached [range: 0 to 600000]
    #[arg(long, default_value_t = 50, value_parser = value_parser!(u64).range(0..=600_000))]
    pub first_token_ms: u64,
    /// Time in milliseconds to the first token if the prefix is cached [range: 0 to 600000]
    #[arg(long, default_value_t = 10, value_parser = value_parser!(u64).range(0..=600_000))]
    pub cached_first_token_ms: u64,
    /// Time in milliseconds between the lines of an answer [range: 1 to 60000]
    #[arg(long, default_value_t = 20, value_parser = value_parser!(u64).range(1..=60_000))]
    pub line_ms: u64,
    /// Maximum number of streams generated concurrently [range: 1 to 10000]
    #[arg(long, default_value_t = 16, value_parser = value_parser!(u32).range(1..=10_000))]
    pub slots: u32,
    /// Maximum number of requests that wait for a slot; more are refused [range: 0 to 100000]
    #[arg(long, default_value_t = 256, value_parser = value_parser!(u32).range(0..=100_000))]
    pub max_waiting: u32,
    /// Number of prompt prefixes that fit in the cache [range: 0 to 1000000]
    #[arg(long, default_value_t = 256, value_parser = value_parser!(u32).range(0..=1_000_000))]
    pub cache_prefixes: u32,
    /// Delay in milliseconds before a cache event is published [range: 0 to 3600000]
    #[arg(long, default_value_t = 200, value_parser = value_parser!(u64).range(0..=3_600_000))]
    pub cache_event_delay_ms: u64,
    /// Drop one in this many cache events on average; 0 drops none [range: 0 to 1000000]
    #[arg(long, default_value_t = 10, value_parser = value_parser!(u64).range(0..=1_000_000))]
    pub cache_event_gap: u64,
    /// Age in milliseconds of the reported state [range: 0 to 3600000]
    #[arg(long, default_value_t = 200, value_parser = value_parser!(u64).range(0..=3_600_000))]
    pub state_age_ms: u64,
    /// Weight version loaded at startup [range: 1 to 18446744073709551615]
    #[arg(long, default_value_t = 1, value_parser = value_parser!(u64).range(1..))]
    pub start_version: u64,
    /// Time in milliseconds to load weights, excluding the weight store's [range: 0 to 3600000]
    #[arg(long, default_value_t = 500, value_parser = value_parser!(u64).range(0..=3_600_000))]
    pub load_ms: u64,
    /// Address of the weight store as HOST:PORT; if absent, weights load without a store
    #[arg(long)]
    pub weight_store: Option<String>,
    /// Name of the model in the weight store
    #[arg(long, default_value = "policy")]
    pub model: String,
    /// Refuse new requests while weights are loading
    #[arg(long)]
    pub refuse_while_loading: bool,
    /// Seed that selects the cache events that are dropped [range: 0 to 18446744073709551615]
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct StateReport {
    version: u64,
    loading_version: u64,
    running: u32,
    waiting: u32,
    leaving: bool,
}

#[derive(Debug)]
struct EngineState {
    incarnation: u64,
    fence: u64,
    scheduler: Scheduler,
    cache: PrefixCache,
    weights: Weights,
    delayed_report: Lagged<StateReport>,
}

impl EngineState {
    fn new(settings: &EngineSettings, incarnation: u64) -> Self {
        let weights = Weights::new(settings.start_version);
        let report = StateReport {
            version: settings.start_version,
            loading_version: 0,
            running: 0,
            waiting: 0,
            leaving: false,
        };
        let age = Duration::from_millis(settings.state_age_ms);
        Self {
            incarnation,
            fence: 0,
            scheduler: Scheduler::new(settings.slots, settings.max_waiting),
            cache: PrefixCache::new(settings),
            weights,
            delayed_report: Lagged::new(age, Instant::now(), report),
        }
    }

    fn report(&self, leaving: bool) -> StateReport {
        StateReport {
            version: self.weights.version(),
            loading_version: self.weights.loading_version(),
            running: self.scheduler.running(),
            waiting: self.scheduler.waiting(),
            leaving,
        }
    }
}

#[derive(Debug)]
struct Inner {
    settings: EngineSettings,
    faults: Arc<Faults>,
    state: Mutex<EngineState>,
    slot_freed: Condvar,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the current state, which becomes visible in reports after the configured lag.
    fn record_report(&self, state: &mut EngineState) {
        let report = state.report(self.faults.settings().leaving);
        state.delayed_report.set(Instant::now(), report);
    }
}

/// Model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    inner: Arc<Inner>,
}

#[derive(Deserialize)]
struct Cancellation {
    request_id: String,
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
    #[serde(rename = "holder")]
    _holder: String,
    load_version: u64,
}

impl Engine {
    pub(crate) fn new(settings: EngineSettings, faults: Arc<Faults>) -> Self {
        let state = EngineState::new(&settings, new_incarnation(0));
        Self {
            inner: Arc::new(Inner {
                settings,
                faults,
                state: Mutex::new(state),
                slot_freed: Condvar::new(),
            }),
        }
    }

    fn cancel(&self, request: &Request) -> Result<Reply> {
        let Cancellation { request_id } = request.json()?;
        self.inner.lock().scheduler.cancel(&request_id);
        self.inner.slot_freed.notify_all();
        Ok(Reply::ok(json!({})))
    }

    fn report_state(&self) -> Reply {
        let mut state = self.inner.lock();
        let leaving = self.inner.faults.settings().leaving;
        let now = Instant::now();
        if state.report(leaving).leaving != state.delayed_report.latest().leaving {
            self.inner.record_report(&mut state);
        }
        let (report, age) = state.delayed_report.visible(now);
        Reply::ok(json!({
            "incarnation": state.incarnation,
            "version": report.version,
            "loading_version": report.loading_version,
            "running": report.running,
            "waiting": report.waiting,
            "slots": self.inner.settings.slots,
            "leaving": report.leaving,
            "age_ms": u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }))
    }

    fn cache_events(&self, request: &Request) -> Result<Reply> {
        let from = request.parameter("from", 0)?;
        let events = self
            .inner
            .lock()
            .cache
            .published_events(from, Instant::now());
        Ok(Reply::ok(events))
    }

    fn handle_order(&self, request: &Request) -> Result<Reply> {
        let order: Order = request.json()?;
        if order.load_version == 0 {
            return Err(RequestError::Parameter {
                name: "load_version",
            });
        }
        let mut state = self.inner.lock();
        if order.fence < state.fence && !self.inner.faults.settings().ignore_fencing {
            return Err(RequestError::Fenced { fence: state.fence });
        }
        state.fence = state.fence.max(order.fence);
        if state.weights.request(order.load_version) {
            let spawned = weights::spawn_loader(&self.inner, state.incarnation);
            if spawned.is_err() {
                state.weights.cancel_request();
                return Err(RequestError::Overloaded);
            }
        }
        self.inner.record_report(&mut state);
        Ok(Reply::Json(202, json!({"accepted": true})))
    }
}

impl Service for Engine {
    fn handle(&self, request: &Request, connection: &mut Connection) -> Result<Reply> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/generate") => generation::generate(&self.inner, request, connection),
            ("POST", "/cancel") => self.cancel(request),
            ("GET", "/state") => Ok(self.report_state()),
            ("GET", "/cache-events") => self.cache_events(request),
            ("POST", "/orders") => self.handle_order(request),
            _ => Err(RequestError::NotFound),
        }
    }

    fn restart(&self) {
        let mut state = self.inner.lock();
        let incarnation = new_incarnation(state.incarnation);
        *state = EngineState::new(&self.inner.settings, incarnation);
        self.inner.slot_freed.notify_all();
    }
}
