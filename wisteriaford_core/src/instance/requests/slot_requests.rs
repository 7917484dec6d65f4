//! Choice of endpoints, and slot requests to their coordinators.

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
use crate::request::ActiveRequest;
use crate::request::PendingSlot;
use crate::request::Phase;
use crate::routing::EndpointChoice;
use crate::routing::RouteQuery;
use crate::time::Timestamp;

/// Time after which a slot is requested from a second coordinator as well.
const HEDGE_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of slots that a request waits for at the same time.
pub(super) const MAX_PENDING_SLOTS: usize = 2;
/// Prefix hash shared by all requests that must run alone, in place of the hash of their prompts.
const ALONE_PREFIX_HASH: u64 = 0;
/// Delay after which a caller may retry when no endpoint is available.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Delay before a started request that found no endpoint chooses again.
const NO_ENDPOINT_DELAY: Duration = Duration::from_millis(500);

impl Instance {
    /// Chooses endpoints for a request and requests a slot from the coordinator of the first.
    pub(in crate::instance) fn request_slot(&mut self, now: Timestamp, request: &RequestId) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let quarantine_time = self
            .settings
            .pools
            .get(&active.request.pool)
            .map_or(Duration::ZERO, |pool| pool.quarantine);
        let alone = match self
            .quarantine
            .verdict(now, active.fingerprint, quarantine_time)
        {
            Verdict::Unrestricted => false,
            Verdict::Alone | Verdict::Trial => true,
            Verdict::Refused { until } => {
                let refusal = self.refusal_for(request, RefusalReason::Quarantined);
                let refusal = refusal.with_retry_after(until.since(now));
                self.refuse(now, request, refusal);
                return;
            }
        };
        let alone = alone || active.alone;
        let choices = match self.choose_endpoints(active, alone) {
            Ok(choices) => choices,
            Err(reason) => {
                self.no_endpoint(now, request, reason);
                return;
            }
        };
        let mut choices = choices.into_iter();
        let first = choices.next();
        let Some(pending_slot) = first.and_then(|first| self.new_pending_slot(now, request, first))
        else {
            self.no_endpoint(now, request, RefusalReason::NoEndpoint);
            return;
        };
        if let Some(active) = self.requests.get_mut(request) {
            active.alone |= alone;
            active.second_choice = choices.next().map(|choice| (now + HEDGE_DELAY, choice));
            active.phase = Phase::RequestingSlot(vec![pending_slot.clone()]);
        }
        self.send_slot_request(now, request, &pending_slot);
    }

    /// Requests a slot from a second coordinator, as the first did not grant one in time; the first
    /// grant is used.
    pub(in crate::instance) fn request_hedged_slot(&mut self, now: Timestamp, request: &RequestId) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let Some((_, choice)) = active.second_choice.take() else {
            return;
        };
        let Some(pending_slot) = self.new_pending_slot(now, request, choice) else {
            return;
        };
        if let Some(active) = self.requests.get_mut(request)
            && let Phase::RequestingSlot(pending_slots) = &mut active.phase
        {
            pending_slots.push(pending_slot.clone());
        }
        self.send_slot_request(now, request, &pending_slot);
    }

    /// Chooses the endpoints to request slots from.
    ///
    /// A request that must run alone gets a single endpoint, which has to drain first. All such
    /// requests prefer the same endpoint while its load allows it, so that few endpoints drain.
    pub(in crate::instance) fn choose_endpoints(
        &self,
        active: &ActiveRequest,
        alone: bool,
    ) -> Result<Vec<EndpointChoice>, RefusalReason> {
        let Some(pool) = self.settings.pools.get(&active.request.pool) else {
            return Err(RefusalReason::UnknownPool);
        };
        let own_prefix = active.request.work.prefix_hash();
        let (prefix_hash, count) = if alone {
            (Some(ALONE_PREFIX_HASH), 1)
        } else {
            (own_prefix, MAX_PENDING_SLOTS)
        };
        let endpoints = pool.endpoints.iter();
        let query = RouteQuery {
            candidates: endpoints
                .filter_map(|id| self.settings.endpoints.get(id))
                .collect(),
            prefix_hash,
            oldest_version: active.oldest_version,
            exclude: &active.excluded_endpoints,
        };
        self.router.choose(&query, count)
    }

    pub(in crate::instance) fn new_pending_slot(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        choice: EndpointChoice,
    ) -> Option<PendingSlot> {
        let EndpointChoice { endpoint, reason } = choice;
        let coordinator = self.coordinator_of(&endpoint)?;
        let attempt = self.new_attempt(request);
        self.router.record_requested(now, &endpoint);
        let decision = Decision::Asked {
            endpoint: endpoint.clone(),
            coordinator: coordinator.clone(),
            reason,
        };
        self.decision_log.add(now, request, decision);
        Some(PendingSlot {
            attempt,
            endpoint,
            coordinator,
            requested_at: now,
        })
    }

    pub(in crate::instance) fn new_attempt(&mut self, request: &RequestId) -> AttemptId {
        self.attempt_sequence += 1;
        let identity = &self.identity;
        let text = format_compact!(
            "{}.{}.{}",
            identity.id,
            identity.incarnation,
            self.attempt_sequence
        );
        let attempt = AttemptId::from(text.as_str());
        self.attempts.insert(attempt.clone(), request.clone());
        attempt
    }

    pub(in crate::instance) fn send_slot_request(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        pending_slot: &PendingSlot,
    ) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let deadline_in = active.request.deadline.since(now);
        let message = SlotRequest {
            attempt: pending_slot.attempt.to_string(),
            endpoint: pending_slot.endpoint.to_string(),
            caller: active.request.caller.to_string(),
            priority: active.priority.into(),
            expected_tokens: active.request.work.expected_tokens(),
            rank: active.rank,
            deadline_in_ms: u64::try_from(deadline_in.as_millis()).unwrap_or(u64::MAX),
            oldest_version: active.oldest_version.0,
            alone: active.alone,
            fingerprint: active.fingerprint.0,
        };
        let coordinator = pending_slot.coordinator.clone();
        self.send_admission(now, &coordinator, Body::Request(message));
    }

    /// Withdraws the slot request of an attempt or releases its slot.
    pub(in crate::instance) fn release_attempt(
        &mut self,
        now: Timestamp,
        attempt: &AttemptId,
        endpoint: &EndpointId,
        tokens: u32,
        failed: bool,
    ) {
        if self.attempts.swap_remove(attempt).is_some() {
            self.router.record_released(now, endpoint);
        }
        let Some(coordinator) = self.coordinator_of(endpoint) else {
            return;
        };
        let message = SlotRelease {
            attempt: attempt.to_string(),
            endpoint: endpoint.to_string(),
            tokens,
            failed,
        };
        self.send_admission(now, &coordinator, Body::Release(message));
    }

    /// Handles a grant: dispatches the request, or releases the slot if it is no longer needed.
    pub(in crate::instance) fn on_slot_granted(&mut self, now: Timestamp, grant: &SlotGrant) {
        let attempt = AttemptId::from(grant.attempt.as_str());
        let endpoint = EndpointId::from(grant.endpoint.as_str());
        let Some(request) = self.attempts.get(&attempt).cloned() else {
            self.release_attempt(now, &attempt, &endpoint, 0, false);
            return;
        };
        let Some(active) = self.requests.get(&request) else {
            self.release_attempt(now, &attempt, &endpoint, 0, false);
            return;
        };
        let Phase::RequestingSlot(pending_slots) = &active.phase else {
            // Repeated grant of an attempt that already holds the slot; heartbeats renew it.
            return;
        };
        let pending_slots = pending_slots.clone();
        if now < self.dispatch_resumes_at {
            self.restart(now, &request);
            return;
        }
        if !self.may_dispatch(active, &endpoint, Version(grant.version)) {
            self.withdraw_slot_request(now, &request, &attempt);
            return;
        }
        for pending_slot in pending_slots
            .iter()
            .filter(|pending_slot| pending_slot.attempt != attempt)
        {
            self.release_attempt(now, &pending_slot.attempt, &pending_slot.endpoint, 0, false);
        }
        self.dispatch(now, &request, attempt, endpoint);
    }

    /// Releases everything that a request holds and lets it request slots again once dispatch
    /// resumes.
    pub(in crate::instance) fn restart(&mut self, now: Timestamp, request: &RequestId) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let backing_off = Phase::BackingOff(self.dispatch_resumes_at);
        let previous = std::mem::replace(&mut active.phase, backing_off);
        let stopped = ActiveRequest {
            phase: previous,
            ..active.clone()
        };
        self.stop(now, &stopped);
    }

    /// Checks whether an endpoint is still suitable right before a request is sent to it.
    pub(in crate::instance) fn may_dispatch(
        &self,
        active: &ActiveRequest,
        endpoint: &EndpointId,
        version: Version,
    ) -> bool {
        let settings = &self.settings;
        let Some(configured) = settings.endpoints.get(endpoint) else {
            return false;
        };
        let is_leaving = configured.leaving || self.leaving.contains(endpoint);
        let availability = self.availability_of(endpoint);
        let is_serving = availability.is_none_or(|reported| reported == Availability::Serving);
        let is_recent = version >= active.oldest_version;
        !is_leaving && is_serving && is_recent
    }

    /// Withdraws one slot request and chooses endpoints again when none is left.
    pub(in crate::instance) fn withdraw_slot_request(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        attempt: &AttemptId,
    ) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let Phase::RequestingSlot(pending_slots) = &mut active.phase else {
            return;
        };
        let Some(position) = pending_slots
            .iter()
            .position(|pending_slot| &pending_slot.attempt == attempt)
        else {
            return;
        };
        let pending_slot = pending_slots.remove(position);
        let was_last = pending_slots.is_empty();
        active
            .excluded_endpoints
            .push(pending_slot.endpoint.clone());
        self.release_attempt(now, &pending_slot.attempt, &pending_slot.endpoint, 0, false);
        if was_last {
            self.counters.record_retry(RetryReason::SlotLost);
            self.request_slot(now, request);
        }
    }

    /// Handles the refusal of a slot.
    pub(in crate::instance) fn on_slot_refused(&mut self, now: Timestamp, refusal: &SlotRefusal) {
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
        self.decision_log.add(now, &request, decision);
        self.drop_slot_request(now, &request, &attempt, denial);
    }

    pub(in crate::instance) fn drop_slot_request(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        attempt: &AttemptId,
        denial: Refusal,
    ) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let Phase::RequestingSlot(pending_slots) = &mut active.phase else {
            return;
        };
        let Some(position) = pending_slots
            .iter()
            .position(|pending_slot| &pending_slot.attempt == attempt)
        else {
            return;
        };
        if denial.reason == RefusalReason::NotCoordinator {
            // Views of the fleet differ temporarily; the resend goes to the coordinator known then.
            return;
        }
        let pending_slot = pending_slots.remove(position);
        let was_last = pending_slots.is_empty();
        self.attempts.swap_remove(attempt);
        self.router.record_released(now, &pending_slot.endpoint);
        if !was_last {
            return;
        }
        match denial.reason {
            RefusalReason::QueueFull
            | RefusalReason::Deadline
            | RefusalReason::CallerInFlightLimit => self.refuse_denied(now, request, denial),
            _ => {
                self.counters.record_retry(RetryReason::SlotLost);
                if let Some(active) = self.requests.get_mut(request) {
                    active.excluded_endpoints.push(pending_slot.endpoint);
                }
                self.request_slot(now, request);
            }
        }
    }

    /// Refuses a request for the reason of a denied slot, stating whether the request may have run.
    pub(in crate::instance) fn refuse_denied(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        denial: Refusal,
    ) {
        let mut refusal = self.refusal_for(request, denial.reason);
        refusal.retry_after = denial.retry_after;
        self.refuse(now, request, refusal);
    }

    /// Handles the lack of a suitable endpoint: a started request waits, any other is refused.
    pub(in crate::instance) fn no_endpoint(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        reason: RefusalReason,
    ) {
        let Some(active) = self.requests.get_mut(request) else {
            return;
        };
        let has_started = active.failures > 0 || active.partial.tokens() > 0;
        if has_started && now < active.request.deadline {
            active.excluded_endpoints.clear();
            active.phase = Phase::BackingOff(now + NO_ENDPOINT_DELAY);
            return;
        }
        let refusal = self.refusal_for(request, reason);
        let refusal = refusal.with_retry_after(NO_ENDPOINT_RETRY_AFTER);
        self.refuse(now, request, refusal);
    }

    /// Sends unanswered slot requests again, to the current coordinators of their endpoints.
    pub(in crate::instance) fn resend_slot_requests(
        &mut self,
        now: Timestamp,
        request: &RequestId,
    ) {
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let Phase::RequestingSlot(pending_slots) = &active.phase else {
            return;
        };
        let endpoints = &self.settings.endpoints;
        let is_configured =
            |pending_slot: &PendingSlot| endpoints.contains_key(&pending_slot.endpoint);
        let (mut pending_slots, removed): (Vec<PendingSlot>, Vec<PendingSlot>) =
            pending_slots.iter().cloned().partition(is_configured);
        if pending_slots.is_empty() {
            self.restart(now, request);
            return;
        }
        for pending_slot in removed {
            self.release_attempt(now, &pending_slot.attempt, &pending_slot.endpoint, 0, false);
        }
        for pending_slot in &mut pending_slots {
            if let Some(coordinator) = self.coordinator_of(&pending_slot.endpoint) {
                pending_slot.coordinator = coordinator;
            }
            pending_slot.requested_at = now;
        }
        if let Some(active) = self.requests.get_mut(request) {
            active.phase = Phase::RequestingSlot(pending_slots.clone());
        }
        for pending_slot in &pending_slots {
            self.send_slot_request(now, request, pending_slot);
        }
    }
}
