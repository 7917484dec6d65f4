//! Prefix affinity based on the cache events of engines.

#[path = "support/small_fleet.rs"]
mod small_fleet;

use std::time::Duration;

use rstest::rstest;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::RequestId;
use wisteriaford_core::reply::Reply;
use wisteriaford_core::routing::CacheChange;
use wisteriaford_core::routing::CacheEvent;
use wisteriaford_core::work::Generation;
use wisteriaford_core::work::Work;
use wisteriaford_fakes::Fleet;

use crate::small_fleet::fleet;
use crate::small_fleet::generation;

const PROMPT: &str = "a prompt with a prefix";

fn event(sequence: u64, change: CacheChange, prompt: &str) -> CacheEvent {
    let work = Work::Generate(Generation {
        prompt: prompt.into(),
        seed: 0,
        max_tokens: 1,
    });
    CacheEvent {
        sequence,
        change,
        prefix_hash: work.prefix_hash().unwrap(),
    }
}

/// Runs a generation and returns the reasons for its choice of endpoints.
fn reasons(fleet: &mut Fleet, instance: &InstanceId) -> Vec<String> {
    fleet.call(instance, generation(PROMPT)).unwrap();
    fleet.run_for(Duration::from_secs(20));
    let answers = fleet.take_answers();
    let Reply::Generated(response) = &answers[0].reply else {
        panic!("refused: {:?}", answers[0].reply);
    };
    explain(fleet, instance, response.request.clone())
}

fn explain(fleet: &mut Fleet, instance: &InstanceId, id: RequestId) -> Vec<String> {
    let request = CallerRequest::Explain(id);
    fleet.call(instance, request).unwrap();
    fleet.run_for(Duration::from_millis(1));
    let answers = fleet.take_answers();
    let Reply::Explained(Some(decisions)) = &answers[0].reply else {
        panic!("not explained: {:?}", answers[0].reply);
    };
    let requested = decisions.iter().filter(|(_, d)| d.kind() == "asked");
    requested
        .map(|(_, decision)| decision.to_string())
        .collect()
}

#[rstest]
#[case::stored(&[event(0, CacheChange::Stored, PROMPT)], true)]
#[case::other_prompt_stored(
    &[event(0, CacheChange::Stored, PROMPT), event(1, CacheChange::Stored, "other")],
    true
)]
#[case::evicted(
    &[event(0, CacheChange::Stored, PROMPT), event(1, CacheChange::Evicted, PROMPT)],
    false
)]
#[case::sequence_gap(
    &[event(0, CacheChange::Stored, PROMPT), event(5, CacheChange::Stored, "other")],
    false
)]
fn cached_prefix_is_preferred(#[case] events: &[CacheEvent], #[case] is_cached: bool) {
    let (mut fleet, instances) = fleet();
    // The first generations make the ingress follow the cache events of both engines.
    reasons(&mut fleet, &instances[0]);
    reasons(&mut fleet, &instances[0]);

    for engine in fleet.engines.values_mut() {
        engine.cache_events.extend_from_slice(events);
    }
    fleet.run_for(Duration::from_secs(5));

    let reasons = reasons(&mut fleet, &instances[0]);
    assert_eq!(
        reasons[0].ends_with("cached_prefix"),
        is_cached,
        "{reasons:?}"
    );
}
