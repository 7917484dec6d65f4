//! Executes the effects of instances against the fakes.

use std::time::Duration;

use compact_str::CompactString;
use prost::Message;
use wisteriaford_core::effect::Attempt;
use wisteriaford_core::effect::Effect;
use wisteriaford_core::event::AttemptEvent;
use wisteriaford_core::event::AttemptFailure;
use wisteriaford_core::event::EndpointReport;
use wisteriaford_core::event::Event;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::event::OrderAnswer;
use wisteriaford_core::event::PollFailure;
use wisteriaford_core::hash::hash_parts;
use wisteriaford_core::id::AttemptId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Version;
use wisteriaford_core::step::Score;
use wisteriaford_core::step::ScoreFailure;
use wisteriaford_core::step::ScoreItem;
use wisteriaford_core::work::Call;
use wisteriaford_core::work::Generation;
use wisteriaford_core::work::Work;
use wisteriaford_proto::peer::PeerMessage;
use wisteriaford_proto::peer::peer_message::Body;

use super::Action;
use super::Answer;
use super::Fleet;
use super::answer_key;
use super::instance_at;
use crate::engine::Stream;
use crate::engine::expected_text;
use crate::engine::expected_tokens;
use crate::node::NodeState;

/// Time after which a poll of an unresponsive engine fails.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// Additional delay of a late or duplicated chunk. It exceeds the interval between two chunks, so
/// that the chunk arrives after its successor.
const LATE_CHUNK_DELAY: Duration = Duration::from_millis(450);
/// Delay before a load is retried while the weight store is at its limit.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);

impl Fleet {
    pub(super) fn execute(&mut self, id: &InstanceId, effect: Effect) {
        match effect {
            Effect::Send {
                address, message, ..
            } => self.send(id, &address, message),
            Effect::Reply(ticket, reply) => self.answers.push(Answer {
                at: self.now,
                instance: id.clone(),
                ticket,
                reply,
            }),
            Effect::StartAttempt(attempt) => self.open(id, &attempt),
            Effect::CancelAttempt { attempt, address } => {
                if let Some(engine) = self.engines.get_mut(&address) {
                    engine.streams.shift_remove(&attempt);
                }
                self.start_waiting(&address);
            }
            Effect::Poll { endpoint, address } => {
                let (delay, result) = self.poll(&address);
                let event = Event::Polled(endpoint, result);
                self.deliver(self.now + delay, id, event);
            }
            Effect::ReadCache {
                endpoint,
                address,
                from,
            } => {
                let at = self.now + self.settings.region_latency * 2;
                let engine = self.engines.get(&address);
                let engine = engine.filter(|engine| !engine.is_down);
                let read = engine.map(|engine| engine.read_cache(from));
                let result = read.ok_or(PollFailure::Refused);
                self.deliver(at, id, Event::CacheRead(endpoint, result));
            }
            Effect::Order {
                endpoint,
                address,
                fence,
                version,
            } => {
                let answer = self.order(&address, fence, version);
                let at = self.now + self.endpoint_latency(id, &address) * 2;
                self.deliver(at, id, Event::OrderAnswered(endpoint, answer));
            }
            Effect::Append {
                append,
                stream,
                record,
            } => {
                let result = self.log.append(self.now, stream, &record);
                let at = self.now + self.settings.platform_latency;
                self.deliver(at, id, Event::Appended(append, result));
                self.wake_readers(stream);
            }
            Effect::PollModel(model) => {
                if let Some(&version) = self.models.get(&model) {
                    let at = self.now + self.settings.platform_latency;
                    self.deliver(at, id, Event::VersionAnnounced(model, version));
                }
            }
            Effect::PollInstances => {
                let at = self.now + self.settings.platform_latency;
                let listed = self.listed();
                self.deliver(at, id, Event::InstancesListed(listed));
            }
            Effect::Score {
                ticket, samples, ..
            } => {
                let at = self.now + self.settings.score_time;
                let scores = self.score(&samples);
                self.deliver(at, id, Event::Scored(ticket, scores));
            }
            Effect::Diagnostic(report) => self.diagnostics.push((self.now, id.clone(), report)),
            Effect::Exit => self.kill(id),
        }
    }

