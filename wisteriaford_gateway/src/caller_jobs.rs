//! Callers' requests about batch jobs: submit, read, end.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use wisteriaford_core::gateway::job::JobSpec;
use wisteriaford_core::gateway::record;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::gateway::route::Route;
use wisteriaford_core::id::ItemId;
use wisteriaford_core::id::JobId;
use wisteriaford_core::time::Timestamp;

use crate::border::CallerHead;
use crate::border::Log;
use crate::border::LogError;
use crate::border::ResultsPage;
use crate::border::Topic;
use crate::clock;
use crate::refusal::Answer;
use crate::refusal::Reason;
use crate::refusal::refuse;
use crate::refusal::status_only;
use crate::refusal::whole;
use crate::state::Gateway;

/// Wait before an append that had no effect is tried again.
const APPEND_BACKOFF: Duration = Duration::from_millis(100);
/// Longest time that a submission is tried if the caller names no deadline.
const DEFAULT_SUBMIT_TIME: Duration = Duration::from_secs(2);
/// Longest time that a submission is tried, so that its caller can still go elsewhere.
const MAX_SUBMIT_TIME: Duration = Duration::from_millis(2_500);
/// Time to come back after the log took nothing.
const LOG_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Time to come back after a state wasn't known well enough.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time between two looks for batch jobs to delete.
const DELETE_INTERVAL: Duration = Duration::from_secs(10);
/// Time that a batch job is kept beyond its retention, for clocks that run apart.
const DELETE_MARGIN: Duration = Duration::from_secs(30);
/// Most bytes of the results in one answer, with room for the encoding around them.
const MAX_PAGE_BYTES: usize = 900 * 1024;

/// Accepts a batch job: its answer is sent once the log has it.
pub(crate) async fn submit(
    gateway: &Gateway,
    head: &CallerHead,
    route: &Route,
    path: &str,
    body: &Bytes,
) -> Answer {
    let arrived = clock::now();
    let job = match gateway.callers.job(head, path, body, clock::unix_ms()) {
        Ok(job) => job,
        Err(error) => return refuse_job(head, &error),
    };
    if let Err(error) = job.check() {
        return refuse_job(head, &error);
    }
    if gateway.jobs().get(&job.id).is_some() {
        log::info!(job:% = job.id; "batch job submitted again, known already");
        return status_only(StatusCode::ACCEPTED);
    }
    let time = head.time_left.unwrap_or(DEFAULT_SUBMIT_TIME);
    let deadline = arrived + time.min(MAX_SUBMIT_TIME);
    let outcome = append_job(gateway, &job, deadline).await;
    let taken = clock::now().since(arrived);
    gateway.metrics.submit_time(taken);
    match outcome {
        Ok(()) => {
            log::info!(
                job:% = job.id, route:% = route.id, items = job.items.len(), step = job.step,
                min_version = job.min_version.0, body_bytes = body.len(),
                took_ms = taken.as_millis();
                "batch job acknowledged"
            );
            status_only(StatusCode::ACCEPTED)
        }
        Err(reason) => {
            log::warn!(
                job:% = job.id, route:% = route.id, reason:% = reason, took_ms = taken.as_millis();
                "batch job not acknowledged"
            );
            gateway.metrics.refused(reason);
            refuse(reason, Some(LOG_RETRY_AFTER))
        }
    }
}

fn refuse_job(head: &CallerHead, error: &impl std::fmt::Display) -> Answer {
    log::warn!(request:% = head.request, error:% = error; "batch job refused as a whole");
    let mut answer = refuse(Reason::BadBody, None);
    *answer.body_mut() = whole(error.to_string());
    answer
}

/// Appends a batch job; on an unknown outcome, waits until it is read back.
async fn append_job(gateway: &Gateway, job: &JobSpec, deadline: Timestamp) -> Result<(), Reason> {
    let bounds = gateway.log.bounds();
    let mut may_be_there = false;
    loop {
        let submission = gateway.unique_name();
        let records = record::accept_records(job, &submission, bounds.max_record_bytes);
        match append_all(gateway, records, bounds.max_append_bytes).await {
            Ok(()) => return Ok(()),
            Err(error) => {
                gateway.metrics.log_failures.add(1, &[]);
                may_be_there |= error.may_have_effect();
                log::warn!(
                    job:% = job.id, error:% = error, may_be_there = may_be_there;
                    "batch job not appended"
                );
            }
        }
        let left = deadline.since(clock::now());
        if left > APPEND_BACKOFF && wait_for_job(gateway, &job.id, APPEND_BACKOFF).await {
            return Ok(());
        }
        if left <= APPEND_BACKOFF {
            return Err(if may_be_there {
                Reason::LogOutcomeUnknown
            } else {
                Reason::LogUnavailable
            });
        }
    }
}

