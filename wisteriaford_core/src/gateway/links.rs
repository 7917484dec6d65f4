//! What an instance knows of its own links to endpoints.
//!
//! A connection that fails doesn't tell whether its endpoint is down or the instance is cut off. Another
//! instance that reaches the endpoint at the same time does. An open connection may lead nowhere: only an
//! answer shows that a link works.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::EndpointId;
use crate::time::Timestamp;

/// Number of endpoints that only others reach from which the instance counts as cut off, unless fewer are
/// known.
const ENDPOINTS_TO_CUT: usize = 2;
/// Time for which an endpoint that only others reach is connected to over them first.
const CARRY_TIME: Duration = Duration::from_secs(2);
/// Time for which an endpoint that nobody reached is not looked for over others.
const UNREACHED_TIME: Duration = Duration::from_secs(1);
/// Time since the last answer after which a new connection counts only once it was answered.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Age up to which a connection to one endpoint shows that a failed one to another is not the instance's
/// own fault.
const PROOF_TIME: Duration = Duration::from_millis(200);
/// Time without an answer of an endpoint over new connections after which requests no longer wait for it.
const MAX_LATE: Duration = Duration::from_secs(1);

/// How to connect to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Directly.
    Direct,
    /// Over another instance.
    Carried,
}

/// Change of the links, for logging.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// The instance is cut off from endpoints that others reach.
    Cut {
        /// First connection that failed.
        failing_since: Timestamp,
    },
    /// An endpoint answered over a new connection again.
    Restored {
        /// First connection that failed.
        failing_since: Timestamp,
    },
}

/// Endpoint that the instance failed to connect to.
#[derive(Clone, Copy, Debug)]
struct FailedLink {
    first_failure: Timestamp,
    failed_at: Timestamp,
    /// Time at which another instance connected to it.
    reached_at: Option<Timestamp>,
    /// Time at which no other instance could connect to it either.
    unreached_at: Option<Timestamp>,
}

/// Links of an instance to the endpoints.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Endpoints that have not answered over a new connection since one failed.
    failed: IndexMap<EndpointId, FailedLink>,
    /// Time of the last direct answer of any endpoint.
    answered_at: Timestamp,
    /// Time at which the newest direct connection that was answered was opened.
    proven_at: Timestamp,
    /// Time of the last direct connection that broke after something had been sent.
    lost_at: Timestamp,
    /// First failed connection of the cut in progress.
    cut_since: Option<Timestamp>,
    /// Time from which the instance has known that it is cut off.
    cut_known_at: Timestamp,
}

impl Links {
    /// Returns how to connect to an endpoint.
    #[must_use]
    pub fn way(&self, now: Timestamp, endpoint: &EndpointId) -> Way {
        let failed = self.failed.get(endpoint);
        let reached_at = failed.and_then(|failed| failed.reached_at);
        let is_carried = reached_at.is_some_and(|at| now.since(at) < CARRY_TIME);
        if self.is_cut() || is_carried {
            Way::Carried
        } else {
            Way::Direct
        }
    }

    /// Returns whether a new direct connection may be used before anything has come over it: not if nothing
    /// was answered lately, nor after a connection broke until a newer one is answered. Connections that
    /// live on say nothing about new ones.
    #[must_use]
    pub fn trusts_new_connections(&self, now: Timestamp) -> bool {
        let is_answered = self.is_answered_since(now - ANSWER_TIME);
        is_answered && !self.is_cut() && self.proven_at >= self.lost_at
    }

    /// Returns whether an endpoint answered directly at a time or later.
    #[must_use]
    pub fn is_answered_since(&self, since: Timestamp) -> bool {
        self.answered_at >= since && self.answered_at > Timestamp::default()
    }

    /// Returns whether another instance may reach an endpoint to which a direct connection that began at
    /// `began_at` has not come about.
    #[must_use]
    pub fn may_carry(&self, now: Timestamp, began_at: Timestamp, endpoint: &EndpointId) -> bool {
        if self.is_cut() {
            return true;
        }
        let failed = self.failed.get(endpoint);
        let unreached_at = failed.and_then(|failed| failed.unreached_at);
        let is_unreached = unreached_at.is_some_and(|at| now.since(at) < UNREACHED_TIME);
        let proven_since = (began_at - PROOF_TIME).max(self.lost_at);
        !is_unreached && !self.is_proven_since(proven_since)
    }

