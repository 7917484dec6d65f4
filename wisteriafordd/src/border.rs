//! Counts of requests that are refused before they reach the core.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use wisteriaford_core::refusal::RefusalReason;

/// Refusals by reason, counted by any thread.
#[derive(Debug, Default)]
pub struct BorderRefusals {
    bad_request: AtomicU64,
    too_large: AtomicU64,
}

impl BorderRefusals {
    /// Counts a refusal; reasons that only the core gives are counted there.
    pub fn count(&self, reason: RefusalReason) {
        if let Some(counter) = self.counter(reason) {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how often a reason was counted.
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
