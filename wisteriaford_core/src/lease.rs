//! Leases of the right to order endpoints about, folded from the log.
//!
//! The offset of a lease's record is its fencing number, and the latest record of an endpoint is
//! the lease in force. That depends on no record before it, so instances agree however much of
//! the log was dropped. A lease ends only by a later record, so with the log down nobody takes it
//! over and its holder keeps it. Of two that race, the later in log order holds it; the other
//! learns it by reading on, and waits longer each time before it takes the lease again.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use derive_more::Display;
use indexmap::IndexMap;
use wisteriaford_proto::record::Lease;

use crate::hash::hash_parts;
use crate::id::EndpointId;
use crate::id::Fence;
use crate::id::InstanceId;
use crate::id::Offset;
use crate::time::Timestamp;

/// Shortest time between two appends for one endpoint.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time between two appends for one endpoint.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Lease in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Instance that holds it.
    pub holder: InstanceId,
    /// Fencing number, the offset of its record.
    pub fence: Fence,
}

/// What a record changed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum LeaseChange {
    /// This instance holds the lease now.
    #[display("lease of {endpoint} taken with fence {fence}")]
    Taken {
        /// Endpoint.
        endpoint: EndpointId,
        /// Fencing number.
        fence: Fence,
    },
    /// Another instance superseded this one's lease.
    #[display("lease of {endpoint} with fence {fence} superseded by {by}")]
    Superseded {
        /// Endpoint.
        endpoint: EndpointId,
        /// Fencing number that is no longer in force.
        fence: Fence,
        /// Holder now.
        by: InstanceId,
    },
}

/// How far the taking of a lease has come.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Taking {
    /// Sent, no answer yet.
    Sent,
    /// Known to be at this offset, to be read there.
    Appended(Offset),
    /// The answer was lost: it may be in the log or still come.
    Unknown,
    /// Not in the log, or not in force any more: to be tried again.
    Failed,
    /// Read back from the log.
    Taken,
}

struct Attempt {
    append_id: CompactString,
    taking: Taking,
    tries: u32,
    retry_at: Timestamp,
}

/// Leases of all endpoints, and the state of those that this instance wants.
pub struct Leases {
    me: InstanceId,
    run: u64,
    appends: u64,
    next: Offset,
    held: IndexMap<EndpointId, HeldLease>,
    attempts: IndexMap<EndpointId, Attempt>,
}

impl Leases {
    /// Makes leases that know nothing of the log; `run` makes the ids of appends unique.
    #[must_use]
    pub fn new(me: InstanceId, run: u64) -> Self {
        Self {
            me,
            run,
            appends: 0,
            next: Offset(1),
            held: IndexMap::new(),
            attempts: IndexMap::new(),
        }
    }

    /// Returns the lease in force, as far as the log has been read.
    #[must_use]
    pub fn held(&self, endpoint: &EndpointId) -> Option<&HeldLease> {
        self.held.get(endpoint)
    }

    /// Returns the fencing number for orders to an endpoint, if this instance holds its lease.
    #[must_use]
    pub fn fence_of(&self, endpoint: &EndpointId) -> Option<Fence> {
        let lease = self.held.get(endpoint)?;
        (lease.holder == self.me).then_some(lease.fence)
    }

