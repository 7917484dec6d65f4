//! One run: callers and faults drive a fleet, and what they see is counted.

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
use super::callers::BURSTING;
use super::callers::CRASHING;
use super::callers::CRASHING_SENDS;
use super::callers::INTERACTIVE;
use super::callers::INTERACTIVE_TIMEOUT;
use super::callers::PULL_TIMEOUT;
use super::callers::Trainer;
use super::callers::generation;
use super::faults::Fault;
use super::figures::Figures;
use super::figures::Percentiles;
use super::figures::SlotShares;
use super::figures::as_f64;
use super::figures::hundredths;
use super::figures::percent;
use super::scenario::CRASH_MARKER;
use super::scenario::Case;
use super::scenario::Decider;
use super::scenario::STALENESS_BOUND_VERSIONS;
use super::scenario::Scenario;
use super::scenario::TRAINED;
use super::scenario::TRAINERS;
use super::shares::SHARES_WINDOW;

/// Time between two versions of the weights.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(150);
/// Time between two looks at who holds slots.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest pause of a caller that was refused without a time to come back.
const RESEND_PAUSE: Duration = Duration::from_millis(500);

/// What is due at some time outside of the fleet.
#[derive(Clone, Debug)]
enum Due {
    Pull(usize, StepNumber, PullNumber),
    PullLost(usize, StepNumber, PullNumber),
    Pulled(usize, StepNumber, Box<PullAnswer>),
    NextStep(usize),
    Arrive(usize),
    Send(u64),
    Answered(u64, Option<u32>, Option<Refusal>),
    GiveUp(u64),
    Announce,
    Look,
    EndWindow,
    Fault(Fault),
}

/// Who waits for a ticket.
#[derive(Clone, Copy, Debug)]
enum Waiting {
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

/// One run under way.
pub(super) struct Run {
    pub(super) scenario: Scenario,
    pub(super) fleet: Fleet,
    pub(super) instances: Vec<InstanceId>,
    pub(super) rng: Pcg64,
    pub(super) trainers: Vec<Trainer>,
    pub(super) requests: IndexMap<u64, InteractiveRequest>,
    pub(super) shares: SlotShares,
    pub(super) started: Timestamp,
    seeds: HashMap<u64, (usize, StepNumber, u32)>,
    due: BinaryHeap<Reverse<(Timestamp, u64)>>,
    dues: HashMap<u64, Due>,
    sequence: u64,
    waiting: IndexMap<(InstanceId, Ticket), Waiting>,
    sticky: Vec<Option<InstanceId>>,
    announced: Vec<Timestamp>,
    tallies: Tallies,
}

#[derive(Debug, Default)]
struct Tallies {
    idle: Duration,
    step_time: Duration,
    whole_time: Duration,
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
        let works = scenario.case != Case::Idle;
        let trainers = if works { TRAINERS } else { 0 };
        let trainers: Vec<_> = (0..trainers)
            .map(|index| Trainer::new(index, now))
            .collect();
        let mut run = Self {
            scenario,
            fleet,
            instances,
            rng: Pcg64::seed_from_u64(scenario.seed),
            sticky: vec![None; trainers.len()],
            trainers,
            requests: IndexMap::new(),
            shares: SlotShares::default(),
            started: now,
            seeds: HashMap::new(),
            due: BinaryHeap::new(),
            dues: HashMap::new(),
            sequence: 0,
            waiting: IndexMap::new(),
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
        for caller in 0..INTERACTIVE.len() {
            self.next_arrival(caller);
        }
        if self.scenario.case != Case::Idle {
            self.after(ANNOUNCE_INTERVAL, Due::Announce);
        }
        self.after(LOOK_INTERVAL, Due::Look);
        self.after(SHARES_WINDOW, Due::EndWindow);
        for (after, fault) in Fault::all(&self.scenario) {
            self.after(after, Due::Fault(fault));
        }
    }

    fn run(mut self) -> Figures {
        let end = self.started + self.scenario.length;
        while let Some(&Reverse((at, sequence))) = self.due.peek()
            && at <= end
        {
            if self.fleet.run_until_answer(at) {
                self.take_answers();
                continue;
            }
            self.due.pop();
            self.note_finished();
            if let Some(due) = self.dues.remove(&sequence) {
                self.handle(due);
            }
        }
        self.figures(end)
    }

