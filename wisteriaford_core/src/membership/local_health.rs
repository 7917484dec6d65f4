//! Local health score, which makes a slow instance less quick to suspect other members.
//!
//! Source: Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate
//! Failure Detection", 2018.

use std::time::Duration;

const MAX_SCORE: u32 = 8;

/// Score of how unreliable the instance's own observations are; 0 is healthy.
#[derive(Default)]
pub(super) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Raises the score after an observation that the instance itself may have caused.
    pub(super) fn on_failure(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Lowers the score after a probe that was acknowledged in time.
    pub(super) fn on_success(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Sets the score to its maximum after a pause of the process.
    pub(super) fn on_pause(&mut self) {
        self.score = MAX_SCORE;
    }

    /// Multiplies a timeout by the score plus one.
    pub(super) fn scale_timeout(&self, timeout: Duration) -> Duration {
        timeout * (self.score + 1)
    }
}
