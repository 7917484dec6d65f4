//! Concurrency limits of endpoints that have just started or recovered.
//!
//! An endpoint that announces a slow start has an announced limit. Where limits of recovered endpoints are
//! enabled, each endpoint that starts or is ejected gets a recovery limit, too. The lower one holds.

use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::load_balancer::LoadBalancer;
use crate::gateway::pace::ConcurrencyLimit;
use crate::gateway::pace::recovery::LimitCause;
use crate::gateway::pace::recovery::RecoveryLimit;
use crate::id::EndpointId;
use crate::id::PoolId;
use crate::time::Timestamp;

/// Factor by which the usual time to a first event moves towards each sample. Single samples hardly change
/// it, however far off they are.
const USUAL_TIME_STEP: f64 = 1.05;
/// Maximum number of changes that are kept until they are taken.
const MAX_CHANGES: usize = 4_096;

/// Reason why a recovery limit ended.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum LimitEnd {
    /// The endpoint answered as before.
    #[display("recovered")]
    Recovered,
    /// Nothing was sent to the endpoint for a while.
    #[display("unused")]
    Unused,
    /// The instance's own links had failed, not the endpoint.
    #[display("own_links")]
    OwnLinks,
    /// The endpoint was removed or restarted.
    #[display("removed")]
    Removed,
    /// The settings no longer enable such limits.
    #[display("disabled")]
    Disabled,
}

/// Start or end of a recovery limit.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitChange {
    /// A limit began.
    Started {
        /// The endpoint.
        endpoint: EndpointId,
        /// The reason.
        cause: LimitCause,
        /// Number of requests that it may run at first.
        max_in_flight: u32,
    },
    /// A limit ended.
    Ended {
        /// The endpoint.
        endpoint: EndpointId,
        /// The reason.
        end: LimitEnd,
        /// Time at which the limit began.
        began_at: Timestamp,
    },
}

/// State of the recovery limits that isn't part of one endpoint's statistics.
#[derive(Clone, Debug, Default)]
pub(super) struct RecoveryLimits {
    is_enabled: bool,
    /// Number of endpoints that are limited now.
    count: usize,
    changes: Vec<LimitChange>,
    /// Usual time to the first event of a stream in each pool, in microseconds.
    usual_first_event_us: IndexMap<PoolId, f64>,
}

impl RecoveryLimits {
    fn record_change(&mut self, change: LimitChange) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(change);
        }
    }

    pub(super) fn record_end(
        &mut self,
        endpoint: &EndpointId,
        limit: &RecoveryLimit,
        end: LimitEnd,
    ) {
        self.count = self.count.saturating_sub(1);
        self.record_change(LimitChange::Ended {
            endpoint: endpoint.clone(),
            end,
            began_at: limit.began_at(),
        });
    }

    /// Returns the time to a first event relative to the usual one in the pool, and learns from it.
    fn first_event_ratio(&mut self, pool: &PoolId, taken: Duration, is_usual: bool) -> Option<f64> {
        let taken_us = taken.as_secs_f64() * 1e6;
        let Some(usual_us) = self.usual_first_event_us.get_mut(pool) else {
            if is_usual && taken_us > 0.0 {
                self.usual_first_event_us.insert(pool.clone(), taken_us);
            }
            return None;
        };
        let ratio = taken_us / *usual_us;
        if is_usual && ratio > 1.0 {
            *usual_us *= USUAL_TIME_STEP;
        } else if is_usual {
            *usual_us /= USUAL_TIME_STEP;
        }
        Some(ratio)
    }
}

impl LoadBalancer {
    /// Enables or disables limits of endpoints that start or are ejected without an announcement.
    pub fn set_recovery_limits(&mut self, is_enabled: bool) {
        self.recovery.is_enabled = is_enabled;
        if !is_enabled {
            self.end_recovery_limits(|_, _| Some(LimitEnd::Disabled));
        }
    }

    /// Records the slots of an endpoint that its entry says.
    pub fn record_slots(&mut self, endpoint: &EndpointId, slots: u32) {
        self.stats_mut(endpoint).slots = slots;
    }

    /// Limits an endpoint that has just started, if recovery limits are enabled.
    pub fn record_endpoint_start(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if self.recovery.is_enabled {
            self.begin_recovery_limit(now, endpoint, LimitCause::Start);
        }
    }

    /// Limits the requests in flight at an endpoint that has started and says that it warms up, until
    /// its answers show that it bears as many as it has slots. The same holds when it recovers.
    pub fn announce_warm_up(&mut self, endpoint: &EndpointId, slots: u32) {
        let stats = self.stats_mut(endpoint);
        stats.warm_up_slots = Some(slots);
        stats.begin_limit();
    }

    /// Returns the number of requests that may be in flight at an endpoint, if it is limited for now.
    #[must_use]
    pub fn limit(&self, endpoint: &EndpointId) -> Option<u32> {
        let stats = self.stats.get(endpoint)?;
        let announced = stats.limit.as_ref().map(ConcurrencyLimit::max_in_flight);
        let recovery = stats.recovery_limit.as_ref();
        let recovery = recovery.map(RecoveryLimit::max_in_flight);
        announced.into_iter().chain(recovery).min()
    }

