//! Inputs of the step logic from trainers, and its outputs.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use wisteriaford_proto::step::StepMessage;

use super::sample::FinishedSample;
use super::sample::SampleAttempt;
use super::spec::SpecError;
use super::spec::StepSpec;
use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::PoolId;
use crate::id::PullNumber;
use crate::id::StepKey;
use crate::id::Version;
use crate::index_set::IndexSet;

/// Identifies an open connection of a trainer; the driver gives each a unique number.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PullTicket(pub u64);

/// Identifies a request to score samples; numbered by [`Steps`](super::Steps).
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ScoreTicket(pub u64);

/// A trainer's pull.
#[derive(Clone, Debug)]
pub struct Pull {
    /// Connection that waits for the answer.
    pub ticket: PullTicket,
    /// Step that is pulled.
    pub key: StepKey,
    /// Pool whose endpoints generate the samples.
    pub pool: PoolId,
    /// Number of this pull, higher than that of the trainer's previous pull of this step.
    pub number: PullNumber,
    /// Samples that the trainer holds; authoritative for what was delivered.
    pub received: IndexSet,
    /// Current version of the trainer's weights.
    pub current_version: Version,
    /// Maximum time that the trainer waits for samples.
    pub wait: Duration,
    /// Spec of the step; needed only while no instance knows it.
    pub spec: Option<Arc<StepSpec>>,
}

/// Answer to a pull.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PullAnswer {
    /// Number of the pull that is answered.
    pub number: PullNumber,
    /// Samples that are not in the received set, each index once.
    pub samples: Vec<FinishedSample>,
    /// Whether the received set and these samples together make up the whole step.
    pub complete: bool,
}

/// Reason why a pull is refused.
#[derive(Clone, Copy, Debug, Display, Eq, Error, Hash, PartialEq)]
pub enum PullRefusal {
    /// A pull of this step with a higher number was seen.
    #[display("a later pull of this step was seen")]
    Superseded,
    /// No instance knows the step; the trainer has to pull again with the spec.
    #[display("the step is not known; pull again with its spec")]
    StepUnknown,
    /// The pool is not configured.
    #[display("the pool is not configured")]
    PoolUnknown,
    /// The spec is invalid.
    #[display("the spec is not valid: {_0}")]
    BadSpec(#[error(source)] SpecError),
    /// The received set contains indices outside the step.
    #[display("the received set holds indices that the step doesn't have")]
    BadReceived,
    /// The spec differs from the one that the step was started with.
    #[display("the step was started with another spec")]
    SpecChanged,
    /// Too many pulls wait at this instance, or the owner is at its limit of steps.
    #[display("too many steps or pulls are in progress")]
    Overloaded,
}

/// A sample to score.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScoreItem {
    /// Index within the step.
    pub index: u32,
    /// Prompt of the sample's group.
    pub prompt: String,
    /// Generated text.
    pub text: String,
}

/// Score of a sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Score {
    /// Index within the step.
    pub index: u32,
    /// Score in thousandths.
    pub score_milli: i64,
}

/// The scorer didn't answer, or left out samples.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the scorer failed")]
pub struct ScoreFailure;

/// An attempt that the driver has to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptStart {
    /// Attempt.
    pub attempt: SampleAttempt,
    /// Pool whose endpoints may run it.
    pub pool: PoolId,
    /// Prompt.
    pub prompt: String,
    /// Seed of the sample, the same for all its attempts.
    pub seed: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority among the trainer's attempts, higher first.
    pub rank: u32,
    /// Oldest version of the weights that may be used.
    pub oldest_version: Version,
    /// Endpoints that already run an attempt of the sample.
    pub excluded_endpoints: Vec<EndpointId>,
}

/// An action that the driver has to execute.
#[derive(Clone, Debug)]
pub enum StepOutput {
    /// Start an attempt; its end is reported by [`Steps::sample_finished`](super::Steps::sample_finished).
    Start(AttemptStart),
    /// Cancel an attempt; its end needn't be reported and is ignored.
    Cancel(SampleAttempt),
    /// Score samples; the result is reported by [`Steps::apply_scores`](super::Steps::apply_scores).
    Score {
        /// Identifies the request.
        ticket: ScoreTicket,
        /// Pool whose scorer is used.
        pool: PoolId,
        /// Samples to score.
        samples: Vec<ScoreItem>,
    },
    /// Answer a trainer and release its connection.
    Answer {
        /// Connection.
        ticket: PullTicket,
        /// Answer.
        answer: PullAnswer,
    },
    /// Refuse a trainer's pull and release its connection.
    Refuse {
        /// Connection.
        ticket: PullTicket,
        /// Reason.
        reason: PullRefusal,
    },
    /// Send a message to another instance; it may be lost.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: StepMessage,
    },
}

/// Counters of the step logic.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepCounters {
    /// Samples delivered in answers.
    pub delivered: u64,
    /// Attempts started.
    pub started: u64,
    /// Hedges among the started attempts.
    pub hedges: u64,
    /// Attempts cancelled.
    pub cancelled: u64,
    /// Attempts that were granted no slot; they are retried.
    pub attempts_refused: u64,
    /// Attempts whose stream was lost; they are retried.
    pub attempts_lost: u64,
    /// Attempts whose stream ended early; they are retried.
    pub attempts_incomplete: u64,
    /// Samples discarded because a token has no version or the index is wrong.
    pub unlabelled: u64,
    /// Samples discarded because their weights were too old; they are generated again.
    pub too_old: u64,
    /// Samples in an owner's answer that the ingress didn't deliver.
    pub withheld: u64,
    /// Score requests that failed, timed out or left out samples.
    pub score_failures: u64,
    /// Pulls refused as superseded.
    pub superseded: u64,
    /// Times that an ingress considered an owner failed.
    pub unresponsive_owners: u64,
    /// Samples recovered from a replica or a previous owner.
    pub recovered: u64,
    /// Steps dropped because they were not pulled.
    pub expired_steps: u64,
}
