//! Engines that leave the fleet, announced in each of the possible ways.

use std::thread;

use rstest::rstest;
use serde_json::json;
use wisteriaford_bench::processes::Fleet;
use wisteriaford_bench::processes::FleetOptions;
use wisteriaford_bench::processes::fleet::MAX_WAIT;
use wisteriaford_bench::processes::wait_until;
use wisteriaford_bench::quickstart::interactive;
use wisteriaford_client::client::Client;
use wisteriaford_client::message::GenerateAnswer;
use wisteriaford_client::message::GenerateRequest;
use wisteriaford_standins::FaultChange;
use wisteriaford_standins::expected_text;
use wisteriaford_standins::expected_tokens;

const STREAMS: usize = 8;
const LATER_REQUESTS: usize = 20;
const MAX_TOKENS: u32 = 1_000;
const MIN_TOKENS: u32 = 800;
const LATER_MAX_TOKENS: u32 = 32;

/// Announces that an engine is leaving.
type AnnounceLeaving = fn(&Fleet, &str);

fn by_engine(fleet: &Fleet, name: &str) {
    let engine = fleet.engines.iter().find(|engine| engine.name() == name);
    let change = FaultChange {
        leaving: Some(true),
        ..FaultChange::default()
    };
    engine.unwrap().set_faults(&change).unwrap();
}

fn by_instance_list(fleet: &Fleet, name: &str) {
    let listed = json!({
        "id": name,
        "address": "127.0.0.1:1",
        "availability_zone": "ariana",
        "region": "tunis-nord",
        "state": "leaving",
    });
    fleet.instance_list.post("/instances", &listed).unwrap();
}

fn by_configuration(fleet: &Fleet, name: &str) {
    let mut configuration = fleet.configuration();
    for endpoint in &mut configuration.endpoints {
        endpoint.leaving |= endpoint.name == name;
    }
    let output = fleet.publish(&configuration, &[]).unwrap();
    assert_eq!(output.exit_code, Some(0), "{}", output.text);
}

fn long_prompts() -> Vec<String> {
    let prompts = (0_u32..).map(|number| format!("Long order {number}:"));
    let long = prompts.filter(|prompt| {
        expected_tokens(prompt, interactive::seed(prompt), MAX_TOKENS) >= MIN_TOKENS
    });
    long.take(STREAMS).collect()
}

fn generate(client: &Client, prompt: &str, max_tokens: u32) -> GenerateAnswer {
    let request = GenerateRequest {
        caller: "portal".to_owned(),
        pool: "restoration".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        request_id: None,
        timeout_ms: None,
    };
    let answer = client.generate(&request).unwrap();
    let expected = expected_text(prompt, interactive::seed(prompt), max_tokens);
    assert_eq!(answer.text, expected);
    answer
}

fn running_generations(fleet: &Fleet, index: usize) -> u64 {
    let state = fleet.engines[index].get("/state").unwrap();
    state["running"].as_u64().unwrap()
}

fn is_leaving_on_all_daemons(fleet: &Fleet, name: &str) -> bool {
    let mut daemons = fleet.daemons.iter();
    daemons.all(|daemon| {
        let status = daemon.status().unwrap();
        let mut endpoints = status.endpoints.iter();
        endpoints.any(|e| e.endpoint == name && e.availability == "leaving")
    })
}

#[rstest]
#[case::by_engine(by_engine)]
#[case::by_instance_list(by_instance_list)]
#[case::by_configuration(by_configuration)]
fn leaving_engine_gets_no_new_work_and_finishes_its_streams(
    #[case] announce_leaving: AnnounceLeaving,
) {
    let options = FleetOptions {
        engines: 3,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_ready(&options).unwrap();
    let streams: Vec<_> = long_prompts()
        .into_iter()
        .enumerate()
        .map(|(number, prompt)| {
            let client = fleet.client(number);
            thread::spawn(move || generate(&client, &prompt, MAX_TOKENS))
        })
        .collect();
    let engines = 0..fleet.engines.len();
    wait_until("all streams running on the engines", MAX_WAIT, || {
        let counts = engines
            .clone()
            .map(|index| running_generations(&fleet, index));
        counts.sum::<u64>() == STREAMS as u64
    })
    .unwrap();
    let leaving = engines
        .max_by_key(|&index| running_generations(&fleet, index))
        .unwrap();
    let name = fleet.engines[leaving].name().to_owned();

    announce_leaving(&fleet, &name);
    wait_until("leaving state on every daemon", MAX_WAIT, || {
        is_leaving_on_all_daemons(&fleet, &name)
    })
    .unwrap();
    let later: Vec<_> = (0..LATER_REQUESTS)
        .map(|number| {
            let client = fleet.client(number);
            generate(&client, &format!("Later order {number}:"), LATER_MAX_TOKENS)
        })
        .collect();
    let first: Vec<_> = streams.into_iter().map(|s| s.join().unwrap()).collect();
    let resumes = fleet.daemons.iter().map(|daemon| {
        let resumes = daemon.metric("wisteriaford_resumes", None);
        resumes.unwrap()
    });

    assert!(
        later.iter().all(|answer| answer.endpoint != name),
        "{later:?}"
    );
    assert!(
        first.iter().any(|answer| answer.endpoint == name),
        "{first:?}"
    );
    assert!(resumes.sum::<f64>() < 0.5, "a stream in progress was moved");
}
