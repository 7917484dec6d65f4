//! Rollout of weights: duration, capacity floor, failed loads, skipped versions and lost orders.

use std::time::Duration;

use rstest::rstest;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::Version;
use wisteriaford_core::rollout::EngineState;
use wisteriaford_core::rollout::Rollout;
use wisteriaford_core::settings::Pool;
use wisteriaford_core::time::Timestamp;

use self::fixtures::pool as pool_message;

#[allow(dead_code)]
#[path = "fixtures/configuration.rs"]
mod fixtures;

const START: Timestamp = Timestamp::from_millis(1_000);
const STEP: Duration = Duration::from_millis(100);
const LOAD: Duration = Duration::from_secs(4);
const REPORT_LAG: Duration = Duration::from_millis(500);

struct Engine {
    version: Version,
    loading: Option<(Version, Timestamp)>,
    loads_to_fail: u32,
}

/// Simulates a pool, several coordinators with a view each, and a weight store that serves a
/// limited number of concurrent loads.
struct Simulation {
    now: Timestamp,
    engines: Vec<Engine>,
    coordinators: Vec<Rollout>,
    concurrent_loads: usize,
    max_loading: usize,
    /// Times of the orders to each engine.
    orders: Vec<Vec<Timestamp>>,
    refused_by_store: usize,
}

fn id(index: usize) -> EndpointId {
    EndpointId::from(format!("engine-{index}"))
}

fn pool(engines: usize, floor_percent: u32, concurrent_loads: usize) -> Pool {
    let mut pool = Pool::from(&pool_message("restoration", "fixer"));
    pool.capacity_floor_percent = floor_percent;
    pool.concurrent_loads = concurrent_loads;
    pool.endpoints = (0..engines).map(id).collect();
    pool
}

impl Simulation {
    fn new(
        engines: usize,
        coordinators: usize,
        floor_percent: u32,
        concurrent_loads: usize,
    ) -> Self {
        let pool = pool(engines, floor_percent, concurrent_loads);
        let engine = |_| Engine {
            version: Version(1),
            loading: None,
            loads_to_fail: 0,
        };
        Self {
            now: START,
            engines: (0..engines).map(engine).collect(),
            coordinators: (0..coordinators as u64)
                .map(|seed| Rollout::new(&pool, seed))
                .collect(),
            concurrent_loads,
            max_loading: 0,
            orders: vec![Vec::new(); engines],
            refused_by_store: 0,
        }
    }

