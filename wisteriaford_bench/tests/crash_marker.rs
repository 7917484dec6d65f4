//! A request that crashes every engine that runs it.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use wisteriaford_bench::processes::Daemon;
use wisteriaford_bench::processes::Fleet;
use wisteriaford_bench::processes::FleetOptions;
use wisteriaford_bench::processes::StandinProcess;
use wisteriaford_bench::processes::fleet::INTERACTIVE_CALLER;
use wisteriaford_bench::processes::fleet::MODEL_POOL;
use wisteriaford_bench::quickstart::interactive;
use wisteriaford_client::client::Client;
use wisteriaford_client::client::ClientError;
use wisteriaford_client::message::GenerateRequest;
use wisteriaford_client::message::Outcome;
use wisteriaford_standins::FaultChange;

const MARKER: &str = "POISON";
const MAX_CRASHES: u64 = 2;
const SUPERVISOR_INTERVAL: Duration = Duration::from_millis(100);
const HARMLESS_REQUESTS: usize = 30;

fn set_crash_marker(engine: &StandinProcess) {
    let change = FaultChange {
        crash_marker: Some(MARKER.to_owned()),
        ..FaultChange::default()
    };
    engine.set_faults(&change).unwrap();
}

/// Restarts crashed engines, as a supervisor does, and counts the crashes.
fn supervise(engines: &Mutex<Vec<StandinProcess>>, crashes: &AtomicU64, done: &AtomicBool) {
    while !done.load(Ordering::Relaxed) {
        for engine in engines.lock().unwrap().iter_mut() {
            if engine.process().exit_status().unwrap().is_some() {
                crashes.fetch_add(1, Ordering::Relaxed);
                engine.restart().unwrap();
                set_crash_marker(engine);
            }
        }
        thread::sleep(SUPERVISOR_INTERVAL);
    }
}

fn send_crashing_request(client: &Client, number: usize) -> Result<(), ClientError> {
    let request = GenerateRequest {
        caller: INTERACTIVE_CALLER.to_owned(),
        pool: MODEL_POOL.to_owned(),
        prompt: format!("Order with {MARKER} inside"),
        max_tokens: 64,
        request_id: Some(format!("poison-{number}")),
        timeout_ms: None,
    };
    client.generate(&request).map(|_| ())
}

/// Sends the request to the instances in turn until it is quarantined, then once more to each.
/// Returns the errors before and after the quarantine.
fn send_until_quarantined(clients: &[Client]) -> (Vec<ClientError>, Vec<ClientError>) {
    const MAX_ATTEMPTS: usize = 60;
    let mut before = Vec::new();
    for number in 0..MAX_ATTEMPTS {
        let client = &clients[number % clients.len()];
        let error = send_crashing_request(client, number).unwrap_err();
        if error.code() == Some("quarantined") {
            break;
        }
        before.push(error);
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_secs(3));
    let after = clients.iter().enumerate();
    let after = after
        .map(|(number, client)| send_crashing_request(client, MAX_ATTEMPTS + number).unwrap_err());
    (before, after.collect())
}

#[test]
fn request_is_quarantined_on_every_instance_after_two_crashes() {
    let options = FleetOptions {
        engines: 4,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start_ready(&options).unwrap();
    fleet.engines.iter().for_each(set_crash_marker);
    let engines = Mutex::new(std::mem::take(&mut fleet.engines));
    let crashes = AtomicU64::new(0);
    let done = AtomicBool::new(false);
    let clients: Vec<Client> = fleet.daemons.iter().map(Daemon::client).collect();
    let harmless_client = fleet.client(0);

    let (harmless, before, after) = thread::scope(|scope| {
        scope.spawn(|| supervise(&engines, &crashes, &done));
        let harmless = scope.spawn(|| {
            let harmless = (0..HARMLESS_REQUESTS).map(|number| {
                thread::sleep(Duration::from_millis(100));
                let id = format!("harmless-{number}");
                interactive::generate(
                    &harmless_client,
                    &id,
                    &format!("Harmless order {number}:"),
                    48,
                )
            });
            harmless.collect::<Vec<_>>()
        });
        let (before, after) = send_until_quarantined(&clients);
        let harmless = harmless.join().unwrap();
        done.store(true, Ordering::Relaxed);
        (harmless, before, after)
    });

    assert_eq!(crashes.load(Ordering::Relaxed), MAX_CRASHES, "{before:?}");
    let codes: Vec<_> = after.iter().map(ClientError::code).collect();
    assert!(
        codes.iter().all(|&code| code == Some("quarantined")),
        "{after:?}"
    );
    assert!(after.iter().all(|error| error.outcome() == Outcome::NotRun));
    let failed: Vec<_> = harmless.into_iter().filter_map(Result::err).collect();
    assert!(failed.is_empty(), "{failed:?}");
}
