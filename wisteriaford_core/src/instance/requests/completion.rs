//! Completion, refusal and cancellation of requests.

use crate::counters::Counter;
use crate::effect::Effect;
use crate::explain::Decision;
use crate::id::RequestId;
use crate::instance::Instance;
use crate::refusal::Outcome;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::reply::Reply;
use crate::request::ActiveRequest;
use crate::request::Origin;
use crate::request::Phase;
use crate::request::RunningAttempt;
use crate::step::SampleFailure;
use crate::time::Timestamp;
use crate::work::Work;

impl Instance {
    /// Returns a refusal whose outcome states whether the request may have run.
    pub(in crate::instance) fn refusal_for(
        &self,
        request: &RequestId,
        reason: RefusalReason,
    ) -> Refusal {
        let outcome = match self.requests.get(request) {
            Some(active) if active.may_have_run => Outcome::OutcomeUnknown,
            Some(active) => active.unsent_outcome(),
            None => Outcome::NotRun,
        };
        Refusal {
            reason,
            outcome,
            retry_after: None,
        }
    }

    /// Removes a request and releases the slot that it holds.
    pub(in crate::instance) fn remove_finished(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        failed: bool,
    ) -> Option<(ActiveRequest, RunningAttempt)> {
        let running = self.requests.get(request)?.attempt_with_slot()?.clone();
        let active = self.requests.shift_remove(request)?;
        self.release_slot(now, &active, &running, failed);
        self.limits.finish(&active.request.caller);
        Some((active, running))
    }

    pub(in crate::instance) fn release_slot(
        &mut self,
        now: Timestamp,
        active: &ActiveRequest,
        running: &RunningAttempt,
        failed: bool,
    ) {
        let tokens = match active.request.work {
            Work::Generate(_) => running.tokens,
            Work::Call(_) => 1,
        };
        self.release_attempt(now, &running.attempt, &running.endpoint, tokens, failed);
    }

    /// Removes a request and answers it with a refusal.
    pub(in crate::instance) fn refuse(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        refusal: Refusal,
    ) {
        let Some(active) = self.requests.shift_remove(request) else {
            return;
        };
        self.stop(now, &active);
        self.limits.finish(&active.request.caller);
        self.record_claim_refused(now, request, refusal.outcome);
        self.counters.record_refusal(refusal.reason);
        let decision = Decision::Refused(refusal);
        self.decision_log.add(now, request, decision);
        match active.origin {
            Origin::Caller(ticket) => {
                self.reply(ticket, Reply::Refused(Some(request.clone()), refusal));
            }
            Origin::Sample(attempt) => {
                let failure = match refusal.outcome {
                    Outcome::NotRun => SampleFailure::Refused,
                    Outcome::OutcomeUnknown => SampleFailure::Lost,
                };
                self.report_sample_finished(now, &attempt, Err(failure));
            }
        }
    }

    /// Removes a request whose result is no longer needed.
    pub(in crate::instance) fn cancel(&mut self, now: Timestamp, request: &RequestId) {
        let Some(active) = self.requests.shift_remove(request) else {
            return;
        };
        self.stop(now, &active);
        self.limits.finish(&active.request.caller);
        // A non-idempotent request is not cancelled once it was sent, so its claim was not used.
        self.record_claim_refused(now, request, Outcome::NotRun);
        let wasted = u64::from(active.partial.tokens());
        self.counters.add(Counter::WastedTokens, wasted);
        self.decision_log.add(now, request, Decision::Cancelled);
    }

    /// Withdraws the slot requests of a request, or cancels its attempt.
    pub(in crate::instance) fn stop(&mut self, now: Timestamp, active: &ActiveRequest) {
        match &active.phase {
            Phase::RequestingSlot(pending_slots) => {
                for pending_slot in pending_slots {
                    self.release_attempt(
                        now,
                        &pending_slot.attempt,
                        &pending_slot.endpoint,
                        0,
                        false,
                    );
                }
            }
            Phase::Claiming(running) => self.release_slot(now, active, running, false),
            Phase::Running(running) => {
                if matches!(active.request.work, Work::Generate(_)) {
                    self.effects.push(Effect::CancelAttempt {
                        attempt: running.attempt.clone(),
                        address: running.address.clone(),
                    });
                }
                self.release_slot(now, active, running, false);
            }
            Phase::BackingOff(_) => {}
        }
    }
}
