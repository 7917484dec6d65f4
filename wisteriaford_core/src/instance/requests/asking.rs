//! Requests that wait for a slot.

use std::time::Duration;

use compact_str::format_compact;
use wisteriaford_proto::admission::SlotGrant;
use wisteriaford_proto::admission::SlotRefusal;
use wisteriaford_proto::admission::SlotRelease;
use wisteriaford_proto::admission::SlotRequest;
use wisteriaford_proto::admission::admission_message::Body;
use wisteriaford_proto::fleet::Availability;

use crate::explain::Decision;
use crate::id::AttemptId;
use crate::id::EndpointId;
use crate::id::RequestId;
use crate::id::Version;
use crate::instance::Instance;
use crate::quarantine::Verdict;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::refusal::RetryReason;
use crate::request::Active;
use crate::request::Ask;
use crate::request::Phase;
use crate::routing::Choice;
use crate::routing::RouteQuery;
use crate::time::Timestamp;

/// Time after which a second steward is asked.
const SECOND_ASK_AFTER: Duration = Duration::from_millis(20);
/// Stewards that a request waits for at once.
pub(super) const ASKS_PER_REQUEST: usize = 2;
/// Hash in place of the prompt's that all requests share which must run alone.
const ALONE_PREFIX_HASH: u64 = 0;
/// Time after which a refused caller may find that endpoints are back.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Pause before a request that waits for any endpoint looks again.
const NO_ENDPOINT_PAUSE: Duration = Duration::from_millis(500);

impl Instance {
    /// Chooses endpoints for a request and asks their stewards for a slot.
    pub(in crate::instance) fn ask(&mut self, now: Timestamp, request: &RequestId) {
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
        let alone = alone || active.alone;
        let choices = match self.choose(active, alone) {
            Ok(choices) => choices,
            Err(reason) => {
                self.no_endpoint(now, request, reason);
                return;
            }
        };
        let mut choices = choices.into_iter();
        let first = choices.next();
        let Some(ask) = first.and_then(|first| self.new_ask(now, request, first)) else {
            self.no_endpoint(now, request, RefusalReason::NoEndpoint);
            return;
        };
        if let Some(active) = self.requests.get_mut(request) {
            active.alone |= alone;
            active.second = choices
                .next()
                .map(|choice| (now + SECOND_ASK_AFTER, choice));
            active.phase = Phase::Asking(vec![ask.clone()]);
        }
        self.send_ask(now, request, &ask);
    }

