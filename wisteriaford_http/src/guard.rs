//! Applies the memory budget to the connections of a server.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::body_buffer;
use crate::budget::ACTIVE_CONNECTION_BYTES;
use crate::budget::Budget;
use crate::budget::BudgetLimits;
use crate::budget::ConnectionId;
use crate::budget::Phase;
use crate::budget::Refused;

/// Interval between two log lines about one source.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of sources that log lines are limited for; further ones are summed up.
const MAX_LOGGED_SOURCES: usize = 256;

/// Counts of what was refused or closed, since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GuardCounts {
    /// Connections closed at once, since no more may be open.
    pub refused_connections: u64,
    /// Requests refused for lack of memory.
    pub refused_requests: u64,
    /// Connections closed in favour of others.
    pub evicted: u64,
    /// Connections closed because a head or the reading of an answer took too long.
    pub timed_out: u64,
    /// Bytes held for callers at present.
    pub held_bytes: u64,
    /// Connections open at present.
    pub connections: u64,
}

impl GuardCounts {
    /// Returns the counts of events, with their names.
    #[must_use]
    pub fn events(&self) -> [(&'static str, u64); 4] {
        [
            ("refused_connection", self.refused_connections),
            ("refused_request", self.refused_requests),
            ("evicted", self.evicted),
            ("timed_out", self.timed_out),
        ]
    }
}

#[derive(Debug)]
struct State {
    budget: Budget,
    evictions: IndexMap<ConnectionId, Arc<Notify>>,
    counts: GuardCounts,
    /// Time of the last log line about a source, and what has happened since.
    logged: IndexMap<IpAddr, (Duration, u64)>,
}

/// Budget shared by the connections of a server.
#[derive(Debug)]
pub struct Guard {
    started: Instant,
    state: Mutex<State>,
}

impl Guard {
    /// Creates a guard with a budget.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            state: Mutex::new(State {
                budget: Budget::new(limits),
                evictions: IndexMap::new(),
                counts: GuardCounts::default(),
                logged: IndexMap::new(),
            }),
        })
    }

    /// Replaces the limits of the budget.
    pub fn set_limits(&self, limits: BudgetLimits) {
        self.lock().budget.set_limits(limits);
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> GuardCounts {
        let state = self.lock();
        GuardCounts {
            held_bytes: state.budget.used_bytes(),
            connections: u64::try_from(state.budget.connections()).unwrap_or(u64::MAX),
            ..state.counts
        }
    }

    /// Returns the memory of the budget, or `None` if it has no limit.
    pub(crate) fn limited_bytes(&self) -> Option<u64> {
        self.lock().budget.limited_bytes()
    }

    /// Admits a new connection; `None` if it must be closed at once.
    #[must_use]
    pub fn open(self: &Arc<Self>, source: IpAddr) -> Option<Slot> {
        let now = self.started.elapsed();
        let mut state = self.lock();
        let Ok((id, evicted)) = state.budget.open(now, source) else {
            state.counts.refused_connections += 1;
            state.log(now, source, "connection refused");
            return None;
        };
        state.notify(now, &evicted);
        let evicted = Arc::new(Notify::new());
        state.evictions.insert(id, Arc::clone(&evicted));
        drop(state);
        Some(Slot(Arc::new(SlotState {
            guard: Arc::clone(self),
            id,
            source,
            evicted,
            is_reading_body: AtomicBool::new(false),
        })))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn notify(&mut self, now: Duration, evicted: &[ConnectionId]) {
        for id in evicted {
            self.counts.evicted += 1;
            if let Some(notify) = self.evictions.get(id) {
                notify.notify_one();
            }
            if let Some(source) = self.budget.source(*id) {
                self.log(now, source, "connection closed in favour of others");
            }
        }
    }

    /// Logs an event of a source, unless one was logged a short time ago.
    fn log(&mut self, now: Duration, source: IpAddr, event: &str) {
        if !self.logged.contains_key(&source) && self.logged.len() >= MAX_LOGGED_SOURCES {
            self.logged
                .retain(|_, (logged_at, _)| now.saturating_sub(*logged_at) < LOG_INTERVAL);
            if self.logged.len() >= MAX_LOGGED_SOURCES {
                return;
            }
        }
        let (logged_at, suppressed) = match self.logged.get(&source) {
            Some((logged_at, suppressed)) => (Some(*logged_at), *suppressed),
            None => (None, 0),
        };
        if logged_at.is_some_and(|at| now.saturating_sub(at) < LOG_INTERVAL) {
            if let Some((_, suppressed)) = self.logged.get_mut(&source) {
                *suppressed += 1;
            }
            return;
        }
        self.logged.insert(source, (now, 0));
        log::warn!(
            source:% = source, event = event, suppressed = suppressed,
            held_bytes = self.budget.used_bytes(), connections = self.budget.connections();
            "limits of callers enforced"
        );
    }
}

#[derive(Debug)]
struct SlotState {
    guard: Arc<Guard>,
    id: ConnectionId,
    source: IpAddr,
    evicted: Arc<Notify>,
    /// Whether a body is arriving, so that its request can't have been passed on.
    is_reading_body: AtomicBool,
}

impl Drop for SlotState {
    fn drop(&mut self) {
        let mut state = self.guard.lock();
        state.budget.close(self.id);
        state.evictions.swap_remove(&self.id);
    }
}

/// Connection in a budget; its charges end when the last copy is dropped.
#[derive(Clone, Debug)]
pub struct Slot(Arc<SlotState>);

impl Slot {
    /// Waits until the connection must be closed in favour of others.
    pub async fn evicted(&self) {
        self.0.evicted.notified().await;
    }

    /// Records that a body is arriving, until the returned value is dropped.
    pub(crate) fn begin_body(&self) -> ReadingBody<'_> {
        self.0.is_reading_body.store(true, Ordering::Release);
        self.set_phase(Phase::Body);
        ReadingBody(self)
    }

    /// Returns whether a body is arriving.
    pub(crate) fn is_reading_body(&self) -> bool {
        self.0.is_reading_body.load(Ordering::Acquire)
    }

    /// Charges the buffers of a connection that has sent its first byte.
    ///
    /// # Errors
    ///
    /// Fails if the connection must be closed.
    pub fn activate(&self) -> Result<(), Refused> {
        self.reserve_bytes(ACTIVE_CONNECTION_BYTES)
    }

    /// Records what the connection does from now on.
    pub fn set_phase(&self, phase: Phase) {
        let now = self.0.guard.started.elapsed();
        self.0.guard.lock().budget.set_phase(now, self.0.id, phase);
    }

    /// Records received bytes of a body.
    pub fn record_received(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.0.guard.lock().budget.record_received(self.0.id, bytes);
    }

    /// Charges memory to the connection, until the charge is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the request must be refused.
    pub fn reserve(&self, bytes: usize) -> Result<Charge, Refused> {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.reserve_bytes(bytes)?;
        Ok(Charge {
            slot: self.clone(),
            bytes,
        })
    }

    /// Returns whether what the connection holds has room in the budget, after closing others if need be.
    #[must_use]
    pub fn is_within_budget(&self) -> bool {
        let now = self.0.guard.started.elapsed();
        let mut state = self.0.guard.lock();
        let Ok(evicted) = state.budget.reserve(now, self.0.id, 0) else {
            return false;
        };
        state.notify(now, &evicted);
        true
    }

    /// Charges what is held already to the connection, also beyond the budget, until the charge is dropped.
    #[must_use]
    pub fn charge_held(&self, bytes: usize) -> Charge {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let now = self.0.guard.started.elapsed();
        let mut state = self.0.guard.lock();
        let evicted = state.budget.charge_held(now, self.0.id, bytes);
        state.notify(now, &evicted);
        Charge {
            slot: self.clone(),
            bytes,
        }
    }

    /// Counts a connection that was closed because it was too slow.
    pub(crate) fn record_timeout(&self, event: &str) {
        let now = self.0.guard.started.elapsed();
        let mut state = self.0.guard.lock();
        state.counts.timed_out += 1;
        state.log(now, self.0.source, event);
    }

    fn reserve_bytes(&self, bytes: u64) -> Result<(), Refused> {
        let now = self.0.guard.started.elapsed();
        let mut state = self.0.guard.lock();
        match state.budget.reserve(now, self.0.id, bytes) {
            Ok(evicted) => {
                state.notify(now, &evicted);
                Ok(())
            }
            Err(refused) => {
                state.counts.refused_requests += 1;
                state.log(now, self.0.source, "request refused");
                Err(refused)
            }
        }
    }
}

/// Body that is arriving on a connection.
pub(crate) struct ReadingBody<'a>(&'a Slot);

impl Drop for ReadingBody<'_> {
    fn drop(&mut self) {
        self.0.0.is_reading_body.store(false, Ordering::Release);
        self.0.set_phase(Phase::Running);
    }
}

/// Memory charged to a connection, released on drop.
#[derive(Debug)]
pub struct Charge {
    slot: Slot,
    bytes: u64,
}

impl Charge {
    /// Returns the charged bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        usize::try_from(self.bytes).unwrap_or(usize::MAX)
    }

    /// Returns bytes that keep the charge until their last copy is dropped.
    #[must_use]
    pub fn hold(self, bytes: Vec<u8>) -> Bytes {
        body_buffer::hold(bytes, self)
    }

    /// Returns the bytes with this charge, which also lasts until their last copy is dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        body_buffer::attach(bytes, self)
    }

    /// Adds another charge of the same connection.
    pub(crate) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases a part.
    pub(crate) fn shrink(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let slot = &self.slot.0;
        slot.guard.lock().budget.release(slot.id, bytes);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
