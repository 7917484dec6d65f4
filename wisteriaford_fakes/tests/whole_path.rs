//! End-to-end tests in virtual time: configuration, generations, steps and new weights.

#[path = "support/small_fleet.rs"]
mod small_fleet;

use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::PullNumber;
use wisteriaford_core::id::StepNumber;
use wisteriaford_core::id::Version;
use wisteriaford_core::reply::Reply;
use wisteriaford_core::step::StepSpec;

use crate::small_fleet::MODEL;
use crate::small_fleet::fleet;
use crate::small_fleet::generation;

fn pull(number: u64, received: Vec<u8>, version: u64) -> CallerRequest {
    CallerRequest::Pull {
        trainer: CallerId::from("trainer"),
        step: StepNumber(1),
        pool: PoolId::from("restoration"),
        pull: PullNumber(number),
        current_version: Version(version),
        received,
        wait: Duration::from_secs(2),
        spec: Some(Arc::new(StepSpec {
            group_size: 4,
            max_tokens: 400,
            prompts: (0..8).map(|group| format!("prompt {group}")).collect(),
        })),
    }
}

#[test]
fn generation_is_complete_through_any_instance() {
    let (mut fleet, instances) = fleet();

    let tickets: Vec<_> = instances
        .iter()
        .map(|instance| fleet.call(instance, generation("hello")))
        .collect();
    fleet.run_for(Duration::from_secs(30));

    let answers = fleet.take_answers();
    assert_eq!(answers.len(), tickets.len());
    for answer in answers {
        let Reply::Generated(response) = answer.reply else {
            panic!("refused: {:?}", answer.reply);
        };
        let seed = wisteriaford_core::hash::hash_parts(&[b"hello"]);
        let tokens = wisteriaford_fakes::expected_tokens("hello", seed, 200);
        let text = wisteriaford_fakes::expected_text("hello", seed, 0, tokens);
        assert_eq!(response.text, text);
    }
}

#[test]
fn step_completes_across_instances_and_versions() {
    let (mut fleet, instances) = fleet();
    let mut received = wisteriaford_core::index_set::IndexSet::default();
    let mut versions = Vec::new();

    for number in 1..200 {
        if number == 3 {
            fleet.models.insert(ModelId::from(MODEL), Version(2));
        }
        let instance = &instances[usize::try_from(number % 3).unwrap()];
        let request = pull(number, received.as_bytes().to_vec(), 1);
        fleet.call(instance, request).unwrap();
        fleet.run_until_answer(fleet.now() + Duration::from_secs(10));
        for answer in fleet.take_answers() {
            let Reply::Pulled(response) = answer.reply else {
                panic!("refused: {:?}", answer.reply);
            };
            for sample in response.samples {
                assert!(received.insert(sample.index).unwrap(), "duplicate sample");
                versions.extend(sample.label.spans().iter().map(|span| span.version));
            }
        }
        if received.len() == 32 {
            break;
        }
    }

    assert_eq!(received.len(), 32);
    assert!(versions.contains(&Version(1)));
}
