//! Slot queue of one endpoint, run by the endpoint's coordinator.
//!
//! Interactive requests go first until they use their cap of slots, and also beyond it while no
//! batch request waits. After a recent interactive request, one slot is reserved for interactive
//! callers so that they don't wait for a long batch request to finish. Callers of the same
//! priority share slots by deficit round robin over tokens. Grants are soft state: they expire
//! unless heartbeats renew them, and a new coordinator adopts existing grants from heartbeats
//! before it issues any of its own.

mod drain;
mod fair;
mod types;

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use indexmap::IndexMap;
use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::settings::Priority;

use self::drain::DrainRate;
use self::fair::FairQueue;
use self::fair::QueuePosition;
use self::fair::weight_of;
use crate::id::AttemptId;
use crate::id::CallerId;
use crate::id::InstanceId;
use crate::id::Version;
use crate::refusal::RefusalReason;
use crate::time::Timestamp;

pub use self::fair::QUANTUM_TOKENS;
pub use self::types::HeldGrant;
pub use self::types::QueueOutput;
pub use self::types::QueueSettings;
pub use self::types::QueuedSlotRequest;
pub use self::types::RESERVE_WINDOW;
pub use self::types::SlotDenial;
pub use self::types::TTL_HEARTBEATS;

#[derive(Clone, Debug)]
struct WaitingRequest {
    request: QueuedSlotRequest,
    position: QueuePosition,
}

#[derive(Clone, Debug)]
struct Grant {
    from: InstanceId,
    caller: CallerId,
    priority: Priority,
    charged_tokens: i64,
    alone: bool,
    expires: Timestamp,
}

/// Waiting slot requests and grants of one endpoint, kept by its coordinator.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    settings: QueueSettings,
    weights: IndexMap<CallerId, u32>,
    /// Time before which no slot is granted; `None` once it has passed.
    grants_blocked_until: Option<Timestamp>,
    version: Version,
    availability: Availability,
    waiting: IndexMap<AttemptId, WaitingRequest>,
    interactive: FairQueue,
    batch: FairQueue,
    grants: IndexMap<AttemptId, Grant>,
    interactive_in_flight: usize,
    deadlines: BTreeSet<(Timestamp, AttemptId)>,
    expiries: BTreeSet<(Timestamp, AttemptId)>,
    /// Requests that must run alone and wait for the endpoint to become idle.
    exclusive: VecDeque<AttemptId>,
    last_interactive_at: Option<Timestamp>,
    sequence: u64,
    drain: DrainRate,
    outputs: Vec<QueueOutput>,
}

impl SlotQueue {
    /// Creates the queue of a coordinator that took over the endpoint at `now`.
    ///
    /// It grants nothing until every ingress instance has had time to report the grants it holds.
    /// `seed` seeds the jitter of retry delays.
    #[must_use]
    pub fn new(now: Timestamp, settings: QueueSettings, seed: u64) -> Self {
        Self {
            grants_blocked_until: Some(now + settings.rebuild_time()),
            settings,
            weights: IndexMap::new(),
            version: Version(0),
            availability: Availability::Serving,
            waiting: IndexMap::new(),
            interactive: FairQueue::default(),
            batch: FairQueue::default(),
            grants: IndexMap::new(),
            interactive_in_flight: 0,
            deadlines: BTreeSet::new(),
            expiries: BTreeSet::new(),
            exclusive: VecDeque::new(),
            last_interactive_at: None,
            sequence: 0,
            drain: DrainRate::new(seed),
            outputs: Vec::new(),
        }
    }

    /// Applies new settings and caller weights; a caller without a weight has weight one.
    pub fn configure(&mut self, settings: QueueSettings, weights: &IndexMap<CallerId, u32>) {
        self.settings = settings;
        self.weights.clone_from(weights);
        self.interactive.set_weights(weights);
        self.batch.set_weights(weights);
    }

