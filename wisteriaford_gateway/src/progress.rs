//! Output of running items, saved so that another instance can go on with them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::gateway::record;
use wisteriaford_core::gateway::schedule::ProgressPart;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;

use crate::border::Log;
use crate::border::LogError;
use crate::border::Topic;
use crate::clock;
use crate::state::Gateway;
use crate::state::stopped;

/// Time between two saves; a death costs this much of each item's output.
const SAVE_INTERVAL: Duration = Duration::from_millis(600);
/// Events from which an item's output is saved; less is generated again in half a second.
const MIN_EVENTS: usize = 15;
/// Age at which saved output is of no use: the longest items run for 7 s.
const MAX_AGE: Duration = Duration::from_secs(10);
/// Time between two trims of old output.
const TRIM_INTERVAL: Duration = Duration::from_secs(4);
/// Longest time to read what was saved; items start anew rather than wait longer.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that the names of a part take beside its events.
const PART_OVERHEAD_BYTES: usize = 120;

/// Saves output until the gateway stops, while this instance has the duty.
pub(crate) async fn save(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    let mut appended: VecDeque<(Timestamp, Offset)> = VecDeque::new();
    let mut trimmed = clock::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(SAVE_INTERVAL) => {}
            () = stopped(&mut stop) => return,
        }
        if gateway.duty().held().is_none() {
            appended.clear();
            continue;
        }
        match save_once(&gateway).await {
            Ok(Some(offset)) => appended.push_back((clock::now(), offset)),
            Ok(None) => {}
            Err(error) => {
                gateway.metrics.log_failures.add(1, &[]);
                log::debug!(error:% = error; "output of items not saved");
                gateway.schedule().forget_saved();
            }
        }
        if clock::now().since(trimmed) >= TRIM_INTERVAL {
            trimmed = clock::now();
            trim(&gateway, &mut appended).await;
        }
    }
}

/// Appends what is new; returns the offset of the first record.
async fn save_once(gateway: &Gateway) -> Result<Option<Offset>, LogError> {
    let parts = gateway.schedule().unsaved(MIN_EVENTS);
    let bounds = gateway.log.bounds();
    let mut first = None;
    for call in divide(&parts, bounds.max_append_bytes / 2) {
        let records = divide(call, bounds.max_record_bytes / 2);
        let runner = &gateway.settings.load().instance;
        let records = records.into_iter();
        let records = records.map(|parts| record::progress_record(runner, parts));
        let records = records.collect();
        let offset = gateway.log.append(Topic::Progress, records, None).await?;
        first.get_or_insert(offset);
    }
    Ok(first)
}

/// Divides parts into runs of at most so many bytes, at least one part each.
fn divide(parts: &[ProgressPart], max_bytes: usize) -> Vec<&[ProgressPart]> {
    let mut divided = Vec::new();
    let mut begin = 0;
    let mut total_bytes = 0;
    for (index, part) in parts.iter().enumerate() {
        let events: usize = part.events.iter().map(|event| event.len() + 4).sum();
        let part_bytes = events + PART_OVERHEAD_BYTES;
        if index > begin && total_bytes + part_bytes > max_bytes {
            divided.push(&parts[begin..index]);
            begin = index;
            total_bytes = 0;
        }
        total_bytes += part_bytes;
    }
    if begin < parts.len() {
        divided.push(&parts[begin..]);
    }
    divided
}

async fn trim(gateway: &Gateway, appended: &mut VecDeque<(Timestamp, Offset)>) {
    let now = clock::now();
    let mut before = None;
    while let Some((at, offset)) = appended.front().copied()
        && now.since(at) > MAX_AGE
    {
        before = Some(offset);
        appended.pop_front();
    }
    if let Some(before) = before
        && let Err(error) = gateway.log.trim(Topic::Progress, before).await
    {
        log::debug!(before = before.0, error:% = error; "saved output not trimmed");
    }
}

/// Reads what the holder before saved.
pub(crate) async fn restore(gateway: &Gateway) {
    gateway.schedule().forget_restored();
    let read = tokio::time::timeout(RESTORE_TIMEOUT, read_all(gateway)).await;
    match read {
        Ok(Ok(parts)) => log::info!(parts = parts; "saved output of items read"),
        Ok(Err(error)) => log::warn!(error:% = error; "saved output of items not read"),
        Err(_) => log::warn!("saved output of items not read in time"),
    }
}

async fn read_all(gateway: &Gateway) -> Result<usize, LogError> {
    let mut next = Offset(0);
    let mut parts = 0;
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
            return Ok(parts);
        };
        for record in page.records {
            let value = record.value.unwrap_or_default();
            match record::decode_progress(&value) {
                Ok((runner, read)) => {
                    parts += read.len();
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
