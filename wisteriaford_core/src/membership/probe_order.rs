//! Round-robin selection of members to probe, in a new random sequence each round.

use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

use crate::id::InstanceId;

/// Members not yet probed in the current round.
#[derive(Default)]
pub(super) struct ProbeOrder {
    remaining: Vec<InstanceId>,
}

impl ProbeOrder {
    /// Returns the next member that is still a candidate.
    ///
    /// Starts a new round with the members from `candidates` when the current one is over.
    pub(super) fn next(
        &mut self,
        candidates: impl Fn() -> Vec<InstanceId>,
        is_candidate: impl Fn(&InstanceId) -> bool,
        random: &mut Pcg64,
    ) -> Option<InstanceId> {
        while let Some(id) = self.remaining.pop() {
            if is_candidate(&id) {
                return Some(id);
            }
        }
        self.remaining = candidates();
        self.remaining.shuffle(random);
        self.remaining.pop()
    }
}
