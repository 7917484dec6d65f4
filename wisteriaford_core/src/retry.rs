//! Whether and when a failed attempt is tried again.
//!
//! A request is sent again only where nothing can run twice: it is idempotent, or the endpoint
//! proved that it did not run. Retries of a pool draw on a budget that its successes fill, so
//! that an outage isn't multiplied by them.

use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::id::PoolId;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::refusal::RetryReason;
use crate::time::Timestamp;

/// Part of a retry that one success pays for, in thousandths.
pub const BUDGET_PER_SUCCESS_MILLI: u64 = 200;
/// Retries a second that a pool has without any success.
pub const MIN_RETRIES_PER_S: u64 = 1;
/// Most retries that a pool can save up.
pub const MAX_BUDGET: u64 = 100;
/// Retries that a pool starts with.
pub const INITIAL_BUDGET: u64 = 10;
/// Upper end of the wait before the first retry.
pub const BASE_BACKOFF: Duration = Duration::from_millis(50);
/// Upper end of the wait before any retry.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);

const RETRY_COST_MILLI: u64 = 1_000;
const MAX_DOUBLINGS: u32 = 16;

/// What is known of the effects of an attempt that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Execution {
    /// No byte could have reached the endpoint, or the endpoint proved that it did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Attempt that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// Why it failed.
    pub reason: RetryReason,
    /// Whether it may have run.
    pub execution: Execution,
    /// Whether any earlier attempt of the request may have run.
    pub earlier_may_have_run: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Retries of the request so far.
    pub retries: u32,
    /// Deadline of the request.
    pub deadline: Timestamp,
}

/// What becomes of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// It is sent again.
    Retry {
        /// When.
        at: Timestamp,
        /// Why, for the counters.
        reason: RetryReason,
    },
    /// It gets its final answer now.
    GiveUp(Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Budget {
    milli: u64,
    refilled: Timestamp,
}

impl Budget {
    fn new(now: Timestamp) -> Self {
        Self {
            milli: INITIAL_BUDGET * RETRY_COST_MILLI,
            refilled: now,
        }
    }

    fn add(&mut self, milli: u64) {
        self.milli = (self.milli + milli).min(MAX_BUDGET * RETRY_COST_MILLI);
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_ms = u64::try_from(now.since(self.refilled).as_millis()).unwrap_or(u64::MAX);
        self.refilled = self.refilled + Duration::from_millis(elapsed_ms);
        self.add(elapsed_ms.saturating_mul(MIN_RETRIES_PER_S));
    }

    fn spend(&mut self) -> bool {
        let Some(rest) = self.milli.checked_sub(RETRY_COST_MILLI) else {
            return false;
        };
        self.milli = rest;
        true
    }
}

/// Decides on retries, with one budget for each pool.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    budgets: IndexMap<PoolId, Budget>,
    rng: Pcg32,
}

impl RetryPolicy {
    /// Returns a policy whose back-off is spread by `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            budgets: IndexMap::new(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Forgets pools that `is_configured` doesn't know.
    pub fn retain(&mut self, is_configured: impl Fn(&PoolId) -> bool) {
        self.budgets.retain(|pool, _| is_configured(pool));
    }

    /// Counts a request that completed, which pays for a part of a retry.
    pub fn note_success(&mut self, now: Timestamp, pool: &PoolId) {
        self.budget(now, pool).add(BUDGET_PER_SUCCESS_MILLI);
    }

    /// Decides on a failed attempt; a retry is paid for at once.
    pub fn decide(
        &mut self,
        now: Timestamp,
        pool: &PoolId,
        attempt: &FailedAttempt,
    ) -> RetryDecision {
        let may_have_run = attempt.earlier_may_have_run || attempt.execution == Execution::Unknown;
        if may_have_run && !attempt.idempotent {
            return give_up(failure_of(attempt.reason), may_have_run);
        }
        let at = now + self.backoff(attempt.retries);
        if at >= attempt.deadline {
            return give_up(RefusalReason::Deadline, may_have_run);
        }
        if !self.budget(now, pool).spend() {
            let wait = Duration::from_secs(1) / u32::try_from(MIN_RETRIES_PER_S).unwrap_or(1);
            let retry_after = wait + self.backoff(attempt.retries);
            return match give_up(RefusalReason::RetryBudget, may_have_run) {
                RetryDecision::GiveUp(refusal) => {
                    RetryDecision::GiveUp(refusal.with_retry_after(retry_after))
                }
                retry @ RetryDecision::Retry { .. } => retry,
            };
        }
        RetryDecision::Retry {
            at,
            reason: attempt.reason,
        }
    }

    fn budget(&mut self, now: Timestamp, pool: &PoolId) -> &mut Budget {
        let budget = self
            .budgets
            .entry(pool.clone())
            .or_insert_with(|| Budget::new(now));
        budget.refill(now);
        budget
    }

    /// Returns a wait between half and the whole of the exponential back-off.
    fn backoff(&mut self, retries: u32) -> Duration {
        let factor = 1 << retries.min(MAX_DOUBLINGS);
        let upper = BASE_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
        upper * self.rng.random_range(50..=100) / 100
    }
}

fn give_up(reason: RefusalReason, may_have_run: bool) -> RetryDecision {
    RetryDecision::GiveUp(if may_have_run {
        Refusal::outcome_unknown(reason)
    } else {
        Refusal::not_run(reason)
    })
}

fn failure_of(reason: RetryReason) -> RefusalReason {
    match reason {
        RetryReason::ConnectionLost | RetryReason::Silence => RefusalReason::StreamLost,
        RetryReason::EndpointOverloaded
        | RetryReason::EndpointSwapping
        | RetryReason::EndpointLeaving
        | RetryReason::ConnectFailed
        | RetryReason::SlotLost
        | RetryReason::SampleTooOld
        | RetryReason::Straggler
        | RetryReason::ScorerFailed => RefusalReason::EndpointFailed,
    }
}
