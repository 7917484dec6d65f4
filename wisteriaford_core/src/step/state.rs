//! State of all steps that an instance handles as ingress, owner or replica.

use indexmap::IndexMap;
use wisteriaford_proto::step::FetchSamples;
use wisteriaford_proto::step::KeepSamples;
use wisteriaford_proto::step::KeptSamples;
use wisteriaford_proto::step::PullStatus;
use wisteriaford_proto::step::SamplesKept;
use wisteriaford_proto::step::step_message::Body;

use super::context::Context;
use super::ingress::Ingress;
use super::limits::HAND_OVER_IDLE_TIMEOUT;
use super::limits::MAX_COMPLETED_STEPS;
use super::limits::MAX_OWNED_STEPS;
use super::limits::MAX_STEPS_PER_TRAINER;
use super::limits::STEP_TTL;
use super::limits::SUPERSEDED_STEP_TTL;
use super::message;
use super::message::StepMessageError;
use super::owner::OwnedStep;
use super::owner::OwnerAnswer;
use super::owner::OwnerPull;
use super::replica::ReplicaStore;
use super::replica::ReplicatedStep;
use super::replica::replica_messages;
use super::sample_state::SampleState;
use crate::id::InstanceId;
use crate::id::PoolId;
use crate::id::PullNumber;
use crate::id::StepKey;
use crate::index_set::IndexSet;

/// A step of which the trainer holds every sample.
#[derive(Clone, Copy, Debug)]
struct CompletedStep {
    number: PullNumber,
    total: u32,
}

/// All steps that an instance handles.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) ingress: Ingress,
    pub(super) owned: IndexMap<StepKey, OwnedStep>,
    pub(super) replicas: ReplicaStore,
    completed: IndexMap<StepKey, CompletedStep>,
}

impl State {
    /// Sends waiting pulls to their owners, or handles them here if this instance is the owner.
    pub(super) fn forward(&mut self, context: &mut Context<'_>) {
        let me = context.view.me();
        for forward in self.ingress.due_forwards(context) {
            if forward.to == me {
                let answer = self.handle_pull(context, &me, &forward.key, forward.pull);
                self.ingress
                    .on_owner_answer(context, &me, &forward.key, &answer);
            } else {
                let body = message::pull_body(&forward.pull);
                context.send(&forward.to, &forward.key, body);
            }
        }
    }

    /// Handles a pull as the owner of its step.
    fn handle_pull(
        &mut self,
        context: &mut Context<'_>,
        from: &InstanceId,
        key: &StepKey,
        pull: OwnerPull,
    ) -> OwnerAnswer {
        let number = pull.number;
        let status = |status| OwnerAnswer {
            number,
            status,
            samples: Vec::new(),
            total: 0,
        };
        if self.ingress.is_leaving && *from != context.view.me() {
            return status(PullStatus::NotOwner);
        }
        if let Some(answer) = self.answer_completed(key, &pull) {
            return answer;
        }
        if !self.owned.contains_key(key) {
            if self.owned.len() >= MAX_OWNED_STEPS {
                return status(PullStatus::OwnerFull);
            }
            self.take_ownership(context, key, &pull);
        }
        let step = self.owned.get_mut(key);
        let unknown = status(PullStatus::StepUnknown);
        step.map_or(unknown, |step| step.handle_pull(context, from, pull))
    }

    fn answer_completed(&mut self, key: &StepKey, pull: &OwnerPull) -> Option<OwnerAnswer> {
        let completed = *self.completed.get(key)?;
        let holds_all = pull.received.len() == completed.total as usize;
        let status = match pull.number.cmp(&completed.number) {
            _ if holds_all => PullStatus::Ready,
            std::cmp::Ordering::Less => PullStatus::Superseded,
            _ => {
                self.completed.shift_remove(key);
                return None;
            }
        };
        Some(OwnerAnswer {
            number: pull.number,
            status,
            samples: Vec::new(),
            total: completed.total,
        })
    }

