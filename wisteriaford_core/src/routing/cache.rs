//! Prompt prefixes that an ingress instance knows an endpoint to cache.

use indexmap::IndexSet;

/// Most prefixes remembered per endpoint; the one stored least recently is dropped first.
pub const MAX_PREFIXES_PER_ENDPOINT: usize = 4_096;

/// Change of an endpoint's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was removed from the cache.
    Evicted,
}

/// Event of an endpoint's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Sequence number; consecutive events have consecutive numbers.
    pub sequence: u64,
    /// How the cache changed.
    pub change: CacheChange,
    /// Hash of the cached or evicted prefix.
    pub prefix_hash: u64,
}

/// Prefixes that an endpoint is known to cache.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    next_sequence: Option<u64>,
    prefixes: IndexSet<u64>,
}

impl PrefixCache {
    /// Applies an event. A gap in the sequence clears all known prefixes; a repeat is ignored.
    pub(super) fn apply(&mut self, event: CacheEvent) {
        if self.next_sequence.is_some_and(|next| event.sequence < next) {
            return;
        }
        if self.next_sequence.is_some_and(|next| event.sequence > next) {
            self.prefixes.clear();
        }
        self.next_sequence = Some(event.sequence + 1);
        match event.change {
            CacheChange::Stored => self.insert(event.prefix_hash),
            CacheChange::Evicted => {
                self.prefixes.shift_remove(&event.prefix_hash);
            }
        }
    }

    /// Clears all known prefixes and the sequence, as after a restart of the endpoint.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(super) fn contains(&self, prefix_hash: u64) -> bool {
        self.prefixes.contains(&prefix_hash)
    }

    /// Adds a prefix as the newest, and drops the oldest if there are too many.
    fn insert(&mut self, prefix_hash: u64) {
        self.prefixes.shift_remove(&prefix_hash);
        self.prefixes.insert(prefix_hash);
        if self.prefixes.len() > MAX_PREFIXES_PER_ENDPOINT {
            self.prefixes.shift_remove_index(0);
        }
    }
}