    /// Queues a slot request.
    ///
    /// A duplicate of a waiting request does nothing; a duplicate of a granted one renews the
    /// grant and sends it again.
    ///
    /// # Errors
    ///
    /// Returns why the request can't be queued, and a retry delay if a retry can succeed.
    pub fn request(
        &mut self,
        now: Timestamp,
        request: QueuedSlotRequest,
    ) -> Result<(), SlotDenial> {
        if let Some(grant) = self.remove_grant(&request.attempt) {
            self.resend_grant(now, &request.attempt, grant);
            return Ok(());
        }
        if self.waiting.contains_key(&request.attempt) {
            return Ok(());
        }
        if request.priority == Priority::Interactive {
            self.last_interactive_at = Some(now);
        }
        if let Some(reason) = self.request_refusal_reason(now, &request) {
            return Err(SlotDenial {
                reason,
                retry_after: None,
            });
        }
        self.evict_if_full(&request)?;
        self.enqueue(request);
        Ok(())
    }

    /// Releases a grant or cancels a waiting request; `tokens` is the attempt's actual use.
    ///
    /// A grant returned unused has no tokens and doesn't count towards the drain rate.
    pub fn release(&mut self, now: Timestamp, attempt: &AttemptId, tokens: u32) {
        self.remove_waiting(attempt);
        let Some(grant) = self.remove_grant(attempt) else {
            return;
        };
        if tokens > 0 {
            self.drain.record_release(now);
        }
        let correction = grant.charged_tokens - i64::from(tokens);
        self.queue_mut(grant.priority)
            .adjust_charge(&grant.caller, correction);
    }

    /// Renews the grants that an instance holds and adopts those of an earlier coordinator.
    pub fn heartbeat(&mut self, now: Timestamp, from: &InstanceId, held: &[HeldGrant]) {
        for grant in held {
            self.remove_waiting(&grant.attempt);
            let existing = self.remove_grant(&grant.attempt);
            let renewed = Grant {
                from: from.clone(),
                caller: grant.caller.clone(),
                priority: grant.priority,
                charged_tokens: existing
                    .as_ref()
                    .map_or(0, |existing| existing.charged_tokens),
                alone: grant.alone,
                expires: now + self.settings.ttl(),
            };
            self.insert_grant(grant.attempt.clone(), renewed);
        }
    }

    /// Applies the endpoint's reported state and denies requests that it can no longer run.
    pub fn set_endpoint(&mut self, version: Version, availability: Availability) {
        if (self.version, self.availability) == (version, availability) {
            return;
        }
        self.version = version;
        self.availability = availability;
        let refused: Vec<_> = self
            .waiting
            .values()
            .filter_map(|waiting| {
                let reason = self.endpoint_refusal_reason(waiting.request.oldest_version)?;
                Some((waiting.request.attempt.clone(), reason))
            })
            .collect();
        for (attempt, reason) in refused {
            self.deny(&attempt, reason, false);
        }
    }

