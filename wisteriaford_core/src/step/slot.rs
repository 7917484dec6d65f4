//! One sample of an owned step.

use super::output::ScoreTicket;
use super::sample::FinishedSample;
use crate::id::EndpointId;
use crate::time::Timestamp;

/// How far a sample is.
#[derive(Debug)]
pub(super) enum Stage {
    /// Not finished; attempts may run.
    Open,
    /// Finished, and waits for the scorer.
    Unscored(FinishedSample),
    /// Finished, and at the scorer.
    Scoring(FinishedSample, ScoreTicket),
    /// Finished and not acknowledged.
    Ready(FinishedSample),
    /// Acknowledged by the trainer.
    Received,
}

/// An attempt that was started and has not ended.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) try_number: u64,
    pub(super) started_at: Timestamp,
    pub(super) endpoint: Option<EndpointId>,
    pub(super) tokens: u32,
}

/// One sample of an owned step.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) stage: Stage,
    pub(super) running: Vec<RunningAttempt>,
    pub(super) failures: u32,
    pub(super) not_before: Timestamp,
    pub(super) is_kept: bool,
    pub(super) kept_at: Option<Timestamp>,
}

impl Slot {
    /// Returns a sample that nothing was done for.
    pub(super) fn new() -> Self {
        Self {
            stage: Stage::Open,
            running: Vec::new(),
            failures: 0,
            not_before: Timestamp(0),
            is_kept: false,
            kept_at: None,
        }
    }

    /// Returns whether the sample still has to be made.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Open)
    }

    /// Returns whether a first attempt may start.
    pub(super) fn is_startable(&self, now: Timestamp) -> bool {
        self.is_open() && self.running.is_empty() && self.not_before <= now
    }

    /// Returns the finished sample that the trainer has not acknowledged.
    pub(super) fn finished(&self) -> Option<&FinishedSample> {
        match &self.stage {
            Stage::Unscored(sample) | Stage::Scoring(sample, _) | Stage::Ready(sample) => {
                Some(sample)
            }
            Stage::Open | Stage::Received => None,
        }
    }

    /// Returns the sample if it can be delivered.
    pub(super) fn ready(&self) -> Option<&FinishedSample> {
        match &self.stage {
            Stage::Ready(sample) => Some(sample),
            _ => None,
        }
    }

    /// Moves on; a copy of what was there before counts no more.
    pub(super) fn set(&mut self, stage: Stage) {
        self.stage = stage;
        self.is_kept = false;
        self.kept_at = None;
    }
}
