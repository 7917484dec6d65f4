//! Exchange of the versions that began streams with the other instances.

use std::net::SocketAddr;
use std::sync::Arc;
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
use wisteriaford_core::gateway::stream_origins::holders;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::RequestId;
use wisteriaford_core::id::SoftwareVersion;
use wisteriaford_proto::streams::OriginAnswer;
use wisteriaford_proto::streams::OriginQuery;
use wisteriaford_proto::streams::OriginReport;
use wisteriaford_proto::streams::StreamOrigin;

use crate::adapter::EndpointRequest;
use crate::clock;
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
/// Time limit for the answers of other instances.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Records which version began a stream, and tells other instances.
pub(crate) fn record(gateway: &Gateway, request: &RequestId, software: &SoftwareVersion) {
    gateway
        .stream_origins()
        .record(clock::now(), request, software);
    lock(&gateway.unreported_origins).push(StreamOrigin {
        request: request.to_string(),
        software: software.to_string(),
    });
    gateway.origins_wake.notify_one();
}

/// Tells other instances of the streams that begin here, until the gateway stops.
pub(crate) async fn report(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    loop {
        tokio::select! {
            () = gateway.origins_wake.notified() => {}
            () = stopped(&mut stop) => return,
        }
        tokio::time::sleep(REPORT_DELAY).await;
        let origins = std::mem::take(&mut *lock(&gateway.unreported_origins));
        for (host, report) in reports(&gateway, origins) {
            tokio::spawn(send_report(Arc::clone(&gateway), host, report));
        }
    }
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
    let mut origins = gateway.stream_origins();
    for origin in &report.origins {
        let request = RequestId::from(origin.request.as_str());
        origins.record(now, &request, &origin.software.as_str().into());
    }
    StatusCode::OK
}

/// Answers the question of another instance.
pub(crate) fn answer(gateway: &Gateway, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
    let query = OriginQuery::decode(body).map_err(|error| {
        log::warn!(error:% = error; "question for the origin of a stream refused");
        StatusCode::BAD_REQUEST
    })?;
    let request = RequestId::from(query.request.as_str());
    let software = gateway.stream_origins().get(&request).cloned();
    let sole = gateway.sole_software(&PoolId::from(query.pool.as_str()));
    let answer = OriginAnswer {
        software: software.map(|software| software.to_string()),
        sole_software: sole.map(|software| software.to_string()),
    };
    Ok(answer.encode_to_vec())
}

/// Returns the version that began a stream, as far as this or another instance knows.
pub(crate) async fn find(
    gateway: &Gateway,
    request: Option<&RequestId>,
    pool: &PoolId,
) -> Option<SoftwareVersion> {
    let Some(request) = request else {
        return gateway.sole_software(pool);
    };
    if let Some(known) = gateway.stream_origins().get(request).cloned() {
        return Some(known);
    }
    let answered = ask_holders(gateway, request, pool).await;
    if let Some(software) = &answered.software {
        let mut origins = gateway.stream_origins();
        origins.record(clock::now(), request, software);
    }
    let sole = || gateway.sole_software(pool);
    answered.software.or_else(sole).or(answered.sole)
}

/// What other instances know of a stream.
#[derive(Default)]
struct Answered {
    software: Option<SoftwareVersion>,
    /// The only version that the pool had for as long as a stream may last.
    sole: Option<SoftwareVersion>,
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
        answered.sole = version(answer.sole_software).or(answered.sole);
        answered.software = version(answer.software);
        if answered.software.is_some() {
            break;
        }
    }
    answered
}
