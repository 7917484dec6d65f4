//! Forwarding of event streams to callers, resumed at another endpoint after a failure.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use wisteriaford_core::gateway::attempts::Attempts;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::event_sequence;
use wisteriaford_core::gateway::load_balancer::CALL_COSTS;
use wisteriaford_core::gateway::load_balancer::SelectionCriteria;
use wisteriaford_core::gateway::load_balancer::StreamEvents;
use wisteriaford_core::gateway::route::Route;
use wisteriaford_core::gateway::suspects::Loss;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::Fingerprint;
use wisteriaford_core::id::OrganisationId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::SoftwareVersion;
use wisteriaford_core::time::Timestamp;
use wisteriaford_http::Slot;

use crate::adapter::CallerHead;
use crate::adapter::EndpointRequest;
use crate::client::CallError;
use crate::client::IncomingAnswer;
use crate::clock;
use crate::event_stream::EventReader;
use crate::forward::Call;
use crate::forward::InFlightGuard;
use crate::forward::find_mismatch;
use crate::forward::request::build_request;
use crate::forward::request::remove_hop_by_hop_headers;
use crate::permits;
use crate::permits::Selection;
use crate::reach;
use crate::refusal::Answer;
use crate::refusal::Reason;
use crate::run;
use crate::run::Run;
use crate::run::RunPermit;
use crate::sends::SendKind;
use crate::state::Gateway;
use crate::stream_origins;
use crate::stream_origins::StreamRecords;
use crate::unread_events::Disconnected;
use crate::unread_events::EventSender;
use crate::usage;

/// Time without data after which a resumable stream is resumed at another endpoint.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which a silent stream is checked for having stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Silence after which a stream counts as lost with the links of this instance, some events long.
pub(crate) const CUT_SILENCE: Duration = Duration::from_millis(400);
/// Delay before a stream is resumed at another endpoint.
const RESUME_BACKOFF: Duration = Duration::from_millis(30);

/// Returns whether an answer is a stream of events.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    let text = content_type.and_then(|value| value.to_str().ok());
    text.is_some_and(|text| text.starts_with("text/event-stream"))
}

/// Maximum time for which a stream waits for a permit of an endpoint that limits its requests.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(700);

/// Stream of an endpoint whose head has arrived.
pub(crate) struct OpenStream {
    pub(crate) answer: IncomingAnswer,
    pub(crate) run: Run,
}

/// Call whose answer is a stream that is being forwarded.
struct StreamedCall {
    gateway: Arc<Gateway>,
    head: CallerHead,
    route: Arc<Route>,
    pool: PoolId,
    parts: http::request::Parts,
    body: Bytes,
    fingerprint: Fingerprint,
    arrived_at: Timestamp,
    deadline: Timestamp,
    /// Organisation that the caller's key belonged to when the call was accepted.
    organisation: Option<OrganisationId>,
    priority: u32,
    attempts: Attempts,
    last_event: Option<u64>,
    /// Version of the software that made the events sent to the caller; `None` also if it isn't certain.
    software: Option<SoftwareVersion>,
    /// Whether it is certain that the endpoint of the present part runs the software of its entry.
    is_confirmed: bool,
    records: StreamRecords,
    /// Whether the call has been counted for its organisation.
    is_counted: bool,
}

impl StreamedCall {
    /// Returns the request with which an endpoint goes on after the last event sent to the caller.
    fn request(&self, endpoint: &Endpoint) -> EndpointRequest {
        let call = Call {
            head: &self.head,
            route: &self.route,
            pool: &self.pool,
            parts: &self.parts,
            body: self.body.clone(),
            fingerprint: self.fingerprint,
            arrived_at: clock::now(),
            deadline: self.deadline,
            organisation: self.organisation.clone(),
            priority: self.priority,
            software: self.software.clone(),
            is_counted: AtomicBool::new(self.is_counted),
            sent: AtomicBool::new(true),
        };
        build_request(&self.gateway, &call, endpoint, self.last_event)
    }
}

/// Outcome of forwarding one endpoint's part of a stream.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The caller has disconnected.
    CallerDisconnected,
    /// The stream of the endpoint failed.
    Failed(CallError),
}

