//! Engines whose open streams go silent for good while new connections work.

use std::thread;

use wisteriaford_bench::processes::Fleet;
use wisteriaford_bench::processes::FleetOptions;
use wisteriaford_bench::processes::fleet::MAX_WAIT;
use wisteriaford_bench::processes::wait_until;
use wisteriaford_bench::quickstart::interactive;
use wisteriaford_standins::FaultChange;
use wisteriaford_standins::expected_tokens;

const STREAMS: usize = 8;
const MAX_TOKENS: u32 = 600;
const MIN_TOKENS: u32 = 400;

fn long_prompts() -> Vec<String> {
    let prompts = (0_u32..).map(|number| format!("Long order {number}:"));
    let long = prompts.filter(|prompt| {
        expected_tokens(prompt, interactive::seed(prompt), MAX_TOKENS) >= MIN_TOKENS
    });
    long.take(STREAMS).collect()
}

fn metric_total(fleet: &Fleet, name: &str) -> f64 {
    let daemons = fleet.daemons.iter();
    daemons.map(|d| d.metric(name, None).unwrap()).sum()
}

#[test]
fn generation_resumes_after_its_stream_goes_silent() {
    let fleet = Fleet::start_ready(&FleetOptions::default()).unwrap();
    let streams: Vec<_> = long_prompts()
        .into_iter()
        .enumerate()
        .map(|(number, prompt)| {
            let client = fleet.client(number);
            let id = format!("long-{number}");
            thread::spawn(move || interactive::generate(&client, &id, &prompt, MAX_TOKENS))
        })
        .collect();
    wait_until("start of every stream", MAX_WAIT, || {
        let engines = fleet.engines.iter();
        let running = engines.map(|e| e.get("/state").unwrap()["running"].as_u64().unwrap());
        running.sum::<u64>() == STREAMS as u64
    })
    .unwrap();

    for engine in &fleet.engines {
        let change = FaultChange {
            silent_streams: Some(true),
            ..FaultChange::default()
        };
        engine.set_faults(&change).unwrap();
    }
    let results: Vec<_> = streams.into_iter().map(|s| s.join().unwrap()).collect();

    let failed: Vec<_> = results.into_iter().filter_map(Result::err).collect();
    assert!(failed.is_empty(), "{failed:?}");
    assert!(metric_total(&fleet, "wisteriaford_resumes") >= 1.0);
    let silences = fleet.daemons.iter().map(|daemon| {
        let metric = daemon.metric("wisteriaford_retries", Some("silence"));
        metric.unwrap()
    });
    assert!(silences.sum::<f64>() >= 1.0);
}