    /// Asks a second steward as well, as the first granted nothing soon; the first grant counts.
    pub(in crate::instance) fn ask_second(&mut self, now: Timestamp, request: &RequestId) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let Some((_, choice)) = active.second.take() else {
            return;
        };
        let Some(ask) = self.new_ask(now, request, choice) else {
            return;
        };
        if let Some(active) = self.requests.get_mut(request)
            && let Phase::Asking(asks) = &mut active.phase
        {
            asks.push(ask.clone());
        }
        self.send_ask(now, request, &ask);
    }

    /// Chooses endpoints to ask: a single one where others must drain first, and the same for
    /// all that must run alone while its load allows it, so that few endpoints drain.
    pub(in crate::instance) fn choose(
        &self,
        active: &Active,
        alone: bool,
    ) -> Result<Vec<Choice>, RefusalReason> {
        let Some(pool) = self.settings.pools.get(&active.request.pool) else {
            return Err(RefusalReason::UnknownPool);
        };
        let own_prefix = active.request.work.prefix_hash();
        let (prefix_hash, count) = if alone {
            (Some(ALONE_PREFIX_HASH), 1)
        } else {
            (own_prefix, ASKS_PER_REQUEST)
        };
        let endpoints = pool.endpoints.iter();
        let query = RouteQuery {
            candidates: endpoints
                .filter_map(|id| self.settings.endpoints.get(id))
                .collect(),
            prefix_hash,
            oldest_version: active.oldest_version,
            exclude: &active.avoid,
        };
        self.router.choose(&query, count)
    }

    pub(in crate::instance) fn new_ask(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        choice: Choice,
    ) -> Option<Ask> {
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

    pub(in crate::instance) fn new_attempt(&mut self, request: &RequestId) -> AttemptId {
        self.attempt_sequence += 1;
        let me = &self.identity;
        let text = format_compact!("{}.{}.{}", me.id, me.incarnation, self.attempt_sequence);
        let attempt = AttemptId::from(text.as_str());
        self.attempts.insert(attempt.clone(), request.clone());
        attempt
    }

    pub(in crate::instance) fn send_ask(&mut self, now: Timestamp, request: &RequestId, ask: &Ask) {
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
    pub(in crate::instance) fn release(
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
    pub(in crate::instance) fn granted(&mut self, now: Timestamp, grant: &SlotGrant) {
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
        if now < self.rests_until {
            self.start_over(now, &request);
            return;
        }
        if !self.may_dispatch(active, &endpoint, Version(grant.version)) {
            self.withdraw(now, &request, &attempt);
            return;
        }
        for ask in asks.iter().filter(|ask| ask.attempt != attempt) {
            self.release(now, &ask.attempt, &ask.endpoint, 0, false);
        }
        self.dispatch(now, &request, attempt, endpoint);
    }

    /// Gives back what a request holds and lets it ask anew, after a pause once that is made up for.
    pub(in crate::instance) fn start_over(&mut self, now: Timestamp, request: &RequestId) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let resting = Phase::BackingOff(self.rests_until);
        let before = std::mem::replace(&mut active.phase, resting);
        let stopped = Active {
            phase: before,
            ..active.clone()
        };
        self.stop(now, &stopped);
    }

    /// Checks an endpoint once more, right before a request is sent to it.
    pub(in crate::instance) fn may_dispatch(
        &self,
        active: &Active,
        endpoint: &EndpointId,
        version: Version,
    ) -> bool {
        let settings = &self.settings;
        let Some(configured) = settings.endpoints.get(endpoint) else {
            return false;
        };
        let is_leaving = configured.leaving || self.leaving.contains(endpoint);
        let availability = self.availability_of(endpoint);
        let is_fit = availability.is_none_or(|seen| seen == Availability::Serving);
        let is_fresh = version >= active.oldest_version;
        !is_leaving && is_fit && is_fresh
    }

    /// Takes one ask back; asks anew when none is left.
    pub(in crate::instance) fn withdraw(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        attempt: &AttemptId,
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
        let ask = asks.remove(place);
        let is_last = asks.is_empty();
        active.avoid.push(ask.endpoint.clone());
        self.release(now, &ask.attempt, &ask.endpoint, 0, false);
        if is_last {
            self.counters.retried(RetryReason::SlotLost);
            self.ask(now, request);
        }
    }

    /// Takes a refusal of a slot.
    pub(in crate::instance) fn denied(&mut self, now: Timestamp, refusal: &SlotRefusal) {
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

    pub(in crate::instance) fn drop_ask(
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
                self.counters.retried(RetryReason::SlotLost);
                if let Some(active) = self.requests.get_mut(request) {
                    active.avoid.push(ask.endpoint);
                }
                self.ask(now, request);
            }
        }
    }

    /// Refuses a request for a slot's reason, saying whether it may have run.
    pub(in crate::instance) fn give_up(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        denial: Refusal,
    ) {
        let mut refusal = self.refusal_of(request, denial.reason);
        refusal.retry_after = denial.retry_after;
        self.refuse(now, request, refusal);
    }

    /// No endpoint may take the request: what began waits, what did not begin is refused.
    pub(in crate::instance) fn no_endpoint(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        reason: RefusalReason,
    ) {
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

    /// Asks again where no answer came, or where the steward is another one now.
    pub(in crate::instance) fn ask_again(&mut self, now: Timestamp, request: &RequestId) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let Phase::Asking(asks) = &active.phase else {
            return;
        };
        let endpoints = &self.settings.endpoints;
        let is_configured = |ask: &Ask| endpoints.contains_key(&ask.endpoint);
        let (mut asks, gone): (Vec<Ask>, Vec<Ask>) = asks.iter().cloned().partition(is_configured);
        if asks.is_empty() {
            self.start_over(now, request);
            return;
        }
        for ask in gone {
            self.release(now, &ask.attempt, &ask.endpoint, 0, false);
        }
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
}
