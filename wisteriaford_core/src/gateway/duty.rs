//! Lease of the duty to run batch jobs and to give orders to engines.
//!
//! The lease is a chain of records in a topic of its own. Each is appended on the condition that
//! the topic ends where its writer has read to, so two claims can't both succeed. The offset of
//! the record that begins a term, plus one, is its fencing number.
//!
//! A holder trusts its lease for [`LEASE`] after it sent its last renewal; others take over
//! [`LEASE`] after they saw it. Running an item twice does no harm, so this time is short. Orders
//! need more: a new holder gives none until the one before it, had it renewed once more than was
//! seen, must have stopped. A daemon that starts again on the holder's machine knows that the
//! holder is gone, and takes over at once.

use std::time::Duration;

use compact_str::CompactString;
use prost::Message;
use wisteriaford_proto::job::DutyRecord;

use crate::hash::rendezvous_rank;
use crate::id::Fence;
use crate::id::InstanceId;
use crate::id::Offset;
use crate::time::Timestamp;

/// Time that a lease lasts: three renewals, so that one lost answer doesn't move the duty.
pub const LEASE: Duration = Duration::from_millis(1_500);
/// Time between renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the lease that a holder doesn't use, for clocks that run apart.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(200);
/// Time that the log must be within reach again before a lease counts as lapsed.
const REACHABLE_AGAIN: Duration = Duration::from_millis(700);
/// Largest wait before a claim, so that not all instances claim at once; a fifth of the lease.
const MAX_CLAIM_DELAY_MS: u64 = 300;
/// Wait after an append that was refused or whose answer was lost; well under a renewal.
const APPEND_BACKOFF: Duration = Duration::from_millis(200);

/// Record to be appended at the end that was read to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyAppend {
    /// Offset that the topic must end at.
    pub at: Offset,
    /// Content of the record.
    pub value: Vec<u8>,
}

/// How an append ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DutyOutcome {
    /// It was added at the offset it was meant for.
    Appended,
    /// It was not added.
    Refused,
    /// Its answer was lost.
    Unknown,
}

/// Change of the duty, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyChange {
    /// This instance holds the duty.
    Taken(Fence),
    /// Another instance holds it now.
    Lost(InstanceId),
    /// Another instance holds it, and this one did not before.
    Moved(InstanceId),
    /// The holder gave it back.
    Released(InstanceId),
}

#[derive(Clone, Debug)]
struct Term {
    holder: InstanceId,
    host: CompactString,
    fence: Fence,
    seen: Timestamp,
    released: bool,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    at: Offset,
    sent: Timestamp,
    releases: bool,
}

/// Lease of the duty, folded from its topic.
#[derive(Clone, Debug)]
pub struct Duty {
    me: InstanceId,
    host: CompactString,
    order_gap: Duration,
    claim_delay: Duration,
    end: Option<Offset>,
    term: Option<Term>,
    reachable_since: Option<Timestamp>,
    valid_until: Timestamp,
    orders_from: Timestamp,
    renewed: Timestamp,
    pending: Option<Pending>,
    in_flight: bool,
    next_append: Timestamp,
    stands: bool,
}

impl Duty {
    /// Returns the duty as an instance sees it that has read nothing.
    ///
    /// Holders of different machines leave `order_gap` between their orders. `handicap` delays
    /// the claims of this instance, so that better suited ones come first.
    #[must_use]
    pub fn new(
        me: InstanceId,
        host: CompactString,
        order_gap: Duration,
        handicap: Duration,
    ) -> Self {
        let spread_ms = rendezvous_rank("duty", me.as_str()) % MAX_CLAIM_DELAY_MS;
        Self {
            me,
            host,
            order_gap,
            claim_delay: handicap + Duration::from_millis(spread_ms),
            end: None,
            term: None,
            reachable_since: None,
            valid_until: Timestamp::default(),
            orders_from: Timestamp::default(),
            renewed: Timestamp::default(),
            pending: None,
            in_flight: false,
            next_append: Timestamp::default(),
            stands: true,
        }
    }

    /// Stops claiming, and gives the duty back if this instance has it.
    pub fn resign(&mut self) {
        self.stands = false;
    }

    /// Returns the fencing number while no other instance is known to have taken the duty.
    #[must_use]
    pub fn held(&self) -> Option<Fence> {
        let term = self.term.as_ref()?;
        let mine = term.holder == self.me && !term.released;
        mine.then_some(term.fence)
    }

    /// Returns whether this instance may run items.
    ///
    /// While the log is out of everyone's reach nobody can take the duty over, so its holder goes
    /// on beyond its lease. One that is `isolated` can't know that, and stops.
    #[must_use]
    pub fn may_run(&self, now: Timestamp, isolated: bool) -> bool {
        self.held().is_some() && (!isolated || now < self.valid_until)
    }

    /// Returns the fencing number while orders may be given under it.
    #[must_use]
    pub fn may_order(&self, now: Timestamp) -> Option<Fence> {
        let in_time = now >= self.orders_from && now < self.valid_until;
        self.held().filter(|_| in_time)
    }

