//! Stateful fuzzing of a fleet. Transitions are requests, operator changes and faults. An oracle
//! checks the documented promises against the state of the fakes.
//!
//! To run more seeds: `WISTERIAFORD_SEEDS=20 cargo test -p wisteriaford_fakes --test promises`.
//! `WISTERIAFORD_FIRST_SEED` sets the first seed.

use std::time::Duration;

use proptest::prelude::Just;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Strategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

#[path = "support/counts.rs"]
mod counts;
#[path = "support/fixture.rs"]
mod fixture;
#[allow(dead_code)]
#[path = "support/harness.rs"]
mod harness;
#[path = "support/trainer.rs"]
mod trainer;

use counts::count;
use fixture::ENGINES;
use fixture::INSTANCES;
use fixture::SERVICES;
use harness::Harness;

/// Cases per seed.
const CASES: u32 = 48;
/// Kinds of events that a run must include at least once.
const EXPECTED_KINDS: [&str; 38] = [
    "callers disconnected",
    "calls answered",
    "calls of unknown outcome",
    "calls reported as not run",
    "calls with a new key",
    "calls with a repeated key",
    "calls without a key",
    "checks of leaving endpoints",
    "checks of revisions in force",
    "chunks duplicated",
    "chunks late",
    "endpoints leaving",
    "endpoints listed as leaving",
    "engines crashed",
    "engines unresponsive",
    "generations answered",
    "graceful exits",
    "instances killed",
    "instances paused",
    "instances resumed",
    "instances shut down",
    "instances started",
    "links blocked",
    "log answers lost",
    "log outages",
    "model versions",
    "prompts that crash engines",
    "publications accepted",
    "publications in conflict",
    "pull answers lost",
    "samples",
    "scorer outages",
    "service answers lost",
    "service outages",
    "service slowdowns",
    "streams stalled",
    "transitions",
    "weight loads set to fail",
];

