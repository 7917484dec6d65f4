//! Stand-in of a model engine, or of a plain service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Connection;
use crate::http::Request;
use crate::http::Server;
use crate::http::answer;
use crate::http::chunk;
use crate::http::head;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::store::Store;

/// Interval between the entries that a server writes about itself.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub software: String,
    pub models: Vec<String>,
    pub slots: usize,
    /// Time from one event of a stream to the next, and of a call.
    pub event_time: Duration,
    pub load_time: Duration,
    /// Whether orders with a lower fencing token than one before are refused.
    pub checks_fences: bool,
}

/// Faults of an engine in trouble; all off by default.
#[derive(Default)]
pub struct Faults {
    /// Number of orders whose answer is sent once more, late, where a later answer is expected.
    pub extra_order_answers: AtomicU64,
    /// One answer in so many has one wrong byte, in the line that names the number of an event; 0 for none.
    pub spoil_every: AtomicU64,
    /// One call in so many gets a body without end; 0 for none.
    pub endless_every: AtomicU64,
}

/// Order that an engine received.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub model: String,
    pub version: u64,
    pub status: u16,
}

/// Run of a request.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub request: String,
    pub method: String,
    pub path: String,
    pub began: Instant,
    pub ended: Option<Instant>,
    /// Number of the last event that was made.
    pub last_event: u64,
    pub resumed_after: u64,
    pub version: u64,
    pub completed: bool,
}

#[derive(Clone, Debug)]
struct Load {
    model: String,
    version: u64,
    waits_for_runs: bool,
    began: Option<Instant>,
}

#[derive(Default)]
struct State {
    versions: BTreeMap<String, u64>,
    load: Option<Load>,
    accepted: u64,
    highest_fence: u64,
    running: HashMap<String, usize>,
    orders: Vec<ReceivedOrder>,
    runs: Vec<RunRecord>,
    answers: u64,
    streams: u64,
    calls: u64,
    endless: u64,
    spoiled: u64,
    extra: u64,
}

/// Engine that writes its entry to the store and serves requests until it ends.
pub struct Engine {
    pub settings: Settings,
    pub faults: Faults,
    state: Mutex<State>,
    server: Mutex<Option<Server>>,
    is_alive: AtomicBool,
    born: u64,
}

/// Returns the data of an event, the same at every engine.
pub fn event_data(request: &str, event: u64) -> String {
    format!("{request}/{event}")
}

/// Returns the number of events of a request, from its maximum number of output tokens.
pub fn event_count(token_counts: &str) -> u64 {
    let tokens = token_counts.split(',').nth(1);
    let tokens: Option<u64> = tokens.and_then(|text| text.trim().parse().ok());
    (tokens.unwrap_or(58) / 58).max(1)
}

