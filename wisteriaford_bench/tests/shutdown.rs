//! Graceful shutdown of daemon processes.

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

fn lookup_call() -> RouteCall {
    RouteCall {
        route: LOOKUP_ROUTE.to_owned(),
        caller: INTERACTIVE_CALLER.to_owned(),
        content_type: "text/plain".to_owned(),
        body: b"badge".to_vec(),
        ..RouteCall::default()
    }
}

fn is_clean_refusal(error: &ClientError) -> bool {
    match error {
        ClientError::Transport {
            source: TransportError::NotSent { .. },
        } => true,
        other => other.code() == Some(code::SHUTTING_DOWN) && other.outcome() == Outcome::NotRun,
    }
}

#[test]
fn requests_during_a_shutdown_are_refused_and_not_aborted() {
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
                client.call(&lookup_call())
            })
        })
        .collect();
    let results: Vec<_> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    let status = fleet.daemons[2].process().wait(MAX_WAIT).unwrap();

    let errors: Vec<_> = results.into_iter().filter_map(Result::err).collect();
    let aborted: Vec<_> = errors
        .iter()
        .filter(|error| !is_clean_refusal(error))
        .collect();
    assert!(aborted.is_empty(), "{aborted:?}");
    assert!(!errors.is_empty());
    assert_eq!(status.code(), Some(0));
}
