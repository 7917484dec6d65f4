//! A fleet of instances and what they stand between, in virtual time.

mod border;
mod faults;

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use compact_str::format_compact;
use indexmap::IndexMap;
use wisteriaford_core::effect::Effect;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::Event;
use wisteriaford_core::event::Identity;
use wisteriaford_core::event::LogFailure;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::event::Ticket;
use wisteriaford_core::hash::hash_parts;
use wisteriaford_core::id::AttemptId;
use wisteriaford_core::id::AvailabilityZone;
use wisteriaford_core::id::Incarnation;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::Offset;
use wisteriaford_core::id::Region;
use wisteriaford_core::id::Version;
use wisteriaford_core::instance::Instance;
use wisteriaford_core::instance::Options;
use wisteriaford_core::instance::TICK_INTERVAL;
use wisteriaford_core::membership::ListedInstance;
use wisteriaford_core::membership::ListedState;
use wisteriaford_core::note::Note;
use wisteriaford_core::reply::Reply;
use wisteriaford_core::time::Timestamp;
use wisteriaford_core::work::Generation;

use crate::engine::Engine;
use crate::log::Log;
use crate::node::Maker;
use crate::node::Node;
use crate::node::NodeState;
use crate::schedule::Schedule;
use crate::service::Service;

/// Time that the log holds a read which has nothing to return.
const LOG_WAIT: Duration = Duration::from_secs(2);
/// Pause after a failed read of the log.
const LOG_RETRY: Duration = Duration::from_millis(500);
/// Port that all instances listen at for peers.
const PEER_PORT: u16 = 7_401;
/// Seeds that a new instance is given at most.
const MAX_SEEDS: usize = 3;

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Seed of the instances' random choices.
    pub seed: u64,
    /// One-way latency within an availability zone.
    pub zone_latency: Duration,
    /// One-way latency between availability zones of a region.
    pub region_latency: Duration,
    /// One-way latency between regions.
    pub far_latency: Duration,
    /// One-way latency to the platform's services.
    pub platform_latency: Duration,
    /// Weight loads that the weight store serves at once.
    pub concurrent_loads: usize,
    /// Time that a scorer takes for a batch.
    pub score_time: Duration,
    /// Time that a generation has if its caller names none.
    pub default_timeout: Duration,
    /// Whether the processor time of each instance is measured.
    pub is_timed: bool,
    /// Whether finished streams are kept in [`Fleet::finished`].
    pub is_traced: bool,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            zone_latency: Duration::from_micros(250),
            region_latency: Duration::from_millis(1),
            far_latency: Duration::from_millis(20),
            platform_latency: Duration::from_millis(2),
            concurrent_loads: 2,
            score_time: Duration::from_millis(20),
            default_timeout: Duration::from_secs(60),
            is_timed: false,
            is_traced: false,
        }
    }
}

/// Reply of an instance to a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    /// When the instance gave it.
    pub at: Timestamp,
    /// Instance.
    pub instance: InstanceId,
    /// Ticket that [`Fleet::call`] returned.
    pub ticket: Ticket,
    /// Reply.
    pub reply: Reply,
}

/// Messages of one kind that an instance sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sent {
    /// Messages.
    pub messages: u64,
    /// Bytes, as encoded.
    pub bytes: u64,
}

