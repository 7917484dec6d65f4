//! All steps that an instance has to do with, as entry, owner and keeper.

use indexmap::IndexMap;
use wisteriaford_proto::step::FetchSamples;
use wisteriaford_proto::step::KeepSamples;
use wisteriaford_proto::step::KeptSamples;
use wisteriaford_proto::step::PullStatus;
use wisteriaford_proto::step::SamplesKept;
use wisteriaford_proto::step::step_message::Body;

use super::context::Context;
use super::entry::Entry;
use super::keeper::Keeper;
use super::keeper::KeptStep;
use super::keeper::kept_messages;
use super::limits::HAND_OVER_IDLE;
use super::limits::MAX_OWNED_STEPS;
use super::limits::MAX_STEPS_PER_TRAINER;
use super::limits::MAX_WHOLE_STEPS;
use super::limits::OLD_STEP_TTL;
use super::limits::STEP_TTL;
use super::message;
use super::message::StepMessageError;
use super::owner::Offer;
use super::owner::OwnedStep;
use super::owner::OwnerAnswer;
use super::slot::Slot;
use crate::id::InstanceId;
use crate::id::PoolId;
use crate::id::PullNumber;
use crate::id::StepKey;
use crate::index_set::IndexSet;

/// A step that its trainer holds as a whole.
#[derive(Clone, Copy, Debug)]
struct WholeStep {
    number: PullNumber,
    total: u32,
}

/// All steps that an instance has to do with.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) entry: Entry,
    pub(super) owned: IndexMap<StepKey, OwnedStep>,
    pub(super) keeper: Keeper,
    whole: IndexMap<StepKey, WholeStep>,
}

impl State {
    /// Gives waiting pulls to their owners, this instance included.
    pub(super) fn forward(&mut self, context: &mut Context<'_>) {
        let me = context.view.me();
        for forward in self.entry.forwards(context) {
            if forward.to == me {
                let answer = self.offer(context, &me, &forward.key, forward.offer);
                self.entry.answered(context, &me, &forward.key, &answer);
            } else {
                let body = message::pull_body(&forward.offer);
                context.send(&forward.to, &forward.key, body);
            }
        }
    }

    /// Takes a pull in as the owner of its step.
    fn offer(
        &mut self,
        context: &mut Context<'_>,
        from: &InstanceId,
        key: &StepKey,
        offer: Offer,
    ) -> OwnerAnswer {
        let number = offer.number;
        let status = |status| OwnerAnswer {
            number,
            status,
            samples: Vec::new(),
            total: 0,
        };
        if self.entry.is_leaving && *from != context.view.me() {
            return status(PullStatus::NotOwner);
        }
        if let Some(answer) = self.offer_whole(key, &offer) {
            return answer;
        }
        if !self.owned.contains_key(key) {
            if self.owned.len() >= MAX_OWNED_STEPS {
                return status(PullStatus::OwnerFull);
            }
            self.adopt(context, key, &offer);
        }
        let step = self.owned.get_mut(key);
        let unknown = status(PullStatus::StepUnknown);
        step.map_or(unknown, |step| step.offer(context, from, offer))
    }

    fn offer_whole(&mut self, key: &StepKey, offer: &Offer) -> Option<OwnerAnswer> {
        let whole = *self.whole.get(key)?;
        let holds_all = offer.received.len() == whole.total as usize;
        let status = match offer.number.cmp(&whole.number) {
            _ if holds_all => PullStatus::Ready,
            std::cmp::Ordering::Less => PullStatus::Superseded,
            _ => {
                self.whole.shift_remove(key);
                return None;
            }
        };
        Some(OwnerAnswer {
            number: offer.number,
            status,
            samples: Vec::new(),
            total: whole.total,
        })
    }

    /// Becomes the owner of a step, with what second copies hold of it.
    fn adopt(&mut self, context: &mut Context<'_>, key: &StepKey, offer: &Offer) {
        self.make_room(context, key);
        let mut step = OwnedStep::new(context.now, key.clone(), offer.pool.clone());
        step.version = offer.version;
        step.received = offer.received.clone();
        step.fetch(context);
        if step.other_keeper(context).is_none() {
            step.recover_until = None;
        }
        if let Some(copy) = self.keeper.take(key) {
            merge_copy(context, &mut step, copy);
        }
        self.owned.insert(key.clone(), step);
    }

    fn make_room(&mut self, context: &mut Context<'_>, key: &StepKey) {
        let is_same = |step: &&OwnedStep| step.key.trainer == key.trainer;
        let of_trainer = self.owned.values().filter(is_same);
        if of_trainer.clone().count() < MAX_STEPS_PER_TRAINER {
            return;
        }
        let oldest = of_trainer.min_by_key(|step| (step.last_pull_at, step.key.number));
        if let Some(oldest) = oldest.map(|step| step.key.clone()) {
            self.drop_step(context, &oldest);
        }
    }

