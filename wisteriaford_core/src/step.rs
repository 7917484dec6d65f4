//! Training steps: samples are generated, scored, replicated and delivered exactly once.
//!
//! [`Steps`] manages the steps of one instance. A driver calls it from one thread and executes the
//! [`StepOutput`]s that each call appends:
//!
//! - [`Steps::pull`] for a trainer's pull; each ticket is answered or refused exactly once, at the
//!   latest when its wait is over and the driver calls [`Steps::tick`].
//! - [`Steps::sample_progress`] and [`Steps::sample_finished`] for attempts that it started.
//! - [`Steps::apply_scores`] for the results of score requests.
//! - [`Steps::handle_message`] for messages from other instances, which may be lost, duplicated or
//!   reordered.
//! - [`Steps::tick`] whenever [`Steps::next_wakeup`] is reached.
//! - [`Steps::hand_over`] at graceful shutdown, then ticks until [`Steps::is_idle`].
//!
//! The ingress, the instance that receives a pull, forwards it to the owner of the step. The owner
//! starts the attempts that generate the samples and stores a second copy of finished samples at
//! the replica. Correctness doesn't depend on there being only one owner: a trainer's pull carries
//! its received set, and the ingress delivers only samples outside of that set that are labelled
//! and fresh. The trainer accepts only the answer to its current pull.

use wisteriaford_proto::step::StepMessage;

use crate::id::CallerId;
use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::StepKey;
use crate::id::StepNumber;
use crate::time::Timestamp;

mod context;
mod copy;
mod ingress;
pub mod limits;
mod message;
mod output;
mod owner;
mod replica;
mod sample;
mod sample_state;
mod scheduling;
mod scoring;
mod spec;
mod state;
mod view;

pub use message::StepMessageError;
pub use output::AttemptStart;
pub use output::Pull;
pub use output::PullAnswer;
pub use output::PullRefusal;
pub use output::PullTicket;
pub use output::Score;
pub use output::ScoreFailure;
pub use output::ScoreItem;
pub use output::ScoreTicket;
pub use output::StepCounters;
pub use output::StepOutput;
pub use sample::FinishedSample;
pub use sample::SampleAttempt;
pub use sample::SampleFailure;
pub use spec::SpecError;
pub use spec::StepSpec;
pub use spec::sample_seed;
pub use view::PoolSnapshot;
pub use view::StepView;

/// Number of steps, attempts and samples that an instance holds in memory.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepMemoryUsage {
    /// Steps that the instance owns.
    pub owned_steps: usize,
    /// Running attempts of the owned steps.
    pub running_attempts: usize,
    /// Steps of which the instance is the replica.
    pub replicated_steps: usize,
    /// Samples stored for these steps.
    pub replicated_samples: usize,
}

/// Training steps that one instance handles as ingress, owner or replica.
#[derive(Debug, Default)]
pub struct Steps {
    state: state::State,
    counters: StepCounters,
    sequence: context::NumberSequence,
    ticked_at: Timestamp,
}

impl Steps {
    /// Accepts a trainer's pull.
    pub fn pull(
        &mut self,
        now: Timestamp,
        pull: Pull,
        view: &dyn StepView,
        out: &mut Vec<StepOutput>,
    ) {
        let (state, mut context) = self.context(now, view, out);
        state.ingress.insert(&mut context, pull);
        state.forward(&mut context);
    }

    /// Removes a pull whose connection was closed; it gets no answer.
    pub fn pull_closed(&mut self, ticket: PullTicket) {
        self.state.ingress.remove(ticket);
    }

    /// Records which endpoint runs an attempt and how many tokens it has generated.
    pub fn sample_progress(&mut self, attempt: &SampleAttempt, endpoint: &EndpointId, tokens: u32) {
        if let Some(step) = self.state.owned.get_mut(&attempt.key) {
            let _ = step.record_progress(attempt, endpoint, tokens);
        }
    }

