//! Retries: only where nothing can run twice, within the budget and the deadline.

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

fn failed() -> FailedAttempt {
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
        RetryDecision::Retry { .. } => panic!("retried"),
    }
}

#[rstest]
#[case::idempotent(true, Execution::Unknown, false, true)]
#[case::proven(false, Execution::NotRun, false, true)]
#[case::may_have_run(false, Execution::Unknown, false, false)]
#[case::earlier_may_have_run(false, Execution::NotRun, true, false)]
fn only_what_cannot_run_twice_is_retried(
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
        ..failed()
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
fn budget_follows_successes() {
    // Arrange
    let mut policy = RetryPolicy::new(1);
    let retries = |policy: &mut RetryPolicy| {
        let decisions = (0..1_000).map(|_| policy.decide(NOW, &pool(), &failed()));
        decisions
            .filter(|decision| matches!(decision, RetryDecision::Retry { .. }))
            .count() as u64
    };

    // Act
    let initial = retries(&mut policy);
    (0..50).for_each(|_| policy.note_success(NOW, &pool()));
    let earned = retries(&mut policy);
    let empty = policy.decide(NOW, &pool(), &failed());

    // Assert
    assert_eq!(initial, INITIAL_BUDGET_RETRIES);
    assert_eq!(earned, 10);
    let RetryDecision::GiveUp(refusal) = empty else {
        panic!("retried without a budget");
    };
    assert_eq!(refusal.reason, RefusalReason::RetryBudget);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn backoff_grows_is_spread_and_ends_at_the_deadline() {
    // Arrange
    let mut policy = RetryPolicy::new(1);
    let wait = |policy: &mut RetryPolicy, retries| {
        let attempt = FailedAttempt {
            retries,
            ..failed()
        };
        match policy.decide(NOW, &pool(), &attempt) {
            RetryDecision::Retry { at, .. } => at.since(NOW),
            RetryDecision::GiveUp(refusal) => panic!("{refusal}"),
        }
    };

    // Act
    let first = wait(&mut policy, 0);
    let again = wait(&mut policy, 0);
    let fifth = wait(&mut policy, 4);
    let last = wait(&mut policy, u32::MAX);
    let late = FailedAttempt {
        execution: Execution::NotRun,
        deadline: NOW + Duration::from_millis(10),
        ..failed()
    };
    let late = policy.decide(NOW, &pool(), &late);

    // Assert
    assert_ne!(first, again);
    assert!(fifth > 4 * first);
    assert!(last <= MAX_BACKOFF);
    assert_eq!(refusal(late), (RefusalReason::Deadline, Outcome::NotRun));
}
