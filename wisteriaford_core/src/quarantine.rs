//! Quarantine of requests that were in progress when an endpoint crashed.
//!
//! A request that was in progress at crashes is a suspect. Shortly before it would be refused it runs
//! alone; after further, distinct crashes it is refused. A request that had produced tokens at the
//! endpoint is a less likely cause, and so is one whose endpoint may not have crashed at all: such
//! reports count less. A run that completes clears the request of the crashes reported so far.
//! Clearings are spread like the crash reports, so that another instance doesn't refuse a request
//! that is innocent.

mod evidence;

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use wisteriaford_proto::fleet::Suspect;

use crate::id::Fingerprint;
use crate::quarantine::evidence::CrashReport;
use crate::quarantine::evidence::Evidence;
use crate::time::Timestamp;

/// Maximum number of suspects kept.
pub const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of crashes kept for each suspect.
pub const MAX_CRASHES: usize = 8;
/// Maximum number of crashes whose time is kept.
const MAX_ENDS: usize = 1_024;
/// Maximum number of crash reports in one message.
pub const MAX_UPDATES: usize = 32;

/// When requests are refused, and how often crash reports are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Consecutive crashes without progress after which a request is refused.
    pub crashes_to_refuse: usize,
    /// Consecutive crashes after which a request is refused even if it had produced tokens before
    /// some, or some are not confirmed.
    pub weak_crashes_to_refuse: usize,
    /// How long a request is refused after the crash that led to it, and after each further one;
    /// the last value applies to all later ones. After that time it may run on trial. If empty, it
    /// is refused as long as its crashes count.
    pub refusal_times: &'static [Duration],
    /// Number of messages in which an own crash report is sent.
    pub own_rounds: u32,
    /// Number of messages in which a report of another instance is sent on.
    pub relayed_rounds: u32,
}

/// Policy of instances that coordinate their use of the endpoints, so that a suspect runs alone,
/// and that spread crash reports by gossip.
pub const GOSSIP_POLICY: Policy = Policy {
    crashes_to_refuse: 2,
    weak_crashes_to_refuse: 3,
    refusal_times: &[],
    own_rounds: 8,
    relayed_rounds: 8,
};

/// Policy of instances that choose endpoints independently, so that a suspect runs beside other
/// requests, and that share crash reports through a log.
pub const LOG_POLICY: Policy = Policy {
    crashes_to_refuse: 3,
    weak_crashes_to_refuse: 5,
    refusal_times: &[Duration::from_secs(4), Duration::from_secs(600)],
    own_rounds: 1,
    relayed_rounds: 0,
};

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may run beside other requests.
    Unrestricted,
    /// It may run only while no other request runs at the endpoint, or, where that can't be
    /// ensured, only while no other repeat of it runs at this instance.
    Alone,
    /// It may run only while no other repeat of it runs at any instance.
    Trial,
    /// It may not run.
    Refused {
        /// Time at which it may be sent again.
        until: Timestamp,
    },
}

/// Run of a request that was in progress when its endpoint crashed or was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Start of the run.
    pub began_at: Timestamp,
    /// End of the run.
    pub ended_at: Timestamp,
    /// Whether the run had produced output.
    pub progressed: bool,
    /// Whether it is known that the endpoint crashed.
    pub confirmed: bool,
}

type CrashReports = IndexMap<CompactString, CrashReport>;

/// Suspects known to one instance.
#[derive(Clone, Debug)]
pub struct Quarantine {
    policy: Policy,
    retention: Duration,
    suspects: IndexMap<Fingerprint, CrashReports>,
    /// Earliest end of a run in each crash, since its endpoint was last known to answer.
    crash_ends: IndexMap<CompactString, Timestamp>,
    /// Time at which the endpoint of a possible crash answered.
    answered: IndexMap<CompactString, Timestamp>,
}

impl Quarantine {
    /// Creates an empty quarantine that discards crash reports after `retention`.
    #[must_use]
    pub fn new(policy: Policy, retention: Duration) -> Self {
        Self {
            policy,
            retention,
            suspects: IndexMap::new(),
            crash_ends: IndexMap::new(),
            answered: IndexMap::new(),
        }
    }

    /// Records that the endpoint of a possible crash answered, so that the runs that were lost there
    /// before did not end with it.
    pub fn record_answer(&mut self, now: Timestamp, crash: &str) {
        if self.crash_ends.swap_remove(crash).is_none() && !self.answered.contains_key(crash) {
            return;
        }
        if self.answered.len() >= MAX_ENDS {
            self.answered.swap_remove_index(0);
        }
        self.answered.insert(CompactString::from(crash), now);
    }

