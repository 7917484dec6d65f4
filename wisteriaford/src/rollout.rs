//! Reference trainer, which runs training steps against the fleet and counts the samples received.

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

/// Error that prevents a step from starting.
#[derive(Debug, Display, Error)]
pub enum RolloutError {
    /// The pool does not exist in the configuration in force.
    #[display("the configuration in force has no pool `{pool}`")]
    UnknownPool {
        /// Name of the pool.
        pool: String,
    },
    /// No daemon reports a weight version for the pool.
    #[display("no daemon reports a weight version for pool `{pool}`; set --current-version")]
    UnknownVersion {
        /// Name of the pool.
        pool: String,
    },
    /// The parameters of the step are invalid.
    #[display("{source}")]
    InvalidStep {
        /// Underlying error.
        source: MessageError,
    },
    /// The configuration cannot be fetched from the daemons.
    #[display("{source}")]
    ConfigurationUnavailable {
        /// Underlying error.
        source: ClientError,
    },
}

/// Result of `rollout`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct RolloutReport {
    /// Steps completed.
    pub steps_complete: u64,
    /// Samples requested by the steps.
    pub samples_asked: u64,
    /// Samples accepted.
    pub samples_delivered: u64,
    /// Samples discarded as duplicates.
    pub samples_repeated: u64,
    /// Samples discarded because part of them was made by weights older than the staleness bound.
    pub samples_too_old: u64,
    /// Samples discarded because their version spans do not cover every token.
    pub samples_unlabelled: u64,
    /// Samples discarded because the step has no sample with that index.
    pub samples_foreign: u64,
    /// Answers discarded because they belong to a pull that is no longer awaited.
    pub late_answers: u64,
    /// Answers that marked a step complete while samples were missing.
    pub wrongly_complete: u64,
    /// Pulls sent.
    pub pulls: u64,
    /// Tokens in the accepted samples.
    pub tokens: u64,
    /// Accepted samples that have a score.
    pub samples_scored: u64,
    /// Weight versions that made the accepted samples.
    pub versions_seen: BTreeSet<u64>,
    /// Instances named in the accepted samples.
    pub instances_seen: BTreeSet<String>,
    /// Endpoints named in the accepted samples.
    pub endpoints_seen: BTreeSet<String>,
    /// Duration of each step, in milliseconds.
    pub step_ms: Vec<u64>,
    /// Error that ended the run early.
    pub failure: Option<String>,
}

impl RolloutReport {
    /// Returns whether every requested sample was delivered and no answer was faulty.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let discarded = self.samples_repeated
            + self.samples_too_old
            + self.samples_unlabelled
            + self.samples_foreign;
        let all_delivered = self.samples_delivered == self.samples_asked;
        all_delivered && discarded == 0 && self.wrongly_complete == 0 && self.failure.is_none()
    }

    fn add_step(&mut self, run: &StepRun, duration: Duration) {
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

/// Runs the steps given by the arguments. `started_ms` is the start time in milliseconds since the
/// Unix epoch.
///
/// # Errors
///
/// Returns an error if a step cannot be started. A step that starts but does not complete ends the
/// run, and the report holds the error.
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
        let plan = step_plan(arguments, step, staleness_bound_versions);
        let mut run =
            StepRun::new(plan, next_pull).map_err(|source| RolloutError::InvalidStep { source })?;
        let started = timer.elapsed();
        let mut trainer = Trainer {
            service: &mut service,
            timer,
            deadline: Duration::from_millis(arguments.step_timeout_ms),
        };
        let result = trainer.run(&mut run, &mut |_| version);
        report.add_step(&run, timer.elapsed().saturating_sub(started));
        next_pull = run.next_pull_number();
        if let Err(error) = result {
            report.failure = Some(describe_failure(&error));
            break;
        }
    }
    Ok(report)
}

fn step_plan(arguments: &RolloutArguments, step: u64, staleness_bound_versions: u64) -> StepPlan {
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
        .map_err(|source| RolloutError::ConfigurationUnavailable { source })?;
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
    let version = FleetStatus::fetch(client).pool_version(&arguments.pool);
    version.ok_or_else(|| RolloutError::UnknownVersion {
        pool: arguments.pool.clone(),
    })
}

fn describe_failure(error: &TrainerError) -> String {
    match error {
        TrainerError::DeadlinePassed {
            last: Some(last), ..
        } => format!("{error}; last error: {last}"),
        other => other.to_string(),
    }
}
