//! Leadership under a lease: the right to run batch jobs and to give orders to engines.
//!
//! The lease is a chain of records in a topic of its own. Each record is appended on the condition
//! that the topic ends at the offset that its writer has read to, so two claims can't both succeed.
//! The fencing number of a term is the offset of its first record, plus one.
//!
//! A leader relies on its lease for [`LEASE`], less [`SAFETY_MARGIN`], after it sent its last
//! renewal; other instances take over [`LEASE`] after they saw that renewal. Running an item twice
//! is harmless, so this time is short. Orders need more time: a new leader gives none until the
//! previous one must have stopped, even if that one renewed once more than was seen, unless that one states in
//! the record that releases its lease that its orders have ended (`order_history`). A daemon that
//! restarts on the leader's machine knows that the leader is gone, and takes over immediately. A leader
//! that loses its links to endpoints which others reach releases the lease.

mod order_history;

use std::time::Duration;

use compact_str::CompactString;
use prost::Message;
use wisteriaford_proto::job::DutyRecord;
use wisteriaford_proto::limits::EndpointLimit;
use wisteriaford_proto::streams::SoftwareListing;

use crate::gateway::leadership::order_history::OrderHistory;
use crate::gateway::leadership::order_history::PreviousTerm;
use crate::gateway::permits::IssuingTerm;
use crate::hash::rendezvous_rank;
use crate::id::Fence;
use crate::id::InstanceId;
use crate::id::Offset;
use crate::time::Timestamp;

/// Duration of a lease: three renewal intervals, so that one lost answer doesn't change the leader.
pub const LEASE: Duration = Duration::from_millis(1_500);
/// Time between renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the lease that the leader doesn't use, to allow for clocks running at different rates.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(200);
/// Time that the log must have been reachable again before a lease counts as expired.
const MIN_REACHABLE_TIME: Duration = Duration::from_millis(700);
/// Upper bound of the delay by which claims of different instances are spread out, so that they
/// don't all claim at once; a fifth of the lease.
const MAX_CLAIM_DELAY_MS: u64 = 300;
/// Delay before an instance without any share of a processor claims, beside one with a whole processor.
const MAX_SHARE_DELAY: Duration = Duration::from_millis(400);
/// Delay before an instance claims that doesn't reach endpoints: others have claimed long before.
const ASIDE_DELAY: Duration = Duration::from_secs(2);
/// Delay after an append that was refused or whose answer was lost; well below
/// [`RENEWAL_INTERVAL`].
const APPEND_BACKOFF: Duration = Duration::from_millis(200);

/// Record to be appended at the end of the topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeadershipAppend {
    /// Offset at which the topic must end for the append to succeed.
    pub at: Offset,
    /// Encoded record.
    pub value: Vec<u8>,
    /// Whether the record releases the lease.
    pub releases: bool,
    /// Whether the record begins a term.
    pub claims: bool,
    /// Whether the record states that all orders of the leader have ended.
    pub ends_orders: bool,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeadershipAppendOutcome {
    /// The record was appended at the expected offset.
    Appended,
    /// The record wasn't appended.
    Refused,
    /// The answer was lost, so the record may have been appended.
    Unknown,
}

/// Change of the leadership, for logging.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeadershipChange {
    /// This instance became the leader, or began a new term.
    Acquired(Fence),
    /// Another instance replaced this one as the leader.
    Lost(InstanceId),
    /// Another instance became the leader, and this one wasn't the leader before.
    LeaderChanged(InstanceId),
    /// The leader released its lease.
    Released(InstanceId),
}

/// Term of a leader, as of its newest record.
#[derive(Clone, Debug)]
struct Term {
    leader: InstanceId,
    host: CompactString,
    fence: Fence,
    /// When its newest record was read.
    last_seen: Timestamp,
    released: bool,
    /// Rest of the gap before the orders of its leader, if the leader states that its orders have ended.
    remaining_gap: Option<Duration>,
    /// Time for which its leader itself gave no orders yet.
    order_wait: Duration,
    /// Limits of endpoints that the leader lists; `None` if it doesn't.
    limits: Option<Vec<EndpointLimit>>,
}

/// Append of this instance whose record hasn't been read back.
#[derive(Clone, Copy, Debug)]
struct PendingAppend {
    at: Offset,
    sent_at: Timestamp,
    releases: bool,
}

/// Whether an instance claims and keeps the leadership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Candidacy {
    /// It does.
    Full,
    /// It leaves the leadership to others, as they reach endpoints and it doesn't.
    Aside,
    /// It is shutting down.
    Resigned,
}

