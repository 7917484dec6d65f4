//! Simulated fleet: instances with their callers, endpoints and platform, in virtual time.

mod effects;
mod faults;

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use compact_str::format_compact;
use indexmap::IndexMap;
use wisteriaford_core::diagnostic::Diagnostic;
use wisteriaford_core::effect::Effect;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::Event;
use wisteriaford_core::event::InstanceIdentity;
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
use wisteriaford_core::reply::Reply;
use wisteriaford_core::time::Timestamp;
use wisteriaford_core::work::Generation;

use crate::engine::Engine;
use crate::log::Log;
use crate::node::HandlerFactory;
use crate::node::Node;
use crate::node::NodeState;
use crate::schedule::Schedule;
use crate::service::Service;

/// Time after which a read without new records returns.
const LOG_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed log read is retried.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Port on which all instances accept peers.
const PEER_PORT: u16 = 7_401;
/// Maximum number of seed addresses passed to a new instance.
const MAX_SEEDS: usize = 3;

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Random seed of the instances.
    pub seed: u64,
    /// One-way latency within an availability zone.
    pub zone_latency: Duration,
    /// One-way latency between availability zones of a region.
    pub region_latency: Duration,
    /// One-way latency between regions.
    pub inter_region_latency: Duration,
    /// One-way latency to the platform's services.
    pub platform_latency: Duration,
    /// Maximum number of concurrent loads from the weight store.
    pub concurrent_loads: usize,
    /// Time in which a scorer answers a batch.
    pub score_time: Duration,
    /// Timeout of generations without a timeout of their own.
    pub default_timeout: Duration,
    /// Whether the processor time of each instance is measured.
    pub measures_processing_time: bool,
    /// Whether finished generations are collected in [`Fleet::finished`].
    pub keeps_finished: bool,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            zone_latency: Duration::from_micros(250),
            region_latency: Duration::from_millis(1),
            inter_region_latency: Duration::from_millis(20),
            platform_latency: Duration::from_millis(2),
            concurrent_loads: 2,
            score_time: Duration::from_millis(20),
            default_timeout: Duration::from_secs(60),
            measures_processing_time: false,
            keeps_finished: false,
        }
    }
}

/// Reply of an instance to a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Time of the reply.
    pub at: Timestamp,
    /// Instance that replied.
    pub instance: InstanceId,
    /// Ticket that [`Fleet::call`] returned.
    pub ticket: Ticket,
    /// Reply to the caller.
    pub reply: Reply,
}

/// Number and total size of messages or reads of one kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MessageTotals {
    /// Number of messages.
    pub messages: u64,
    /// Total encoded size in bytes.
    pub bytes: u64,
}

