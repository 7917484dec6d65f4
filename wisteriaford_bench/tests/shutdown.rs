//! Graceful shutdown of real daemons.

use std::thread;
use std::time::Duration;

use wisteriaford_bench::processes::Fleet;
use wisteriaford_bench::processes::FleetOptions;
use wisteriaford_bench::processes::Signal;
use wisteriaford_bench::processes::fleet::INTERACTIVE_CALLER;
use wisteriaford_bench::processes::fleet::LOOKUP_ROUTE;
use wisteriaford_bench::processes::fleet::MAX_WAIT;
use wisteriaford_client::client::ClientError;
use wisteriaford_client::client::RouteCall;
use wisteriaford_client::message::Outcome;
use wisteriaford_client::message::code;
use wisteriaford_client::transport::TransportError;

fn lookup() -> RouteCall {
    RouteCall {
        route: LOOKUP_ROUTE.to_owned(),
        caller: INTERACTIVE_CALLER.to_owned(),
        content_type: "text/plain".to_owned(),
        body: b"badge".to_vec(),
        ..RouteCall::default()
    }
}

fn is_told(error: &ClientError) -> bool {
    match error {
        ClientError::Transport {
            source: TransportError::NotSent { .. },
        } => true,
        other => other.code() == Some(code::SHUTTING_DOWN) && other.outcome() == Outcome::NotRun,
    }
}

#[test]
fn late_callers_of_a_leaving_daemon_are_told_and_not_cut_off() {
    const CALLERS: u32 = 30;
    const INTERVAL: Duration = Duration::from_millis(100);
    let mut fleet = Fleet::start_ready(&FleetOptions::default()).unwrap();
    let client = fleet.daemons[2].client();

    fleet.daemons[2].signal(Signal::Terminate).unwrap();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let client = client.clone();
            thread::spawn(move || {
                thread::sleep(INTERVAL * number);
                client.call(&lookup())
            })
        })
        .collect();
    let results: Vec<_> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    let status = fleet.daemons[2].process().wait(MAX_WAIT).unwrap();

    let errors: Vec<_> = results.into_iter().filter_map(Result::err).collect();
    let cut_off: Vec<_> = errors.iter().filter(|error| !is_told(error)).collect();
    assert!(cut_off.is_empty(), "{cut_off:?}");
    assert!(!errors.is_empty());
    assert_eq!(status.code(), Some(0));
}
