//! Limits over a fleet of instances that gossip their demand.

use std::time::Duration;

use indexmap::IndexMap;
use rstest::rstest;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::limits::Limits;
use wisteriaford_core::limits::REPORT_MAX_AGE;
use wisteriaford_core::refusal::Outcome;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::settings::Caller;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::settings::Priority;

const RATE_PER_S: u32 = 200;
const IN_FLIGHT: usize = 40;
const START: Timestamp = Timestamp::from_millis(1_000_000);

fn caller_id() -> CallerId {
    CallerId::from("trainer")
}

fn limits(members: usize, rate_limit_per_s: u32, in_flight_limit: usize) -> Limits {
    let caller = Caller {
        id: caller_id(),
        priority: Priority::Batch,
        share_weight: 1,
        in_flight_limit,
        rate_limit_per_s,
    };
    let mut limits = Limits::new(1);
    limits.configure(START, &IndexMap::from([(caller_id(), caller)]));
    limits.set_members(members);
    limits
}

/// Runs `seconds` of a fleet in steps of 10 ms; instance i is asked `asks[i]` times a step, and
/// gossips to `fanout` others each second. Returns what was admitted each second.
fn drive(asks: &[usize], fanout: usize, seconds: u64) -> Vec<usize> {
    let mut fleet: Vec<_> = asks
        .iter()
        .map(|_| limits(asks.len(), RATE_PER_S, usize::MAX / 2))
        .collect();
    let mut admitted = Vec::new();
    for second in 0..seconds {
        let mut count = 0;
        for step in 0..100 {
            let now = START + Duration::from_millis(second * 1_000 + step * 10);
            for (limits, &asks) in fleet.iter_mut().zip(asks) {
                count += (0..asks)
                    .filter(|_| limits.admit(now, &caller_id()).is_ok())
                    .count();
            }
        }
        let now = START + Duration::from_millis((second + 1) * 1_000);
        for from in 0..asks.len() {
            let uses = fleet[from].uses(now);
            let id = InstanceId::from(format!("instance-{from}"));
            for step in 1..=fanout {
                let stride = usize::try_from(second).unwrap() % asks.len() + step;
                let to = (from + stride) % asks.len();
                if to != from {
                    fleet[to].merge(now, &id, &uses);
                }
            }
        }
        admitted.push(count);
    }
    admitted
}

#[rstest]
#[case::even(&[1; 9], 8)]
#[case::one_alone(&[9, 0, 0, 0, 0, 0, 0, 0, 0], 8)]
#[case::skewed(&[5, 2, 1, 1, 0, 0, 0, 0, 0], 8)]
#[case::few_heard(&[1; 60], 2)]
fn fleet_keeps_the_rate_limit_and_uses_it(#[case] asks: &[usize], #[case] fanout: usize) {
    // Arrange
    let limit = usize::try_from(RATE_PER_S).unwrap();

    // Act
    let admitted = drive(asks, fanout, 30);

    // Assert
    let settled = &admitted[15..];
    let mean = settled.iter().sum::<usize>() / settled.len();
    println!("{asks:?}: {admitted:?}");
    assert!(mean <= limit * 105 / 100, "{mean} of {limit}");
    assert!(mean >= limit * 95 / 100, "{mean} of {limit}");
}

#[test]
fn in_flight_limit_holds_until_requests_finish() {
    // Arrange
    let mut limits = limits(1, 10_000, IN_FLIGHT);

    // Act
    let admitted = (0..100)
        .map(|step| START + Duration::from_millis(step))
        .filter(|&now| limits.admit(now, &caller_id()).is_ok())
        .count();
    let refusal = limits.admit(START, &caller_id()).unwrap_err();
    limits.finish(&caller_id());
    let again = limits.admit(START + Duration::from_secs(1), &caller_id());

    // Assert
    assert_eq!(admitted, IN_FLIGHT);
    assert_eq!(refusal.reason, RefusalReason::CallerInFlightLimit);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert!(refusal.retry_after.is_some());
    assert_eq!(again, Ok(()));
}

#[test]
fn newcomer_gets_one_and_old_reports_stop_counting() {
    // Arrange
    let mut limits = limits(100, 10, 10);
    let busy = wisteriaford_proto::fleet::CallerUse {
        caller: String::from("trainer"),
        in_flight: 5,
        demand_milli_per_s: 1_000_000,
    };
    limits.merge(START, &InstanceId::from("busy"), &[busy]);

    // Act
    let small = limits.part(&caller_id());
    let first = limits.admit(START, &caller_id());
    let later = START + REPORT_MAX_AGE;
    limits.finish(&caller_id());
    let aged = limits.admit(later, &caller_id());
    let even = limits.part(&caller_id());

    // Assert
    assert!(small < even);
    assert_eq!(first, Ok(()));
    assert_eq!(aged, Ok(()));
    assert_eq!(even, 1_000_000 / 100);
}