    /// Sets how long crash reports are kept: the longest quarantine of any pool.
    pub fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Records the requests that were in progress at a crash.
    ///
    /// `crash` must be the same at every instance that detects the crash and unique to it, such as
    /// the endpoint together with the incarnation that ended.
    pub fn record_crash(&mut self, now: Timestamp, crash: &str, fingerprints: &[Fingerprint]) {
        for &fingerprint in fingerprints {
            self.record_run(crash, &crashed_at(now, fingerprint, false));
        }
    }

    /// Records the requests that had produced tokens at an endpoint before it crashed.
    pub fn record_crash_after_progress(
        &mut self,
        now: Timestamp,
        crash: &str,
        fingerprints: &[Fingerprint],
    ) {
        for &fingerprint in fingerprints {
            self.record_run(crash, &crashed_at(now, fingerprint, true));
        }
    }

    /// Records a run that ended in a crash, or in the loss of an endpoint that may have crashed.
    ///
    /// A run that began after another one had ended in the same crash is ignored: an endpoint that is
    /// down may still accept connections and close them. Only runs of this instance are compared, as
    /// clocks differ.
    pub fn record_run(&mut self, crash: &str, run: &CrashedRun) {
        let end = self.record_end(crash, run.ended_at);
        if end.is_some_and(|end| run.began_at > end && run.began_at < run.ended_at) {
            return;
        }
        let rounds = self.policy.own_rounds;
        let report = CrashReport {
            seen_at: run.ended_at,
            began_at: run.began_at,
            cleared: false,
            progressed: run.progressed,
            unconfirmed: !run.confirmed,
            rounds_left: rounds,
        };
        self.insert(run.fingerprint, crash, report);
    }

    /// Discards own reports of runs that began before a time, if they were neither confirmed nor sent.
    pub fn discard_unsent(&mut self, began_before: Timestamp) {
        for reports in self.suspects.values_mut() {
            reports.retain(|_, report| {
                let is_unsent = report.rounds_left > 0 && !report.cleared;
                !is_unsent || !report.unconfirmed || report.began_at >= began_before
            });
        }
        self.suspects.retain(|_, reports| !reports.is_empty());
    }

    /// Merges a crash report from another instance.
    pub fn merge(&mut self, now: Timestamp, suspect: &Suspect) {
        let seen_at = now - Duration::from_millis(suspect.age_ms);
        if now.since(seen_at) >= self.retention {
            return;
        }
        let report = CrashReport {
            seen_at,
            began_at: seen_at - Duration::from_millis(suspect.run_ms),
            cleared: suspect.cleared,
            progressed: suspect.progressed,
            unconfirmed: suspect.unconfirmed,
            rounds_left: self.policy.relayed_rounds,
        };
        self.insert(Fingerprint(suspect.fingerprint), &suspect.crash, report);
    }

    /// Records that the endpoint of a crash did crash.
    ///
    /// Only the reports of runs that this instance lost are sent again: the others confirm their
    /// own.
    pub fn confirm(&mut self, crash: &str) {
        for reports in self.suspects.values_mut() {
            if let Some(report) = reports.get_mut(crash) {
                report.unconfirmed = false;
            }
        }
    }

    /// Clears a request that completed of the crashes reported so far; returns whether there were
    /// any.
    pub fn record_completed(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(reports) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let mut is_cleared = false;
        for report in reports.values_mut().filter(|report| !report.cleared) {
            report.cleared = true;
            report.rounds_left = self.policy.own_rounds;
            is_cleared = true;
        }
        is_cleared
    }

    /// Returns whether a request may run; crashes count for `duration`, so a refusal ends at the
    /// latest that long after the last one.
    #[must_use]
    pub fn verdict(&self, now: Timestamp, fingerprint: Fingerprint, duration: Duration) -> Verdict {
        let Some(evidence) = self.evidence(now, fingerprint, duration) else {
            return Verdict::Unrestricted;
        };
        let (to_refuse, weak_to_refuse) = (
            self.policy.crashes_to_refuse,
            self.policy.weak_crashes_to_refuse,
        );
        let excess = evidence.strong.checked_sub(to_refuse);
        let excess = excess.max(evidence.total.checked_sub(weak_to_refuse));
        if let Some(excess) = excess {
            let until = evidence.last_seen_at + self.refusal_time(excess, duration);
            if now < until {
                return Verdict::Refused { until };
            }
            return Verdict::Trial;
        }
        if evidence.all_strong >= to_refuse || evidence.all >= weak_to_refuse {
            return Verdict::Trial;
        }
        if evidence.strong + 1 >= to_refuse || evidence.total + 1 >= weak_to_refuse {
            return Verdict::Alone;
        }
        Verdict::Unrestricted
    }

