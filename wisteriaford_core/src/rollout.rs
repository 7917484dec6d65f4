//! Rollout of new weights over the engines of a pool, without messages between instances.
//!
//! An engine's turn follows from its rank in a hash order of the pool and the version, so every
//! steward knows it alone. Where the weight store is the limit, turns come in rounds of one load
//! time, and the store refuses what overlaps. Where the capacity floor is, only the first engines
//! in order that are not known to have the version may load: a view that lags holds more engines
//! for unfinished than there are, so all stewards together never load more than the floor allows.
//! The order differs from version to version: where versions come faster than a
//! rollout, no engine is always the last. Orders only say which version to reach; what an engine
//! reports is the truth.

use std::time::Duration;

use indexmap::IndexMap;

use crate::hash::hash_parts;
use crate::id::EndpointId;
use crate::id::PoolId;
use crate::id::Version;
use crate::settings::Pool;
use crate::time::Timestamp;
use crate::validation::loads_at_once;

/// Time that a load is taken to need before one was measured.
pub const DEFAULT_LOAD_TIME: Duration = Duration::from_secs(4);

/// Time after an order in which an engine's state may still be from before it.
pub const REPORT_LAG: Duration = Duration::from_secs(2);

/// Longest time between two orders to an engine whose loads fail.
pub const MAX_BACK_OFF: Duration = Duration::from_secs(60);

const ORDER_TIMEOUT_LOADS: u32 = 4;
const PASS_OVER_LOADS: u32 = 8;
const FIRST_BACK_OFF_PART: u32 = 8;
const MAX_LOAD_TIME: Duration = Duration::from_secs(120);
const MIN_LOAD_TIME: Duration = Duration::from_millis(50);

/// What an engine reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// Version that it runs.
    pub version: Version,
    /// Version that it is loading.
    pub loading: Option<Version>,
    /// Whether it may get new work.
    pub serving: bool,
    /// When it was in this state.
    pub observed_at: Timestamp,
}

/// Order to an engine to reach a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Engine.
    pub endpoint: EndpointId,
    /// Version to reach.
    pub version: Version,
}

/// Counts of a pool's rollouts at this instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RolloutCounts {
    /// Orders given.
    pub orders: u64,
    /// Loads that ended without the version.
    pub failed_loads: u64,
    /// Orders that got no effect in time.
    pub lost_orders: u64,
    /// Versions that a newer one replaced before all engines had them.
    pub skipped_versions: u64,
    /// Times that the capacity floor held an order back.
    pub held_by_floor: u64,
}

#[derive(Clone, Copy)]
struct Ordered {
    version: Version,
    at: Timestamp,
}

struct Engine {
    state: Option<EngineState>,
    ordered: Option<Ordered>,
    failures: u32,
    retry_at: Timestamp,
    rank: usize,
}

/// Rollout of the newest weights over one pool.
pub struct Rollout {
    pool: PoolId,
    width: usize,
    floor_out: usize,
    paced_by_store: bool,
    engines: IndexMap<EndpointId, Engine>,
    target: Version,
    announced_at: Timestamp,
    load_time: Duration,
    seed: u64,
    counts: RolloutCounts,
}

