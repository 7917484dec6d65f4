//! Specification of a training step.

use derive_more::Display;
use derive_more::Error;
use wisteriaford_proto::step::Spec;

use crate::hash::hash_parts;
use crate::id::StepKey;
use crate::index_set::MAX_INDICES;

/// The samples that a trainer requests in a step: `group_size` samples of each prompt.
///
/// Sample index = group × `group_size` + position in the group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StepSpec {
    /// Number of samples in each group.
    pub group_size: u32,
    /// Maximum number of tokens of a sample.
    pub max_tokens: u32,
    /// Prompts, one for each group.
    pub prompts: Vec<String>,
}

/// Reason why a spec is invalid.
#[derive(Clone, Copy, Debug, Display, Eq, Error, Hash, PartialEq)]
pub enum SpecError {
    /// The group size or the token limit is 0, or there are no prompts.
    #[display("a step needs prompts, a group size and a token limit above 0")]
    Empty,
    /// The step has more samples than an index set can hold.
    #[display("a step has at most {MAX_INDICES} samples")]
    TooLarge,
}

impl StepSpec {
    /// Checks that the step has samples, and no more than an index set can hold.
    ///
    /// # Errors
    ///
    /// Returns an error if the spec is empty or too large.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.group_size == 0 || self.max_tokens == 0 || self.prompts.is_empty() {
            return Err(SpecError::Empty);
        }
        let total = (self.prompts.len() as u64).checked_mul(u64::from(self.group_size));
        match total {
            Some(total) if total <= u64::from(MAX_INDICES) => Ok(()),
            _ => Err(SpecError::TooLarge),
        }
    }

    /// Returns the number of samples in the step.
    #[must_use]
    pub fn total(&self) -> u32 {
        let groups = u32::try_from(self.prompts.len()).unwrap_or(u32::MAX);
        groups.saturating_mul(self.group_size)
    }

    /// Returns the group of a sample.
    #[must_use]
    pub fn group_of(&self, index: u32) -> u32 {
        index / self.group_size
    }

    /// Returns the prompt of a sample, or an empty string if there is no such sample.
    #[must_use]
    pub fn prompt_of(&self, index: u32) -> &str {
        let group = self.group_of(index) as usize;
        self.prompts.get(group).map_or("", String::as_str)
    }
}

/// Returns the seed of a sample. It differs within a group but is the same for all attempts of a
/// sample, so that the result of whichever attempt ends first can be used.
#[must_use]
pub fn sample_seed(key: &StepKey, index: u32) -> u64 {
    let number = key.number.0.to_le_bytes();
    hash_parts(&[
        key.trainer.as_str().as_bytes(),
        &number,
        &index.to_le_bytes(),
    ])
}

impl From<&StepSpec> for Spec {
    fn from(spec: &StepSpec) -> Self {
        Self {
            group_size: spec.group_size,
            max_tokens: spec.max_tokens,
            prompts: spec.prompts.clone(),
        }
    }
}

impl TryFrom<&Spec> for StepSpec {
    type Error = SpecError;

    fn try_from(spec: &Spec) -> Result<Self, SpecError> {
        let spec = Self {
            group_size: spec.group_size,
            max_tokens: spec.max_tokens,
            prompts: spec.prompts.clone(),
        };
        spec.check()?;
        Ok(spec)
    }
}
