//! Awareness of the instance's own health, so that a slow one accuses others less.
//!
//! Source: Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate
//! Failure Detection", 2018.

use std::time::Duration;

const MAX_SCORE: u32 = 8;

/// Score of how little the instance's own observations can be trusted, 0 is healthy.
#[derive(Default)]
pub(super) struct Health {
    score: u32,
}

impl Health {
    /// Notes an observation that may be the instance's own fault.
    pub(super) fn worsen(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Notes an answer in time.
    pub(super) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Notes that the instance was frozen.
    pub(super) fn distrust(&mut self) {
        self.score = MAX_SCORE;
    }

    /// Stretches a timeout.
    pub(super) fn stretch(&self, timeout: Duration) -> Duration {
        timeout * (self.score + 1)
    }
}
