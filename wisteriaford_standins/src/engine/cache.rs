//! Cache of prompt prefixes and its events.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EngineSettings;

const EVENT_LIMIT: usize = 4_096;

#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum EventKind {
    Stored,
    Evicted,
}

#[derive(Debug)]
struct Event {
    seq: u64,
    at: Instant,
    kind: EventKind,
    prefix_hash: u64,
}

/// Prompt prefixes by hash, the least recently used first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    delay: Duration,
    gap: u64,
    seed: u64,
    prefixes: IndexSet<u64>,
    events: VecDeque<Event>,
    next_seq: u64,
}

impl PrefixCache {
    pub(super) fn new(settings: &EngineSettings) -> Self {
        Self {
            capacity: settings.cache_prefixes as usize,
            delay: Duration::from_millis(settings.cache_event_delay_ms),
            gap: settings.cache_event_gap,
            seed: settings.seed,
            prefixes: IndexSet::new(),
            events: VecDeque::new(),
            next_seq: 1,
        }
    }

    /// Uses a prefix, which is cached from now on; returns true if it was before.
    pub(super) fn touch(&mut self, prefix_hash: u64, now: Instant) -> bool {
        if self.capacity == 0 {
            return false;
        }
        let cached = self.prefixes.shift_remove(&prefix_hash);
        if !cached {
            self.make_room(now);
            self.record(EventKind::Stored, prefix_hash, now);
        }
        self.prefixes.insert(prefix_hash);
        cached
    }

    /// Returns the events from `from` on that are published by `now`.
    pub(super) fn events(&self, from: u64, now: Instant) -> Value {
        let published: Vec<&Event> = self
            .events
            .iter()
            .take_while(|event| event.at + self.delay <= now)
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

    fn make_room(&mut self, now: Instant) {
        while self.prefixes.len() >= self.capacity {
            if let Some(evicted) = self.prefixes.shift_remove_index(0) {
                self.record(EventKind::Evicted, evicted, now);
            }
        }
    }

    fn record(&mut self, kind: EventKind, prefix_hash: u64, now: Instant) {
        self.events.push_back(Event {
            seq: self.next_seq,
            at: now,
            kind,
            prefix_hash,
        });
        self.next_seq += 1;
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    fn is_dropped(&self, seq: u64) -> bool {
        self.gap > 0 && xxh3_64_with_seed(&seq.to_le_bytes(), self.seed).is_multiple_of(self.gap)
    }
}
