//! Scheduler that assigns an engine's slots to waiting requests.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use serde::Deserialize;

use crate::error::RequestError;
use crate::error::Result;

/// Priority of a request, ordered from highest to lowest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub(super) enum Priority {
    /// A user is waiting for the answer.
    Interactive,
    /// The request belongs to a batch job.
    Batch,
}

/// Position of a request in the queue, ordered by priority, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Ticket {
    priority: Priority,
    arrival: u64,
}

/// Running requests and the queue of waiting ones, both by ticket with the request's id.
#[derive(Debug)]
pub(super) struct Scheduler {
    slots: u32,
    max_waiting: u32,
    arrival_count: u64,
    waiting: BTreeMap<Ticket, String>,
    running: IndexMap<Ticket, String>,
}

impl Scheduler {
    pub(super) fn new(slots: u32, max_waiting: u32) -> Self {
        Self {
            slots,
            max_waiting,
            arrival_count: 0,
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

    /// Queues a request; fails if all slots and queue positions are taken.
    pub(super) fn enqueue(&mut self, priority: Priority, request_id: String) -> Result<Ticket> {
        if self.running() + self.waiting() >= self.slots + self.max_waiting {
            return Err(RequestError::Overloaded);
        }
        self.arrival_count += 1;
        let ticket = Ticket {
            priority,
            arrival: self.arrival_count,
        };
        self.waiting.insert(ticket, request_id);
        Ok(ticket)
    }

    /// Moves `ticket` from the queue to a slot if it is first in the queue and a slot is free;
    /// returns true if it was moved.
    pub(super) fn try_start(&mut self, ticket: Ticket) -> bool {
        let is_first = self.waiting.keys().next() == Some(&ticket);
        if !is_first || self.running() >= self.slots {
            return false;
        }
        if let Some(request_id) = self.waiting.remove(&ticket) {
            self.running.insert(ticket, request_id);
        }
        true
    }

    /// Returns true while the request waits or runs, which is until it is cancelled or finished.
    pub(super) fn contains(&self, ticket: Ticket) -> bool {
        self.waiting.contains_key(&ticket) || self.running.contains_key(&ticket)
    }

    /// Removes a request from the queue or its slot.
    pub(super) fn finish(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
        self.running.swap_remove(&ticket);
    }

    /// Cancels all requests with the given id.
    pub(super) fn cancel(&mut self, request_id: &str) {
        self.waiting.retain(|_, id| id != request_id);
        self.running.retain(|_, id| id != request_id);
    }
}
