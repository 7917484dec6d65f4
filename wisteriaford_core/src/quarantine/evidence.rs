//! Crash reports of one request, and how much they say against it.

use std::time::Duration;

use crate::time::Timestamp;

/// Time for which a report counts whose crash isn't confirmed; an endpoint that crashed is noticed
/// within this time.
const UNCONFIRMED_RETENTION: Duration = Duration::from_secs(8);
/// Imprecision of the ages in reports from other instances.
const AGE_PRECISION: Duration = Duration::from_millis(2);

/// Report of a crash during a run of the request.
#[derive(Clone, Debug)]
pub(super) struct CrashReport {
    pub(super) seen_at: Timestamp,
    /// Start of the run; equal to `seen_at` if unknown.
    pub(super) began_at: Timestamp,
    pub(super) cleared: bool,
    pub(super) progressed: bool,
    pub(super) unconfirmed: bool,
    pub(super) rounds_left: u32,
}

impl CrashReport {
    pub(super) fn is_active(&self, now: Timestamp, duration: Duration) -> bool {
        let duration = if self.unconfirmed {
            duration.min(UNCONFIRMED_RETENTION)
        } else {
            duration
        };
        !self.cleared && now.since(self.seen_at) < duration
    }

    /// Returns whether other requests may have caused the crash, or there may have been none.
    fn is_weak(&self) -> bool {
        self.progressed || self.unconfirmed
    }
}

/// Number of active reports of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Evidence {
    /// Crashes without progress, one after the other.
    pub(super) strong: usize,
    /// All reports of runs one after the other.
    pub(super) total: usize,
    /// Crashes without progress, simultaneous ones included.
    pub(super) all_strong: usize,
    /// All reports, simultaneous ones included.
    pub(super) all: usize,
    /// Time of the last report.
    pub(super) last_seen_at: Timestamp,
}

impl Evidence {
    pub(super) fn collect<'a>(active: impl Iterator<Item = &'a CrashReport>) -> Self {
        let mut active: Vec<&CrashReport> = active.collect();
        active.sort_by_key(|report| report.seen_at);
        let strong = || active.iter().copied().filter(|report| !report.is_weak());
        Self {
            strong: count_consecutive(strong()),
            total: count_consecutive(active.iter().copied()),
            all_strong: strong().count(),
            all: active.len(),
            last_seen_at: active.last().map_or(Timestamp(0), |last| last.seen_at),
        }
    }
}

/// Returns the largest number of runs that did not overlap.
///
/// Endpoints that fail together, for example with their rack, take several runs of a request with
/// them, which says no more against the request than one of them does.
fn count_consecutive<'a>(sorted_by_end: impl Iterator<Item = &'a CrashReport>) -> usize {
    let mut count = 0;
    let mut last_end = Timestamp(0);
    for report in sorted_by_end {
        if count == 0 || report.began_at + AGE_PRECISION >= last_end {
            count += 1;
            last_end = report.seen_at;
        }
    }
    count
}
