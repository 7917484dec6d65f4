//! Inputs and outputs of one call of the step logic.

use wisteriaford_proto::step::StepMessage;
use wisteriaford_proto::step::step_message::Body;

use super::output::ScoreTicket;
use super::output::StepCounters;
use super::output::StepOutput;
use super::view::StepView;
use crate::id::InstanceId;
use crate::id::StepKey;
use crate::time::Timestamp;

/// Generator of unique numbers for attempts and score requests.
#[derive(Debug, Default)]
pub(super) struct NumberSequence {
    attempts: u64,
    scores: u64,
}

impl NumberSequence {
    /// Returns the number of the next attempt.
    pub(super) fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        self.attempts
    }

    /// Returns the ticket of the next score request.
    pub(super) fn next_score_ticket(&mut self) -> ScoreTicket {
        self.scores += 1;
        ScoreTicket(self.scores)
    }
}

/// Inputs and outputs of one call.
pub(super) struct Context<'a> {
    pub(super) now: Timestamp,
    pub(super) view: &'a dyn StepView,
    pub(super) counters: &'a mut StepCounters,
    pub(super) sequence: &'a mut NumberSequence,
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
