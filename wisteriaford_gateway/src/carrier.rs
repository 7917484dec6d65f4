//! Connections to endpoints that this instance carries for others.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use tokio::net::TcpStream;
use wisteriaford_core::gateway::endpoint::Endpoint;

use crate::clock;
use crate::connection_pool;
use crate::reach;
use crate::refusal::Answer;
use crate::refusal::empty_answer;
use crate::state::Gateway;
use crate::state::stopped;
use crate::tunnel;

/// Path of a request to carry a connection.
pub(crate) const CARRY_PATH: &str = "/endpoint-connection";
/// Protocol that such a request asks to switch to.
pub(crate) const PROTOCOL: &str = "wisteriaford-endpoint";
/// Header field with the incarnation of the endpoint.
pub(crate) const ENDPOINT_HEADER: &str = "endpoint-incarnation";
/// Header field with the host of the instance whose connection it is.
pub(crate) const HOST_HEADER: &str = "instance-host";
/// Maximum number of connections that an instance carries: two descriptors and some 30 kB each.
const MAX_CARRIED: usize = 256;

/// Guard that counts a connection as carried.
struct CarriedGuard(Arc<Gateway>);

impl CarriedGuard {
    /// Counts a connection, unless the instance carries as many as it may.
    fn acquire(gateway: &Arc<Gateway>) -> Option<Self> {
        let guard = Self(Arc::clone(gateway));
        let others = gateway.carried_connections.fetch_add(1, Ordering::AcqRel);
        (others < MAX_CARRIED).then_some(guard)
    }
}

impl Drop for CarriedGuard {
    fn drop(&mut self) {
        self.0.carried_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Connects to an endpoint for another instance, only directly.
///
/// The status tells the other instance why a connection isn't carried: 404 if the endpoint isn't known
/// here, 410 if it is leaving, 502 if it can't be connected to from here though others can, 503 if this
/// instance doesn't know more than the other one, or carries as many as it may.
pub(crate) async fn answer(gateway: &Arc<Gateway>, mut request: Request<Incoming>) -> Answer {
    let began_at = clock::now();
    let host = text(request.headers(), HOST_HEADER).to_owned();
    let incarnation = text(request.headers(), ENDPOINT_HEADER).to_owned();
    let connected = connect(gateway, &incarnation).await;
    let (status, cause) = match connected {
        Ok((stream, guard)) => {
            gateway.metrics.carried_connections.add(1, &[]);
            gateway
                .carriers()
                .record_partner(began_at, &host.as_str().into());
            let upgrade = hyper::upgrade::on(&mut request);
            let mut stop = gateway.stop.clone();
            tokio::spawn(async move {
                let _guard = guard;
                if let Ok(upgraded) = upgrade.await {
                    tunnel::carry(upgraded, stream, stopped(&mut stop)).await;
                }
            });
            (StatusCode::SWITCHING_PROTOCOLS, None)
        }
        Err((status, cause)) => (status, Some(cause)),
    };
    log::info!(
        host = host, endpoint = incarnation, status = status.as_u16(), cause = cause,
        took_ms = clock::now().since(began_at).as_millis(),
        carried = gateway.carried_connections.load(Ordering::Acquire);
        "connection to an endpoint carried for another instance"
    );
    let mut answer = empty_answer(status);
    if status == StatusCode::SWITCHING_PROTOCOLS {
        let headers = answer.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
        headers.insert(header::UPGRADE, HeaderValue::from_static(PROTOCOL));
    }
    answer
}

async fn connect(
    gateway: &Arc<Gateway>,
    incarnation: &str,
) -> Result<(TcpStream, CarriedGuard), (StatusCode, String)> {
    let endpoint = find(gateway, incarnation)?;
    let unable = |cause: &str| (StatusCode::SERVICE_UNAVAILABLE, cause.to_owned());
    if gateway.leaving.load(Ordering::Acquire) {
        return Err(unable("stopping"));
    }
    if gateway.links().is_cut() {
        return Err(unable("cut off from endpoints"));
    }
    let Some(guard) = CarriedGuard::acquire(gateway) else {
        return Err(unable("too many connections"));
    };
    let began_at = clock::now();
    let connected = async {
        reach::verify_links(gateway, &endpoint).await?;
        connection_pool::connect(endpoint.address).await
    };
    match connected.await {
        Ok(stream) => Ok((stream, guard)),
        Err(error) => {
            reach::record_failed(gateway, &endpoint);
            let status = if reach::is_other_reached(gateway, &endpoint, began_at).await {
                StatusCode::BAD_GATEWAY
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            Err((status, error.to_string()))
        }
    }
}

fn find(gateway: &Gateway, incarnation: &str) -> Result<Endpoint, (StatusCode, String)> {
    let view = gateway.view.load();
    let name = incarnation.rsplit_once('@').map_or("", |(name, _)| name);
    let endpoint = view.endpoints.get(&name.into());
    match endpoint.filter(|endpoint| endpoint.incarnation() == incarnation) {
        None => Err((StatusCode::NOT_FOUND, "unknown endpoint".to_owned())),
        Some(endpoint) if endpoint.leaving => Err((StatusCode::GONE, "leaving".to_owned())),
        Some(endpoint) => Ok(endpoint.clone()),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}
