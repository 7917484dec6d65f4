//! A step at its owner, which answers pulls with finished samples.

use std::sync::Arc;

use indexmap::IndexSet as OrderedSet;
use wisteriaford_proto::step::PullStatus;

use super::context::Context;
use super::limits::ANSWER_DELAY;
use super::limits::MAX_ANSWER_BYTES;
use super::limits::MAX_ANSWER_SAMPLES;
use super::limits::REMOTE_ATTEMPT_WAIT;
use super::limits::REPLICA_FETCH_TIMEOUT;
use super::output::ScoreTicket;
use super::output::StepOutput;
use super::sample::FinishedSample;
use super::sample::SampleAttempt;
use super::sample_state::SampleState;
use super::sample_state::Stage;
use super::spec::StepSpec;
use super::view::PoolSnapshot;
use crate::id::InstanceId;
use crate::id::PoolId;
use crate::id::PullNumber;
use crate::id::StepKey;
use crate::id::Version;
use crate::index_set::IndexSet;
use crate::scoring::ScorerBackOff;
use crate::time::Timestamp;

/// The part of a pull that is sent to the owner.
#[derive(Clone, Debug)]
pub(super) struct OwnerPull {
    pub(super) number: PullNumber,
    pub(super) received: IndexSet,
    pub(super) version: Version,
    pub(super) pool: PoolId,
    pub(super) spec: Option<Arc<StepSpec>>,
}

/// The owner's answer to an ingress.
#[derive(Clone, Debug)]
pub(super) struct OwnerAnswer {
    pub(super) number: PullNumber,
    pub(super) status: PullStatus,
    pub(super) samples: Vec<FinishedSample>,
    pub(super) total: u32,
}

/// A step at its owner.
#[derive(Debug)]
pub(super) struct OwnedStep {
    pub(super) key: StepKey,
    pub(super) pool: PoolId,
    pub(super) spec: Option<Arc<StepSpec>>,
    pub(super) sample_states: Vec<SampleState>,
    pub(super) received: IndexSet,
    pub(super) highest_pull: PullNumber,
    pub(super) version: Version,
    pub(super) last_pull_at: Timestamp,
    pub(super) recovery_deadline: Option<Timestamp>,
    pub(super) waiting_ingresses: OrderedSet<InstanceId>,
    pub(super) ready_since: Option<Timestamp>,
    pub(super) copy_target: Option<InstanceId>,
    pub(super) copy_target_has_spec: bool,
    pub(super) last_copy_at: Option<Timestamp>,
    pub(super) handing_over_to: Option<InstanceId>,
    pub(super) reported_running: IndexSet,
    pub(super) running_elsewhere: IndexSet,
    pub(super) longest_in_group: Vec<u32>,
    pub(super) generation_speed: super::scheduling::GenerationSpeed,
    pub(super) score_batches: Vec<super::scoring::ScoreBatch>,
    pub(super) scorer_back_off: ScorerBackOff,
}

impl OwnedStep {
    /// Returns a step without a spec that waits for the replica's copy until a deadline.
    pub(super) fn new(now: Timestamp, key: StepKey, pool: PoolId) -> Self {
        Self {
            key,
            pool,
            spec: None,
            sample_states: Vec::new(),
            received: IndexSet::default(),
            highest_pull: PullNumber(0),
            version: Version(0),
            last_pull_at: now,
            recovery_deadline: Some(now + REPLICA_FETCH_TIMEOUT),
            waiting_ingresses: OrderedSet::new(),
            ready_since: None,
            copy_target: None,
            copy_target_has_spec: false,
            last_copy_at: None,
            handing_over_to: None,
            reported_running: IndexSet::default(),
            running_elsewhere: IndexSet::default(),
            longest_in_group: Vec::new(),
            generation_speed: super::scheduling::GenerationSpeed::default(),
            score_batches: Vec::new(),
            scorer_back_off: ScorerBackOff::default(),
        }
    }

    /// Returns the state of the step's pool.
    pub(super) fn snapshot(&self, context: &Context<'_>) -> PoolSnapshot {
        context.view.pool(&self.pool).unwrap_or_default()
    }

    /// Returns the number of samples in the step, or 0 while the spec is unknown.
    pub(super) fn total(&self) -> u32 {
        self.spec.as_ref().map_or(0, |spec| spec.total())
    }

