//! Rollout of new weights over the engines of a pool, without messages between instances.
//!
//! An engine's turn is determined by its rank in a hash order of pool and version, so each
//! coordinator computes it locally. If the weight store is the limit, turns come in rounds of one
//! load time, and the store refuses overlapping loads. If the capacity floor is the limit, only the
//! first engines in rank order that are not known to have the version may load. A lagging view
//! counts more engines as unfinished than there are, so all coordinators together never load more
//! engines than the floor allows.
//!
//! The order differs between versions, so that no engine is always last when versions are published
//! faster than a rollout completes. Orders only name the version to reach; the state that an engine
//! reports is authoritative.

use std::time::Duration;

use indexmap::IndexMap;

use crate::hash::hash_parts;
use crate::id::EndpointId;
use crate::id::PoolId;
use crate::id::Version;
use crate::settings::Pool;
use crate::time::Timestamp;
use crate::validation::max_concurrent_loads;

/// Load time assumed before the first load was measured.
pub const DEFAULT_LOAD_TIME: Duration = Duration::from_secs(4);

/// Time after an order during which a reported engine state may still predate the order.
pub const REPORT_LAG: Duration = Duration::from_secs(2);

/// Longest back-off between two orders to an engine whose loads fail.
pub const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Load times after which an order without effect is considered lost.
const ORDER_TIMEOUT_LOADS: u32 = 4;
/// Load times after its turn at which an engine no longer waits for those ranked before it.
const PASS_OVER_AFTER_LOADS: u32 = 8;
/// The first back-off is at most the load time divided by this.
const INITIAL_BACKOFF_DIVISOR: u32 = 8;
const MAX_LOAD_TIME: Duration = Duration::from_secs(120);
const MIN_LOAD_TIME: Duration = Duration::from_millis(50);

/// State reported by an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// Version that the engine runs.
    pub version: Version,
    /// Version that the engine is loading, if any.
    pub loading: Option<Version>,
    /// Whether the engine accepts new work.
    pub serving: bool,
    /// When the state was observed.
    pub observed_at: Timestamp,
}

/// Order to an engine to reach a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Engine that receives the order.
    pub endpoint: EndpointId,
    /// Version to reach.
    pub version: Version,
}

/// Counts of rollout events of a pool at this instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RolloutCounts {
    /// Orders given.
    pub orders: u64,
    /// Loads that ended without the ordered version.
    pub failed_loads: u64,
    /// Orders without effect before the timeout, refused by the engine or not delivered.
    pub lost_orders: u64,
    /// Versions replaced by a newer one before all engines had them.
    pub skipped_versions: u64,
    /// Times that the capacity floor or the limit of concurrent loads held back an order.
    pub held_back: u64,
}

/// Order whose effect was not reported yet.
#[derive(Clone, Copy)]
struct PendingOrder {
    version: Version,
    sent_at: Timestamp,
}

/// Rollout state of one engine.
struct Engine {
    state: Option<EngineState>,
    pending_order: Option<PendingOrder>,
    failures: u32,
    retry_at: Timestamp,
    rank: usize,
}

/// Rollout of the newest weights over one pool.
pub struct Rollout {
    pool: PoolId,
    max_loading: usize,
    /// Engines that may be out of service without violating the capacity floor.
    max_out_of_service: usize,
    /// Whether the weight store limits loads more than the capacity floor does.
    limited_by_store: bool,
    engines: IndexMap<EndpointId, Engine>,
    target: Version,
    announced_at: Timestamp,
    load_time: Duration,
    seed: u64,
    counts: RolloutCounts,
}

impl Rollout {
    /// Creates an idle rollout of a pool; `seed` randomises the back-off of retries.
    #[must_use]
    pub fn new(pool: &Pool, seed: u64) -> Self {
        let mut rollout = Self {
            pool: pool.id.clone(),
            max_loading: 0,
            max_out_of_service: 0,
            limited_by_store: false,
            engines: IndexMap::new(),
            target: Version(0),
            announced_at: Timestamp::default(),
            load_time: DEFAULT_LOAD_TIME,
            seed,
            counts: RolloutCounts::default(),
        };
        rollout.configure(pool, |_| false);
        rollout
    }