    /// Announces a version to each coordinator with its own delay of less than a second.
    fn announce(&mut self, version: u64) {
        for (index, coordinator) in self.coordinators.iter_mut().enumerate() {
            let delay = Duration::from_millis(index as u64 * 37 % 1_000);
            coordinator.announce(self.now + delay, Version(version));
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for engine in &mut self.engines {
            if let Some((version, since)) = engine.loading
                && self.now.since(since) >= LOAD
            {
                engine.loading = None;
                if engine.loads_to_fail > 0 {
                    engine.loads_to_fail -= 1;
                } else {
                    engine.version = version;
                }
            }
        }
        for coordinator in &mut self.coordinators {
            for (index, engine) in self.engines.iter().enumerate() {
                let state = EngineState {
                    version: engine.version,
                    loading: engine.loading.map(|(version, _)| version),
                    serving: engine.loading.is_none(),
                    observed_at: self.now,
                };
                // The state is reported with a delay, so it may predate an order.
                coordinator.apply_state(self.now + REPORT_LAG, &id(index), state);
            }
        }
        let coordinators = self.coordinators.len();
        for position in 0..coordinators {
            let is_coordinated = |endpoint: &EndpointId| {
                let index: usize = endpoint.as_str()["engine-".len()..].parse().unwrap();
                index % coordinators == position
            };
            while let Some(order) = self.coordinators[position].next_order(self.now, is_coordinated)
            {
                let index: usize = order.endpoint.as_str()["engine-".len()..].parse().unwrap();
                if self.loading() >= self.concurrent_loads {
                    self.refused_by_store += 1;
                    self.coordinators[position].on_order_failed(self.now, &order.endpoint);
                    continue;
                }
                assert_eq!(self.engines[index].loading, None, "a load was interrupted");
                self.orders[index].push(self.now);
                self.engines[index].loading = Some((order.version, self.now));
                self.max_loading = self.max_loading.max(self.loading());
            }
        }
    }

    fn loading(&self) -> usize {
        self.engines
            .iter()
            .filter(|engine| engine.loading.is_some())
            .count()
    }

    /// Steps until all engines have the version; returns the elapsed time.
    fn run(&mut self, version: u64, limit: Duration) -> Duration {
        let start = self.now;
        while self
            .engines
            .iter()
            .any(|engine| engine.version < Version(version))
        {
            assert!(
                self.now.since(start) < limit,
                "the rollout did not complete in time"
            );
            self.step();
        }
        self.now.since(start)
    }
}

#[rstest]
#[case::today(12, 3, 50, 4)]
#[case::two_years(600, 42, 70, 150)]
#[case::floor_below_the_store(20, 5, 90, 10)]
#[case::one_at_a_time(5, 5, 50, 1)]
fn rollout_respects_capacity_floor_and_store_limit(
    #[case] engines: usize,
    #[case] coordinators: usize,
    #[case] floor_percent: u32,
    #[case] concurrent_loads: usize,
) {
    let mut simulation = Simulation::new(engines, coordinators, floor_percent, concurrent_loads);
    let expected = simulation.coordinators[0].expected_duration().unwrap();
    simulation.step();
    simulation.announce(2);

    let duration = simulation.run(2, Duration::from_secs(120));

    let floor = (engines * floor_percent as usize).div_ceil(100);
    assert!(
        engines - simulation.max_loading >= floor,
        "{} engines loading",
        simulation.max_loading
    );
    assert!(simulation.max_loading <= concurrent_loads);
    // Coordinators learn the version within a second, reports are delayed, and each round waits for
    // both.
    let slack = Duration::from_secs(3) + expected / 2;
    assert!(
        duration <= expected + slack,
        "took {duration:?}, expected {expected:?}"
    );
}

#[test]
fn rollout_of_600_engines_completes_in_22_s() {
    let mut simulation = Simulation::new(600, 42, 70, 150);
    simulation.step();
    simulation.announce(2);

    let duration = simulation.run(2, Duration::from_secs(120));

    assert!(duration <= Duration::from_secs(22), "{duration:?}");
}

#[test]
fn failed_loads_are_retried_with_growing_backoff() {
    let mut simulation = Simulation::new(6, 2, 50, 2);
    simulation.engines[4].loads_to_fail = 5;
    simulation.step();
    simulation.announce(2);

    simulation.run(2, Duration::from_secs(300));

    let failed: u64 = simulation
        .coordinators
        .iter()
        .map(|s| s.counts().failed_loads)
        .sum();
    let orders = &simulation.orders[4];
    let gaps: Vec<Duration> = orders
        .windows(2)
        .map(|pair| pair[1].since(pair[0]))
        .collect();
    assert_eq!(failed, 5);
    assert_eq!(gaps.len(), 5);
    assert!(gaps.is_sorted() && gaps[4] > gaps[0] * 2, "{gaps:?}");
}

#[test]
fn newer_version_replaces_the_one_in_progress() {
    let mut simulation = Simulation::new(12, 3, 50, 2);
    simulation.step();
    simulation.announce(2);
    for _ in 0..60 {
        simulation.step();
    }
    simulation.announce(3);

    simulation.run(3, Duration::from_secs(120));

    let counts = simulation.coordinators[0].counts();
    assert_eq!(counts.skipped_versions, 1);
    let orders: u64 = simulation
        .coordinators
        .iter()
        .map(|s| s.counts().orders)
        .sum();
    assert!(orders < 24, "{orders} orders");
}

#[test]
fn order_without_effect_is_repeated() {
    let mut rollout = Rollout::new(&pool(2, 50, 1), 1);
    let state = EngineState {
        version: Version(1),
        loading: None,
        serving: true,
        observed_at: START,
    };
    for index in 0..2 {
        rollout.apply_state(START, &id(index), state);
    }
    rollout.announce(START, Version(2));
    let first = rollout.next_order(START, |_| true);
    let while_pending = rollout.next_order(START, |_| true);

    let later = START + Duration::from_secs(60);
    rollout.next_order(later, |_| true);
    let repeated = rollout.next_order(later + Duration::from_secs(60), |_| true);

    assert!(first.is_some());
    assert_eq!(while_pending, None);
    assert!(repeated.is_some());
    assert!(rollout.counts().lost_orders > 0);
}

#[test]
fn old_version_and_unknown_engine_get_no_order() {
    let mut rollout = Rollout::new(&pool(2, 50, 1), 1);
    rollout.announce(START, Version(2));
    let unknown = rollout.next_order(START, |_| true);

    rollout.announce(START, Version(1));

    assert_eq!(unknown, None);
    assert_eq!(rollout.target(), Version(2));
}
