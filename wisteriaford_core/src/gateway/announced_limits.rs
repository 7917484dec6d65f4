//! Limits on their requests that endpoints announce in their answers.
//!
//! A limit holds for the requests of all instances together, from the answer that announces it to
//! one that doesn't, and belongs to one incarnation of the endpoint. Instances tell the leader what
//! they learn, and the leader lists all limits with each renewal of its lease.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use wisteriaford_proto::limits::EndpointLimit;
use wisteriaford_proto::limits::LimitUpdate;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::request_rate::RequestRate;
use crate::time::Timestamp;

/// Maximum number of limits kept; the oldest are forgotten first.
const MAX_LIMITS: usize = 4_096;
/// Time after an announcement to this instance by which the leader lists it: some renewals.
const LISTING_TIME: Duration = Duration::from_secs(2);

/// Limit that an endpoint announced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnnouncedLimit {
    /// Requests per second that the endpoint takes from all instances together.
    pub rate: RequestRate,
    /// Time at which this instance learned of a limit.
    pub since: Timestamp,
    /// Time of the newest announcement.
    pub announced_at: Timestamp,
    /// Whether the endpoint announced it to this instance, which may know it before the leader.
    is_own: bool,
    /// Time until which the leader has no permit for the endpoint.
    denied_until: Timestamp,
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
    /// Sending of the request whose answer ended a limit, by incarnation.
    ended: IndexMap<CompactString, Timestamp>,
    /// Begun and ended limits that the leader hasn't been told of.
    unsent: Vec<(CompactString, Option<RequestRate>, Timestamp)>,
}

impl AnnouncedLimits {
    /// Returns whether no limit is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the limit of an endpoint.
    #[must_use]
    pub fn get(&self, endpoint: &Endpoint) -> Option<AnnouncedLimit> {
        // Nearly always empty, so that the key is rarely built.
        if self.limits.is_empty() {
            return None;
        }
        self.of_incarnation(&endpoint.incarnation())
    }

    /// Returns the limit of an incarnation of an endpoint.
    #[must_use]
    pub fn of_incarnation(&self, incarnation: &str) -> Option<AnnouncedLimit> {
        self.limits.get(incarnation).copied()
    }

    /// Returns whether a permit for an endpoint may be available, or none is needed.
    #[must_use]
    pub fn may_request(&self, now: Timestamp, endpoint: &Endpoint) -> bool {
        let limit = self.get(endpoint);
        limit.is_none_or(|limit| limit.denied_until <= now)
    }

    /// Returns the time until a permit for a limited endpoint may be available.
    #[must_use]
    pub fn time_to_permit(&self, now: Timestamp, endpoint: &Endpoint) -> Option<Duration> {
        let limit = self.get(endpoint)?;
        Some(limit.denied_until.since(now))
    }

    /// Records that the leader has no permit for an endpoint until a time.
    pub fn record_denied(&mut self, endpoint: &Endpoint, until: Timestamp) {
        if let Some(limit) = self.limits.get_mut(&endpoint.incarnation()) {
            limit.denied_until = until;
        }
    }

    /// Records that the leader, which issues the permits of all endpoints, isn't to be asked until a time.
    pub fn record_all_denied(&mut self, until: Timestamp) {
        for limit in self.limits.values_mut() {
            limit.denied_until = limit.denied_until.max(until);
        }
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
        if announced.is_none() && self.limits.is_empty() {
            return None;
        }
        let incarnation = endpoint.incarnation();
        let change = match announced {
            Some(rate) => self.announce(now, &incarnation, rate, now, true),
            None => self.end(&incarnation, sent_at),
        };
        match change {
            Some(LimitChange::Began) => self.unsent.push((incarnation, announced, now)),
            Some(LimitChange::Ended { .. }) => self.unsent.push((incarnation, None, sent_at)),
            Some(LimitChange::Changed { .. }) | None => {}
        }
        change
    }

    /// Records what another instance learned.
    pub fn merge(&mut self, now: Timestamp, update: &LimitUpdate) -> Option<LimitChange> {
        let at = now - Duration::from_millis(update.age_ms);
        let Some(milli_per_s) = update.milli_per_s else {
            return self.end(&update.incarnation, at);
        };
        let has_ended = self.ended.get(update.incarnation.as_str());
        if has_ended.is_some_and(|ended_at| at <= *ended_at) {
            return None;
        }
        let rate = RequestRate::from_milli(milli_per_s);
        self.announce(now, &update.incarnation, rate, at, false)
    }

