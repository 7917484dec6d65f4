//! What goes into the step logic from trainers, and what comes out of it.

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

/// Open connection of a trainer; the driver gives each a number of its own.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PullTicket(pub u64);

/// Request to score samples; numbered by [`Steps`](super::Steps).
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ScoreTicket(pub u64);

/// A trainer's pull.
#[derive(Clone, Debug)]
pub struct Pull {
    /// Connection that waits for the answer.
    pub ticket: PullTicket,
    /// Step.
    pub key: StepKey,
    /// Pool that the samples come from.
    pub pool: PoolId,
    /// Number of this pull; higher than that of the trainer's pull of this step before.
    pub number: PullNumber,
    /// Samples that the trainer holds: the truth about what was delivered.
    pub received: IndexSet,
    /// Version that the trainer is at.
    pub current_version: Version,
    /// Longest time that the trainer waits for samples.
    pub wait: Duration,
    /// What the step is; needed only while no instance knows it.
    pub spec: Option<Arc<StepSpec>>,
}

/// Answer to a pull.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PullAnswer {
    /// Pull that it belongs to.
    pub number: PullNumber,
    /// Samples outside the received set, each index once.
    pub samples: Vec<FinishedSample>,
    /// Whether the received set and these samples are the whole step.
    pub complete: bool,
}

/// Why a pull is refused.
#[derive(Clone, Copy, Debug, Display, Eq, Error, Hash, PartialEq)]
pub enum PullRefusal {
    /// A higher pull of the step was seen.
    #[display("a later pull of this step was seen")]
    Superseded,
    /// No instance knows the step; the trainer pulls again with the spec.
    #[display("the step is not known; pull again with its spec")]
    StepUnknown,
    /// The pool is not configured.
    #[display("the pool is not configured")]
    PoolUnknown,
    /// The spec is not valid.
    #[display("the spec is not valid: {_0}")]
    BadSpec(#[error(source)] SpecError),
    /// The received set holds indices outside the step.
    #[display("the received set holds indices that the step doesn't have")]
    BadReceived,
    /// The spec differs from the one that the step was started with.
    #[display("the step was started with another spec")]
    SpecChanged,
    /// Too many pulls wait at this instance, or the owner holds as many steps as it can.
    #[display("too many steps or pulls are in progress")]
    Overloaded,
}

/// A sample to score.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScoreItem {
    /// Index within the step.
    pub index: u32,
    /// Prompt of its group.
    pub prompt: String,
    /// Text.
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

/// The scorer did not answer, or not in full.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the scorer failed")]
pub struct ScoreFailure;

/// Attempt to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// Attempt.
    pub attempt: SampleAttempt,
    /// Pool whose endpoints may run it.
    pub pool: PoolId,
    /// Prompt.
    pub prompt: String,
    /// Seed of the sample, the same for each attempt of it.
    pub seed: u64,
    /// Most tokens.
    pub max_tokens: u32,
    /// Order within the trainer's work, higher first.
    pub rank: u32,
    /// Oldest version that may run it.
    pub oldest_version: Version,
    /// Endpoints that run other attempts of the sample.
    pub avoid: Vec<EndpointId>,
}

/// What the driver is to do.
#[derive(Clone, Debug)]
pub enum StepOutput {
    /// Start an attempt; its end comes back by [`Steps::sample_finished`](super::Steps::sample_finished).
    Start(Start),
    /// Cancel an attempt; its end need not be told, and is ignored.
    Cancel(SampleAttempt),
    /// Score samples; the end comes back by [`Steps::scored`](super::Steps::scored).
    Score {
        /// Request.
        ticket: ScoreTicket,
        /// Pool whose scorer is asked.
        pool: PoolId,
        /// Samples.
        samples: Vec<ScoreItem>,
    },
    /// Answer a trainer and forget its connection.
    Answer {
        /// Connection.
        ticket: PullTicket,
        /// Answer.
        answer: PullAnswer,
    },
    /// Refuse a trainer and forget its connection.
    Refuse {
        /// Connection.
        ticket: PullTicket,
        /// Why.
        reason: PullRefusal,
    },
    /// Send a message to another instance; it may get lost.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: StepMessage,
    },
}

/// What the step logic has done so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepCounters {
    /// Samples in answers.
    pub delivered: u64,
    /// Attempts started.
    pub started: u64,
    /// Second attempts among those started.
    pub second_attempts: u64,
    /// Attempts cancelled.
    pub cancelled: u64,
    /// Attempts that got no slot, made again.
    pub attempts_refused: u64,
    /// Attempts whose stream was lost, made again.
    pub attempts_lost: u64,
    /// Attempts whose stream ended early, made again.
    pub attempts_incomplete: u64,
    /// Samples discarded because a token has no version.
    pub unlabelled: u64,
    /// Samples discarded because they were too old, made again.
    pub too_old: u64,
    /// Samples that an answer of the owner held and that were not passed on.
    pub withheld: u64,
    /// Score requests failed or lost.
    pub score_failures: u64,
    /// Pulls refused as superseded.
    pub superseded: u64,
    /// Owners taken as failed.
    pub silent_owners: u64,
    /// Samples taken from a second copy or a previous owner.
    pub recovered: u64,
    /// Steps dropped because no pull came.
    pub expired_steps: u64,
}
