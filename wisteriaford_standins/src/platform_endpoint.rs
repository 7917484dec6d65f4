//! Stand-in for an endpoint on the users' platform, both a model engine and a plain service.

use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use clap::Args;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::connection::Connection;
use crate::error::RequestError;
use crate::error::Result;
use crate::faults::Faults;
use crate::request::Request;
use crate::server::Reply;
use crate::server::Service;
use crate::server::contains_marker;

/// Order in which the endpoints of this process begin and complete runs.
static NEXT_SEQUENCE: AtomicU64 = AtomicU64::new(1);
/// Start of the clock that the endpoints of this process share.
static CLOCK_START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Number of events that a stream sends before it stalls.
const EVENTS_BEFORE_STALL: u64 = 8;
/// Interval at which a stalled stream checks whether its connection was closed.
const CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the signature sent with every answer to a request that the endpoint processed.
fn signature(request: &str) -> String {
    format!("standin.{request}")
}

/// Settings of the endpoint.
#[derive(Args, Clone, Debug)]
pub struct PlatformEndpointSettings {
    /// Name of the endpoint
    #[arg(long, default_value = "endpoint-1")]
    pub id: String,
    /// Maximum number of requests processed concurrently
    #[arg(long, default_value_t = 12)]
    pub slots: usize,
    /// Time in milliseconds before each event of a stream, and before the answer to a call
    #[arg(long, default_value_t = 10)]
    pub event_ms: u64,
    /// Number of events in a stream
    #[arg(long, default_value_t = 12)]
    pub events: u64,
    /// Time in milliseconds that a change of the weights takes
    #[arg(long, default_value_t = 200)]
    pub load_ms: u64,
    /// Version of the software, which the events of streams end with; empty for none
    #[arg(long, default_value = "")]
    pub software: String,
    /// Bytes that the data of each event is extended by
    #[arg(long, default_value_t = 0)]
    pub event_padding_bytes: usize,
    /// Bytes that the answer to each call is extended by
    #[arg(long, default_value_t = 0)]
    pub answer_padding_bytes: usize,
}

/// Runs of one request.
#[derive(Clone, Debug, Default)]
struct RunCounts {
    starts: u64,
    running: usize,
    /// Position of the first start among the events of all endpoints of this process.
    first_begun: u64,
    /// Position of the last event of the first complete stream; 0 if there is none.
    first_completed: u64,
    /// Time of the last start since [`CLOCK_START`].
    begun_at: Duration,
    /// Time at which a fault stalled the stream, right after an event, since [`CLOCK_START`].
    stalled_at: Option<Duration>,
}

#[derive(Debug)]
struct EndpointState {
    version: u64,
    loading: Option<(u64, Instant)>,
    accepted_orders: u64,
    highest_fence: u64,
    running: usize,
    runs: IndexMap<String, RunCounts>,
    /// Requests of all kinds, in the order of their arrival.
    arrivals: Vec<Arrival>,
}

/// Request as the endpoint saw it.
#[derive(Clone, Debug, Serialize)]
struct Arrival {
    /// Time since the start of the endpoint.
    at_ms: u64,
    path: String,
    /// Id of the request; empty for inspections and orders.
    id: String,
    /// Header fields, with names in lower case.
    headers: IndexMap<String, String>,
}

