//! Naive implementation of an instance, as a baseline for the core.
//!
//! It sends every request to the engines at once, in round-robin order, and leaves queueing to the
//! engines, which serve first come, first served. It starts no hedges, resumes no streams, keeps no
//! replicas and refuses nothing. The instance with the lowest id in the instance list orders the
//! engines to load new weights, one at a time. It scores nothing, so its results exclude the
//! scorer's time.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use indexmap::IndexMap;
use wisteriaford_core::effect::Attempt;
use wisteriaford_core::effect::Effect;
use wisteriaford_core::event::AttemptEvent;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::Event;
use wisteriaford_core::event::Ticket;
use wisteriaford_core::hash::hash_parts;
use wisteriaford_core::id::AttemptId;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::Fence;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::PullNumber;
use wisteriaford_core::id::RequestId;
use wisteriaford_core::id::StepKey;
use wisteriaford_core::id::Version;
use wisteriaford_core::index_set::IndexSet;
use wisteriaford_core::label::Label;
use wisteriaford_core::label::Span;
use wisteriaford_core::refusal::Refusal;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::reply::GenerationResponse;
use wisteriaford_core::reply::Reply;
use wisteriaford_core::step::FinishedSample;
use wisteriaford_core::step::PullAnswer;
use wisteriaford_core::step::StepSpec;
use wisteriaford_core::step::sample_seed;
use wisteriaford_core::time::Timestamp;
use wisteriaford_core::work::Generation;
use wisteriaford_core::work::Work;
use wisteriaford_fakes::EventHandler;
use wisteriaford_proto::settings::Endpoint;
use wisteriaford_proto::settings::Priority;
use wisteriaford_proto::step::VersionSpan;

use super::scenario::TRAINED;

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);
const SAMPLES_PER_ANSWER: usize = 64;

/// Names and addresses of the endpoints by pool.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    pools: IndexMap<PoolId, Vec<(EndpointId, CompactString)>>,
}

impl From<&[Endpoint]> for EndpointTable {
    fn from(endpoints: &[Endpoint]) -> Self {
        let mut endpoint_table = Self::default();
        for endpoint in endpoints {
            let pool = PoolId::from(endpoint.pool.as_str());
            let id = EndpointId::from(endpoint.name.as_str());
            let address = CompactString::from(&endpoint.address);
            endpoint_table
                .pools
                .entry(pool)
                .or_default()
                .push((id, address));
        }
        endpoint_table
    }
}

#[derive(Clone, Debug)]
enum Origin {
    Caller(Ticket),
    Sample(StepKey, u32),
}

#[derive(Clone, Debug)]
struct Job {
    origin: Origin,
    pool: PoolId,
    work: Generation,
    endpoint: EndpointId,
    text: String,
    label: Label,
}

#[derive(Debug, Default)]
struct Step {
    total: u32,
    ready: IndexMap<u32, FinishedSample>,
}

#[derive(Debug)]
struct PendingPull {
    ticket: Ticket,
    key: StepKey,
    number: PullNumber,
    received: IndexSet,
    deadline: Timestamp,
}

/// Naive implementation of an instance.
#[derive(Debug)]
pub(super) struct Naive {
    instance_id: InstanceId,
    endpoint_table: Arc<EndpointTable>,
    round_robin_counter: usize,
    sequence: u64,
    jobs: IndexMap<AttemptId, Job>,
    retries: Vec<Job>,
    steps: IndexMap<StepKey, Step>,
    pending_pulls: Vec<PendingPull>,
    announced: Version,
    versions: IndexMap<EndpointId, Version>,
    is_first_listed: bool,
    next_poll: Timestamp,
}

impl EventHandler for Naive {
    fn handle(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, effects),
            Event::Caller(ticket, request) => self.accept_request(now, ticket, request, effects),
            Event::Attempt(attempt, event) => self.on_attempt_event(now, &attempt, event, effects),
            Event::Polled(endpoint, Ok(report)) => {
                self.versions.insert(endpoint, report.version);
            }
            Event::VersionAnnounced(model, version) if model.as_str() == TRAINED => {
                self.announced = version;
            }
            Event::InstancesListed(instances) => {
                let first = instances.iter().map(|listed| &listed.id).min();
                self.is_first_listed = first == Some(&self.instance_id);
            }
            Event::CallerDisconnected(ticket) => self.cancel_request(ticket, effects),
            _ => {}
        }
    }
}

