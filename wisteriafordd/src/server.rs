//! HTTP server for callers, health checks and metrics.

mod answer;
pub mod failure;
pub mod request;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

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
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::InstanceIdentity;
use wisteriaford_core::event::Ticket;
use wisteriaford_core::instance::TICK_INTERVAL;
use wisteriaford_core::refusal::Refusal;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_http::BodyError;
use wisteriaford_http::Charge;
use wisteriaford_http::ConnectionLimits;
use wisteriaford_http::ConnectionTimeouts;
use wisteriaford_http::Guard;
use wisteriaford_http::Slot;
use wisteriaford_http::budget::BudgetLimits;
use wisteriaford_http::budget::Refused;

use crate::metrics::Metrics;
use crate::runtime::Input;
use crate::runtime::SharedState;
use crate::server::failure::Failure;

/// Maximum idle time of a caller's connection between two requests, documented in docs/API.md.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum time to receive a body: enough for the default maximum size at about 4 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time a handler waits for the core: the longest request timeout plus a margin.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3_700);
/// Maximum time for a head, and for which nothing of an answer is read, if the memory is limited: a
/// hundred times the round trip of a distant caller.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a JSON body that is decoded between other callers' requests, in bytes. Larger ones are
/// decoded by another thread, one at a time: 16 MiB take longer than a call may.
const MAX_INLINE_DECODE_BYTES: usize = 64 * 1024;
/// Maximum size of a head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Settings of the HTTP server.
#[derive(Clone, Debug)]
pub(crate) struct ServerSettings {
    /// Maximum number of concurrent connections.
    pub(crate) max_connections: usize,
    /// Maximum body size, in bytes.
    pub(crate) max_body_bytes: usize,
    /// Memory of the machine, in bytes; `None` for no limit on what is held for callers.
    pub(crate) memory_bytes: Option<u64>,
    /// Identity of this instance, included in answers.
    pub(crate) identity: InstanceIdentity,
}

/// Request handlers of the HTTP server.
pub(crate) struct Service {
    settings: ServerSettings,
    shared: Arc<SharedState>,
    metrics: Metrics,
    inputs: Sender<Input>,
    next_ticket: AtomicU64,
    /// Held while a large body is decoded.
    decoding: Semaphore,
    /// Text of the metrics, and when it was rendered.
    rendered_metrics: Mutex<Option<(Instant, Bytes)>>,
}

impl Service {
    /// Creates handlers that pass requests to the event loop.
    pub(crate) fn new(
        settings: ServerSettings,
        shared: Arc<SharedState>,
        metrics: Metrics,
        inputs: Sender<Input>,
    ) -> Self {
        Self {
            settings,
            shared,
            metrics,
            inputs,
            next_ticket: AtomicU64::new(0),
            decoding: Semaphore::new(1),
            rendered_metrics: Mutex::new(None),
        }
    }

