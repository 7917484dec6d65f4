//! Execution of requests at endpoints: dispatch, streaming, failures and retries.

use std::time::Duration;

use compact_str::CompactString;

use crate::counters::Counter;
use crate::effect::Attempt;
use crate::effect::Effect;
use crate::event::AttemptEvent;
use crate::event::AttemptFailure;
use crate::explain::Decision;
use crate::id::AttemptId;
use crate::id::EndpointId;
use crate::id::RequestId;
use crate::id::Version;
use crate::instance::Instance;
use crate::label::Span;
use crate::refusal::Outcome;
use crate::refusal::RetryReason;
use crate::reply::CallResponse;
use crate::reply::GenerationResponse;
use crate::reply::Reply;
use crate::request::ActiveRequest;
use crate::request::Origin;
use crate::request::Phase;
use crate::request::RunningAttempt;
use crate::retry::Execution;
use crate::retry::FailedAttempt;
use crate::retry::RetryDecision;
use crate::step::FinishedSample;
use crate::time::Timestamp;
use crate::work::Work;

/// Time by which the driver's silence timeout exceeds the one after which the attempt is abandoned
/// here.
const SILENCE_MARGIN: Duration = Duration::from_secs(1);
/// Time in which a coordinator's crash report reaches the other instances.
const CRASH_VERDICT_DELAY: Duration = Duration::from_secs(3);

impl Instance {
    pub(in crate::instance) fn dispatch(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        attempt: AttemptId,
        endpoint: EndpointId,
    ) {
        let Some(address) = self.address_of(&endpoint) else {
            return;
        };
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let decision = Decision::Granted {
            endpoint: endpoint.clone(),
            waited: now.since(active.accepted_at),
        };
        let running = RunningAttempt {
            attempt,
            endpoint,
            address,
            progress_at: now,
            tokens: 0,
            ran_before: active.may_have_run,
        };
        let needs_claim = !active.idempotent && active.request.work.key().is_some();
        active.phase = if needs_claim {
            Phase::Claiming(running)
        } else {
            Phase::Running(running)
        };
        self.decision_log.add(now, request, decision);
        if needs_claim {
            self.begin_claim(now, request);
        } else {
            self.open_attempt(now, request);
        }
    }

