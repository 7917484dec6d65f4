//! Counting of the organisations' requests, and the reports that the leader makes of them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::Ordering;
use std::time::Duration;

use wisteriaford_core::gateway::duties::DutyDispatcher;
use wisteriaford_core::gateway::duties::DutyKind;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::gateway::route::Answers;
use wisteriaford_core::gateway::usage::counter::CountsOutcome;
use wisteriaford_core::gateway::usage::counter::UsageCounter;
use wisteriaford_core::gateway::usage::ledger::Deletions;
use wisteriaford_core::gateway::usage::ledger::ReportsAppend;
use wisteriaford_core::gateway::usage::ledger::UsageLedger;
use wisteriaford_core::gateway::usage::window::TrueClock;
use wisteriaford_core::gateway::usage::window::WindowLength;
use wisteriaford_core::gateway::usage::work_time::WorkTimes;
use wisteriaford_core::id::Fence;
use wisteriaford_core::id::Offset;
use wisteriaford_core::id::OrganisationId;
use wisteriaford_core::id::WindowNumber;
use wisteriaford_core::time::Timestamp;

use crate::adapter::DutyPort;
use crate::adapter::Log;
use crate::adapter::LogError;
use crate::adapter::LogRecord;
use crate::adapter::Topic;
use crate::clock;
use crate::follow;
use crate::forward::Answered;
use crate::forward::Attempt;
use crate::forward::Call;
use crate::settings::DutySettings;
use crate::settings::GatewaySettings;
use crate::state::Gateway;
use crate::state::lock;
use crate::state::stopped;

/// Interval of the check for counts to append.
const COUNTS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the leader reads the counts: ten reads a second in all.
const LEDGER_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a successful read after which instances get time again to append their counts. Single
/// failures don't count, so that a log that often fails holds up no report for good.
const MAX_READ_GAP: Duration = Duration::from_millis(1_500);
/// Time limit of the last append of a process that stops.
const LAST_APPEND_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of deleting what is no longer needed.
const DELETION_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of records that one append deletes.
const MAX_DELETIONS: usize = 400;

/// State of counting and reporting.
pub(crate) struct UsageState {
    settings: Option<DutySettings>,
    port: Option<Arc<dyn DutyPort>>,
    started_unix_ms: u64,
    clock: Mutex<TrueClock>,
    work_times: Mutex<WorkTimes>,
    counter: Mutex<UsageCounter>,
    /// Counts and reports, while this instance is the leader.
    ledger: Mutex<Option<UsageLedger>>,
    dispatcher: Mutex<DutyDispatcher>,
}

impl UsageState {
    pub(crate) fn new(settings: &GatewaySettings, port: Option<Arc<dyn DutyPort>>) -> Self {
        let duties = settings.duties.clone();
        let is_reported = |duties: &DutySettings| duties.kinds.contains(&DutyKind::Usage);
        let rate = duties.as_ref().map(|duties| duties.max_rate);
        let mut clock = TrueClock::default();
        clock.observe(clock::now(), clock::unix_ms());
        Self {
            settings: duties.filter(is_reported),
            port,
            started_unix_ms: clock::unix_ms(),
            clock: Mutex::new(clock),
            work_times: Mutex::default(),
            counter: Mutex::new(UsageCounter::new(settings.instance.clone())),
            ledger: Mutex::default(),
            dispatcher: Mutex::new(DutyDispatcher::new(rate.unwrap_or_default())),
        }
    }

    /// Returns whether the deployment asks for usage reports.
    pub(crate) fn is_enabled(&self) -> bool {
        self.settings.is_some() && self.port.is_some()
    }

    pub(crate) fn port(&self) -> Option<&Arc<dyn DutyPort>> {
        self.port.as_ref()
    }

    /// Returns the ledger; it is locked before the dispatcher.
    pub(crate) fn ledger(&self) -> MutexGuard<'_, Option<UsageLedger>> {
        lock(&self.ledger)
    }

    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, DutyDispatcher> {
        lock(&self.dispatcher)
    }

    fn length(&self) -> WindowLength {
        let settings = self.settings.as_ref();
        WindowLength::new(settings.map_or(Duration::ZERO, |settings| settings.report_window))
    }

    fn unix_ms(&self, at: Timestamp) -> u64 {
        lock(&self.clock).unix_ms(at).unwrap_or_default()
    }
}

