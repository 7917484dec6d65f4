//! Monotonic clock for the core, with timestamps relative to the Unix epoch.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use wisteriaford_core::time::Timestamp;

/// Monotonic clock that is unaffected by later changes of the system time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
    started_unix_us: u64,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub(crate) fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started_at: Instant::now(),
            started_unix_us: u64::try_from(since_epoch.as_micros()).unwrap_or_default(),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp(self.started_unix_us) + self.started_at.elapsed()
    }
}