    /// Sends the request to the endpoint whose slot it holds.
    pub(in crate::instance) fn open_attempt(&mut self, now: Timestamp, request: &RequestId) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        if let Phase::Claiming(running) = &active.phase {
            active.phase = Phase::Running(running.clone());
        }
        let Phase::Running(running) = &mut active.phase else {
            return;
        };
        running.progress_at = now;
        active.may_have_run = true;
        let from_token = active.partial.tokens();
        let pool = self.settings.pools.get(&active.request.pool);
        let silence_timeout = match active.request.work {
            Work::Generate(_) => pool.map_or(Duration::ZERO, |pool| pool.silence_timeout),
            Work::Call(_) => active.request.deadline.since(now),
        };
        let attempt = Attempt {
            id: running.attempt.clone(),
            request: request.clone(),
            endpoint: running.endpoint.clone(),
            address: running.address.clone(),
            work: active.request.work.clone(),
            priority: active.priority,
            from_token,
            silence_timeout: silence_timeout + SILENCE_MARGIN,
        };
        let decision = Decision::Sent {
            endpoint: attempt.endpoint.clone(),
            from_token,
        };
        self.track_cache(now, &attempt.endpoint);
        self.counters.add(Counter::Attempts, 1);
        if from_token > 0 {
            self.counters.add(Counter::Resumes, 1);
        }
        self.decision_log.add(now, request, decision);
        self.effects.push(Effect::StartAttempt(attempt));
    }

    /// Handles an event of an attempt; events of attempts that no longer run are ignored.
    pub(in crate::instance) fn on_attempt_event(
        &mut self,
        now: Timestamp,
        id: &AttemptId,
        event: AttemptEvent,
    ) {
        let Some(request) = self.attempts.get(id).cloned() else {
            return;
        };
        let is_running = self
            .requests
            .get(&request)
            .and_then(ActiveRequest::running)
            .is_some_and(|running| &running.attempt == id);
        if !is_running {
            return;
        }
        match event {
            AttemptEvent::Tokens {
                from_token,
                tokens,
                text,
                version,
            } => {
                let span = Span {
                    from_token,
                    to_token: from_token.saturating_add(tokens),
                    version,
                };
                self.on_tokens(now, &request, span, &text);
            }
            AttemptEvent::Finished { total_tokens } => self.end_stream(now, &request, total_tokens),
            AttemptEvent::Answered {
                status,
                content_type,
                body,
            } => self.on_call_answered(now, &request, status, content_type, body),
            AttemptEvent::Failed(failure) => self.attempt_failed(now, &request, failure),
        }
    }

    pub(in crate::instance) fn on_tokens(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        span: Span,
        text: &str,
    ) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let count = span.to_token.saturating_sub(span.from_token);
        let version_before = active.partial.label.newest();
        let added = active.partial.add(span, text);
        if let Phase::Running(running) = &mut active.phase {
            running.progress_at = now;
            running.tokens = running.tokens.saturating_add(count);
        }
        let origin = active.origin.clone();
        match added {
            Ok(true) => {
                self.counters.add(Counter::Tokens, u64::from(count));
                self.record_version_change(now, request, version_before, span);
                if let Origin::Sample(attempt) = origin {
                    self.report_sample_progress(request, &attempt, span.to_token);
                }
            }
            Ok(false) => self.counters.add(Counter::WastedTokens, u64::from(count)),
            Err(_) => self.attempt_failed(now, request, AttemptFailure::Malformed),
        }
    }

    pub(in crate::instance) fn record_version_change(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        before: Option<Version>,
        span: Span,
    ) {
        if before.is_some_and(|version| version != span.version) {
            let decision = Decision::VersionChanged {
                at_token: span.from_token,
                version: span.version,
            };
            self.decision_log.add(now, request, decision);
        }
    }

    /// Handles the end of a stream: the answer is complete only if every token was received.
    pub(in crate::instance) fn end_stream(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        total_tokens: u32,
    ) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        if active.partial.tokens() != total_tokens || total_tokens == 0 {
            self.attempt_failed(now, request, AttemptFailure::Malformed);
            return;
        }
        let Some((active, running)) = self.remove_finished(now, request, false) else {
            return;
        };
        self.record_completion(now, &active, &running);
        match active.origin {
            Origin::Caller(ticket) => {
                let spans = active.partial.spans();
                let response = GenerationResponse {
                    request: request.clone(),
                    tokens: active.partial.tokens(),
                    text: active.partial.text,
                    spans,
                    endpoint: running.endpoint,
                };
                self.reply(ticket, Reply::Generated(response));
            }
            Origin::Sample(attempt) => {
                let sample = FinishedSample {
                    index: attempt.index,
                    group: 0,
                    tokens: active.partial.tokens(),
                    text: active.partial.text,
                    label: active.partial.label,
                    score_milli: None,
                    instance: self.identity.id.clone(),
                    endpoint: running.endpoint,
                };
                self.report_sample_finished(now, &attempt, Ok(sample));
            }
        }
    }

    pub(in crate::instance) fn on_call_answered(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        status: u16,
        content_type: CompactString,
        body: Vec<u8>,
    ) {
        let Some((active, running)) = self.remove_finished(now, request, false) else {
            return;
        };
        self.record_completion(now, &active, &running);
        self.record_claim_answered(now, request);
        if let Origin::Caller(ticket) = active.origin {
            let response = CallResponse {
                request: request.clone(),
                status,
                content_type,
                body,
                endpoint: running.endpoint,
            };
            self.reply(ticket, Reply::Called(response));
        }
    }

    /// Records that a request was answered completely.
    pub(in crate::instance) fn record_completion(
        &mut self,
        now: Timestamp,
        active: &ActiveRequest,
        running: &RunningAttempt,
    ) {
        self.counters.add(Counter::Answers, 1);
        self.quarantine.record_completed(active.fingerprint);
        self.retries.record_success(now, &active.request.pool);
        let tokens = active.partial.tokens().max(1);
        self.shares
            .record_received(now, &active.request.caller, tokens);
        let decision = Decision::Answered {
            endpoint: running.endpoint.clone(),
        };
        let request = &active.request.id;
        self.decision_log.add(now, request, decision);
    }

    /// Handles a failed attempt and retries the request unless it could run twice.
    pub(in crate::instance) fn attempt_failed(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        failure: AttemptFailure,
    ) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let Some(running) = active.running().cloned() else {
            return;
        };
        active.failures += 1;
        let proves_not_run = failure.proves_not_run();
        if proves_not_run {
            active.may_have_run = running.ran_before;
        }
        let is_repeated_break = failure == AttemptFailure::Broken && active.alone;
        if failure == AttemptFailure::Broken {
            // The request may have crashed the endpoint, so it must not run beside others. One that
            // produced tokens there is a less likely cause and is exempt on its first failure.
            active.alone |= running.tokens == 0 || active.failures > 1;
        }
        active.excluded_endpoints = vec![running.endpoint.clone()];
        let active = active.clone();
        let decision = Decision::AttemptFailed {
            endpoint: running.endpoint.clone(),
            failure,
        };
        self.decision_log.add(now, request, decision);
        if proves_not_run {
            self.record_claim_not_run(request);
        }
        let failed = matches!(
            failure,
            AttemptFailure::Broken | AttemptFailure::NotConnected
        );
        self.release_slot(now, &active, &running, failed);
        if matches!(failure, AttemptFailure::Silent | AttemptFailure::Malformed) {
            self.effects.push(Effect::CancelAttempt {
                attempt: running.attempt,
                address: running.address,
            });
        }
        self.retry_or_refuse(now, &active, failure);
        if is_repeated_break {
            self.delay_until_crash_verdict(now, request);
        }
    }

    /// Delays the retry of a suspect until the coordinators have reported whether it crashed their
    /// endpoints, so that its retries don't crash one endpoint after another.
    fn delay_until_crash_verdict(&mut self, now: Timestamp, request: &RequestId) {
        let active = self.requests.get_mut(request);
        if let Some(Phase::BackingOff(at)) = active.map(|active| &mut active.phase) {
            *at = (*at).max(now + CRASH_VERDICT_DELAY);
        }
    }

    pub(in crate::instance) fn retry_or_refuse(
        &mut self,
        now: Timestamp,
        active: &ActiveRequest,
        failure: AttemptFailure,
    ) {
        let request = &active.request.id;
        let execution = if failure.proves_not_run() {
            Execution::NotRun
        } else {
            Execution::Unknown
        };
        let failed = FailedAttempt {
            reason: failure.retry_reason(),
            execution,
            earlier_may_have_run: active.may_have_run,
            idempotent: active.idempotent,
            retries: active.failures.saturating_sub(1),
            deadline: active.request.deadline,
        };
        match self.retries.decide(now, &active.request.pool, &failed) {
            RetryDecision::Retry { at, reason } => {
                self.record_retry(now, request, reason, at.since(now));
                if let Some(active) = self.requests.get_mut(request) {
                    active.phase = Phase::BackingOff(at);
                }
            }
            RetryDecision::GiveUp(mut refusal) => {
                if refusal.outcome == Outcome::NotRun {
                    refusal.outcome = active.unsent_outcome();
                }
                if let Some(active) = self.requests.get_mut(request) {
                    // The caller of this method already released the slot.
                    active.phase = Phase::BackingOff(now);
                }
                self.refuse(now, request, refusal);
            }
        }
    }

    pub(in crate::instance) fn record_retry(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        reason: RetryReason,
        delay: Duration,
    ) {
        self.counters.record_retry(reason);
        let decision = Decision::Retried { reason, delay };
        self.decision_log.add(now, request, decision);
    }
}