impl Rollout {
    /// Makes a rollout of a pool with nothing to do; `seed` spreads the retries.
    #[must_use]
    pub fn new(pool: &Pool, seed: u64) -> Self {
        let mut rollout = Self {
            pool: pool.id.clone(),
            width: 0,
            floor_out: 0,
            paced_by_store: false,
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

    /// Takes new settings; engines that stay keep what is known of them.
    pub fn configure(&mut self, pool: &Pool, is_leaving: impl Fn(&EndpointId) -> bool) {
        let staying = pool
            .endpoints
            .iter()
            .filter(|endpoint| !is_leaving(endpoint));
        let mut engines = IndexMap::new();
        for endpoint in staying {
            let known = self.engines.swap_remove(endpoint);
            engines.insert(endpoint.clone(), known.unwrap_or_else(Engine::new));
        }
        self.engines = engines;
        self.floor_out = loads_at_once(self.engines.len(), pool.capacity_floor_percent);
        if self.engines.len() < pool.endpoints.len() {
            // What is left must not run old weights for good.
            self.floor_out = self.floor_out.max(1);
        }
        self.width = pool.concurrent_loads.min(self.floor_out);
        self.paced_by_store = pool.concurrent_loads < self.floor_out;
        self.rank();
    }

    /// Takes a version that the weight store announced; only a higher one counts.
    pub fn announce(&mut self, now: Timestamp, version: Version) {
        if version <= self.target {
            return;
        }
        if self.target != Version(0) && !self.is_complete() {
            self.counts.skipped_versions += 1;
        }
        self.target = version;
        self.announced_at = now;
        self.rank();
    }

    /// Returns the newest version announced.
    #[must_use]
    pub fn target(&self) -> Version {
        self.target
    }

    /// Returns counts of what happened.
    #[must_use]
    pub fn counts(&self) -> RolloutCounts {
        self.counts
    }

    /// Returns the time that a load is taken to need.
    #[must_use]
    pub fn load_time(&self) -> Duration {
        self.load_time
    }

    /// Returns whether all engines report the newest version.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let has = |engine: &Engine| engine.state.is_some_and(|s| s.version >= self.target);
        self.engines.values().all(has)
    }

    /// Returns how long a rollout takes if no load fails; none if the floor forbids all loads.
    #[must_use]
    pub fn expected_duration(&self) -> Option<Duration> {
        let rounds = self.engines.len().div_ceil(self.width.max(1));
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        (self.width > 0).then(|| self.load_time.saturating_mul(rounds))
    }

    /// Takes what any engine of the pool reports, here or through its steward.
    pub fn report(&mut self, now: Timestamp, endpoint: &EndpointId, state: EngineState) {
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
        let Some(ordered) = engine.ordered else {
            return;
        };
        if state.version >= ordered.version {
            engine.ordered = None;
            engine.failures = 0;
            engine.retry_at = now;
            self.measured(state.observed_at.since(ordered.at));
            return;
        }
        let reached_engine = state.observed_at > ordered.at + REPORT_LAG;
        if reached_engine && state.loading.is_none() {
            self.counts.failed_loads += 1;
            self.back_off(now, endpoint);
        }
    }

    /// Notes that an engine refused an order or could not be reached.
    pub fn order_failed(&mut self, now: Timestamp, endpoint: &EndpointId) {
        self.counts.lost_orders += 1;
        self.back_off(now, endpoint);
    }

    /// Returns the next order that is due to an engine stewarded here; to be called until none.
    pub fn next_order(
        &mut self,
        now: Timestamp,
        stewarded: impl Fn(&EndpointId) -> bool,
    ) -> Option<Order> {
        self.end_lost_orders(now);
        let due = self
            .engines
            .iter()
            .filter(|(_, engine)| self.wants(now, engine))
            .filter(|(endpoint, engine)| stewarded(endpoint) && self.has_turn(now, engine))
            .min_by_key(|(_, engine)| engine.rank);
        let endpoint = due?.0.clone();
        if self.out_of_service() >= self.floor_out || self.loading() >= self.width {
            self.counts.held_by_floor += 1;
            return None;
        }
        let version = self.target;
        let engine = self.engines.get_mut(&endpoint)?;
        engine.ordered = Some(Ordered { version, at: now });
        self.counts.orders += 1;
        Some(Order { endpoint, version })
    }

    fn wants(&self, now: Timestamp, engine: &Engine) -> bool {
        let Some(state) = engine.state else {
            return false;
        };
        let wants = state.version < self.target && state.serving && state.loading.is_none();
        wants && engine.ordered.is_none() && now >= engine.retry_at
    }

    fn has_turn(&self, now: Timestamp, engine: &Engine) -> bool {
        let turn = self.turn(engine);
        if self.paced_by_store && now >= turn {
            return true;
        }
        let unfinished_before = |other: &&Engine| {
            let has = other
                .state
                .is_some_and(|state| state.version >= self.target);
            other.rank < engine.rank && !has
        };
        // A lagging view knows of fewer that are done than there are.
        let before = self.engines.values().filter(unfinished_before).count();
        // Engines whose loads keep failing must not hold up the others for good.
        before < self.width || now >= turn + self.load_time * PASS_OVER_LOADS
    }

    fn turn(&self, engine: &Engine) -> Timestamp {
        let round = engine.rank / self.width.max(1);
        let round = u32::try_from(round).unwrap_or(u32::MAX);
        self.announced_at + self.load_time.saturating_mul(round)
    }

    fn out_of_service(&self) -> usize {
        let out = |engine: &&Engine| {
            engine.ordered.is_some() || engine.state.is_none_or(|state| !state.serving)
        };
        self.engines.values().filter(out).count()
    }

    fn loading(&self) -> usize {
        let loads = |engine: &&Engine| {
            let loading = engine.state.and_then(|state| state.loading);
            engine.ordered.is_some() || loading.is_some()
        };
        self.engines.values().filter(loads).count()
    }

    fn end_lost_orders(&mut self, now: Timestamp) {
        let timeout = self.load_time * ORDER_TIMEOUT_LOADS + REPORT_LAG;
        let lost = |engine: &Engine| engine.ordered.is_some_and(|o| now.since(o.at) >= timeout);
        let lost: Vec<EndpointId> = self
            .engines
            .iter()
            .filter(|(_, engine)| lost(engine))
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in lost {
            self.order_failed(now, &endpoint);
        }
    }

    /// Doubles the wait with each failure, with a random part from a hash.
    fn back_off(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let load_time = self.load_time;
        let seed = self.seed;
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.ordered = None;
        let first = load_time / FIRST_BACK_OFF_PART;
        let longest = first
            .saturating_mul(1 << engine.failures.min(16))
            .min(MAX_BACK_OFF);
        engine.failures += 1;
        let key = endpoint.as_str().as_bytes();
        let drawn = hash_parts(&[key, &seed.to_le_bytes(), &engine.failures.to_le_bytes()]);
        let part = u32::try_from(drawn % 1_000).unwrap_or_default();
        engine.retry_at = now + longest / 2 + longest / 2 * part / 1_000;
    }

    /// Follows measured load times: up at once, down slowly.
    fn measured(&mut self, load_time: Duration) {
        let load_time = load_time.clamp(MIN_LOAD_TIME, MAX_LOAD_TIME);
        self.load_time = if load_time > self.load_time {
            load_time
        } else {
            (self.load_time * 7 + load_time) / 8
        };
    }

    fn rank(&mut self) {
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
            ordered: None,
            failures: 0,
            retry_at: Timestamp::default(),
            rank: 0,
        }
    }
}