    /// Returns whether a crash counts against a request.
    #[must_use]
    pub fn is_suspect(&self, now: Timestamp, fingerprint: Fingerprint, duration: Duration) -> bool {
        self.evidence(now, fingerprint, duration).is_some()
    }

    /// Returns the time of the last crash that counts against a request.
    #[must_use]
    pub fn last_crash_at(
        &self,
        now: Timestamp,
        fingerprint: Fingerprint,
        duration: Duration,
    ) -> Option<Timestamp> {
        let evidence = self.evidence(now, fingerprint, duration)?;
        Some(evidence.last_seen_at)
    }

    /// Returns crash reports to send, the least often sent first, and removes expired ones.
    pub fn updates(&mut self, now: Timestamp) -> Vec<Suspect> {
        self.remove_expired(now);
        let mut pending: Vec<_> = self
            .suspects
            .iter_mut()
            .flat_map(|(&id, reports)| {
                reports
                    .iter_mut()
                    .map(move |(crash, report)| (id, crash, report))
            })
            .filter(|(_, _, report)| report.rounds_left > 0)
            .collect();
        pending.sort_by_key(|(_, _, report)| std::cmp::Reverse(report.rounds_left));
        pending.truncate(MAX_UPDATES);
        let updates = pending.into_iter().map(|(fingerprint, crash, report)| {
            report.rounds_left -= 1;
            Suspect {
                fingerprint: fingerprint.0,
                crash: crash.to_string(),
                age_ms: as_millis(now.since(report.seen_at)),
                cleared: report.cleared,
                progressed: report.progressed,
                run_ms: as_millis(report.seen_at.since(report.began_at)),
                unconfirmed: report.unconfirmed,
            }
        });
        updates.collect()
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the active reports of a request, or `None` if there are none.
    fn evidence(
        &self,
        now: Timestamp,
        fingerprint: Fingerprint,
        duration: Duration,
    ) -> Option<Evidence> {
        let duration = duration.min(self.retention);
        let reports = self.suspects.get(&fingerprint)?.values();
        let active = reports.filter(|report| report.is_active(now, duration));
        let evidence = Evidence::collect(active);
        (evidence.all > 0).then_some(evidence)
    }

    fn refusal_time(&self, excess: usize, duration: Duration) -> Duration {
        let times = self.policy.refusal_times;
        let time = times.get(excess).or(times.last());
        time.map_or(duration.min(self.retention), |time| *time)
    }

    fn insert(&mut self, fingerprint: Fingerprint, crash: &str, new: CrashReport) {
        self.evict_if_full(fingerprint);
        let reports = self.suspects.entry(fingerprint).or_default();
        if reports.len() >= MAX_CRASHES && !reports.contains_key(crash) {
            reports.shift_remove_index(0);
        }
        let Some(report) = reports.get_mut(crash) else {
            reports.insert(CompactString::from(crash), new);
            return;
        };
        let is_news = (report.progressed && !new.progressed)
            || (report.unconfirmed && !new.unconfirmed)
            || (!report.cleared && new.cleared);
        report.progressed &= new.progressed;
        report.unconfirmed &= new.unconfirmed;
        report.cleared |= new.cleared;
        if is_news {
            report.rounds_left = new.rounds_left;
        }
    }

    /// Returns the earliest end of a run in a crash, or `None` if the endpoint answered since.
    fn record_end(&mut self, crash: &str, ended_at: Timestamp) -> Option<Timestamp> {
        if self.answered.get(crash).is_some_and(|at| ended_at <= *at) {
            return None;
        }
        if let Some(end) = self.crash_ends.get_mut(crash) {
            *end = ended_at.min(*end);
            return Some(*end);
        }
        if self.crash_ends.len() >= MAX_ENDS {
            self.crash_ends.shift_remove_index(0);
        }
        self.crash_ends.insert(CompactString::from(crash), ended_at);
        Some(ended_at)
    }

    /// Removes a suspect if there is no room for another, one with few crashes first: requests that
    /// are refused must not be forgotten when many endpoints fail.
    fn evict_if_full(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let is_minor =
            |reports: &CrashReports| reports.values().filter(|report| !report.cleared).count() < 2;
        let minor = self.suspects.values().position(is_minor);
        self.suspects.shift_remove_index(minor.unwrap_or(0));
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let retention = self.retention;
        self.suspects.retain(|_, reports| {
            reports.retain(|_, report| now.since(report.seen_at) < retention);
            !reports.is_empty()
        });
    }
}

/// Returns a run of unknown duration that ended in a confirmed crash.
fn crashed_at(now: Timestamp, fingerprint: Fingerprint, progressed: bool) -> CrashedRun {
    CrashedRun {
        fingerprint,
        began_at: now,
        ended_at: now,
        progressed,
        confirmed: true,
    }
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