    /// Returns whether the trainer holds every sample.
    pub(super) fn is_complete(&self) -> bool {
        self.spec.is_some() && self.received.len() == self.sample_states.len()
    }

    /// Returns whether the step still waits for the replica's copy.
    pub(super) fn is_recovering(&self, now: Timestamp) -> bool {
        self.recovery_deadline.is_some_and(|until| now < until)
    }

    /// Handles a pull and returns the answer for the ingress that sent it.
    pub(super) fn handle_pull(
        &mut self,
        context: &mut Context<'_>,
        from: &InstanceId,
        pull: OwnerPull,
    ) -> OwnerAnswer {
        if pull.number < self.highest_pull {
            return self.status(pull.number, PullStatus::Superseded);
        }
        let number = pull.number;
        if let Some(refused) = self.check_spec(&pull) {
            return self.status(number, refused);
        }
        self.last_pull_at = context.now;
        self.handing_over_to = None;
        self.version = self.version.max(pull.version);
        if number > self.highest_pull {
            self.supersede_waiting(context);
            self.highest_pull = number;
            self.received = pull.received;
        }
        self.waiting_ingresses.insert(from.clone());
        if let Some(spec) = pull.spec {
            self.set_spec(spec);
        }
        self.apply_received(context);
        self.discard_too_old(context);
        self.answer(context).unwrap_or_else(|| {
            let known = self.spec.is_some() || self.is_recovering(context.now);
            let waiting = PullStatus::Waiting;
            let status = if known {
                waiting
            } else {
                PullStatus::StepUnknown
            };
            self.status(number, status)
        })
    }

    fn check_spec(&self, pull: &OwnerPull) -> Option<PullStatus> {
        let known = self.spec.as_ref();
        let spec = known.or(pull.spec.as_ref())?;
        if pull.spec.as_ref().is_some_and(|pulled| pulled != spec) {
            return Some(PullStatus::SpecChanged);
        }
        let is_below = pull.received.is_below(spec.total());
        (!is_below).then_some(PullStatus::BadReceived)
    }

    fn supersede_waiting(&mut self, context: &mut Context<'_>) {
        let answer = self.status(self.highest_pull, PullStatus::Superseded);
        let me = context.view.me();
        for ingress in std::mem::take(&mut self.waiting_ingresses) {
            if ingress != me {
                let body = super::message::answer_body(&answer);
                context.send(&ingress, &self.key, body);
            }
        }
    }

    fn status(&self, number: PullNumber, status: PullStatus) -> OwnerAnswer {
        OwnerAnswer {
            number,
            status,
            samples: Vec::new(),
            total: self.total(),
        }
    }

    /// Sets the spec unless it is already known.
    pub(super) fn set_spec(&mut self, spec: Arc<StepSpec>) {
        if self.spec.is_some() {
            return;
        }
        self.sample_states = (0..spec.total()).map(|_| SampleState::new()).collect();
        self.longest_in_group = vec![0; spec.prompts.len()];
        self.spec = Some(spec);
    }

    /// Updates the stage of every sample to match the received set, which is authoritative.
    pub(super) fn apply_received(&mut self, context: &mut Context<'_>) {
        for index in 0..self.total() {
            let is_received = self.received.contains(index);
            let state = &mut self.sample_states[index as usize];
            match (is_received, &state.stage) {
                (true, Stage::Received) => {}
                (true, _) => {
                    state.set_stage(Stage::Received);
                    self.cancel_attempts(context, index);
                }
                (false, Stage::Received) => state.set_stage(Stage::Open),
                (false, _) => {}
            }
        }
    }

    /// Cancels all attempts of a sample.
    pub(super) fn cancel_attempts(&mut self, context: &mut Context<'_>, index: u32) {
        let running = std::mem::take(&mut self.sample_states[index as usize].running);
        for attempt in running {
            context.counters.cancelled += 1;
            context.out.push(StepOutput::Cancel(SampleAttempt {
                key: self.key.clone(),
                index,
                attempt_number: attempt.attempt_number,
            }));
        }
    }

    /// Cancels all attempts of the step.
    pub(super) fn cancel_all(&mut self, context: &mut Context<'_>) {
        for index in 0..self.total() {
            self.cancel_attempts(context, index);
        }
    }