    /// Applies new settings; engines that remain in the pool keep their state.
    pub fn configure(&mut self, pool: &Pool, is_leaving: impl Fn(&EndpointId) -> bool) {
        let staying = pool
            .endpoints
            .iter()
            .filter(|endpoint| !is_leaving(endpoint));
        let mut engines = IndexMap::new();
        for endpoint in staying {
            let existing = self.engines.swap_remove(endpoint);
            engines.insert(endpoint.clone(), existing.unwrap_or_else(Engine::new));
        }
        self.engines = engines;
        self.max_out_of_service =
            max_concurrent_loads(self.engines.len(), pool.capacity_floor_percent);
        if self.engines.len() < pool.endpoints.len() {
            // Otherwise the remaining engines might never load new weights.
            self.max_out_of_service = self.max_out_of_service.max(1);
        }
        self.max_loading = pool.concurrent_loads.min(self.max_out_of_service);
        self.limited_by_store = pool.concurrent_loads < self.max_out_of_service;
        self.assign_ranks();
    }

    /// Sets the target to a version that the weight store announced, if it is higher.
    pub fn announce(&mut self, now: Timestamp, version: Version) {
        if version <= self.target {
            return;
        }
        if self.target != Version(0) && !self.is_complete() {
            self.counts.skipped_versions += 1;
        }
        self.target = version;
        self.announced_at = now;
        self.assign_ranks();
    }

    /// Returns the newest announced version.
    #[must_use]
    pub fn target(&self) -> Version {
        self.target
    }

    /// Returns the counts of rollout events.
    #[must_use]
    pub fn counts(&self) -> RolloutCounts {
        self.counts
    }

    /// Returns the expected duration of a load.
    #[must_use]
    pub fn load_time(&self) -> Duration {
        self.load_time
    }

