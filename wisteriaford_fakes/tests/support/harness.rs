//! Harness of the fuzz and recovery tests: drives a fleet and checks its behavior with an oracle.

#[path = "leaving.rs"]
mod leaving;

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use indexmap::IndexSet;
use wisteriaford_core::diagnostic::Diagnostic;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::event::Ticket;
use wisteriaford_core::hash::hash_parts;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::Version;
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
use super::fixture;
use super::fixture::ENGINES;
use super::fixture::MODEL;
use super::fixture::SERVICES;
use super::trainer::Trainer;

/// Time within which an accepted configuration is in force on a running instance.
const IN_FORCE_DEADLINE: Duration = Duration::from_secs(5);
/// Time within which an instance that starts during a log outage gets the configuration from peers.
const JOIN_DEADLINE: Duration = Duration::from_secs(10);
/// Maximum virtual time between two checks of the fleet.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which all requests are answered after the faults end.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(240);

/// Request of a ticket: prompt of a generation, or identifier of a call.
enum PendingRequest {
    Generation(String),
    Call(String),
}

/// Sent call, to check its reported outcome against the runs of the services.
struct SentCall {
    id: String,
    key: Option<String>,
}

/// Oracle's view of an instance's process.
#[derive(Clone, Copy, Default)]
struct Process {
    in_force: u64,
    running_since: Timestamp,
    is_shutting_down: bool,
}

/// Fleet with its trainers and the state of the oracle.
pub(crate) struct Harness {
    pub(crate) fleet: Fleet,
    pub(crate) instances: Vec<InstanceId>,
    pub(crate) trainers: Vec<Trainer>,
    /// Reasons of all refusals.
    pub(crate) refused: Vec<RefusalReason>,
    /// Number of answered generations and calls.
    pub(crate) answered: usize,
    processes: IndexMap<InstanceId, Process>,
    pending: IndexMap<Ticket, (InstanceId, PendingRequest)>,
    calls: Vec<SentCall>,
    /// Calls reported as not run, and earlier calls with the same key.
    must_not_run: IndexSet<String>,
    leaving: IndexMap<(usize, Source), Leaving>,
    revision: u64,
    publications: u64,
    accepted_at: Timestamp,
    log_up_since: Timestamp,
    links_healed_at: Timestamp,
    has_blocked_links: bool,
    /// Number of diagnostics that were checked.
    diagnostics_read: usize,
    rounds: usize,
}

impl Harness {
    pub(crate) fn new(seed: u64) -> Self {
        let (fleet, instances) = fixture::running_fleet(seed);
        let now = fleet.now();
        let processes = instances.iter().map(|id| {
            let process = Process {
                running_since: now,
                ..Process::default()
            };
            (id.clone(), process)
        });
        Self {
            processes: processes.collect(),
            fleet,
            instances,
            trainers: fixture::TRAINERS.map(Trainer::new).into(),
            refused: Vec::new(),
            answered: 0,
            pending: IndexMap::new(),
            calls: Vec::new(),
            must_not_run: IndexSet::new(),
            leaving: IndexMap::new(),
            revision: 1,
            publications: 0,
            accepted_at: now,
            log_up_since: now,
            links_healed_at: now,
            has_blocked_links: false,
            diagnostics_read: 0,
            rounds: 0,
        }
    }

    fn send(&mut self, index: usize, request: CallerRequest, sent: PendingRequest) {
        let instance = self.instances[index].clone();
        if let Some(ticket) = self.fleet.call(&instance, request) {
            self.pending.insert(ticket, (instance, sent));
        }
    }

    pub(crate) fn generate(&mut self, index: usize, prompt: &str) {
        count("generations", 1);
        let sent = PendingRequest::Generation(prompt.into());
        self.send(index, fixture::generation(prompt), sent);
    }

