//! Whether the configuration is known to be the newest after the process was paused.

use std::time::Duration;

use super::Instance;
use crate::time::Timestamp;

/// Answers of the log after which its end was surely read since the pause: the first of them may
/// have been given before it.
const READS: u32 = 2;
/// Time after which an instance that cannot reach the log relies on what its peers told it.
const WITHOUT_LOG: Duration = Duration::from_secs(3);

/// What an instance that was paused still waits for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Confirmation {
    reads_left: u32,
    without_log_at: Timestamp,
}

impl Instance {
    /// Notes that the process was paused, so that a newer revision may be in force.
    pub(super) fn doubt_configuration(&mut self, now: Timestamp) {
        self.confirmation = Some(Confirmation {
            reads_left: READS,
            without_log_at: now + WITHOUT_LOG,
        });
    }

    /// Notes that the stream of the configuration was read to where the log said it ends.
    pub(super) fn confirm_configuration(&mut self) {
        let Some(confirmation) = &mut self.confirmation else {
            return;
        };
        confirmation.reads_left = confirmation.reads_left.saturating_sub(1);
        if confirmation.reads_left == 0 {
            self.confirmation = None;
        }
    }

    /// Gives up waiting for a log that does not answer; peers had time to tell their revision.
    pub(super) fn tick_confirmation(&mut self, now: Timestamp) {
        let is_down = self.log_up == Some(false);
        let is_over = |confirmation: Confirmation| now >= confirmation.without_log_at;
        if is_down && self.confirmation.is_some_and(is_over) {
            self.confirmation = None;
        }
    }

    /// Returns whether there is a configuration that may be served.
    pub(super) fn may_serve(&self) -> bool {
        self.fold.current().is_some() && self.confirmation.is_none()
    }
}