    /// Drops a step; its second copy is left to expire, for another owner may rely on it.
    fn drop_step(&mut self, context: &mut Context<'_>, key: &StepKey) {
        if let Some(mut step) = self.owned.shift_remove(key) {
            step.cancel_all(context);
        }
    }

    /// Takes a message of another instance in.
    pub(super) fn peer(
        &mut self,
        context: &mut Context<'_>,
        from: &InstanceId,
        key: &StepKey,
        body: &Body,
    ) -> Result<(), StepMessageError> {
        match body {
            Body::Pull(pull) => {
                let offer = Offer::try_from(pull)?;
                let answer = self.offer(context, from, key, offer);
                context.send(from, key, message::answer_body(&answer));
            }
            Body::Answer(answer) => {
                let answer = OwnerAnswer::from(answer);
                self.entry.answered(context, from, key, &answer);
                self.forward(context);
            }
            Body::Keep(keep) => self.keep(context, from, key, keep)?,
            Body::Confirm(confirm) => {
                if let Some(step) = self.owned.get_mut(key) {
                    step.confirm(from, confirm);
                }
            }
            Body::Fetch(fetch) => self.fetch(context, from, key, fetch)?,
            Body::Kept(kept) => self.kept(context, key, kept)?,
            Body::Drop(_) => {
                self.keeper.take(key);
            }
        }
        Ok(())
    }

