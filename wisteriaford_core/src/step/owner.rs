//! A step at its owner: pulls come in, finished samples go out.

use std::sync::Arc;

use indexmap::IndexSet as OrderedSet;
use wisteriaford_proto::step::PullStatus;

use super::context::Context;
use super::limits::GATHER;
use super::limits::KEEPER_SILENCE;
use super::limits::MAX_ANSWER_BYTES;
use super::limits::MAX_ANSWER_SAMPLES;
use super::limits::RUNNING_ELSEWHERE;
use super::output::ScoreTicket;
use super::output::StepOutput;
use super::sample::FinishedSample;
use super::sample::SampleAttempt;
use super::slot::Slot;
use super::slot::Stage;
use super::spec::StepSpec;
use super::view::PoolFacts;
use crate::id::InstanceId;
use crate::id::PoolId;
use crate::id::PullNumber;
use crate::id::StepKey;
use crate::id::Version;
use crate::index_set::IndexSet;
use crate::time::Timestamp;

/// A pull as the owner sees it.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub(super) number: PullNumber,
    pub(super) received: IndexSet,
    pub(super) version: Version,
    pub(super) pool: PoolId,
    pub(super) spec: Option<Arc<StepSpec>>,
}

/// The owner's answer to an entry.
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
    pub(super) slots: Vec<Slot>,
    pub(super) received: IndexSet,
    pub(super) highest: PullNumber,
    pub(super) version: Version,
    pub(super) last_pull_at: Timestamp,
    pub(super) recover_until: Option<Timestamp>,
    pub(super) waiters: OrderedSet<InstanceId>,
    pub(super) ready_since: Option<Timestamp>,
    pub(super) keeper: Option<InstanceId>,
    pub(super) keeper_has_spec: bool,
    pub(super) copied_at: Option<Timestamp>,
    pub(super) draining_to: Option<InstanceId>,
    pub(super) running_told: IndexSet,
    pub(super) elsewhere: IndexSet,
    pub(super) group_tokens: Vec<u32>,
    pub(super) rate: super::work::Rate,
    pub(super) batches: Vec<super::scoring::ScoreBatch>,
    pub(super) score_failures: u32,
    pub(super) score_not_before: Timestamp,
}

impl OwnedStep {
    /// Returns a step that is not known yet; the keeper is asked until a deadline.
    pub(super) fn new(now: Timestamp, key: StepKey, pool: PoolId) -> Self {
        Self {
            key,
            pool,
            spec: None,
            slots: Vec::new(),
            received: IndexSet::default(),
            highest: PullNumber(0),
            version: Version(0),
            last_pull_at: now,
            recover_until: Some(now + KEEPER_SILENCE),
            waiters: OrderedSet::new(),
            ready_since: None,
            keeper: None,
            keeper_has_spec: false,
            copied_at: None,
            draining_to: None,
            running_told: IndexSet::default(),
            elsewhere: IndexSet::default(),
            group_tokens: Vec::new(),
            rate: super::work::Rate::default(),
            batches: Vec::new(),
            score_failures: 0,
            score_not_before: Timestamp(0),
        }
    }

    /// Returns what the owner knows of the pool.
    pub(super) fn facts(&self, context: &Context<'_>) -> PoolFacts {
        context.view.pool(&self.pool).unwrap_or_default()
    }

    /// Returns the number of samples of the whole step; 0 while it is not known.
    pub(super) fn total(&self) -> u32 {
        self.spec.as_ref().map_or(0, |spec| spec.total())
    }

    /// Returns whether the trainer holds every sample.
    pub(super) fn is_whole(&self) -> bool {
        self.spec.is_some() && self.received.len() == self.slots.len()
    }

    /// Returns whether the keeper may still answer.
    pub(super) fn is_recovering(&self, now: Timestamp) -> bool {
        self.recover_until.is_some_and(|until| now < until)
    }

