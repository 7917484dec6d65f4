//! Partial output of items, and how it is saved and restored.

use compact_str::CompactString;

use crate::gateway::event_sequence;
use crate::gateway::schedule::Schedule;
use crate::gateway::schedule::active::ItemPhase;
use crate::id::InstanceId;
use crate::id::ItemId;
use crate::id::JobId;
use crate::id::SoftwareVersion;
use crate::id::Version;

/// Output of an item so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Data of the complete events, in order.
    pub events: Vec<CompactString>,
    /// Id of the last complete event.
    pub last_event: Option<u64>,
    /// Versions of the weights that generated at least one event.
    pub versions: Vec<Version>,
    /// Version of the software of the engines that generated it; `None` without events.
    pub software: Option<SoftwareVersion>,
    /// Whether the last event ends the output.
    pub is_complete: bool,
    /// Size of the events in a record of the log.
    events_bytes: usize,
}

/// Encoded size of an event in bytes beyond its data: a tag, and a length of up to three bytes.
const EVENT_OVERHEAD_BYTES: usize = 4;
/// Encoded size of a version of the weights in bytes, at most.
const VERSION_BYTES: usize = 11;

/// Returns the size of an event in a record of the log.
pub(super) fn encoded_bytes(event: &str) -> usize {
    event.len() + EVENT_OVERHEAD_BYTES
}

impl Progress {
    /// Returns the size of the output in a record of the log.
    pub(super) fn size_bytes(&self) -> usize {
        self.events_bytes + self.versions.len() * VERSION_BYTES
    }

    /// Returns the data of all events, one per line.
    pub(super) fn text(&self) -> String {
        self.events.join("\n")
    }

    /// Returns whether no event is missing.
    pub(super) fn is_whole(&self) -> bool {
        event_sequence::is_whole(self.events.len(), self.last_event)
    }

    pub(super) fn push(&mut self, event: CompactString) {
        self.events_bytes += encoded_bytes(&event);
        self.events.push(event);
    }

    pub(super) fn record_version(&mut self, version: Version) {
        if !self.versions.contains(&version) {
            self.versions.push(version);
        }
    }
}

/// Output of an item since the previously saved part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgressPart {
    /// Batch job of the item.
    pub job: JobId,
    /// The item.
    pub item: ItemId,
    /// Number of events before this part.
    pub first_index: usize,
    /// Data of the complete events in this part, in order.
    pub events: Vec<CompactString>,
    /// Id of the last event in this part.
    pub last_event: u64,
    /// Versions of the weights that generated the item's events so far.
    pub versions: Vec<Version>,
    /// Version of the software that generated the item's events; `None` if it isn't known.
    pub software: Option<SoftwareVersion>,
    /// Whether the last event ends the output.
    pub is_complete: bool,
}

impl Schedule {
    /// Returns the output of items that hasn't been saved yet, and marks it as saved.
    ///
    /// Items with fewer than `min_events` events are skipped, since regenerating them is quick,
    /// unless they are complete.
    pub fn take_unsaved(&mut self, min_events: usize) -> Vec<ProgressPart> {
        let mut parts = Vec::new();
        for active in self.jobs.values_mut() {
            for item in active.items.values_mut() {
                let events = &item.progress.events;
                let is_open = item.phase != ItemPhase::Done;
                let is_complete = item.progress.is_complete;
                let is_new =
                    events.len() > item.saved_events || (is_complete && !item.saved_complete);
                let Some(last_event) = item.progress.last_event else {
                    continue;
                };
                if !is_open || !is_new || (events.len() < min_events && !is_complete) {
                    continue;
                }
                parts.push(ProgressPart {
                    job: active.head.id.clone(),
                    item: item.spec.id.clone(),
                    first_index: item.saved_events,
                    events: events[item.saved_events..].to_vec(),
                    last_event,
                    versions: item.progress.versions.clone(),
                    software: item.progress.software.clone(),
                    is_complete,
                });
                item.saved_events = events.len();
                item.saved_complete = is_complete;
            }
        }
        parts
    }

    /// Marks all output as unsaved, because a saved part may have been lost.
    pub fn mark_all_unsaved(&mut self) {
        let items = self
            .jobs
            .values_mut()
            .flat_map(|job| job.items.values_mut());
        for item in items {
            item.saved_events = 0;
            item.saved_complete = false;
        }
    }

    /// Restores a part saved by a runner; a part that leaves a gap after the earlier ones, or has one, is
    /// ignored.
    pub fn restore(&mut self, runner: &InstanceId, part: ProgressPart) {
        let key = (part.job, part.item);
        let by_runner = self.restored.entry(key).or_default();
        let progress = by_runner.entry(runner.clone()).or_default();
        let event_count = part.first_index.saturating_add(part.events.len());
        let is_whole = event_sequence::is_whole(event_count, Some(part.last_event));
        if part.first_index > progress.events.len() || !is_whole {
            return;
        }
        // A part that begins after events of another version would join two runs.
        if part.first_index > 0 && progress.software != part.software {
            return;
        }
        progress.events.truncate(part.first_index);
        progress.events.extend(part.events);
        let sizes = progress.events.iter().map(|event| encoded_bytes(event));
        progress.events_bytes = sizes.sum();
        progress.last_event = Some(part.last_event);
        progress.versions = part.versions;
        progress.software = part.software;
        progress.is_complete = part.is_complete;
    }

    /// Discards all restored output.
    pub fn clear_restored(&mut self) {
        self.restored.clear();
    }
}
