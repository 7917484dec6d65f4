//! One run of a scenario: drives a fleet with callers and faults, and counts the results.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wisteriaford_core::event::Ticket;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::PullNumber;
use wisteriaford_core::id::StepNumber;
use wisteriaford_core::id::Version;
use wisteriaford_core::refusal::Refusal;
use wisteriaford_core::reply::Reply;
use wisteriaford_core::step::FinishedSample;
use wisteriaford_core::step::PullAnswer;
use wisteriaford_core::time::Timestamp;
use wisteriaford_fakes::Fleet;
use wisteriaford_fakes::NodeState;

use super::callers::BURST_FACTOR;
use super::callers::BURSTING_CALLER;
use super::callers::CRASHING_CALLER;
use super::callers::INTERACTIVE_CALLERS;
use super::callers::INTERACTIVE_TIMEOUT;
use super::callers::MAX_CRASHING_SENDS;
use super::callers::PULL_TIMEOUT;
use super::callers::Trainer;
use super::callers::generation;
use super::faults::Fault;
use super::figures::Figures;
use super::figures::Percentiles;
use super::figures::SlotShares;
use super::figures::as_f64;
use super::figures::percent;
use super::figures::round_to_hundredths;
use super::scenario::CRASH_MARKER;
use super::scenario::Case;
use super::scenario::Decider;
use super::scenario::STALENESS_BOUND_VERSIONS;
use super::scenario::Scenario;
use super::scenario::TRAINED;
use super::scenario::TRAINERS;
use super::shares::SHARES_WINDOW;

/// Time between announcements of new weights.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(150);
/// Time between two observations of the slots that callers hold.
const SHARES_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum delay before a caller sends again after a refusal without a retry time.
const RESEND_DELAY: Duration = Duration::from_millis(500);

/// Scheduled action of a caller or of the simulation, outside of the fleet.
#[derive(Clone, Debug)]
enum Action {
    SendPull(usize, StepNumber, PullNumber),
    RetryPull(usize, StepNumber, PullNumber),
    PullAnswer(usize, StepNumber, Box<PullAnswer>),
    BeginStep(usize),
    StartRequest(usize),
    SendRequest(u64),
    Answer(u64, Option<u32>, Option<Refusal>),
    GiveUp(u64),
    AnnounceVersion,
    SampleShares,
    EndSharesWindow,
    Fault(Fault),
}

/// Caller that waits for the answer to a ticket.
#[derive(Clone, Copy, Debug)]
enum Waiter {
    Trainer(usize, StepNumber),
    Interactive(u64),
}

#[derive(Debug)]
pub(super) struct InteractiveRequest {
    pub(super) caller: usize,
    prompt: Arc<str>,
    first_sent: Timestamp,
    sends: u32,
}

/// State of a run.
pub(super) struct Run {
    pub(super) scenario: Scenario,
    pub(super) fleet: Fleet,
    pub(super) instances: Vec<InstanceId>,
    pub(super) rng: Pcg64,
    pub(super) trainers: Vec<Trainer>,
    pub(super) requests: IndexMap<u64, InteractiveRequest>,
    pub(super) shares: SlotShares,
    pub(super) started: Timestamp,
    samples_by_seed: HashMap<u64, (usize, StepNumber, u32)>,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    actions: HashMap<u64, Action>,
    sequence: u64,
    waiters: IndexMap<(InstanceId, Ticket), Waiter>,
    sticky_instances: Vec<Option<InstanceId>>,
    announced: Vec<Timestamp>,
    tallies: Tallies,
}

#[derive(Debug, Default)]
struct Tallies {
    idle: Duration,
    step_time: Duration,
    complete_step_time: Duration,
    steps: u64,
    stale_versions: Percentiles,
    stale_ms: Percentiles,
    latency_ms: Percentiles,
    failed: u64,
    repeated: u64,
    too_old: u64,
    unlabelled: u64,
    tokens_received: u64,
}

impl Scenario {
    /// Runs the scenario and returns its figures.
    #[must_use]
    pub fn run(&self) -> Figures {
        Run::new(*self).run()
    }
}