    fn at(&mut self, at: Timestamp, due: Due) {
        self.sequence += 1;
        self.due.push(Reverse((at, self.sequence)));
        self.dues.insert(self.sequence, due);
    }

    fn after(&mut self, after: Duration, due: Due) {
        let at = self.fleet.now() + after;
        self.at(at, due);
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Pull(trainer, step, pull) => self.pull(trainer, step, pull),
            Due::PullLost(trainer, step, pull) => self.pull_lost(trainer, step, pull),
            Due::Pulled(trainer, step, answer) => self.pulled(trainer, step, &answer),
            Due::NextStep(trainer) => {
                let now = self.fleet.now();
                let newest = self.newest();
                self.trainers[trainer].begin(trainer, now, newest);
                self.begin_step(trainer);
            }
            Due::Arrive(caller) => {
                let marker = format!("{} {}", INTERACTIVE[caller].name, self.sequence);
                self.arrive(caller, &marker);
                self.next_arrival(caller);
            }
            Due::Send(request) => self.send(request),
            Due::Answered(request, tokens, refusal) => self.answered(request, tokens, refusal),
            Due::GiveUp(request) => self.give_up(request),
            Due::Announce => {
                self.announced.push(self.fleet.now());
                let newest = self.newest();
                self.fleet.models.insert(ModelId::from(TRAINED), newest);
                self.after(ANNOUNCE_INTERVAL, Due::Announce);
            }
            Due::Look => {
                self.look();
                self.after(LOOK_INTERVAL, Due::Look);
            }
            Due::EndWindow => {
                self.shares.end_window();
                self.after(SHARES_WINDOW, Due::EndWindow);
            }
            Due::Fault(fault) => self.fault(fault),
        }
    }

    /// Returns the newest version of the trained model.
    fn newest(&self) -> Version {
        Version(self.announced.len() as u64 - 1)
    }

    fn begin_step(&mut self, index: usize) {
        let trainer = &self.trainers[index];
        for (place, seed) in (0u32..).zip(trainer.seeds()) {
            self.seeds.insert(seed, (index, trainer.step, place));
        }
        self.sticky[index] = None;
        self.next_pull(index);
    }

    fn next_pull(&mut self, index: usize) {
        let trainer = &mut self.trainers[index];
        trainer.pull = trainer.pull.next();
        let (step, pull) = (trainer.step, trainer.pull);
        self.after(
            self.scenario.user.client_latency(),
            Due::Pull(index, step, pull),
        );
        self.after(PULL_TIMEOUT, Due::PullLost(index, step, pull));
    }

    fn pull_lost(&mut self, index: usize, step: StepNumber, pull: PullNumber) {
        let trainer = &self.trainers[index];
        if trainer.step == step && trainer.pull == pull && !trainer.is_whole() {
            self.next_pull(index);
        }
    }

    fn pull(&mut self, index: usize, step: StepNumber, pull: PullNumber) {
        let trainer = &self.trainers[index];
        if trainer.step != step || trainer.pull != pull || trainer.is_whole() {
            return;
        }
        let request = trainer.request();
        let instance = self.entry(Some(index));
        if let Some(ticket) = self.fleet.call(&instance, request) {
            let waiting = Waiting::Trainer(index, step);
            self.waiting.insert((instance, ticket), waiting);
        }
    }

    /// Returns the instance that the balancer names.
    ///
    /// The naive version's balancer keeps a trainer at one instance for a step, as each instance
    /// knows only the samples that it made itself.
    fn entry(&mut self, trainer: Option<usize>) -> InstanceId {
        let is_running = |id: &&InstanceId| self.fleet.state(id) == NodeState::Running;
        let sticky = trainer.and_then(|index| self.sticky[index].as_ref());
        if let Some(sticky) = sticky.filter(is_running) {
            return sticky.clone();
        }
        let running: Vec<_> = self.instances.iter().filter(is_running).cloned().collect();
        let instance = running[self.rng.random_range(0..running.len())].clone();
        if let Some(index) = trainer
            && self.scenario.decider == Decider::Naive
        {
            self.sticky[index] = Some(instance.clone());
        }
        instance
    }

