//! Requests of callers to submit, read and end batch jobs, and deletion of expired ones.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use wisteriaford_core::gateway::job::JobHead;
use wisteriaford_core::gateway::job::JobSpec;
use wisteriaford_core::gateway::job::Scorer;
use wisteriaford_core::gateway::job_retention::JobRetention;
use wisteriaford_core::gateway::organisations::Sender;
use wisteriaford_core::gateway::record;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::gateway::route::Route;
use wisteriaford_core::id::ItemId;
use wisteriaford_core::id::JobId;
use wisteriaford_core::time::Timestamp;
use wisteriaford_http::Slot;

use crate::adapter::CallerHead;
use crate::adapter::DecodeError;
use crate::adapter::Log;
use crate::adapter::LogError;
use crate::adapter::PageResult;
use crate::adapter::ResultsPage;
use crate::adapter::Topic;
use crate::clock;
use crate::contents;
use crate::contents::ContentError;
use crate::contents::RESULT_OVERHEAD_BYTES;
use crate::job_admission;
use crate::refusal::Answer;
use crate::refusal::Reason;
use crate::refusal::empty_answer;
use crate::refusal::full_body;
use crate::refusal::refuse;
use crate::shutdown;
use crate::state::Gateway;

/// Delay before retrying an append, some tens of the store's round trips.
const APPEND_BACKOFF: Duration = Duration::from_millis(100);
/// Time limit of a submission if the caller sets no deadline.
const DEFAULT_SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper time limit of a submission, which leaves the caller time to try another instance.
const MAX_SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// `Retry-After` while the log is unavailable. Outages last for seconds, but another instance may
/// still reach the log.
const LOG_RETRY_AFTER: Duration = Duration::from_millis(400);
/// `Retry-After` while other batch jobs take the memory; items run for seconds.
const JOBS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` when the known state was too old.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Interval between deletions of expired batch jobs.
const DELETE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of batch jobs deleted in one append.
const MAX_DELETED_AT_ONCE: usize = 50;
/// Maximum size of the results in one answer in bytes, leaving room for encoding overhead.
const MAX_PAGE_BYTES: usize = 900 * 1024;

/// Size of the body up to which a batch job is decoded by the thread that serves all requests, in bytes;
/// some milliseconds of work.
const MAX_INLINE_BYTES: usize = 1024 * 1024;
/// Length of a group of base64 text, and of the bytes that it encodes.
const BASE64_GROUP: usize = 4;
const BASE64_GROUP_BYTES: usize = 3;
/// Maximum memory that an element or member of a batch job takes beyond its text, in bytes: an item of a
/// list that doubled, shared among its members, or a header field in two maps.
const MAX_ELEMENT_BYTES: usize = 320;

/// Head of a request that submits a batch job, and what is known of it.
#[derive(Clone, Copy)]
pub(crate) struct Submission<'a> {
    pub(crate) head: &'a CallerHead,
    pub(crate) route: &'a Route,
    pub(crate) sender: &'a Sender,
    pub(crate) path: &'a str,
}

/// Returns whether there may be memory for a batch job, before its body is read.
pub(crate) fn may_submit(gateway: &Gateway, head: &CallerHead, body: &Incoming) -> bool {
    let job = JobId::from(head.request.as_str());
    job_admission::may_read(gateway, &job, body)
}

/// Refuses a batch job for which there is no memory beside the others.
pub(crate) fn refuse_full(gateway: &Gateway) -> Answer {
    gateway.metrics.record_refusal(Reason::JobsFull);
    refuse(Reason::JobsFull, Some(JOBS_RETRY_AFTER))
}

/// Accepts a batch job, and answers once the log has stored it.
pub(crate) async fn submit(
    gateway: &Gateway,
    submission: &Submission<'_>,
    body: Bytes,
    slot: Option<&Slot>,
) -> Answer {
    let Submission {
        head,
        route,
        sender,
        path,
    } = *submission;
    let arrived = clock::now();
    // Held until the job has been stored.
    let decoded = slot
        .map(|slot| slot.reserve(decoded_bytes(&body)))
        .transpose();
    let Ok(_decoded) = decoded else {
        gateway.metrics.record_refusal(Reason::CallerMemory);
        return refuse(Reason::CallerMemory, Some(LOG_RETRY_AFTER));
    };
    let body_bytes = body.len();
    let mut job = match decode_job(gateway, head, path, body).await {
        Ok(job) => job,
        Err(error) => return refuse_job(head, &error),
    };
    job.head.organisation = sender.organisation().cloned();
    if let Err(error) = job.validate() {
        return refuse_job(head, &error);
    }
    if let Some((item, scorer)) = scorer_without_route(gateway, &job) {
        let cause = compact_str::format_compact!(
            "no route for the scorer of item {item} at {}{}",
            scorer.host,
            scorer.path
        );
        return refuse_job(head, &cause);
    }
    match is_visible(gateway, sender, &job.head.id) {
        Some(true) => {
            log::info!(job:% = job.head.id; "batch job already known, submission ignored");
            return empty_answer(StatusCode::ACCEPTED);
        }
        Some(false) => return refuse_taken(gateway, &job.head.id),
        None => {}
    }
    let Some(_pending) = job_admission::admit(gateway, &job) else {
        return refuse_full(gateway);
    };
    let timeout = head.time_left.unwrap_or(DEFAULT_SUBMIT_TIMEOUT);
    let deadline = arrived + timeout.min(MAX_SUBMIT_TIMEOUT);
    let mut outcome = append_job(gateway, &job, deadline).await;
    if outcome.is_ok() && *sender != Sender::Unrestricted {
        outcome = confirm_owner(gateway, sender, &job.head.id, deadline).await;
    }
    let elapsed = clock::now().since(arrived);
    gateway.metrics.record_submit_time(elapsed);
    match outcome {
        Ok(()) => {
            log::info!(
                job:% = job.head.id, route:% = route.id, items = job.items.len(), step = job.head.step,
                min_version = job.head.min_version.0, body_bytes = body_bytes,
                took_ms = elapsed.as_millis();
                "batch job acknowledged"
            );
            empty_answer(StatusCode::ACCEPTED)
        }
        Err(Reason::JobIdTaken) => refuse_taken(gateway, &job.head.id),
        Err(reason) => {
            log::warn!(
                job:% = job.head.id, route:% = route.id, reason:% = reason, took_ms = elapsed.as_millis();
                "batch job not acknowledged"
            );
            gateway.metrics.record_refusal(reason);
            refuse(reason, Some(LOG_RETRY_AFTER))
        }
    }
}

/// Returns whether a batch job exists for a sender; `None` if it isn't known at all.
fn is_visible(gateway: &Gateway, sender: &Sender, job: &JobId) -> Option<bool> {
    gateway.jobs().get(job)?;
    Some(visible_head(gateway, sender, job).is_some())
}

/// Waits until an appended batch job is read back: of two organisations that submit the same id at the
/// same time, the first in the log has it.
async fn confirm_owner(
    gateway: &Gateway,
    sender: &Sender,
    job: &JobId,
    deadline: Timestamp,
) -> Result<(), Reason> {
    wait_for_job(gateway, job, deadline.since(clock::now())).await;
    match is_visible(gateway, sender, job) {
        Some(true) => Ok(()),
        Some(false) => Err(Reason::JobIdTaken),
        None => Err(Reason::LogOutcomeUnknown),
    }
}

/// Refuses a submission with the id of another organisation's batch job.
fn refuse_taken(gateway: &Gateway, job: &JobId) -> Answer {
    log::warn!(job:% = job; "batch job refused, another organisation has one with its id");
    gateway.metrics.record_refusal(Reason::JobIdTaken);
    refuse(Reason::JobIdTaken, None)
}

/// Returns the metadata of a batch job, if it exists for a sender.
fn visible_head(gateway: &Gateway, sender: &Sender, job: &JobId) -> Option<Arc<JobHead>> {
    let head = Arc::clone(&gateway.jobs().get(job)?.head);
    let is_visible = sender.may_see(&head, &gateway.view.load().routes);
    is_visible.then_some(head)
}

/// Decodes a batch job; a large one in a thread of its own, so that other requests don't wait for it.
async fn decode_job(
    gateway: &Gateway,
    head: &CallerHead,
    path: &str,
    body: Bytes,
) -> Result<JobSpec, DecodeError> {
    let unix_ms = clock::unix_ms();
    if body.len() <= MAX_INLINE_BYTES {
        return gateway.callers.decode_job(head, path, &body, unix_ms);
    }
    let callers = Arc::clone(&gateway.callers);
    let (head, path) = (head.clone(), CompactString::from(path));
    let decode = move || callers.decode_job(&head, &path, &body, unix_ms);
    let decoded = tokio::task::spawn_blocking(decode).await;
    decoded.unwrap_or_else(|error| Err(DecodeError::new("batch job", error)))
}

/// Returns an upper bound of the memory that a batch job takes once it is decoded, in bytes.
fn decoded_bytes(body: &[u8]) -> usize {
    if !body.trim_ascii_start().starts_with(b"{") {
        // Decoding fails at once.
        return 0;
    }
    // Each element and member but the first of its list or object follows a comma.
    let elements = memchr::memchr_iter(b',', body).count() + 1;
    body.len() / BASE64_GROUP * BASE64_GROUP_BYTES + elements * MAX_ELEMENT_BYTES
}

/// Returns the first item whose scorer no route leads to.
fn scorer_without_route<'a>(
    gateway: &Gateway,
    job: &'a JobSpec,
) -> Option<(&'a ItemId, &'a Scorer)> {
    let view = gateway.view.load();
    let mut scorers = job.items.iter().filter_map(|item| {
        let scorer = item.scorer.as_ref()?;
        Some((&item.id, scorer))
    });
    scorers.find(|(_, scorer)| view.routes.find(&scorer.host, &scorer.path).is_none())
}

fn refuse_job(head: &CallerHead, error: &impl std::fmt::Display) -> Answer {
    log::warn!(request:% = head.request, error:% = error; "batch job refused");
    let mut answer = refuse(Reason::BadBody, None);
    *answer.body_mut() = full_body(error.to_string());
    answer
}

/// Appends a batch job with retries; if the outcome is unknown, waits until the job is read back.
async fn append_job(gateway: &Gateway, job: &JobSpec, deadline: Timestamp) -> Result<(), Reason> {
    let id = &job.head.id;
    let mut may_be_appended = false;
    loop {
        match append_once(gateway, job, &mut may_be_appended).await {
            Ok(()) => return Ok(()),
            Err(error) => {
                gateway.metrics.log_failures.add(1, &[]);
                log::warn!(
                    job:% = id, error:% = error, may_be_there = may_be_appended;
                    "batch job not appended"
                );
            }
        }
        let remaining = deadline.since(clock::now());
        if remaining > APPEND_BACKOFF && wait_for_job(gateway, id, APPEND_BACKOFF).await {
            return Ok(());
        }
        if remaining <= APPEND_BACKOFF {
            return Err(if may_be_appended {
                Reason::LogOutcomeUnknown
            } else {
                Reason::LogUnavailable
            });
        }
    }
}

/// Appends the items of a batch job, followed by the record that accepts the job.
async fn append_once(
    gateway: &Gateway,
    job: &JobSpec,
    may_be_appended: &mut bool,
) -> Result<(), LogError> {
    let unique_name = gateway.unique_name();
    let max_bytes = gateway.log.limits().max_record_bytes;
    let mut head = job.head.clone();
    for record in record::item_contents(job, &unique_name, max_bytes) {
        head.contents.push(contents::append(gateway, record).await?);
    }
    let records = vec![record::accepted_record(&head, &unique_name)];
    let appended = gateway.log.append(Topic::Jobs, records, None).await;
    *may_be_appended |= appended.as_ref().is_err_and(LogError::may_have_effect);
    appended.map(|_| ())
}

/// Waits until a batch job is known and returns whether it became known in time.
async fn wait_for_job(gateway: &Gateway, job: &JobId, wait: Duration) -> bool {
    let mut changes = gateway.jobs_changed.subscribe();
    let known = || gateway.jobs().get(job).is_some();
    let appeared = changes.wait_for(|_| known());
    tokio::time::timeout(wait, appeared).await.is_ok()
}

/// Waits until the fold includes all records up to the request's arrival and returns whether it
/// does.
async fn wait_until_current(gateway: &Gateway, arrived: Timestamp) -> bool {
    let mut changes = gateway.jobs_changed.subscribe();
    let freshness = gateway.freshness(Topic::Jobs);
    let current = changes.wait_for(|_| freshness.as_of() >= arrived);
    let propagation_timeout = gateway.settings.load().propagation_timeout;
    tokio::time::timeout(propagation_timeout, current)
        .await
        .is_ok()
}

/// Returns results starting at a position, waiting for the first one if it is not listed yet.
pub(crate) async fn results(
    gateway: &Gateway,
    sender: &Sender,
    job: &JobId,
    position: usize,
    wait: Duration,
) -> Answer {
    let arrived = clock::now();
    let mut changes = gateway.jobs_changed.subscribe();
    let is_known = || visible_head(gateway, sender, job).is_some();
    let has_more = || {
        let is_known = is_known();
        let jobs = gateway.jobs();
        let job = jobs.get(job).filter(|_| is_known);
        job.is_some_and(|job| job.result_count() > position || job.is_complete() || job.ended)
    };
    if !has_more() {
        let known = is_known();
        let propagation_timeout = gateway.settings.load().propagation_timeout;
        let wait = if known { wait } else { propagation_timeout };
        let more = changes.wait_for(|_| has_more() || (!known && is_current(gateway, arrived)));
        // If no result is listed in time, the answer is an empty page.
        let waited = tokio::time::timeout(wait, more);
        drop(shutdown::unless_last_answer(gateway, waited).await);
    }
    let page = match page(gateway, sender, job, position).await {
        Ok(page) => page,
        Err(error) => {
            log::warn!(job:% = job, error:% = error; "failed to read results");
            gateway.metrics.record_refusal(Reason::LogUnavailable);
            return refuse(Reason::LogUnavailable, Some(STALE_RETRY_AFTER));
        }
    };
    let propagation_timeout = gateway.settings.load().propagation_timeout;
    let age = clock::now().since(gateway.freshness(Topic::Jobs).as_of());
    let reason = match page {
        Some(page) if page.next > position || age < propagation_timeout => {
            return json_answer(gateway.callers.encode_results(&page));
        }
        None if is_current(gateway, arrived) => Reason::NoSuchJob,
        Some(_) | None => Reason::NotCurrent,
    };
    log_refused_read(gateway, job, reason, age);
    let wait = (reason == Reason::NotCurrent).then_some(STALE_RETRY_AFTER);
    refuse(reason, wait)
}

fn is_current(gateway: &Gateway, arrived: Timestamp) -> bool {
    gateway.freshness(Topic::Jobs).as_of() >= arrived
}

fn log_refused_read(gateway: &Gateway, job: &JobId, reason: Reason, age: Duration) {
    gateway.metrics.record_refusal(reason);
    log::info!(
        job:% = job, reason:% = reason, fold_age_ms = age.as_millis(); "batch job not read"
    );
}

/// Returns as many results with their texts as fit into one answer.
async fn page(
    gateway: &Gateway,
    sender: &Sender,
    job: &JobId,
    position: usize,
) -> Result<Option<ResultsPage>, ContentError> {
    if visible_head(gateway, sender, job).is_none() {
        return Ok(None);
    }
    let (total, listed) = {
        let jobs = gateway.jobs();
        let Some(job) = jobs.get(job) else {
            return Ok(None);
        };
        (job.head.total_items, job.results_from(position).to_vec())
    };
    let mut results: Vec<PageResult> = Vec::new();
    let mut size_bytes = 0;
    for listed in listed {
        let last = results
            .last()
            .filter(|last| last.listed.content == listed.content);
        let content = match last {
            Some(last) => Arc::clone(&last.content),
            None => contents::fetch(gateway, &listed.content).await?,
        };
        let result = PageResult { listed, content };
        size_bytes += result.text().len() + RESULT_OVERHEAD_BYTES;
        if !results.is_empty() && size_bytes > MAX_PAGE_BYTES {
            break;
        }
        results.push(result);
    }
    Ok(Some(ResultsPage {
        total,
        next: position + results.len(),
        results,
    }))
}

fn json_answer(body: Bytes) -> Answer {
    let mut answer = Response::new(full_body(body));
    let value = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}

/// Returns the body of an item of a batch job.
pub(crate) async fn item_body(
    gateway: &Gateway,
    sender: &Sender,
    job: &JobId,
    item: &ItemId,
) -> Answer {
    let arrived = clock::now();
    let find = || visible_head(gateway, sender, job);
    let mut head = find();
    let mut current = true;
    if head.is_none() {
        current = wait_until_current(gateway, arrived).await;
        head = find();
    }
    let age = clock::now().since(gateway.freshness(Topic::Jobs).as_of());
    let reason = match head {
        Some(head) => match contents::items(gateway, &head).await {
            Ok(items) => match items.iter().find(|spec| spec.id == *item) {
                Some(spec) => return Response::new(full_body(spec.body.clone())),
                None => Reason::NoSuchJob,
            },
            Err(error) => {
                log::warn!(job:% = job, item:% = item, error:% = error; "failed to read item");
                Reason::LogUnavailable
            }
        },
        None if current => Reason::NoSuchJob,
        None => Reason::NotCurrent,
    };
    log_refused_read(gateway, job, reason, age);
    let wait = (reason != Reason::NoSuchJob).then_some(STALE_RETRY_AFTER);
    refuse(reason, wait)
}

/// Ends a batch job, and answers once the log has stored the end.
pub(crate) async fn end(
    gateway: &Gateway,
    sender: &Sender,
    head: &CallerHead,
    job: &JobId,
) -> Answer {
    let arrived = clock::now();
    let ended = || {
        visible_head(gateway, sender, job)?;
        gateway.jobs().get(job).map(|job| job.ended)
    };
    if ended().is_none() {
        let current = wait_until_current(gateway, arrived).await;
        if ended().is_none() {
            let age = clock::now().since(gateway.freshness(Topic::Jobs).as_of());
            let reason = if current {
                Reason::NoSuchJob
            } else {
                Reason::NotCurrent
            };
            log_refused_read(gateway, job, reason, age);
            return refuse(reason, (!current).then_some(STALE_RETRY_AFTER));
        }
    }
    let timeout = head.time_left.unwrap_or(DEFAULT_SUBMIT_TIMEOUT);
    let deadline = arrived + timeout.min(MAX_SUBMIT_TIMEOUT);
    loop {
        if ended() == Some(true) {
            return empty_answer(StatusCode::OK);
        }
        let records = vec![record::ended_record(job)];
        match gateway.log.append(Topic::Jobs, records, None).await {
            Ok(offset) => {
                log::info!(job:% = job, offset = offset.0; "end of batch job acknowledged");
                return empty_answer(StatusCode::OK);
            }
            Err(error) => {
                gateway.metrics.log_failures.add(1, &[]);
                log::warn!(job:% = job, error:% = error; "end of batch job not appended");
            }
        }
        tokio::time::sleep(APPEND_BACKOFF).await;
        if clock::now() >= deadline {
            gateway.metrics.record_refusal(Reason::LogOutcomeUnknown);
            return refuse(Reason::LogOutcomeUnknown, Some(LOG_RETRY_AFTER));
        }
    }
}

/// Deletes batch jobs whose retention has passed, while this instance is the leader.
pub(crate) async fn delete_expired(gateway: Arc<Gateway>) {
    let mut retention = JobRetention::default();
    loop {
        tokio::time::sleep(DELETE_INTERVAL).await;
        // Also at the other instances, so that each knows when batch jobs were complete.
        let (records, contents) = expired_records(&gateway, &mut retention);
        if records.is_empty() || gateway.leadership().leader_fence().is_none() {
            continue;
        }
        let counts = (records.len(), contents.len());
        // The job records refer to the contents, so they are deleted last.
        let deleted = match gateway.log.append(Topic::Contents, contents, None).await {
            Ok(_) => gateway.log.append(Topic::Jobs, records, None).await,
            Err(error) => Err(error),
        };
        match deleted {
            Ok(offset) => log::info!(
                records = counts.0, contents = counts.1, offset = offset.0;
                "expired batch jobs deleted"
            ),
            Err(error) => log::warn!(error:% = error; "failed to delete expired batch jobs"),
        }
    }
}

/// Returns records that delete the keys of expired batch jobs and of their contents.
fn expired_records(
    gateway: &Gateway,
    retention: &mut JobRetention,
) -> (Vec<KeyedValue>, Vec<KeyedValue>) {
    let kept = gateway.settings.load().result_retention;
    let jobs = gateway.jobs();
    let mut expired = retention.expired(clock::now(), clock::unix_ms(), &jobs, kept);
    expired.truncate(MAX_DELETED_AT_ONCE);
    let drop_key = |key: &CompactString| KeyedValue {
        key: key.clone(),
        value: None,
    };
    let records = expired.iter().flat_map(|job| job.keys());
    let contents = expired.iter().flat_map(|job| job.content_keys());
    (
        records.map(drop_key).collect(),
        contents.map(drop_key).collect(),
    )
}
