//! Tests of training steps: delivery by the ingress, second copies, hedges, cancellation, expiry
//! and hand-over.

use std::collections::HashSet;
use std::time::Duration;

use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::PullNumber;
use wisteriaford_core::id::Version;
use wisteriaford_core::index_set::IndexSet;
use wisteriaford_core::step::AttemptStart;
use wisteriaford_core::step::PoolSnapshot;
use wisteriaford_core::step::Pull;
use wisteriaford_core::step::PullAnswer;
use wisteriaford_core::step::PullRefusal;
use wisteriaford_core::step::PullTicket;
use wisteriaford_core::step::SampleAttempt;
use wisteriaford_core::step::SampleFailure;
use wisteriaford_core::step::StepOutput;
use wisteriaford_core::step::StepView;
use wisteriaford_core::step::Steps;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::step::PullStatus;
use wisteriaford_proto::step::Sample;
use wisteriaford_proto::step::StepMessage;
use wisteriaford_proto::step::VersionSpan;
use wisteriaford_proto::step::step_message::Body;

#[allow(dead_code)]
#[path = "support/step_world.rs"]
mod step_world;

use step_world::View;
use step_world::World;
use step_world::key;
use step_world::spec;

const TOTAL: usize = 24;

fn view(names: &[&str]) -> View {
    let snapshot = PoolSnapshot {
        staleness_bound_versions: 2,
        has_scorer: false,
        free_slots: 64,
    };
    View {
        me: InstanceId::from("me"),
        alive: names.iter().map(|&name| name.into()).collect(),
        snapshot,
    }
}

/// Returns a view in which this instance owns the step and another one is its replica.
fn view_with_replica() -> View {
    let names = (0..64).map(|number| format!("replica-{number}"));
    let mut views = names.map(|name| view(&["me", name.as_str()]));
    let is_owner = |view: &View| view.owner_of(&key(0)) == Some(view.me.clone());
    views
        .find(is_owner)
        .expect("a name that ranks below this instance")
}

fn pull(number: u64, received: &[u32]) -> Pull {
    let mut set = IndexSet::default();
    for &index in received {
        set.insert(index).expect("in bounds");
    }
    Pull {
        ticket: PullTicket(number),
        key: key(0),
        pool: PoolId::from("pool"),
        number: PullNumber(number),
        received: set,
        current_version: Version(5),
        wait: Duration::from_secs(30),
        spec: Some(spec()),
    }
}

fn sample(index: u32, tokens: u32, version: u64) -> Sample {
    let span = VersionSpan {
        from_token: 0,
        to_token: 4,
        version,
    };
    Sample {
        index,
        tokens,
        text: String::from("text"),
        spans: vec![span],
        ..Sample::default()
    }
}

fn answer(number: u64, samples: Vec<Sample>) -> StepMessage {
    let answer = wisteriaford_proto::step::PullAnswer {
        number,
        status: PullStatus::Ready.into(),
        samples,
        total: 24,
    };
    StepMessage {
        trainer: String::from("trainer-0"),
        step: 1,
        body: Some(Body::Answer(answer)),
    }
}

fn starts(out: &[StepOutput]) -> Vec<AttemptStart> {
    let start = |output: &StepOutput| match output {
        StepOutput::Start(start) => Some(start.clone()),
        _ => None,
    };
    out.iter().filter_map(start).collect()
}

fn cancels(out: &[StepOutput]) -> Vec<SampleAttempt> {
    let cancel = |output: &StepOutput| match output {
        StepOutput::Cancel(attempt) => Some(attempt.clone()),
        _ => None,
    };
    out.iter().filter_map(cancel).collect()
}

fn answers(out: &[StepOutput]) -> Vec<PullAnswer> {
    let answer = |output: &StepOutput| match output {
        StepOutput::Answer { answer, .. } => Some(answer.clone()),
        _ => None,
    };
    out.iter().filter_map(answer).collect()
}

fn refusals(out: &[StepOutput]) -> Vec<(PullTicket, PullRefusal)> {
    let refusal = |output: &StepOutput| match output {
        StepOutput::Refuse { ticket, reason } => Some((*ticket, *reason)),
        _ => None,
    };
    out.iter().filter_map(refusal).collect()
}

fn finished(start: &AttemptStart) -> wisteriaford_core::step::FinishedSample {
    let sample = sample(start.attempt.index, 4, 5);
    (&sample).try_into().expect("labelled")
}

/// Starts all first attempts of a step at 1 s and returns them; the only instance owns the step.
fn start_owned_step(steps: &mut Steps, view: &View) -> Vec<AttemptStart> {
    let mut out = Vec::new();
    let now = Timestamp::from_millis(1_000);
    steps.pull(now, pull(1, &[]), view, &mut out);
    steps.tick(now, view, &mut out);
    starts(&out)
}

