//! Tests of the append budget: the fleet-wide ceiling and the order of load shedding.

use std::time::Duration;

use wisteriaford_core::budget::Admission;
use wisteriaford_core::budget::AppendBudget;
use wisteriaford_core::budget::AppendKind;
use wisteriaford_core::time::Timestamp;

const START: Timestamp = Timestamp::from_millis(1_000);

#[test]
fn fleet_stays_below_the_append_ceiling() {
    let instances = 420;
    let mut budgets = vec![AppendBudget::new(300, 5, START); instances];
    let mut sent = 0;
    for budget in &mut budgets {
        budget.set_instances(START, instances);
    }

    for second in 0..100 {
        let now = START + Duration::from_millis(second * 100);
        for budget in &mut budgets {
            for kind in AppendKind::ALL {
                sent += usize::from(budget.admit(now, kind) == Admission::Send);
            }
        }
    }

    let ceiling = 300 * 10 + 5 * instances;
    assert!(sent <= ceiling, "{sent} appends sent, ceiling {ceiling}");
    assert!(sent > ceiling / 2, "{sent} appends sent, ceiling {ceiling}");
}

#[test]
fn kinds_are_shed_from_last_to_first() {
    let mut order = Vec::new();
    let mut budget = AppendBudget::new(0, 20, START);

    for _ in 0..30 {
        for kind in AppendKind::ALL.into_iter().rev() {
            if budget.admit(START, kind) != Admission::Send && !order.contains(&kind) {
                order.push(kind);
            }
        }
    }

    let expected: Vec<AppendKind> = AppendKind::ALL.into_iter().rev().collect();
    assert_eq!(order, expected);
    for kind in AppendKind::ALL {
        assert!(budget.counts(kind).shed > 0);
        assert!(budget.counts(kind).sent > 0);
    }
}

#[test]
fn shed_append_succeeds_after_its_retry_delay() {
    let mut budget = AppendBudget::new(10, 1, START);
    budget.set_instances(START, 3);
    let first = budget.admit(START, AppendKind::Claim);

    let shed = budget.admit(START, AppendKind::Claim);

    assert_eq!(first, Admission::Send);
    let Admission::Shed { retry_after } = shed else {
        panic!("{shed:?}");
    };
    assert_eq!(retry_after, Duration::from_millis(300));
    assert_eq!(
        budget.admit(START + retry_after, AppendKind::Claim),
        Admission::Send
    );
}

#[test]
fn clock_going_backwards_adds_no_budget() {
    let mut budget = AppendBudget::new(10, 1, START);
    budget.admit(START, AppendKind::Claim);

    budget.admit(Timestamp::default(), AppendKind::Claim);
    let after = budget.admit(START, AppendKind::Claim);

    assert_ne!(after, Admission::Send);
}