impl MessageTotals {
    pub(crate) fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// Returns the peer address of an instance.
fn peer_address(name: &str) -> CompactString {
    format_compact!("{name}:{PEER_PORT}")
}

/// Returns the instance with a peer address.
fn instance_at(address: &str) -> InstanceId {
    let name = address.split_once(':').map_or(address, |(name, _)| name);
    InstanceId::from(name)
}

/// Scheduled action. The number is the process run of the instance or the incarnation of the
/// engine, so that actions of an earlier one can be ignored.
#[derive(Debug)]
pub(crate) enum Action {
    Deliver(InstanceId, u64, Event),
    Tick(InstanceId, u64),
    /// Reads a log stream and schedules the next read.
    ReadLog(InstanceId, u64, LogStream),
    /// Reads a log stream early because records were appended.
    WakeReader(InstanceId, u64, LogStream),
    RestartEngine(CompactString, u64),
    SendChunk(CompactString, u64, AttemptId),
    StartLoad(CompactString, u64),
    FinishLoad(CompactString, u64),
}

/// Token ranges that engines generated, with their version, by answer key.
type GeneratedTokens = IndexMap<u64, Vec<(Range<u32>, Version)>>;

fn answer_key(prompt: &str, seed: u64) -> u64 {
    hash_parts(&[prompt.as_bytes(), &seed.to_le_bytes()])
}

/// Simulated fleet: instances with their callers, endpoints and platform, in virtual time.
pub struct Fleet {
    /// Fake of the platform's log.
    pub log: Log,
    /// Fake model engines, by address.
    pub engines: IndexMap<CompactString, Engine>,
    /// Fake plain services, by address.
    pub services: IndexMap<CompactString, Service>,
    /// Newest version of each model, as announced by the weight store.
    pub models: IndexMap<ModelId, Version>,
    /// Whether all scorers fail.
    pub is_scorer_down: bool,
    /// Instance list of the platform. If unset, it contains all instances that are not stopped.
    pub listed: Option<Vec<ListedInstance>>,
    /// Availability zone and region of endpoints, by address.
    pub endpoint_locations: IndexMap<CompactString, (AvailabilityZone, Region)>,
    /// Generations that engines finished, collected if `keeps_finished` is set.
    pub finished: Vec<Generation>,
    /// Creates the handler that replaces the core of instances started from now on, if set.
    pub handler_factory: Option<HandlerFactory>,
    /// Diagnostics that the instances reported.
    pub diagnostics: Vec<(Timestamp, InstanceId, Diagnostic)>,
    /// Processor time of each instance, measured if `measures_processing_time` is set.
    pub processing_time: IndexMap<InstanceId, Duration>,
    /// Whether the version of generated tokens is recorded for [`Fleet::were_generated_by`].
    pub records_token_versions: bool,
    /// Number of upcoming token chunks that arrive after their successors.
    pub late_chunks: u32,
    /// Number of upcoming token chunks that arrive twice.
    pub duplicate_chunks: u32,
    /// Messages sent, by instance and kind.
    pub sent: IndexMap<(InstanceId, &'static str), MessageTotals>,
    /// Messages received, by instance and kind.
    pub received: IndexMap<(InstanceId, &'static str), MessageTotals>,
    /// Number of log reads and size of the returned records, by stream.
    pub log_reads: IndexMap<LogStream, MessageTotals>,
    /// Whether messages between regions are dropped.
    pub are_regions_partitioned: bool,
    /// Only instance that can reach the log, if set.
    pub log_reachable_only_by: Option<InstanceId>,
    settings: FleetSettings,
    now: Timestamp,
    schedule: Schedule<Action>,
    nodes: IndexMap<InstanceId, Node>,
    answers: Vec<Answer>,
    next_ticket: u64,
    next_incarnation: u64,
    blocked_links: Vec<(InstanceId, InstanceId)>,
    loads_running: usize,
    generated_tokens: GeneratedTokens,
}

impl Fleet {
    /// Creates a fleet without instances.
    #[must_use]
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            log: Log::default(),
            engines: IndexMap::new(),
            services: IndexMap::new(),
            models: IndexMap::new(),
            is_scorer_down: false,
            listed: None,
            endpoint_locations: IndexMap::new(),
            finished: Vec::new(),
            handler_factory: None,
            diagnostics: Vec::new(),
            processing_time: IndexMap::new(),
            records_token_versions: false,
            late_chunks: 0,
            duplicate_chunks: 0,
            sent: IndexMap::new(),
            received: IndexMap::new(),
            log_reads: IndexMap::new(),
            are_regions_partitioned: false,
            log_reachable_only_by: None,
            settings,
            now: Timestamp::from_millis(1_000_000),
            schedule: Schedule::new(),
            nodes: IndexMap::new(),
            answers: Vec::new(),
            next_ticket: 0,
            next_incarnation: 1,
            blocked_links: Vec::new(),
            loads_running: 0,
            generated_tokens: GeneratedTokens::new(),
        }
    }

    /// Returns the current virtual time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Starts an instance, whose peer address is derived from its name.
    pub fn start(&mut self, name: &str, zone: &str, region: &str) -> InstanceId {
        let id = InstanceId::from(name);
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let identity = InstanceIdentity {
            id: id.clone(),
            address: peer_address(name),
            availability_zone: AvailabilityZone::from(zone),
            region: Region::from(region),
            incarnation: Incarnation(self.now.as_millis() + incarnation),
        };
        let node = self.node(identity, incarnation);
        self.nodes.insert(id.clone(), node);
        self.schedule
            .push(self.now, Action::Tick(id.clone(), incarnation));
        for stream in LogStream::ALL {
            let read = Action::ReadLog(id.clone(), incarnation, stream);
            self.schedule.push(self.now, read);
        }
        id
    }

