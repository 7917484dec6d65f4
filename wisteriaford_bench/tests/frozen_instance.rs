//! Instance that is frozen past suspicion and goes on.

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
/// Time in which the instance is asked after it goes on.
const ASKED_FOR: Duration = Duration::from_secs(5);

/// Returns the state of a member as a daemon sees it.
fn state_at(daemon: &Daemon, id: &str) -> String {
    let status = daemon.status().unwrap();
    let member = status.members.into_iter().find(|member| member.id == id);
    member.map_or_else(|| "none".to_owned(), |member| member.state)
}

fn wait_for_state(fleet: &Fleet, is_alive: bool) {
    let id = fleet.daemons[FROZEN].id();
    wait_until("the frozen member's state at the others", MAX_WAIT, || {
        let mut others = fleet.daemons.iter().filter(|daemon| daemon.id() != id);
        others.all(|daemon| (state_at(daemon, id) == "alive") == is_alive)
    })
    .unwrap();
}

fn wait_until_dead(fleet: &Fleet) {
    let id = fleet.daemons[FROZEN].id();
    wait_until("death of the frozen member", MAX_WAIT, || {
        let mut others = fleet.daemons.iter().filter(|daemon| daemon.id() != id);
        others.all(|daemon| ["dead", "none"].contains(&state_at(daemon, id).as_str()))
    })
    .unwrap();
}

fn lookup() -> RouteCall {
    RouteCall {
        route: LOOKUP_ROUTE.to_owned(),
        caller: INTERACTIVE_CALLER.to_owned(),
        content_type: "text/plain".to_owned(),
        body: b"badge".to_vec(),
        ..RouteCall::default()
    }
}

/// Asks a daemon for a route for a while, and returns how many calls it served and refused.
fn ask_for_a_while(daemon: &Daemon) -> (u32, u32) {
    let client = daemon.client();
    let started = Instant::now();
    let (mut served, mut refused) = (0, 0);
    while started.elapsed() < ASKED_FOR {
        match client.call(&lookup()) {
            Ok(_) => served += 1,
            Err(_) => refused += 1,
        }
    }
    (served, refused)
}

#[test]
fn frozen_instance_comes_back_to_the_newest_revision_only() {
    let fleet = Fleet::start_ready(&FleetOptions::default()).unwrap();
    let mut configuration = fleet.configuration();
    configuration
        .routes
        .retain(|route| route.name != LOOKUP_ROUTE);

    fleet.daemons[FROZEN].signal(Signal::Stop).unwrap();
    wait_until_dead(&fleet);
    let published = fleet.publish(&configuration, &[]).unwrap();
    let others = [0, 1];
    wait_until("the new revision at the others", MAX_WAIT, || {
        others
            .iter()
            .all(|&place| fleet.daemons[place].revision() == 2)
    })
    .unwrap();
    let mut training = Training::default();
    for place in others {
        training.run_step(&fleet.client(place), place as u64, SIZE, 1);
    }
    let scanned = interactive::call(&fleet.client(0), SCAN_ROUTE, "scan-1", Some("scan-1"));
    let generated = interactive::generate(&fleet.client(1), "generate-1", "Frozen:", 64);
    fleet.daemons[FROZEN].signal(Signal::Continue).unwrap();
    let (served, refused) = ask_for_a_while(&fleet.daemons[FROZEN]);
    wait_for_state(&fleet, true);
    fleet.wait_until_ready(2).unwrap();
    let back = interactive::generate(&fleet.daemons[FROZEN].client(), "back-1", "Back:", 64);

    assert_eq!(published.exit_code, Some(0), "{}", published.text);
    assert!(training.counts.is_clean(), "{:?}", training.counts);
    assert!(training.failures.is_empty(), "{:?}", training.failures);
    scanned.unwrap();
    generated.unwrap();
    assert_eq!(
        served, 0,
        "calls of a route that the newest revision does not have"
    );
    assert!(refused > 0);
    back.unwrap();
}
