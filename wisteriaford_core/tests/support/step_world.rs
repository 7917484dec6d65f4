//! Simulation in virtual time of several `Steps` instances with fake engines, a fake scorer and
//! simple trainers. The trainers are the oracle: each answer is checked when it is sent.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::hash::hash_parts;
use wisteriaford_core::hash::rendezvous_rank;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::PullNumber;
use wisteriaford_core::id::StepKey;
use wisteriaford_core::id::StepNumber;
use wisteriaford_core::id::Version;
use wisteriaford_core::index_set::IndexSet;
use wisteriaford_core::label::Label;
use wisteriaford_core::label::Span;
use wisteriaford_core::step::AttemptStart;
use wisteriaford_core::step::FinishedSample;
use wisteriaford_core::step::PoolSnapshot;
use wisteriaford_core::step::Pull;
use wisteriaford_core::step::PullAnswer;
use wisteriaford_core::step::PullRefusal;
use wisteriaford_core::step::PullTicket;
use wisteriaford_core::step::SampleAttempt;
use wisteriaford_core::step::SampleFailure;
use wisteriaford_core::step::Score;
use wisteriaford_core::step::ScoreFailure;
use wisteriaford_core::step::ScoreItem;
use wisteriaford_core::step::ScoreTicket;
use wisteriaford_core::step::StepCounters;
use wisteriaford_core::step::StepOutput;
use wisteriaford_core::step::StepSpec;
use wisteriaford_core::step::StepView;
use wisteriaford_core::step::Steps;
use wisteriaford_core::step::sample_seed;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::step::StepMessage;

pub(crate) const STALENESS_BOUND_VERSIONS: u64 = 2;
pub(crate) const ENDPOINTS: u64 = 4;
const TICK_MS: u64 = 50;
const PULL_WAIT: Duration = Duration::from_secs(3);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// One instance's view of the fleet.
pub(crate) struct View {
    pub(crate) me: InstanceId,
    pub(crate) alive: Vec<InstanceId>,
    pub(crate) snapshot: PoolSnapshot,
}

impl View {
    fn ranked(&self, key: &StepKey, position: usize) -> Option<InstanceId> {
        let mut alive = self.alive.clone();
        let rank = |instance: &InstanceId| rendezvous_rank(&key.to_string(), instance.as_str());
        alive.sort_by_key(|instance| std::cmp::Reverse(rank(instance)));
        alive.get(position).cloned()
    }
}

impl StepView for View {
    fn me(&self) -> InstanceId {
        self.me.clone()
    }

    fn owner_of(&self, key: &StepKey) -> Option<InstanceId> {
        self.ranked(key, 0)
    }

    fn replica_of(&self, key: &StepKey) -> Option<InstanceId> {
        self.ranked(key, 1)
    }

    fn pool(&self, _: &PoolId) -> Option<PoolSnapshot> {
        Some(self.snapshot)
    }
}

pub(crate) struct Node {
    pub(crate) steps: Steps,
    pub(crate) view: View,
    pub(crate) is_up: bool,
    pub(crate) is_frozen: bool,
    pub(crate) is_leaving: bool,
    incarnation: u64,
}

/// An input that is delivered to an instance later.
#[derive(Clone)]
enum Input {
    Peer(InstanceId, StepMessage),
    Finished(SampleAttempt, Result<FinishedSample, SampleFailure>),
    Scored(ScoreTicket, Result<Vec<Score>, ScoreFailure>),
}

struct ScheduledInput {
    at: Timestamp,
    to: usize,
    incarnation: u64,
    input: Input,
}

/// Active faults.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) lose_percent: u64,
    pub(crate) repeat_percent: u64,
    pub(crate) delay_ms: u64,
    pub(crate) engine_fail_percent: u64,
    pub(crate) engine_slow: bool,
    pub(crate) engine_stale_percent: u64,
    pub(crate) unlabelled_percent: u64,
    pub(crate) scorer_down: bool,
    pub(crate) lose_answers: u64,
    pub(crate) late_answers: u64,
    pub(crate) repeat_answers: u64,
}

/// A trainer, whose received set is authoritative.
pub(crate) struct Trainer {
    pub(crate) key: StepKey,
    pub(crate) spec: Arc<StepSpec>,
    pub(crate) received: HashSet<u32>,
    pub(crate) number: u64,
    pub(crate) version: u64,
    waiting_since: Option<Timestamp>,
    sends_spec: bool,
    next_node: usize,
    pub(crate) is_done: bool,
    pub(crate) remaining_steps: u64,
}

struct OpenPull {
    trainer: usize,
    incarnation: u64,
    node: usize,
    pull: Pull,
}