#[derive(Clone, Debug)]
enum Transition {
    Advance(u64),
    Generate(usize, u8),
    GeneratePoison(usize),
    Call(usize, Option<u8>, bool),
    CallTwice(usize, usize, u8),
    DisconnectCaller,
    Publish(Option<usize>, bool),
    ListLeaving(usize),
    ReportLeaving(usize),
    NewVersion,
    ShutDown(usize),
    Kill(usize),
    KillTwo(usize, usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    BlockLink(usize, usize),
    HealLinks,
    CrashEngine(usize, u64),
    StallStreams(usize),
    EngineUnresponsive(usize, bool),
    FailWeightLoad(usize),
    LogDown(bool),
    LoseLogAnswers(u32),
    ServiceDown(usize, bool),
    ServiceSlow(usize, bool),
    LoseServiceAnswers(usize),
    ScorerDown(bool),
    LosePullAnswer(usize),
    LateChunks(u32),
    DuplicateChunks(u32),
}

use Transition as T;

struct ReferenceModel;

impl ReferenceStateMachine for ReferenceModel {
    type State = u64;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Transition> {
        prop_oneof![
            14 => (50u64..3_000).prop_map(T::Advance),
            12 => requests(),
            5 => operator_changes(),
            7 => instance_faults(),
            7 => endpoint_faults(),
            5 => platform_faults(),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Transition) -> u64 {
        state
    }
}

fn requests() -> BoxedStrategy<Transition> {
    let index = 0..INSTANCES;
    prop_oneof![
        4 => (index.clone(), any::<u8>()).prop_map(|(index, prompt)| T::Generate(index, prompt)),
        1 => index.clone().prop_map(T::GeneratePoison),
        4 => (index.clone(), proptest::option::of(0u8..12), any::<bool>())
            .prop_map(|(index, key, first)| T::Call(index, key, first)),
        3 => (index.clone(), index, 0u8..12).prop_map(|(a, b, key)| T::CallTwice(a, b, key)),
        1 => Just(T::DisconnectCaller),
    ]
    .boxed()
}

fn operator_changes() -> BoxedStrategy<Transition> {
    let engine = 0..ENGINES;
    prop_oneof![
        3 => (proptest::option::of(engine.clone()), any::<bool>())
            .prop_map(|(leaving, has_conflict)| T::Publish(leaving, has_conflict)),
        1 => engine.clone().prop_map(T::ListLeaving),
        1 => engine.prop_map(T::ReportLeaving),
        3 => Just(T::NewVersion),
    ]
    .boxed()
}

fn instance_faults() -> BoxedStrategy<Transition> {
    let index = 0..INSTANCES;
    prop_oneof![
        2 => index.clone().prop_map(T::ShutDown),
        2 => index.clone().prop_map(T::Kill),
        1 => (index.clone(), index.clone()).prop_map(|(a, b)| T::KillTwo(a, b)),
        4 => index.clone().prop_map(T::Restart),
        2 => index.clone().prop_map(T::Pause),
        2 => index.clone().prop_map(T::Resume),
        2 => (index.clone(), index).prop_map(|(a, b)| T::BlockLink(a, b)),
        1 => Just(T::HealLinks),
    ]
    .boxed()
}

fn endpoint_faults() -> BoxedStrategy<Transition> {
    let engine = 0..ENGINES;
    let service = 0..SERVICES;
    prop_oneof![
        2 => (engine.clone(), 500u64..6_000).prop_map(|(e, ms)| T::CrashEngine(e, ms)),
        2 => engine.clone().prop_map(T::StallStreams),
        2 => (engine.clone(), any::<bool>()).prop_map(|(e, s)| T::EngineUnresponsive(e, s)),
        1 => engine.prop_map(T::FailWeightLoad),
        2 => (service.clone(), any::<bool>()).prop_map(|(s, down)| T::ServiceDown(s, down)),
        1 => (service.clone(), any::<bool>()).prop_map(|(s, slow)| T::ServiceSlow(s, slow)),
        1 => service.prop_map(T::LoseServiceAnswers),
        1 => (1u32..4).prop_map(T::LateChunks),
        1 => (1u32..4).prop_map(T::DuplicateChunks),
    ]
    .boxed()
}

fn platform_faults() -> BoxedStrategy<Transition> {
    prop_oneof![
        3 => any::<bool>().prop_map(T::LogDown),
        2 => (1u32..3).prop_map(T::LoseLogAnswers),
        1 => any::<bool>().prop_map(T::ScorerDown),
        2 => (0..fixture::TRAINERS.len()).prop_map(T::LosePullAnswer),
    ]
    .boxed()
}

struct FleetFuzzTest;

impl StateMachineTest for FleetFuzzTest {
    type SystemUnderTest = Harness;
    type Reference = ReferenceModel;

    fn init_test(seed: &u64) -> Harness {
        count("cases", 1);
        Harness::new(*seed)
    }

    fn apply(mut harness: Harness, _: &u64, transition: Transition) -> Harness {
        count("transitions", 1);
        apply(&mut harness, transition);
        harness.advance(Duration::from_millis(50));
        harness
    }

