//! Slots of one endpoint, granted by its steward.
//!
//! Interactive callers go first up to their cap of slots, and beyond it while no batch work
//! waits. One slot stays free of batch work while interactive callers were seen lately, so that
//! they don't wait for a long batch request to end. Callers of one priority share by deficit
//! round robin in tokens. Grants are soft state: they end unless heartbeats renew them, and a
//! new steward adopts them from the heartbeats before it gives any of its own.

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
use self::fair::Place;
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
pub use self::types::RESERVE_WINDOW;
pub use self::types::SlotAsk;
pub use self::types::SlotDenial;
pub use self::types::TTL_HEARTBEATS;

#[derive(Clone, Debug)]
struct Waiting {
    ask: SlotAsk,
    place: Place,
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

/// Queue and grants of one endpoint, held by its steward.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    settings: QueueSettings,
    weights: IndexMap<CallerId, u32>,
    /// When grants may begin; none once that time is past.
    grants_from: Option<Timestamp>,
    version: Version,
    availability: Availability,
    waiting: IndexMap<AttemptId, Waiting>,
    interactive: FairQueue,
    batch: FairQueue,
    grants: IndexMap<AttemptId, Grant>,
    interactive_in_flight: usize,
    deadlines: BTreeSet<(Timestamp, AttemptId)>,
    expiries: BTreeSet<(Timestamp, AttemptId)>,
    draining: VecDeque<AttemptId>,
    interactive_seen: Option<Timestamp>,
    sequence: u64,
    drain: DrainRate,
    outputs: Vec<QueueOutput>,
}

impl SlotQueue {
    /// Returns the queue of a steward that took the endpoint over at `now`.
    ///
    /// It grants nothing until every entry had time to report its grants.
    /// `seed` spreads the times to come back.
    #[must_use]
    pub fn new(now: Timestamp, settings: QueueSettings, seed: u64) -> Self {
        Self {
            grants_from: Some(now + settings.rebuild_time()),
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
            draining: VecDeque::new(),
            interactive_seen: None,
            sequence: 0,
            drain: DrainRate::new(seed),
            outputs: Vec::new(),
        }
    }

    /// Takes new settings and weights of callers; a caller without one has weight one.
    pub fn configure(&mut self, settings: QueueSettings, weights: &IndexMap<CallerId, u32>) {
        self.settings = settings;
        self.weights.clone_from(weights);
        self.interactive.set_weights(weights);
        self.batch.set_weights(weights);
    }

    /// Queues an ask; a repeat does nothing, or repeats and renews the grant if there is one.
    ///
    /// # Errors
    ///
    /// Returns why the ask can't wait here, and when to come back if that can help.
    pub fn request(&mut self, now: Timestamp, ask: SlotAsk) -> Result<(), SlotDenial> {
        if let Some(grant) = self.remove_grant(&ask.attempt) {
            self.repeat_grant(now, &ask.attempt, grant);
            return Ok(());
        }
        if self.waiting.contains_key(&ask.attempt) {
            return Ok(());
        }
        if ask.priority == Priority::Interactive {
            self.interactive_seen = Some(now);
        }
        if let Some(reason) = self.unfit(now, &ask) {
            return Err(SlotDenial {
                reason,
                retry_after: None,
            });
        }
        self.make_room(&ask)?;
        self.enqueue(ask);
        Ok(())
    }

    /// Takes a grant or a waiting ask back; `tokens` is what the attempt really took.
    ///
    /// A grant that was withdrawn unused takes none and doesn't count as work that drained.
    pub fn release(&mut self, now: Timestamp, attempt: &AttemptId, tokens: u32) {
        self.remove_waiting(attempt);
        let Some(grant) = self.remove_grant(attempt) else {
            return;
        };
        if tokens > 0 {
            self.drain.note(now);
        }
        let correction = grant.charged_tokens - i64::from(tokens);
        self.queue_mut(grant.priority)
            .settle(&grant.caller, correction);
    }

    /// Renews the grants that an instance holds and adopts those given by an earlier steward.
    pub fn heartbeat(&mut self, now: Timestamp, from: &InstanceId, held: &[HeldGrant]) {
        for grant in held {
            self.remove_waiting(&grant.attempt);
            let known = self.remove_grant(&grant.attempt);
            let renewed = Grant {
                from: from.clone(),
                caller: grant.caller.clone(),
                priority: grant.priority,
                charged_tokens: known.as_ref().map_or(0, |known| known.charged_tokens),
                alone: grant.alone,
                expires: now + self.settings.ttl(),
            };
            self.insert_grant(grant.attempt.clone(), renewed);
        }
    }

