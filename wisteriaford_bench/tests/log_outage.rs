//! Outage of the platform's log.

use wisteriaford_bench::processes::Fleet;
use wisteriaford_bench::processes::FleetOptions;
use wisteriaford_bench::processes::fleet::INTERACTIVE_CALLER;
use wisteriaford_bench::processes::fleet::LOOKUP_ROUTE;
use wisteriaford_bench::processes::fleet::MAX_WAIT;
use wisteriaford_bench::processes::fleet::SCAN_ROUTE;
use wisteriaford_bench::processes::wait_until;
use wisteriaford_bench::quickstart::interactive;
use wisteriaford_bench::quickstart::training::StepSize;
use wisteriaford_bench::quickstart::training::Training;
use wisteriaford_client::client::RouteCall;
use wisteriaford_client::message::LogState;
use wisteriaford_client::message::Outcome;
use wisteriaford_standins::FaultChange;

const SIZE: StepSize = StepSize {
    groups: 4,
    group_size: 4,
    max_tokens: 128,
};

fn set_log_down(fleet: &Fleet, down: bool) {
    let change = FaultChange {
        down: Some(down),
        ..FaultChange::default()
    };
    fleet.log.set_faults(&change).unwrap();
    let state = if down { LogState::Down } else { LogState::Up };
    wait_until("the log's state on every daemon", MAX_WAIT, || {
        let mut daemons = fleet.daemons.iter();
        daemons.all(|d| d.status().is_ok_and(|status| status.log == state))
    })
    .unwrap();
}

fn scan_call(key: &str, is_first_attempt: bool) -> RouteCall {
    RouteCall {
        route: SCAN_ROUTE.to_owned(),
        caller: INTERACTIVE_CALLER.to_owned(),
        content_type: "text/plain".to_owned(),
        body: b"badge".to_vec(),
        idempotency_key: Some(key.to_owned()),
        is_first_attempt,
        ..RouteCall::default()
    }
}

#[test]
fn everything_but_claims_works_while_the_log_is_down() {
    let fleet = Fleet::start_ready(&FleetOptions::default()).unwrap();
    set_log_down(&fleet, true);

    let mut training = Training::default();
    for step in 0..3 {
        let client = fleet.client(usize::try_from(step).unwrap());
        training.run_step(&client, step, SIZE, 1);
    }
    let generated = interactive::generate(&fleet.client(0), "g-1", "While it is down:", 32);
    let called = interactive::call(&fleet.client(1), LOOKUP_ROUTE, "c-1", None);
    let first = fleet.client(2).call(&scan_call("outage-1", true));
    let possible_retry = fleet.client(2).call(&scan_call("outage-2", false));
    let runs = count_runs(&fleet, "outage-1") + count_runs(&fleet, "outage-2");

    assert!(training.counts.is_clean(), "{:?}", training.counts);
    assert!(training.failures.is_empty(), "{:?}", training.failures);
    generated.unwrap();
    called.unwrap();
    let first = first.unwrap_err();
    assert_eq!(first.code(), Some("log_unavailable"), "{first}");
    assert_eq!(first.outcome(), Outcome::NotRun);
    // An earlier attempt may have run, which the daemon cannot check without the log.
    let possible_retry = possible_retry.unwrap_err();
    assert_eq!(possible_retry.code(), Some("log_unavailable"));
    assert_eq!(possible_retry.outcome(), Outcome::OutcomeUnknown);
    assert_eq!(runs, 0);
}

#[test]
fn configuration_published_after_an_outage_takes_effect() {
    let fleet = Fleet::start_ready(&FleetOptions::default()).unwrap();
    set_log_down(&fleet, true);
    let mut configuration = fleet.configuration();
    configuration.routes.pop();

    let during = fleet
        .publish(&configuration, &["--wait-ms", "1000"])
        .unwrap();
    set_log_down(&fleet, false);
    let after = fleet.publish(&configuration, &[]).unwrap();
    fleet.wait_until_ready(2).unwrap();
    let scanned = fleet.client(0).call(&scan_call("after-1", true));

    assert_eq!(during.exit_code, Some(5), "{}", during.text);
    assert_eq!(after.exit_code, Some(0), "{}", after.text);
    assert_eq!(scanned.unwrap_err().code(), Some("unknown_route"));
}

fn count_runs(fleet: &Fleet, key: &str) -> u64 {
    let services = fleet.plain_services.iter();
    let runs = services.map(|s| s.get("/runs").unwrap()["by_key"][key].as_u64().unwrap_or(0));
    runs.sum()
}
