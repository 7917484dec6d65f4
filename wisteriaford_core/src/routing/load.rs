//! Estimates the load of an endpoint from delayed reports and local changes.

use std::collections::VecDeque;
use std::time::Duration;

use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::fleet::EndpointState;

use crate::id::Version;
use crate::time::Timestamp;

/// Assumed delay of a report to an ingress instance: local changes younger than this when a report
/// arrives are not yet included in it.
pub const REPORT_LAG: Duration = Duration::from_millis(500);
/// Most local changes kept apart; older ones are merged into the reported load.
const MAX_LOCAL_CHANGES: usize = 1_024;

/// Last report of an endpoint, corrected by the changes that this ingress instance made since.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadEstimate {
    coordinator: String,
    sequence: u64,
    pub(super) version: Version,
    pub(super) availability: Availability,
    reported_load: i64,
    local_changes: VecDeque<(Timestamp, i64)>,
    /// Sum of the local changes.
    local_delta: i64,
}

impl LoadEstimate {
    /// Applies a report; one older than the last of the same coordinator is ignored.
    pub(super) fn apply_report(&mut self, now: Timestamp, state: &EndpointState) {
        if state.steward == self.coordinator && state.sequence <= self.sequence {
            return;
        }
        self.coordinator.clone_from(&state.steward);
        self.sequence = state.sequence;
        self.version = Version(state.version);
        self.availability = state.availability();
        self.reported_load = i64::from(state.in_flight) + i64::from(state.queued);
        while let Some((at, delta)) = self.local_changes.front()
            && now.since(*at) > REPORT_LAG
        {
            self.local_delta -= delta;
            self.local_changes.pop_front();
        }
    }

    /// Counts a request that this ingress instance sent (1) or that ended (-1).
    pub(super) fn add_local_change(&mut self, now: Timestamp, delta: i64) {
        self.local_changes.push_back((now, delta));
        self.local_delta += delta;
        if self.local_changes.len() > MAX_LOCAL_CHANGES
            && let Some((_, oldest_delta)) = self.local_changes.pop_front()
        {
            self.local_delta -= oldest_delta;
            self.reported_load += oldest_delta;
        }
    }

    /// Returns the estimated number of requests in progress and waiting.
    pub(super) fn estimate(&self) -> u64 {
        u64::try_from(self.reported_load + self.local_delta).unwrap_or(0)
    }
}
