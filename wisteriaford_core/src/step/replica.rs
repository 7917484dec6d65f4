//! Second copies of finished samples that a trainer hasn't acknowledged.

use std::sync::Arc;

use indexmap::IndexMap;
use wisteriaford_proto::step::KeepSamples;
use wisteriaford_proto::step::KeptSamples;
use wisteriaford_proto::step::Sample;
use wisteriaford_proto::step::SamplesKept;
use wisteriaford_proto::step::Spec;

use super::limits::MAX_REPLICATED_STEPS;
use super::limits::STEP_TTL;
use super::sample::FinishedSample;
use super::spec::StepSpec;
use crate::id::StepKey;
use crate::index_set::IndexSet;
use crate::time::Timestamp;

/// Second copy of a step's finished samples.
#[derive(Debug, Default)]
pub(super) struct ReplicatedStep {
    pub(super) spec: Option<Arc<StepSpec>>,
    pub(super) samples: IndexMap<u32, FinishedSample>,
    pub(super) running: IndexSet,
    refreshed_at: Timestamp,
}

impl ReplicatedStep {
    /// Returns messages with the copied samples that are not in the received set.
    pub(super) fn to_messages(&self, received: &IndexSet) -> Vec<KeptSamples> {
        let wanted = |sample: &&FinishedSample| !received.contains(sample.index);
        let samples = self.samples.values().filter(wanted);
        replica_messages(self.spec.as_deref(), samples, &self.running)
    }
}

/// Returns the messages that answer a fetch: at least one, of which the last is marked as such.
pub(super) fn replica_messages<'a>(
    spec: Option<&StepSpec>,
    samples: impl Iterator<Item = &'a FinishedSample>,
    running: &IndexSet,
) -> Vec<KeptSamples> {
    let mut messages: Vec<KeptSamples> = split_samples(samples)
        .into_iter()
        .map(|samples| KeptSamples {
            samples,
            spec: None,
            last: false,
            running: Vec::new(),
        })
        .collect();
    if messages.is_empty() {
        messages.push(KeptSamples::default());
    }
    if let Some(first) = messages.first_mut() {
        first.spec = spec.map(Spec::from);
    }
    if let Some(last) = messages.last_mut() {
        last.last = true;
        last.running = running.as_bytes().to_vec();
    }
    messages
}

/// Splits samples into parts that each fit into a message.
pub(super) fn split_samples<'a>(
    samples: impl Iterator<Item = &'a FinishedSample>,
) -> Vec<Vec<Sample>> {
    let mut parts: Vec<Vec<Sample>> = Vec::new();
    let mut size_bytes = 0;
    for sample in samples {
        let fits = size_bytes + sample.text.len() <= super::limits::MAX_ANSWER_BYTES;
        match parts.last_mut() {
            Some(part) if fits && part.len() < super::limits::MAX_ANSWER_SAMPLES => {
                part.push(Sample::from(sample));
                size_bytes += sample.text.len();
            }
            _ => {
                parts.push(vec![Sample::from(sample)]);
                size_bytes = sample.text.len();
            }
        }
    }
    parts
}

/// Second copies that this instance stores for the owners of steps.
#[derive(Debug, Default)]
pub(super) struct ReplicaStore {
    steps: IndexMap<StepKey, ReplicatedStep>,
}

impl ReplicaStore {
    /// Stores samples and returns the confirmation.
    pub(super) fn store(
        &mut self,
        now: Timestamp,
        key: &StepKey,
        keep: &KeepSamples,
    ) -> SamplesKept {
        self.evict_if_full(key);
        let step = self.steps.entry(key.clone()).or_default();
        step.refreshed_at = now;
        if let Some(Ok(spec)) = keep.spec.as_ref().map(StepSpec::try_from) {
            step.spec = Some(Arc::new(spec));
        }
        if let Ok(running) = IndexSet::try_from(keep.running.as_slice()) {
            step.running = running;
        }
        for sample in keep.samples.iter().map(FinishedSample::try_from) {
            let Ok(sample) = sample else { continue };
            step.samples.insert(sample.index, sample);
        }
        if let Ok(received) = IndexSet::try_from(keep.received.as_slice()) {
            step.samples.retain(|&index, _| !received.contains(index));
        }
        SamplesKept {
            indices: keep.samples.iter().map(|sample| sample.index).collect(),
            has_spec: step.spec.is_some(),
        }
    }

    fn evict_if_full(&mut self, key: &StepKey) {
        if self.steps.contains_key(key) || self.steps.len() < MAX_REPLICATED_STEPS {
            return;
        }
        let refreshed_at = |(_, step): &(&StepKey, &ReplicatedStep)| step.refreshed_at;
        let oldest = self.steps.iter().min_by_key(refreshed_at);
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            self.steps.swap_remove(&oldest);
        }
    }

    /// Returns the copy of a step.
    pub(super) fn get(&self, key: &StepKey) -> Option<&ReplicatedStep> {
        self.steps.get(key)
    }

    /// Removes the copy of a step and returns it.
    pub(super) fn take(&mut self, key: &StepKey) -> Option<ReplicatedStep> {
        self.steps.swap_remove(key)
    }

    /// Drops copies that no owner has refreshed.
    pub(super) fn expire(&mut self, now: Timestamp) {
        let is_live = |step: &ReplicatedStep| now.since(step.refreshed_at) < STEP_TTL;
        self.steps.retain(|_, step| is_live(step));
    }

    /// Returns whether no copy is stored.
    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns the number of steps and samples stored.
    pub(super) fn counts(&self) -> (usize, usize) {
        let samples = self.steps.values().map(|step| step.samples.len()).sum();
        (self.steps.len(), samples)
    }
}
