//! Logging of JSON lines to standard output by a dedicated thread.
//!
//! Lines are dropped and counted while the queue is full, so that a stalled reader delays no
//! request. The count is logged once the queue has room again.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use compact_str::CompactString;
use compact_str::format_compact;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::TrySendError;
use crossbeam::channel::bounded;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers::LogWriter;
use log::Record;
use log::kv;
use log::kv::VisitSource;
use serde_json::Map;
use serde_json::Value;

use crate::clock;

/// Capacity of the queue in lines, about one second of output of a loaded daemon.
const QUEUE_LINES: usize = 8_192;

/// Error starting the logger.
#[derive(Debug, Display, Error, From)]
pub enum LoggerError {
    /// The logger rejected its configuration.
    #[display("logger: {_0}")]
    Logger(FlexiLoggerError),
    /// Failed to start the writer thread.
    #[display("logger thread: {_0}")]
    Thread(io::Error),
}

struct QueuedWriter {
    queue: Sender<Vec<u8>>,
    dropped: AtomicU64,
}

impl QueuedWriter {
    fn enqueue(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.queue.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn report_dropped(&self) {
        if self.dropped.load(Ordering::Relaxed) == 0 || self.queue.is_full() {
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let line = format!(
            "{{\"at_ms\":{},\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped}}}\n",
            clock::unix_ms()
        );
        self.enqueue(line.into_bytes());
    }
}

impl LogWriter for QueuedWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        self.report_dropped();
        let mut line = serde_json::to_vec(&Value::Object(fields(record)))?;
        line.push(b'\n');
        self.enqueue(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

fn fields(record: &Record<'_>) -> Map<String, Value> {
    let mut fields = Fields(Map::new());
    fields.put("at_ms", clock::unix_ms().into());
    fields.put("level", record.level().as_str().into());
    fields.put("message", record.args().to_string().into());
    if let Err(error) = record.key_values().visit(&mut fields) {
        fields.put("fields_error", error.to_string().into());
    }
    fields.0
}

struct Fields(Map<String, Value>);

impl Fields {
    fn put(&mut self, name: &str, value: Value) {
        self.0.insert(name.to_owned(), value);
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else if let Some(number) = value.to_f64() {
            // Rounded to two decimal places for readability.
            ((number * 100.0).round() / 100.0).into()
        } else {
            let text: CompactString = format_compact!("{value}");
            text.as_str().into()
        };
        self.put(key.as_str(), json);
        Ok(())
    }
}

/// Starts logging; lines of `level` and above are written.
///
/// # Errors
///
/// Fails if the level is invalid or the writer thread can't be started.
pub fn start(level: &str) -> Result<LoggerHandle, LoggerError> {
    let (queue, lines) = bounded(QUEUE_LINES);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines))?;
    let writer = QueuedWriter {
        queue,
        dropped: AtomicU64::new(0),
    };
    let directives = format!("off, wisteriaford_gateway={level}, wisteriaford_platform={level}");
    let specification = LogSpecification::parse(directives)?;
    let handle = Logger::with(specification)
        .log_to_writer(Box::new(writer))
        .start()?;
    Ok(handle)
}

/// Writes queued lines until the queue is closed.
fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(mut line) = lines.recv() {
        // All queued lines are written with one system call.
        while let Ok(next) = lines.try_recv() {
            line.extend_from_slice(&next);
        }
        if output
            .write_all(&line)
            .and_then(|()| output.flush())
            .is_err()
        {
            // Standard output is closed, so the error can't be reported anywhere.
            return;
        }
    }
}
