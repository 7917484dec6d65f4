//! HTTP interface for callers, health checks and metrics.

mod answer;
pub mod failure;
pub mod question;

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::Sender;
use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::HeaderValue;
use oxhttp::model::Method;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::StatusCode;
use oxhttp::model::header::CONNECTION;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::Identity;
use wisteriaford_core::refusal::Refusal;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::reply::Reply;

use crate::metrics::Metrics;
use crate::runtime::Input;
use crate::runtime::Shared;
use crate::server::failure::Failure;

/// Longest silence of a caller's connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest time that a handler waits for the core: the longest timeout and a reserve.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3_700);
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Settings of the interface.
#[derive(Clone, Debug)]
pub(crate) struct ServerSettings {
    /// Connections served at once.
    pub(crate) max_connections: usize,
    /// Longest body, in bytes.
    pub(crate) max_body_bytes: u64,
    /// Identity that the status names.
    pub(crate) identity: Identity,
}

/// Handlers of the interface.
pub(crate) struct Service {
    settings: ServerSettings,
    shared: Arc<Shared>,
    metrics: Metrics,
    inputs: Sender<Input>,
}

impl Service {
    /// Returns handlers that hand requests to a loop.
    pub(crate) fn new(
        settings: ServerSettings,
        shared: Arc<Shared>,
        metrics: Metrics,
        inputs: Sender<Input>,
    ) -> Self {
        Self {
            settings,
            shared,
            metrics,
            inputs,
        }
    }

    /// Serves callers at an address until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened at.
    pub(crate) fn listen(self, address: SocketAddr) -> std::io::Result<()> {
        let max_connections = self.settings.max_connections;
        let server = Server::new(move |request| self.respond(request))
            .bind(address)
            .with_max_concurrent_connections(max_connections)
            .with_global_timeout(CONNECTION_TIMEOUT);
        // The threads of the server go on without the handle.
        server.spawn()?;
        Ok(())
    }

    fn respond(&self, request: &mut Request<Body>) -> Response<Body> {
        let repeats = question::may_repeat(request.uri().path(), request.headers());
        let failure = match self.route(request) {
            Ok(response) => return response,
            Err(failure) => failure,
        };
        if let Some(reason) = failure.border_reason() {
            self.shared.border_refusals.count(reason);
        }
        if repeats {
            failure.response_to_repeat()
        } else {
            failure.response()
        }
    }

    fn route(&self, request: &mut Request<Body>) -> Result<Response<Body>, Failure> {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["healthz"]) => Ok(answer::text("ok")),
            (&Method::GET, ["readyz"]) => self.readiness(),
            (&Method::GET, ["metrics"]) => Ok(self.metrics_text()),
            (&Method::GET, ["v1", "status"]) => self.ask(CallerRequest::Status),
            (&Method::GET, ["v1", "shares"]) => self.ask(CallerRequest::Shares),
            (&Method::GET, ["v1", "configuration"]) => self.ask(CallerRequest::Configuration),
            (&Method::GET, ["v1", "explain", id @ ..]) if !id.is_empty() => {
                self.ask(CallerRequest::Explain(question::request_id(&id.join("/"))?))
            }
            (&Method::POST, ["v1", "generate"]) => {
                let body = self.read_json_body(request)?;
                self.ask(question::generate(&body)?)
            }
            (&Method::POST, ["v1", "call", route]) => {
                let body = self.read_body(request)?;
                self.ask(question::call(route, request.headers(), body)?)
            }
            (&Method::POST, ["v1", "steps", step, "pulls"]) => {
                let body = self.read_json_body(request)?;
                self.ask(question::pull(step, &body)?)
            }
            (_, parts) if is_known(parts) => Err(Failure::MethodNotAllowed),
            _ => Err(Failure::NotFound),
        }
    }

    fn readiness(&self) -> Result<Response<Body>, Failure> {
        match self.shared.snapshot.load().ready {
            Ok(()) => Ok(answer::text("ready")),
            Err(reason) => Err(Failure::NotReady(reason)),
        }
    }

    fn metrics_text(&self) -> Response<Body> {
        answer::with_type(StatusCode::OK, METRICS_CONTENT_TYPE, self.metrics.text())
    }

    fn ask(&self, request: CallerRequest) -> Result<Response<Body>, Failure> {
        let (sender, receiver) = crossbeam::channel::bounded(1);
        let asked = answer::Asked::from(&request);
        let input = Input::Caller(request, sender);
        let core_ended = self.shared.core_ended.load(Ordering::SeqCst);
        self.inputs.send(input).map_err(|_| not_taken_in())?;
        let reply: Reply = receiver.recv_timeout(REPLY_TIMEOUT).map_err(|_| {
            // A question that is still in the queue when it is closed has no answer.
            if core_ended {
                not_taken_in()
            } else {
                Failure::ShutDown
            }
        })?;
        answer::of(reply, &asked, &self.settings.identity)
    }

    fn read_json_body(&self, request: &mut Request<Body>) -> Result<Vec<u8>, Failure> {
        question::require_json(request.headers())?;
        self.read_body(request)
    }

    fn read_body(&self, request: &mut Request<Body>) -> Result<Vec<u8>, Failure> {
        let limit_bytes = self.settings.max_body_bytes;
        let body = request.body_mut();
        if body.len().is_some_and(|len_bytes| len_bytes > limit_bytes) {
            return Err(Failure::TooLarge { limit_bytes });
        }
        let mut bytes = Vec::new();
        if body.take(limit_bytes + 1).read_to_end(&mut bytes).is_err() {
            give_up_reading(request);
            return Err(Failure::TruncatedBody);
        }
        if bytes.len() as u64 > limit_bytes {
            return Err(Failure::TooLarge { limit_bytes });
        }
        Ok(bytes)
    }
}

/// Leaves nothing to read and closes the connection after the answer.
///
/// The server reads what is left of a body before it answers, and where that fails, sends an error
/// of its own instead.
fn give_up_reading(request: &mut Request<Body>) {
    *request.body_mut() = Body::empty();
    let close = HeaderValue::from_static("close");
    request.headers_mut().insert(CONNECTION, close);
}

/// Returns the failure of a request that the core never saw.
fn not_taken_in() -> Failure {
    Failure::Refused(None, Refusal::not_run(RefusalReason::ShuttingDown))
}

fn is_known(parts: &[&str]) -> bool {
    matches!(
        parts,
        ["healthz" | "readyz" | "metrics"]
            | ["v1", "status" | "shares" | "configuration" | "generate"]
            | ["v1", "explain" | "call", _]
            | ["v1", "steps", _, "pulls"]
    )
}
