//! Rollout of weights: pace, floor, failed loads, skipped versions, lost orders.

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
    fails: u32,
}

/// A pool, several stewards with a view each, and a store that serves some loads at once.
struct World {
    now: Timestamp,
    engines: Vec<Engine>,
    stewards: Vec<Rollout>,
    concurrent_loads: usize,
    most_loading: usize,
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

impl World {
    fn new(engines: usize, stewards: usize, floor_percent: u32, concurrent_loads: usize) -> Self {
        let pool = pool(engines, floor_percent, concurrent_loads);
        let engine = |_| Engine {
            version: Version(1),
            loading: None,
            fails: 0,
        };
        Self {
            now: START,
            engines: (0..engines).map(engine).collect(),
            stewards: (0..stewards as u64)
                .map(|seed| Rollout::new(&pool, seed))
                .collect(),
            concurrent_loads,
            most_loading: 0,
            orders: vec![Vec::new(); engines],
            refused_by_store: 0,
        }
    }

    /// The version is known to each steward up to a second after the one before.
    fn announce(&mut self, version: u64) {
        for (index, steward) in self.stewards.iter_mut().enumerate() {
            let late = Duration::from_millis(index as u64 * 37 % 1_000);
            steward.announce(self.now + late, Version(version));
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for engine in &mut self.engines {
            if let Some((version, since)) = engine.loading
                && self.now.since(since) >= LOAD
            {
                engine.loading = None;
                if engine.fails > 0 {
                    engine.fails -= 1;
                } else {
                    engine.version = version;
                }
            }
        }
        for steward in &mut self.stewards {
            for (index, engine) in self.engines.iter().enumerate() {
                let state = EngineState {
                    version: engine.version,
                    loading: engine.loading.map(|(version, _)| version),
                    serving: engine.loading.is_none(),
                    observed_at: self.now,
                };
                // The state is known late, so an order may not show in it yet.
                steward.report(self.now + REPORT_LAG, &id(index), state);
            }
        }
        let stewards = self.stewards.len();
        for place in 0..stewards {
            let mine = |endpoint: &EndpointId| {
                let index: usize = endpoint.as_str()["engine-".len()..].parse().unwrap();
                index % stewards == place
            };
            while let Some(order) = self.stewards[place].next_order(self.now, mine) {
                let index: usize = order.endpoint.as_str()["engine-".len()..].parse().unwrap();
                if self.loading() >= self.concurrent_loads {
                    self.refused_by_store += 1;
                    self.stewards[place].order_failed(self.now, &order.endpoint);
                    continue;
                }
                assert_eq!(self.engines[index].loading, None, "a load was interrupted");
                self.orders[index].push(self.now);
                self.engines[index].loading = Some((order.version, self.now));
                self.most_loading = self.most_loading.max(self.loading());
            }
        }
    }

    fn loading(&self) -> usize {
        self.engines
            .iter()
            .filter(|engine| engine.loading.is_some())
            .count()
    }

    /// Runs until all engines have the version; returns how long that took.
    fn run(&mut self, version: u64, limit: Duration) -> Duration {
        let start = self.now;
        while self
            .engines
            .iter()
            .any(|engine| engine.version < Version(version))
        {
            assert!(self.now.since(start) < limit, "not complete in time");
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
fn pace_keeps_the_floor_and_the_store(
    #[case] engines: usize,
    #[case] stewards: usize,
    #[case] floor_percent: u32,
    #[case] concurrent_loads: usize,
) {
    let mut world = World::new(engines, stewards, floor_percent, concurrent_loads);
    let expected = world.stewards[0].expected_duration().unwrap();
    world.step();
    world.announce(2);

    let took = world.run(2, Duration::from_secs(120));

    let floor = (engines * floor_percent as usize).div_ceil(100);
    assert!(
        engines - world.most_loading >= floor,
        "{} loading",
        world.most_loading
    );
    assert!(world.most_loading <= concurrent_loads);
    // Stewards hear of the version within a second, reports lag, and each round waits for both.
    let slack = Duration::from_secs(3) + expected / 2;
    assert!(took <= expected + slack, "{took:?}, {expected:?} expected");
}

#[test]
fn two_year_rollout_is_complete_in_22_s() {
    let mut world = World::new(600, 42, 70, 150);
    world.step();
    world.announce(2);

    let took = world.run(2, Duration::from_secs(120));

    assert!(took <= Duration::from_secs(22), "{took:?}");
}

#[test]
fn failed_loads_are_tried_again_with_growing_waits() {
    let mut world = World::new(6, 2, 50, 2);
    world.engines[4].fails = 5;
    world.step();
    world.announce(2);

    world.run(2, Duration::from_secs(300));

    let failed: u64 = world.stewards.iter().map(|s| s.counts().failed_loads).sum();
    let orders = &world.orders[4];
    let gaps: Vec<Duration> = orders
        .windows(2)
        .map(|pair| pair[1].since(pair[0]))
        .collect();
    assert_eq!(failed, 5);
    assert_eq!(gaps.len(), 5);
    assert!(gaps.is_sorted() && gaps[4] > gaps[0] * 2, "{gaps:?}");
}

#[test]
fn newer_version_skips_the_one_under_way() {
    let mut world = World::new(12, 3, 50, 2);
    world.step();
    world.announce(2);
    for _ in 0..60 {
        world.step();
    }
    world.announce(3);

    world.run(3, Duration::from_secs(120));

    let counts = world.stewards[0].counts();
    assert_eq!(counts.skipped_versions, 1);
    let orders: u64 = world.stewards.iter().map(|s| s.counts().orders).sum();
    assert!(orders < 24, "{orders} orders");
}

#[test]
fn order_without_effect_is_given_again() {
    let mut rollout = Rollout::new(&pool(2, 50, 1), 1);
    let state = EngineState {
        version: Version(1),
        loading: None,
        serving: true,
        observed_at: START,
    };
    for index in 0..2 {
        rollout.report(START, &id(index), state);
    }
    rollout.announce(START, Version(2));
    let first = rollout.next_order(START, |_| true);
    let while_open = rollout.next_order(START, |_| true);

    let later = START + Duration::from_secs(60);
    rollout.next_order(later, |_| true);
    let again = rollout.next_order(later + Duration::from_secs(60), |_| true);

    assert!(first.is_some());
    assert_eq!(while_open, None);
    assert!(again.is_some());
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
