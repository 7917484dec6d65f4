//! Origins of streams in the log, for the time after the death of all instances.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use prost::Message;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::gateway::stored_origins::StoredOrigins;
use wisteriaford_core::gateway::stream_origins::STREAM_LIFETIME;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::streams::OriginBatch;

use crate::adapter::Log;
use crate::adapter::LogError;
use crate::adapter::Topic;
use crate::clock;
use crate::state::Gateway;
use crate::state::stopped;

/// Interval of appends by the leader; at most ten of the 800 writes a second that the log allows.
const APPEND_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the leader trims what is no longer needed.
const TRIM_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before the log is read again after a failure.
const RESTORE_BACKOFF: Duration = Duration::from_millis(300);
/// Time for which records are kept.
const RETENTION: Duration = STREAM_LIFETIME.saturating_mul(2);

/// Appends the origins that instances sent to the leader, until the gateway stops.
pub(crate) async fn append(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    let mut appended: VecDeque<(Timestamp, Offset)> = VecDeque::new();
    let mut trimmed_at = clock::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(APPEND_INTERVAL) => {}
            () = stopped(&mut stop) => return,
        }
        match append_once(&gateway).await {
            Ok(Some(offset)) => appended.push_back((clock::now(), offset)),
            Ok(None) => {}
            Err(error) => {
                gateway.metrics.log_failures.add(1, &[]);
                log::debug!(error:% = error; "origins of streams not appended");
            }
        }
        if clock::now().since(trimmed_at) >= TRIM_INTERVAL {
            trimmed_at = clock::now();
            trim(&gateway, &mut appended).await;
        }
    }
}

async fn append_once(gateway: &Gateway) -> Result<Option<Offset>, LogError> {
    let limits = gateway.log.limits();
    let batches = gateway
        .origins
        .unappended()
        .take(limits.max_record_bytes / 2);
    if batches.is_empty() {
        return Ok(None);
    }
    let records = batches.iter().map(|batch| KeyedValue {
        key: CompactString::default(),
        value: Some(batch.encode_to_vec()),
    });
    let appended = gateway
        .log
        .append(Topic::StreamOrigins, records.collect(), None)
        .await;
    if appended.is_err() && gateway.leadership().leader_fence().is_some() {
        // A record that is appended twice says the same.
        gateway.origins.unappended().extend(&batches);
    }
    appended.map(Some)
}

async fn trim(gateway: &Gateway, appended: &mut VecDeque<(Timestamp, Offset)>) {
    let now = clock::now();
    let is_old = |(at, _): &&(Timestamp, Offset)| now.since(*at) > RETENTION;
    let old = appended.iter().take_while(is_old).count();
    let Some((_, last)) = appended.drain(..old).next_back() else {
        return;
    };
    if let Err(error) = gateway.log.trim(Topic::StreamOrigins, last.next()).await {
        log::debug!(before = last.0, error:% = error; "failed to trim origins of streams");
    }
}

/// Reads the origins that the log keeps, once after the start, and forgets them after their retention.
pub(crate) async fn restore(gateway: Arc<Gateway>) {
    let began_at = clock::now();
    let mut stop = gateway.stop.clone();
    while let Err(error) = restore_once(&gateway).await {
        log::debug!(error:% = error; "origins of streams not read, retrying");
        tokio::select! {
            () = tokio::time::sleep(RESTORE_BACKOFF) => {}
            () = stopped(&mut stop) => return,
        }
    }
    log::info!(
        streams = gateway.origins.stored().len(),
        took_ms = clock::now().since(began_at).as_millis();
        "origins of streams restored"
    );
    tokio::select! {
        () = tokio::time::sleep(RETENTION) => {}
        () = stopped(&mut stop) => return,
    }
    *gateway.origins.stored() = StoredOrigins::default();
}

async fn restore_once(gateway: &Gateway) -> Result<(), LogError> {
    let mut next = Offset(0);
    loop {
        let read = gateway.log.read(Topic::StreamOrigins, next, Duration::ZERO);
        let page = match read.await {
            Err(LogError::Truncated { first }) if first > next => {
                next = first;
                continue;
            }
            page => page?,
        };
        let Some(last) = page.records.last().map(|record| record.offset) else {
            return Ok(());
        };
        for record in page.records {
            match OriginBatch::decode(record.value.unwrap_or_default()) {
                Ok(batch) => restore_batch(gateway, &batch),
                Err(error) => {
                    gateway.metrics.skipped_records.add(1, &[]);
                    log::warn!(
                        topic:% = Topic::StreamOrigins, offset = record.offset.0, error:% = error;
                        "record skipped"
                    );
                }
            }
        }
        next = last.next();
    }
}

fn restore_batch(gateway: &Gateway, batch: &OriginBatch) {
    gateway.origins.stored().restore(batch);
    // The version may have come and gone since the leader last listed the versions.
    let pool = batch.pool.as_str().into();
    let software = batch.software.as_str().into();
    gateway
        .origins
        .history()
        .record(clock::now(), &pool, &software);
}