/// Counts a call whose attempt showed that an endpoint ran it. Streams count with their first event.
fn count_attempt(gateway: &Gateway, call: &Call<'_>, sent: Timestamp, attempt: &Attempt) {
    if !gateway.usage.is_enabled() {
        return;
    }
    let begun = match attempt {
        Attempt::Answered(Answered::Complete(..)) => {
            let mut work_times = lock(&gateway.usage.work_times);
            work_times.record(&call.route.id, sent, clock::now())
        }
        // An endpoint that broke the connection after the call was sent has probably begun it. If the
        // call can run elsewhere, its answer tells.
        Attempt::Lost(_) if !call.route.is_idempotent() && !call.route.prompt_affinity => sent,
        Attempt::Answered(Answered::Stream(_))
        | Attempt::Lost(_)
        | Attempt::NotRun(_)
        | Attempt::Unreachable(_) => return,
    };
    if !call.is_counted.swap(true, Ordering::AcqRel) {
        count(gateway, call.organisation.as_ref(), begun);
    }
}

/// Attempt whose outcome is awaited. If it is dropped before, as its caller left, it counts if it was
/// probably running.
pub(crate) struct AwaitedAttempt<'a> {
    gateway: &'a Gateway,
    call: &'a Call<'a>,
    sent: Timestamp,
    is_ended: bool,
}

impl<'a> AwaitedAttempt<'a> {
    pub(crate) fn new(gateway: &'a Gateway, call: &'a Call<'a>, sent: Timestamp) -> Self {
        Self {
            gateway,
            call,
            sent,
            is_ended: false,
        }
    }

    /// Counts the attempt by its outcome.
    pub(crate) fn end(mut self, outcome: &Attempt) {
        self.is_ended = true;
        count_attempt(self.gateway, self.call, self.sent, outcome);
    }
}

impl Drop for AwaitedAttempt<'_> {
    fn drop(&mut self) {
        let call = self.call;
        let is_sent = call.sent.load(Ordering::Acquire);
        if self.is_ended || !is_sent || !self.gateway.usage.is_enabled() {
            return;
        }
        // Streams count with their first event.
        if call.route.answers != Answers::Whole || call.route.prompt_affinity {
            return;
        }
        let work_times = lock(&self.gateway.usage.work_times);
        let begun = work_times.abandoned(&call.route.id, self.sent, clock::now());
        drop(work_times);
        if let Some(begun) = begun
            && !call.is_counted.swap(true, Ordering::AcqRel)
        {
            count(self.gateway, call.organisation.as_ref(), begun);
        }
    }
}

/// Counts a request that an endpoint began to run at a time.
pub(crate) fn count(gateway: &Gateway, organisation: Option<&OrganisationId>, begun: Timestamp) {
    let (true, Some(organisation)) = (gateway.usage.is_enabled(), organisation) else {
        return;
    };
    let window = gateway
        .usage
        .length()
        .window_at(gateway.usage.unix_ms(begun));
    lock(&gateway.usage.counter).record(window, organisation);
    gateway.metrics.usage_requests.add(1, &[]);
}

/// Appends the counts of this instance, until the process ends: requests end after the gateway stopped.
pub(crate) async fn append_counts(gateway: Arc<Gateway>) {
    let mut lost_windows = 0;
    loop {
        tokio::time::sleep(COUNTS_INTERVAL).await;
        let step = lock(&gateway.usage.clock).observe(clock::now(), clock::unix_ms());
        if let Some(difference_ms) = step {
            log::warn!(difference_ms = difference_ms; "time of day was set, windows keep the earlier one");
        }
        append_due(&gateway).await;
        let lost = lock(&gateway.usage.counter).lost_windows();
        if lost > lost_windows {
            log::error!(windows = lost - lost_windows; "counts of organisations dropped, the log is down");
            lost_windows = lost;
        }
    }
}

/// Appends what was counted since the last append, before the process ends.
pub(crate) async fn append_last_counts(gateway: &Gateway) {
    if gateway.usage.is_enabled() {
        // An append in progress, and the one after it.
        let appended = async {
            for _ in 0..4 {
                append_due(gateway).await;
                tokio::time::sleep(COUNTS_INTERVAL).await;
            }
        };
        drop(tokio::time::timeout(LAST_APPEND_TIMEOUT, appended).await);
    }
}

