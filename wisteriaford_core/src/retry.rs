//! Decides whether and when a failed attempt is retried.
//!
//! A request is retried only if it is idempotent or the endpoint proved that it did not run the
//! request, so that nothing runs twice by mistake. Retries of a pool draw on a budget that
//! successful requests refill, so that they don't amplify an outage. A retry that the budget can't
//! pay now, but soon, is reserved for that time.

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

/// Thousandths of a retry that one success adds to the budget.
pub const CREDIT_PER_SUCCESS_MILLI: u64 = 200;
/// Retries per second that are allowed without any success.
pub const MIN_RETRIES_PER_S: u64 = 1;
/// Upper limit of a pool's budget, in retries.
pub const MAX_BUDGET_RETRIES: u64 = 100;
/// Initial budget of a pool, in retries.
pub const INITIAL_BUDGET_RETRIES: u64 = 10;
/// Upper limit of the back-off before the first retry.
pub const BASE_BACKOFF: Duration = Duration::from_millis(50);
/// Upper limit of the back-off before any retry.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum time for which a retry waits for the budget, the same as for the back-off: callers wait no
/// longer than for any other retry, and reserved retries are sent at the rate without successes.
pub const MAX_BUDGET_WAIT: Duration = MAX_BACKOFF;

const RETRY_COST_MILLI: u64 = 1_000;
const MAX_DOUBLINGS: u32 = 16;

/// Whether a failed attempt may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Execution {
    /// No byte reached the endpoint, or the endpoint proved that it did not run the request.
    NotRun,
    /// The attempt may have run.
    Unknown,
}

/// Failed attempt of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// Why the attempt failed.
    pub reason: RetryReason,
    /// Whether the attempt may have run.
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

/// What is done after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// The request is sent again.
    Retry {
        /// Time of the retry.
        at: Timestamp,
        /// Reason by which the retry is counted.
        reason: RetryReason,
    },
    /// The request is refused.
    GiveUp(Refusal),
}

/// Token bucket of a pool's retries, in thousandths of a retry.
#[derive(Clone, Copy, Debug)]
struct Budget {
    balance_milli: u64,
    /// Reserved retries that the balance doesn't cover yet.
    debt_milli: u64,
    refilled_at: Timestamp,
}

impl Budget {
    fn new(now: Timestamp) -> Self {
        Self {
            balance_milli: INITIAL_BUDGET_RETRIES * RETRY_COST_MILLI,
            debt_milli: 0,
            refilled_at: now,
        }
    }

    fn add(&mut self, milli: u64) {
        let repaid_milli = milli.min(self.debt_milli);
        self.debt_milli -= repaid_milli;
        self.balance_milli =
            (self.balance_milli + milli - repaid_milli).min(MAX_BUDGET_RETRIES * RETRY_COST_MILLI);
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_ms = u64::try_from(now.since(self.refilled_at).as_millis()).unwrap_or(u64::MAX);
        self.refilled_at = self.refilled_at + Duration::from_millis(elapsed_ms);
        self.add(elapsed_ms.saturating_mul(MIN_RETRIES_PER_S));
    }

    /// Returns the time until the budget covers one more retry without any further success.
    fn wait(&self) -> Duration {
        let missing_milli = (self.debt_milli + RETRY_COST_MILLI).saturating_sub(self.balance_milli);
        Duration::from_millis(missing_milli.div_ceil(MIN_RETRIES_PER_S))
    }

    /// Charges one retry, which must not be sent before the end of [`Budget::wait`].
    fn charge(&mut self) {
        let paid_milli = self.balance_milli.min(RETRY_COST_MILLI);
        self.balance_milli -= paid_milli;
        self.debt_milli += RETRY_COST_MILLI - paid_milli;
    }
}

/// Decides on retries, with one budget per pool.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    budgets: IndexMap<PoolId, Budget>,
    rng: Pcg32,
}

impl RetryPolicy {
    /// Creates a policy whose back-off jitter is seeded with `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            budgets: IndexMap::new(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Removes the budgets of pools that are not configured.
    pub fn retain(&mut self, is_configured: impl Fn(&PoolId) -> bool) {
        self.budgets.retain(|pool, _| is_configured(pool));
    }

    /// Records a completed request, which adds to the pool's budget.
    pub fn record_success(&mut self, now: Timestamp, pool: &PoolId) {
        self.budget(now, pool).add(CREDIT_PER_SUCCESS_MILLI);
    }

    /// Decides on a failed attempt; a retry is charged to the budget immediately.
    pub fn decide(
        &mut self,
        now: Timestamp,
        pool: &PoolId,
        attempt: &FailedAttempt,
    ) -> RetryDecision {
        let may_have_run = attempt.earlier_may_have_run || attempt.execution == Execution::Unknown;
        if may_have_run && !attempt.idempotent {
            return give_up(refusal_reason_after(attempt.reason), may_have_run);
        }
        let backoff = self.backoff(attempt.retries);
        if now + backoff >= attempt.deadline {
            return give_up(RefusalReason::Deadline, may_have_run);
        }
        let budget = self.budget(now, pool);
        let wait = budget.wait();
        let at = now + backoff.max(wait);
        if wait > MAX_BUDGET_WAIT || at >= attempt.deadline {
            let retry_after = wait + backoff;
            return match give_up(RefusalReason::RetryBudget, may_have_run) {
                RetryDecision::GiveUp(refusal) => {
                    RetryDecision::GiveUp(refusal.with_retry_after(retry_after))
                }
                retry @ RetryDecision::Retry { .. } => retry,
            };
        }
        budget.charge();
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

    /// Returns a random wait between half and all of the exponential back-off.
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

fn refusal_reason_after(reason: RetryReason) -> RefusalReason {
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