    fn node(&self, identity: InstanceIdentity, run: u64) -> Node {
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
            custom_handler: self
                .handler_factory
                .as_ref()
                .map(|factory| factory(&identity)),
            instance: Instance::new(identity.clone(), options),
            identity,
            state: NodeState::Running,
            run,
            pending_events: Vec::new(),
            log_offsets: IndexMap::new(),
            log_pauses: IndexMap::new(),
        }
    }

    /// Returns all instances that were ever started.
    #[must_use]
    pub fn instances(&self) -> Vec<InstanceId> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns the state of an instance's process.
    #[must_use]
    pub fn state(&self, instance: &InstanceId) -> NodeState {
        let node = self.nodes.get(instance);
        node.map_or(NodeState::Stopped, |node| node.state)
    }

    /// Returns the core of an instance.
    #[must_use]
    pub fn core(&self, instance: &InstanceId) -> Option<&Instance> {
        self.nodes.get(instance).map(|node| &node.instance)
    }

    /// Sends a caller's request to an instance. Returns none if its process has ended.
    pub fn call(&mut self, instance: &InstanceId, request: CallerRequest) -> Option<Ticket> {
        if self.state(instance) == NodeState::Stopped {
            return None;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.deliver(self.now, instance, Event::Caller(ticket, request));
        Some(ticket)
    }

    /// Disconnects the caller of a request.
    pub fn disconnect_caller(&mut self, instance: &InstanceId, ticket: Ticket) {
        self.deliver(self.now, instance, Event::CallerDisconnected(ticket));
    }

    /// Starts a graceful shutdown of an instance.
    pub fn shut_down(&mut self, instance: &InstanceId) {
        self.deliver(self.now, instance, Event::Shutdown);
    }

    /// Returns whether engines with this version generated all these tokens of an answer.
    #[must_use]
    pub fn were_generated_by(
        &self,
        prompt: &str,
        seed: u64,
        tokens: Range<u32>,
        version: Version,
    ) -> bool {
        let chunks = self.generated_tokens.get(&answer_key(prompt, seed));
        let is_match = |token: u32| {
            let mut chunks = chunks.into_iter().flatten();
            chunks.any(|(range, by)| range.contains(&token) && *by == version)
        };
        tokens.into_iter().all(is_match)
    }

    /// Removes and returns the replies since the last call.
    pub fn take_answers(&mut self) -> Vec<Answer> {
        std::mem::take(&mut self.answers)
    }

    /// Advances virtual time to `until`, or to the first reply to a caller.
    ///
    /// Returns whether there are replies to collect.
    pub fn run_until_answer(&mut self, until: Timestamp) -> bool {
        while self.answers.is_empty() {
            let Some((at, action)) = self.schedule.pop(until) else {
                self.now = self.now.max(until);
                return false;
            };
            self.now = self.now.max(at);
            self.step(action);
        }
        true
    }

    /// Advances virtual time to `until`.
    pub fn run_until(&mut self, until: Timestamp) {
        while let Some((at, action)) = self.schedule.pop(until) {
            self.now = self.now.max(at);
            self.step(action);
        }
        self.now = self.now.max(until);
    }

    /// Advances virtual time by a duration.
    pub fn run_for(&mut self, duration: Duration) {
        self.run_until(self.now + duration);
    }

    pub(crate) fn deliver(&mut self, at: Timestamp, to: &InstanceId, event: Event) {
        if let Some(node) = self.nodes.get(to) {
            let action = Action::Deliver(to.clone(), node.run, event);
            self.schedule.push(at, action);
        }
    }

    fn step(&mut self, action: Action) {
        match action {
            Action::Deliver(id, run, event) => self.receive(&id, run, event),
            Action::Tick(id, run) => self.tick(id, run),
            Action::ReadLog(id, run, stream) => {
                let Some(wait) = self.read_log(&id, run, stream) else {
                    return;
                };
                let next = self.now + wait;
                self.schedule.push(next, Action::ReadLog(id, run, stream));
            }
            Action::WakeReader(id, run, stream) => self.wake_reader(id, run, stream),
            Action::RestartEngine(address, incarnation) => {
                let engine = self.engines.get(&address);
                if engine.is_some_and(|engine| engine.incarnation.0 == incarnation) {
                    self.restart_engine(&address);
                }
            }
            Action::SendChunk(address, incarnation, attempt) => {
                self.send_chunk(&address, incarnation, &attempt);
            }
            Action::StartLoad(address, incarnation) => self.start_load(address, incarnation),
            Action::FinishLoad(address, incarnation) => self.finish_load(&address, incarnation),
        }
    }

    fn receive(&mut self, id: &InstanceId, run: u64, event: Event) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        if node.run != run {
            return;
        }
        match node.state {
            NodeState::Stopped => {}
            NodeState::Paused => node.pending_events.push(event),
            NodeState::Running => self.handle(id, event),
        }
    }

