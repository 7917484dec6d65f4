//! Conversion between peer messages and the types of the step logic.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use wisteriaford_proto::step::ForwardPull;
use wisteriaford_proto::step::PullAnswer;
use wisteriaford_proto::step::Sample;
use wisteriaford_proto::step::Spec;
use wisteriaford_proto::step::step_message::Body;

use super::output::Pull;
use super::owner::OwnerAnswer;
use super::owner::OwnerPull;
use super::sample::FinishedSample;
use super::spec::StepSpec;
use crate::id::PoolId;
use crate::id::PullNumber;
use crate::id::Version;
use crate::index_set::IndexSet;

/// Reason why a peer message is dropped.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum StepMessageError {
    /// The message has no body, or one that this release doesn't know.
    #[display("the message has no known body")]
    NoBody,
    /// A bit set holds more bits than an index set.
    #[display("a bit set in the message is too long")]
    BadIndices,
    /// The spec is invalid.
    #[display("the spec in the message is invalid")]
    BadSpec,
}

/// Parses a bit set.
pub(super) fn parse_indices(bytes: &[u8]) -> Result<IndexSet, StepMessageError> {
    IndexSet::try_from(bytes).map_err(|_| StepMessageError::BadIndices)
}

/// Parses a spec.
pub(super) fn parse_spec(spec: Option<&Spec>) -> Result<Option<Arc<StepSpec>>, StepMessageError> {
    let spec = spec.map(StepSpec::try_from).transpose();
    let spec = spec.map_err(|_| StepMessageError::BadSpec)?;
    Ok(spec.map(Arc::new))
}

/// Parses samples and skips those with an invalid label.
pub(super) fn parse_samples(samples: &[Sample]) -> Vec<FinishedSample> {
    let read = samples.iter().map(FinishedSample::try_from);
    read.filter_map(Result::ok).collect()
}

/// Converts an owner's answer into a message body.
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
            samples: parse_samples(&answer.samples),
            total: answer.total,
        }
    }
}

/// Converts a pull into a message body for its owner.
pub(super) fn pull_body(pull: &OwnerPull) -> Body {
    Body::Pull(ForwardPull {
        number: pull.number.0,
        received: pull.received.as_bytes().to_vec(),
        current_version: pull.version.0,
        pool: String::from(&pull.pool),
        spec: pull.spec.as_deref().map(Spec::from),
    })
}

impl OwnerPull {
    /// Copies the fields of a pull that its owner needs.
    pub(super) fn new(pull: &Pull, includes_spec: bool) -> Self {
        Self {
            number: pull.number,
            received: pull.received.clone(),
            version: pull.current_version,
            pool: pull.pool.clone(),
            spec: pull.spec.clone().filter(|_| includes_spec),
        }
    }
}

impl TryFrom<&ForwardPull> for OwnerPull {
    type Error = StepMessageError;

    fn try_from(pull: &ForwardPull) -> Result<Self, StepMessageError> {
        Ok(Self {
            number: PullNumber(pull.number),
            received: parse_indices(&pull.received)?,
            version: Version(pull.current_version),
            pool: PoolId::from(pull.pool.as_str()),
            spec: parse_spec(pull.spec.as_ref())?,
        })
    }
}
