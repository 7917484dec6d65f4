//! Scheduling of a step's attempts: first attempts, hedges, and their results.

use std::time::Duration;

use super::context::Context;
use super::limits::BACK_OFF;
use super::limits::HEDGE_REMAINDER_DIVISOR;
use super::limits::MAX_ATTEMPT_WINDOW;
use super::limits::MAX_HEDGES;
use super::limits::MIN_ATTEMPT_WINDOW;
use super::limits::OVERDUE_GRACE;
use super::limits::OVERDUE_WITHOUT_ESTIMATE;
use super::limits::START_IDLE_TIMEOUT;
use super::output::AttemptStart;
use super::output::StepOutput;
use super::owner::OwnedStep;
use super::owner::stage_of_finished;
use super::sample::FinishedSample;
use super::sample::SampleAttempt;
use super::sample::SampleFailure;
use super::sample_state::RunningAttempt;
use super::sample_state::SampleState;
use super::spec::sample_seed;
use crate::id::EndpointId;
use crate::id::StepKey;
use crate::label::oldest_allowed;
use crate::time::Timestamp;

const BYTES_PER_TOKEN: usize = 4;

/// Generation speed over the step's finished attempts, from start to end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GenerationSpeed {
    tokens: u64,
    duration_us: u64,
}

impl GenerationSpeed {
    fn add(&mut self, tokens: u32, duration: Duration) {
        self.tokens += u64::from(tokens);
        self.duration_us += u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    }

    /// Returns the expected duration of an attempt with so many tokens, or `None` without data.
    fn expected_duration(&self, tokens: u32) -> Option<Duration> {
        let duration_us = u128::from(self.duration_us) * u128::from(tokens);
        let duration_us = duration_us.checked_div(u128::from(self.tokens))?;
        Some(Duration::from_micros(u64::try_from(duration_us).ok()?))
    }
}

impl OwnedStep {
    /// Returns the number of samples that still have to be generated.
    pub(super) fn unfinished_count(&self) -> usize {
        self.sample_states
            .iter()
            .filter(|state| state.is_open())
            .count()
    }

    /// Returns the number of running attempts that have generated no token.
    pub(super) fn attempts_without_progress(&self) -> usize {
        let running = self.sample_states.iter().flat_map(|state| &state.running);
        running.filter(|attempt| attempt.tokens == 0).count()
    }

    /// Returns whether a first attempt can start now.
    pub(super) fn can_start_first_attempt(&self, now: Timestamp) -> bool {
        self.may_start(now)
            && self
                .sample_states
                .iter()
                .any(|state| state.is_startable(now))
    }

    fn may_start(&self, now: Timestamp) -> bool {
        let is_pulled = now.since(self.last_pull_at) < START_IDLE_TIMEOUT;
        is_pulled && self.handing_over_to.is_none() && !self.is_recovering(now)
    }

    /// Starts first attempts, likely stragglers first, and returns their number.
    ///
    /// `free_slots` doesn't count the slots needed by attempts without progress.
    pub(super) fn start_first_attempts(
        &mut self,
        context: &mut Context<'_>,
        free_slots: usize,
    ) -> usize {
        let now = context.now;
        if !self.can_start_first_attempt(now) {
            return 0;
        }
        let waiting = self.attempts_without_progress();
        let guaranteed = MIN_ATTEMPT_WINDOW.saturating_sub(waiting);
        let remaining = MAX_ATTEMPT_WINDOW.saturating_sub(waiting);
        let count = free_slots.max(guaranteed).min(remaining);
        let startable = (0u32..).zip(&self.sample_states);
        let startable = startable.filter(|(_, state)| state.is_startable(now));
        let mut indices: Vec<u32> = startable.map(|(index, _)| index).collect();
        indices.sort_by_key(|&index| std::cmp::Reverse(self.expected_tokens(index)));
        indices.truncate(count);
        for &index in &indices {
            self.start_attempt(context, index);
        }
        indices.len()
    }

    /// Starts hedges for the most overdue samples and returns their number.
    pub(super) fn start_hedges(&mut self, context: &mut Context<'_>, free_slots: usize) -> usize {
        let max_unfinished = (self.sample_states.len() / HEDGE_REMAINDER_DIVISOR).max(MAX_HEDGES);
        if !self.may_start(context.now) || self.unfinished_count() > max_unfinished {
            return 0;
        }
        let hedged = self
            .sample_states
            .iter()
            .filter(|state| state.running.len() > 1);
        let remaining = MAX_HEDGES.saturating_sub(hedged.count());
        let mut overdue: Vec<(Duration, u32)> = (0u32..)
            .zip(&self.sample_states)
            .filter_map(|(index, state)| Some((self.overdue_by(context.now, state)?, index)))
            .collect();
        overdue.sort_by_key(|&by| std::cmp::Reverse(by));
        overdue.truncate(remaining.min(free_slots));
        for &(_, index) in &overdue {
            context.counters.hedges += 1;
            self.start_attempt(context, index);
        }
        overdue.len()
    }

    /// Returns by how much the only attempt of a sample is overdue, or `None` if no hedge is due.
    fn overdue_by(&self, now: Timestamp, state: &SampleState) -> Option<Duration> {
        let [attempt] = state.running.as_slice() else {
            return None;
        };
        let elapsed = now.since(attempt.started_at);
        match self.generation_speed.expected_duration(attempt.tokens) {
            Some(expected) => elapsed.checked_sub(expected + OVERDUE_GRACE),
            None => elapsed.checked_sub(OVERDUE_WITHOUT_ESTIMATE),
        }
    }

