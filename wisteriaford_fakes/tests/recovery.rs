//! Recovery of a fleet: instances are killed, replaced or shut down, and endpoints return.

use std::time::Duration;

use rstest::rstest;
use wisteriaford_core::diagnostic::Diagnostic;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::Revision;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_fakes::NodeState;

#[allow(dead_code)]
#[path = "support/counts.rs"]
mod counts;
#[path = "support/fixture.rs"]
mod fixture;
#[allow(dead_code)]
#[path = "support/harness.rs"]
mod harness;
#[path = "support/trainer.rs"]
mod trainer;

use fixture::ENGINES;
use fixture::INSTANCES;
use fixture::engine_address;
use harness::Harness;

const SECOND: Duration = Duration::from_secs(1);

fn attempts_received(harness: &Harness, engine: usize) -> u64 {
    harness.fleet.engines[engine_address(engine).as_str()].attempts_received
}

/// Sends one generation to each instance.
fn load(harness: &mut Harness, round: usize) {
    for index in 0..INSTANCES {
        harness.generate(index, &format!("load {round} {index}"));
    }
}

fn assert_steps_progress(harness: &mut Harness, within: Duration) {
    let before = harness.steps_done();
    harness.advance(within);
    let after = harness.steps_done();
    let has_progress = before
        .iter()
        .zip(&after)
        .all(|(before, after)| after > before);
    assert!(
        has_progress,
        "completed steps did not increase: {before:?} before, {after:?} after"
    );
}

#[rstest]
#[case::one(&[0], 40)]
#[case::two_at_once(&[1, 3], 40)]
#[case::all_but_one(&[0, 1, 2, 4], 90)]
fn step_progresses_after_instances_are_killed(#[case] killed: &[usize], #[case] within_s: u64) {
    let mut harness = Harness::new(1);
    harness.advance(Duration::from_millis(1_500));

    for &index in killed {
        harness.kill(index);
    }

    assert_steps_progress(&mut harness, Duration::from_secs(within_s));
}

#[test]
fn publication_is_applied_once_when_its_answer_is_lost_and_a_reader_is_killed() {
    let mut harness = Harness::new(2);
    harness.fleet.log.lose_answers = 2;

    harness.publish(Some(1), true);
    harness.kill(0);
    harness.advance(6 * SECOND);
    harness.restart(0);
    harness.advance(6 * SECOND);

    let rejected = harness
        .fleet
        .diagnostics
        .iter()
        .filter(|(_, _, diagnostic)| {
            let Diagnostic::PublicationRejected { publication, .. } = diagnostic else {
                return false;
            };
            publication == "p-2-1"
        });
    assert!(rejected.count() >= INSTANCES - 1);
    let in_force = harness
        .fleet
        .diagnostics
        .iter()
        .filter(|(_, _, diagnostic)| {
            matches!(
                diagnostic,
                Diagnostic::RevisionInForce { revision, .. } if *revision == Revision(2)
            )
        });
    assert_eq!(in_force.count(), INSTANCES);
}

#[test]
fn rolling_replacement_under_load_answers_all_requests() {
    let mut harness = Harness::new(3);

    for index in 0..INSTANCES {
        load(&mut harness, index);
        harness.shut_down(index);
        let instance = harness.instances[index].clone();
        for second in 0.. {
            if harness.fleet.state(&instance) == NodeState::Stopped {
                break;
            }
            assert!(second < 60, "{instance} did not exit");
            harness.advance(SECOND);
        }
        harness.restart(index);
        harness.advance(12 * SECOND);
    }
    harness.settle();

    assert_eq!(harness.refused, []);
    assert_eq!(harness.answered, INSTANCES * INSTANCES);
}

#[test]
fn accepted_requests_are_answered_when_all_instances_shut_down() {
    let mut harness = Harness::new(4);
    let rounds = 12;
    for round in 0..rounds {
        load(&mut harness, round);
    }
    harness.advance(Duration::from_millis(200));
    assert!(
        harness.pending_requests() > 4 * ENGINES,
        "expected more requests than slots"
    );

    for index in 0..INSTANCES {
        harness.shut_down(index);
    }
    harness.advance(90 * SECOND);

    assert_eq!(harness.refused, []);
    assert_eq!(harness.answered, rounds * INSTANCES);
    let instances = harness.instances.iter();
    let mut states = instances.map(|instance| harness.fleet.state(instance));
    assert!(states.all(|state| state == NodeState::Stopped));
}

