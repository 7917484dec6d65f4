//! Publications, their digests and what becomes of them.

use derive_more::Display;
use derive_more::Error;
use prost::Message;
use sha2::Digest;
use sha2::Sha256;
use wisteriaford_proto::record::Publication;
use wisteriaford_proto::record::Republication;
use wisteriaford_proto::settings::Configuration;

use crate::id::IdError;
use crate::id::Offset;
use crate::id::PublicationId;
use crate::id::Revision;
use crate::validation::Fault;

/// Returns the SHA-256 of the encoded configuration.
#[must_use]
pub fn digest_of(configuration: &Configuration) -> Vec<u8> {
    Sha256::digest(configuration.encode_to_vec()).to_vec()
}

/// Makes a publication with its digest.
#[must_use]
pub fn publish(
    id: &PublicationId,
    base_revision: Revision,
    configuration: Configuration,
    author: &str,
) -> Publication {
    Publication {
        id: String::from(id),
        base_revision: base_revision.0,
        digest: digest_of(&configuration),
        configuration: Some(configuration),
        author: author.to_owned(),
    }
}

/// Makes the record that restores a configuration after the log lost every copy of it.
///
/// Its revision is above every revision that a fold ever gave, since each of them took a record
/// of its own. `last_offset` is the last offset of the log.
#[must_use]
pub fn restore(publication: Publication, last_offset: Offset) -> Republication {
    Republication {
        revision: last_offset.0 + 1,
        publication: Some(publication),
        through_offset: last_offset.0,
    }
}

/// Publication that holds the revision which another one wanted to replace.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("revision {revision}, publication {publication_id} by {author:?}")]
pub struct Winner {
    /// Revision in force when the other publication was folded.
    pub revision: Revision,
    /// Publication that made it.
    pub publication_id: PublicationId,
    /// Who published it.
    pub author: String,
}

/// Why a publication is rejected.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum Rejection {
    /// The id is no identifier.
    #[display("the publication id is not valid: {_0}")]
    BadId(#[error(source)] IdError),
    /// It has no content.
    #[display("the publication has no content")]
    NoContent,
    /// The content does not match its digest.
    #[display("the content does not match its digest")]
    DigestMismatch,
    /// The content has faults.
    #[display("the content has {} faults, the first: {}", _0.len(), _0[0])]
    Invalid(#[error(not(source))] Vec<Fault>),
    /// Another publication came first.
    #[display("it is based on revision {base}, but in force is {winner}")]
    Superseded {
        /// Revision that the operator started from.
        base: Revision,
        /// Publication in force.
        winner: Winner,
    },
    /// It is based on a revision although none is in force.
    #[display("it is based on revision {base}, but no configuration is in force")]
    NoBase {
        /// Revision that the operator started from.
        base: Revision,
    },
}

/// What became of a publication.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Verdict {
    /// It is in force as this revision, or was until a later one.
    #[display("accepted as revision {revision}")]
    Accepted {
        /// Revision that it made.
        revision: Revision,
    },
    /// It never was in force.
    #[display("rejected: {reason}")]
    Rejected {
        /// Why.
        reason: Rejection,
    },
    /// The log had it before; the first record alone counts.
    #[display("repeated, the first was {first}")]
    Repeated {
        /// What became of the first.
        first: Box<Verdict>,
    },
}