    /// Takes what the endpoint reported; asks that it can't run any more are denied.
    pub fn set_endpoint(&mut self, version: Version, availability: Availability) {
        if (self.version, self.availability) == (version, availability) {
            return;
        }
        self.version = version;
        self.availability = availability;
        let unfit: Vec<_> = self
            .waiting
            .values()
            .filter_map(|waiting| {
                let reason = self.unfit_endpoint(waiting.ask.oldest_version)?;
                Some((waiting.ask.attempt.clone(), reason))
            })
            .collect();
        for (attempt, reason) in unfit {
            self.deny(&attempt, reason, false);
        }
    }

    /// Drops everything that belongs to an instance that is gone.
    pub fn forget_instance(&mut self, instance: &InstanceId) {
        let grants = self.grants.iter().filter(|(_, g)| &g.from == instance);
        let grants: Vec<_> = grants.map(|(attempt, _)| attempt.clone()).collect();
        for attempt in grants {
            self.remove_grant(&attempt);
        }
        let waiting = self.waiting.values().map(|waiting| &waiting.ask);
        let waiting = waiting.filter(|ask| &ask.from == instance);
        let waiting: Vec<_> = waiting.map(|ask| ask.attempt.clone()).collect();
        for attempt in waiting {
            self.remove_waiting(&attempt);
        }
    }

    /// Ends what is past its time, grants what can be granted and appends all that to `outputs`.
    pub fn poll(&mut self, now: Timestamp, outputs: &mut Vec<QueueOutput>) {
        self.end_expired(now);
        self.grants_from = self.grants_from.filter(|&from| now < from);
        let seen = self.interactive_seen;
        self.interactive_seen = seen.filter(|&at| now.since(at) < RESERVE_WINDOW);
        if self.grants_from.is_none() && self.availability == Availability::Serving {
            while self.grant_next(now) {}
        }
        outputs.append(&mut self.outputs);
    }