/// Appends records in as few calls as their size allows; the last one counts.
async fn append_all(
    gateway: &Gateway,
    records: Vec<KeyedValue>,
    max_append_bytes: usize,
) -> Result<(), LogError> {
    let mut call = Vec::new();
    let mut size_bytes = 0;
    for record in records {
        let record_bytes = record.key.len() + record.value.as_ref().map_or(0, Vec::len) + 8;
        if !call.is_empty() && size_bytes + record_bytes > max_append_bytes {
            let full = std::mem::take(&mut call);
            gateway.log.append(Topic::Jobs, full, None).await?;
            size_bytes = 0;
        }
        size_bytes += record_bytes;
        call.push(record);
    }
    gateway.log.append(Topic::Jobs, call, None).await?;
    Ok(())
}

/// Waits until a batch job is known, and returns whether it is.
async fn wait_for_job(gateway: &Gateway, job: &JobId, wait: Duration) -> bool {
    let mut changes = gateway.jobs_changed.subscribe();
    let known = || gateway.jobs().get(job).is_some();
    let seen = changes.wait_for(|_| known());
    tokio::time::timeout(wait, seen).await.is_ok()
}

/// Waits until the fold is as of the request's arrival, and returns whether it is.
async fn wait_until_current(gateway: &Gateway, arrived: Timestamp) -> bool {
    let mut changes = gateway.jobs_changed.subscribe();
    let freshness = gateway.freshness(Topic::Jobs);
    let current = changes.wait_for(|_| freshness.as_of() >= arrived);
    let settle = gateway.settings.load().settle;
    tokio::time::timeout(settle, current).await.is_ok()
}

/// Returns results from a position on, waiting for the first one if it isn't listed yet.
pub(crate) async fn results(
    gateway: &Gateway,
    job: &JobId,
    position: usize,
    wait: Duration,
) -> Answer {
    let arrived = clock::now();
    let mut changes = gateway.jobs_changed.subscribe();
    let has_more = || {
        let jobs = gateway.jobs();
        let job = jobs.get(job);
        job.is_some_and(|job| job.listed() > position || job.is_complete() || job.ended)
    };
    if !has_more() {
        let known = gateway.jobs().get(job).is_some();
        let settle = gateway.settings.load().settle;
        let wait = if known { wait } else { settle };
        let more = changes.wait_for(|_| has_more() || (!known && is_current(gateway, arrived)));
        // Without a result in time, an empty page is the answer.
        drop(tokio::time::timeout(wait, more).await);
    }
    let page = page(gateway, job, position);
    let settle = gateway.settings.load().settle;
    let age = clock::now().since(gateway.freshness(Topic::Jobs).as_of());
    match page {
        Some(page) if page.next > position || age < settle => json(gateway.callers.results(&page)),
        Some(_) => {
            note_read(gateway, job, Reason::NotCurrent, age);
            refuse(Reason::NotCurrent, Some(STALE_RETRY_AFTER))
        }
        None if is_current(gateway, arrived) => {
            note_read(gateway, job, Reason::NoSuchJob, age);
            refuse(Reason::NoSuchJob, None)
        }
        None => {
            note_read(gateway, job, Reason::NotCurrent, age);
            refuse(Reason::NotCurrent, Some(STALE_RETRY_AFTER))
        }
    }
}

fn is_current(gateway: &Gateway, arrived: Timestamp) -> bool {
    gateway.freshness(Topic::Jobs).as_of() >= arrived
}

fn note_read(gateway: &Gateway, job: &JobId, reason: Reason, age: Duration) {
    gateway.metrics.refused(reason);
    log::info!(
        job:% = job, reason:% = reason, fold_age_ms = age.as_millis(); "batch job not read"
    );
}

fn page(gateway: &Gateway, job: &JobId, position: usize) -> Option<ResultsPage> {
    let jobs = gateway.jobs();
    let job = jobs.get(job)?;
    let mut results = Vec::new();
    let mut size_bytes = 0;
    for result in job.results_from(position) {
        size_bytes += result.text.len() + 200;
        if !results.is_empty() && size_bytes > MAX_PAGE_BYTES {
            break;
        }
        results.push(std::sync::Arc::clone(result));
    }
    Some(ResultsPage {
        total: job.spec.items.len(),
        next: position + results.len(),
        results,
    })
}

