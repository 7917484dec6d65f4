//! Events of streams, which tell a stream that stalled from an endpoint that is slow or pauses.

use std::time::Duration;

use crate::time::Timestamp;

/// Time for which an endpoint must send events of other streams, pauses not counted, until a silent
/// stream is stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Multiple of a stream's mean interval between events that its silence must reach, too.
const STALL_INTERVALS: u32 = 8;
/// Number of events after which the mean interval of a stream is known.
const MIN_EVENTS: u32 = 4;
/// Maximum time between two events of an endpoint that sends events without a pause.
const MAX_FLOW_GAP: Duration = Duration::from_millis(150);

/// Events of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamEvents {
    began_at: Timestamp,
    last_at: Timestamp,
    count: u32,
    /// Time that its endpoint had sent events for at the last event.
    flow_at_last: Duration,
}

impl StreamEvents {
    /// Returns the state of a stream that begins.
    #[must_use]
    pub const fn new(now: Timestamp) -> Self {
        Self {
            began_at: now,
            last_at: now,
            count: 0,
            flow_at_last: Duration::ZERO,
        }
    }

    /// Records an event and returns the time since the last one, or since the stream began.
    pub(super) fn record(&mut self, now: Timestamp, flow: EventFlow) -> Duration {
        let elapsed = now.since(self.last_at);
        if self.count == 0 {
            self.began_at = now;
        }
        self.count = self.count.saturating_add(1);
        self.last_at = now;
        self.flow_at_last = flow.total;
        elapsed
    }

    /// Returns whether the last event recorded is the first one.
    #[must_use]
    pub fn is_first(&self) -> bool {
        self.count == 1
    }

    /// Returns the time since the last event, or since the stream began.
    #[must_use]
    pub fn silence(&self, now: Timestamp) -> Duration {
        now.since(self.last_at)
    }

    /// Returns the silence after which the stream may have stalled, once its pace is known.
    fn stall_timeout(&self) -> Option<Duration> {
        let intervals = self.count.checked_sub(1)?;
        let mean = self.last_at.since(self.began_at).checked_div(intervals)?;
        let is_known = self.count >= MIN_EVENTS;
        is_known.then_some(STALL_TIMEOUT.max(mean * STALL_INTERVALS))
    }
}

/// Events that an endpoint sends over all its streams.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventFlow {
    /// Time for which events have come, without the pauses.
    total: Duration,
    last_at: Timestamp,
}

impl EventFlow {
    /// Records an event of any stream.
    pub(super) fn record(&mut self, now: Timestamp) {
        let gap = now.since(self.last_at);
        if gap <= MAX_FLOW_GAP {
            self.total += gap;
        }
        self.last_at = now;
    }

    /// Returns whether a stream has been silent for long while other streams went on.
    ///
    /// A pause of the endpoint, or of this instance, doesn't count, but the time before it does:
    /// otherwise, a pause shortly before the timeout would double the time until a stalled stream is
    /// found.
    pub(super) fn is_stalled(&self, now: Timestamp, stream: &StreamEvents) -> bool {
        let Some(timeout) = stream.stall_timeout() else {
            return false;
        };
        let gap = now.since(self.last_at);
        let flow = self.total.saturating_sub(stream.flow_at_last) + gap;
        gap <= MAX_FLOW_GAP && flow >= timeout
    }
}
