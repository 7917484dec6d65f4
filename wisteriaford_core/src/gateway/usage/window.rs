//! Windows of true time, and a clock that follows no step of the system's clock.

use std::time::Duration;

use crate::id::WindowNumber;
use crate::time::Timestamp;

/// Difference between two clocks above which one of them was set, rather than drifted.
const MIN_STEP_MS: u64 = 250;
/// Part of a smaller difference that one observation corrects.
const CORRECTION_DIVISOR: u64 = 64;

/// Length of the windows of usage reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowLength {
    ms: u64,
}

impl WindowLength {
    /// Creates windows of a length, at least 1 ms.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        let ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        Self { ms: ms.max(1) }
    }

    /// Returns the length in milliseconds.
    #[must_use]
    pub fn as_millis(self) -> u64 {
        self.ms
    }

    /// Returns the window that contains a time.
    #[must_use]
    pub fn window_at(self, unix_ms: u64) -> WindowNumber {
        WindowNumber(unix_ms / self.ms)
    }

    /// Returns the end of a window, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn end_unix_ms(self, window: WindowNumber) -> u64 {
        window.0.saturating_add(1).saturating_mul(self.ms)
    }
}

/// Time since the Unix epoch, by the monotonic clock and the time of day at the first observation.
///
/// The time of day of an instance may be set while it runs, which doesn't move the windows. Drift is
/// corrected slowly.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueClock {
    /// Time of day at [`Timestamp`] zero, in microseconds.
    epoch_offset_us: Option<i128>,
    is_stepped: bool,
}

impl TrueClock {
    /// Observes the time of day; returns the difference in milliseconds if it was just set.
    pub fn observe(&mut self, now: Timestamp, unix_ms: u64) -> Option<i64> {
        let observed_us = i128::from(unix_ms) * 1_000 - i128::from(now.0);
        let Some(known_us) = self.epoch_offset_us else {
            self.epoch_offset_us = Some(observed_us);
            return None;
        };
        let ahead_us = observed_us - known_us;
        let is_stepped = ahead_us.unsigned_abs() >= u128::from(MIN_STEP_MS) * 1_000;
        let was_stepped = std::mem::replace(&mut self.is_stepped, is_stepped);
        if is_stepped {
            let step_ms = i64::try_from(ahead_us / 1_000).unwrap_or(i64::MAX);
            return (!was_stepped).then_some(step_ms);
        }
        self.epoch_offset_us = Some(known_us + ahead_us / i128::from(CORRECTION_DIVISOR));
        None
    }

    /// Returns the time since the Unix epoch in milliseconds, once it was observed.
    #[must_use]
    pub fn unix_ms(&self, at: Timestamp) -> Option<u64> {
        let unix_us = self.epoch_offset_us? + i128::from(at.0);
        Some(u64::try_from(unix_us / 1_000).unwrap_or(0))
    }
}