    fn send(&mut self, from: &InstanceId, address: &CompactString, message: PeerMessage) {
        let sent = self
            .sent
            .entry((from.clone(), message_kind(&message)))
            .or_default();
        let bytes = message.encoded_len() as u64;
        sent.add(bytes);
        let to = self.nodes.get(&instance_at(address));
        let Some(to) = to.filter(|node| node.state != NodeState::Stopped) else {
            return;
        };
        let to = to.identity.clone();
        let is_blocked = |link: &(InstanceId, InstanceId)| link.0 == *from && link.1 == to.id;
        if self.blocked_links.iter().any(is_blocked) {
            return;
        }
        let Some(node) = self.nodes.get(from) else {
            return;
        };
        let sender = &node.identity;
        if self.are_regions_partitioned && sender.region != to.region {
            return;
        }
        let latency = self.latency(
            (&sender.availability_zone, &sender.region),
            (&to.availability_zone, &to.region),
        );
        let received = (to.id.clone(), message_kind(&message));
        self.received.entry(received).or_default().add(bytes);
        self.deliver(self.now + latency, &to.id, Event::Peer(message));
    }

    /// Returns the one-way latency between an instance and an endpoint.
    fn endpoint_latency(&self, id: &InstanceId, address: &str) -> Duration {
        let Some(node) = self.nodes.get(id) else {
            return self.settings.region_latency;
        };
        let Some((zone, region)) = self.endpoint_locations.get(address) else {
            return self.settings.zone_latency;
        };
        let sender = &node.identity;
        self.latency((&sender.availability_zone, &sender.region), (zone, region))
    }

    pub(super) fn wake_readers(&mut self, stream: LogStream) {
        let nodes = self.nodes.values();
        let reading = nodes.filter(|node| node.state == NodeState::Running);
        let woken: Vec<_> = reading
            .map(|node| (node.identity.id.clone(), node.run))
            .collect();
        let at = self.now + self.settings.platform_latency;
        for (id, run) in woken {
            self.schedule.push(at, Action::WakeReader(id, run, stream));
        }
    }

    fn open(&mut self, id: &InstanceId, attempt: &Attempt) {
        match &attempt.work {
            Work::Generate(generation) => self.generate(id, attempt, generation),
            Work::Call(call) => self.run_call(id, attempt, call),
        }
    }

    fn fail(&mut self, id: &InstanceId, attempt: &AttemptId, failure: AttemptFailure) {
        let at = self.now + self.settings.region_latency;
        let event = Event::Attempt(attempt.clone(), AttemptEvent::Failed(failure));
        self.deliver(at, id, event);
    }

    fn generate(&mut self, id: &InstanceId, attempt: &Attempt, work: &Generation) {
        let latency = self.endpoint_latency(id, &attempt.address);
        let run = self.nodes.get(id).map_or(0, |node| node.run);
        let Some(engine) = self.engines.get_mut(&attempt.address) else {
            self.fail(id, &attempt.id, AttemptFailure::NotConnected);
            return;
        };
        if engine.is_down {
            self.fail(id, &attempt.id, AttemptFailure::NotConnected);
            return;
        }
        engine.attempts_received += 1;
        if engine.is_leaving {
            self.fail(id, &attempt.id, AttemptFailure::Leaving);
            return;
        }
        let running = engine.streams.values().filter(|s| !s.is_waiting).count();
        let is_waiting = running >= engine.settings.slots;
        let stream = Stream {
            client: id.clone(),
            process_run: run,
            work: work.clone(),
            next_token: attempt.from_token,
            total_tokens: expected_tokens(&work.prompt, work.seed, work.max_tokens),
            is_stalled: engine.is_unresponsive,
            is_waiting,
        };
        engine.streams.insert(attempt.id.clone(), stream);
        if !is_waiting {
            let first = engine.settings.first_token_latency + engine.chunk_interval() + latency;
            let incarnation = engine.incarnation.0;
            let action =
                Action::SendChunk(attempt.address.clone(), incarnation, attempt.id.clone());
            self.schedule.push(self.now + first, action);
        }
    }

