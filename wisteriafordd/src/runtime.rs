//! Event loop that feeds events to the core and executes the resulting effects.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use indexmap::IndexMap;
use tokio::sync::oneshot;
use wisteriaford_core::counters::Counters;
use wisteriaford_core::effect::Effect;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::Event;
use wisteriaford_core::event::Ticket;
use wisteriaford_core::instance::Instance;
use wisteriaford_core::instance::NotReady;
use wisteriaford_core::instance::TICK_INTERVAL;
use wisteriaford_core::refusal::Refusal;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::reply::Reply;

use crate::clock::Clock;
use crate::http_refusals::HttpRefusals;
use crate::logger;
use crate::peers::Peers;
use crate::worker::Workers;

/// Interval at which idle peer connections are closed.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_secs(10);
/// Time without a new request after which an instance that has shut down may exit.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Maximum time for which an instance that has shut down keeps refusing requests.
const MAX_REFUSAL_DURATION: Duration = Duration::from_secs(10);

/// Input of the event loop.
pub(crate) enum Input {
    /// An event for the core.
    Event(Event),
    /// A caller's request, with the channel for its reply.
    Caller(Ticket, CallerRequest, oneshot::Sender<Reply>),
    /// A caller closed its connection before it got its answer.
    CallerDisconnected(Ticket),
    /// A peer sent bytes that do not decode to a message.
    MalformedPeerMessage,
}

/// Copy of core state that other threads can read without blocking on the core.
#[derive(Debug)]
pub(crate) struct Snapshot {
    /// Whether the instance accepts requests, or why not.
    pub(crate) ready: Result<(), NotReady>,
    /// Counters maintained by the core.
    pub(crate) counters: Counters,
}

/// State that the event loop shares with other threads.
#[derive(Debug)]
pub struct SharedState {
    /// Latest snapshot of the core.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Bytes sent to peers.
    pub(crate) peer_bytes_sent: AtomicU64,
    /// Number of peer messages that could not be decoded.
    pub(crate) malformed_peer_messages: AtomicU64,
    /// Requests that the HTTP layer refused before they reached the core.
    pub http_refusals: HttpRefusals,
    /// Whether a signal requested a graceful shutdown.
    pub(crate) shutdown_requested: Arc<AtomicBool>,
    /// Whether the core has stopped, so that no later request can run.
    pub(crate) core_ended: AtomicBool,
}

impl SharedState {
    /// Creates the state as it is before the first event.
    #[must_use]
    pub fn new(shutdown_requested: Arc<AtomicBool>) -> Self {
        let snapshot = Snapshot {
            ready: Err(NotReady::NoConfiguration),
            counters: Counters::default(),
        };
        Self {
            snapshot: ArcSwap::from_pointee(snapshot),
            peer_bytes_sent: AtomicU64::new(0),
            malformed_peer_messages: AtomicU64::new(0),
            http_refusals: HttpRefusals::default(),
            shutdown_requested,
            core_ended: AtomicBool::new(false),
        }
    }
}

/// Event loop of one core.
pub(crate) struct Runtime {
    instance: Instance,
    clock: Clock,
    shared: Arc<SharedState>,
    workers: Workers,
    peers: Peers,
    callers: IndexMap<Ticket, oneshot::Sender<Reply>>,
    shutting_down_since: Option<Instant>,
    shutdown_timeout: Duration,
}

impl Runtime {
    /// Creates an event loop that has not handled any input yet.
    pub(crate) fn new(
        instance: Instance,
        clock: Clock,
        shared: Arc<SharedState>,
        workers: Workers,
        shutdown_timeout: Duration,
    ) -> Self {
        Self {
            instance,
            clock,
            shared,
            workers,
            peers: Peers::new(),
            callers: IndexMap::new(),
            shutting_down_since: None,
            shutdown_timeout,
        }
    }

