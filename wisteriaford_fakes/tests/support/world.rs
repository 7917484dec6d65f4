//! A fleet under fuzzing, and the oracle that checks what comes out of it.

#[path = "leaving.rs"]
mod leaving;

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use indexmap::IndexSet;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::event::Ticket;
use wisteriaford_core::hash::hash_parts;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::Version;
use wisteriaford_core::note::Note;
use wisteriaford_core::refusal::Outcome;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::reply::Reply;
use wisteriaford_core::time::Timestamp;
use wisteriaford_fakes::Answer;
use wisteriaford_fakes::Fleet;
use wisteriaford_fakes::NodeState;
use wisteriaford_fakes::Service;
use wisteriaford_fakes::expected_text;
use wisteriaford_fakes::expected_tokens;

use self::leaving::Leaving;
use self::leaving::Source;
use super::counts::count;
use super::setting;
use super::setting::ENGINES;
use super::setting::MODEL;
use super::setting::SERVICES;
use super::trainer::Trainer;

/// Time in which an accepted configuration is in force at an instance that runs.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
/// Time in which an instance that starts while the log is down gets it from its peers.
const JOINED_WITHIN: Duration = Duration::from_secs(10);
/// Longest stretch of virtual time between two looks at the fleet.
const STEP: Duration = Duration::from_millis(100);
/// Time in which all that was asked for is answered once nothing fails.
const SETTLED_WITHIN: Duration = Duration::from_secs(240);

/// What a ticket stands for.
enum Asked {
    Generation(String),
    Call(String),
}

/// A call that was sent, for the truth about its outcome.
struct SentCall {
    id: String,
    key: Option<String>,
}

/// What the oracle knows of an instance's process.
#[derive(Clone, Copy, Default)]
struct Process {
    in_force: u64,
    since: Timestamp,
    is_told_to_exit: bool,
}