pub(crate) struct World {
    pub(crate) now: Timestamp,
    pub(crate) nodes: Vec<Node>,
    pub(crate) trainers: Vec<Trainer>,
    pub(crate) faults: Faults,
    pub(crate) engine_version: u64,
    pub(crate) fault_counts: BTreeMap<&'static str, u64>,
    pub(crate) total: StepCounters,
    pub(crate) starts: Vec<(usize, AttemptStart)>,
    scheduled: Vec<ScheduledInput>,
    open_pulls: BTreeMap<PullTicket, OpenPull>,
    delayed_answers: Vec<(Timestamp, usize, PullAnswer)>,
    cancelled: HashSet<(usize, u64, u64)>,
    ticket_count: u64,
    draw_count: u64,
}

pub(crate) fn key(trainer: usize) -> StepKey {
    StepKey {
        trainer: CallerId::from(format!("trainer-{trainer}")),
        number: StepNumber(1),
    }
}

pub(crate) fn spec() -> Arc<StepSpec> {
    Arc::new(StepSpec {
        group_size: 4,
        max_tokens: 400,
        prompts: (0..6).map(|group| format!("prompt {group}")).collect(),
    })
}

/// Returns the length and text of a sample, which depend only on its prompt and seed.
fn sample_text(prompt: &str, seed: u64) -> (u32, String) {
    let hash = hash_parts(&[prompt.as_bytes(), &seed.to_le_bytes()]);
    let tail = if hash.is_multiple_of(10) { 300 } else { 30 };
    let tokens = 5 + u32::try_from(hash % tail).expect("small");
    (tokens, format!("{hash:x}"))
}

impl World {
    pub(crate) fn new(nodes: usize, trainers: usize, has_scorer: bool) -> Self {
        let snapshot = PoolSnapshot {
            staleness_bound_versions: STALENESS_BOUND_VERSIONS,
            has_scorer,
            free_slots: 16,
        };
        let names: Vec<InstanceId> = (0..nodes).map(|n| format!("i{n}").into()).collect();
        let node = |me: &InstanceId| Node {
            steps: Steps::default(),
            view: View {
                me: me.clone(),
                alive: names.clone(),
                snapshot,
            },
            is_up: true,
            is_frozen: false,
            is_leaving: false,
            incarnation: 0,
        };
        let trainer = |number| Trainer {
            key: key(number),
            spec: spec(),
            received: HashSet::new(),
            number: 1,
            version: 3,
            waiting_since: None,
            sends_spec: true,
            next_node: number,
            is_done: false,
            remaining_steps: 0,
        };
        Self {
            now: Timestamp::from_millis(1_000),
            nodes: names.iter().map(node).collect(),
            trainers: (0..trainers).map(trainer).collect(),
            faults: Faults::default(),
            engine_version: 3,
            fault_counts: BTreeMap::new(),
            total: StepCounters::default(),
            starts: Vec::new(),
            scheduled: Vec::new(),
            open_pulls: BTreeMap::new(),
            delayed_answers: Vec::new(),
            cancelled: HashSet::new(),
            ticket_count: 0,
            draw_count: 0,
        }
    }

    pub(crate) fn count_fault(&mut self, kind: &'static str) {
        *self.fault_counts.entry(kind).or_default() += 1;
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draw_count += 1;
        hash_parts(&[b"draw", &self.draw_count.to_le_bytes()]) % below
    }

    fn roll(&mut self, percent: u64, kind: &'static str) -> bool {
        let is_hit = self.draw(100) < percent;
        if is_hit {
            self.count_fault(kind);
        }
        is_hit
    }

    fn index_of(&self, id: &InstanceId) -> Option<usize> {
        self.nodes.iter().position(|node| node.view.me == *id)
    }

    /// Returns the instance at a position in the ranking that a correct view gives for a step.
    pub(crate) fn ranked(&self, trainer: usize, position: usize) -> Option<usize> {
        let up = |node: &&Node| node.is_up && !node.is_leaving;
        let view = View {
            me: InstanceId::from("oracle"),
            alive: self
                .nodes
                .iter()
                .filter(up)
                .map(|node| node.view.me.clone())
                .collect(),
            snapshot: PoolSnapshot::default(),
        };
        self.index_of(&view.ranked(&self.trainers[trainer].key, position)?)
    }

    /// Kills an instance, which loses its attempts, connections and copies.
    pub(crate) fn kill(&mut self, node: usize) {
        if !self.nodes[node].is_up {
            return;
        }
        let counters = self.nodes[node].steps.counters();
        self.add_counters(counters);
        self.nodes[node].is_up = false;
        self.nodes[node].is_leaving = false;
        self.nodes[node].steps = Steps::default();
        self.nodes[node].incarnation += 1;
    }

