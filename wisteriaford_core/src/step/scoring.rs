//! Scores of finished samples, asked for in bounded batches.

use super::context::Context;
use super::limits::MAX_SCORE_BATCH;
use super::limits::MAX_SCORE_BATCHES;
use super::limits::SCORE_TIMEOUT;
use super::output::Score;
use super::output::ScoreFailure;
use super::output::ScoreItem;
use super::output::ScoreTicket;
use super::output::StepOutput;
use super::owner::OwnedStep;
use super::slot::Slot;
use super::slot::Stage;
use super::work::back_off;
use crate::time::Timestamp;

/// Score request on its way.
#[derive(Debug)]
pub(super) struct ScoreBatch {
    pub(super) ticket: ScoreTicket,
    sent_at: Timestamp,
}

impl OwnedStep {
    /// Asks for scores of samples that have none, and gives up on requests without an answer.
    pub(super) fn ask_scores(&mut self, context: &mut Context<'_>) {
        let is_late = |batch: &ScoreBatch| context.now.since(batch.sent_at) >= SCORE_TIMEOUT;
        let late = self.batches.iter().filter(|batch| is_late(batch));
        for ticket in late.map(|batch| batch.ticket).collect::<Vec<_>>() {
            self.scored(context, ticket, Err(ScoreFailure));
        }
        while self.batches.len() < MAX_SCORE_BATCHES && context.now >= self.score_not_before {
            if !self.ask_batch(context) {
                return;
            }
        }
    }

    fn ask_batch(&mut self, context: &mut Context<'_>) -> bool {
        let Some(spec) = self.spec.clone() else {
            return false;
        };
        let ticket = context.sequence.score();
        let is_unscored = |slot: &&mut Slot| matches!(slot.stage, Stage::Unscored(_));
        let unscored = self.slots.iter_mut().filter(is_unscored);
        let mut items = Vec::new();
        for slot in unscored.take(MAX_SCORE_BATCH) {
            let stage = std::mem::replace(&mut slot.stage, Stage::Open);
            let Stage::Unscored(sample) = stage else {
                continue;
            };
            items.push(ScoreItem {
                index: sample.index,
                prompt: spec.prompt_of(sample.index).to_owned(),
                text: sample.text.clone(),
            });
            slot.stage = Stage::Scoring(sample, ticket);
        }
        if items.is_empty() {
            return false;
        }
        let sent_at = context.now;
        self.batches.push(ScoreBatch { ticket, sent_at });
        context.out.push(StepOutput::Score {
            ticket,
            pool: self.pool.clone(),
            samples: items,
        });
        true
    }

    /// Takes scores in; samples without one are asked for again.
    pub(super) fn scored(
        &mut self,
        context: &mut Context<'_>,
        ticket: ScoreTicket,
        result: Result<Vec<Score>, ScoreFailure>,
    ) {
        self.batches.retain(|batch| batch.ticket != ticket);
        let scores = result.unwrap_or_default();
        let mut has_failed = false;
        for slot in &mut self.slots {
            if !matches!(slot.stage, Stage::Scoring(_, at) if at == ticket) {
                continue;
            }
            let stage = std::mem::replace(&mut slot.stage, Stage::Open);
            let Stage::Scoring(mut sample, _) = stage else {
                continue;
            };
            let score = scores.iter().find(|score| score.index == sample.index);
            sample.score_milli = score.map(|score| score.score_milli);
            has_failed |= score.is_none();
            if sample.score_milli.is_some() {
                slot.set(Stage::Ready(sample));
            } else {
                slot.stage = Stage::Unscored(sample);
            }
        }
        self.back_off_scorer(context, has_failed);
    }

    fn back_off_scorer(&mut self, context: &mut Context<'_>, has_failed: bool) {
        if !has_failed {
            self.score_failures = 0;
            return;
        }
        context.counters.score_failures += 1;
        let wait = back_off(&self.key, u64::MAX, self.score_failures);
        self.score_not_before = context.now + wait;
        self.score_failures = self.score_failures.saturating_add(1);
    }
}
