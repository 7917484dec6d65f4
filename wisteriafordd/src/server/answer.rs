//! Conversion of the core's replies to HTTP answers.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use serde::Serialize;
use wisteriaford_client::message::CallerShare;
use wisteriaford_client::message::ConfigurationAnswer;
use wisteriaford_client::message::DecisionAnswer;
use wisteriaford_client::message::EndpointStatus;
use wisteriaford_client::message::ExplainAnswer;
use wisteriaford_client::message::GenerateAnswer;
use wisteriaford_client::message::LogState;
use wisteriaford_client::message::MemberStatus;
use wisteriaford_client::message::PullAnswer;
use wisteriaford_client::message::SampleAnswer;
use wisteriaford_client::message::SharesAnswer;
use wisteriaford_client::message::StatusAnswer;
use wisteriaford_client::message::VersionSpan;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::InstanceIdentity;
use wisteriaford_core::explain::Decision;
use wisteriaford_core::refusal::Refusal;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::reply;
use wisteriaford_core::reply::CallResponse;
use wisteriaford_core::reply::GenerationResponse;
use wisteriaford_core::reply::Reply;
use wisteriaford_core::reply::Status;
use wisteriaford_core::shares;
use wisteriaford_core::step;
use wisteriaford_core::step::FinishedSample;
use wisteriaford_core::time::Timestamp;

use crate::server::failure;
use crate::server::failure::Failure;

/// Fields of a request that its answer repeats.
#[derive(Clone, Debug, Default)]
pub(crate) struct EchoedFields {
    /// Id of the request to explain; empty for other kinds of request.
    explained_request_id: String,
}

impl From<&CallerRequest> for EchoedFields {
    fn from(request: &CallerRequest) -> Self {
        match request {
            CallerRequest::Explain(request) => Self {
                explained_request_id: request.to_string(),
            },
            _ => Self::default(),
        }
    }
}

/// Returns a plain text answer.
pub(crate) fn text(text: &str) -> Response<Full<Bytes>> {
    with_content_type(StatusCode::OK, "text/plain", text.as_bytes().to_vec())
}

/// Returns an answer with the given status, content type and body.
pub(crate) fn with_content_type(
    status: StatusCode,
    content_type: &str,
    body: impl Into<Bytes>,
) -> Response<Full<Bytes>> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(Full::new(body.into()))
        .unwrap_or_else(|_| Response::new(Full::default()))
}

/// Converts a reply of the core to an HTTP answer.
///
/// # Errors
///
/// Returns an error if the request was refused, is unknown, or no configuration is in force.
pub(crate) fn from_reply(
    reply: Reply,
    echoed: &EchoedFields,
    identity: &InstanceIdentity,
) -> Result<Response<Full<Bytes>>, Failure> {
    match reply {
        Reply::Generated(generation) => Ok(json(&generate_answer(generation, identity))),
        Reply::Called(call) => Ok(call_response(call, identity)),
        Reply::Pulled(pull) => Ok(json(&pull_answer(pull))),
        Reply::Explained(decisions) => explain_answer(decisions, echoed, identity),
        Reply::Shares { window, shares } => Ok(json(&shares_answer(window, &shares, identity))),
        Reply::Status(status) => Ok(json(&status_answer(*status, identity))),
        Reply::Configuration(Some((revision, publication))) => Ok(json(&ConfigurationAnswer {
            revision: revision.0,
            publication_id: publication.id,
            configuration: publication.configuration.unwrap_or_default(),
        })),
        Reply::Configuration(None) => Err(Failure::Refused(
            None,
            Refusal::not_run(RefusalReason::NoConfiguration),
        )),
        Reply::Refused(request, refusal) => Err(Failure::Refused(request, refusal)),
    }
}

fn json(answer: &impl Serialize) -> Response<Full<Bytes>> {
    let bytes = serde_json::to_vec(answer).unwrap_or_default();
    with_content_type(StatusCode::OK, "application/json", bytes)
}

fn generate_answer(generation: GenerationResponse, identity: &InstanceIdentity) -> GenerateAnswer {
    GenerateAnswer {
        request_id: generation.request.to_string(),
        text: generation.text,
        tokens: generation.tokens,
        spans: generation.spans.iter().map(version_span).collect(),
        endpoint: generation.endpoint.to_string(),
        instance: identity.id.to_string(),
    }
}

