//! HTTP servers for callers, readiness and metrics.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use wisteriaford_core::gateway::organisations::Sender;
use wisteriaford_core::gateway::route::RouteKind;
use wisteriaford_core::id::TableVersion;
use wisteriaford_http::ConnectionLimits;
use wisteriaford_http::ConnectionTimeouts;
use wisteriaford_http::Guard;
use wisteriaford_http::Slot;

use crate::adapter::CallerHead;
use crate::adapter::CallerTarget;
use crate::caller_jobs;
use crate::caller_jobs::Submission;
use crate::connection_pool;
use crate::forward;
use crate::organisations;
use crate::placement;
use crate::refusal::Answer;
use crate::refusal::Reason;
use crate::refusal::empty_answer;
use crate::refusal::full_body;
use crate::refusal::refuse;
use crate::shutdown;
use crate::state::Gateway;
use crate::state::stopped;

/// `Retry-After` while the instance has no routes, or none that are current.
const NO_ROUTES_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time limit for reading a body if the caller sets no deadline.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait for a first request on a connection that was accepted while the gateway stops, a few round
/// trips between availability zones.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(50);
/// Maximum time for which a caller reads nothing of an answer. A caller with 64 kbit/s empties the
/// smallest send buffer in a second.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limits of connections to the ports for readiness and metrics, whose clients probe every second.
const PROBE_TIMEOUTS: ConnectionTimeouts = ConnectionTimeouts {
    head: Duration::from_secs(3),
    idle: Duration::from_secs(60),
    unread: UNREAD_TIMEOUT,
};
/// Maximum size of a head on the ports for readiness and metrics, in bytes.
const MAX_PROBE_HEAD_BYTES: usize = 8 * 1024;
/// `Retry-After` when there is no memory for a request, about the time in which stalled ones are closed.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Accepts callers until the gateway stops.
pub(crate) async fn serve_callers(gateway: Arc<Gateway>, listener: TcpListener) {
    let mut stop = gateway.stop.clone();
    wisteriaford_http::limit_buffers(&listener, &gateway.caller_guard);
    wisteriaford_http::accept(listener, None, stopped(&mut stop), |stream, _| {
        if let Some((stream, slot)) = wisteriaford_http::admit(&gateway.caller_guard, stream) {
            let gateway = Arc::clone(&gateway);
            tokio::spawn(serve_caller(gateway, stream, slot));
        }
    })
    .await;
}

async fn serve_caller(gateway: Arc<Gateway>, stream: TcpStream, slot: Slot) {
    let idle_timeout = gateway.view.load().routes.limits.idle_timeout;
    let mut stop = gateway.stop.clone();
    let mut has_first_byte = tokio::select! {
        biased;
        has_first_byte = wisteriaford_http::wait_for_first_byte(&stream, idle_timeout) => has_first_byte,
        () = stopped(&mut stop) => false,
        () = slot.evicted() => return,
    };
    if !has_first_byte && *stop.borrow() {
        // A request may be on its way on a connection that was just accepted.
        has_first_byte = wisteriaford_http::wait_for_first_byte(&stream, LAST_REQUEST_WAIT).await;
    }
    if has_first_byte {
        let _open = OpenConnectionGuard::new(&gateway);
        // Boxed, and only after the first byte, so that an idle connection holds no buffers.
        Box::pin(serve_requests(Arc::clone(&gateway), stream, slot)).await;
    }
}

async fn serve_requests(gateway: Arc<Gateway>, stream: TcpStream, slot: Slot) {
    let limits = gateway.view.load().routes.limits;
    let mut stop = gateway.stop.clone();
    let (first_request, mut first_request_read) = watch::channel(false);
    let limits = ConnectionLimits {
        max_head_bytes: limits.max_head_bytes,
        timeouts: ConnectionTimeouts {
            head: limits.head_timeout,
            idle: limits.idle_timeout,
            unread: UNREAD_TIMEOUT,
        },
    };
    let handle = |request| {
        first_request.send_replace(true);
        let gateway = Arc::clone(&gateway);
        async move { handle(&gateway, request).await }
    };
    let close = until_closable(&mut stop, &mut first_request_read);
    wisteriaford_http::serve(stream, slot, limits, handle, close).await;
}

