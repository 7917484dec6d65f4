//! Retries: only if nothing can run twice by mistake, and within the budget and the deadline.

use std::time::Duration;

use rstest::rstest;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::refusal::Outcome;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::refusal::RetryReason;
use wisteriaford_core::retry::Execution;
use wisteriaford_core::retry::FailedAttempt;
use wisteriaford_core::retry::INITIAL_BUDGET_RETRIES;
use wisteriaford_core::retry::MAX_BACKOFF;
use wisteriaford_core::retry::RetryDecision;
use wisteriaford_core::retry::RetryPolicy;
use wisteriaford_core::time::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(1_000);

fn failed_attempt() -> FailedAttempt {
    FailedAttempt {
        reason: RetryReason::ConnectionLost,
        execution: Execution::Unknown,
        earlier_may_have_run: false,
        idempotent: true,
        retries: 0,
        deadline: NOW + Duration::from_secs(60),
    }
}

fn pool() -> PoolId {
    PoolId::from("pool")
}

fn refusal(decision: RetryDecision) -> (RefusalReason, Outcome) {
    match decision {
        RetryDecision::GiveUp(refusal) => (refusal.reason, refusal.outcome),
        RetryDecision::Retry { .. } => panic!("the attempt was retried"),
    }
}

#[rstest]
#[case::idempotent(true, Execution::Unknown, false, true)]
#[case::proven(false, Execution::NotRun, false, true)]
#[case::may_have_run(false, Execution::Unknown, false, false)]
#[case::earlier_may_have_run(false, Execution::NotRun, true, false)]
fn only_safe_attempts_are_retried(
    #[case] idempotent: bool,
    #[case] execution: Execution,
    #[case] earlier_may_have_run: bool,
    #[case] retried: bool,
) {
    // Arrange
    let mut policy = RetryPolicy::new(1);
    let attempt = FailedAttempt {
        idempotent,
        execution,
        earlier_may_have_run,
        ..failed_attempt()
    };

    // Act
    let decision = policy.decide(NOW, &pool(), &attempt);

    // Assert
    assert_eq!(matches!(decision, RetryDecision::Retry { .. }), retried);
    if !retried {
        let expected = (RefusalReason::StreamLost, Outcome::OutcomeUnknown);
        assert_eq!(refusal(decision), expected);
    }
}

#[test]
fn successes_refill_the_budget() {
    // Arrange
    let mut policy = RetryPolicy::new(1);
    let retries = |policy: &mut RetryPolicy| {
        let decisions = (0..1_000).map(|_| policy.decide(NOW, &pool(), &failed_attempt()));
        decisions
            .filter(|decision| matches!(decision, RetryDecision::Retry { .. }))
            .count() as u64
    };

    // Act
    let initial = retries(&mut policy);
    (0..50).for_each(|_| policy.record_success(NOW, &pool()));
    let earned = retries(&mut policy);
    let over_budget = policy.decide(NOW, &pool(), &failed_attempt());

    // Assert
    assert_eq!(initial, INITIAL_BUDGET_RETRIES);
    assert_eq!(earned, 10);
    let RetryDecision::GiveUp(refusal) = over_budget else {
        panic!("retried without a budget");
    };
    assert_eq!(refusal.reason, RefusalReason::RetryBudget);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn backoff_grows_with_jitter_and_ends_at_the_deadline() {
    // Arrange
    let mut policy = RetryPolicy::new(1);
    let backoff = |policy: &mut RetryPolicy, retries| {
        let attempt = FailedAttempt {
            retries,
            ..failed_attempt()
        };
        match policy.decide(NOW, &pool(), &attempt) {
            RetryDecision::Retry { at, .. } => at.since(NOW),
            RetryDecision::GiveUp(refusal) => panic!("{refusal}"),
        }
    };

    // Act
    let first = backoff(&mut policy, 0);
    let first_repeated = backoff(&mut policy, 0);
    let fifth = backoff(&mut policy, 4);
    let last = backoff(&mut policy, u32::MAX);
    let late = FailedAttempt {
        execution: Execution::NotRun,
        deadline: NOW + Duration::from_millis(10),
        ..failed_attempt()
    };
    let late = policy.decide(NOW, &pool(), &late);

    // Assert
    assert_ne!(first, first_repeated);
    assert!(fifth > 4 * first);
    assert!(last <= MAX_BACKOFF);
    assert_eq!(refusal(late), (RefusalReason::Deadline, Outcome::NotRun));
}
