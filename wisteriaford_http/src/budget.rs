//! Memory budget for all that a daemon holds for its callers, without input or output.
//!
//! Every connection, body and answer is charged. While there is room, everything is granted. What
//! doesn't fit takes the place of the connection that is least likely to complete, or is refused.

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;

/// Charge of an open connection that has sent nothing: the task and the kernel's socket.
pub const OPEN_CONNECTION_BYTES: u64 = 4 * 1024;
/// Further charge of a connection from its first byte on: the buffers of the HTTP library, up to the
/// head limit, header fields, and the kernel's buffers.
pub const ACTIVE_CONNECTION_BYTES: u64 = 60 * 1024;
/// Memory that isn't available to callers on any machine: program, routes, endpoints, batch jobs, other
/// instances and answers of the log.
const MIN_OWN_BYTES: u64 = 36 * 1024 * 1024;
/// Part of the machine's memory that isn't available to callers, as a divisor.
const OWN_DIVISOR: u64 = 4;
/// File descriptors reserved for files.
const RESERVED_FILES: usize = 200;
/// Bytes up to which what one connection holds counts as small: its buffers, and the body of an ordinary
/// call. Small holders may use the whole budget.
const SMALL_BYTES: u64 = OPEN_CONNECTION_BYTES + ACTIVE_CONNECTION_BYTES + 64 * 1024;
/// Bytes above which what one connection holds counts as large.
const LARGE_BYTES: u64 = 1024 * 1024;
/// Fractions of the budget that other holders leave to smaller ones, as divisors. Only a single large
/// holder needs more: the largest body that is decoded.
const MEDIUM_RESERVE_DIVISOR: u64 = 8;
const LARGE_RESERVE_DIVISOR: u64 = 4;
/// Delay beyond which a connection may be evicted. Ordinary bodies arrive within milliseconds, and a
/// slow one has the time of [`SLOWEST_BYTES_PER_S`] in addition.
pub const EVICTION_GRACE: Duration = Duration::from_millis(500);
/// Rate below which a body counts as delayed, 1/20 of the smallest machine's link.
const SLOWEST_BYTES_PER_S: u64 = 256 * 1024;
/// Idle time of a kept connection that counts as much as one second of a stalled request: callers use
/// kept connections again.
const IDLE_WEIGHT: u32 = 6;
/// Interval between searches for a connection to evict after one found none, so that a flood of
/// refused requests costs little processor time.
const SEARCH_INTERVAL: Duration = Duration::from_millis(5);

/// Identifies a connection of a caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It has sent nothing yet.
    New,
    /// A head is arriving.
    Head,
    /// A body is arriving.
    Body,
    /// A request is being processed, or its answer is being read.
    Running,
    /// The caller isn't reading an answer.
    Unread,
    /// It is kept open between two requests.
    Idle,
    /// It is being closed.
    Evicted,
}

/// The budget is used up, and nothing else may be evicted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused;

/// Limits of a budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Memory for everything that is held for callers, in bytes.
    pub total_bytes: u64,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Delay beyond which a connection may be evicted.
    pub eviction_grace: Duration,
}

impl BudgetLimits {
    /// Budget without limits.
    pub const UNLIMITED: Self = Self {
        total_bytes: u64::MAX,
        max_connections: usize::MAX,
        eviction_grace: EVICTION_GRACE,
    };

    /// Derives the limits from the memory of the machine and its file descriptors; `None` means no
    /// limit.
    #[must_use]
    pub fn for_machine(memory_bytes: Option<u64>, file_descriptors: Option<usize>) -> Self {
        let total_bytes = memory_bytes.map_or(u64::MAX, |memory_bytes| {
            memory_bytes.saturating_sub(MIN_OWN_BYTES.max(memory_bytes / OWN_DIVISOR))
        });
        // A request needs a second connection, to its endpoint.
        let max_connections = file_descriptors.map_or(usize::MAX, |descriptors| {
            descriptors.saturating_sub(RESERVED_FILES) / 2
        });
        Self {
            total_bytes,
            max_connections,
            eviction_grace: EVICTION_GRACE,
        }
    }
}

