//! Configuration in force, and the rules by which publications and copies are accepted.

use std::str::FromStr;
use std::sync::Arc;

use wisteriaford_proto::record::Publication;
use wisteriaford_proto::record::Republication;

use super::publication::Rejection;
use super::publication::Winner;
use super::publication::digest_of;
use crate::id::Offset;
use crate::id::PublicationId;
use crate::id::Revision;
use crate::settings::Settings;
use crate::validation::validate;

/// Configuration in force and the publication that introduced it.
#[derive(Clone, Debug)]
pub struct ConfigurationInForce {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Id of the publication that introduced the revision.
    pub publication_id: PublicationId,
    /// Configuration, indexed for lookup.
    pub settings: Arc<Settings>,
    /// Publication as it was appended to the log.
    pub publication: Arc<Publication>,
    /// Offset through which the log was folded to this state.
    pub through: Offset,
}

impl ConfigurationInForce {
    /// Returns the copy that is sent to peers, and appended to the log before retention drops the
    /// last one.
    #[must_use]
    pub fn republication(&self) -> Republication {
        Republication {
            revision: self.revision.0,
            publication: Some(Publication::clone(&self.publication)),
            through_offset: self.through.0,
        }
    }

    pub(super) fn winner(&self) -> Winner {
        Winner {
            revision: self.revision,
            publication_id: self.publication_id.clone(),
            author: self.publication.author.clone(),
        }
    }
}

/// Returns the revision of a configuration, or 0 if there is none.
pub(super) fn revision_of(in_force: Option<&ConfigurationInForce>) -> Revision {
    in_force.map_or(Revision(0), |in_force| in_force.revision)
}

/// Accepts or rejects a publication, given the configuration in force before it.
pub(super) fn decide(
    offset: Offset,
    publication: &Publication,
    current: Option<&ConfigurationInForce>,
) -> Result<ConfigurationInForce, Rejection> {
    let base = Revision(publication.base_revision);
    // The base is checked first because it is cheaper to compare than the configuration is to
    // validate, and most rejections are duplicates and lost races.
    match current {
        Some(current) if current.revision != base => {
            let winner = current.winner();
            return Err(Rejection::Superseded { base, winner });
        }
        None if base != Revision(0) => return Err(Rejection::NoBase { base }),
        Some(_) | None => {}
    }
    accept(publication, base.next(), offset)
}

/// Validates a copy of a revision.
pub(super) fn accept_copy(copy: &Republication) -> Result<ConfigurationInForce, Rejection> {
    let publication = copy
        .publication
        .as_ref()
        .ok_or(Rejection::NoConfiguration)?;
    accept(
        publication,
        Revision(copy.revision),
        Offset(copy.through_offset),
    )
}

/// Validates a publication and returns the configuration that it puts in force.
fn accept(
    publication: &Publication,
    revision: Revision,
    through: Offset,
) -> Result<ConfigurationInForce, Rejection> {
    let publication_id = PublicationId::from_str(&publication.id).map_err(Rejection::BadId)?;
    let configuration = publication.configuration.as_ref();
    let configuration = configuration.ok_or(Rejection::NoConfiguration)?;
    if digest_of(configuration) != publication.digest {
        return Err(Rejection::DigestMismatch);
    }
    let faults = validate(configuration);
    if !faults.is_empty() {
        return Err(Rejection::Invalid(faults));
    }
    Ok(ConfigurationInForce {
        revision,
        publication_id,
        settings: Arc::new(Settings::from(configuration)),
        publication: Arc::new(publication.clone()),
        through,
    })
}
