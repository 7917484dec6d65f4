//! Requests in progress: asking for slots, sending, resuming, answering.

mod asking;
mod ending;
mod running;

use std::time::Duration;

use indexmap::IndexMap;
use wisteriaford_proto::admission::HeldSlot;

use crate::counters::Counter;
use crate::event::AttemptFailure;
use crate::explain::Decision;
use crate::id::InstanceId;
use crate::instance::Instance;
use crate::refusal::RefusalReason;
use crate::request::Active;
use crate::request::Ask;
use crate::request::Phase;
use crate::time::Timestamp;
use crate::work::Work;

/// Time after which a steward that said nothing is asked again.
pub(super) const ASK_INTERVAL: Duration = Duration::from_secs(1);

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
                Due::AskSecond => self.ask_second(now, &request),
                Due::AskAgain => self.ask_again(now, &request),
            }
        }
    }

    fn due(&self, now: Timestamp, active: &Active) -> Option<Due> {
        if now >= active.request.deadline {
            return Some(Due::Deadline);
        }
        match &active.phase {
            Phase::Asking(_) if active.second.as_ref().is_some_and(|(at, _)| now >= *at) => {
                Some(Due::AskSecond)
            }
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

    /// Returns the slots held here, by the steward that they are renewed at.
    pub(super) fn held_by_steward(&self) -> IndexMap<InstanceId, Vec<HeldSlot>> {
        let mut held: IndexMap<InstanceId, Vec<_>> = IndexMap::new();
        for active in self.requests.values() {
            let Some(running) = active.holding() else {
                continue;
            };
            let Some(steward) = self.steward_of(&running.endpoint) else {
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
    AskSecond,
    AskAgain,
}
