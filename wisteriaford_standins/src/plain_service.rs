//! Plain HTTP service that counts its runs, which reveals calls that were wrongly run again.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use clap::Args;
use clap::value_parser;
use indexmap::IndexMap;
use serde_json::json;

use crate::connection::Connection;
use crate::error::RequestError;
use crate::error::Result;
use crate::faults::Faults;
use crate::request::Request;
use crate::server::Reply;
use crate::server::Service;

const MAX_COUNTED_KEYS: usize = 1_000_000;

/// Settings of the plain service.
#[derive(Args, Clone, Debug)]
pub struct PlainServiceSettings {
    /// Time in milliseconds that each call takes [range: 0 to 3600000]
    #[arg(long, default_value_t = 5, value_parser = value_parser!(u64).range(0..=3_600_000))]
    pub call_ms: u64,
    /// Maximum number of calls that run concurrently; more are refused [range: 1 to 100000]
    #[arg(long, default_value_t = 64, value_parser = value_parser!(u32).range(1..=100_000))]
    pub slots: u32,
    /// Size in bytes up to which a body is repeated in the answer [range: 0 to 1073741824]
    #[arg(long, default_value_t = 1 << 30, value_parser = value_parser!(u64).range(0..=1 << 30))]
    pub max_echo_bytes: u64,
}

#[derive(Debug, Default)]
struct Runs {
    total: u64,
    by_key: IndexMap<String, u64>,
    by_request: IndexMap<String, u64>,
    running: u32,
    incarnation: u64,
}

/// Plain HTTP service.
#[derive(Debug)]
pub(crate) struct PlainService {
    settings: PlainServiceSettings,
    faults: Arc<Faults>,
    runs: Mutex<Runs>,
}

impl PlainService {
    pub(crate) fn new(settings: PlainServiceSettings, faults: Arc<Faults>) -> Self {
        let runs = Runs {
            incarnation: new_incarnation(0),
            ..Runs::default()
        };
        Self {
            settings,
            faults,
            runs: Mutex::new(runs),
        }
    }

    fn call(&self, request: &Request, connection: &mut Connection) -> Result<Reply> {
        let run = self.begin_run(request)?;
        let finished = connection.sleep(Duration::from_millis(self.settings.call_ms));
        let mut runs = self.lock();
        runs.running = runs.running.saturating_sub(1);
        drop(runs);
        if !finished {
            let kind = std::io::ErrorKind::ConnectionAborted;
            return Err(RequestError::Connection(kind.into()));
        }
        let is_repeated = request.body.len() as u64 <= self.settings.max_echo_bytes;
        let echo = if is_repeated {
            String::from_utf8_lossy(&request.body)
        } else {
            "".into()
        };
        if self.faults.consume_truncated_answer() {
            let body = json!({"echo": echo, "run": run}).to_string();
            let sent = connection.send_truncated(&[], body.as_bytes());
            return sent.map(|()| Reply::Sent).map_err(RequestError::Connection);
        }
        Ok(Reply::ok(json!({"echo": echo, "run": run})))
    }

    fn begin_run(&self, request: &Request) -> Result<u64> {
        if self.faults.settings().leaving {
            return Err(RequestError::Leaving);
        }
        let mut runs = self.lock();
        if runs.running >= self.settings.slots {
            return Err(RequestError::Overloaded);
        }
        runs.running += 1;
        runs.total += 1;
        increment_count(&mut runs.by_key, request, "idempotency-key");
        increment_count(&mut runs.by_request, request, "wisteriaford-request-id");
        Ok(runs.total)
    }

    fn report_runs(&self) -> Reply {
        let runs = self.lock();
        Reply::ok(json!({
            "total": runs.total,
            "by_key": runs.by_key,
            "by_request": runs.by_request,
        }))
    }

    fn report_state(&self) -> Reply {
        let runs = self.lock();
        Reply::ok(json!({
            "incarnation": runs.incarnation,
            "version": 0,
            "loading_version": 0,
            "running": runs.running,
            "waiting": 0,
            "slots": self.settings.slots,
            "leaving": self.faults.settings().leaving,
            "age_ms": 0,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for PlainService {
    fn handle(&self, request: &Request, connection: &mut Connection) -> Result<Reply> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/call") => self.call(request, connection),
            ("GET", "/runs") => Ok(self.report_runs()),
            ("GET", "/state") => Ok(self.report_state()),
            _ => Err(RequestError::NotFound),
        }
    }

    fn restart(&self) {
        let mut runs = self.lock();
        runs.incarnation = new_incarnation(runs.incarnation);
    }
}

fn increment_count(counts: &mut IndexMap<String, u64>, request: &Request, header: &str) {
    let Some(value) = request.headers.get(header) else {
        return;
    };
    if let Some(count) = counts.get_mut(value) {
        *count += 1;
    } else if counts.len() < MAX_COUNTED_KEYS {
        counts.insert(value.clone(), 1);
    }
}

/// Returns an incarnation number above `previous`.
///
/// It is based on the system time, so that it also increases when the process is restarted.
pub(crate) fn new_incarnation(previous: u64) -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let micros = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
    micros.max(previous.saturating_add(1))
}
