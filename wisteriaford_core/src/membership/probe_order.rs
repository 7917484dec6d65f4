//! Order in which members are probed: each once a round, in a new random order every round.

use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

use crate::id::InstanceId;

/// Members still to be probed in this round.
#[derive(Default)]
pub(super) struct Ring {
    order: Vec<InstanceId>,
}

impl Ring {
    /// Returns the next member that passes the test; starts a round of `all` when one is over.
    pub(super) fn next(
        &mut self,
        all: impl Fn() -> Vec<InstanceId>,
        passes: impl Fn(&InstanceId) -> bool,
        random: &mut Pcg64,
    ) -> Option<InstanceId> {
        while let Some(id) = self.order.pop() {
            if passes(&id) {
                return Some(id);
            }
        }
        self.order = all();
        self.order.shuffle(random);
        self.order.pop()
    }
}