    fn keep(
        &mut self,
        context: &mut Context<'_>,
        from: &InstanceId,
        key: &StepKey,
        keep: &KeepSamples,
    ) -> Result<(), StepMessageError> {
        let Some(step) = self.owned.get_mut(key) else {
            let confirm = self.keeper.store(context.now, key, keep);
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

    fn fetch(
        &mut self,
        context: &mut Context<'_>,
        from: &InstanceId,
        key: &StepKey,
        fetch: &FetchSamples,
    ) -> Result<(), StepMessageError> {
        let received = message::indices(&fetch.received)?;
        let messages = if let Some(step) = self.owned.get_mut(key) {
            let finished = step.slots.iter().filter_map(Slot::finished);
            let wanted = finished.filter(|sample| !received.contains(sample.index));
            kept_messages(step.spec.as_deref(), wanted, &step.running())
        } else if let Some(copy) = self.keeper.get(key) {
            copy.to_messages(&received)
        } else {
            kept_messages(None, std::iter::empty(), &IndexSet::default())
        };
        for kept in messages {
            context.send(from, key, Body::Kept(kept));
        }
        Ok(())
    }

    fn kept(
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
            step.recover_until = None;
        }
        Ok(())
    }

    /// Looks after every owned step.
    pub(super) fn maintain(&mut self, context: &mut Context<'_>) {
        let keys: Vec<StepKey> = self.owned.keys().cloned().collect();
        for key in keys {
            let has_newer = self.has_newer(&key);
            let Some(step) = self.owned.get_mut(&key) else {
                continue;
            };
            step.discard_too_old(context);
            step.ask_scores(context);
            self.push(context, &key);
            self.move_on(context, &key, has_newer);
            if let Some(step) = self.owned.get_mut(&key) {
                step.copy(context);
            }
        }
        self.keeper.expire(context.now);
    }

    fn has_newer(&self, key: &StepKey) -> bool {
        let is_newer = |other: &StepKey| other.trainer == key.trainer && other.number > key.number;
        self.owned.keys().any(is_newer)
    }

    /// Sends waiting entries what is ready.
    fn push(&mut self, context: &mut Context<'_>, key: &StepKey) {
        let Some(step) = self.owned.get_mut(key) else {
            return;
        };
        let is_unknown = step.spec.is_none() && !step.is_recovering(context.now);
        let unknown = is_unknown.then(|| OwnerAnswer {
            number: step.highest,
            status: PullStatus::StepUnknown,
            samples: Vec::new(),
            total: 0,
        });
        if step.waiters.is_empty() {
            return;
        }
        let Some(answer) = unknown.or_else(|| step.answer(context)) else {
            return;
        };
        let me = context.view.me();
        for waiter in std::mem::take(&mut step.waiters) {
            if waiter == me {
                self.entry.answered(context, &me, key, &answer);
            } else {
                context.send(&waiter, key, message::answer_body(&answer));
            }
        }
    }

    /// Drops a step that is whole or that no trainer pulls, or hands it to its owner.
    fn move_on(&mut self, context: &mut Context<'_>, key: &StepKey, has_newer: bool) {
        let Some(step) = self.owned.get_mut(key) else {
            return;
        };
        if step.is_whole() {
            let (number, total) = (step.highest, step.total());
            step.drop_copy(context);
            self.remember_whole(key, WholeStep { number, total });
            self.drop_step(context, key);
            return;
        }
        let idle = context.now.since(step.last_pull_at);
        let is_old = has_newer || step.spec.is_none();
        let ttl = if is_old { OLD_STEP_TTL } else { STEP_TTL };
        if step.draining_to.is_none() && idle >= ttl {
            context.counters.expired_steps += 1;
            self.drop_step(context, key);
            return;
        }
        if step.is_drained() || (idle >= STEP_TTL && step.running().is_empty()) {
            self.owned.shift_remove(key);
            return;
        }
        let is_idle = idle >= HAND_OVER_IDLE && step.spec.is_some();
        if is_idle || step.draining_to.is_some() {
            self.hand_over(context, key);
        }
    }

    fn remember_whole(&mut self, key: &StepKey, whole: WholeStep) {
        if self.whole.len() >= MAX_WHOLE_STEPS {
            self.whole.shift_remove_index(0);
        }
        self.whole.insert(key.clone(), whole);
    }

    /// Begins to hand a step to the instance that is to own it, if that is another.
    pub(super) fn hand_over(&mut self, context: &Context<'_>, key: &StepKey) {
        let me = context.view.me();
        let owner = context.view.owner_of(key);
        let keeper = context
            .view
            .keeper_of(key)
            .filter(|_| self.entry.is_leaving);
        let mut ranked = owner.into_iter().chain(keeper);
        let is_leaving = self.entry.is_leaving;
        let target = ranked.find(|instance| !is_leaving || *instance != me);
        let target = target.filter(|instance| *instance != me && !self.entry.is_silent(instance));
        if let (Some(target), Some(step)) = (target, self.owned.get_mut(key)) {
            step.drain_to(target);
        }
    }

    /// Starts attempts: first attempts of nearly whole steps first, second ones only on slots
    /// that no first attempt of the pool can use.
    pub(super) fn work(&mut self, context: &mut Context<'_>) {
        let mut order: Vec<(usize, StepKey)> = self
            .owned
            .values()
            .map(|step| (step.open_count(), step.key.clone()))
            .collect();
        order.sort();
        let mut free = self.free_slots(context);
        for second in [false, true] {
            for (_, key) in &order {
                self.work_on(context, key, second, &mut free);
            }
        }
    }

    fn work_on(
        &mut self,
        context: &mut Context<'_>,
        key: &StepKey,
        second: bool,
        free: &mut IndexMap<PoolId, usize>,
    ) {
        let now = context.now;
        let Some(pool) = self.owned.get(key).map(|step| step.pool.clone()) else {
            return;
        };
        let is_wanted = |step: &OwnedStep| step.pool == pool && step.has_startable(now);
        let is_needed = second && self.owned.values().any(is_wanted);
        let slots = free.entry(pool).or_default();
        let Some(step) = self.owned.get_mut(key) else {
            return;
        };
        let started = match (second, is_needed) {
            (false, _) => step.start_first(context, *slots),
            (true, false) => step.start_second(context, *slots),
            (true, true) => 0,
        };
        *slots = slots.saturating_sub(started);
    }

    fn free_slots(&self, context: &Context<'_>) -> IndexMap<PoolId, usize> {
        let mut free = IndexMap::new();
        for step in self.owned.values() {
            let slots = free
                .entry(step.pool.clone())
                .or_insert_with(|| step.facts(context).free_slots);
            *slots = slots.saturating_sub(step.waiting_count());
        }
        free
    }
}

fn merge_copy(context: &mut Context<'_>, step: &mut OwnedStep, copy: KeptStep) {
    let Some(spec) = copy.spec else { return };
    step.set_spec(spec);
    step.recover_until = None;
    step.merge(context, copy.samples.into_values(), &copy.running);
}

/// Merges a message; a keeper that names no running attempts says nothing about those that a
/// previous owner named.
fn merge_message(
    context: &mut Context<'_>,
    step: &mut OwnedStep,
    kept: &KeptSamples,
    from_keeper: bool,
) -> Result<(), StepMessageError> {
    let told = message::indices(&kept.running)?;
    let is_silent_on_attempts = from_keeper && told.is_empty();
    let running = if is_silent_on_attempts {
        step.elsewhere.clone()
    } else {
        told
    };
    if let Some(spec) = message::spec(kept.spec.as_ref())? {
        if step.spec.as_ref().is_some_and(|known| *known != spec) {
            return Ok(());
        }
        step.set_spec(spec);
    }
    let samples = message::samples(&kept.samples);
    step.merge(context, samples.into_iter(), &running);
    Ok(())
}
