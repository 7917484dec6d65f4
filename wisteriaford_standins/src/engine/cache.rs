//! LRU cache of prompt prefixes and the events that it publishes.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EngineSettings;

const MAX_EVENTS: usize = 4_096;

#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum EventKind {
    Stored,
    Evicted,
}

#[derive(Debug)]
struct Event {
    seq: u64,
    recorded_at: Instant,
    kind: EventKind,
    prefix_hash: u64,
}

/// Hashes of the cached prompt prefixes, ordered from least to most recently used.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    publish_delay: Duration,
    drop_interval: u64,
    seed: u64,
    prefixes: IndexSet<u64>,
    events: VecDeque<Event>,
    next_seq: u64,
}

impl PrefixCache {
    pub(super) fn new(settings: &EngineSettings) -> Self {
        Self {
            capacity: settings.cache_prefixes as usize,
            publish_delay: Duration::from_millis(settings.cache_event_delay_ms),
            drop_interval: settings.cache_event_gap,
            seed: settings.seed,
            prefixes: IndexSet::new(),
            events: VecDeque::new(),
            next_seq: 1,
        }
    }

    /// Marks a prefix as used and caches it; returns true if it was cached before.
    pub(super) fn touch(&mut self, prefix_hash: u64, now: Instant) -> bool {
        if self.capacity == 0 {
            return false;
        }
        let was_cached = self.prefixes.shift_remove(&prefix_hash);
        if !was_cached {
            self.evict_to_fit(now);
            self.record_event(EventKind::Stored, prefix_hash, now);
        }
        self.prefixes.insert(prefix_hash);
        was_cached
    }

    /// Returns the events published by `now` whose sequence number is at least `from`.
    pub(super) fn published_events(&self, from: u64, now: Instant) -> Value {
        let published: Vec<&Event> = self
            .events
            .iter()
            .take_while(|event| event.recorded_at + self.publish_delay <= now)
            .filter(|event| event.seq >= from)
            .collect();
        let next = published.last().map_or(from.max(1), |event| event.seq + 1);
        let events: Vec<Value> = published
            .into_iter()
            .filter(|event| !self.is_dropped(event.seq))
            .map(|event| {
                json!({"seq": event.seq, "kind": event.kind, "prefix_hash": event.prefix_hash})
            })
            .collect();
        json!({"events": events, "next": next})
    }

    fn evict_to_fit(&mut self, now: Instant) {
        while self.prefixes.len() >= self.capacity {
            if let Some(evicted) = self.prefixes.shift_remove_index(0) {
                self.record_event(EventKind::Evicted, evicted, now);
            }
        }
    }

    fn record_event(&mut self, kind: EventKind, prefix_hash: u64, now: Instant) {
        self.events.push_back(Event {
            seq: self.next_seq,
            recorded_at: now,
            kind,
            prefix_hash,
        });
        self.next_seq += 1;
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    fn is_dropped(&self, seq: u64) -> bool {
        self.drop_interval > 0
            && xxh3_64_with_seed(&seq.to_le_bytes(), self.seed).is_multiple_of(self.drop_interval)
    }
}
