//! Forwarding of calls to endpoints.
//!
//! An idempotent call that exceeds its usual latency is hedged: it is also sent to a second
//! endpoint, the first answer wins and the other attempt is cancelled. Any other call is retried
//! only if the endpoint guaranteed that it did not run, or nothing was sent.

mod choice;
mod in_flight;
pub(crate) mod request;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use wisteriaford_core::gateway::answer_match;
use wisteriaford_core::gateway::attempts::Attempts;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::fingerprint::call_fingerprint;
use wisteriaford_core::gateway::organisations::Sender;
use wisteriaford_core::gateway::route::Route;
use wisteriaford_core::gateway::suspects::Loss;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::Fingerprint;
use wisteriaford_core::id::OrganisationId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::RequestId;
use wisteriaford_core::id::SoftwareVersion;
use wisteriaford_core::time::Timestamp;

use crate::adapter::AnswerMetadata;
use crate::adapter::CallerHead;
use crate::adapter::EndpointRequest;
use crate::call_shares::CallShare;
use crate::client::CallError;
use crate::client::IncomingAnswer;
use crate::clock;
use crate::forward::choice::CallState;
pub(crate) use crate::forward::choice::criteria;
use crate::forward::choice::exhausted;
use crate::forward::choice::has_alternative;
use crate::forward::choice::hedge_endpoint;
use crate::forward::choice::next_endpoint;
pub(crate) use crate::forward::in_flight::InFlightGuard;
use crate::forward::request::build_request;
use crate::forward::request::remove_hop_by_hop_headers;
use crate::permits;
use crate::reach;
use crate::refusal::Answer;
use crate::refusal::Reason;
use crate::refusal::full_body;
use crate::refusal::refuse;
use crate::run;
use crate::run::Run;
use crate::run::RunPermit;
use crate::sends::SendKind;
use crate::shutdown;
use crate::state::Gateway;
use crate::stream;
use crate::stream::OpenStream;
use crate::stream_origins;
use crate::usage;

/// Timeout of a call if neither the caller nor the route sets one; all known routes do.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Multiple of the pool's usual latency after which an idempotent call is hedged; the slowest
/// healthy calls take seven times the mean.
const HEDGE_DELAY_FACTOR: u32 = 4;
/// Minimum delay before an idempotent call is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(60);
/// Delay before an idempotent call is hedged while the usual latency of the pool is unknown.
const DEFAULT_HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Time without an answer after which the links of the instance are checked, unless an endpoint is heard.
const CHECK_DELAY: Duration = Duration::from_millis(150);
/// `Retry-After` of calls that did not run, about the duration of a few calls.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(150);
/// `Retry-After` of calls over the share of their organisation, some divisions of the capacity later.
const SHARE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Part of a call's timeout that is reserved for returning the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// Call that is being forwarded.
pub(crate) struct Call<'a> {
    pub(crate) head: &'a CallerHead,
    pub(crate) route: &'a Arc<Route>,
    pub(crate) pool: &'a PoolId,
    pub(crate) parts: &'a Parts,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived_at: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Organisation that the caller's key belonged to when the call was accepted.
    pub(crate) organisation: Option<OrganisationId>,
    /// Priority of the organisation, or else of the route; 0 is the highest.
    pub(crate) priority: u32,
    /// Version of the software that began the stream, if the caller continues one.
    pub(crate) software: Option<SoftwareVersion>,
    /// Whether the call has been counted for its organisation.
    pub(crate) is_counted: AtomicBool,
    /// Whether the call may have been sent to an endpoint.
    pub(crate) sent: AtomicBool,
}

/// Outcome of an attempt.
pub(crate) enum Attempt {
    /// The endpoint answered.
    Answered(Answered),
    /// The endpoint guaranteed that it did not run the call.
    NotRun(StatusCode),
    /// Nothing was sent.
    Unreachable(CallError),
    /// The call may have run.
    Lost(CallError),
}

/// Answer of an endpoint.
pub(crate) enum Answered {
    /// The answer was read completely.
    Complete(StatusCode, HeaderMap, Bytes),
    /// The answer is a stream of events that is still arriving.
    Stream(Box<OpenStream>),
}

