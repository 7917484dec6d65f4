//! Integration of the training step logic: its view of the fleet and its outputs.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use compact_str::format_compact;
use indexmap::IndexMap;
use wisteriaford_proto::fleet::Availability;

use super::Instance;
use crate::counters::Counter;
use crate::effect::Effect;
use crate::event::Ticket;
use crate::exchange::Exchange;
use crate::id::InstanceId;
use crate::id::PoolId;
use crate::id::RequestId;
use crate::id::StepKey;
use crate::placement::Placement;
use crate::refusal::RetryReason;
use crate::reply::Reply;
use crate::request::ActiveRequest;
use crate::request::Origin;
use crate::request::PartialAnswer;
use crate::request::Phase;
use crate::settings::Pool;
use crate::settings::Settings;
use crate::step::AttemptStart;
use crate::step::FinishedSample;
use crate::step::PoolSnapshot;
use crate::step::SampleAttempt;
use crate::step::SampleFailure;
use crate::step::ScoreFailure;
use crate::step::ScoreItem;
use crate::step::ScoreTicket;
use crate::step::StepCounters;
use crate::step::StepOutput;
use crate::step::StepView;
use crate::step::Steps;
use crate::time::Timestamp;
use crate::work::Generation;
use crate::work::Request;
use crate::work::Work;

/// Timeout of a sample attempt; the step continues without an attempt that takes longer.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(480);

/// The fleet as the step logic sees it.
struct FleetView<'a> {
    me: &'a InstanceId,
    placement: &'a dyn Placement,
    settings: &'a Settings,
    exchange: &'a Exchange,
    /// Cache of computed pool snapshots.
    pools: RefCell<IndexMap<PoolId, PoolSnapshot>>,
}

impl StepView for FleetView<'_> {
    fn me(&self) -> InstanceId {
        self.me.clone()
    }

    fn owner_of(&self, key: &StepKey) -> Option<InstanceId> {
        self.placement.owner(key).map(|owner| owner.id.clone())
    }

    fn replica_of(&self, key: &StepKey) -> Option<InstanceId> {
        self.placement
            .replica(key)
            .map(|replica| replica.id.clone())
    }

    fn pool(&self, pool: &PoolId) -> Option<PoolSnapshot> {
        if let Some(snapshot) = self.pools.borrow().get(pool) {
            return Some(*snapshot);
        }
        let pool = self.settings.pools.get(pool)?;
        pool.model.as_ref()?;
        let snapshot = PoolSnapshot {
            staleness_bound_versions: pool.staleness_bound_versions,
            has_scorer: pool.scorer_address.is_some(),
            free_slots: self.free_slots(pool),
        };
        self.pools.borrow_mut().insert(pool.id.clone(), snapshot);
        Some(snapshot)
    }
}

impl FleetView<'_> {
    /// Estimates the free slots of a pool from the last reported endpoint states.
    fn free_slots(&self, pool: &Pool) -> usize {
        let endpoints = pool.endpoints.iter();
        endpoints
            .filter_map(|id| self.settings.endpoints.get(id))
            .filter_map(|endpoint| {
                let state = self.exchange.endpoint_state(&endpoint.id)?;
                let is_serving = state.availability() == Availability::Serving;
                let occupied = (state.in_flight + state.queued) as usize;
                is_serving.then(|| endpoint.slots.saturating_sub(occupied))
            })
            .sum()
    }
}

impl Instance {
    /// Runs an operation of the step logic and executes its outputs.
    pub(super) fn with_steps(
        &mut self,
        now: Timestamp,
        operation: impl FnOnce(&mut Steps, &dyn StepView, &mut Vec<StepOutput>),
    ) {
        let mut outputs = Vec::new();
        let view = FleetView {
            me: &self.identity.id,
            placement: &self.placement,
            settings: &self.settings,
            exchange: &self.exchange,
            pools: RefCell::default(),
        };
        let before = self.steps.counters();
        operation(&mut self.steps, &view, &mut outputs);
        self.record_step_counters(before);
        for output in outputs {
            self.on_step_output(now, output);
        }
    }

