//! Log: offsets, long polls, retention, rate and lost answers.

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

use crate::support::ask;
use crate::support::get;
use crate::support::send;
use crate::support::wait_until;

const RECORDS: &str = "/streams/wisteriaford/records";

fn start_log(settings: LogSettings) -> StandinHandle {
    Standin::Log(settings).start().expect("a free port")
}

fn append(address: SocketAddr, data: &str) -> (u16, Value) {
    ask(address, "POST", RECORDS, data)
}

fn read(address: SocketAddr, query: &str) -> Value {
    get(address, &format!("{RECORDS}?{query}"))
}

fn data(answer: &Value) -> Vec<String> {
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

    let all = read(log.address(), "from=1");
    let second = read(log.address(), "from=2&max=1");

    assert_eq!(offsets, [Some(1), Some(2), Some(3)]);
    assert_eq!(data(&all), ["a", "b", "c"]);
    assert_eq!(
        (&all["first_offset"], &all["next_offset"]),
        (&json!(1), &json!(4))
    );
    assert_eq!(data(&second), ["b"]);
    assert_eq!(second["records"][0]["offset"], 2);
}

#[test]
fn waiting_read_is_answered_by_an_append() {
    let log = start_log(LogSettings::default());
    let address = log.address();

    let reader = thread::spawn(move || read(address, "from=1&wait_ms=30000"));
    append(address, "a");

    assert_eq!(data(&reader.join().unwrap()), ["a"]);
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
    assert_eq!(data(&answer), ["b", "c"]);
}

#[test]
fn retention_by_age_drops_records_and_keeps_counting() {
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
fn append_whose_answer_is_lost_took_effect_and_its_retry_makes_two_records() {
    let log = start_log(LogSettings::default());
    log.change_faults(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });

    let lost = send(log.address(), "POST", RECORDS, "a");
    let after_loss = data(&read(log.address(), "from=1"));
    let (status, retried) = append(log.address(), "a");

    assert!(lost.is_err());
    assert_eq!(after_loss, ["a"]);
    assert_eq!((status, &retried["offset"]), (200, &json!(2)));
    assert_eq!(data(&read(log.address(), "from=1")), ["a", "a"]);
}

#[test]
fn appends_past_the_rate_are_refused_and_leave_no_record() {
    let log = start_log(LogSettings {
        appends_per_s: 1,
        ..LogSettings::default()
    });

    let statuses: Vec<u16> = (0..50).map(|_| append(log.address(), "a").0).collect();

    let taken = statuses.iter().filter(|status| **status == 200).count();
    assert!(statuses.contains(&429));
    assert_eq!(data(&read(log.address(), "from=1")).len(), taken);
}

#[test]
fn outage_keeps_the_records() {
    let log = start_log(LogSettings::default());
    append(log.address(), "a");
    log.change_faults(FaultChange {
        down: Some(true),
        ..FaultChange::default()
    });

    let during = send(log.address(), "POST", RECORDS, "b");
    ask(log.address(), "POST", "/faults", r#"{"down":false}"#);

    assert!(during.is_err());
    assert_eq!(data(&read(log.address(), "from=1")), ["a"]);
}

#[test]
fn bad_requests_get_typed_errors() {
    let log = start_log(LogSettings::default());

    let (empty, _) = append(log.address(), "");
    let (large, _) = append(log.address(), &"x".repeat(2 * 1024 * 1024));
    let (none, body) = ask(log.address(), "GET", &format!("{RECORDS}?max=0"), "");

    assert_eq!((empty, large, none), (400, 413, 400));
    assert_eq!(body["error"]["code"], "parameter_invalid");
    assert_eq!(read(log.address(), "from=1")["next_offset"], 1);
}
