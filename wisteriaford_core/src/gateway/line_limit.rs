//! Limit on repeated log lines.

use std::time::Duration;

use crate::time::Timestamp;

/// Minimum time between two lines.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Limit on log lines about events of one kind, of which a caller can cause any number.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineLimit {
    last_line_at: Option<Timestamp>,
    unreported: u64,
}

impl LineLimit {
    /// Records an event; returns the number of events since the last line if one is due.
    pub fn record(&mut self, now: Timestamp) -> Option<u64> {
        self.unreported = self.unreported.saturating_add(1);
        let is_due = |at: Timestamp| now.since(at) >= MIN_INTERVAL;
        if !self.last_line_at.is_none_or(is_due) {
            return None;
        }
        self.last_line_at = Some(now);
        Some(std::mem::take(&mut self.unreported))
    }
}
