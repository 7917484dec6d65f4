//! Replication of finished samples from an owner to its replica, or to the next owner.

use wisteriaford_proto::step::DropStep;
use wisteriaford_proto::step::FetchSamples;
use wisteriaford_proto::step::KeepSamples;
use wisteriaford_proto::step::Sample;
use wisteriaford_proto::step::SamplesKept;
use wisteriaford_proto::step::Spec;
use wisteriaford_proto::step::step_message::Body;

use super::context::Context;
use super::limits::COPY_REFRESH_INTERVAL;
use super::limits::COPY_RETRY_INTERVAL;
use super::owner::OwnedStep;
use super::replica::split_samples;
use super::sample_state::SampleState;
use crate::id::InstanceId;
use crate::index_set::IndexSet;
use crate::time::Timestamp;

impl SampleState {
    fn needs_copy(&self, now: Timestamp) -> bool {
        let is_sent = self
            .copy_sent_at
            .is_some_and(|at| now.since(at) < COPY_RETRY_INTERVAL);
        self.finished().is_some() && !self.is_replicated && !is_sent
    }
}

impl OwnedStep {
    /// Requests the replica's copy, unless this instance is the replica itself.
    pub(super) fn fetch_from_replica(&self, context: &mut Context<'_>) {
        let received = self.received.as_bytes().to_vec();
        let Some(replica) = self.remote_replica(context) else {
            return;
        };
        let fetch = FetchSamples { received };
        context.send(&replica, &self.key, Body::Fetch(fetch));
    }

    /// Returns the replica if it is another instance.
    pub(super) fn remote_replica(&self, context: &Context<'_>) -> Option<InstanceId> {
        let me = context.view.me();
        let replica = context.view.replica_of(&self.key);
        replica.filter(|replica| *replica != me)
    }

    /// Begins to hand the step over: no new attempt starts, running attempts continue.
    pub(super) fn begin_hand_over(&mut self, to: InstanceId) {
        if self.handing_over_to.as_ref() == Some(&to) {
            return;
        }
        self.handing_over_to = Some(to);
        self.waiting_ingresses.clear();
    }

    /// Sends the finished samples that the receiver hasn't confirmed.
    pub(super) fn replicate(&mut self, context: &mut Context<'_>) {
        let next_owner = self.handing_over_to.clone();
        let is_handing_over = next_owner.is_some();
        let target = next_owner.or_else(|| self.remote_replica(context));
        if target != self.copy_target {
            self.reset_copies();
            self.copy_target.clone_from(&target);
        }
        let Some(target) = target else { return };
        let running = if is_handing_over {
            self.running()
        } else {
            IndexSet::default()
        };
        let parts = self.samples_to_copy(context.now);
        let is_up_to_date = self.last_copy_at.is_some_and(|at| {
            let interval = if self.copy_target_has_spec {
                COPY_REFRESH_INTERVAL
            } else {
                COPY_RETRY_INTERVAL
            };
            context.now.since(at) < interval
        });
        if parts.is_empty() && is_up_to_date && running == self.reported_running {
            return;
        }
        self.last_copy_at = Some(context.now);
        self.reported_running = running;
        self.send_copies(context, &target, parts);
    }

    fn reset_copies(&mut self) {
        self.copy_target_has_spec = false;
        self.last_copy_at = None;
        for state in &mut self.sample_states {
            state.is_replicated = false;
            state.copy_sent_at = None;
        }
    }

    fn samples_to_copy(&mut self, now: Timestamp) -> Vec<Vec<Sample>> {
        let to_copy = self
            .sample_states
            .iter()
            .filter(|state| state.needs_copy(now));
        let parts = split_samples(to_copy.filter_map(SampleState::finished));
        for state in &mut self.sample_states {
            if state.needs_copy(now) {
                state.copy_sent_at = Some(now);
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
        let spec = self.spec.as_deref().filter(|_| !self.copy_target_has_spec);
        let mut spec = spec.map(Spec::from);
        for samples in parts {
            let keep = KeepSamples {
                samples,
                received: self.received.as_bytes().to_vec(),
                spec: spec.take(),
                running: self.reported_running.as_bytes().to_vec(),
            };
            context.send(target, &self.key, Body::Keep(keep));
        }
    }

    /// Marks the samples that the receiver confirmed.
    pub(super) fn confirm_copies(&mut self, from: &InstanceId, confirm: &SamplesKept) {
        if self.copy_target.as_ref() != Some(from) {
            return;
        }
        self.copy_target_has_spec = confirm.has_spec;
        for &index in &confirm.indices {
            if let Some(state) = self.sample_states.get_mut(index as usize) {
                state.is_replicated = state.copy_sent_at.is_some();
            }
        }
    }

    /// Returns whether a step has been handed over completely.
    pub(super) fn is_handed_over(&self) -> bool {
        let is_done = |state: &SampleState| {
            let is_replicated = state.finished().is_none() || state.is_replicated;
            state.running.is_empty() && is_replicated
        };
        self.handing_over_to.is_some()
            && self.copy_target_has_spec
            && self.sample_states.iter().all(is_done)
    }

    /// Tells the replica to drop its copy.
    pub(super) fn drop_copy(&self, context: &mut Context<'_>) {
        if let Some(replica) = &self.copy_target {
            context.send(replica, &self.key, Body::Drop(DropStep {}));
        }
    }
}
