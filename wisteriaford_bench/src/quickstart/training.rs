//! Trainer that verifies every sample.

use std::collections::BTreeSet;
use std::time::Duration;

use wisteriaford_client::client::Client;
use wisteriaford_client::message::SampleAnswer;
use wisteriaford_client::message::StepSpec;
use wisteriaford_client::step::StepCounts;
use wisteriaford_client::step::StepPlan;
use wisteriaford_client::step::StepRun;
use wisteriaford_client::trainer::SystemTimer;
use wisteriaford_client::trainer::Trainer;
use wisteriaford_core::id::StepKey;
use wisteriaford_core::id::StepNumber;
use wisteriaford_core::step::sample_seed;
use wisteriaford_standins::expected_score_milli;
use wisteriaford_standins::expected_text;
use wisteriaford_standins::expected_tokens;

use crate::processes::fleet::MODEL_POOL;
use crate::processes::fleet::STALENESS_BOUND_VERSIONS;
use crate::processes::fleet::TRAINER;

const PULL_WAIT_MS: u64 = 500;
const STEP_TIMEOUT: Duration = Duration::from_secs(90);
/// Pull numbers reserved for each step.
const MAX_PULLS_PER_STEP: u64 = 1_000_000;

/// Size of a training step.
#[derive(Clone, Copy, Debug)]
pub struct StepSize {
    /// Number of groups.
    pub groups: u32,
    /// Number of samples per group.
    pub group_size: u32,
    /// Maximum number of tokens per sample.
    pub max_tokens: u32,
}

/// Results of the steps of a trainer.
#[derive(Clone, Debug, Default)]
pub struct Training {
    /// Counts of samples.
    pub counts: StepCounts,
    /// Versions in the labels of the samples.
    pub versions_seen: BTreeSet<u64>,
    /// Instances that the samples came from.
    pub instances_seen: BTreeSet<String>,
    /// Endpoints that generated the samples.
    pub endpoints_seen: BTreeSet<String>,
    /// Description of each failed step and wrong sample.
    pub failures: Vec<String>,
}

impl Training {
    /// Runs one step until it is complete and verifies its samples.
    pub fn run_step(&mut self, client: &Client, number: u64, size: StepSize, version: u64) {
        let plan = plan(number, size);
        let mut run = match StepRun::new(plan, number * MAX_PULLS_PER_STEP) {
            Ok(run) => run,
            Err(error) => return self.failures.push(format!("step {number}: {error}")),
        };
        let mut service = client.clone();
        let mut trainer = Trainer {
            service: &mut service,
            timer: &mut SystemTimer::default(),
            deadline: STEP_TIMEOUT,
        };
        if let Err(error) = trainer.run(&mut run, &mut |_| version) {
            self.failures.push(format!("step {number}: {error:?}"));
        }
        self.add_samples(&run);
    }

    fn add_samples(&mut self, run: &StepRun) {
        self.counts.add(run.counts());
        let number = run.plan().step;
        if run.counts().foreign + run.counts().wrongly_complete > 0 {
            let counts = run.counts();
            self.failures.push(format!("step {number}: {counts:?}"));
        }
        for sample in run.samples() {
            if !is_correct(run.plan(), sample) {
                let index = sample.index;
                self.failures.push(format!(
                    "step {number}: sample {index} is wrong: {sample:?}"
                ));
            }
            let versions = sample.spans.iter().map(|span| span.version);
            self.versions_seen.extend(versions);
            self.instances_seen.insert(sample.instance.clone());
            self.endpoints_seen.insert(sample.endpoint.clone());
        }
    }
}

/// Returns the plan of a step of the trainer.
#[must_use]
pub fn plan(number: u64, size: StepSize) -> StepPlan {
    let prompt = |group| format!("Step {number}, photograph {group}:");
    StepPlan {
        trainer: TRAINER.to_owned(),
        pool: MODEL_POOL.to_owned(),
        step: number,
        spec: StepSpec {
            group_size: size.group_size,
            max_tokens: size.max_tokens,
            prompts: (0..size.groups).map(prompt).collect(),
        },
        staleness_bound_versions: u64::from(STALENESS_BOUND_VERSIONS),
        wait_ms: PULL_WAIT_MS,
    }
}

/// Returns whether a sample has the text, length and score expected at its index in the step.
#[must_use]
pub fn is_correct(plan: &StepPlan, sample: &SampleAnswer) -> bool {
    let key = StepKey {
        trainer: plan.trainer.as_str().into(),
        number: StepNumber(plan.step),
    };
    let seed = sample_seed(&key, sample.index);
    let group = sample.index / plan.spec.group_size;
    let Some(prompt) = plan.spec.prompts.get(group as usize) else {
        return false;
    };
    let score = expected_score_milli(&sample.text);
    sample.text == expected_text(prompt, seed, plan.spec.max_tokens)
        && sample.tokens == expected_tokens(prompt, seed, plan.spec.max_tokens)
        && sample.score_milli == Some(i64::from(score))
        && !sample.instance.is_empty()
        && !sample.endpoint.is_empty()
}
