//! Publications, their digests and the verdicts on them.

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
use crate::validation::ValidationError;

/// Returns the SHA-256 digest of the encoded configuration.
#[must_use]
pub fn digest_of(configuration: &Configuration) -> Vec<u8> {
    Sha256::digest(configuration.encode_to_vec()).to_vec()
}

/// Creates a publication with the digest of its configuration.
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

/// Creates the record that restores a configuration after the log has lost every copy of it.
///
/// `last_offset` is the last offset of the log. The revision of the record is above every revision
/// that any fold has reached, because each revision requires a record of its own.
#[must_use]
pub fn restore(publication: Publication, last_offset: Offset) -> Republication {
    Republication {
        revision: last_offset.0 + 1,
        publication: Some(publication),
        through_offset: last_offset.0,
    }
}

/// Publication in force when another publication with a different base was folded.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("revision {revision}, publication {publication_id} by {author:?}")]
pub struct Winner {
    /// Revision in force.
    pub revision: Revision,
    /// Id of the publication that introduced the revision.
    pub publication_id: PublicationId,
    /// Author of the publication.
    pub author: String,
}

/// Reason for which a publication is rejected.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum Rejection {
    /// The id is not a valid identifier.
    #[display("invalid publication id: {_0}")]
    BadId(#[error(source)] IdError),
    /// The publication has no configuration.
    #[display("the publication has no configuration")]
    NoConfiguration,
    /// The configuration does not match the digest.
    #[display("the configuration does not match its digest")]
    DigestMismatch,
    /// The configuration has errors.
    #[display("the configuration has {} errors, the first: {}", _0.len(), _0[0])]
    Invalid(#[error(not(source))] Vec<ValidationError>),
    /// The base is not the revision in force.
    #[display("it is based on revision {base}, but {winner} is in force")]
    Superseded {
        /// Revision on which the publication is based.
        base: Revision,
        /// Publication in force.
        winner: Winner,
    },
    /// The publication is based on a revision although no configuration is in force.
    #[display("it is based on revision {base}, but no configuration is in force")]
    NoBase {
        /// Revision on which the publication is based.
        base: Revision,
    },
}

/// Verdict on a publication.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Verdict {
    /// The publication is in force as this revision, or was until a later one replaced it.
    #[display("accepted as revision {revision}")]
    Accepted {
        /// Revision that the publication introduced.
        revision: Revision,
    },
    /// The publication was never in force.
    #[display("rejected: {reason}")]
    Rejected {
        /// Reason for the rejection.
        reason: Rejection,
    },
    /// The log already held the publication; only its first record counts.
    #[display("duplicate; the first record was {first}")]
    Duplicate {
        /// Verdict on the first record.
        first: Box<Verdict>,
    },
}
