//! Partial output of running items, saved to the log so that another instance can resume them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use wisteriaford_core::gateway::record;
use wisteriaford_core::gateway::schedule::ProgressPart;
use wisteriaford_core::id::JobId;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;

use crate::adapter::Log;
use crate::adapter::LogError;
use crate::adapter::Topic;
use crate::clock;
use crate::state::Gateway;
use crate::state::stopped;

/// Interval between saves; a crash loses up to this much output of each item.
const SAVE_INTERVAL: Duration = Duration::from_millis(600);
/// Minimum number of new events before an item's output is saved; fewer are regenerated within
/// half a second.
const MIN_UNSAVED_EVENTS: usize = 15;
/// Time limit of the save before the leadership is released.
const RELEASE_SAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// Age at which saved output is discarded; the longest items run for 7 s.
const MAX_SAVED_AGE: Duration = Duration::from_secs(10);
/// Interval between trims of output that is no longer needed; a new leader reads what is left.
const TRIM_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit for restoring saved output; after it, items start from the beginning.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Encoded size of a part in bytes beyond its events, mostly ids.
const PART_OVERHEAD_BYTES: usize = 120;

/// Output that was saved at the same time.
struct Saved {
    at: Timestamp,
    /// Offset of the first record.
    first: Offset,
    jobs: IndexSet<JobId>,
}

impl Saved {
    /// Returns whether a new leader may need the output.
    fn is_needed(&self, now: Timestamp, is_open: impl Fn(&JobId) -> bool) -> bool {
        now.since(self.at) <= MAX_SAVED_AGE && self.jobs.iter().any(is_open)
    }
}

/// Saves output until the gateway stops, while this instance is the leader.
pub(crate) async fn save(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    let mut appended: VecDeque<Saved> = VecDeque::new();
    let mut last_trim = clock::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(SAVE_INTERVAL) => {}
            () = stopped(&mut stop) => return,
        }
        if gateway.leadership().leader_fence().is_none() {
            appended.clear();
            continue;
        }
        match save_once(&gateway, MIN_UNSAVED_EVENTS).await {
            Ok(saved) => appended.extend(saved),
            Err(error) => {
                gateway.metrics.log_failures.add(1, &[]);
                log::debug!(error:% = error; "failed to save output of items");
                gateway.schedule().mark_all_unsaved();
            }
        }
        if clock::now().since(last_trim) >= TRIM_INTERVAL {
            last_trim = clock::now();
            trim(&gateway, &mut appended).await;
        }
    }
}

/// Saves all output, so that the next leader goes on where this one stops.
pub(crate) async fn save_before_release(gateway: &Gateway) {
    let began = clock::now();
    let saved = tokio::time::timeout(RELEASE_SAVE_TIMEOUT, save_once(gateway, 1)).await;
    let error = match saved {
        Ok(Ok(_)) => {
            log::info!(
                took_ms = clock::now().since(began).as_millis();
                "output of items saved for the next leader"
            );
            return;
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no answer in {} ms", RELEASE_SAVE_TIMEOUT.as_millis()),
    };
    gateway.schedule().mark_all_unsaved();
    log::warn!(error = error; "failed to save output of items for the next leader");
}

/// Appends output of items with at least `min_events` events that has not been saved.
async fn save_once(gateway: &Gateway, min_events: usize) -> Result<Option<Saved>, LogError> {
    // A part must not overtake the one before it.
    let _one_at_a_time = gateway.saving.lock().await;
    let parts = gateway.schedule().take_unsaved(min_events);
    let limits = gateway.log.limits();
    let mut first = None;
    for call in split(&parts, limits.max_append_bytes / 2) {
        let records = split(call, limits.max_record_bytes / 2);
        let runner = &gateway.settings.load().instance;
        let records = records.into_iter();
        let records = records.map(|parts| record::progress_record(runner, parts));
        let records = records.collect();
        let offset = gateway.log.append(Topic::Progress, records, None).await?;
        first.get_or_insert(offset);
    }
    Ok(first.map(|first| Saved {
        at: clock::now(),
        first,
        jobs: parts.into_iter().map(|part| part.job).collect(),
    }))
}

/// Splits parts into consecutive chunks of at most `max_bytes`, with at least one part each.
fn split(parts: &[ProgressPart], max_bytes: usize) -> Vec<&[ProgressPart]> {
    let mut chunks = Vec::new();
    let mut begin = 0;
    let mut total_bytes = 0;
    for (index, part) in parts.iter().enumerate() {
        let events: usize = part.events.iter().map(|event| event.len() + 4).sum();
        let part_bytes = events + PART_OVERHEAD_BYTES;
        if index > begin && total_bytes + part_bytes > max_bytes {
            chunks.push(&parts[begin..index]);
            begin = index;
            total_bytes = 0;
        }
        total_bytes += part_bytes;
    }
    if begin < parts.len() {
        chunks.push(&parts[begin..]);
    }
    chunks
}

/// Trims the output before the first that a new leader may need.
async fn trim(gateway: &Gateway, appended: &mut VecDeque<Saved>) {
    let now = clock::now();
    let unneeded = {
        let schedule = gateway.schedule();
        let is_needed = |saved: &Saved| saved.is_needed(now, |job| schedule.is_open(job));
        appended
            .iter()
            .take_while(|saved| !is_needed(saved))
            .count()
    };
    let dropped = appended
        .drain(..unneeded)
        .next_back()
        .map(|saved| saved.first);
    let Some(dropped) = dropped else {
        return;
    };
    let before = appended.front().map_or(dropped, |next| next.first);
    if let Err(error) = gateway.log.trim(Topic::Progress, before).await {
        log::debug!(before = before.0, error:% = error; "failed to trim saved output");
    }
}

/// Restores the output that the previous leader saved.
pub(crate) async fn restore(gateway: &Gateway) {
    gateway.schedule().clear_restored();
    let began = clock::now();
    let read = tokio::time::timeout(RESTORE_TIMEOUT, read_all(gateway)).await;
    match read {
        Ok(Ok(restored)) => log::info!(
            parts = restored.parts, pages = restored.pages, size_bytes = restored.size_bytes,
            took_ms = clock::now().since(began).as_millis();
            "saved output of items restored"
        ),
        Ok(Err(error)) => log::warn!(error:% = error; "failed to restore saved output of items"),
        Err(_) => log::warn!("timed out restoring saved output of items"),
    }
}

/// Amount of saved output that was read.
#[derive(Default)]
struct Restored {
    parts: usize,
    pages: usize,
    size_bytes: usize,
}

async fn read_all(gateway: &Gateway) -> Result<Restored, LogError> {
    let mut next = Offset(0);
    let mut restored = Restored::default();
    loop {
        let page = match gateway
            .log
            .read(Topic::Progress, next, Duration::ZERO)
            .await
        {
            Err(LogError::Truncated { first }) if first > next => {
                next = first;
                continue;
            }
            page => page?,
        };
        let Some(last) = page.records.last().map(|record| record.offset) else {
            return Ok(restored);
        };
        restored.pages += 1;
        for record in page.records {
            let value = record.value.unwrap_or_default();
            restored.size_bytes += value.len();
            match record::decode_progress(&value) {
                Ok((runner, read)) => {
                    restored.parts += read.len();
                    let mut schedule = gateway.schedule();
                    for part in read {
                        schedule.restore(&runner, part);
                    }
                }
                Err(error) => {
                    gateway.metrics.skipped_records.add(1, &[]);
                    log::warn!(
                        topic:% = Topic::Progress, offset = record.offset.0, error:% = error;
                        "record skipped"
                    );
                }
            }
        }
        next = last.next();
    }
}
