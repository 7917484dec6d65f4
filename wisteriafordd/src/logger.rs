//! JSON lines on standard error.

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
use wisteriaford_core::note::Note;

const NOTE_TARGET: &str = "wisteriaford::note";

/// One line of the log.
#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    level: &'a str,
    target: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<String>,
    #[serde(flatten)]
    note: Option<Value>,
}

/// Starts logging; lines are written until the handle is dropped.
pub(crate) fn start(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    let directives = format!("off, wisteriafordd={level}, wisteriaford={level}");
    let specification = flexi_logger::LogSpecification::parse(directives)?;
    Logger::with(specification)
        .format(write_line)
        .log_to_stderr()
        .start()
}

/// Logs a note of the core as a line of its own fields.
pub(crate) fn log_note(note: &Note) {
    if let Ok(text) = serde_json::to_string(note) {
        log::info!(target: NOTE_TARGET, "{text}");
    }
}

fn write_line(writer: &mut dyn Write, _now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let text = record.args().to_string();
    let note = if record.target() == NOTE_TARGET {
        serde_json::from_str(&text).ok()
    } else {
        None
    };
    let line = Line {
        at_ms: unix_time_ms(),
        level: record.level().as_str(),
        target: record.target(),
        message: if note.is_some() { None } else { Some(text) },
        note,
    };
    serde_json::to_writer(writer, &line).map_err(io::Error::from)
}

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
