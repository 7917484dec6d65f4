//! Tests of the engine's streams, slots, cache events and state reports.

use serde_json::Value;
use serde_json::json;
use wisteriaford_standins::EngineSettings;
use wisteriaford_standins::FaultChange;
use wisteriaford_standins::expected_text;
use wisteriaford_standins::expected_tokens;
use wisteriaford_standins::prefix_hash;

use crate::support::GenerationStream;
use crate::support::fast_engine_settings;
use crate::support::generate_body;
use crate::support::get;
use crate::support::post;
use crate::support::seed_of_long_answer;
use crate::support::slow_engine_settings;
use crate::support::speed_up;
use crate::support::start_engine;
use crate::support::wait_until;

/// Longer than any test runs.
const ONE_HOUR_MS: u64 = 3_600_000;

#[test]
fn stream_contains_expected_text_and_version() {
    let engine = start_engine(fast_engine_settings());

    let streamed = GenerationStream::open(engine.address(), &generate_body("r", "p", 7)).finish();

    assert_eq!(streamed.text, expected_text("p", 7, 1_000));
    assert_eq!(streamed.versions, [1]);
    let total = u64::from(expected_tokens("p", 7, 1_000));
    assert_eq!(streamed.total_tokens, Some(total));
}

#[test]
fn stream_resumed_on_another_engine_continues_the_same_text() {
    let first = start_engine(slow_engine_settings());
    let second = start_engine(fast_engine_settings());
    let seed = seed_of_long_answer("p", 50);
    let mut body = generate_body("r", "p", seed);
    first.change_faults(FaultChange {
        tokens_per_s: Some(1_000),
        ..FaultChange::default()
    });
    let mut first_stream = GenerationStream::open(first.address(), &body);
    let line = first_stream
        .next_line()
        .expect("stream should have a first line");
    let from_token = line["from_token"].as_u64().unwrap() + line["tokens"].as_u64().unwrap();
    first.stop();

    body["from_token"] = json!(from_token);
    let rest = GenerationStream::open(second.address(), &body).finish();

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
fn interactive_request_runs_before_earlier_batch_request() {
    let engine = start_engine(slow_engine_settings());
    let address = engine.address();
    let wait_for_queued = |count: u64| {
        wait_until("queued requests", || {
            get(address, "/state")["waiting"] == count
        });
    };
    let running = GenerationStream::open(address, &generate_body("running", "running", 1));
    wait_until("a running request", || {
        get(address, "/state")["running"] == 1
    });
    let batch = GenerationStream::open(address, &generate_body("batch", "batch", 1));
    wait_for_queued(1);
    let mut body = generate_body("interactive", "interactive", 1);
    body["priority"] = json!("interactive");
    let interactive = GenerationStream::open(address, &body);
    wait_for_queued(2);

    speed_up(&engine);
    for stream in [running, batch, interactive] {
        assert!(stream.finish().total_tokens.is_some());
    }

    let started_prefixes: Vec<Value> = get(address, "/cache-events?from=0")["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| event["prefix_hash"].clone())
        .collect();
    let order = ["running", "interactive", "batch"].map(prefix_hash);
    assert_eq!(json!(started_prefixes), json!(order));
}

#[test]
fn cancelled_stream_ends_without_done_and_frees_its_slot() {
    let engine = start_engine(slow_engine_settings());
    let address = engine.address();
    let seed = seed_of_long_answer("p", 500);
    let stream = GenerationStream::open(address, &generate_body("r", "p", seed));

    let (status, _) = post(address, "/cancel", &json!({"request_id": "r"}));
    speed_up(&engine);

    assert_eq!(status, 200);
    assert_eq!(stream.finish().total_tokens, None);
    wait_until("a free slot", || get(address, "/state")["running"] == 0);
}

#[test]
fn request_beyond_slots_and_queue_is_refused() {
    let engine = start_engine(EngineSettings {
        max_waiting: 0,
        ..slow_engine_settings()
    });
    let _running = GenerationStream::open(engine.address(), &generate_body("a", "p", 1));

    let (status, body) = post(engine.address(), "/generate", &generate_body("b", "p", 1));

    assert_eq!(
        (status, &body["error"]["code"]),
        (503, &json!("overloaded"))
    );
}

#[test]
fn leaving_engine_refuses_new_requests_and_finishes_running_ones() {
    let engine = start_engine(slow_engine_settings());
    let running = GenerationStream::open(engine.address(), &generate_body("a", "p", 1));

    post(engine.address(), "/faults", &json!({"leaving": true}));
    let (status, body) = post(engine.address(), "/generate", &generate_body("b", "p", 1));
    speed_up(&engine);

    assert_eq!((status, &body["error"]["code"]), (410, &json!("leaving")));
    assert_eq!(get(engine.address(), "/state")["leaving"], true);
    assert!(running.finish().total_tokens.is_some());
}

#[test]
fn cache_evicts_least_recently_used_prefix() {
    let engine = start_engine(EngineSettings {
        cache_prefixes: 2,
        ..fast_engine_settings()
    });

    for prompt in ["a", "b", "a", "c"] {
        GenerationStream::open(engine.address(), &generate_body("r", prompt, 1)).finish();
    }

    let answer = get(engine.address(), "/cache-events?from=3");
    let evicted = json!({"seq": 3, "kind": "evicted", "prefix_hash": prefix_hash("b")});
    let stored = json!({"seq": 4, "kind": "stored", "prefix_hash": prefix_hash("c")});
    assert_eq!(answer, json!({"events": [evicted, stored], "next": 5}));
}

#[test]
fn cache_events_are_published_after_a_delay() {
    let engine = start_engine(EngineSettings {
        cache_event_delay_ms: ONE_HOUR_MS,
        ..fast_engine_settings()
    });

    GenerationStream::open(engine.address(), &generate_body("r", "p", 1)).finish();

    let answer = get(engine.address(), "/cache-events?from=0");
    assert_eq!(answer, json!({"events": [], "next": 1}));
}

#[test]
fn dropped_cache_events_leave_gaps_in_sequence_numbers() {
    let engine = start_engine(EngineSettings {
        cache_event_gap: 2,
        ..fast_engine_settings()
    });

    for number in 0..20 {
        GenerationStream::open(
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
        state_age_ms: ONE_HOUR_MS,
        load_ms: ONE_HOUR_MS,
        ..fast_engine_settings()
    });
    let order = json!({"fence": 1, "holder": "test", "load_version": 2});

    let (status, _) = post(engine.address(), "/orders", &order);

    assert_eq!(status, 202);
    assert_eq!(get(engine.address(), "/state")["loading_version"], 0);
}

#[test]
fn invalid_requests_get_error_codes() {
    let engine = start_engine(fast_engine_settings());
    let mut oversized = generate_body("r", "p", 1);
    oversized["max_tokens"] = json!(u32::MAX);
    let mut negative = generate_body("r", "p", 1);
    negative["from_token"] = json!(-1);

    let (oversized_status, oversized) = post(engine.address(), "/generate", &oversized);
    let (negative_status, negative) = post(engine.address(), "/generate", &negative);

    assert_eq!((oversized_status, negative_status), (400, 400));
    assert_eq!(oversized["error"]["code"], "parameter_invalid");
    assert_eq!(negative["error"]["code"], "body_invalid");
}
