//! State of one sample of an owned step.

use super::output::ScoreTicket;
use super::sample::FinishedSample;
use crate::id::EndpointId;
use crate::time::Timestamp;

/// Progress of a sample.
#[derive(Debug)]
pub(super) enum Stage {
    /// Unfinished; attempts may be running.
    Open,
    /// Finished and waiting to be sent to the scorer.
    Unscored(FinishedSample),
    /// Finished and sent to the scorer.
    Scoring(FinishedSample, ScoreTicket),
    /// Ready for delivery, but not acknowledged by the trainer.
    Ready(FinishedSample),
    /// Acknowledged by the trainer.
    Received,
}

/// An attempt that was started and hasn't ended.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) attempt_number: u64,
    pub(super) started_at: Timestamp,
    pub(super) endpoint: Option<EndpointId>,
    pub(super) tokens: u32,
}

/// State of one sample of an owned step.
#[derive(Debug)]
pub(super) struct SampleState {
    pub(super) stage: Stage,
    pub(super) running: Vec<RunningAttempt>,
    pub(super) failures: u32,
    pub(super) not_before: Timestamp,
    pub(super) is_replicated: bool,
    pub(super) copy_sent_at: Option<Timestamp>,
}

impl SampleState {
    /// Returns the state of a sample that has no attempt.
    pub(super) fn new() -> Self {
        Self {
            stage: Stage::Open,
            running: Vec::new(),
            failures: 0,
            not_before: Timestamp(0),
            is_replicated: false,
            copy_sent_at: None,
        }
    }

    /// Returns whether the sample still has to be generated.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Open)
    }

    /// Returns whether a first attempt may start.
    pub(super) fn is_startable(&self, now: Timestamp) -> bool {
        self.is_open() && self.running.is_empty() && self.not_before <= now
    }

    /// Returns the sample if it is finished and the trainer hasn't acknowledged it.
    pub(super) fn finished(&self) -> Option<&FinishedSample> {
        match &self.stage {
            Stage::Unscored(sample) | Stage::Scoring(sample, _) | Stage::Ready(sample) => {
                Some(sample)
            }
            Stage::Open | Stage::Received => None,
        }
    }

    /// Returns the sample if it is ready for delivery.
    pub(super) fn ready(&self) -> Option<&FinishedSample> {
        match &self.stage {
            Stage::Ready(sample) => Some(sample),
            _ => None,
        }
    }

    /// Changes the stage; copies of the previous stage no longer count.
    pub(super) fn set_stage(&mut self, stage: Stage) {
        self.stage = stage;
        self.is_replicated = false;
        self.copy_sent_at = None;
    }
}
