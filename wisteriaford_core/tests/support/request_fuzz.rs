//! Runner of the stateful fuzz tests of request handling.
//!
//! The seeds are 1 to `WISTERIAFORD_FUZZ_SEEDS`, which defaults to 1. To run more seeds:
//! `WISTERIAFORD_FUZZ_SEEDS=50 cargo test --package wisteriaford_core`.

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

/// Environment variable with the number of seeds to run.
const SEEDS_VARIABLE: &str = "WISTERIAFORD_FUZZ_SEEDS";

/// Runs `cases` cases of up to `max_transitions` transitions for each seed.
pub(crate) fn run<T>(cases: u32, max_transitions: usize)
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: Clone + std::fmt::Debug,
    <T::Reference as ReferenceStateMachine>::Transition: Clone + std::fmt::Debug,
{
    let seeds = std::env::var(SEEDS_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok());
    for seed in 1..=seeds.unwrap_or(1) {
        let config = Config {
            cases,
            rng_seed: RngSeed::Fixed(seed),
            failure_persistence: None,
            ..Config::default()
        };
        let strategy = T::Reference::sequential_strategy(1..=max_transitions);
        let result =
            TestRunner::new(config.clone()).run(&strategy, |(state, transitions, seen)| {
                T::test_sequential(config.clone(), state, transitions, seen);
                Ok(())
            });
        if let Err(error) = result {
            panic!("seed {seed}: {error}");
        }
    }
}