#[rstest]
#[case::log_up(false)]
#[case::log_down(true)]
fn fleet_recovers_after_all_instances_are_killed(#[case] is_log_down: bool) {
    let mut harness = Harness::new(5);
    harness.advance(2 * SECOND);
    harness.set_log_down(is_log_down);
    for index in 0..INSTANCES {
        harness.kill(index);
    }
    harness.advance(SECOND);

    for index in 0..INSTANCES {
        harness.restart(index);
    }
    harness.advance(20 * SECOND);

    if is_log_down {
        load(&mut harness, 0);
        harness.advance(SECOND);
        assert_eq!(harness.refused, [RefusalReason::NoConfiguration; INSTANCES]);
        harness.set_log_down(false);
    }
    assert_steps_progress(&mut harness, Duration::from_secs(40));
}

#[test]
fn instance_started_during_a_log_outage_uses_the_configuration_of_peers() {
    let mut harness = Harness::new(6);
    harness.publish(Some(1), false);
    harness.advance(6 * SECOND);
    harness.set_log_down(true);
    harness.kill(0);
    harness.advance(SECOND);

    harness.restart(0);
    harness.advance(6 * SECOND);
    harness.generate(0, "hello");
    harness.advance(10 * SECOND);

    assert_eq!(harness.refused, []);
    assert_eq!(harness.answered, 1);
}

#[test]
fn endpoint_receives_work_after_the_configuration_no_longer_marks_it_as_leaving() {
    let mut harness = Harness::new(7);
    harness.publish(Some(0), false);
    harness.advance(10 * SECOND);
    let before = attempts_received(&harness, 0);

    harness.publish(None, false);
    harness.advance(10 * SECOND);

    assert!(attempts_received(&harness, 0) > before);
}

#[test]
fn endpoint_receives_work_after_it_has_been_listed_as_live_for_long_enough() {
    let mut harness = Harness::new(8);
    harness.list_leaving(0);
    harness.advance(10 * SECOND);
    let before = attempts_received(&harness, 0);

    harness.list_live(0);
    harness.advance(30 * SECOND);
    assert_eq!(
        attempts_received(&harness, 0),
        before,
        "used again before the delay for lagging lists has passed"
    );
    harness.advance(50 * SECOND);

    assert!(attempts_received(&harness, 0) > before);
}

#[test]
fn resumed_instance_sends_no_new_work_to_an_endpoint_that_left_during_the_pause() {
    for engine in 0..ENGINES {
        for index in 0..INSTANCES {
            let mut harness = Harness::new(12);
            harness.pause(index);
            harness.list_leaving(engine);
            harness.advance(Duration::from_millis(8_500));
            let before = attempts_received(&harness, engine);

            harness.resume(index);
            harness.advance(3 * SECOND);

            assert_eq!(
                attempts_received(&harness, engine),
                before,
                "engine {engine}, instance {index}"
            );
        }
    }
}

#[test]
fn request_that_crashes_endpoints_is_refused_by_all_instances() {
    let mut harness = Harness::new(9);

    for index in 0..INSTANCES {
        harness.generate(index, fixture::POISON);
        harness.advance(10 * SECOND);
    }

    let crashes = harness.fleet.engines.values().map(|engine| engine.crashes);
    let crashes: u64 = crashes.sum();
    // The report of the second crash may arrive after the request was sent a third time.
    assert!((2..=3).contains(&crashes), "{crashes} crashes");
    assert_eq!(harness.refused, [RefusalReason::Quarantined; INSTANCES]);
}

#[test]
fn key_is_released_when_its_caller_disconnects_before_the_call_is_sent() {
    let mut harness = Harness::new(10);
    for key in 0..40 {
        harness.call(0, Some(key), false);
        harness
            .fleet
            .run_for(Duration::from_millis(u64::from(key) / 2));
        harness.disconnect_caller();
    }
    harness.advance(10 * SECOND);
    let ran: Vec<bool> = (0..40).map(|key| harness.has_run(key)).collect();
    assert!(ran.contains(&true) && ran.contains(&false));

    for key in 0..40 {
        harness.call(usize::from(key) % INSTANCES, Some(key), false);
        harness.advance(SECOND);
    }
    harness.advance(10 * SECOND);

    let released = ran.iter().filter(|ran| !**ran).count();
    assert_eq!(harness.answered, released, "refused: {:?}", harness.refused);
}

#[test]
fn requests_queued_for_an_endpoint_removed_from_the_configuration_are_rerouted() {
    let mut harness = Harness::new(11);
    for round in 0..12 {
        load(&mut harness, round);
    }
    harness.advance(Duration::from_millis(200));

    let mut content = fixture::configuration(None);
    content
        .endpoints
        .retain(|endpoint| endpoint.name != "engine-0" && endpoint.name != "engine-1");
    let record = fixture::publication("without", 1, content);
    harness.fleet.append(LogStream::Configuration, &record);
    harness.record_publication();
    harness.advance(50 * SECOND);

    assert_eq!(harness.refused, []);
    assert_eq!(harness.pending_requests(), 0);
}