impl Sent {
    pub(crate) fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// Returns the address for peers of an instance.
fn address_of(name: &str) -> CompactString {
    format_compact!("{name}:{PEER_PORT}")
}

/// Returns the instance that has an address for peers.
fn instance_at(address: &str) -> InstanceId {
    let name = address.split_once(':').map_or(address, |(name, _)| name);
    InstanceId::from(name)
}

/// What is due at some time.
#[derive(Debug)]
pub(crate) enum Item {
    Event(InstanceId, u64, Event),
    Tick(InstanceId, u64),
    /// Read that is sent again when it ends.
    ReadLog(InstanceId, u64, LogStream),
    /// Read that ends early, as something was appended.
    Wake(InstanceId, u64, LogStream),
    Restart(CompactString, u64),
    Line(CompactString, u64, AttemptId),
    Load(CompactString, u64),
    LoadDone(CompactString, u64),
}

/// Tokens that engines made, and the version that made them, by answer.
type Made = IndexMap<u64, Vec<(Range<u32>, Version)>>;

fn answer_key(prompt: &str, seed: u64) -> u64 {
    hash_parts(&[prompt.as_bytes(), &seed.to_le_bytes()])
}

/// A fleet of instances and what they stand between, in virtual time.
pub struct Fleet {
    /// Fake of the log.
    pub log: Log,
    /// Fakes of model engines, by address.
    pub engines: IndexMap<CompactString, Engine>,
    /// Fakes of plain services, by address.
    pub services: IndexMap<CompactString, Service>,
    /// Newest version of each model, as the weight store announces it.
    pub models: IndexMap<ModelId, Version>,
    /// Whether scorers fail.
    pub is_scorer_down: bool,
    /// Platform's list of instances; all that run, if none is set.
    pub listed: Option<Vec<ListedInstance>>,
    /// Where endpoints run, by address.
    pub zones: IndexMap<CompactString, (AvailabilityZone, Region)>,
    /// What engines finished, if that is traced; for the driver to take.
    pub finished: Vec<Generation>,
    /// Makes what decides in place of the core in each instance started from now on, if set.
    pub maker: Option<Maker>,
    /// Lines that the instances logged.
    pub notes: Vec<(Timestamp, InstanceId, Note)>,
    /// Processor time of each instance, if it is measured.
    pub handle_time: IndexMap<InstanceId, Duration>,
    /// Whether it is remembered which version made which tokens, for [`Fleet::made`].
    pub remembers_made: bool,
    /// Token lines that arrive late, after those that follow them.
    pub late_lines: u32,
    /// Token lines that arrive twice.
    pub repeat_lines: u32,
    /// Messages that each instance sent, by the name of their kind.
    pub sent: IndexMap<(InstanceId, &'static str), Sent>,
    /// Messages that reached each instance, by the name of their kind.
    pub received: IndexMap<(InstanceId, &'static str), Sent>,
    /// Reads of the log by stream, and the bytes of the records that they returned.
    pub log_reads: IndexMap<LogStream, Sent>,
    /// Whether instances of different regions reach each other.
    pub are_regions_apart: bool,
    /// Only instance that the log answers, if one is set.
    pub log_answers_only: Option<InstanceId>,
    settings: FleetSettings,
    now: Timestamp,
    schedule: Schedule<Item>,
    nodes: IndexMap<InstanceId, Node>,
    answers: Vec<Answer>,
    next_ticket: u64,
    next_incarnation: u64,
    cuts: Vec<(InstanceId, InstanceId)>,
    loads_running: usize,
    made: Made,
}

impl Fleet {
    /// Returns a fleet without instances at the start of virtual time.
    #[must_use]
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            log: Log::default(),
            engines: IndexMap::new(),
            services: IndexMap::new(),
            models: IndexMap::new(),
            is_scorer_down: false,
            listed: None,
            zones: IndexMap::new(),
            finished: Vec::new(),
            maker: None,
            notes: Vec::new(),
            handle_time: IndexMap::new(),
            remembers_made: false,
            late_lines: 0,
            repeat_lines: 0,
            sent: IndexMap::new(),
            received: IndexMap::new(),
            log_reads: IndexMap::new(),
            are_regions_apart: false,
            log_answers_only: None,
            settings,
            now: Timestamp::from_millis(1_000_000),
            schedule: Schedule::new(),
            nodes: IndexMap::new(),
            answers: Vec::new(),
            next_ticket: 0,
            next_incarnation: 1,
            cuts: Vec::new(),
            loads_running: 0,
            made: Made::new(),
        }
    }

    /// Returns the time now.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Starts an instance; its address for peers is made from its name.
    pub fn start(&mut self, name: &str, zone: &str, region: &str) -> InstanceId {
        let id = InstanceId::from(name);
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let identity = Identity {
            id: id.clone(),
            address: address_of(name),
            availability_zone: AvailabilityZone::from(zone),
            region: Region::from(region),
            incarnation: Incarnation(self.now.as_millis() + incarnation),
        };
        let node = self.node(identity, incarnation);
        self.nodes.insert(id.clone(), node);
        self.schedule
            .push(self.now, Item::Tick(id.clone(), incarnation));
        for stream in LogStream::ALL {
            let read = Item::ReadLog(id.clone(), incarnation, stream);
            self.schedule.push(self.now, read);
        }
        id
    }

