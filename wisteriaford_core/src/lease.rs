//! Leases of the right to send orders to endpoints, folded from the log.
//!
//! The offset of a lease's record is its fencing number, and the latest record of an endpoint is
//! the lease in force. It does not depend on earlier records, so instances agree no matter how
//! much of the log was dropped. A lease ends only by a later record: while the log is down, it
//! cannot be taken over and its holder keeps it. When two instances race, the later record in
//! log order wins. The other instance learns of it from the log, and increases its retry interval
//! before each further attempt.

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

/// Interval before the first retry of an append for an endpoint, from which jitter is subtracted.
pub const INITIAL_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Upper limit of the retry interval.
pub const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(60);

/// Lease that is in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Instance that holds it.
    pub holder: InstanceId,
    /// Fencing number, which is the offset of its record.
    pub fence: Fence,
}

/// Change made by a record of the log.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum LeaseChange {
    /// This instance acquired the lease.
    #[display("lease of {endpoint} acquired with fence {fence}")]
    Acquired {
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
        /// New holder.
        by: InstanceId,
    },
}

/// State of the append that requests a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
enum AppendState {
    /// Sent, not answered yet.
    Sent,
    /// Appended at this offset, but not read back yet.
    Appended(Offset),
    /// The answer was lost: the record may be in the log or may still reach it.
    Unknown,
    /// Not in the log, or superseded by another instance; to be retried.
    Failed,
    /// Read back from the log.
    Confirmed,
}

struct Attempt {
    append_id: CompactString,
    state: AppendState,
    retries: u32,
    retry_at: Timestamp,
}

/// Leases of all endpoints, and the attempts of this instance to acquire some of them.
pub struct Leases {
    me: InstanceId,
    run: u64,
    append_count: u64,
    next_offset: Offset,
    in_force: IndexMap<EndpointId, HeldLease>,
    attempts: IndexMap<EndpointId, Attempt>,
}

impl Leases {
    /// Creates an empty set of leases.
    ///
    /// `run` makes the ids of appends unique across restarts.
    #[must_use]
    pub fn new(me: InstanceId, run: u64) -> Self {
        Self {
            me,
            run,
            append_count: 0,
            next_offset: Offset(1),
            in_force: IndexMap::new(),
            attempts: IndexMap::new(),
        }
    }

    /// Returns the lease in force, as far as the log has been read.
    #[must_use]
    pub fn lease_of(&self, endpoint: &EndpointId) -> Option<&HeldLease> {
        self.in_force.get(endpoint)
    }

    /// Returns the fencing number for orders to an endpoint, if this instance holds its lease.
    #[must_use]
    pub fn fence_of(&self, endpoint: &EndpointId) -> Option<Fence> {
        let lease = self.in_force.get(endpoint)?;
        (lease.holder == self.me).then_some(lease.fence)
    }

    /// Returns the record to append to acquire the lease of an endpoint, if an attempt is due.
    ///
    /// Must be called for each endpoint that this instance coordinates, once the log has been read
    /// to its end. The caller must report the answer of the log, and must not call this while the
    /// log is down: a held lease stays in force.
    pub fn try_acquire(&mut self, now: Timestamp, endpoint: &EndpointId) -> Option<Lease> {
        let is_stale = |attempt: &Attempt| now >= attempt.retry_at + MAX_RETRY_INTERVAL;
        if self.attempts.get(endpoint).is_some_and(is_stale) {
            self.attempts.swap_remove(endpoint);
        }
        if self.fence_of(endpoint).is_some() {
            return None;
        }
        let retries = match self.attempts.get(endpoint) {
            Some(attempt) if now < attempt.retry_at => return None,
            Some(attempt) => attempt.retries + 1,
            None => 0,
        };
        self.append_count += 1;
        let append_id = format_compact!("{}/{}/{}", self.me, self.run, self.append_count);
        let supersedes = self.in_force.get(endpoint).map_or(0, |lease| lease.fence.0);
        let lease = Lease {
            endpoint: endpoint.to_string(),
            holder: self.me.to_string(),
            supersedes,
            append_id: append_id.to_string(),
        };
        let attempt = Attempt {
            append_id,
            state: AppendState::Sent,
            retries,
            retry_at: now + self.retry_interval(endpoint, retries),
        };
        self.attempts.insert(endpoint.clone(), attempt);
        Some(lease)
    }

    /// Records the offset at which a record was appended.
    pub fn on_appended(&mut self, append_id: &str, offset: Offset) {
        if let Some(attempt) = self.attempt_mut(append_id) {
            attempt.state = AppendState::Appended(offset);
        }
    }

    /// Records that the answer to an append was lost; its outcome is learnt by reading the log.
    pub fn on_answer_lost(&mut self, append_id: &str) {
        if let Some(attempt) = self.attempt_mut(append_id) {
            attempt.state = AppendState::Unknown;
        }
    }

    /// Records that an append certainly did not reach the log; it is retried later.
    pub fn on_append_rejected(&mut self, append_id: &str) {
        if let Some(attempt) = self.attempt_mut(append_id) {
            attempt.state = AppendState::Failed;
        }
    }

    /// Drops the attempts for endpoints that this instance no longer coordinates.
    pub fn retain(&mut self, is_coordinated: impl Fn(&EndpointId) -> bool) {
        self.attempts.retain(|endpoint, _| is_coordinated(endpoint));
    }

    /// Returns whether an append for the endpoint is still unconfirmed.
    #[must_use]
    pub fn is_append_pending(&self, endpoint: &EndpointId) -> bool {
        let attempt = self.attempts.get(endpoint);
        attempt.is_some_and(|attempt| {
            !matches!(attempt.state, AppendState::Failed | AppendState::Confirmed)
        })
    }

    /// Folds one record of the log; records at offsets already folded are ignored.
    pub fn apply(&mut self, offset: Offset, lease: &Lease) -> Option<LeaseChange> {
        if offset < self.next_offset {
            return None;
        }
        self.next_offset = offset.next();
        let endpoint = EndpointId::from(lease.endpoint.as_str());
        let lease = HeldLease {
            holder: InstanceId::from(lease.holder.as_str()),
            fence: Fence(offset.0),
        };
        let by = lease.holder.clone();
        let fence = lease.fence;
        let previous = self.in_force.insert(endpoint.clone(), lease);
        let is_own = by == self.me;
        if let Some(attempt) = self.attempts.get_mut(&endpoint) {
            attempt.state = if is_own {
                AppendState::Confirmed
            } else {
                AppendState::Failed
            };
        }
        if is_own {
            return Some(LeaseChange::Acquired { endpoint, fence });
        }
        let previous = previous.filter(|previous| previous.holder == self.me)?;
        let fence = previous.fence;
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

    /// Returns the interval until the next retry.
    ///
    /// It doubles with each retry up to a limit. A hash takes up to half of it off as jitter, so
    /// that instances do not retry at the same time.
    fn retry_interval(&self, endpoint: &EndpointId, retries: u32) -> Duration {
        let base = INITIAL_RETRY_INTERVAL
            .saturating_mul(1 << retries.min(16))
            .min(MAX_RETRY_INTERVAL);
        let parts = [
            self.me.as_str().as_bytes(),
            endpoint.as_str().as_bytes(),
            &retries.to_le_bytes(),
        ];
        let jitter_permille = u32::try_from(hash_parts(&parts) % 1_000).unwrap_or_default();
        base.saturating_sub(base / 2 * jitter_permille / 1_000)
    }
}
