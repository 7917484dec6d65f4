//! Calls to the platform's API that one instance makes for the whole fleet.
//!
//! Only the leader calls, while it may give orders: its lease is valid, and the previous leader has
//! stopped for long enough. The fencing number of its term goes with each call. Each [`Duty`] says
//! which calls are due; [`DutyDispatcher`] paces them, backs off, and makes no call with a fencing
//! number that was refused.

use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use indexmap::IndexMap;

use crate::gateway::request_rate::RequestRate;
use crate::gateway::scaling::ScaleOrder;
use crate::gateway::usage::UsageReport;
use crate::id::Fence;
use crate::time::Timestamp;

/// Share of the permitted rate that is used, in percent: the limit counts the arrivals of calls, which
/// the network may bunch.
const USED_RATE_PERCENT: u64 = 80;
/// Time without calls after a refusal or failure; it doubles with each one in a row.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum time without calls after failures; reports are due 10 s after their window.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of calls whose answers are awaited, so that a slow API doesn't delay the others.
const MAX_IN_FLIGHT: usize = 8;

/// Kind of a duty.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum DutyKind {
    /// Reports of the organisations' requests.
    #[display("usage")]
    Usage,
    /// Orders of engines.
    #[display("scaling")]
    Scaling,
}

/// Content of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyContent {
    /// Report of a window.
    Usage(UsageReport),
    /// Order of engines.
    Scaling(ScaleOrder),
}

impl DutyContent {
    /// Returns the duty that the call belongs to.
    #[must_use]
    pub fn kind(&self) -> DutyKind {
        match self {
            Self::Usage(_) => DutyKind::Usage,
            Self::Scaling(_) => DutyKind::Scaling,
        }
    }

    /// Returns what the call is about, within its duty; fencing numbers are compared by subject.
    #[must_use]
    pub fn subject(&self) -> CompactString {
        match self {
            // All windows are one subject.
            Self::Usage(_) => CompactString::default(),
            Self::Scaling(order) => order.subject(),
        }
    }

    /// Returns whether a conflict means that what was requested isn't available now.
    ///
    /// The platform answers a stale token in the same way. But only a later term has a higher token, and
    /// an instance whose term has been replaced has no right to call.
    fn may_be_unavailable(&self) -> bool {
        matches!(self, Self::Scaling(order) if order.is_spot)
    }
}

/// Call that a duty wants to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueCall {
    /// Content.
    pub content: DutyContent,
    /// Time for which the answer is awaited.
    pub timeout: Duration,
}

/// Call to the platform's API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyCall {
    /// Content.
    pub content: DutyContent,
    /// Time for which the answer is awaited.
    pub timeout: Duration,
    /// Fencing number of the leader's term.
    pub fence: Fence,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DutyOutcome {
    /// The call was executed.
    Accepted,
    /// A call with a higher fencing number came before, or what was requested isn't available.
    Conflict,
    /// There were too many calls.
    Limited {
        /// Time to wait, if the answer names one.
        retry_after: Option<Duration>,
    },
    /// The API refused the call for another reason.
    Refused,
    /// The API was not reached; nothing was sent.
    Unreachable,
    /// The call may have been executed, or may be later.
    Unknown,
}

impl DutyOutcome {
    /// Returns a stable name, for metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Conflict => "conflict",
            Self::Limited { .. } => "limited",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Unknown => "unknown",
        }
    }
}

/// Duty that the leader performs.
pub trait Duty: Send {
    /// Returns the kind.
    fn kind(&self) -> DutyKind;

    /// Returns the next call that is due, which is then in progress until its outcome is known.
    ///
    /// No call may be about a subject that is fenced off.
    fn next_call(
        &mut self,
        now: Timestamp,
        is_fenced_off: &dyn Fn(&str) -> bool,
    ) -> Option<DueCall>;

    /// Handles the outcome of a call.
    fn on_outcome(&mut self, now: Timestamp, content: &DutyContent, outcome: DutyOutcome);
}

/// Decides when the calls of all duties are made.
#[derive(Clone, Debug)]
pub struct DutyDispatcher {
    rate: RequestRate,
    /// Time before which no call is made.
    next_call: Timestamp,
    backoff: Duration,
    in_flight: usize,
    /// Highest fencing number that was refused, by duty and subject.
    refused: IndexMap<(DutyKind, CompactString), Fence>,
}

impl DutyDispatcher {
    /// Creates a dispatcher that keeps to a rate of calls of all instances together.
    #[must_use]
    pub fn new(rate: RequestRate) -> Self {
        Self {
            rate: rate.percent(USED_RATE_PERCENT),
            next_call: Timestamp::default(),
            backoff: Duration::ZERO,
            in_flight: 0,
            refused: IndexMap::new(),
        }
    }

    /// Returns the next call, if this instance may give orders with a fencing number.
    ///
    /// The caller must report its outcome.
    pub fn next_call(
        &mut self,
        now: Timestamp,
        fence: Option<Fence>,
        duty: &mut dyn Duty,
    ) -> Option<DutyCall> {
        let fence = fence?;
        if now < self.next_call || self.in_flight >= MAX_IN_FLIGHT {
            return None;
        }
        let kind = duty.kind();
        let refused = &self.refused;
        let is_fenced_off = |subject: &str| {
            let refused = refused.get(&(kind, CompactString::from(subject)));
            refused.is_some_and(|refused| *refused >= fence)
        };
        let due = duty.next_call(now, &is_fenced_off)?;
        self.next_call = now + self.rate.time_for(1.0);
        self.in_flight += 1;
        Some(DutyCall {
            content: due.content,
            timeout: due.timeout,
            fence,
        })
    }

    /// Handles the outcome of a call, and passes it on to its duty if this instance still performs it.
    pub fn on_outcome(
        &mut self,
        now: Timestamp,
        call: &DutyCall,
        outcome: DutyOutcome,
        duty: Option<&mut dyn Duty>,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let pause = match outcome {
            DutyOutcome::Accepted | DutyOutcome::Refused => {
                self.backoff = Duration::ZERO;
                Duration::ZERO
            }
            DutyOutcome::Conflict if call.content.may_be_unavailable() => Duration::ZERO,
            DutyOutcome::Conflict => {
                let key = (call.content.kind(), call.content.subject());
                let refused = self.refused.entry(key).or_default();
                *refused = call.fence.max(*refused);
                self.backoff = Duration::ZERO;
                Duration::ZERO
            }
            DutyOutcome::Limited { retry_after } => {
                self.back_off().max(retry_after.unwrap_or_default())
            }
            DutyOutcome::Unreachable | DutyOutcome::Unknown => self.back_off(),
        };
        self.next_call = self.next_call.max(now + pause);
        if let Some(duty) = duty {
            duty.on_outcome(now, &call.content, outcome);
        }
    }

    fn back_off(&mut self) -> Duration {
        self.backoff = (self.backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
        self.backoff
    }
}
