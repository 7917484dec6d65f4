//! Tokens that each caller was entitled to and received, and the reason for any shortfall.
//!
//! The tokens served go first to interactive callers, up to their demand. The rest is split
//! between the batch callers by weight, and what one of them doesn't demand goes to the others (see
//! [`max_min`]).

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use wisteriaford_proto::settings::Priority;

use crate::id::CallerId;
use crate::max_min;
use crate::max_min::Claim;
use crate::settings::Caller;
use crate::time::Timestamp;

/// Number of buckets that the sliding window is divided into.
pub const BUCKETS: u32 = 10;
/// Percentage of its entitlement below which a caller counts as having a shortfall.
pub const SHORTFALL_PERCENT: u64 = 95;

/// Reason why a caller received less than its weighted share.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ShortfallReason {
    /// It had no demand.
    #[display("no_demand")]
    NoDemand,
    /// Its requests were refused by its rate limit or in-flight limit.
    #[display("limit")]
    Limit,
    /// Endpoints that ran its requests failed or left the fleet.
    #[display("capacity_lost")]
    CapacityLost,
    /// Its requests were refused because queues were full.
    #[display("queue_full")]
    QueueFull,
    /// Its requests exceeded their deadlines.
    #[display("deadline")]
    Deadline,
    /// Its requests were quarantined for crashing endpoints.
    #[display("quarantined")]
    Quarantined,
    /// Its requests are still waiting or running.
    #[display("in_progress")]
    InProgress,
}

/// Share of one caller in a window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerShare {
    /// Caller.
    pub caller: CallerId,
    /// Priority of its requests.
    pub priority: Priority,
    /// Tokens that its requests were expected to take.
    pub demanded_tokens: u64,
    /// Tokens that it was entitled to.
    pub entitled_tokens: u64,
    /// Tokens that it received.
    pub received_tokens: u64,
    /// Reason why the caller received less than its weighted share, if it did.
    pub shortfall_reason: Option<ShortfallReason>,
}

#[derive(Clone, Debug, Default)]
struct Tally {
    demanded_tokens: u64,
    received_tokens: u64,
    losses: IndexMap<ShortfallReason, u64>,
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.demanded_tokens += other.demanded_tokens;
        self.received_tokens += other.received_tokens;
        for (&reason, tokens) in &other.losses {
            *self.losses.entry(reason).or_default() += tokens;
        }
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    index: u64,
    tallies: IndexMap<CallerId, Tally>,
}

/// Token counts by caller over a sliding window.
#[derive(Clone, Debug)]
pub struct Shares {
    window: Duration,
    buckets: VecDeque<Bucket>,
}

impl Shares {
    /// Creates counts over the last `window`, with buckets of at least one millisecond.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window: window.max(Duration::from_millis(u64::from(BUCKETS))),
            buckets: VecDeque::new(),
        }
    }

    /// Records the tokens that an arriving request is expected to take.
    pub fn record_demand(&mut self, now: Timestamp, caller: &CallerId, tokens: u32) {
        self.tally(now, caller).demanded_tokens += u64::from(tokens);
    }

    /// Records tokens that an endpoint produced.
    pub fn record_received(&mut self, now: Timestamp, caller: &CallerId, tokens: u32) {
        self.tally(now, caller).received_tokens += u64::from(tokens);
    }

    /// Records tokens that were demanded but not produced.
    pub fn record_lost(
        &mut self,
        now: Timestamp,
        caller: &CallerId,
        tokens: u32,
        reason: ShortfallReason,
    ) {
        let tally = self.tally(now, caller);
        *tally.losses.entry(reason).or_default() += u64::from(tokens);
    }

    /// Returns the share of each configured caller.
    pub fn report(
        &mut self,
        now: Timestamp,
        callers: &IndexMap<CallerId, Caller>,
    ) -> Vec<CallerShare> {
        self.expire_buckets(now);
        let mut sums: IndexMap<&CallerId, Tally> = IndexMap::new();
        for bucket in &self.buckets {
            for (caller, tally) in &bucket.tallies {
                sums.entry(caller).or_default().add(tally);
            }
        }
        let rows: Vec<_> = callers
            .values()
            .map(|caller| (caller, sums.swap_remove(&caller.id).unwrap_or_default()))
            .collect();
        let entitled = entitlements(&rows);
        let rows = rows.iter().zip(entitled);
        rows.map(|((caller, tally), entitled)| caller_share(caller, tally, entitled))
            .collect()
    }

    fn tally(&mut self, now: Timestamp, caller: &CallerId) -> &mut Tally {
        let index = self.bucket_index(now);
        if self.buckets.back().is_none_or(|last| last.index < index) {
            self.expire_buckets(now);
            self.buckets.push_back(Bucket {
                index,
                tallies: IndexMap::new(),
            });
        }
        let last = self.buckets.len() - 1;
        self.buckets[last]
            .tallies
            .entry(caller.clone())
            .or_default()
    }

    fn bucket_index(&self, now: Timestamp) -> u64 {
        let width_us = (self.window / BUCKETS).as_micros();
        now.0 / u64::try_from(width_us).unwrap_or(u64::MAX)
    }

    fn expire_buckets(&mut self, now: Timestamp) {
        let oldest = self
            .bucket_index(now)
            .saturating_sub(u64::from(BUCKETS) - 1);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index < oldest)
        {
            self.buckets.pop_front();
        }
    }
}

fn caller_share(caller: &Caller, tally: &Tally, entitled_tokens: u64) -> CallerShare {
    CallerShare {
        caller: caller.id.clone(),
        priority: caller.priority,
        demanded_tokens: tally.demanded_tokens,
        entitled_tokens,
        received_tokens: tally.received_tokens,
        shortfall_reason: shortfall(tally, entitled_tokens),
    }
}

fn shortfall(tally: &Tally, entitled_tokens: u64) -> Option<ShortfallReason> {
    if tally.demanded_tokens == 0 && tally.received_tokens == 0 {
        return Some(ShortfallReason::NoDemand);
    }
    if tally.received_tokens * 100 >= entitled_tokens * SHORTFALL_PERCENT {
        return None;
    }
    let largest = tally.losses.iter().max_by_key(|(_, tokens)| **tokens);
    Some(largest.map_or(ShortfallReason::InProgress, |(&reason, _)| reason))
}

/// Splits the served tokens: interactive callers first, then batch callers, each by weight.
fn entitlements(rows: &[(&Caller, Tally)]) -> Vec<u64> {
    let served = rows.iter().map(|(_, tally)| tally.received_tokens);
    let mut remaining: u64 = served.sum();
    let mut entitled = vec![0; rows.len()];
    for priority in [Priority::Interactive, Priority::Batch] {
        let class = (0..rows.len()).filter(|&row| rows[row].0.priority == priority);
        let class: Vec<usize> = class.collect();
        let claims: Vec<Claim> = class.iter().map(|&row| claim(&rows[row])).collect();
        let division = max_min::split(remaining, &claims);
        for (&row, part) in class.iter().zip(division.parts) {
            entitled[row] = part;
        }
        remaining = division.remaining;
    }
    entitled
}

fn claim((caller, tally): &(&Caller, Tally)) -> Claim {
    Claim {
        weight: u64::from(caller.share_weight),
        demand: tally.demanded_tokens.max(tally.received_tokens),
    }
}