impl Naive {
    /// Returns an instance with a fixed table of endpoints.
    #[must_use]
    pub(super) fn new(instance_id: InstanceId, endpoint_table: Arc<EndpointTable>) -> Self {
        Self {
            instance_id,
            endpoint_table,
            round_robin_counter: 0,
            sequence: 0,
            jobs: IndexMap::new(),
            retries: Vec::new(),
            steps: IndexMap::new(),
            pending_pulls: Vec::new(),
            announced: Version(1),
            versions: IndexMap::new(),
            is_first_listed: false,
            next_poll: Timestamp(0),
        }
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        for job in std::mem::take(&mut self.retries) {
            self.start_attempt(now, job, effects);
        }
        self.answer_pulls(now, effects);
        if now < self.next_poll {
            return;
        }
        self.next_poll = now + POLL_INTERVAL;
        effects.push(Effect::PollInstances);
        effects.push(Effect::PollModel(ModelId::from(TRAINED)));
        if self.is_first_listed {
            self.order_rollout(effects);
        }
    }

    /// Polls the versions of all engines, and orders the first outdated one to load new weights.
    fn order_rollout(&self, effects: &mut Vec<Effect>) {
        let pool = PoolId::from(TRAINED);
        let engines = self
            .endpoint_table
            .pools
            .get(&pool)
            .map_or(&[][..], Vec::as_slice);
        for (endpoint, address) in engines {
            effects.push(Effect::Poll {
                endpoint: endpoint.clone(),
                address: address.clone(),
            });
        }
        let is_outdated = |(endpoint, _): &&(EndpointId, CompactString)| {
            let version = self.versions.get(endpoint);
            version.is_some_and(|version| *version < self.announced)
        };
        if let Some((endpoint, address)) = engines.iter().find(is_outdated) {
            effects.push(Effect::Order {
                endpoint: endpoint.clone(),
                address: address.clone(),
                fence: Fence(1),
                version: self.announced,
            });
        }
    }

    fn accept_request(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        request: CallerRequest,
        effects: &mut Vec<Effect>,
    ) {
        match request {
            CallerRequest::Generate {
                pool,
                prompt,
                max_tokens,
                ..
            } => {
                let seed = hash_parts(&[prompt.as_bytes()]);
                let work = Generation {
                    prompt,
                    seed,
                    max_tokens,
                };
                self.start_attempt(now, new_job(Origin::Caller(ticket), pool, work), effects);
            }
            CallerRequest::Pull {
                trainer,
                step: number,
                pool,
                pull,
                received,
                wait,
                spec: Some(spec),
                ..
            } => {
                let key = StepKey { trainer, number };
                let Ok(received) = IndexSet::try_from(received.as_slice()) else {
                    return;
                };
                self.start_step(now, &key, &pool, &spec, &received, effects);
                self.pending_pulls.retain(|pull| pull.key != key);
                self.pending_pulls.push(PendingPull {
                    ticket,
                    key,
                    number: pull,
                    received,
                    deadline: now + wait,
                });
                self.answer_pulls(now, effects);
            }
            _ => {}
        }
    }

    /// Starts all missing samples of a step that this instance does not know yet.
    fn start_step(
        &mut self,
        now: Timestamp,
        key: &StepKey,
        pool: &PoolId,
        spec: &StepSpec,
        received: &IndexSet,
        effects: &mut Vec<Effect>,
    ) {
        if self.steps.contains_key(key) {
            return;
        }
        self.steps.retain(|known, _| known.trainer != key.trainer);
        let step = Step {
            total: spec.total(),
            ready: IndexMap::new(),
        };
        self.steps.insert(key.clone(), step);
        for index in (0..spec.total()).filter(|index| !received.contains(*index)) {
            let work = Generation {
                prompt: Arc::from(spec.prompt_of(index)),
                seed: sample_seed(key, index),
                max_tokens: spec.max_tokens,
            };
            let origin = Origin::Sample(key.clone(), index);
            self.start_attempt(now, new_job(origin, pool.clone(), work), effects);
        }
    }

    /// Sends a job to the next engine of its pool in round-robin order.
    fn start_attempt(&mut self, _now: Timestamp, mut job: Job, effects: &mut Vec<Effect>) {
        let Some(engines) = self.endpoint_table.pools.get(&job.pool) else {
            return;
        };
        self.round_robin_counter += 1;
        self.sequence += 1;
        let (endpoint, address) = &engines[self.round_robin_counter % engines.len()];
        let id =
            AttemptId::from(format_compact!("{}/{}", self.instance_id, self.sequence).as_str());
        job.endpoint = endpoint.clone();
        effects.push(Effect::StartAttempt(Attempt {
            id: id.clone(),
            request: RequestId::from(id.as_str()),
            endpoint: endpoint.clone(),
            address: address.clone(),
            work: Work::Generate(job.work.clone()),
            priority: Priority::Batch,
            silence_timeout: SILENCE_TIMEOUT,
            from_token: 0,
        }));
        self.jobs.insert(id, job);
    }