impl Answered {
    fn status(&self) -> StatusCode {
        match self {
            Self::Complete(status, ..) => *status,
            Self::Stream(open) => open.answer.response.status(),
        }
    }
}

/// Forwards a call and returns its answer.
pub(crate) async fn forward(
    gateway: &Arc<Gateway>,
    head: &CallerHead,
    route: &Arc<Route>,
    sender: &Sender,
    parts: &Parts,
    body: Bytes,
) -> Answer {
    let arrived = clock::now();
    let time = [head.time_left, route.timeout].into_iter().flatten().min();
    let time = time
        .unwrap_or(DEFAULT_TIMEOUT)
        .saturating_sub(ANSWER_MARGIN);
    let first = stream_origins::first_request(head, route);
    let Some(pool) = route.pool_for(first.as_str()) else {
        return refuse(Reason::NoEndpoint, Some(RETRY_AFTER));
    };
    let share = match CallShare::admit(gateway, head, route, sender, pool) {
        Ok(share) => share,
        Err(reason) => {
            gateway.metrics.record_refusal(reason);
            return refuse(reason, Some(SHARE_RETRY_AFTER));
        }
    };
    let software = match stream_origins::of_call(gateway, head, route, pool).await {
        Ok(software) => software,
        Err(reason) => {
            log::info!(
                request:% = head.request, route:% = route.id, after_event = head.after_event,
                continues = head.continues.as_ref().map(RequestId::as_str), reason:% = reason;
                "stream not continued"
            );
            gateway.metrics.record_refusal(reason);
            return refuse(reason, Some(RETRY_AFTER));
        }
    };
    let call = Call {
        head,
        route,
        pool,
        parts,
        fingerprint: fingerprint(head, parts, &body),
        body,
        arrived_at: arrived,
        deadline: arrived + time,
        organisation: sender.organisation().cloned(),
        priority: sender.priority(route),
        software,
        is_counted: AtomicBool::new(false),
        sent: AtomicBool::new(false),
    };
    let mut state = CallState::new(route);
    let attempts = tokio::time::timeout(time, run_attempts(gateway, &call, &mut state));
    let finished = shutdown::unless_last_answer(gateway, attempts).await;
    let is_sent = call.sent.load(Ordering::Acquire);
    let result = match finished {
        Some(Ok(result)) => result,
        Some(Err(_)) if is_sent => Err(Reason::Deadline),
        Some(Err(_)) => Err(Reason::EndpointsUnreachable),
        None if is_sent => Err(Reason::AnswerLost),
        None => Err(Reason::Stopping),
    };
    let elapsed = clock::now().since(arrived);
    gateway.metrics.record_call_time(elapsed);
    log_outcome(gateway, &call, &state, &result, elapsed);
    match result {
        Ok((_, answered)) => {
            share.record_served();
            if matches!(answered, Answered::Complete(..)) {
                gateway.shutdown.record_duration(&route.id, elapsed);
            }
            deliver(gateway, &call, state.attempts, answered)
        }
        Err(reason) => {
            if state.is_contended(reason) {
                share.record_refused();
            }
            gateway.metrics.record_refusal(reason);
            let retry_after = state.retry_after.unwrap_or(match reason {
                Reason::Stopping => shutdown::RETRY_AFTER,
                _ => RETRY_AFTER,
            });
            let retry_after = (!state.may_have_run).then_some(retry_after);
            refuse(reason, retry_after)
        }
    }
}

fn fingerprint(head: &CallerHead, parts: &Parts, body: &[u8]) -> Fingerprint {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    call_fingerprint(parts.method.as_str(), &head.host, path, body)
}

