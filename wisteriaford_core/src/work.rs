//! Work that a caller asks for.

use std::sync::Arc;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use crate::hash::hash_parts;
use crate::id::CallerId;
use crate::id::Fingerprint;
use crate::id::PoolId;
use crate::id::RequestId;
use crate::id::RouteId;
use crate::time::Timestamp;

/// Length of the part of a prompt that prefix affinity looks at, in bytes.
pub const PREFIX_LEN_BYTES: usize = 64;

/// What an endpoint is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Generate tokens.
    Generate(Generation),
    /// Answer a call with one body.
    Call(Call),
}

/// Tokens to generate.
#[derive(Clone, Debug, PartialEq)]
pub struct Generation {
    /// Prompt.
    pub prompt: Arc<str>,
    /// Seed of the sampling; the same seed and prompt give the same answer.
    pub seed: u64,
    /// Longest answer.
    pub max_tokens: u32,
}

/// Call to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Route that it came by.
    pub route: RouteId,
    /// Body as the caller sent it.
    pub body: Arc<[u8]>,
    /// Content type as the caller sent it.
    pub content_type: CompactString,
    /// Key that makes a repeat of the call recognisable.
    pub key: Option<CompactString>,
    /// Whether the caller says that it never sent this call before.
    pub first_attempt: bool,
}

/// Request of a caller, as it arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Unique id.
    pub id: RequestId,
    /// Caller.
    pub caller: CallerId,
    /// Pool that serves it; for a call, the pool of its route.
    pub pool: PoolId,
    /// What is to be done.
    pub work: Work,
    /// Point after which an answer is of no use.
    pub deadline: Timestamp,
}

impl Work {
    /// Hashes what is asked for, so that a repeat is recognised whoever sends it.
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

    /// Hashes the beginning of a prompt, for prefix affinity; none for calls.
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

    /// Returns the key that makes a repeat recognisable, if the caller gave one.
    #[must_use]
    pub fn key(&self) -> Option<&CompactString> {
        match self {
            Self::Generate(_) => None,
            Self::Call(call) => call.key.as_ref(),
        }
    }

    /// Returns the tokens that the work is expected to take at most.
    #[must_use]
    pub fn expected_tokens(&self) -> u32 {
        match self {
            Self::Generate(generation) => generation.max_tokens,
            Self::Call(_) => 1,
        }
    }
}
