//! Pulls that wait at the instance that got them from the trainer.

use indexmap::IndexMap;
use wisteriaford_proto::step::PullStatus;

use super::context::Context;
use super::limits::FORWARD_RETRY;
use super::limits::MAX_WAIT;
use super::limits::MAX_WAITING_PULLS;
use super::limits::OWNER_SILENCE;
use super::limits::SILENT_FOR;
use super::output::Pull;
use super::output::PullAnswer;
use super::output::PullRefusal;
use super::output::PullTicket;
use super::output::StepOutput;
use super::owner::Offer;
use super::owner::OwnerAnswer;
use super::sample::FinishedSample;
use crate::id::InstanceId;
use crate::id::StepKey;
use crate::index_set::IndexSet;
use crate::time::Timestamp;

/// A pull that waits for its answer.
#[derive(Debug)]
struct WaitingPull {
    pull: Pull,
    deadline: Timestamp,
    target: Option<InstanceId>,
    heard_at: Timestamp,
    sent_at: Option<Timestamp>,
    with_spec: bool,
}

/// A pull that is to be given to an owner now.
pub(super) struct Forward {
    pub(super) to: InstanceId,
    pub(super) key: StepKey,
    pub(super) offer: Offer,
}

/// Pulls that wait at this instance.
#[derive(Debug, Default)]
pub(super) struct Entry {
    waiting: IndexMap<PullTicket, WaitingPull>,
    silent: IndexMap<InstanceId, Timestamp>,
    pub(super) is_leaving: bool,
}

impl Entry {
    /// Lets a pull wait, or refuses it; lower pulls of its step are superseded.
    pub(super) fn insert(&mut self, context: &mut Context<'_>, pull: Pull) {
        if let Err(reason) = self.check(context, &pull) {
            refuse(context, pull.ticket, reason);
            return;
        }
        if pull
            .spec
            .as_ref()
            .is_some_and(|spec| pull.received.len() == spec.total() as usize)
        {
            answer(context, &pull, Vec::new(), true);
            return;
        }
        let is_lower = |other: &Pull| other.key == pull.key && other.number < pull.number;
        self.refuse_where(context, PullRefusal::Superseded, is_lower);
        let waiting = WaitingPull {
            deadline: context.now + pull.wait.min(MAX_WAIT),
            target: None,
            heard_at: context.now,
            sent_at: None,
            with_spec: pull.spec.is_some(),
            pull,
        };
        self.waiting.insert(waiting.pull.ticket, waiting);
    }

    fn check(&self, context: &Context<'_>, pull: &Pull) -> Result<(), PullRefusal> {
        if context.view.pool(&pull.pool).is_none() {
            return Err(PullRefusal::PoolUnknown);
        }
        if let Some(spec) = &pull.spec {
            spec.check().map_err(PullRefusal::BadSpec)?;
            if !pull.received.is_below(spec.total()) {
                return Err(PullRefusal::BadReceived);
            }
        }
        let mut waiting = self.waiting.values().map(|waiting| &waiting.pull);
        if waiting.any(|other| other.key == pull.key && other.number > pull.number) {
            return Err(PullRefusal::Superseded);
        }
        if self.waiting.len() >= MAX_WAITING_PULLS {
            return Err(PullRefusal::Overloaded);
        }
        Ok(())
    }

    fn refuse_where(
        &mut self,
        context: &mut Context<'_>,
        reason: PullRefusal,
        is_it: impl Fn(&Pull) -> bool,
    ) {
        self.waiting.retain(|&ticket, waiting| {
            let is_refused = is_it(&waiting.pull);
            if is_refused {
                refuse(context, ticket, reason);
            }
            !is_refused
        });
    }

    /// Forgets a pull whose connection closed.
    pub(super) fn remove(&mut self, ticket: PullTicket) {
        self.waiting.shift_remove(&ticket);
    }

    /// Answers pulls whose wait is over, without samples.
    pub(super) fn expire(&mut self, context: &mut Context<'_>) {
        self.silent.retain(|_, until| context.now < *until);
        self.waiting.retain(|_, waiting| {
            let is_over = context.now >= waiting.deadline;
            if is_over {
                answer(context, &waiting.pull, Vec::new(), false);
            }
            !is_over
        });
    }

    /// Returns the pulls that owners have to be asked for now.
    pub(super) fn forwards(&mut self, context: &mut Context<'_>) -> Vec<Forward> {
        self.find_silent(context);
        let mut forwards = Vec::new();
        let silent = &self.silent;
        for waiting in self.waiting.values_mut() {
            let to = route(context, silent, self.is_leaving, &waiting.pull.key);
            if waiting.target.as_ref() != Some(&to) {
                waiting.target = Some(to.clone());
                waiting.heard_at = context.now;
                waiting.sent_at = None;
            }
            let since = waiting.sent_at.map(|at| context.now.since(at));
            if since.is_some_and(|since| since < FORWARD_RETRY) {
                continue;
            }
            waiting.sent_at = Some(context.now);
            let key = waiting.pull.key.clone();
            let offer = Offer::new(&waiting.pull, waiting.with_spec);
            forwards.push(Forward { to, key, offer });
        }
        forwards
    }

