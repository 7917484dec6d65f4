//! The loop that feeds events to the core and carries out its effects.

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

use crate::border::BorderRefusals;
use crate::clock::Clock;
use crate::logger;
use crate::peers::Peers;
use crate::worker::Workers;

/// How often unused connections to peers are closed.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_secs(10);
/// Time without any caller after which an instance that has shut down may exit.
const QUIET: Duration = Duration::from_secs(1);
/// Longest time that an instance that has shut down goes on refusing callers.
const LONGEST_REFUSAL: Duration = Duration::from_secs(10);

/// Something for the loop to handle.
pub(crate) enum Input {
    /// An event for the core.
    Event(Event),
    /// A caller's request, with the way back for its answer.
    Caller(Ticket, CallerRequest, oneshot::Sender<Reply>),
    /// A caller closed its connection before the answer.
    CallerLeft(Ticket),
    /// A peer sent something that is no message.
    DamagedPeerMessage,
}

/// What other threads may read of the core without waiting for it.
#[derive(Debug)]
pub(crate) struct Snapshot {
    /// Whether the instance takes requests, or why not.
    pub(crate) ready: Result<(), NotReady>,
    /// Counters of the core.
    pub(crate) counters: Counters,
}

/// State that the loop shares with other threads.
#[derive(Debug)]
pub struct Shared {
    /// Newest snapshot of the core.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Bytes sent to peers.
    pub(crate) peer_bytes_sent: AtomicU64,
    /// Messages of peers that could not be understood.
    pub(crate) damaged_peer_messages: AtomicU64,
    /// Requests refused before they reached the core.
    pub border_refusals: BorderRefusals,
    /// Whether a signal asked for a graceful shutdown.
    pub(crate) shutdown_asked: Arc<AtomicBool>,
    /// Whether the core has ended, so that nothing that is asked from now on can run.
    pub(crate) core_ended: AtomicBool,
}

impl Shared {
    /// Returns the state before the first event.
    #[must_use]
    pub fn new(shutdown_asked: Arc<AtomicBool>) -> Self {
        let snapshot = Snapshot {
            ready: Err(NotReady::NoConfiguration),
            counters: Counters::default(),
        };
        Self {
            snapshot: ArcSwap::from_pointee(snapshot),
            peer_bytes_sent: AtomicU64::new(0),
            damaged_peer_messages: AtomicU64::new(0),
            border_refusals: BorderRefusals::default(),
            shutdown_asked,
            core_ended: AtomicBool::new(false),
        }
    }
}

/// The loop around one core.
pub(crate) struct Runtime {
    instance: Instance,
    clock: Clock,
    shared: Arc<Shared>,
    workers: Workers,
    peers: Peers,
    callers: IndexMap<Ticket, oneshot::Sender<Reply>>,
    shutting_down_since: Option<Instant>,
    shutdown_timeout: Duration,
}

impl Runtime {
    /// Returns a loop that has handled nothing yet.
    pub(crate) fn new(
        instance: Instance,
        clock: Clock,
        shared: Arc<Shared>,
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

    /// Handles inputs until the core has shut down.
    pub(crate) fn run(&mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now();
        let mut next_close = Instant::now() + CLOSE_IDLE_INTERVAL;
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            let running = match inputs.recv_timeout(wait) {
                Ok(input) => self.input(input),
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

    /// Returns whether the loop goes on.
    fn input(&mut self, input: Input) -> bool {
        match input {
            Input::Event(event) => self.handle(event),
            Input::Caller(ticket, request, reply) => {
                self.callers.insert(ticket, reply);
                self.handle(Event::Caller(ticket, request))
            }
            Input::CallerLeft(ticket) => {
                self.callers.swap_remove(&ticket);
                self.handle(Event::CallerGone(ticket))
            }
            Input::DamagedPeerMessage => {
                self.shared
                    .damaged_peer_messages
                    .fetch_add(1, Ordering::Relaxed);
                true
            }
        }
    }

    fn tick(&mut self) -> bool {
        let asked = self.shared.shutdown_asked.load(Ordering::Relaxed);
        if asked && self.shutting_down_since.is_none() {
            self.shutting_down_since = Some(Instant::now());
            if !self.handle(Event::Shutdown) {
                return false;
            }
        }
        let overdue = self
            .shutting_down_since
            .is_some_and(|since| since.elapsed() >= self.shutdown_timeout);
        if overdue {
            log::warn!("shutdown timeout: {} requests cut off", self.callers.len());
            return false;
        }
        let running = self.handle(Event::Tick);
        self.publish();
        running
    }

    fn publish(&self) {
        self.shared.snapshot.store(Arc::new(Snapshot {
            ready: self.instance.ready(),
            counters: self.instance.counters().clone(),
        }));
    }

    fn handle(&mut self, event: Event) -> bool {
        let mut effects = Vec::new();
        self.instance.handle(self.clock.now(), event, &mut effects);
        effects.into_iter().all(|effect| self.carry_out(effect))
    }

    fn carry_out(&mut self, effect: Effect) -> bool {
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
                    // A caller that went away does not wait for its answer.
                    let _ = caller.send(reply);
                }
            }
            Effect::Open(attempt) => self.workers.open(attempt),
            Effect::Note(note) => logger::log_note(&note),
            Effect::Exit => return false,
            Effect::Poll { .. }
            | Effect::ReadCache { .. }
            | Effect::Cancel { .. }
            | Effect::Order { .. }
            | Effect::Append { .. }
            | Effect::PollModel(_)
            | Effect::PollInstances
            | Effect::Score { .. } => self.workers.submit(effect),
        }
        true
    }
}

/// Refuses the callers that still come, until they have stayed away for a while.
///
/// Nothing that comes now can run, so that each is told so instead of being cut off.
///
/// A caller that asks after this, and before the process ends, is refused by its own thread: the
/// core ended before it asked.
pub(crate) fn refuse_late(shared: &Shared, inputs: &Receiver<Input>) {
    shared.core_ended.store(true, Ordering::SeqCst);
    let end = Instant::now() + LONGEST_REFUSAL;
    let mut quiet_at = Instant::now() + QUIET;
    while let Ok(input) = inputs.recv_deadline(quiet_at.min(end)) {
        if let Input::Caller(_, _, reply) = input {
            let refusal = Refusal::not_run(RefusalReason::ShuttingDown);
            // A caller that went away does not wait for its answer.
            let _ = reply.send(Reply::Refused(None, refusal));
            quiet_at = Instant::now() + QUIET;
        }
    }
}