/// State of the leadership and its lease, folded from the records of its topic.
#[derive(Clone, Debug)]
pub struct Leadership {
    self_id: InstanceId,
    host: CompactString,
    orders: OrderHistory,
    claim_spread: Duration,
    /// Delay of the claims of this instance after those of better suited ones.
    share_delay: Duration,
    /// Offset up to which the topic was read.
    end: Option<Offset>,
    term: Option<Term>,
    reachable_since: Option<Timestamp>,
    /// End of this instance's own lease.
    valid_until: Timestamp,
    /// When the newest own record that was read back was sent.
    last_renewal: Timestamp,
    pending: Option<PendingAppend>,
    /// Whether an append awaits its outcome.
    in_flight: bool,
    /// Time before which nothing is appended.
    next_append: Timestamp,
    /// Limits of endpoints to list in the next record.
    limits: Vec<EndpointLimit>,
    /// Versions of the endpoints' software to list in the next record.
    software: Option<SoftwareListing>,
    /// Versions that the newest record of another instance lists, unless they were taken.
    listed_software: Option<SoftwareListing>,
    candidacy: Candidacy,
    /// Whether this instance acquired the leadership while it stood aside.
    claimed_aside: bool,
}

impl Leadership {
    /// Returns the state of an instance that has read no records yet.
    ///
    /// Leaders on different machines leave `order_gap` between their orders.
    #[must_use]
    pub fn new(self_id: InstanceId, host: CompactString, order_gap: Duration) -> Self {
        let spread_ms = rendezvous_rank("duty", self_id.as_str()) % MAX_CLAIM_DELAY_MS;
        Self {
            self_id,
            host,
            orders: OrderHistory::new(order_gap),
            claim_spread: Duration::from_millis(spread_ms),
            share_delay: Duration::ZERO,
            end: None,
            term: None,
            reachable_since: None,
            valid_until: Timestamp::default(),
            last_renewal: Timestamp::default(),
            pending: None,
            in_flight: false,
            next_append: Timestamp::default(),
            limits: Vec::new(),
            software: None,
            listed_software: None,
            candidacy: Candidacy::Full,
            claimed_aside: false,
        }
    }

    /// Sets the share of a processor that this instance has, and the largest share of any instance, in
    /// thousandths; instances with larger shares claim first.
    pub fn set_processor_shares(&mut self, own_milli: u32, largest_milli: u32) {
        let missing_milli = largest_milli.min(1_000).saturating_sub(own_milli);
        self.share_delay = MAX_SHARE_DELAY * missing_milli / 1_000;
    }

    /// Sets the limits of endpoints that the next record lists.
    pub fn set_limits(&mut self, limits: Vec<EndpointLimit>) {
        self.limits = limits;
    }

    /// Sets the versions of the endpoints' software that the next record lists.
    pub fn set_software(&mut self, software: Option<SoftwareListing>) {
        self.software = software;
    }

    /// Returns the versions that the newest record of another instance lists, once for each record.
    pub fn take_listed_software(&mut self) -> Option<SoftwareListing> {
        self.listed_software.take()
    }

    /// Stops claiming, and releases the lease if this instance is the leader.
    pub fn resign(&mut self) {
        self.candidacy = Candidacy::Resigned;
    }

    /// Sets whether this instance leaves the leadership to others, because they reach endpoints and it
    /// doesn't. It claims only what nobody else does.
    pub fn set_standing_aside(&mut self, stands_aside: bool) {
        if self.candidacy != Candidacy::Resigned {
            self.claimed_aside &= stands_aside;
            self.candidacy = if stands_aside {
                Candidacy::Aside
            } else {
                Candidacy::Full
            };
        }
    }

    /// Returns the fencing number if this instance is the leader as far as was read.
    ///
    /// Its lease may have expired.
    #[must_use]
    pub fn leader_fence(&self) -> Option<Fence> {
        let term = self.term.as_ref()?;
        let is_own = term.leader == self.self_id && !term.released;
        is_own.then_some(term.fence)
    }

    /// Returns whether this instance may run items.
    ///
    /// While no instance can reach the log, no other instance can take over, so the leader
    /// continues beyond its lease. A leader that is `isolated` can't tell whether that is the case,
    /// and stops when its lease ends.
    #[must_use]
    pub fn may_run_items(&self, now: Timestamp, isolated: bool) -> bool {
        self.leader_fence().is_some() && (!isolated || now < self.valid_until)
    }

    /// Returns the right of this instance to issue permits for endpoints that limit their requests.
    ///
    /// See [`Leadership::may_run_items`] for `isolated`.
    #[must_use]
    pub fn issuing_term(&self, now: Timestamp, isolated: bool) -> Option<IssuingTerm> {
        let fence = self.leader_fence()?;
        let is_leased = now < self.valid_until;
        self.may_run_items(now, isolated)
            .then_some(IssuingTerm { fence, is_leased })
    }

