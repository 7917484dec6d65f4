//! A configuration in force, and the rule that puts it there.

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

/// Configuration in force.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Its revision.
    pub revision: Revision,
    /// Publication that made it.
    pub publication_id: PublicationId,
    /// Content, indexed.
    pub settings: Arc<Settings>,
    /// Publication as it was appended.
    pub publication: Arc<Publication>,
    /// Offset through which the log was folded to get it.
    pub through: Offset,
}

impl InForce {
    /// Returns the copy that is given to peers and appended to outlive the retention time.
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

/// Returns the revision, 0 if there is none.
pub(super) fn revision_of(in_force: Option<&InForce>) -> Revision {
    in_force.map_or(Revision(0), |in_force| in_force.revision)
}

/// Decides a publication on the configuration in force before it.
pub(super) fn decide(
    offset: Offset,
    publication: &Publication,
    current: Option<&InForce>,
) -> Result<InForce, Rejection> {
    let base = Revision(publication.base_revision);
    // The base is compared before the content: repeats and lost races are the common case.
    match current {
        Some(current) if current.revision != base => {
            let winner = current.winner();
            return Err(Rejection::Superseded { base, winner });
        }
        None if base != Revision(0) => return Err(Rejection::NoBase { base }),
        Some(_) | None => {}
    }
    check(publication, base.next(), offset)
}

/// Checks a copy of a revision.
pub(super) fn in_force(copy: &Republication) -> Result<InForce, Rejection> {
    let publication = copy.publication.as_ref().ok_or(Rejection::NoContent)?;
    check(
        publication,
        Revision(copy.revision),
        Offset(copy.through_offset),
    )
}

fn check(
    publication: &Publication,
    revision: Revision,
    through: Offset,
) -> Result<InForce, Rejection> {
    let publication_id = PublicationId::from_str(&publication.id).map_err(Rejection::BadId)?;
    let content = publication.configuration.as_ref();
    let configuration = content.ok_or(Rejection::NoContent)?;
    if digest_of(configuration) != publication.digest {
        return Err(Rejection::DigestMismatch);
    }
    let faults = validate(configuration);
    if !faults.is_empty() {
        return Err(Rejection::Invalid(faults));
    }
    Ok(InForce {
        revision,
        publication_id,
        settings: Arc::new(Settings::from(configuration)),
        publication: Arc::new(publication.clone()),
        through,
    })
}
