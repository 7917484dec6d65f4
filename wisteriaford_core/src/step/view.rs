//! What the step logic sees of the fleet.

use crate::id::InstanceId;
use crate::id::PoolId;
use crate::id::StepKey;

/// Facts of a pool as this instance knows them; they may lag.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolFacts {
    /// Oldest weights that a sample may name, in versions behind the trainer's.
    pub staleness_bound_versions: u64,
    /// Whether samples must be scored before they are delivered.
    pub has_scorer: bool,
    /// Slots that batch work could have now.
    pub free_slots: usize,
}

/// The fleet as this instance sees it; views of instances may disagree for seconds.
///
/// Owner and keeper should be the first and second by rendezvous hash over the instances that are
/// neither failed nor leaving. No promise rests on views being right.
pub trait StepView {
    /// Returns this instance.
    fn me(&self) -> InstanceId;
    /// Returns the instance that produces a step.
    fn owner_of(&self, key: &StepKey) -> Option<InstanceId>;
    /// Returns the instance that keeps the second copy; it is not the owner.
    fn keeper_of(&self, key: &StepKey) -> Option<InstanceId>;
    /// Returns the facts of a pool; none if it is not configured.
    fn pool(&self, pool: &PoolId) -> Option<PoolFacts>;
}