    /// Starts a killed instance without state.
    pub(crate) fn restart(&mut self, node: usize) {
        self.nodes[node].is_up = true;
        self.nodes[node].is_frozen = false;
    }

    /// Makes the views of all instances correct.
    pub(crate) fn correct_views(&mut self) {
        let up = |node: &&Node| node.is_up && !node.is_leaving;
        let alive = self
            .nodes
            .iter()
            .filter(up)
            .map(|node| node.view.me.clone());
        let alive: Vec<InstanceId> = alive.collect();
        for node in &mut self.nodes {
            node.view.alive.clone_from(&alive);
        }
    }

    fn add_counters(&mut self, counters: StepCounters) {
        self.total.recovered += counters.recovered;
        self.total.hedges += counters.hedges;
        self.total.unresponsive_owners += counters.unresponsive_owners;
        self.total.too_old += counters.too_old;
        self.total.unlabelled += counters.unlabelled;
        self.total.score_failures += counters.score_failures;
        self.total.delivered += counters.delivered;
    }

    pub(crate) fn collect_counters(&mut self) {
        for node in 0..self.nodes.len() {
            let counters = self.nodes[node].steps.counters();
            self.add_counters(counters);
        }
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(TICK_MS) {
            self.now = self.now + Duration::from_millis(TICK_MS);
            self.deliver_due();
            for node in 0..self.nodes.len() {
                self.call(node, |steps, now, view, out| steps.tick(now, view, out));
            }
            self.run_trainers();
        }
    }

    pub(crate) fn call(
        &mut self,
        node: usize,
        act: impl FnOnce(&mut Steps, Timestamp, &View, &mut Vec<StepOutput>),
    ) {
        let mut out = Vec::new();
        let target = &mut self.nodes[node];
        if !target.is_up || target.is_frozen {
            return;
        }
        act(&mut target.steps, self.now, &target.view, &mut out);
        for output in out {
            self.execute(node, output);
        }
    }

    fn deliver_due(&mut self) {
        let (due, later) = std::mem::take(&mut self.scheduled)
            .into_iter()
            .partition(|scheduled_input| scheduled_input.at <= self.now);
        self.scheduled = later;
        for scheduled_input in due {
            let node = &self.nodes[scheduled_input.to];
            let is_stale = node.incarnation != scheduled_input.incarnation
                && !matches!(scheduled_input.input, Input::Peer(..));
            if node.is_frozen && !is_stale {
                let at = self.now + Duration::from_millis(TICK_MS);
                self.scheduled.push(ScheduledInput {
                    at,
                    ..scheduled_input
                });
            } else if !is_stale {
                self.deliver(scheduled_input.to, scheduled_input.input);
            }
        }
    }

    fn deliver(&mut self, to: usize, input: Input) {
        let incarnation = self.nodes[to].incarnation;
        match input {
            Input::Peer(from, message) => self.call(to, |steps, now, view, out| {
                let result = steps.handle_message(now, &from, &message, view, out);
                result.expect("well-formed message");
            }),
            Input::Finished(attempt, result) => {
                if self
                    .cancelled
                    .contains(&(to, incarnation, attempt.attempt_number))
                {
                    return;
                }
                self.call(to, |steps, now, view, out| {
                    steps.sample_finished(now, &attempt, result, view, out);
                });
            }
            Input::Scored(ticket, result) => self.call(to, |steps, now, view, out| {
                steps.apply_scores(now, ticket, result, view, out);
            }),
        }
    }

    fn schedule(&mut self, to: usize, delay: Duration, input: Input) {
        let incarnation = self.nodes[to].incarnation;
        let at = self.now + delay;
        self.scheduled.push(ScheduledInput {
            at,
            to,
            incarnation,
            input,
        });
    }

    fn execute(&mut self, node: usize, output: StepOutput) {
        let incarnation = self.nodes[node].incarnation;
        match output {
            StepOutput::Start(start) => self.run_engine(node, &start),
            StepOutput::Cancel(attempt) => {
                self.cancelled
                    .insert((node, incarnation, attempt.attempt_number));
            }
            StepOutput::Score {
                ticket, samples, ..
            } => self.score(node, ticket, &samples),
            StepOutput::Answer { ticket, answer } => self.answer(ticket, answer),
            StepOutput::Refuse { ticket, reason } => self.refuse(ticket, reason),
            StepOutput::Send { to, message } => self.send(node, &to, &message),
        }
    }

