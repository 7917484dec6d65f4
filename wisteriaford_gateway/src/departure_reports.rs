//! Exchange of departures between the ends of carried connections.
//!
//! An endpoint can't tell which instance sent a request over a carried connection, so that what one end
//! has learned of its departure holds for both.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use prost::Message;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_proto::departures::DepartureReport;

use crate::adapter::EndpointRequest;
use crate::clock;
use crate::state::Gateway;

/// Path of reports of departures.
pub(crate) const DEPARTURES_PATH: &str = "/departures";
/// Time limit for a report to one instance.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Tells the instances with which there are carried connections that an endpoint is leaving.
pub(crate) fn send(gateway: &Gateway, endpoint: &Endpoint) {
    let report = DepartureReport {
        incarnations: vec![endpoint.incarnation().to_string()],
    };
    let body = Bytes::from(report.encode_to_vec());
    let peers = gateway.log.peers();
    let carriers = gateway.carriers();
    for host in carriers.partners(clock::now()) {
        if let Some(address) = peers.get(host) {
            let client = gateway.client.clone();
            tokio::spawn(send_to(client, host.clone(), *address, body.clone()));
        }
    }
}

async fn send_to(
    client: crate::client::Client,
    host: CompactString,
    address: SocketAddr,
    body: Bytes,
) {
    let request = EndpointRequest {
        method: Method::POST,
        path: DEPARTURES_PATH.into(),
        headers: HeaderMap::new(),
        body,
    };
    if let Err(error) = client.call(&host, address, request, REPORT_TIMEOUT).await {
        log::info!(host:% = host, error:% = error; "departure of an endpoint not reported");
    }
}

/// Receives the report of another instance.
pub(crate) fn receive(gateway: &Arc<Gateway>, body: &[u8]) -> StatusCode {
    let report = match DepartureReport::decode(body) {
        Ok(report) => report,
        Err(error) => {
            log::warn!(error:% = error; "report of departures refused");
            return StatusCode::BAD_REQUEST;
        }
    };
    let view = gateway.view.load_full();
    for incarnation in &report.incarnations {
        let mut endpoints = view.endpoints.iter();
        let endpoint = endpoints.find(|endpoint| endpoint.incarnation() == *incarnation);
        if let Some(endpoint) = endpoint {
            gateway.announce_departure(endpoint, "reported by another instance");
        }
    }
    StatusCode::OK
}
