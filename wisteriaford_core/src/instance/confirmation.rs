//! Confirmation, after a pause of the process, that the configuration is the newest one.

use std::time::Duration;

use super::Instance;
use crate::time::Timestamp;

/// Complete reads needed to know that the end of the log was read after the pause: the log may have
/// sent the first answer before it.
const REQUIRED_READS: u32 = 2;
/// Time after which an instance that cannot reach the log relies on the revisions of its peers.
const LOG_TIMEOUT: Duration = Duration::from_secs(3);

/// Progress of the confirmation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Confirmation {
    reads_left: u32,
    log_deadline: Timestamp,
}

impl Instance {
    /// Requires a new confirmation, as a newer revision may have come in force during a pause.
    pub(super) fn require_confirmation(&mut self, now: Timestamp) {
        self.confirmation = Some(Confirmation {
            reads_left: REQUIRED_READS,
            log_deadline: now + LOG_TIMEOUT,
        });
    }

    /// Records that the configuration stream was read to the end reported by the log.
    pub(super) fn record_configuration_read(&mut self) {
        let Some(confirmation) = &mut self.confirmation else {
            return;
        };
        confirmation.reads_left = confirmation.reads_left.saturating_sub(1);
        if confirmation.reads_left == 0 {
            self.confirmation = None;
        }
    }

    /// Stops waiting for a log that is down; by then, peers had time to send their revisions.
    pub(super) fn tick_confirmation(&mut self, now: Timestamp) {
        let is_down = self.log_up == Some(false);
        let has_timed_out = |confirmation: Confirmation| now >= confirmation.log_deadline;
        if is_down && self.confirmation.is_some_and(has_timed_out) {
            self.confirmation = None;
        }
    }

    /// Returns whether there is a configuration under which requests may be served.
    pub(super) fn has_confirmed_configuration(&self) -> bool {
        self.fold.current().is_some() && self.confirmation.is_none()
    }
}
