//! Limit on the bytes that the membership protocol sends.

use crate::time::Timestamp;

/// Average number of bytes per second that the protocol may send.
pub const BYTES_PER_S: u64 = 8_000;

/// Number of bytes that the protocol may send in one burst.
pub const BURST_BYTES: u64 = 96_000;

/// Token bucket of bytes.
///
/// Probes are sent even when it is empty, but their bytes are counted.
pub(super) struct ByteBudget {
    bytes: i64,
    refilled_at: Timestamp,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub(super) fn new() -> Self {
        Self {
            bytes: BURST_BYTES.cast_signed(),
            refilled_at: Timestamp::default(),
        }
    }

    /// Refills the bucket for the time since the last refill.
    pub(super) fn refill(&mut self, now: Timestamp) {
        let elapsed_ms = u64::try_from(now.since(self.refilled_at).as_millis()).unwrap_or(u64::MAX);
        let added = elapsed_ms.saturating_mul(BYTES_PER_S) / 1_000;
        if added == 0 {
            return;
        }
        self.refilled_at = now;
        let added = added.min(2 * BURST_BYTES).cast_signed();
        self.bytes = (self.bytes + added).min(BURST_BYTES.cast_signed());
    }

    /// Returns whether a message of this size may be sent now.
    pub(super) fn has_room_for(&self, bytes: usize) -> bool {
        i64::try_from(bytes).is_ok_and(|bytes| bytes <= self.bytes)
    }

    /// Takes the bytes of a sent message from the bucket, which may go negative by up to one burst.
    pub(super) fn spend(&mut self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        let floor = -BURST_BYTES.cast_signed();
        self.bytes = self.bytes.saturating_sub(bytes).max(floor);
    }
}