fn log_outcome(
    gateway: &Gateway,
    call: &Call<'_>,
    state: &CallState,
    result: &Result<(Endpoint, Answered), Reason>,
    elapsed: Duration,
) {
    let tried = state.attempts.tried().iter();
    let tried: Vec<&str> = tried.map(EndpointId::as_str).collect();
    let tried = tried.join(",");
    let outcome: CompactString = match result {
        Ok((_, answered)) => compact_str::format_compact!("{}", answered.status().as_u16()),
        Err(reason) => compact_str::format_compact!("{reason}"),
    };
    log::info!(
        request:% = call.head.request, fingerprint:% = call.fingerprint, route:% = call.route.id,
        pool:% = call.pool, endpoints = tried, outcome:% = outcome, may_have_run = state.may_have_run,
        retry_after_ms = state.retry_after.map(|delay| delay.as_millis()),
        took_ms = elapsed.as_millis(), time_left_ms = call.deadline.since(clock::now()).as_millis(),
        continues = call.head.continues.as_ref().map(RequestId::as_str),
        after_event = call.head.after_event, table = gateway.view.load().routes.version.0;
        "call ended"
    );
}

/// Attempts a call at one endpoint after the other until it is answered, with a hedge if the call is
/// idempotent.
async fn run_attempts(
    gateway: &Arc<Gateway>,
    call: &Call<'_>,
    state: &mut CallState,
) -> Result<(Endpoint, Answered), Reason> {
    let idempotent = call.route.is_idempotent();
    let mut attempts = FuturesUnordered::new();
    let mut started_at = call.arrived_at;
    let mut may_hedge = idempotent;
    let mut may_check = idempotent;
    loop {
        if attempts.is_empty() {
            if !shutdown::may_begin(gateway, call.route, call.deadline) {
                return Err(state.unsent_reason(Reason::Stopping));
            }
            let permit = admit(gateway, call, state).await?;
            let Some(endpoint) = next_endpoint(gateway, call, state).await else {
                return exhausted(state);
            };
            let is_first = state.attempts.tried().len() == 1;
            let kind = if is_first {
                SendKind::Call
            } else {
                SendKind::Retry
            };
            let is_last = !has_alternative(gateway, call, state);
            started_at = clock::now();
            attempts.push(attempt(gateway, call, endpoint, kind, permit, is_last));
        }
        let until = |time: Timestamp| tokio::time::sleep(time.since(clock::now()));
        let hedge = until(started_at + hedge_delay(gateway, call));
        let check = until(call.arrived_at + CHECK_DELAY);
        let is_alone = attempts.len() == 1 && !is_suspect(gateway, call);
        tokio::select! {
            ended = attempts.next() => {
                let Some((endpoint, outcome)) = ended else { continue };
                if let Some(answered) = final_answer(call, state, &endpoint, outcome)? {
                    return Ok((endpoint, answered));
                }
            }
            () = hedge, if may_hedge && is_alone => {
                if let Some(endpoint) = hedge_endpoint(gateway, call, state) {
                    gateway.metrics.hedges.add(1, &[]);
                    started_at = clock::now();
                    let permit = RunPermit::admitted(gateway, call.fingerprint, false);
                    attempts.push(attempt(gateway, call, endpoint, SendKind::Hedge, permit, false));
                } else {
                    may_hedge = false;
                }
            }
            () = check, if may_check => {
                may_check = false;
                reach::check_without_answers(gateway, call.arrived_at);
            }
        }
    }
}

/// Returns the permission for the next attempt. A call that crashed the endpoints that ran it is not
/// sent to another one, and none is sent before the endpoints were read after a pause.
async fn admit(
    gateway: &Arc<Gateway>,
    call: &Call<'_>,
    state: &mut CallState,
) -> Result<RunPermit, Reason> {
    if !gateway.wait_until_current().await {
        return Err(state.unsent_reason(Reason::NotCurrent));
    }
    let admitted = run::admit(gateway, call.fingerprint).await;
    state.alone = admitted.as_ref().is_ok_and(RunPermit::is_alone);
    admitted.map_err(|retry_after| {
        state.retry_after = Some(retry_after);
        state.unsent_reason(Reason::Quarantined)
    })
}

fn is_suspect(gateway: &Gateway, call: &Call<'_>) -> bool {
    let suspects = gateway.suspects();
    suspects.is_suspect(clock::now(), call.fingerprint)
}