impl Run {
    fn new(scenario: Scenario) -> Self {
        let (fleet, instances) = scenario.fleet();
        let now = fleet.now();
        let has_trainers = scenario.case != Case::Idle;
        let trainers = if has_trainers { TRAINERS } else { 0 };
        let trainers: Vec<_> = (0..trainers)
            .map(|index| Trainer::new(index, now))
            .collect();
        let mut run = Self {
            scenario,
            fleet,
            instances,
            rng: Pcg64::seed_from_u64(scenario.seed),
            sticky_instances: vec![None; trainers.len()],
            trainers,
            requests: IndexMap::new(),
            shares: SlotShares::default(),
            started: now,
            samples_by_seed: HashMap::new(),
            queue: BinaryHeap::new(),
            actions: HashMap::new(),
            sequence: 0,
            waiters: IndexMap::new(),
            announced: vec![Timestamp(0), Timestamp(0)],
            tallies: Tallies::default(),
        };
        run.begin();
        run
    }

    fn begin(&mut self) {
        for index in 0..self.trainers.len() {
            self.begin_step(index);
        }
        for caller in 0..INTERACTIVE_CALLERS.len() {
            self.schedule_arrival(caller);
        }
        if self.scenario.case != Case::Idle {
            self.schedule_after(ANNOUNCE_INTERVAL, Action::AnnounceVersion);
        }
        self.schedule_after(SHARES_INTERVAL, Action::SampleShares);
        self.schedule_after(SHARES_WINDOW, Action::EndSharesWindow);
        for (after, fault) in Fault::schedule(&self.scenario) {
            self.schedule_after(after, Action::Fault(fault));
        }
    }

    fn run(mut self) -> Figures {
        let end = self.started + self.scenario.length;
        while let Some(&Reverse((at, sequence))) = self.queue.peek()
            && at <= end
        {
            if self.fleet.run_until_answer(at) {
                self.dispatch_answers();
                continue;
            }
            self.queue.pop();
            self.record_finished();
            if let Some(action) = self.actions.remove(&sequence) {
                self.handle(action);
            }
        }
        self.figures(end)
    }

