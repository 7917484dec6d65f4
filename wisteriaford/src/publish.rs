//! Publishes a configuration and waits until the log shows whether it was accepted.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::hash::Hasher;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use derive_more::Display;
use derive_more::Error;
use prost::Message;
use wisteriaford_client::log::AppendError;
use wisteriaford_client::log::Log;
use wisteriaford_client::log::ReadError;
use wisteriaford_client::trainer::Timer;
use wisteriaford_core::configuration::Verdict;
use wisteriaford_core::configuration::publish;
use wisteriaford_core::configuration::restore;
use wisteriaford_core::id::PublicationId;
use wisteriaford_core::id::Revision;
use wisteriaford_proto::record::Publication;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::record::record::Kind;
use wisteriaford_proto::settings::Configuration;

use crate::log_reader::LogReader;

/// Delay before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay between retries.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Configuration to publish.
#[derive(Clone, Debug)]
pub struct PublishRequest {
    /// Unique id of the publication.
    pub id: PublicationId,
    /// Revision that the configuration is based on.
    pub base: Base,
    /// Name of the publisher.
    pub author: String,
    /// Configuration to publish.
    pub configuration: Configuration,
}

/// Revision that a configuration is based on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Base {
    /// The revision in force when the log is first read.
    InForce,
    /// The revision given by the operator.
    Revision(Revision),
    /// No revision, because the log has lost every copy of the configuration in force.
    Lost,
}

/// Publication whose outcome has been read from the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecidedPublication {
    /// Id of the publication.
    pub id: PublicationId,
    /// Revision that it is based on.
    pub base_revision: Revision,
    /// Whether it was accepted or rejected.
    pub verdict: Verdict,
}

/// Error while publishing, or while waiting for the outcome.
#[derive(Debug, Display, Error)]
pub enum PublishError {
    /// The log could not be read; nothing was appended.
    #[display("nothing was published: {source}")]
    LogUnreadable {
        /// Underlying error.
        source: ReadError,
    },
    /// The log holds no copy of the configuration in force; nothing was appended.
    #[display(
        "nothing was published: the log holds no copy of the configuration in force; \
         if it was lost, publish with --restore"
    )]
    NoBasis,
    /// `--restore` was given although the log holds a copy of the configuration in force, or none
    /// was ever published.
    #[display("nothing was published: no configuration was lost, publish without --restore")]
    RestoreNotNeeded,
    /// The log did not accept the record; nothing was appended.
    #[display("nothing was published: {source}")]
    NotAppended {
        /// Underlying error.
        source: AppendError,
    },
    /// The publication did not appear in the log in time, but may still come into force.
    #[display(
        "the outcome is unknown: publication {id} did not appear in the log in time; \
         `wisteriaford show` prints the publication in force"
    )]
    OutcomeUnknown {
        /// Id of the publication.
        id: PublicationId,
    },
}

/// Publishes configurations to the log.
pub struct Publisher<'a> {
    /// Log that publications are appended to.
    pub log: &'a dyn Log,
    /// Clock for the deadline and for the backoff between retries.
    pub timer: &'a mut dyn Timer,
    /// Maximum time to wait for the outcome.
    pub deadline: Duration,
    /// Maximum time that a read of the log waits for new records.
    pub read_wait: Duration,
}

impl Publisher<'_> {
    /// Appends a publication and reads the log until its outcome is known.
    ///
    /// The append is retried with the same id until the log confirms it. This cannot publish twice,
    /// because the fold ignores all but the first record with a given id.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing was published or the outcome is still unknown at the deadline.
    /// A rejected publication is not an error.
    pub fn publish(&mut self, request: PublishRequest) -> Result<DecidedPublication, PublishError> {
        let mut log_reader = LogReader::new(self.log);
        log_reader
            .catch_up(Duration::ZERO)
            .map_err(|source| PublishError::LogUnreadable { source })?;
        let base_revision = base_revision(&log_reader, request.base)?;
        let id = request.id;
        let publication = publish(&id, base_revision, request.configuration, &request.author);
        let record = record(&log_reader, request.base, publication).encode_to_vec();
        let verdict = self.append_until_decided(&mut log_reader, &id, &record)?;
        Ok(DecidedPublication {
            id,
            base_revision,
            verdict,
        })
    }

    fn append_until_decided(
        &mut self,
        log_reader: &mut LogReader<'_>,
        id: &PublicationId,
        record: &[u8],
    ) -> Result<Verdict, PublishError> {
        let started = self.timer.elapsed();
        let mut backoff = INITIAL_BACKOFF;
        let mut progress = Progress::default();
        loop {
            if !progress.is_appended {
                progress.record_result(self.log.append(record))?;
            }
            // A failed read is retried in the next iteration, as a failed append is.
            let _read_error = log_reader.catch_up(self.read_wait);
            if let Some(verdict) = log_reader.verdict_of(id) {
                return Ok(verdict);
            }
            if self.timer.elapsed().saturating_sub(started) >= self.deadline {
                return Err(progress.into_error(id));
            }
            self.timer.sleep(backoff);
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Progress of appending one record.
#[derive(Default)]
struct Progress {
    is_appended: bool,
    may_be_appended: bool,
    last_error: Option<AppendError>,
}

impl Progress {
    fn record_result(&mut self, result: Result<u64, AppendError>) -> Result<(), PublishError> {
        match result {
            Ok(_) => self.is_appended = true,
            Err(AppendError::OutcomeUnknown { .. }) => self.may_be_appended = true,
            Err(source @ AppendError::Refused { .. }) if !self.may_be_appended => {
                return Err(PublishError::NotAppended { source });
            }
            Err(source) => self.last_error = Some(source),
        }
        Ok(())
    }

    fn into_error(self, id: &PublicationId) -> PublishError {
        match self.last_error {
            Some(source) if !self.is_appended && !self.may_be_appended => {
                PublishError::NotAppended { source }
            }
            _ => PublishError::OutcomeUnknown { id: id.clone() },
        }
    }
}

fn base_revision(log_reader: &LogReader<'_>, base: Base) -> Result<Revision, PublishError> {
    match (base, log_reader.has_basis()) {
        (Base::Lost, true) => Err(PublishError::RestoreNotNeeded),
        (Base::Lost, false) => Ok(Revision(0)),
        (Base::InForce | Base::Revision(_), false) => Err(PublishError::NoBasis),
        (Base::Revision(revision), true) => Ok(revision),
        (Base::InForce, true) => {
            let in_force = log_reader.in_force();
            Ok(in_force.map_or(Revision(0), |in_force| in_force.revision))
        }
    }
}

fn record(log_reader: &LogReader<'_>, base: Base, publication: Publication) -> Record {
    let kind = match base {
        Base::Lost => Kind::Republication(restore(publication, log_reader.last_offset())),
        Base::InForce | Base::Revision(_) => Kind::Publication(publication),
    };
    Record { kind: Some(kind) }
}

/// Returns a unique publication id, made of the current time and a random number.
#[must_use]
pub fn unique_id() -> PublicationId {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.unwrap_or_default().as_millis();
    // `RandomState` is seeded from the random source of the operating system.
    let random = RandomState::new().build_hasher().finish();
    PublicationId::from(format!("{now_ms}-{random:016x}"))
}
