//! What an entry knows of the prefixes that an endpoint caches.

use indexmap::IndexSet;

/// Prefixes remembered for each endpoint.
pub const MAX_PREFIXES: usize = 4_096;

/// Change of an endpoint's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// The prefix is cached.
    Stored,
    /// The prefix is gone.
    Evicted,
}

/// Event of an endpoint's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Number of the event; the next one has the next number.
    pub sequence: u64,
    /// What happened.
    pub change: CacheChange,
    /// Hash of the prefix.
    pub prefix_hash: u64,
}

/// Prefixes that an endpoint is known to cache.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    next: Option<u64>,
    prefixes: IndexSet<u64>,
}

impl PrefixCache {
    /// Takes an event; a gap drops all that was known, a repeat changes nothing.
    pub(super) fn apply(&mut self, event: CacheEvent) {
        if self.next.is_some_and(|next| event.sequence < next) {
            return;
        }
        if self.next.is_some_and(|next| event.sequence > next) {
            self.prefixes.clear();
        }
        self.next = Some(event.sequence + 1);
        match event.change {
            CacheChange::Stored => self.store(event.prefix_hash),
            CacheChange::Evicted => {
                self.prefixes.shift_remove(&event.prefix_hash);
            }
        }
    }

    /// Forgets everything, as after a restart of the endpoint.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(super) fn contains(&self, prefix_hash: u64) -> bool {
        self.prefixes.contains(&prefix_hash)
    }

    fn store(&mut self, prefix_hash: u64) {
        self.prefixes.shift_remove(&prefix_hash);
        self.prefixes.insert(prefix_hash);
        if self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.shift_remove_index(0);
        }
    }
}
