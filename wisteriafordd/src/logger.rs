//! Logging of JSON lines to standard error.

use std::io;
use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::LevelFilter;
use log::Record;
use serde::Serialize;
use serde_json::Value;
use wisteriaford_core::diagnostic::Diagnostic;

const DIAGNOSTIC_TARGET: &str = "wisteriaford::note";

/// One log line.
#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    level: &'a str,
    target: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<String>,
    #[serde(flatten)]
    diagnostic: Option<Value>,
}

/// Starts the logger, which writes lines until the handle is dropped.
pub(crate) fn start(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    let directives = format!("off, wisteriafordd={level}, wisteriaford={level}");
    let specification = flexi_logger::LogSpecification::parse(directives)?;
    Logger::with(specification)
        .format(write_line)
        .log_to_stderr()
        .start()
}

/// Logs a diagnostic of the core, with its fields at the top level of the log line.
pub(crate) fn log_diagnostic(diagnostic: &Diagnostic) {
    if let Ok(text) = serde_json::to_string(diagnostic) {
        log::info!(target: DIAGNOSTIC_TARGET, "{text}");
    }
}

fn write_line(writer: &mut dyn Write, _now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let text = record.args().to_string();
    let diagnostic = if record.target() == DIAGNOSTIC_TARGET {
        serde_json::from_str(&text).ok()
    } else {
        None
    };
    let line = Line {
        at_ms: unix_ms(),
        level: record.level().as_str(),
        target: record.target(),
        message: if diagnostic.is_some() {
            None
        } else {
            Some(text)
        },
        diagnostic,
    };
    serde_json::to_writer(writer, &line).map_err(io::Error::from)
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
