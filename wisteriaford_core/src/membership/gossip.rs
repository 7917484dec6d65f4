//! Changes that ride on messages, each a bounded number of times.

use indexmap::IndexMap;

use crate::id::InstanceId;

const RETRANSMIT_FACTOR: u32 = 4;

/// Queue of members whose change is still to be spread.
#[derive(Default)]
pub(super) struct Gossip {
    sent: IndexMap<InstanceId, u32>,
}

impl Gossip {
    /// Spreads the state of a member anew.
    pub(super) fn push(&mut self, id: InstanceId) {
        self.sent.insert(id, 0);
    }

    /// Forgets a member.
    pub(super) fn remove(&mut self, id: &InstanceId) {
        self.sent.swap_remove(id);
    }

    /// Takes up to `limit` members, those sent least often first.
    pub(super) fn take(&mut self, limit: usize, members: usize) -> Vec<InstanceId> {
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
            if let Some((id, sent)) = self.sent.get_index_mut(place) {
                *sent += 1;
                taken.push(id.clone());
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
