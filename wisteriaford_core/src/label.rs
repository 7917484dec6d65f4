//! Versions of the weights that made each token of a sample.

use derive_more::Display;
use derive_more::Error;

use crate::id::Version;

/// Tokens made by one version, from `from_token` up to but without `to_token`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span {
    /// First token.
    pub from_token: u32,
    /// Token after the last.
    pub to_token: u32,
    /// Version that made them, as the endpoint named it.
    pub version: Version,
}

/// Why a span cannot be appended.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum LabelError {
    /// The span holds no token.
    #[display("the span from token {from_token} holds no token")]
    Empty {
        /// Start of the span.
        from_token: u32,
    },
    /// Tokens before the span have no label.
    #[display("the span starts at token {from_token}, the label ends at {expected}")]
    Gap {
        /// Start of the span.
        from_token: u32,
        /// Token that must come next.
        expected: u32,
    },
    /// Tokens of the span are labelled already.
    #[display("the span starts at token {from_token}, the label already ends at {expected}")]
    Overlap {
        /// Start of the span.
        from_token: u32,
        /// Token that must come next.
        expected: u32,
    },
    /// The span names version 0, which is none.
    #[display("the span names no version")]
    NoVersion,
}

/// Version spans of a sample, without gaps from token 0 on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Label {
    spans: Vec<Span>,
}

impl Label {
    /// Appends a span, merging it with an equal neighbour.
    ///
    /// # Errors
    ///
    /// Refuses an empty span, a span without a version, a gap and an overlap; nothing is changed.
    pub fn append(&mut self, span: Span) -> Result<(), LabelError> {
        let expected = self.tokens();
        let from_token = span.from_token;
        if span.to_token <= from_token {
            return Err(LabelError::Empty { from_token });
        }
        if span.version == Version(0) {
            return Err(LabelError::NoVersion);
        }
        if from_token > expected {
            return Err(LabelError::Gap {
                from_token,
                expected,
            });
        }
        if from_token < expected {
            return Err(LabelError::Overlap {
                from_token,
                expected,
            });
        }
        match self.spans.last_mut() {
            Some(last) if last.version == span.version => last.to_token = span.to_token,
            _ => self.spans.push(span),
        }
        Ok(())
    }

    /// Appends what a resumed stream adds: tokens that are labelled already are left as they are.
    ///
    /// Returns the number of tokens that were new.
    ///
    /// # Errors
    ///
    /// Refuses what [`Label::append`] refuses, but for an overlap.
    pub fn append_resumed(&mut self, span: Span) -> Result<u32, LabelError> {
        let tokens = self.tokens();
        if span.to_token > span.from_token && span.to_token <= tokens {
            return Ok(0);
        }
        let from_token = span.from_token.max(tokens);
        self.append(Span { from_token, ..span })?;
        Ok(span.to_token - from_token)
    }

    /// Returns the number of tokens that are labelled; a resumed stream goes on at this offset.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.spans.last().map_or(0, |span| span.to_token)
    }

    /// Returns the spans, in the order of the tokens.
    #[must_use]
    pub fn spans(&self) -> &[Span] {
        &self.spans
    }

    /// Returns the oldest version that contributed; none without a token.
    #[must_use]
    pub fn oldest(&self) -> Option<Version> {
        self.spans.iter().map(|span| span.version).min()
    }

    /// Returns the newest version that contributed; none without a token.
    #[must_use]
    pub fn newest(&self) -> Option<Version> {
        self.spans.iter().map(|span| span.version).max()
    }

    /// Returns whether no token is older than `bound_versions` behind the trainer's version.
    ///
    /// A label without a token is never fresh.
    #[must_use]
    pub fn is_fresh(&self, current: Version, bound_versions: u64) -> bool {
        let oldest_allowed = oldest_allowed(current, bound_versions);
        self.oldest().is_some_and(|oldest| oldest >= oldest_allowed)
    }
}

/// Returns the oldest version that a trainer at `current` takes.
#[must_use]
pub fn oldest_allowed(current: Version, bound_versions: u64) -> Version {
    Version(current.0.saturating_sub(bound_versions))
}

/// Builds a label from spans.
impl TryFrom<&[Span]> for Label {
    type Error = LabelError;

    fn try_from(spans: &[Span]) -> Result<Self, LabelError> {
        let mut label = Self::default();
        for span in spans {
            label.append(*span)?;
        }
        Ok(label)
    }
}