    fn send(&mut self, node: usize, to: &InstanceId, message: &StepMessage) {
        let from = self.nodes[node].view.me.clone();
        let Some(to) = self.index_of(to) else { return };
        if self.roll(self.faults.lose_percent, "message lost") {
            return;
        }
        let copies = 1 + usize::from(self.roll(self.faults.repeat_percent, "message repeated"));
        for _ in 0..copies {
            let delay_ms = self.draw(self.faults.delay_ms + 1);
            if delay_ms > TICK_MS {
                self.count_fault("message reordered");
            }
            let input = Input::Peer(from.clone(), message.clone());
            self.schedule(to, Duration::from_millis(delay_ms), input);
        }
    }

    fn run_engine(&mut self, node: usize, start: &AttemptStart) {
        let attempt = start.attempt.clone();
        assert_eq!(start.seed, sample_seed(&attempt.key, attempt.index));
        self.starts.push((node, start.clone()));
        let mut number = self.draw(ENDPOINTS);
        let mut endpoint = EndpointId::from(format!("e{number}"));
        while start.excluded_endpoints.contains(&endpoint) {
            number = (number + 1) % ENDPOINTS;
            endpoint = EndpointId::from(format!("e{number}"));
        }
        let (tokens, text) = sample_text(&start.prompt, start.seed);
        let slow = if self.faults.engine_slow && number == 0 {
            self.count_fault("engine slow");
            20
        } else {
            1
        };
        let time = Duration::from_millis(u64::from(tokens) * 40 * slow);
        if self.roll(self.faults.engine_fail_percent, "engine failed") {
            let input = Input::Finished(attempt, Err(SampleFailure::Lost));
            return self.schedule(node, time / 2, input);
        }
        let mut label = Label::default();
        let half = (tokens / 2).max(1);
        let versions_behind =
            3 * u64::from(self.roll(self.faults.engine_stale_percent, "engine stale"));
        let version = Version(self.engine_version.saturating_sub(versions_behind).max(1));
        let newer = Version(self.engine_version + u64::from(number == 1));
        let mut add = |from_token, to_token, version| {
            let span = Span {
                from_token,
                to_token,
                version,
            };
            label.append(span).expect("next span");
        };
        add(0, half, version);
        if !self.roll_unlabelled() {
            add(half, tokens, newer);
        }
        let at = &endpoint;
        self.report_progress(node, &attempt, at);
        let sample = FinishedSample {
            index: attempt.index,
            group: attempt.index / 4,
            text,
            tokens,
            label,
            score_milli: None,
            instance: self.nodes[node].view.me.clone(),
            endpoint,
        };
        self.schedule(node, time, Input::Finished(attempt, Ok(sample)));
    }

    fn roll_unlabelled(&mut self) -> bool {
        self.roll(self.faults.unlabelled_percent, "sample unlabelled")
    }

    fn report_progress(&mut self, node: usize, attempt: &SampleAttempt, endpoint: &EndpointId) {
        self.nodes[node].steps.sample_progress(attempt, endpoint, 1);
    }

    fn score(&mut self, node: usize, ticket: ScoreTicket, samples: &[ScoreItem]) {
        let result = if self.faults.scorer_down {
            self.count_fault("scorer failed");
            Err(ScoreFailure)
        } else {
            Ok(samples.iter().map(score).collect())
        };
        let input = Input::Scored(ticket, result);
        self.schedule(node, Duration::from_millis(100), input);
    }