impl EndpointState {
    /// Switches to the version being loaded once its load time is over.
    fn finish_load(&mut self) {
        if let Some((version, load_ends_at)) = self.loading
            && Instant::now() >= load_ends_at
        {
            self.version = version;
            self.loading = None;
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Order {
    version: u64,
    fencing_token: u64,
    expected: Option<u64>,
}

/// Endpoint that is both a model engine and a plain service.
#[derive(Debug)]
pub(crate) struct PlatformEndpoint {
    settings: PlatformEndpointSettings,
    faults: Arc<Faults>,
    started: Instant,
    state: Mutex<EndpointState>,
}

impl PlatformEndpoint {
    pub(crate) fn new(settings: PlatformEndpointSettings, faults: Arc<Faults>) -> Self {
        Self {
            settings,
            faults,
            started: Instant::now(),
            state: Mutex::new(EndpointState {
                version: 1,
                loading: None,
                accepted_orders: 0,
                highest_fence: 0,
                running: 0,
                runs: IndexMap::new(),
                arrivals: Vec::new(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, EndpointState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.finish_load();
        state
    }

    fn report(&self, connection: &mut Connection) -> Result<Reply> {
        let state = self.state();
        let report = json!({
            "stage": "both",
            "models": [{"name": "m", "version": state.version, "adapters": []}],
            "busy": state.loading.is_some(),
            "sequence": state.accepted_orders,
            "waiting": 0,
            "running": state.running,
        });
        drop(state);
        let limit = self.limit_text();
        let headers = self.with_announcements(vec![("Content-Type", "application/json")], &limit);
        connection.send_bytes(200, &headers, report.to_string().as_bytes())?;
        Ok(Reply::Sent)
    }

    fn order(&self, request: &Request) -> Result<Reply> {
        let order: Order = request.json()?;
        let mut state = self.state();
        if order.fencing_token < state.highest_fence {
            return Ok(Reply::Json(412, json!({})));
        }
        state.highest_fence = order.fencing_token;
        if state.loading.is_some()
            || order
                .expected
                .is_some_and(|expected| expected != state.accepted_orders)
        {
            return Ok(Reply::Json(409, json!({})));
        }
        if state.version == order.version {
            return Ok(Reply::ok(json!({})));
        }
        state.accepted_orders += 1;
        let load_ends_at = Instant::now() + Duration::from_millis(self.settings.load_ms);
        state.loading = Some((order.version, load_ends_at));
        Ok(Reply::Json(202, json!({})))
    }

    /// Returns, for each request, the number of runs started here and of those in progress.
    fn runs(&self) -> Reply {
        let state = self.state();
        let runs = state.runs.iter().map(|(id, run)| {
            let run = json!({
                "starts": run.starts, "running": run.running,
                "first_begun": run.first_begun, "first_completed": run.first_completed,
                "begun_at_ms": run.begun_at.as_secs_f64() * 1e3,
                "stalled_at_ms": run.stalled_at.map(|at| at.as_secs_f64() * 1e3),
            });
            (id.clone(), run)
        });
        Reply::ok(runs.collect())
    }

    fn process(&self, request: &Request, connection: &mut Connection) -> Result<Reply> {
        let id = request.headers.get("x-request-id").cloned();
        let id = id.unwrap_or_default();
        if !self.try_begin(&id) {
            let limit = self.limit_text();
            let headers = self.with_announcements(vec![("X-Not-Run", "1")], &limit);
            connection.send_bytes(503, &headers, b"")?;
            return Ok(Reply::Sent);
        }
        let sent = if request.headers.contains_key("x-model") {
            self.stream_events(request, &id, connection)
        } else {
            self.send_answer(request, &id, connection)
        };
        let mut state = self.state();
        state.running -= 1;
        if let Some(run) = state.runs.get_mut(&id) {
            run.running -= 1;
        }
        drop(state);
        sent?;
        Ok(Reply::Sent)
    }

    /// Returns the limit to announce, in requests per second; empty for none.
    fn limit_text(&self) -> String {
        let milli = self.faults.settings().request_limit_milli;
        if milli == 0 {
            return String::new();
        }
        format!("{}.{:03}", milli / 1_000, milli % 1_000)
    }

    /// Returns a version as it is sent.
    fn version_text(&self, version: u64) -> String {
        let wrong = if self.faults.consume_garbled_version() {
            "X"
        } else {
            ""
        };
        format!("{version}{wrong}")
    }

    /// Returns all requests that arrived, and the time of the endpoint's clock.
    fn arrivals(&self) -> Reply {
        let arrivals = &self.state().arrivals;
        Reply::ok(json!({"now_ms": self.elapsed_ms(), "arrivals": arrivals}))
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records the arrival of a request.
    fn record_arrival(&self, request: &Request) {
        let at_ms = self.elapsed_ms();
        let id = request.headers.get("x-request-id").cloned();
        let arrival = Arrival {
            at_ms,
            path: request.path.clone(),
            id: id.unwrap_or_default(),
            headers: request.headers.clone(),
        };
        self.state().arrivals.push(arrival);
    }

    /// Adds what the endpoint announces about itself to the header fields of an answer.
    fn with_announcements<'a>(
        &self,
        mut headers: Vec<(&'a str, &'a str)>,
        limit: &'a str,
    ) -> Vec<(&'a str, &'a str)> {
        if !limit.is_empty() {
            headers.push(("Server-Limit", limit));
        }
        if self.faults.settings().announces_leaving {
            headers.push(("Server-Leaving", "1"));
        }
        headers
    }

    fn try_begin(&self, id: &str) -> bool {
        let mut state = self.state();
        let is_loading = state.loading.is_some();
        if is_loading || state.running >= self.settings.slots || self.faults.settings().leaving {
            return false;
        }
        state.running += 1;
        let run = state.runs.entry(id.to_owned()).or_default();
        if run.starts == 0 {
            run.first_begun = NEXT_SEQUENCE.fetch_add(1, Ordering::Relaxed);
        }
        run.starts += 1;
        run.begun_at = CLOCK_START.elapsed();
        run.running += 1;
        true
    }

    fn send_answer(&self, request: &Request, id: &str, connection: &mut Connection) -> Result<()> {
        if !connection.sleep(Duration::from_millis(self.settings.event_ms)) {
            return Ok(());
        }
        let padding = "x".repeat(self.settings.answer_padding_bytes);
        let body = format!("answer of {}{padding}", self.settings.id);
        let (signature, limit) = (signature(id), self.limit_text());
        let headers = vec![
            ("X-Request-Id", id),
            ("X-Response-Stamp", signature.as_str()),
        ];
        let headers = self.with_announcements(headers, &limit);
        if contains_marker(&request.body, &self.faults.settings().failure_marker) {
            return Ok(connection.send_bytes(500, &headers, body.as_bytes())?);
        }
        if self.faults.consume_truncated_answer() {
            return Ok(connection.send_truncated(&headers, body.as_bytes())?);
        }
        connection.send_bytes(200, &headers, body.as_bytes())?;
        if self.faults.consume_extra_answer() {
            let headers = [
                ("X-Request-Id", "other"),
                ("X-Response-Stamp", "standin.other"),
            ];
            connection.send_bytes(200, &headers, b"answer to another request")?;
        }
        Ok(())
    }

    fn stream_events(
        &self,
        request: &Request,
        id: &str,
        connection: &mut Connection,
    ) -> Result<()> {
        let last_event_id = request.headers.get("last-event-id");
        let last_event_id: u64 = last_event_id
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let is_foreign = self.faults.consume_foreign_stream();
        let id = if is_foreign { "foreign" } else { id };
        let mut version = self.state().version;
        let (signature, version_text) = (signature(id), self.version_text(version));
        let limit = self.limit_text();
        let headers = vec![
            ("X-Request-Id", id),
            ("X-Response-Stamp", signature.as_str()),
            ("X-Weight-Versions", version_text.as_str()),
        ];
        let headers = self.with_announcements(headers, &limit);
        connection.begin_chunks_with("text/event-stream", &headers)?;
        let padding = "x".repeat(self.settings.event_padding_bytes);
        for number in last_event_id + 1..=self.settings.events {
            // A hedge that is given up ends before, and leaves the fault to another stream.
            let may_stall = last_event_id == 0 && number == EVENTS_BEFORE_STALL + 1;
            if may_stall && self.faults.consume_stalled_stream() {
                if let Some(run) = self.state().runs.get_mut(id) {
                    run.stalled_at = Some(CLOCK_START.elapsed());
                }
                while connection.sleep(CLOSED_CHECK_INTERVAL) && !connection.is_closed() {}
                return Ok(());
            }
            let is_running = connection.sleep(Duration::from_millis(self.settings.event_ms));
            if !is_running || connection.is_closed() {
                return Ok(());
            }
            let current = self.state().version;
            let change = if std::mem::replace(&mut version, current) == current {
                String::new()
            } else {
                format!("x-weight-versions: {}\n", self.version_text(current))
            };
            let software = &self.settings.software;
            let event = format!("{change}id: {number}\ndata: {id}-{number}{software}{padding}\n\n");
            connection.send_chunk(event.as_bytes())?;
        }
        if let Some(run) = self.state().runs.get_mut(id)
            && run.first_completed == 0
        {
            run.first_completed = NEXT_SEQUENCE.fetch_add(1, Ordering::Relaxed);
        }
        Ok(connection.end_chunks()?)
    }
}

impl Service for PlatformEndpoint {
    fn accepts(&self, request: &Request) -> bool {
        let expected_id = request.headers.get("x-expect-instance");
        expected_id.is_none_or(|expected_id| *expected_id == self.settings.id)
    }

    fn handle(&self, request: &Request, connection: &mut Connection) -> Result<Reply> {
        if !self.accepts(request) {
            return Ok(Reply::Json(421, json!({})));
        }
        if !request.path.starts_with("/standin/") {
            self.record_arrival(request);
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/standin/arrivals") => Ok(self.arrivals()),
            ("GET", "/api/report") => self.report(connection),
            ("POST", "/api/order") => self.order(request),
            ("GET", "/standin/runs") => Ok(self.runs()),
            ("POST" | "GET", _) => self.process(request, connection),
            _ => Err(RequestError::NotFound),
        }
    }

    fn restart(&self) {
        let mut state = self.state();
        state.accepted_orders = 0;
        state.highest_fence = 0;
        state.loading = None;
    }
}
