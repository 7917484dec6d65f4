//! Threads that call endpoints and the platform.

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

/// Threads that poll endpoints; a silent endpoint holds one for the poll timeout.
const POLL_THREADS: usize = 8;
/// Threads that give orders to endpoints and cancel attempts.
const ENDPOINT_THREADS: usize = 4;
/// Threads that append to the log.
const APPEND_THREADS: usize = 4;
/// Threads that ask the weight store and the list of instances.
const PLATFORM_THREADS: usize = 2;
/// Threads that call scorers.
const SCORER_THREADS: usize = 4;
/// Polls that wait for a thread; those beyond are dropped, as they come again.
const MAX_POLLS_WAITING: usize = 256;
/// Longest wait for the answer of an endpoint to a poll.
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed read of the log.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Where the platform's services are, and how long to wait for them.
#[derive(Clone, Debug)]
pub(crate) struct Addresses {
    /// Name of this instance, as holder of orders.
    pub(crate) holder: String,
    /// Log.
    pub(crate) log: String,
    /// Weight store.
    pub(crate) weight_store: String,
    /// List of instances, if there is one.
    pub(crate) instance_list: Option<String>,
    /// Longest silence before a call is given up.
    pub(crate) silence_timeout: Duration,
}

/// Threads that call endpoints and the platform; they end when this is dropped.
///
/// Each kind of call has threads of its own, so that one service that is silent holds up no other.
pub(crate) struct Workers {
    polls: Sender<Effect>,
    endpoint_calls: Sender<Effect>,
    appends: Sender<Effect>,
    platform_polls: Sender<Effect>,
    scores: Sender<Effect>,
    inputs: Sender<Input>,
}

impl Workers {
    /// Starts the threads.
    pub(crate) fn start(addresses: Addresses, inputs: &Sender<Input>) -> Self {
        let addresses = Arc::new(addresses);
        let pool = |threads, channel| start_pool(threads, channel, &addresses, inputs);
        let polls = || crossbeam::channel::bounded(MAX_POLLS_WAITING);
        let calls = crossbeam::channel::unbounded;
        let workers = Self {
            polls: pool(POLL_THREADS, polls()),
            endpoint_calls: pool(ENDPOINT_THREADS, calls()),
            appends: pool(APPEND_THREADS, calls()),
            platform_polls: pool(PLATFORM_THREADS, polls()),
            scores: pool(SCORER_THREADS, calls()),
            inputs: inputs.clone(),
        };
        for stream in LogStream::ALL {
            let addresses = Arc::clone(&addresses);
            let inputs = inputs.clone();
            thread::spawn(move || follow_log(&addresses, stream, &inputs));
        }
        workers
    }

    /// Runs an attempt on a thread of its own.
    pub(crate) fn open(&self, attempt: Attempt) {
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

    /// Hands a call to the next free thread of its kind; polls that find none are dropped.
    pub(crate) fn submit(&self, effect: Effect) {
        let jobs = match effect {
            Effect::Poll { .. } | Effect::ReadCache { .. } => &self.polls,
            Effect::Cancel { .. } | Effect::Order { .. } => &self.endpoint_calls,
            Effect::Append { .. } => &self.appends,
            Effect::PollModel(_) | Effect::PollInstances => &self.platform_polls,
            Effect::Score { .. } => &self.scores,
            // The loop carries these out itself.
            Effect::Send { .. }
            | Effect::Reply(..)
            | Effect::Open(_)
            | Effect::Note(_)
            | Effect::Exit => return,
        };
        // Only the channels of polls have a bound, and polls come again.
        let _ = jobs.try_send(effect);
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
                let event = run(&addresses, effect);
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

fn run(addresses: &Addresses, effect: Effect) -> Option<Event> {
    let timeout = addresses.silence_timeout;
    let poll_timeout = timeout.min(MAX_POLL_TIMEOUT);
    match effect {
        Effect::Cancel { attempt, address } => {
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
            let answer = endpoint::order(&address, &addresses.holder, fence, version, timeout);
            Some(Event::Ordered(endpoint, answer))
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
            Some(Event::Announced(model, version))
        }
        Effect::PollInstances => {
            let address = addresses.instance_list.as_ref()?;
            let instances = platform::list_instances(address, timeout).ok()?;
            Some(Event::Listed(instances))
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
        | Effect::Open(_)
        | Effect::Note(_)
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