fn call_response(call: CallResponse, identity: &InstanceIdentity) -> Response<Full<Bytes>> {
    Response::builder()
        .status(call.status)
        .header(CONTENT_TYPE, call.content_type.as_str())
        .header("wisteriaford-request-id", call.request.as_str())
        .header("wisteriaford-endpoint", call.endpoint.as_str())
        .header("wisteriaford-instance", identity.id.as_str())
        .body(Full::from(call.body))
        .unwrap_or_else(|_| Response::new(Full::default()))
}

fn pull_answer(pull: step::PullAnswer) -> PullAnswer {
    PullAnswer {
        pull: pull.number.0,
        samples: pull.samples.into_iter().map(sample_answer).collect(),
        complete: pull.complete,
    }
}

fn sample_answer(sample: FinishedSample) -> SampleAnswer {
    let spans = sample.label.spans().iter().map(|span| VersionSpan {
        from_token: span.from_token,
        to_token: span.to_token,
        version: span.version.0,
    });
    SampleAnswer {
        index: sample.index,
        group: sample.group,
        text: sample.text,
        tokens: sample.tokens,
        spans: spans.collect(),
        score_milli: sample.score_milli,
        instance: sample.instance.to_string(),
        endpoint: sample.endpoint.to_string(),
    }
}

fn version_span(span: &wisteriaford_proto::step::VersionSpan) -> VersionSpan {
    VersionSpan {
        from_token: span.from_token,
        to_token: span.to_token,
        version: span.version,
    }
}

fn explain_answer(
    decisions: Option<Vec<(Timestamp, Decision)>>,
    echoed: &EchoedFields,
    identity: &InstanceIdentity,
) -> Result<Response<Full<Bytes>>, Failure> {
    let Some(decisions) = decisions else {
        return Err(Failure::RequestUnknown);
    };
    let decisions = decisions.iter().map(|(at, decision)| DecisionAnswer {
        at_ms: at.as_millis(),
        kind: decision.kind().to_owned(),
        detail: decision.to_string(),
    });
    Ok(json(&ExplainAnswer {
        request_id: echoed.explained_request_id.clone(),
        instance: identity.id.to_string(),
        decisions: decisions.collect(),
    }))
}

fn shares_answer(
    window: Duration,
    shares: &[shares::CallerShare],
    identity: &InstanceIdentity,
) -> SharesAnswer {
    let callers = shares.iter().map(|share| CallerShare {
        caller: share.caller.to_string(),
        priority: share.priority.as_str_name().to_ascii_lowercase(),
        entitled_tokens: share.entitled_tokens,
        received_tokens: share.received_tokens,
        shortfall_reason: share.shortfall_reason.map(|reason| reason.to_string()),
    });
    SharesAnswer {
        instance: identity.id.to_string(),
        window_ms: failure::saturating_ms(window),
        callers: callers.collect(),
    }
}

fn status_answer(status: Status, identity: &InstanceIdentity) -> StatusAnswer {
    StatusAnswer {
        instance: identity.id.to_string(),
        availability_zone: identity.availability_zone.to_string(),
        region: identity.region.to_string(),
        incarnation: identity.incarnation.0,
        revision: status.revision.0,
        ready: status.ready,
        leaving: status.leaving,
        log: match status.log_up {
            Some(true) => LogState::Up,
            Some(false) => LogState::Down,
            None => LogState::Unknown,
        },
        members: status.members.iter().map(member_status).collect(),
        endpoints: status.endpoints.into_iter().map(endpoint_status).collect(),
    }
}

fn member_status(member: &reply::MemberStatus) -> MemberStatus {
    MemberStatus {
        id: member.id.to_string(),
        address: member.address.to_string(),
        availability_zone: member.availability_zone.to_string(),
        state: member.state.to_owned(),
        incarnation: member.incarnation,
    }
}

fn endpoint_status(endpoint: reply::EndpointStatus) -> EndpointStatus {
    EndpointStatus {
        endpoint: endpoint.endpoint.to_string(),
        pool: endpoint.pool.to_string(),
        version: endpoint.version.0,
        in_flight: u64::from(endpoint.in_flight),
        queued: u64::from(endpoint.queued),
        availability: endpoint.availability.to_owned(),
        steward: endpoint
            .coordinator
            .map(|coordinator| coordinator.to_string())
            .unwrap_or_default(),
    }
}
