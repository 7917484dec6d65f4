//! End-to-end run as separate processes: every kind of request, new weights, and a graceful
//! shutdown.

pub mod interactive;
pub mod shutdown;
pub mod summary;
pub mod training;

use std::process::ExitCode;
use std::time::Instant;

use clap::Args;

use crate::processes::Fleet;
use crate::processes::FleetOptions;
use crate::processes::ProcessError;
use crate::processes::Result;
use crate::processes::fleet::MAX_WAIT;
use crate::processes::wait_until;
use crate::quickstart::interactive::InteractiveCaller;
use crate::quickstart::interactive::Tally;
use crate::quickstart::shutdown::Shutdown;
use crate::quickstart::summary::Summary;
use crate::quickstart::training::StepSize;
use crate::quickstart::training::Training;

const FIRST_REVISION: u64 = 1;
const INTERACTIVE_CALLERS: usize = 3;
const FIRST_VERSION: u64 = 1;
const ANNOUNCEMENTS: u64 = 2;

/// Command-line arguments of a run.
#[derive(Args, Clone, Debug)]
pub struct Settings {
    /// Number of daemons
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(3..=20))]
    daemons: u16,
    /// Number of steps at each version of the weights
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=100))]
    steps: u16,
    /// Number of groups per step
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=256))]
    groups: u32,
    /// Number of samples per group
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=32))]
    group_size: u32,
    /// Maximum number of tokens per sample
    #[arg(long, default_value_t = 256, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    max_tokens: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            daemons: 3,
            steps: 2,
            groups: 8,
            group_size: 4,
            max_tokens: 256,
        }
    }
}

impl Settings {
    /// Returns the settings of the smallest run that covers everything.
    #[must_use]
    pub fn small() -> Self {
        Self {
            steps: 1,
            groups: 4,
            group_size: 2,
            max_tokens: 128,
            ..Self::default()
        }
    }

