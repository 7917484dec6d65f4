//! Callers: what trainers and interactive callers send, and when.

use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::PullNumber;
use wisteriaford_core::id::StepKey;
use wisteriaford_core::id::StepNumber;
use wisteriaford_core::id::Version;
use wisteriaford_core::index_set::IndexSet;
use wisteriaford_core::step::StepSpec;
use wisteriaford_core::step::sample_seed;
use wisteriaford_core::time::Timestamp;

use super::scenario::PORTAL;
use super::scenario::TRAINED;
use super::scenario::trainer;

/// Groups of a step.
pub(super) const GROUPS: usize = 64;
/// Samples of a group.
pub(super) const GROUP_SIZE: u32 = 8;
/// Longest sample, in tokens.
pub(super) const SAMPLE_MAX_TOKENS: u32 = 800;
/// Time that a trainer computes with one sample.
pub(super) const CONSUME_TIME: Duration = Duration::from_millis(40);
/// Time that a pull waits at the instance.
pub(super) const PULL_WAIT: Duration = Duration::from_secs(2);
/// Time after which a trainer takes a pull as lost.
pub(super) const PULL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which an interactive caller gives up.
pub(super) const INTERACTIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest answer to an interactive caller, in tokens.
pub(super) const INTERACTIVE_MAX_TOKENS: u32 = 64;
/// Times that the caller of a crashing request sends it.
pub(super) const CRASHING_SENDS: u32 = 4;
/// Factor of a burst.
pub(super) const BURST_FACTOR: f64 = 10.0;
/// Index of the caller that bursts.
pub(super) const BURSTING: usize = 1;
/// Index of the caller whose requests crash endpoints.
pub(super) const CRASHING: usize = 3;

/// An interactive caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Interactive {
    /// Name.
    pub name: &'static str,
    /// Pool that it asks.
    pub pool: &'static str,
    /// Requests a second, at random times; none for requests sent by the clock of the faults.
    pub rate_per_s: f64,
}

/// The interactive callers.
pub(super) const INTERACTIVE: [Interactive; 4] = [
    Interactive {
        name: "curators",
        pool: TRAINED,
        rate_per_s: 5.0,
    },
    Interactive {
        name: "counter",
        pool: PORTAL,
        rate_per_s: 10.0,
    },
    Interactive {
        name: "citizens",
        pool: PORTAL,
        rate_per_s: 10.0,
    },
    Interactive {
        name: "archive",
        pool: TRAINED,
        rate_per_s: 0.0,
    },
];

/// A trainer and the step that it is at.
#[derive(Debug)]
pub(super) struct Trainer {
    /// Name.
    pub id: CallerId,
    /// Step that it pulls.
    pub step: StepNumber,
    /// What the step consists of.
    pub spec: Arc<StepSpec>,
    /// Version of its weights.
    pub version: Version,
    /// Samples that it holds.
    pub received: IndexSet,
    /// Number of the pull that it waits for.
    pub pull: PullNumber,
    /// When the step began.
    pub started: Timestamp,
    /// When it has computed with all samples that it holds.
    pub busy_until: Timestamp,
    /// Samples that engines finished, delivered or not.
    pub finished: IndexSet,
}

impl Trainer {
    /// Returns a trainer before its first step.
    #[must_use]
    pub(super) fn new(index: usize, now: Timestamp) -> Self {
        let mut trainer = Self {
            id: CallerId::from(trainer(index).as_str()),
            step: StepNumber(0),
            spec: Arc::new(spec(index, StepNumber(0))),
            version: Version(1),
            received: IndexSet::default(),
            pull: PullNumber(0),
            started: now,
            busy_until: now,
            finished: IndexSet::default(),
        };
        trainer.begin(index, now, Version(1));
        trainer
    }

    /// Begins the next step.
    pub(super) fn begin(&mut self, index: usize, now: Timestamp, version: Version) {
        self.step = self.step.next();
        self.spec = Arc::new(spec(index, self.step));
        self.version = version;
        self.received = IndexSet::default();
        self.finished = IndexSet::default();
        self.pull = PullNumber(0);
        self.started = now;
        self.busy_until = now;
    }

    /// Returns whether it holds the whole step.
    #[must_use]
    pub(super) fn is_whole(&self) -> bool {
        self.received.len() == self.spec.total() as usize
    }

    /// Returns the request of the pull that it waits for.
    #[must_use]
    pub(super) fn request(&self) -> CallerRequest {
        CallerRequest::Pull {
            trainer: self.id.clone(),
            step: self.step,
            pool: PoolId::from(TRAINED),
            pull: self.pull,
            current_version: self.version,
            received: self.received.as_bytes().to_vec(),
            wait: PULL_WAIT,
            spec: Some(Arc::clone(&self.spec)),
        }
    }

    /// Returns the seeds of the samples of the step, by index.
    #[must_use]
    pub(super) fn seeds(&self) -> Vec<u64> {
        let key = StepKey {
            trainer: self.id.clone(),
            number: self.step,
        };
        let indices = 0..self.spec.total();
        indices.map(|index| sample_seed(&key, index)).collect()
    }

    /// Returns the time that it spends on the samples of a whole step.
    #[must_use]
    pub(super) fn compute_time(&self) -> Duration {
        CONSUME_TIME * u32::try_from(self.received.len()).unwrap_or(u32::MAX)
    }
}

fn spec(trainer: usize, step: StepNumber) -> StepSpec {
    let prompt = |group| format!("trainer-{trainer} image set {step}, scratches of group {group}");
    StepSpec {
        group_size: GROUP_SIZE,
        max_tokens: SAMPLE_MAX_TOKENS,
        prompts: (0..GROUPS).map(prompt).collect(),
    }
}

/// Returns an interactive request.
#[must_use]
pub(super) fn generation(caller: usize, prompt: &Arc<str>) -> CallerRequest {
    let kind = INTERACTIVE[caller];
    CallerRequest::Generate {
        request: None,
        caller: CallerId::from(kind.name),
        pool: PoolId::from(kind.pool),
        prompt: Arc::clone(prompt),
        max_tokens: INTERACTIVE_MAX_TOKENS,
        timeout: Some(INTERACTIVE_TIMEOUT),
    }
}
