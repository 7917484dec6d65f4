//! Scenarios of the review's scripts: `review_support CASE RECORD DIRECTORY`, with `TROUBLE=0` without the
//! disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod engine;
mod fleet;
mod http;
mod json;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::Verdict;

/// Time after which a script ends by itself.
const TIME_LIMIT: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, directory] = &arguments[..] else {
        eprintln!("usage: review_support CASE RECORD DIRECTORY");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("out of time");
        // The script that started this process ends the daemons.
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut fleet = match Fleet::new(PathBuf::from(directory), PathBuf::from(record)) {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    fleet.note(&format!("case {case}, disruption: {has_trouble}"));
    let outcome = cases::run(case, &mut fleet, has_trouble);
    fleet.stop();
    let verdict = outcome.unwrap_or_else(|error| {
        fleet.note(&format!("the case couldn't run: {error}"));
        Verdict::CannotRun
    });
    fleet.note_engines();
    fleet.note(&format!("verdict: {verdict:?}"));
    println!("case {case}, disruption {has_trouble}: {verdict:?}");
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CannotRun => 2,
    })
}
