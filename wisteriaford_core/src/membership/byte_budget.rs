//! Bytes that the protocol may send.

use crate::time::Timestamp;

/// Bytes a second that the protocol may send on average.
pub const BYTES_PER_S: u64 = 8_000;

/// Bytes that it may send at once after a quiet time.
pub const BURST_BYTES: u64 = 96_000;

/// Token bucket of bytes; probes are always sent, but their bytes are counted too.
pub(super) struct Allowance {
    bytes: i64,
    filled_at: Timestamp,
}

impl Allowance {
    /// Makes a full bucket.
    pub(super) fn new() -> Self {
        Self {
            bytes: BURST_BYTES.cast_signed(),
            filled_at: Timestamp::default(),
        }
    }

    /// Fills the bucket for the time that passed.
    pub(super) fn fill(&mut self, now: Timestamp) {
        let passed_ms = u64::try_from(now.since(self.filled_at).as_millis()).unwrap_or(u64::MAX);
        let gained = passed_ms.saturating_mul(BYTES_PER_S) / 1_000;
        if gained == 0 {
            return;
        }
        self.filled_at = now;
        let gained = gained.min(2 * BURST_BYTES).cast_signed();
        self.bytes = (self.bytes + gained).min(BURST_BYTES.cast_signed());
    }

    /// Returns whether a message of this size may be sent now.
    pub(super) fn allows(&self, bytes: usize) -> bool {
        i64::try_from(bytes).is_ok_and(|bytes| bytes <= self.bytes)
    }

    /// Counts a message that is sent; the debt is bounded by the burst.
    pub(super) fn spend(&mut self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        let floor = -BURST_BYTES.cast_signed();
        self.bytes = self.bytes.saturating_sub(bytes).max(floor);
    }
}
