//! Finished samples and the attempts that generate them.

use derive_more::Display;
use derive_more::Error;
use wisteriaford_proto::step::Sample;
use wisteriaford_proto::step::VersionSpan;

use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::StepKey;
use crate::id::Version;
use crate::label::Label;
use crate::label::LabelError;
use crate::label::Span;

/// One attempt to generate a sample at one endpoint.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq)]
#[display("{key}/{index}/{attempt_number}")]
pub struct SampleAttempt {
    /// Step.
    pub key: StepKey,
    /// Index of the sample within the step.
    pub index: u32,
    /// Number, unique among the attempts of one [`Steps`](super::Steps).
    pub attempt_number: u64,
}

/// A finished sample.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedSample {
    /// Index within the step.
    pub index: u32,
    /// Group of samples with the same prompt.
    pub group: u32,
    /// Generated text.
    pub text: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Versions of the weights that generated the tokens.
    pub label: Label,
    /// Score in thousandths; `None` if no scorer is configured.
    pub score_milli: Option<i64>,
    /// Instance that served it.
    pub instance: InstanceId,
    /// Endpoint that served it.
    pub endpoint: EndpointId,
}

impl FinishedSample {
    /// Returns whether each token has a version.
    #[must_use]
    pub fn is_labelled(&self) -> bool {
        self.tokens > 0 && self.label.tokens() == self.tokens
    }
}

/// Reason why an attempt ended without a sample.
#[derive(Clone, Copy, Debug, Display, Eq, Error, Hash, PartialEq)]
pub enum SampleFailure {
    /// No slot was granted.
    #[display("no slot was granted")]
    Refused,
    /// The endpoint failed or went silent, and the stream could not be resumed.
    #[display("the stream was lost")]
    Lost,
    /// The endpoint ended the stream before the sample was complete.
    #[display("the stream ended early")]
    Incomplete,
}

impl From<&FinishedSample> for Sample {
    fn from(sample: &FinishedSample) -> Self {
        let spans = sample.label.spans().iter().map(|span| VersionSpan {
            from_token: span.from_token,
            to_token: span.to_token,
            version: span.version.0,
        });
        Self {
            index: sample.index,
            group: sample.group,
            text: sample.text.clone(),
            tokens: sample.tokens,
            spans: spans.collect(),
            score_milli: sample.score_milli,
            instance: String::from(&sample.instance),
            endpoint: String::from(&sample.endpoint),
        }
    }
}

impl TryFrom<&Sample> for FinishedSample {
    type Error = LabelError;

    fn try_from(sample: &Sample) -> Result<Self, LabelError> {
        let mut label = Label::default();
        for span in &sample.spans {
            label.append(Span {
                from_token: span.from_token,
                to_token: span.to_token,
                version: Version(span.version),
            })?;
        }
        Ok(Self {
            index: sample.index,
            group: sample.group,
            text: sample.text.clone(),
            tokens: sample.tokens,
            label,
            score_milli: sample.score_milli,
            instance: InstanceId::from(sample.instance.as_str()),
            endpoint: EndpointId::from(sample.endpoint.as_str()),
        })
    }
}
