//! An instance that is frozen until its peers declare it dead, and then resumes.

use std::time::Duration;
use std::time::Instant;

use wisteriaford_bench::processes::Daemon;
use wisteriaford_bench::processes::Fleet;
use wisteriaford_bench::processes::FleetOptions;
use wisteriaford_bench::processes::Signal;
use wisteriaford_bench::processes::fleet::INTERACTIVE_CALLER;
use wisteriaford_bench::processes::fleet::LOOKUP_ROUTE;
use wisteriaford_bench::processes::fleet::MAX_WAIT;
use wisteriaford_bench::processes::fleet::SCAN_ROUTE;
use wisteriaford_bench::processes::wait_until;
use wisteriaford_bench::quickstart::interactive;
use wisteriaford_bench::quickstart::training::StepSize;
use wisteriaford_bench::quickstart::training::Training;
use wisteriaford_client::client::RouteCall;

const FROZEN: usize = 2;
const SIZE: StepSize = StepSize {
    groups: 4,
    group_size: 4,
    max_tokens: 128,
};
/// Time for which the instance is called after it resumes.
const CALL_DURATION: Duration = Duration::from_secs(5);

/// Returns the state of a member as seen by a daemon.
fn member_state(daemon: &Daemon, id: &str) -> String {
    let status = daemon.status().unwrap();
    let member = status.members.into_iter().find(|member| member.id == id);
    member.map_or_else(|| "none".to_owned(), |member| member.state)
}

fn wait_for_liveness(fleet: &Fleet, is_alive: bool) {
    let id = fleet.daemons[FROZEN].id();
    wait_until(
        "the frozen member's state on the other daemons",
        MAX_WAIT,
        || {
            let mut others = fleet.daemons.iter().filter(|daemon| daemon.id() != id);
            others.all(|daemon| (member_state(daemon, id) == "alive") == is_alive)
        },
    )
    .unwrap();
}

fn wait_until_dead(fleet: &Fleet) {
    let id = fleet.daemons[FROZEN].id();
    wait_until("death of the frozen member", MAX_WAIT, || {
        let mut others = fleet.daemons.iter().filter(|daemon| daemon.id() != id);
        others.all(|daemon| ["dead", "none"].contains(&member_state(daemon, id).as_str()))
    })
    .unwrap();
}

fn lookup_call() -> RouteCall {
    RouteCall {
        route: LOOKUP_ROUTE.to_owned(),
        caller: INTERACTIVE_CALLER.to_owned(),
        content_type: "text/plain".to_owned(),
        body: b"badge".to_vec(),
        ..RouteCall::default()
    }
}

/// Calls a route of a daemon for [`CALL_DURATION`]. Returns the numbers of served and refused
/// calls.
fn call_repeatedly(daemon: &Daemon) -> (u32, u32) {
    let client = daemon.client();
    let started = Instant::now();
    let (mut served, mut refused) = (0, 0);
    while started.elapsed() < CALL_DURATION {
        match client.call(&lookup_call()) {
            Ok(_) => served += 1,
            Err(_) => refused += 1,
        }
    }
    (served, refused)
}

#[test]
fn resumed_instance_serves_only_the_newest_revision() {
    let fleet = Fleet::start_ready(&FleetOptions::default()).unwrap();
    let mut configuration = fleet.configuration();
    configuration
        .routes
        .retain(|route| route.name != LOOKUP_ROUTE);

    fleet.daemons[FROZEN].signal(Signal::Stop).unwrap();
    wait_until_dead(&fleet);
    let published = fleet.publish(&configuration, &[]).unwrap();
    let others = [0, 1];
    wait_until("new revision on the other daemons", MAX_WAIT, || {
        others
            .iter()
            .all(|&index| fleet.daemons[index].revision() == 2)
    })
    .unwrap();
    let mut training = Training::default();
    for index in others {
        training.run_step(&fleet.client(index), index as u64, SIZE, 1);
    }
    let scanned = interactive::call(&fleet.client(0), SCAN_ROUTE, "scan-1", Some("scan-1"));
    let generated = interactive::generate(&fleet.client(1), "generate-1", "Frozen:", 64);
    fleet.daemons[FROZEN].signal(Signal::Continue).unwrap();
    let (served, refused) = call_repeatedly(&fleet.daemons[FROZEN]);
    wait_for_liveness(&fleet, true);
    fleet.wait_until_ready(2).unwrap();
    let after_resume =
        interactive::generate(&fleet.daemons[FROZEN].client(), "back-1", "Back:", 64);

    assert_eq!(published.exit_code, Some(0), "{}", published.text);
    assert!(training.counts.is_clean(), "{:?}", training.counts);
    assert!(training.failures.is_empty(), "{:?}", training.failures);
    scanned.unwrap();
    generated.unwrap();
    assert_eq!(
        served, 0,
        "served calls of a route that the newest revision does not have"
    );
    assert!(refused > 0);
    after_resume.unwrap();
}
