//! Exchange of crash reports with the other instances: through the log, and directly while the log
//! doesn't answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::gateway::suspects;
use wisteriaford_core::gateway::suspects::QuarantineRecord;
use wisteriaford_core::id::Fingerprint;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::fleet::Suspect;

use crate::adapter::EndpointRequest;
use crate::adapter::Log;
use crate::adapter::LogError;
use crate::adapter::LogRecord;
use crate::adapter::Topic;
use crate::clock;
use crate::follow::Follower;
use crate::reach;
use crate::state::Gateway;
use crate::state::stopped;

/// Path of crash reports that another instance sends directly.
pub(crate) const REPORTS_PATH: &str = "/crash-reports";
/// Maximum wait of a read for records, which are rare.
const QUARANTINE_WAIT: Duration = Duration::from_secs(10);
/// Delay after a read that returned records, so that the reports of one crash are read together.
const QUARANTINE_PAUSE: Duration = Duration::from_millis(20);
/// Time without an answer of the log after which reports are also sent to the other instances.
const DIRECT_AFTER: Duration = Duration::from_millis(300);
/// Time limit for sending reports to one instance.
const DIRECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of instances that reports are sent to at the same time.
const DIRECT_CONCURRENCY: usize = 16;
/// Delay before reports that the log didn't take are appended again.
const APPEND_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of reports that wait for the log; the oldest are dropped.
const MAX_PENDING: usize = 1_024;
/// Maximum number of records in one append.
const MAX_APPENDED: usize = 128;
/// Time limit for acquiring a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of appends with which a trial is acquired, if other records keep coming in between.
const TRIAL_ATTEMPTS: u32 = 3;
/// Delay before the next attempt, in which the records in between are read.
const TRIAL_BACKOFF: Duration = Duration::from_millis(30);
/// Interval of deleting records that are no longer needed.
const DELETE_INTERVAL: Duration = Duration::from_secs(20);

/// Follower of the quarantine topic.
pub(crate) struct QuarantineFollower {
    pub(crate) gateway: Arc<Gateway>,
}

impl Follower for QuarantineFollower {
    fn topic(&self) -> Topic {
        Topic::Quarantine
    }

    fn wait(&self) -> Duration {
        QUARANTINE_WAIT
    }

    fn pause(&self) -> Duration {
        QUARANTINE_PAUSE
    }

    fn apply_snapshot(&mut self, records: Vec<LogRecord>, _end: Offset) {
        self.gateway.stored_reports().clear();
        self.apply_records(records);
    }

    fn apply_records(&mut self, records: Vec<LogRecord>) {
        for record in records {
            self.apply(record);
        }
        // The merge may have cleared reports of requests that completed here.
        self.gateway.reports_wake.notify_one();
    }

    fn on_caught_up(&mut self, end: Offset, as_of: Timestamp) {
        let read_to = &self.gateway.quarantine_read_to;
        read_to.store(end.0, Ordering::Release);
        self.gateway.freshness(Topic::Quarantine).advance(as_of);
    }
}

impl QuarantineFollower {
    fn apply(&self, record: LogRecord) {
        let unix_ms = clock::unix_ms();
        let Some(value) = record.value else {
            self.gateway.stored_reports().remove(&record.key);
            return;
        };
        let decoded = match suspects::decode_record(&value, unix_ms) {
            Ok(decoded) => Some(decoded),
            Err(error) => {
                self.gateway.metrics.skipped_records.add(1, &[]);
                log::warn!(
                    topic:% = Topic::Quarantine, key:% = record.key, offset = record.offset.0,
                    error:% = error;
                    "record skipped"
                );
                None
            }
        };
        let mut stored = self.gateway.stored_reports();
        stored.insert(record.key, decoded.as_ref(), unix_ms);
        drop(stored);
        match decoded {
            Some(QuarantineRecord::Report(suspect)) => merge(&self.gateway, &suspect),
            Some(QuarantineRecord::Trial {
                fingerprint,
                instance,
                time_left,
            }) if instance != self.gateway.settings.load().instance => {
                let mut suspects = self.gateway.suspects();
                suspects.record_trial(clock::now(), fingerprint, time_left);
            }
            Some(QuarantineRecord::Trial { .. }) | None => {}
        }
    }
}

