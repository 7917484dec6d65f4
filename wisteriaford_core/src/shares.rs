//! Tokens that each caller was entitled to and received, and why it fell short.
//!
//! Interactive callers are entitled to what they ask for; what they leave of the tokens served
//! goes to the others by weight, and what one of them doesn't ask for goes to the rest
//! (weighted max-min fairness: Bertsekas and Gallager, "Data Networks", 1992).

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use wisteriaford_proto::settings::Priority;

use crate::id::CallerId;
use crate::settings::Caller;
use crate::time::Timestamp;

/// Parts that a window is kept in.
pub const BUCKETS: u32 = 10;
/// Part of its entitlement below which a caller fell short, in percent.
pub const SHORTFALL_PERCENT: u64 = 95;

/// Why a caller received less than its weight would give it.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ShortfallReason {
    /// It asked for less.
    #[display("no_demand")]
    NoDemand,
    /// Its rate or in-flight limit refused its requests.
    #[display("limit")]
    Limit,
    /// Endpoints that ran its requests failed or left.
    #[display("capacity_lost")]
    CapacityLost,
    /// Its requests were refused because queues were full.
    #[display("queue_full")]
    QueueFull,
    /// Its requests ran out of time.
    #[display("deadline")]
    Deadline,
    /// Its requests crashed endpoints.
    #[display("quarantined")]
    Quarantined,
    /// Its requests still wait or run.
    #[display("in_progress")]
    InProgress,
}

/// Share of one caller in a window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerShare {
    /// Caller.
    pub caller: CallerId,
    /// Urgency of its requests.
    pub priority: Priority,
    /// Tokens that it asked for.
    pub demanded_tokens: u64,
    /// Tokens that it was entitled to.
    pub entitled_tokens: u64,
    /// Tokens that it received.
    pub received_tokens: u64,
    /// Why it received less than its weight would give it, if it did.
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
    number: u64,
    tallies: IndexMap<CallerId, Tally>,
}

/// Tokens by caller over a sliding window.
#[derive(Clone, Debug)]
pub struct Shares {
    window: Duration,
    buckets: VecDeque<Bucket>,
}

impl Shares {
    /// Returns shares over the last `window`, at least a millisecond a bucket.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window: window.max(Duration::from_millis(u64::from(BUCKETS))),
            buckets: VecDeque::new(),
        }
    }

    /// Counts tokens that a request is expected to take, when it arrives.
    pub fn note_demand(&mut self, now: Timestamp, caller: &CallerId, tokens: u32) {
        self.tally(now, caller).demanded_tokens += u64::from(tokens);
    }

    /// Counts tokens that an endpoint made.
    pub fn note_received(&mut self, now: Timestamp, caller: &CallerId, tokens: u32) {
        self.tally(now, caller).received_tokens += u64::from(tokens);
    }

    /// Counts tokens that were asked for and not made.
    pub fn note_lost(
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
        self.forget_aged(now);
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
        rows.map(|((caller, tally), entitled)| share(caller, tally, entitled))
            .collect()
    }

    fn tally(&mut self, now: Timestamp, caller: &CallerId) -> &mut Tally {
        let number = self.number(now);
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.forget_aged(now);
            self.buckets.push_back(Bucket {
                number,
                tallies: IndexMap::new(),
            });
        }
        let last = self.buckets.len() - 1;
        self.buckets[last]
            .tallies
            .entry(caller.clone())
            .or_default()
    }

    fn number(&self, now: Timestamp) -> u64 {
        let width_us = (self.window / BUCKETS).as_micros();
        now.0 / u64::try_from(width_us).unwrap_or(u64::MAX)
    }

    fn forget_aged(&mut self, now: Timestamp) {
        let oldest = self.number(now).saturating_sub(u64::from(BUCKETS) - 1);
        while self.buckets.front().is_some_and(|b| b.number < oldest) {
            self.buckets.pop_front();
        }
    }
}

fn share(caller: &Caller, tally: &Tally, entitled_tokens: u64) -> CallerShare {
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
    let most = tally.losses.iter().max_by_key(|(_, tokens)| **tokens);
    Some(most.map_or(ShortfallReason::InProgress, |(&reason, _)| reason))
}

/// Splits the tokens that were served: interactive demand first, the rest by weight.
fn entitlements(rows: &[(&Caller, Tally)]) -> Vec<u64> {
    let served = rows.iter().map(|(_, tally)| tally.received_tokens);
    let mut left: u64 = served.sum();
    let mut entitled = vec![0; rows.len()];
    for priority in [Priority::Interactive, Priority::Batch] {
        let class = (0..rows.len()).filter(|&row| rows[row].0.priority == priority);
        left = split(rows, class.collect(), left, &mut entitled);
    }
    entitled
}

/// Fills the callers of a class by weight up to their demand; returns what is left.
fn split(
    rows: &[(&Caller, Tally)],
    mut open: Vec<usize>,
    mut left: u64,
    entitled: &mut [u64],
) -> u64 {
    let weight = |row: usize| u64::from(rows[row].0.share_weight.max(1));
    let demand = |row: usize| {
        let tally = &rows[row].1;
        tally.demanded_tokens.max(tally.received_tokens)
    };
    loop {
        let weights: u64 = open.iter().map(|&row| weight(row)).sum();
        let Some(full) = open
            .iter()
            .position(|&row| demand(row) * weights <= left * weight(row))
        else {
            for &row in &open {
                entitled[row] = left * weight(row) / weights;
            }
            return if open.is_empty() { left } else { 0 };
        };
        let row = open.swap_remove(full);
        entitled[row] = demand(row);
        left -= entitled[row];
    }
}
