//! Requests that this instance counted, and their way into the log.
//!
//! A record holds the totals of one window, so that a record that is appended twice, or late, changes
//! nothing: the highest revision counts.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::format_compact;
use prost::Message;
use wisteriaford_proto::usage as proto;

use crate::gateway::record::KeyedValue;
use crate::gateway::usage::UsageCounts;
use crate::gateway::usage::encode_counts;
use crate::id::InstanceId;
use crate::id::OrganisationId;
use crate::id::WindowNumber;
use crate::time::Timestamp;

/// Minimum time between two appends of an instance; what was counted meanwhile is lost if it dies.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two appends for each instance of the fleet: 200 appends a second of all together, a
/// quarter of what the smallest log takes.
const APPEND_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(5);
/// Delay before a failed append is repeated; well below the time that a report waits for counts.
const APPEND_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum number of windows in one append, so that it stays below the log's limit after an outage.
const MAX_WINDOWS_PER_APPEND: usize = 16;
/// Number of windows kept while the log is down, an hour.
const MAX_WINDOWS: usize = 720;
/// Number of newest windows whose totals are kept although they are in the log.
const OPEN_WINDOWS: u64 = 12;

/// Outcome of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CountsOutcome {
    /// The records were appended.
    Appended,
    /// The records were not appended.
    Refused,
    /// The records may have been appended, or may be later.
    Unknown,
}

#[derive(Clone, Debug, Default)]
struct Totals {
    counts: UsageCounts,
    revision: u64,
    /// Revision that is in the log.
    stored_revision: u64,
}

/// Requests that this run of the instance counted.
#[derive(Clone, Debug)]
pub struct UsageCounter {
    instance: InstanceId,
    windows: BTreeMap<WindowNumber, Totals>,
    /// Windows and revisions of the append whose outcome is awaited.
    in_flight: Option<Vec<(WindowNumber, u64)>>,
    /// Number of appends with an unknown outcome; part of the keys, so that a late record replaces none
    /// with a higher revision.
    generation: u64,
    next_append: Timestamp,
    lost_windows: u64,
}

impl UsageCounter {
    /// Creates a counter without counts.
    #[must_use]
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            windows: BTreeMap::new(),
            in_flight: None,
            generation: 0,
            next_append: Timestamp::default(),
            lost_windows: 0,
        }
    }

    /// Counts a request that an endpoint began to run in a window.
    pub fn record(&mut self, window: WindowNumber, organisation: &OrganisationId) {
        let totals = self.windows.entry(window).or_default();
        *totals.counts.entry(organisation.clone()).or_default() += 1;
        totals.revision += 1;
        while self.windows.len() > MAX_WINDOWS {
            let oldest = self.windows.pop_first();
            let is_lost = |(_, totals): (_, Totals)| totals.stored_revision < totals.revision;
            self.lost_windows += u64::from(oldest.is_some_and(is_lost));
        }
    }

    /// Returns how many windows were dropped before their counts were in the log.
    #[must_use]
    pub fn lost_windows(&self) -> u64 {
        self.lost_windows
    }

    /// Returns the records to append now, if any; the caller must report the outcome.
    pub fn due_append(
        &mut self,
        now: Timestamp,
        unix_ms: u64,
        instances: usize,
    ) -> Option<Vec<KeyedValue>> {
        if self.in_flight.is_some() || now < self.next_append {
            return None;
        }
        let unstored = self.windows.iter();
        let unstored = unstored.filter(|(_, totals)| totals.stored_revision < totals.revision);
        let unstored: Vec<_> = unstored.take(MAX_WINDOWS_PER_APPEND).collect();
        if unstored.is_empty() {
            return None;
        }
        let records = unstored.iter().map(|(window, totals)| {
            let record = proto::WindowCounts {
                instance: self.instance.to_string(),
                window: window.0,
                revision: totals.revision,
                written_unix_ms: unix_ms,
                counts: encode_counts(&totals.counts),
            };
            KeyedValue {
                key: format_compact!("{window}/{}/{}", self.instance, self.generation),
                value: Some(record.encode_to_vec()),
            }
        });
        let records = records.collect();
        let revisions = unstored.iter();
        let revisions = revisions.map(|(window, totals)| (**window, totals.revision));
        self.in_flight = Some(revisions.collect());
        let instances = u32::try_from(instances).unwrap_or(u32::MAX);
        let interval = APPEND_INTERVAL_PER_INSTANCE.saturating_mul(instances);
        self.next_append = now + interval.max(MIN_APPEND_INTERVAL);
        Some(records)
    }

    /// Handles the outcome of the last append.
    pub fn on_append_outcome(&mut self, now: Timestamp, outcome: CountsOutcome) {
        let in_flight = self.in_flight.take().unwrap_or_default();
        match outcome {
            CountsOutcome::Appended => self.mark_stored(&in_flight),
            CountsOutcome::Refused => self.next_append = self.next_append.max(now + APPEND_BACKOFF),
            CountsOutcome::Unknown => {
                self.generation += 1;
                self.next_append = self.next_append.max(now + APPEND_BACKOFF);
            }
        }
    }

    fn mark_stored(&mut self, stored: &[(WindowNumber, u64)]) {
        for (window, revision) in stored {
            if let Some(totals) = self.windows.get_mut(window) {
                totals.stored_revision = *revision;
            }
        }
        let newest = self
            .windows
            .last_key_value()
            .map_or(0, |(window, _)| window.0);
        self.windows.retain(|window, totals| {
            totals.stored_revision < totals.revision || window.0 + OPEN_WINDOWS > newest
        });
    }
}
