//! Endpoints that a request was sent to, and whether it may be sent to another one.

use crate::id::EndpointId;

/// Maximum number of endpoints that couldn't be connected to before a request is given up.
const MAX_UNREACHABLE: usize = 8;

/// Attempts of one request, across its hedges and the resumption of its stream.
#[derive(Clone, Debug)]
pub struct Attempts {
    max: usize,
    tried: Vec<EndpointId>,
    unreachable: usize,
}

impl Attempts {
    /// Returns the attempts of a request that may be sent to `max` endpoints, at least to one.
    #[must_use]
    pub fn new(max: u32) -> Self {
        Self {
            max: usize::try_from(max).unwrap_or(usize::MAX).max(1),
            tried: Vec::new(),
            unreachable: 0,
        }
    }

    /// Returns whether the request may be sent to another endpoint.
    #[must_use]
    pub fn may_try(&self) -> bool {
        self.tried.len() - self.unreachable < self.max && self.unreachable < MAX_UNREACHABLE
    }

    /// Records that the request is sent to an endpoint.
    pub fn record(&mut self, endpoint: EndpointId) {
        self.tried.push(endpoint);
    }

    /// Records that nothing was sent to an endpoint that was tried, as it couldn't be connected to.
    pub fn record_unreachable(&mut self) {
        self.unreachable = self.tried.len().min(self.unreachable + 1);
    }

    /// Returns the endpoints that were tried.
    #[must_use]
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }
}