    fn take_answers(&mut self) {
        self.note_finished();
        let latency = self.scenario.user.client_latency();
        for answer in self.fleet.take_answers() {
            let key = (answer.instance, answer.ticket);
            let Some(waiting) = self.waiting.swap_remove(&key) else {
                continue;
            };
            let due = match (waiting, answer.reply) {
                (Waiting::Trainer(index, step), Reply::Pulled(answer)) => {
                    Due::Pulled(index, step, Box::new(answer))
                }
                (Waiting::Trainer(index, step), _) => {
                    let pull = self.trainers[index].pull;
                    self.after(RESEND_PAUSE, Due::PullLost(index, step, pull));
                    continue;
                }
                (Waiting::Interactive(request), Reply::Generated(generated)) => {
                    Due::Answered(request, Some(generated.tokens), None)
                }
                (Waiting::Interactive(request), Reply::Refused(_, refusal)) => {
                    Due::Answered(request, None, Some(refusal))
                }
                (Waiting::Interactive(_), _) => continue,
            };
            self.at(answer.at + latency, due);
        }
    }

    /// Notes which samples engines finished.
    fn note_finished(&mut self) {
        for work in std::mem::take(&mut self.fleet.finished) {
            if let Some((index, step, place)) = self.seeds.remove(&work.seed)
                && self.trainers[index].step == step
            {
                let _ = self.trainers[index].finished.insert(place);
            }
        }
    }

    /// A trainer takes an answer if it waits for it.
    fn pulled(&mut self, index: usize, step: StepNumber, answer: &PullAnswer) {
        let trainer = &self.trainers[index];
        if trainer.step != step || trainer.pull != answer.number || trainer.is_whole() {
            return;
        }
        for sample in &answer.samples {
            self.take_sample(index, sample);
        }
        let now = self.fleet.now();
        let trainer = &mut self.trainers[index];
        if !trainer.is_whole() {
            self.next_pull(index);
            return;
        }
        let ends = trainer.busy_until.max(now);
        let step_time = ends.since(trainer.started);
        let idle = step_time.saturating_sub(trainer.compute_time());
        self.tallies.steps += 1;
        self.tallies.whole_time += step_time;
        self.tallies.step_time += step_time;
        self.tallies.idle += idle;
        self.at(ends, Due::NextStep(index));
    }

