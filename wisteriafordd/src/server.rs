//! HTTP interface for callers, health checks and metrics.

mod answer;
pub mod failure;
pub mod question;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::Sender;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::Identity;
use wisteriaford_core::event::Ticket;
use wisteriaford_core::refusal::Refusal;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_http::BodyError;

use crate::metrics::Metrics;
use crate::runtime::Input;
use crate::runtime::Shared;
use crate::server::failure::Failure;

/// Longest silence of a caller's connection between two requests, as docs/API.md says.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest time that a body may take: the longest one that is allowed by default at 4 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time that a handler waits for the core: the longest timeout and a reserve.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3_700);
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Settings of the interface.
#[derive(Clone, Debug)]
pub(crate) struct ServerSettings {
    /// Connections served at once.
    pub(crate) max_connections: usize,
    /// Longest body, in bytes.
    pub(crate) max_body_bytes: usize,
    /// Identity that the status names.
    pub(crate) identity: Identity,
}

/// Handlers of the interface.
pub(crate) struct Service {
    settings: ServerSettings,
    shared: Arc<Shared>,
    metrics: Metrics,
    inputs: Sender<Input>,
    next_ticket: AtomicU64,
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
            next_ticket: AtomicU64::new(0),
        }
    }

    /// Serves callers at an address until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened at.
    pub(crate) fn listen(self, address: SocketAddr) -> std::io::Result<()> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listener = {
            let _entered = runtime.enter();
            TcpListener::from_std(listener)?
        };
        let service = Arc::new(self);
        let thread = thread::Builder::new().name("callers".into());
        thread.spawn(move || runtime.block_on(service.serve(listener)))?;
        Ok(())
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        let slots = Arc::new(Semaphore::new(self.settings.max_connections));
        let never = std::future::pending();
        wisteriaford_http::accept(listener, Some(slots), never, |stream, permit| {
            let service = Arc::clone(&self);
            tokio::spawn(async move {
                if wisteriaford_http::has_request(&stream, IDLE_TIMEOUT).await {
                    // On the heap, and only now: an idle connection needs none of its buffers.
                    Box::pin(service.serve_connection(stream)).await;
                }
                drop(permit);
            });
        })
        .await;
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let service = service_fn(|request| {
            let service = Arc::clone(&self);
            async move { Ok::<_, std::convert::Infallible>(service.respond(request).await) }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service)
            .await;
        if let Err(error) = served {
            log::debug!("a caller's connection ended: {error}");
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, mut body) = request.into_parts();
        let answer = self.route(&parts, &mut body).await;
        wisteriaford_http::discard(body);
        let failure = match answer {
            Ok(response) => return response,
            Err(failure) => failure,
        };
        if let Some(reason) = failure.border_reason() {
            self.shared.border_refusals.count(reason);
        }
        if question::may_repeat(parts.uri.path(), &parts.headers) {
            failure.response_to_repeat()
        } else {
            failure.response()
        }
    }

    async fn route(
        &self,
        request: &Parts,
        body: &mut Incoming,
    ) -> Result<Response<Full<Bytes>>, Failure> {
        let path: Vec<&str> = request.uri.path().trim_matches('/').split('/').collect();
        let headers = &request.headers;
        match (&request.method, path.as_slice()) {
            (&Method::GET, ["healthz"]) => Ok(answer::text("ok")),
            (&Method::GET, ["readyz"]) => self.readiness(),
            (&Method::GET, ["metrics"]) => Ok(self.metrics_text()),
            (&Method::GET, ["v1", "status"]) => self.ask(CallerRequest::Status).await,
            (&Method::GET, ["v1", "shares"]) => self.ask(CallerRequest::Shares).await,
            (&Method::GET, ["v1", "configuration"]) => self.ask(CallerRequest::Configuration).await,
            (&Method::GET, ["v1", "explain", id @ ..]) if !id.is_empty() => {
                let id = question::request_id(&id.join("/"))?;
                self.ask(CallerRequest::Explain(id)).await
            }
            (&Method::POST, ["v1", "generate"]) => {
                let body = self.read_json_body(headers, body).await?;
                self.ask(question::generate(&body)?).await
            }
            (&Method::POST, ["v1", "call", route]) => {
                let body = self.read_body(body).await?;
                self.ask(question::call(route, headers, body.into())?).await
            }
            (&Method::POST, ["v1", "steps", step, "pulls"]) => {
                let body = self.read_json_body(headers, body).await?;
                self.ask(question::pull(step, &body)?).await
            }
            (_, path) if is_known(path) => Err(Failure::MethodNotAllowed),
            _ => Err(Failure::NotFound),
        }
    }

    fn readiness(&self) -> Result<Response<Full<Bytes>>, Failure> {
        match self.shared.snapshot.load().ready {
            Ok(()) => Ok(answer::text("ready")),
            Err(reason) => Err(Failure::NotReady(reason)),
        }
    }

    fn metrics_text(&self) -> Response<Full<Bytes>> {
        answer::with_type(StatusCode::OK, METRICS_CONTENT_TYPE, self.metrics.text())
    }

    /// Asks the core, and tells it if the caller leaves before the answer.
    async fn ask(&self, request: CallerRequest) -> Result<Response<Full<Bytes>>, Failure> {
        let (sender, receiver) = oneshot::channel();
        let asked = answer::Asked::from(&request);
        let ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let core_ended = self.shared.core_ended.load(Ordering::SeqCst);
        let input = Input::Caller(ticket, request, sender);
        self.inputs.send(input).map_err(|_| not_taken_in())?;
        let mut waiting = Waiting {
            ticket: Some(ticket),
            inputs: &self.inputs,
        };
        let reply = tokio::time::timeout(REPLY_TIMEOUT, receiver).await;
        waiting.ticket = None;
        let reply = reply.ok().and_then(Result::ok).ok_or_else(|| {
            // A question that is still in the queue when it is closed has no answer.
            if core_ended {
                not_taken_in()
            } else {
                Failure::ShutDown
            }
        })?;
        answer::of(reply, &asked, &self.settings.identity)
    }

    async fn read_json_body(
        &self,
        headers: &HeaderMap,
        body: &mut Incoming,
    ) -> Result<Bytes, Failure> {
        question::require_json(headers)?;
        self.read_body(body).await
    }

    async fn read_body(&self, body: &mut Incoming) -> Result<Bytes, Failure> {
        let limit_bytes = self.settings.max_body_bytes;
        let read = wisteriaford_http::read_body(body, limit_bytes, BODY_TIMEOUT);
        read.await.map_err(|error| match error {
            BodyError::TooLarge => Failure::TooLarge { limit_bytes },
            BodyError::TooSlow => Failure::BodyTooSlow,
            BodyError::Broken => Failure::TruncatedBody,
        })
    }
}

/// Question whose answer is waited for; dropped with its ticket when the caller has left.
struct Waiting<'a> {
    ticket: Option<Ticket>,
    inputs: &'a Sender<Input>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            // A core that has ended works for nobody any more.
            drop(self.inputs.send(Input::CallerLeft(ticket)));
        }
    }
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
