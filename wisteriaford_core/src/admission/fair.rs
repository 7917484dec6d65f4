//! Deficit round robin in tokens between callers.
//!
//! Source: Shreedhar and Varghese, "Efficient Fair Queueing Using Deficit Round Robin", 1995.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::id::AttemptId;
use crate::id::CallerId;

/// Tokens that a caller of weight one may take in a round.
pub const QUANTUM_TOKENS: i64 = 256;

/// Place of an ask within its caller's work: higher rank first, then age.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Place {
    pub(super) rank: Reverse<u32>,
    pub(super) sequence: u64,
    pub(super) cost_tokens: i64,
    pub(super) attempt: AttemptId,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    weight: i64,
    deficit_tokens: i64,
    places: BTreeSet<Place>,
}

impl Lane {
    fn quantum_tokens(&self) -> i64 {
        QUANTUM_TOKENS * self.weight
    }

    /// Rounds until the first ask may go; 0 if it may go now.
    fn rounds_needed(&self) -> i64 {
        let Some(first) = self.places.first() else {
            return i64::MAX;
        };
        let missing = (first.cost_tokens - self.deficit_tokens).max(0);
        let quantum = self.quantum_tokens();
        (missing + quantum - 1) / quantum
    }
}

/// Waiting asks of one priority, by caller.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    lanes: IndexMap<CallerId, Lane>,
    ring: VecDeque<CallerId>,
    visiting: bool,
    waiting: usize,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.waiting
    }

    pub(super) fn set_weights(&mut self, weights: &IndexMap<CallerId, u32>) {
        self.lanes
            .retain(|caller, lane| weights.contains_key(caller) || !lane.places.is_empty());
        for (caller, lane) in &mut self.lanes {
            lane.weight = weight_of(weights, caller);
        }
    }

    pub(super) fn push(&mut self, caller: &CallerId, weight: i64, place: Place) {
        let lane = self.lanes.entry(caller.clone()).or_default();
        lane.weight = weight;
        if lane.places.is_empty() {
            self.ring.push_back(caller.clone());
        }
        lane.places.insert(place);
        self.waiting += 1;
    }

    pub(super) fn remove(&mut self, caller: &CallerId, place: &Place) {
        let Some(lane) = self.lanes.get_mut(caller) else {
            return;
        };
        if !lane.places.remove(place) {
            return;
        }
        self.waiting -= 1;
        if lane.places.is_empty() {
            lane.deficit_tokens = lane.deficit_tokens.min(0);
            self.leave_ring(caller);
        }
    }

    fn leave_ring(&mut self, caller: &CallerId) {
        if self.ring.front() == Some(caller) {
            self.visiting = false;
        }
        self.ring.retain(|other| other != caller);
    }

    /// Returns whose turn it is and the ask, which stays queued until it is taken.
    pub(super) fn peek(&mut self) -> Option<(CallerId, Place)> {
        self.ring.front()?;
        if self.visiting && !self.front_may_go() {
            self.end_visit();
        }
        if !self.visiting {
            self.skip_rounds();
        }
        loop {
            self.begin_visit();
            if self.front_may_go() {
                let caller = self.ring.front()?.clone();
                let place = self.lanes.get(&caller)?.places.first()?.clone();
                return Some((caller, place));
            }
            self.end_visit();
        }
    }

    /// Takes the ask that [`Self::peek`] returned and charges its caller.
    pub(super) fn take(&mut self, caller: &CallerId, place: &Place) {
        if let Some(lane) = self.lanes.get_mut(caller) {
            lane.deficit_tokens -= place.cost_tokens;
        }
        self.remove(caller, place);
    }

    /// Corrects what a caller was charged by what it really took.
    pub(super) fn settle(&mut self, caller: &CallerId, correction_tokens: i64) {
        let Some(lane) = self.lanes.get_mut(caller) else {
            return;
        };
        lane.deficit_tokens += correction_tokens;
        if lane.places.is_empty() {
            lane.deficit_tokens = lane.deficit_tokens.min(0);
        }
    }

    /// Returns the caller with the most waiting asks for its weight, and its last ask.
    pub(super) fn longest(&self) -> Option<(CallerId, Place)> {
        let (caller, lane) = self
            .lanes
            .iter()
            .max_by_key(|(_, lane)| scaled(lane.places.len(), lane.weight))?;
        Some((caller.clone(), lane.places.last()?.clone()))
    }

    /// Returns whether `caller` has fewer asks for its weight than `other`, also with one more.
    pub(super) fn is_shorter(&self, caller: &CallerId, weight: i64, other: &CallerId) -> bool {
        let len = |id| self.lanes.get(id).map_or(0, |lane| lane.places.len());
        let other_weight = self.lanes.get(other).map_or(1, |lane| lane.weight);
        scaled(len(caller) + 1, weight) < scaled(len(other), other_weight)
    }

    fn begin_visit(&mut self) {
        if self.visiting {
            return;
        }
        self.visiting = true;
        if let Some(lane) = self.ring.front().and_then(|id| self.lanes.get_mut(id)) {
            lane.deficit_tokens += lane.quantum_tokens();
        }
    }

    fn end_visit(&mut self) {
        self.visiting = false;
        self.ring.rotate_left(1);
    }

    fn front_may_go(&self) -> bool {
        self.ring
            .front()
            .and_then(|caller| self.lanes.get(caller))
            .is_some_and(|lane| lane.rounds_needed() == 0)
    }

    /// Adds the rounds in which nobody could go, at once.
    fn skip_rounds(&mut self) {
        let active = self.ring.iter().filter_map(|id| self.lanes.get(id));
        let rounds = active.map(Lane::rounds_needed).min().unwrap_or(0) - 1;
        if rounds <= 0 {
            return;
        }
        for caller in &self.ring {
            if let Some(lane) = self.lanes.get_mut(caller) {
                lane.deficit_tokens += rounds * lane.quantum_tokens();
            }
        }
    }
}

/// Returns the weight of a caller; one if it is unknown or zero.
pub(super) fn weight_of(weights: &IndexMap<CallerId, u32>, caller: &CallerId) -> i64 {
    i64::from(weights.get(caller).copied().unwrap_or(1).max(1))
}

fn scaled(len: usize, weight: i64) -> u128 {
    let len = u128::try_from(len).unwrap_or(u128::MAX);
    let weight = u128::try_from(weight.max(1)).unwrap_or(1);
    (len << 32) / weight
}
