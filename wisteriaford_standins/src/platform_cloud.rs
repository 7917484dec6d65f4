//! Stand-in for the platform's API that takes usage reports and orders of engines.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use clap::Args;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::connection::Connection;
use crate::error::RequestError;
use crate::error::Result;
use crate::request::Request;
use crate::server::Reply;
use crate::server::Service;

/// Interval at which a call that gets no answer checks whether its connection was closed.
const CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Settings of the API.
#[derive(Args, Clone, Copy, Debug)]
pub struct PlatformCloudSettings {
    /// Refuse calls with a fencing token below one already seen
    #[arg(long)]
    pub fencing: bool,
    /// Calls per second that are taken from all instances together
    #[arg(long, default_value_t = 50)]
    pub duty_per_s: usize,
}

/// Behaviour that tests change while the stand-in runs, by `POST /standin/behaviour`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct CloudBehaviour {
    /// Number of upcoming calls that get no answer and are executed later.
    pub late_calls: u64,
    /// Time until those are executed, in milliseconds.
    pub late_ms: u64,
    /// Number of upcoming calls that are answered 429.
    pub limited_calls: u64,
    /// Number of upcoming calls that are answered 409.
    pub conflicting_calls: u64,
    /// Number of upcoming calls that are answered 503 and not executed.
    pub failing_calls: u64,
    /// Whether no spot engines are available.
    pub is_without_spot: bool,
}

/// Call as it was executed or refused.
#[derive(Clone, Debug, Serialize)]
struct CloudCall {
    /// Time since the start of the stand-in at which the call arrived.
    at_ms: u64,
    /// Position of its execution among all calls; absent until it is executed.
    executed: Option<usize>,
    path: String,
    holder: String,
    token: u64,
    body: Value,
    /// Status that it was or would have been answered with.
    status: u16,
}

#[derive(Debug, Default)]
struct CloudState {
    behaviour: CloudBehaviour,
    calls: Vec<CloudCall>,
    executions: usize,
    /// Highest token seen, by subject.
    tokens: IndexMap<String, u64>,
    recent: Vec<Instant>,
}

/// API for duties.
#[derive(Debug)]
pub(crate) struct PlatformCloud {
    settings: PlatformCloudSettings,
    started: Instant,
    state: Arc<Mutex<CloudState>>,
}

fn lock(state: &Mutex<CloudState>) -> MutexGuard<'_, CloudState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl CloudState {
    /// Executes a call that arrived, and returns its status.
    fn execute(&mut self, number: usize, has_fencing: bool) -> u16 {
        let call = &self.calls[number];
        let subject = match call.path.as_str() {
            "/usage" => "usage".to_owned(),
            _ => format!("{}/{}", call.body["service"], call.body["zone"]),
        };
        let highest = self.tokens.entry(subject).or_default();
        let is_without = self.behaviour.is_without_spot && call.body["spot"] == json!(true);
        let status = if has_fencing && call.token < *highest || is_without {
            409
        } else {
            200
        };
        *highest = call.token.max(*highest);
        let position = self.executions;
        self.executions += 1;
        let call = &mut self.calls[number];
        call.status = status;
        call.executed = Some(position);
        status
    }

    /// Returns whether one more call is within the limit.
    fn take_permit(&mut self, per_s: usize) -> bool {
        let now = Instant::now();
        self.recent
            .retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        self.recent.push(now);
        self.recent.len() <= per_s
    }
}

fn consume(count: &mut u64) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}

impl PlatformCloud {
    pub(crate) fn new(settings: PlatformCloudSettings) -> Self {
        Self {
            settings,
            started: Instant::now(),
            state: Arc::default(),
        }
    }

    fn take(&self, request: &Request, connection: &Connection) -> Result<Reply> {
        let header = |name: &str| request.headers.get(name).cloned();
        let invalid = |name| RequestError::Parameter { name };
        let holder = header("x-duty-holder").ok_or(invalid("X-Duty-Holder"))?;
        let token = header("x-fencing-token").and_then(|text| text.parse().ok());
        let token = token.ok_or(invalid("X-Fencing-Token"))?;
        let body: Value = request.json()?;
        let at_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut state = lock(&self.state);
        let is_within_limit = state.take_permit(self.settings.duty_per_s);
        let number = state.calls.len();
        state.calls.push(CloudCall {
            at_ms,
            executed: None,
            path: request.path.clone(),
            holder,
            token,
            body,
            status: 0,
        });
        let refusal = if !is_within_limit || consume(&mut state.behaviour.limited_calls) {
            429
        } else if consume(&mut state.behaviour.conflicting_calls) {
            409
        } else if consume(&mut state.behaviour.failing_calls) {
            503
        } else {
            0
        };
        if refusal != 0 {
            state.calls[number].status = refusal;
            return Ok(Reply::Json(refusal, json!({})));
        }
        if consume(&mut state.behaviour.late_calls) {
            let late = Duration::from_millis(state.behaviour.late_ms);
            drop(state);
            self.execute_later(number, late);
            while connection.sleep(CLOSED_CHECK_INTERVAL) && !connection.is_closed() {}
            return Ok(Reply::Sent);
        }
        let status = state.execute(number, self.settings.fencing);
        Ok(Reply::Json(status, json!({})))
    }

    fn execute_later(&self, number: usize, delay: Duration) {
        let state = Arc::clone(&self.state);
        let has_fencing = self.settings.fencing;
        thread::spawn(move || {
            thread::sleep(delay);
            lock(&state).execute(number, has_fencing);
        });
    }

    fn change_behaviour(&self, request: &Request) -> Result<Reply> {
        lock(&self.state).behaviour = request.json()?;
        Ok(Reply::ok(json!({})))
    }
}

impl Service for PlatformCloud {
    fn handle(&self, request: &Request, connection: &mut Connection) -> Result<Reply> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/usage" | "/scale") => self.take(request, connection),
            ("POST", "/standin/behaviour") => self.change_behaviour(request),
            ("GET", "/standin/calls") => Ok(Reply::ok(json!(lock(&self.state).calls))),
            _ => Err(RequestError::NotFound),
        }
    }
}