    /// Returns whether all engines report the target version or a newer one.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let is_finished = |engine: &Engine| engine.state.is_some_and(|s| s.version >= self.target);
        self.engines.values().all(is_finished)
    }

    /// Returns how long a rollout takes if no load fails, or `None` if the floor forbids all loads.
    #[must_use]
    pub fn expected_duration(&self) -> Option<Duration> {
        let rounds = self.engines.len().div_ceil(self.max_loading.max(1));
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        (self.max_loading > 0).then(|| self.load_time.saturating_mul(rounds))
    }

    /// Applies the state that an engine reported to this instance or to its coordinator.
    pub fn apply_state(&mut self, now: Timestamp, endpoint: &EndpointId, state: EngineState) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        if engine
            .state
            .is_some_and(|known| known.observed_at > state.observed_at)
        {
            return;
        }
        engine.state = Some(state);
        let Some(order) = engine.pending_order else {
            return;
        };
        if state.version >= order.version {
            engine.pending_order = None;
            engine.failures = 0;
            engine.retry_at = now;
            self.update_load_time(state.observed_at.since(order.sent_at));
            return;
        }
        let postdates_order = state.observed_at > order.sent_at + REPORT_LAG;
        if postdates_order && state.loading.is_none() {
            self.counts.failed_loads += 1;
            self.schedule_retry(now, endpoint);
        }
    }

    /// Records that an engine refused an order or could not be reached.
    pub fn on_order_failed(&mut self, now: Timestamp, endpoint: &EndpointId) {
        self.counts.lost_orders += 1;
        self.schedule_retry(now, endpoint);
    }

    /// Returns the next order due to an engine coordinated here; call it until it returns `None`.
    pub fn next_order(
        &mut self,
        now: Timestamp,
        is_coordinated: impl Fn(&EndpointId) -> bool,
    ) -> Option<Order> {
        self.expire_lost_orders(now);
        let due = self
            .engines
            .iter()
            .filter(|(_, engine)| self.needs_order(now, engine))
            .filter(|(endpoint, engine)| is_coordinated(endpoint) && self.is_turn(now, engine))
            .min_by_key(|(_, engine)| engine.rank);
        let endpoint = due?.0.clone();
        if self.out_of_service() >= self.max_out_of_service || self.loading() >= self.max_loading {
            self.counts.held_back += 1;
            return None;
        }
        let version = self.target;
        let engine = self.engines.get_mut(&endpoint)?;
        engine.pending_order = Some(PendingOrder {
            version,
            sent_at: now,
        });
        self.counts.orders += 1;
        Some(Order { endpoint, version })
    }

    fn needs_order(&self, now: Timestamp, engine: &Engine) -> bool {
        let Some(state) = engine.state else {
            return false;
        };
        let is_outdated = state.version < self.target && state.serving && state.loading.is_none();
        is_outdated && engine.pending_order.is_none() && now >= engine.retry_at
    }

    fn is_turn(&self, now: Timestamp, engine: &Engine) -> bool {
        let turn_at = self.turn_at(engine);
        if self.limited_by_store && now >= turn_at {
            return true;
        }
        let is_unfinished_before = |other: &&Engine| {
            let is_finished = other
                .state
                .is_some_and(|state| state.version >= self.target);
            other.rank < engine.rank && !is_finished
        };
        // A lagging view overestimates the unfinished engines, so it never allows too many loads.
        let unfinished_count = self.engines.values().filter(is_unfinished_before).count();
        // Engines whose loads keep failing must not block the others indefinitely.
        unfinished_count < self.max_loading
            || now >= turn_at + self.load_time * PASS_OVER_AFTER_LOADS
    }

    fn turn_at(&self, engine: &Engine) -> Timestamp {
        let round = engine.rank / self.max_loading.max(1);
        let round = u32::try_from(round).unwrap_or(u32::MAX);
        self.announced_at + self.load_time.saturating_mul(round)
    }

    fn out_of_service(&self) -> usize {
        let is_out = |engine: &&Engine| {
            engine.pending_order.is_some() || engine.state.is_none_or(|state| !state.serving)
        };
        self.engines.values().filter(is_out).count()
    }

    fn loading(&self) -> usize {
        let is_loading = |engine: &&Engine| {
            let loading = engine.state.and_then(|state| state.loading);
            engine.pending_order.is_some() || loading.is_some()
        };
        self.engines.values().filter(is_loading).count()
    }

    fn expire_lost_orders(&mut self, now: Timestamp) {
        let timeout = self.load_time * ORDER_TIMEOUT_LOADS + REPORT_LAG;
        let is_lost = |engine: &Engine| {
            engine
                .pending_order
                .is_some_and(|order| now.since(order.sent_at) >= timeout)
        };
        let lost: Vec<EndpointId> = self
            .engines
            .iter()
            .filter(|(_, engine)| is_lost(engine))
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in lost {
            self.on_order_failed(now, &endpoint);
        }
    }

    /// Schedules a retry with exponential back-off and a jitter derived from a hash.
    fn schedule_retry(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let load_time = self.load_time;
        let seed = self.seed;
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.pending_order = None;
        let initial = load_time / INITIAL_BACKOFF_DIVISOR;
        let upper = initial
            .saturating_mul(1 << engine.failures.min(16))
            .min(MAX_BACKOFF);
        engine.failures += 1;
        let key = endpoint.as_str().as_bytes();
        let hash = hash_parts(&[key, &seed.to_le_bytes(), &engine.failures.to_le_bytes()]);
        let jitter_thousandths = u32::try_from(hash % 1_000).unwrap_or_default();
        engine.retry_at = now + upper / 2 + upper / 2 * jitter_thousandths / 1_000;
    }

    /// Updates the expected load time: a longer measurement applies at once, a shorter one slowly.
    fn update_load_time(&mut self, load_time: Duration) {
        let measured = load_time.clamp(MIN_LOAD_TIME, MAX_LOAD_TIME);
        self.load_time = if measured > self.load_time {
            measured
        } else {
            (self.load_time * 7 + measured) / 8
        };
    }

    /// Assigns each engine its rank in the hash order of pool and target version.
    fn assign_ranks(&mut self) {
        let version = self.target.0.to_le_bytes();
        let pool = self.pool.as_str().as_bytes();
        let mut order: Vec<(u64, EndpointId)> = self
            .engines
            .keys()
            .map(|id| {
                (
                    hash_parts(&[pool, &version, id.as_str().as_bytes()]),
                    id.clone(),
                )
            })
            .collect();
        order.sort_unstable();
        for (rank, (_, endpoint)) in order.iter().enumerate() {
            if let Some(engine) = self.engines.get_mut(endpoint) {
                engine.rank = rank;
            }
        }
    }
}

impl Engine {
    fn new() -> Self {
        Self {
            state: None,
            pending_order: None,
            failures: 0,
            retry_at: Timestamp::default(),
            rank: 0,
        }
    }
}
