//! Simulated callers: trainers and interactive callers, and the requests that they send.

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

/// Number of groups per step.
pub(super) const GROUPS: usize = 64;
/// Number of samples per group.
pub(super) const GROUP_SIZE: u32 = 8;
/// Maximum length of a sample, in tokens.
pub(super) const SAMPLE_MAX_TOKENS: u32 = 800;
/// Time that a trainer needs to process one sample.
pub(super) const COMPUTE_TIME_PER_SAMPLE: Duration = Duration::from_millis(40);
/// Time for which an instance holds a pull that it cannot answer yet.
pub(super) const PULL_WAIT: Duration = Duration::from_secs(2);
/// Time after which a trainer considers a pull lost.
pub(super) const PULL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which an interactive caller gives up.
pub(super) const INTERACTIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum length of an answer to an interactive caller, in tokens.
pub(super) const INTERACTIVE_MAX_TOKENS: u32 = 64;
/// Number of times that a caller sends a request that crashes endpoints.
pub(super) const MAX_CRASHING_SENDS: u32 = 4;
/// Factor by which a burst raises a caller's request rate.
pub(super) const BURST_FACTOR: f64 = 10.0;
/// Index of the interactive caller that sends bursts.
pub(super) const BURSTING_CALLER: usize = 1;
/// Index of the interactive caller whose requests crash endpoints.
pub(super) const CRASHING_CALLER: usize = 3;

/// Name, pool and request rate of an interactive caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct InteractiveCaller {
    /// Name.
    pub name: &'static str,
    /// Pool that its requests go to.
    pub pool: &'static str,
    /// Mean rate of its Poisson arrivals, in requests per second; 0 if the fault schedule sends its
    /// requests.
    pub rate_per_s: f64,
}

/// The interactive callers.
pub(super) const INTERACTIVE_CALLERS: [InteractiveCaller; 4] = [
    InteractiveCaller {
        name: "curators",
        pool: TRAINED,
        rate_per_s: 5.0,
    },
    InteractiveCaller {
        name: "counter",
        pool: PORTAL,
        rate_per_s: 10.0,
    },
    InteractiveCaller {
        name: "citizens",
        pool: PORTAL,
        rate_per_s: 10.0,
    },
    InteractiveCaller {
        name: "archive",
        pool: TRAINED,
        rate_per_s: 0.0,
    },
];

/// A trainer and its current step.
#[derive(Debug)]
pub(super) struct Trainer {
    /// Name.
    pub id: CallerId,
    /// Current step.
    pub step: StepNumber,
    /// Prompts and sizes of the step.
    pub spec: Arc<StepSpec>,
    /// Version of the weights when the step began.
    pub version: Version,
    /// Indices of the samples received.
    pub received: IndexSet,
    /// Number of the pull that it is waiting for.
    pub pull: PullNumber,
    /// Time at which the step began.
    pub started: Timestamp,
    /// Time at which it will have processed all samples received.
    pub busy_until: Timestamp,
    /// Indices of the samples that engines have finished, delivered or not.
    pub finished: IndexSet,
}

impl Trainer {
    /// Returns a trainer at the beginning of its first step.
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
        trainer.begin_step(index, now, Version(1));
        trainer
    }

    /// Begins the next step.
    pub(super) fn begin_step(&mut self, index: usize, now: Timestamp, version: Version) {
        self.step = self.step.next();
        self.spec = Arc::new(spec(index, self.step));
        self.version = version;
        self.received = IndexSet::default();
        self.finished = IndexSet::default();
        self.pull = PullNumber(0);
        self.started = now;
        self.busy_until = now;
    }

    /// Returns whether it has received all samples of the step.
    #[must_use]
    pub(super) fn is_complete(&self) -> bool {
        self.received.len() == self.spec.total() as usize
    }

    /// Returns the pull request that it is waiting for.
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

    /// Returns the time that it needs to process the samples received.
    #[must_use]
    pub(super) fn compute_time(&self) -> Duration {
        COMPUTE_TIME_PER_SAMPLE * u32::try_from(self.received.len()).unwrap_or(u32::MAX)
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

/// Returns a generation request of an interactive caller.
#[must_use]
pub(super) fn generation(caller: usize, prompt: &Arc<str>) -> CallerRequest {
    let kind = INTERACTIVE_CALLERS[caller];
    CallerRequest::Generate {
        request: None,
        caller: CallerId::from(kind.name),
        pool: PoolId::from(kind.pool),
        prompt: Arc::clone(prompt),
        max_tokens: INTERACTIVE_MAX_TOKENS,
        timeout: Some(INTERACTIVE_TIMEOUT),
    }
}
