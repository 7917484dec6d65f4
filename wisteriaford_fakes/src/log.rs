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

/// Maximum number of records that one read returns.
const MAX_RECORDS_PER_READ: usize = 500;

/// Fake of the platform's log: streams of records with offsets that start at 1.
#[derive(Debug, Default)]
pub struct Log {
    streams: IndexMap<LogStream, Vec<LogRecord>>,
    first_offsets: IndexMap<LogStream, u64>,
    /// Whether the log is unreachable.
    pub is_down: bool,
    /// Number of upcoming appends that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Number of appends that took effect.
    pub appended: u64,
}

impl Log {
    /// Appends a record. The answer may be lost although the append took effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the log is down or the answer is lost.
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

    /// Reads records, starting at an offset.
    ///
    /// # Errors
    ///
    /// Returns an error if the log is down.
    pub fn read(&self, stream: LogStream, from: Offset) -> Result<LogRead, LogFailure> {
        if self.is_down {
            return Err(LogFailure::NotReached);
        }
        let first = self.first_offsets.get(&stream).copied().unwrap_or(1);
        let records = self.streams.get(&stream).map_or(&[][..], Vec::as_slice);
        // Offsets are positions in the stream, counted from 1.
        let skipped = from.0.max(first).saturating_sub(1);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let remaining = records.iter().skip(skipped);
        Ok(LogRead {
            first_offset: Offset(first),
            next_offset: self.next_offset(stream),
            records: remaining.take(MAX_RECORDS_PER_READ).cloned().collect(),
        })
    }

    /// Applies retention: records older than `age` are no longer readable.
    pub fn drop_older(&mut self, now: Timestamp, age: Duration) {
        let oldest_ms = (now - age).as_millis();
        for (stream, records) in &self.streams {
            let dropped = records.iter().take_while(|record| record.at_ms < oldest_ms);
            let first = dropped.last().map_or(1, |record| record.offset.0 + 1);
            let first_offset = self.first_offsets.entry(*stream).or_insert(1);
            *first_offset = (*first_offset).max(first);
        }
    }

    /// Returns all records of a stream, including those past retention.
    #[must_use]
    pub fn records(&self, stream: LogStream) -> &[LogRecord] {
        self.streams.get(&stream).map_or(&[], Vec::as_slice)
    }

    fn next_offset(&self, stream: LogStream) -> Offset {
        let len = self.streams.get(&stream).map_or(0, Vec::len);
        Offset(len as u64 + 1)
    }
}
