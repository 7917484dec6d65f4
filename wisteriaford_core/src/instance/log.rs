//! The platform's log: what is read from it and appended to it.

use prost::Message;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::record::record::Kind;

use super::Instance;
use crate::configuration::Verdict;
use crate::counters::Counter;
use crate::effect::Effect;
use crate::event::AppendId;
use crate::event::LogFailure;
use crate::event::LogRead;
use crate::event::LogRecord;
use crate::event::LogStream;
use crate::note::Note;
use crate::time::Timestamp;

impl Instance {
    /// Takes what was read of a stream of the log.
    pub(super) fn log_read(
        &mut self,
        now: Timestamp,
        stream: LogStream,
        result: Result<LogRead, LogFailure>,
    ) {
        self.note_log(stream, result.is_ok());
        let Ok(read) = result else {
            return;
        };
        if stream == LogStream::Configuration {
            self.fold.bounds(read.first_offset, read.next_offset);
        }
        for record in &read.records {
            self.record(now, stream, record);
        }
        if stream == LogStream::Configuration {
            self.adopt("log");
        }
    }

    fn note_log(&mut self, stream: LogStream, is_up: bool) {
        if self.log_up == Some(is_up) {
            return;
        }
        self.log_up = Some(is_up);
        self.claims.set_log_up(is_up);
        let stream = stream.name();
        self.note(if is_up {
            Note::LogUp { stream }
        } else {
            Note::LogDown { stream }
        });
    }

    fn record(&mut self, now: Timestamp, stream: LogStream, record: &LogRecord) {
        let Ok(decoded) = Record::decode(record.data.as_slice()) else {
            self.damaged(now, stream, record);
            return;
        };
        match stream {
            LogStream::Configuration => self.configuration_record(record, &decoded),
            LogStream::Claims => {
                let kind = decoded.kind.as_ref();
                self.claims.observe(now, record.offset, record.at_ms, kind);
            }
            LogStream::Leases => {}
        }
    }

    fn damaged(&mut self, now: Timestamp, stream: LogStream, record: &LogRecord) {
        match stream {
            LogStream::Configuration => self.fold.damaged(record.offset),
            LogStream::Claims => {
                self.claims.observe(now, record.offset, record.at_ms, None);
            }
            LogStream::Leases => {}
        }
        self.note(Note::RecordDamaged {
            stream: stream.name(),
            offset: record.offset,
        });
    }

    fn configuration_record(&mut self, record: &LogRecord, decoded: &Record) {
        let verdict = self.fold.apply(record.offset, record.at_ms, decoded);
        let Some(Verdict::Rejected { reason }) = verdict else {
            return;
        };
        let Some(Kind::Publication(publication)) = &decoded.kind else {
            return;
        };
        self.note(Note::PublicationRejected {
            publication: publication.id.clone(),
            reason: reason.to_string(),
        });
    }

    /// Puts the revision that the fold gives in force, if it is another one.
    pub(super) fn adopt(&mut self, source: &'static str) {
        let Some(current) = self.fold.current() else {
            return;
        };
        if current.revision <= self.in_force {
            return;
        }
        let revision = current.revision;
        self.in_force = revision;
        self.is_placed = false;
        self.settings = current.settings.clone();
        let endpoints = &self.settings.endpoints;
        self.router.retain(endpoints);
        self.leaving_endpoints
            .retain(|endpoint| endpoints.contains_key(endpoint));
        let pools = &self.settings.pools;
        self.retries.retain(|pool| pools.contains_key(pool));
        self.note(Note::RevisionInForce { revision, source });
    }

    /// Appends a record to a stream of the log.
    pub(super) fn append(&mut self, stream: LogStream, kind: Kind) -> AppendId {
        self.append_sequence += 1;
        let append = AppendId(self.append_sequence);
        self.counters.add(Counter::Appends, 1);
        let record = Record { kind: Some(kind) };
        self.effects.push(Effect::Append {
            append,
            stream,
            record,
        });
        append
    }
}