#[derive(Clone, Debug)]
struct Connection {
    source: IpAddr,
    phase: Phase,
    /// Time at which the phase began.
    since: Duration,
    /// Bytes received of the body.
    received_bytes: u64,
    held_bytes: u64,
}

impl Connection {
    /// Returns by how much a connection is behind one that will complete.
    fn delay(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.since);
        match self.phase {
            Phase::New | Phase::Head | Phase::Unread => age,
            Phase::Body => {
                let expected_us =
                    self.received_bytes.saturating_mul(1_000_000) / SLOWEST_BYTES_PER_S;
                age.saturating_sub(Duration::from_micros(expected_us))
            }
            Phase::Idle => age / IDLE_WEIGHT,
            Phase::Running | Phase::Evicted => Duration::ZERO,
        }
    }
}

/// Memory budget of a daemon for its callers.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: BudgetLimits,
    connections: IndexMap<ConnectionId, Connection>,
    sources: IndexMap<IpAddr, u64>,
    used_bytes: u64,
    next_id: u64,
    next_search_at: Duration,
}

impl Budget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            connections: IndexMap::new(),
            sources: IndexMap::new(),
            used_bytes: 0,
            next_id: 0,
            next_search_at: Duration::ZERO,
        }
    }

    /// Replaces the limits; what is held stays.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Returns the charged bytes.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the memory of the budget, or `None` if it has no limit.
    #[must_use]
    pub fn limited_bytes(&self) -> Option<u64> {
        let total_bytes = self.limits.total_bytes;
        (total_bytes != u64::MAX).then_some(total_bytes)
    }

    /// Returns the source address of a connection.
    #[must_use]
    pub fn source(&self, id: ConnectionId) -> Option<IpAddr> {
        self.connections
            .get(&id)
            .map(|connection| connection.source)
    }

    /// Opens a connection; returns its id, and the connections to close for it.
    ///
    /// # Errors
    ///
    /// Fails if the connection must be closed at once.
    pub fn open(
        &mut self,
        now: Duration,
        source: IpAddr,
    ) -> Result<(ConnectionId, Vec<ConnectionId>), Refused> {
        let mut evicted = Vec::new();
        if self.connections.len() >= self.limits.max_connections {
            evicted.push(self.evict(now, source, None, |_| true)?);
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            source,
            phase: Phase::New,
            since: now,
            received_bytes: 0,
            held_bytes: 0,
        };
        self.connections.insert(id, connection);
        match self.reserve(now, id, OPEN_CONNECTION_BYTES) {
            Ok(more) => evicted.extend(more),
            Err(refused) => {
                self.close(id);
                return Err(refused);
            }
        }
        Ok((id, evicted))
    }

    /// Records what a connection does from now on.
    pub fn set_phase(&mut self, now: Duration, id: ConnectionId, phase: Phase) {
        if let Some(connection) = self.connections.get_mut(&id)
            && connection.phase != Phase::Evicted
            && connection.phase != phase
        {
            connection.phase = phase;
            connection.since = now;
            connection.received_bytes = 0;
        }
    }

    /// Records received bytes of a body.
    pub fn record_received(&mut self, id: ConnectionId, bytes: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.received_bytes += bytes;
        }
    }

    /// Charges memory to a connection; returns the connections to close for it, whose memory is still
    /// charged until they are closed.
    ///
    /// # Errors
    ///
    /// Fails if there is no room and no connection that may be evicted.
    pub fn reserve(
        &mut self,
        now: Duration,
        id: ConnectionId,
        bytes: u64,
    ) -> Result<Vec<ConnectionId>, Refused> {
        let Some(connection) = self.connections.get(&id) else {
            return Err(Refused);
        };
        let (source, held_bytes) = (connection.source, connection.held_bytes);
        let limit_bytes = self.limit_bytes(id, held_bytes.saturating_add(bytes));
        let mut evicted = Vec::new();
        let mut expected_bytes = self.used_bytes.saturating_sub(self.evicted_bytes());
        while expected_bytes.saturating_add(bytes) > limit_bytes {
            let victim = self.evict(now, source, Some(id), |victim| victim.held_bytes > 0)?;
            expected_bytes -= self.connections[&victim].held_bytes.min(expected_bytes);
            evicted.push(victim);
        }
        self.charge(id, bytes);
        Ok(evicted)
    }

    /// Charges memory that is held already, even beyond the budget; returns the connections to close.
    pub fn charge_held(
        &mut self,
        now: Duration,
        id: ConnectionId,
        bytes: u64,
    ) -> Vec<ConnectionId> {
        self.reserve(now, id, bytes).unwrap_or_else(|Refused| {
            self.charge(id, bytes);
            Vec::new()
        })
    }

    /// Ends a charge.
    pub fn release(&mut self, id: ConnectionId, bytes: u64) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.held_bytes = connection.held_bytes.saturating_sub(bytes);
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
        let source = connection.source;
        self.release_source(source, bytes);
    }

    /// Ends a connection, and all its charges.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.swap_remove(&id) {
            self.used_bytes = self.used_bytes.saturating_sub(connection.held_bytes);
            self.release_source(connection.source, connection.held_bytes);
        }
    }

    fn charge(&mut self, id: ConnectionId, bytes: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held_bytes += bytes;
            self.used_bytes += bytes;
            *self.sources.entry(connection.source).or_default() += bytes;
        }
    }

    fn release_source(&mut self, source: IpAddr, bytes: u64) {
        if let Some(used_bytes) = self.sources.get_mut(&source) {
            *used_bytes = used_bytes.saturating_sub(bytes);
            if *used_bytes == 0 {
                self.sources.swap_remove(&source);
            }
        }
    }

    /// Returns the limit on all charges for a connection that would hold `held_bytes`.
    fn limit_bytes(&self, id: ConnectionId, held_bytes: u64) -> u64 {
        let total_bytes = self.limits.total_bytes;
        if held_bytes <= SMALL_BYTES {
            return total_bytes;
        }
        let medium_bytes = total_bytes - total_bytes / MEDIUM_RESERVE_DIVISOR;
        if held_bytes <= LARGE_BYTES {
            return medium_bytes;
        }
        let mut others = self.connections.iter().filter(|(other, _)| **other != id);
        if others.any(|(_, other)| other.held_bytes > LARGE_BYTES) {
            total_bytes - total_bytes / LARGE_RESERVE_DIVISOR
        } else {
            medium_bytes
        }
    }

    /// Returns what connections that are being closed still hold.
    fn evicted_bytes(&self) -> u64 {
        if self.used_bytes <= self.limits.total_bytes / 2 {
            return 0;
        }
        let evicted = self.connections.values();
        let evicted = evicted.filter(|connection| connection.phase == Phase::Evicted);
        evicted.map(|connection| connection.held_bytes).sum()
    }

    /// Evicts the connection that is least likely to complete, first of the sources that use more than
    /// an equal share.
    fn evict(
        &mut self,
        now: Duration,
        source: IpAddr,
        keep: Option<ConnectionId>,
        is_useful: impl Fn(&Connection) -> bool,
    ) -> Result<ConnectionId, Refused> {
        if now < self.next_search_at {
            return Err(Refused);
        }
        let sources = u64::try_from(self.sources.len().max(1)).unwrap_or(u64::MAX);
        let share_bytes = self.used_bytes / sources;
        let exceeds_share = |source: &IpAddr| {
            let used_bytes = self.sources.get(source).copied().unwrap_or_default();
            used_bytes > share_bytes
        };
        let may_take_from_others = !exceeds_share(&source);
        let candidates = self.connections.iter().filter(|(id, connection)| {
            Some(**id) != keep
                && connection.delay(now) > self.limits.eviction_grace
                && is_useful(connection)
                && (connection.source == source
                    || may_take_from_others
                    || exceeds_share(&connection.source))
        });
        let victim = candidates.max_by_key(|(_, connection)| {
            (exceeds_share(&connection.source), connection.delay(now))
        });
        let Some(victim) = victim.map(|(id, _)| *id) else {
            self.next_search_at = now + SEARCH_INTERVAL;
            return Err(Refused);
        };
        self.set_phase(now, victim, Phase::Evicted);
        Ok(victim)
    }
}
