//! A request in progress at the instance that took it in.

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
use crate::routing::Choice;
use crate::step::SampleAttempt;
use crate::time::Timestamp;
use crate::work::Request;
use crate::work::Work;

/// Who waits for the answer of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller(Ticket),
    /// A training step that this instance produces.
    Sample(SampleAttempt),
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Active {
    /// What was asked for.
    pub request: Request,
    /// Who waits for the answer.
    pub origin: Origin,
    /// Urgency.
    pub priority: Priority,
    /// Order within the caller's own work, higher first.
    pub rank: u32,
    /// Oldest version that may run it, or 0.
    pub oldest_version: Version,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Hash of what is asked for.
    pub fingerprint: Fingerprint,
    /// When it was taken in.
    pub accepted_at: Timestamp,
    /// What it waits for.
    pub phase: Phase,
    /// Tokens received so far.
    pub partial: Partial,
    /// Endpoints that are not to be asked.
    pub avoid: Vec<EndpointId>,
    /// Endpoint that is asked as well if the first grants no slot soon, and when.
    pub second: Option<(Timestamp, Choice)>,
    /// Attempts that failed.
    pub failures: u32,
    /// Whether an endpoint may have run a part of it.
    pub may_have_run: bool,
    /// Whether it may only run alone, as a suspect of a crash.
    pub alone: bool,
}

/// What a request in progress waits for.
#[derive(Clone, Debug)]
pub enum Phase {
    /// For one of the stewards asked to grant a slot.
    Asking(Vec<Ask>),
    /// For the log to say who may run it.
    Claiming(Running),
    /// For the endpoint.
    Running(Running),
    /// For the time of the next attempt.
    BackingOff(Timestamp),
}

/// Slot that was asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Attempt that the slot is for.
    pub attempt: AttemptId,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Steward that was asked.
    pub steward: InstanceId,
    /// When it was asked last.
    pub asked_at: Timestamp,
}

/// Attempt at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// Attempt.
    pub attempt: AttemptId,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: CompactString,
    /// When something last came from it.
    pub progress_at: Timestamp,
    /// Tokens that came from it.
    pub tokens: u32,
    /// Whether an endpoint may have run a part of the request before this attempt.
    pub ran_before: bool,
}

/// Tokens of an answer, as far as they have come.
#[derive(Clone, Debug, Default)]
pub struct Partial {
    /// Text.
    pub text: String,
    /// Versions that made it.
    pub label: Label,
}

impl Partial {
    /// Returns how many tokens have come.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.label.tokens()
    }

    /// Adds tokens that follow those which have come; tokens that came before are dropped.
    ///
    /// Returns whether they were added.
    ///
    /// # Errors
    ///
    /// Fails if tokens are missing in between, or if they overlap in part.
    pub fn add(&mut self, span: Span, text: &str) -> Result<bool, LabelError> {
        if span.to_token <= self.tokens() {
            return Ok(false);
        }
        self.label.append(span)?;
        self.text.push_str(text);
        Ok(true)
    }

    /// Returns the versions in the form of the messages.
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

impl Active {
    /// Returns the attempt at an endpoint, if there is one.
    #[must_use]
    pub fn running(&self) -> Option<&Running> {
        match &self.phase {
            Phase::Running(running) => Some(running),
            Phase::Asking(_) | Phase::Claiming(_) | Phase::BackingOff(_) => None,
        }
    }

    /// Returns what a refusal says if this request was never sent.
    #[must_use]
    pub fn unsent_outcome(&self) -> Outcome {
        unsent_outcome(&self.request.work, self.idempotent)
    }

    /// Returns the attempt that holds a slot, whether it was sent or not.
    #[must_use]
    pub fn holding(&self) -> Option<&Running> {
        match &self.phase {
            Phase::Claiming(running) | Phase::Running(running) => Some(running),
            Phase::Asking(_) | Phase::BackingOff(_) => None,
        }
    }
}

/// Returns what a refusal says of a request that was never sent.
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
