//! Event counts and seeds of fuzz runs.

use std::collections::BTreeMap;
use std::sync::Mutex;

use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

static COUNTS: Mutex<BTreeMap<&str, u64>> = Mutex::new(BTreeMap::new());

/// Adds to the count of a kind of event.
pub(crate) fn count(kind: &'static str, increment: u64) {
    let mut counts = COUNTS.lock().expect("counts");
    *counts.entry(kind).or_default() += increment;
}

fn env_number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).unwrap_or_default();
    text.parse().unwrap_or(default)
}

/// Runs `cases` cases for each seed, then checks that each of `expected_kinds` was counted.
///
/// The environment variables `WISTERIAFORD_SEEDS` and `WISTERIAFORD_FIRST_SEED` select the seeds.
pub(crate) fn run<T>(cases: u32, transitions: std::ops::Range<usize>, expected_kinds: &[&str])
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: Clone + std::fmt::Debug,
    <T::Reference as ReferenceStateMachine>::Transition: Clone + std::fmt::Debug,
{
    let seeds = env_number("WISTERIAFORD_SEEDS", 1);
    let first = env_number("WISTERIAFORD_FIRST_SEED", 0);
    for seed in first..first + seeds {
        run_seed::<T>(seed, cases, transitions.clone());
    }
    let counts = COUNTS.lock().expect("counts");
    println!("{counts:#?}");
    for kind in expected_kinds {
        let total = counts.get(kind).copied().unwrap_or_default();
        assert!(total > 0, "never counted: {kind}");
    }
    assert!(counts["cases"] >= u64::from(cases));
}

/// Runs `cases` cases of one seed.
pub(crate) fn run_seed<T>(seed: u64, cases: u32, transitions: std::ops::Range<usize>)
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: Clone + std::fmt::Debug,
    <T::Reference as ReferenceStateMachine>::Transition: Clone + std::fmt::Debug,
{
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        max_shrink_iters: 200,
        max_shrink_time: 60_000,
        ..Config::default()
    };
    let strategy = T::Reference::sequential_strategy(transitions.clone());
    let result = TestRunner::new(config).run(&strategy, |(state, transitions, seen)| {
        T::test_sequential(Config::default(), state, transitions, seen);
        Ok(())
    });
    assert!(result.is_ok(), "seed {seed}: {}", result.unwrap_err());
}
