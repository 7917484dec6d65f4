//! Versions of the weights by which engines label the events of a stream.

use derive_more::Display;
use derive_more::Error;

use crate::id::Version;

/// Version that an engine names before an event, as read from its lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum VersionLabel {
    /// No line names a version: the one before still holds.
    #[default]
    Missing,
    /// A line names a version that can't be read.
    Malformed,
    /// A line names this version.
    Valid(Version),
}

impl VersionLabel {
    /// Returns the version, if a valid one is named.
    #[must_use]
    pub fn valid(self) -> Option<Version> {
        match self {
            Self::Valid(version) => Some(version),
            Self::Missing | Self::Malformed => None,
        }
    }
}

/// Reason for which the version of the events that follow isn't known.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum LabelError {
    /// No version was named.
    #[display("no version of the weights is named")]
    Missing,
    /// The version can't be read.
    #[display("a malformed version of the weights is named")]
    Malformed,
    /// Engines only load newer versions.
    #[display("version {named} of the weights comes after {before}")]
    Decreased {
        /// Version that was named.
        named: Version,
        /// Version of the events before.
        before: Version,
    },
    /// Engines only load versions that were announced.
    #[display("version {named} of the weights is named, {newest} is the newest")]
    Unannounced {
        /// Version that was named.
        named: Version,
        /// Newest announced version.
        newest: Version,
    },
}

/// Returns the version of the events that follow a label, in a stream whose events so far are of version
/// `before`. `newest` is the newest announced version of the model, if it is known.
///
/// # Errors
///
/// Fails if the version isn't known: the stream counts as truncated before these events.
pub fn check(
    before: Option<Version>,
    label: VersionLabel,
    newest: Option<Version>,
) -> Result<Version, LabelError> {
    let named = match label {
        VersionLabel::Missing => return before.ok_or(LabelError::Missing),
        VersionLabel::Malformed => return Err(LabelError::Malformed),
        VersionLabel::Valid(named) => named,
    };
    if let Some(before) = before.filter(|before| named < *before) {
        return Err(LabelError::Decreased { named, before });
    }
    if let Some(newest) = newest.filter(|newest| named > *newest) {
        return Err(LabelError::Unannounced { named, newest });
    }
    Ok(named)
}
