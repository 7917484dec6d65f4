//! Identifiers of instances, callers, endpoints and the work between them.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

/// Longest identifier that is accepted, in bytes.
pub const MAX_ID_LEN_BYTES: usize = 128;

/// Why a text is no identifier.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum IdError {
    /// The text is empty.
    #[display("an identifier must not be empty")]
    Empty,
    /// The text is longer than [`MAX_ID_LEN_BYTES`].
    #[display("an identifier has at most {MAX_ID_LEN_BYTES} bytes, this one has {len_bytes}")]
    TooLong {
        /// Length of the text.
        len_bytes: usize,
    },
    /// The text holds a character outside letters, digits, `-`, `_`, `.`, `:` and `/`.
    #[display("character {character:?} is not allowed in an identifier")]
    BadCharacter {
        /// First character that is not allowed.
        character: char,
    },
}

fn check(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_LEN_BYTES {
        return Err(IdError::TooLong {
            len_bytes: text.len(),
        });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(character) => Err(IdError::BadCharacter { character }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize,
            serde::Deserialize,
        )]
        #[display("{_0}")]
        #[serde(transparent)]
        pub struct $name(CompactString);

        impl $name {
            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check(text)?;
                Ok(Self(CompactString::from(text)))
            }
        }

        /// Takes a text that was checked before, such as one from a peer.
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(CompactString::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(CompactString::from(text))
            }
        }

        impl From<&$name> for String {
            fn from(id: &$name) -> Self {
                id.0.to_string()
            }
        }
    };
}

text_id! {
    /// One run of the daemon on one machine.
    InstanceId
}
text_id! {
    /// Availability zone that instances and endpoints run in.
    AvailabilityZone
}
text_id! {
    /// Region that availability zones belong to.
    Region
}
text_id! {
    /// Trainer or interactive user.
    CallerId
}
text_id! {
    /// Program that answers requests.
    EndpointId
}
text_id! {
    /// Group of endpoints that serve the same model or service.
    PoolId
}
text_id! {
    /// Named way to reach plain services.
    RouteId
}
text_id! {
    /// Model that engines load weights of.
    ModelId
}
text_id! {
    /// Request of a caller, unique over the fleet.
    RequestId
}
text_id! {
    /// Publication of a configuration, unique over the log.
    PublicationId
}
text_id! {
    /// One try of a request at one endpoint, unique over the fleet.
    AttemptId
}
text_id! {
    /// Claim of the right to run a keyed request, unique over the fleet and all time.
    ClaimId
}

text_id! {
    /// Batch job, as its submitter named it.
    JobId
}
text_id! {
    /// Item of a batch job.
    ItemId
}
text_id! {
    /// Group of items that share a prompt.
    GroupId
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, Eq, derive_more::FromStr, Hash, Ord, PartialEq,
            PartialOrd, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next higher number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number_id! {
    /// Revision of the configuration; 0 is none.
    Revision
}
number_id! {
    /// Version of the weights of a model; 0 is none.
    Version
}
number_id! {
    /// Offset of a record in the log.
    Offset
}
number_id! {
    /// Fencing number of a lease: the offset of its record.
    Fence
}
number_id! {
    /// Version of a published routing table; 0 is none.
    TableVersion
}
number_id! {
    /// Step of a trainer.
    StepNumber
}
number_id! {
    /// Pull of a step; every pull of a trainer has a higher one.
    PullNumber
}
number_id! {
    /// Run of an instance; a restart has a higher one.
    Incarnation
}
number_id! {
    /// Hash of what a request asks for, the same each time it is sent.
    Fingerprint
}

/// Step of a trainer, unique over the fleet.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{trainer}/{number}")]
pub struct StepKey {
    /// Trainer that asks for the step.
    pub trainer: CallerId,
    /// Number that the trainer gave it.
    pub number: StepNumber,
}