    /// Becomes the owner of a step and recovers its samples from second copies.
    fn take_ownership(&mut self, context: &mut Context<'_>, key: &StepKey, pull: &OwnerPull) {
        self.evict_if_full(context, key);
        let mut step = OwnedStep::new(context.now, key.clone(), pull.pool.clone());
        step.version = pull.version;
        step.received = pull.received.clone();
        step.fetch_from_replica(context);
        if step.remote_replica(context).is_none() {
            step.recovery_deadline = None;
        }
        if let Some(copy) = self.replicas.take(key) {
            merge_replica(context, &mut step, copy);
        }
        self.owned.insert(key.clone(), step);
    }

    fn evict_if_full(&mut self, context: &mut Context<'_>, key: &StepKey) {
        let is_same_trainer = |step: &&OwnedStep| step.key.trainer == key.trainer;
        let of_trainer = self.owned.values().filter(is_same_trainer);
        if of_trainer.clone().count() < MAX_STEPS_PER_TRAINER {
            return;
        }
        let oldest = of_trainer.min_by_key(|step| (step.last_pull_at, step.key.number));
        if let Some(oldest) = oldest.map(|step| step.key.clone()) {
            self.drop_step(context, &oldest);
        }
    }

    /// Drops a step; its second copy is left to expire because another owner may rely on it.
    fn drop_step(&mut self, context: &mut Context<'_>, key: &StepKey) {
        if let Some(mut step) = self.owned.shift_remove(key) {
            step.cancel_all(context);
        }
    }

    /// Handles a message from another instance.
    pub(super) fn handle_message(
        &mut self,
        context: &mut Context<'_>,
        from: &InstanceId,
        key: &StepKey,
        body: &Body,
    ) -> Result<(), StepMessageError> {
        match body {
            Body::Pull(pull) => {
                let pull = OwnerPull::try_from(pull)?;
                let answer = self.handle_pull(context, from, key, pull);
                context.send(from, key, message::answer_body(&answer));
            }
            Body::Answer(answer) => {
                let answer = OwnerAnswer::from(answer);
                self.ingress.on_owner_answer(context, from, key, &answer);
                self.forward(context);
            }
            Body::Keep(keep) => self.handle_keep(context, from, key, keep)?,
            Body::Confirm(confirm) => {
                if let Some(step) = self.owned.get_mut(key) {
                    step.confirm_copies(from, confirm);
                }
            }
            Body::Fetch(fetch) => self.handle_fetch(context, from, key, fetch)?,
            Body::Kept(kept) => self.handle_kept(context, key, kept)?,
            Body::Drop(_) => {
                self.replicas.take(key);
            }
        }
        Ok(())
    }

    fn handle_keep(
        &mut self,
        context: &mut Context<'_>,
        from: &InstanceId,
        key: &StepKey,
        keep: &KeepSamples,
    ) -> Result<(), StepMessageError> {
        let Some(step) = self.owned.get_mut(key) else {
            let confirm = self.replicas.store(context.now, key, keep);
            context.send(from, key, Body::Confirm(confirm));
            return Ok(());
        };
        let copy = KeptSamples {
            samples: keep.samples.clone(),
            spec: keep.spec.clone(),
            last: false,
            running: keep.running.clone(),
        };
        merge_message(context, step, &copy, false)?;
        let confirm = SamplesKept {
            indices: keep.samples.iter().map(|sample| sample.index).collect(),
            has_spec: step.spec.is_some(),
        };
        context.send(from, key, Body::Confirm(confirm));
        Ok(())
    }

    fn handle_fetch(
        &mut self,
        context: &mut Context<'_>,
        from: &InstanceId,
        key: &StepKey,
        fetch: &FetchSamples,
    ) -> Result<(), StepMessageError> {
        let received = message::parse_indices(&fetch.received)?;
        let messages = if let Some(step) = self.owned.get_mut(key) {
            let finished = step.sample_states.iter().filter_map(SampleState::finished);
            let wanted = finished.filter(|sample| !received.contains(sample.index));
            replica_messages(step.spec.as_deref(), wanted, &step.running())
        } else if let Some(copy) = self.replicas.get(key) {
            copy.to_messages(&received)
        } else {
            replica_messages(None, std::iter::empty(), &IndexSet::default())
        };
        for kept in messages {
            context.send(from, key, Body::Kept(kept));
        }
        Ok(())
    }