/// Waits until the gateway stops and the first request of a connection has been read.
///
/// The HTTP library would close the connection at once while it is reading the first head.
async fn until_closable(
    stop: &mut watch::Receiver<bool>,
    first_request_read: &mut watch::Receiver<bool>,
) {
    stopped(stop).await;
    // The sender lives as long as the connection.
    drop(first_request_read.wait_for(|is_read| *is_read).await);
}

/// Guard that counts a connection of a caller as open, from its first byte on.
struct OpenConnectionGuard(Arc<Gateway>);

impl OpenConnectionGuard {
    fn new(gateway: &Arc<Gateway>) -> Self {
        gateway.open_connections.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(gateway))
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Guard that counts a request as in progress until its answer is ready or the caller disconnects.
struct InProgressGuard<'a>(&'a Gateway);

impl<'a> InProgressGuard<'a> {
    fn new(gateway: &'a Gateway) -> Self {
        gateway.requests_in_progress.fetch_add(1, Ordering::AcqRel);
        Self(gateway)
    }
}

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.requests_in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn handle(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Answer {
    let _in_progress = InProgressGuard::new(gateway);
    let (parts, mut body) = request.into_parts();
    let slot = parts.extensions.get::<Slot>().cloned();
    let mut answer = answer(gateway, parts, &mut body, slot.as_ref()).await;
    wisteriaford_http::drain(body);
    if gateway.leaving.load(Ordering::Acquire) {
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

async fn answer(
    gateway: &Arc<Gateway>,
    mut parts: http::request::Parts,
    body: &mut Incoming,
    slot: Option<&Slot>,
) -> Answer {
    let head = match gateway.callers.decode_head(&parts) {
        Ok(head) => head,
        Err(error) => {
            log::warn!(error:% = error; "request head refused");
            gateway.metrics.record_refusal(Reason::BadHead);
            return refuse(Reason::BadHead, None);
        }
    };
    if head.target != CallerTarget::Routed {
        return answer_about_job(gateway, &head).await;
    }
    if !gateway.wait_until_current().await {
        gateway.metrics.record_refusal(Reason::NotCurrent);
        return refuse(Reason::NotCurrent, Some(NO_ROUTES_RETRY_AFTER));
    }
    let view = gateway.view.load_full();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let Some(route) = view.routes.find(&head.host, path) else {
        return no_route(gateway, &head, path, view.routes.version);
    };
    let route = Arc::clone(route);
    if let Err(reason) = organisations::authorise_call(gateway, &head, &route).await {
        return organisations::refuse_sender(gateway, &head, reason);
    }
    if route.kind == RouteKind::Batch && !caller_jobs::may_submit(gateway, &head, body) {
        return caller_jobs::refuse_full(gateway);
    }
    let max_body_bytes = view.routes.limits.max_body_bytes;
    let body_timeout = head.time_left.unwrap_or(DEFAULT_BODY_TIMEOUT);
    let read = wisteriaford_http::read_body(body, max_body_bytes, body_timeout, slot);
    let body = match shutdown::unless_last_answer(gateway, read).await {
        Some(Ok(body)) => body,
        None => {
            gateway.metrics.record_refusal(Reason::Stopping);
            return refuse(Reason::Stopping, Some(shutdown::RETRY_AFTER));
        }
        Some(Err(error)) => {
            let reason = Reason::from(error);
            // The budget logs what it refuses, at a limited rate.
            if reason != Reason::CallerMemory {
                log::warn!(request:% = head.request, reason:% = reason; "request body refused");
            }
            gateway.metrics.record_refusal(reason);
            let retry_after = (reason == Reason::CallerMemory).then_some(MEMORY_RETRY_AFTER);
            return refuse(reason, retry_after);
        }
    };
    // The key may have been removed while the body arrived.
    let sender = match organisations::authorise_call(gateway, &head, &route).await {
        Ok(sender) => sender,
        Err(reason) => return organisations::refuse_sender(gateway, &head, reason),
    };
    organisations::record_accepted(gateway, &sender);
    if route.kind == RouteKind::Batch {
        let submission = Submission {
            head: &head,
            route: &route,
            sender: &sender,
            path,
        };
        let submitted = caller_jobs::submit(gateway, &submission, body, slot);
        let submitted = shutdown::unless_last_answer(gateway, submitted).await;
        return submitted.unwrap_or_else(|| refuse(Reason::LogOutcomeUnknown, None));
    }
    if sender != Sender::Unrestricted {
        gateway.callers.remove_identity(&mut parts.headers);
    }
    forward::forward(gateway, &head, &route, &sender, &parts, body).await
}

/// Answers a request to read or end a batch job.
async fn answer_about_job(gateway: &Gateway, head: &CallerHead) -> Answer {
    let sender = match organisations::authorise_job_request(gateway, head).await {
        Ok(sender) => sender,
        Err(reason) => return organisations::refuse_sender(gateway, head, reason),
    };
    match &head.target {
        CallerTarget::Results {
            job,
            position,
            wait,
        } => caller_jobs::results(gateway, &sender, job, *position, *wait).await,
        CallerTarget::ItemBody { job, item } => {
            caller_jobs::item_body(gateway, &sender, job, item).await
        }
        CallerTarget::EndJob { job } => caller_jobs::end(gateway, &sender, head, job).await,
        CallerTarget::Routed => refuse(Reason::NoRoute, None),
    }
}

fn no_route(gateway: &Gateway, head: &CallerHead, path: &str, version: TableVersion) -> Answer {
    let reason = if version == TableVersion(0) {
        Reason::NoRoutesKnown
    } else if organisations::may_be_outdated(gateway) {
        Reason::NotCurrent
    } else {
        Reason::NoRoute
    };
    log::info!(
        request:% = head.request, host:% = head.host, path = path, table = version.0,
        reason:% = reason;
        "request refused"
    );
    gateway.metrics.record_refusal(reason);
    let retry_after = (reason != Reason::NoRoute).then_some(NO_ROUTES_RETRY_AFTER);
    refuse(reason, retry_after)
}

/// Serves readiness probes until the process ends.
pub(crate) async fn serve_readiness(gateway: Arc<Gateway>, listener: TcpListener) {
    let guard = Arc::clone(&gateway.probe_guard);
    serve_probes(guard, listener, move |request: Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        async move {
            let path = request.uri().path();
            if !gateway.callers.is_readiness_probe(request.method(), path) {
                return empty_answer(StatusCode::NOT_FOUND);
            }
            match gateway.readiness() {
                Ok(()) => empty_answer(StatusCode::OK),
                Err(reason) => {
                    let mut answer = empty_answer(StatusCode::SERVICE_UNAVAILABLE);
                    *answer.body_mut() = full_body(reason.to_string());
                    answer
                }
            }
        }
    })
    .await;
}

/// Serves metrics in the Prometheus text format, and questions about placement, until the process ends.
pub(crate) async fn serve_metrics(gateway: Arc<Gateway>, address: SocketAddr) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(address:% = address, error:% = error; "failed to bind the metrics address");
            return;
        }
    };
    let guard = Arc::clone(&gateway.probe_guard);
    serve_probes(guard, listener, move |request: Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        async move {
            let uri = request.uri();
            let explained =
                placement::answer(&gateway, uri.path(), uri.query().unwrap_or_default());
            explained.unwrap_or_else(|| http::Response::new(full_body(gateway.metrics.text())))
        }
    })
    .await;
}