    /// Sends the next chunk of a stream and schedules the one after.
    pub(super) fn send_chunk(
        &mut self,
        address: &CompactString,
        incarnation: u64,
        attempt: &AttemptId,
    ) {
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        if engine.is_down || engine.incarnation.0 != incarnation {
            return;
        }
        let is_crash = engine
            .streams
            .get(attempt)
            .is_some_and(|stream| engine.crashes_on(&stream.work));
        if is_crash {
            self.crash_engine(address, Some(Duration::from_secs(3)));
            return;
        }
        let version = engine.version;
        let chunk_interval = engine.chunk_interval();
        let per_chunk = engine.settings.tokens_per_chunk.max(1);
        let Some(stream) = engine.streams.get_mut(attempt) else {
            return;
        };
        if stream.is_stalled {
            return;
        }
        let from_token = stream.next_token;
        let to_token = stream.total_tokens.min(from_token + per_chunk);
        stream.next_token = to_token;
        let is_done = to_token >= stream.total_tokens;
        let stream = stream.clone();
        engine.tokens_generated += u64::from(to_token.saturating_sub(from_token));
        if is_done {
            engine.streams.shift_remove(attempt);
            if self.settings.keeps_finished {
                self.finished.push(stream.work.clone());
            }
        }
        self.send_tokens(address, attempt, &stream, (from_token, to_token), version);
        if is_done {
            self.start_waiting(address);
            return;
        }
        let action = Action::SendChunk(address.clone(), incarnation, attempt.clone());
        self.schedule.push(self.now + chunk_interval, action);
    }

    fn send_tokens(
        &mut self,
        address: &str,
        attempt: &AttemptId,
        stream: &Stream,
        (from_token, to_token): (u32, u32),
        version: Version,
    ) {
        let at = self.now + self.endpoint_latency(&stream.client, address);
        let mut chunk_at = at;
        if consume_one(&mut self.late_chunks) {
            chunk_at = at + LATE_CHUNK_DELAY;
        }
        let is_duplicated = consume_one(&mut self.duplicate_chunks);
        let mut push = |at, event| {
            let event = Event::Attempt(attempt.clone(), event);
            let action = Action::Deliver(stream.client.clone(), stream.process_run, event);
            self.schedule.push(at, action);
        };
        if to_token > from_token {
            let work = &stream.work;
            if self.records_token_versions {
                let recorded = self
                    .generated_tokens
                    .entry(answer_key(&work.prompt, work.seed));
                recorded.or_default().push((from_token..to_token, version));
            }
            let tokens = AttemptEvent::Tokens {
                from_token,
                tokens: to_token - from_token,
                text: expected_text(&work.prompt, work.seed, from_token, to_token),
                version,
            };
            if is_duplicated {
                push(chunk_at + LATE_CHUNK_DELAY, tokens.clone());
            }
            push(chunk_at, tokens);
        }
        if to_token >= stream.total_tokens {
            let total_tokens = stream.total_tokens;
            push(at, AttemptEvent::Finished { total_tokens });
        }
    }

    fn start_waiting(&mut self, address: &CompactString) {
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        let Some(attempt) = engine.start_next_waiting() else {
            return;
        };
        let at = self.now + engine.settings.first_token_latency + engine.chunk_interval();
        let action = Action::SendChunk(address.clone(), engine.incarnation.0, attempt);
        self.schedule.push(at, action);
    }