    fn take_sample(&mut self, index: usize, sample: &FinishedSample) {
        let now = self.fleet.now();
        let trainer = &mut self.trainers[index];
        if !trainer.received.insert(sample.index).unwrap_or(false) {
            self.tallies.repeated += 1;
            return;
        }
        let from = trainer.busy_until.max(now);
        trainer.busy_until = from + super::callers::CONSUME_TIME;
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

    fn next_arrival(&mut self, caller: usize) {
        let mut rate = INTERACTIVE[caller].rate_per_s;
        if rate <= 0.0 {
            return;
        }
        if caller == BURSTING && self.is_bursting() {
            rate *= BURST_FACTOR;
        }
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let pause = Duration::from_secs_f64(-uniform.ln() / rate);
        self.after(pause, Due::Arrive(caller));
    }

    fn is_bursting(&self) -> bool {
        let elapsed = self.fleet.now().since(self.started);
        let length = self.scenario.length;
        let is_time = elapsed >= length / 4 && elapsed < length * 3 / 4;
        is_time && self.scenario.case.includes(Case::Burst)
    }

    pub(super) fn arrive(&mut self, caller: usize, prompt: &str) {
        let id = self.sequence;
        let request = InteractiveRequest {
            caller,
            prompt: Arc::from(prompt),
            first_sent: self.fleet.now(),
            sends: 0,
        };
        self.requests.insert(id, request);
        self.after(self.scenario.user.client_latency(), Due::Send(id));
        self.after(INTERACTIVE_TIMEOUT, Due::GiveUp(id));
    }

    /// Sends a request whose caller is refused each time.
    pub(super) fn arrive_crashing(&mut self) {
        let prompt = format!("{CRASH_MARKER} {}", self.sequence);
        self.sequence += 1;
        self.arrive(CRASHING, &prompt);
    }

    fn send(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.sends += 1;
        let request = generation(request.caller, &request.prompt);
        let instance = self.entry(None);
        if let Some(ticket) = self.fleet.call(&instance, request) {
            let waiting = Waiting::Interactive(id);
            self.waiting.insert((instance, ticket), waiting);
        }
    }

    /// An interactive caller takes its answer, or sends again until its time is over.
    fn answered(&mut self, id: u64, tokens: Option<u32>, refusal: Option<Refusal>) {
        let now = self.fleet.now();
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let elapsed = now.since(request.first_sent);
        let is_counted = self.is_counted(request.caller);
        if let Some(tokens) = tokens {
            self.tallies.tokens_received += u64::from(tokens);
            if is_counted {
                self.tallies.latency_ms.add_time(elapsed);
            }
            self.requests.swap_remove(&id);
            return;
        }
        if request.caller == CRASHING && request.sends >= CRASHING_SENDS {
            self.requests.swap_remove(&id);
            return;
        }
        let pause = match refusal {
            Some(refusal) => refusal
                .retry_after
                .unwrap_or_else(|| RESEND_PAUSE * self.rng.random_range(100..200) / 100),
            None => Duration::ZERO,
        };
        let latency = self.scenario.user.client_latency();
        self.after(pause + latency, Due::Send(id));
    }

    /// Returns whether a caller's latency counts.
    fn is_counted(&self, caller: usize) -> bool {
        let bursts = caller == BURSTING && self.scenario.case.includes(Case::Burst);
        caller != CRASHING && !bursts
    }

    /// An interactive caller waits no longer and hangs up.
    fn give_up(&mut self, id: u64) {
        let Some(request) = self.requests.swap_remove(&id) else {
            return;
        };
        if self.is_counted(request.caller) {
            self.tallies.failed += 1;
            self.tallies.latency_ms.add_time(INTERACTIVE_TIMEOUT);
        }
        let is_it = |waiting: &Waiting| matches!(waiting, Waiting::Interactive(it) if *it == id);
        let place = self.waiting.values().position(is_it);
        if let Some(((instance, ticket), _)) =
            place.and_then(|place| self.waiting.swap_remove_index(place))
        {
            self.fleet.hang_up(&instance, ticket);
        }
    }

    /// Connections to an instance break, and who waits there sends again.
    pub(super) fn break_connections(&mut self, instance: &InstanceId) {
        let broken: Vec<_> = self
            .waiting
            .extract_if(.., |key, _| key.0 == *instance)
            .map(|(_, waiting)| waiting)
            .collect();
        let latency = self.scenario.user.client_latency();
        for waiting in broken {
            let due = match waiting {
                Waiting::Trainer(index, step) => {
                    Due::PullLost(index, step, self.trainers[index].pull)
                }
                Waiting::Interactive(id) => Due::Answered(id, None, None),
            };
            self.after(latency, due);
        }
    }

    fn figures(mut self, end: Timestamp) -> Figures {
        self.end_steps(end);
        let (worst_caller, worst_share) = self.shares.worst();
        let engines = self.fleet.engines.values();
        let made: u64 = engines.clone().map(|engine| engine.tokens_made).sum();
        let wasted = made.saturating_sub(self.tallies.tokens_received);
        let tallies = &self.tallies;
        let idle = tallies.idle.as_secs_f64();
        let mean_step = tallies.whole_time.as_secs_f64() / as_f64(tallies.steps.max(1));
        Figures {
            idle_percent: hundredths(percent(idle, tallies.step_time.as_secs_f64())),
            step_s: hundredths(mean_step),
            steps: tallies.steps,
            staleness_p50_versions: tallies.stale_versions.at(50.0),
            staleness_p99_versions: tallies.stale_versions.at(99.0),
            staleness_p50_s: as_f64(tallies.stale_ms.at(50.0)) / 1_000.0,
            staleness_p99_s: as_f64(tallies.stale_ms.at(99.0)) / 1_000.0,
            interactive_p50_ms: tallies.latency_ms.at(50.0),
            interactive_p99_ms: tallies.latency_ms.at(99.0),
            interactive: tallies.latency_ms.len() - tallies.failed,
            interactive_failed: tallies.failed,
            worst_share_percent: hundredths(worst_share),
            worst_caller,
            repeated: tallies.repeated,
            too_old: tallies.too_old,
            unlabelled: tallies.unlabelled,
            wasted_percent: hundredths(percent(as_f64(wasted), as_f64(made))),
            crashes: engines.clone().map(|engine| engine.crashes).sum(),
            failed_swaps: engines.map(|engine| engine.failed_swaps).sum(),
        }
    }

    /// Counts the steps under way at the end.
    fn end_steps(&mut self, end: Timestamp) {
        for trainer in self.trainers.iter().filter(|trainer| !trainer.is_whole()) {
            let computing = trainer.busy_until.since(end);
            let computed = trainer.compute_time().saturating_sub(computing);
            let step_time = end.since(trainer.started);
            self.tallies.step_time += step_time;
            self.tallies.idle += step_time.saturating_sub(computed);
        }
    }
}
