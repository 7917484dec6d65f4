//! Command dispatch and output.

use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::json;
use wisteriaford_client::client::Client;
use wisteriaford_client::client::ClientError;
use wisteriaford_client::log::LogClient;
use wisteriaford_client::trainer::SystemTimer;
use wisteriaford_core::id::Revision;
use wisteriaford_proto::settings::Configuration;

use crate::arguments::Arguments;
use crate::arguments::Command;
use crate::arguments::CommonArguments;
use crate::arguments::ExplainArguments;
use crate::arguments::OutputFormat;
use crate::arguments::PublishArguments;
use crate::arguments::RolloutArguments;
use crate::arguments::ShowArguments;
use crate::arguments::Source;
use crate::configuration_file::CheckedFile;
use crate::exit::ExitStatus;
use crate::exit::ToolError;
use crate::fleet::FleetShares;
use crate::fleet::FleetStatus;
use crate::log_reader::LogReader;
use crate::pages;
use crate::placement_report::JobPlacementReport;
use crate::placement_report::RequestPlacementReport;
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

/// Maximum time that a read of the log waits for new records.
const MAX_READ_WAIT: Duration = Duration::from_secs(1);

/// Runs a command, prints its result and returns the exit status.
#[must_use]
pub fn run(arguments: &Arguments) -> ExitStatus {
    let output = arguments.common.output;
    match dispatch(arguments) {
        Ok(Some(report)) => match print_report(report.as_ref(), output) {
            Ok(()) => report.exit_status(),
            Err(error) => report_error(&ToolError::Write(error), output),
        },
        Ok(None) => ExitStatus::Success,
        Err(error) => report_error(&error, output),
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
        Command::Status => Box::new(FleetStatus::fetch(&daemon_client(common)?)),
        Command::Shares => Box::new(FleetShares::fetch(&daemon_client(common)?)),
        Command::Explain(explain) => self::explain(common, explain)?,
        Command::Rollout(rollout) => self::run_rollout(common, rollout)?,
        Command::Pages(pages) => {
            pages::write(&pages.directory)?;
            return Ok(None);
        }
    };
    Ok(Some(report))
}

/// Publishes a configuration file. If the file has faults, nothing is published and the returned
/// report lists them.
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
    let log = log_client(common)?;
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
    let log = log_client(common)?;
    let mut log_reader = LogReader::new(&log);
    log_reader.catch_up(Duration::ZERO)?;
    let in_force = log_reader.in_force().ok_or(ToolError::NothingInForce)?;
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

/// Returns the configuration with the highest revision among the daemons that respond.
fn show_from_daemons(common: &CommonArguments) -> Result<ShowReport, ToolError> {
    let client = daemon_client(common)?;
    let mut last_error = None;
    let mut highest: Option<ShowReport> = None;
    for &address in client.addresses() {
        match client.for_daemon(address).configuration::<Configuration>() {
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
            Err(error) => last_error = Some(error),
        }
    }
    match (highest, last_error) {
        (Some(report), _) if report.revision > 0 => Ok(report),
        (None, Some(error)) => Err(error.into()),
        _ => Err(ToolError::NothingInForce),
    }
}

fn run_rollout(
    common: &CommonArguments,
    arguments: &RolloutArguments,
) -> Result<Box<dyn Report>, ToolError> {
    let client = daemon_client(common)?;
    let mut timer = SystemTimer::default();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let started_ms = since_epoch.unwrap_or_default().as_millis();
    let started_ms = u64::try_from(started_ms).unwrap_or(u64::MAX);
    let report = rollout::run(&client, &mut timer, arguments, started_ms)?;
    Ok(Box::new(report))
}

fn explain(
    common: &CommonArguments,
    arguments: &ExplainArguments,
) -> Result<Box<dyn Report>, ToolError> {
    let client = daemon_client(common)?;
    let subject = &arguments.subject;
    if let Some(target) = &subject.request {
        let (organisation, id) = (arguments.organisation.as_deref(), arguments.id.as_deref());
        let placement = client.request_placement(&target.host, &target.path, organisation, id);
        return Ok(Box::new(RequestPlacementReport(
            placement.map_err(placement_error)?,
        )));
    }
    if let Some(job) = &subject.job {
        let placement = client.job_placement(job).map_err(placement_error)?;
        return Ok(Box::new(JobPlacementReport(placement)));
    }
    let answer = client.explain(subject.request_id.as_deref().unwrap_or_default())?;
    Ok(Box::new(ExplainReport(answer)))
}

/// Returns the error for a daemon that doesn't know questions about placement.
fn placement_error(error: ClientError) -> ToolError {
    match error {
        ClientError::BadAnswer { address, .. } => ToolError::NoPlacement { address },
        error => error.into(),
    }
}

fn daemon_client(common: &CommonArguments) -> Result<Client, ToolError> {
    if common.daemons.is_empty() {
        return Err(ToolError::NoDaemon);
    }
    Ok(Client::new(common.daemons.clone(), common.timeout()))
}

fn log_client(common: &CommonArguments) -> Result<LogClient, ToolError> {
    let address = common.log_address.ok_or(ToolError::NoLogAddress)?;
    Ok(LogClient::new(address, common.timeout()))
}

/// Returns how long a read of the log waits for new records. Half the connection timeout leaves
/// time for the response.
fn read_wait(common: &CommonArguments) -> Duration {
    MAX_READ_WAIT.min(common.timeout() / 2)
}

fn print_report(report: &dyn Report, output: OutputFormat) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    match output {
        OutputFormat::Text => write!(stdout, "{report}"),
        OutputFormat::Json => writeln!(stdout, "{}", report.to_json()?),
    }
}

fn report_error(error: &ToolError, output: OutputFormat) -> ExitStatus {
    match output {
        OutputFormat::Text => eprintln!("wisteriaford: {error}"),
        OutputFormat::Json => {
            let body = json!({"error": {"code": error.code(), "message": error.to_string()}});
            // If stdout is not writable either, only the exit code can report the error.
            let _write_error = writeln!(io::stdout(), "{body}");
        }
    }
    error.exit_status()
}
