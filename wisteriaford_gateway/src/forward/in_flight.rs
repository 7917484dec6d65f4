//! Counts of requests in flight at endpoints.

use std::sync::Arc;
use std::sync::MutexGuard;

use wisteriaford_core::gateway::load_balancer::LoadBalancer;
use wisteriaford_core::id::EndpointId;

use crate::state::Gateway;

/// Guard that ends a load balancer's count of an in-flight request when it is dropped.
pub(crate) struct InFlightGuard {
    gateway: Arc<Gateway>,
    endpoint: EndpointId,
    load_balancer: fn(&Gateway) -> MutexGuard<'_, LoadBalancer>,
}

impl InFlightGuard {
    /// Creates the guard of a request that the load balancer already counts.
    pub(crate) fn from_counted(gateway: &Arc<Gateway>, endpoint: &EndpointId) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            endpoint: endpoint.clone(),
            load_balancer: Gateway::load_balancer,
        }
    }

    /// Creates the guard of a scorer call that is already counted.
    pub(crate) fn from_counted_score(gateway: &Arc<Gateway>, endpoint: &EndpointId) -> Self {
        let mut guard = Self::from_counted(gateway, endpoint);
        guard.load_balancer = Gateway::scorer_balancer;
        guard
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        (self.load_balancer)(&self.gateway).record_end(&self.endpoint);
    }
}
