//! Requests that are built for endpoints from those of callers.

use http::HeaderMap;
use http::HeaderName;
use http::header;
use wisteriaford_core::gateway::endpoint::Endpoint;

use crate::adapter::CallMetadata;
use crate::adapter::EndpointRequest;
use crate::clock;
use crate::forward::Call;
use crate::state::Gateway;

/// Hop-by-hop header fields.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Builds the request that is sent to an endpoint.
pub(crate) fn build_request(
    gateway: &Gateway,
    call: &Call<'_>,
    endpoint: &Endpoint,
    after_event: Option<u64>,
) -> EndpointRequest {
    let mut headers = call.parts.headers.clone();
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let metadata = CallMetadata {
        endpoint: &endpoint.id,
        time_left: call.deadline.since(clock::now()),
        priority: call.route.prompt_affinity.then_some(call.priority),
        organisation: call.organisation.as_ref(),
    };
    let protocol = &gateway.endpoints;
    protocol.set_call_headers(&mut headers, &metadata);
    if let Some(event) = after_event {
        protocol.set_after_event(&mut headers, event);
    }
    let path = call.parts.uri.path_and_query();
    EndpointRequest {
        method: call.parts.method.clone(),
        path: path.map_or("/", |path| path.as_str()).into(),
        headers,
        body: call.body.clone(),
    }
}

/// Removes hop-by-hop header fields.
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named = named.flat_map(|text| text.split(','));
    let named = named.filter_map(|name| name.trim().parse::<HeaderName>().ok());
    let named: Vec<HeaderName> = named.collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
