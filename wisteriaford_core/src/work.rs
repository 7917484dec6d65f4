//! Requests of callers and the work that they ask for.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use crate::hash::hash_parts;
use crate::id::CallerId;
use crate::id::Fingerprint;
use crate::id::PoolId;
use crate::id::RequestId;
use crate::id::RouteId;
use crate::time::Timestamp;

/// Length of the prompt prefix used for prefix affinity, in bytes.
pub const PREFIX_LEN_BYTES: usize = 64;

/// Work to be done by an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Generate tokens with a model.
    Generate(Generation),
    /// Call a plain service, which answers with a single body.
    Call(Call),
}

/// Parameters of a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Generation {
    /// Prompt to continue.
    pub prompt: Arc<str>,
    /// Sampling seed; the same seed and prompt produce the same answer.
    pub seed: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// Call to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Route that the call was received on.
    pub route: RouteId,
    /// Body, as sent by the caller; its owner may free the memory when the last copy is dropped.
    pub body: Bytes,
    /// Content type, as sent by the caller.
    pub content_type: CompactString,
    /// Idempotency key, which identifies repeats of the call.
    pub key: Option<CompactString>,
    /// Whether the caller states that it has not sent this call before.
    pub first_attempt: bool,
}

/// Request as received from a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Unique identifier.
    pub id: RequestId,
    /// Caller that sent the request.
    pub caller: CallerId,
    /// Pool that serves the request; for a call, the pool of its route.
    pub pool: PoolId,
    /// Work to be done.
    pub work: Work,
    /// Time by which the request must be answered; later answers are of no use.
    pub deadline: Timestamp,
}

impl Work {
    /// Returns a hash of the work that identifies repeats, regardless of the caller.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Generate(generation) => {
                Fingerprint(hash_parts(&[b"generate", generation.prompt.as_bytes()]))
            }
            Self::Call(call) => {
                let route = call.route.as_str().as_bytes();
                Fingerprint(hash_parts(&[b"call", route, &call.body]))
            }
        }
    }

    /// Returns a hash of the start of the prompt, for prefix affinity; `None` for calls.
    #[must_use]
    pub fn prefix_hash(&self) -> Option<u64> {
        match self {
            Self::Generate(generation) => {
                let bytes = generation.prompt.as_bytes();
                let prefix = &bytes[..bytes.len().min(PREFIX_LEN_BYTES)];
                Some(xxh3_64(prefix))
            }
            Self::Call(_) => None,
        }
    }

    /// Returns the idempotency key, if the caller provided one.
    #[must_use]
    pub fn key(&self) -> Option<&CompactString> {
        match self {
            Self::Generate(_) => None,
            Self::Call(call) => call.key.as_ref(),
        }
    }

    /// Returns the maximum number of tokens that the work is expected to use.
    #[must_use]
    pub fn expected_tokens(&self) -> u32 {
        match self {
            Self::Generate(generation) => generation.max_tokens,
            Self::Call(_) => 1,
        }
    }
}
