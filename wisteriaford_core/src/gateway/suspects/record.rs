//! Records of the quarantine topic, and messages with crash reports between instances.
//!
//! Each report has a key of its own, so that instances that write at the same time don't replace
//! each other's reports, and a report that is written again, or late, replaces only itself.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use indexmap::IndexMap;
use prost::Message;
use wisteriaford_proto::fleet::Suspect;
use wisteriaford_proto::quarantine as proto;
use wisteriaford_proto::quarantine::quarantine_record::Kind;

use crate::gateway::record::KeyedValue;
use crate::gateway::suspects::CRASH_RETENTION;
use crate::gateway::suspects::TRIAL_TTL;
use crate::hash::hash_parts;
use crate::id::Fingerprint;
use crate::id::InstanceId;

/// Time after which a record is deleted that no longer counts: a trial, a cleared or an unconfirmed
/// report.
const MINOR_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of records kept in the topic.
const MAX_STORED_RECORDS: usize = 8_192;
/// Maximum number of records deleted at once.
const MAX_DELETED_AT_ONCE: usize = 256;

/// Decoded record of the quarantine topic.
#[derive(Clone, Debug, PartialEq)]
pub enum QuarantineRecord {
    /// Crash report, with its age at the time of reading.
    Report(Suspect),
    /// Trial of an instance.
    Trial {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Instance that runs the request.
        instance: InstanceId,
        /// Time until the trial ends.
        time_left: Duration,
    },
}

/// Error decoding a record or a message.
#[derive(Debug, Display, Error, From)]
pub enum RecordError {
    /// The bytes are not a valid message.
    #[display("malformed crash report: {_0}")]
    Undecodable(prost::DecodeError),
    /// The record has no content of a known kind.
    #[display("the record has no content of a known kind")]
    Empty,
}

/// Returns the record of a crash report.
#[must_use]
pub fn report_record(suspect: Suspect, unix_ms: u64) -> KeyedValue {
    let crash = hash_parts(&[suspect.crash.as_bytes()]);
    KeyedValue {
        key: format_compact!("{:016x}/{crash:016x}", suspect.fingerprint),
        value: Some(encode(Kind::Suspect(suspect), unix_ms)),
    }
}

/// Returns the record with which an instance acquires the trial of a request.
#[must_use]
pub fn trial_record(fingerprint: Fingerprint, instance: &InstanceId, unix_ms: u64) -> KeyedValue {
    let trial = proto::Trial {
        fingerprint: fingerprint.0,
        instance: instance.to_string(),
        ttl_ms: u64::try_from(TRIAL_TTL.as_millis()).unwrap_or(u64::MAX),
    };
    KeyedValue {
        key: format_compact!("{:016x}/trial", fingerprint.0),
        value: Some(encode(Kind::Trial(trial), unix_ms)),
    }
}

fn encode(kind: Kind, unix_ms: u64) -> Vec<u8> {
    let record = proto::QuarantineRecord {
        written_unix_ms: unix_ms,
        kind: Some(kind),
    };
    record.encode_to_vec()
}

/// Decodes a record that is read at `unix_ms`.
///
/// # Errors
///
/// Fails if the record is malformed or of an unknown kind.
pub fn decode_record(value: &[u8], unix_ms: u64) -> Result<QuarantineRecord, RecordError> {
    let record = proto::QuarantineRecord::decode(value)?;
    let age_ms = unix_ms.saturating_sub(record.written_unix_ms);
    Ok(match record.kind.ok_or(RecordError::Empty)? {
        Kind::Suspect(suspect) => QuarantineRecord::Report(Suspect {
            age_ms: suspect.age_ms.saturating_add(age_ms),
            ..suspect
        }),
        Kind::Trial(trial) => QuarantineRecord::Trial {
            fingerprint: Fingerprint(trial.fingerprint),
            instance: InstanceId::from(trial.instance.as_str()),
            time_left: Duration::from_millis(trial.ttl_ms.saturating_sub(age_ms)),
        },
    })
}

/// Encodes crash reports that are sent to another instance directly.
#[must_use]
pub fn encode_reports(suspects: &[Suspect]) -> Vec<u8> {
    let reports = proto::CrashReports {
        suspects: suspects.to_vec(),
    };
    reports.encode_to_vec()
}

/// Decodes crash reports of another instance.
///
/// # Errors
///
/// Fails if the message is malformed.
pub fn decode_reports(bytes: &[u8]) -> Result<Vec<Suspect>, RecordError> {
    Ok(proto::CrashReports::decode(bytes)?.suspects)
}

/// Keys of the records in the topic, with the time at which each may be deleted.
#[derive(Clone, Debug, Default)]
pub struct StoredKeys {
    delete_at_unix_ms: IndexMap<CompactString, u64>,
}

impl StoredKeys {
    /// Forgets all keys, before a snapshot of the topic is read.
    pub fn clear(&mut self) {
        self.delete_at_unix_ms.clear();
    }

    /// Records that a record was read at `unix_ms`; a record that can't be decoded is soon deleted.
    pub fn insert(&mut self, key: CompactString, record: Option<&QuarantineRecord>, unix_ms: u64) {
        let retention = match record {
            Some(QuarantineRecord::Report(suspect)) if !suspect.cleared && !suspect.unconfirmed => {
                CRASH_RETENTION.saturating_sub(Duration::from_millis(suspect.age_ms))
            }
            _ => MINOR_RETENTION,
        };
        let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        // The last place is that of the newest record.
        self.delete_at_unix_ms.shift_remove(&key);
        self.delete_at_unix_ms
            .insert(key, unix_ms.saturating_add(retention_ms));
    }

    /// Records that a key was deleted.
    pub fn remove(&mut self, key: &str) {
        self.delete_at_unix_ms.shift_remove(key);
    }

    /// Returns records that delete what is no longer needed, and the oldest of too many.
    #[must_use]
    pub fn deletions(&self, unix_ms: u64) -> Vec<KeyedValue> {
        let surplus = self
            .delete_at_unix_ms
            .len()
            .saturating_sub(MAX_STORED_RECORDS);
        let keys = self.delete_at_unix_ms.iter().enumerate();
        let due = keys.filter(|(index, (_, at))| *index < surplus || **at <= unix_ms);
        let deletions = due.map(|(_, (key, _))| KeyedValue {
            key: key.clone(),
            value: None,
        });
        deletions.take(MAX_DELETED_AT_ONCE).collect()
    }
}
