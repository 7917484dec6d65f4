//! Work of all instances at pools whose engines are ordered, as far as the leader knows it.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::gateway::scaling::MAX_DEMAND_AGE;
use crate::gateway::scaling::PoolWork;
use crate::id::PoolId;
use crate::time::Timestamp;

/// Time without a report or an answer after which a listed instance counts as gone, and its work as none. Instances
/// that are killed for good stay listed; one that is replaced or restarted runs again within seconds.
pub const GONE_TIME: Duration = Duration::from_secs(30);
/// Time for which a refused request counts as one that waits. Requests to engines run for seconds, so that each would
/// occupy a slot for at least this time.
const REFUSED_TIME: Duration = Duration::from_secs(1);
/// Maximum number of refused requests that are counted at a pool; it stands for far more engines than there are.
const MAX_REFUSED: usize = 10_000;

/// Requests of callers that this instance refused because a pool had no room.
#[derive(Clone, Debug, Default)]
pub struct RefusedRequests {
    pools: IndexMap<PoolId, VecDeque<Timestamp>>,
}

impl RefusedRequests {
    /// Records that a request was refused.
    pub fn record(&mut self, now: Timestamp, pool: &PoolId) {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), VecDeque::new());
        }
        let times = &mut self.pools[pool];
        if times.len() >= MAX_REFUSED {
            times.pop_front();
        }
        times.push_back(now);
    }

    /// Returns the number of requests that count as waiting for a pool.
    pub fn waiting(&mut self, now: Timestamp, pool: &PoolId) -> u64 {
        let Some(times) = self.pools.get_mut(pool) else {
            return 0;
        };
        let is_old = |at: &Timestamp| now.since(*at) >= REFUSED_TIME;
        while times.front().is_some_and(is_old) {
            times.pop_front();
        }
        u64::try_from(times.len()).unwrap_or(u64::MAX)
    }
}

/// What the leader knows of another instance.
#[derive(Clone, Debug)]
struct KnownInstance {
    /// Time of the last report or answer; at first, the time at which the instance was first asked for.
    heard_at: Timestamp,
    reported_at: Option<Timestamp>,
    work: IndexMap<PoolId, PoolWork>,
}

/// Work that the other instances report to the leader, in one of its terms.
#[derive(Clone, Debug, Default)]
pub struct ReportedWork {
    instances: IndexMap<CompactString, KnownInstance>,
}

impl ReportedWork {
    /// Records a report.
    pub fn record(
        &mut self,
        now: Timestamp,
        host: CompactString,
        work: IndexMap<PoolId, PoolWork>,
    ) {
        let instance = KnownInstance {
            heard_at: now,
            reported_at: Some(now),
            work,
        };
        self.instances.insert(host, instance);
    }

    /// Records that an instance answers, whether it reports or not.
    pub fn record_answer(&mut self, now: Timestamp, host: &CompactString) {
        if let Some(instance) = self.instances.get_mut(host) {
            instance.heard_at = now;
        }
    }

    /// Updates the list of the other instances, and returns those whose work isn't known. They must be asked whether
    /// they run.
    pub fn silent<'a>(
        &mut self,
        now: Timestamp,
        hosts: impl Iterator<Item = &'a CompactString>,
    ) -> Vec<CompactString> {
        let mut instances = IndexMap::new();
        let mut silent = Vec::new();
        for host in hosts {
            let known = self.instances.swap_remove(host);
            let instance = known.unwrap_or_else(|| KnownInstance {
                heard_at: now,
                reported_at: None,
                work: IndexMap::new(),
            });
            if !instance.is_current(now) {
                silent.push(host.clone());
            }
            instances.insert(host.clone(), instance);
        }
        self.instances = instances;
        silent
    }

    /// Returns the work of all listed instances at a pool; `None` if that of any of them isn't known.
    #[must_use]
    pub fn total(&self, now: Timestamp, pool: &PoolId) -> Option<PoolWork> {
        let mut total = PoolWork::default();
        for instance in self.instances.values() {
            if !instance.is_current(now) {
                if now.since(instance.heard_at) < GONE_TIME {
                    return None;
                }
                continue;
            }
            // An instance with an older configuration doesn't know that the pool is scaled.
            let work = instance.work.get(pool)?;
            total.waiting += work.waiting;
            total.running += work.running;
            total.due += work.due;
        }
        Some(total)
    }
}

impl KnownInstance {
    /// Returns whether the last report is recent enough.
    fn is_current(&self, now: Timestamp) -> bool {
        let reported_at = self.reported_at;
        reported_at.is_some_and(|reported_at| now.since(reported_at) <= MAX_DEMAND_AGE)
    }
}