async fn append_due(gateway: &Gateway) {
    let instances = gateway.log.peers().len() + 1;
    let now = clock::now();
    let unix_ms = gateway.usage.unix_ms(now);
    let due = lock(&gateway.usage.counter).due_append(now, unix_ms, instances);
    let Some(records) = due else {
        return;
    };
    let appended = gateway.log.append(Topic::UsageCounts, records, None).await;
    let outcome = match appended {
        Ok(_) => CountsOutcome::Appended,
        Err(error) => {
            gateway.metrics.log_failures.add(1, &[]);
            log::warn!(error:% = error; "counts of organisations not appended, retrying");
            if error.may_have_effect() {
                CountsOutcome::Unknown
            } else {
                CountsOutcome::Refused
            }
        }
    };
    lock(&gateway.usage.counter).on_append_outcome(clock::now(), outcome);
}

/// What the leader has read of both topics in one term.
struct Session {
    fence: Fence,
    counts_next: Offset,
    reports_next: Offset,
    /// Time of the last successful reads.
    read_at: Timestamp,
    /// Time since which the topics have been read without a gap.
    steady_since: Timestamp,
    deletions: Deletions,
    deleted_at: Timestamp,
}

/// Adds up the counts of all instances and fixes reports while this instance is the leader, until the
/// gateway stops.
pub(crate) async fn fix_reports(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    let mut session: Option<Session> = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(LEDGER_INTERVAL) => {}
            () = stopped(&mut stop) => return,
        }
        let fence = gateway.leadership().leader_fence();
        if session.as_ref().map(|session| session.fence) != fence {
            session = None;
            *gateway.usage.ledger() = None;
        }
        let Some(fence) = fence else { continue };
        let result = match &mut session {
            Some(session) => advance(&gateway, session).await,
            // The first term of a fleet writes at once from which window on reports are made.
            None => match load(&gateway, fence).await {
                Ok(loaded) => advance(&gateway, session.insert(loaded)).await,
                Err(error) => Err(error),
            },
        };
        match result {
            Ok(()) => {}
            Err(LogError::Truncated { .. }) => session = None,
            Err(error) => {
                gateway.metrics.log_failures.add(1, &[]);
                log::warn!(error:% = error; "counts or reports of organisations not read");
            }
        }
    }
}

/// Reads both topics from their beginning.
async fn load(gateway: &Gateway, fence: Fence) -> Result<Session, LogError> {
    let began = clock::now();
    let (reports, reports_next, _) = follow::read_snapshot(gateway, Topic::UsageReports).await?;
    let (counts, counts_next, _) = follow::read_snapshot(gateway, Topic::UsageCounts).await?;
    let usage = &gateway.usage;
    let due_after = usage.settings.as_ref().map(|settings| settings.report_due);
    let mut ledger = UsageLedger::new(usage.length(), due_after.unwrap_or_default());
    for record in &reports {
        apply_report(gateway, &mut ledger, record);
    }
    ledger.set_reports_end(reports_next);
    for record in &counts {
        apply_counts(gateway, &mut ledger, record, None);
    }
    log::info!(
        reports = ledger.pending_reports(), counts = counts.len(), fence = fence.0,
        took_ms = clock::now().since(began).as_millis();
        "usage reports taken over"
    );
    *usage.ledger() = Some(ledger);
    Ok(Session {
        fence,
        counts_next,
        reports_next,
        read_at: clock::now(),
        steady_since: clock::now(),
        deletions: Deletions::default(),
        deleted_at: clock::now(),
    })
}

/// Reads what is new, and fixes the reports that are due.
async fn advance(gateway: &Gateway, session: &mut Session) -> Result<(), LogError> {
    read_reports(gateway, session).await?;
    let counts_read_at = read_counts(gateway, session).await?;
    let gap = counts_read_at.since(session.read_at);
    session.read_at = clock::now();
    if gap > MAX_READ_GAP {
        session.steady_since = session.read_at;
    }
    let due = {
        let unix_ms = gateway.usage.unix_ms(counts_read_at);
        let first = first_window(gateway, session.fence);
        let ledger = gateway.usage.ledger();
        let ledger = ledger.as_ref();
        ledger.and_then(|l| l.due_fix(counts_read_at, unix_ms, session.steady_since, first))
    };
    if let Some(due) = due {
        fix(gateway, session, due).await;
    }
    if clock::now().since(session.deleted_at) >= DELETION_INTERVAL {
        session.deleted_at = clock::now();
        delete(gateway, session).await;
    }
    Ok(())
}

/// Returns the first window to report if there has been no report before.
///
/// In a new fleet no request was served before the start, so that the window of the start is known as a
/// whole. Otherwise instances of a build that doesn't count may have served until then.
fn first_window(gateway: &Gateway, fence: Fence) -> WindowNumber {
    let usage = &gateway.usage;
    let window = usage.length().window_at(usage.started_unix_ms);
    let is_first_term = fence == Fence(1);
    if is_first_term { window } else { window.next() }
}

