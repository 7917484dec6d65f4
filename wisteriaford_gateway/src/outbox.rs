//! Batched appends of item results to the log.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use tokio::sync::Notify;
use wisteriaford_core::gateway::job::ItemResult;
use wisteriaford_core::gateway::record;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::gateway::schedule::FinishedItem;
use wisteriaford_core::id::JobId;

use crate::adapter::Log;
use crate::adapter::LogError;
use crate::adapter::Topic;
use crate::contents;
use crate::contents::RESULT_OVERHEAD_BYTES;
use crate::state::Gateway;
use crate::state::lock;
use crate::state::stopped;

/// Delay to gather further results before an append; every instance reads every append.
const GATHER_DELAY: Duration = Duration::from_millis(30);
/// Delay before the fold is checked for an append whose answer was lost.
const UNKNOWN_OUTCOME_DELAY: Duration = Duration::from_millis(100);
/// Delay before retrying an append that had no effect.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Encoded size of a version of the weights in bytes, at most.
const VERSION_BYTES: usize = 11;

/// Queue of results and other records to be appended.
#[derive(Default)]
pub(crate) struct Outbox {
    pending: Mutex<Vec<FinishedItem>>,
    best_effort: Mutex<Vec<KeyedValue>>,
    wake: Notify,
}

impl Outbox {
    /// Queues a result.
    pub(crate) fn push(&self, finished: FinishedItem) {
        lock(&self.pending).push(finished);
        self.wake.notify_one();
    }

    /// Queues a record that is dropped if its append fails.
    pub(crate) fn push_best_effort(&self, record: KeyedValue) {
        lock(&self.best_effort).push(record);
        self.wake.notify_one();
    }

    /// Returns whether the queue is empty.
    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.pending).is_empty() && lock(&self.best_effort).is_empty()
    }
}

/// Appends results until the gateway stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    loop {
        tokio::select! {
            () = gateway.outbox.wake.notified() => {}
            () = stopped(&mut stop) => return,
        }
        tokio::time::sleep(GATHER_DELAY).await;
        while !gateway.outbox.is_empty() {
            flush(&gateway).await;
        }
    }
}

/// Appends the queued records, texts first, and requeues results that were not listed.
async fn flush(gateway: &Gateway) {
    let results = std::mem::take(&mut *lock(&gateway.outbox.pending));
    let best_effort = std::mem::take(&mut *lock(&gateway.outbox.best_effort));
    let results = unlisted(gateway, results);
    let count = results.len();
    match append(gateway, &results, best_effort).await {
        Ok(()) => gateway.metrics.results_listed.add(count as u64, &[]),
        Err(error) => requeue(gateway, results, &error).await,
    }
}

async fn append(
    gateway: &Gateway,
    results: &[FinishedItem],
    best_effort: Vec<KeyedValue>,
) -> Result<(), LogError> {
    let mut records = Vec::new();
    for (job, chunk) in chunks(gateway, results) {
        let unique_name = gateway.unique_name();
        let texts = record::text_content(job, &unique_name, &chunk);
        let location = contents::append(gateway, texts).await?;
        records.push(record::results_record(job, &unique_name, &chunk, &location));
    }
    records.extend(best_effort);
    if records.is_empty() {
        return Ok(());
    }
    let offset = gateway.log.append(Topic::Jobs, records, None).await?;
    log::debug!(offset = offset.0, results = results.len(); "results appended");
    Ok(())
}

async fn requeue(gateway: &Gateway, results: Vec<FinishedItem>, error: &LogError) {
    log::warn!(error:% = error, results = results.len(); "results not appended, retrying");
    gateway.metrics.log_failures.add(1, &[]);
    let wait = if error.may_have_effect() {
        UNKNOWN_OUTCOME_DELAY
    } else {
        RETRY_DELAY
    };
    tokio::time::sleep(wait).await;
    let results = unlisted(gateway, results);
    lock(&gateway.outbox.pending).extend(results);
}

/// Filters out results of items that are already listed and of batch jobs that no longer exist.
fn unlisted(gateway: &Gateway, results: Vec<FinishedItem>) -> Vec<FinishedItem> {
    let jobs = gateway.jobs();
    let is_open = |finished: &FinishedItem| {
        let job = jobs.get(&finished.job);
        job.is_some_and(|job| job.result_of(&finished.result.item).is_none())
    };
    results.into_iter().filter(is_open).collect()
}

fn size_bytes(result: &ItemResult) -> usize {
    let score = result.score.as_ref().map_or(0, CompactString::len);
    let versions = result.versions.len() * VERSION_BYTES;
    result.text.len() + score + versions + RESULT_OVERHEAD_BYTES
}

/// Groups results by batch job, in chunks whose texts fit into one record.
fn chunks<'a>(gateway: &Gateway, results: &'a [FinishedItem]) -> Vec<(&'a JobId, Vec<ItemResult>)> {
    let max_bytes = gateway.log.limits().max_record_bytes / 2;
    let mut by_job: IndexMap<&JobId, Vec<Vec<ItemResult>>> = IndexMap::new();
    for finished in results {
        let chunks = by_job.entry(&finished.job).or_default();
        let fits = chunks.last().is_some_and(|chunk| {
            let used: usize = chunk.iter().map(size_bytes).sum();
            used + size_bytes(&finished.result) <= max_bytes
        });
        if !fits {
            chunks.push(Vec::new());
        }
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(finished.result.clone());
        }
    }
    let chunks = by_job.into_iter();
    chunks
        .flat_map(|(job, chunks)| chunks.into_iter().map(move |chunk| (job, chunk)))
        .collect()
}