    /// Removes the grants and waiting requests of an instance that has left or failed.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        let grants = self
            .grants
            .iter()
            .filter(|(_, grant)| &grant.from == instance);
        let grants: Vec<_> = grants.map(|(attempt, _)| attempt.clone()).collect();
        for attempt in grants {
            self.remove_grant(&attempt);
        }
        let waiting = self.waiting.values().map(|waiting| &waiting.request);
        let waiting = waiting.filter(|request| &request.from == instance);
        let waiting: Vec<_> = waiting.map(|request| request.attempt.clone()).collect();
        for attempt in waiting {
            self.remove_waiting(&attempt);
        }
    }

    /// Removes expired requests and grants, grants free slots and appends the resulting outputs.
    pub fn poll(&mut self, now: Timestamp, outputs: &mut Vec<QueueOutput>) {
        self.remove_expired(now);
        self.grants_blocked_until = self.grants_blocked_until.filter(|&until| now < until);
        let last_at = self.last_interactive_at;
        self.last_interactive_at = last_at.filter(|&at| now.since(at) < RESERVE_WINDOW);
        if self.grants_blocked_until.is_none() && self.availability == Availability::Serving {
            while self.grant_next(now) {}
        }
        outputs.append(&mut self.outputs);
    }

    /// Returns the number of grants in use.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.grants.len()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the next time at which [`Self::poll`] has to run even if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let has_waiting = !self.waiting.is_empty();
        let grants_unblocked = self.grants_blocked_until.filter(|_| has_waiting);
        let reserve = (self.batch.len() > 0)
            .then(|| self.last_interactive_at.map(|at| at + RESERVE_WINDOW))
            .flatten();
        [deadline, expiry, grants_unblocked, reserve]
            .into_iter()
            .flatten()
            .min()
    }

    fn request_refusal_reason(
        &self,
        now: Timestamp,
        request: &QueuedSlotRequest,
    ) -> Option<RefusalReason> {
        if request.deadline <= now {
            return Some(RefusalReason::Deadline);
        }
        self.endpoint_refusal_reason(request.oldest_version)
    }

    fn endpoint_refusal_reason(&self, oldest_version: Version) -> Option<RefusalReason> {
        match self.availability {
            Availability::EndpointLeaving => Some(RefusalReason::EndpointLeaving),
            Availability::Down => Some(RefusalReason::EndpointDown),
            Availability::Serving | Availability::Swapping => {
                (self.version < oldest_version).then_some(RefusalReason::EndpointStale)
            }
        }
    }

    /// Makes room in a full queue by evicting a request of the caller with the longest queue.
    ///
    /// Source: Suter, Lakshman, Stiliadis and Choudhury, "Buffer Management Schemes for
    /// Supporting TCP in Gigabit Routers with Per-Flow Queueing", 1999 (longest queue drop).
    fn evict_if_full(&mut self, request: &QueuedSlotRequest) -> Result<(), SlotDenial> {
        if self.waiting.len() < self.settings.queue_limit {
            return Ok(());
        }
        let Some(victim) = self.select_victim(request) else {
            let retry_after = self.drain.retry_after(self.waiting.len());
            return Err(SlotDenial {
                reason: RefusalReason::QueueFull,
                retry_after: Some(retry_after),
            });
        };
        self.deny(&victim, RefusalReason::QueueFull, true);
        Ok(())
    }

    fn select_victim(&self, request: &QueuedSlotRequest) -> Option<AttemptId> {
        let percent = self.settings.interactive_cap_percent as usize;
        let interactive_limit = self.settings.queue_limit * percent / 100;
        let may_displace_batch =
            request.priority == Priority::Interactive && self.interactive.len() < interactive_limit;
        if may_displace_batch && let Some((_, position)) = self.batch.longest() {
            return Some(position.attempt);
        }
        let queue = self.queue(request.priority);
        let (caller, position) = queue.longest()?;
        let weight = weight_of(&self.weights, &request.caller);
        queue
            .would_be_shorter(&request.caller, weight, &caller)
            .then_some(position.attempt)
    }

    fn enqueue(&mut self, request: QueuedSlotRequest) {
        self.sequence += 1;
        let position = QueuePosition {
            rank: Reverse(request.rank),
            sequence: self.sequence,
            cost_tokens: i64::from(request.expected_tokens.max(1)),
            attempt: request.attempt.clone(),
        };
        let weight = weight_of(&self.weights, &request.caller);
        self.queue_mut(request.priority)
            .push(&request.caller, weight, position.clone());
        self.deadlines
            .insert((request.deadline, request.attempt.clone()));
        self.waiting.insert(
            request.attempt.clone(),
            WaitingRequest { request, position },
        );
    }

    fn remove_waiting(&mut self, attempt: &AttemptId) -> Option<WaitingRequest> {
        let waiting = self.waiting.swap_remove(attempt)?;
        let request = &waiting.request;
        self.deadlines.remove(&(request.deadline, attempt.clone()));
        self.queue_mut(request.priority)
            .remove(&request.caller, &waiting.position);
        self.exclusive.retain(|other| other != attempt);
        Some(waiting)
    }

    fn insert_grant(&mut self, attempt: AttemptId, grant: Grant) {
        self.expiries.insert((grant.expires, attempt.clone()));
        if grant.priority == Priority::Interactive {
            self.interactive_in_flight += 1;
        }
        self.grants.insert(attempt, grant);
    }

    fn remove_grant(&mut self, attempt: &AttemptId) -> Option<Grant> {
        let grant = self.grants.swap_remove(attempt)?;
        self.expiries.remove(&(grant.expires, attempt.clone()));
        if grant.priority == Priority::Interactive {
            self.interactive_in_flight -= 1;
        }
        Some(grant)
    }

    fn deny(&mut self, attempt: &AttemptId, reason: RefusalReason, may_retry: bool) {
        let queued_ahead = self.waiting.len();
        let Some(waiting) = self.remove_waiting(attempt) else {
            return;
        };
        let retry_after = may_retry.then(|| self.drain.retry_after(queued_ahead));
        self.outputs.push(QueueOutput::Deny {
            attempt: attempt.clone(),
            to: waiting.request.from,
            denial: SlotDenial {
                reason,
                retry_after,
            },
        });
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some((at, attempt)) = self.deadlines.first().cloned()
            && at <= now
        {
            self.deny(&attempt, RefusalReason::Deadline, true);
        }
        while let Some((at, attempt)) = self.expiries.first().cloned()
            && at <= now
        {
            self.remove_grant(&attempt);
        }
    }

    fn grant_next(&mut self, now: Timestamp) -> bool {
        if self.grants.values().any(|grant| grant.alone) {
            return false;
        }
        if self.grants.is_empty()
            && let Some(attempt) = self.exclusive.pop_front()
        {
            return self.grant(now, &attempt);
        }
        let Some(priority) = self.next_priority() else {
            return false;
        };
        let queue = self.queue_mut(priority);
        let Some((caller, position)) = queue.peek() else {
            return false;
        };
        queue.dequeue(&caller, &position);
        let waiting = self.waiting.get(&position.attempt);
        if waiting.is_some_and(|waiting| waiting.request.alone) && !self.grants.is_empty() {
            self.exclusive.push_back(position.attempt);
            return true;
        }
        self.grant(now, &position.attempt)
    }

    /// Returns the priority that gets the next slot.
    ///
    /// While a request that must run alone waits for the endpoint to become idle, no batch request
    /// starts. Other interactive requests still do, so that one suspect doesn't delay them.
    fn next_priority(&self) -> Option<Priority> {
        let free = self.settings.slots.saturating_sub(self.grants.len());
        if free == 0 {
            return None;
        }
        let below_cap = self.interactive_in_flight < self.settings.interactive_cap();
        if self.interactive.len() > 0 && (below_cap || self.batch.len() == 0) {
            return Some(Priority::Interactive);
        }
        let batch_may_start = self.exclusive.is_empty() && free > self.reserved_slots();
        (self.batch.len() > 0 && batch_may_start).then_some(Priority::Batch)
    }

    fn reserved_slots(&self) -> usize {
        let seen_recently = self.last_interactive_at.is_some();
        let below_cap = self.interactive_in_flight < self.settings.interactive_cap();
        usize::from(seen_recently && below_cap && self.settings.slots > 1)
    }

    fn grant(&mut self, now: Timestamp, attempt: &AttemptId) -> bool {
        let Some(waiting) = self.remove_waiting(attempt) else {
            return false;
        };
        let request = waiting.request;
        let grant = Grant {
            from: request.from,
            caller: request.caller,
            priority: request.priority,
            charged_tokens: waiting.position.cost_tokens,
            alone: request.alone,
            expires: now + self.settings.ttl(),
        };
        let output = self.grant_output(attempt, &grant.from);
        self.outputs.push(output);
        self.insert_grant(attempt.clone(), grant);
        true
    }

    /// Sends a grant again and renews it, so that it can't expire before the ingress receives it.
    fn resend_grant(&mut self, now: Timestamp, attempt: &AttemptId, mut grant: Grant) {
        grant.expires = now + self.settings.ttl();
        let output = self.grant_output(attempt, &grant.from);
        self.outputs.push(output);
        self.insert_grant(attempt.clone(), grant);
    }

    fn grant_output(&self, attempt: &AttemptId, to: &InstanceId) -> QueueOutput {
        QueueOutput::Grant {
            attempt: attempt.clone(),
            to: to.clone(),
            ttl: self.settings.ttl(),
            version: self.version,
        }
    }

    fn queue(&self, priority: Priority) -> &FairQueue {
        match priority {
            Priority::Interactive => &self.interactive,
            Priority::Batch => &self.batch,
        }
    }

    fn queue_mut(&mut self, priority: Priority) -> &mut FairQueue {
        match priority {
            Priority::Interactive => &mut self.interactive,
            Priority::Batch => &mut self.batch,
        }
    }
}