pub(crate) struct World {
    pub(crate) fleet: Fleet,
    pub(crate) instances: Vec<InstanceId>,
    pub(crate) trainers: Vec<Trainer>,
    /// Reasons of the refusals so far.
    pub(crate) refused: Vec<RefusalReason>,
    /// Generations and calls answered so far.
    pub(crate) answered: usize,
    processes: IndexMap<InstanceId, Process>,
    open: IndexMap<Ticket, (InstanceId, Asked)>,
    calls: Vec<SentCall>,
    never_run: IndexSet<String>,
    leaving: IndexMap<(usize, Source), Leaving>,
    revision: u64,
    publications: u64,
    accepted_at: Timestamp,
    log_since: Timestamp,
    reached_since: Timestamp,
    is_cut: bool,
    notes_seen: usize,
    rounds: usize,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let (fleet, instances) = setting::running(seed);
        let now = fleet.now();
        let processes = instances.iter().map(|id| {
            let process = Process {
                since: now,
                ..Process::default()
            };
            (id.clone(), process)
        });
        Self {
            processes: processes.collect(),
            fleet,
            instances,
            trainers: setting::TRAINERS.map(Trainer::new).into(),
            refused: Vec::new(),
            answered: 0,
            open: IndexMap::new(),
            calls: Vec::new(),
            never_run: IndexSet::new(),
            leaving: IndexMap::new(),
            revision: 1,
            publications: 0,
            accepted_at: now,
            log_since: now,
            reached_since: now,
            is_cut: false,
            notes_seen: 0,
            rounds: 0,
        }
    }

    fn ask(&mut self, at: usize, request: CallerRequest, asked: Asked) {
        let instance = self.instances[at].clone();
        if let Some(ticket) = self.fleet.call(&instance, request) {
            self.open.insert(ticket, (instance, asked));
        }
    }

    pub(crate) fn generate(&mut self, at: usize, prompt: &str) {
        count("generations", 1);
        let asked = Asked::Generation(prompt.into());
        self.ask(at, setting::generation(prompt), asked);
    }

    /// Sends a call; the first with a key may say that it is.
    pub(crate) fn call(&mut self, at: usize, key: Option<u8>, says_first: bool) {
        let id = format!("call-{}", self.calls.len());
        let key = key.map(|key| format!("key-{key}"));
        let is_repeat = self.calls.iter().any(|call| call.key == key);
        let first_attempt = says_first && !is_repeat;
        let kind = match (&key, is_repeat) {
            (None, _) => "calls without a key",
            (Some(_), false) => "calls with a new key",
            (Some(_), true) => "calls with a key sent before",
        };
        count(kind, 1);
        let request = setting::call(&id, key.as_deref(), first_attempt, setting::SCAN);
        let call = SentCall {
            id: id.clone(),
            key,
        };
        self.calls.push(call);
        self.ask(at, request, Asked::Call(id));
    }

    /// Lets the caller that asked last go away.
    pub(crate) fn hang_up(&mut self) {
        let Some((ticket, (instance, _))) = self.open.pop() else {
            return;
        };
        self.fleet.hang_up(&instance, ticket);
        count("callers gone", 1);
    }

    /// Publishes; with `races`, a second operator publishes on the same base.
    pub(crate) fn publish(&mut self, leaving: Option<usize>, races: bool) {
        let base = self.revision;
        let content = setting::configuration(leaving);
        for author in 0..=u64::from(races) {
            self.publications += 1;
            let id = format!("p-{}-{author}", self.publications);
            let before = self.fleet.log.appended;
            let record = setting::publication(&id, base, content.clone());
            self.fleet.append(LogStream::Configuration, &record);
            // The first on its base wins; the answer may be lost all the same.
            if self.fleet.log.appended > before && self.revision == base {
                self.revision = base + 1;
                self.accepted_at = self.fleet.now();
                count("publications accepted", 1);
                self.note_configured_leaving(leaving);
            }
        }
        if races {
            count("publications raced", 1);
        }
    }

    /// Notes that the test published a revision itself.
    pub(crate) fn note_published(&mut self) {
        self.revision += 1;
        self.accepted_at = self.fleet.now();
    }

    /// Returns whether a call with a key ran.
    pub(crate) fn has_run(&self, key: u8) -> bool {
        let key = CompactString::from(format!("key-{key}"));
        let mut services = self.fleet.services.values();
        services.any(|service| service.runs_by_key.contains_key(&key))
    }

    pub(crate) fn new_version(&mut self) {
        let version = self.fleet.models[&ModelId::from(MODEL)].next();
        self.fleet.models.insert(ModelId::from(MODEL), version);
        for trainer in &mut self.trainers {
            trainer.version = version.0;
        }
        count("versions", 1);
    }

    pub(crate) fn kill(&mut self, at: usize) {
        let instance = self.instances[at].clone();
        if self.fleet.state(&instance) == NodeState::Stopped {
            return;
        }
        self.fleet.kill(&instance);
        self.open.retain(|_, (asked_at, _)| *asked_at != instance);
        self.processes[&instance].is_told_to_exit = false;
        count("instances killed", 1);
    }

    pub(crate) fn restart(&mut self, at: usize) {
        let instance = self.instances[at].clone();
        if self.fleet.state(&instance) != NodeState::Stopped {
            return;
        }
        self.fleet.restart(&instance);
        self.processes[&instance] = Process {
            since: self.fleet.now(),
            ..Process::default()
        };
        count("instances started", 1);
    }

    pub(crate) fn freeze(&mut self, at: usize) {
        let instance = self.instances[at].clone();
        self.fleet.pause(&instance);
        count("instances frozen", 1);
    }

    pub(crate) fn resume(&mut self, at: usize) {
        let instance = self.instances[at].clone();
        if self.fleet.state(&instance) != NodeState::Paused {
            return;
        }
        self.fleet.resume(&instance);
        self.processes[&instance].since = self.fleet.now();
        count("instances resumed", 1);
    }

    pub(crate) fn shut_down(&mut self, at: usize) {
        let instance = self.instances[at].clone();
        if self.fleet.state(&instance) != NodeState::Running {
            return;
        }
        self.fleet.shut_down(&instance);
        self.processes[&instance].is_told_to_exit = true;
        count("instances shut down", 1);
    }

    pub(crate) fn cut(&mut self, from: usize, to: usize) {
        let (from, to) = (self.instances[from].clone(), self.instances[to].clone());
        self.fleet.block_link(&from, &to);
        self.is_cut = true;
        count("connections cut", 1);
    }

    pub(crate) fn heal(&mut self) {
        self.fleet.heal_links();
        self.is_cut = false;
        self.reached_since = self.fleet.now();
    }

    pub(crate) fn log_down(&mut self, is_down: bool) {
        self.fleet.log.is_down = is_down;
        if !is_down {
            self.log_since = self.fleet.now();
        }
    }

    /// Lets time pass while the trainers pull and everything is checked.
    pub(crate) fn advance(&mut self, time: Duration) {
        let until = self.fleet.now() + time;
        while self.fleet.now() < until {
            let next = until.min(self.fleet.now() + STEP);
            self.pull();
            self.fleet.run_until(next);
            for answer in self.fleet.take_answers() {
                self.answered(&answer);
            }
            self.check();
        }
    }

    fn pull(&mut self) {
        self.rounds += 1;
        for index in 0..self.trainers.len() {
            let at = (self.rounds * 7 + index * 3) % self.instances.len();
            let instance = self.instances[at].clone();
            self.trainers[index].tick(&mut self.fleet, &instance);
        }
    }

    fn answered(&mut self, answer: &Answer) {
        for trainer in &mut self.trainers {
            trainer.take(&self.fleet, answer.ticket, &answer.reply);
        }
        let Some((_, asked)) = self.open.shift_remove(&answer.ticket) else {
            return;
        };
        self.answered += 1;
        match (&answer.reply, asked) {
            (Reply::Generated(generated), Asked::Generation(prompt)) => {
                let seed = hash_parts(&[prompt.as_bytes()]);
                let tokens = expected_tokens(&prompt, seed, 120);
                let text = expected_text(&prompt, seed, 0, tokens);
                assert_eq!(generated.text, text, "answer is not whole");
                assert_eq!(generated.spans.last().map(|s| s.to_token), Some(tokens));
                for span in &generated.spans {
                    let made_by = span.from_token..span.to_token;
                    let version = Version(span.version);
                    let is_true = self
                        .fleet
                        .were_generated_by(&prompt, seed, made_by, version);
                    assert!(is_true, "label {span:?}");
                }
                count("generations answered", 1);
            }
            (Reply::Called(called), Asked::Call(id)) => {
                assert_eq!(called.body, id.as_bytes(), "answer of another call");
                count("calls answered", 1);
            }
            (Reply::Refused(_, refusal), asked) => {
                self.answered -= 1;
                self.refused.push(refusal.reason);
                let is_sudden = refusal.reason == RefusalReason::ShuttingDown;
                let told = self.processes[&answer.instance].is_told_to_exit;
                assert!(!is_sudden || told, "refused as if shutting down");
                if let Asked::Call(id) = asked {
                    self.refused(&id, refusal.outcome);
                }
            }
            (reply, _) => panic!("another kind of answer: {reply:?}"),
        }
    }

    fn refused(&mut self, id: &str, outcome: Outcome) {
        if outcome == Outcome::OutcomeUnknown {
            count("calls of unknown outcome", 1);
            return;
        }
        count("calls said not to have run", 1);
        let sent = self.calls.iter().position(|call| call.id == id).unwrap();
        let key = self.calls[sent].key.clone();
        let same_key = |call: &&SentCall| key.is_some() && call.key == key;
        // What was sent with the key before must not run later either.
        let with_key = self.calls[..sent].iter().filter(same_key);
        self.never_run.extend(with_key.map(|call| call.id.clone()));
        self.never_run.insert(id.to_owned());
    }

    fn check(&mut self) {
        self.check_runs();
        self.check_leaving();
        self.note_revisions();
        self.check_in_force();
        self.check_exits();
    }

    fn check_runs(&self) {
        for index in 0..SERVICES {
            let service = &self.fleet.services[setting::service_address(index).as_str()];
            for id in service.runs_by_request.keys() {
                assert!(!self.never_run.contains(id.as_str()), "{id} ran");
            }
        }
        let runs = |by: fn(&Service) -> &IndexMap<CompactString, u32>| {
            let mut sums: IndexMap<CompactString, u32> = IndexMap::new();
            for (id, runs) in self.fleet.services.values().flat_map(by) {
                *sums.entry(id.clone()).or_default() += runs;
            }
            sums
        };
        let by_key = runs(|service| &service.runs_by_key);
        let by_request = runs(|service| &service.runs_by_request);
        for (id, runs) in by_key.iter().chain(&by_request) {
            assert!(*runs <= 1, "{id} ran {runs} times");
        }
    }

    fn note_revisions(&mut self) {
        for (_, instance, note) in &self.fleet.notes[self.notes_seen..] {
            let Note::RevisionInForce { revision, .. } = note else {
                continue;
            };
            let process = &mut self.processes[instance];
            assert!(revision.0 > process.in_force, "{instance} reverts");
            assert!(revision.0 <= self.revision, "{instance} made it up");
            process.in_force = revision.0;
        }
        self.notes_seen = self.fleet.notes.len();
    }

    fn check_in_force(&self) {
        let now = self.fleet.now();
        let runs = |id: &InstanceId| self.fleet.state(id) == NodeState::Running;
        let running = self.processes.iter().filter(|(id, _)| runs(id));
        let running: Vec<_> = running.collect();
        for (instance, process) in &running {
            let at_log = self.accepted_at.max(self.log_since);
            let is_due =
                !self.fleet.log.is_down && now.since(at_log.max(process.since)) >= IN_FORCE_WITHIN;
            let newest = running.iter().filter(|(id, other)| {
                let is_settled = now.since(other.since) >= JOINED_WITHIN;
                *id != *instance && is_settled
            });
            let newest = newest.map(|(_, other)| other.in_force).max().unwrap_or(0);
            let is_reached = !self.is_cut
                && now.since(self.reached_since) >= JOINED_WITHIN
                && now.since(process.since) >= JOINED_WITHIN
                && now.since(self.accepted_at) >= IN_FORCE_WITHIN;
            let due = if is_due {
                self.revision
            } else if is_reached {
                newest
            } else {
                continue;
            };
            let has = process.in_force;
            assert!(has >= due, "{instance} has revision {has}, not {due}");
            count("looks at revisions in force", 1);
        }
    }

    /// A graceful shutdown lets what was taken in be answered first.
    fn check_exits(&mut self) {
        for (instance, process) in &mut self.processes {
            if !process.is_told_to_exit || self.fleet.state(instance) != NodeState::Stopped {
                continue;
            }
            process.is_told_to_exit = false;
            let left = self.open.values().filter(|(at, _)| at == instance).count();
            assert_eq!(left, 0, "{instance} left {left} requests unanswered");
            count("graceful exits", 1);
        }
    }

    /// Returns how many requests wait for their answer.
    pub(crate) fn waiting(&self) -> usize {
        self.open.len()
    }

    /// Returns the steps that each trainer holds whole.
    pub(crate) fn steps_done(&self) -> Vec<u64> {
        let steps = self.trainers.iter().map(|trainer| trainer.steps_done);
        steps.collect()
    }

    /// Ends all faults and waits until everything is answered and the trainers go on.
    pub(crate) fn settle(&mut self) {
        self.end_faults();
        let steps = self.steps_done();
        let until = self.fleet.now() + SETTLED_WITHIN;
        loop {
            let mut done = self.trainers.iter().zip(&steps);
            let steps_done = done.all(|(trainer, before)| trainer.steps_done > *before);
            if steps_done && self.open.is_empty() {
                break;
            }
            let open: Vec<_> = self.open.keys().collect();
            let is_late = self.fleet.now() >= until;
            assert!(!is_late, "open {open:?}, steps go on: {steps_done}");
            self.advance(Duration::from_secs(1));
        }
        let taken = self.trainers.iter().map(|trainer| trainer.taken);
        count("samples", taken.sum());
    }

    pub(crate) fn end_faults(&mut self) {
        self.heal();
        self.list_one_back();
        self.log_down(false);
        self.fleet.is_scorer_down = false;
        self.fleet.log.lose_answers = 0;
        for at in 0..self.instances.len() {
            self.resume(at);
            self.restart(at);
        }
        for index in 0..SERVICES {
            let address = setting::service_address(index);
            self.fleet.services[address.as_str()].is_down = false;
        }
        for index in 0..ENGINES {
            let address = setting::engine_address(index);
            self.fleet.engines[address.as_str()].is_unresponsive = false;
            if self.fleet.engines[address.as_str()].is_leaving {
                self.fleet.crash_engine(&address, None);
            }
            self.fleet.restart_engine(&address);
        }
    }
}
