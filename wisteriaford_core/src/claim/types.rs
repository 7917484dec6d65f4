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

/// Key under which at most one request may run.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimKey {
    /// Route of the request.
    pub route: RouteId,
    /// Caller of the request.
    pub caller: CallerId,
    /// Idempotency key that the caller sent.
    pub key: CompactString,
}

impl ClaimKey {
    /// Returns the time at which the caller created the key, in milliseconds since 1970, if the key
    /// contains it: as a UUID of version 7 (RFC 9562), or as 13 digits before a `-`.
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

/// Request for the right to run.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimRequest {
    /// Id of the claim, never used before.
    pub claim: ClaimId,
    /// Key that is claimed.
    pub key: ClaimKey,
    /// Whether the caller marked the request as the first one with its key.
    pub first_attempt: bool,
    /// Deadline of the request.
    pub deadline: Timestamp,
    /// Timeout of requests of the route, after which an open claim is no longer waited for.
    pub timeout: Duration,
    /// Policy of the route while the log cannot be reached.
    pub log_outage: LogOutagePolicy,
}

/// Settings of the claims.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimSettings {
    /// Minimum time for which the log keeps a record.
    pub retention: Duration,
    /// Maximum difference between the clocks of callers and of the log.
    pub clock_skew: Duration,
    /// Maximum number of claims of all instances that are retained.
    pub max_claims: usize,
}

/// Result of the request of a winning claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimEnd {
    /// The request ran and was answered.
    Answered,
    /// The request did not run and never will.
    NotRun,
    /// The request was sent, and its result is unknown.
    Unknown,
}

/// Action for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutput {
    /// Append a claim. The result of the append is not needed, since the claim is read back.
    AppendClaim(Claim),
    /// Append a result of a claim. The result of the append is not needed, since the record is read
    /// back.
    AppendResult(ClaimResult),
    /// The claim won; its request may be sent if [`Claims::dispatch`] returns true at that time.
    ///
    /// [`Claims::dispatch`]: super::Claims::dispatch
    Won(ClaimId),
    /// The request is refused; this is its final answer.
    Refused(ClaimId, Refusal),
}
