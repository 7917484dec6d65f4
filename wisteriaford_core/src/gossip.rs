//! Changes that ride on messages, each a bounded number of times.

use std::hash::Hash;

use indexmap::IndexMap;

const RETRANSMIT_FACTOR: u32 = 4;

/// Queue of keys whose state is still to be spread.
pub(crate) struct Gossip<K> {
    sent: IndexMap<K, u32>,
}

impl<K> Default for Gossip<K> {
    fn default() -> Self {
        Self {
            sent: IndexMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> Gossip<K> {
    /// Spreads the state of a key anew.
    pub(crate) fn push(&mut self, key: K) {
        self.sent.insert(key, 0);
    }

    /// Forgets a key.
    pub(crate) fn remove(&mut self, key: &K) {
        self.sent.swap_remove(key);
    }

    /// Takes up to `limit` keys, those sent least often first, in a fleet of so many members.
    pub(crate) fn take(&mut self, limit: usize, members: usize) -> Vec<K> {
        let mut order: Vec<(u32, usize)> = self
            .sent
            .values()
            .enumerate()
            .map(|(place, &sent)| (sent, place))
            .collect();
        order.sort_unstable();
        order.truncate(limit);
        let mut taken = Vec::with_capacity(order.len());
        for &(_, place) in &order {
            if let Some((key, sent)) = self.sent.get_index_mut(place) {
                *sent += 1;
                taken.push(key.clone());
            }
        }
        let limit = retransmit_limit(members);
        self.sent.retain(|_, sent| *sent < limit);
        taken
    }
}

/// Returns how often a change is sent in a fleet of so many members.
fn retransmit_limit(members: usize) -> u32 {
    RETRANSMIT_FACTOR * (members.max(1).ilog10() + 1)
}