    /// Serves callers on an address until the process exits.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot bind to the address.
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
        let permits = Arc::new(Semaphore::new(self.settings.max_connections));
        let no_shutdown = std::future::pending();
        let guard = Guard::new(BudgetLimits::for_machine(self.settings.memory_bytes, None));
        wisteriaford_http::limit_buffers(&listener, &guard);
        wisteriaford_http::accept(listener, Some(permits), no_shutdown, |stream, permit| {
            let service = Arc::clone(&self);
            let Some((stream, slot)) = wisteriaford_http::admit(&guard, stream) else {
                return;
            };
            tokio::spawn(async move {
                let has_first_byte = tokio::select! {
                    has = wisteriaford_http::wait_for_first_byte(&stream, IDLE_TIMEOUT) => has,
                    () = slot.evicted() => false,
                };
                if has_first_byte {
                    // Boxed and created only now, so that an idle connection allocates no buffers.
                    Box::pin(service.serve_connection(stream, slot)).await;
                }
                drop(permit);
            });
        })
        .await;
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, slot: Slot) {
        let is_limited = self.settings.memory_bytes.is_some();
        let stall = if is_limited {
            STALL_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        let limits = ConnectionLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            timeouts: ConnectionTimeouts {
                head: stall,
                idle: IDLE_TIMEOUT,
                unread: stall,
            },
        };
        let handle = |request| {
            let service = Arc::clone(&self);
            async move { service.respond(request).await }
        };
        let never = std::future::pending();
        wisteriaford_http::serve(stream, slot, limits, handle, never).await;
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, mut body) = request.into_parts();
        let slot = parts.extensions.get::<Slot>();
        let answer = self.route(&parts, &mut body, slot).await;
        wisteriaford_http::drain(body);
        let failure = match answer {
            Ok(response) => return response,
            Err(failure) => failure,
        };
        if let Some(reason) = failure.http_refusal_reason() {
            self.shared.http_refusals.count(reason);
        }
        if request::may_be_retry(parts.uri.path(), &parts.headers) {
            failure.response_to_retry()
        } else {
            failure.response()
        }
    }

    async fn route(
        &self,
        request: &Parts,
        body: &mut Incoming,
        slot: Option<&Slot>,
    ) -> Result<Response<Full<Bytes>>, Failure> {
        let path: Vec<&str> = request.uri.path().trim_matches('/').split('/').collect();
        let headers = &request.headers;
        match (&request.method, path.as_slice()) {
            (&Method::GET, ["healthz"]) => Ok(answer::text("ok")),
            (&Method::GET, ["readyz"]) => self.readiness(),
            (&Method::GET, ["metrics"]) => Ok(self.metrics_text()),
            (&Method::GET, ["v1", "status"]) => self.dispatch(CallerRequest::Status).await,
            (&Method::GET, ["v1", "shares"]) => self.dispatch(CallerRequest::Shares).await,
            (&Method::GET, ["v1", "configuration"]) => {
                self.dispatch(CallerRequest::Configuration).await
            }
            (&Method::GET, ["v1", "explain", id @ ..]) if !id.is_empty() => {
                let id = request::parse_request_id(&id.join("/"))?;
                self.dispatch(CallerRequest::Explain(id)).await
            }
            (&Method::POST, ["v1", "generate"]) => {
                let body = self.read_json_body(headers, body, slot).await?;
                let (request, _charge) = self.decode(body, slot, request::parse_generate).await?;
                self.dispatch(request).await
            }
            (&Method::POST, ["v1", "call", route]) => {
                let body = self.read_body(body, slot).await?;
                // An endpoint is sent a copy.
                let body = match reserve(slot, body.len())? {
                    Some(charge) => charge.attach(body),
                    None => body,
                };
                self.dispatch(request::parse_call(route, headers, body)?)
                    .await
            }
            (&Method::POST, ["v1", "steps", step, "pulls"]) => {
                let body = self.read_json_body(headers, body, slot).await?;
                let step = (*step).to_owned();
                let parse = move |body: &[u8]| request::parse_pull(&step, body);
                let (request, _charge) = self.decode(body, slot, parse).await?;
                self.dispatch(request).await
            }
            (_, path) if is_known_path(path) => Err(Failure::MethodNotAllowed),
            _ => Err(Failure::NotFound),
        }
    }

    fn readiness(&self) -> Result<Response<Full<Bytes>>, Failure> {
        match self.shared.snapshot.load().ready {
            Ok(()) => Ok(answer::text("ready")),
            Err(reason) => Err(Failure::NotReady(reason)),
        }
    }

    /// Returns the metrics, rendered once for each snapshot of the core: rendering them for every request
    /// of a flood would hold up other callers.
    fn metrics_text(&self) -> Response<Full<Bytes>> {
        let rendered = self.rendered_metrics.lock();
        let mut rendered = rendered.unwrap_or_else(PoisonError::into_inner);
        let text = match &*rendered {
            Some((at, text)) if at.elapsed() < TICK_INTERVAL => text.clone(),
            _ => {
                let text = Bytes::from(self.metrics.text());
                *rendered = Some((Instant::now(), text.clone()));
                text
            }
        };
        answer::with_content_type(StatusCode::OK, METRICS_CONTENT_TYPE, text)
    }

    /// Sends a request to the core and waits for its reply.
    ///
    /// If the caller disconnects first, the core is notified.
    async fn dispatch(&self, request: CallerRequest) -> Result<Response<Full<Bytes>>, Failure> {
        let (sender, receiver) = oneshot::channel();
        let echoed = answer::EchoedFields::from(&request);
        let ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let core_ended = self.shared.core_ended.load(Ordering::SeqCst);
        let input = Input::Caller(ticket, request, sender);
        self.inputs.send(input).map_err(|_| not_accepted())?;
        let mut pending = PendingReply {
            ticket: Some(ticket),
            inputs: &self.inputs,
        };
        let reply = tokio::time::timeout(REPLY_TIMEOUT, receiver).await;
        pending.ticket = None;
        let reply = reply.ok().and_then(Result::ok).ok_or_else(|| {
            // A request that is still queued when the channel is closed gets no reply.
            if core_ended {
                not_accepted()
            } else {
                Failure::ShutDown
            }
        })?;
        answer::from_reply(reply, &echoed, &self.settings.identity)
    }

    async fn read_json_body(
        &self,
        headers: &HeaderMap,
        body: &mut Incoming,
        slot: Option<&Slot>,
    ) -> Result<Bytes, Failure> {
        request::require_json(headers)?;
        self.read_body(body, slot).await
    }

    /// Decodes a JSON body. What is decoded, and its copy that is sent, take up to the size of the body each,
    /// and are charged as long as the returned charge lives.
    async fn decode(
        &self,
        body: Bytes,
        slot: Option<&Slot>,
        parse: impl FnOnce(&[u8]) -> Result<CallerRequest, Failure> + Send + 'static,
    ) -> Result<(CallerRequest, Option<Charge>), Failure> {
        let charge = reserve(slot, body.len().saturating_mul(2))?;
        if body.len() <= MAX_INLINE_DECODE_BYTES {
            return Ok((parse(&body)?, charge));
        }
        // The semaphore is never closed.
        let _turn = self.decoding.acquire().await;
        let decoded = tokio::task::spawn_blocking(move || parse(&body)).await;
        Ok((decoded.unwrap_or(Err(Failure::ShutDown))?, charge))
    }

    async fn read_body(&self, body: &mut Incoming, slot: Option<&Slot>) -> Result<Bytes, Failure> {
        let limit_bytes = self.settings.max_body_bytes;
        let reading = wisteriaford_http::read_body(body, limit_bytes, BODY_TIMEOUT, slot);
        reading.await.map_err(|error| match error {
            BodyError::TooLarge => Failure::TooLarge { limit_bytes },
            BodyError::TooSlow => Failure::BodyTooSlow,
            BodyError::NoMemory => Failure::NoMemory,
            BodyError::Malformed => Failure::TruncatedBody,
        })
    }
}

/// Charges memory to the connection of a request, if its server has a budget.
fn reserve(slot: Option<&Slot>, bytes: usize) -> Result<Option<Charge>, Failure> {
    let charge = slot.map(|slot| slot.reserve(bytes));
    charge.transpose().map_err(|Refused| Failure::NoMemory)
}

/// Request that waits for its reply. If it is dropped while it still has its ticket, the caller has
/// disconnected and the core is notified.
struct PendingReply<'a> {
    ticket: Option<Ticket>,
    inputs: &'a Sender<Input>,
}

impl Drop for PendingReply<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            // Fails if the core has stopped, in which case there is nothing to cancel.
            drop(self.inputs.send(Input::CallerDisconnected(ticket)));
        }
    }
}

/// Returns the failure for a request that never reached the core.
fn not_accepted() -> Failure {
    Failure::Refused(None, Refusal::not_run(RefusalReason::ShuttingDown))
}

fn is_known_path(segments: &[&str]) -> bool {
    matches!(
        segments,
        ["healthz" | "readyz" | "metrics"]
            | ["v1", "status" | "shares" | "configuration" | "generate"]
            | ["v1", "explain" | "call", _]
            | ["v1", "steps", _, "pulls"]
    )
}