    /// Returns the instance that holds the duty, as far as was read.
    #[must_use]
    pub fn holder(&self) -> Option<&InstanceId> {
        let term = self.term.as_ref().filter(|term| !term.released);
        term.map(|term| &term.holder)
    }

    /// Takes the end of the topic, as a read found it.
    pub fn read_to(&mut self, end: Offset) {
        self.end = self.end.max(Some(end));
    }

    /// Takes whether the log answers.
    pub fn set_reachable(&mut self, now: Timestamp, reachable: bool) {
        if !reachable {
            self.reachable_since = None;
        } else if self.reachable_since.is_none() {
            self.reachable_since = Some(now);
        }
    }

    /// Takes a record of the topic.
    ///
    /// # Errors
    ///
    /// Fails on a record that can't be decoded; it is skipped.
    pub fn apply(
        &mut self,
        now: Timestamp,
        offset: Offset,
        value: &[u8],
    ) -> Result<Option<DutyChange>, prost::DecodeError> {
        if self.end.is_some_and(|end| offset < end) {
            return Ok(None);
        }
        self.end = Some(offset.next());
        let record = DutyRecord::decode(value)?;
        let holder = InstanceId::from(record.holder);
        let fence = match record.fence {
            0 => Fence(offset.0 + 1),
            fence => Fence(fence),
        };
        let held_before = self.held().is_some();
        let changed = self.term.as_ref().is_none_or(|term| {
            term.holder != holder || term.fence != fence || term.released != record.released
        });
        self.note_own_append(now, offset, &holder, record.fence == 0);
        self.term = Some(Term {
            holder: holder.clone(),
            host: record.host.into(),
            fence,
            seen: now,
            released: record.released,
        });
        Ok(changed.then_some(if record.released {
            DutyChange::Released(holder)
        } else if holder == self.me {
            DutyChange::Taken(fence)
        } else if held_before {
            DutyChange::Lost(holder)
        } else {
            DutyChange::Moved(holder)
        }))
    }

    /// Returns the record that is due, if any; its outcome must be told.
    pub fn due(&mut self, now: Timestamp) -> Option<DutyAppend> {
        let at = self.end?;
        if self.in_flight || now < self.next_append {
            return None;
        }
        let fence = self.held();
        let is_due = match fence {
            Some(_) => !self.stands || now.since(self.renewed) >= RENEWAL_INTERVAL,
            None => self.stands && self.is_vacant(now),
        };
        is_due.then(|| self.prepare(now, at, fence, !self.stands))
    }

    /// Takes the outcome of the last append.
    pub fn settled(&mut self, now: Timestamp, outcome: DutyOutcome) {
        self.in_flight = false;
        match outcome {
            DutyOutcome::Appended => self.next_append = now,
            DutyOutcome::Refused => {
                self.pending = None;
                self.next_append = now + APPEND_BACKOFF;
            }
            // If it was added, it is read back; if not, the next one is sent on the same
            // condition, and only one of them can be added.
            DutyOutcome::Unknown => self.next_append = now + APPEND_BACKOFF,
        }
    }

    fn prepare(
        &mut self,
        now: Timestamp,
        at: Offset,
        fence: Option<Fence>,
        released: bool,
    ) -> DutyAppend {
        // Of two appends on the same condition, the first one may be the one that is added.
        let before = self.pending.filter(|pending| pending.at == at);
        self.in_flight = true;
        self.pending = Some(Pending {
            at,
            sent: before.map_or(now, |pending| pending.sent),
            releases: released,
        });
        let record = DutyRecord {
            holder: String::from(&self.me),
            fence: fence.map_or(0, |fence| fence.0),
            released,
            host: self.host.to_string(),
        };
        DutyAppend {
            at,
            value: record.encode_to_vec(),
        }
    }

    fn note_own_append(
        &mut self,
        now: Timestamp,
        offset: Offset,
        holder: &InstanceId,
        begins: bool,
    ) {
        if *holder != self.me {
            if self.pending.is_some_and(|pending| pending.at <= offset) {
                self.pending = None;
            }
            return;
        }
        // A record of ours without a pending append answers one whose outcome was unknown; how
        // old it is isn't known, so it doesn't prolong the lease.
        if let Some(pending) = self.pending.take_if(|pending| pending.at == offset) {
            self.renewed = pending.sent;
            if !pending.releases {
                self.valid_until = pending.sent + LEASE - SAFETY_MARGIN;
            }
        }
        if begins {
            let others = self.term.as_ref().filter(|term| term.host != self.host);
            let waits = others.map(|term| term.seen + LEASE + self.order_gap);
            self.orders_from = waits.unwrap_or(now);
        }
    }

    fn is_vacant(&self, now: Timestamp) -> bool {
        let Some(reachable_since) = self.reachable_since else {
            return false;
        };
        let Some(term) = &self.term else {
            return now >= reachable_since + self.claim_delay;
        };
        if term.released {
            return now >= term.seen + self.claim_delay;
        }
        if term.host == self.host {
            return true;
        }
        let lapsed = term.seen + LEASE;
        let settled = reachable_since + REACHABLE_AGAIN;
        now >= lapsed.max(settled) + self.claim_delay
    }
}