    /// Returns whether a request that nothing else can serve waits for an endpoint that accepts connections
    /// but answers late: not where others reach the endpoint, nor if it has not answered for long.
    #[must_use]
    pub fn may_wait(&self, now: Timestamp, endpoint: &EndpointId) -> bool {
        !self.is_cut() && !self.has_failed_for_long(now, endpoint)
    }

    /// Returns whether an endpoint has not answered over a new connection for long.
    #[must_use]
    pub fn has_failed_for_long(&self, now: Timestamp, endpoint: &EndpointId) -> bool {
        let failed = self.failed.get(endpoint);
        failed.is_some_and(|failed| now.since(failed.first_failure) >= MAX_LATE)
    }

    /// Returns whether a direct connection that was opened at a time or later was answered.
    #[must_use]
    pub fn is_proven_since(&self, since: Timestamp) -> bool {
        self.proven_at >= since && self.proven_at > Timestamp::default()
    }

    /// Returns whether the instance is cut off from endpoints that others reach.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Returns the time from which the instance has known that it is cut off, if it is.
    ///
    /// The failure of a request sent before says nothing about its endpoint.
    #[must_use]
    pub fn cut_known_at(&self) -> Option<Timestamp> {
        self.cut_since.map(|_| self.cut_known_at)
    }

    /// Returns an endpoint that the instance failed to connect to, another one for each `turn`.
    #[must_use]
    pub fn failed_endpoint(&self, turn: usize) -> Option<&EndpointId> {
        let index = turn.checked_rem(self.failed.len())?;
        self.failed.get_index(index).map(|(endpoint, _)| endpoint)
    }

    /// Records an answer of an endpoint over a direct connection that was opened at `opened_at`.
    pub fn record_answered(
        &mut self,
        now: Timestamp,
        opened_at: Timestamp,
        endpoint: &EndpointId,
    ) -> Option<LinkChange> {
        self.answered_at = now;
        self.proven_at = self.proven_at.max(opened_at);
        if opened_at > self.cut_known_at
            && let Some(failing_since) = self.cut_since.take()
        {
            self.failed.clear();
            return Some(LinkChange::Restored { failing_since });
        }
        let failed = self.failed.get(endpoint);
        if failed.is_some_and(|failed| failed.failed_at <= opened_at) {
            self.failed.swap_remove(endpoint);
        }
        None
    }

    /// Records that a direct connection broke after something had been sent on it.
    pub fn record_lost(&mut self, now: Timestamp) {
        self.lost_at = now;
    }

    /// Records that a direct connection to an endpoint failed, or has not come about; of one that opened but
    /// was not answered in time, `now` is the time at which it was opened.
    pub fn record_failed(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let failed = self.failed.entry(endpoint.clone()).or_insert(FailedLink {
            first_failure: now,
            failed_at: now,
            reached_at: None,
            unreached_at: None,
        });
        // An old failure has nothing to do with this one.
        if now.since(failed.failed_at) > CARRY_TIME {
            failed.first_failure = now;
            failed.reached_at = None;
        }
        failed.failed_at = failed.failed_at.max(now);
    }

    /// Records that another instance connected to an endpoint that this one failed to connect to;
    /// `known_endpoints` is the number of endpoints that there are.
    pub fn record_reached(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        known_endpoints: usize,
    ) -> Option<LinkChange> {
        let failed = self.failed.get_mut(endpoint)?;
        failed.reached_at = Some(now);
        failed.unreached_at = None;
        if self.is_cut() {
            return None;
        }
        let proven_at = self.proven_at;
        let out_of_reach = self.failed.values().filter(|failed| {
            let is_recent = failed
                .reached_at
                .is_some_and(|at| now.since(at) < CARRY_TIME);
            is_recent && failed.failed_at > proven_at
        });
        let count = out_of_reach.clone().count();
        if count < ENDPOINTS_TO_CUT.min(known_endpoints) {
            return None;
        }
        let failing_since = out_of_reach.map(|failed| failed.first_failure).min()?;
        self.cut_since = Some(failing_since);
        self.cut_known_at = now;
        Some(LinkChange::Cut { failing_since })
    }

    /// Records that no other instance connected to an endpoint that this one failed to connect to.
    pub fn record_unreached(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(failed) = self.failed.get_mut(endpoint) {
            failed.reached_at = None;
            failed.unreached_at = Some(now);
        }
    }

    /// Forgets the endpoints that `is_known` rejects.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.failed.retain(|endpoint, _| is_known(endpoint));
    }
}
