//! Slots of an engine and the requests that wait for them.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use serde::Deserialize;

use crate::error::RequestError;
use crate::error::Result;

/// Priority of a request; the first goes before the second.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub(super) enum Priority {
    /// Somebody waits for the answer.
    Interactive,
    /// The answer belongs to a batch.
    Batch,
}

/// Place of a request in the queue: by priority, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Ticket {
    priority: Priority,
    arrival: u64,
}

/// Slots and queue.
#[derive(Debug)]
pub(super) struct Scheduler {
    slots: u32,
    max_waiting: u32,
    arrivals: u64,
    waiting: BTreeMap<Ticket, String>,
    running: IndexMap<Ticket, String>,
}

impl Scheduler {
    pub(super) fn new(slots: u32, max_waiting: u32) -> Self {
        Self {
            slots,
            max_waiting,
            arrivals: 0,
            waiting: BTreeMap::new(),
            running: IndexMap::new(),
        }
    }

    pub(super) fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Queues a request; it is refused when too many wait.
    pub(super) fn enqueue(&mut self, priority: Priority, request_id: String) -> Result<Ticket> {
        if self.running() + self.waiting() >= self.slots + self.max_waiting {
            return Err(RequestError::Overloaded);
        }
        self.arrivals += 1;
        let ticket = Ticket {
            priority,
            arrival: self.arrivals,
        };
        self.waiting.insert(ticket, request_id);
        Ok(ticket)
    }

    /// Gives the first in the queue a slot; returns true if `ticket` runs now.
    pub(super) fn try_run(&mut self, ticket: Ticket) -> bool {
        let first = self.waiting.keys().next() == Some(&ticket);
        if !first || self.running() >= self.slots {
            return false;
        }
        if let Some(request_id) = self.waiting.remove(&ticket) {
            self.running.insert(ticket, request_id);
        }
        true
    }

    /// Returns true while the request waits or runs, thus until it is cancelled or finished.
    pub(super) fn holds(&self, ticket: Ticket) -> bool {
        self.waiting.contains_key(&ticket) || self.running.contains_key(&ticket)
    }

    /// Takes a request out of the queue and off its slot.
    pub(super) fn finish(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
        self.running.swap_remove(&ticket);
    }

    /// Cancels all requests with this id.
    pub(super) fn cancel(&mut self, request_id: &str) {
        self.waiting.retain(|_, id| id != request_id);
        self.running.retain(|_, id| id != request_id);
    }
}
