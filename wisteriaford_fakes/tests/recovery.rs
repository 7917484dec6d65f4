//! Recovery of a whole fleet: instances killed, replaced and shut down, endpoints that come back.

use std::time::Duration;

use rstest::rstest;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::Revision;
use wisteriaford_core::note::Note;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_fakes::NodeState;

#[allow(dead_code)]
#[path = "support/counts.rs"]
mod counts;
#[path = "support/setting.rs"]
mod setting;
#[path = "support/trainer.rs"]
mod trainer;
#[allow(dead_code)]
#[path = "support/world.rs"]
mod world;

use setting::ENGINES;
use setting::INSTANCES;
use setting::engine_address;
use world::World;

const SECOND: Duration = Duration::from_secs(1);

fn begun(world: &World, engine: usize) -> u64 {
    world.fleet.engines[engine_address(engine).as_str()].attempts_received
}

/// Sends one generation to each instance.
fn load(world: &mut World, round: usize) {
    for at in 0..INSTANCES {
        world.generate(at, &format!("load {round} {at}"));
    }
}

fn assert_steps_go_on(world: &mut World, within: Duration) {
    let before = world.steps_done();
    world.advance(within);
    let after = world.steps_done();
    let goes_on = before
        .iter()
        .zip(&after)
        .all(|(before, after)| after > before);
    assert!(goes_on, "steps {before:?}, later {after:?}");
}

#[rstest]
#[case::one(&[0], 40)]
#[case::two_at_once(&[1, 3], 40)]
#[case::all_but_one(&[0, 1, 2, 4], 90)]
fn step_goes_on_when_instances_are_killed_in_its_midst(
    #[case] killed: &[usize],
    #[case] within_s: u64,
) {
    let mut world = World::new(1);
    world.advance(Duration::from_millis(1_500));

    for &at in killed {
        world.kill(at);
    }

    assert_steps_go_on(&mut world, Duration::from_secs(within_s));
}

#[test]
fn publication_counts_once_when_its_answer_is_lost_and_a_reader_is_killed() {
    let mut world = World::new(2);
    world.fleet.log.lose_answers = 2;

    world.publish(Some(1), true);
    world.kill(0);
    world.advance(6 * SECOND);
    world.restart(0);
    world.advance(6 * SECOND);

    let rejected = world.fleet.notes.iter().filter(|(_, _, note)| {
        let Note::PublicationRejected { publication, .. } = note else {
            return false;
        };
        publication == "p-2-1"
    });
    assert!(rejected.count() >= INSTANCES - 1);
    let in_force = world.fleet.notes.iter().filter(|(_, _, note)| {
        matches!(note, Note::RevisionInForce { revision, .. } if *revision == Revision(2))
    });
    assert_eq!(in_force.count(), INSTANCES);
}

#[test]
fn all_are_replaced_one_after_another_under_load() {
    let mut world = World::new(3);

    for at in 0..INSTANCES {
        load(&mut world, at);
        world.shut_down(at);
        let instance = world.instances[at].clone();
        for second in 0.. {
            if world.fleet.state(&instance) == NodeState::Stopped {
                break;
            }
            assert!(second < 60, "{instance} does not exit");
            world.advance(SECOND);
        }
        world.restart(at);
        world.advance(12 * SECOND);
    }
    world.settle();

    assert_eq!(world.refused, []);
    assert_eq!(world.answered, INSTANCES * INSTANCES);
}

#[test]
fn all_that_was_taken_in_is_answered_when_all_shut_down_at_once() {
    let mut world = World::new(4);
    let rounds = 12;
    for round in 0..rounds {
        load(&mut world, round);
    }
    world.advance(Duration::from_millis(200));
    assert!(world.waiting() > 4 * ENGINES, "more than the slots take");

    for at in 0..INSTANCES {
        world.shut_down(at);
    }
    world.advance(90 * SECOND);

    assert_eq!(world.refused, []);
    assert_eq!(world.answered, rounds * INSTANCES);
    let instances = world.instances.iter();
    let mut states = instances.map(|instance| world.fleet.state(instance));
    assert!(states.all(|state| state == NodeState::Stopped));
}