    /// Sends a call. The first call with a key may be marked as the first attempt.
    pub(crate) fn call(&mut self, index: usize, key: Option<u8>, claims_first_attempt: bool) {
        let id = format!("call-{}", self.calls.len());
        let key = key.map(|key| format!("key-{key}"));
        let is_repeat = self.calls.iter().any(|call| call.key == key);
        let first_attempt = claims_first_attempt && !is_repeat;
        let kind = match (&key, is_repeat) {
            (None, _) => "calls without a key",
            (Some(_), false) => "calls with a new key",
            (Some(_), true) => "calls with a repeated key",
        };
        count(kind, 1);
        let request = fixture::call(&id, key.as_deref(), first_attempt, fixture::SCAN);
        let call = SentCall {
            id: id.clone(),
            key,
        };
        self.calls.push(call);
        self.send(index, request, PendingRequest::Call(id));
    }

    /// Disconnects the caller of the newest pending request.
    pub(crate) fn disconnect_caller(&mut self) {
        let Some((ticket, (instance, _))) = self.pending.pop() else {
            return;
        };
        self.fleet.disconnect_caller(&instance, ticket);
        count("callers disconnected", 1);
    }

    /// Publishes a configuration, and a second one on the same base if `has_conflict` is set.
    pub(crate) fn publish(&mut self, leaving: Option<usize>, has_conflict: bool) {
        let base = self.revision;
        let content = fixture::configuration(leaving);
        for author in 0..=u64::from(has_conflict) {
            self.publications += 1;
            let id = format!("p-{}-{author}", self.publications);
            let before = self.fleet.log.appended;
            let record = fixture::publication(&id, base, content.clone());
            self.fleet.append(LogStream::Configuration, &record);
            // The first publication on a base is accepted, even if its answer is lost.
            if self.fleet.log.appended > before && self.revision == base {
                self.revision = base + 1;
                self.accepted_at = self.fleet.now();
                count("publications accepted", 1);
                self.record_configured_leaving(leaving);
            }
        }
        if has_conflict {
            count("publications in conflict", 1);
        }
    }

    /// Records that a test appended a publication itself.
    pub(crate) fn record_publication(&mut self) {
        self.revision += 1;
        self.accepted_at = self.fleet.now();
    }