    fn handle_kept(
        &mut self,
        context: &mut Context<'_>,
        key: &StepKey,
        kept: &KeptSamples,
    ) -> Result<(), StepMessageError> {
        let Some(step) = self.owned.get_mut(key) else {
            return Ok(());
        };
        merge_message(context, step, kept, true)?;
        if kept.last {
            step.recovery_deadline = None;
        }
        Ok(())
    }

    /// Does the work that is due for every owned step.
    pub(super) fn maintain(&mut self, context: &mut Context<'_>) {
        let keys: Vec<StepKey> = self.owned.keys().cloned().collect();
        for key in keys {
            let has_newer = self.has_newer(&key);
            let Some(step) = self.owned.get_mut(&key) else {
                continue;
            };
            step.discard_too_old(context);
            step.request_scores(context);
            self.answer_waiting(context, &key);
            self.retire_or_hand_over(context, &key, has_newer);
            if let Some(step) = self.owned.get_mut(&key) {
                step.replicate(context);
            }
        }
        self.replicas.expire(context.now);
    }

    fn has_newer(&self, key: &StepKey) -> bool {
        let is_newer = |other: &StepKey| other.trainer == key.trainer && other.number > key.number;
        self.owned.keys().any(is_newer)
    }

    /// Sends the ready samples to the ingresses that wait for them.
    fn answer_waiting(&mut self, context: &mut Context<'_>, key: &StepKey) {
        let Some(step) = self.owned.get_mut(key) else {
            return;
        };
        let is_unknown = step.spec.is_none() && !step.is_recovering(context.now);
        let unknown = is_unknown.then(|| OwnerAnswer {
            number: step.highest_pull,
            status: PullStatus::StepUnknown,
            samples: Vec::new(),
            total: 0,
        });
        if step.waiting_ingresses.is_empty() {
            return;
        }
        let Some(answer) = unknown.or_else(|| step.answer(context)) else {
            return;
        };
        let me = context.view.me();
        for ingress in std::mem::take(&mut step.waiting_ingresses) {
            if ingress == me {
                self.ingress.on_owner_answer(context, &me, key, &answer);
            } else {
                context.send(&ingress, key, message::answer_body(&answer));
            }
        }
    }

    /// Drops a step that is complete or no longer pulled, or hands it over to its owner.
    fn retire_or_hand_over(&mut self, context: &mut Context<'_>, key: &StepKey, has_newer: bool) {
        let Some(step) = self.owned.get_mut(key) else {
            return;
        };
        if step.is_complete() {
            let (number, total) = (step.highest_pull, step.total());
            step.drop_copy(context);
            self.remember_completed(key, CompletedStep { number, total });
            self.drop_step(context, key);
            return;
        }
        let idle = context.now.since(step.last_pull_at);
        let is_old = has_newer || step.spec.is_none();
        let ttl = if is_old {
            SUPERSEDED_STEP_TTL
        } else {
            STEP_TTL
        };
        if step.handing_over_to.is_none() && idle >= ttl {
            context.counters.expired_steps += 1;
            self.drop_step(context, key);
            return;
        }
        if step.is_handed_over() || (idle >= STEP_TTL && step.running().is_empty()) {
            self.owned.shift_remove(key);
            return;
        }
        let is_idle = idle >= HAND_OVER_IDLE_TIMEOUT && step.spec.is_some();
        if is_idle || step.handing_over_to.is_some() {
            self.hand_over(context, key);
        }
    }

    fn remember_completed(&mut self, key: &StepKey, completed: CompletedStep) {
        if self.completed.len() >= MAX_COMPLETED_STEPS {
            self.completed.shift_remove_index(0);
        }
        self.completed.insert(key.clone(), completed);
    }