fn merge(gateway: &Gateway, suspect: &Suspect) {
    let is_refused = gateway.suspects().merge(clock::now(), suspect);
    log::debug!(
        fingerprint = suspect.fingerprint, crash = suspect.crash, age_ms = suspect.age_ms,
        cleared = suspect.cleared, progressed = suspect.progressed,
        unconfirmed = suspect.unconfirmed;
        "crash report of an instance merged"
    );
    if is_refused {
        log::warn!(
            fingerprint = suspect.fingerprint, crash = suspect.crash, age_ms = suspect.age_ms;
            "request quarantined by reports of other instances, it crashes endpoints"
        );
    }
}

/// Merges crash reports that another instance sent directly.
pub(crate) fn receive(gateway: &Gateway, body: &[u8]) -> StatusCode {
    match suspects::decode_reports(body) {
        Ok(reports) => {
            for suspect in &reports {
                merge(gateway, suspect);
            }
            gateway.reports_wake.notify_one();
            StatusCode::OK
        }
        Err(error) => {
            log::warn!(error:% = error; "crash reports refused");
            StatusCode::BAD_REQUEST
        }
    }
}

/// Sends the crash reports of this instance to the others until the gateway stops.
pub(crate) async fn publish(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    let mut pending: Vec<KeyedValue> = Vec::new();
    loop {
        tokio::select! {
            () = gateway.reports_wake.notified() => {}
            () = tokio::time::sleep(APPEND_BACKOFF), if !pending.is_empty() => {}
            () = stopped(&mut stop) => return,
        }
        verify_losses(&gateway).await;
        let reports = take_reports(&gateway);
        let unix_ms = clock::unix_ms();
        let records = reports.iter().cloned();
        pending.extend(records.map(|report| suspects::report_record(report, unix_ms)));
        pending.drain(..pending.len().saturating_sub(MAX_PENDING));
        if pending.is_empty() {
            continue;
        }
        let batch = pending[..pending.len().min(MAX_APPENDED)].to_vec();
        let appended = batch.len();
        let append = gateway.log.append(Topic::Quarantine, batch, None);
        tokio::pin!(append);
        let in_time = tokio::time::timeout(DIRECT_AFTER, append.as_mut()).await;
        let result = match in_time {
            Ok(Ok(offset)) => Ok(offset),
            Ok(Err(error)) => {
                send_to_peers(&gateway, &reports).await;
                Err(error)
            }
            Err(_) => {
                let (result, ()) = tokio::join!(append, send_to_peers(&gateway, &reports));
                result
            }
        };
        match result {
            Ok(_) => {
                gateway.metrics.crash_reports.add(appended as u64, &[]);
                pending.drain(..appended);
            }
            Err(error) => log::info!(
                error:% = error, reports = pending.len();
                "crash reports not appended, retrying"
            ),
        }
    }
}

/// Discards the runs that were lost with the links of this instance: nothing is reported of them.
async fn verify_losses(gateway: &Arc<Gateway>) {
    let lost_at_us = gateway.unverified_loss_at_us.swap(0, Ordering::AcqRel);
    let lost_at = Timestamp(lost_at_us);
    if lost_at == Timestamp(0) || gateway.links().is_answered_since(lost_at) {
        return;
    }
    if reach::check(gateway, lost_at).await {
        return;
    }
    let cut_known_at = gateway.links().cut_known_at();
    let began_before = cut_known_at.unwrap_or_else(clock::now);
    gateway.suspects().discard_lost(began_before);
    log::info!(
        lost_ms = clock::now().since(lost_at).as_millis(), cut = cut_known_at.is_some();
        "lost runs not reported, the links of this instance don't work"
    );
}

fn take_reports(gateway: &Gateway) -> Vec<Suspect> {
    let mut suspects = gateway.suspects();
    let mut reports = Vec::new();
    loop {
        let more = suspects.take_reports(clock::now());
        if more.is_empty() || reports.len() >= MAX_PENDING {
            return reports;
        }
        reports.extend(more);
    }
}