    /// Cancels the generation of a caller that has closed its connection.
    fn cancel_request(&mut self, closed_ticket: Ticket, effects: &mut Vec<Effect>) {
        let is_cancelled =
            |job: &Job| matches!(job.origin, Origin::Caller(ticket) if ticket == closed_ticket);
        let position = self.jobs.values().position(is_cancelled);
        let Some((attempt, job)) =
            position.and_then(|position| self.jobs.swap_remove_index(position))
        else {
            return;
        };
        let engines = self
            .endpoint_table
            .pools
            .get(&job.pool)
            .map_or(&[][..], Vec::as_slice);
        let mut engines = engines.iter();
        if let Some((_, address)) = engines.find(|(endpoint, _)| *endpoint == job.endpoint) {
            let address = address.clone();
            effects.push(Effect::CancelAttempt { attempt, address });
        }
    }

    fn on_attempt_event(
        &mut self,
        now: Timestamp,
        id: &AttemptId,
        event: AttemptEvent,
        effects: &mut Vec<Effect>,
    ) {
        match event {
            AttemptEvent::Tokens {
                from_token,
                tokens,
                text,
                version,
            } => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.text.push_str(&text);
                    let to_token = from_token + tokens;
                    let _ = job.label.append(Span {
                        from_token,
                        to_token,
                        version,
                    });
                }
            }
            AttemptEvent::Finished { .. } => {
                if let Some(job) = self.jobs.swap_remove(id) {
                    self.finish(now, job, effects);
                }
            }
            AttemptEvent::Failed(_) => {
                if let Some(job) = self.jobs.swap_remove(id) {
                    self.fail(job, effects);
                }
            }
            AttemptEvent::Answered { .. } => {}
        }
    }

    fn finish(&mut self, now: Timestamp, job: Job, effects: &mut Vec<Effect>) {
        match job.origin {
            Origin::Caller(ticket) => {
                let spans = job.label.spans().iter().map(|span| VersionSpan {
                    from_token: span.from_token,
                    to_token: span.to_token,
                    version: span.version.0,
                });
                let generated = GenerationResponse {
                    request: RequestId::from("naive"),
                    text: job.text,
                    tokens: job.label.tokens(),
                    spans: spans.collect(),
                    endpoint: job.endpoint,
                };
                effects.push(Effect::Reply(ticket, Reply::Generated(generated)));
            }
            Origin::Sample(key, index) => {
                let Some(step) = self.steps.get_mut(&key) else {
                    return;
                };
                let sample = FinishedSample {
                    index,
                    group: 0,
                    text: job.text,
                    tokens: job.label.tokens(),
                    label: job.label,
                    score_milli: None,
                    instance: self.instance_id.clone(),
                    endpoint: job.endpoint,
                };
                step.ready.insert(index, sample);
                self.answer_pulls(now, effects);
            }
        }
    }

    /// Queues a sample to be generated again; refuses a caller's request.
    fn fail(&mut self, job: Job, effects: &mut Vec<Effect>) {
        if let Origin::Caller(ticket) = job.origin {
            let refusal = Refusal::outcome_unknown(RefusalReason::EndpointFailed);
            effects.push(Effect::Reply(ticket, Reply::Refused(None, refusal)));
            return;
        }
        self.retries.push(Job {
            text: String::new(),
            label: Label::default(),
            ..job
        });
    }

    /// Answers the pulls for which samples are ready or whose wait time is over.
    fn answer_pulls(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let steps = &self.steps;
        self.pending_pulls.retain(|pull| {
            let Some(step) = steps.get(&pull.key) else {
                return false;
            };
            let ready = step.ready.values();
            let ready = ready.filter(|sample| !pull.received.contains(sample.index));
            let samples: Vec<_> = ready.take(SAMPLES_PER_ANSWER).cloned().collect();
            if samples.is_empty() && now < pull.deadline {
                return true;
            }
            let complete = pull.received.len() + samples.len() == step.total as usize;
            let answer = PullAnswer {
                number: pull.number,
                samples,
                complete,
            };
            effects.push(Effect::Reply(pull.ticket, Reply::Pulled(answer)));
            false
        });
    }
}

fn new_job(origin: Origin, pool: PoolId, work: Generation) -> Job {
    Job {
        origin,
        pool,
        work,
        endpoint: EndpointId::from(""),
        text: String::new(),
        label: Label::default(),
    }
}
