//! Training steps: samples are produced, scored, kept twice and delivered exactly once.
//!
//! [`Steps`] is the whole of it at one instance. A driver calls it from one thread and carries
//! out the [`StepOutput`]s that each call appends:
//!
//! - [`Steps::pull`] for a trainer's pull; each ticket is answered or refused exactly once, at the
//!   latest when its wait is over and the driver calls [`Steps::tick`].
//! - [`Steps::sample_progress`] and [`Steps::sample_finished`] for attempts that it started.
//! - [`Steps::scored`] for score requests.
//! - [`Steps::peer`] for messages of other instances, which may get lost, doubled or reordered.
//! - [`Steps::tick`] whenever [`Steps::next_wakeup`] has come.
//! - [`Steps::hand_over`] at graceful shutdown, then ticks until [`Steps::is_idle`].
//!
//! The entry that gets a pull asks the owner of the step; the owner produces, and keeps a second
//! copy of finished samples at the keeper. No promise rests on there being one owner: a trainer's
//! pull carries what it holds, and the entry passes on only what is outside of that, labelled and
//! fresh. The trainer takes only the answer to the pull that it waits for.

use wisteriaford_proto::step::StepMessage;

use crate::id::CallerId;
use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::StepKey;
use crate::id::StepNumber;
use crate::time::Timestamp;

mod context;
mod copy;
mod entry;
mod keeper;
pub mod limits;
mod message;
mod output;
mod owner;
mod sample;
mod scoring;
mod slot;
mod spec;
mod state;
mod view;
mod work;

pub use message::StepMessageError;
pub use output::Pull;
pub use output::PullAnswer;
pub use output::PullRefusal;
pub use output::PullTicket;
pub use output::Score;
pub use output::ScoreFailure;
pub use output::ScoreItem;
pub use output::ScoreTicket;
pub use output::Start;
pub use output::StepCounters;
pub use output::StepOutput;
pub use sample::FinishedSample;
pub use sample::SampleAttempt;
pub use sample::SampleFailure;
pub use spec::SpecError;
pub use spec::StepSpec;
pub use spec::sample_seed;
pub use view::PoolFacts;
pub use view::StepView;

/// Memory that the steps of an instance take, in numbers of things.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepUse {
    /// Steps that the instance owns.
    pub owned_steps: usize,
    /// Attempts that run for them.
    pub running_attempts: usize,
    /// Steps that the instance keeps a second copy of.
    pub kept_steps: usize,
    /// Samples in these copies.
    pub kept_samples: usize,
}

/// Training steps at one instance.
#[derive(Debug, Default)]
pub struct Steps {
    state: state::State,
    counters: StepCounters,
    sequence: context::Sequence,
    ticked_at: Timestamp,
}

impl Steps {
    /// Takes a trainer's pull in.
    pub fn pull(
        &mut self,
        now: Timestamp,
        pull: Pull,
        view: &dyn StepView,
        out: &mut Vec<StepOutput>,
    ) {
        let (state, mut context) = self.context(now, view, out);
        state.entry.insert(&mut context, pull);
        state.forward(&mut context);
    }

    /// Forgets a pull whose connection closed; it gets no answer.
    pub fn pull_closed(&mut self, ticket: PullTicket) {
        self.state.entry.remove(ticket);
    }

    /// Notes which endpoint runs an attempt, and how many tokens it has.
    pub fn sample_progress(&mut self, attempt: &SampleAttempt, endpoint: &EndpointId, tokens: u32) {
        if let Some(step) = self.state.owned.get_mut(&attempt.key) {
            let _ = step.progress(attempt, endpoint, tokens);
        }
    }

    /// Takes the end of an attempt in; the end of a cancelled one changes nothing.
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
            let _ = step.finish(&mut context, attempt, result);
        }
    }

    /// Takes scores in; samples that were asked about and have none are asked about again.
    pub fn scored(
        &mut self,
        now: Timestamp,
        ticket: ScoreTicket,
        result: Result<Vec<Score>, ScoreFailure>,
        view: &dyn StepView,
        out: &mut Vec<StepOutput>,
    ) {
        let (state, mut context) = self.context(now, view, out);
        let mut steps = state.owned.values_mut();
        if let Some(step) = steps.find(|step| step.has_batch(ticket)) {
            step.scored(&mut context, ticket, result);
        }
    }

    /// Takes a message of another instance in.
    ///
    /// # Errors
    ///
    /// Names what is wrong with a malformed message, which changes nothing.
    pub fn peer(
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
        state.peer(&mut context, from, &key, body)
    }

    /// Does what time brings: answers, retries, starts, copies, and steps that expire.
    pub fn tick(&mut self, now: Timestamp, view: &dyn StepView, out: &mut Vec<StepOutput>) {
        self.ticked_at = now;
        let (state, mut context) = self.context(now, view, out);
        state.entry.expire(&mut context);
        state.forward(&mut context);
        state.maintain(&mut context);
        state.work(&mut context);
    }

    /// Returns when [`Steps::tick`] is due; none while there is nothing to look after.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let is_busy = !self.is_idle() || !self.state.keeper.is_empty();
        is_busy.then(|| self.ticked_at + limits::TICK)
    }

    /// Begins a graceful shutdown: steps go to their next owners with all that is finished, no
    /// attempt starts any more, and those that run go on to their end.
    pub fn hand_over(&mut self, now: Timestamp, view: &dyn StepView, out: &mut Vec<StepOutput>) {
        let (state, mut context) = self.context(now, view, out);
        state.entry.is_leaving = true;
        let keys: Vec<StepKey> = state.owned.keys().cloned().collect();
        for key in keys {
            state.hand_over(&context, &key);
        }
        state.forward(&mut context);
        state.maintain(&mut context);
    }

    /// Returns whether no pull waits and no step is owned: a graceful shutdown may end.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state.entry.is_empty() && self.state.owned.is_empty()
    }

    /// Returns what was done so far.
    #[must_use]
    pub fn counters(&self) -> StepCounters {
        self.counters
    }

    /// Returns what is held now.
    #[must_use]
    pub fn held(&self) -> StepUse {
        let (kept_steps, kept_samples) = self.state.keeper.held();
        let steps = self.state.owned.values();
        let slots = steps.flat_map(|step| &step.slots);
        StepUse {
            owned_steps: self.state.owned.len(),
            running_attempts: slots.map(|slot| slot.running.len()).sum(),
            kept_steps,
            kept_samples,
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
