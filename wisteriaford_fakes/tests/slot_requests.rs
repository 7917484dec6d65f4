//! Slot requests of an ingress: it sends one to a single coordinator, and a second one only if the
//! first coordinator does not grant a slot in time.

#[path = "support/small_fleet.rs"]
mod small_fleet;

use std::time::Duration;

use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::explain::Decision;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::reply::GenerationResponse;
use wisteriaford_core::reply::Reply;
use wisteriaford_fakes::Fleet;

use crate::small_fleet::fleet;
use crate::small_fleet::generation;

const PROMPTS: usize = 8;

/// Runs a generation and returns its response and the coordinators that received a slot request, in
/// order.
fn run(
    fleet: &mut Fleet,
    instance: &InstanceId,
    prompt: &str,
) -> (GenerationResponse, Vec<InstanceId>) {
    fleet.call(instance, generation(prompt)).unwrap();
    fleet.run_until_answer(fleet.now() + Duration::from_secs(30));
    let Some(Reply::Generated(response)) = fleet.take_answers().pop().map(|a| a.reply) else {
        panic!("no complete answer to {prompt:?}");
    };
    let request = CallerRequest::Explain(response.request.clone());
    fleet.call(instance, request).unwrap();
    fleet.run_until_answer(fleet.now() + Duration::from_secs(1));
    let Some(Reply::Explained(Some(decisions))) = fleet.take_answers().pop().map(|a| a.reply)
    else {
        panic!("{prompt:?} is not explained");
    };
    let requested = decisions
        .into_iter()
        .filter_map(|(_, decision)| match decision {
            Decision::Asked { coordinator, .. } => Some(coordinator),
            _ => None,
        });
    (response, requested.collect())
}

#[test]
fn only_one_coordinator_is_requested_while_it_grants_promptly() {
    let (mut fleet, instances) = fleet();

    for number in 0..PROMPTS {
        let (_, requested) = run(&mut fleet, &instances[0], &format!("prompt {number}"));

        assert_eq!(requested.len(), 1, "{requested:?}");
    }
}

#[test]
fn second_coordinator_is_requested_when_the_first_does_not_answer() {
    let (mut fleet, instances) = fleet();
    // It is the only instance of its availability zone and therefore coordinates the engine there.
    let paused = instances[1].clone();
    fleet.pause(&paused);
    let mut hedged = 0;

    for number in 0..PROMPTS {
        let started = fleet.now();
        let (response, requested) = run(&mut fleet, &instances[0], &format!("prompt {number}"));
        if requested.first() != Some(&paused) {
            continue;
        }
        hedged += 1;
        assert_eq!(requested.len(), 2, "{requested:?}");
        assert!(response.tokens > 0);
        assert!(fleet.now().since(started) < Duration::from_secs(10));
    }

    assert!(
        hedged > 0,
        "no slot request went to the paused coordinator first"
    );
}
