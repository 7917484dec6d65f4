//! Queue of changes to piggyback on messages, each a limited number of times.

use std::hash::Hash;

use indexmap::IndexMap;

const RETRANSMIT_MULTIPLIER: u32 = 4;

/// Keys whose state is still to be sent, with the number of times that it was sent.
pub(crate) struct GossipQueue<K> {
    transmissions: IndexMap<K, u32>,
}

impl<K> Default for GossipQueue<K> {
    fn default() -> Self {
        Self {
            transmissions: IndexMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> GossipQueue<K> {
    /// Adds a key, or starts its transmissions afresh if it is queued already.
    pub(crate) fn push(&mut self, key: K) {
        self.transmissions.insert(key, 0);
    }

    /// Removes a key.
    pub(crate) fn remove(&mut self, key: &K) {
        self.transmissions.swap_remove(key);
    }

    /// Returns up to `limit` keys, those sent least often first, and counts them as sent.
    ///
    /// Removes the keys that have been sent often enough for a fleet of `members` instances.
    pub(crate) fn next_batch(&mut self, limit: usize, members: usize) -> Vec<K> {
        let mut order: Vec<(u32, usize)> = self
            .transmissions
            .values()
            .enumerate()
            .map(|(index, &transmissions)| (transmissions, index))
            .collect();
        order.sort_unstable();
        order.truncate(limit);
        let mut selected = Vec::with_capacity(order.len());
        for &(_, index) in &order {
            if let Some((key, transmissions)) = self.transmissions.get_index_mut(index) {
                *transmissions += 1;
                selected.push(key.clone());
            }
        }
        let limit = retransmit_limit(members);
        self.transmissions
            .retain(|_, transmissions| *transmissions < limit);
        selected
    }
}

/// Returns how many times a change is sent in a fleet of `members` instances.
fn retransmit_limit(members: usize) -> u32 {
    RETRANSMIT_MULTIPLIER * (members.max(1).ilog10() + 1)
}