    /// Discards samples that became too old for the trainer's version; they are generated again.
    pub(super) fn discard_too_old(&mut self, context: &mut Context<'_>) {
        let bound = self.snapshot(context).staleness_bound_versions;
        let version = self.version;
        for state in &mut self.sample_states {
            let label = state.finished().map(|sample| &sample.label);
            if label.is_some_and(|label| !label.is_fresh(version, bound)) {
                context.counters.too_old += 1;
                state.set_stage(Stage::Open);
            }
        }
    }

    /// Returns the answer that is due now: ready samples, or that the step is complete.
    pub(super) fn answer(&mut self, context: &Context<'_>) -> Option<OwnerAnswer> {
        let ready = self.sample_states.iter().filter_map(SampleState::ready);
        let ready_count = ready.clone().count();
        if ready_count == 0 {
            self.ready_since = None;
            let is_complete = self.is_complete();
            return is_complete.then(|| self.status(self.highest_pull, PullStatus::Ready));
        }
        let since = *self.ready_since.get_or_insert(context.now);
        let is_delay_over = context.now.since(since) >= ANSWER_DELAY;
        let is_last = ready_count + self.received.len() == self.sample_states.len();
        if !is_delay_over && !is_last && ready_count < MAX_ANSWER_SAMPLES {
            return None;
        }
        let mut samples: Vec<FinishedSample> = Vec::new();
        let mut size_bytes = 0;
        for sample in ready.take(MAX_ANSWER_SAMPLES) {
            size_bytes += sample.text.len();
            if size_bytes > MAX_ANSWER_BYTES && !samples.is_empty() {
                break;
            }
            samples.push(sample.clone());
        }
        let answer = self.status(self.highest_pull, PullStatus::Ready);
        Some(OwnerAnswer { samples, ..answer })
    }

    /// Adds finished samples from a second copy or a previous owner.
    pub(super) fn merge(
        &mut self,
        context: &mut Context<'_>,
        samples: impl Iterator<Item = FinishedSample>,
        running: &IndexSet,
    ) {
        let snapshot = self.snapshot(context);
        for sample in samples {
            let fresh = sample
                .label
                .is_fresh(self.version, snapshot.staleness_bound_versions);
            let index = sample.index;
            let is_open = self
                .sample_states
                .get(index as usize)
                .is_some_and(SampleState::is_open);
            if !is_open || !fresh || !sample.is_labelled() {
                continue;
            }
            context.counters.recovered += 1;
            self.cancel_attempts(context, index);
            self.sample_states[index as usize].set_stage(stage_of_finished(sample, snapshot));
        }
        self.wait_for_remote_attempts(context.now, running);
        self.apply_received(context);
    }

    /// Delays first attempts of samples that a previous owner still generates.
    ///
    /// The delay is limited and applied once: the previous owner starts no hedges, so a slow engine
    /// there would otherwise stall the step.
    fn wait_for_remote_attempts(&mut self, now: Timestamp, running: &IndexSet) {
        for (index, state) in (0u32..).zip(&mut self.sample_states) {
            match (
                running.contains(index),
                self.running_elsewhere.contains(index),
            ) {
                (true, false) => state.not_before = state.not_before.max(now + REMOTE_ATTEMPT_WAIT),
                (false, true) => state.not_before = now,
                (true, true) | (false, false) => {}
            }
        }
        self.running_elsewhere = running.clone();
    }

    /// Returns the indices of the samples with running attempts.
    pub(super) fn running(&self) -> IndexSet {
        let mut running = IndexSet::default();
        for (index, state) in (0u32..).zip(&self.sample_states) {
            if !state.running.is_empty() {
                let _ = running.insert(index);
            }
        }
        running
    }

    /// Returns whether a score request belongs to this step.
    pub(super) fn has_score_batch(&self, ticket: ScoreTicket) -> bool {
        self.score_batches
            .iter()
            .any(|batch| batch.ticket == ticket)
    }
}

/// Returns the stage of a newly finished sample.
pub(super) fn stage_of_finished(sample: FinishedSample, snapshot: PoolSnapshot) -> Stage {
    if snapshot.has_scorer && sample.score_milli.is_none() {
        Stage::Unscored(sample)
    } else {
        Stage::Ready(sample)
    }
}
