//! Requests, settings and outputs of claims.

use std::time::Duration;

use compact_str::CompactString;
use wisteriaford_proto::record::Claim;
use wisteriaford_proto::record::ClaimResult;
use wisteriaford_proto::settings::LogOutagePolicy;

use crate::id::CallerId;
use crate::id::ClaimId;
use crate::id::RouteId;
use crate::refusal::Refusal;
use crate::time::Timestamp;

const UUID_LEN: usize = 36;
const MILLIS_DIGITS: usize = 13;

/// What a right to run is for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimKey {
    /// Route of the request.
    pub route: RouteId,
    /// Caller of the request.
    pub caller: CallerId,
    /// Key that the caller gave.
    pub key: CompactString,
}

impl ClaimKey {
    /// Returns when the caller made the key, in milliseconds since 1970, if the key says so: as a
    /// UUID of version 7 (RFC 9562), or as 13 digits before a `-`.
    #[must_use]
    pub fn issued_ms(&self) -> Option<u64> {
        let key = self.key.as_str();
        if key.len() == UUID_LEN && key.is_ascii() && key.as_bytes()[14] == b'7' {
            let digits = [&key[..8], &key[9..13]].concat();
            return u64::from_str_radix(&digits, 16).ok();
        }
        let (digits, _) = key.split_once('-')?;
        (digits.len() == MILLIS_DIGITS)
            .then(|| digits.parse().ok())
            .flatten()
    }
}

/// Request that asks for the right to run.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimRequest {
    /// Id for the claim, never used before.
    pub claim: ClaimId,
    /// What it is for.
    pub key: ClaimKey,
    /// Whether the caller says that it never sent the key before.
    pub first_attempt: bool,
    /// Deadline of the request.
    pub deadline: Timestamp,
    /// Time that requests of the route have, after which an open claim is not waited for.
    pub timeout: Duration,
    /// Behaviour of the route while the log cannot be reached.
    pub log_outage: LogOutagePolicy,
}

/// Settings of the claims.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimSettings {
    /// Shortest time that the log keeps a record.
    pub retention: Duration,
    /// Largest difference between the clocks of callers and of the log.
    pub clock_skew: Duration,
    /// Claims of the whole fleet that are remembered.
    pub max_claims: usize,
}

/// How a claim that won ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimEnd {
    /// The request ran and was answered.
    Answered,
    /// The request did not run, and will not.
    NotRun,
    /// The request was sent, and its result is unknown.
    Unknown,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutput {
    /// Append a claim; its answer isn't needed, since it is read back.
    AppendClaim(Claim),
    /// Append a result; its answer isn't needed, since it is read back.
    AppendResult(ClaimResult),
    /// The claim won: the request may be dispatched if `dispatch` agrees at that moment.
    Won(ClaimId),
    /// The request gets its final answer.
    Refused(ClaimId, Refusal),
}
