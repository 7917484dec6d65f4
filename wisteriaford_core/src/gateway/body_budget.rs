//! Memory for large answers of endpoints, which may be endless.

use indexmap::IndexMap;

use crate::id::EndpointId;

/// Size from which a body gives way to others once no memory is left, in bytes.
const LARGE_SHARE_BYTES: usize = 256 * 1024;

/// Answer to a request for memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reservation {
    /// The memory is reserved.
    Granted,
    /// There is none now; others will release some.
    Wait,
    /// There is none, and the body already holds much: it gives way.
    Refused,
}

/// Memory that all bodies share, each by the bytes that it has received: a slow endless body holds
/// little, and keeps no other from being read.
///
/// All bodies of an endpoint together hold at most as much as they leave free. Some memory is therefore
/// always left for other endpoints, however many bodies a faulty one never ends.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    free_bytes: usize,
    /// Bytes held by the bodies of each endpoint.
    held_bytes: IndexMap<EndpointId, usize>,
}

impl BodyBudget {
    /// Returns a budget of which nothing is used.
    #[must_use]
    pub fn new(total_bytes: usize) -> Self {
        Self {
            free_bytes: total_bytes,
            held_bytes: IndexMap::new(),
        }
    }

    /// Reserves memory for a body of an endpoint that holds `held_bytes` so far.
    pub fn reserve(
        &mut self,
        endpoint: &EndpointId,
        held_bytes: usize,
        bytes: usize,
    ) -> Reservation {
        let of_endpoint = self.held_bytes.get(endpoint).copied().unwrap_or_default();
        let of_endpoint = of_endpoint.saturating_add(bytes);
        let free_bytes = self.free_bytes.checked_sub(bytes);
        if let Some(free_bytes) = free_bytes.filter(|free_bytes| of_endpoint <= *free_bytes) {
            self.free_bytes = free_bytes;
            self.held_bytes.insert(endpoint.clone(), of_endpoint);
            return Reservation::Granted;
        }
        if held_bytes >= LARGE_SHARE_BYTES {
            Reservation::Refused
        } else {
            Reservation::Wait
        }
    }

    /// Releases memory that was reserved for a body of an endpoint.
    pub fn release(&mut self, endpoint: &EndpointId, bytes: usize) {
        self.free_bytes += bytes;
        if let Some(held_bytes) = self.held_bytes.get_mut(endpoint) {
            *held_bytes = held_bytes.saturating_sub(bytes);
            if *held_bytes == 0 {
                self.held_bytes.swap_remove(endpoint);
            }
        }
    }
}