/// Returns the answer to deliver if the outcome of an attempt is final for the call.
fn final_answer(
    call: &Call<'_>,
    state: &mut CallState,
    endpoint: &Endpoint,
    outcome: Attempt,
) -> Result<Option<Answered>, Reason> {
    match outcome {
        Attempt::Answered(answered) => {
            let failed = answered.status().is_server_error();
            state.may_have_run = true;
            if !failed || !call.route.is_idempotent() {
                return Ok(Some(answered));
            }
            state.failure = Some(answered);
            Ok(None)
        }
        Attempt::NotRun(status) => {
            state.record_not_run(status);
            log::info!(
                request:% = call.head.request, endpoint:% = endpoint.id, status = status.as_u16();
                "endpoint refused a call"
            );
            Ok(None)
        }
        Attempt::Unreachable(error) => {
            state.attempts.record_unreachable();
            log::info!(
                request:% = call.head.request, endpoint:% = endpoint.id, error:% = error;
                "endpoint unreachable"
            );
            Ok(None)
        }
        Attempt::Lost(error) => {
            log::info!(
                request:% = call.head.request, fingerprint:% = call.fingerprint,
                endpoint:% = endpoint.id, error:% = error;
                "answer of an endpoint lost"
            );
            state.may_have_run = true;
            if call.route.is_idempotent() && !state.alone {
                return Ok(None);
            }
            Err(Reason::AnswerLost)
        }
    }
}

fn hedge_delay(gateway: &Gateway, call: &Call<'_>) -> Duration {
    let usual = gateway.load_balancer().median_pace(call.pool);
    usual.map_or(DEFAULT_HEDGE_DELAY, |usual| {
        (usual * HEDGE_DELAY_FACTOR).max(MIN_HEDGE_DELAY)
    })
}

/// Sends a call to an endpoint and records the outcome with the load balancer.
async fn attempt(
    gateway: &Arc<Gateway>,
    call: &Call<'_>,
    endpoint: Endpoint,
    kind: SendKind,
    permit: RunPermit,
    is_last: bool,
) -> (Endpoint, Attempt) {
    let _in_flight = InFlightGuard::from_counted(gateway, &endpoint.id);
    if !run::may_begin(gateway, &endpoint, call.fingerprint).await {
        let error = CallError::unreachable("no answer to a probe");
        return (endpoint, Attempt::Unreachable(error));
    }
    let sent = clock::now();
    let is_answered = gateway.links().is_answered_since(call.arrived_at);
    let is_silent_hedge = kind == SendKind::Hedge && !is_answered;
    let run = Run::begin(&endpoint, call.fingerprint, permit);
    let request = Exchange {
        endpoint: &endpoint,
        kind,
        build: Box::new(|| build_request(gateway, call, &endpoint, None)),
        id: &call.head.request,
        // A hedge doesn't go the way that may be dead.
        fresh: !call.route.is_idempotent() || is_silent_hedge,
        is_last,
        sent: &call.sent,
    };
    let awaited = usage::AwaitedAttempt::new(gateway, call, sent);
    let outcome = exchange(gateway, request, run).await;
    awaited.end(&outcome);
    let now = clock::now();
    let is_excused = gateway.is_excused(sent);
    let mut load_balancer = gateway.load_balancer();
    match &outcome {
        Attempt::Answered(answered) if answered.status().is_server_error() => {
            load_balancer.record_failure(now, &endpoint.id);
        }
        Attempt::Answered(_) => {
            load_balancer.record_success(&endpoint.id);
            load_balancer.record_pace(now, call.pool, &endpoint.id, now.since(sent));
            load_balancer.record_progress(now, &endpoint.id);
        }
        Attempt::NotRun(_) => load_balancer.record_full(now, &endpoint.id),
        Attempt::Unreachable(_) | Attempt::Lost(_) if is_excused => {}
        Attempt::Unreachable(_) | Attempt::Lost(_) => {
            load_balancer.record_unreachable(now, &endpoint.id);
        }
    }
    drop(load_balancer);
    (endpoint, outcome)
}