    fn node(&self, identity: Identity, run: u64) -> Node {
        let running = self
            .nodes
            .values()
            .filter(|n| n.state == NodeState::Running);
        let seeds = running.map(|node| node.identity.address.clone());
        let options = Options {
            seeds: seeds.take(MAX_SEEDS).collect(),
            default_timeout: self.settings.default_timeout,
            seed: self.settings.seed ^ run.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        Node {
            other: self.maker.as_ref().map(|maker| maker(&identity)),
            instance: Instance::new(identity.clone(), options),
            identity,
            state: NodeState::Running,
            run,
            held: Vec::new(),
            log_from: IndexMap::new(),
            log_rests: IndexMap::new(),
        }
    }

    /// Returns the names of all instances that were ever started.
    #[must_use]
    pub fn instances(&self) -> Vec<InstanceId> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns what an instance's process does.
    #[must_use]
    pub fn state(&self, instance: &InstanceId) -> NodeState {
        let node = self.nodes.get(instance);
        node.map_or(NodeState::Gone, |node| node.state)
    }

    /// Returns the core of an instance.
    #[must_use]
    pub fn core(&self, instance: &InstanceId) -> Option<&Instance> {
        self.nodes.get(instance).map(|node| &node.instance)
    }

    /// Hands a caller's request to an instance; none if nothing listens there.
    pub fn call(&mut self, instance: &InstanceId, request: CallerRequest) -> Option<Ticket> {
        if self.state(instance) == NodeState::Gone {
            return None;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.deliver(self.now, instance, Event::Caller(ticket, request));
        Some(ticket)
    }

    /// Tells an instance that a caller went away.
    pub fn hang_up(&mut self, instance: &InstanceId, ticket: Ticket) {
        self.deliver(self.now, instance, Event::CallerGone(ticket));
    }

    /// Asks an instance to shut down gracefully.
    pub fn shut_down(&mut self, instance: &InstanceId) {
        self.deliver(self.now, instance, Event::Shutdown);
    }

    /// Returns whether an engine that ran a version made these tokens of an answer.
    #[must_use]
    pub fn made(&self, prompt: &str, seed: u64, tokens: Range<u32>, version: Version) -> bool {
        let lines = self.made.get(&answer_key(prompt, seed));
        let by = |token: u32| {
            let mut lines = lines.into_iter().flatten();
            lines.any(|(line, by)| line.contains(&token) && *by == version)
        };
        tokens.into_iter().all(by)
    }

    /// Takes the replies given since the last call.
    pub fn take_answers(&mut self) -> Vec<Answer> {
        std::mem::take(&mut self.answers)
    }

    /// Lets virtual time pass until a point, or until the first reply to a caller.
    ///
    /// Returns whether there are replies to take.
    pub fn run_until_answer(&mut self, until: Timestamp) -> bool {
        while self.answers.is_empty() {
            let Some((at, item)) = self.schedule.pop(until) else {
                self.now = self.now.max(until);
                return false;
            };
            self.now = self.now.max(at);
            self.step(item);
        }
        true
    }

    /// Lets virtual time pass until a point.
    pub fn run_until(&mut self, until: Timestamp) {
        while let Some((at, item)) = self.schedule.pop(until) {
            self.now = self.now.max(at);
            self.step(item);
        }
        self.now = self.now.max(until);
    }

    /// Lets virtual time pass.
    pub fn run_for(&mut self, duration: Duration) {
        self.run_until(self.now + duration);
    }

    pub(crate) fn deliver(&mut self, at: Timestamp, to: &InstanceId, event: Event) {
        if let Some(node) = self.nodes.get(to) {
            let item = Item::Event(to.clone(), node.run, event);
            self.schedule.push(at, item);
        }
    }

    fn step(&mut self, item: Item) {
        match item {
            Item::Event(id, run, event) => self.event(&id, run, event),
            Item::Tick(id, run) => self.tick(id, run),
            Item::ReadLog(id, run, stream) => {
                let Some(wait) = self.read_log(&id, run, stream) else {
                    return;
                };
                let next = self.now + wait;
                self.schedule.push(next, Item::ReadLog(id, run, stream));
            }
            Item::Wake(id, run, stream) => self.wake(id, run, stream),
            Item::Restart(address, incarnation) => {
                let engine = self.engines.get(&address);
                if engine.is_some_and(|engine| engine.incarnation.0 == incarnation) {
                    self.restart_engine(&address);
                }
            }
            Item::Line(address, incarnation, attempt) => {
                self.line(&address, incarnation, &attempt);
            }
            Item::Load(address, incarnation) => self.load(address, incarnation),
            Item::LoadDone(address, incarnation) => self.load_done(&address, incarnation),
        }
    }

    fn event(&mut self, id: &InstanceId, run: u64, event: Event) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        if node.run != run {
            return;
        }
        match node.state {
            NodeState::Gone => {}
            NodeState::Frozen => node.held.push(event),
            NodeState::Running => self.handle(id, event),
        }
    }

    pub(crate) fn handle(&mut self, id: &InstanceId, event: Event) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let mut effects: Vec<Effect> = Vec::new();
        let started = self.settings.is_timed.then(Instant::now);
        match &mut node.other {
            Some(other) => other.handle(self.now, event, &mut effects),
            None => node.instance.handle(self.now, event, &mut effects),
        }
        if let Some(started) = started {
            *self.handle_time.entry(id.clone()).or_default() += started.elapsed();
        }
        for effect in effects {
            self.carry_out(id, effect);
        }
    }