    /// Processes inputs until the core has shut down.
    pub(crate) fn run(&mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now();
        let mut next_close = Instant::now() + CLOSE_IDLE_INTERVAL;
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            let running = match inputs.recv_timeout(wait) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => true,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if !running {
                return;
            }
            if Instant::now() < next_tick {
                continue;
            }
            next_tick = Instant::now() + TICK_INTERVAL;
            if !self.tick() {
                return;
            }
            if Instant::now() >= next_close {
                next_close = Instant::now() + CLOSE_IDLE_INTERVAL;
                self.peers.close_idle();
            }
        }
    }

    /// Handles an input and returns whether the event loop should continue.
    fn handle_input(&mut self, input: Input) -> bool {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Caller(ticket, request, reply) => {
                self.callers.insert(ticket, reply);
                self.handle_event(Event::Caller(ticket, request))
            }
            Input::CallerDisconnected(ticket) => {
                self.callers.swap_remove(&ticket);
                self.handle_event(Event::CallerDisconnected(ticket))
            }
            Input::MalformedPeerMessage => {
                self.shared
                    .malformed_peer_messages
                    .fetch_add(1, Ordering::Relaxed);
                true
            }
        }
    }

    fn tick(&mut self) -> bool {
        let requested = self.shared.shutdown_requested.load(Ordering::Relaxed);
        if requested && self.shutting_down_since.is_none() {
            self.shutting_down_since = Some(Instant::now());
            if !self.handle_event(Event::Shutdown) {
                return false;
            }
        }
        let timed_out = self
            .shutting_down_since
            .is_some_and(|since| since.elapsed() >= self.shutdown_timeout);
        if timed_out {
            log::warn!(
                "shutdown timed out, aborting {} requests in progress",
                self.callers.len()
            );
            return false;
        }
        let running = self.handle_event(Event::Tick);
        self.publish_snapshot();
        running
    }

    fn publish_snapshot(&self) {
        self.shared.snapshot.store(Arc::new(Snapshot {
            ready: self.instance.ready(),
            counters: self.instance.counters().clone(),
        }));
    }

    fn handle_event(&mut self, event: Event) -> bool {
        let mut effects = Vec::new();
        self.instance.handle(self.clock.now(), event, &mut effects);
        effects.into_iter().all(|effect| self.apply_effect(effect))
    }

    fn apply_effect(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Send {
                address, message, ..
            } => {
                let len_bytes = self.peers.send(&address, &message);
                self.shared
                    .peer_bytes_sent
                    .fetch_add(len_bytes as u64, Ordering::Relaxed);
            }
            Effect::Reply(ticket, reply) => {
                if let Some(caller) = self.callers.swap_remove(&ticket) {
                    // Fails if the caller has disconnected, in which case nobody needs the answer.
                    let _ = caller.send(reply);
                }
            }
            Effect::StartAttempt(attempt) => self.workers.spawn_attempt(attempt),
            Effect::Diagnostic(diagnostic) => logger::log_diagnostic(&diagnostic),
            Effect::Exit => return false,
            Effect::Poll { .. }
            | Effect::ReadCache { .. }
            | Effect::CancelAttempt { .. }
            | Effect::Order { .. }
            | Effect::Append { .. }
            | Effect::PollModel(_)
            | Effect::PollInstances
            | Effect::Score { .. } => self.workers.submit(effect),
        }
        true
    }
}

/// Refuses requests that arrive after shutdown, until none has arrived for [`QUIET_PERIOD`] or
/// [`MAX_REFUSAL_DURATION`] is over.
///
/// These requests can no longer run. Refusing them tells their callers so, where closing the
/// connection would not.
///
/// Requests that arrive after this function returns and before the process exits are refused by
/// the request handler, which sees that the core had already stopped.
pub(crate) fn refuse_late_callers(shared: &SharedState, inputs: &Receiver<Input>) {
    shared.core_ended.store(true, Ordering::SeqCst);
    let deadline = Instant::now() + MAX_REFUSAL_DURATION;
    let mut quiet_deadline = Instant::now() + QUIET_PERIOD;
    while let Ok(input) = inputs.recv_deadline(quiet_deadline.min(deadline)) {
        if let Input::Caller(_, _, reply) = input {
            let refusal = Refusal::not_run(RefusalReason::ShuttingDown);
            // Fails if the caller has disconnected, in which case nobody needs the answer.
            let _ = reply.send(Reply::Refused(None, refusal));
            quiet_deadline = Instant::now() + QUIET_PERIOD;
        }
    }
}