    /// Replaces what is known by the limits that the leader lists, but for what it may not know yet.
    pub fn apply_listing(&mut self, now: Timestamp, listing: &[EndpointLimit]) {
        let listed: IndexMap<&str, RequestRate> = listing
            .iter()
            .map(|limit| {
                let rate = RequestRate::from_milli(limit.milli_per_s);
                (limit.incarnation.as_str(), rate)
            })
            .collect();
        self.limits.retain(|incarnation, limit| {
            let is_new = limit.is_own && now.since(limit.announced_at) < LISTING_TIME;
            is_new || listed.contains_key(incarnation.as_str())
        });
        for (incarnation, rate) in listed {
            let known = self.limits.get(incarnation);
            if known.is_none_or(|known| now.since(known.announced_at) >= LISTING_TIME) {
                self.announce(now, incarnation, rate, now, false);
            }
        }
    }

    /// Returns the limits for the leader to list, and forgets those of endpoints that are gone.
    pub fn listing(&mut self, endpoints: &EndpointTable) -> Vec<EndpointLimit> {
        if self.limits.is_empty() {
            return Vec::new();
        }
        let present: Vec<CompactString> = endpoints.iter().map(Endpoint::incarnation).collect();
        self.limits
            .retain(|incarnation, _| present.contains(incarnation));
        let limits = self
            .limits
            .iter()
            .map(|(incarnation, limit)| EndpointLimit {
                incarnation: incarnation.to_string(),
                milli_per_s: limit.rate.as_milli(),
            });
        limits.collect()
    }

    /// Returns what the leader must be told of an endpoint before it issues a permit.
    #[must_use]
    pub fn update_of(&self, now: Timestamp, endpoint: &Endpoint) -> Option<LimitUpdate> {
        let limit = self.get(endpoint)?;
        let incarnation = endpoint.incarnation();
        Some(update(
            now,
            &incarnation,
            Some(limit.rate),
            limit.announced_at,
        ))
    }

    /// Returns the begun and ended limits that the leader hasn't been told of.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<LimitUpdate> {
        let unsent = std::mem::take(&mut self.unsent);
        let updates = unsent.iter();
        let updates = updates.map(|(incarnation, rate, at)| update(now, incarnation, *rate, *at));
        updates.collect()
    }

    fn announce(
        &mut self,
        now: Timestamp,
        incarnation: &str,
        rate: RequestRate,
        announced_at: Timestamp,
        is_own: bool,
    ) -> Option<LimitChange> {
        if let Some(limit) = self.limits.get_mut(incarnation) {
            if announced_at < limit.announced_at {
                return None;
            }
            let before = std::mem::replace(&mut limit.rate, rate);
            limit.announced_at = announced_at;
            limit.is_own |= is_own;
            return (before != rate).then_some(LimitChange::Changed { before });
        }
        if self.limits.len() >= MAX_LIMITS {
            self.limits.shift_remove_index(0);
        }
        let limit = AnnouncedLimit {
            rate,
            since: now,
            announced_at,
            is_own,
            denied_until: Timestamp::default(),
        };
        self.limits.insert(CompactString::from(incarnation), limit);
        Some(LimitChange::Began)
    }

    fn end(&mut self, incarnation: &str, sent_at: Timestamp) -> Option<LimitChange> {
        let before = self.of_incarnation(incarnation)?;
        if sent_at <= before.announced_at {
            return None;
        }
        self.limits.shift_remove(incarnation);
        if self.ended.len() >= MAX_LIMITS {
            self.ended.shift_remove_index(0);
        }
        self.ended.insert(CompactString::from(incarnation), sent_at);
        Some(LimitChange::Ended { before })
    }
}

fn update(
    now: Timestamp,
    incarnation: &str,
    rate: Option<RequestRate>,
    at: Timestamp,
) -> LimitUpdate {
    LimitUpdate {
        incarnation: incarnation.to_owned(),
        milli_per_s: rate.map(RequestRate::as_milli),
        age_ms: u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX),
    }
}