    /// Takes a pull in and answers the entry that sent it.
    pub(super) fn offer(
        &mut self,
        context: &mut Context<'_>,
        from: &InstanceId,
        offer: Offer,
    ) -> OwnerAnswer {
        if offer.number < self.highest {
            return self.status(offer.number, PullStatus::Superseded);
        }
        let number = offer.number;
        if let Some(refused) = self.check_spec(&offer) {
            return self.status(number, refused);
        }
        self.last_pull_at = context.now;
        self.draining_to = None;
        self.version = self.version.max(offer.version);
        if number > self.highest {
            self.supersede_waiters(context);
            self.highest = number;
            self.received = offer.received;
        }
        self.waiters.insert(from.clone());
        if let Some(spec) = offer.spec {
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

    fn check_spec(&self, offer: &Offer) -> Option<PullStatus> {
        let known = self.spec.as_ref();
        let spec = known.or(offer.spec.as_ref())?;
        if offer.spec.as_ref().is_some_and(|offered| offered != spec) {
            return Some(PullStatus::SpecChanged);
        }
        let is_below = offer.received.is_below(spec.total());
        (!is_below).then_some(PullStatus::BadReceived)
    }

    fn supersede_waiters(&mut self, context: &mut Context<'_>) {
        let answer = self.status(self.highest, PullStatus::Superseded);
        let me = context.view.me();
        for waiter in std::mem::take(&mut self.waiters) {
            if waiter != me {
                let body = super::message::answer_body(&answer);
                context.send(&waiter, &self.key, body);
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

    /// Learns what the step is, if that is not known yet.
    pub(super) fn set_spec(&mut self, spec: Arc<StepSpec>) {
        if self.spec.is_some() {
            return;
        }
        self.slots = (0..spec.total()).map(|_| Slot::new()).collect();
        self.group_tokens = vec![0; spec.prompts.len()];
        self.spec = Some(spec);
    }

    /// Makes every sample's stage agree with the received set, which is the truth.
    pub(super) fn apply_received(&mut self, context: &mut Context<'_>) {
        for index in 0..self.total() {
            let is_received = self.received.contains(index);
            let slot = &mut self.slots[index as usize];
            match (is_received, &slot.stage) {
                (true, Stage::Received) => {}
                (true, _) => {
                    slot.set(Stage::Received);
                    self.cancel_attempts(context, index);
                }
                (false, Stage::Received) => slot.set(Stage::Open),
                (false, _) => {}
            }
        }
    }

    /// Cancels all attempts of a sample.
    pub(super) fn cancel_attempts(&mut self, context: &mut Context<'_>, index: u32) {
        let running = std::mem::take(&mut self.slots[index as usize].running);
        for attempt in running {
            context.counters.cancelled += 1;
            context.out.push(StepOutput::Cancel(SampleAttempt {
                key: self.key.clone(),
                index,
                try_number: attempt.try_number,
            }));
        }
    }

    /// Cancels all attempts.
    pub(super) fn cancel_all(&mut self, context: &mut Context<'_>) {
        for index in 0..self.total() {
            self.cancel_attempts(context, index);
        }
    }

    /// Makes samples again that became too old for the trainer's version.
    pub(super) fn discard_too_old(&mut self, context: &mut Context<'_>) {
        let bound = self.facts(context).staleness_bound_versions;
        let version = self.version;
        for slot in &mut self.slots {
            let label = slot.finished().map(|sample| &sample.label);
            if label.is_some_and(|label| !label.is_fresh(version, bound)) {
                context.counters.too_old += 1;
                slot.set(Stage::Open);
            }
        }
    }

    /// Returns the answer that is due now: ready samples, or that the step is whole.
    pub(super) fn answer(&mut self, context: &Context<'_>) -> Option<OwnerAnswer> {
        let ready = self.slots.iter().filter_map(Slot::ready);
        let ready_count = ready.clone().count();
        if ready_count == 0 {
            self.ready_since = None;
            let whole = self.is_whole();
            return whole.then(|| self.status(self.highest, PullStatus::Ready));
        }
        let since = *self.ready_since.get_or_insert(context.now);
        let has_gathered = context.now.since(since) >= GATHER;
        let is_last = ready_count + self.received.len() == self.slots.len();
        if !has_gathered && !is_last && ready_count < MAX_ANSWER_SAMPLES {
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
        let answer = self.status(self.highest, PullStatus::Ready);
        Some(OwnerAnswer { samples, ..answer })
    }

    /// Takes finished samples of a second copy or a previous owner in.
    pub(super) fn merge(
        &mut self,
        context: &mut Context<'_>,
        samples: impl Iterator<Item = FinishedSample>,
        running: &IndexSet,
    ) {
        let facts = self.facts(context);
        for sample in samples {
            let fresh = sample
                .label
                .is_fresh(self.version, facts.staleness_bound_versions);
            let index = sample.index;
            let is_open = self.slots.get(index as usize).is_some_and(Slot::is_open);
            if !is_open || !fresh || !sample.is_labelled() {
                continue;
            }
            context.counters.recovered += 1;
            self.cancel_attempts(context, index);
            self.slots[index as usize].set(finished_stage(sample, facts));
        }
        self.wait_elsewhere(context.now, running);
        self.apply_received(context);
    }

    /// Holds first attempts back that a previous owner still runs, but once and for a while only:
    /// that owner starts no second attempt, so a slow engine there would stall the step.
    fn wait_elsewhere(&mut self, now: Timestamp, running: &IndexSet) {
        for (index, slot) in (0u32..).zip(&mut self.slots) {
            match (running.contains(index), self.elsewhere.contains(index)) {
                (true, false) => slot.not_before = slot.not_before.max(now + RUNNING_ELSEWHERE),
                (false, true) => slot.not_before = now,
                (true, true) | (false, false) => {}
            }
        }
        self.elsewhere = running.clone();
    }

    /// Returns the indices that attempts run for.
    pub(super) fn running(&self) -> IndexSet {
        let mut running = IndexSet::default();
        for (index, slot) in (0u32..).zip(&self.slots) {
            if !slot.running.is_empty() {
                let _ = running.insert(index);
            }
        }
        running
    }

    /// Returns the score request that a sample is part of.
    pub(super) fn has_batch(&self, ticket: ScoreTicket) -> bool {
        self.batches.iter().any(|batch| batch.ticket == ticket)
    }
}

/// Returns the stage of a sample that was just finished.
pub(super) fn finished_stage(sample: FinishedSample, facts: PoolFacts) -> Stage {
    if facts.has_scorer && sample.score_milli.is_none() {
        Stage::Unscored(sample)
    } else {
        Stage::Ready(sample)
    }
}
