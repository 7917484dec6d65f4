//! Order in which items of organisations get the free slots of a contended pool.

use std::cmp::Reverse;
use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::gateway::fair_shares::Demand;
use crate::gateway::fair_shares::ShareKey;
use crate::gateway::fair_shares::divide;

/// Items of one organisation at a pool.
#[derive(Clone, Debug)]
struct Turn<T> {
    waiting: VecDeque<T>,
    running: u64,
    part_milli: u64,
    /// Number that is higher the later the organisation last started an item; zero for never.
    last_start: u64,
}

impl<T> Default for Turn<T> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            running: 0,
            part_milli: 0,
            last_start: 0,
        }
    }
}

impl<T> Turn<T> {
    /// Returns the number of whole slots that are missing; negative beyond the part.
    fn missing_slots(&self) -> i64 {
        let part_milli = i64::try_from(self.part_milli).unwrap_or(i64::MAX);
        let running = i64::try_from(self.running).unwrap_or(i64::MAX);
        (part_milli - running.saturating_mul(1_000)).div_euclid(1_000)
    }
}

/// Waiting items of a contended pool, of which the one whose turn it is starts next.
#[derive(Clone, Debug)]
pub struct ItemTurns<T> {
    turns: IndexMap<ShareKey, Turn<T>>,
    /// Position of the organisation whose turn it is, until one of its items has started.
    current: Option<usize>,
}

impl<T> Default for ItemTurns<T> {
    fn default() -> Self {
        Self {
            turns: IndexMap::new(),
            current: None,
        }
    }
}

impl<T> ItemTurns<T> {
    /// Returns the position of an organisation, for [`Self::add_waiting`].
    ///
    /// `last_start` tells when the organisation last started an item.
    pub fn position(&mut self, key: ShareKey, last_start: u64) -> usize {
        let entry = self.turns.entry(key);
        let position = entry.index();
        entry.or_default().last_start = last_start;
        position
    }

    /// Adds an item that waits; those of an organisation start in the order in which they are added.
    pub fn add_waiting(&mut self, position: usize, item: T) {
        self.turns[position].waiting.push_back(item);
    }

    /// Returns the number of items that wait.
    #[must_use]
    pub fn waiting_count(&self) -> u64 {
        let waiting = self.turns.values().map(|turn| turn.waiting.len());
        u64::try_from(waiting.sum::<usize>()).unwrap_or(u64::MAX)
    }

    /// Returns whether several organisations have items.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        let mut organisations = self.turns.keys().map(|key| &key.organisation);
        let first = organisations.next();
        organisations.any(|organisation| Some(organisation) != first)
    }

    /// Adds an item that runs.
    pub fn add_running(&mut self, key: ShareKey) {
        let turn = self.turns.entry(key).or_default();
        turn.running += 1;
    }

    /// Divides the slots of the pool, once all items are added.
    pub fn divide(&mut self, slots: u64) {
        let demands = self.turns.iter().map(|(key, turn)| {
            let waiting = u64::try_from(turn.waiting.len()).unwrap_or(u64::MAX);
            Demand {
                priority: key.priority,
                amount_milli: (turn.running + waiting) * 1_000,
            }
        });
        let parts = divide(slots * 1_000, &demands.collect::<Vec<_>>());
        for (turn, part_milli) in self.turns.values_mut().zip(parts) {
            turn.part_milli = part_milli;
        }
    }

    /// Removes and returns the item whose turn it is.
    ///
    /// If it can't start, the organisation's next item follows.
    pub fn take_next(&mut self) -> Option<T> {
        let has_waiting = |position: &usize| !self.turns[*position].waiting.is_empty();
        let position = self.current.filter(has_waiting);
        let position = position.or_else(|| {
            let waiting = (0..self.turns.len()).filter(has_waiting);
            waiting.max_by_key(|&position| {
                let turn = &self.turns[position];
                (turn.missing_slots(), Reverse((turn.last_start, position)))
            })
        })?;
        self.current = Some(position);
        self.turns[position].waiting.pop_front()
    }

    /// Records that the item that was taken last has started.
    pub fn record_start(&mut self, start: u64) {
        if let Some(position) = self.current.take() {
            let turn = &mut self.turns[position];
            turn.running += 1;
            turn.last_start = start;
        }
    }
}
