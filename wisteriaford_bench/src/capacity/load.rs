//! Callers of a fleet: requests at a rate, keyed calls, or steps.

use std::sync::Arc;
use std::time::Duration;

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

/// Longest answer, in tokens.
const MAX_TOKENS: u32 = 2_000;
/// Samples of a group of a step.
const GROUP_SIZE: u32 = 8;
/// Time that a trainer lets a pull wait.
const PULL_WAIT: Duration = Duration::from_secs(2);
/// Time after which the requests in progress are as many as they will be.
const WARM_UP: Duration = Duration::from_secs(10);
/// Body of a call.
const BODY: &[u8] = b"{\"pass\":\"costume-4711\",\"amount_cents\":1250}";

/// What callers ask for.
#[derive(Clone, Debug)]
pub(crate) enum Load {
    /// Nothing.
    None,
    /// Generations, so many a second over the fleet.
    Requests { per_s: u32 },
    /// Calls with a key, so many a second over the fleet.
    Keyed { per_s: u32 },
    /// One step of so many samples for each trainer.
    Step { samples: u32 },
}

/// Answers that came in a window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Answered {
    pub(crate) requests: u64,
    pub(crate) tokens: u64,
}

/// A load that goes on.
pub(crate) struct Running {
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

    pub(crate) fn start(&self) -> Running {
        Running {
            load: self.clone(),
            sent: 0,
            pulls: 0,
            received: IndexSet::default(),
        }
    }
}

impl Running {
    /// Lets virtual time pass under the load.
    pub(crate) fn run(
        &mut self,
        fleet: &mut Fleet,
        instances: &[InstanceId],
        window: Duration,
    ) -> Answered {
        let until = fleet.now() + window;
        let mut answered = Answered::default();
        match self.load {
            Load::None => fleet.run_until(until),
            Load::Requests { per_s } | Load::Keyed { per_s } => {
                let wanted = u64::from(per_s) * window.as_secs();
                let gap = window / u32::try_from(wanted.max(1)).unwrap_or(u32::MAX);
                for _ in 0..wanted {
                    self.call(fleet, instances);
                    fleet.run_for(gap);
                    answered.take(fleet);
                }
                fleet.run_until(until);
            }
            Load::Step { samples } => {
                while fleet.now() < until && self.received.len() < samples as usize {
                    self.pull(fleet, instances, samples);
                    fleet.run_until_answer(until);
                    answered.tokens += self.take_samples(fleet);
                }
                fleet.run_until(until);
            }
        }
        answered.take(fleet);
        answered
    }

    fn next_instance<'a>(&mut self, instances: &'a [InstanceId]) -> &'a InstanceId {
        self.sent += 1;
        let place = self.sent % instances.len() as u64;
        &instances[usize::try_from(place).unwrap_or_default()]
    }

    fn call(&mut self, fleet: &mut Fleet, instances: &[InstanceId]) {
        let instance = self.next_instance(instances);
        let sent = self.sent;
        let request = match self.load {
            Load::Keyed { .. } => CallerRequest::Call {
                request: None,
                caller: CallerId::from(Layout::CALLER),
                route: RouteId::from(Layout::ROUTE),
                body: Arc::from(BODY),
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

impl Answered {
    fn take(&mut self, fleet: &mut Fleet) {
        for answer in fleet.take_answers() {
            match answer.reply {
                Reply::Generated(generated) => {
                    self.requests += 1;
                    self.tokens += u64::from(generated.tokens);
                }
                Reply::Called(_) => self.requests += 1,
                _ => {}
            }
        }
    }
}
