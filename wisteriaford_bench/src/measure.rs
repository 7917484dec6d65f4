//! Policy under load and faults: both users' sizes in virtual time, the core against a naive
//! version in front of the same fake engines.

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

/// Runs at once.
const THREADS: usize = 4;
/// Minutes of the short mode.
const SHORT_MINUTES: u64 = 3;

/// What is measured.
#[derive(Args, Clone, Debug)]
pub struct Settings {
    /// Case to run; all if none is named
    #[arg(long = "case", value_enum, env = "WISTERIAFORD_MEASURE_CASE")]
    pub cases: Vec<Case>,
    /// User whose size is run; both if none is named
    #[arg(long = "user", value_enum, env = "WISTERIAFORD_MEASURE_USER")]
    pub users: Vec<User>,
    /// Seed of arrivals and of the instances
    #[arg(long, default_value_t = 1, env = "WISTERIAFORD_MEASURE_SEED")]
    pub seed: u64,
    /// Virtual minutes of each run
    #[arg(long, default_value_t = 12, env = "WISTERIAFORD_MEASURE_MINUTES")]
    pub minutes: u64,
    /// Run three minutes of the Office alone, without and with all faults
    #[arg(long, env = "WISTERIAFORD_MEASURE_SHORT")]
    pub short: bool,
}

/// Figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// User.
    pub user: User,
    /// Case.
    pub case: Case,
    /// What decides.
    pub decider: Decider,
    /// Seed.
    pub seed: u64,
    /// Virtual minutes.
    pub minutes: u64,
    /// Figures.
    #[serde(flatten)]
    pub figures: Figures,
}

/// Runs what the settings name and prints a table and a line of JSON.
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
            eprintln!("cannot print the figures: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs what the settings name, several at once, and returns the figures in order.
#[must_use]
pub fn measure(settings: &Settings) -> Vec<Row> {
    let scenarios = scenarios(settings);
    let mut rows: Vec<(usize, Row)> = thread::scope(|scope| {
        let worker = |worker: usize| {
            let own = scenarios.iter().enumerate().skip(worker).step_by(THREADS);
            own.map(|(place, scenario)| (place, row(scenario)))
                .collect::<Vec<_>>()
        };
        let workers: Vec<_> = (0..THREADS)
            .map(|index| scope.spawn(move || worker(index)))
            .collect();
        let results = workers.into_iter().map(thread::ScopedJoinHandle::join);
        results.flatten().flatten().collect()
    });
    rows.sort_by_key(|(place, _)| *place);
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

fn row(scenario: &Scenario) -> Row {
    Row {
        user: scenario.user,
        case: scenario.case,
        decider: scenario.decider,
        seed: scenario.seed,
        minutes: scenario.length.as_secs() / 60,
        figures: scenario.run(),
    }
}
