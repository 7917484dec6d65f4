//! Limits on their requests that endpoints announce in their answers.
//!
//! A limit holds for the requests of all instances together, from the answer that announces it to
//! one that doesn't. It belongs to one incarnation of the endpoint.

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::request_rate::RequestRate;
use crate::gateway::suspects::crash_id;
use crate::time::Timestamp;

/// Maximum number of limits kept; the oldest are forgotten first.
const MAX_LIMITS: usize = 4_096;

/// Limit that an endpoint announced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnnouncedLimit {
    /// Requests per second that the endpoint takes from all instances together.
    pub rate: RequestRate,
    /// Time of the first answer in a row that announced a limit.
    pub since: Timestamp,
    /// Time of the newest answer that announced it.
    pub announced_at: Timestamp,
}

/// Change of an endpoint's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// The endpoint announced its first limit.
    Began,
    /// The endpoint announced another limit than before.
    Changed {
        /// Limit before.
        before: RequestRate,
    },
    /// The endpoint answered without announcing a limit.
    Ended {
        /// Limit before.
        before: AnnouncedLimit,
    },
}

/// Limits of all endpoints, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedLimits {
    limits: IndexMap<CompactString, AnnouncedLimit>,
}

impl AnnouncedLimits {
    /// Returns the limit that an endpoint announced last.
    #[must_use]
    pub fn get(&self, endpoint: &Endpoint) -> Option<AnnouncedLimit> {
        // Nearly always empty, so that the key is rarely built.
        if self.limits.is_empty() {
            return None;
        }
        self.limits.get(&crash_id(endpoint)).copied()
    }

    /// Records the limit in an answer to a request that was sent at `sent_at`, or its absence.
    ///
    /// An answer to a request from before the newest announcement doesn't end a limit: answers on
    /// different connections may overtake each other.
    pub fn record(
        &mut self,
        now: Timestamp,
        endpoint: &Endpoint,
        sent_at: Timestamp,
        announced: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let Some(rate) = announced else {
            let before = self.get(endpoint)?;
            if sent_at <= before.announced_at {
                return None;
            }
            self.limits.shift_remove(&crash_id(endpoint));
            return Some(LimitChange::Ended { before });
        };
        let incarnation = crash_id(endpoint);
        if let Some(limit) = self.limits.get_mut(&incarnation) {
            let before = std::mem::replace(&mut limit.rate, rate);
            limit.announced_at = now;
            return (before != rate).then_some(LimitChange::Changed { before });
        }
        if self.limits.len() >= MAX_LIMITS {
            self.limits.shift_remove_index(0);
        }
        let limit = AnnouncedLimit {
            rate,
            since: now,
            announced_at: now,
        };
        self.limits.insert(incarnation, limit);
        Some(LimitChange::Began)
    }
}