    fn run_call(&mut self, id: &InstanceId, attempt: &Attempt, call: &Call) {
        let latency = self.endpoint_latency(id, &attempt.address);
        let Some(service) = self.services.get_mut(&attempt.address) else {
            self.fail(id, &attempt.id, AttemptFailure::NotConnected);
            return;
        };
        if service.is_down {
            self.fail(id, &attempt.id, AttemptFailure::NotConnected);
            return;
        }
        let is_delivered = service.run(attempt.request.as_str(), call.key.as_ref());
        let at = self.now + latency * 2 + service.call_time;
        let event = if is_delivered {
            AttemptEvent::Answered {
                status: 200,
                content_type: call.content_type.clone(),
                body: call.body.to_vec(),
            }
        } else {
            AttemptEvent::Failed(AttemptFailure::Broken)
        };
        self.deliver(at, id, Event::Attempt(attempt.id.clone(), event));
    }

    fn poll(&self, address: &str) -> (Duration, Result<EndpointReport, PollFailure>) {
        let round_trip = self.settings.region_latency * 2;
        if let Some(engine) = self.engines.get(address) {
            if engine.is_down {
                return (round_trip, Err(PollFailure::Refused));
            }
            if engine.is_unresponsive {
                return (POLL_TIMEOUT, Err(PollFailure::TimedOut));
            }
            return (round_trip, Ok(engine.report()));
        }
        match self.services.get(address) {
            Some(service) if !service.is_down => (round_trip, Ok(EndpointReport::default())),
            _ => (round_trip, Err(PollFailure::Refused)),
        }
    }

    fn order(
        &mut self,
        address: &CompactString,
        fence: wisteriaford_core::id::Fence,
        version: Version,
    ) -> OrderAnswer {
        let Some(engine) = self.engines.get_mut(address) else {
            return OrderAnswer::Unknown;
        };
        if engine.is_down || engine.is_unresponsive {
            return OrderAnswer::Unknown;
        }
        let (answer, starts_load) = engine.order(fence, version);
        if starts_load {
            let action = Action::StartLoad(address.clone(), engine.incarnation.0);
            self.schedule.push(self.now, action);
        }
        answer
    }

    /// Starts a weight load if the weight store has capacity, otherwise schedules a retry.
    pub(super) fn start_load(&mut self, address: CompactString, incarnation: u64) {
        let Some(engine) = self.engines.get(&address) else {
            return;
        };
        let is_stale = engine.is_down || engine.incarnation.0 != incarnation;
        if is_stale || engine.loading.is_none() {
            return;
        }
        if self.loads_running >= self.settings.concurrent_loads {
            let at = self.now + STORE_RETRY_DELAY;
            self.schedule
                .push(at, Action::StartLoad(address, incarnation));
            return;
        }
        self.loads_running += 1;
        let at = self.now + engine.settings.load_time;
        self.schedule
            .push(at, Action::FinishLoad(address, incarnation));
    }

    pub(super) fn finish_load(&mut self, address: &CompactString, incarnation: u64) {
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        if engine.is_down || engine.incarnation.0 != incarnation {
            return;
        }
        self.loads_running = self.loads_running.saturating_sub(1);
        engine.finish_load();
    }

    fn score(&self, samples: &[ScoreItem]) -> Result<Vec<Score>, ScoreFailure> {
        if self.is_scorer_down {
            return Err(ScoreFailure);
        }
        let scores = samples.iter().map(|sample| {
            let hash = hash_parts(&[sample.text.as_bytes()]) % 1_000;
            Score {
                index: sample.index,
                score_milli: i64::try_from(hash).unwrap_or_default(),
            }
        });
        Ok(scores.collect())
    }
}

fn consume_one(remaining: &mut u32) -> bool {
    let is_available = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_available
}

fn message_kind(message: &PeerMessage) -> &'static str {
    match &message.body {
        Some(Body::Membership(_)) => "membership",
        Some(Body::Admission(_)) => "admission",
        Some(Body::Step(_)) => "step",
        Some(Body::Fleet(_)) => "fleet",
        None => "none",
    }
}