    /// Estimates a sample's length from the longest one of its group so far, or from its prompt.
    fn expected_tokens(&self, index: u32) -> u32 {
        let Some(spec) = &self.spec else { return 0 };
        let seen = self.longest_in_group[spec.group_of(index) as usize];
        let prompt_len = spec.prompt_of(index).len() / BYTES_PER_TOKEN;
        let estimate = u32::try_from(prompt_len).unwrap_or(u32::MAX);
        if seen > 0 { seen } else { estimate }.min(spec.max_tokens)
    }

    /// Returns the priority of a sample: nearly complete steps first, then long samples.
    fn rank(&self, index: u32) -> u32 {
        let unfinished = u16::try_from(self.unfinished_count()).unwrap_or(u16::MAX);
        let length = u16::try_from(self.expected_tokens(index)).unwrap_or(u16::MAX);
        (u32::from(u16::MAX - unfinished) << 16) | u32::from(length)
    }

    fn start_attempt(&mut self, context: &mut Context<'_>, index: u32) {
        let Some(spec) = self.spec.clone() else {
            return;
        };
        let bound = self.snapshot(context).staleness_bound_versions;
        let rank = self.rank(index);
        let attempt_number = context.sequence.next_attempt();
        let running = &mut self.sample_states[index as usize].running;
        let excluded_endpoints: Vec<EndpointId> =
            running.iter().filter_map(|a| a.endpoint.clone()).collect();
        running.push(RunningAttempt {
            attempt_number,
            started_at: context.now,
            endpoint: None,
            tokens: 0,
        });
        context.counters.started += 1;
        context.out.push(StepOutput::Start(AttemptStart {
            attempt: SampleAttempt {
                key: self.key.clone(),
                index,
                attempt_number,
            },
            pool: self.pool.clone(),
            prompt: spec.prompt_of(index).to_owned(),
            seed: sample_seed(&self.key, index),
            max_tokens: spec.max_tokens,
            rank,
            oldest_version: oldest_allowed(self.version, bound),
            excluded_endpoints,
        }));
    }

    /// Records the endpoint and the number of generated tokens of an attempt.
    pub(super) fn record_progress(
        &mut self,
        attempt: &SampleAttempt,
        endpoint: &EndpointId,
        tokens: u32,
    ) -> Option<()> {
        let state = self.sample_states.get_mut(attempt.index as usize)?;
        let mut running = state.running.iter_mut();
        let running = running.find(|running| running.attempt_number == attempt.attempt_number)?;
        running.endpoint = Some(endpoint.clone());
        running.tokens = running.tokens.max(tokens);
        self.record_length(attempt.index, tokens);
        Some(())
    }

    fn record_length(&mut self, index: u32, tokens: u32) {
        let Some(spec) = &self.spec else { return };
        let longest = &mut self.longest_in_group[spec.group_of(index) as usize];
        *longest = tokens.max(*longest);
    }

    /// Handles the end of an attempt; the end of a cancelled attempt is ignored.
    pub(super) fn finish_attempt(
        &mut self,
        context: &mut Context<'_>,
        attempt: &SampleAttempt,
        result: Result<FinishedSample, SampleFailure>,
    ) -> Option<()> {
        let state = self.sample_states.get_mut(attempt.index as usize)?;
        let is_match = |running: &RunningAttempt| running.attempt_number == attempt.attempt_number;
        let position = state.running.iter().position(is_match)?;
        let running = state.running.swap_remove(position);
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
        // The driver doesn't know how the step is divided into groups.
        sample.group = self.spec.as_ref().map_or(0, |spec| spec.group_of(index));
        let snapshot = self.snapshot(context);
        let bound = snapshot.staleness_bound_versions;
        let is_unlabelled = !sample.is_labelled() || sample.index != index;
        let is_too_old = !sample.label.is_fresh(self.version, bound);
        if is_unlabelled || is_too_old {
            context.counters.unlabelled += u64::from(is_unlabelled);
            context.counters.too_old += u64::from(is_too_old && !is_unlabelled);
            self.back_off(context.now, index);
            return;
        }
        let duration = context.now.since(running.started_at);
        self.generation_speed.add(sample.tokens, duration);
        self.record_length(index, sample.tokens);
        self.cancel_attempts(context, index);
        let state = &mut self.sample_states[index as usize];
        state.failures = 0;
        state.set_stage(stage_of_finished(sample, snapshot));
    }

    fn back_off(&mut self, now: Timestamp, index: u32) {
        let state = &mut self.sample_states[index as usize];
        state.not_before = now + back_off_duration(&self.key, u64::from(index), state.failures);
        state.failures = state.failures.saturating_add(1);
    }
}

/// Returns the jittered back-off after a failure that follows `failures` previous ones.
fn back_off_duration(key: &StepKey, subject: u64, failures: u32) -> Duration {
    let trainer = key.trainer.as_str().as_bytes();
    let number = key.number.0.to_le_bytes();
    BACK_OFF.delay(&[trainer, &number, &subject.to_le_bytes()], failures)
}
