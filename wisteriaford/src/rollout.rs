//! Reference trainer: runs training steps against the fleet and counts what comes.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Serialize;
use wisteriaford_client::client::Client;
use wisteriaford_client::client::ClientError;
use wisteriaford_client::message::MessageError;
use wisteriaford_client::message::StepSpec;
use wisteriaford_client::step::StepCounts;
use wisteriaford_client::step::StepPlan;
use wisteriaford_client::step::StepRun;
use wisteriaford_client::trainer::Timer;
use wisteriaford_client::trainer::Trainer;
use wisteriaford_client::trainer::TrainerError;
use wisteriaford_proto::settings::Configuration;

use crate::arguments::RolloutArguments;
use crate::fleet::FleetStatus;

/// Why no step can be run, or the steps ended early.
#[derive(Debug, Display, Error)]
pub enum RolloutError {
    /// The configuration in force has no such pool.
    #[display("the configuration in force has no pool `{pool}`")]
    UnknownPool {
        /// Pool.
        pool: String,
    },
    /// No daemon reports the version of the pool's weights.
    #[display("no daemon reports the version of pool `{pool}`; give --current-version")]
    UnknownVersion {
        /// Pool.
        pool: String,
    },
    /// The step cannot be meant.
    #[display("{source}")]
    BadStep {
        /// Cause.
        source: MessageError,
    },
    /// The daemons cannot be asked for the configuration.
    #[display("{source}")]
    Unanswered {
        /// Cause.
        source: ClientError,
    },
}

/// What came of the steps.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct RolloutReport {
    /// Steps that are whole.
    pub steps_complete: u64,
    /// Samples that the steps asked for.
    pub samples_asked: u64,
    /// Samples taken.
    pub samples_delivered: u64,
    /// Samples left out as repeats.
    pub samples_repeated: u64,
    /// Samples left out as older than the bound.
    pub samples_too_old: u64,
    /// Samples left out since their versions do not cover every token.
    pub samples_unlabelled: u64,
    /// Samples left out since the step has no such index.
    pub samples_foreign: u64,
    /// Answers that came for a pull that was not waited for.
    pub late_answers: u64,
    /// Answers that called a step complete while samples were missing.
    pub wrongly_complete: u64,
    /// Pulls sent.
    pub pulls: u64,
    /// Tokens of the samples taken.
    pub tokens: u64,
    /// Samples taken that carry a score.
    pub samples_scored: u64,
    /// Versions that the samples name.
    pub versions_seen: BTreeSet<u64>,
    /// Instances that the samples name.
    pub instances_seen: BTreeSet<String>,
    /// Endpoints that the samples name.
    pub endpoints_seen: BTreeSet<String>,
    /// Time of each step, in milliseconds.
    pub step_ms: Vec<u64>,
    /// Why the steps ended early.
    pub failure: Option<String>,
}

impl RolloutReport {
    /// Returns whether every sample came once, fresh and labelled.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let left_out = self.samples_repeated
            + self.samples_too_old
            + self.samples_unlabelled
            + self.samples_foreign;
        let whole = self.samples_delivered == self.samples_asked;
        whole && left_out == 0 && self.wrongly_complete == 0 && self.failure.is_none()
    }

    fn add(&mut self, run: &StepRun, duration: Duration) {
        let counts: &StepCounts = run.counts();
        self.steps_complete += u64::from(run.is_complete());
        self.samples_asked += counts.asked;
        self.samples_delivered += counts.delivered;
        self.samples_repeated += counts.repeated;
        self.samples_too_old += counts.too_old;
        self.samples_unlabelled += counts.unlabelled;
        self.samples_foreign += counts.foreign;
        self.late_answers += counts.late_answers;
        self.wrongly_complete += counts.wrongly_complete;
        self.pulls += counts.pulls;
        let duration_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        self.step_ms.push(duration_ms);
        for sample in run.samples() {
            self.tokens += u64::from(sample.tokens);
            self.samples_scored += u64::from(sample.score_milli.is_some());
            let versions = sample.spans.iter().map(|span| span.version);
            self.versions_seen.extend(versions);
            self.instances_seen.insert(sample.instance.clone());
            self.endpoints_seen.insert(sample.endpoint.clone());
        }
    }
}