/// Sends crash reports to all other instances, without repeating them if one can't be reached.
async fn send_to_peers(gateway: &Gateway, reports: &[Suspect]) {
    if reports.is_empty() {
        return;
    }
    let body = Bytes::from(suspects::encode_reports(reports));
    let peers = gateway.log.peers();
    let sends: Vec<_> = peers
        .iter()
        .map(|(name, address)| send_to_peer(gateway, name, *address, body.clone()))
        .collect();
    let sent = futures_util::stream::iter(sends).buffer_unordered(DIRECT_CONCURRENCY);
    let reached = sent.filter(|is_reached| std::future::ready(*is_reached));
    let reached = reached.count().await;
    log::info!(
        reports = reports.len(), instances = peers.len(), reached = reached;
        "crash reports sent to the other instances, the log doesn't answer"
    );
}

async fn send_to_peer(gateway: &Gateway, name: &str, address: SocketAddr, body: Bytes) -> bool {
    let request = EndpointRequest {
        method: Method::POST,
        path: REPORTS_PATH.into(),
        headers: HeaderMap::new(),
        body,
    };
    let call = gateway.client.call(name, address, request, DIRECT_TIMEOUT);
    call.await
        .is_ok_and(|answer| answer.status == StatusCode::OK)
}

/// Reason why a trial was not acquired.
#[derive(Debug, derive_more::Display, derive_more::From)]
enum TrialError {
    /// Another instance runs the request.
    #[display("another instance runs the request")]
    Taken,
    /// The log didn't take the record.
    #[display("{_0}")]
    Log(LogError),
}

/// Acquires the right to run a request that no other instance may run at the same time; returns
/// whether it was acquired.
///
/// The record is appended on the condition that no record came since the last one read here, so that
/// only one instance succeeds, with all reports known.
pub(crate) async fn acquire_trial(gateway: &Gateway, fingerprint: Fingerprint) -> bool {
    let append = append_trial(gateway, fingerprint);
    match tokio::time::timeout(TRIAL_TIMEOUT, append).await {
        Ok(Ok(offset)) => {
            log::info!(
                fingerprint:% = fingerprint, offset = offset.0;
                "request that crashed endpoints runs on trial"
            );
            true
        }
        Ok(Err(error)) => {
            log::info!(fingerprint:% = fingerprint, error:% = error; "trial not acquired");
            false
        }
        Err(_) => {
            log::info!(
                fingerprint:% = fingerprint, timeout_ms = TRIAL_TIMEOUT.as_millis();
                "trial not acquired in time"
            );
            false
        }
    }
}

async fn append_trial(gateway: &Gateway, fingerprint: Fingerprint) -> Result<Offset, TrialError> {
    let instance = gateway.settings.load().instance.clone();
    let mut attempt = 1;
    loop {
        let end = Offset(gateway.quarantine_read_to.load(Ordering::Acquire));
        let is_tried = {
            let mut suspects = gateway.suspects();
            suspects.is_tried_elsewhere(clock::now(), fingerprint)
        };
        if is_tried {
            return Err(TrialError::Taken);
        }
        let record = suspects::trial_record(fingerprint, &instance, clock::unix_ms());
        let log = &gateway.log;
        match log.append(Topic::Quarantine, vec![record], Some(end)).await {
            Err(LogError::Conflict { .. }) if attempt < TRIAL_ATTEMPTS => {
                attempt += 1;
                tokio::time::sleep(TRIAL_BACKOFF).await;
            }
            result => return Ok(result?),
        }
    }
}

/// Deletes records that are no longer needed, while this instance is the leader.
pub(crate) async fn delete_expired(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(DELETE_INTERVAL).await;
        if gateway.leadership().leader_fence().is_none() {
            continue;
        }
        let records = gateway.stored_reports().deletions(clock::unix_ms());
        if records.is_empty() {
            continue;
        }
        let count = records.len();
        match gateway.log.append(Topic::Quarantine, records, None).await {
            Ok(_) => log::info!(records = count; "expired crash reports deleted"),
            Err(error) => log::warn!(error:% = error; "failed to delete expired crash reports"),
        }
    }
}
