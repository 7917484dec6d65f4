//! Numbers of the events of a stream that can be resumed: from 1, without gaps.

use derive_more::Display;
use derive_more::Error;

/// Number of an event, as read from its lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EventNumber {
    /// The event has no line with a number.
    #[default]
    Missing,
    /// It has a line whose number can't be read, or several lines with numbers.
    Malformed,
    /// It has this number.
    Valid(u64),
}

impl EventNumber {
    /// Returns the number, if the event has a valid one.
    #[must_use]
    pub fn valid(self) -> Option<u64> {
        match self {
            Self::Valid(number) => Some(number),
            Self::Missing | Self::Malformed => None,
        }
    }
}

/// Reason for which a stream counts as truncated before an event.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum SequenceError {
    /// The event has no number.
    #[display("an event has no number")]
    Missing,
    /// The event has a number that can't be read.
    #[display("an event has a malformed number")]
    Malformed,
    /// The event has a number but no data.
    #[display("event {number} has no data")]
    NoData {
        /// Number of the event.
        number: u64,
    },
    /// The event isn't the one after the last.
    #[display("event {number} comes where {expected} is expected")]
    OutOfSequence {
        /// Number of the event.
        number: u64,
        /// Number of the event that is due.
        expected: u64,
    },
}

/// Checks an event that comes after event `last`, or at the beginning, and returns its number.
///
/// # Errors
///
/// Fails if the stream counts as truncated before this event.
pub fn check(last: Option<u64>, number: EventNumber, has_data: bool) -> Result<u64, SequenceError> {
    let number = match number {
        EventNumber::Missing => return Err(SequenceError::Missing),
        EventNumber::Malformed => return Err(SequenceError::Malformed),
        EventNumber::Valid(number) => number,
    };
    let expected = last.unwrap_or_default().saturating_add(1);
    if number != expected {
        return Err(SequenceError::OutOfSequence { number, expected });
    }
    if has_data {
        Ok(number)
    } else {
        Err(SequenceError::NoData { number })
    }
}

/// Returns whether output has all its events, as many as the number of its last one tells.
#[must_use]
pub fn is_whole(event_count: usize, last_event: Option<u64>) -> bool {
    u64::try_from(event_count).is_ok_and(|count| count == last_event.unwrap_or_default())
}