fn json(body: Bytes) -> Answer {
    let mut answer = Response::new(whole(body));
    let value = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}

/// Returns the body of an item that is not listed yet.
pub(crate) async fn item_body(gateway: &Gateway, job: &JobId, item: &ItemId) -> Answer {
    let arrived = clock::now();
    let find = || {
        let jobs = gateway.jobs();
        let found = jobs.get(job)?.item(item)?;
        Some(found.body.clone())
    };
    if let Some(body) = find() {
        return Response::new(whole(body));
    }
    let current = wait_until_current(gateway, arrived).await;
    if let Some(body) = find() {
        return Response::new(whole(body));
    }
    let reason = if current {
        Reason::NoSuchJob
    } else {
        Reason::NotCurrent
    };
    let age = clock::now().since(gateway.freshness(Topic::Jobs).as_of());
    note_read(gateway, job, reason, age);
    refuse(reason, (!current).then_some(STALE_RETRY_AFTER))
}

/// Ends a batch job: its answer is sent once the log has the end.
pub(crate) async fn end(gateway: &Gateway, head: &CallerHead, job: &JobId) -> Answer {
    let arrived = clock::now();
    let ended = || gateway.jobs().get(job).map(|job| job.ended);
    if ended().is_none() {
        let current = wait_until_current(gateway, arrived).await;
        if ended().is_none() {
            let age = clock::now().since(gateway.freshness(Topic::Jobs).as_of());
            let reason = if current {
                Reason::NoSuchJob
            } else {
                Reason::NotCurrent
            };
            note_read(gateway, job, reason, age);
            return refuse(reason, (!current).then_some(STALE_RETRY_AFTER));
        }
    }
    let time = head.time_left.unwrap_or(DEFAULT_SUBMIT_TIME);
    let deadline = arrived + time.min(MAX_SUBMIT_TIME);
    loop {
        if ended() == Some(true) {
            return status_only(StatusCode::OK);
        }
        let records = vec![record::ended_record(job)];
        match gateway.log.append(Topic::Jobs, records, None).await {
            Ok(offset) => {
                log::info!(job:% = job, offset = offset.0; "end of batch job acknowledged");
                return status_only(StatusCode::OK);
            }
            Err(error) => {
                gateway.metrics.log_failures.add(1, &[]);
                log::warn!(job:% = job, error:% = error; "end of batch job not appended");
            }
        }
        tokio::time::sleep(APPEND_BACKOFF).await;
        if clock::now() >= deadline {
            gateway.metrics.refused(Reason::LogOutcomeUnknown);
            return refuse(Reason::LogOutcomeUnknown, Some(LOG_RETRY_AFTER));
        }
    }
}

/// Deletes batch jobs that nobody may ask for any more, while this instance has the duty.
pub(crate) async fn delete_expired(gateway: std::sync::Arc<Gateway>) {
    loop {
        tokio::time::sleep(DELETE_INTERVAL).await;
        if gateway.duty().held().is_none() {
            continue;
        }
        let retention = gateway.settings.load().result_retention + DELETE_MARGIN;
        let records = expired_records(&gateway, retention);
        if records.is_empty() {
            continue;
        }
        let count = records.len();
        match gateway.log.append(Topic::Jobs, records, None).await {
            Ok(offset) => log::info!(records = count, offset = offset.0; "old batch jobs deleted"),
            Err(error) => log::warn!(error:% = error; "old batch jobs not deleted"),
        }
    }
}

/// Returns records that drop the keys of batch jobs whose time is over.
fn expired_records(gateway: &Gateway, retention: Duration) -> Vec<KeyedValue> {
    let now_ms = clock::unix_ms();
    let jobs = gateway.jobs();
    let expired = jobs.iter().filter(|job| {
        let age_ms = now_ms.saturating_sub(job.spec.submitted_unix_ms);
        let over = u128::from(age_ms) > retention.as_millis();
        over && (job.ended || job.is_complete())
    });
    let keys = expired.flat_map(wisteriaford_core::gateway::job_fold::Job::keys);
    let records = keys.map(|key| KeyedValue {
        key: key.clone(),
        value: None,
    });
    records.collect()
}
