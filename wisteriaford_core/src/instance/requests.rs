//! Requests in progress, from the first slot request to the final answer.

mod completion;
mod execution;
mod slot_requests;

use std::time::Duration;

use indexmap::IndexMap;
use wisteriaford_proto::admission::HeldSlot;

use crate::counters::Counter;
use crate::event::AttemptFailure;
use crate::explain::Decision;
use crate::id::InstanceId;
use crate::instance::Instance;
use crate::refusal::RefusalReason;
use crate::request::ActiveRequest;
use crate::request::PendingSlot;
use crate::request::Phase;
use crate::time::Timestamp;
use crate::work::Work;

/// Time after which an unanswered slot request is sent again.
pub(super) const SLOT_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

impl Instance {
    /// Registers an accepted request and requests a slot for it.
    pub(super) fn start(&mut self, now: Timestamp, active: ActiveRequest) {
        let request = active.request.id.clone();
        self.counters.add(Counter::Requests, 1);
        let expected = active.request.work.expected_tokens();
        self.shares
            .record_demand(now, &active.request.caller, expected);
        self.decision_log.add(now, &request, Decision::Accepted);
        self.requests.insert(request.clone(), active);
        self.request_slot(now, &request);
    }

    /// Performs the actions that are due for requests in progress.
    pub(super) fn tick_requests(&mut self, now: Timestamp) {
        let mut due = Vec::new();
        for (request, active) in &self.requests {
            if let Some(action) = self.due_action(now, active) {
                due.push((request.clone(), action));
            }
        }
        for (request, action) in due {
            match action {
                DueAction::Deadline => {
                    let refusal = self.refusal_for(&request, RefusalReason::Deadline);
                    self.refuse(now, &request, refusal);
                }
                DueAction::Silent => self.attempt_failed(now, &request, AttemptFailure::Silent),
                DueAction::RequestSlot => self.request_slot(now, &request),
                DueAction::HedgeSlotRequest => self.request_hedged_slot(now, &request),
                DueAction::ResendSlotRequests => self.resend_slot_requests(now, &request),
            }
        }
    }

    fn due_action(&self, now: Timestamp, active: &ActiveRequest) -> Option<DueAction> {
        if now >= active.request.deadline {
            return Some(DueAction::Deadline);
        }
        match &active.phase {
            Phase::RequestingSlot(_)
                if active
                    .second_choice
                    .as_ref()
                    .is_some_and(|(at, _)| now >= *at) =>
            {
                Some(DueAction::HedgeSlotRequest)
            }
            Phase::RequestingSlot(pending_slots) => {
                let is_due = |pending_slot: &PendingSlot| {
                    now.since(pending_slot.requested_at) >= SLOT_REQUEST_INTERVAL
                };
                pending_slots
                    .iter()
                    .any(is_due)
                    .then_some(DueAction::ResendSlotRequests)
            }
            Phase::Claiming(_) => None,
            Phase::Running(running) => {
                let pool = self.settings.pools.get(&active.request.pool)?;
                let is_stream = matches!(active.request.work, Work::Generate(_));
                let silence = now.since(running.progress_at);
                (is_stream && silence >= pool.silence_timeout).then_some(DueAction::Silent)
            }
            Phase::BackingOff(until) => (now >= *until).then_some(DueAction::RequestSlot),
        }
    }

    /// Returns the slots held by this instance, grouped by the coordinator that renews them.
    pub(super) fn held_slots_by_coordinator(&self) -> IndexMap<InstanceId, Vec<HeldSlot>> {
        let mut held: IndexMap<InstanceId, Vec<_>> = IndexMap::new();
        for active in self.requests.values() {
            let Some(running) = active.attempt_with_slot() else {
                continue;
            };
            let Some(coordinator) = self.coordinator_of(&running.endpoint) else {
                continue;
            };
            let slot = HeldSlot {
                attempt: running.attempt.to_string(),
                endpoint: running.endpoint.to_string(),
                caller: active.request.caller.to_string(),
                priority: active.priority.into(),
                alone: active.alone,
                fingerprint: active.fingerprint.0,
            };
            held.entry(coordinator).or_default().push(slot);
        }
        held
    }
}

/// Action that is due for a request.
enum DueAction {
    Deadline,
    Silent,
    RequestSlot,
    HedgeSlotRequest,
    ResendSlotRequests,
}
