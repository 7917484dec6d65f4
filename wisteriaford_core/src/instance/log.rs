//! The platform's log: what is read from it and appended to it.

use prost::Message;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::record::record::Kind;

use super::Instance;
use crate::budget::Admission;
use crate::budget::AppendKind;
use crate::configuration::Retention;
use crate::configuration::Verdict;
use crate::counters::Counter;
use crate::effect::Effect;
use crate::event::AppendId;
use crate::event::LogFailure;
use crate::event::LogRead;
use crate::event::LogRecord;
use crate::event::LogStream;
use crate::id::InstanceId;
use crate::id::Offset;
use crate::id::Revision;
use crate::lease::LeaseChange;
use crate::note::Note;
use crate::time::Timestamp;

/// Shortest time that the log keeps the records of the configuration.
const CONFIGURATION_RETENTION: Retention = Retention {
    age_ms: 3_600_000,
    records: 10_000,
};

/// Peers whose revisions are compared before one is taken without the log.
const PEERS_ASKED: usize = 3;

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
        let end = read.records.last().map(|record| record.offset.next());
        match stream {
            LogStream::Configuration => {
                self.adopt(now, "log");
                if end.is_none_or(|end| end >= read.next_offset) {
                    self.confirm_configuration();
                }
            }
            LogStream::Leases => {
                self.leases_read |= end.is_none_or(|end| end >= read.next_offset);
            }
            LogStream::Claims => {}
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
            LogStream::Leases => self.lease_record(record.offset, &decoded),
        }
    }

    fn lease_record(&mut self, offset: Offset, decoded: &Record) {
        let Some(Kind::Lease(lease)) = &decoded.kind else {
            return;
        };
        match self.leases.apply(offset, lease) {
            Some(LeaseChange::Taken { endpoint, fence }) => {
                self.note(Note::LeaseTaken { endpoint, fence });
            }
            Some(LeaseChange::Superseded { endpoint, by, .. }) => {
                self.note(Note::LeaseLost { endpoint, to: by });
            }
            None => {}
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
    pub(super) fn adopt(&mut self, now: Timestamp, source: &'static str) {
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
        let pools = &self.settings.pools;
        self.retries.retain(|pool| pools.contains_key(pool));
        self.limits.configure(now, &self.settings.callers);
        self.configure_rollouts(now);
        self.note(Note::RevisionInForce { revision, source });
    }

    /// Takes the revision that a peer names, as long as none is in force here.
    pub(super) fn hear(&mut self, from: &InstanceId, revision: Revision) {
        if !self.fold.is_released() {
            self.heard.insert(from.clone(), revision);
        }
    }

    /// Takes the highest revision of several peers while the log cannot be reached.
    pub(super) fn release_fold(&mut self, now: Timestamp) {
        if self.fold.is_released() || self.log_up != Some(false) {
            return;
        }
        let held = self.fold.held_revision();
        let highest = self.heard.values().max().copied().unwrap_or_default();
        let others = self.membership.alive().count().saturating_sub(1);
        let is_enough = self.heard.len() >= others.clamp(1, PEERS_ASKED);
        if held == Revision(0) || held < highest || !is_enough {
            return;
        }
        self.heard.clear();
        self.fold.release();
        self.adopt(now, "peer");
    }

    /// Appends a record to the stream of its kind, unless the budget holds it back.
    ///
    /// Returns the number of the append. What is held back is tried again by whoever needs it.
    pub(super) fn append(
        &mut self,
        now: Timestamp,
        append_kind: AppendKind,
        kind: Kind,
    ) -> Option<AppendId> {
        if self.budget.admit(now, append_kind) != Admission::Send {
            self.counters.add(Counter::AppendsShed, 1);
            return None;
        }
        self.append_sequence += 1;
        let append = AppendId(self.append_sequence);
        self.counters.add(Counter::Appends, 1);
        let stream = match append_kind {
            AppendKind::Republication => LogStream::Configuration,
            AppendKind::Claim | AppendKind::ClaimResult => LogStream::Claims,
            AppendKind::Lease => LogStream::Leases,
        };
        let record = Record { kind: Some(kind) };
        self.effects.push(Effect::Append {
            append,
            stream,
            record,
        });
        Some(append)
    }

    /// Takes the answer to an append; claims and copies are read back, only leases need it.
    pub(super) fn appended(&mut self, append: AppendId, result: Result<Offset, LogFailure>) {
        if matches!(
            result,
            Err(LogFailure::NotReached | LogFailure::RateLimited)
        ) {
            self.budget.give_back();
        }
        let Some(lease) = self.lease_appends.swap_remove(&append) else {
            return;
        };
        match result {
            Ok(offset) => self.leases.appended(&lease, offset),
            Err(LogFailure::AnswerLost) => self.leases.answer_lost(&lease),
            Err(LogFailure::NotReached | LogFailure::RateLimited) => self.leases.refused(&lease),
        }
    }

    /// Appends a copy of the revision in force before the log forgets the last one.
    pub(super) fn republish(&mut self, now: Timestamp) {
        if self.log_up != Some(true) {
            return;
        }
        let now_ms = now.as_millis();
        let Some(copy) = self.fold.due_republication(now_ms, CONFIGURATION_RETENTION) else {
            return;
        };
        self.append(now, AppendKind::Republication, Kind::Republication(copy));
    }
}