/// Request to an endpoint that expects one answer.
pub(crate) struct Exchange<'a> {
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) kind: SendKind,
    /// Builds the request once there is a connection: it says how much time is left.
    pub(crate) build: Box<dyn FnOnce() -> EndpointRequest + Send + 'a>,
    /// Id that the answer must name.
    pub(crate) id: &'a RequestId,
    /// Whether the request must be sent on a new connection.
    pub(crate) fresh: bool,
    /// Whether no other endpoint can serve the request, so that one that answers late is waited for.
    pub(crate) is_last: bool,
    /// Set once the request may have been sent.
    pub(crate) sent: &'a AtomicBool,
}

/// Sends a request to an endpoint and reads the answer, or the head of a stream.
pub(crate) async fn exchange(
    gateway: &Arc<Gateway>,
    exchange: Exchange<'_>,
    mut run: Run,
) -> Attempt {
    let Exchange {
        endpoint,
        kind,
        build,
        id,
        fresh,
        is_last,
        sent,
    } = exchange;
    let began_at = clock::now();
    let connected = if is_last {
        reach::connect_patiently(gateway, endpoint, fresh).await
    } else {
        reach::connect(gateway, endpoint, fresh).await
    };
    let connection = match connected {
        Ok(connection) => connection,
        Err(error) => {
            run.dismiss();
            return Attempt::Unreachable(error);
        }
    };
    if permits::is_outdated(gateway, endpoint, began_at) {
        run.dismiss();
        return Attempt::Unreachable(CallError::unreachable("the permit is outdated"));
    }
    if let Some(carrier) = &connection.carrier {
        log::info!(
            request:% = id, endpoint:% = endpoint.id, carrier:% = carrier, kind:% = kind;
            "request sent over another instance"
        );
    }
    sent.store(true, Ordering::Release);
    let sent_at = gateway.record_send(endpoint, kind);
    let answer = match reach::send(gateway, endpoint, connection, build()).await {
        Ok(answer) => answer,
        Err(error @ CallError::Unreachable { .. }) => {
            run.dismiss();
            return Attempt::Unreachable(error);
        }
        Err(error) => {
            run.lose(Loss::Broken);
            return Attempt::Lost(error);
        }
    };
    let metadata = answer_metadata(gateway, &answer);
    gateway.record_answer(endpoint, sent_at, &metadata);
    let mismatch = answer_match::check(id.as_str(), metadata.identity(), answer.is_first());
    if let Err(mismatch) = mismatch {
        let mismatch = CallError::lost(mismatch);
        run.dismiss();
        return Attempt::Lost(mismatch);
    }
    if metadata.not_run {
        let status = answer.response.status();
        run.dismiss();
        answer.discard_body().await;
        return Attempt::NotRun(status);
    }
    if stream::is_event_stream(answer.response.headers()) && answer.response.status().is_success() {
        let open = OpenStream { answer, run };
        return Attempt::Answered(Answered::Stream(Box::new(open)));
    }
    match answer.read_complete().await {
        Ok(answer) => {
            run.complete();
            Attempt::Answered(Answered::Complete(
                answer.status,
                answer.headers,
                answer.body,
            ))
        }
        Err(error) => {
            run.lose(Loss::Broken);
            Attempt::Lost(error)
        }
    }
}

fn answer_metadata(gateway: &Gateway, answer: &IncomingAnswer) -> AnswerMetadata {
    let response = &answer.response;
    gateway
        .endpoints
        .decode_answer(response.status(), response.headers())
}

/// Returns an error if an answer, which is the first on its connection, does not belong to the request.
pub(crate) fn find_mismatch(id: &RequestId, metadata: &AnswerMetadata) -> Option<CallError> {
    let checked = answer_match::check(id.as_str(), metadata.identity(), true);
    checked.err().map(CallError::lost)
}

fn deliver(
    gateway: &Arc<Gateway>,
    call: &Call<'_>,
    attempts: Attempts,
    answered: Answered,
) -> Answer {
    match answered {
        Answered::Complete(status, mut headers, body) => {
            remove_hop_by_hop_headers(&mut headers);
            headers.remove(header::CONTENT_LENGTH);
            let mut answer = Response::new(full_body(body));
            *answer.status_mut() = status;
            *answer.headers_mut() = headers;
            answer
        }
        Answered::Stream(open) => stream::deliver(gateway, call, attempts, *open),
    }
}