    /// Returns the fencing number if this instance may give orders.
    #[must_use]
    pub fn order_fence(&self, now: Timestamp) -> Option<Fence> {
        let is_valid = self.orders.may_give(now) && now < self.valid_until;
        self.leader_fence().filter(|_| is_valid)
    }

    /// Begins an order and returns the fencing number, if this instance may give orders.
    ///
    /// The caller must report its end: until then, no release states that all orders were answered.
    pub fn begin_order(&mut self, now: Timestamp) -> Option<Fence> {
        let fence = self.order_fence(now)?;
        self.orders.on_begin();
        Some(fence)
    }

    /// Ends an order; it `is_answered` if it can't arrive any more.
    pub fn end_order(&mut self, now: Timestamp, is_answered: bool) {
        self.orders.on_end(now, is_answered);
    }

    /// Returns the leader, as far as was read.
    #[must_use]
    pub fn leader(&self) -> Option<&InstanceId> {
        let term = self.term.as_ref().filter(|term| !term.released);
        term.map(|term| &term.leader)
    }

    /// Returns the name of the leader's host, as far as was read.
    #[must_use]
    pub fn leader_host(&self) -> Option<&CompactString> {
        let term = self.term.as_ref().filter(|term| !term.released);
        term.map(|term| &term.host)
    }

    /// Returns the limits of endpoints that another instance lists as the leader.
    #[must_use]
    pub fn listed_limits(&self) -> Option<&[EndpointLimit]> {
        let term = self
            .term
            .as_ref()
            .filter(|term| term.leader != self.self_id);
        term.and_then(|term| term.limits.as_deref())
    }

    /// Sets the end of the topic after a read.
    pub fn set_end(&mut self, end: Offset) {
        self.end = self.end.max(Some(end));
    }

    /// Sets whether the log answers.
    pub fn set_reachable(&mut self, now: Timestamp, reachable: bool) {
        if !reachable {
            self.reachable_since = None;
        } else if self.reachable_since.is_none() {
            self.reachable_since = Some(now);
            self.orders.on_reachable(now);
        }
    }

    /// Applies a record of the topic and returns the change of the leadership, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if the record can't be decoded; the record is skipped.
    pub fn apply(
        &mut self,
        now: Timestamp,
        offset: Offset,
        value: &[u8],
    ) -> Result<Option<LeadershipChange>, prost::DecodeError> {
        if self.end.is_some_and(|end| offset < end) {
            return Ok(None);
        }
        self.end = Some(offset.next());
        let record = DutyRecord::decode(value)?;
        let leader = InstanceId::from(record.holder);
        let fence = match record.fence {
            0 => Fence(offset.0 + 1),
            fence => Fence(fence),
        };
        let was_leader = self.leader_fence().is_some();
        let changed = self.term.as_ref().is_none_or(|term| {
            term.leader != leader || term.fence != fence || term.released != record.released
        });
        self.on_record(now, offset, &leader, record.fence == 0, record.released);
        self.listed_software = record.software.filter(|_| leader != self.self_id);
        self.term = Some(Term {
            leader: leader.clone(),
            host: record.host.into(),
            fence,
            last_seen: now,
            released: record.released,
            remaining_gap: record
                .orders_ended
                .filter(|_| record.released)
                .map(|ended| Duration::from_millis(ended.remaining_gap_ms)),
            order_wait: Duration::from_millis(record.order_wait_ms),
            limits: record.lists_limits.then_some(record.limits),
        });
        Ok(changed.then_some(if record.released {
            LeadershipChange::Released(leader)
        } else if leader == self.self_id {
            LeadershipChange::Acquired(fence)
        } else if was_leader {
            LeadershipChange::Lost(leader)
        } else {
            LeadershipChange::LeaderChanged(leader)
        }))
    }

    /// Returns the renewal, claim or release to append now, if any.
    ///
    /// The caller must report its outcome.
    pub fn due_append(&mut self, now: Timestamp) -> Option<LeadershipAppend> {
        let at = self.end?;
        if self.in_flight || now < self.next_append {
            return None;
        }
        let fence = self.leader_fence();
        let yields = fence.is_some() && self.yields();
        if yields {
            self.orders.stop(now);
        }
        // A hand-over by a leader whose links are cut doesn't wait for answers over them.
        let waits = self.candidacy == Candidacy::Resigned && self.orders.awaits_answers(now);
        let releases = yields && !waits;
        let is_due = match fence {
            Some(_) => releases || now.since(self.last_renewal) >= RENEWAL_INTERVAL,
            None => self.candidacy != Candidacy::Resigned && self.is_vacant(now),
        };
        is_due.then(|| self.prepare(now, at, fence, releases))
    }

