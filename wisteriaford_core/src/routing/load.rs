//! Load of an endpoint as an entry estimates it from late reports.

use std::collections::VecDeque;
use std::time::Duration;

use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::fleet::EndpointState;

use crate::id::Version;
use crate::time::Timestamp;

/// Time that a report takes to reach an entry: own changes younger than this at the report's
/// arrival are not yet in it.
pub const REPORT_LAG: Duration = Duration::from_millis(500);
const MAX_CHANGES: usize = 1_024;

/// Last report of an endpoint, corrected by what this entry did since.
#[derive(Clone, Debug, Default)]
pub(super) struct Load {
    steward: String,
    sequence: u64,
    pub(super) version: Version,
    pub(super) availability: Availability,
    reported: i64,
    changes: VecDeque<(Timestamp, i64)>,
    /// Sum of the changes.
    changed: i64,
}

impl Load {
    /// Takes a report; an older one of the same steward changes nothing.
    pub(super) fn report(&mut self, now: Timestamp, state: &EndpointState) {
        if state.steward == self.steward && state.sequence <= self.sequence {
            return;
        }
        self.steward.clone_from(&state.steward);
        self.sequence = state.sequence;
        self.version = Version(state.version);
        self.availability = state.availability();
        self.reported = i64::from(state.in_flight) + i64::from(state.queued);
        while let Some((at, delta)) = self.changes.front()
            && now.since(*at) > REPORT_LAG
        {
            self.changed -= delta;
            self.changes.pop_front();
        }
    }

    /// Counts a request that this entry sent (1) or that ended (-1).
    pub(super) fn change(&mut self, now: Timestamp, delta: i64) {
        self.changes.push_back((now, delta));
        self.changed += delta;
        if self.changes.len() > MAX_CHANGES
            && let Some((_, oldest)) = self.changes.pop_front()
        {
            self.changed -= oldest;
            self.reported += oldest;
        }
    }

    /// Returns requests in progress and waiting.
    pub(super) fn estimate(&self) -> u64 {
        u64::try_from(self.reported + self.changed).unwrap_or(0)
    }
}
