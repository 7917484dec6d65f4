//! Tests of the engine's orders, weight loads and crashes.

use std::net::SocketAddr;

use serde_json::json;
use wisteriaford_standins::EngineSettings;
use wisteriaford_standins::FaultChange;
use wisteriaford_standins::Standin;
use wisteriaford_standins::WeightStoreSettings;
use wisteriaford_standins::expected_text;

use crate::support::CollectedStream;
use crate::support::GenerationStream;
use crate::support::fast_engine_settings;
use crate::support::generate_body;
use crate::support::get;
use crate::support::post;
use crate::support::seed_of_long_answer;
use crate::support::send;
use crate::support::slow_engine_settings;
use crate::support::speed_up;
use crate::support::start_engine;
use crate::support::wait_until;

/// Longer than any test runs.
const ONE_HOUR_MS: u64 = 3_600_000;

fn send_order(address: SocketAddr, fence: u64, load_version: u64) -> (u16, serde_json::Value) {
    let body = json!({"fence": fence, "holder": "test", "load_version": load_version});
    post(address, "/orders", &body)
}

fn wait_for_version(address: SocketAddr, version: u64) {
    wait_until("the version", || {
        let state = get(address, "/state");
        state["version"] == version && state["loading_version"] == 0
    });
}

#[test]
fn weight_swap_during_stream_changes_version_but_not_text() {
    let engine = start_engine(EngineSettings {
        tokens_per_s: 100,
        ..fast_engine_settings()
    });
    let seed = seed_of_long_answer("p", 900);
    let mut stream = GenerationStream::open(engine.address(), &generate_body("r", "p", seed));
    let mut streamed = CollectedStream::default();
    streamed.add(&stream.next_line().expect("stream should have a first line"));

    let (status, body) = send_order(engine.address(), 1, 2);
    wait_for_version(engine.address(), 2);
    speed_up(&engine);
    while let Some(line) = stream.next_line() {
        streamed.add(&line);
    }

    assert_eq!((status, body), (202, json!({"accepted": true})));
    assert_eq!(streamed.versions, [1, 2]);
    assert_eq!(streamed.text, expected_text("p", seed, 1_000));
    assert!(streamed.total_tokens.is_some());
}

#[test]
fn engine_generates_while_loading_weights() {
    let engine = start_engine(EngineSettings {
        load_ms: ONE_HOUR_MS,
        ..fast_engine_settings()
    });
    send_order(engine.address(), 1, 2);

    let streamed = GenerationStream::open(engine.address(), &generate_body("r", "p", 1)).finish();

    assert_eq!(streamed.versions, [1]);
    assert!(streamed.total_tokens.is_some());
    assert_eq!(get(engine.address(), "/state")["loading_version"], 2);
}

#[test]
fn engine_refuses_requests_while_loading_if_configured() {
    let engine = start_engine(EngineSettings {
        load_ms: ONE_HOUR_MS,
        refuse_while_loading: true,
        ..fast_engine_settings()
    });
    send_order(engine.address(), 1, 2);

    let (status, body) = post(engine.address(), "/generate", &generate_body("r", "p", 1));

    assert_eq!((status, &body["error"]["code"]), (409, &json!("swapping")));
}

#[test]
fn order_with_outdated_fence_is_refused() {
    let engine = start_engine(fast_engine_settings());
    send_order(engine.address(), 7, 3);
    wait_for_version(engine.address(), 3);

    let (status, body) = send_order(engine.address(), 6, 2);

    assert_eq!(status, 409);
    assert_eq!(body["error"]["code"], "fenced");
    assert_eq!(body["error"]["fence"], 7);
    wait_for_version(engine.address(), 3);
}

#[test]
fn order_with_outdated_fence_is_accepted_if_fencing_is_ignored() {
    let engine = start_engine(fast_engine_settings());
    engine.change_faults(FaultChange {
        ignore_fencing: Some(true),
        ..FaultChange::default()
    });
    send_order(engine.address(), 7, 3);
    wait_for_version(engine.address(), 3);

    let (status, _) = send_order(engine.address(), 6, 2);

    assert_eq!(status, 202);
    wait_for_version(engine.address(), 2);
}

#[test]
fn order_for_loaded_version_has_no_effect() {
    let engine = start_engine(EngineSettings {
        load_ms: ONE_HOUR_MS,
        ..fast_engine_settings()
    });

    let (status, _) = send_order(engine.address(), 1, 1);

    assert_eq!(status, 202);
    assert_eq!(get(engine.address(), "/state")["loading_version"], 0);
}

#[test]
fn failed_swap_keeps_version_and_next_order_loads() {
    let engine = start_engine(fast_engine_settings());
    engine.change_faults(FaultChange {
        fail_swaps: Some(1),
        ..FaultChange::default()
    });

    send_order(engine.address(), 1, 2);
    wait_until("the failure", || engine.faults().fail_swaps == 0);
    wait_for_version(engine.address(), 1);
    send_order(engine.address(), 1, 2);

    wait_for_version(engine.address(), 2);
}

#[test]
fn concurrent_loads_retry_until_store_accepts_them() {
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
            ..fast_engine_settings()
        })
    });

    for engine in &engines {
        send_order(engine.address(), 1, 5);
    }

    for engine in &engines {
        wait_for_version(engine.address(), 5);
    }
}

#[test]
fn loading_version_unknown_to_store_fails() {
    let store = Standin::WeightStore(WeightStoreSettings::default())
        .start()
        .unwrap();
    let engine = start_engine(EngineSettings {
        weight_store: Some(store.address().to_string()),
        ..fast_engine_settings()
    });

    send_order(engine.address(), 1, 9);

    wait_for_version(engine.address(), 1);
}

#[test]
fn crash_marker_closes_streams_and_restart_changes_incarnation() {
    let engine = start_engine(slow_engine_settings());
    let address = engine.address();
    send_order(address, 1, 4);
    wait_for_version(address, 4);
    let incarnation = get(address, "/state")["incarnation"].as_u64();
    let running = GenerationStream::open(address, &generate_body("a", "p", 1));
    post(address, "/faults", &json!({"crash_marker": "BOOM"}));

    let crashed = send(
        address,
        "POST",
        "/generate",
        generate_body("b", "BOOM", 1).to_string(),
    );
    let down = send(address, "GET", "/state", "");
    let interrupted = running.finish();
    post(
        address,
        "/faults",
        &json!({"down": false, "crash_marker": ""}),
    );

    assert!(crashed.is_err());
    assert!(down.is_err());
    assert_eq!(interrupted.total_tokens, None);
    let state = get(address, "/state");
    assert!(state["incarnation"].as_u64() > incarnation);
    assert_eq!(
        (&state["version"], &state["running"]),
        (&json!(1), &json!(0))
    );
}
