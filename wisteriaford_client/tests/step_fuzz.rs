//! Bookkeeping of a step against naive bookkeeping, under random answers.
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

/// Sample of an answer, small enough to meet others often.
#[derive(Clone, Debug)]
struct Draft {
    index: u32,
    wrong_group: bool,
    version: u64,
    labelled: bool,
}

#[derive(Clone, Debug)]
enum Action {
    Pull { current_version: u64 },
    Forget,
    Answer { pulls_ago: u64, drafts: Vec<Draft> },
}

fn draft() -> impl Strategy<Value = Draft> {
    let odd = proptest::bool::weighted(0.1);
    (0..SAMPLES + 1, odd, 1..6_u64, proptest::bool::weighted(0.9)).prop_map(
        |(index, wrong_group, version, labelled)| Draft {
            index,
            wrong_group,
            version,
            labelled,
        },
    )
}

fn action() -> impl Strategy<Value = Action> {
    let pull = (1..5_u64).prop_map(|current_version| Action::Pull { current_version });
    let answer = (
        prop_oneof![4 => 0..1_u64, 1 => 1..3_u64],
        vec(draft(), 0..4),
    )
        .prop_map(|(pulls_ago, drafts)| Action::Answer { pulls_ago, drafts });
    prop_oneof![4 => pull, 5 => answer, 1 => any::<()>().prop_map(|()| Action::Forget)]
}

fn sample(draft: &Draft) -> SampleAnswer {
    let span = VersionSpan {
        from_token: 0,
        to_token: 1,
        version: draft.version,
    };
    SampleAnswer {
        index: draft.index,
        group: draft.index / GROUP_SIZE + u32::from(draft.wrong_group),
        text: "word ".to_owned(),
        tokens: 1,
        spans: if draft.labelled {
            vec![span]
        } else {
            Vec::new()
        },
        score_milli: None,
        instance: "i".to_owned(),
        endpoint: "e".to_owned(),
    }
}

/// Bookkeeping by a map of versions and a list of the pulls.
#[derive(Default)]
struct Oracle {
    pulls: Vec<u64>,
    is_open: bool,
    taken: BTreeMap<u32, u64>,
    late: u64,
    left_out: u64,
}

impl Oracle {
    fn answer(&mut self, pulls_ago: u64, drafts: &[Draft]) {
        if !self.is_open || pulls_ago != 0 {
            self.late += 1;
            return;
        }
        self.is_open = false;
        let current = self.pulls[self.pulls.len() - 1];
        for draft in drafts {
            let exists = draft.index < SAMPLES && !draft.wrong_group;
            let fresh = draft.version + BOUND_VERSIONS >= current;
            let is_new = !self.taken.contains_key(&draft.index);
            if exists && draft.labelled && fresh && is_new {
                self.taken.insert(draft.index, draft.version);
            } else {
                self.left_out += 1;
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

/// Runs the actions on both and compares them after each; returns the counts.
fn compare(actions: &[Action]) -> StepCounts {
    let mut run = step();
    let mut oracle = Oracle::default();
    for action in actions {
        match action {
            Action::Pull { current_version } => {
                let request = run.pull(*current_version);
                let received: Vec<u32> = request.received.iter().collect();
                let taken: Vec<u32> = oracle.taken.keys().copied().collect();
                assert_eq!(request.pull, FIRST_PULL + oracle.pulls.len() as u64);
                assert_eq!(received, taken);
                oracle.pulls.push(*current_version);
                oracle.is_open = true;
            }
            Action::Forget => {
                run.forgotten();
                oracle.is_open = false;
            }
            Action::Answer { pulls_ago, drafts } => {
                let last = run.next_pull_number() - 1;
                let answer = PullAnswer {
                    pull: last.saturating_sub(*pulls_ago),
                    samples: drafts.iter().map(sample).collect(),
                    complete: false,
                };
                let _late = run.take(answer).is_err();
                oracle.answer(*pulls_ago, drafts);
            }
        }
        check(&run, &oracle);
    }
    *run.counts()
}

fn check(run: &StepRun, oracle: &Oracle) {
    let versions = |s: &SampleAnswer| (s.index, s.spans[0].version);
    let samples: BTreeMap<u32, u64> = run.samples().iter().map(versions).collect();
    let counts = run.counts();
    let left_out = counts.repeated + counts.too_old + counts.unlabelled + counts.foreign;
    assert_eq!(samples, oracle.taken);
    assert_eq!(run.samples().len(), oracle.taken.len());
    assert_eq!(counts.delivered, oracle.taken.len() as u64);
    assert_eq!(counts.late_answers, oracle.late);
    assert_eq!(left_out, oracle.left_out);
    assert_eq!(run.is_complete(), oracle.taken.len() == SAMPLES as usize);
}

fn cases() -> u32 {
    let set = std::env::var("WISTERIAFORD_FUZZ_CASES").ok();
    set.map_or(DEFAULT_CASES, |cases| cases.parse().unwrap())
}

#[test]
fn bookkeeping_agrees_with_the_naive_one() {
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
