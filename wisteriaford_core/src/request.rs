//! Requests in progress at their ingress instance.

use compact_str::CompactString;
use wisteriaford_proto::settings::Priority;
use wisteriaford_proto::step::VersionSpan;

use crate::claim;
use crate::event::Ticket;
use crate::id::AttemptId;
use crate::id::EndpointId;
use crate::id::Fingerprint;
use crate::id::InstanceId;
use crate::id::Version;
use crate::label::Label;
use crate::label::LabelError;
use crate::label::Span;
use crate::refusal::Outcome;
use crate::routing::EndpointChoice;
use crate::step::SampleAttempt;
use crate::time::Timestamp;
use crate::work::Request;
use crate::work::Work;

/// Receiver of a request's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller(Ticket),
    /// A sample of a training step that this instance produces.
    Sample(SampleAttempt),
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// Request as accepted.
    pub request: Request,
    /// Receiver of the answer.
    pub origin: Origin,
    /// Priority of the request.
    pub priority: Priority,
    /// Order among the caller's own requests; higher ranks run first.
    pub rank: u32,
    /// Oldest version of the weights that may run the request; 0 allows any.
    pub oldest_version: Version,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Hash of the requested work.
    pub fingerprint: Fingerprint,
    /// Time at which the request was accepted.
    pub accepted_at: Timestamp,
    /// Current phase.
    pub phase: Phase,
    /// Tokens received so far.
    pub partial: PartialAnswer,
    /// Endpoints from which no slot is requested.
    pub excluded_endpoints: Vec<EndpointId>,
    /// Second choice, and the time at which a slot is requested from it too if none was granted.
    pub second_choice: Option<(Timestamp, EndpointChoice)>,
    /// Number of failed attempts.
    pub failures: u32,
    /// Whether an endpoint may have run the request, at least in part.
    pub may_have_run: bool,
    /// Whether the request must run alone on its endpoint, as it is suspected of a crash.
    pub alone: bool,
}

/// What a request in progress waits for.
#[derive(Clone, Debug)]
pub enum Phase {
    /// Waits until a coordinator grants one of the requested slots.
    RequestingSlot(Vec<PendingSlot>),
    /// Holds a slot and waits until the log decides who may run the request.
    Claiming(RunningAttempt),
    /// Waits for the answer of the endpoint.
    Running(RunningAttempt),
    /// Waits until the time of the next attempt.
    BackingOff(Timestamp),
}

/// Slot that was requested and not yet granted.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingSlot {
    /// Attempt that the slot is for.
    pub attempt: AttemptId,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Coordinator from which the slot was requested.
    pub coordinator: InstanceId,
    /// Time of the last slot request.
    pub requested_at: Timestamp,
}

/// Attempt at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningAttempt {
    /// Attempt.
    pub attempt: AttemptId,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: CompactString,
    /// Time at which the endpoint last made progress.
    pub progress_at: Timestamp,
    /// Number of tokens received from this attempt.
    pub tokens: u32,
    /// Whether an endpoint may have run a part of the request before this attempt.
    pub ran_before: bool,
}

/// Tokens of an answer received so far.
#[derive(Clone, Debug, Default)]
pub struct PartialAnswer {
    /// Text of the tokens.
    pub text: String,
    /// Versions of the weights that generated the tokens.
    pub label: Label,
}

impl PartialAnswer {
    /// Returns the number of tokens received.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.label.tokens()
    }

    /// Appends tokens that follow those received; tokens that were all received before are dropped.
    ///
    /// Returns whether they were added.
    ///
    /// # Errors
    ///
    /// Fails if tokens are missing in between, or if they partly overlap those received.
    pub fn add(&mut self, span: Span, text: &str) -> Result<bool, LabelError> {
        if span.to_token <= self.tokens() {
            return Ok(false);
        }
        self.label.append(span)?;
        self.text.push_str(text);
        Ok(true)
    }

    /// Returns the versions as protocol messages.
    #[must_use]
    pub fn spans(&self) -> Vec<VersionSpan> {
        let spans = self.label.spans().iter();
        spans
            .map(|span| VersionSpan {
                from_token: span.from_token,
                to_token: span.to_token,
                version: span.version.0,
            })
            .collect()
    }
}

impl ActiveRequest {
    /// Returns the attempt that was sent to an endpoint, if there is one.
    #[must_use]
    pub fn running(&self) -> Option<&RunningAttempt> {
        match &self.phase {
            Phase::Running(running) => Some(running),
            Phase::RequestingSlot(_) | Phase::Claiming(_) | Phase::BackingOff(_) => None,
        }
    }

    /// Returns the outcome stated by a refusal if this request was never sent.
    #[must_use]
    pub fn unsent_outcome(&self) -> Outcome {
        unsent_outcome(&self.request.work, self.idempotent)
    }

    /// Returns the attempt that holds a slot, if there is one, whether it was sent or not.
    #[must_use]
    pub fn attempt_with_slot(&self) -> Option<&RunningAttempt> {
        match &self.phase {
            Phase::Claiming(running) | Phase::Running(running) => Some(running),
            Phase::RequestingSlot(_) | Phase::BackingOff(_) => None,
        }
    }
}

/// Returns the outcome stated by a refusal of a request that was never sent.
///
/// An earlier request with the same key may have run, so only one that its caller marked as the
/// first attempt is proven not to have run.
#[must_use]
pub fn unsent_outcome(work: &Work, idempotent: bool) -> Outcome {
    match work {
        Work::Call(call) if call.key.is_some() && !idempotent => {
            claim::unsent_outcome(call.first_attempt)
        }
        Work::Call(_) | Work::Generate(_) => Outcome::NotRun,
    }
}