    fn schedule_at(&mut self, at: Timestamp, action: Action) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.actions.insert(self.sequence, action);
    }

    fn schedule_after(&mut self, after: Duration, action: Action) {
        let at = self.fleet.now() + after;
        self.schedule_at(at, action);
    }

    fn handle(&mut self, action: Action) {
        match action {
            Action::SendPull(trainer, step, pull) => self.send_pull(trainer, step, pull),
            Action::RetryPull(trainer, step, pull) => self.retry_pull(trainer, step, pull),
            Action::PullAnswer(trainer, step, answer) => self.on_pulled(trainer, step, &answer),
            Action::BeginStep(trainer) => {
                let now = self.fleet.now();
                let newest_version = self.newest_version();
                self.trainers[trainer].begin_step(trainer, now, newest_version);
                self.begin_step(trainer);
            }
            Action::StartRequest(caller) => {
                let prompt = format!("{} {}", INTERACTIVE_CALLERS[caller].name, self.sequence);
                self.start_request(caller, &prompt);
                self.schedule_arrival(caller);
            }
            Action::SendRequest(request) => self.send_request(request),
            Action::Answer(request, tokens, refusal) => self.on_answer(request, tokens, refusal),
            Action::GiveUp(request) => self.give_up(request),
            Action::AnnounceVersion => {
                self.announced.push(self.fleet.now());
                let newest_version = self.newest_version();
                self.fleet
                    .models
                    .insert(ModelId::from(TRAINED), newest_version);
                self.schedule_after(ANNOUNCE_INTERVAL, Action::AnnounceVersion);
            }
            Action::SampleShares => {
                self.sample_shares();
                self.schedule_after(SHARES_INTERVAL, Action::SampleShares);
            }
            Action::EndSharesWindow => {
                self.shares.end_window();
                self.schedule_after(SHARES_WINDOW, Action::EndSharesWindow);
            }
            Action::Fault(fault) => self.apply_fault(fault),
        }
    }

    /// Returns the newest version of the trained model.
    fn newest_version(&self) -> Version {
        Version(self.announced.len() as u64 - 1)
    }

    fn begin_step(&mut self, index: usize) {
        let trainer = &self.trainers[index];
        for (sample_index, seed) in (0u32..).zip(trainer.seeds()) {
            self.samples_by_seed
                .insert(seed, (index, trainer.step, sample_index));
        }
        self.sticky_instances[index] = None;
        self.next_pull(index);
    }

    fn next_pull(&mut self, index: usize) {
        let trainer = &mut self.trainers[index];
        trainer.pull = trainer.pull.next();
        let (step, pull) = (trainer.step, trainer.pull);
        self.schedule_after(
            self.scenario.user.client_latency(),
            Action::SendPull(index, step, pull),
        );
        self.schedule_after(PULL_TIMEOUT, Action::RetryPull(index, step, pull));
    }

    fn retry_pull(&mut self, index: usize, step: StepNumber, pull: PullNumber) {
        let trainer = &self.trainers[index];
        if trainer.step == step && trainer.pull == pull && !trainer.is_complete() {
            self.next_pull(index);
        }
    }

    fn send_pull(&mut self, index: usize, step: StepNumber, pull: PullNumber) {
        let trainer = &self.trainers[index];
        if trainer.step != step || trainer.pull != pull || trainer.is_complete() {
            return;
        }
        let request = trainer.request();
        let instance = self.pick_ingress(Some(index));
        if let Some(ticket) = self.fleet.call(&instance, request) {
            let waiter = Waiter::Trainer(index, step);
            self.waiters.insert((instance, ticket), waiter);
        }
    }

    /// Returns the running instance to which the load balancer sends a request.
    ///
    /// For the naive implementation, it keeps a trainer on one instance for a step, because a naive
    /// instance knows only the samples that it made itself.
    fn pick_ingress(&mut self, trainer: Option<usize>) -> InstanceId {
        let is_running = |id: &&InstanceId| self.fleet.state(id) == NodeState::Running;
        let sticky = trainer.and_then(|index| self.sticky_instances[index].as_ref());
        if let Some(sticky) = sticky.filter(is_running) {
            return sticky.clone();
        }
        let running: Vec<_> = self.instances.iter().filter(is_running).cloned().collect();
        let instance = running[self.rng.random_range(0..running.len())].clone();
        if let Some(index) = trainer
            && self.scenario.decider == Decider::Naive
        {
            self.sticky_instances[index] = Some(instance.clone());
        }
        instance
    }

    fn dispatch_answers(&mut self) {
        self.record_finished();
        let latency = self.scenario.user.client_latency();
        for answer in self.fleet.take_answers() {
            let key = (answer.instance, answer.ticket);
            let Some(waiter) = self.waiters.swap_remove(&key) else {
                continue;
            };
            let action = match (waiter, answer.reply) {
                (Waiter::Trainer(index, step), Reply::Pulled(answer)) => {
                    Action::PullAnswer(index, step, Box::new(answer))
                }
                (Waiter::Trainer(index, step), _) => {
                    let pull = self.trainers[index].pull;
                    self.schedule_after(RESEND_DELAY, Action::RetryPull(index, step, pull));
                    continue;
                }
                (Waiter::Interactive(request), Reply::Generated(generated)) => {
                    Action::Answer(request, Some(generated.tokens), None)
                }
                (Waiter::Interactive(request), Reply::Refused(_, refusal)) => {
                    Action::Answer(request, None, Some(refusal))
                }
                (Waiter::Interactive(_), _) => continue,
            };
            self.schedule_at(answer.at + latency, action);
        }
    }

    /// Records the samples that engines have finished.
    fn record_finished(&mut self) {
        for work in std::mem::take(&mut self.fleet.finished) {
            if let Some((index, step, sample_index)) = self.samples_by_seed.remove(&work.seed)
                && self.trainers[index].step == step
            {
                let _ = self.trainers[index].finished.insert(sample_index);
            }
        }
    }

    /// Applies the answer to a pull if the trainer still waits for it.
    fn on_pulled(&mut self, index: usize, step: StepNumber, answer: &PullAnswer) {
        let trainer = &self.trainers[index];
        if trainer.step != step || trainer.pull != answer.number || trainer.is_complete() {
            return;
        }
        for sample in &answer.samples {
            self.accept_sample(index, sample);
        }
        let now = self.fleet.now();
        let trainer = &mut self.trainers[index];
        if !trainer.is_complete() {
            self.next_pull(index);
            return;
        }
        let ends = trainer.busy_until.max(now);
        let step_time = ends.since(trainer.started);
        let idle = step_time.saturating_sub(trainer.compute_time());
        self.tallies.steps += 1;
        self.tallies.complete_step_time += step_time;
        self.tallies.step_time += step_time;
        self.tallies.idle += idle;
        self.schedule_at(ends, Action::BeginStep(index));
    }

    fn accept_sample(&mut self, index: usize, sample: &FinishedSample) {
        let now = self.fleet.now();
        let trainer = &mut self.trainers[index];
        if !trainer.received.insert(sample.index).unwrap_or(false) {
            self.tallies.repeated += 1;
            return;
        }
        let from = trainer.busy_until.max(now);
        trainer.busy_until = from + super::callers::COMPUTE_TIME_PER_SAMPLE;
        self.tallies.tokens_received += u64::from(sample.tokens);
        self.tallies.unlabelled += u64::from(!sample.is_labelled());
        let Some(oldest) = sample.label.oldest() else {
            return;
        };
        let behind = trainer.version.0.saturating_sub(oldest.0);
        self.tallies.too_old += u64::from(behind > STALENESS_BOUND_VERSIONS);
        self.tallies.stale_versions.add(behind);
        let next = usize::try_from(oldest.0 + 1).unwrap_or(usize::MAX);
        let newer = self.announced.get(next);
        let age = newer.map_or(Duration::ZERO, |announced| now.since(*announced));
        self.tallies.stale_ms.add_time(age);
    }

    fn schedule_arrival(&mut self, caller: usize) {
        let mut rate = INTERACTIVE_CALLERS[caller].rate_per_s;
        if rate <= 0.0 {
            return;
        }
        if caller == BURSTING_CALLER && self.is_bursting() {
            rate *= BURST_FACTOR;
        }
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let delay = Duration::from_secs_f64(-uniform.ln() / rate);
        self.schedule_after(delay, Action::StartRequest(caller));
    }

    fn is_bursting(&self) -> bool {
        let elapsed = self.fleet.now().since(self.started);
        let length = self.scenario.length;
        let is_in_burst = elapsed >= length / 4 && elapsed < length * 3 / 4;
        is_in_burst && self.scenario.case.includes(Case::Burst)
    }

    pub(super) fn start_request(&mut self, caller: usize, prompt: &str) {
        let id = self.sequence;
        let request = InteractiveRequest {
            caller,
            prompt: Arc::from(prompt),
            first_sent: self.fleet.now(),
            sends: 0,
        };
        self.requests.insert(id, request);
        self.schedule_after(self.scenario.user.client_latency(), Action::SendRequest(id));
        self.schedule_after(INTERACTIVE_TIMEOUT, Action::GiveUp(id));
    }

    /// Starts a request that crashes its endpoint.
    pub(super) fn start_crashing_request(&mut self) {
        let prompt = format!("{CRASH_MARKER} {}", self.sequence);
        self.sequence += 1;
        self.start_request(CRASHING_CALLER, &prompt);
    }

    fn send_request(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.sends += 1;
        let request = generation(request.caller, &request.prompt);
        let instance = self.pick_ingress(None);
        if let Some(ticket) = self.fleet.call(&instance, request) {
            let waiter = Waiter::Interactive(id);
            self.waiters.insert((instance, ticket), waiter);
        }
    }

    /// Completes an interactive request, or schedules it to be sent again after a refusal or a
    /// broken connection.
    fn on_answer(&mut self, id: u64, tokens: Option<u32>, refusal: Option<Refusal>) {
        let now = self.fleet.now();
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let elapsed = now.since(request.first_sent);
        let is_measured = self.is_measured(request.caller);
        if let Some(tokens) = tokens {
            self.tallies.tokens_received += u64::from(tokens);
            if is_measured {
                self.tallies.latency_ms.add_time(elapsed);
            }
            self.requests.swap_remove(&id);
            return;
        }
        if request.caller == CRASHING_CALLER && request.sends >= MAX_CRASHING_SENDS {
            self.requests.swap_remove(&id);
            return;
        }
        let delay = match refusal {
            Some(refusal) => refusal
                .retry_after
                .unwrap_or_else(|| RESEND_DELAY * self.rng.random_range(100..200) / 100),
            None => Duration::ZERO,
        };
        let latency = self.scenario.user.client_latency();
        self.schedule_after(delay + latency, Action::SendRequest(id));
    }

    /// Returns whether the latencies and failures of a caller are counted.
    fn is_measured(&self, caller: usize) -> bool {
        let bursts = caller == BURSTING_CALLER && self.scenario.case.includes(Case::Burst);
        caller != CRASHING_CALLER && !bursts
    }

    /// Ends an interactive request whose timeout has passed, and closes its connection.
    fn give_up(&mut self, id: u64) {
        let Some(request) = self.requests.swap_remove(&id) else {
            return;
        };
        if self.is_measured(request.caller) {
            self.tallies.failed += 1;
            self.tallies.latency_ms.add_time(INTERACTIVE_TIMEOUT);
        }
        let is_same_request =
            |waiter: &Waiter| matches!(waiter, Waiter::Interactive(other) if *other == id);
        let position = self.waiters.values().position(is_same_request);
        if let Some(((instance, ticket), _)) =
            position.and_then(|position| self.waiters.swap_remove_index(position))
        {
            self.fleet.disconnect_caller(&instance, ticket);
        }
    }

    /// Breaks all connections to an instance; the callers that wait there send again.
    pub(super) fn break_connections(&mut self, instance: &InstanceId) {
        let broken: Vec<_> = self
            .waiters
            .extract_if(.., |key, _| key.0 == *instance)
            .map(|(_, waiter)| waiter)
            .collect();
        let latency = self.scenario.user.client_latency();
        for waiter in broken {
            let action = match waiter {
                Waiter::Trainer(index, step) => {
                    Action::RetryPull(index, step, self.trainers[index].pull)
                }
                Waiter::Interactive(id) => Action::Answer(id, None, None),
            };
            self.schedule_after(latency, action);
        }
    }

    fn figures(mut self, end: Timestamp) -> Figures {
        self.count_steps_in_progress(end);
        let (worst_caller, worst_share) = self.shares.worst();
        let engines = self.fleet.engines.values();
        let generated_tokens: u64 = engines.clone().map(|engine| engine.tokens_generated).sum();
        let wasted_tokens = generated_tokens.saturating_sub(self.tallies.tokens_received);
        let tallies = &self.tallies;
        let idle = tallies.idle.as_secs_f64();
        let mean_step = tallies.complete_step_time.as_secs_f64() / as_f64(tallies.steps.max(1));
        Figures {
            idle_percent: round_to_hundredths(percent(idle, tallies.step_time.as_secs_f64())),
            step_s: round_to_hundredths(mean_step),
            steps: tallies.steps,
            staleness_p50_versions: tallies.stale_versions.at(50.0),
            staleness_p99_versions: tallies.stale_versions.at(99.0),
            staleness_p50_s: as_f64(tallies.stale_ms.at(50.0)) / 1_000.0,
            staleness_p99_s: as_f64(tallies.stale_ms.at(99.0)) / 1_000.0,
            interactive_p50_ms: tallies.latency_ms.at(50.0),
            interactive_p99_ms: tallies.latency_ms.at(99.0),
            interactive: tallies.latency_ms.len() - tallies.failed,
            interactive_failed: tallies.failed,
            worst_share_percent: round_to_hundredths(worst_share),
            worst_caller,
            repeated: tallies.repeated,
            too_old: tallies.too_old,
            unlabelled: tallies.unlabelled,
            wasted_percent: round_to_hundredths(percent(
                as_f64(wasted_tokens),
                as_f64(generated_tokens),
            )),
            crashes: engines.clone().map(|engine| engine.crashes).sum(),
            failed_swaps: engines.map(|engine| engine.failed_swaps).sum(),
        }
    }

    /// Counts the steps that are in progress at the end of the run.
    fn count_steps_in_progress(&mut self, end: Timestamp) {
        for trainer in self
            .trainers
            .iter()
            .filter(|trainer| !trainer.is_complete())
        {
            let remaining_compute_time = trainer.busy_until.since(end);
            let elapsed_compute_time = trainer
                .compute_time()
                .saturating_sub(remaining_compute_time);
            let step_time = end.since(trainer.started);
            self.tallies.step_time += step_time;
            self.tallies.idle += step_time.saturating_sub(elapsed_compute_time);
        }
    }
}
