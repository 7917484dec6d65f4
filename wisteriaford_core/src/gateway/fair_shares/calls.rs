//! Admission of calls to contended pools, by the outcomes of this instance's own calls.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::gateway::fair_shares::Demand;
use crate::gateway::fair_shares::ShareKey;
use crate::gateway::fair_shares::divide;
use crate::id::PoolId;
use crate::time::Timestamp;

/// Time for which outcomes are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Resolution of the counts.
const BUCKET: Duration = Duration::from_millis(500);
/// Time after the last refused call for which a pool counts as contended.
const CONTENDED_TIME: Duration = Duration::from_secs(2);
/// Number of calls that must have ended in the window for shares to be enforced.
const MIN_ENDED: u64 = 10;
/// Interval between divisions of a pool's capacity.
const DIVISION_INTERVAL: Duration = Duration::from_millis(250);
/// Capacity in percent of the calls served: the excess finds more capacity as soon as there is some.
const SERVED_PERCENT: u64 = 130;
/// Addition to the capacity in percent of the demand. It lets an instance recover whose estimate is too low: with
/// 5 %, an organisation whose calls all went to one instance had 17 % of success, with 8 % it has 33 %. With
/// 20 %, too much is sent to a pool that serves a tenth of the demand.
const DEMAND_PERCENT: u64 = 8;
/// Demand from which an organisation has a ratio of its own. Those with less share one for their priority: with one
/// call in the window each, a ratio for each would admit all of them.
const MIN_OWN_DEMAND_MILLI: u64 = 2_000;
/// Maximum number of pools with counts; the oldest are forgotten first.
const MAX_POOLS: usize = 1_024;

/// How an admitted call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// An endpoint answered it.
    Served,
    /// All endpoints refused it as full, or limit their requests.
    Refused,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    served: u64,
    refused: u64,
    over_share: u64,
}

#[derive(Clone, Debug)]
struct Bucket {
    begins_at: Timestamp,
    tallies: IndexMap<ShareKey, Tally>,
}

/// Ratio at which calls over their share are admitted.
#[derive(Clone, Copy, Debug)]
struct Ratio {
    permille: u64,
    /// Sum of the ratio over the calls since the last one that was admitted.
    credit_permille: u64,
}

impl Ratio {
    /// Returns the ratio of a part to a demand that exceeds it.
    fn new(part_milli: u64, demand_milli: u64, before: Option<&Self>) -> Option<Self> {
        if part_milli >= demand_milli {
            return None;
        }
        let permille = part_milli * 1_000 / demand_milli;
        Some(Self {
            permille,
            // The first call is admitted.
            credit_permille: before.map_or(1_000 - permille, |before| before.credit_permille),
        })
    }
}

#[derive(Clone, Debug, Default)]
struct PoolCalls {
    buckets: VecDeque<Bucket>,
    refused_at: Option<Timestamp>,
    divided_at: Option<Timestamp>,
    /// Ratios of the organisations that demand more than their part.
    ratios: IndexMap<ShareKey, Ratio>,
    /// Ratios of the other organisations that demand little, by priority.
    small_ratios: IndexMap<u32, Ratio>,
    /// Organisations that don't demand little.
    judged: IndexSet<ShareKey>,
}

impl PoolCalls {
    fn admit(&mut self, now: Timestamp, key: &ShareKey) -> bool {
        if !self.is_contended(now) {
            self.clear_ratios();
            return true;
        }
        let age = self.divided_at.map(|divided_at| now.since(divided_at));
        if age.is_none_or(|age| age >= DIVISION_INTERVAL) {
            self.divided_at = Some(now);
            self.update_ratios(now);
        }
        let ratio = match self.ratios.get_mut(key) {
            Some(ratio) => Some(ratio),
            None if self.judged.contains(key) => None,
            None => self.small_ratios.get_mut(&key.priority),
        };
        let Some(ratio) = ratio else {
            return true;
        };
        ratio.credit_permille += ratio.permille;
        if ratio.credit_permille >= 1_000 {
            ratio.credit_permille -= 1_000;
            return true;
        }
        self.tally(now, key).over_share += 1;
        false
    }

    fn is_contended(&self, now: Timestamp) -> bool {
        let refused_at = self.refused_at;
        refused_at.is_some_and(|refused_at| now.since(refused_at) < CONTENDED_TIME)
    }