    /// Adds the increase of the step logic's counters since `before` to the instance counters.
    fn record_step_counters(&mut self, before: StepCounters) {
        let after = self.steps.counters();
        let too_old = after.too_old - before.too_old;
        let hedges = after.hedges - before.hedges;
        let score_failures = after.score_failures - before.score_failures;
        let refused = after.attempts_refused - before.attempts_refused;
        let lost = after.attempts_lost - before.attempts_lost;
        let incomplete = after.attempts_incomplete - before.attempts_incomplete;
        let counters = &mut self.counters;
        counters.add(Counter::SamplesTooOld, too_old);
        counters.add(Counter::Hedges, hedges);
        counters.add_retries(RetryReason::SampleTooOld, too_old);
        counters.add_retries(RetryReason::Straggler, hedges);
        counters.add_retries(RetryReason::ScorerFailed, score_failures);
        counters.add_retries(RetryReason::SlotLost, refused);
        counters.add_retries(RetryReason::ConnectionLost, lost + incomplete);
    }

    fn on_step_output(&mut self, now: Timestamp, output: StepOutput) {
        match output {
            StepOutput::Start(start) => self.start_sample(now, start),
            StepOutput::Cancel(attempt) => self.cancel_sample(now, &attempt),
            StepOutput::Score {
                ticket,
                pool,
                samples,
            } => self.request_scores(now, ticket, &pool, samples),
            StepOutput::Answer { ticket, answer } => {
                let samples = answer.samples.len() as u64;
                self.counters.add(Counter::Samples, samples);
                self.reply(Ticket(ticket.0), Reply::Pulled(answer));
            }
            StepOutput::Refuse { ticket, reason } => self.refuse_pull(ticket, reason),
            StepOutput::Send { to, message } => self.send_step_message(now, &to, message),
        }
    }

    fn start_sample(&mut self, now: Timestamp, start: AttemptStart) {
        let trainer = start.attempt.key.trainer.clone();
        if let Err(refusal) = self.limits.admit(now, &trainer) {
            self.counters.record_refusal(refusal.reason);
            self.report_sample_finished(now, &start.attempt, Err(SampleFailure::Refused));
            return;
        }
        let id = sample_request_id(&self.identity.id, &start.attempt);
        let work = Work::Generate(Generation {
            prompt: Arc::from(start.prompt),
            seed: start.seed,
            max_tokens: start.max_tokens,
        });
        let fingerprint = work.fingerprint();
        let request = Request {
            id,
            caller: start.attempt.key.trainer.clone(),
            pool: start.pool,
            work,
            deadline: now + SAMPLE_TIMEOUT,
        };
        let priority = wisteriaford_proto::settings::Priority::Batch;
        self.start(
            now,
            ActiveRequest {
                request,
                origin: Origin::Sample(start.attempt),
                priority,
                rank: start.rank,
                oldest_version: start.oldest_version,
                idempotent: true,
                fingerprint,
                accepted_at: now,
                phase: Phase::RequestingSlot(Vec::new()),
                partial: PartialAnswer::default(),
                excluded_endpoints: start.excluded_endpoints,
                second_choice: None,
                failures: 0,
                may_have_run: false,
                alone: false,
            },
        );
    }

    fn cancel_sample(&mut self, now: Timestamp, attempt: &SampleAttempt) {
        let request = sample_request_id(&self.identity.id, attempt);
        self.cancel(now, &request);
    }

    fn request_scores(
        &mut self,
        now: Timestamp,
        ticket: ScoreTicket,
        pool: &PoolId,
        samples: Vec<ScoreItem>,
    ) {
        let pool = self.settings.pools.get(pool);
        let Some(address) = pool.and_then(|pool| pool.scorer_address.clone()) else {
            let failure = Err(ScoreFailure);
            self.with_steps(now, |steps, view, out| {
                steps.apply_scores(now, ticket, failure, view, out);
            });
            return;
        };
        self.effects.push(Effect::Score {
            ticket,
            address,
            samples,
        });
    }

    /// Reports the endpoint and the token count of a running attempt to the step logic.
    pub(super) fn report_sample_progress(
        &mut self,
        request: &RequestId,
        attempt: &SampleAttempt,
        tokens: u32,
    ) {
        let running = self.requests.get(request).and_then(ActiveRequest::running);
        if let Some(running) = running {
            let endpoint = &running.endpoint;
            self.steps.sample_progress(attempt, endpoint, tokens);
        }
    }

    /// Reports the result of an attempt to the step logic.
    pub(super) fn report_sample_finished(
        &mut self,
        now: Timestamp,
        attempt: &SampleAttempt,
        result: Result<FinishedSample, SampleFailure>,
    ) {
        self.with_steps(now, |steps, view, out| {
            steps.sample_finished(now, attempt, result, view, out);
        });
    }
}

fn sample_request_id(me: &InstanceId, attempt: &SampleAttempt) -> RequestId {
    RequestId::from(format_compact!("{attempt}@{me}").as_str())
}
