//! Calls of scorers for the complete texts of items, while this instance is the leader.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use http::HeaderMap;
use http::StatusCode;
use wisteriaford_core::gateway::record;
use wisteriaford_core::gateway::schedule::RunEnd;
use wisteriaford_core::gateway::schedule::RunOutcome;
use wisteriaford_core::gateway::schedule::ScoreStart;

use crate::clock;
use crate::forward::Answered;
use crate::forward::Attempt;
use crate::forward::Exchange;
use crate::forward::InFlightGuard;
use crate::forward::exchange;
use crate::run::Run;
use crate::run::RunPermit;
use crate::sends::SendKind;
use crate::state::Gateway;

/// Maximum size of a score in bytes, which is stored with its result.
const MAX_SCORE_BYTES: usize = 4 * 1024;

type ScoreResult = Result<CompactString, (RunOutcome, CompactString)>;

/// Calls the scorer of an item at the endpoint that was chosen for it.
pub(crate) async fn score_item(gateway: Arc<Gateway>, start: ScoreStart) {
    let in_flight = InFlightGuard::from_counted_score(&gateway, &start.endpoint.id);
    let sent_at = clock::now();
    let permit = RunPermit::admitted(&gateway, start.fingerprint, start.alone);
    let mut run = Run::begin(&start.endpoint, start.fingerprint, permit);
    // Calls are also stopped when their batch job ends.
    run.ignore_drop();
    let request = Exchange {
        endpoint: &start.endpoint,
        kind: SendKind::Score,
        build: Box::new(|| gateway.endpoints.scorer_request(&start)),
        id: &start.scorer.request,
        fresh: false,
        is_last: false,
        sent: &AtomicBool::new(false),
    };
    let answered = tokio::time::timeout(start.timeout, exchange(&gateway, request, run)).await;
    let result = match answered {
        Ok(attempt) => decode_score(&gateway, attempt),
        Err(_) => Err((RunOutcome::Silent, "no answer in time".into())),
    };
    drop(in_flight);
    let now = clock::now();
    let elapsed = now.since(sent_at);
    if result.is_ok() || !gateway.is_excused(sent_at) {
        record_outcome(&gateway, &start, &result, elapsed);
    }
    let (result, cause) = match result {
        Ok(score) => (Ok(score), None),
        Err((outcome, cause)) => (Err(outcome), Some(cause)),
    };
    let outcome = match &result {
        Ok(_) => CompactString::from("Scored"),
        Err(outcome) => format_compact!("{outcome:?}"),
    };
    gateway.metrics.record_scorer_call(&outcome, elapsed);
    let end = gateway.schedule().on_score_ended(now, &start, result);
    log::info!(
        job:% = start.job.id, item:% = start.item.id, request:% = start.scorer.request,
        fingerprint:% = start.fingerprint, endpoint:% = start.endpoint.id, outcome:% = outcome,
        cause:% = cause.unwrap_or_default(), timeout_ms = start.timeout.as_millis(),
        took_ms = elapsed.as_millis();
        "scorer call ended"
    );
    match end {
        RunEnd::Finished(finished) => gateway.outbox.push(finished),
        RunEnd::Requeued { failures } if outcome == "Failed" => {
            let failed = record::failed_record(&start.job.id, &start.item.id, failures);
            gateway.outbox.push_best_effort(failed);
        }
        RunEnd::Requeued { .. } | RunEnd::Unscored | RunEnd::Stale => {}
    }
    gateway.runner_wake.notify_one();
}

fn decode_score(gateway: &Gateway, attempt: Attempt) -> ScoreResult {
    match attempt {
        Attempt::Answered(Answered::Complete(status, headers, _)) => {
            score_of(gateway, status, &headers)
        }
        Attempt::Answered(Answered::Stream(mut open)) => {
            open.run.dismiss();
            Err((RunOutcome::Broken, "the answer is a stream".into()))
        }
        Attempt::NotRun(StatusCode::SERVICE_UNAVAILABLE) => {
            Err((RunOutcome::Full, "the endpoint is full".into()))
        }
        Attempt::NotRun(status) => Err((RunOutcome::NotRun, format_compact!("status {status}"))),
        Attempt::Unreachable(error) => Err((RunOutcome::Unreachable, format_compact!("{error}"))),
        Attempt::Lost(error) => Err((RunOutcome::Broken, format_compact!("{error}"))),
    }
}

fn score_of(gateway: &Gateway, status: StatusCode, headers: &HeaderMap) -> ScoreResult {
    let metadata = gateway.endpoints.decode_answer(status, headers);
    match metadata.signature {
        Some(signature) if signature.len() > MAX_SCORE_BYTES => {
            Err((RunOutcome::Broken, "the signature is too long".into()))
        }
        Some(signature) if status.is_success() => Ok(signature),
        _ if status == StatusCode::INTERNAL_SERVER_ERROR => {
            Err((RunOutcome::Failed, format_compact!("status {status}")))
        }
        _ => Err((RunOutcome::Broken, format_compact!("status {status}"))),
    }
}

fn record_outcome(gateway: &Gateway, start: &ScoreStart, result: &ScoreResult, elapsed: Duration) {
    let now = clock::now();
    let id = &start.endpoint.id;
    let mut load_balancer = gateway.scorer_balancer();
    match result {
        Ok(_) => {
            load_balancer.record_success(id);
            load_balancer.record_pace(now, &start.endpoint.pool, id, elapsed);
        }
        // Calls that always fail say nothing about the endpoint.
        Err((RunOutcome::Failed, _)) => {}
        Err((RunOutcome::Full | RunOutcome::NotRun, _)) => load_balancer.record_full(now, id),
        Err((RunOutcome::Unreachable, _)) => load_balancer.record_unreachable(now, id),
        Err(_) => load_balancer.record_failure(now, id),
    }
}
