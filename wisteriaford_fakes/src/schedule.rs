//! Priority queue of scheduled items, ordered by virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use wisteriaford_core::time::Timestamp;

/// Queue that returns items by time, and in insertion order within the same time.
#[derive(Debug)]
pub(crate) struct Schedule<T> {
    heap: BinaryHeap<Reverse<Scheduled<T>>>,
    sequence: u64,
}

#[derive(Debug)]
struct Scheduled<T> {
    at: Timestamp,
    sequence: u64,
    item: T,
}

impl<T> Schedule<T> {
    /// Creates an empty queue.
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }

    /// Schedules an item.
    pub(crate) fn push(&mut self, at: Timestamp, item: T) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.heap.push(Reverse(Scheduled { at, sequence, item }));
    }

    /// Removes and returns the next item if it is due by `until`.
    pub(crate) fn pop(&mut self, until: Timestamp) -> Option<(Timestamp, T)> {
        if self.heap.peek()?.0.at > until {
            return None;
        }
        let Reverse(scheduled) = self.heap.pop()?;
        Some((scheduled.at, scheduled.item))
    }
}

impl<T> PartialEq for Scheduled<T> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<T> Eq for Scheduled<T> {}

impl<T> PartialOrd for Scheduled<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Scheduled<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
