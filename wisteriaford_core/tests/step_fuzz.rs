//! Stateful fuzz test of training steps: the transitions are faults of five instances, and two
//! trainers act as the oracle. Once faults stop, each step completes with every sample delivered
//! exactly once.
//!
//! To run more seeds: `WISTERIAFORD_SEEDS=20 cargo test -p wisteriaford_core --test step_fuzz`. The
//! first seed is `WISTERIAFORD_FIRST_SEED`.

use std::collections::BTreeMap;
use std::sync::Mutex;

use proptest::prelude::Just;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

#[allow(dead_code)]
#[path = "support/step_world.rs"]
mod step_world;

use step_world::Faults;
use step_world::World;

const NODES: usize = 5;
const TRAINERS: usize = 2;
const CASES: u32 = 64;
const COMPLETION_TIMEOUT_MS: u64 = 180_000;
const COUNTED_KINDS: [&str; 23] = [
    "answer delayed",
    "answer lost",
    "answer repeated",
    "engine failed",
    "engine slow",
    "engine stale",
    "frozen",
    "handed over",
    "kill any",
    "kill replica",
    "kill owner",
    "kill owner and replica",
    "message lost",
    "message reordered",
    "message repeated",
    "restarted",
    "sample unlabelled",
    "scorer failed",
    "step begun",
    "trainer version",
    "engine version",
    "views agree",
    "views disagree",
];

static COUNTS: Mutex<BTreeMap<&str, u64>> = Mutex::new(BTreeMap::new());

#[derive(Clone, Copy, Debug)]
enum Transition {
    Advance(u64),
    KillOwner(usize),
    KillReplica(usize),
    KillBoth(usize),
    KillAny(usize),
    Restart(usize),
    Freeze(usize),
    Unfreeze,
    CorrectViews,
    DivergeViews(usize, u8),
    HandOver(usize),
    TrainerVersion(usize),
    EngineVersion,
    NetworkFaults(u64),
    EngineFaults(u64, bool),
    ScorerFault(bool),
    FaultyAnswer(u64),
    ClearFaults,
}

struct FaultSequence;

impl ReferenceStateMachine for FaultSequence {
    type State = bool;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<bool> {
        any::<bool>().boxed()
    }

    fn transitions(_: &bool) -> BoxedStrategy<Transition> {
        let trainer = 0..TRAINERS;
        let node = 0..NODES;
        prop_oneof![
            8 => (100u64..2_500).prop_map(Transition::Advance),
            1 => trainer.clone().prop_map(Transition::KillOwner),
            1 => trainer.clone().prop_map(Transition::KillReplica),
            1 => trainer.clone().prop_map(Transition::KillBoth),
            1 => node.clone().prop_map(Transition::KillAny),
            3 => node.clone().prop_map(Transition::Restart),
            1 => node.clone().prop_map(Transition::Freeze),
            1 => Just(Transition::Unfreeze),
            2 => Just(Transition::CorrectViews),
            2 => (node.clone(), any::<u8>()).prop_map(|(n, m)| Transition::DivergeViews(n, m)),
            1 => node.prop_map(Transition::HandOver),
            2 => trainer.prop_map(Transition::TrainerVersion),
            2 => Just(Transition::EngineVersion),
            1 => (0u64..60).prop_map(Transition::NetworkFaults),
            2 => (0u64..60, any::<bool>()).prop_map(|(p, s)| Transition::EngineFaults(p, s)),
            2 => any::<bool>().prop_map(Transition::ScorerFault),
            3 => (0u64..3).prop_map(Transition::FaultyAnswer),
            1 => Just(Transition::ClearFaults),
        ]
        .boxed()
    }

    fn apply(state: bool, _: &Transition) -> bool {
        state
    }
}

struct StepFuzz;

impl StateMachineTest for StepFuzz {
    type SystemUnderTest = World;
    type Reference = FaultSequence;

    fn init_test(has_scorer: &bool) -> World {
        let mut world = World::new(NODES, TRAINERS, *has_scorer);
        for trainer in &mut world.trainers {
            trainer.remaining_steps = u64::MAX;
        }
        world
    }

    fn apply(mut world: World, _: &bool, transition: Transition) -> World {
        count("transitions", 1);
        apply_transition(&mut world, transition);
        world.advance(50);
        world
    }

    fn teardown(mut world: World, _: bool) {
        count("cases", 1);
        complete_steps(&mut world);
        world.collect_counters();
        for (kind, times) in &world.fault_counts {
            count(kind, *times);
        }
        count("sum: samples recovered", world.total.recovered);
        count("sum: hedges", world.total.hedges);
        count("sum: unresponsive owners", world.total.unresponsive_owners);
        count("sum: too old", world.total.too_old);
        count("sum: unlabelled", world.total.unlabelled);
        count("sum: delivered", world.total.delivered);
    }
}

fn count(kind: &'static str, times: u64) {
    *COUNTS.lock().expect("counts").entry(kind).or_default() += times;
}

fn kill_ranked(world: &mut World, trainer: usize, position: usize) {
    if let Some(node) = world.ranked(trainer, position) {
        world.kill(node);
    }
}

