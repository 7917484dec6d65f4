//! Reads from and appends to the platform's log.

use prost::Message;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::record::record::Kind;

use super::Instance;
use crate::budget::Admission;
use crate::budget::AppendKind;
use crate::configuration::Retention;
use crate::configuration::Verdict;
use crate::counters::Counter;
use crate::diagnostic::Diagnostic;
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
use crate::time::Timestamp;

/// Minimum retention of configuration records in the log.
const CONFIGURATION_RETENTION: Retention = Retention {
    age_ms: 3_600_000,
    records: 10_000,
};

/// Number of peers, or all if there are fewer, that must report a revision before a configuration
/// is used without the log.
const REQUIRED_PEERS: usize = 3;

impl Instance {
    /// Handles the result of reading a stream of the log.
    pub(super) fn on_log_read(
        &mut self,
        now: Timestamp,
        stream: LogStream,
        result: Result<LogRead, LogFailure>,
    ) {
        self.update_log_status(stream, result.is_ok());
        let Ok(read) = result else {
            return;
        };
        if stream == LogStream::Configuration {
            self.fold.set_log_range(read.first_offset, read.next_offset);
        }
        for record in &read.records {
            self.apply_record(now, stream, record);
        }
        let end = read.records.last().map(|record| record.offset.next());
        match stream {
            LogStream::Configuration => {
                self.apply_current_revision(now, "log");
                if end.is_none_or(|end| end >= read.next_offset) {
                    self.confirmation.record_read(None);
                }
            }
            LogStream::Leases => {
                self.leases_caught_up |= end.is_none_or(|end| end >= read.next_offset);
            }
            LogStream::Claims => {}
        }
    }

    fn update_log_status(&mut self, stream: LogStream, is_up: bool) {
        if self.log_up == Some(is_up) {
            return;
        }
        self.log_up = Some(is_up);
        self.claims.set_log_up(is_up);
        let stream = stream.name();
        self.emit_diagnostic(if is_up {
            Diagnostic::LogUp { stream }
        } else {
            Diagnostic::LogDown { stream }
        });
    }

    fn apply_record(&mut self, now: Timestamp, stream: LogStream, record: &LogRecord) {
        let Ok(decoded) = Record::decode(record.data.as_slice()) else {
            self.on_damaged_record(now, stream, record);
            return;
        };
        match stream {
            LogStream::Configuration => self.apply_configuration_record(record, &decoded),
            LogStream::Claims => {
                let kind = decoded.kind.as_ref();
                self.claims.observe(now, record.offset, record.at_ms, kind);
            }
            LogStream::Leases => self.apply_lease_record(record.offset, &decoded),
        }
    }

    fn apply_lease_record(&mut self, offset: Offset, decoded: &Record) {
        let Some(Kind::Lease(lease)) = &decoded.kind else {
            return;
        };
        match self.leases.apply(offset, lease) {
            Some(LeaseChange::Acquired { endpoint, fence }) => {
                self.emit_diagnostic(Diagnostic::LeaseTaken { endpoint, fence });
            }
            Some(LeaseChange::Superseded { endpoint, by, .. }) => {
                self.emit_diagnostic(Diagnostic::LeaseLost { endpoint, to: by });
            }
            None => {}
        }
    }

    fn on_damaged_record(&mut self, now: Timestamp, stream: LogStream, record: &LogRecord) {
        match stream {
            LogStream::Configuration => self.fold.skip_undecodable(record.offset),
            LogStream::Claims => {
                self.claims.observe(now, record.offset, record.at_ms, None);
            }
            LogStream::Leases => {}
        }
        self.emit_diagnostic(Diagnostic::RecordDamaged {
            stream: stream.name(),
            offset: record.offset,
        });
    }

    fn apply_configuration_record(&mut self, record: &LogRecord, decoded: &Record) {
        let verdict = self.fold.apply(record.offset, record.at_ms, decoded);
        let Some(Verdict::Rejected { reason }) = verdict else {
            return;
        };
        let Some(Kind::Publication(publication)) = &decoded.kind else {
            return;
        };
        self.emit_diagnostic(Diagnostic::PublicationRejected {
            publication: publication.id.clone(),
            reason: reason.to_string(),
        });
    }

    /// Puts the current revision of the fold in force if it is newer.
    pub(super) fn apply_current_revision(&mut self, now: Timestamp, source: &'static str) {
        let Some(current) = self.fold.current() else {
            return;
        };
        if current.revision <= self.revision_in_force {
            return;
        }
        let revision = current.revision;
        self.revision_in_force = revision;
        self.is_placement_current = false;
        self.settings = current.settings.clone();
        let endpoints = &self.settings.endpoints;
        self.router.retain(endpoints);
        let pools = &self.settings.pools;
        self.retries.retain(|pool| pools.contains_key(pool));
        self.limits.configure(now, &self.settings.callers);
        self.configure_rollouts(now);
        self.emit_diagnostic(Diagnostic::RevisionInForce { revision, source });
    }

    /// Records the revision reported by a peer, as long as the fold is not released.
    pub(super) fn record_peer_revision(&mut self, from: &InstanceId, revision: Revision) {
        if !self.fold.is_released() {
            self.peer_revisions.insert(from.clone(), revision);
        }
    }

    /// Releases the fold with the held revision while the log cannot be reached, if enough peers
    /// reported their revisions and none is higher.
    pub(super) fn fall_back_to_peer_revision(&mut self, now: Timestamp) {
        if self.fold.is_released() || self.log_up != Some(false) {
            return;
        }
        let held = self.fold.held_revision();
        let highest = self
            .peer_revisions
            .values()
            .max()
            .copied()
            .unwrap_or_default();
        let others = self.membership.eligible().count().saturating_sub(1);
        let has_enough_peers = self.peer_revisions.len() >= others.clamp(1, REQUIRED_PEERS);
        if held == Revision(0) || held < highest || !has_enough_peers {
            return;
        }
        self.peer_revisions.clear();
        self.fold.release();
        self.apply_current_revision(now, "peer");
    }

    /// Appends a record to the stream of its kind, unless the append budget is exhausted.
    ///
    /// Returns the ID of the append, or `None` if it was not sent; the caller of this method has to
    /// retry.
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

    /// Handles the result of an append. Besides the budget, only leases depend on it: claims and
    /// republications are recognised when they are read back.
    pub(super) fn on_append_result(
        &mut self,
        append: AppendId,
        result: Result<Offset, LogFailure>,
    ) {
        if matches!(
            result,
            Err(LogFailure::NotReached | LogFailure::RateLimited)
        ) {
            self.budget.refund();
        }
        let Some(lease) = self.lease_appends.swap_remove(&append) else {
            return;
        };
        match result {
            Ok(offset) => self.leases.on_appended(&lease, offset),
            Err(LogFailure::AnswerLost) => self.leases.on_answer_lost(&lease),
            Err(LogFailure::NotReached | LogFailure::RateLimited) => {
                self.leases.on_append_rejected(&lease);
            }
        }
    }

    /// Appends a copy of the revision in force before the log drops the last record of it.
    pub(super) fn republish_configuration(&mut self, now: Timestamp) {
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