impl Engine {
    /// Starts an engine at an address, and lets it register itself in the store.
    pub fn start(settings: Settings, ip: &str, store: &Arc<Store>) -> io::Result<Arc<Self>> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let versions = settings.models.iter().map(|model| (model.clone(), 1));
        let state = State {
            versions: versions.collect(),
            ..State::default()
        };
        let engine = Arc::new(Self {
            settings,
            faults: Faults::default(),
            state: Mutex::new(state),
            server: Mutex::new(None),
            is_alive: AtomicBool::new(true),
            born: born.as_millis() as u64,
        });
        let handler = Arc::clone(&engine);
        let handle = move |request: &Request, connection: &mut Connection| {
            handler.handle(request, connection)
        };
        let server = Server::start(ip, Arc::new(handle))?;
        let address = server.address.to_string();
        *engine.server.lock().unwrap() = Some(server);
        let (beating, store) = (Arc::clone(&engine), Arc::clone(store));
        thread::spawn(move || {
            let mut sequence = 0;
            while beating.is_alive.load(Ordering::SeqCst) {
                sequence += 1;
                let entry = beating.entry(&address, sequence);
                store.put("keyed.servers", &beating.settings.id, &entry.to_string());
                thread::sleep(HEARTBEAT);
            }
            // The entry of a server that is silent lapses after three intervals.
            thread::sleep(HEARTBEAT * 2);
            store.put("keyed.servers", &beating.settings.id, "");
        });
        Ok(engine)
    }

    /// Ends the engine like a process that is killed, for good.
    pub fn crash(&self) {
        self.is_alive.store(false, Ordering::SeqCst);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.end();
        }
    }

    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.state().orders.clone()
    }

    pub fn runs(&self) -> Vec<RunRecord> {
        self.state().runs.clone()
    }

    /// Returns the number of answers, of streams, of spoiled streams and of extra answers.
    pub fn counts(&self) -> (u64, u64, u64, u64) {
        let state = self.state();
        (state.answers, state.streams, state.spoiled, state.extra)
    }

    pub fn version(&self, model: &str) -> u64 {
        self.state().versions.get(model).copied().unwrap_or(0)
    }

    /// Returns the number of requests that are running.
    pub fn running(&self) -> usize {
        self.state().running.values().sum()
    }

    fn entry(&self, address: &str, sequence: u64) -> Json {
        let models = self.models(&self.state());
        object(&[
            ("service", text(&*self.settings.service)),
            ("address", text(address)),
            ("zone", text("zone-a")),
            ("version", text(&*self.settings.software)),
            ("slots", number(self.settings.slots as u64)),
            ("state", text("ready")),
            ("coldRemainingMs", number(0)),
            ("stage", text("both")),
            ("models", models),
            ("sequence", number(sequence)),
            ("born", number(self.born)),
        ])
    }

    fn models(&self, state: &State) -> Json {
        let models = state.versions.iter().map(|(name, version)| {
            object(&[
                ("name", text(&**name)),
                ("version", number(*version)),
                ("adapters", Json::List(Vec::new())),
            ])
        });
        Json::List(models.collect())
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let is_running =
            |state: &State, model: &str| state.running.get(model).is_some_and(|n| *n > 0);
        if let Some(mut load) = state.load.take() {
            if load.began.is_none() && !(load.waits_for_runs && is_running(&state, &load.model)) {
                load.began = Some(now);
            }
            let is_over = load
                .began
                .is_some_and(|at| now - at >= self.settings.load_time);
            if is_over {
                state.versions.insert(load.model, load.version);
            } else {
                state.load = Some(load);
            }
        }
        state
    }

    fn handle(&self, request: &Request, connection: &mut Connection) -> io::Result<()> {
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.settings.id) {
            return connection.send(&answer(421, &[("x-not-run", "1")], b""));
        }
        let is_due = |held: &(Instant, Vec<u8>)| Instant::now() >= held.0;
        if connection.held_back.as_ref().is_some_and(is_due)
            && let Some((_, bytes)) = connection.held_back.take()
        {
            self.state().extra += 1;
            connection.send(&bytes)?;
        }
        self.state().answers += 1;
        match request.path() {
            "/api/report" => self.report(connection),
            "/api/order" => self.order(request, connection),
            "/health" => {
                connection.send(&answer(200, &[("x-instance-id", &self.settings.id)], b""))
            }
            _ if request.header("x-model").is_some() => self.stream(request, connection),
            _ => self.call(request, connection),
        }
    }

    fn report(&self, connection: &mut Connection) -> io::Result<()> {
        let state = self.state();
        let running: usize = state.running.values().sum();
        let report = object(&[
            ("stage", text("both")),
            ("models", self.models(&state)),
            ("busy", Json::Bool(state.load.is_some())),
            ("sequence", number(state.accepted)),
            ("waiting", number(0)),
            ("running", number(running as u64)),
            ("kvCacheUsed", number(0)),
            ("kvCacheTotal", number(83_241)),
            ("handles", number(0)),
            ("born", number(self.born)),
        ]);
        drop(state);
        let headers = [("content-type", "application/json")];
        connection.send(&answer(200, &headers, report.to_string().as_bytes()))
    }

    fn order(&self, request: &Request, connection: &mut Connection) -> io::Result<()> {
        let order = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut state = self.state();
        let (model, version) = (order.text("model"), order.number("version").unwrap_or(0));
        let fence = order.number("fencingToken").unwrap_or(0);
        let is_other = order
            .number("expected")
            .is_some_and(|n| n != state.accepted);
        let status = if self.settings.checks_fences && fence < state.highest_fence {
            412
        } else if state.load.is_some() || is_other {
            409
        } else if state
            .versions
            .get(&model)
            .is_some_and(|held| *held >= version)
        {
            200
        } else {
            202
        };
        state.highest_fence = state.highest_fence.max(fence);
        state.orders.push(ReceivedOrder {
            at: Instant::now(),
            holder: order.text("holder"),
            fence,
            model: model.clone(),
            version,
            status,
        });
        if status == 202 {
            state.accepted += 1;
            state.load = Some(Load {
                model,
                version,
                waits_for_runs: order.text("mode") == "wait",
                began: None,
            });
        }
        drop(state);
        drop(self.state());
        let bytes = answer(status, &[], b"");
        let extra = &self.faults.extra_order_answers;
        let take = |left: u64| left.checked_sub(1);
        if status == 202
            && extra
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
                .is_ok()
        {
            let late = Instant::now() + Duration::from_millis(1_500);
            connection.held_back = Some((late, bytes.clone()));
        }
        connection.send(&bytes)
    }

    fn begin(&self, request: &Request, id: &str, model: &str) -> Option<(usize, u64)> {
        let mut state = self.state();
        let running: usize = state.running.values().sum();
        let is_loading = state.load.as_ref().is_some_and(|load| load.model == model);
        if is_loading || running >= self.settings.slots {
            return None;
        }
        *state.running.entry(model.to_owned()).or_default() += 1;
        let after = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let version = state.versions.get(model).copied().unwrap_or(0);
        state.runs.push(RunRecord {
            request: id.to_owned(),
            method: request.method.clone(),
            path: request.target.clone(),
            began: Instant::now(),
            ended: None,
            last_event: after.unwrap_or(0),
            resumed_after: after.unwrap_or(0),
            version,
            completed: false,
        });
        Some((state.runs.len() - 1, version))
    }

    fn end(&self, run: usize, model: &str, completed: bool) {
        let mut state = self.state();
        state.runs[run].ended = Some(Instant::now());
        state.runs[run].completed = completed;
        if let Some(count) = state.running.get_mut(model) {
            *count -= 1;
        }
        drop(state);
        drop(self.state());
    }

    fn stream(&self, request: &Request, connection: &mut Connection) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let model = request.header("x-model").unwrap_or("").to_owned();
        let count = event_count(request.header("x-token-counts").unwrap_or(""));
        let Some((run, version)) = self.begin(request, &id, &model) else {
            let headers = [("x-request-id", &*id), ("x-not-run", "1")];
            return connection.send(&answer(503, &headers, b""));
        };
        let result = self.send_events(connection, run, &id, &model, version, count);
        self.end(run, &model, matches!(result, Ok(true)));
        if matches!(result, Ok(true)) {
            return Ok(());
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    fn send_events(
        &self,
        connection: &mut Connection,
        run: usize,
        id: &str,
        model: &str,
        mut version: u64,
        count: u64,
    ) -> io::Result<bool> {
        let spoiled_event = self.spoiled_event(count);
        let mut bytes = head(
            200,
            &[
                ("x-request-id", id),
                ("x-response-stamp", &format!("stamp.{id}")),
                ("x-weight-versions", &version.to_string()),
                ("content-type", "text/event-stream"),
                ("transfer-encoding", "chunked"),
            ],
        );
        bytes.extend_from_slice(b"\r\n");
        connection.send(&bytes)?;
        let first = self.state().runs[run].last_event + 1;
        for event in first..=count {
            thread::sleep(self.settings.event_time);
            if connection.is_closed() || !self.is_alive.load(Ordering::SeqCst) {
                return Ok(false);
            }
            let mut state = self.state();
            let current = state.versions.get(model).copied().unwrap_or(0);
            state.runs[run].last_event = event;
            drop(state);
            let mut text = String::new();
            if std::mem::replace(&mut version, current) != current {
                text.push_str(&format!("x-weight-versions: {current}\n"));
            }
            text.push_str(&format!("id: {event}\ndata: {}\n\n", event_data(id, event)));
            if spoiled_event == Some(event) {
                text = text.replacen("id:", "iX:", 1);
            }
            connection.send(&chunk(text.as_bytes()))?;
        }
        connection.send(&chunk(b""))?;
        Ok(true)
    }

    /// Returns the event of a new stream in which a byte is wrong, if the stream is one of the few.
    fn spoiled_event(&self, count: u64) -> Option<u64> {
        let every = self.faults.spoil_every.load(Ordering::SeqCst);
        let mut state = self.state();
        state.streams += 1;
        let is_spoiled = every > 0 && count > 2 && state.streams % every == 0;
        state.spoiled += u64::from(is_spoiled);
        is_spoiled.then_some(count / 2)
    }

    fn call(&self, request: &Request, connection: &mut Connection) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let Some((run, _)) = self.begin(request, &id, "") else {
            let headers = [("x-request-id", &*id), ("x-not-run", "1")];
            return connection.send(&answer(503, &headers, b""));
        };
        thread::sleep(self.settings.event_time);
        let stamp = format!("stamp.{id}");
        let headers = [("x-request-id", &*id), ("x-response-stamp", &*stamp)];
        let result = if self.is_endless() {
            self.send_endlessly(connection, &headers)
        } else {
            let body = format!("{} answers {id}", self.settings.service);
            connection.send(&answer(200, &headers, body.as_bytes()))
        };
        self.end(run, "", result.is_ok());
        result
    }

    fn is_endless(&self) -> bool {
        let every = self.faults.endless_every.load(Ordering::SeqCst);
        let mut state = self.state();
        state.calls += 1;
        let is_endless = every > 0 && state.calls % every == 0;
        state.endless += u64::from(is_endless);
        is_endless
    }

    /// Returns the number of calls, and of those with a body without end.
    pub fn call_counts(&self) -> (u64, u64) {
        let state = self.state();
        (state.calls, state.endless)
    }

    /// Sends a body without end, until the caller closes.
    fn send_endlessly(
        &self,
        connection: &mut Connection,
        headers: &[(&str, &str)],
    ) -> io::Result<()> {
        let mut bytes = head(200, headers);
        bytes.extend_from_slice(b"\r\n");
        bytes.extend(vec![b'x'; 40 * 1024]);
        connection.send(&bytes)?;
        while !connection.is_closed() && self.is_alive.load(Ordering::SeqCst) {
            connection.send(&[b'x'; 256])?;
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}