    fn update_ratios(&mut self, now: Timestamp) {
        self.expire(now);
        let mut tallies: IndexMap<&ShareKey, Tally> = IndexMap::new();
        for (key, tally) in self.buckets.iter().flat_map(|bucket| &bucket.tallies) {
            let sum = tallies.entry(key).or_default();
            sum.served += tally.served;
            sum.refused += tally.refused;
            sum.over_share += tally.over_share;
        }
        let served: u64 = tallies.values().map(|tally| tally.served).sum();
        let refused: u64 = tallies.values().map(|tally| tally.refused).sum();
        if served + refused < MIN_ENDED {
            self.clear_ratios();
            return;
        }
        let demands = tallies.iter().map(|(key, tally)| Demand {
            priority: key.priority,
            amount_milli: (tally.served + tally.refused + tally.over_share) * 1_000,
        });
        let demands: Vec<Demand> = demands.collect();
        let demanded_milli: u64 = demands.iter().map(|demand| demand.amount_milli).sum();
        let capacity_milli =
            served * 1_000 * SERVED_PERCENT / 100 + demanded_milli * DEMAND_PERCENT / 100;
        let parts = divide(capacity_milli, &demands);
        let mut judged = IndexSet::new();
        let mut ratios = IndexMap::new();
        let mut small: IndexMap<u32, (u64, u64)> = IndexMap::new();
        for ((key, demand), part_milli) in tallies.keys().zip(&demands).zip(parts) {
            if demand.amount_milli < MIN_OWN_DEMAND_MILLI {
                let sum = small.entry(key.priority).or_default();
                sum.0 += part_milli;
                sum.1 += demand.amount_milli;
                continue;
            }
            judged.insert((*key).clone());
            let ratio = Ratio::new(part_milli, demand.amount_milli, self.ratios.get(*key));
            ratios.extend(ratio.map(|ratio| ((*key).clone(), ratio)));
        }
        let small = small.into_iter().filter_map(|(priority, (part, demand))| {
            let ratio = Ratio::new(part, demand, self.small_ratios.get(&priority))?;
            Some((priority, ratio))
        });
        self.small_ratios = small.collect();
        self.ratios = ratios;
        self.judged = judged;
    }

    fn clear_ratios(&mut self) {
        self.ratios.clear();
        self.small_ratios.clear();
        self.judged.clear();
    }

    fn expire(&mut self, now: Timestamp) {
        let is_old = |bucket: &Bucket| now.since(bucket.begins_at) >= WINDOW;
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
        }
    }

    fn tally(&mut self, now: Timestamp, key: &ShareKey) -> &mut Tally {
        let last = self.buckets.back();
        if last.is_none_or(|last| now.since(last.begins_at) >= BUCKET) {
            self.expire(now);
            self.buckets.push_back(Bucket {
                begins_at: now,
                tallies: IndexMap::new(),
            });
        }
        let last = self.buckets.len() - 1;
        self.buckets[last].tallies.entry(key.clone()).or_default()
    }
}

/// Outcomes of this instance's calls by pool and organisation.
#[derive(Clone, Debug, Default)]
pub struct CallShares {
    pools: IndexMap<PoolId, PoolCalls>,
}

impl CallShares {
    /// Returns whether a call may be sent to a pool. A call for which it may not is counted as demand.
    pub fn admit(&mut self, now: Timestamp, pool: &PoolId, key: &ShareKey) -> bool {
        let calls = self.pools.get_mut(pool);
        calls.is_none_or(|calls| calls.admit(now, key))
    }

    /// Records the outcome of a call that was admitted.
    pub fn record(&mut self, now: Timestamp, pool: &PoolId, key: &ShareKey, outcome: CallOutcome) {
        if !self.pools.contains_key(pool) {
            if self.pools.len() >= MAX_POOLS {
                self.pools.shift_remove_index(0);
            }
            self.pools.insert(pool.clone(), PoolCalls::default());
        }
        let calls = &mut self.pools[pool];
        let tally = calls.tally(now, key);
        match outcome {
            CallOutcome::Served => tally.served += 1,
            CallOutcome::Refused => {
                tally.refused += 1;
                calls.refused_at = Some(now);
            }
        }
    }
}
