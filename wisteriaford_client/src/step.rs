//! Bookkeeping of one training step at the trainer, without input or output.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use wisteriaford_core::index_set::IndexSet;

use crate::message::MessageError;
use crate::message::PullAnswer;
use crate::message::PullRequest;
use crate::message::SampleAnswer;
use crate::message::StepSpec;

/// What a step asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StepPlan {
    /// Caller that trains.
    pub trainer: String,
    /// Pool of model engines.
    pub pool: String,
    /// Number of the step.
    pub step: u64,
    /// What the step is made of.
    pub spec: StepSpec,
    /// Oldest weights that a sample may name, in versions behind the trainer's.
    pub staleness_bound_versions: u64,
    /// Longest time that a pull waits, in milliseconds.
    pub wait_ms: u64,
}

/// What a step received, and what it had to leave out.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepCounts {
    /// Samples that the step asks for.
    pub asked: u64,
    /// Samples taken.
    pub delivered: u64,
    /// Samples left out: their index was taken before.
    pub repeated: u64,
    /// Samples left out: a part was made by weights older than the bound.
    pub too_old: u64,
    /// Samples left out: the versions do not cover every token.
    pub unlabelled: u64,
    /// Samples left out: the step has no such index in that group.
    pub foreign: u64,
    /// Whole answers left out: their pull is not the one waited for.
    pub late_answers: u64,
    /// Answers that called the step complete while samples were missing.
    pub wrongly_complete: u64,
    /// Pulls sent.
    pub pulls: u64,
}

impl StepCounts {
    /// Adds the counts of another step.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.delivered += other.delivered;
        self.repeated += other.repeated;
        self.too_old += other.too_old;
        self.unlabelled += other.unlabelled;
        self.foreign += other.foreign;
        self.late_answers += other.late_answers;
        self.wrongly_complete += other.wrongly_complete;
        self.pulls += other.pulls;
    }

    /// Returns whether every sample came once, fresh and labelled.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let left_out = self.repeated + self.too_old + self.unlabelled + self.foreign;
        self.delivered == self.asked && left_out == 0 && self.wrongly_complete == 0
    }
}

/// Why an answer was left out as a whole.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum TakeError {
    /// No pull is waited for.
    #[display("the answer to pull {pull} came while no pull was waited for")]
    NotWaiting {
        /// Pull that was answered.
        pull: u64,
    },
    /// Another pull is waited for.
    #[display("the answer to pull {pull} came while pull {waited_for} was waited for")]
    OtherPull {
        /// Pull that was answered.
        pull: u64,
        /// Pull that is waited for.
        waited_for: u64,
    },
}

/// Pull that is waited for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct OpenPull {
    number: u64,
    current_version: u64,
}

/// One step of a trainer, from its first pull until all samples are there.
#[derive(Clone, Debug)]
pub struct StepRun {
    plan: StepPlan,
    next_pull: u64,
    open_pull: Option<OpenPull>,
    brings_spec: bool,
    received: IndexSet,
    samples: Vec<SampleAnswer>,
    counts: StepCounts,
}

impl StepRun {
    /// Starts a step; `first_pull` is higher than any pull number of this trainer so far.
    ///
    /// # Errors
    ///
    /// Fails on a step that is empty, too large or asks for an absurd number of tokens.
    pub fn new(plan: StepPlan, first_pull: u64) -> Result<Self, MessageError> {
        plan.spec.check()?;
        let counts = StepCounts {
            asked: plan.spec.samples(),
            ..StepCounts::default()
        };
        Ok(Self {
            plan,
            next_pull: first_pull,
            open_pull: None,
            brings_spec: true,
            received: IndexSet::new(),
            samples: Vec::new(),
            counts,
        })
    }

    /// Returns the step's plan.
    #[must_use]
    pub fn plan(&self) -> &StepPlan {
        &self.plan
    }

    /// Returns the next pull, and gives up on the one before it.
    ///
    /// `current_version` is the version of the weights that the trainer is at. The first pull, and
    /// the first after [`StepRun::forgotten`], bring the spec.
    pub fn pull(&mut self, current_version: u64) -> PullRequest {
        let number = self.next_pull;
        self.next_pull += 1;
        self.counts.pulls += 1;
        self.open_pull = Some(OpenPull {
            number,
            current_version,
        });
        PullRequest {
            trainer: self.plan.trainer.clone(),
            pool: self.plan.pool.clone(),
            pull: number,
            current_version,
            received: self.received.clone(),
            wait_ms: self.plan.wait_ms,
            spec: self.brings_spec.then(|| self.plan.spec.clone()),
        }
    }

    /// Notes that no instance knows the step any more.
    pub fn forgotten(&mut self) {
        self.brings_spec = true;
        self.open_pull = None;
    }

    /// Takes the answer to the pull that is waited for; returns how many samples were new.
    ///
    /// # Errors
    ///
    /// Fails on the answer to any other pull; nothing is taken from it.
    pub fn take(&mut self, answer: PullAnswer) -> Result<usize, TakeError> {
        let open_pull = self.close_pull(answer.pull)?;
        self.brings_spec = false;
        let before = self.samples.len();
        for sample in answer.samples {
            self.take_sample(sample, open_pull.current_version);
        }
        if answer.complete && !self.is_complete() {
            self.counts.wrongly_complete += 1;
        }
        Ok(self.samples.len() - before)
    }

    /// Returns whether every sample is there.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.received.len() as u64 == self.counts.asked
    }

    /// Returns the indices that were taken.
    #[must_use]
    pub fn received(&self) -> &IndexSet {
        &self.received
    }

    /// Returns the samples in the order in which they came.
    #[must_use]
    pub fn samples(&self) -> &[SampleAnswer] {
        &self.samples
    }

    /// Returns what was received so far.
    #[must_use]
    pub fn counts(&self) -> &StepCounts {
        &self.counts
    }

    /// Returns the number that the next pull will have.
    #[must_use]
    pub fn next_pull_number(&self) -> u64 {
        self.next_pull
    }

    fn close_pull(&mut self, pull: u64) -> Result<OpenPull, TakeError> {
        let error = match self.open_pull {
            Some(open_pull) if open_pull.number == pull => {
                self.open_pull = None;
                return Ok(open_pull);
            }
            Some(open_pull) => TakeError::OtherPull {
                pull,
                waited_for: open_pull.number,
            },
            None => TakeError::NotWaiting { pull },
        };
        self.counts.late_answers += 1;
        Err(error)
    }

    fn take_sample(&mut self, sample: SampleAnswer, current_version: u64) {
        let counts = &mut self.counts;
        let in_group = sample.index / self.plan.spec.group_size == sample.group;
        if u64::from(sample.index) >= counts.asked || !in_group {
            counts.foreign += 1;
            return;
        }
        if self.received.contains(sample.index) {
            counts.repeated += 1;
            return;
        }
        if !sample.is_labelled() {
            counts.unlabelled += 1;
            return;
        }
        let bound = self.plan.staleness_bound_versions;
        let oldest_allowed = current_version.saturating_sub(bound);
        if sample
            .oldest_version()
            .is_none_or(|oldest| oldest < oldest_allowed)
        {
            counts.too_old += 1;
            return;
        }
        if self.received.insert(sample.index).is_ok() {
            counts.delivered += 1;
            self.samples.push(sample);
        }
    }
}
