//! Events of running items.

use compact_str::CompactString;

use crate::gateway::event_sequence;
use crate::gateway::event_sequence::EventNumber;
use crate::gateway::event_sequence::SequenceError;
use crate::gateway::record::RECORD_OVERHEAD_BYTES;
use crate::gateway::schedule::RunStart;
use crate::gateway::schedule::Schedule;
use crate::gateway::schedule::progress::encoded_bytes;
use crate::id::Version;

/// Effect of an event of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventEffect {
    /// The event was added to the item's output.
    Recorded,
    /// The run is no longer current.
    Stale,
    /// The stream counts as truncated before the event; the item continues after its last one.
    Truncated(SequenceError),
    /// The output would exceed the size that the log can store.
    TooLarge,
}

impl Schedule {
    /// Sets the size of the largest record of the log, which limits the output of an item.
    pub fn set_max_record_bytes(&mut self, max_record_bytes: usize) {
        self.max_output_bytes = Some(max_record_bytes.saturating_sub(RECORD_OVERHEAD_BYTES));
    }

    /// Records an event of a run, if it is the one after the item's last.
    pub fn on_event(
        &mut self,
        start: &RunStart,
        event_id: u64,
        data: CompactString,
        version: Option<Version>,
    ) -> EventEffect {
        let max_bytes = self.max_output_bytes.unwrap_or(usize::MAX);
        let Some(item) = self.current_item(start) else {
            return EventEffect::Stale;
        };
        let last = item.progress.last_event;
        let checked = event_sequence::check(last, EventNumber::Valid(event_id), true);
        let number = match checked {
            Ok(number) => number,
            Err(error) => return EventEffect::Truncated(error),
        };
        if item.progress.size_bytes() + encoded_bytes(&data) > max_bytes {
            return EventEffect::TooLarge;
        }
        if item.progress.events.is_empty() {
            item.progress.software = Some(start.endpoint.software.clone());
        }
        item.progress.push(data);
        item.progress.last_event = Some(number);
        item.silent_runs = 0;
        item.unplaced_since = None;
        if let Some(version) = version {
            item.progress.record_version(version);
        }
        EventEffect::Recorded
    }

    /// Returns the number of complete events of an item, or 0 if the run is no longer current.
    pub fn event_count(&mut self, start: &RunStart) -> usize {
        let item = self.current_item(start);
        item.map_or(0, |item| item.progress.events.len())
    }

    /// Returns the number of the last event of an item, if the run is still current.
    pub fn last_event(&mut self, start: &RunStart) -> Option<u64> {
        self.current_item(start)?.progress.last_event
    }
}