#[test]
fn ingress_delivers_only_what_the_trainer_may_receive() {
    let now = Timestamp::from_millis(1_000);
    let view = view(&["owner"]);
    let mut steps = Steps::default();
    let mut out = Vec::new();
    steps.pull(now, pull(1, &[0]), &view, &mut out);
    let samples = vec![
        sample(0, 4, 5),
        sample(1, 4, 2),
        sample(2, 5, 5),
        sample(3, 4, 3),
        sample(3, 4, 5),
        sample(24, 4, 5),
    ];
    let owner = InstanceId::from("owner");
    for number in [2, 1, 1] {
        let message = answer(number, samples.clone());
        let result = steps.handle_message(now, &owner, &message, &view, &mut out);
        result.expect("well-formed");
    }
    let answers = answers(&out);
    assert_eq!(answers.len(), 1);
    let indices = answers[0].samples.iter().map(|sample| sample.index);
    assert_eq!(indices.collect::<Vec<_>>(), [3]);
    assert!(!answers[0].complete);
    assert_eq!(steps.counters().withheld, 5);
}

#[test]
fn lower_pull_is_superseded_at_ingress_and_owner() {
    let now = Timestamp::from_millis(1_000);
    let view = view(&["me"]);
    let mut steps = Steps::default();
    let mut out = Vec::new();
    steps.pull(now, pull(4, &[]), &view, &mut out);
    steps.pull(now, pull(6, &[]), &view, &mut out);
    steps.pull(now, pull(5, &[]), &view, &mut out);
    steps.pull_closed(PullTicket(6));
    steps.pull(now, pull(3, &[]), &view, &mut out);
    let superseded = [4, 5, 3].map(|number| (PullTicket(number), PullRefusal::Superseded));
    assert_eq!(refusals(&out), superseded);
}

#[test]
fn unknown_step_is_refused_without_spec_and_started_with_it() {
    let now = Timestamp::from_millis(1_000);
    let view = view(&["me"]);
    let mut steps = Steps::default();
    let mut out = Vec::new();
    let without_spec = Pull {
        spec: None,
        ..pull(1, &[])
    };
    steps.pull(now, without_spec, &view, &mut out);
    assert_eq!(refusals(&out), [(PullTicket(1), PullRefusal::StepUnknown)]);
    steps.pull(now, pull(2, &[]), &view, &mut out);
    steps.tick(now, &view, &mut out);
    assert_eq!(starts(&out).len(), TOTAL);
}

#[test]
fn owner_that_does_not_know_the_step_gets_the_spec() {
    let now = Timestamp::from_millis(1_000);
    let view = view(&["owner"]);
    let mut steps = Steps::default();
    let mut out = Vec::new();
    steps.pull(now, pull(1, &[]), &view, &mut out);
    let owner = InstanceId::from("owner");
    for status in [PullStatus::Waiting, PullStatus::StepUnknown] {
        let mut message = answer(1, Vec::new());
        if let Some(Body::Answer(answer)) = &mut message.body {
            answer.status = status.into();
        }
        out.clear();
        let result = steps.handle_message(now, &owner, &message, &view, &mut out);
        result.expect("well-formed");
    }
    let sent = out.iter().find_map(|output| match output {
        StepOutput::Send { message, .. } => message.body.clone(),
        _ => None,
    });
    let Some(Body::Pull(sent)) = sent else {
        panic!("the pull was not sent again");
    };
    assert!(sent.spec.is_some());
}

#[test]
fn hedge_avoids_the_endpoint_and_the_slower_attempt_is_cancelled() {
    let view = view(&["me"]);
    let mut steps = Steps::default();
    let mut out = Vec::new();
    let first = start_owned_step(&mut steps, &view);
    for start in &first {
        let endpoint = "e0".into();
        steps.sample_progress(&start.attempt, &endpoint, 1);
    }
    let now = Timestamp::from_millis(2_000);
    for start in &first[1..] {
        let sample = finished(start);
        steps.sample_finished(now, &start.attempt, Ok(sample), &view, &mut out);
    }
    steps.tick(now, &view, &mut out);
    assert!(
        starts(&out).is_empty(),
        "hedge started before the attempt is overdue"
    );
    let now = Timestamp::from_millis(9_000);
    steps.tick(now, &view, &mut out);
    let hedge = starts(&out);
    assert_eq!(hedge.len(), 1);
    assert_eq!(hedge[0].seed, first[0].seed);
    assert_eq!(hedge[0].excluded_endpoints, ["e0".into()]);
    let sample = finished(&hedge[0]);
    steps.sample_finished(now, &hedge[0].attempt, Ok(sample), &view, &mut out);
    assert_eq!(cancels(&out), [first[0].attempt.clone()]);
}

