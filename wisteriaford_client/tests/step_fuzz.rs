//! Compares the state of a step with a simple reference model under random answers.
//!
//! `WISTERIAFORD_FUZZ_CASES` sets the number of cases.

use std::cell::RefCell;
use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use wisteriaford_client::message::PullAnswer;
use wisteriaford_client::message::SampleAnswer;
use wisteriaford_client::message::StepSpec;
use wisteriaford_client::message::VersionSpan;
use wisteriaford_client::step::StepCounts;
use wisteriaford_client::step::StepPlan;
use wisteriaford_client::step::StepRun;

const DEFAULT_CASES: u32 = 1_000;
const GROUP_SIZE: u32 = 3;
const SAMPLES: u32 = 6;
const BOUND_VERSIONS: u64 = 1;
const FIRST_PULL: u64 = 10;

/// Parameters of a sample, drawn from small ranges so that samples often collide.
#[derive(Clone, Debug)]
struct SampleParameters {
    index: u32,
    wrong_group: bool,
    version: u64,
    labelled: bool,
}

#[derive(Clone, Debug)]
enum Action {
    Pull {
        current_version: u64,
    },
    StepUnknown,
    Answer {
        pulls_ago: u64,
        samples: Vec<SampleParameters>,
    },
}

fn sample_parameters() -> impl Strategy<Value = SampleParameters> {
    let wrong_group = proptest::bool::weighted(0.1);
    (
        0..SAMPLES + 1,
        wrong_group,
        1..6_u64,
        proptest::bool::weighted(0.9),
    )
        .prop_map(|(index, wrong_group, version, labelled)| SampleParameters {
            index,
            wrong_group,
            version,
            labelled,
        })
}

fn action() -> impl Strategy<Value = Action> {
    let pull = (1..5_u64).prop_map(|current_version| Action::Pull { current_version });
    let answer = (
        prop_oneof![4 => 0..1_u64, 1 => 1..3_u64],
        vec(sample_parameters(), 0..4),
    )
        .prop_map(|(pulls_ago, samples)| Action::Answer { pulls_ago, samples });
    prop_oneof![4 => pull, 5 => answer, 1 => any::<()>().prop_map(|()| Action::StepUnknown)]
}

fn sample(parameters: &SampleParameters) -> SampleAnswer {
    let span = VersionSpan {
        from_token: 0,
        to_token: 1,
        version: parameters.version,
    };
    SampleAnswer {
        index: parameters.index,
        group: parameters.index / GROUP_SIZE + u32::from(parameters.wrong_group),
        text: "word ".to_owned(),
        tokens: 1,
        spans: if parameters.labelled {
            vec![span]
        } else {
            Vec::new()
        },
        score_milli: None,
        instance: "i".to_owned(),
        endpoint: "e".to_owned(),
    }
}

/// Reference model that keeps a map of versions and a list of pulls.
#[derive(Default)]
struct ReferenceModel {
    /// Version of the trainer at each pull.
    pulls: Vec<u64>,
    is_pending: bool,
    accepted: BTreeMap<u32, u64>,
    late_answers: u64,
    rejected: u64,
}

impl ReferenceModel {
    fn answer(&mut self, pulls_ago: u64, samples: &[SampleParameters]) {
        if !self.is_pending || pulls_ago != 0 {
            self.late_answers += 1;
            return;
        }
        self.is_pending = false;
        let current_version = self.pulls[self.pulls.len() - 1];
        for parameters in samples {
            let exists = parameters.index < SAMPLES && !parameters.wrong_group;
            let fresh = parameters.version + BOUND_VERSIONS >= current_version;
            let is_new = !self.accepted.contains_key(&parameters.index);
            if exists && parameters.labelled && fresh && is_new {
                self.accepted.insert(parameters.index, parameters.version);
            } else {
                self.rejected += 1;
            }
        }
    }
}

fn step() -> StepRun {
    let groups = (SAMPLES / GROUP_SIZE) as usize;
    let plan = StepPlan {
        trainer: "trainer-a".to_owned(),
        pool: "restoration".to_owned(),
        step: 1,
        spec: StepSpec {
            group_size: GROUP_SIZE,
            max_tokens: 1,
            prompts: vec!["prompt".to_owned(); groups],
        },
        staleness_bound_versions: BOUND_VERSIONS,
        wait_ms: 0,
    };
    StepRun::new(plan, FIRST_PULL).unwrap()
}

/// Runs the actions on both the step and the model, compares them after each action and returns
/// the counts of the step.
fn compare(actions: &[Action]) -> StepCounts {
    let mut run = step();
    let mut model = ReferenceModel::default();
    for action in actions {
        match action {
            Action::Pull { current_version } => {
                let request = run.next_pull_request(*current_version);
                let received: Vec<u32> = request.received.iter().collect();
                let accepted: Vec<u32> = model.accepted.keys().copied().collect();
                assert_eq!(request.pull, FIRST_PULL + model.pulls.len() as u64);
                assert_eq!(received, accepted);
                model.pulls.push(*current_version);
                model.is_pending = true;
            }
            Action::StepUnknown => {
                run.on_step_unknown();
                model.is_pending = false;
            }
            Action::Answer { pulls_ago, samples } => {
                let last = run.next_pull_number() - 1;
                let answer = PullAnswer {
                    pull: last.saturating_sub(*pulls_ago),
                    samples: samples.iter().map(sample).collect(),
                    complete: false,
                };
                let _is_late = run.apply_answer(answer).is_err();
                model.answer(*pulls_ago, samples);
            }
        }
        check(&run, &model);
    }
    *run.counts()
}

fn check(run: &StepRun, model: &ReferenceModel) {
    let versions = |s: &SampleAnswer| (s.index, s.spans[0].version);
    let samples: BTreeMap<u32, u64> = run.samples().iter().map(versions).collect();
    let counts = run.counts();
    let rejected = counts.repeated + counts.too_old + counts.unlabelled + counts.foreign;
    assert_eq!(samples, model.accepted);
    assert_eq!(run.samples().len(), model.accepted.len());
    assert_eq!(counts.delivered, model.accepted.len() as u64);
    assert_eq!(counts.late_answers, model.late_answers);
    assert_eq!(rejected, model.rejected);
    assert_eq!(run.is_complete(), model.accepted.len() == SAMPLES as usize);
}

fn cases() -> u32 {
    let cases = std::env::var("WISTERIAFORD_FUZZ_CASES").ok();
    cases.map_or(DEFAULT_CASES, |cases| cases.parse().unwrap())
}

#[test]
fn step_matches_the_reference_model() {
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let total = RefCell::new(StepCounts::default());

    let result = runner.run(&vec(action(), 1..60), |actions| {
        total.borrow_mut().add(&compare(&actions));
        Ok(())
    });

    result.unwrap();
    let total = total.into_inner();
    let kinds = [
        total.delivered,
        total.repeated,
        total.too_old,
        total.unlabelled,
        total.foreign,
        total.late_answers,
    ];
    println!("{total:?}");
    assert!(kinds.iter().all(|&kind| kind > 0), "{total:?}");
}