    /// Returns the number of grants in use.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.grants.len()
    }

    /// Returns the number of waiting asks.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns when [`Self::poll`] has something to do by the clock alone.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let has_waiting = !self.waiting.is_empty();
        let rebuilt = self.grants_from.filter(|_| has_waiting);
        let reserve = (self.batch.len() > 0)
            .then(|| self.interactive_seen.map(|at| at + RESERVE_WINDOW))
            .flatten();
        [deadline, expiry, rebuilt, reserve]
            .into_iter()
            .flatten()
            .min()
    }

    fn unfit(&self, now: Timestamp, ask: &SlotAsk) -> Option<RefusalReason> {
        if ask.deadline <= now {
            return Some(RefusalReason::Deadline);
        }
        self.unfit_endpoint(ask.oldest_version)
    }

    fn unfit_endpoint(&self, oldest_version: Version) -> Option<RefusalReason> {
        match self.availability {
            Availability::EndpointLeaving => Some(RefusalReason::EndpointLeaving),
            Availability::Down => Some(RefusalReason::EndpointDown),
            Availability::Serving | Availability::Swapping => {
                (self.version < oldest_version).then_some(RefusalReason::EndpointStale)
            }
        }
    }

    /// Makes room in a full queue at the cost of the caller that fills it most.
    ///
    /// Source: Suter, Lakshman, Stiliadis and Choudhury, "Buffer Management Schemes for
    /// Supporting TCP in Gigabit Routers with Per-Flow Queueing", 1999 (longest queue drop).
    fn make_room(&mut self, ask: &SlotAsk) -> Result<(), SlotDenial> {
        if self.waiting.len() < self.settings.queue_limit {
            return Ok(());
        }
        let Some(victim) = self.victim(ask) else {
            let retry_after = self.drain.retry_after(self.waiting.len());
            return Err(SlotDenial {
                reason: RefusalReason::QueueFull,
                retry_after: Some(retry_after),
            });
        };
        self.deny(&victim, RefusalReason::QueueFull, true);
        Ok(())
    }

    fn victim(&self, ask: &SlotAsk) -> Option<AttemptId> {
        let percent = self.settings.interactive_cap_percent as usize;
        let interactive_part = self.settings.queue_limit * percent / 100;
        let may_displace_batch =
            ask.priority == Priority::Interactive && self.interactive.len() < interactive_part;
        if may_displace_batch && let Some((_, place)) = self.batch.longest() {
            return Some(place.attempt);
        }
        let queue = self.queue(ask.priority);
        let (caller, place) = queue.longest()?;
        let weight = weight_of(&self.weights, &ask.caller);
        queue
            .is_shorter(&ask.caller, weight, &caller)
            .then_some(place.attempt)
    }

    fn enqueue(&mut self, ask: SlotAsk) {
        self.sequence += 1;
        let place = Place {
            rank: Reverse(ask.rank),
            sequence: self.sequence,
            cost_tokens: i64::from(ask.expected_tokens.max(1)),
            attempt: ask.attempt.clone(),
        };
        let weight = weight_of(&self.weights, &ask.caller);
        self.queue_mut(ask.priority)
            .push(&ask.caller, weight, place.clone());
        self.deadlines.insert((ask.deadline, ask.attempt.clone()));
        self.waiting
            .insert(ask.attempt.clone(), Waiting { ask, place });
    }

    fn remove_waiting(&mut self, attempt: &AttemptId) -> Option<Waiting> {
        let waiting = self.waiting.swap_remove(attempt)?;
        let ask = &waiting.ask;
        self.deadlines.remove(&(ask.deadline, attempt.clone()));
        self.queue_mut(ask.priority)
            .remove(&ask.caller, &waiting.place);
        self.draining.retain(|other| other != attempt);
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

    fn deny(&mut self, attempt: &AttemptId, reason: RefusalReason, come_back: bool) {
        let ahead = self.waiting.len();
        let Some(waiting) = self.remove_waiting(attempt) else {
            return;
        };
        let retry_after = come_back.then(|| self.drain.retry_after(ahead));
        self.outputs.push(QueueOutput::Deny {
            attempt: attempt.clone(),
            to: waiting.ask.from,
            denial: SlotDenial {
                reason,
                retry_after,
            },
        });
    }

    fn end_expired(&mut self, now: Timestamp) {
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
            && let Some(attempt) = self.draining.pop_front()
        {
            return self.grant(now, &attempt);
        }
        let Some(priority) = self.next_priority() else {
            return false;
        };
        let queue = self.queue_mut(priority);
        let Some((caller, place)) = queue.peek() else {
            return false;
        };
        queue.take(&caller, &place);
        let waiting = self.waiting.get(&place.attempt);
        if waiting.is_some_and(|waiting| waiting.ask.alone) && !self.grants.is_empty() {
            self.draining.push_back(place.attempt);
            return true;
        }
        self.grant(now, &place.attempt)
    }

    /// Returns the priority that the next slot goes to.
    ///
    /// While the endpoint drains for an ask that must run alone, no batch work starts; other
    /// interactive work goes on, since one suspect must not make interactive callers late.
    fn next_priority(&self) -> Option<Priority> {
        let free = self.settings.slots.saturating_sub(self.grants.len());
        if free == 0 {
            return None;
        }
        let below_cap = self.interactive_in_flight < self.settings.interactive_cap();
        if self.interactive.len() > 0 && (below_cap || self.batch.len() == 0) {
            return Some(Priority::Interactive);
        }
        let batch_may_start = self.draining.is_empty() && free > self.reserved();
        (self.batch.len() > 0 && batch_may_start).then_some(Priority::Batch)
    }

    fn reserved(&self) -> usize {
        let seen_lately = self.interactive_seen.is_some();
        let below_cap = self.interactive_in_flight < self.settings.interactive_cap();
        usize::from(seen_lately && below_cap && self.settings.slots > 1)
    }

    fn grant(&mut self, now: Timestamp, attempt: &AttemptId) -> bool {
        let Some(waiting) = self.remove_waiting(attempt) else {
            return false;
        };
        let ask = waiting.ask;
        let grant = Grant {
            from: ask.from,
            caller: ask.caller,
            priority: ask.priority,
            charged_tokens: waiting.place.cost_tokens,
            alone: ask.alone,
            expires: now + self.settings.ttl(),
        };
        let output = self.grant_output(attempt, &grant.from);
        self.outputs.push(output);
        self.insert_grant(attempt.clone(), grant);
        true
    }

    /// Sends a grant again and renews it, so that it can't end before the entry hears of it.
    fn repeat_grant(&mut self, now: Timestamp, attempt: &AttemptId, mut grant: Grant) {
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