    fn teardown(mut harness: Harness, _: u64) {
        harness.settle();
        let crashes = harness.fleet.engines.values().map(|engine| engine.crashes);
        count("engines crashed", crashes.sum());
    }
}

fn apply(harness: &mut Harness, transition: Transition) {
    match transition {
        T::Advance(ms) => harness.advance(Duration::from_millis(ms)),
        T::Generate(index, prompt) => harness.generate(index, &format!("question {prompt}")),
        T::GeneratePoison(index) => {
            harness.generate(index, fixture::POISON);
            count("prompts that crash engines", 1);
        }
        T::Call(index, key, first) => harness.call(index, key, first),
        T::CallTwice(index, elsewhere, key) => {
            harness.call(index, Some(key), true);
            harness.call(elsewhere, Some(key), false);
        }
        T::DisconnectCaller => harness.disconnect_caller(),
        T::Publish(leaving, has_conflict) => harness.publish(leaving, has_conflict),
        T::ListLeaving(engine) => harness.list_leaving(engine),
        T::ReportLeaving(engine) => harness.report_leaving(engine),
        T::NewVersion => harness.new_version(),
        T::ShutDown(index) => harness.shut_down(index),
        T::Kill(index) => harness.kill(index),
        T::KillTwo(a, b) => {
            harness.kill(a);
            harness.kill(b);
        }
        T::Restart(index) => harness.restart(index),
        T::Pause(index) => harness.pause(index),
        T::Resume(index) => harness.resume(index),
        T::BlockLink(from, to) => harness.block_link(from, to),
        T::HealLinks => harness.heal_links(),
        other => apply_fault(harness, &other),
    }
}

fn apply_fault(harness: &mut Harness, fault: &Transition) {
    let engine = |index: usize| fixture::engine_address(index);
    let service = |index: usize| fixture::service_address(index);
    let (kind, increment) = match *fault {
        T::CrashEngine(index, ms) => {
            let after = Some(Duration::from_millis(ms));
            harness.fleet.crash_engine(&engine(index), after);
            ("engines crashed", 0)
        }
        T::StallStreams(index) => {
            harness.fleet.engines[engine(index).as_str()].stall_streams();
            ("streams stalled", 1)
        }
        T::EngineUnresponsive(index, is_unresponsive) => {
            harness.fleet.engines[engine(index).as_str()].is_unresponsive = is_unresponsive;
            ("engines unresponsive", u64::from(is_unresponsive))
        }
        T::FailWeightLoad(index) => {
            harness.fleet.engines[engine(index).as_str()].fail_swaps += 1;
            ("weight loads set to fail", 1)
        }
        T::LogDown(is_down) => {
            harness.set_log_down(is_down);
            ("log outages", u64::from(is_down))
        }
        T::LoseLogAnswers(answers) => {
            harness.fleet.log.lose_answers += answers;
            ("log answers lost", u64::from(answers))
        }
        T::ServiceDown(index, is_down) => {
            harness.fleet.services[service(index).as_str()].is_down = is_down;
            ("service outages", u64::from(is_down))
        }
        T::ServiceSlow(index, is_slow) => {
            // 7 s exceed the route's timeout of 5 s.
            let call_time = Duration::from_millis(if is_slow { 7_000 } else { 120 });
            harness.fleet.services[service(index).as_str()].call_time = call_time;
            ("service slowdowns", u64::from(is_slow))
        }
        T::LoseServiceAnswers(index) => {
            harness.fleet.services[service(index).as_str()].lose_answers += 1;
            ("service answers lost", 1)
        }
        T::ScorerDown(is_down) => {
            harness.fleet.is_scorer_down = is_down;
            ("scorer outages", u64::from(is_down))
        }
        T::LosePullAnswer(trainer) => {
            harness.trainers[trainer].lose_answers += 1;
            ("pull answers lost", 1)
        }
        T::LateChunks(chunks) => {
            harness.fleet.late_chunks += chunks;
            ("chunks late", u64::from(chunks))
        }
        T::DuplicateChunks(chunks) => {
            harness.fleet.duplicate_chunks += chunks;
            ("chunks duplicated", u64::from(chunks))
        }
        ref other => unreachable!("not a fault: {other:?}"),
    };
    count(kind, increment);
}

#[test]
fn promises_hold_under_faults() {
    counts::run::<FleetFuzzTest>(CASES, 10..50, &EXPECTED_KINDS);
}

/// Regression test: all engines are listed as leaving when the faults end. The oracle then allowed
/// no engine to receive new work, but still required further steps to complete.
#[test]
fn promises_hold_with_seed_703() {
    counts::run_seed::<FleetFuzzTest>(703, CASES, 10..50);
}