#[rstest]
#[case::log_up(false)]
#[case::log_down(true)]
fn all_are_killed_at_once(#[case] is_log_down: bool) {
    let mut world = World::new(5);
    world.advance(2 * SECOND);
    world.log_down(is_log_down);
    for at in 0..INSTANCES {
        world.kill(at);
    }
    world.advance(SECOND);

    for at in 0..INSTANCES {
        world.restart(at);
    }
    world.advance(20 * SECOND);

    if is_log_down {
        load(&mut world, 0);
        world.advance(SECOND);
        assert_eq!(world.refused, [RefusalReason::NoConfiguration; INSTANCES]);
        world.log_down(false);
    }
    assert_steps_go_on(&mut world, Duration::from_secs(40));
}

#[test]
fn instance_that_starts_while_the_log_is_down_serves_what_its_peers_have() {
    let mut world = World::new(6);
    world.publish(Some(1), false);
    world.advance(6 * SECOND);
    world.log_down(true);
    world.kill(0);
    world.advance(SECOND);

    world.restart(0);
    world.advance(6 * SECOND);
    world.generate(0, "hello");
    world.advance(10 * SECOND);

    assert_eq!(world.refused, []);
    assert_eq!(world.answered, 1);
}

#[test]
fn endpoint_gets_work_again_when_the_configuration_takes_its_leave_back() {
    let mut world = World::new(7);
    world.publish(Some(0), false);
    world.advance(10 * SECOND);
    let before = begun(&world, 0);

    world.publish(None, false);
    world.advance(10 * SECOND);

    assert!(begun(&world, 0) > before);
}

#[test]
fn endpoint_gets_work_again_once_the_list_says_so_for_long() {
    let mut world = World::new(8);
    world.list_leaving(0);
    world.advance(10 * SECOND);
    let before = begun(&world, 0);

    world.list_back(0);
    world.advance(30 * SECOND);
    assert_eq!(begun(&world, 0), before, "a list that lags takes it back");
    world.advance(50 * SECOND);

    assert!(begun(&world, 0) > before);
}

#[test]
fn instance_that_was_paused_sends_nothing_new_to_an_endpoint_that_left_meanwhile() {
    for engine in 0..ENGINES {
        for at in 0..INSTANCES {
            let mut world = World::new(12);
            world.freeze(at);
            world.list_leaving(engine);
            world.advance(Duration::from_millis(8_500));
            let before = begun(&world, engine);

            world.resume(at);
            world.advance(3 * SECOND);

            assert_eq!(begun(&world, engine), before, "engine {engine} by {at}");
        }
    }
}

#[test]
fn request_that_crashes_endpoints_is_refused_whichever_instance_it_reaches_next() {
    let mut world = World::new(9);

    for at in 0..INSTANCES {
        world.generate(at, setting::POISON);
        world.advance(10 * SECOND);
    }

    let crashes = world.fleet.engines.values().map(|engine| engine.crashes);
    let crashes: u64 = crashes.sum();
    // The second crash may be heard of only after the request was sent a third time.
    assert!((2..=3).contains(&crashes), "{crashes} crashes");
    assert_eq!(world.refused, [RefusalReason::Quarantined; INSTANCES]);
}

#[test]
fn key_of_a_caller_that_went_away_before_its_call_was_sent_is_free_again() {
    let mut world = World::new(10);
    for key in 0..40 {
        world.call(0, Some(key), false);
        world
            .fleet
            .run_for(Duration::from_millis(u64::from(key) / 2));
        world.hang_up();
    }
    world.advance(10 * SECOND);
    let ran: Vec<bool> = (0..40).map(|key| world.has_run(key)).collect();
    assert!(ran.contains(&true) && ran.contains(&false));

    for key in 0..40 {
        world.call(usize::from(key) % INSTANCES, Some(key), false);
        world.advance(SECOND);
    }
    world.advance(10 * SECOND);

    let free = ran.iter().filter(|ran| !**ran).count();
    assert_eq!(world.answered, free, "refused: {:?}", world.refused);
}

#[test]
fn requests_that_wait_for_an_endpoint_taken_out_of_the_configuration_go_elsewhere() {
    let mut world = World::new(11);
    for round in 0..12 {
        load(&mut world, round);
    }
    world.advance(Duration::from_millis(200));

    let mut content = setting::configuration(None);
    content
        .endpoints
        .retain(|endpoint| endpoint.name != "engine-0" && endpoint.name != "engine-1");
    let record = setting::publication("without", 1, content);
    world.fleet.append(LogStream::Configuration, &record);
    world.note_published();
    world.advance(50 * SECOND);

    assert_eq!(world.refused, []);
    assert_eq!(world.waiting(), 0);
}