/// Returns an answer that forwards a stream; a resumable stream that fails is resumed at another
/// endpoint.
pub(crate) fn deliver(
    gateway: &Arc<Gateway>,
    call: &Call<'_>,
    attempts: Attempts,
    open: OpenStream,
) -> Answer {
    let mut headers = open.answer.response.headers().clone();
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let status = open.answer.response.status();
    let streamed = StreamedCall {
        gateway: Arc::clone(gateway),
        head: call.head.clone(),
        route: Arc::clone(call.route),
        pool: call.pool.clone(),
        parts: call.parts.clone(),
        body: call.body.clone(),
        fingerprint: call.fingerprint,
        arrived_at: call.arrived_at,
        deadline: call.deadline,
        organisation: call.organisation.clone(),
        priority: call.priority,
        attempts,
        last_event: call.head.after_event,
        software: call.software.clone(),
        is_confirmed: false,
        records: StreamRecords::default(),
        // A stream that a caller continues was counted with its first event.
        is_counted: call.is_counted.load(Ordering::Acquire) || call.head.after_event.is_some(),
    };
    let slot = call.parts.extensions.get::<Slot>().cloned();
    let (sender, receiver) = EventSender::new(slot);
    tokio::spawn(forward_stream(streamed, open, sender));
    let frames = futures_util::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|frame| (frame, receiver))
    });
    let mut answer = Response::new(StreamBody::new(Box::pin(frames)).boxed());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

async fn forward_stream(mut call: StreamedCall, mut open: OpenStream, mut sender: EventSender) {
    loop {
        let OpenStream { answer, mut run } = open;
        let endpoint = run.endpoint().clone();
        call.gateway.load_balancer().record_start(&endpoint);
        let in_flight = InFlightGuard::from_counted(&call.gateway, &endpoint);
        let end = forward_part(&mut call, answer, &mut run, &mut sender).await;
        drop(in_flight);
        let error = match end {
            PartEnd::Complete => {
                run.complete();
                let duration = clock::now().since(call.arrived_at);
                call.gateway
                    .shutdown
                    .record_duration(&call.route.id, duration);
                return;
            }
            PartEnd::CallerDisconnected => {
                log::info!(
                    request:% = call.head.request, endpoint:% = endpoint;
                    "caller disconnected from stream"
                );
                return;
            }
            PartEnd::Failed(error) => error,
        };
        log::info!(
            request:% = call.head.request, fingerprint:% = call.fingerprint,
            endpoint:% = endpoint, error:% = error, last_event = call.last_event;
            "stream failed"
        );
        if !call.gateway.is_excused(run.began_at()) {
            let mut load_balancer = call.gateway.load_balancer();
            load_balancer.record_failure(clock::now(), &endpoint);
        }
        let is_alone = run.is_alone();
        run.lose(match error {
            CallError::Timeout => Loss::Silent,
            CallError::Unreachable { .. } | CallError::Lost { .. } => Loss::Broken,
        });
        let next = if is_alone {
            None
        } else {
            resume(&mut call).await
        };
        let Some(next) = next else {
            sender.fail(error).await;
            return;
        };
        open = next;
        call.is_confirmed = false;
    }
}

async fn forward_part(
    call: &mut StreamedCall,
    mut open: IncomingAnswer,
    run: &mut Run,
    sender: &mut EventSender,
) -> PartEnd {
    let mut reader = EventReader::default();
    let mut events = StreamEvents::new(clock::now());
    let mut silent_since = clock::now();
    loop {
        let now = clock::now();
        let remaining = call.deadline.since(now);
        let timeout = if call.route.is_resumable() {
            let silence = now.since(silent_since);
            SILENCE_TIMEOUT.saturating_sub(silence).min(remaining)
        } else {
            remaining
        };
        let wait = timeout.min(STALL_CHECK_INTERVAL);
        let frame = tokio::select! {
            frame = tokio::time::timeout(wait, open.response.body_mut().frame()) => frame,
            () = sender.closed() => return PartEnd::CallerDisconnected,
        };
        let bytes = match frame {
            Err(_) if is_stalled(call, run.endpoint(), &events) => {
                // An endpoint that goes on has not crashed.
                run.dismiss();
                return PartEnd::Failed(CallError::Timeout);
            }
            Err(_) if is_way_cut(call, run, &open, silent_since) => {
                run.dismiss();
                return PartEnd::Failed(CallError::Timeout);
            }
            Err(_) if wait < timeout => continue,
            Err(_) if timeout < remaining && !can_resume(call) => {
                // A slow stream is worth more than none.
                silent_since = clock::now();
                continue;
            }
            Err(_) => return PartEnd::Failed(CallError::Timeout),
            Ok(Some(Err(error))) => return PartEnd::Failed(CallError::lost(error)),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) if reader.has_partial_event() => {
                return PartEnd::Failed(CallError::lost("the stream ended within an event"));
            }
            Ok(None) => {
                open.keep_connection();
                return PartEnd::Complete;
            }
        };
        reader.push(&bytes);
        sender.charge_buffer(reader.buffer_bytes());
        loop {
            let event = match reader.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(error) => {
                    run.dismiss();
                    return PartEnd::Failed(CallError::lost(error));
                }
            };
            if call.route.is_resumable() && event.is_progress() {
                let last = call.last_event;
                if let Err(error) = event_sequence::check(last, event.number, event.has_data) {
                    run.dismiss();
                    return PartEnd::Failed(CallError::lost(error));
                }
            }
            if event.is_progress() {
                run.record_output();
                silent_since = clock::now();
                if !std::mem::replace(&mut call.is_counted, true) {
                    usage::count(&call.gateway, call.organisation.as_ref(), silent_since);
                }
                reach::record_heard(&call.gateway, &open);
                let mut load_balancer = call.gateway.load_balancer();
                load_balancer.record_event(silent_since, run.endpoint(), &mut events);
            }
            let number = event.number.valid();
            if number.is_some() && number <= call.last_event {
                continue;
            }
            if number.is_some() && call.route.is_resumable() && !record_origin(call, run) {
                run.dismiss();
                let error = "the endpoint may have restarted with other software";
                return PartEnd::Failed(CallError::lost(error));
            }
            call.last_event = number.or(call.last_event);
            // The parsed fields would be held while the event waits for its caller.
            let raw = event.into_raw();
            sender.charge_buffer(reader.buffer_bytes());
            let remaining = call.deadline.since(clock::now());
            match tokio::time::timeout(remaining, sender.send(raw)).await {
                Ok(Ok(())) => {}
                Ok(Err(Disconnected)) => return PartEnd::CallerDisconnected,
                // The caller has not read for so long that its deadline has passed.
                Err(_) => return PartEnd::Failed(CallError::Timeout),
            }
        }
    }
}

