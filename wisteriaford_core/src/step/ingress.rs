//! Pulls that wait at the ingress, the instance that received them from the trainer.

use indexmap::IndexMap;
use wisteriaford_proto::step::PullStatus;

use super::context::Context;
use super::limits::FORWARD_RETRY_INTERVAL;
use super::limits::MAX_PULL_WAIT;
use super::limits::MAX_WAITING_PULLS;
use super::limits::OWNER_TIMEOUT;
use super::limits::SKIP_DURATION;
use super::output::Pull;
use super::output::PullAnswer;
use super::output::PullRefusal;
use super::output::PullTicket;
use super::output::StepOutput;
use super::owner::OwnerAnswer;
use super::owner::OwnerPull;
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
    last_heard_at: Timestamp,
    sent_at: Option<Timestamp>,
    includes_spec: bool,
}

/// A pull that is due to be sent to an owner.
pub(super) struct Forward {
    pub(super) to: InstanceId,
    pub(super) key: StepKey,
    pub(super) pull: OwnerPull,
}

/// Pulls that wait at this instance, and the instances that are skipped as owners for a while.
#[derive(Debug, Default)]
pub(super) struct Ingress {
    waiting: IndexMap<PullTicket, WaitingPull>,
    skipped_until: IndexMap<InstanceId, Timestamp>,
    pub(super) is_leaving: bool,
}

impl Ingress {
    /// Queues a pull or refuses it; pulls of the same step with lower numbers are superseded.
    pub(super) fn insert(&mut self, context: &mut Context<'_>, pull: Pull) {
        if let Err(reason) = self.validate(context, &pull) {
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
            deadline: context.now + pull.wait.min(MAX_PULL_WAIT),
            target: None,
            last_heard_at: context.now,
            sent_at: None,
            includes_spec: pull.spec.is_some(),
            pull,
        };
        self.waiting.insert(waiting.pull.ticket, waiting);
    }

    fn validate(&self, context: &Context<'_>, pull: &Pull) -> Result<(), PullRefusal> {
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
        is_match: impl Fn(&Pull) -> bool,
    ) {
        self.waiting.retain(|&ticket, waiting| {
            let is_refused = is_match(&waiting.pull);
            if is_refused {
                refuse(context, ticket, reason);
            }
            !is_refused
        });
    }

    /// Removes a pull whose connection was closed.
    pub(super) fn remove(&mut self, ticket: PullTicket) {
        self.waiting.shift_remove(&ticket);
    }

    /// Answers pulls without samples when their wait is over.
    pub(super) fn expire(&mut self, context: &mut Context<'_>) {
        self.skipped_until.retain(|_, until| context.now < *until);
        self.waiting.retain(|_, waiting| {
            let is_over = context.now >= waiting.deadline;
            if is_over {
                answer(context, &waiting.pull, Vec::new(), false);
            }
            !is_over
        });
    }

    /// Returns the pulls that are due to be sent to their owners.
    pub(super) fn due_forwards(&mut self, context: &mut Context<'_>) -> Vec<Forward> {
        self.detect_unresponsive(context);
        let mut forwards = Vec::new();
        let skipped_until = &self.skipped_until;
        for waiting in self.waiting.values_mut() {
            let to = route(context, skipped_until, self.is_leaving, &waiting.pull.key);
            if waiting.target.as_ref() != Some(&to) {
                waiting.target = Some(to.clone());
                waiting.last_heard_at = context.now;
                waiting.sent_at = None;
            }
            let since = waiting.sent_at.map(|at| context.now.since(at));
            if since.is_some_and(|since| since < FORWARD_RETRY_INTERVAL) {
                continue;
            }
            waiting.sent_at = Some(context.now);
            let key = waiting.pull.key.clone();
            let pull = OwnerPull::new(&waiting.pull, waiting.includes_spec);
            forwards.push(Forward { to, key, pull });
        }
        forwards
    }

