//! Settings, asks and outputs of a slot queue.

use std::time::Duration;

use wisteriaford_proto::admission::SlotRefusalReason;
use wisteriaford_proto::settings::Priority;

use crate::id::AttemptId;
use crate::id::CallerId;
use crate::id::InstanceId;
use crate::id::Version;
use crate::refusal::RefusalReason;
use crate::time::Timestamp;

/// Heartbeats that may be missed before a grant ends.
pub const TTL_HEARTBEATS: u32 = 3;
/// How long after an interactive ask one slot stays free of batch work.
pub const RESERVE_WINDOW: Duration = Duration::from_secs(30);

/// Settings of the queue of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Requests that the endpoint runs at once.
    pub slots: usize,
    /// Part of the slots that interactive callers may fill while batch work waits, in percent.
    pub interactive_cap_percent: u32,
    /// Asks that may wait.
    pub queue_limit: usize,
    /// Interval of the entries' heartbeats.
    pub heartbeat_interval: Duration,
}

impl QueueSettings {
    /// Returns the slots that interactive callers may fill while batch work waits.
    #[must_use]
    pub fn interactive_cap(&self) -> usize {
        let percent = self.interactive_cap_percent as usize;
        (self.slots * percent).div_ceil(100)
    }

    /// Returns how long a new steward waits for heartbeats: one interval, and half of one for
    /// those that are late.
    #[must_use]
    pub fn rebuild_time(&self) -> Duration {
        self.heartbeat_interval * 3 / 2
    }

    /// Returns how long a grant lasts without a heartbeat.
    #[must_use]
    pub fn ttl(&self) -> Duration {
        self.heartbeat_interval * TTL_HEARTBEATS
    }
}

/// Ask for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotAsk {
    /// Attempt that the slot is for.
    pub attempt: AttemptId,
    /// Instance that asks.
    pub from: InstanceId,
    /// Caller that the slot is accounted to.
    pub caller: CallerId,
    /// Urgency.
    pub priority: Priority,
    /// Tokens that the attempt is expected to take.
    pub expected_tokens: u32,
    /// Order within the caller's own work, higher first.
    pub rank: u32,
    /// When the ask is of no more use.
    pub deadline: Timestamp,
    /// Oldest version that may run it, or 0.
    pub oldest_version: Version,
    /// Whether it may only run alone, as a suspect of a crash.
    pub alone: bool,
}

/// Why a slot is denied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotDenial {
    /// Why.
    pub reason: RefusalReason,
    /// When to ask again, if that can help.
    pub retry_after: Option<Duration>,
}

/// Grant that an instance holds, as its heartbeat names it.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldGrant {
    /// Attempt.
    pub attempt: AttemptId,
    /// Caller that the slot is accounted to.
    pub caller: CallerId,
    /// Urgency.
    pub priority: Priority,
    /// Whether it runs alone, as a suspect of a crash.
    pub alone: bool,
}

/// What the steward is to send.
#[derive(Clone, Debug, PartialEq)]
pub enum QueueOutput {
    /// Gives a slot.
    Grant {
        /// Attempt that asked.
        attempt: AttemptId,
        /// Instance that asked.
        to: InstanceId,
        /// How long it lasts without a heartbeat.
        ttl: Duration,
        /// Version that the endpoint last reported.
        version: Version,
    },
    /// Denies a slot to an ask that was waiting.
    Deny {
        /// Attempt that asked.
        attempt: AttemptId,
        /// Instance that asked.
        to: InstanceId,
        /// Why, and when to come back.
        denial: SlotDenial,
    },
}

/// Reason as it is sent; what a queue never says is sent as if it were not the steward.
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
            SlotRefusalReason::NotSteward => Self::NotSteward,
            SlotRefusalReason::QueueFull => Self::QueueFull,
            SlotRefusalReason::EndpointLeaving => Self::EndpointLeaving,
            SlotRefusalReason::EndpointDown => Self::EndpointDown,
            SlotRefusalReason::EndpointStale => Self::EndpointStale,
            SlotRefusalReason::Deadline => Self::Deadline,
            SlotRefusalReason::CallerLimit => Self::CallerInFlightLimit,
        }
    }
}
