//! Worker threads for calls to endpoints and the platform.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use prost::Message;
use wisteriaford_core::effect::Attempt;
use wisteriaford_core::effect::Effect;
use wisteriaford_core::event::AttemptEvent;
use wisteriaford_core::event::AttemptFailure;
use wisteriaford_core::event::Event;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::Offset;

use crate::endpoint;
use crate::platform;
use crate::runtime::Input;

/// Threads that poll endpoints. An endpoint that does not answer blocks one for the poll timeout.
const POLL_THREADS: usize = 8;
/// Threads that send orders to endpoints and cancel attempts.
const ENDPOINT_THREADS: usize = 4;
/// Threads that append to the log.
const APPEND_THREADS: usize = 4;
/// Threads that query the weight store and the instance list.
const PLATFORM_THREADS: usize = 2;
/// Threads that call scorers.
const SCORER_THREADS: usize = 4;
/// Maximum number of queued polls. Further polls are dropped, since polls are repeated.
const MAX_QUEUED_POLLS: usize = 256;
/// Maximum time to wait for an endpoint's answer to a poll.
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed read of the log is retried.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Addresses of the platform's services, and settings shared by all calls.
#[derive(Clone, Debug)]
pub(crate) struct Addresses {
    /// Id of this instance, sent with orders to endpoints.
    pub(crate) instance_id: String,
    /// Address of the log.
    pub(crate) log: String,
    /// Address of the weight store.
    pub(crate) weight_store: String,
    /// Address of the instance list, if there is one.
    pub(crate) instance_list: Option<String>,
    /// Time without an answer after which a call is aborted.
    pub(crate) silence_timeout: Duration,
}

/// Thread pools for calls to endpoints and the platform. Their threads exit when this is dropped.
///
/// Each kind of call has its own pool, so that a service that does not answer delays no other.
pub(crate) struct Workers {
    polls: Sender<Effect>,
    endpoint_calls: Sender<Effect>,
    appends: Sender<Effect>,
    platform_polls: Sender<Effect>,
    scores: Sender<Effect>,
    inputs: Sender<Input>,
}

impl Workers {
    /// Starts the thread pools and one log reader per stream.
    pub(crate) fn start(addresses: Addresses, inputs: &Sender<Input>) -> Self {
        let addresses = Arc::new(addresses);
        let pool = |threads, channel| start_pool(threads, channel, &addresses, inputs);
        let bounded = || crossbeam::channel::bounded(MAX_QUEUED_POLLS);
        let unbounded = crossbeam::channel::unbounded;
        let workers = Self {
            polls: pool(POLL_THREADS, bounded()),
            endpoint_calls: pool(ENDPOINT_THREADS, unbounded()),
            appends: pool(APPEND_THREADS, unbounded()),
            platform_polls: pool(PLATFORM_THREADS, bounded()),
            scores: pool(SCORER_THREADS, unbounded()),
            inputs: inputs.clone(),
        };
        for stream in LogStream::ALL {
            let addresses = Arc::clone(&addresses);
            let inputs = inputs.clone();
            thread::spawn(move || follow_log(&addresses, stream, &inputs));
        }
        workers
    }

    /// Runs an attempt on a dedicated thread.
    pub(crate) fn spawn_attempt(&self, attempt: Attempt) {
        let inputs = self.inputs.clone();
        let id = attempt.id.clone();
        let spawned = thread::Builder::new()
            .name(format!("attempt {id}"))
            .spawn(move || endpoint::run_attempt(&attempt, &inputs));
        if spawned.is_err() {
            let failed = AttemptEvent::Failed(AttemptFailure::NotConnected);
            let event = Event::Attempt(id, failed);
            let _ = self.inputs.send(Input::Event(event));
        }
    }

