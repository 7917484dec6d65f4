//! Exchange of the versions that began streams with the other instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use indexmap::IndexMap;
use prost::Message;
use tokio::sync::Notify;
use wisteriaford_core::gateway::route::Route;
use wisteriaford_core::gateway::software_history::SoftwareHistory;
use wisteriaford_core::gateway::stored_origins::OriginQueue;
use wisteriaford_core::gateway::stored_origins::StoredOrigins;
use wisteriaford_core::gateway::stream_origins::Origin;
use wisteriaford_core::gateway::stream_origins::SoleClaims;
use wisteriaford_core::gateway::stream_origins::StreamOrigins;
use wisteriaford_core::gateway::stream_origins::holders;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::RequestId;
use wisteriaford_core::id::SoftwareVersion;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::streams::OriginAnswer;
use wisteriaford_proto::streams::OriginQuery;
use wisteriaford_proto::streams::OriginReport;
use wisteriaford_proto::streams::StreamOrigin;

use crate::adapter::CallerHead;
use crate::adapter::EndpointRequest;
use crate::adapter::Log;
use crate::clock;
use crate::refusal::Reason;
use crate::state::Gateway;
use crate::state::lock;
use crate::state::stopped;

/// Path of reports of streams that began.
pub(crate) const REPORT_PATH: &str = "/stream-origins";
/// Path of questions for the origin of a stream.
pub(crate) const QUERY_PATH: &str = "/stream-origin";
/// Delay before streams are reported, so that those that began meanwhile are reported together.
const REPORT_DELAY: Duration = Duration::from_millis(10);
/// Time limit for a report to one instance.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum interval between reports to the leader: 420 instances send it at most 4,200 a second.
const LEADER_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before origins are sent again that no leader took.
const LEADER_BACKOFF: Duration = Duration::from_millis(200);
/// Time limit for the answers of other instances.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which it is checked whether entries have been read.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for a read of entries: two reads may be needed, of which the second waits for up to 1 s.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which other instances are told again of a stream that goes on, so that they know it for as
/// long as it may be taken up.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which it is checked whether the log must keep the origin of a stream that goes on, as its
/// pool no longer has a single version.
const STORE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What this instance knows of the versions that began streams.
#[derive(Default)]
pub(crate) struct OriginState {
    known: Mutex<StreamOrigins>,
    /// Origins that were read from the log.
    stored: Mutex<StoredOrigins>,
    history: Mutex<SoftwareHistory>,
    /// Streams that began here and that the other instances haven't been told of.
    unreported: Mutex<Vec<StreamOrigin>>,
    /// Streams that began here and that the log must keep.
    unsent: Mutex<OriginQueue>,
    /// Streams that the leader is to append to the log.
    unappended: Mutex<OriginQueue>,
    wake: Notify,
    /// Wakes the task that sends origins to the leader.
    leader_wake: Notify,
}

impl OriginState {
    /// Returns the versions of the endpoints' software that pools had lately.
    pub(crate) fn history(&self) -> MutexGuard<'_, SoftwareHistory> {
        lock(&self.history)
    }

    /// Returns the origins that were read from the log.
    pub(crate) fn stored(&self) -> MutexGuard<'_, StoredOrigins> {
        lock(&self.stored)
    }

    /// Returns the streams that the leader is to append to the log.
    pub(crate) fn unappended(&self) -> MutexGuard<'_, OriginQueue> {
        lock(&self.unappended)
    }

    fn get(&self, request: &RequestId) -> Origin {
        match lock(&self.known).get(request) {
            Origin::Unknown => self.stored().get(request),
            known => known,
        }
    }
}

/// When the origin of a stream that is being forwarded was recorded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamRecords {
    /// When other instances were last told.
    reported: Option<Timestamp>,
    /// When it was last checked whether the log must keep the origin.
    checked: Option<Timestamp>,
    /// When the origin was last sent to the leader.
    stored: Option<Timestamp>,
}

/// Records which version began, or continues, a stream, and tells other instances.
pub(crate) fn record(
    gateway: &Gateway,
    records: &mut StreamRecords,
    request: &RequestId,
    pool: &PoolId,
    software: &SoftwareVersion,
) {
    let now = clock::now();
    let is_due = |at: Option<Timestamp>, interval| at.is_none_or(|at| now.since(at) >= interval);
    if !is_due(records.checked, STORE_CHECK_INTERVAL) {
        return;
    }
    records.checked = Some(now);
    if is_due(records.reported, REFRESH_INTERVAL) {
        records.reported = Some(now);
        lock(&gateway.origins.known).record(now, request, software);
        lock(&gateway.origins.unreported).push(StreamOrigin {
            request: request.to_string(),
            software: software.to_string(),
        });
        gateway.origins.wake.notify_one();
    }
    let must_store = {
        let view = gateway.view.load();
        let mut history = gateway.origins.history();
        history.record_stream(now, pool, software, &view.endpoints)
    };
    if must_store && is_due(records.stored, REFRESH_INTERVAL) {
        records.stored = Some(now);
        lock(&gateway.origins.unsent).push(request, pool, software);
        gateway.origins.wake.notify_one();
    }
}

