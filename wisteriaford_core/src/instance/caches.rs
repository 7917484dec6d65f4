//! Prefix caches of the engines that this instance sends most work to.

use std::time::Duration;

use super::Instance;
use crate::effect::Effect;
use crate::event::CacheRead;
use crate::event::PollFailure;
use crate::id::EndpointId;
use crate::time::Timestamp;

/// Engines whose caches are followed; bounds what it costs, however many engines there are.
const MAX_FOLLOWED: usize = 8;
/// Interval at which the cache of an engine is read.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which an engine that got no work is no longer followed.
const FOLLOW_TIME: Duration = Duration::from_secs(60);

/// Cache that is followed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Followed {
    used_at: Timestamp,
    next_read: Timestamp,
    from: u64,
}

impl Instance {
    /// Notes that an engine got work, so that its cache is worth knowing.
    pub(super) fn follow_cache(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(followed) = self.caches.get_mut(endpoint) {
            followed.used_at = now;
            return;
        }
        let pool = self.settings.pool_of(endpoint);
        let has_cache = pool.is_some_and(|pool| pool.model.is_some());
        if !has_cache || self.caches.len() >= MAX_FOLLOWED {
            return;
        }
        let followed = Followed {
            used_at: now,
            next_read: now,
            from: 0,
        };
        self.caches.insert(endpoint.clone(), followed);
    }

    /// Reads the caches that are due, and forgets those of engines that got no work lately.
    pub(super) fn tick_caches(&mut self, now: Timestamp) {
        self.caches
            .retain(|_, followed| now.since(followed.used_at) < FOLLOW_TIME);
        for (endpoint, followed) in &mut self.caches {
            if now < followed.next_read {
                continue;
            }
            followed.next_read = now + READ_INTERVAL;
            if let Some(configured) = self.settings.endpoints.get(endpoint) {
                self.effects.push(Effect::ReadCache {
                    endpoint: endpoint.clone(),
                    address: configured.address.clone(),
                    from: followed.from,
                });
            }
        }
    }

    /// Takes changes of an engine's cache; without an answer nothing is known of it any more.
    pub(super) fn cache_read(
        &mut self,
        endpoint: &EndpointId,
        result: Result<CacheRead, PollFailure>,
    ) {
        let Some(followed) = self.caches.get_mut(endpoint) else {
            return;
        };
        let Ok(read) = result else {
            followed.from = 0;
            self.router.forget_cache(endpoint);
            return;
        };
        if read.next < followed.from {
            // The numbers began anew, so another program answers now.
            followed.from = 0;
            self.router.forget_cache(endpoint);
            return;
        }
        followed.from = read.next;
        for event in read.events {
            self.router.cache_event(endpoint, event);
        }
    }
}