#[test]
fn failed_attempt_is_retried_after_back_off() {
    let view = view(&["me"]);
    let mut steps = Steps::default();
    let mut out = Vec::new();
    let first = start_owned_step(&mut steps, &view);
    let now = Timestamp::from_millis(1_000);
    let failure = Err(SampleFailure::Lost);
    steps.sample_finished(now, &first[0].attempt, failure, &view, &mut out);
    steps.tick(now, &view, &mut out);
    assert!(starts(&out).is_empty());
    steps.tick(now + Duration::from_millis(200), &view, &mut out);
    assert_eq!(starts(&out).len(), 1);
    assert_eq!(steps.counters().attempts_lost, 1);
}

#[test]
fn attempts_of_acknowledged_and_abandoned_samples_are_cancelled() {
    let view = view(&["me"]);
    let mut steps = Steps::default();
    let mut out = Vec::new();
    let first = start_owned_step(&mut steps, &view);
    let now = Timestamp::from_millis(1_100);
    steps.pull(now, pull(2, &[7]), &view, &mut out);
    let cancelled = cancels(&out);
    assert_eq!(cancelled.len(), 1);
    assert_eq!(cancelled[0].index, 7);
    steps.tick(now + Duration::from_secs(31), &view, &mut out);
    steps.tick(now + Duration::from_secs(95), &view, &mut out);
    assert_eq!(cancels(&out).len(), first.len());
    assert_eq!(steps.counters().expired_steps, 1);
    assert!(steps.is_idle());
}

#[test]
fn step_without_pulls_starts_no_attempts_and_keeps_its_copy() {
    let single_view = view(&["me"]);
    let mut steps = Steps::default();
    let mut out = Vec::new();
    let first = start_owned_step(&mut steps, &single_view);
    let view = view_with_replica();
    let now = Timestamp::from_millis(1_000);
    steps.tick(now, &view, &mut out);
    steps.pull_closed(PullTicket(1));
    let failure = Err(SampleFailure::Lost);
    steps.sample_finished(now, &first[0].attempt, failure, &view, &mut out);
    steps.tick(now + Duration::from_secs(16), &view, &mut out);
    assert!(starts(&out).is_empty());
    steps.tick(now + Duration::from_secs(61), &view, &mut out);
    assert_eq!(steps.counters().expired_steps, 1);
    let is_drop = |output: &StepOutput| match output {
        StepOutput::Send { message, .. } => matches!(message.body, Some(Body::Drop(_))),
        _ => false,
    };
    assert!(!out.iter().any(is_drop));
}

#[test]
fn replica_delivers_samples_of_a_dead_owner_without_regenerating_them() {
    let mut world = World::new(3, 1, false);
    let owner = world.ranked(0, 0).expect("owner");
    let replica = world.ranked(0, 1).expect("replica");
    world.trainers[0].version = 3;
    world.faults.lose_answers = u64::MAX;
    world.advance(4_000);
    let replicated = world.nodes[replica].steps.memory_usage().replicated_samples;
    world.kill(owner);
    world.correct_views();
    world.faults.lose_answers = 0;
    world.starts.clear();
    world.advance(60_000);
    assert!(world.trainers[0].is_done);
    assert!(replicated > 0, "nothing was replicated");
    assert_eq!(
        world.nodes[replica].steps.counters().recovered,
        replicated as u64
    );
    let restarted: HashSet<u32> = world.starts.iter().map(|s| s.1.attempt.index).collect();
    assert_eq!(restarted.len(), TOTAL - replicated);
}

#[test]
fn graceful_shutdown_finishes_its_attempts_and_hands_over_their_samples() {
    let mut world = World::new(3, 1, false);
    let owner = world.ranked(0, 0).expect("owner");
    world.advance(400);
    world.nodes[owner].is_leaving = true;
    world.correct_views();
    world.call(owner, |steps, now, view, out| {
        steps.hand_over(now, view, out);
    });
    let started_before = world.starts.len();
    let cancelled = world.nodes[owner].steps.counters().cancelled;
    world.advance(60_000);
    assert!(world.trainers[0].is_done);
    assert!(world.nodes[owner].steps.is_idle());
    assert_eq!(world.nodes[owner].steps.counters().cancelled, cancelled);
    let started_after = world.starts[started_before..].iter();
    assert!(started_after.clone().all(|(node, _)| *node != owner));
    assert_eq!(started_before, TOTAL);
    assert_eq!(started_after.count(), 0, "a running attempt was repeated");
}
