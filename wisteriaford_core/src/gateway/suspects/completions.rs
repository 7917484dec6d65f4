//! Requests that completed lately.

use std::time::Duration;

use indexmap::IndexSet;

use crate::id::Fingerprint;
use crate::time::Timestamp;

/// Minimum time for which a completed request is taken for harmless, also if crashes are reported
/// afterwards: a request that crashes endpoints doesn't complete.
const RETENTION: Duration = Duration::from_secs(15);
/// Maximum number of requests in one generation.
const MAX_REQUESTS: usize = 4_096;

/// Set of the requests that completed within [`RETENTION`], and some older ones.
///
/// It has two generations, of which the older one is dropped as a whole: requests need no order, so
/// recording one takes constant time.
#[derive(Clone, Debug, Default)]
pub(super) struct Completions {
    current: IndexSet<Fingerprint>,
    previous: IndexSet<Fingerprint>,
    current_since: Timestamp,
}

impl Completions {
    pub(super) fn insert(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.rotate(now);
        self.current.insert(fingerprint);
    }

    pub(super) fn contains(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.rotate(now);
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }

    fn rotate(&mut self, now: Timestamp) {
        let age = now.since(self.current_since);
        if age < RETENTION && self.current.len() < MAX_REQUESTS {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= RETENTION * 2 {
            self.previous.clear();
        }
        self.current_since = now;
    }
}
