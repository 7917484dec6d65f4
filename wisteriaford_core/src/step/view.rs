//! The step logic's view of the fleet.

use crate::id::InstanceId;
use crate::id::PoolId;
use crate::id::StepKey;

/// State of a pool as known to this instance; it may be out of date.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolSnapshot {
    /// Number of versions by which a sample's oldest weights may be behind the trainer's.
    pub staleness_bound_versions: u64,
    /// Whether samples must be scored before they are delivered.
    pub has_scorer: bool,
    /// Slots that are free for batch work.
    pub free_slots: usize,
}

/// The fleet as this instance sees it; the views of two instances may differ for seconds.
///
/// Owner and replica should be the first and second by rendezvous hash over the instances that
/// are neither failed nor leaving. Correctness doesn't depend on accurate views.
pub trait StepView {
    /// Returns the id of this instance.
    fn me(&self) -> InstanceId;
    /// Returns the instance that owns a step and has its samples generated.
    fn owner_of(&self, key: &StepKey) -> Option<InstanceId>;
    /// Returns the instance that stores the second copy; never the owner.
    fn replica_of(&self, key: &StepKey) -> Option<InstanceId>;
    /// Returns the state of a pool, or `None` if it is not configured.
    fn pool(&self, pool: &PoolId) -> Option<PoolSnapshot>;
}