    /// Returns the number of requests that may be in flight at an endpoint while no other has room: one
    /// that answers gets items beyond its recovery limit rather than leaving slots free.
    #[must_use]
    pub fn limit_without_others(&self, now: Timestamp, endpoint: &EndpointId) -> Option<u32> {
        let stats = self.stats.get(endpoint)?;
        let announced = stats.limit.as_ref().map(ConcurrencyLimit::max_in_flight);
        let recovery = stats.recovery_limit.as_ref();
        let recovery = recovery.filter(|limit| !limit.may_be_exceeded(now));
        let recovery = recovery.map(RecoveryLimit::max_in_flight);
        announced.into_iter().chain(recovery).min()
    }

    /// Returns the number of slots of an endpoint that items may take.
    #[must_use]
    pub fn free_slots(&self, now: Timestamp, endpoint: &Endpoint) -> u32 {
        let limit = self.limit_without_others(now, &endpoint.id);
        let slots = endpoint.slots.min(limit.unwrap_or(u32::MAX));
        slots.saturating_sub(self.in_flight(&endpoint.id))
    }

    /// Returns the number of endpoints with a recovery limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.recovery.count
    }

    /// Returns the recovery limits that began or ended since the last call, and ends those of endpoints
    /// that are no longer used.
    pub fn take_limit_changes(&mut self, now: Timestamp) -> Vec<LimitChange> {
        if self.recovery.count > 0 {
            self.end_recovery_limits(|limit, in_flight| {
                let is_outdated = limit.is_outdated(now, in_flight);
                is_outdated.then_some(LimitEnd::Unused)
            });
        }
        std::mem::take(&mut self.recovery.changes)
    }

    /// Records that a request was answered or that its first event arrived.
    pub fn record_progress(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let relative_pace = self.relative_pace(now, endpoint);
        let Some(stats) = self.stats.get_mut(endpoint) else {
            return;
        };
        if let Some(limit) = &mut stats.limit {
            limit.record_pace(now, relative_pace);
            limit.record_answer(stats.in_flight);
            if limit.is_lifted() {
                stats.limit = None;
            }
        }
        if let Some(limit) = &mut stats.recovery_limit {
            limit.record_answer(now, stats.in_flight);
            if limit.is_lifted() {
                let end = LimitEnd::Recovered;
                self.recovery.record_end(endpoint, limit, end);
                stats.recovery_limit = None;
            }
        }
    }

    /// Records the first event of a stream and the time to it; `None` if the engine was loading weights
    /// meanwhile, so that the time says nothing.
    pub fn record_first_event(
        &mut self,
        now: Timestamp,
        pool: &PoolId,
        endpoint: &EndpointId,
        taken: Option<Duration>,
    ) {
        if let Some(taken) = taken {
            self.update_pace(now, pool, endpoint, taken);
            if self.recovery.is_enabled {
                let stats = self.stats.get_mut(endpoint);
                let limit = stats.and_then(|stats| stats.recovery_limit.as_mut());
                let is_usual = limit.is_none();
                let ratio = self.recovery.first_event_ratio(pool, taken, is_usual);
                if let Some((limit, ratio)) = limit.zip(ratio) {
                    limit.record_sample(now, ratio);
                }
            }
        }
        self.record_progress(now, endpoint);
    }

    /// Ends the ejections since a time, which failures of this instance's own links have caused.
    pub fn readmit_ejected_since(&mut self, since: Timestamp) {
        for stats in self.stats.values_mut() {
            if stats.failed_at >= since {
                stats.failures = 0;
                stats.ejected_until = Timestamp::default();
            }
            if let Some(limit) = &mut stats.recovery_limit {
                limit.undo_losses_since(since);
            }
        }
        self.end_recovery_limits(|limit, _| {
            let is_own = limit.cause() == LimitCause::Ejection && limit.began_at() >= since;
            is_own.then_some(LimitEnd::OwnLinks)
        });
    }

    /// Limits an endpoint unless it is limited already.
    pub(super) fn begin_recovery_limit(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        cause: LimitCause,
    ) {
        let stats = self.stats_mut(endpoint);
        // One slot can't be limited further, and of an endpoint without an entry nothing is known.
        if stats.slots <= 1 || stats.recovery_limit.is_some() {
            return;
        }
        let limit = RecoveryLimit::new(now, stats.slots, cause);
        stats.recovery_limit = Some(limit);
        self.recovery.count += 1;
        self.recovery.record_change(LimitChange::Started {
            endpoint: endpoint.clone(),
            cause,
            max_in_flight: limit.max_in_flight(),
        });
    }

    /// Limits an endpoint that was just ejected, if recovery limits are enabled.
    pub(super) fn limit_ejected(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if self.recovery.is_enabled {
            self.begin_recovery_limit(now, endpoint, LimitCause::Ejection);
        }
    }

    fn end_recovery_limits(&mut self, end: impl Fn(&RecoveryLimit, u32) -> Option<LimitEnd>) {
        for (endpoint, stats) in &mut self.stats {
            let Some(limit) = &stats.recovery_limit else {
                continue;
            };
            if let Some(end) = end(limit, stats.in_flight) {
                self.recovery.record_end(endpoint, limit, end);
                stats.recovery_limit = None;
            }
        }
    }
}
