//! Tests of caller limits across a fleet of instances that exchange their demand by gossip.

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

/// Simulates a fleet for `seconds` in steps of 10 ms and returns the requests admitted each second.
///
/// Instance i gets `requests_per_step[i]` requests a step and sends its demand to `fanout` others
/// each second.
fn run_fleet(requests_per_step: &[usize], fanout: usize, seconds: u64) -> Vec<usize> {
    let mut fleet: Vec<_> = requests_per_step
        .iter()
        .map(|_| limits(requests_per_step.len(), RATE_PER_S, usize::MAX / 2))
        .collect();
    let mut admitted = Vec::new();
    for second in 0..seconds {
        let mut count = 0;
        for step in 0..100 {
            let now = START + Duration::from_millis(second * 1_000 + step * 10);
            for (limits, &requests) in fleet.iter_mut().zip(requests_per_step) {
                count += (0..requests)
                    .filter(|_| limits.admit(now, &caller_id()).is_ok())
                    .count();
            }
        }
        let now = START + Duration::from_millis((second + 1) * 1_000);
        for from in 0..requests_per_step.len() {
            let uses = fleet[from].uses(now);
            let id = InstanceId::from(format!("instance-{from}"));
            for step in 1..=fanout {
                let stride = usize::try_from(second).unwrap() % requests_per_step.len() + step;
                let to = (from + stride) % requests_per_step.len();
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
fn fleet_admits_close_to_the_rate_limit(
    #[case] requests_per_step: &[usize],
    #[case] fanout: usize,
) {
    // Arrange
    let limit = usize::try_from(RATE_PER_S).unwrap();

    // Act
    let admitted = run_fleet(requests_per_step, fanout, 30);

    // Assert
    let settled = &admitted[15..];
    let mean = settled.iter().sum::<usize>() / settled.len();
    println!("{requests_per_step:?}: {admitted:?}");
    assert!(
        mean <= limit * 105 / 100,
        "admitted {mean} requests/s, limit {limit}"
    );
    assert!(
        mean >= limit * 95 / 100,
        "admitted {mean} requests/s, limit {limit}"
    );
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
fn new_caller_gets_one_request_and_old_reports_expire() {
    // Arrange
    let mut limits = limits(100, 10, 10);
    let busy = wisteriaford_proto::fleet::CallerUse {
        caller: String::from("trainer"),
        in_flight: 5,
        demand_milli_per_s: 1_000_000,
    };
    limits.merge(START, &InstanceId::from("busy"), &[busy]);

    // Act
    let fraction_by_demand = limits.local_fraction(&caller_id());
    let first = limits.admit(START, &caller_id());
    let later = START + REPORT_MAX_AGE;
    limits.finish(&caller_id());
    let after_expiry = limits.admit(later, &caller_id());
    let even_fraction = limits.local_fraction(&caller_id());

    // Assert
    assert!(fraction_by_demand < even_fraction);
    assert_eq!(first, Ok(()));
    assert_eq!(after_expiry, Ok(()));
    assert_eq!(even_fraction, 1_000_000 / 100);
}
