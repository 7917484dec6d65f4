//! Requests in progress: asking for slots, sending, resuming, answering.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use wisteriaford_proto::admission::SlotGrant;
use wisteriaford_proto::admission::SlotRefusal;
use wisteriaford_proto::admission::SlotRelease;
use wisteriaford_proto::admission::SlotRequest;
use wisteriaford_proto::admission::admission_message::Body;
use wisteriaford_proto::fleet::Availability;

use super::Instance;
use crate::counters::Counter;
use crate::effect::Attempt;
use crate::effect::Effect;
use crate::event::AttemptEvent;
use crate::event::AttemptFailure;
use crate::explain::Decision;
use crate::id::AttemptId;
use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::RequestId;
use crate::id::Version;
use crate::label::Span;
use crate::quarantine::Verdict;
use crate::refusal::Outcome;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::refusal::RetryReason;
use crate::reply::Called;
use crate::reply::Generated;
use crate::reply::Reply;
use crate::request::Active;
use crate::request::Ask;
use crate::request::Origin;
use crate::request::Phase;
use crate::request::Running;
use crate::retry::Execution;
use crate::retry::FailedAttempt;
use crate::retry::RetryDecision;
use crate::routing::Choice;
use crate::routing::RouteQuery;
use crate::step::FinishedSample;
use crate::step::SampleFailure;
use crate::time::Timestamp;
use crate::work::Work;

/// Time after which a steward that said nothing is asked again.
pub(super) const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Stewards that a request waits for at once.
pub(super) const ASKS_PER_REQUEST: usize = 2;
/// Time after which a refused caller may find that endpoints are back.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Pause before a request that waits for any endpoint looks again.
const NO_ENDPOINT_PAUSE: Duration = Duration::from_millis(500);

impl Instance {
    /// Takes a request in and asks for a slot.
    pub(super) fn begin(&mut self, now: Timestamp, active: Active) {
        let request = active.request.id.clone();
        self.counters.add(Counter::Requests, 1);
        let expected = active.request.work.expected_tokens();
        self.shares
            .note_demand(now, &active.request.caller, expected);
        self.explanations.add(now, &request, Decision::Accepted);
        self.requests.insert(request.clone(), active);
        self.ask(now, &request);
    }

