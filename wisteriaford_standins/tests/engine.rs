//! Streams, slots, cache events and reports of the engine.

use serde_json::Value;
use serde_json::json;
use wisteriaford_standins::EngineSettings;
use wisteriaford_standins::FaultChange;
use wisteriaford_standins::expected_text;
use wisteriaford_standins::expected_tokens;
use wisteriaford_standins::prefix_hash;

use crate::support::Stream;
use crate::support::generate_body;
use crate::support::get;
use crate::support::post;
use crate::support::quick_engine;
use crate::support::run_faster;
use crate::support::seed_of_long_answer;
use crate::support::start_engine;
use crate::support::stuck_engine;
use crate::support::wait_until;

const NEVER_MS: u64 = 3_600_000;

#[test]
fn stream_brings_the_expected_text_with_its_version() {
    let engine = start_engine(quick_engine());

    let streamed = Stream::open(engine.address(), &generate_body("r", "p", 7)).finish();

    assert_eq!(streamed.text, expected_text("p", 7, 1_000));
    assert_eq!(streamed.versions, [1]);
    let total = u64::from(expected_tokens("p", 7, 1_000));
    assert_eq!(streamed.total_tokens, Some(total));
}

#[test]
fn stream_resumed_on_another_engine_continues_the_same_text() {
    let first = start_engine(stuck_engine());
    let second = start_engine(quick_engine());
    let seed = seed_of_long_answer("p", 50);
    let mut body = generate_body("r", "p", seed);
    first.change_faults(FaultChange {
        tokens_per_s: Some(1_000),
        ..FaultChange::default()
    });
    let mut begun = Stream::open(first.address(), &body);
    let line = begun.next_line().expect("a first line");
    let from_token = line["from_token"].as_u64().unwrap() + line["tokens"].as_u64().unwrap();
    first.stop();

    body["from_token"] = json!(from_token);
    let rest = Stream::open(second.address(), &body).finish();

    let text = line["text"].as_str().unwrap().to_owned() + &rest.text;
    assert_eq!(text, expected_text("p", seed, 1_000));
    assert!(rest.total_tokens.is_some());
}

#[test]
fn lengths_are_heavy_tailed_and_capped() {
    let mut lengths: Vec<u32> = (0..2_000)
        .map(|seed| expected_tokens("p", seed, 5_000))
        .collect();
    lengths.sort_unstable();

    let median = lengths[1_000];
    let longest = lengths[1_999];

    assert!((30..60).contains(&median), "median {median}");
    assert!(longest > 20 * median, "longest {longest}");
    assert!(longest <= 5_000);
}