    /// Handles the end of an attempt; the end of a cancelled attempt is ignored.
    pub fn sample_finished(
        &mut self,
        now: Timestamp,
        attempt: &SampleAttempt,
        result: Result<FinishedSample, SampleFailure>,
        view: &dyn StepView,
        out: &mut Vec<StepOutput>,
    ) {
        let (state, mut context) = self.context(now, view, out);
        if let Some(step) = state.owned.get_mut(&attempt.key) {
            let _ = step.finish_attempt(&mut context, attempt, result);
        }
    }

    /// Applies the scores of a request; requested samples without a score are requested again.
    pub fn apply_scores(
        &mut self,
        now: Timestamp,
        ticket: ScoreTicket,
        result: Result<Vec<Score>, ScoreFailure>,
        view: &dyn StepView,
        out: &mut Vec<StepOutput>,
    ) {
        let (state, mut context) = self.context(now, view, out);
        let mut steps = state.owned.values_mut();
        if let Some(step) = steps.find(|step| step.has_score_batch(ticket)) {
            step.apply_scores(&mut context, ticket, result);
        }
    }

    /// Handles a message from another instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed; such a message changes nothing.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        message: &StepMessage,
        view: &dyn StepView,
        out: &mut Vec<StepOutput>,
    ) -> Result<(), StepMessageError> {
        let body = message.body.as_ref().ok_or(StepMessageError::NoBody)?;
        let key = StepKey {
            trainer: CallerId::from(message.trainer.as_str()),
            number: StepNumber(message.step),
        };
        let (state, mut context) = self.context(now, view, out);
        state.handle_message(&mut context, from, &key, body)
    }

    /// Does all work that is due: answers, retries, starts of attempts, copies and expired steps.
    pub fn tick(&mut self, now: Timestamp, view: &dyn StepView, out: &mut Vec<StepOutput>) {
        self.ticked_at = now;
        let (state, mut context) = self.context(now, view, out);
        state.ingress.expire(&mut context);
        state.forward(&mut context);
        state.maintain(&mut context);
        state.start_attempts(&mut context);
    }

    /// Returns when [`Steps::tick`] is due, or `None` while there is nothing to maintain.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let is_busy = !self.is_idle() || !self.state.replicas.is_empty();
        is_busy.then(|| self.ticked_at + limits::TICK_INTERVAL)
    }

    /// Begins a graceful shutdown: steps are handed over to their next owners with all finished
    /// samples, no new attempt is started, and running attempts continue until they end.
    pub fn hand_over(&mut self, now: Timestamp, view: &dyn StepView, out: &mut Vec<StepOutput>) {
        let (state, mut context) = self.context(now, view, out);
        state.ingress.is_leaving = true;
        let keys: Vec<StepKey> = state.owned.keys().cloned().collect();
        for key in keys {
            state.hand_over(&context, &key);
        }
        state.forward(&mut context);
        state.maintain(&mut context);
    }

    /// Returns whether no pull is waiting and no step is owned, so that a shutdown can complete.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state.ingress.is_empty() && self.state.owned.is_empty()
    }

    /// Returns the counters of all work done so far.
    #[must_use]
    pub fn counters(&self) -> StepCounters {
        self.counters
    }

    /// Returns the number of steps, attempts and samples that are held now.
    #[must_use]
    pub fn memory_usage(&self) -> StepMemoryUsage {
        let (replicated_steps, replicated_samples) = self.state.replicas.counts();
        let steps = self.state.owned.values();
        let sample_states = steps.flat_map(|step| &step.sample_states);
        StepMemoryUsage {
            owned_steps: self.state.owned.len(),
            running_attempts: sample_states.map(|state| state.running.len()).sum(),
            replicated_steps,
            replicated_samples,
        }
    }

    fn context<'a>(
        &'a mut self,
        now: Timestamp,
        view: &'a dyn StepView,
        out: &'a mut Vec<StepOutput>,
    ) -> (&'a mut state::State, context::Context<'a>) {
        let context = context::Context {
            now,
            view,
            counters: &mut self.counters,
            sequence: &mut self.sequence,
            out,
        };
        (&mut self.state, context)
    }
}