/// Records which version of the software begins the stream, before its first event is sent, and again while
/// it goes on. Returns whether the event may be sent to the caller: not if it may be of another version than
/// those before.
fn record_origin(call: &mut StreamedCall, run: &Run) -> bool {
    if !call.is_confirmed {
        let view = call.gateway.view.load();
        let history = call.gateway.origins.history();
        call.is_confirmed = history.confirms(clock::now(), run.entry(), &view.endpoints);
    }
    if !call.is_confirmed {
        return call.software.is_none();
    }
    let software = call
        .software
        .get_or_insert_with(|| run.entry().software.clone())
        .clone();
    let first = stream_origins::first_request(&call.head, &call.route);
    stream_origins::record(
        &call.gateway,
        &mut call.records,
        first,
        &call.pool,
        &software,
    );
    true
}

/// Returns whether a stream that can be resumed stalled while its endpoint went on with others.
fn is_stalled(call: &StreamedCall, endpoint: &EndpointId, events: &StreamEvents) -> bool {
    let now = clock::now();
    let is_stalled = {
        let load_balancer = call.gateway.load_balancer();
        load_balancer.is_stalled(now, endpoint, events)
    };
    is_stalled && call.route.is_resumable() && can_resume(call)
}

/// Returns whether a silent stream comes over a link of this instance that is cut, while others can carry
/// it on. Has the links checked if no endpoint is heard.
fn is_way_cut(
    call: &StreamedCall,
    run: &Run,
    open: &IncomingAnswer,
    silent_since: Timestamp,
) -> bool {
    let silence = clock::now().since(silent_since);
    if open.is_carried() || silence < CUT_SILENCE || !call.route.is_resumable() {
        return false;
    }
    // An answer from before a cut that came after the last event must not keep the links from being checked.
    reach::check_after_silence(&call.gateway, clock::now() - CUT_SILENCE);
    call.gateway.is_excused(run.began_at()) && can_resume(call)
}

fn can_resume(call: &StreamedCall) -> bool {
    call.attempts.may_try() && knows_software(call) && has_endpoint(call)
}

/// Returns whether it is certain which endpoints run the version of the events sent to the caller: an
/// endpoint may have restarted with other software since old entries were read. Any version may send the
/// first event.
fn knows_software(call: &StreamedCall) -> bool {
    match &call.software {
        Some(_) => call.gateway.origins.history().is_current(clock::now()),
        None => call.last_event.is_none(),
    }
}