    /// Chooses endpoints for a request and asks their stewards for a slot.
    fn ask(&mut self, now: Timestamp, request: &RequestId) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let hold = self
            .settings
            .pools
            .get(&active.request.pool)
            .map_or(Duration::ZERO, |pool| pool.quarantine);
        let alone = match self.quarantine.verdict(now, active.fingerprint, hold) {
            Verdict::Free => false,
            Verdict::Alone => true,
            Verdict::Refused { until } => {
                let refusal = self.refusal_of(request, RefusalReason::Quarantined);
                let refusal = refusal.with_retry_after(until.since(now));
                self.refuse(now, request, refusal);
                return;
            }
        };
        let choices = match self.choose(active) {
            Ok(choices) => choices,
            Err(reason) => {
                self.no_endpoint(now, request, reason);
                return;
            }
        };
        let mut asks = Vec::new();
        for choice in choices {
            asks.extend(self.new_ask(now, request, choice));
        }
        if asks.is_empty() {
            self.no_endpoint(now, request, RefusalReason::NoEndpoint);
            return;
        }
        if let Some(active) = self.requests.get_mut(request) {
            active.alone |= alone;
            active.phase = Phase::Asking(asks.clone());
        }
        for ask in &asks {
            self.send_ask(now, request, ask);
        }
    }

    fn choose(&self, active: &Active) -> Result<Vec<Choice>, RefusalReason> {
        let Some(pool) = self.settings.pools.get(&active.request.pool) else {
            return Err(RefusalReason::UnknownPool);
        };
        let endpoints = pool.endpoints.iter();
        let query = RouteQuery {
            candidates: endpoints
                .filter_map(|id| self.settings.endpoints.get(id))
                .collect(),
            prefix_hash: active.request.work.prefix_hash(),
            oldest_version: active.oldest_version,
            exclude: &active.avoid,
        };
        self.router.choose(&query, ASKS_PER_REQUEST)
    }

    fn new_ask(&mut self, now: Timestamp, request: &RequestId, choice: Choice) -> Option<Ask> {
        let Choice { endpoint, reason } = choice;
        let steward = self.steward_of(&endpoint)?;
        let attempt = self.new_attempt(request);
        self.router.note_granted(now, &endpoint);
        let decision = Decision::Asked {
            endpoint: endpoint.clone(),
            steward: steward.clone(),
            reason,
        };
        self.explanations.add(now, request, decision);
        Some(Ask {
            attempt,
            endpoint,
            steward,
            asked_at: now,
        })
    }

    fn new_attempt(&mut self, request: &RequestId) -> AttemptId {
        self.attempt_sequence += 1;
        let me = &self.identity;
        let text = format_compact!("{}.{}.{}", me.id, me.incarnation, self.attempt_sequence);
        let attempt = AttemptId::from(text.as_str());
        self.attempts.insert(attempt.clone(), request.clone());
        attempt
    }

    fn send_ask(&mut self, now: Timestamp, request: &RequestId, ask: &Ask) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let deadline_in = active.request.deadline.since(now);
        let message = SlotRequest {
            attempt: ask.attempt.to_string(),
            endpoint: ask.endpoint.to_string(),
            caller: active.request.caller.to_string(),
            priority: active.priority.into(),
            expected_tokens: active.request.work.expected_tokens(),
            rank: active.rank,
            deadline_in_ms: u64::try_from(deadline_in.as_millis()).unwrap_or(u64::MAX),
            oldest_version: active.oldest_version.0,
            alone: active.alone,
            fingerprint: active.fingerprint.0,
        };
        let steward = ask.steward.clone();
        self.send_admission(now, &steward, Body::Request(message));
    }

    /// Withdraws an ask or gives a slot back.
    fn release(
        &mut self,
        now: Timestamp,
        attempt: &AttemptId,
        endpoint: &EndpointId,
        tokens: u32,
        failed: bool,
    ) {
        if self.attempts.swap_remove(attempt).is_some() {
            self.router.note_released(now, endpoint);
        }
        let Some(steward) = self.steward_of(endpoint) else {
            return;
        };
        let message = SlotRelease {
            attempt: attempt.to_string(),
            endpoint: endpoint.to_string(),
            tokens,
            failed,
        };
        self.send_admission(now, &steward, Body::Release(message));
    }

    /// Takes a grant: sends the request, or gives the slot back if nobody wants it.
    pub(super) fn granted(&mut self, now: Timestamp, grant: &SlotGrant) {
        let attempt = AttemptId::from(grant.attempt.as_str());
        let endpoint = EndpointId::from(grant.endpoint.as_str());
        let Some(request) = self.attempts.get(&attempt).cloned() else {
            self.release(now, &attempt, &endpoint, 0, false);
            return;
        };
        let Some(active) = self.requests.get(&request) else {
            self.release(now, &attempt, &endpoint, 0, false);
            return;
        };
        let Phase::Asking(asks) = &active.phase else {
            // A repeated grant of the attempt that runs; the heartbeat renews it.
            return;
        };
        let asks = asks.clone();
        if !self.may_dispatch(active, &endpoint, Version(grant.version)) {
            self.withdraw(now, &request, &attempt);
            return;
        }
        for ask in asks.iter().filter(|ask| ask.attempt != attempt) {
            self.release(now, &ask.attempt, &ask.endpoint, 0, false);
        }
        self.dispatch(now, &request, attempt, endpoint);
    }

    /// Checks an endpoint once more, right before a request is sent to it.
    fn may_dispatch(&self, active: &Active, endpoint: &EndpointId, version: Version) -> bool {
        let settings = &self.settings;
        let Some(configured) = settings.endpoints.get(endpoint) else {
            return false;
        };
        let is_leaving = configured.leaving || self.leaving_endpoints.contains(endpoint);
        let availability = self.availability_of(endpoint);
        let is_fit = availability.is_none_or(|seen| seen == Availability::Serving);
        let is_fresh = version >= active.oldest_version;
        !is_leaving && is_fit && is_fresh
    }

    /// Takes one ask back; asks anew when none is left.
    fn withdraw(&mut self, now: Timestamp, request: &RequestId, attempt: &AttemptId) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let Phase::Asking(asks) = &mut active.phase else {
            return;
        };
        let Some(place) = asks.iter().position(|ask| &ask.attempt == attempt) else {
            return;
        };
        let ask = asks.remove(place);
        let is_last = asks.is_empty();
        active.avoid.push(ask.endpoint.clone());
        self.release(now, &ask.attempt, &ask.endpoint, 0, false);
        if is_last {
            self.ask(now, request);
        }
    }

    fn dispatch(
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
        let running = Running {
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
        self.explanations.add(now, request, decision);
        if needs_claim {
            self.claim(now, request);
        } else {
            self.open(now, request);
        }
    }

    /// Sends the request to the endpoint whose slot it holds.
    pub(super) fn open(&mut self, now: Timestamp, request: &RequestId) {
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
        let attempt = Attempt {
            id: running.attempt.clone(),
            request: request.clone(),
            endpoint: running.endpoint.clone(),
            address: running.address.clone(),
            work: active.request.work.clone(),
            priority: active.priority,
            from_token,
        };
        let decision = Decision::Sent {
            endpoint: attempt.endpoint.clone(),
            from_token,
        };
        self.counters.add(Counter::Attempts, 1);
        if from_token > 0 {
            self.counters.add(Counter::Resumes, 1);
        }
        self.explanations.add(now, request, decision);
        self.effects.push(Effect::Open(attempt));
    }

    /// Takes a refusal of a slot.
    pub(super) fn denied(&mut self, now: Timestamp, refusal: &SlotRefusal) {
        let attempt = AttemptId::from(refusal.attempt.as_str());
        let Some(request) = self.attempts.get(&attempt).cloned() else {
            return;
        };
        let reason = RefusalReason::from(refusal.reason());
        let mut denial = Refusal::not_run(reason);
        if refusal.retry_after_ms > 0 {
            denial = denial.with_retry_after(Duration::from_millis(refusal.retry_after_ms));
        }
        let decision = Decision::SlotRefused {
            endpoint: EndpointId::from(refusal.endpoint.as_str()),
            refusal: denial,
        };
        self.explanations.add(now, &request, decision);
        self.drop_ask(now, &request, &attempt, denial);
    }

    fn drop_ask(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        attempt: &AttemptId,
        denial: Refusal,
    ) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let Phase::Asking(asks) = &mut active.phase else {
            return;
        };
        let Some(place) = asks.iter().position(|ask| &ask.attempt == attempt) else {
            return;
        };
        if denial.reason == RefusalReason::NotSteward {
            // Views differ for a moment; the ask is sent again to whoever is the steward then.
            return;
        }
        let ask = asks.remove(place);
        let is_last = asks.is_empty();
        self.attempts.swap_remove(attempt);
        self.router.note_released(now, &ask.endpoint);
        if !is_last {
            return;
        }
        match denial.reason {
            RefusalReason::QueueFull
            | RefusalReason::Deadline
            | RefusalReason::CallerInFlightLimit => self.give_up(now, request, denial),
            _ => {
                if let Some(active) = self.requests.get_mut(request) {
                    active.avoid.push(ask.endpoint);
                }
                self.ask(now, request);
            }
        }
    }

    /// Refuses a request for a slot's reason, saying whether it may have run.
    fn give_up(&mut self, now: Timestamp, request: &RequestId, denial: Refusal) {
        let mut refusal = self.refusal_of(request, denial.reason);
        refusal.retry_after = denial.retry_after;
        self.refuse(now, request, refusal);
    }

    /// No endpoint may take the request: what began waits, what did not begin is refused.
    fn no_endpoint(&mut self, now: Timestamp, request: &RequestId, reason: RefusalReason) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let has_begun = active.failures > 0 || active.partial.tokens() > 0;
        if has_begun && now < active.request.deadline {
            active.avoid.clear();
            active.phase = Phase::BackingOff(now + NO_ENDPOINT_PAUSE);
            return;
        }
        let refusal = self.refusal_of(request, reason);
        let refusal = refusal.with_retry_after(NO_ENDPOINT_RETRY_AFTER);
        self.refuse(now, request, refusal);
    }

    /// Returns a refusal that says truly whether the request may have run.
    pub(super) fn refusal_of(&self, request: &RequestId, reason: RefusalReason) -> Refusal {
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

    /// Takes what came from an endpoint.
    pub(super) fn attempt_event(&mut self, now: Timestamp, id: &AttemptId, event: AttemptEvent) {
        let Some(request) = self.attempts.get(id).cloned() else {
            return;
        };
        let is_running = self
            .requests
            .get(&request)
            .and_then(Active::running)
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
                self.tokens(now, &request, span, &text);
            }
            AttemptEvent::Finished { total_tokens } => self.finished(now, &request, total_tokens),
            AttemptEvent::Answered {
                status,
                content_type,
                body,
            } => self.answered(now, &request, status, content_type, body),
            AttemptEvent::Failed(failure) => self.attempt_failed(now, &request, failure),
        }
    }

    fn tokens(&mut self, now: Timestamp, request: &RequestId, span: Span, text: &str) {
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
                self.note_version(now, request, version_before, span);
                if let Origin::Sample(attempt) = origin {
                    self.sample_progress(request, &attempt, span.to_token);
                }
            }
            Ok(false) => self.counters.add(Counter::WastedTokens, u64::from(count)),
            Err(_) => self.attempt_failed(now, request, AttemptFailure::Malformed),
        }
    }

    fn note_version(
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
            self.explanations.add(now, request, decision);
        }
    }

    /// A stream ended: the answer is whole only if every token of it has come.
    fn finished(&mut self, now: Timestamp, request: &RequestId, total_tokens: u32) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        if active.partial.tokens() != total_tokens || total_tokens == 0 {
            self.attempt_failed(now, request, AttemptFailure::Malformed);
            return;
        }
        let Some((active, running)) = self.end(now, request, false) else {
            return;
        };
        self.complete(now, &active, &running);
        match active.origin {
            Origin::Caller(ticket) => {
                let spans = active.partial.spans();
                let generated = Generated {
                    request: request.clone(),
                    tokens: active.partial.tokens(),
                    text: active.partial.text,
                    spans,
                    endpoint: running.endpoint,
                };
                self.reply(ticket, Reply::Generated(generated));
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
                self.sample_finished(now, &attempt, Ok(sample));
            }
        }
    }

    fn answered(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        status: u16,
        content_type: CompactString,
        body: Vec<u8>,
    ) {
        let Some((active, running)) = self.end(now, request, false) else {
            return;
        };
        self.complete(now, &active, &running);
        self.claim_answered(now, request);
        if let Origin::Caller(ticket) = active.origin {
            let called = Called {
                request: request.clone(),
                status,
                content_type,
                body,
                endpoint: running.endpoint,
            };
            self.reply(ticket, Reply::Called(called));
        }
    }

    /// Notes that a request was answered whole.
    fn complete(&mut self, now: Timestamp, active: &Active, running: &Running) {
        self.counters.add(Counter::Answers, 1);
        self.quarantine.note_completed(active.fingerprint);
        self.retries.note_success(now, &active.request.pool);
        let tokens = active.partial.tokens().max(1);
        self.shares
            .note_received(now, &active.request.caller, tokens);
        let decision = Decision::Answered {
            endpoint: running.endpoint.clone(),
        };
        let request = &active.request.id;
        self.explanations.add(now, request, decision);
    }

    /// Removes a request and gives back the slot that it holds.
    fn end(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        failed: bool,
    ) -> Option<(Active, Running)> {
        let running = self.requests.get(request)?.holding()?.clone();
        let active = self.requests.shift_remove(request)?;
        self.give_back(now, &active, &running, failed);
        self.limits.finish(&active.request.caller);
        Some((active, running))
    }

    fn give_back(&mut self, now: Timestamp, active: &Active, running: &Running, failed: bool) {
        let tokens = match active.request.work {
            Work::Generate(_) => running.tokens,
            Work::Call(_) => 1,
        };
        self.release(now, &running.attempt, &running.endpoint, tokens, failed);
    }

    /// An attempt failed: another follows where nothing can run twice.
    pub(super) fn attempt_failed(
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
        if failure == AttemptFailure::Broken {
            // It may have crashed the endpoint, so that others must not run beside it.
            active.alone = true;
        }
        active.avoid = vec![running.endpoint.clone()];
        let active = active.clone();
        let decision = Decision::AttemptFailed {
            endpoint: running.endpoint.clone(),
            failure,
        };
        self.explanations.add(now, request, decision);
        if proves_not_run {
            self.claim_not_run(request);
        }
        let failed = matches!(
            failure,
            AttemptFailure::Broken | AttemptFailure::NotConnected
        );
        self.give_back(now, &active, &running, failed);
        if matches!(failure, AttemptFailure::Silent | AttemptFailure::Malformed) {
            self.effects.push(Effect::Cancel {
                attempt: running.attempt,
                address: running.address,
            });
        }
        self.retry(now, &active, failure);
    }

    fn retry(&mut self, now: Timestamp, active: &Active, failure: AttemptFailure) {
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
                self.count_retry(now, request, reason, at.since(now));
                if let Some(active) = self.requests.get_mut(request) {
                    active.phase = Phase::BackingOff(at);
                }
            }
            RetryDecision::GiveUp(mut refusal) => {
                if refusal.outcome == Outcome::NotRun {
                    refusal.outcome = active.unsent_outcome();
                }
                if let Some(active) = self.requests.get_mut(request) {
                    // The slot was given back above.
                    active.phase = Phase::BackingOff(now);
                }
                self.refuse(now, request, refusal);
            }
        }
    }

    fn count_retry(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        reason: RetryReason,
        delay: Duration,
    ) {
        self.counters.retried(reason);
        let decision = Decision::Retried { reason, delay };
        self.explanations.add(now, request, decision);
    }

    /// Gives a request its final answer: a refusal.
    pub(super) fn refuse(&mut self, now: Timestamp, request: &RequestId, refusal: Refusal) {
        let Some(active) = self.requests.shift_remove(request) else {
            return;
        };
        self.stop(now, &active);
        self.limits.finish(&active.request.caller);
        self.claim_refused(now, request, refusal.outcome);
        self.counters.refused(refusal.reason);
        let decision = Decision::Refused(refusal);
        self.explanations.add(now, request, decision);
        match active.origin {
            Origin::Caller(ticket) => {
                self.reply(ticket, Reply::Refused(Some(request.clone()), refusal));
            }
            Origin::Sample(attempt) => {
                let failure = match refusal.outcome {
                    Outcome::NotRun => SampleFailure::Refused,
                    Outcome::OutcomeUnknown => SampleFailure::Lost,
                };
                self.sample_finished(now, &attempt, Err(failure));
            }
        }
    }

    /// Drops a request that nobody waits for any more.
    pub(super) fn cancel(&mut self, now: Timestamp, request: &RequestId) {
        let Some(active) = self.requests.shift_remove(request) else {
            return;
        };
        self.stop(now, &active);
        self.limits.finish(&active.request.caller);
        let wasted = u64::from(active.partial.tokens());
        self.counters.add(Counter::WastedTokens, wasted);
        self.explanations.add(now, request, Decision::Cancelled);
    }

    /// Withdraws the asks of a request, or cancels its attempt.
    fn stop(&mut self, now: Timestamp, active: &Active) {
        match &active.phase {
            Phase::Asking(asks) => {
                for ask in asks {
                    self.release(now, &ask.attempt, &ask.endpoint, 0, false);
                }
            }
            Phase::Claiming(running) => self.give_back(now, active, running, false),
            Phase::Running(running) => {
                self.effects.push(Effect::Cancel {
                    attempt: running.attempt.clone(),
                    address: running.address.clone(),
                });
                self.give_back(now, active, running, false);
            }
            Phase::BackingOff(_) => {}
        }
    }

    /// Does what is due for the requests in progress.
    pub(super) fn tick_requests(&mut self, now: Timestamp) {
        let mut due = Vec::new();
        for (request, active) in &self.requests {
            if let Some(step) = self.due(now, active) {
                due.push((request.clone(), step));
            }
        }
        for (request, step) in due {
            match step {
                Due::Deadline => {
                    let refusal = self.refusal_of(&request, RefusalReason::Deadline);
                    self.refuse(now, &request, refusal);
                }
                Due::Silent => self.attempt_failed(now, &request, AttemptFailure::Silent),
                Due::Ask => self.ask(now, &request),
                Due::AskAgain => self.ask_again(now, &request),
            }
        }
    }

    fn due(&self, now: Timestamp, active: &Active) -> Option<Due> {
        if now >= active.request.deadline {
            return Some(Due::Deadline);
        }
        match &active.phase {
            Phase::Asking(asks) => {
                let is_due = |ask: &Ask| now.since(ask.asked_at) >= ASK_INTERVAL;
                asks.iter().any(is_due).then_some(Due::AskAgain)
            }
            Phase::Claiming(_) => None,
            Phase::Running(running) => {
                let pool = self.settings.pools.get(&active.request.pool)?;
                let is_stream = matches!(active.request.work, Work::Generate(_));
                let silence = now.since(running.progress_at);
                (is_stream && silence >= pool.silence_timeout).then_some(Due::Silent)
            }
            Phase::BackingOff(until) => (now >= *until).then_some(Due::Ask),
        }
    }

    /// Asks again where no answer came, or where the steward is another one now.
    fn ask_again(&mut self, now: Timestamp, request: &RequestId) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let Phase::Asking(asks) = &active.phase else {
            return;
        };
        let mut asks = asks.clone();
        for ask in &mut asks {
            if let Some(steward) = self.steward_of(&ask.endpoint) {
                ask.steward = steward;
            }
            ask.asked_at = now;
        }
        if let Some(active) = self.requests.get_mut(request) {
            active.phase = Phase::Asking(asks.clone());
        }
        for ask in &asks {
            self.send_ask(now, request, ask);
        }
    }

    /// Returns the slots held here, by the steward that they are renewed at.
    pub(super) fn held_by_steward(
        &self,
    ) -> indexmap::IndexMap<InstanceId, Vec<wisteriaford_proto::admission::HeldSlot>> {
        let mut held: indexmap::IndexMap<InstanceId, Vec<_>> = indexmap::IndexMap::new();
        for active in self.requests.values() {
            let Some(running) = active.holding() else {
                continue;
            };
            let Some(steward) = self.steward_of(&running.endpoint) else {
                continue;
            };
            let slot = wisteriaford_proto::admission::HeldSlot {
                attempt: running.attempt.to_string(),
                endpoint: running.endpoint.to_string(),
                caller: active.request.caller.to_string(),
                priority: active.priority.into(),
                alone: active.alone,
                fingerprint: active.fingerprint.0,
            };
            held.entry(steward).or_default().push(slot);
        }
        held
    }
}

/// What is due for a request.
enum Due {
    Deadline,
    Silent,
    Ask,
    AskAgain,
}