    const fn step_size(&self) -> StepSize {
        StepSize {
            groups: self.groups,
            group_size: self.group_size,
            max_tokens: self.max_tokens,
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Counts and times of the run.
    pub summary: Summary,
    /// Violated guarantees, one sentence each.
    pub violations: Vec<String>,
}

/// Runs, prints the violations and the summary, and succeeds if every guarantee held.
#[must_use]
pub fn main(settings: &Settings) -> ExitCode {
    let outcome = match run(settings) {
        Ok(outcome) => outcome,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    for violation in &outcome.violations {
        eprintln!("violation: {violation}");
    }
    match serde_json::to_string(&outcome.summary) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("error: {error}"),
    }
    if outcome.violations.is_empty() {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

/// Runs the end-to-end scenario.
///
/// # Errors
///
/// Fails if a process does not start, or a state of the fleet is not reached in time.
pub fn run(settings: &Settings) -> Result<Outcome> {
    log_progress("starting the platform, the endpoints and the daemons");
    let options = FleetOptions {
        daemons: usize::from(settings.daemons),
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(&options)?;
    let configuration_in_force_ms = publish(&fleet)?;
    fleet.wait_until_ready(FIRST_REVISION)?;
    let mut training = Training::default();
    let callers = start_callers(&fleet, "interactive");
    train_through_swaps(&fleet, settings, &mut training)?;
    let interactive = stop_callers(callers);
    let callers = start_callers(&fleet, "late");
    let mut shutdown = shut_down_under_load(&mut fleet, settings, &mut training)?;
    shutdown.in_progress.add(stop_callers(callers));
    Ok(build_outcome(
        configuration_in_force_ms,
        &training,
        interactive,
        shutdown,
    ))
}

/// Publishes the configuration and returns the time until it is in force on every daemon, in
/// milliseconds.
fn publish(fleet: &Fleet) -> Result<u64> {
    log_progress("publishing the configuration");
    let started = Instant::now();
    let output = fleet.publish(&fleet.configuration(), &["--author", "quickstart"])?;
    if output.exit_code != Some(0) {
        return Err(ProcessError::NotStarted {
            name: "wisteriaford publish".to_owned(),
            output: output.text,
        });
    }
    wait_until("configuration in force", MAX_WAIT, || {
        let mut daemons = fleet.daemons.iter();
        daemons.all(|daemon| daemon.revision() >= FIRST_REVISION)
    })?;
    Ok(u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX))
}

fn start_callers(fleet: &Fleet, name: &str) -> Vec<InteractiveCaller> {
    log_progress("starting the interactive callers");
    (0..INTERACTIVE_CALLERS)
        .map(|index| InteractiveCaller::start(&format!("{name}-{index}"), fleet.client(index)))
        .collect()
}

fn stop_callers(callers: Vec<InteractiveCaller>) -> Tally {
    let mut tally = Tally::default();
    for caller in callers {
        tally.add(caller.stop());
    }
    tally
}

/// Runs steps at each version of the weights; successive steps prefer different daemons.
fn train_through_swaps(fleet: &Fleet, settings: &Settings, training: &mut Training) -> Result<()> {
    let all: Vec<usize> = (0..fleet.daemons.len()).collect();
    let steps = u64::from(settings.steps);
    for version in FIRST_VERSION..=FIRST_VERSION + ANNOUNCEMENTS {
        if version > FIRST_VERSION {
            log_progress(&format!("announcing version {version} of the weights"));
            fleet.announce_weights(version)?;
            fleet.wait_for_weights(version, &all)?;
        }
        for step in (version - FIRST_VERSION) * steps..(version - FIRST_VERSION + 1) * steps {
            log_progress(&format!("running step {step} at version {version}"));
            let client = fleet.client(usize::try_from(step).unwrap_or(0));
            training.run_step(&client, step, settings.step_size(), version);
        }
    }
    Ok(())
}

/// Shuts the last daemon down while it serves requests, and runs a step at the same time.
fn shut_down_under_load(
    fleet: &mut Fleet,
    settings: &Settings,
    training: &mut Training,
) -> Result<Shutdown> {
    log_progress("shutting down a daemon under load");
    let last = fleet.daemons.len() - 1;
    let step = u64::from(settings.steps) * (ANNOUNCEMENTS + 1);
    let client = fleet.client(last);
    let size = settings.step_size();
    let version = FIRST_VERSION + ANNOUNCEMENTS;
    let daemon = &mut fleet.daemons[last];
    std::thread::scope(|scope| {
        scope.spawn(|| training.run_step(&client, step, size, version));
        shutdown::terminate_under_load(daemon)
    })
}

fn build_outcome(
    configuration_in_force_ms: u64,
    training: &Training,
    mut interactive: Tally,
    shutdown: Shutdown,
) -> Outcome {
    let counts = &training.counts;
    let lost_at_shutdown = shutdown.in_progress.sent - shutdown.in_progress.correct;
    let mut failures = training.failures.clone();
    if shutdown.exit_code != Some(0) {
        let code = shutdown.exit_code;
        failures.push(format!("the daemon exited with code {code:?}"));
    }
    interactive.add(shutdown.in_progress);
    failures.append(&mut interactive.failures);
    let summary = Summary {
        samples_asked: counts.asked,
        samples_delivered: counts.delivered,
        samples_repeated: counts.repeated,
        samples_too_old: counts.too_old,
        samples_unlabelled: counts.unlabelled,
        interactive_asked: interactive.sent,
        interactive_complete: interactive.correct,
        configuration_in_force_ms,
        lost_at_shutdown,
        versions_seen: training.versions_seen.clone(),
    };
    let announced: Vec<u64> = (FIRST_VERSION..=FIRST_VERSION + ANNOUNCEMENTS).collect();
    let mut violations = summary.violations(&announced);
    violations.extend(failures);
    Outcome {
        summary,
        violations,
    }
}

fn log_progress(text: &str) {
    eprintln!("quickstart: {text}");
}
