//! Following a topic of the log: its newest records first, then every record as it comes.

use std::future::Future;
use std::time::Duration;

use compact_str::CompactString;
use rand::RngExt;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;

use crate::border::Log;
use crate::border::LogError;
use crate::border::LogRecord;
use crate::border::Topic;
use crate::clock;
use crate::state::Gateway;
use crate::state::stopped;

/// First wait after a read that failed.
const FIRST_BACKOFF: Duration = Duration::from_millis(60);
/// Longest wait after a read that failed.
const MAX_BACKOFF: Duration = Duration::from_millis(600);
/// Time within which a read is answered after its wait; part of it is the way there and back.
const ANSWER_SLACK: Duration = Duration::from_millis(30);

/// What becomes of a topic's records.
pub(crate) trait Follower: Send {
    /// Topic that is followed.
    fn topic(&self) -> Topic;

    /// Longest wait of a read.
    fn wait(&self) -> Duration;

    /// Shortest time between two reads that returned records.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }

    /// Takes the newest record of every key; what isn't among them is gone.
    fn snapshot(&mut self, records: Vec<LogRecord>, end: Offset);

    /// Takes the records of one read, at least one.
    fn records(&mut self, records: Vec<LogRecord>);

    /// Takes that everything before `end` was read, as of `as_of`.
    fn caught_up(&mut self, end: Offset, as_of: Timestamp);

    /// Takes whether the log answers.
    fn reachable(&mut self, _reachable: bool) {}
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
        let next = take_snapshot(gateway, follower).await;
        let truncated = read_on(gateway, follower, next).await;
        log::info!(
            topic:% = follower.topic(), error:% = truncated;
            "records were dropped before they were read, reading the newest of each key"
        );
    }
}

async fn take_snapshot(gateway: &Gateway, follower: &mut impl Follower) -> Offset {
    let topic = follower.topic();
    let (records, end, as_of) =
        with_retries(gateway, follower, || read_snapshot(gateway, topic)).await;
    follower.snapshot(records, end);
    follower.caught_up(end, as_of);
    end
}

async fn read_snapshot(
    gateway: &Gateway,
    topic: Topic,
) -> Result<(Vec<LogRecord>, Offset, Timestamp), LogError> {
    let as_of = clock::now();
    let mut records = Vec::new();
    let mut end = None;
    let mut after: Option<CompactString> = None;
    loop {
        let page = gateway.log.newest(topic, after).await?;
        // Pages are read one after the other: what is newer than the first is read again.
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

/// Reads on until records were dropped before they were read.
async fn read_on(gateway: &Gateway, follower: &mut impl Follower, mut next: Offset) -> LogError {
    loop {
        let sent = clock::now();
        let wait = follower.wait();
        let topic = follower.topic();
        let page = match gateway.log.read(topic, next, wait).await {
            Ok(page) => page,
            Err(error @ LogError::Truncated { .. }) => return error,
            Err(error) => {
                gateway.note_log_failure(topic, &error);
                follower.reachable(false);
                back_off(FIRST_BACKOFF).await;
                let log = || gateway.log.read(topic, next, Duration::ZERO);
                match with_truncation(gateway, follower, log).await {
                    Ok(page) => page,
                    Err(error) => return error,
                }
            }
        };
        gateway.note_log_answer(topic);
        follower.reachable(true);
        let received = clock::now();
        let is_empty = page.records.is_empty();
        if let Some(last) = page.records.last() {
            next = last.offset.next();
            follower.records(page.records);
        }
        if next >= page.end {
            // An empty page says that nothing came until the wait was over.
            let as_of = if is_empty { sent + wait } else { sent };
            let as_of = as_of.min(received - ANSWER_SLACK.min(received.since(sent)));
            follower.caught_up(page.end, as_of.max(sent));
        }
        if !is_empty {
            tokio::time::sleep(follower.pause()).await;
        }
    }
}

/// Repeats a call until it succeeds.
async fn with_retries<T, F>(
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
                gateway.note_log_answer(topic);
                follower.reachable(true);
                return value;
            }
            Err(error) => {
                gateway.note_log_failure(topic, &error);
                follower.reachable(false);
            }
        }
        back_off(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Repeats a call until it succeeds or finds that records were dropped.
async fn with_truncation<T, F>(
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
    with_retries(gateway, follower, &mut attempt).await
}

async fn back_off(longest: Duration) {
    let share = rand::rng().random_range(50..=100);
    tokio::time::sleep(longest * share / 100).await;
}