    /// Checks an answer, then delivers it unless a fault loses, delays or repeats it.
    fn answer(&mut self, ticket: PullTicket, answer: PullAnswer) {
        let open = self.open_pulls.remove(&ticket).expect("answered once");
        assert_eq!(answer.number, open.pull.number);
        let mut seen = HashSet::new();
        let spec = spec();
        for sample in &answer.samples {
            assert!(seen.insert(sample.index), "index twice in one answer");
            assert!(
                !open.pull.received.contains(sample.index),
                "index was received"
            );
            self.check_sample(&open, &spec, sample);
        }
        let held = open.pull.received.len() + answer.samples.len();
        assert_eq!(answer.complete, held == spec.total() as usize, "complete");
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return self.count_fault("answer lost");
        }
        if self.faults.repeat_answers > 0 {
            self.faults.repeat_answers -= 1;
            self.count_fault("answer repeated");
            self.receive(open.trainer, &answer);
        }
        if self.faults.late_answers > 0 {
            self.faults.late_answers -= 1;
            self.count_fault("answer delayed");
            let at = self.now + CLIENT_TIMEOUT * 2;
            return self.delayed_answers.push((at, open.trainer, answer));
        }
        self.receive(open.trainer, &answer);
    }

    fn check_sample(&self, open: &OpenPull, spec: &StepSpec, sample: &FinishedSample) {
        assert!(sample.index < spec.total());
        assert_eq!(
            sample.label.tokens(),
            sample.tokens,
            "a token has no version"
        );
        let oldest = sample.label.oldest().expect("labelled");
        let allowed = open
            .pull
            .current_version
            .0
            .saturating_sub(STALENESS_BOUND_VERSIONS);
        assert!(
            oldest.0 >= allowed,
            "sample of {oldest}, oldest allowed {allowed}"
        );
        let seed = sample_seed(&open.pull.key, sample.index);
        let (tokens, text) = sample_text(spec.prompt_of(sample.index), seed);
        assert_eq!(
            (sample.tokens, &sample.text),
            (tokens, &text),
            "another sample's text"
        );
        let has_scorer = self.nodes[open.node].view.snapshot.has_scorer;
        assert_eq!(sample.score_milli.is_some(), has_scorer, "score");
    }

    /// Delivers an answer to a trainer, which accepts only the answer to its current pull.
    fn receive(&mut self, trainer: usize, answer: &PullAnswer) {
        let trainer = &mut self.trainers[trainer];
        if answer.number.0 != trainer.number || trainer.is_done {
            return;
        }
        for sample in &answer.samples {
            assert!(trainer.received.insert(sample.index), "delivered twice");
        }
        trainer.is_done = answer.complete;
        let begins_next = answer.complete && trainer.remaining_steps > 0;
        trainer.number += 1;
        trainer.waiting_since = None;
        trainer.sends_spec = begins_next;
        if begins_next {
            assert_eq!(trainer.received.len(), trainer.spec.total() as usize);
            trainer.remaining_steps -= 1;
            trainer.is_done = false;
            trainer.received.clear();
            trainer.key.number = trainer.key.number.next();
            *self.fault_counts.entry("step begun").or_default() += 1;
        }
    }

    fn refuse(&mut self, ticket: PullTicket, reason: PullRefusal) {
        let open = self.open_pulls.remove(&ticket).expect("refused once");
        let trainer = &mut self.trainers[open.trainer];
        if open.pull.number.0 != trainer.number {
            return;
        }
        match reason {
            PullRefusal::StepUnknown => trainer.sends_spec = true,
            PullRefusal::Superseded => trainer.number += 1,
            other => panic!("refused: {other}"),
        }
        trainer.waiting_since = None;
    }

    fn run_trainers(&mut self) {
        let due = |delayed: &mut (Timestamp, usize, PullAnswer)| delayed.0 <= self.now;
        for (_, trainer, answer) in self.delayed_answers.extract_if(.., due).collect::<Vec<_>>() {
            self.receive(trainer, &answer);
        }
        for number in 0..self.trainers.len() {
            let trainer = &self.trainers[number];
            let waiting_since = trainer.waiting_since;
            let is_lost = waiting_since.is_some_and(|at| self.now.since(at) >= CLIENT_TIMEOUT);
            if trainer.is_done || (waiting_since.is_some() && !is_lost) {
                continue;
            }
            if is_lost && self.draw(2) == 0 {
                self.trainers[number].number += 1;
            }
            self.pull(number);
        }
    }

    fn pull(&mut self, number: usize) {
        self.ticket_count += 1;
        let ticket = PullTicket(self.ticket_count);
        let now = self.now;
        let trainer = &mut self.trainers[number];
        trainer.waiting_since = Some(now);
        trainer.next_node = (trainer.next_node + 1) % self.nodes.len();
        let node = trainer.next_node;
        let mut received = IndexSet::default();
        for &index in &trainer.received {
            received.insert(index).expect("in bounds");
        }
        let pull = Pull {
            ticket,
            key: trainer.key.clone(),
            pool: PoolId::from("pool"),
            number: PullNumber(trainer.number),
            received,
            current_version: Version(trainer.version),
            wait: PULL_WAIT,
            spec: trainer.sends_spec.then(|| trainer.spec.clone()),
        };
        let incarnation = self.nodes[node].incarnation;
        let open = OpenPull {
            trainer: number,
            incarnation,
            node,
            pull: pull.clone(),
        };
        self.open_pulls
            .retain(|_, open| self.nodes[open.node].incarnation == open.incarnation);
        self.open_pulls.insert(ticket, open);
        self.call(node, |steps, now, view, out| {
            steps.pull(now, pull, view, out);
        });
    }
}

fn score(item: &ScoreItem) -> Score {
    Score {
        index: item.index,
        score_milli: i64::try_from(item.text.len()).expect("short"),
    }
}