    /// Returns the record to append to take the lease of an endpoint, if it is time to.
    ///
    /// To be called for each endpoint that this instance is the steward of, once the log has been
    /// read to its end. The caller reports the answer, and calls nothing if the log is down: a
    /// lease that is held stays.
    pub fn take(&mut self, now: Timestamp, endpoint: &EndpointId) -> Option<Lease> {
        let settled = |attempt: &Attempt| now >= attempt.retry_at + MAX_RETRY_AFTER;
        if self.attempts.get(endpoint).is_some_and(settled) {
            self.attempts.swap_remove(endpoint);
        }
        if self.fence_of(endpoint).is_some() {
            return None;
        }
        let tries = match self.attempts.get(endpoint) {
            Some(attempt) if now < attempt.retry_at => return None,
            Some(attempt) => attempt.tries + 1,
            None => 0,
        };
        self.appends += 1;
        let append_id = format_compact!("{}/{}/{}", self.me, self.run, self.appends);
        let supersedes = self.held.get(endpoint).map_or(0, |lease| lease.fence.0);
        let lease = Lease {
            endpoint: endpoint.to_string(),
            holder: self.me.to_string(),
            supersedes,
            append_id: append_id.to_string(),
        };
        let attempt = Attempt {
            append_id,
            taking: Taking::Sent,
            tries,
            retry_at: now + self.back_off(endpoint, tries),
        };
        self.attempts.insert(endpoint.clone(), attempt);
        Some(lease)
    }

    /// Takes the answer of the log to an append.
    pub fn appended(&mut self, append_id: &str, offset: Offset) {
        if let Some(attempt) = self.attempt_mut(append_id) {
            attempt.taking = Taking::Appended(offset);
        }
    }

    /// Notes that the answer to an append was lost: reading the log decides.
    pub fn answer_lost(&mut self, append_id: &str) {
        if let Some(attempt) = self.attempt_mut(append_id) {
            attempt.taking = Taking::Unknown;
        }
    }

    /// Notes that an append certainly did not reach the log; it is tried again after a while.
    pub fn refused(&mut self, append_id: &str) {
        if let Some(attempt) = self.attempt_mut(append_id) {
            attempt.taking = Taking::Failed;
        }
    }

    /// Gives up on endpoints that this instance is no longer the steward of.
    pub fn retain(&mut self, stewarded: impl Fn(&EndpointId) -> bool) {
        self.attempts.retain(|endpoint, _| stewarded(endpoint));
    }

    /// Returns whether the answer to an append is still open.
    #[must_use]
    pub fn is_open(&self, endpoint: &EndpointId) -> bool {
        let attempt = self.attempts.get(endpoint);
        attempt.is_some_and(|attempt| !matches!(attempt.taking, Taking::Failed | Taking::Taken))
    }

    /// Folds one record of the log; repeats and older offsets do nothing.
    ///
    pub fn apply(&mut self, offset: Offset, lease: &Lease) -> Option<LeaseChange> {
        if offset < self.next {
            return None;
        }
        self.next = offset.next();
        let endpoint = EndpointId::from(lease.endpoint.as_str());
        let held = HeldLease {
            holder: InstanceId::from(lease.holder.as_str()),
            fence: Fence(offset.0),
        };
        let by = held.holder.clone();
        let fence = held.fence;
        let before = self.held.insert(endpoint.clone(), held);
        let mine = by == self.me;
        if let Some(attempt) = self.attempts.get_mut(&endpoint) {
            attempt.taking = if mine { Taking::Taken } else { Taking::Failed };
        }
        if mine {
            return Some(LeaseChange::Taken { endpoint, fence });
        }
        let before = before.filter(|before| before.holder == self.me)?;
        let fence = before.fence;
        Some(LeaseChange::Superseded {
            endpoint,
            fence,
            by,
        })
    }

    fn attempt_mut(&mut self, append_id: &str) -> Option<&mut Attempt> {
        let mut attempts = self.attempts.values_mut();
        attempts.find(|attempt| attempt.append_id == append_id)
    }

    /// Doubles with each try, up to half of it taken off by a hash.
    fn back_off(&self, endpoint: &EndpointId, tries: u32) -> Duration {
        let longest = RETRY_AFTER
            .saturating_mul(1 << tries.min(16))
            .min(MAX_RETRY_AFTER);
        let parts = [
            self.me.as_str().as_bytes(),
            endpoint.as_str().as_bytes(),
            &tries.to_le_bytes(),
        ];
        let part = u32::try_from(hash_parts(&parts) % 1_000).unwrap_or_default();
        longest.saturating_sub(longest / 2 * part / 1_000)
    }
}
