//! Results on their way into the log.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::Notify;
use wisteriaford_core::gateway::job::ItemResult;
use wisteriaford_core::gateway::record;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::gateway::schedule::Finished;
use wisteriaford_core::id::JobId;

use crate::border::Log;
use crate::border::LogError;
use crate::border::Topic;
use crate::contents;
use crate::contents::RESULT_OVERHEAD_BYTES;
use crate::state::Gateway;
use crate::state::lock;
use crate::state::stopped;

/// Wait for further results before an append; every append is read by every instance.
const GATHER: Duration = Duration::from_millis(30);
/// Wait before an append whose answer was lost is looked up in the fold.
const SETTLE: Duration = Duration::from_millis(300);
/// Wait after an append that had no effect.
const BACKOFF: Duration = Duration::from_millis(150);

/// Results that wait to be listed.
#[derive(Default)]
pub(crate) struct Outbox {
    pending: Mutex<Vec<Finished>>,
    notes: Mutex<Vec<KeyedValue>>,
    wake: Notify,
}

impl Outbox {
    /// Adds a result.
    pub(crate) fn push(&self, finished: Finished) {
        lock(&self.pending).push(finished);
        self.wake.notify_one();
    }

    /// Adds a record that may be lost without harm.
    pub(crate) fn push_note(&self, note: KeyedValue) {
        lock(&self.notes).push(note);
        self.wake.notify_one();
    }

    /// Returns whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.pending).is_empty() && lock(&self.notes).is_empty()
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
        tokio::time::sleep(GATHER).await;
        while !gateway.outbox.is_empty() {
            flush(&gateway).await;
        }
    }
}

/// Appends what waits, the texts first, and takes back what was not listed.
async fn flush(gateway: &Gateway) {
    let taken = std::mem::take(&mut *lock(&gateway.outbox.pending));
    let notes = std::mem::take(&mut *lock(&gateway.outbox.notes));
    let taken = unlisted(gateway, taken);
    let results = taken.len();
    match append(gateway, &taken, notes).await {
        Ok(()) => gateway.metrics.results_listed.add(results as u64, &[]),
        Err(error) => put_back(gateway, taken, &error).await,
    }
}

async fn append(
    gateway: &Gateway,
    results: &[Finished],
    notes: Vec<KeyedValue>,
) -> Result<(), LogError> {
    let mut records = Vec::new();
    for (job, chunk) in chunks(gateway, results) {
        let unique = gateway.unique_name();
        let texts = record::text_content(job, &unique, &chunk);
        let place = contents::append(gateway, texts).await?;
        records.push(record::results_record(job, &unique, &chunk, &place));
    }
    records.extend(notes);
    if records.is_empty() {
        return Ok(());
    }
    let offset = gateway.log.append(Topic::Jobs, records, None).await?;
    log::debug!(offset = offset.0, results = results.len(); "results appended");
    Ok(())
}

async fn put_back(gateway: &Gateway, results: Vec<Finished>, error: &LogError) {
    log::warn!(error:% = error, results = results.len(); "results not appended, trying again");
    gateway.metrics.log_failures.add(1, &[]);
    let wait = if error.may_have_effect() {
        SETTLE
    } else {
        BACKOFF
    };
    tokio::time::sleep(wait).await;
    let results = unlisted(gateway, results);
    lock(&gateway.outbox.pending).extend(results);
}

/// Leaves out results of items that are listed, and of batch jobs that are gone.
fn unlisted(gateway: &Gateway, results: Vec<Finished>) -> Vec<Finished> {
    let jobs = gateway.jobs();
    let is_open = |finished: &Finished| {
        let job = jobs.get(&finished.job);
        job.is_some_and(|job| job.result_of(&finished.result.item).is_none())
    };
    results.into_iter().filter(is_open).collect()
}

fn size_bytes(result: &ItemResult) -> usize {
    result.text.len() + RESULT_OVERHEAD_BYTES
}

/// Divides results by batch job, and so that the texts of each part fit into one record.
fn chunks<'a>(gateway: &Gateway, results: &'a [Finished]) -> Vec<(&'a JobId, Vec<ItemResult>)> {
    let max_bytes = gateway.log.bounds().max_record_bytes / 2;
    let mut by_job: IndexMap<&JobId, Vec<Vec<ItemResult>>> = IndexMap::new();
    for finished in results {
        let chunks = by_job.entry(&finished.job).or_default();
        let room = chunks.last().is_some_and(|chunk| {
            let used: usize = chunk.iter().map(size_bytes).sum();
            used + size_bytes(&finished.result) <= max_bytes
        });
        if !room {
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
