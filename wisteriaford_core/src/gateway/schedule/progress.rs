//! Output of items that isn't whole yet.

use compact_str::CompactString;

use crate::id::ItemId;
use crate::id::JobId;
use crate::id::Version;

/// Output of an item so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Data of the whole events in order.
    pub events: Vec<CompactString>,
    /// Id of the last whole event.
    pub last_event: Option<u64>,
    /// Versions of the weights that generated an event.
    pub versions: Vec<Version>,
}

impl Progress {
    pub(super) fn text(&self) -> String {
        self.events.join("\n")
    }

    pub(super) fn note_version(&mut self, version: Version) {
        if !self.versions.contains(&version) {
            self.versions.push(version);
        }
    }
}

/// Output of an item since the part that was saved before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgressPart {
    /// Batch job of the item.
    pub job: JobId,
    /// The item.
    pub item: ItemId,
    /// Number of events before these.
    pub first_index: usize,
    /// Data of whole events in order.
    pub events: Vec<CompactString>,
    /// Id of the last event.
    pub last_event: u64,
    /// Versions of all events of the item so far.
    pub versions: Vec<Version>,
}
