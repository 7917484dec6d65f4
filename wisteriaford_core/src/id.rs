//! Typed identifiers of instances, callers, endpoints, requests and related objects.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

/// Maximum length of an identifier, in bytes.
pub const MAX_ID_LEN_BYTES: usize = 128;

/// Error for a text that is not a valid identifier.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum IdError {
    /// The text is empty.
    #[display("an identifier must not be empty")]
    Empty,
    /// The text is longer than [`MAX_ID_LEN_BYTES`].
    #[display("an identifier has at most {MAX_ID_LEN_BYTES} bytes, this one has {len_bytes}")]
    TooLong {
        /// Length of the text, in bytes.
        len_bytes: usize,
    },
    /// The text contains a character other than ASCII letters, digits, `-`, `_`, `.`, `:` and `/`.
    #[display("character {character:?} is not allowed in an identifier")]
    BadCharacter {
        /// First disallowed character.
        character: char,
    },
}

fn validate(text: &str) -> Result<(), IdError> {
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
            /// Returns the identifier as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate(text)?;
                Ok(Self(CompactString::from(text)))
            }
        }

        /// Converts without validation; the text must have been validated, for example by a peer.
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
    /// Run of the daemon on one machine.
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
    /// Customer that callers belong to.
    OrganisationId
}
text_id! {
    /// Program that serves requests.
    EndpointId
}
text_id! {
    /// Group of endpoints that serve the same model or service.
    PoolId
}
text_id! {
    /// Named route to plain services.
    RouteId
}
text_id! {
    /// Model that engines serve.
    ModelId
}
text_id! {
    /// Version of the software that an endpoint runs; empty if it doesn't tell.
    SoftwareVersion
}
text_id! {
    /// Request of a caller, unique across the fleet.
    RequestId
}
text_id! {
    /// Publication of a configuration, unique within the log.
    PublicationId
}
text_id! {
    /// Attempt of a request at one endpoint, unique across the fleet.
    AttemptId
}
text_id! {
    /// Claim of the right to run a request with an idempotency key.
    ///
    /// It is unique across the fleet and over all time.
    ClaimId
}

text_id! {
    /// Batch job, named by its submitter.
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
            /// Returns the successor of this number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number_id! {
    /// Revision of the configuration; 0 means none.
    Revision
}
number_id! {
    /// Version of the weights of a model; 0 means none.
    Version
}
number_id! {
    /// Offset of a record in the log.
    Offset
}
number_id! {
    /// Fencing number of a lease, which is the offset of the lease's record.
    Fence
}
number_id! {
    /// Version of a published routing table; 0 means none.
    TableVersion
}
number_id! {
    /// Number that a trainer assigns to a step.
    StepNumber
}
number_id! {
    /// Number of a pull of a step; it increases with every pull of a trainer.
    PullNumber
}
number_id! {
    /// Number of a run of an instance; it increases with every restart.
    Incarnation
}
number_id! {
    /// Number of a window of usage reports, counted from the Unix epoch.
    WindowNumber
}
number_id! {
    /// Hash of a request's work, identical for repeats of the request.
    Fingerprint
}

/// Step of a trainer, unique across the fleet.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{trainer}/{number}")]
pub struct StepKey {
    /// Trainer that requests the step.
    pub trainer: CallerId,
    /// Number assigned by the trainer.
    pub number: StepNumber,
}
