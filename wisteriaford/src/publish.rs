//! Publishing of a configuration until the log shows what became of it.

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

use crate::history::History;

const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);

/// What to publish.
#[derive(Clone, Debug)]
pub struct PublishRequest {
    /// Unique id.
    pub id: PublicationId,
    /// Revision that the content was made from.
    pub base: Base,
    /// Who publishes.
    pub author: String,
    /// Content.
    pub configuration: Configuration,
}

/// Revision that a content was made from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Base {
    /// The one in force when the log is first read.
    InForce,
    /// The one that the operator names.
    Revision(Revision),
    /// None: the log has lost every copy of it.
    Lost,
}

/// A publication whose fate the log shows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Published {
    /// Publication.
    pub id: PublicationId,
    /// Revision that it is based on.
    pub base_revision: Revision,
    /// What became of it.
    pub verdict: Verdict,
}

/// Why the fate of a publication is not known, or why nothing was published.
#[derive(Debug, Display, Error)]
pub enum PublishError {
    /// The log could not be read; nothing was appended.
    #[display("nothing was published: {source}")]
    Unread {
        /// Cause.
        source: ReadError,
    },
    /// The log holds no copy of the configuration in force; nothing was appended.
    #[display(
        "nothing was published: the log has lost every copy of the configuration in force; \
         if that is so, publish with --restore"
    )]
    NoBasis,
    /// The log holds a copy of the configuration in force, or none was ever published.
    #[display("nothing was published: nothing is lost, publish without --restore")]
    NothingLost,
    /// The log does not take the record; nothing was appended.
    #[display("nothing was published: {source}")]
    NotAppended {
        /// Cause.
        source: AppendError,
    },
    /// The log did not show the publication in time; it may still come into force.
    #[display(
        "the outcome is unknown: the log did not show publication {id} in time; \
         `wisteriaford show` names the publication in force"
    )]
    OutcomeUnknown {
        /// Publication.
        id: PublicationId,
    },
}

/// Publishes to a log.
pub struct Publisher<'a> {
    /// Log.
    pub log: &'a dyn Log,
    /// Time.
    pub timer: &'a mut dyn Timer,
    /// Longest time until the fate is known.
    pub deadline: Duration,
    /// Longest time that a read of the log waits.
    pub read_wait: Duration,
}

impl Publisher<'_> {
    /// Appends a publication and reads the log until it shows what became of it.
    ///
    /// The record is appended again, under the same id, while it may not have arrived: the fold
    /// takes the first of several records with one id, so that this cannot publish twice.
    ///
    /// # Errors
    ///
    /// Fails where nothing was published, or the fate stays unknown until the deadline. A
    /// rejection is no error.
    pub fn publish(&mut self, request: PublishRequest) -> Result<Published, PublishError> {
        let mut history = History::new(self.log);
        history
            .catch_up(Duration::ZERO)
            .map_err(|source| PublishError::Unread { source })?;
        let base_revision = base_revision(&history, request.base)?;
        let id = request.id;
        let publication = publish(&id, base_revision, request.configuration, &request.author);
        let record = record(&history, request.base, publication).encode_to_vec();
        let verdict = self.append_until_shown(&mut history, &id, &record)?;
        Ok(Published {
            id,
            base_revision,
            verdict,
        })
    }

    fn append_until_shown(
        &mut self,
        history: &mut History<'_>,
        id: &PublicationId,
        record: &[u8],
    ) -> Result<Verdict, PublishError> {
        let started = self.timer.elapsed();
        let mut backoff = FIRST_BACKOFF;
        let mut progress = Progress::default();
        loop {
            if !progress.is_appended {
                progress.note(self.log.append(record))?;
            }
            // A read that fails is tried again, as an append is.
            let _unread = history.catch_up(self.read_wait);
            if let Some(verdict) = history.verdict_of(id) {
                return Ok(verdict);
            }
            if self.timer.elapsed().saturating_sub(started) >= self.deadline {
                return Err(progress.give_up(id));
            }
            self.timer.sleep(backoff);
            backoff = (backoff * 2).min(LONGEST_BACKOFF);
        }
    }
}

/// What is known about the appends of one record.
#[derive(Default)]
struct Progress {
    is_appended: bool,
    may_be_appended: bool,
    last: Option<AppendError>,
}

impl Progress {
    fn note(&mut self, result: Result<u64, AppendError>) -> Result<(), PublishError> {
        match result {
            Ok(_) => self.is_appended = true,
            Err(AppendError::OutcomeUnknown { .. }) => self.may_be_appended = true,
            Err(source @ AppendError::Refused { .. }) if !self.may_be_appended => {
                return Err(PublishError::NotAppended { source });
            }
            Err(source) => self.last = Some(source),
        }
        Ok(())
    }

    fn give_up(self, id: &PublicationId) -> PublishError {
        match self.last {
            Some(source) if !self.is_appended && !self.may_be_appended => {
                PublishError::NotAppended { source }
            }
            _ => PublishError::OutcomeUnknown { id: id.clone() },
        }
    }
}

fn base_revision(history: &History<'_>, base: Base) -> Result<Revision, PublishError> {
    match (base, history.has_basis()) {
        (Base::Lost, true) => Err(PublishError::NothingLost),
        (Base::Lost, false) => Ok(Revision(0)),
        (Base::InForce | Base::Revision(_), false) => Err(PublishError::NoBasis),
        (Base::Revision(revision), true) => Ok(revision),
        (Base::InForce, true) => {
            let in_force = history.in_force();
            Ok(in_force.map_or(Revision(0), |in_force| in_force.revision))
        }
    }
}

fn record(history: &History<'_>, base: Base, publication: Publication) -> Record {
    let kind = match base {
        Base::Lost => Kind::Republication(restore(publication, history.last_offset())),
        Base::InForce | Base::Revision(_) => Kind::Publication(publication),
    };
    Record { kind: Some(kind) }
}

/// Returns an id that no other publication has: the time and a random number.
#[must_use]
pub fn unique_id() -> PublicationId {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.unwrap_or_default().as_millis();
    // The standard library seeds each hasher from the random source of the operating system.
    let random = RandomState::new().build_hasher().finish();
    PublicationId::from(format!("{now_ms}-{random:016x}"))
}
