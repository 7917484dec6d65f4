//! Tracking of the prefix caches of engines that this instance sends work to.

use std::time::Duration;

use super::Instance;
use crate::effect::Effect;
use crate::event::CacheRead;
use crate::event::PollFailure;
use crate::id::EndpointId;
use crate::time::Timestamp;

/// Maximum number of tracked caches; bounds the cost independently of the number of engines.
const MAX_TRACKED_CACHES: usize = 8;
/// Interval between two reads of a cache.
const CACHE_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Time without work after which the cache of an engine is no longer tracked.
const TRACKING_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Read position and last use of a tracked cache.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrackedCache {
    used_at: Timestamp,
    next_read_at: Timestamp,
    /// Number of the next cache event to read.
    next_event: u64,
}

impl Instance {
    /// Records that an engine received work and starts to track its cache.
    pub(super) fn track_cache(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(tracked) = self.tracked_caches.get_mut(endpoint) {
            tracked.used_at = now;
            return;
        }
        let pool = self.settings.pool_of(endpoint);
        let has_cache = pool.is_some_and(|pool| pool.model.is_some());
        if !has_cache || self.tracked_caches.len() >= MAX_TRACKED_CACHES {
            return;
        }
        let tracked = TrackedCache {
            used_at: now,
            next_read_at: now,
            next_event: 0,
        };
        self.tracked_caches.insert(endpoint.clone(), tracked);
    }

    /// Requests the reads that are due and drops caches of engines without recent work.
    pub(super) fn tick_caches(&mut self, now: Timestamp) {
        self.tracked_caches
            .retain(|_, tracked| now.since(tracked.used_at) < TRACKING_IDLE_TIMEOUT);
        for (endpoint, tracked) in &mut self.tracked_caches {
            if now < tracked.next_read_at {
                continue;
            }
            tracked.next_read_at = now + CACHE_READ_INTERVAL;
            if let Some(configured) = self.settings.endpoints.get(endpoint) {
                self.effects.push(Effect::ReadCache {
                    endpoint: endpoint.clone(),
                    address: configured.address.clone(),
                    from: tracked.next_event,
                });
            }
        }
    }

    /// Applies changes of an engine's cache; a failed read discards everything known about it.
    pub(super) fn on_cache_read(
        &mut self,
        endpoint: &EndpointId,
        result: Result<CacheRead, PollFailure>,
    ) {
        let Some(tracked) = self.tracked_caches.get_mut(endpoint) else {
            return;
        };
        let Ok(read) = result else {
            tracked.next_event = 0;
            self.router.clear_cache(endpoint);
            return;
        };
        if read.next < tracked.next_event {
            // Event numbers restarted, so another process answers at this address.
            tracked.next_event = 0;
            self.router.clear_cache(endpoint);
            return;
        }
        tracked.next_event = read.next;
        for event in read.events {
            self.router.apply_cache_event(endpoint, event);
        }
    }
}
