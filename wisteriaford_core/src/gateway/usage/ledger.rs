//! The leader's view of the counts of all instances and of the reports that were made of them.
//!
//! A report is fixed by an append on the condition that its topic ends where the leader has read to. So
//! each window has one report, whoever fixes it, and a leader that was replaced fixes none. A report
//! stays in the log until the platform has acknowledged it.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use indexmap::IndexMap;
use prost::DecodeError;
use prost::Message;
use wisteriaford_proto::usage as proto;
use wisteriaford_proto::usage::report_record::Kind;

use crate::gateway::duties::DueCall;
use crate::gateway::duties::Duty;
use crate::gateway::duties::DutyContent;
use crate::gateway::duties::DutyKind;
use crate::gateway::duties::DutyOutcome;
use crate::gateway::record::KeyedValue;
use crate::gateway::usage::UsageCounts;
use crate::gateway::usage::UsageReport;
use crate::gateway::usage::decode_counts;
use crate::gateway::usage::encode_counts;
use crate::gateway::usage::window::WindowLength;
use crate::id::InstanceId;
use crate::id::Offset;
use crate::id::WindowNumber;
use crate::time::Timestamp;

/// Maximum time after the end of a window until its report is fixed: an instance of 420 appends its
/// counts every 2.1 s, and an append is given up after 1.5 s.
const MAX_FIX_DELAY: Duration = Duration::from_secs(4);
/// Time for which the log must have been read without a failure before a report is fixed, so that
/// instances had time to append what they counted during an outage.
const MIN_STEADY_TIME: Duration = Duration::from_millis(2_500);
/// Maximum number of reports that one append fixes.
const MAX_REPORTS_PER_FIX: u64 = 16;
/// Number of windows for which reports are made up after a time without any instance, an hour; older ones
/// are skipped.
const MAX_BACKLOG: u64 = 720;
/// Maximum number of reports whose answers are awaited.
const MAX_CALLS_IN_FLIGHT: usize = 4;
/// Time for which the first answer to a report is awaited. It doubles with each attempt, as the API may
/// be slow.
const FIRST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for which an answer is awaited.
const MAX_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before a report is sent again that the API refused as such.
const REFUSED_BACKOFF: Duration = Duration::from_secs(5);
/// Age of the newest record of an instance up to which its clock is compared.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(10);
/// Number of other instances that must disagree with this one's clock.
const MIN_CLOCKS: usize = 2;
/// Difference to the other instances' clocks that is attributed to the time that a record takes.
const MAX_RECORD_DELAY_MS: i64 = 500;
/// Key of the record that says how far reports have been fixed.
const PROGRESS_KEY: &str = "progress";
/// Prefix of the keys of reports.
const REPORT_PREFIX: &str = "report/";

/// Records to be appended to the topic of reports if it ends at an offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportsAppend {
    /// Offset at which the topic must end.
    pub at: Offset,
    /// Records.
    pub records: Vec<KeyedValue>,
    /// First and last window whose report the append fixes, if any.
    pub windows: Option<(WindowNumber, WindowNumber)>,
}

/// Counts of one instance in one window.
#[derive(Clone, Debug, Default)]
struct InstanceCounts {
    revision: u64,
    counts: UsageCounts,
}

/// Report that has not been acknowledged.
#[derive(Clone, Debug)]
struct PendingReport {
    counts: UsageCounts,
    attempts: u32,
    in_flight: bool,
    next_attempt: Timestamp,
}

/// Clock of another instance, as its newest record shows.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    seen_at: Timestamp,
    /// Time of this instance at which the record was read, less the time that the record names.
    lead_ms: i64,
}

/// Counts and reports, as far as the log was read.
#[derive(Clone, Debug)]
pub struct UsageLedger {
    length: WindowLength,
    fix_delay: Duration,
    counts: BTreeMap<WindowNumber, IndexMap<InstanceId, InstanceCounts>>,
    /// Keys of counts in the log, by window.
    count_keys: BTreeMap<WindowNumber, Vec<CompactString>>,
    /// First window without a report; `None` if none was ever fixed.
    next_window: Option<WindowNumber>,
    /// Offset up to which the topic of reports was read.
    reports_end: Option<Offset>,
    pending: BTreeMap<WindowNumber, PendingReport>,
    /// Reports that were acknowledged, whose records are to be deleted.
    acknowledged: Vec<WindowNumber>,
    clocks: IndexMap<InstanceId, ClockSample>,
}

impl UsageLedger {
    /// Creates a ledger that has read nothing; reports are due `due_after` the end of their window.
    #[must_use]
    pub fn new(length: WindowLength, due_after: Duration) -> Self {
        Self {
            length,
            fix_delay: MAX_FIX_DELAY.min(due_after * 2 / 5),
            counts: BTreeMap::new(),
            count_keys: BTreeMap::new(),
            next_window: None,
            reports_end: None,
            pending: BTreeMap::new(),
            acknowledged: Vec::new(),
            clocks: IndexMap::new(),
        }
    }

