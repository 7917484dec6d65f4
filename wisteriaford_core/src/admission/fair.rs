//! Deficit round robin between callers, with costs in tokens.
//!
//! Source: Shreedhar and Varghese, "Efficient Fair Queueing Using Deficit Round Robin", 1995.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::id::AttemptId;
use crate::id::CallerId;

/// Tokens that a caller of weight one may use in each round.
pub const QUANTUM_TOKENS: i64 = 256;

/// Position of a slot request in its caller's queue: higher rank first, then older first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueuePosition {
    pub(super) rank: Reverse<u32>,
    pub(super) sequence: u64,
    pub(super) cost_tokens: i64,
    pub(super) attempt: AttemptId,
}

#[derive(Clone, Debug, Default)]
struct CallerQueue {
    weight: i64,
    deficit_tokens: i64,
    positions: BTreeSet<QueuePosition>,
}

impl CallerQueue {
    fn quantum_tokens(&self) -> i64 {
        QUANTUM_TOKENS * self.weight
    }

    /// Returns the rounds until the first request may be granted a slot; 0 if it may be now.
    fn rounds_needed(&self) -> i64 {
        let Some(first) = self.positions.first() else {
            return i64::MAX;
        };
        let missing_tokens = (first.cost_tokens - self.deficit_tokens).max(0);
        let quantum_tokens = self.quantum_tokens();
        (missing_tokens + quantum_tokens - 1) / quantum_tokens
    }
}

/// Waiting slot requests of one priority, by caller.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    queues: IndexMap<CallerId, CallerQueue>,
    active: VecDeque<CallerId>,
    front_credited: bool,
    len: usize,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn set_weights(&mut self, weights: &IndexMap<CallerId, u32>) {
        self.queues
            .retain(|caller, queue| weights.contains_key(caller) || !queue.positions.is_empty());
        for (caller, queue) in &mut self.queues {
            queue.weight = weight_of(weights, caller);
        }
    }

    pub(super) fn push(&mut self, caller: &CallerId, weight: i64, position: QueuePosition) {
        let queue = self.queues.entry(caller.clone()).or_default();
        queue.weight = weight;
        if queue.positions.is_empty() {
            self.active.push_back(caller.clone());
        }
        queue.positions.insert(position);
        self.len += 1;
    }

    pub(super) fn remove(&mut self, caller: &CallerId, position: &QueuePosition) {
        let Some(queue) = self.queues.get_mut(caller) else {
            return;
        };
        if !queue.positions.remove(position) {
            return;
        }
        self.len -= 1;
        if queue.positions.is_empty() {
            queue.deficit_tokens = queue.deficit_tokens.min(0);
            self.deactivate(caller);
        }
    }

    fn deactivate(&mut self, caller: &CallerId) {
        if self.active.front() == Some(caller) {
            self.front_credited = false;
        }
        self.active.retain(|other| other != caller);
    }

    /// Returns the caller whose turn it is and its first request, which stays queued until
    /// [`Self::dequeue`].
    pub(super) fn peek(&mut self) -> Option<(CallerId, QueuePosition)> {
        self.active.front()?;
        if self.front_credited && !self.front_is_eligible() {
            self.rotate();
        }
        if !self.front_credited {
            self.skip_rounds();
        }
        loop {
            self.credit_front();
            if self.front_is_eligible() {
                let caller = self.active.front()?.clone();
                let position = self.queues.get(&caller)?.positions.first()?.clone();
                return Some((caller, position));
            }
            self.rotate();
        }
    }

    /// Removes the request that [`Self::peek`] returned and charges its caller.
    pub(super) fn dequeue(&mut self, caller: &CallerId, position: &QueuePosition) {
        if let Some(queue) = self.queues.get_mut(caller) {
            queue.deficit_tokens -= position.cost_tokens;
        }
        self.remove(caller, position);
    }

    /// Corrects a caller's charge by the difference between its estimated and actual use.
    pub(super) fn adjust_charge(&mut self, caller: &CallerId, correction_tokens: i64) {
        let Some(queue) = self.queues.get_mut(caller) else {
            return;
        };
        queue.deficit_tokens += correction_tokens;
        if queue.positions.is_empty() {
            queue.deficit_tokens = queue.deficit_tokens.min(0);
        }
    }

    /// Returns the caller with the most waiting requests relative to its weight, and its last
    /// request.
    pub(super) fn longest(&self) -> Option<(CallerId, QueuePosition)> {
        let (caller, queue) = self
            .queues
            .iter()
            .max_by_key(|(_, queue)| weighted_len(queue.positions.len(), queue.weight))?;
        Some((caller.clone(), queue.positions.last()?.clone()))
    }

    /// Returns whether `caller`, with one more request, would still have fewer than `other`
    /// relative to their weights.
    pub(super) fn would_be_shorter(
        &self,
        caller: &CallerId,
        weight: i64,
        other: &CallerId,
    ) -> bool {
        let len = |id| self.queues.get(id).map_or(0, |queue| queue.positions.len());
        let other_weight = self.queues.get(other).map_or(1, |queue| queue.weight);
        weighted_len(len(caller) + 1, weight) < weighted_len(len(other), other_weight)
    }

    fn credit_front(&mut self) {
        if self.front_credited {
            return;
        }
        self.front_credited = true;
        if let Some(queue) = self.active.front().and_then(|id| self.queues.get_mut(id)) {
            queue.deficit_tokens += queue.quantum_tokens();
        }
    }

    fn rotate(&mut self) {
        self.front_credited = false;
        self.active.rotate_left(1);
    }

    fn front_is_eligible(&self) -> bool {
        self.active
            .front()
            .and_then(|caller| self.queues.get(caller))
            .is_some_and(|queue| queue.rounds_needed() == 0)
    }

    /// Credits in one step all the rounds in which no caller has enough tokens for a request.
    fn skip_rounds(&mut self) {
        let active = self.active.iter().filter_map(|id| self.queues.get(id));
        let rounds = active.map(CallerQueue::rounds_needed).min().unwrap_or(0) - 1;
        if rounds <= 0 {
            return;
        }
        for caller in &self.active {
            if let Some(queue) = self.queues.get_mut(caller) {
                queue.deficit_tokens += rounds * queue.quantum_tokens();
            }
        }
    }
}

/// Returns the weight of a caller; one if it has none or zero.
pub(super) fn weight_of(weights: &IndexMap<CallerId, u32>, caller: &CallerId) -> i64 {
    i64::from(weights.get(caller).copied().unwrap_or(1).max(1))
}

fn weighted_len(len: usize, weight: i64) -> u128 {
    let len = u128::try_from(len).unwrap_or(u128::MAX);
    let weight = u128::try_from(weight.max(1)).unwrap_or(1);
    (len << 32) / weight
}
