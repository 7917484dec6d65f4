//! Counters for requests that the HTTP layer refuses before they reach the core.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use wisteriaford_core::refusal::RefusalReason;

/// Refusal counters by reason, safe to update from any thread.
#[derive(Debug, Default)]
pub struct HttpRefusals {
    bad_request: AtomicU64,
    too_large: AtomicU64,
}

impl HttpRefusals {
    /// Counts a refusal. Ignores reasons that only the core gives, which the core counts itself.
    pub fn count(&self, reason: RefusalReason) {
        if let Some(counter) = self.counter(reason) {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of refusals counted for a reason.
    #[must_use]
    pub fn get(&self, reason: RefusalReason) -> u64 {
        let counter = self.counter(reason);
        counter.map_or(0, |counter| counter.load(Ordering::Relaxed))
    }

    fn counter(&self, reason: RefusalReason) -> Option<&AtomicU64> {
        match reason {
            RefusalReason::BadRequest => Some(&self.bad_request),
            RefusalReason::TooLarge => Some(&self.too_large),
            _ => None,
        }
    }
}