    fn find_silent(&mut self, context: &mut Context<'_>) {
        let me = context.view.me();
        for waiting in self.waiting.values() {
            let Some(target) = waiting.target.as_ref() else {
                continue;
            };
            let is_silent = context.now.since(waiting.heard_at) >= OWNER_SILENCE;
            if *target == me || !is_silent || self.silent.contains_key(target) {
                continue;
            }
            context.counters.silent_owners += 1;
            let until = context.now + SILENT_FOR;
            self.silent.insert(target.clone(), until);
        }
    }

    /// Returns whether an instance is taken as failed.
    pub(super) fn is_silent(&self, instance: &InstanceId) -> bool {
        self.silent.contains_key(instance)
    }

    /// Passes an owner's answer on to the trainers that wait for it.
    pub(super) fn answered(
        &mut self,
        context: &mut Context<'_>,
        from: &InstanceId,
        key: &StepKey,
        owner_answer: &OwnerAnswer,
    ) {
        let number = owner_answer.number;
        if owner_answer.status == PullStatus::NotOwner {
            self.silent.insert(from.clone(), context.now + SILENT_FOR);
            return;
        }
        self.silent.swap_remove(from);
        self.waiting.retain(|_, waiting| {
            if waiting.pull.key != *key || waiting.pull.number != number {
                return true;
            }
            if waiting.target.as_ref() == Some(from) {
                waiting.heard_at = context.now;
            }
            !settle(context, waiting, owner_answer)
        });
    }

    /// Returns whether no pull waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Returns the instance that is asked for a step: its owner, else its keeper, else this one.
fn route(
    context: &Context<'_>,
    silent: &IndexMap<InstanceId, Timestamp>,
    is_leaving: bool,
    key: &StepKey,
) -> InstanceId {
    let me = context.view.me();
    let ranked = [context.view.owner_of(key), context.view.keeper_of(key)];
    let mut ranked = ranked.into_iter().flatten();
    let may_own = |instance: &InstanceId| {
        let is_passed_over = is_leaving && *instance == me;
        !silent.contains_key(instance) && !is_passed_over
    };
    ranked.find(may_own).unwrap_or(me)
}

/// Gives a trainer what its owner's answer holds for it; returns whether it was answered.
fn settle(
    context: &mut Context<'_>,
    waiting: &mut WaitingPull,
    owner_answer: &OwnerAnswer,
) -> bool {
    let pull = &waiting.pull;
    let reason = match owner_answer.status {
        PullStatus::Waiting => {
            waiting.with_spec = false;
            return false;
        }
        PullStatus::NotOwner => return false,
        PullStatus::Ready => {
            let samples = deliverable(context, pull, owner_answer);
            let held = pull.received.len() + samples.len();
            let complete = owner_answer.total > 0 && held == owner_answer.total as usize;
            let is_answered = complete || !samples.is_empty();
            if is_answered {
                answer(context, pull, samples, complete);
            }
            return is_answered;
        }
        PullStatus::StepUnknown if pull.spec.is_some() => {
            waiting.with_spec = true;
            waiting.sent_at = None;
            return false;
        }
        PullStatus::StepUnknown => PullRefusal::StepUnknown,
        PullStatus::Superseded => PullRefusal::Superseded,
        PullStatus::OwnerFull => PullRefusal::Overloaded,
        PullStatus::BadReceived => PullRefusal::BadReceived,
        PullStatus::SpecChanged => PullRefusal::SpecChanged,
    };
    refuse(context, pull.ticket, reason);
    true
}

/// Returns the samples that may go to the trainer; this is the last place that decides it.
fn deliverable(
    context: &mut Context<'_>,
    pull: &Pull,
    owner_answer: &OwnerAnswer,
) -> Vec<FinishedSample> {
    let facts = context.view.pool(&pull.pool).unwrap_or_default();
    let mut seen = IndexSet::default();
    let mut samples = Vec::new();
    for sample in &owner_answer.samples {
        let is_new = seen.insert(sample.index) == Ok(true);
        let is_wanted = is_new && !pull.received.contains(sample.index);
        let is_in_step = sample.index < owner_answer.total;
        let is_fresh = sample
            .label
            .is_fresh(pull.current_version, facts.staleness_bound_versions);
        if is_wanted && is_in_step && is_fresh && sample.is_labelled() {
            samples.push(sample.clone());
        } else {
            context.counters.withheld += 1;
        }
    }
    samples
}

fn answer(context: &mut Context<'_>, pull: &Pull, samples: Vec<FinishedSample>, complete: bool) {
    context.counters.delivered += samples.len() as u64;
    let answer = PullAnswer {
        number: pull.number,
        samples,
        complete,
    };
    let ticket = pull.ticket;
    context.out.push(StepOutput::Answer { ticket, answer });
}

fn refuse(context: &mut Context<'_>, ticket: PullTicket, reason: PullRefusal) {
    context.counters.superseded += u64::from(reason == PullRefusal::Superseded);
    context.out.push(StepOutput::Refuse { ticket, reason });
}
