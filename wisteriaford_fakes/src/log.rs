//! Fake of the platform's log.

use std::time::Duration;

use indexmap::IndexMap;
use prost::Message;
use wisteriaford_core::event::LogFailure;
use wisteriaford_core::event::LogRead;
use wisteriaford_core::event::LogRecord;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::record::Record;

/// Records that one read returns at most.
const MAX_READ: usize = 500;

/// Fake of the platform's log: streams of records with offsets from 1 on.
#[derive(Debug, Default)]
pub struct Log {
    streams: IndexMap<LogStream, Vec<LogRecord>>,
    first: IndexMap<LogStream, u64>,
    /// Whether it answers nothing.
    pub is_down: bool,
    /// Appends that take effect and whose answer is lost.
    pub lose_answers: u32,
    /// Appends that took effect.
    pub appended: u64,
}

impl Log {
    /// Appends a record; the answer may be lost after it took effect.
    ///
    /// # Errors
    ///
    /// Fails while it is down, or where the answer is lost.
    pub fn append(
        &mut self,
        now: Timestamp,
        stream: LogStream,
        record: &Record,
    ) -> Result<Offset, LogFailure> {
        if self.is_down {
            return Err(LogFailure::NotReached);
        }
        let offset = self.next_offset(stream);
        self.appended += 1;
        self.streams.entry(stream).or_default().push(LogRecord {
            offset,
            at_ms: now.as_millis(),
            data: record.encode_to_vec(),
        });
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return Err(LogFailure::AnswerLost);
        }
        Ok(offset)
    }

    /// Reads records from an offset on.
    ///
    /// # Errors
    ///
    /// Fails while it is down.
    pub fn read(&self, stream: LogStream, from: Offset) -> Result<LogRead, LogFailure> {
        if self.is_down {
            return Err(LogFailure::NotReached);
        }
        let first = self.first.get(&stream).copied().unwrap_or(1);
        let records = self.streams.get(&stream).map_or(&[][..], Vec::as_slice);
        // Offsets are places, counted from one.
        let skipped = from.0.max(first).saturating_sub(1);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let wanted = records.iter().skip(skipped);
        Ok(LogRead {
            first_offset: Offset(first),
            next_offset: self.next_offset(stream),
            records: wanted.take(MAX_READ).cloned().collect(),
        })
    }

    /// Drops records that are older than `age`.
    pub fn drop_older(&mut self, now: Timestamp, age: Duration) {
        let oldest_ms = (now - age).as_millis();
        for (stream, records) in &self.streams {
            let dropped = records.iter().take_while(|record| record.at_ms < oldest_ms);
            let first = dropped.last().map_or(1, |record| record.offset.0 + 1);
            let known = self.first.entry(*stream).or_insert(1);
            *known = (*known).max(first);
        }
    }

    /// Returns all records of a stream, those that were dropped included.
    #[must_use]
    pub fn records(&self, stream: LogStream) -> &[LogRecord] {
        self.streams.get(&stream).map_or(&[], Vec::as_slice)
    }

    fn next_offset(&self, stream: LogStream) -> Offset {
        let len = self.streams.get(&stream).map_or(0, Vec::len);
        Offset(len as u64 + 1)
    }
}
