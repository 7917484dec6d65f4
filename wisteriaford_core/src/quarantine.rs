//! Quarantine of requests that were in progress when an endpoint crashed.
//!
//! After one crash a request is a suspect and runs alone from then on; after a second, distinct
//! crash it is refused. A request that had produced tokens at the endpoint is a less likely cause:
//! it runs beside others until its second crash and is refused after its third. A run that
//! completes clears the request of the crashes reported so far. Clearings are spread by gossip
//! like the crash reports, so that another instance doesn't refuse a request that is innocent.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use wisteriaford_proto::fleet::Suspect;

use crate::id::Fingerprint;
use crate::time::Timestamp;

/// Maximum number of suspects kept.
pub const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of crashes kept for each suspect.
pub const MAX_CRASHES: usize = 8;
/// Maximum number of crash reports in one round of gossip.
pub const MAX_UPDATES: usize = 32;
/// Rounds of gossip in which a crash report is sent.
pub const GOSSIP_ROUNDS: u32 = 8;
/// Distinct crashes without progress after which a request is refused.
pub const CRASHES_TO_REFUSE: usize = 2;
/// Distinct crashes after which a request is refused even if it had produced tokens before some.
pub const CRASHES_TO_REFUSE_AFTER_PROGRESS: usize = 3;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may run beside other requests.
    Unrestricted,
    /// It may run only while no other request runs at the endpoint.
    Alone,
    /// It may not run.
    Refused {
        /// Time at which it may be sent again.
        until: Timestamp,
    },
}

#[derive(Clone, Debug)]
struct CrashReport {
    seen_at: Timestamp,
    cleared: bool,
    progressed: bool,
    rounds_left: u32,
}

type CrashReports = IndexMap<CompactString, CrashReport>;

/// Suspects known to one instance.
#[derive(Clone, Debug)]
pub struct Quarantine {
    retention: Duration,
    suspects: IndexMap<Fingerprint, CrashReports>,
}

impl Quarantine {
    /// Creates an empty quarantine that discards crash reports after `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            suspects: IndexMap::new(),
        }
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
            self.insert(fingerprint, crash, now, false, false);
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
            self.insert(fingerprint, crash, now, false, true);
        }
    }

    /// Merges a crash report from another instance.
    pub fn merge(&mut self, now: Timestamp, suspect: &Suspect) {
        let seen_at = now - Duration::from_millis(suspect.age_ms);
        if now.since(seen_at) >= self.retention {
            return;
        }
        let fingerprint = Fingerprint(suspect.fingerprint);
        let (cleared, progressed) = (suspect.cleared, suspect.progressed);
        self.insert(fingerprint, &suspect.crash, seen_at, cleared, progressed);
    }

    /// Clears a request that completed of the crashes reported so far.
    pub fn record_completed(&mut self, fingerprint: Fingerprint) {
        let Some(reports) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        for report in reports.values_mut().filter(|report| !report.cleared) {
            report.cleared = true;
            report.rounds_left = GOSSIP_ROUNDS;
        }
    }

    /// Returns whether a request may run; crashes count for `duration`, so a refusal ends that long
    /// after the last one.
    #[must_use]
    pub fn verdict(&self, now: Timestamp, fingerprint: Fingerprint, duration: Duration) -> Verdict {
        let Some(reports) = self.suspects.get(&fingerprint) else {
            return Verdict::Unrestricted;
        };
        let duration = duration.min(self.retention);
        let active = reports.values().filter(|report| !report.cleared);
        let active = active.filter(|report| now.since(report.seen_at) < duration);
        let active: Vec<_> = active.collect();
        let total = active.len();
        let without_progress = active.iter().filter(|report| !report.progressed).count();
        let Some(last_seen_at) = active.iter().map(|report| report.seen_at).max() else {
            return Verdict::Unrestricted;
        };
        if without_progress >= CRASHES_TO_REFUSE || total >= CRASHES_TO_REFUSE_AFTER_PROGRESS {
            return Verdict::Refused {
                until: last_seen_at + duration,
            };
        }
        if without_progress > 0 || total > 1 {
            return Verdict::Alone;
        }
        Verdict::Unrestricted
    }

    /// Returns crash reports to gossip, the least often sent first, and removes expired ones.
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
                age_ms: u64::try_from(now.since(report.seen_at).as_millis()).unwrap_or(u64::MAX),
                cleared: report.cleared,
                progressed: report.progressed,
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

    fn insert(
        &mut self,
        fingerprint: Fingerprint,
        crash: &str,
        seen_at: Timestamp,
        cleared: bool,
        progressed: bool,
    ) {
        self.evict_if_full(fingerprint);
        let reports = self.suspects.entry(fingerprint).or_default();
        if reports.len() >= MAX_CRASHES && !reports.contains_key(crash) {
            reports.shift_remove_index(0);
        }
        let report = reports
            .entry(CompactString::from(crash))
            .or_insert(CrashReport {
                seen_at,
                cleared: false,
                progressed,
                rounds_left: GOSSIP_ROUNDS,
            });
        if report.progressed && !progressed {
            report.progressed = false;
            report.rounds_left = GOSSIP_ROUNDS;
        }
        if cleared && !report.cleared {
            report.cleared = true;
            report.rounds_left = GOSSIP_ROUNDS;
        }
    }

    fn evict_if_full(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        self.suspects.shift_remove_index(0);
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let retention = self.retention;
        self.suspects.retain(|_, reports| {
            reports.retain(|_, report| now.since(report.seen_at) < retention);
            !reports.is_empty()
        });
    }
}