    /// Applies a record of the topic of counts.
    ///
    /// `unix_ms` is the time, if the record was read soon after it was written.
    ///
    /// # Errors
    ///
    /// Returns an error if the record can't be decoded; the record is skipped.
    pub fn apply_counts(
        &mut self,
        now: Timestamp,
        unix_ms: Option<u64>,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<(), DecodeError> {
        let Some(value) = value else {
            let window = key.split('/').next().and_then(|text| text.parse().ok());
            if let Some(keys) = window.and_then(|window| self.count_keys.get_mut(&window)) {
                keys.retain(|known| known != key);
            }
            return Ok(());
        };
        let record = proto::WindowCounts::decode(value)?;
        let window = WindowNumber(record.window);
        let instance = InstanceId::from(record.instance);
        let keys = self.count_keys.entry(window).or_default();
        if !keys.iter().any(|known| known == key) {
            keys.push(key.into());
        }
        if let Some(unix_ms) = unix_ms {
            let lead_ms = i128::from(unix_ms) - i128::from(record.written_unix_ms);
            let sample = ClockSample {
                seen_at: now,
                lead_ms: i64::try_from(lead_ms).unwrap_or(0),
            };
            self.clocks.insert(instance.clone(), sample);
            self.clocks
                .retain(|_, sample| now.since(sample.seen_at) <= MAX_CLOCK_AGE);
        }
        if self.next_window.is_some_and(|next| window < next) {
            return Ok(());
        }
        let instances = self.counts.entry(window).or_default();
        let known = instances.entry(instance).or_default();
        if record.revision > known.revision {
            known.revision = record.revision;
            known.counts = decode_counts(record.counts);
        }
        Ok(())
    }

    /// Applies a record of the topic of reports.
    ///
    /// # Errors
    ///
    /// Returns an error if the record can't be decoded; the record is skipped.
    pub fn apply_report(
        &mut self,
        offset: Offset,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<(), DecodeError> {
        if self.reports_end.is_some_and(|end| offset < end) {
            return Ok(());
        }
        self.set_reports_end(offset.next());
        let Some(value) = value else {
            let window = key
                .strip_prefix(REPORT_PREFIX)
                .and_then(|text| text.parse().ok());
            if let Some(window) = window {
                self.pending.remove(&window);
                self.acknowledged.retain(|known| *known != window);
            }
            return Ok(());
        };
        match proto::ReportRecord::decode(value)?.kind {
            Some(Kind::Report(report)) => {
                let report_counts = decode_counts(report.counts);
                let pending = self.pending.entry(WindowNumber(report.window));
                pending.or_insert(PendingReport {
                    counts: report_counts,
                    attempts: 0,
                    in_flight: false,
                    next_attempt: Timestamp::default(),
                });
            }
            // Numbers of windows of another length mean other times.
            Some(Kind::Progress(progress)) if progress.window_ms == self.length.as_millis() => {
                let next = WindowNumber(progress.next_window);
                self.next_window = self.next_window.max(Some(next));
                self.counts.retain(|window, _| *window >= next);
            }
            Some(Kind::Progress(_)) | None => {}
        }
        Ok(())
    }

    /// Sets the end of the topic of reports after a read.
    pub fn set_reports_end(&mut self, end: Offset) {
        self.reports_end = self.reports_end.max(Some(end));
    }

    /// Returns the append that fixes the reports that are due, if any.
    ///
    /// `counts_read_at` is the time as of which the topic of counts was read to its end, `steady_since`
    /// the time since which no read has failed. Without any earlier report, `first` is the first window
    /// whose counts are known.
    #[must_use]
    pub fn due_fix(
        &self,
        counts_read_at: Timestamp,
        counts_read_unix_ms: u64,
        steady_since: Timestamp,
        first: WindowNumber,
    ) -> Option<ReportsAppend> {
        let at = self.reports_end?;
        let Some(next) = self.next_window else {
            return Some(ReportsAppend {
                at,
                records: vec![self.progress_record(first)],
                windows: None,
            });
        };
        if counts_read_at.since(steady_since) < MIN_STEADY_TIME {
            return None;
        }
        let read_unix_ms = self.agreed_unix_ms(counts_read_at, counts_read_unix_ms);
        let delay_ms = u64::try_from(self.fix_delay.as_millis()).unwrap_or(u64::MAX);
        // The window before this one is the last whose report is due.
        let open = self.length.window_at(read_unix_ms.saturating_sub(delay_ms));
        let begin = WindowNumber(next.0.max(open.0.saturating_sub(MAX_BACKLOG)));
        let end = WindowNumber(open.0.min(begin.0.saturating_add(MAX_REPORTS_PER_FIX)));
        if begin >= end {
            return None;
        }
        let windows = (begin.0..end.0).map(WindowNumber);
        let mut records: Vec<_> = windows.map(|window| self.report_record(window)).collect();
        records.push(self.progress_record(end));
        Some(ReportsAppend {
            at,
            records,
            windows: Some((begin, WindowNumber(end.0 - 1))),
        })
    }

    /// Returns the time since the epoch, corrected if the clocks of most other instances differ.
    ///
    /// A leader whose clock is ahead would fix reports before the others have counted.
    fn agreed_unix_ms(&self, now: Timestamp, unix_ms: u64) -> u64 {
        let recent = self.clocks.values();
        let recent = recent.filter(|sample| now.since(sample.seen_at) <= MAX_CLOCK_AGE);
        let mut leads_ms: Vec<i64> = recent.map(|sample| sample.lead_ms).collect();
        if leads_ms.len() <= MIN_CLOCKS {
            return unix_ms;
        }
        leads_ms.sort_unstable();
        let median_ms = leads_ms[leads_ms.len() / 2];
        if median_ms.abs() <= MAX_RECORD_DELAY_MS {
            return unix_ms;
        }
        unix_ms.saturating_add_signed(-median_ms)
    }

    /// Returns the deletions of reports that were acknowledged, and of counts that are in reports.
    pub fn take_deletions(&mut self) -> Deletions {
        let acknowledged = std::mem::take(&mut self.acknowledged);
        let reports = acknowledged.into_iter().map(report_key).map(deletion);
        let next = self.next_window.unwrap_or_default();
        let open = self.count_keys.split_off(&next);
        let settled = std::mem::replace(&mut self.count_keys, open);
        Deletions {
            reports: reports.collect(),
            counts: settled.into_values().flatten().map(deletion).collect(),
        }
    }

    /// Returns the number of reports that have not been acknowledged.
    #[must_use]
    pub fn pending_reports(&self) -> usize {
        self.pending.len()
    }

    fn report_record(&self, window: WindowNumber) -> KeyedValue {
        let mut total = UsageCounts::new();
        for instance in self.counts.get(&window).into_iter().flatten() {
            for (organisation, requests) in &instance.1.counts {
                *total.entry(organisation.clone()).or_default() += requests;
            }
        }
        let report = proto::WindowReport {
            window: window.0,
            counts: encode_counts(&total),
        };
        encode(report_key(window), Kind::Report(report))
    }

    fn progress_record(&self, next: WindowNumber) -> KeyedValue {
        let progress = proto::ReportProgress {
            next_window: next.0,
            window_ms: self.length.as_millis(),
        };
        encode(PROGRESS_KEY.into(), Kind::Progress(progress))
    }
}

/// Records that delete what is no longer needed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Deletions {
    /// For the topic of reports.
    pub reports: Vec<KeyedValue>,
    /// For the topic of counts.
    pub counts: Vec<KeyedValue>,
}

fn report_key(window: WindowNumber) -> CompactString {
    format_compact!("{REPORT_PREFIX}{window}")
}

fn deletion(key: CompactString) -> KeyedValue {
    KeyedValue { key, value: None }
}

fn encode(key: CompactString, kind: Kind) -> KeyedValue {
    let record = proto::ReportRecord { kind: Some(kind) };
    KeyedValue {
        key,
        value: Some(record.encode_to_vec()),
    }
}

impl Duty for UsageLedger {
    fn kind(&self) -> DutyKind {
        DutyKind::Usage
    }

