//! What one call of the step logic works with.

use wisteriaford_proto::step::StepMessage;
use wisteriaford_proto::step::step_message::Body;

use super::output::ScoreTicket;
use super::output::StepCounters;
use super::output::StepOutput;
use super::view::StepView;
use crate::id::InstanceId;
use crate::id::StepKey;
use crate::time::Timestamp;

/// Numbers that are given out once.
#[derive(Debug, Default)]
pub(super) struct Sequence {
    attempts: u64,
    scores: u64,
}

impl Sequence {
    /// Returns the number of a new attempt.
    pub(super) fn attempt(&mut self) -> u64 {
        self.attempts += 1;
        self.attempts
    }

    /// Returns the number of a new score request.
    pub(super) fn score(&mut self) -> ScoreTicket {
        self.scores += 1;
        ScoreTicket(self.scores)
    }
}

/// What one call works with.
pub(super) struct Context<'a> {
    pub(super) now: Timestamp,
    pub(super) view: &'a dyn StepView,
    pub(super) counters: &'a mut StepCounters,
    pub(super) sequence: &'a mut Sequence,
    pub(super) out: &'a mut Vec<StepOutput>,
}

impl Context<'_> {
    /// Sends a message about a step.
    pub(super) fn send(&mut self, to: &InstanceId, key: &StepKey, body: Body) {
        let message = StepMessage {
            trainer: String::from(&key.trainer),
            step: key.number.0,
            body: Some(body),
        };
        let to = to.clone();
        self.out.push(StepOutput::Send { to, message });
    }
}
