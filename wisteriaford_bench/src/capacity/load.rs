//! Loads on a fleet: generations at a rate, calls with an idempotency key, or a training step.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::PullNumber;
use wisteriaford_core::id::RouteId;
use wisteriaford_core::id::StepNumber;
use wisteriaford_core::id::Version;
use wisteriaford_core::index_set::IndexSet;
use wisteriaford_core::reply::Reply;
use wisteriaford_core::step::StepSpec;
use wisteriaford_fakes::Fleet;
use wisteriaford_fakes::Layout;

/// Maximum length of an answer, in tokens.
const MAX_TOKENS: u32 = 2_000;
/// Number of samples per group of a step.
const GROUP_SIZE: u32 = 8;
/// Time for which an instance holds a pull that it cannot answer yet.
const PULL_WAIT: Duration = Duration::from_secs(2);
/// Time after which the number of requests in progress is steady.
const WARM_UP: Duration = Duration::from_secs(10);
/// Body of a call.
const BODY: &[u8] = b"{\"pass\":\"costume-4711\",\"amount_cents\":1250}";

/// Load on a fleet.
#[derive(Clone, Debug)]
pub(crate) enum Load {
    /// No requests.
    None,
    /// Generations at a rate over the whole fleet, per second.
    Requests { per_s: u32 },
    /// Calls with an idempotency key at a rate over the whole fleet, per second.
    Keyed { per_s: u32 },
    /// One training step of this many samples, pulled by one trainer.
    Step { samples: u32 },
}

/// Counts of the answers received in a window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerCounts {
    pub(crate) requests: u64,
    pub(crate) tokens: u64,
}

/// State of a load while it runs.
pub(crate) struct ActiveLoad {
    load: Load,
    sent: u64,
    pulls: u64,
    received: IndexSet,
}

impl Load {
    pub(crate) fn requests(per_s: u32) -> Self {
        Self::Requests { per_s }
    }

    pub(crate) fn keyed(per_s: u32) -> Self {
        Self::Keyed { per_s }
    }

    pub(crate) fn step(samples: u32) -> Self {
        Self::Step { samples }
    }

    pub(crate) fn warm_up(&self) -> Duration {
        match self {
            Self::None | Self::Step { .. } => Duration::ZERO,
            Self::Requests { .. } | Self::Keyed { .. } => WARM_UP,
        }
    }

    pub(crate) fn start(&self) -> ActiveLoad {
        ActiveLoad {
            load: self.clone(),
            sent: 0,
            pulls: 0,
            received: IndexSet::default(),
        }
    }
}

impl ActiveLoad {
    /// Runs the fleet under the load for a window of virtual time.
    pub(crate) fn run(
        &mut self,
        fleet: &mut Fleet,
        instances: &[InstanceId],
        window: Duration,
    ) -> AnswerCounts {
        let end = fleet.now() + window;
        let mut counts = AnswerCounts::default();
        match self.load {
            Load::None => fleet.run_until(end),
            Load::Requests { per_s } | Load::Keyed { per_s } => {
                let total = u64::from(per_s) * window.as_secs();
                let interval = window / u32::try_from(total.max(1)).unwrap_or(u32::MAX);
                for _ in 0..total {
                    self.call(fleet, instances);
                    fleet.run_for(interval);
                    counts.add_answers(fleet);
                }
                fleet.run_until(end);
            }
            Load::Step { samples } => {
                while fleet.now() < end && self.received.len() < samples as usize {
                    self.pull(fleet, instances, samples);
                    fleet.run_until_answer(end);
                    counts.tokens += self.take_samples(fleet);
                }
                fleet.run_until(end);
            }
        }
        counts.add_answers(fleet);
        counts
    }

    fn next_instance<'a>(&mut self, instances: &'a [InstanceId]) -> &'a InstanceId {
        self.sent += 1;
        let index = self.sent % instances.len() as u64;
        &instances[usize::try_from(index).unwrap_or_default()]
    }

    fn call(&mut self, fleet: &mut Fleet, instances: &[InstanceId]) {
        let instance = self.next_instance(instances);
        let sent = self.sent;
        let request = match self.load {
            Load::Keyed { .. } => CallerRequest::Call {
                request: None,
                caller: CallerId::from(Layout::CALLER),
                route: RouteId::from(Layout::ROUTE),
                body: Bytes::from_static(BODY),
                content_type: "application/json".into(),
                key: Some(format_compact!("order-{sent}")),
                first_attempt: true,
                timeout: None,
            },
            _ => CallerRequest::Generate {
                request: None,
                caller: CallerId::from(Layout::CALLER),
                pool: PoolId::from(Layout::POOL),
                prompt: Arc::from(format!("restore photograph {sent}")),
                max_tokens: MAX_TOKENS,
                timeout: None,
            },
        };
        fleet.call(instance, request);
    }

    fn pull(&mut self, fleet: &mut Fleet, instances: &[InstanceId], samples: u32) {
        self.pulls += 1;
        let instance = self.next_instance(instances);
        let groups = 0..samples / GROUP_SIZE;
        let spec = StepSpec {
            group_size: GROUP_SIZE,
            max_tokens: MAX_TOKENS,
            prompts: groups.map(|group| format!("scratch {group}")).collect(),
        };
        let request = CallerRequest::Pull {
            trainer: CallerId::from(Layout::trainer(0).as_str()),
            step: StepNumber(1),
            pool: PoolId::from(Layout::POOL),
            pull: PullNumber(self.pulls),
            current_version: Version(1),
            received: self.received.as_bytes().to_vec(),
            wait: PULL_WAIT,
            spec: Some(Arc::new(spec)),
        };
        fleet.call(instance, request);
    }

    fn take_samples(&mut self, fleet: &mut Fleet) -> u64 {
        let mut tokens = 0;
        for answer in fleet.take_answers() {
            let Reply::Pulled(pulled) = answer.reply else {
                continue;
            };
            for sample in pulled.samples {
                if self.received.insert(sample.index).unwrap_or_default() {
                    tokens += u64::from(sample.label.tokens());
                }
            }
        }
        tokens
    }
}

impl AnswerCounts {
    fn add_answers(&mut self, fleet: &mut Fleet) {
        for answer in fleet.take_answers() {
            match answer.reply {
                Reply::Generated(generation) => {
                    self.requests += 1;
                    self.tokens += u64::from(generation.tokens);
                }
                Reply::Called(_) => self.requests += 1,
                _ => {}
            }
        }
    }
}
