//! Settings, requests and outputs of a slot queue.

use std::time::Duration;

use wisteriaford_proto::admission::SlotRefusalReason;
use wisteriaford_proto::settings::Priority;

use crate::id::AttemptId;
use crate::id::CallerId;
use crate::id::InstanceId;
use crate::id::Version;
use crate::refusal::RefusalReason;
use crate::time::Timestamp;

/// Heartbeat intervals without a renewal after which a grant expires.
pub const TTL_HEARTBEATS: u32 = 3;
/// How long one slot stays reserved for interactive callers after their last request.
pub const RESERVE_WINDOW: Duration = Duration::from_secs(30);

/// Settings of an endpoint's slot queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Requests that the endpoint may run concurrently.
    pub slots: usize,
    /// Percentage of the slots that interactive callers may use while batch requests wait.
    pub interactive_cap_percent: u32,
    /// Maximum number of waiting requests.
    pub queue_limit: usize,
    /// Interval between the heartbeats of an ingress instance.
    pub heartbeat_interval: Duration,
}

impl QueueSettings {
    /// Returns the number of slots that interactive callers may use while batch requests wait.
    #[must_use]
    pub fn interactive_cap(&self) -> usize {
        let percent = self.interactive_cap_percent as usize;
        (self.slots * percent).div_ceil(100)
    }

    /// Returns how long a new coordinator waits for heartbeats before it grants slots: one
    /// interval, plus half an interval for late ones.
    #[must_use]
    pub fn rebuild_time(&self) -> Duration {
        self.heartbeat_interval * 3 / 2
    }

    /// Returns how long a grant stays valid without a heartbeat.
    #[must_use]
    pub fn ttl(&self) -> Duration {
        self.heartbeat_interval * TTL_HEARTBEATS
    }
}

/// Request for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedSlotRequest {
    /// Attempt that the slot is for.
    pub attempt: AttemptId,
    /// Instance that requests the slot.
    pub from: InstanceId,
    /// Caller that is charged for the slot.
    pub caller: CallerId,
    /// Priority class.
    pub priority: Priority,
    /// Expected number of tokens that the attempt uses.
    pub expected_tokens: u32,
    /// Rank among the requests of the same caller; higher goes first.
    pub rank: u32,
    /// Time after which the request is denied.
    pub deadline: Timestamp,
    /// Oldest model version that may run the attempt, or 0 for any.
    pub oldest_version: Version,
    /// Whether the attempt needs the endpoint to itself because it is suspected of causing a
    /// crash.
    pub alone: bool,
}

/// Denial of a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotDenial {
    /// Reason for the denial.
    pub reason: RefusalReason,
    /// Delay before a retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
}

/// Grant that an instance holds, as reported in its heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldGrant {
    /// Attempt that uses the slot.
    pub attempt: AttemptId,
    /// Caller that is charged for the slot.
    pub caller: CallerId,
    /// Priority class.
    pub priority: Priority,
    /// Whether the attempt has the endpoint to itself because it is suspected of causing a crash.
    pub alone: bool,
}

/// Message that the coordinator has to send.
#[derive(Clone, Debug, PartialEq)]
pub enum QueueOutput {
    /// Grants a slot.
    Grant {
        /// Attempt that the slot is for.
        attempt: AttemptId,
        /// Instance that requested the slot.
        to: InstanceId,
        /// How long the grant stays valid without a heartbeat.
        ttl: Duration,
        /// Model version that the endpoint last reported.
        version: Version,
    },
    /// Denies a request that was waiting.
    Deny {
        /// Attempt that the slot was for.
        attempt: AttemptId,
        /// Instance that requested the slot.
        to: InstanceId,
        /// Reason, and delay before a retry.
        denial: SlotDenial,
    },
}

/// Converts to the wire format; reasons that a slot queue never returns become `NotSteward`.
impl From<RefusalReason> for SlotRefusalReason {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::QueueFull => Self::QueueFull,
            RefusalReason::EndpointLeaving => Self::EndpointLeaving,
            RefusalReason::EndpointDown => Self::EndpointDown,
            RefusalReason::EndpointStale => Self::EndpointStale,
            RefusalReason::Deadline => Self::Deadline,
            RefusalReason::CallerInFlightLimit => Self::CallerLimit,
            _ => Self::NotSteward,
        }
    }
}

impl From<SlotRefusalReason> for RefusalReason {
    fn from(reason: SlotRefusalReason) -> Self {
        match reason {
            SlotRefusalReason::NotSteward => Self::NotCoordinator,
            SlotRefusalReason::QueueFull => Self::QueueFull,
            SlotRefusalReason::EndpointLeaving => Self::EndpointLeaving,
            SlotRefusalReason::EndpointDown => Self::EndpointDown,
            SlotRefusalReason::EndpointStale => Self::EndpointStale,
            SlotRefusalReason::Deadline => Self::Deadline,
            SlotRefusalReason::CallerLimit => Self::CallerInFlightLimit,
        }
    }
}
