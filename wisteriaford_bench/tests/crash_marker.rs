//! Request that crashes each engine that runs it.

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
const MOST_CRASHES: u64 = 2;
const SUPERVISOR_INTERVAL: Duration = Duration::from_millis(100);
const OTHERS: usize = 30;

fn arm(engine: &StandinProcess) {
    let change = FaultChange {
        crash_marker: Some(MARKER.to_owned()),
        ..FaultChange::default()
    };
    engine.set_faults(&change).unwrap();
}

/// Starts engines again that have crashed, as a supervisor does, and counts the crashes.
fn supervise(engines: &Mutex<Vec<StandinProcess>>, crashes: &AtomicU64, done: &AtomicBool) {
    while !done.load(Ordering::Relaxed) {
        for engine in engines.lock().unwrap().iter_mut() {
            if engine.process().exit_status().unwrap().is_some() {
                crashes.fetch_add(1, Ordering::Relaxed);
                engine.restart().unwrap();
                arm(engine);
            }
        }
        thread::sleep(SUPERVISOR_INTERVAL);
    }
}

fn send_poison(client: &Client, number: usize) -> Result<(), ClientError> {
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

/// Sends the request to each instance in turn until it is quarantined, and then to each once more.
fn send_until_quarantined(clients: &[Client]) -> (Vec<ClientError>, Vec<ClientError>) {
    const LONGEST: usize = 60;
    let mut before = Vec::new();
    for number in 0..LONGEST {
        let client = &clients[number % clients.len()];
        let error = send_poison(client, number).unwrap_err();
        if error.code() == Some("quarantined") {
            break;
        }
        before.push(error);
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_secs(3));
    let after = clients.iter().enumerate();
    let after = after.map(|(number, client)| send_poison(client, LONGEST + number).unwrap_err());
    (before, after.collect())
}

#[test]
fn request_is_quarantined_on_every_instance_after_two_crashes() {
    let options = FleetOptions {
        engines: 4,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start_ready(&options).unwrap();
    fleet.engines.iter().for_each(arm);
    let engines = Mutex::new(std::mem::take(&mut fleet.engines));
    let crashes = AtomicU64::new(0);
    let done = AtomicBool::new(false);
    let clients: Vec<Client> = fleet.daemons.iter().map(Daemon::client).collect();
    let any = fleet.client(0);

    let (others, before, after) = thread::scope(|scope| {
        scope.spawn(|| supervise(&engines, &crashes, &done));
        let others = scope.spawn(|| {
            let others = (0..OTHERS).map(|number| {
                thread::sleep(Duration::from_millis(100));
                let id = format!("harmless-{number}");
                interactive::generate(&any, &id, &format!("Harmless order {number}:"), 48)
            });
            others.collect::<Vec<_>>()
        });
        let (before, after) = send_until_quarantined(&clients);
        let others = others.join().unwrap();
        done.store(true, Ordering::Relaxed);
        (others, before, after)
    });

    assert_eq!(crashes.load(Ordering::Relaxed), MOST_CRASHES, "{before:?}");
    let codes: Vec<_> = after.iter().map(ClientError::code).collect();
    assert!(
        codes.iter().all(|&code| code == Some("quarantined")),
        "{after:?}"
    );
    assert!(after.iter().all(|error| error.outcome() == Outcome::NotRun));
    let failed: Vec<_> = others.into_iter().filter_map(Result::err).collect();
    assert!(failed.is_empty(), "{failed:?}");
}