    /// Queues a call for the pool of its kind. A poll is dropped if the queue is full.
    pub(crate) fn submit(&self, effect: Effect) {
        let queue = match effect {
            Effect::Poll { .. } | Effect::ReadCache { .. } => &self.polls,
            Effect::CancelAttempt { .. } | Effect::Order { .. } => &self.endpoint_calls,
            Effect::Append { .. } => &self.appends,
            Effect::PollModel(_) | Effect::PollInstances => &self.platform_polls,
            Effect::Score { .. } => &self.scores,
            // The event loop executes these itself.
            Effect::Send { .. }
            | Effect::Reply(..)
            | Effect::StartAttempt(_)
            | Effect::Diagnostic(_)
            | Effect::Exit => return,
        };
        // Only the queues of polls are bounded, and polls are repeated.
        let _ = queue.try_send(effect);
    }
}

fn start_pool(
    threads: usize,
    (sender, receiver): (Sender<Effect>, Receiver<Effect>),
    addresses: &Arc<Addresses>,
    inputs: &Sender<Input>,
) -> Sender<Effect> {
    for _ in 0..threads {
        let addresses = Arc::clone(addresses);
        let receiver = receiver.clone();
        let inputs = inputs.clone();
        thread::spawn(move || {
            for effect in receiver {
                let event = execute(&addresses, effect);
                if let Some(event) = event
                    && inputs.send(Input::Event(event)).is_err()
                {
                    return;
                }
            }
        });
    }
    sender
}

fn execute(addresses: &Addresses, effect: Effect) -> Option<Event> {
    let timeout = addresses.silence_timeout;
    let poll_timeout = timeout.min(MAX_POLL_TIMEOUT);
    match effect {
        Effect::CancelAttempt { attempt, address } => {
            endpoint::cancel(&address, &attempt, timeout);
            None
        }
        Effect::Poll { endpoint, address } => {
            let report = endpoint::poll(&address, poll_timeout);
            Some(Event::Polled(endpoint, report))
        }
        Effect::ReadCache {
            endpoint,
            address,
            from,
        } => {
            let result = endpoint::read_cache(&address, from, poll_timeout);
            Some(Event::CacheRead(endpoint, result))
        }
        Effect::Order {
            endpoint,
            address,
            fence,
            version,
        } => {
            let answer = endpoint::order(&address, &addresses.instance_id, fence, version, timeout);
            Some(Event::OrderAnswered(endpoint, answer))
        }
        Effect::Append {
            append,
            stream,
            record,
        } => {
            let data = record.encode_to_vec();
            let result = platform::append(&addresses.log, stream, data, timeout);
            Some(Event::Appended(append, result))
        }
        Effect::PollModel(model) => {
            let version =
                platform::newest_version(&addresses.weight_store, &model, timeout).ok()?;
            Some(Event::VersionAnnounced(model, version))
        }
        Effect::PollInstances => {
            let address = addresses.instance_list.as_ref()?;
            let instances = platform::list_instances(address, timeout).ok()?;
            Some(Event::InstancesListed(instances))
        }
        Effect::Score {
            ticket,
            address,
            samples,
        } => {
            let scores = platform::score(&address, &samples, timeout);
            Some(Event::Scored(ticket, scores))
        }
        Effect::Send { .. }
        | Effect::Reply(..)
        | Effect::StartAttempt(_)
        | Effect::Diagnostic(_)
        | Effect::Exit => None,
    }
}

fn follow_log(addresses: &Addresses, stream: LogStream, inputs: &Sender<Input>) {
    let mut from = Offset(1);
    loop {
        let read = platform::read_log(&addresses.log, stream, from, addresses.silence_timeout);
        let failed = read.is_err();
        if let Ok(read) = &read {
            let last = read.records.last().map(|record| record.offset.next());
            from = last.unwrap_or(from.max(read.first_offset));
        }
        let has_records = read.as_ref().is_ok_and(|read| !read.records.is_empty());
        let event = Event::LogRead(stream, read);
        if inputs.send(Input::Event(event)).is_err() {
            return;
        }
        if failed {
            thread::sleep(LOG_RETRY_DELAY);
        } else if has_records {
            thread::sleep(stream.pause_after_records());
        }
    }
}
