//! Order of a step's work: first attempts, second attempts, and what became of them.

use std::time::Duration;

use super::context::Context;
use super::limits::BACK_OFF_BASE;
use super::limits::BACK_OFF_MAX;
use super::limits::MAX_SECOND_ATTEMPTS;
use super::limits::MAX_START_WINDOW;
use super::limits::MIN_START_WINDOW;
use super::limits::OVERDUE;
use super::limits::OVERDUE_UNKNOWN;
use super::limits::SECOND_ATTEMPT_DIVISOR;
use super::limits::START_IDLE;
use super::output::Start;
use super::output::StepOutput;
use super::owner::OwnedStep;
use super::owner::finished_stage;
use super::sample::FinishedSample;
use super::sample::SampleAttempt;
use super::sample::SampleFailure;
use super::slot::RunningAttempt;
use super::slot::Slot;
use super::spec::sample_seed;
use crate::hash::hash_parts;
use crate::id::EndpointId;
use crate::id::StepKey;
use crate::label::oldest_allowed;
use crate::time::Timestamp;

const BYTES_PER_TOKEN: usize = 4;
const MAX_BACK_OFF_DOUBLINGS: u32 = 6;

/// Speed of the step's finished attempts, from start to end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    tokens: u64,
    time_us: u64,
}

impl Rate {
    fn add(&mut self, tokens: u32, time: Duration) {
        self.tokens += u64::from(tokens);
        self.time_us += u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    }

    /// Returns how long an attempt with these tokens usually takes; none without experience.
    fn expected(&self, tokens: u32) -> Option<Duration> {
        let time_us = u128::from(self.time_us) * u128::from(tokens);
        let time_us = time_us.checked_div(u128::from(self.tokens))?;
        Some(Duration::from_micros(u64::try_from(time_us).ok()?))
    }
}

impl OwnedStep {
    /// Returns the number of samples that still have to be made.
    pub(super) fn open_count(&self) -> usize {
        self.slots.iter().filter(|slot| slot.is_open()).count()
    }

    /// Returns the number of attempts that show no progress yet.
    pub(super) fn waiting_count(&self) -> usize {
        let running = self.slots.iter().flat_map(|slot| &slot.running);
        running.filter(|attempt| attempt.tokens == 0).count()
    }

    /// Returns whether first attempts could start now.
    pub(super) fn has_startable(&self, now: Timestamp) -> bool {
        self.may_work(now) && self.slots.iter().any(|slot| slot.is_startable(now))
    }

    fn may_work(&self, now: Timestamp) -> bool {
        let is_pulled = now.since(self.last_pull_at) < START_IDLE;
        is_pulled && self.draining_to.is_none() && !self.is_recovering(now)
    }

    /// Starts first attempts, likely stragglers first; returns how many.
    ///
    /// `free_slots` are those that no attempt without progress is going to take.
    pub(super) fn start_first(&mut self, context: &mut Context<'_>, free_slots: usize) -> usize {
        let now = context.now;
        if !self.has_startable(now) {
            return 0;
        }
        let waiting = self.waiting_count();
        let guaranteed = MIN_START_WINDOW.saturating_sub(waiting);
        let room = MAX_START_WINDOW.saturating_sub(waiting);
        let count = free_slots.max(guaranteed).min(room);
        let startable = (0u32..).zip(&self.slots);
        let startable = startable.filter(|(_, slot)| slot.is_startable(now));
        let mut indices: Vec<u32> = startable.map(|(index, _)| index).collect();
        indices.sort_by_key(|&index| std::cmp::Reverse(self.expected_tokens(index)));
        indices.truncate(count);
        for &index in &indices {
            self.start(context, index);
        }
        indices.len()
    }

    /// Starts second attempts of the samples furthest past their time; returns how many.
    pub(super) fn start_second(&mut self, context: &mut Context<'_>, free_slots: usize) -> usize {
        let few = (self.slots.len() / SECOND_ATTEMPT_DIVISOR).max(MAX_SECOND_ATTEMPTS);
        if !self.may_work(context.now) || self.open_count() > few {
            return 0;
        }
        let seconds = self.slots.iter().filter(|slot| slot.running.len() > 1);
        let room = MAX_SECOND_ATTEMPTS.saturating_sub(seconds.count());
        let mut overdue: Vec<(Duration, u32)> = (0u32..)
            .zip(&self.slots)
            .filter_map(|(index, slot)| Some((self.overdue(context.now, slot)?, index)))
            .collect();
        overdue.sort_by_key(|&late| std::cmp::Reverse(late));
        overdue.truncate(room.min(free_slots));
        for &(_, index) in &overdue {
            context.counters.second_attempts += 1;
            self.start(context, index);
        }
        overdue.len()
    }

    /// Returns by how much the only attempt of a sample is past its time, if a second is due.
    fn overdue(&self, now: Timestamp, slot: &Slot) -> Option<Duration> {
        let [attempt] = slot.running.as_slice() else {
            return None;
        };
        let elapsed = now.since(attempt.started_at);
        match self.rate.expected(attempt.tokens) {
            Some(expected) => elapsed.checked_sub(expected + OVERDUE),
            None => elapsed.checked_sub(OVERDUE_UNKNOWN),
        }
    }

    /// Returns how long a sample is likely to get: as long as its group's longest so far.
    fn expected_tokens(&self, index: u32) -> u32 {
        let Some(spec) = &self.spec else { return 0 };
        let seen = self.group_tokens[spec.group_of(index) as usize];
        let prompt_len = spec.prompt_of(index).len() / BYTES_PER_TOKEN;
        let guess = u32::try_from(prompt_len).unwrap_or(u32::MAX);
        if seen > 0 { seen } else { guess }.min(spec.max_tokens)
    }

