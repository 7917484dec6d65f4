//! Decisions about recent requests, to explain what became of them.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;
use indexmap::IndexMap;

use crate::event::AttemptFailure;
use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::RequestId;
use crate::id::Version;
use crate::refusal::Refusal;
use crate::refusal::RetryReason;
use crate::routing::ChoiceReason;
use crate::time::Timestamp;

/// Requests that are remembered.
pub const MAX_REQUESTS: usize = 4_096;
/// Decisions that are remembered of one request.
pub const MAX_DECISIONS: usize = 32;

/// One decision about a request.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Decision {
    /// It was taken in.
    #[display("accepted")]
    Accepted,
    /// Slots were asked for.
    #[display("asked {steward} for a slot of {endpoint}: {reason}")]
    Asked {
        /// Endpoint.
        endpoint: EndpointId,
        /// Steward of the endpoint.
        steward: InstanceId,
        /// Why this endpoint was chosen.
        reason: ChoiceReason,
    },
    /// A slot was refused.
    #[display("slot of {endpoint} refused: {refusal}")]
    SlotRefused {
        /// Endpoint.
        endpoint: EndpointId,
        /// Why.
        refusal: Refusal,
    },
    /// A slot was granted.
    #[display("slot of {endpoint} granted after {} ms", waited.as_millis())]
    Granted {
        /// Endpoint.
        endpoint: EndpointId,
        /// Time since the request was taken in.
        waited: Duration,
    },
    /// A claim was appended to the log.
    #[display("claimed the right to run in the log")]
    Claimed,
    /// It was sent to an endpoint.
    #[display("sent to {endpoint} from token {from_token}")]
    Sent {
        /// Endpoint.
        endpoint: EndpointId,
        /// First token asked for.
        from_token: u32,
    },
    /// The version of the weights changed under it.
    #[display("weights changed to version {version} at token {at_token}")]
    VersionChanged {
        /// Token from which the new version made it.
        at_token: u32,
        /// New version.
        version: Version,
    },
    /// An attempt failed.
    #[display("attempt at {endpoint} failed: {failure:?}")]
    AttemptFailed {
        /// Endpoint.
        endpoint: EndpointId,
        /// Why.
        failure: AttemptFailure,
    },
    /// Another attempt follows.
    #[display("retry in {} ms: {reason}", delay.as_millis())]
    Retried {
        /// Why.
        reason: RetryReason,
        /// Time until the attempt.
        delay: Duration,
    },
    /// It was answered whole.
    #[display("answered whole by {endpoint}")]
    Answered {
        /// Endpoint that finished it.
        endpoint: EndpointId,
    },
    /// It was refused.
    #[display("refused: {_0}")]
    Refused(Refusal),
    /// Its caller went away, or another attempt was faster.
    #[display("cancelled")]
    Cancelled,
}

impl Decision {
    /// Returns the stable name of the kind.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Asked { .. } => "asked",
            Self::SlotRefused { .. } => "slot_refused",
            Self::Granted { .. } => "granted",
            Self::Claimed => "claimed",
            Self::Sent { .. } => "sent",
            Self::VersionChanged { .. } => "version_changed",
            Self::AttemptFailed { .. } => "attempt_failed",
            Self::Retried { .. } => "retried",
            Self::Answered { .. } => "answered",
            Self::Refused(_) => "refused",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Ring of the decisions about the last requests.
#[derive(Debug, Default)]
pub struct Explanations {
    requests: IndexMap<RequestId, Vec<(Timestamp, Decision)>>,
    order: VecDeque<RequestId>,
}

impl Explanations {
    /// Adds a decision; the request remembered longest is forgotten when there are too many.
    pub fn add(&mut self, now: Timestamp, request: &RequestId, decision: Decision) {
        if let Some(decisions) = self.requests.get_mut(request) {
            if decisions.len() < MAX_DECISIONS {
                decisions.push((now, decision));
            }
            return;
        }
        if self.order.len() >= MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.requests.swap_remove(&oldest);
        }
        self.order.push_back(request.clone());
        self.requests.insert(request.clone(), vec![(now, decision)]);
    }

    /// Returns the decisions about a request, oldest first.
    #[must_use]
    pub fn of(&self, request: &RequestId) -> Option<&[(Timestamp, Decision)]> {
        self.requests.get(request).map(Vec::as_slice)
    }
}
