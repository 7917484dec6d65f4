//! Orders of engines for all pools with a policy.

use indexmap::IndexMap;

use crate::gateway::duties::DueCall;
use crate::gateway::duties::Duty;
use crate::gateway::duties::DutyContent;
use crate::gateway::duties::DutyKind;
use crate::gateway::duties::DutyOutcome;
use crate::gateway::scaling::PoolObservation;
use crate::gateway::scaling::PoolScaling;
use crate::gateway::scaling::allocation::ScalingPolicy;
use crate::id::PoolId;
use crate::time::Timestamp;

/// Decisions on the engines of all pools, in one term of the leader.
#[derive(Clone, Debug, Default)]
pub struct FleetScaling {
    pools: IndexMap<PoolId, PoolScaling>,
    /// Position of the pool that is asked first for the next order, so that none holds up the others.
    next: usize,
}

impl FleetScaling {
    /// Records what is known of a pool now. With another policy, the decisions on it begin anew.
    pub fn observe(
        &mut self,
        now: Timestamp,
        pool: &PoolId,
        policy: &ScalingPolicy,
        observation: PoolObservation,
    ) {
        let known = self.pools.get(pool);
        if known.is_none_or(|known| known.policy != *policy) {
            let scaling = PoolScaling::new(pool.clone(), policy.clone());
            self.pools.insert(pool.clone(), scaling);
        }
        self.pools[pool].observe(now, observation);
    }

    /// Forgets the pools for which `is_scaled` doesn't hold.
    pub fn retain(&mut self, is_scaled: impl Fn(&PoolId) -> bool) {
        self.pools.retain(|pool, _| is_scaled(pool));
    }
}

impl Duty for FleetScaling {
    fn kind(&self) -> DutyKind {
        DutyKind::Scaling
    }

    fn next_call(
        &mut self,
        now: Timestamp,
        is_fenced_off: &dyn Fn(&str) -> bool,
    ) -> Option<DueCall> {
        let pools = self.pools.len();
        for offset in 0..pools {
            let position = (self.next + offset) % pools;
            if let Some(call) = self.pools[position].next_call(now, is_fenced_off) {
                self.next = position + 1;
                return Some(call);
            }
        }
        None
    }

    fn on_outcome(&mut self, now: Timestamp, content: &DutyContent, outcome: DutyOutcome) {
        if let DutyContent::Scaling(order) = content
            && let Some(pool) = self.pools.get_mut(&order.pool)
        {
            pool.on_outcome(now, content, outcome);
        }
    }
}
