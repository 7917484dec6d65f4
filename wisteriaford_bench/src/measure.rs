//! Simulation of the scheduling policy under load and faults, in virtual time, at the sizes of both
//! users. Compares the core with a naive implementation in front of the same fake engines.

mod callers;
mod faults;
pub mod figures;
mod naive;
mod run;
pub mod scenario;
mod shares;
mod table;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use clap::Args;
use serde::Serialize;

use self::figures::Figures;
use self::scenario::Case;
use self::scenario::Decider;
use self::scenario::Scenario;
use self::scenario::User;

/// Number of scenarios that run at the same time.
const THREADS: usize = 4;
/// Virtual minutes of a run in short mode.
const SHORT_MINUTES: u64 = 3;

/// Command-line arguments of the measurement.
#[derive(Args, Clone, Debug)]
pub struct Settings {
    /// Case to run; all by default
    #[arg(long = "case", value_enum, env = "WISTERIAFORD_MEASURE_CASE")]
    pub cases: Vec<Case>,
    /// User whose fleet size is simulated; both by default
    #[arg(long = "user", value_enum, env = "WISTERIAFORD_MEASURE_USER")]
    pub users: Vec<User>,
    /// Seed of the arrivals and of the instances
    #[arg(long, default_value_t = 1, env = "WISTERIAFORD_MEASURE_SEED")]
    pub seed: u64,
    /// Virtual minutes per run
    #[arg(long, default_value_t = 12, env = "WISTERIAFORD_MEASURE_MINUTES")]
    pub minutes: u64,
    /// Run three minutes of the Office only, without faults and with all of them
    #[arg(long, env = "WISTERIAFORD_MEASURE_SHORT")]
    pub short: bool,
}

/// Results of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// User whose fleet size was simulated.
    pub user: User,
    /// Faults and load.
    pub case: Case,
    /// Implementation of the instances.
    pub decider: Decider,
    /// Seed of the arrivals and of the instances.
    pub seed: u64,
    /// Virtual minutes of the run.
    pub minutes: u64,
    /// Measured values.
    #[serde(flatten)]
    pub figures: Figures,
}

/// Runs the selected scenarios and prints a table and a line of JSON.
#[must_use]
pub fn main(settings: &Settings) -> ExitCode {
    let rows = measure(settings);
    print!("{}", table::table(&rows));
    match serde_json::to_string(&rows) {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("cannot serialize the results: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the selected scenarios on several threads and returns their results in order.
#[must_use]
pub fn measure(settings: &Settings) -> Vec<Row> {
    let scenarios = scenarios(settings);
    let mut rows: Vec<(usize, Row)> = thread::scope(|scope| {
        let worker = |worker: usize| {
            let assigned = scenarios.iter().enumerate().skip(worker).step_by(THREADS);
            assigned
                .map(|(index, scenario)| (index, run_scenario(scenario)))
                .collect::<Vec<_>>()
        };
        let workers: Vec<_> = (0..THREADS)
            .map(|index| scope.spawn(move || worker(index)))
            .collect();
        let results = workers.into_iter().map(thread::ScopedJoinHandle::join);
        results.flatten().flatten().collect()
    });
    rows.sort_by_key(|(index, _)| *index);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn scenarios(settings: &Settings) -> Vec<Scenario> {
    let minutes = if settings.short {
        SHORT_MINUTES
    } else {
        settings.minutes
    };
    let mut cases = settings.cases.clone();
    let mut users = settings.users.clone();
    if cases.is_empty() && settings.short {
        cases = vec![Case::NoFault, Case::AllAtOnce];
    } else if cases.is_empty() {
        cases = Case::ALL.to_vec();
    }
    if users.is_empty() && settings.short {
        users = vec![User::Office];
    } else if users.is_empty() {
        users = User::ALL.to_vec();
    }
    let mut scenarios = Vec::new();
    for user in users {
        let mut add = |case, decider| {
            scenarios.push(Scenario {
                user,
                case,
                decider,
                seed: settings.seed,
                length: Duration::from_secs(60 * minutes),
            });
        };
        add(Case::Idle, Decider::Design);
        for &case in cases.iter().filter(|case| **case != Case::Idle) {
            add(case, Decider::Design);
            add(case, Decider::Naive);
        }
    }
    scenarios
}

fn run_scenario(scenario: &Scenario) -> Row {
    Row {
        user: scenario.user,
        case: scenario.case,
        decider: scenario.decider,
        seed: scenario.seed,
        minutes: scenario.length.as_secs() / 60,
        figures: scenario.run(),
    }
}
