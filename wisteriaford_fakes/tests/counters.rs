//! Retries are counted by reason.

#[path = "support/small_fleet.rs"]
mod small_fleet;

use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::counters::Counter;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::PullNumber;
use wisteriaford_core::id::StepNumber;
use wisteriaford_core::id::Version;
use wisteriaford_core::refusal::RetryReason;
use wisteriaford_core::step::StepSpec;
use wisteriaford_fakes::Fleet;

use crate::small_fleet::fleet;
use crate::small_fleet::generation;

fn pull(number: u64, version: u64) -> CallerRequest {
    CallerRequest::Pull {
        trainer: CallerId::from("trainer"),
        step: StepNumber(1),
        pool: PoolId::from("restoration"),
        pull: PullNumber(number),
        current_version: Version(version),
        received: Vec::new(),
        wait: Duration::from_secs(1),
        spec: Some(Arc::new(StepSpec {
            group_size: 2,
            max_tokens: 50,
            prompts: vec!["a".into(), "b".into()],
        })),
    }
}

fn retries(fleet: &Fleet, instances: &[InstanceId], expected: RetryReason) -> u64 {
    let cores = instances.iter().filter_map(|instance| fleet.core(instance));
    let counts = cores.flat_map(|core| core.counters().retries());
    counts
        .filter(|&(reason, _)| reason == expected)
        .map(|(_, count)| count)
        .sum()
}

fn total(fleet: &Fleet, instances: &[InstanceId], counter: Counter) -> u64 {
    let cores = instances.iter().filter_map(|instance| fleet.core(instance));
    cores.map(|core| core.counters().get(counter)).sum()
}

#[test]
fn retries_because_of_a_failed_scorer_are_counted() {
    let (mut fleet, instances) = fleet();
    assert_eq!(retries(&fleet, &instances, RetryReason::ScorerFailed), 0);
    fleet.is_scorer_down = true;

    fleet.call(&instances[0], pull(1, 1)).unwrap();
    fleet.run_for(Duration::from_secs(10));

    assert!(retries(&fleet, &instances, RetryReason::ScorerFailed) > 0);
}

#[test]
fn samples_regenerated_because_of_staleness_are_counted() {
    let (mut fleet, instances) = fleet();
    fleet.call(&instances[0], pull(1, 1)).unwrap();
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(total(&fleet, &instances, Counter::SamplesTooOld), 0);

    fleet.call(&instances[0], pull(2, 9)).unwrap();
    fleet.run_for(Duration::from_secs(5));

    let too_old = total(&fleet, &instances, Counter::SamplesTooOld);
    let regenerated = retries(&fleet, &instances, RetryReason::SampleTooOld);
    assert!(too_old > 0);
    assert_eq!(regenerated, too_old);
}

#[test]
fn retries_because_of_a_leaving_endpoint_are_counted() {
    let (mut fleet, instances) = fleet();
    for engine in fleet.engines.values_mut() {
        engine.is_leaving = true;
    }

    fleet.call(&instances[0], generation("hello")).unwrap();
    fleet.run_for(Duration::from_secs(2));

    assert!(retries(&fleet, &instances, RetryReason::EndpointLeaving) > 0);
    assert_eq!(
        retries(&fleet, &instances, RetryReason::EndpointSwapping),
        0
    );
}