/// Resumes the stream at another endpoint, after the last event sent to the caller.
async fn resume(call: &mut StreamedCall) -> Option<OpenStream> {
    let has_time = |call: &StreamedCall| call.deadline > clock::now();
    let gateway = Arc::clone(&call.gateway);
    while call.route.is_resumable() && call.attempts.may_try() && has_time(call) {
        tokio::time::sleep(RESUME_BACKOFF).await;
        let permit = admit(call).await?;
        if !knows_software(call) {
            return None;
        }
        let endpoint = match select(call).await {
            Selection::Selected(endpoint, _) => endpoint,
            Selection::Limited { retry_after } if retry_after <= MAX_PERMIT_WAIT => {
                tokio::time::sleep(retry_after).await;
                continue;
            }
            Selection::Limited { .. } | Selection::NoEndpoint => return None,
        };
        call.attempts.record(endpoint.id.clone());
        if !run::may_begin(&call.gateway, &endpoint, call.fingerprint).await {
            call.attempts.record_unreachable();
            continue;
        }
        let sent_at = gateway.record_send(&endpoint, SendKind::Resumption);
        let opened = async {
            let connection = reach::connect(&gateway, &endpoint, true).await?;
            if permits::is_outdated(&gateway, &endpoint, sent_at) {
                return Err(CallError::unreachable("the permit is outdated"));
            }
            if let Some(carrier) = &connection.carrier {
                log::info!(
                    request:% = call.head.request, endpoint:% = endpoint.id, carrier:% = carrier;
                    "stream resumed over another instance"
                );
            }
            let request = call.request(&endpoint);
            reach::send(&gateway, &endpoint, connection, request).await
        };
        let remaining = call.deadline.since(clock::now()).min(SILENCE_TIMEOUT);
        let mut run = Run::begin(&endpoint, call.fingerprint, permit);
        let answer = match tokio::time::timeout(remaining, opened).await {
            Ok(Ok(answer)) => answer,
            failure => {
                match failure {
                    Ok(Err(CallError::Lost { .. })) => run.lose(Loss::Broken),
                    Ok(_) => {
                        run.dismiss();
                        call.attempts.record_unreachable();
                    }
                    Err(_) => run.lose(Loss::Silent),
                }
                if !gateway.is_excused(sent_at) {
                    let mut load_balancer = gateway.load_balancer();
                    load_balancer.record_unreachable(clock::now(), &endpoint.id);
                }
                continue;
            }
        };
        let response = &answer.response;
        let protocol = &call.gateway.endpoints;
        let metadata = protocol.decode_answer(response.status(), response.headers());
        call.gateway.record_answer(&endpoint, sent_at, &metadata);
        if let Some(mismatch) = find_mismatch(&call.head.request, &metadata) {
            log::info!(
                request:% = call.head.request, endpoint:% = endpoint.id, error:% = mismatch;
                "answer of an endpoint lost"
            );
            run.dismiss();
            continue;
        }
        if response.status().is_success() && is_event_stream(response.headers()) {
            log::info!(
                request:% = call.head.request, endpoint:% = endpoint.id,
                software:% = endpoint.software, after_event = call.last_event;
                "stream resumed"
            );
            return Some(OpenStream { answer, run });
        }
        run.dismiss();
    }
    None
}

/// Returns the permission to resume the stream, unless its request crashes endpoints or the endpoints
/// could not be read after a pause.
async fn admit(call: &StreamedCall) -> Option<RunPermit> {
    if !call.gateway.wait_until_current().await {
        return None;
    }
    let admitted = run::admit(&call.gateway, call.fingerprint).await;
    if admitted.is_err() {
        log::warn!(
            request:% = call.head.request, fingerprint:% = call.fingerprint,
            last_event = call.last_event;
            "stream not resumed, its request crashed endpoints"
        );
        call.gateway.metrics.record_refusal(Reason::Quarantined);
    }
    admitted.ok()
}

fn criteria(call: &StreamedCall) -> SelectionCriteria<'_> {
    SelectionCriteria {
        pool: &call.pool,
        tried: call.attempts.tried(),
        software: call.software.as_ref(),
        affinity: None,
        max_in_flight: None,
        allow_unavailable: false,
        prefer_proven: false,
        costs: CALL_COSTS,
    }
}

/// Returns whether there is an endpoint that may take the stream.
fn has_endpoint(call: &StreamedCall) -> bool {
    let now = clock::now();
    let view = call.gateway.view.load();
    let load_balancer = call.gateway.load_balancer();
    let limits = call.gateway.announced_limits();
    let accepts = |endpoint: &Endpoint| limits.may_request(now, endpoint);
    let selected = load_balancer.select(now, &view.endpoints, &criteria(call), |_| 0, accepts);
    selected.is_some()
}

/// Selects the endpoint that takes the stream.
async fn select(call: &StreamedCall) -> Selection {
    permits::select(&call.gateway, &criteria(call), call.priority).await
}