    fn tick(&mut self, id: InstanceId, run: u64) {
        let Some(node) = self.nodes.get(&id) else {
            return;
        };
        if node.run != run || node.state == NodeState::Gone {
            return;
        }
        if node.state == NodeState::Running {
            self.handle(&id, Event::Tick);
        }
        let next = self.now + TICK_INTERVAL;
        self.schedule.push(next, Item::Tick(id, run));
    }

    /// Reads the log for an instance; returns when the next read is due.
    fn read_log(&mut self, id: &InstanceId, run: u64, stream: LogStream) -> Option<Duration> {
        let node = self.nodes.get_mut(id)?;
        if node.run != run || node.state == NodeState::Gone {
            return None;
        }
        if node.state == NodeState::Frozen {
            return Some(LOG_RETRY);
        }
        let from = node.log_from.get(&stream).copied().unwrap_or(Offset(1));
        let is_answered = self.log_answers_only.as_ref().is_none_or(|only| only == id);
        let result = if is_answered {
            self.log.read(stream, from)
        } else {
            Err(LogFailure::NotReached)
        };
        let reads = self.log_reads.entry(stream).or_default();
        reads.messages += 1;
        let wait = if result.is_ok() { LOG_WAIT } else { LOG_RETRY };
        if let Ok(read) = &result {
            let bytes = read.records.iter().map(|record| record.data.len() as u64);
            reads.bytes += bytes.sum::<u64>();
            let last = read.records.last().map(|record| record.offset.next());
            let next = last.unwrap_or(from.max(read.first_offset));
            node.log_from.insert(stream, next);
            if last.is_some() {
                let rests_until = self.now + stream.pause_after_records();
                node.log_rests.insert(stream, (rests_until, false));
            }
        }
        let at = self.now + self.settings.platform_latency;
        self.deliver(at, id, Event::LogRead(stream, result));
        Some(wait)
    }

    /// Ends an instance's read of the log, unless its reader rests after the one before.
    fn wake(&mut self, id: InstanceId, run: u64, stream: LogStream) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let rest = node.log_rests.entry(stream).or_default();
        if self.now >= rest.0 {
            self.read_log(&id, run, stream);
        } else if !std::mem::replace(&mut rest.1, true) {
            let at = rest.0;
            self.schedule.push(at, Item::Wake(id, run, stream));
        }
    }

    fn listed(&self) -> Vec<ListedInstance> {
        if let Some(listed) = &self.listed {
            return listed.clone();
        }
        let running = self.nodes.values().filter(|n| n.state != NodeState::Gone);
        let listed = running.map(|node| ListedInstance {
            id: node.identity.id.clone(),
            address: node.identity.address.clone(),
            availability_zone: node.identity.availability_zone.clone(),
            region: node.identity.region.clone(),
            state: ListedState::Live,
        });
        listed.collect()
    }

    pub(crate) fn latency(
        &self,
        from: (&AvailabilityZone, &Region),
        to: (&AvailabilityZone, &Region),
    ) -> Duration {
        if from.1 != to.1 {
            self.settings.far_latency
        } else if from.0 != to.0 {
            self.settings.region_latency
        } else {
            self.settings.zone_latency
        }
    }
}
