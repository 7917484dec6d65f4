//! Runs one command and prints its result.

use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::json;
use wisteriaford_client::client::Client;
use wisteriaford_client::log::LogClient;
use wisteriaford_client::trainer::SystemTimer;
use wisteriaford_core::id::Revision;
use wisteriaford_proto::settings::Configuration;

use crate::arguments::Arguments;
use crate::arguments::Command;
use crate::arguments::CommonArguments;
use crate::arguments::OutputForm;
use crate::arguments::PublishArguments;
use crate::arguments::RolloutArguments;
use crate::arguments::ShowArguments;
use crate::arguments::Source;
use crate::configuration_file::CheckedFile;
use crate::exit::Exit;
use crate::exit::ToolError;
use crate::fleet::FleetShares;
use crate::fleet::FleetStatus;
use crate::history::History;
use crate::pages;
use crate::publish::Base;
use crate::publish::PublishRequest;
use crate::publish::Publisher;
use crate::publish::unique_id;
use crate::report::CheckReport;
use crate::report::ExplainReport;
use crate::report::PublishReport;
use crate::report::Report;
use crate::report::ShowReport;
use crate::rollout;

const LONGEST_READ_WAIT: Duration = Duration::from_secs(1);

/// Runs a command, prints what came of it and returns the exit code.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let output = arguments.common.output;
    match dispatch(arguments) {
        Ok(Some(report)) => match print(report.as_ref(), output) {
            Ok(()) => report.exit(),
            Err(error) => fail(&ToolError::Write(error), output),
        },
        Ok(None) => Exit::Done,
        Err(error) => fail(&error, output),
    }
}

fn dispatch(arguments: &Arguments) -> Result<Option<Box<dyn Report>>, ToolError> {
    let common = &arguments.common;
    let report: Box<dyn Report> = match &arguments.command {
        Command::Check(check) => {
            let checked = CheckedFile::open(&check.file)?;
            Box::new(CheckReport::new(&check.file, &checked))
        }
        Command::Publish(publish) => return self::publish(common, publish).map(Some),
        Command::Show(show) => Box::new(self::show(common, show)?),
        Command::Status => Box::new(FleetStatus::ask(&client(common)?)),
        Command::Shares => Box::new(FleetShares::ask(&client(common)?)),
        Command::Explain(explain) => {
            let answer = client(common)?.explain(&explain.request_id)?;
            Box::new(ExplainReport(answer))
        }
        Command::Rollout(rollout) => self::roll_out(common, rollout)?,
        Command::Pages(pages) => {
            pages::write(&pages.directory)?;
            return Ok(None);
        }
    };
    Ok(Some(report))
}

/// Publishes a file without faults; the faults of any other are the report.
fn publish(
    common: &CommonArguments,
    arguments: &PublishArguments,
) -> Result<Box<dyn Report>, ToolError> {
    let checked = CheckedFile::open(&arguments.file)?;
    if !checked.faults.is_empty() {
        return Ok(Box::new(CheckReport::new(&arguments.file, &checked)));
    }
    let base = match arguments.base {
        _ if arguments.restore => Base::Lost,
        Some(revision) => Base::Revision(Revision(revision)),
        None => Base::InForce,
    };
    let log = log(common)?;
    let mut timer = SystemTimer::default();
    let mut publisher = Publisher {
        log: &log,
        timer: &mut timer,
        deadline: Duration::from_millis(arguments.wait_ms),
        read_wait: read_wait(common),
    };
    let outcome = publisher.publish(PublishRequest {
        id: unique_id(),
        base,
        author: arguments.author.clone(),
        configuration: checked.configuration,
    })?;
    Ok(Box::new(PublishReport::from(outcome)))
}

fn show(common: &CommonArguments, arguments: &ShowArguments) -> Result<ShowReport, ToolError> {
    match arguments.source {
        Source::Log => show_from_log(common),
        Source::Daemons => show_from_daemons(common),
    }
}

fn show_from_log(common: &CommonArguments) -> Result<ShowReport, ToolError> {
    let log = log(common)?;
    let mut history = History::new(&log);
    history.catch_up(Duration::ZERO)?;
    let in_force = history.in_force().ok_or(ToolError::NothingInForce)?;
    Ok(ShowReport {
        revision: in_force.revision.0,
        publication_id: in_force.publication_id.to_string(),
        author: Some(in_force.publication.author.clone()),
        configuration: in_force
            .publication
            .configuration
            .clone()
            .unwrap_or_default(),
    })
}

/// Shows the highest revision of the daemons that answer.
fn show_from_daemons(common: &CommonArguments) -> Result<ShowReport, ToolError> {
    let client = client(common)?;
    let mut last = None;
    let mut highest: Option<ShowReport> = None;
    for &address in client.addresses() {
        match client.only(address).configuration::<Configuration>() {
            Ok(answer)
                if highest
                    .as_ref()
                    .is_none_or(|h| h.revision < answer.revision) =>
            {
                highest = Some(ShowReport {
                    revision: answer.revision,
                    publication_id: answer.publication_id,
                    author: None,
                    configuration: answer.configuration,
                });
            }
            Ok(_) => {}
            Err(error) => last = Some(error),
        }
    }
    match (highest, last) {
        (Some(report), _) if report.revision > 0 => Ok(report),
        (None, Some(error)) => Err(error.into()),
        _ => Err(ToolError::NothingInForce),
    }
}

fn roll_out(
    common: &CommonArguments,
    arguments: &RolloutArguments,
) -> Result<Box<dyn Report>, ToolError> {
    let client = client(common)?;
    let mut timer = SystemTimer::default();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let started_ms = since_epoch.unwrap_or_default().as_millis();
    let started_ms = u64::try_from(started_ms).unwrap_or(u64::MAX);
    let report = rollout::run(&client, &mut timer, arguments, started_ms)?;
    Ok(Box::new(report))
}

fn client(common: &CommonArguments) -> Result<Client, ToolError> {
    if common.daemons.is_empty() {
        return Err(ToolError::NoDaemon);
    }
    Ok(Client::new(common.daemons.clone(), common.timeout()))
}

fn log(common: &CommonArguments) -> Result<LogClient, ToolError> {
    let address = common.log_address.ok_or(ToolError::NoLogAddress)?;
    Ok(LogClient::new(address, common.timeout()))
}

/// Returns how long a read of the log waits, well within the silence that is allowed.
fn read_wait(common: &CommonArguments) -> Duration {
    LONGEST_READ_WAIT.min(common.timeout() / 2)
}

fn print(report: &dyn Report, output: OutputForm) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    match output {
        OutputForm::Text => write!(stdout, "{report}"),
        OutputForm::Json => writeln!(stdout, "{}", report.to_json()?),
    }
}

fn fail(error: &ToolError, output: OutputForm) -> Exit {
    match output {
        OutputForm::Text => eprintln!("wisteriaford: {error}"),
        OutputForm::Json => {
            let body = json!({"error": {"code": error.code(), "message": error.to_string()}});
            // Where even this cannot be written, the exit code is all that is left to tell.
            let _unwritten = writeln!(io::stdout(), "{body}");
        }
    }
    error.exit()
}
