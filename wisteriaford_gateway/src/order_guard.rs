//! Orders in flight, so that a release of the lease can state that all were answered.

use std::sync::Arc;

use wisteriaford_core::id::Fence;

use crate::clock;
use crate::state::Gateway;

/// Order that this instance gives as the leader. One that is dropped before its answer counts as unanswered.
pub(crate) struct OrderGuard {
    gateway: Arc<Gateway>,
    fence: Fence,
    is_answered: bool,
}

impl OrderGuard {
    /// Begins an order, if this instance may give orders.
    pub(crate) fn begin(gateway: &Arc<Gateway>) -> Option<Self> {
        let fence = gateway.leadership().begin_order(clock::now())?;
        Some(Self {
            gateway: Arc::clone(gateway),
            fence,
            is_answered: false,
        })
    }

    /// Returns the fencing number of the order.
    pub(crate) fn fence(&self) -> Fence {
        self.fence
    }

    /// Ends the order; it `is_answered` if it can't arrive any more.
    pub(crate) fn end(mut self, is_answered: bool) {
        self.is_answered = is_answered;
    }
}

impl Drop for OrderGuard {
    fn drop(&mut self) {
        let mut leadership = self.gateway.leadership();
        leadership.end_order(clock::now(), self.is_answered);
    }
}