/// Serves the clients of a port for readiness or metrics until the process ends.
async fn serve_probes<F>(
    guard: Arc<Guard>,
    listener: TcpListener,
    answer: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Answer> + Send + 'static,
{
    let limits = ConnectionLimits {
        max_head_bytes: MAX_PROBE_HEAD_BYTES,
        timeouts: PROBE_TIMEOUTS,
    };
    let never = std::future::pending();
    wisteriaford_http::limit_buffers(&listener, &guard);
    wisteriaford_http::accept(listener, None, never, |stream, _| {
        // A failure only delays when a dead peer is noticed.
        drop(connection_pool::configure(&stream));
        let Some((stream, slot)) = wisteriaford_http::admit(&guard, stream) else {
            return;
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let never = std::future::pending();
            wisteriaford_http::serve(stream, slot, limits, answer, never).await;
        });
    })
    .await;
}

/// Serves requests with `answer`, without routing, until the process ends.
pub(crate) async fn serve_unrouted<F>(
    listener: TcpListener,
    answer: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Answer> + Send + 'static,
{
    let never = std::future::pending();
    wisteriaford_http::accept(listener, None, never, |stream, _| {
        // A failure only delays when a dead peer is noticed.
        drop(connection_pool::configure(&stream));
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let answer = answer(request);
            async move { Ok::<_, std::convert::Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .with_upgrades();
        // An error affects only this connection.
        tokio::spawn(async move { drop(connection.await) });
    })
    .await;
}
