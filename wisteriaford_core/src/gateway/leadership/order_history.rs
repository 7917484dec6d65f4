//! Orders of this instance, and the times between the orders of successive leaders.
//!
//! A new leader leaves a gap after the last order that the previous one could give. None is needed after a
//! leader that states, in the record that releases its lease, that it gives no more orders and that all were
//! answered. There are two exceptions: orders of machines in the sequence A, B, A within the gap, and the rest
//! of a gap that the releasing leader had to leave itself.

use std::time::Duration;

use wisteriaford_proto::job::OrdersEnded;

use crate::gateway::leadership::LEASE;
use crate::time::Timestamp;

/// Time for which a release waits for answers to orders; longer than the time-out of an order.
const MAX_ANSWER_WAIT: Duration = Duration::from_millis(900);

/// What a new leader knows of the term before its own.
#[derive(Clone, Copy, Debug)]
pub(super) struct PreviousTerm {
    /// When its newest record was read.
    pub(super) last_seen: Timestamp,
    /// Whether its leader ran on the machine of the new one.
    pub(super) is_same_host: bool,
    /// Rest of the gap that its leader had to leave, if it stated that all of its orders have ended.
    pub(super) remaining_gap: Option<Duration>,
    /// Time for which its leader itself gave no orders yet.
    pub(super) order_wait: Duration,
}

impl PreviousTerm {
    /// Returns the end of the gap after the orders of this term and those before.
    fn gap_end(&self, now: Timestamp, order_gap: Duration) -> Timestamp {
        match self.remaining_gap {
            Some(remaining) => self.last_seen + remaining,
            None if self.is_same_host => now,
            None => self.last_seen + LEASE + order_gap,
        }
    }
}

/// Orders of this instance, and when it may give some.
#[derive(Clone, Debug)]
pub(super) struct OrderHistory {
    order_gap: Duration,
    /// When the log was first reached. A process that ran on this machine before may have given orders
    /// until then.
    reachable_since: Option<Timestamp>,
    in_flight: u32,
    last_ended: Option<Timestamp>,
    /// End of the last order without an answer, which may still arrive.
    last_unanswered: Option<Timestamp>,
    /// When this instance stopped giving orders in order to release its lease.
    stopped_at: Option<Timestamp>,
    /// End of the gap after the orders of the leaders before.
    gap_end: Timestamp,
    allowed_from: Timestamp,
}

impl OrderHistory {
    pub(super) fn new(order_gap: Duration) -> Self {
        Self {
            order_gap,
            reachable_since: None,
            in_flight: 0,
            last_ended: None,
            last_unanswered: None,
            stopped_at: None,
            gap_end: Timestamp::default(),
            allowed_from: Timestamp::default(),
        }
    }

    /// Notes that the log is reachable.
    pub(super) fn on_reachable(&mut self, now: Timestamp) {
        self.reachable_since.get_or_insert(now);
    }

    /// Returns whether a leader with a valid lease may give orders.
    pub(super) fn may_give(&self, now: Timestamp) -> bool {
        self.stopped_at.is_none() && now >= self.allowed_from
    }

    pub(super) fn on_begin(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn on_end(&mut self, now: Timestamp, is_answered: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_ended = Some(now);
        if !is_answered {
            self.last_unanswered = Some(now);
        }
    }

    /// Gives no more orders, as the lease is about to be released.
    pub(super) fn stop(&mut self, now: Timestamp) {
        self.stopped_at.get_or_insert(now);
    }

    /// Gives orders again, as the lease wasn't released.
    pub(super) fn resume(&mut self) {
        self.stopped_at = None;
    }

    /// Returns whether a release should wait for answers to orders.
    pub(super) fn awaits_answers(&self, now: Timestamp) -> bool {
        let stopped_at = self.stopped_at.unwrap_or(now);
        self.in_flight > 0 && now.since(stopped_at) < MAX_ANSWER_WAIT
    }

    /// Returns the statement of a release that all orders have ended, if that is so.
    ///
    /// An order without an answer counts for as long as the next leader would have to wait after it.
    pub(super) fn ended(&self, now: Timestamp) -> Option<OrdersEnded> {
        let memory = LEASE + self.order_gap;
        let may_arrive = self
            .last_unanswered
            .is_some_and(|ended| now.since(ended) < memory);
        let has_ended = self.stopped_at.is_some() && self.in_flight == 0 && !may_arrive;
        has_ended.then(|| OrdersEnded {
            remaining_gap_ms: whole_millis(self.gap_end.since(now)),
        })
    }

    /// Returns the time in milliseconds for which this instance gives no orders yet, in its own term or in
    /// the one that it claims.
    pub(super) fn wait_ms(
        &self,
        now: Timestamp,
        leads: bool,
        previous: Option<&PreviousTerm>,
    ) -> u64 {
        let allowed_from = if leads {
            self.allowed_from
        } else {
            self.limits(now, previous).1
        };
        whole_millis(allowed_from.since(now))
    }

    /// Begins a term of this instance.
    pub(super) fn begin_term(&mut self, now: Timestamp, previous: Option<&PreviousTerm>) {
        (self.gap_end, self.allowed_from) = self.limits(now, previous);
        self.stopped_at = None;
        // The answers to the orders of a process that ran on this machine before aren't known.
        if previous.is_some_and(|term| term.is_same_host && term.remaining_gap.is_none()) {
            self.last_unanswered = Some(now);
        }
    }

    /// Returns the end of the gap after the orders of the leaders before, and the time from which a term that
    /// begins now may give orders.
    fn limits(&self, now: Timestamp, previous: Option<&PreviousTerm>) -> (Timestamp, Timestamp) {
        let Some(previous) = previous else {
            return (now, now);
        };
        let gap_end = previous.gap_end(now, self.order_gap);
        let own_end = if previous.is_same_host {
            previous.last_seen + previous.order_wait
        } else {
            // Orders of this machine, those of another, and again of this one aren't given within the gap.
            let in_flight = (self.in_flight > 0).then_some(now);
            let last_own = self.last_ended.max(self.reachable_since).max(in_flight);
            last_own.map_or(gap_end, |last| last + self.order_gap)
        };
        (gap_end, gap_end.max(own_end))
    }
}

/// Returns a duration in milliseconds, rounded up.
fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
