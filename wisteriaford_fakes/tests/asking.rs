//! Stewards that an entry asks for a slot: one, and a second only if the first grants none soon.

#[path = "support/small_fleet.rs"]
mod small_fleet;

use std::time::Duration;

use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::explain::Decision;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::reply::Generated;
use wisteriaford_core::reply::Reply;
use wisteriaford_fakes::Fleet;

use crate::small_fleet::fleet;
use crate::small_fleet::generation;

const PROMPTS: usize = 8;

/// Runs a generation and returns its answer and the stewards that were asked, in order.
fn run(fleet: &mut Fleet, instance: &InstanceId, prompt: &str) -> (Generated, Vec<InstanceId>) {
    fleet.call(instance, generation(prompt)).unwrap();
    fleet.run_until_answer(fleet.now() + Duration::from_secs(30));
    let Some(Reply::Generated(generated)) = fleet.take_answers().pop().map(|a| a.reply) else {
        panic!("no whole answer to {prompt:?}");
    };
    let ask = CallerRequest::Explain(generated.request.clone());
    fleet.call(instance, ask).unwrap();
    fleet.run_until_answer(fleet.now() + Duration::from_secs(1));
    let Some(Reply::Explained(Some(decisions))) = fleet.take_answers().pop().map(|a| a.reply)
    else {
        panic!("{prompt:?} is not explained");
    };
    let asked = decisions
        .into_iter()
        .filter_map(|(_, decision)| match decision {
            Decision::Asked { steward, .. } => Some(steward),
            _ => None,
        });
    (generated, asked.collect())
}

#[test]
fn one_steward_is_asked_while_it_grants_at_once() {
    let (mut fleet, instances) = fleet();

    for number in 0..PROMPTS {
        let (_, asked) = run(&mut fleet, &instances[0], &format!("prompt {number}"));

        assert_eq!(asked.len(), 1, "{asked:?}");
    }
}

#[test]
fn second_steward_is_asked_where_the_first_is_silent() {
    let (mut fleet, instances) = fleet();
    // The only instance of its availability zone looks after the engine there.
    let silent = instances[1].clone();
    fleet.pause(&silent);
    let mut went_on = 0;

    for number in 0..PROMPTS {
        let started = fleet.now();
        let (generated, asked) = run(&mut fleet, &instances[0], &format!("prompt {number}"));
        if asked.first() != Some(&silent) {
            continue;
        }
        went_on += 1;
        assert_eq!(asked.len(), 2, "{asked:?}");
        assert!(generated.tokens > 0);
        assert!(fleet.now().since(started) < Duration::from_secs(10));
    }

    assert!(went_on > 0, "no prompt went to the silent steward first");
}