    /// Returns whether a call with this key ran.
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
        count("model versions", 1);
    }

    pub(crate) fn kill(&mut self, index: usize) {
        let instance = self.instances[index].clone();
        if self.fleet.state(&instance) == NodeState::Stopped {
            return;
        }
        self.fleet.kill(&instance);
        self.pending
            .retain(|_, (instance_id, _)| *instance_id != instance);
        self.processes[&instance].is_shutting_down = false;
        count("instances killed", 1);
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let instance = self.instances[index].clone();
        if self.fleet.state(&instance) != NodeState::Stopped {
            return;
        }
        self.fleet.restart(&instance);
        self.processes[&instance] = Process {
            running_since: self.fleet.now(),
            ..Process::default()
        };
        count("instances started", 1);
    }

    pub(crate) fn pause(&mut self, index: usize) {
        let instance = self.instances[index].clone();
        self.fleet.pause(&instance);
        count("instances paused", 1);
    }

    pub(crate) fn resume(&mut self, index: usize) {
        let instance = self.instances[index].clone();
        if self.fleet.state(&instance) != NodeState::Paused {
            return;
        }
        self.fleet.resume(&instance);
        self.processes[&instance].running_since = self.fleet.now();
        count("instances resumed", 1);
    }

    pub(crate) fn shut_down(&mut self, index: usize) {
        let instance = self.instances[index].clone();
        if self.fleet.state(&instance) != NodeState::Running {
            return;
        }
        self.fleet.shut_down(&instance);
        self.processes[&instance].is_shutting_down = true;
        count("instances shut down", 1);
    }

    pub(crate) fn block_link(&mut self, from: usize, to: usize) {
        let (from, to) = (self.instances[from].clone(), self.instances[to].clone());
        self.fleet.block_link(&from, &to);
        self.has_blocked_links = true;
        count("links blocked", 1);
    }

    pub(crate) fn heal_links(&mut self) {
        self.fleet.heal_links();
        self.has_blocked_links = false;
        self.links_healed_at = self.fleet.now();
    }

    pub(crate) fn set_log_down(&mut self, is_down: bool) {
        self.fleet.log.is_down = is_down;
        if !is_down {
            self.log_up_since = self.fleet.now();
        }
    }

    /// Advances virtual time while the trainers pull and the oracle checks the fleet.
    pub(crate) fn advance(&mut self, time: Duration) {
        let until = self.fleet.now() + time;
        while self.fleet.now() < until {
            let next = until.min(self.fleet.now() + CHECK_INTERVAL);
            self.pull();
            self.fleet.run_until(next);
            for answer in self.fleet.take_answers() {
                self.on_answer(&answer);
            }
            self.check();
        }
    }

    fn pull(&mut self) {
        self.rounds += 1;
        for index in 0..self.trainers.len() {
            let instance = (self.rounds * 7 + index * 3) % self.instances.len();
            let instance = self.instances[instance].clone();
            self.trainers[index].tick(&mut self.fleet, &instance);
        }
    }

    fn on_answer(&mut self, answer: &Answer) {
        for trainer in &mut self.trainers {
            trainer.on_reply(&self.fleet, answer.ticket, &answer.reply);
        }
        let Some((_, sent)) = self.pending.shift_remove(&answer.ticket) else {
            return;
        };
        self.answered += 1;
        match (&answer.reply, sent) {
            (Reply::Generated(response), PendingRequest::Generation(prompt)) => {
                let seed = hash_parts(&[prompt.as_bytes()]);
                let tokens = expected_tokens(&prompt, seed, 120);
                let text = expected_text(&prompt, seed, 0, tokens);
                assert_eq!(response.text, text, "wrong or incomplete answer");
                assert_eq!(response.spans.last().map(|s| s.to_token), Some(tokens));
                for span in &response.spans {
                    let range = span.from_token..span.to_token;
                    let version = Version(span.version);
                    let is_correct = self.fleet.were_generated_by(&prompt, seed, range, version);
                    assert!(is_correct, "wrong version in label {span:?}");
                }
                count("generations answered", 1);
            }
            (Reply::Called(response), PendingRequest::Call(id)) => {
                assert_eq!(response.body, id.as_bytes(), "answer to another call");
                count("calls answered", 1);
            }
            (Reply::Refused(_, refusal), sent) => {
                self.answered -= 1;
                self.refused.push(refusal.reason);
                let is_shutdown = refusal.reason == RefusalReason::ShuttingDown;
                let is_expected = self.processes[&answer.instance].is_shutting_down;
                assert!(
                    !is_shutdown || is_expected,
                    "refused because of a shutdown that was not requested"
                );
                if let PendingRequest::Call(id) = sent {
                    self.on_refusal(&id, refusal.outcome);
                }
            }
            (reply, _) => panic!("unexpected reply: {reply:?}"),
        }
    }

    fn on_refusal(&mut self, id: &str, outcome: Outcome) {
        if outcome == Outcome::OutcomeUnknown {
            count("calls of unknown outcome", 1);
            return;
        }
        count("calls reported as not run", 1);
        let position = self.calls.iter().position(|call| call.id == id).unwrap();
        let key = self.calls[position].key.clone();
        let same_key = |call: &&SentCall| key.is_some() && call.key == key;
        // Earlier calls with the same key must not run later either.
        let with_key = self.calls[..position].iter().filter(same_key);
        self.must_not_run
            .extend(with_key.map(|call| call.id.clone()));
        self.must_not_run.insert(id.to_owned());
    }

    fn check(&mut self) {
        self.check_runs();
        self.check_leaving();
        self.record_revisions();
        self.check_in_force();
        self.check_exits();
    }

    fn check_runs(&self) {
        for index in 0..SERVICES {
            let service = &self.fleet.services[fixture::service_address(index).as_str()];
            for id in service.runs_by_request.keys() {
                assert!(
                    !self.must_not_run.contains(id.as_str()),
                    "{id} ran although it was reported as not run"
                );
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

    fn record_revisions(&mut self) {
        for (_, instance, diagnostic) in &self.fleet.diagnostics[self.diagnostics_read..] {
            let Diagnostic::RevisionInForce { revision, .. } = diagnostic else {
                continue;
            };
            let process = &mut self.processes[instance];
            assert!(
                revision.0 > process.in_force,
                "{instance} reverted to an older revision"
            );
            assert!(
                revision.0 <= self.revision,
                "{instance} has an unpublished revision in force"
            );
            process.in_force = revision.0;
        }
        self.diagnostics_read = self.fleet.diagnostics.len();
    }

    fn check_in_force(&self) {
        let now = self.fleet.now();
        let runs = |id: &InstanceId| self.fleet.state(id) == NodeState::Running;
        let running = self.processes.iter().filter(|(id, _)| runs(id));
        let running: Vec<_> = running.collect();
        for (instance, process) in &running {
            let readable_since = self.accepted_at.max(self.log_up_since);
            let is_due = !self.fleet.log.is_down
                && now.since(readable_since.max(process.running_since)) >= IN_FORCE_DEADLINE;
            let newest = running.iter().filter(|(id, other)| {
                let is_settled = now.since(other.running_since) >= JOIN_DEADLINE;
                *id != *instance && is_settled
            });
            let newest = newest.map(|(_, other)| other.in_force).max().unwrap_or(0);
            let has_peers = !self.has_blocked_links
                && now.since(self.links_healed_at) >= JOIN_DEADLINE
                && now.since(process.running_since) >= JOIN_DEADLINE
                && now.since(self.accepted_at) >= IN_FORCE_DEADLINE;
            let due = if is_due {
                self.revision
            } else if has_peers {
                newest
            } else {
                continue;
            };
            let actual = process.in_force;
            assert!(
                actual >= due,
                "{instance} has revision {actual} in force, expected {due}"
            );
            count("checks of revisions in force", 1);
        }
    }

    /// Checks that gracefully stopped instances answered all accepted requests before they exited.
    fn check_exits(&mut self) {
        for (instance, process) in &mut self.processes {
            if !process.is_shutting_down || self.fleet.state(instance) != NodeState::Stopped {
                continue;
            }
            process.is_shutting_down = false;
            let unanswered = self
                .pending
                .values()
                .filter(|(id, _)| id == instance)
                .count();
            assert_eq!(
                unanswered, 0,
                "{instance} exited with {unanswered} unanswered requests"
            );
            count("graceful exits", 1);
        }
    }

    /// Returns the number of unanswered requests.
    pub(crate) fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of completed steps of each trainer.
    pub(crate) fn steps_done(&self) -> Vec<u64> {
        let steps = self.trainers.iter().map(|trainer| trainer.steps_done);
        steps.collect()
    }

    /// Ends all faults and waits until all requests are answered and each trainer completed a step.
    pub(crate) fn settle(&mut self) {
        self.end_faults();
        let steps = self.steps_done();
        let until = self.fleet.now() + SETTLE_TIMEOUT;
        loop {
            let mut done = self.trainers.iter().zip(&steps);
            let steps_done = done.all(|(trainer, before)| trainer.steps_done > *before);
            if steps_done && self.pending.is_empty() {
                break;
            }
            let pending: Vec<_> = self.pending.keys().collect();
            let has_timed_out = self.fleet.now() >= until;
            assert!(
                !has_timed_out,
                "not settled: pending {pending:?}, all trainers progressed: {steps_done}"
            );
            self.advance(Duration::from_secs(1));
        }
        let samples = self.trainers.iter().map(|trainer| trainer.samples_received);
        count("samples", samples.sum());
    }

    pub(crate) fn end_faults(&mut self) {
        self.heal_links();
        self.list_one_live();
        self.set_log_down(false);
        self.fleet.is_scorer_down = false;
        self.fleet.log.lose_answers = 0;
        for index in 0..self.instances.len() {
            self.resume(index);
            self.restart(index);
        }
        for index in 0..SERVICES {
            let address = fixture::service_address(index);
            self.fleet.services[address.as_str()].is_down = false;
        }
        for index in 0..ENGINES {
            let address = fixture::engine_address(index);
            self.fleet.engines[address.as_str()].is_unresponsive = false;
            if self.fleet.engines[address.as_str()].is_leaving {
                self.fleet.crash_engine(&address, None);
            }
            self.fleet.restart_engine(&address);
        }
    }
}
