//! Pauses of the process, and the confirmation afterwards that what it knew is still current.

use std::time::Duration;

use crate::time::Timestamp;

/// Time without activity after which the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Complete reads needed to know that the end of the log was read after the pause, if it isn't known
/// when they began: the log may have sent the first answer before it.
const REQUIRED_READS: u32 = 2;
/// Time after which an instance that cannot reach the log relies on what it knew, and on what its
/// peers have told it since.
const LOG_TIMEOUT: Duration = Duration::from_secs(3);

/// Detector of pauses, by the time between two activities of a process that is never idle for long.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    last_active_at: Option<Timestamp>,
}

impl PauseDetector {
    /// Records activity; returns the duration of the pause that it ends, if any.
    pub fn observe(&mut self, now: Timestamp) -> Option<Duration> {
        let last_active_at = self.last_active_at.replace(now);
        let gap = last_active_at.map_or(Duration::ZERO, |at| now.since(at));
        (gap >= PAUSE_THRESHOLD).then_some(gap)
    }
}

/// Progress of a confirmation.
#[derive(Clone, Copy, Debug)]
struct Pending {
    since: Timestamp,
    reads_left: u32,
}

/// Whether a part of the log must be read before its content may be relied on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    pending: Option<Pending>,
}

impl Confirmation {
    /// Requires a new confirmation, as newer records may have come during a pause.
    pub fn require(&mut self, now: Timestamp) {
        self.pending = Some(Pending {
            since: now,
            reads_left: REQUIRED_READS,
        });
    }

    /// Records that the log was read to its end, with the time at which the read began, if known.
    pub fn record_read(&mut self, began_at: Option<Timestamp>) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        let began_after = began_at.map(|began_at| began_at >= pending.since);
        match began_after {
            Some(true) => pending.reads_left = 0,
            Some(false) => {}
            None => pending.reads_left -= 1,
        }
        if pending.reads_left == 0 {
            self.pending = None;
        }
    }

    /// Stops waiting for a log that is down; by then, peers had time to send what they know.
    pub fn tick(&mut self, now: Timestamp, is_down: bool) {
        let has_timed_out = |pending: Pending| now.since(pending.since) >= LOG_TIMEOUT;
        if is_down && self.pending.is_some_and(has_timed_out) {
            self.pending = None;
        }
    }

    /// Returns whether a read is still needed.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }
}
