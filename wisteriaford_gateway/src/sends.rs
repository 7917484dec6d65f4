//! Requests sent to endpoints, and what endpoints announce about themselves in their answers.

use derive_more::Display;
use wisteriaford_core::gateway::announced_limits::LimitChange;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::time::Timestamp;

use crate::adapter::AnswerMetadata;
use crate::clock;
use crate::state::Gateway;

/// Kind of a request that is sent to an endpoint.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum SendKind {
    /// First attempt of a call.
    #[display("call")]
    Call,
    /// Further attempt of a call after one that failed.
    #[display("retry")]
    Retry,
    /// Attempt of a call that is still running elsewhere.
    #[display("hedge")]
    Hedge,
    /// Resumption of a caller's stream.
    #[display("resumption")]
    Resumption,
    /// First run of an item, or one that starts anew.
    #[display("item")]
    Item,
    /// Run of an item that goes on after earlier output.
    #[display("resumed_item")]
    ResumedItem,
    /// Call of an item's scorer.
    #[display("score")]
    Score,
    /// Probe of an endpoint before a run of a suspect.
    #[display("probe")]
    Probe,
    /// Inspection of an engine, or an order to it.
    #[display("engine_control")]
    EngineControl,
}

impl Gateway {
    /// Records that a request is being sent to an endpoint, and returns the time.
    pub(crate) fn record_send(&self, endpoint: &Endpoint, kind: SendKind) -> Timestamp {
        let now = clock::now();
        let limit = self.announced_limits().get(endpoint);
        if let Some(limit) = limit {
            self.metrics.record_limited_send(kind);
            log::info!(
                endpoint:% = endpoint.id, kind:% = kind, limit_per_s:% = limit.rate,
                limit_age_ms = now.since(limit.announced_at).as_millis(),
                limited_for_ms = now.since(limit.since).as_millis();
                "request sent to an endpoint that limits its requests"
            );
        }
        now
    }

    /// Records what an endpoint announces in its answer to a request that was sent at `sent_at`.
    pub(crate) fn record_answer(
        &self,
        endpoint: &Endpoint,
        sent_at: Timestamp,
        answer: &AnswerMetadata,
    ) {
        self.record_departure(endpoint, answer);
        // Answers without a signature may come from another program at the address, and reports
        // need not announce a limit. An unreadable limit says nothing about the one before.
        let is_unsigned = answer.request_limit.is_none() && answer.signature.is_none();
        if is_unsigned || answer.is_limit_unreadable {
            return;
        }
        let now = clock::now();
        let change = self
            .announced_limits()
            .record(now, endpoint, sent_at, answer.request_limit);
        if change.is_some() {
            self.limits_wake.notify_one();
        }
        match change {
            Some(LimitChange::Began | LimitChange::Changed { .. }) => log::info!(
                endpoint:% = endpoint.id, started_unix_ms = endpoint.started_unix_ms,
                limit_per_s:? = answer.request_limit.map(|rate| rate.to_string()), change:? = change;
                "endpoint limits its requests"
            ),
            Some(LimitChange::Ended { before }) => log::info!(
                endpoint:% = endpoint.id, limit_per_s:% = before.rate,
                limited_for_ms = now.since(before.since).as_millis();
                "endpoint no longer limits its requests"
            ),
            None => {}
        }
    }
}