    pub(crate) fn handle(&mut self, id: &InstanceId, event: Event) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let mut effects: Vec<Effect> = Vec::new();
        let started = self.settings.measures_processing_time.then(Instant::now);
        match &mut node.custom_handler {
            Some(handler) => handler.handle(self.now, event, &mut effects),
            None => node.instance.handle(self.now, event, &mut effects),
        }
        if let Some(started) = started {
            *self.processing_time.entry(id.clone()).or_default() += started.elapsed();
        }
        for effect in effects {
            self.execute(id, effect);
        }
    }

    fn tick(&mut self, id: InstanceId, run: u64) {
        let Some(node) = self.nodes.get(&id) else {
            return;
        };
        if node.run != run || node.state == NodeState::Stopped {
            return;
        }
        if node.state == NodeState::Running {
            self.handle(&id, Event::Tick);
        }
        let next = self.now + TICK_INTERVAL;
        self.schedule.push(next, Action::Tick(id, run));
    }

    /// Reads a log stream for an instance and returns the delay until the next read.
    fn read_log(&mut self, id: &InstanceId, run: u64, stream: LogStream) -> Option<Duration> {
        let node = self.nodes.get_mut(id)?;
        if node.run != run || node.state == NodeState::Stopped {
            return None;
        }
        if node.state == NodeState::Paused {
            return Some(LOG_RETRY_DELAY);
        }
        let from = node.log_offsets.get(&stream).copied().unwrap_or(Offset(1));
        let is_reachable = self
            .log_reachable_only_by
            .as_ref()
            .is_none_or(|only| only == id);
        let result = if is_reachable {
            self.log.read(stream, from)
        } else {
            Err(LogFailure::NotReached)
        };
        let reads = self.log_reads.entry(stream).or_default();
        reads.messages += 1;
        let wait = if result.is_ok() {
            LOG_READ_TIMEOUT
        } else {
            LOG_RETRY_DELAY
        };
        if let Ok(read) = &result {
            let bytes = read.records.iter().map(|record| record.data.len() as u64);
            reads.bytes += bytes.sum::<u64>();
            let last = read.records.last().map(|record| record.offset.next());
            let next = last.unwrap_or(from.max(read.first_offset));
            node.log_offsets.insert(stream, next);
            if last.is_some() {
                let paused_until = self.now + stream.pause_after_records();
                node.log_pauses.insert(stream, (paused_until, false));
            }
        }
        let at = self.now + self.settings.platform_latency;
        self.deliver(at, id, Event::LogRead(stream, result));
        Some(wait)
    }

    /// Reads a log stream at once, or when the reader's pause after the previous read ends.
    fn wake_reader(&mut self, id: InstanceId, run: u64, stream: LogStream) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let pause = node.log_pauses.entry(stream).or_default();
        if self.now >= pause.0 {
            self.read_log(&id, run, stream);
        } else if !std::mem::replace(&mut pause.1, true) {
            let at = pause.0;
            self.schedule.push(at, Action::WakeReader(id, run, stream));
        }
    }

    fn listed(&self) -> Vec<ListedInstance> {
        if let Some(listed) = &self.listed {
            return listed.clone();
        }
        let running = self
            .nodes
            .values()
            .filter(|n| n.state != NodeState::Stopped);
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
            self.settings.inter_region_latency
        } else if from.0 != to.0 {
            self.settings.region_latency
        } else {
            self.settings.zone_latency
        }
    }
}
