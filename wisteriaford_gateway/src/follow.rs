//! Following of a log topic: a snapshot of the newest records, then every new record.

use std::future::Future;
use std::time::Duration;

use compact_str::CompactString;
use rand::RngExt;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;

use crate::adapter::Log;
use crate::adapter::LogError;
use crate::adapter::LogRecord;
use crate::adapter::Topic;
use crate::clock;
use crate::state::Gateway;
use crate::state::stopped;

/// Initial backoff after a failed read.
const FIRST_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum backoff after failed reads.
const MAX_BACKOFF: Duration = Duration::from_millis(600);
/// Time within which a read is answered after its wait has elapsed, network round trip included.
const ANSWER_ALLOWANCE: Duration = Duration::from_millis(30);

/// Consumer of the records of a topic.
pub(crate) trait Follower: Send {
    /// Topic that is followed.
    fn topic(&self) -> Topic;

    /// Maximum wait of a read.
    fn wait(&self) -> Duration;

    /// Delay after a read that returned records.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }

    /// Applies the newest record of every key; keys that are absent no longer exist.
    fn apply_snapshot(&mut self, records: Vec<LogRecord>, end: Offset);

    /// Applies the records of one read, at least one.
    fn apply_records(&mut self, records: Vec<LogRecord>);

    /// Called when all records before `end` have been applied, as of time `as_of`.
    fn on_caught_up(&mut self, end: Offset, as_of: Timestamp);

    /// Called when unread records have been truncated, before a new snapshot is read.
    fn on_truncated(&mut self) {}

    /// Called after each read with whether the log answered.
    fn on_reachability(&mut self, _reachable: bool) {}
}

/// Follows a topic until the gateway stops.
pub(crate) async fn follow(gateway: &Gateway, mut follower: impl Follower) {
    let mut stop = gateway.stop.clone();
    tokio::select! {
        () = follow_forever(gateway, &mut follower) => {}
        () = stopped(&mut stop) => {}
    }
}

async fn follow_forever(gateway: &Gateway, follower: &mut impl Follower) {
    loop {
        let next = load_snapshot(gateway, follower).await;
        let truncated = read_updates(gateway, follower, next).await;
        log::info!(
            topic:% = follower.topic(), error:% = truncated;
            "unread records were truncated, loading a new snapshot"
        );
        follower.on_truncated();
    }
}

async fn load_snapshot(gateway: &Gateway, follower: &mut impl Follower) -> Offset {
    let topic = follower.topic();
    let (records, end, as_of) = retry(gateway, follower, || read_snapshot(gateway, topic)).await;
    follower.apply_snapshot(records, end);
    follower.on_caught_up(end, as_of);
    end
}

/// Reads the newest record of every key, in the order of their offsets.
pub(crate) async fn read_snapshot(
    gateway: &Gateway,
    topic: Topic,
) -> Result<(Vec<LogRecord>, Offset, Timestamp), LogError> {
    let as_of = clock::now();
    let mut records = Vec::new();
    let mut end = None;
    let mut after: Option<CompactString> = None;
    loop {
        let page = gateway.log.newest(topic, after).await?;
        // Pages are read one after the other. Records newer than the first page are left to the
        // reads that follow.
        let first_end = *end.get_or_insert(page.end);
        let current = page.records.into_iter().filter(|r| r.offset < first_end);
        records.extend(current);
        after = page.more_after;
        if after.is_none() {
            records.sort_by_key(|record| record.offset);
            return Ok((records, first_end, as_of));
        }
    }
}

/// Reads new records until unread ones have been truncated, and returns that error.
async fn read_updates(
    gateway: &Gateway,
    follower: &mut impl Follower,
    mut next: Offset,
) -> LogError {
    loop {
        let sent = clock::now();
        let topic = follower.topic();
        let wait = if gateway.needs_confirmation(topic) {
            Duration::ZERO
        } else {
            follower.wait()
        };
        let read = tokio::select! {
            read = gateway.log.read(topic, next, wait) => read,
            // The answer may have been sent before the pause.
            () = gateway.resumed.notified() => continue,
        };
        let page = match read {
            Ok(page) => page,
            Err(error @ LogError::Truncated { .. }) => return error,
            Err(error) => {
                gateway.record_log_failure(topic, &error);
                follower.on_reachability(false);
                back_off(FIRST_BACKOFF).await;
                let read = || gateway.log.read(topic, next, Duration::ZERO);
                match retry_unless_truncated(gateway, follower, read).await {
                    Ok(page) => page,
                    Err(error) => return error,
                }
            }
        };
        gateway.record_log_answer(topic);
        follower.on_reachability(true);
        let received = clock::now();
        let is_empty = page.records.is_empty();
        if let Some(last) = page.records.last() {
            next = last.offset.next();
            follower.apply_records(page.records);
        }
        if next >= page.end {
            // An empty page means that no record was appended during the wait.
            let as_of = if is_empty { sent + wait } else { sent };
            let as_of = as_of.min(received - ANSWER_ALLOWANCE.min(received.since(sent)));
            follower.on_caught_up(page.end, as_of.max(sent));
        }
        if !is_empty && !gateway.needs_confirmation(topic) {
            tokio::time::sleep(follower.pause()).await;
        }
    }
}

/// Retries a call with backoff until it succeeds.
async fn retry<T, F>(
    gateway: &Gateway,
    follower: &mut impl Follower,
    mut call: impl FnMut() -> F,
) -> T
where
    F: Future<Output = Result<T, LogError>>,
{
    let topic = follower.topic();
    let mut backoff = FIRST_BACKOFF;
    loop {
        match call().await {
            Ok(value) => {
                gateway.record_log_answer(topic);
                follower.on_reachability(true);
                return value;
            }
            Err(error) => {
                gateway.record_log_failure(topic, &error);
                follower.on_reachability(false);
            }
        }
        back_off(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Retries a call with backoff until it succeeds or reports truncated records.
async fn retry_unless_truncated<T, F>(
    gateway: &Gateway,
    follower: &mut impl Follower,
    mut call: impl FnMut() -> F,
) -> Result<T, LogError>
where
    F: Future<Output = Result<T, LogError>>,
{
    let mut attempt = || {
        let call = call();
        async move {
            match call.await {
                Err(error @ LogError::Truncated { .. }) => Ok(Err(error)),
                result => result.map(Ok),
            }
        }
    };
    retry(gateway, follower, &mut attempt).await
}

async fn back_off(max_backoff: Duration) {
    let percent = rand::rng().random_range(50..=100);
    tokio::time::sleep(max_backoff * percent / 100).await;
}