/// Returns the only version that a pool had for as long as a stream may last.
fn sole_software(gateway: &Gateway, pool: &PoolId) -> Option<SoftwareVersion> {
    let view = gateway.view.load();
    let history = gateway.origins.history();
    history.sole(clock::now(), pool, &view.endpoints).cloned()
}

/// Tells other instances of the streams that begin here, until the gateway stops.
pub(crate) async fn report(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    loop {
        tokio::select! {
            () = gateway.origins.wake.notified() => {}
            () = stopped(&mut stop) => return,
        }
        tokio::time::sleep(REPORT_DELAY).await;
        let origins = std::mem::take(&mut *lock(&gateway.origins.unreported));
        for (host, report) in reports(&gateway, origins) {
            tokio::spawn(send_report(Arc::clone(&gateway), host, report));
        }
        gateway.origins.leader_wake.notify_one();
    }
}

/// Sends the leader the origins that the log must keep, until the gateway stops.
///
/// One report is under way at a time, so that a leader which is slow or refuses is not sent more.
pub(crate) async fn report_to_leader(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    loop {
        tokio::select! {
            () = gateway.origins.leader_wake.notified() => {}
            () = stopped(&mut stop) => return,
        }
        while !send_to_leader(&gateway).await {
            tokio::select! {
                () = tokio::time::sleep(LEADER_BACKOFF) => {}
                () = stopped(&mut stop) => return,
            }
        }
        tokio::time::sleep(LEADER_INTERVAL).await;
    }
}

/// Sends the leader the origins that the log must keep, and returns whether none is left to send again.
async fn send_to_leader(gateway: &Gateway) -> bool {
    let limits = gateway.log.limits();
    let batches = lock(&gateway.origins.unsent).take(limits.max_record_bytes / 2);
    if batches.is_empty() {
        return true;
    }
    if gateway.leadership().leader_fence().is_some() {
        gateway.origins.unappended().extend(&batches);
        return true;
    }
    let host = gateway.leadership().leader_host().cloned();
    let address = host
        .as_ref()
        .and_then(|host| gateway.log.peers().get(host).copied());
    let report = OriginReport {
        origins: Vec::new(),
        to_append: batches,
    };
    let body = Bytes::from(report.encode_to_vec());
    let answer = match (host, address) {
        (Some(host), Some(address)) => {
            post(gateway, &host, address, REPORT_PATH, body, REPORT_TIMEOUT).await
        }
        _ => None,
    };
    if answer.is_none() {
        lock(&gateway.origins.unsent).extend(&report.to_append);
    }
    answer.is_some()
}

/// Returns the report to each host.
fn reports(gateway: &Gateway, origins: Vec<StreamOrigin>) -> IndexMap<CompactString, OriginReport> {
    let peers = gateway.log.peers();
    let mut reports: IndexMap<CompactString, OriginReport> = IndexMap::new();
    for origin in origins {
        let request = RequestId::from(origin.request.as_str());
        for host in holders(&request, peers.keys()) {
            let report = reports.entry(host.clone()).or_default();
            report.origins.push(origin.clone());
        }
    }
    reports
}

async fn send_report(gateway: Arc<Gateway>, host: CompactString, report: OriginReport) {
    let Some(address) = gateway.log.peers().get(&host).copied() else {
        return;
    };
    let body = Bytes::from(report.encode_to_vec());
    let answer = post(&gateway, &host, address, REPORT_PATH, body, REPORT_TIMEOUT).await;
    if answer.is_none() {
        log::debug!(
            host:% = host, streams = report.origins.len(); "origins of streams not reported"
        );
    }
}

async fn post(
    gateway: &Gateway,
    host: &str,
    address: SocketAddr,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Option<Bytes> {
    let request = EndpointRequest {
        method: Method::POST,
        path: path.into(),
        headers: HeaderMap::new(),
        body,
    };
    let call = gateway.client.call(host, address, request, timeout);
    let answer = call.await.ok()?;
    (answer.status == StatusCode::OK).then_some(answer.body)
}

/// Receives the report of another instance.
pub(crate) fn receive(gateway: &Gateway, body: &[u8]) -> StatusCode {
    let report = match OriginReport::decode(body) {
        Ok(report) => report,
        Err(error) => {
            log::warn!(error:% = error; "origins of streams refused");
            return StatusCode::BAD_REQUEST;
        }
    };
    let now = clock::now();
    {
        let mut known = lock(&gateway.origins.known);
        for origin in &report.origins {
            let request = RequestId::from(origin.request.as_str());
            known.record(now, &request, &origin.software.as_str().into());
        }
    }
    if report.to_append.is_empty() {
        return StatusCode::OK;
    }
    if gateway.leadership().leader_fence().is_none() {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    gateway.origins.unappended().extend(&report.to_append);
    StatusCode::OK
}

/// Answers the question of another instance.
pub(crate) fn answer(gateway: &Gateway, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
    let query = OriginQuery::decode(body).map_err(|error| {
        log::warn!(error:% = error; "question for the origin of a stream refused");
        StatusCode::BAD_REQUEST
    })?;
    let request = RequestId::from(query.request.as_str());
    let software = match gateway.origins.get(&request) {
        Origin::Version(software) => Some(software),
        Origin::Unknown | Origin::Ambiguous => None,
    };
    let sole = sole_software(gateway, &PoolId::from(query.pool.as_str()));
    let answer = OriginAnswer {
        software: software.map(|software| software.to_string()),
        sole_without_gap: sole.is_some(),
        sole_software: sole.map(|software| software.to_string()),
    };
    Ok(answer.encode_to_vec())
}

/// Returns whether a caller takes a stream up again.
fn is_taken_up(head: &CallerHead, route: &Route) -> bool {
    head.after_event.is_some() && route.is_resumable()
}

/// Returns the request by which the pool of a call is chosen: a stream that is taken up stays in the pool
/// that its first attempt was sent to.
pub(crate) fn first_request<'a>(head: &'a CallerHead, route: &Route) -> &'a RequestId {
    let first = head.continues.as_ref().filter(|_| is_taken_up(head, route));
    first.unwrap_or(&head.request)
}

