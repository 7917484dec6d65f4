//! Orders, loads and crashes of the engine.

use std::net::SocketAddr;

use serde_json::json;
use wisteriaford_standins::EngineSettings;
use wisteriaford_standins::FaultChange;
use wisteriaford_standins::Standin;
use wisteriaford_standins::WeightStoreSettings;
use wisteriaford_standins::expected_text;

use crate::support::Stream;
use crate::support::Streamed;
use crate::support::generate_body;
use crate::support::get;
use crate::support::post;
use crate::support::quick_engine;
use crate::support::run_faster;
use crate::support::seed_of_long_answer;
use crate::support::send;
use crate::support::start_engine;
use crate::support::stuck_engine;
use crate::support::wait_until;

const NEVER_MS: u64 = 3_600_000;

fn order(address: SocketAddr, fence: u64, load_version: u64) -> (u16, serde_json::Value) {
    let body = json!({"fence": fence, "holder": "test", "load_version": load_version});
    post(address, "/orders", &body)
}

fn wait_for_version(address: SocketAddr, version: u64) {
    wait_until("a version", || {
        let state = get(address, "/state");
        state["version"] == version && state["loading_version"] == 0
    });
}

#[test]
fn swap_amid_a_stream_changes_its_version_and_keeps_its_text() {
    let engine = start_engine(EngineSettings {
        tokens_per_s: 100,
        ..quick_engine()
    });
    let seed = seed_of_long_answer("p", 900);
    let mut stream = Stream::open(engine.address(), &generate_body("r", "p", seed));
    let mut streamed = Streamed::default();
    streamed.add(&stream.next_line().expect("a first line"));

    let (status, body) = order(engine.address(), 1, 2);
    wait_for_version(engine.address(), 2);
    run_faster(&engine);
    while let Some(line) = stream.next_line() {
        streamed.add(&line);
    }

    assert_eq!((status, body), (202, json!({"accepted": true})));
    assert_eq!(streamed.versions, [1, 2]);
    assert_eq!(streamed.text, expected_text("p", seed, 1_000));
    assert!(streamed.total_tokens.is_some());
}

#[test]
fn engine_generates_while_it_loads() {
    let engine = start_engine(EngineSettings {
        load_ms: NEVER_MS,
        ..quick_engine()
    });
    order(engine.address(), 1, 2);

    let streamed = Stream::open(engine.address(), &generate_body("r", "p", 1)).finish();

    assert_eq!(streamed.versions, [1]);
    assert!(streamed.total_tokens.is_some());
    assert_eq!(get(engine.address(), "/state")["loading_version"], 2);
}

#[test]
fn engine_told_to_refuse_while_loading_does() {
    let engine = start_engine(EngineSettings {
        load_ms: NEVER_MS,
        refuse_while_loading: true,
        ..quick_engine()
    });
    order(engine.address(), 1, 2);

    let (status, body) = post(engine.address(), "/generate", &generate_body("r", "p", 1));

    assert_eq!((status, &body["error"]["code"]), (409, &json!("swapping")));
}

#[test]
fn order_with_an_old_fence_is_refused() {
    let engine = start_engine(quick_engine());
    order(engine.address(), 7, 3);
    wait_for_version(engine.address(), 3);

    let (status, body) = order(engine.address(), 6, 2);

    assert_eq!(status, 409);
    assert_eq!(body["error"]["code"], "fenced");
    assert_eq!(body["error"]["fence"], 7);
    wait_for_version(engine.address(), 3);
}

#[test]
fn order_with_an_old_fence_is_taken_where_fencing_is_ignored() {
    let engine = start_engine(quick_engine());
    engine.change_faults(FaultChange {
        ignore_fencing: Some(true),
        ..FaultChange::default()
    });
    order(engine.address(), 7, 3);
    wait_for_version(engine.address(), 3);

    let (status, _) = order(engine.address(), 6, 2);

    assert_eq!(status, 202);
    wait_for_version(engine.address(), 2);
}

#[test]
fn order_of_the_loaded_version_does_nothing() {
    let engine = start_engine(EngineSettings {
        load_ms: NEVER_MS,
        ..quick_engine()
    });

    let (status, _) = order(engine.address(), 1, 1);

    assert_eq!(status, 202);
    assert_eq!(get(engine.address(), "/state")["loading_version"], 0);
}

#[test]
fn failed_swap_leaves_the_version_and_the_next_order_loads() {
    let engine = start_engine(quick_engine());
    engine.change_faults(FaultChange {
        fail_swaps: Some(1),
        ..FaultChange::default()
    });

    order(engine.address(), 1, 2);
    wait_until("the failure", || engine.faults().fail_swaps == 0);
    wait_for_version(engine.address(), 1);
    order(engine.address(), 1, 2);

    wait_for_version(engine.address(), 2);
}

#[test]
fn engines_that_load_at_once_retry_until_the_store_serves_them() {
    let store = Standin::WeightStore(WeightStoreSettings {
        start_version: 5,
        concurrent_loads: 1,
        ..WeightStoreSettings::default()
    })
    .start()
    .unwrap();
    let engines = [(); 3].map(|()| {
        start_engine(EngineSettings {
            weight_store: Some(store.address().to_string()),
            ..quick_engine()
        })
    });

    for engine in &engines {
        order(engine.address(), 1, 5);
    }

    for engine in &engines {
        wait_for_version(engine.address(), 5);
    }
}

#[test]
fn version_that_the_store_does_not_know_fails_to_load() {
    let store = Standin::WeightStore(WeightStoreSettings::default())
        .start()
        .unwrap();
    let engine = start_engine(EngineSettings {
        weight_store: Some(store.address().to_string()),
        ..quick_engine()
    });

    order(engine.address(), 1, 9);

    wait_for_version(engine.address(), 1);
}

#[test]
fn crash_marker_cuts_streams_and_a_restart_changes_the_incarnation() {
    let engine = start_engine(stuck_engine());
    let address = engine.address();
    order(address, 1, 4);
    wait_for_version(address, 4);
    let incarnation = get(address, "/state")["incarnation"].as_u64();
    let running = Stream::open(address, &generate_body("a", "p", 1));
    post(address, "/faults", &json!({"crash_marker": "BOOM"}));

    let crashed = send(
        address,
        "POST",
        "/generate",
        generate_body("b", "BOOM", 1).to_string(),
    );
    let down = send(address, "GET", "/state", "");
    let cut = running.finish();
    post(
        address,
        "/faults",
        &json!({"down": false, "crash_marker": ""}),
    );

    assert!(crashed.is_err());
    assert!(down.is_err());
    assert_eq!(cut.total_tokens, None);
    let state = get(address, "/state");
    assert!(state["incarnation"].as_u64() > incarnation);
    assert_eq!(
        (&state["version"], &state["running"]),
        (&json!(1), &json!(0))
    );
}
