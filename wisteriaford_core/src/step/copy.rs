//! Second copies that an owner sends to its keeper, or to the owner after it.

use wisteriaford_proto::step::DropStep;
use wisteriaford_proto::step::FetchSamples;
use wisteriaford_proto::step::KeepSamples;
use wisteriaford_proto::step::Sample;
use wisteriaford_proto::step::SamplesKept;
use wisteriaford_proto::step::Spec;
use wisteriaford_proto::step::step_message::Body;

use super::context::Context;
use super::keeper::chunks;
use super::limits::KEEP_REFRESH;
use super::limits::KEEP_RETRY;
use super::owner::OwnedStep;
use super::slot::Slot;
use crate::id::InstanceId;
use crate::index_set::IndexSet;
use crate::time::Timestamp;

impl Slot {
    fn is_to_copy(&self, now: Timestamp) -> bool {
        let is_sent = self.kept_at.is_some_and(|at| now.since(at) < KEEP_RETRY);
        self.finished().is_some() && !self.is_kept && !is_sent
    }
}

impl OwnedStep {
    /// Asks the keeper for what it has, unless this instance has a copy itself.
    pub(super) fn fetch(&self, context: &mut Context<'_>) {
        let received = self.received.as_bytes().to_vec();
        let Some(keeper) = self.other_keeper(context) else {
            return;
        };
        let fetch = FetchSamples { received };
        context.send(&keeper, &self.key, Body::Fetch(fetch));
    }

    /// Returns the keeper, if it is another instance.
    pub(super) fn other_keeper(&self, context: &Context<'_>) -> Option<InstanceId> {
        let me = context.view.me();
        let keeper = context.view.keeper_of(&self.key);
        keeper.filter(|keeper| *keeper != me)
    }

    /// Begins to hand the step over: nothing starts any more, what runs goes on to its end.
    pub(super) fn drain_to(&mut self, to: InstanceId) {
        if self.draining_to.as_ref() == Some(&to) {
            return;
        }
        self.draining_to = Some(to);
        self.waiters.clear();
    }

    /// Sends finished samples that the receiver has not confirmed.
    pub(super) fn copy(&mut self, context: &mut Context<'_>) {
        let draining = self.draining_to.clone();
        let is_draining = draining.is_some();
        let target = draining.or_else(|| self.other_keeper(context));
        if target != self.keeper {
            self.forget_copies();
            self.keeper.clone_from(&target);
        }
        let Some(target) = target else { return };
        let running = if is_draining {
            self.running()
        } else {
            IndexSet::default()
        };
        let parts = self.samples_to_copy(context.now);
        let was_sent = self.copied_at.is_some_and(|at| {
            let again = if self.keeper_has_spec {
                KEEP_REFRESH
            } else {
                KEEP_RETRY
            };
            context.now.since(at) < again
        });
        if parts.is_empty() && was_sent && running == self.running_told {
            return;
        }
        self.copied_at = Some(context.now);
        self.running_told = running;
        self.send_copies(context, &target, parts);
    }

    fn forget_copies(&mut self) {
        self.keeper_has_spec = false;
        self.copied_at = None;
        for slot in &mut self.slots {
            slot.is_kept = false;
            slot.kept_at = None;
        }
    }

    fn samples_to_copy(&mut self, now: Timestamp) -> Vec<Vec<Sample>> {
        let to_copy = self.slots.iter().filter(|slot| slot.is_to_copy(now));
        let parts = chunks(to_copy.filter_map(Slot::finished));
        for slot in &mut self.slots {
            if slot.is_to_copy(now) {
                slot.kept_at = Some(now);
            }
        }
        parts
    }

    fn send_copies(
        &mut self,
        context: &mut Context<'_>,
        target: &InstanceId,
        mut parts: Vec<Vec<Sample>>,
    ) {
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        let spec = self.spec.as_deref().filter(|_| !self.keeper_has_spec);
        let mut spec = spec.map(Spec::from);
        for samples in parts {
            let keep = KeepSamples {
                samples,
                received: self.received.as_bytes().to_vec(),
                spec: spec.take(),
                running: self.running_told.as_bytes().to_vec(),
            };
            context.send(target, &self.key, Body::Keep(keep));
        }
    }

    /// Takes a confirmation in.
    pub(super) fn confirm(&mut self, from: &InstanceId, confirm: &SamplesKept) {
        if self.keeper.as_ref() != Some(from) {
            return;
        }
        self.keeper_has_spec = confirm.has_spec;
        for &index in &confirm.indices {
            if let Some(slot) = self.slots.get_mut(index as usize) {
                slot.is_kept = slot.kept_at.is_some();
            }
        }
    }

    /// Returns whether a step that is handed over needs this instance no more.
    pub(super) fn is_drained(&self) -> bool {
        let is_done = |slot: &Slot| {
            let is_safe = slot.finished().is_none() || slot.is_kept;
            slot.running.is_empty() && is_safe
        };
        self.draining_to.is_some() && self.keeper_has_spec && self.slots.iter().all(is_done)
    }

    /// Tells the keeper that the step is no more.
    pub(super) fn drop_copy(&self, context: &mut Context<'_>) {
        if let Some(keeper) = &self.keeper {
            context.send(keeper, &self.key, Body::Drop(DropStep {}));
        }
    }
}
