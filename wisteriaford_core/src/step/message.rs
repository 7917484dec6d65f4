//! Peer messages to and from the types of the step logic.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use wisteriaford_proto::step::ForwardPull;
use wisteriaford_proto::step::PullAnswer;
use wisteriaford_proto::step::Sample;
use wisteriaford_proto::step::Spec;
use wisteriaford_proto::step::step_message::Body;

use super::output::Pull;
use super::owner::Offer;
use super::owner::OwnerAnswer;
use super::sample::FinishedSample;
use super::spec::StepSpec;
use crate::id::PoolId;
use crate::id::PullNumber;
use crate::id::Version;
use crate::index_set::IndexSet;

/// Why a peer message is dropped.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum StepMessageError {
    /// The message has no body that this release knows.
    #[display("the message has no known body")]
    NoBody,
    /// A bit set is too long.
    #[display("a bit set of the message is too long")]
    BadIndices,
    /// The spec is not valid.
    #[display("the spec of the message is not valid")]
    BadSpec,
}

/// Reads a bit set.
pub(super) fn indices(bytes: &[u8]) -> Result<IndexSet, StepMessageError> {
    IndexSet::try_from(bytes).map_err(|_| StepMessageError::BadIndices)
}

/// Reads a spec.
pub(super) fn spec(spec: Option<&Spec>) -> Result<Option<Arc<StepSpec>>, StepMessageError> {
    let spec = spec.map(StepSpec::try_from).transpose();
    let spec = spec.map_err(|_| StepMessageError::BadSpec)?;
    Ok(spec.map(Arc::new))
}

/// Reads samples; those without a proper label are left out.
pub(super) fn samples(samples: &[Sample]) -> Vec<FinishedSample> {
    let read = samples.iter().map(FinishedSample::try_from);
    read.filter_map(Result::ok).collect()
}

/// Writes an owner's answer.
pub(super) fn answer_body(answer: &OwnerAnswer) -> Body {
    Body::Answer(PullAnswer {
        number: answer.number.0,
        status: answer.status.into(),
        samples: answer.samples.iter().map(Sample::from).collect(),
        total: answer.total,
    })
}

impl From<&PullAnswer> for OwnerAnswer {
    fn from(answer: &PullAnswer) -> Self {
        Self {
            number: PullNumber(answer.number),
            status: answer.status(),
            samples: samples(&answer.samples),
            total: answer.total,
        }
    }
}

/// Writes a pull for its owner.
pub(super) fn pull_body(offer: &Offer) -> Body {
    Body::Pull(ForwardPull {
        number: offer.number.0,
        received: offer.received.as_bytes().to_vec(),
        current_version: offer.version.0,
        pool: String::from(&offer.pool),
        spec: offer.spec.as_deref().map(Spec::from),
    })
}

impl Offer {
    /// Returns the part of a pull that its owner needs.
    pub(super) fn new(pull: &Pull, with_spec: bool) -> Self {
        Self {
            number: pull.number,
            received: pull.received.clone(),
            version: pull.current_version,
            pool: pull.pool.clone(),
            spec: pull.spec.clone().filter(|_| with_spec),
        }
    }
}

impl TryFrom<&ForwardPull> for Offer {
    type Error = StepMessageError;

    fn try_from(pull: &ForwardPull) -> Result<Self, StepMessageError> {
        Ok(Self {
            number: PullNumber(pull.number),
            received: indices(&pull.received)?,
            version: Version(pull.current_version),
            pool: PoolId::from(pull.pool.as_str()),
            spec: spec(pull.spec.as_ref())?,
        })
    }
}
