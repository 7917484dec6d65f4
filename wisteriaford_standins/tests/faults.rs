//! Tests of the faults common to all stand-ins, and of invalid input.

use std::io::Write;

use serde_json::json;
use wisteriaford_standins::LogSettings;
use wisteriaford_standins::ScorerSettings;
use wisteriaford_standins::Standin;
use wisteriaford_standins::StandinHandle;
use wisteriaford_standins::expected_text;

use crate::support::GenerationStream;
use crate::support::fast_engine_settings;
use crate::support::generate_body;
use crate::support::get;
use crate::support::get_raw;
use crate::support::is_silent;
use crate::support::post;
use crate::support::read_answer;
use crate::support::read_some;
use crate::support::read_until_silent;
use crate::support::request_json;
use crate::support::seed_of_long_answer;
use crate::support::send;
use crate::support::send_raw;
use crate::support::slow_engine_settings;
use crate::support::speed_up;
use crate::support::start_engine;

fn start_scorer() -> StandinHandle {
    Standin::Scorer(ScorerSettings::default())
        .start()
        .expect("stand-in should start")
}

#[test]
fn fault_change_keeps_other_faults() {
    let scorer = start_scorer();

    post(
        scorer.address(),
        "/faults",
        &json!({"slow_ms": 1, "silent_streams": true}),
    );
    post(scorer.address(), "/faults", &json!({"slow_ms": 2}));

    let faults = get(scorer.address(), "/faults");
    assert_eq!(
        (&faults["slow_ms"], &faults["silent_streams"]),
        (&json!(2), &json!(true))
    );
}

#[test]
fn change_with_unknown_fault_is_refused_entirely() {
    let scorer = start_scorer();

    let (status, body) = post(
        scorer.address(),
        "/faults",
        &json!({"down": true, "dwon": 1}),
    );

    assert_eq!(
        (status, &body["error"]["code"]),
        (400, &json!("body_invalid"))
    );
    assert_eq!(get(scorer.address(), "/faults")["down"], false);
}

#[test]
fn stand_in_closes_connections_while_down() {
    let scorer = start_scorer();
    let body = json!({"samples": []});

    post(scorer.address(), "/faults", &json!({"down": true}));
    let down = send(scorer.address(), "POST", "/score", body.to_string());
    post(scorer.address(), "/faults", &json!({"down": false}));

    assert!(down.is_err());
    assert_eq!(post(scorer.address(), "/score", &body).0, 200);
}

#[test]
fn silent_stand_in_holds_connections_until_silence_ends() {
    let log = Standin::Log(LogSettings::default()).start().unwrap();
    post(log.address(), "/faults", &json!({"silent": true}));
    let mut held = get_raw(log.address(), "/streams/s/records");

    let silent = is_silent(&mut held);
    post(log.address(), "/faults", &json!({"silent": false}));

    assert!(silent);
    assert!(read_answer(&mut held).unwrap().starts_with("HTTP/1.1 200 "));
}

#[test]
fn silenced_streams_stay_silent_while_new_ones_work() {
    let engine = start_engine(slow_engine_settings());
    let seed = seed_of_long_answer("p", 100);
    let body = generate_body("r", "p", seed).to_string();
    let length = body.len();
    let request = format!("POST /generate HTTP/1.1\r\ncontent-length: {length}\r\n\r\n{body}");
    let mut old = send_raw(engine.address(), &request);
    let head = read_some(&mut old).unwrap();

    post(
        engine.address(),
        "/faults",
        &json!({"silent_streams": true}),
    );
    speed_up(&engine);
    let new = GenerationStream::open(engine.address(), &generate_body("s", "p", seed)).finish();
    post(
        engine.address(),
        "/faults",
        &json!({"silent_streams": false}),
    );

    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    assert_eq!(new.text, expected_text("p", seed, 1_000));
    let before_silence = read_until_silent(&mut old).expect("connection should stay open");
    assert!(!before_silence.contains("done"), "{before_silence}");
}

#[test]
fn stream_with_lost_answer_is_executed() {
    let engine = start_engine(fast_engine_settings());
    post(engine.address(), "/faults", &json!({"lose_answers": 1}));

    let lost = send(
        engine.address(),
        "POST",
        "/generate",
        generate_body("r", "p", 1).to_string(),
    );

    assert!(lost.is_err());
    assert_eq!(get(engine.address(), "/cache-events?from=0")["next"], 2);
}

#[test]
fn several_requests_share_a_connection() {
    let scorer = start_scorer();
    let mut stream = get_raw(scorer.address(), "/faults");
    let first = read_answer(&mut stream).unwrap();

    stream.write_all(b"GET /faults HTTP/1.1\r\n\r\n").unwrap();
    let second = read_answer(&mut stream).unwrap();

    assert!(first.starts_with("HTTP/1.1 200 "));
    assert!(second.starts_with("HTTP/1.1 200 "));
}

#[test]
fn chunked_body_is_decoded() {
    let scorer = start_scorer();
    let request = "POST /score HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n\
        8\r\n{\"sample\r\n6\r\ns\":[]}\r\n0\r\n\r\n";

    let answer = read_answer(&mut send_raw(scorer.address(), request)).unwrap();

    assert!(answer.ends_with(r#"{"scores":[]}"#), "{answer}");
}

#[test]
fn invalid_input_gets_error_codes_and_stand_in_keeps_serving() {
    let scorer = start_scorer();
    let garbage = read_answer(&mut send_raw(scorer.address(), "\u{1}\u{2}\r\n\r\n")).unwrap();
    let large = "POST /score HTTP/1.1\r\ncontent-length: 99999999999\r\n\r\n";
    let large = read_answer(&mut send_raw(scorer.address(), large)).unwrap();
    let (json, _) = request_json(scorer.address(), "POST", "/score", "{");
    let (path, _) = request_json(scorer.address(), "GET", "/nothing", "");

    assert!(garbage.contains("request_invalid"), "{garbage}");
    assert!(large.contains("too_large"), "{large}");
    assert_eq!((json, path), (400, 404));
    assert_eq!(
        post(scorer.address(), "/score", &json!({"samples": []})).0,
        200
    );
}