    fn next_call(
        &mut self,
        now: Timestamp,
        is_fenced_off: &dyn Fn(&str) -> bool,
    ) -> Option<DueCall> {
        // All windows are one subject.
        if is_fenced_off("") {
            return None;
        }
        let in_flight = self.pending.values().filter(|report| report.in_flight);
        if in_flight.count() >= MAX_CALLS_IN_FLIGHT {
            return None;
        }
        let is_due = |report: &PendingReport| !report.in_flight && now >= report.next_attempt;
        let due = self.pending.iter_mut().filter(|(_, report)| is_due(report));
        // A report that can't be delivered doesn't hold up newer ones.
        let (window, report) = due.min_by_key(|(window, report)| (report.attempts, **window))?;
        let timeout = FIRST_TIMEOUT.saturating_mul(1 << report.attempts.min(8));
        report.attempts += 1;
        report.in_flight = true;
        Some(DueCall {
            content: DutyContent::Usage(UsageReport {
                window: *window,
                counts: report.counts.clone(),
            }),
            timeout: timeout.min(MAX_TIMEOUT),
        })
    }

    fn on_outcome(&mut self, now: Timestamp, content: &DutyContent, outcome: DutyOutcome) {
        let DutyContent::Usage(sent) = content else {
            return;
        };
        let Some(report) = self.pending.get_mut(&sent.window) else {
            return;
        };
        report.in_flight = false;
        match outcome {
            DutyOutcome::Accepted => {
                self.pending.remove(&sent.window);
                self.acknowledged.push(sent.window);
            }
            DutyOutcome::Refused => report.next_attempt = now + REFUSED_BACKOFF,
            DutyOutcome::Conflict
            | DutyOutcome::Limited { .. }
            | DutyOutcome::Unreachable
            | DutyOutcome::Unknown => {}
        }
    }
}
