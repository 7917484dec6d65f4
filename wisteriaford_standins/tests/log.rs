//! Tests of the log's offsets, long polls, retention, append rate and lost answers.

use std::net::SocketAddr;
use std::thread;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;
use wisteriaford_standins::FaultChange;
use wisteriaford_standins::LogSettings;
use wisteriaford_standins::Standin;
use wisteriaford_standins::StandinHandle;

use crate::support::get;
use crate::support::request_json;
use crate::support::send;
use crate::support::wait_until;

const RECORDS: &str = "/streams/wisteriaford/records";

fn start_log(settings: LogSettings) -> StandinHandle {
    Standin::Log(settings)
        .start()
        .expect("stand-in should start")
}

fn append(address: SocketAddr, text: &str) -> (u16, Value) {
    request_json(address, "POST", RECORDS, text)
}

fn read(address: SocketAddr, query: &str) -> Value {
    get(address, &format!("{RECORDS}?{query}"))
}

fn record_texts(answer: &Value) -> Vec<String> {
    let records = answer["records"].as_array().expect("records");
    records
        .iter()
        .map(|record| STANDARD.decode(record["data"].as_str().unwrap()).unwrap())
        .map(|bytes| String::from_utf8(bytes).unwrap())
        .collect()
}

#[test]
fn appended_records_are_read_back_by_offset() {
    let log = start_log(LogSettings::default());
    let offsets = ["a", "b", "c"].map(|text| append(log.address(), text).1["offset"].as_u64());

    let all_records = read(log.address(), "from=1");
    let second = read(log.address(), "from=2&max=1");

    assert_eq!(offsets, [Some(1), Some(2), Some(3)]);
    assert_eq!(record_texts(&all_records), ["a", "b", "c"]);
    assert_eq!(
        (&all_records["first_offset"], &all_records["next_offset"]),
        (&json!(1), &json!(4))
    );
    assert_eq!(record_texts(&second), ["b"]);
    assert_eq!(second["records"][0]["offset"], 2);
}

#[test]
fn append_completes_waiting_read() {
    let log = start_log(LogSettings::default());
    let address = log.address();

    let reader = thread::spawn(move || read(address, "from=1&wait_ms=30000"));
    append(address, "a");

    assert_eq!(record_texts(&reader.join().unwrap()), ["a"]);
}

#[test]
fn retention_by_count_drops_the_oldest_records() {
    let log = start_log(LogSettings {
        retention_records: 2,
        ..LogSettings::default()
    });
    for text in ["a", "b", "c"] {
        append(log.address(), text);
    }

    let answer = read(log.address(), "from=1");

    assert_eq!(answer["first_offset"], 2);
    assert_eq!(answer["records"][0]["offset"], 2);
    assert_eq!(record_texts(&answer), ["b", "c"]);
}

#[test]
fn retention_by_age_drops_records_and_keeps_offsets() {
    let log = start_log(LogSettings {
        retention_ms: 1,
        ..LogSettings::default()
    });
    append(log.address(), "a");

    wait_until("the end of retention", || {
        read(log.address(), "from=1")["first_offset"] == 2
    });

    assert_eq!(read(log.address(), "from=1")["next_offset"], 2);
    assert_eq!(append(log.address(), "b").1["offset"], 2);
}

#[test]
fn append_with_lost_answer_takes_effect_and_retry_appends_again() {
    let log = start_log(LogSettings::default());
    log.change_faults(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });

    let lost = send(log.address(), "POST", RECORDS, "a");
    let after_loss = record_texts(&read(log.address(), "from=1"));
    let (status, retried) = append(log.address(), "a");

    assert!(lost.is_err());
    assert_eq!(after_loss, ["a"]);
    assert_eq!((status, &retried["offset"]), (200, &json!(2)));
    assert_eq!(record_texts(&read(log.address(), "from=1")), ["a", "a"]);
}

#[test]
fn appends_over_rate_limit_are_refused_and_not_recorded() {
    let log = start_log(LogSettings {
        appends_per_s: 1,
        ..LogSettings::default()
    });

    let statuses: Vec<u16> = (0..50).map(|_| append(log.address(), "a").0).collect();

    let accepted = statuses.iter().filter(|status| **status == 200).count();
    assert!(statuses.contains(&429));
    assert_eq!(record_texts(&read(log.address(), "from=1")).len(), accepted);
}

#[test]
fn records_survive_an_outage() {
    let log = start_log(LogSettings::default());
    append(log.address(), "a");
    log.change_faults(FaultChange {
        down: Some(true),
        ..FaultChange::default()
    });

    let during_outage = send(log.address(), "POST", RECORDS, "b");
    request_json(log.address(), "POST", "/faults", r#"{"down":false}"#);

    assert!(during_outage.is_err());
    assert_eq!(record_texts(&read(log.address(), "from=1")), ["a"]);
}

#[test]
fn invalid_requests_get_error_codes() {
    let log = start_log(LogSettings::default());

    let (empty_status, _) = append(log.address(), "");
    let (large_status, _) = append(log.address(), &"x".repeat(2 * 1024 * 1024));
    let (zero_max, body) = request_json(log.address(), "GET", &format!("{RECORDS}?max=0"), "");

    assert_eq!((empty_status, large_status, zero_max), (400, 413, 400));
    assert_eq!(body["error"]["code"], "parameter_invalid");
    assert_eq!(read(log.address(), "from=1")["next_offset"], 1);
}