impl fmt::Display for RolloutReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "steps complete      {}", self.steps_complete)?;
        writeln!(f, "samples asked       {}", self.samples_asked)?;
        writeln!(f, "samples delivered   {}", self.samples_delivered)?;
        writeln!(f, "samples repeated    {}", self.samples_repeated)?;
        writeln!(f, "samples too old     {}", self.samples_too_old)?;
        writeln!(f, "samples unlabelled  {}", self.samples_unlabelled)?;
        writeln!(f, "samples foreign     {}", self.samples_foreign)?;
        writeln!(f, "samples scored      {}", self.samples_scored)?;
        writeln!(f, "late answers        {}", self.late_answers)?;
        writeln!(f, "wrongly complete    {}", self.wrongly_complete)?;
        writeln!(f, "pulls               {}", self.pulls)?;
        writeln!(f, "tokens              {}", self.tokens)?;
        writeln!(f, "versions seen       {:?}", self.versions_seen)?;
        writeln!(f, "instances seen      {:?}", self.instances_seen)?;
        writeln!(f, "endpoints seen      {:?}", self.endpoints_seen)?;
        writeln!(f, "step times, ms      {:?}", self.step_ms)?;
        match &self.failure {
            Some(failure) => writeln!(f, "ended early: {failure}"),
            None => Ok(()),
        }
    }
}

/// Runs the steps that the arguments ask for; `started_ms` is the time since 1970.
///
/// # Errors
///
/// Fails where the first step cannot be started. A step that does not become whole ends the run
/// and is told in the report.
pub fn run(
    client: &Client,
    timer: &mut dyn Timer,
    arguments: &RolloutArguments,
    started_ms: u64,
) -> Result<RolloutReport, RolloutError> {
    let staleness_bound_versions = staleness_bound(client, arguments)?;
    let first_step = arguments.first_step.unwrap_or(started_ms / 1_000);
    let mut next_pull = started_ms;
    let mut report = RolloutReport::default();
    let mut service = client.clone();
    for step in first_step..first_step.saturating_add(arguments.steps) {
        let version = current_version(client, arguments)?;
        let plan = plan(arguments, step, staleness_bound_versions);
        let mut run =
            StepRun::new(plan, next_pull).map_err(|source| RolloutError::BadStep { source })?;
        let started = timer.elapsed();
        let mut trainer = Trainer {
            service: &mut service,
            timer,
            deadline: Duration::from_millis(arguments.step_timeout_ms),
        };
        let result = trainer.run(&mut run, &mut |_| version);
        report.add(&run, timer.elapsed().saturating_sub(started));
        next_pull = run.next_pull_number();
        if let Err(error) = result {
            report.failure = Some(describe(&error));
            break;
        }
    }
    Ok(report)
}

fn plan(arguments: &RolloutArguments, step: u64, staleness_bound_versions: u64) -> StepPlan {
    let prompt = |group: u32| {
        let text = arguments.prompt.replace("{step}", &step.to_string());
        text.replace("{group}", &group.to_string())
    };
    StepPlan {
        trainer: arguments.trainer.clone(),
        pool: arguments.pool.clone(),
        step,
        spec: StepSpec {
            group_size: arguments.group_size,
            max_tokens: arguments.max_tokens,
            prompts: (0..arguments.groups).map(prompt).collect(),
        },
        staleness_bound_versions,
        wait_ms: arguments.wait_ms,
    }
}

fn staleness_bound(client: &Client, arguments: &RolloutArguments) -> Result<u64, RolloutError> {
    if let Some(bound) = arguments.staleness_bound {
        return Ok(bound);
    }
    let answer = client
        .configuration::<Configuration>()
        .map_err(|source| RolloutError::Unanswered { source })?;
    let mut pools = answer.configuration.pools.iter();
    let pool = pools.find(|pool| pool.name == arguments.pool);
    pool.map(|pool| u64::from(pool.staleness_bound_versions))
        .ok_or_else(|| RolloutError::UnknownPool {
            pool: arguments.pool.clone(),
        })
}

fn current_version(client: &Client, arguments: &RolloutArguments) -> Result<u64, RolloutError> {
    if let Some(version) = arguments.current_version {
        return Ok(version);
    }
    let version = FleetStatus::ask(client).version_of(&arguments.pool);
    version.ok_or_else(|| RolloutError::UnknownVersion {
        pool: arguments.pool.clone(),
    })
}

fn describe(error: &TrainerError) -> String {
    match error {
        TrainerError::DeadlinePassed {
            last: Some(last), ..
        } => format!("{error}; last failure: {last}"),
        other => other.to_string(),
    }
}