    fn detect_unresponsive(&mut self, context: &mut Context<'_>) {
        let me = context.view.me();
        for waiting in self.waiting.values() {
            let Some(target) = waiting.target.as_ref() else {
                continue;
            };
            let is_unresponsive = context.now.since(waiting.last_heard_at) >= OWNER_TIMEOUT;
            if *target == me || !is_unresponsive || self.skipped_until.contains_key(target) {
                continue;
            }
            context.counters.unresponsive_owners += 1;
            let until = context.now + SKIP_DURATION;
            self.skipped_until.insert(target.clone(), until);
        }
    }

    /// Returns whether an instance is skipped because it didn't respond or refused to own a step.
    pub(super) fn is_skipped(&self, instance: &InstanceId) -> bool {
        self.skipped_until.contains_key(instance)
    }

    /// Forwards an owner's answer to the trainers that wait for it.
    pub(super) fn on_owner_answer(
        &mut self,
        context: &mut Context<'_>,
        from: &InstanceId,
        key: &StepKey,
        owner_answer: &OwnerAnswer,
    ) {
        let number = owner_answer.number;
        if owner_answer.status == PullStatus::NotOwner {
            self.skipped_until
                .insert(from.clone(), context.now + SKIP_DURATION);
            return;
        }
        self.skipped_until.swap_remove(from);
        self.waiting.retain(|_, waiting| {
            if waiting.pull.key != *key || waiting.pull.number != number {
                return true;
            }
            if waiting.target.as_ref() == Some(from) {
                waiting.last_heard_at = context.now;
            }
            !apply_owner_answer(context, waiting, owner_answer)
        });
    }

    /// Returns whether no pull is waiting.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Returns the first available instance to pull a step from: its owner, its replica or this one.
fn route(
    context: &Context<'_>,
    skipped_until: &IndexMap<InstanceId, Timestamp>,
    is_leaving: bool,
    key: &StepKey,
) -> InstanceId {
    let me = context.view.me();
    let ranked = [context.view.owner_of(key), context.view.replica_of(key)];
    let mut ranked = ranked.into_iter().flatten();
    let may_own = |instance: &InstanceId| {
        let is_excluded = is_leaving && *instance == me;
        !skipped_until.contains_key(instance) && !is_excluded
    };
    ranked.find(may_own).unwrap_or(me)
}

/// Answers or refuses a pull according to its owner's answer; returns whether that was done.
fn apply_owner_answer(
    context: &mut Context<'_>,
    waiting: &mut WaitingPull,
    owner_answer: &OwnerAnswer,
) -> bool {
    let pull = &waiting.pull;
    let reason = match owner_answer.status {
        PullStatus::Waiting => {
            waiting.includes_spec = false;
            return false;
        }
        PullStatus::NotOwner => return false,
        PullStatus::Ready => {
            let samples = deliverable_samples(context, pull, owner_answer);
            let held_count = pull.received.len() + samples.len();
            let complete = owner_answer.total > 0 && held_count == owner_answer.total as usize;
            let is_answered = complete || !samples.is_empty();
            if is_answered {
                answer(context, pull, samples, complete);
            }
            return is_answered;
        }
        PullStatus::StepUnknown if pull.spec.is_some() => {
            waiting.includes_spec = true;
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

/// Returns the samples that may be delivered; this is the final check before the trainer.
fn deliverable_samples(
    context: &mut Context<'_>,
    pull: &Pull,
    owner_answer: &OwnerAnswer,
) -> Vec<FinishedSample> {
    let snapshot = context.view.pool(&pull.pool).unwrap_or_default();
    let mut seen = IndexSet::default();
    let mut samples = Vec::new();
    for sample in &owner_answer.samples {
        let is_new = seen.insert(sample.index) == Ok(true);
        let is_wanted = is_new && !pull.received.contains(sample.index);
        let is_in_step = sample.index < owner_answer.total;
        let is_fresh = sample
            .label
            .is_fresh(pull.current_version, snapshot.staleness_bound_versions);
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