    /// Returns whether this instance hands the leadership over.
    fn yields(&self) -> bool {
        match self.candidacy {
            Candidacy::Full => false,
            // What nobody else has claimed is not released again.
            Candidacy::Aside => !self.claimed_aside,
            Candidacy::Resigned => true,
        }
    }

    /// Handles the outcome of the last append.
    pub fn on_append_outcome(&mut self, now: Timestamp, outcome: LeadershipAppendOutcome) {
        self.in_flight = false;
        match outcome {
            LeadershipAppendOutcome::Appended => self.next_append = now,
            LeadershipAppendOutcome::Refused => {
                self.pending = None;
                self.next_append = now + APPEND_BACKOFF;
            }
            // If the record was appended, it will be read back. If not, the next append has the
            // same condition, so only one of the two can succeed.
            LeadershipAppendOutcome::Unknown => self.next_append = now + APPEND_BACKOFF,
        }
    }

    fn prepare(
        &mut self,
        now: Timestamp,
        at: Offset,
        fence: Option<Fence>,
        released: bool,
    ) -> LeadershipAppend {
        // Of two appends with the same condition, the earlier one may have succeeded, so its time
        // is used.
        let earlier = self.pending.filter(|pending| pending.at == at);
        self.in_flight = true;
        let previous = self.previous_term();
        let order_wait_ms = self.orders.wait_ms(now, fence.is_some(), previous.as_ref());
        let orders_ended = self.orders.ended(now).filter(|_| released);
        self.pending = Some(PendingAppend {
            at,
            sent_at: earlier.map_or(now, |pending| pending.sent_at),
            releases: released,
        });
        let record = DutyRecord {
            holder: String::from(&self.self_id),
            fence: fence.map_or(0, |fence| fence.0),
            released,
            host: self.host.to_string(),
            lists_limits: true,
            limits: self.limits.clone(),
            software: self.software.clone(),
            orders_ended,
            order_wait_ms,
        };
        LeadershipAppend {
            at,
            value: record.encode_to_vec(),
            releases: released,
            claims: fence.is_none(),
            ends_orders: orders_ended.is_some(),
        }
    }

    /// Updates the own lease and the pending append from a record that was read.
    fn on_record(
        &mut self,
        now: Timestamp,
        offset: Offset,
        leader: &InstanceId,
        begins_term: bool,
        is_release: bool,
    ) {
        if *leader != self.self_id {
            if self.pending.is_some_and(|pending| pending.at <= offset) {
                self.pending = None;
            }
            return;
        }
        // An own record without a pending append comes from one whose outcome was unknown. Its age
        // isn't known, so it doesn't extend the lease.
        if let Some(pending) = self.pending.take_if(|pending| pending.at == offset) {
            self.last_renewal = pending.sent_at;
            if !pending.releases {
                self.valid_until = pending.sent_at + LEASE - SAFETY_MARGIN;
            }
        }
        if begins_term {
            self.claimed_aside = self.candidacy == Candidacy::Aside;
            self.orders.begin_term(now, self.previous_term().as_ref());
        } else if !is_release && !self.yields() {
            self.orders.resume();
        }
    }

    /// Returns what is known of the term before one that this instance begins.
    fn previous_term(&self) -> Option<PreviousTerm> {
        self.term.as_ref().map(|term| PreviousTerm {
            last_seen: term.last_seen,
            is_same_host: term.host == self.host,
            remaining_gap: term.remaining_gap,
            order_wait: term.order_wait,
        })
    }

    /// Returns whether this instance may claim the leadership.
    fn is_vacant(&self, now: Timestamp) -> bool {
        let mut claim_delay = self.claim_spread + self.share_delay;
        let is_aside = self.candidacy == Candidacy::Aside;
        if is_aside {
            claim_delay += ASIDE_DELAY;
        }
        let Some(reachable_since) = self.reachable_since else {
            return false;
        };
        let Some(term) = &self.term else {
            return now >= reachable_since + claim_delay;
        };
        if term.released {
            return now >= term.last_seen + claim_delay;
        }
        if term.host == self.host && !is_aside {
            return true;
        }
        let expires_at = term.last_seen + LEASE;
        let reachable_long_enough_at = reachable_since + MIN_REACHABLE_TIME;
        now >= expires_at.max(reachable_long_enough_at) + claim_delay
    }
}
