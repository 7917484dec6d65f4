//! Scoring of finished samples in bounded batches.

use super::context::Context;
use super::limits::BACK_OFF;
use super::limits::MAX_SCORE_BATCH;
use super::limits::MAX_SCORE_BATCHES;
use super::limits::SCORE_TIMEOUT;
use super::output::Score;
use super::output::ScoreFailure;
use super::output::ScoreItem;
use super::output::ScoreTicket;
use super::output::StepOutput;
use super::owner::OwnedStep;
use super::sample_state::SampleState;
use super::sample_state::Stage;
use crate::time::Timestamp;

/// A score request that hasn't been answered.
#[derive(Debug)]
pub(super) struct ScoreBatch {
    pub(super) ticket: ScoreTicket,
    sent_at: Timestamp,
}

impl OwnedStep {
    /// Requests scores of unscored samples and fails the requests that timed out.
    pub(super) fn request_scores(&mut self, context: &mut Context<'_>) {
        let is_timed_out = |batch: &ScoreBatch| context.now.since(batch.sent_at) >= SCORE_TIMEOUT;
        let timed_out = self
            .score_batches
            .iter()
            .filter(|batch| is_timed_out(batch));
        for ticket in timed_out.map(|batch| batch.ticket).collect::<Vec<_>>() {
            self.apply_scores(context, ticket, Err(ScoreFailure));
        }
        while self.score_batches.len() < MAX_SCORE_BATCHES
            && self.scorer_back_off.may_call(context.now)
        {
            if !self.request_score_batch(context) {
                return;
            }
        }
    }

    fn request_score_batch(&mut self, context: &mut Context<'_>) -> bool {
        let Some(spec) = self.spec.clone() else {
            return false;
        };
        let ticket = context.sequence.next_score_ticket();
        let is_unscored = |state: &&mut SampleState| matches!(state.stage, Stage::Unscored(_));
        let unscored = self.sample_states.iter_mut().filter(is_unscored);
        let mut items = Vec::new();
        for state in unscored.take(MAX_SCORE_BATCH) {
            let stage = std::mem::replace(&mut state.stage, Stage::Open);
            let Stage::Unscored(sample) = stage else {
                continue;
            };
            items.push(ScoreItem {
                index: sample.index,
                prompt: spec.prompt_of(sample.index).to_owned(),
                text: sample.text.clone(),
            });
            state.stage = Stage::Scoring(sample, ticket);
        }
        if items.is_empty() {
            return false;
        }
        let sent_at = context.now;
        self.score_batches.push(ScoreBatch { ticket, sent_at });
        context.out.push(StepOutput::Score {
            ticket,
            pool: self.pool.clone(),
            samples: items,
        });
        true
    }

    /// Applies scores; samples without a score are requested again.
    pub(super) fn apply_scores(
        &mut self,
        context: &mut Context<'_>,
        ticket: ScoreTicket,
        result: Result<Vec<Score>, ScoreFailure>,
    ) {
        self.score_batches.retain(|batch| batch.ticket != ticket);
        let scores = result.unwrap_or_default();
        let mut has_failed = false;
        for state in &mut self.sample_states {
            if !matches!(state.stage, Stage::Scoring(_, sent) if sent == ticket) {
                continue;
            }
            let stage = std::mem::replace(&mut state.stage, Stage::Open);
            let Stage::Scoring(mut sample, _) = stage else {
                continue;
            };
            let score = scores.iter().find(|score| score.index == sample.index);
            sample.score_milli = score.map(|score| score.score_milli);
            has_failed |= score.is_none();
            if sample.score_milli.is_some() {
                state.set_stage(Stage::Ready(sample));
            } else {
                state.stage = Stage::Unscored(sample);
            }
        }
        self.back_off_scorer(context, has_failed);
    }

    fn back_off_scorer(&mut self, context: &mut Context<'_>, has_failed: bool) {
        if !has_failed {
            self.scorer_back_off.record_success();
            return;
        }
        context.counters.score_failures += 1;
        let number = self.key.number.0.to_le_bytes();
        let seed = [self.key.trainer.as_str().as_bytes(), &number];
        self.scorer_back_off
            .record_failure(context.now, BACK_OFF, &seed);
    }
}