#[test]
fn interactive_request_runs_before_batch_requests_that_came_earlier() {
    let engine = start_engine(stuck_engine());
    let address = engine.address();
    let waiting = |count: u64| {
        wait_until("waiting requests", || {
            get(address, "/state")["waiting"] == count
        });
    };
    let running = Stream::open(address, &generate_body("running", "running", 1));
    wait_until("a running request", || {
        get(address, "/state")["running"] == 1
    });
    let batch = Stream::open(address, &generate_body("batch", "batch", 1));
    waiting(1);
    let mut body = generate_body("interactive", "interactive", 1);
    body["priority"] = json!("interactive");
    let interactive = Stream::open(address, &body);
    waiting(2);

    run_faster(&engine);
    for stream in [running, batch, interactive] {
        assert!(stream.finish().total_tokens.is_some());
    }

    let started: Vec<Value> = get(address, "/cache-events?from=0")["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| event["prefix_hash"].clone())
        .collect();
    let order = ["running", "interactive", "batch"].map(prefix_hash);
    assert_eq!(json!(started), json!(order));
}

#[test]
fn cancelled_stream_ends_without_done_and_frees_its_slot() {
    let engine = start_engine(stuck_engine());
    let address = engine.address();
    let seed = seed_of_long_answer("p", 500);
    let stream = Stream::open(address, &generate_body("r", "p", seed));

    let (status, _) = post(address, "/cancel", &json!({"request_id": "r"}));
    run_faster(&engine);

    assert_eq!(status, 200);
    assert_eq!(stream.finish().total_tokens, None);
    wait_until("a free slot", || get(address, "/state")["running"] == 0);
}

#[test]
fn request_past_slots_and_queue_is_refused() {
    let engine = start_engine(EngineSettings {
        max_waiting: 0,
        ..stuck_engine()
    });
    let _running = Stream::open(engine.address(), &generate_body("a", "p", 1));

    let (status, body) = post(engine.address(), "/generate", &generate_body("b", "p", 1));

    assert_eq!(
        (status, &body["error"]["code"]),
        (503, &json!("overloaded"))
    );
}

#[test]
fn leaving_engine_refuses_new_work_and_finishes_the_old() {
    let engine = start_engine(stuck_engine());
    let running = Stream::open(engine.address(), &generate_body("a", "p", 1));

    post(engine.address(), "/faults", &json!({"leaving": true}));
    let (status, body) = post(engine.address(), "/generate", &generate_body("b", "p", 1));
    run_faster(&engine);

    assert_eq!((status, &body["error"]["code"]), (410, &json!("leaving")));
    assert_eq!(get(engine.address(), "/state")["leaving"], true);
    assert!(running.finish().total_tokens.is_some());
}

#[test]
fn cache_evicts_the_prefix_used_longest_ago() {
    let engine = start_engine(EngineSettings {
        cache_prefixes: 2,
        ..quick_engine()
    });

    for prompt in ["a", "b", "a", "c"] {
        Stream::open(engine.address(), &generate_body("r", prompt, 1)).finish();
    }

    let answer = get(engine.address(), "/cache-events?from=3");
    let evicted = json!({"seq": 3, "kind": "evicted", "prefix_hash": prefix_hash("b")});
    let stored = json!({"seq": 4, "kind": "stored", "prefix_hash": prefix_hash("c")});
    assert_eq!(answer, json!({"events": [evicted, stored], "next": 5}));
}

#[test]
fn cache_events_come_late() {
    let engine = start_engine(EngineSettings {
        cache_event_delay_ms: NEVER_MS,
        ..quick_engine()
    });

    Stream::open(engine.address(), &generate_body("r", "p", 1)).finish();

    let answer = get(engine.address(), "/cache-events?from=0");
    assert_eq!(answer, json!({"events": [], "next": 1}));
}

#[test]
fn cache_events_have_gaps_that_the_next_number_shows() {
    let engine = start_engine(EngineSettings {
        cache_event_gap: 2,
        ..quick_engine()
    });

    for number in 0..20 {
        Stream::open(
            engine.address(),
            &generate_body("r", &format!("{number}"), 1),
        )
        .finish();
    }

    let answer = get(engine.address(), "/cache-events?from=0");
    let published = answer["events"].as_array().unwrap().len();
    assert!((1..20).contains(&published), "published {published}");
    assert_eq!(answer["next"], 21);
}

#[test]
fn reported_state_lags() {
    let engine = start_engine(EngineSettings {
        state_age_ms: NEVER_MS,
        load_ms: NEVER_MS,
        ..quick_engine()
    });
    let order = json!({"fence": 1, "holder": "test", "load_version": 2});

    let (status, _) = post(engine.address(), "/orders", &order);

    assert_eq!(status, 202);
    assert_eq!(get(engine.address(), "/state")["loading_version"], 0);
}

#[test]
fn bad_requests_get_typed_errors() {
    let engine = start_engine(quick_engine());
    let mut endless = generate_body("r", "p", 1);
    endless["max_tokens"] = json!(u32::MAX);
    let mut negative = generate_body("r", "p", 1);
    negative["from_token"] = json!(-1);

    let (endless_status, endless) = post(engine.address(), "/generate", &endless);
    let (negative_status, negative) = post(engine.address(), "/generate", &negative);

    assert_eq!((endless_status, negative_status), (400, 400));
    assert_eq!(endless["error"]["code"], "parameter_invalid");
    assert_eq!(negative["error"]["code"], "body_invalid");
}