/// Returns the version that must continue the stream which a caller takes up again, if it does.
pub(crate) async fn of_call(
    gateway: &Gateway,
    head: &CallerHead,
    route: &Route,
    pool: &PoolId,
) -> Result<Option<SoftwareVersion>, Reason> {
    if !is_taken_up(head, route) {
        return Ok(None);
    }
    let found = find(gateway, head.continues.as_ref(), route, pool).await;
    found.map(Some).ok_or(Reason::StreamOriginUnknown)
}

/// Returns the version that began a stream, as far as this or another instance knows.
///
/// Nothing is known if the entries of endpoints are old: an endpoint may run other software than its entry
/// says.
async fn find(
    gateway: &Gateway,
    request: Option<&RequestId>,
    route: &Route,
    pool: &PoolId,
) -> Option<SoftwareVersion> {
    if !gateway.wait_until_current().await || !gateway.origins.history().is_current(clock::now()) {
        return None;
    }
    let asked_at = clock::now();
    let Some(request) = request else {
        let has_read = wait_for_read(gateway, asked_at).await;
        return sole_claims(gateway, route).decide().filter(|_| has_read);
    };
    match gateway.origins.get(request) {
        Origin::Version(software) => return Some(software),
        Origin::Ambiguous => return None,
        Origin::Unknown => {}
    }
    let answered = ask_holders(gateway, request, pool).await;
    if let Some(software) = &answered.software {
        lock(&gateway.origins.known).record(clock::now(), request, software);
        return answered.software;
    }
    if !wait_for_read(gateway, asked_at).await {
        return None;
    }
    let mut claims = sole_claims(gateway, route);
    if route.targets.len() == 1 {
        claims.add_answers(answered.sole);
    }
    claims.decide()
}

/// Waits until the entries of endpoints have been read as of a time, and returns whether they have.
async fn wait_for_read(gateway: &Gateway, as_of: Timestamp) -> bool {
    let has_read = async {
        while !gateway.origins.history().has_read_as_of(as_of) {
            tokio::time::sleep(READ_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(READ_TIMEOUT, has_read).await.is_ok()
}

/// Returns what this instance knows of the only versions of a route's pools.
fn sole_claims(gateway: &Gateway, route: &Route) -> SoleClaims {
    let view = gateway.view.load();
    let history = gateway.origins.history();
    let pools = route.targets.iter().map(|target| &target.pool);
    SoleClaims::of_pools(clock::now(), &history, pools, &view.endpoints)
}

/// What other instances know of a stream.
#[derive(Default)]
struct Answered {
    software: Option<SoftwareVersion>,
    /// The only versions that the pool had for as long as a stream may last, by those that know it.
    sole: Vec<SoftwareVersion>,
}

async fn ask_holders(gateway: &Gateway, request: &RequestId, pool: &PoolId) -> Answered {
    let query = OriginQuery {
        request: request.to_string(),
        pool: pool.to_string(),
    };
    let body = Bytes::from(query.encode_to_vec());
    let peers = gateway.log.peers();
    let questions = holders(request, peers.keys()).into_iter().map(|host| {
        let (address, body) = (peers[host], body.clone());
        post(gateway, host, address, QUERY_PATH, body, QUERY_TIMEOUT)
    });
    let mut answers: FuturesUnordered<_> = questions.collect();
    let mut answered = Answered::default();
    while let Some(answer) = answers.next().await {
        let answer = answer.and_then(|body| OriginAnswer::decode(body).ok());
        let Some(answer) = answer else { continue };
        let version = |text: Option<String>| text.map(|text| text.as_str().into());
        // An instance of an older build doesn't notice what it missed while it couldn't read the entries.
        let sole = answer.sole_software.filter(|_| answer.sole_without_gap);
        answered.sole.extend(version(sole));
        answered.software = version(answer.software);
        if answered.software.is_some() {
            break;
        }
    }
    answered
}