    /// Begins to hand a step over to the instance that should own it, if that is another one.
    pub(super) fn hand_over(&mut self, context: &Context<'_>, key: &StepKey) {
        let me = context.view.me();
        let owner = context.view.owner_of(key);
        let replica = context
            .view
            .replica_of(key)
            .filter(|_| self.ingress.is_leaving);
        let mut ranked = owner.into_iter().chain(replica);
        let is_leaving = self.ingress.is_leaving;
        let target = ranked.find(|instance| !is_leaving || *instance != me);
        let target =
            target.filter(|instance| *instance != me && !self.ingress.is_skipped(instance));
        if let (Some(target), Some(step)) = (target, self.owned.get_mut(key)) {
            step.begin_hand_over(target);
        }
    }

    /// Starts attempts: first attempts of nearly complete steps first, hedges only on slots that no
    /// first attempt of the pool can use.
    pub(super) fn start_attempts(&mut self, context: &mut Context<'_>) {
        let mut order: Vec<(usize, StepKey)> = self
            .owned
            .values()
            .map(|step| (step.unfinished_count(), step.key.clone()))
            .collect();
        order.sort();
        let mut free_slots_by_pool = self.free_slots(context);
        for is_hedging in [false, true] {
            for (_, key) in &order {
                self.start_attempts_of(context, key, is_hedging, &mut free_slots_by_pool);
            }
        }
    }

    fn start_attempts_of(
        &mut self,
        context: &mut Context<'_>,
        key: &StepKey,
        is_hedging: bool,
        free_slots_by_pool: &mut IndexMap<PoolId, usize>,
    ) {
        let now = context.now;
        let Some(pool) = self.owned.get(key).map(|step| step.pool.clone()) else {
            return;
        };
        let waits_for_slot =
            |step: &OwnedStep| step.pool == pool && step.can_start_first_attempt(now);
        let is_blocked = is_hedging && self.owned.values().any(waits_for_slot);
        let slots = free_slots_by_pool.entry(pool).or_default();
        let Some(step) = self.owned.get_mut(key) else {
            return;
        };
        let started = match (is_hedging, is_blocked) {
            (false, _) => step.start_first_attempts(context, *slots),
            (true, false) => step.start_hedges(context, *slots),
            (true, true) => 0,
        };
        *slots = slots.saturating_sub(started);
    }

    fn free_slots(&self, context: &Context<'_>) -> IndexMap<PoolId, usize> {
        let mut free_slots_by_pool = IndexMap::new();
        for step in self.owned.values() {
            let slots = free_slots_by_pool
                .entry(step.pool.clone())
                .or_insert_with(|| step.snapshot(context).free_slots);
            *slots = slots.saturating_sub(step.attempts_without_progress());
        }
        free_slots_by_pool
    }
}

fn merge_replica(context: &mut Context<'_>, step: &mut OwnedStep, copy: ReplicatedStep) {
    let Some(spec) = copy.spec else { return };
    step.set_spec(spec);
    step.recovery_deadline = None;
    step.merge(context, copy.samples.into_values(), &copy.running);
}

/// Merges the samples of a message into a step.
///
/// A replica that lists no running attempts doesn't overrule the list of a previous owner.
fn merge_message(
    context: &mut Context<'_>,
    step: &mut OwnedStep,
    kept: &KeptSamples,
    from_replica: bool,
) -> Result<(), StepMessageError> {
    let listed = message::parse_indices(&kept.running)?;
    let keeps_previous = from_replica && listed.is_empty();
    let running = if keeps_previous {
        step.running_elsewhere.clone()
    } else {
        listed
    };
    if let Some(spec) = message::parse_spec(kept.spec.as_ref())? {
        if step.spec.as_ref().is_some_and(|known| *known != spec) {
            return Ok(());
        }
        step.set_spec(spec);
    }
    let samples = message::parse_samples(&kept.samples);
    step.merge(context, samples.into_iter(), &running);
    Ok(())
}
