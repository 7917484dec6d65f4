//! Training steps whose owning instance is killed.

use std::collections::BTreeSet;
use std::time::Duration;

use rstest::rstest;
use wisteriaford_bench::processes::Fleet;
use wisteriaford_bench::processes::FleetOptions;
use wisteriaford_bench::processes::Signal;
use wisteriaford_bench::processes::fleet::MAX_WAIT;
use wisteriaford_bench::processes::fleet::TRAINER;
use wisteriaford_bench::processes::wait_until;
use wisteriaford_bench::quickstart::training::StepSize;
use wisteriaford_bench::quickstart::training::is_correct;
use wisteriaford_bench::quickstart::training::plan;
use wisteriaford_client::client::Client;
use wisteriaford_client::step::StepRun;
use wisteriaford_client::trainer::SystemTimer;
use wisteriaford_client::trainer::Trainer;
use wisteriaford_core::id::StepKey;
use wisteriaford_core::id::StepNumber;
use wisteriaford_core::placement::Candidate;
use wisteriaford_core::placement::Placement;
use wisteriaford_core::placement::Rendezvous;

const VERSION: u64 = 1;
const SIZE: StepSize = StepSize {
    groups: 16,
    group_size: 4,
    max_tokens: 256,
};
const STEP_TIMEOUT: Duration = Duration::from_secs(120);

/// Returns the index of the daemon that owns a step.
fn owner_of(fleet: &Fleet, number: u64) -> usize {
    let status = fleet.daemons[0].status().unwrap();
    let candidates = status.members.iter().map(|member| Candidate {
        id: member.id.as_str().into(),
        address: member.address.as_str().into(),
        availability_zone: member.availability_zone.as_str().into(),
        region: status.region.as_str().into(),
    });
    let placement = Rendezvous::new(candidates.collect());
    let key = StepKey {
        trainer: TRAINER.into(),
        number: StepNumber(number),
    };
    let owner = placement.owner(&key).unwrap().id.clone();
    let index = fleet.daemons.iter().position(|d| d.id() == owner.as_str());
    index.unwrap()
}

/// Sends one pull and adds the samples of the answer, if there is one, to the run.
fn pull(client: &Client, run: &mut StepRun) {
    let request = run.next_pull_request(VERSION);
    if let Ok(answer) = client.pull(run.plan().step, &request) {
        run.apply_answer(answer).unwrap();
    }
}

#[rstest]
#[case::ingress_survives(1)]
#[case::ingress_is_killed_too(0)]
fn step_completes_after_its_owner_is_killed(#[case] ingress_offset: usize) {
    let mut fleet = Fleet::start_ready(&FleetOptions::default()).unwrap();
    let number = 1;
    let owner = owner_of(&fleet, number);
    let client = fleet.client(owner + ingress_offset);
    let mut run = StepRun::new(plan(number, SIZE), 1).unwrap();
    wait_until("first samples of the step", MAX_WAIT, || {
        pull(&client, &mut run);
        !run.received().is_empty()
    })
    .unwrap();
    let received_before = run.received().len();

    fleet.daemons[owner].signal(Signal::Kill).unwrap();
    let mut trainer = Trainer {
        service: &mut client.clone(),
        timer: &mut SystemTimer::default(),
        deadline: STEP_TIMEOUT,
    };
    let result = trainer.run(&mut run, &mut |_| VERSION);
    fleet.daemons[owner].process().wait(MAX_WAIT).unwrap();

    result.unwrap();
    assert!((received_before as u64) < run.counts().asked);
    assert!(run.counts().is_clean(), "{:?}", run.counts());
    let indices: BTreeSet<u32> = run.samples().iter().map(|sample| sample.index).collect();
    assert_eq!(indices.len(), run.samples().len());
    let wrong_samples: Vec<_> = run
        .samples()
        .iter()
        .filter(|s| !is_correct(run.plan(), s))
        .collect();
    assert!(wrong_samples.is_empty(), "{wrong_samples:?}");
}