fn apply_transition(world: &mut World, transition: Transition) {
    match transition {
        Transition::Advance(ms) => world.advance(ms),
        Transition::KillOwner(trainer) => {
            world.count_fault("kill owner");
            kill_ranked(world, trainer, 0);
        }
        Transition::KillReplica(trainer) => {
            world.count_fault("kill replica");
            kill_ranked(world, trainer, 1);
        }
        Transition::KillBoth(trainer) => {
            world.count_fault("kill owner and replica");
            kill_ranked(world, trainer, 1);
            kill_ranked(world, trainer, 0);
        }
        Transition::KillAny(node) => {
            world.count_fault("kill any");
            world.kill(node);
        }
        Transition::Restart(node) => {
            world.count_fault("restarted");
            world.kill(node);
            world.restart(node);
        }
        Transition::Freeze(node) => {
            world.count_fault("frozen");
            world.nodes[node].is_frozen = true;
        }
        Transition::Unfreeze => world
            .nodes
            .iter_mut()
            .for_each(|node| node.is_frozen = false),
        Transition::CorrectViews => {
            world.count_fault("views agree");
            world.correct_views();
        }
        Transition::DivergeViews(node, mask) => {
            world.count_fault("views disagree");
            let names = (0..NODES).filter(|n| mask & (1 << n) != 0);
            world.nodes[node].view.alive = names.map(|n| format!("i{n}").into()).collect();
        }
        Transition::HandOver(node) => {
            world.count_fault("handed over");
            let me = world.nodes[node].view.me.clone();
            world.nodes[node].view.alive.retain(|other| *other != me);
            world.call(node, |steps, now, view, out| {
                steps.hand_over(now, view, out);
            });
        }
        Transition::TrainerVersion(trainer) => {
            world.engine_version += 3;
            world.trainers[trainer].version = world.engine_version;
            world.count_fault("trainer version");
        }
        Transition::EngineVersion => {
            world.count_fault("engine version");
            world.engine_version += 3;
        }
        Transition::NetworkFaults(percent) => {
            world.faults.lose_percent = percent;
            world.faults.repeat_percent = percent / 2;
            world.faults.delay_ms = percent * 20;
        }
        Transition::EngineFaults(percent, slow) => {
            world.faults.engine_fail_percent = percent;
            world.faults.unlabelled_percent = percent / 3;
            world.faults.engine_slow = slow;
            world.faults.engine_stale_percent = percent;
        }
        Transition::ScorerFault(down) => world.faults.scorer_down = down,
        Transition::FaultyAnswer(kind) => match kind {
            0 => world.faults.lose_answers += 1,
            1 => world.faults.late_answers += 1,
            _ => world.faults.repeat_answers += 1,
        },
        Transition::ClearFaults => world.faults = Faults::default(),
    }
}

/// Clears all faults and runs until each trainer holds its whole step.
fn complete_steps(world: &mut World) {
    world.faults = Faults::default();
    for trainer in &mut world.trainers {
        trainer.remaining_steps = 0;
    }
    for node in 0..NODES {
        if world.nodes[node].is_leaving && world.nodes[node].steps.is_idle() {
            world.kill(node);
        }
        world.restart(node);
    }
    world.correct_views();
    let mut waited_ms = 0;
    while !world.trainers.iter().all(|trainer| trainer.is_done) {
        assert!(
            waited_ms < COMPLETION_TIMEOUT_MS,
            "a step is incomplete: {}",
            progress(world)
        );
        world.advance(1_000);
        waited_ms += 1_000;
    }
    for trainer in &world.trainers {
        assert_eq!(trainer.received.len(), trainer.spec.total() as usize);
    }
}

fn progress(world: &World) -> String {
    let held = world.trainers.iter().map(|trainer| trainer.received.len());
    format!("held {:?}", held.collect::<Vec<_>>())
}

fn number_from_env(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).unwrap_or_default();
    text.parse().unwrap_or(default)
}

#[test]
fn every_sample_is_delivered_exactly_once_under_faults() {
    let seeds = number_from_env("WISTERIAFORD_SEEDS", 1);
    let first = number_from_env("WISTERIAFORD_FIRST_SEED", 0);
    for seed in first..first + seeds {
        let mut runner = TestRunner::new(Config {
            cases: CASES,
            rng_seed: RngSeed::Fixed(seed),
            rng_algorithm: RngAlgorithm::ChaCha,
            failure_persistence: None,
            max_shrink_iters: 120,
            ..Config::default()
        });
        let strategy = FaultSequence::sequential_strategy(10..60);
        let result = runner.run(&strategy, |(state, transitions, seen)| {
            StepFuzz::test_sequential(Config::default(), state, transitions, seen);
            Ok(())
        });
        assert!(result.is_ok(), "seed {seed}: {}", result.unwrap_err());
    }
    let counts = COUNTS.lock().expect("counts");
    println!("{counts:#?}");
    let total = u64::from(CASES);
    assert!(counts["cases"] >= total && counts["transitions"] >= 10 * total);
    let sums = counts.keys().filter(|kind| kind.starts_with("sum:"));
    for kind in COUNTED_KINDS.iter().chain(sums) {
        assert!(
            counts.get(kind).is_some_and(|&times| times > 0),
            "never happened: {kind}"
        );
    }
}