    /// Returns the order of a sample among the trainer's work: nearly whole steps, then long ones.
    fn rank(&self, index: u32) -> u32 {
        let remaining = u16::try_from(self.open_count()).unwrap_or(u16::MAX);
        let length = u16::try_from(self.expected_tokens(index)).unwrap_or(u16::MAX);
        (u32::from(u16::MAX - remaining) << 16) | u32::from(length)
    }

    fn start(&mut self, context: &mut Context<'_>, index: u32) {
        let Some(spec) = self.spec.clone() else {
            return;
        };
        let bound = self.facts(context).staleness_bound_versions;
        let rank = self.rank(index);
        let try_number = context.sequence.attempt();
        let running = &mut self.slots[index as usize].running;
        let avoid: Vec<EndpointId> = running.iter().filter_map(|a| a.endpoint.clone()).collect();
        running.push(RunningAttempt {
            try_number,
            started_at: context.now,
            endpoint: None,
            tokens: 0,
        });
        context.counters.started += 1;
        context.out.push(StepOutput::Start(Start {
            attempt: SampleAttempt {
                key: self.key.clone(),
                index,
                try_number,
            },
            pool: self.pool.clone(),
            prompt: spec.prompt_of(index).to_owned(),
            seed: sample_seed(&self.key, index),
            max_tokens: spec.max_tokens,
            rank,
            oldest_version: oldest_allowed(self.version, bound),
            avoid,
        }));
    }

    /// Notes how far an attempt is, and where.
    pub(super) fn progress(
        &mut self,
        attempt: &SampleAttempt,
        endpoint: &EndpointId,
        tokens: u32,
    ) -> Option<()> {
        let slot = self.slots.get_mut(attempt.index as usize)?;
        let mut running = slot.running.iter_mut();
        let running = running.find(|running| running.try_number == attempt.try_number)?;
        running.endpoint = Some(endpoint.clone());
        running.tokens = running.tokens.max(tokens);
        self.note_length(attempt.index, tokens);
        Some(())
    }

    fn note_length(&mut self, index: u32, tokens: u32) {
        let Some(spec) = &self.spec else { return };
        let longest = &mut self.group_tokens[spec.group_of(index) as usize];
        *longest = tokens.max(*longest);
    }

    /// Takes the end of an attempt in; ends of attempts that were cancelled change nothing.
    pub(super) fn finish(
        &mut self,
        context: &mut Context<'_>,
        attempt: &SampleAttempt,
        result: Result<FinishedSample, SampleFailure>,
    ) -> Option<()> {
        let slot = self.slots.get_mut(attempt.index as usize)?;
        let is_it = |running: &RunningAttempt| running.try_number == attempt.try_number;
        let place = slot.running.iter().position(is_it)?;
        let running = slot.running.swap_remove(place);
        match result {
            Ok(sample) => self.finish_sample(context, attempt.index, &running, sample),
            Err(failure) => self.fail_attempt(context, attempt.index, failure),
        }
        Some(())
    }

    fn fail_attempt(&mut self, context: &mut Context<'_>, index: u32, failure: SampleFailure) {
        let counter = match failure {
            SampleFailure::Refused => &mut context.counters.attempts_refused,
            SampleFailure::Lost => &mut context.counters.attempts_lost,
            SampleFailure::Incomplete => &mut context.counters.attempts_incomplete,
        };
        *counter += 1;
        self.back_off(context.now, index);
    }

    fn finish_sample(
        &mut self,
        context: &mut Context<'_>,
        index: u32,
        running: &RunningAttempt,
        mut sample: FinishedSample,
    ) {
        // The driver knows the attempt alone, not how the step is divided.
        sample.group = self.spec.as_ref().map_or(0, |spec| spec.group_of(index));
        let facts = self.facts(context);
        let bound = facts.staleness_bound_versions;
        let is_unlabelled = !sample.is_labelled() || sample.index != index;
        let is_too_old = !sample.label.is_fresh(self.version, bound);
        if is_unlabelled || is_too_old {
            context.counters.unlabelled += u64::from(is_unlabelled);
            context.counters.too_old += u64::from(is_too_old && !is_unlabelled);
            self.back_off(context.now, index);
            return;
        }
        let time = context.now.since(running.started_at);
        self.rate.add(sample.tokens, time);
        self.note_length(index, sample.tokens);
        self.cancel_attempts(context, index);
        let slot = &mut self.slots[index as usize];
        slot.failures = 0;
        slot.set(finished_stage(sample, facts));
    }

    fn back_off(&mut self, now: Timestamp, index: u32) {
        let slot = &mut self.slots[index as usize];
        slot.not_before = now + back_off(&self.key, u64::from(index), slot.failures);
        slot.failures = slot.failures.saturating_add(1);
    }
}

/// Returns the jittered time to wait after a failure that `failures` others went before.
pub(super) fn back_off(key: &StepKey, what: u64, failures: u32) -> Duration {
    let doubled = BACK_OFF_BASE * (1 << failures.min(MAX_BACK_OFF_DOUBLINGS));
    let longest = doubled.min(BACK_OFF_MAX);
    let number = key.number.0.to_le_bytes();
    let trainer = key.trainer.as_str().as_bytes();
    let hash = hash_parts(&[
        trainer,
        &number,
        &what.to_le_bytes(),
        &failures.to_le_bytes(),
    ]);
    let jitter_percent = u32::try_from(hash % 51).unwrap_or(0);
    longest * (50 + jitter_percent) / 100
}