async fn read_reports(gateway: &Gateway, session: &mut Session) -> Result<(), LogError> {
    loop {
        let read = gateway
            .log
            .read(Topic::UsageReports, session.reports_next, Duration::ZERO);
        let page = read.await?;
        let mut ledger = gateway.usage.ledger();
        let Some(ledger) = ledger.as_mut() else {
            return Ok(());
        };
        for record in &page.records {
            apply_report(gateway, ledger, record);
        }
        let Some(last) = page.records.last() else {
            return Ok(());
        };
        session.reports_next = last.offset.next();
    }
}

/// Reads the counts to their end, and returns a time by which all that were read had been appended.
async fn read_counts(gateway: &Gateway, session: &mut Session) -> Result<Timestamp, LogError> {
    loop {
        let sent = clock::now();
        let read = gateway
            .log
            .read(Topic::UsageCounts, session.counts_next, Duration::ZERO);
        let page = read.await?;
        let unix_ms = gateway.usage.unix_ms(clock::now());
        let mut ledger = gateway.usage.ledger();
        let Some(ledger) = ledger.as_mut() else {
            return Ok(sent);
        };
        for record in &page.records {
            apply_counts(gateway, ledger, record, Some(unix_ms));
        }
        if let Some(last) = page.records.last() {
            session.counts_next = last.offset.next();
        }
        if session.counts_next >= page.end {
            return Ok(sent);
        }
    }
}

fn apply_report(gateway: &Gateway, ledger: &mut UsageLedger, record: &LogRecord) {
    let value = record.value.as_deref();
    if let Err(error) = ledger.apply_report(record.offset, &record.key, value) {
        skip(gateway, Topic::UsageReports, record, &error);
    }
}

fn apply_counts(
    gateway: &Gateway,
    ledger: &mut UsageLedger,
    record: &LogRecord,
    unix_ms: Option<u64>,
) {
    let value = record.value.as_deref();
    if let Err(error) = ledger.apply_counts(clock::now(), unix_ms, &record.key, value) {
        skip(gateway, Topic::UsageCounts, record, &error);
    }
}

fn skip(gateway: &Gateway, topic: Topic, record: &LogRecord, error: &dyn std::fmt::Display) {
    gateway.metrics.skipped_records.add(1, &[]);
    log::warn!(topic:% = topic, key:% = record.key, offset = record.offset.0, error:% = error; "record skipped");
}

async fn fix(gateway: &Gateway, session: &mut Session, due: ReportsAppend) {
    let at = Some(due.at);
    let appended = gateway
        .log
        .append(Topic::UsageReports, due.records.clone(), at);
    let offset = match appended.await {
        Ok(offset) => offset,
        Err(error) => {
            // Whether it had an effect is read back.
            gateway.metrics.log_failures.add(1, &[]);
            log::warn!(at = due.at.0, error:% = error; "usage reports not fixed, retrying");
            return;
        }
    };
    if let Some((first, last)) = due.windows {
        gateway.metrics.usage_reports.add(last.0 - first.0 + 1, &[]);
        log::info!(first = first.0, last = last.0, offset = offset.0; "usage reports fixed");
    }
    let mut ledger = gateway.usage.ledger();
    let Some(ledger) = ledger.as_mut() else {
        return;
    };
    for (offset, record) in (offset.0..).map(Offset).zip(due.records) {
        let record = LogRecord {
            offset,
            key: record.key,
            value: record.value.map(Into::into),
        };
        apply_report(gateway, ledger, &record);
        session.reports_next = offset.next();
    }
}

/// Deletes counts that are in reports, and reports that were acknowledged.
async fn delete(gateway: &Gateway, session: &mut Session) {
    if let Some(ledger) = gateway.usage.ledger().as_mut() {
        let deletions = ledger.take_deletions();
        session.deletions.reports.extend(deletions.reports);
        session.deletions.counts.extend(deletions.counts);
    }
    let Deletions { reports, counts } = &mut session.deletions;
    for (topic, records) in [(Topic::UsageReports, reports), (Topic::UsageCounts, counts)] {
        let batch: Vec<KeyedValue> = records.iter().take(MAX_DELETIONS).cloned().collect();
        if batch.is_empty() {
            continue;
        }
        let number = batch.len();
        match gateway.log.append(topic, batch, None).await {
            Ok(_) => drop(records.drain(..number)),
            Err(error) => log::debug!(topic:% = topic, error:% = error; "records not deleted"),
        }
    }
}
