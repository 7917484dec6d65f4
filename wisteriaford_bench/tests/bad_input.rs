//! Invalid input to a daemon: it reports typed errors and keeps serving.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;

use nng::Protocol;
use nng::Socket;
use rstest::rstest;
use serde_json::Value;
use wisteriaford_bench::processes::Daemon;
use wisteriaford_bench::processes::Fleet;
use wisteriaford_bench::processes::FleetOptions;
use wisteriaford_bench::processes::fleet::MAX_WAIT;
use wisteriaford_bench::processes::http;
use wisteriaford_bench::processes::wait_until;
use wisteriaford_bench::quickstart::interactive;
use wisteriaford_client::transport::HttpRequest;

const JSON: &str = "application/json";
const VALID: &str = r#"{"caller":"portal","pool":"restoration","prompt":"x","max_tokens":1}"#;
const UNKNOWN_CALLER: &str =
    r#"{"caller":"nobody","pool":"restoration","prompt":"x","max_tokens":1}"#;
const UNKNOWN_POOL: &str = r#"{"caller":"portal","pool":"nowhere","prompt":"x","max_tokens":1}"#;
const NEGATIVE_TOKENS: &str =
    r#"{"caller":"portal","pool":"restoration","prompt":"x","max_tokens":-1}"#;
const ZERO_TOKENS: &str = r#"{"caller":"portal","pool":"restoration","prompt":"x","max_tokens":0}"#;
const TOO_MANY_TOKENS: &str =
    r#"{"caller":"portal","pool":"restoration","prompt":"x","max_tokens":4000000000}"#;
const GENERATE: &str = "/v1/generate";

fn fleet() -> Fleet {
    let options = FleetOptions {
        daemon_arguments: vec!["--max-body-bytes".to_owned(), "4096".to_owned()],
        ..FleetOptions::default()
    };
    Fleet::start_ready(&options).unwrap()
}

fn check_serving(daemon: &Daemon) -> Result<(), String> {
    interactive::generate(&daemon.client(), "still-1", "Still there:", 16)
}

#[test]
fn invalid_requests_get_typed_errors_and_the_daemon_keeps_serving() {
    let oversized = format!("{{\"prompt\":\"{}\"}}", "x".repeat(8_192));
    let cases = [
        (GENERATE, JSON, "{\"caller\":", 400, "malformed_json"),
        (GENERATE, JSON, NEGATIVE_TOKENS, 400, "malformed_json"),
        (GENERATE, JSON, ZERO_TOKENS, 400, "bad_request"),
        (GENERATE, JSON, TOO_MANY_TOKENS, 400, "bad_request"),
        (GENERATE, "text/plain", VALID, 415, "wrong_content_type"),
        (GENERATE, JSON, &oversized, 413, "too_large"),
        (GENERATE, JSON, UNKNOWN_CALLER, 403, "unknown_caller"),
        (GENERATE, JSON, UNKNOWN_POOL, 404, "unknown_pool"),
        ("/v1/steps/-1/pulls", JSON, "{}", 400, "bad_request"),
        ("/v1/steps/1/pulls", JSON, "{}", 400, "malformed_json"),
        (
            "/v1/call/badge-lookup",
            "text/plain",
            "x",
            400,
            "bad_request",
        ),
        ("/v1/nothing", JSON, "{}", 404, "not_found"),
    ];
    let fleet = fleet();
    let daemon = &fleet.daemons[0];

    for (path, content_type, body, status, code) in cases {
        let http_request =
            HttpRequest::post(path.to_owned(), content_type, body.as_bytes().to_vec());
        let response = http::send(daemon.address(), &http_request).unwrap();

        let error: Value = serde_json::from_slice(&response.body).unwrap();
        let actual = (response.status, error["error"]["code"].as_str());
        assert_eq!(actual, (status, Some(code)), "{path} {body:.80}");
    }
    for reason in ["bad_request", "too_large", "unknown_caller", "unknown_pool"] {
        wait_until(&format!("count of {reason}"), MAX_WAIT, || {
            let count = daemon.metric("wisteriaford_refusals", Some(reason));
            count.is_ok_and(|count| count >= 1.0)
        })
        .unwrap();
    }

    check_serving(daemon).unwrap();
}

#[rstest]
#[case::truncated_body(b"POST /v1/generate HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 100\r\n\r\n{\"caller\"")]
#[case::not_http(b"\x00\x01\x02 garbage \xff\r\n\r\n")]
fn malformed_http_does_not_stop_the_daemon_from_serving(#[case] bytes: &[u8]) {
    let fleet = fleet();
    let daemon = &fleet.daemons[0];

    let mut stream = TcpStream::connect(daemon.address()).unwrap();
    stream.write_all(bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    let _read = stream.read_to_end(&mut answer);

    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    check_serving(daemon).unwrap();
}

#[test]
fn damaged_record_does_not_affect_the_configuration_in_force() {
    let fleet = fleet();
    let path = "/streams/wisteriaford-configuration/records".to_owned();
    let http_request = HttpRequest::post(path, "application/octet-stream", vec![0xff; 64]);

    let response = http::send(fleet.log.address(), &http_request).unwrap();
    let has_logged_damage = |daemon: &Daemon| {
        let lines = daemon.lines();
        lines.iter().any(|line| line.contains("record_damaged"))
    };
    wait_until("log line about the damaged record", MAX_WAIT, || {
        fleet.daemons.iter().all(has_logged_damage)
    })
    .unwrap();
    let published = fleet.publish(&fleet.configuration(), &[]).unwrap();

    assert_eq!(response.status, 200);
    assert_eq!(published.exit_code, Some(0), "{}", published.text);
    fleet.wait_until_ready(2).unwrap();
}

#[test]
fn damaged_peer_messages_are_counted_and_ignored() {
    let fleet = fleet();
    let daemon = &fleet.daemons[0];

    let mut stream = TcpStream::connect(daemon.peer_address()).unwrap();
    stream.write_all(b"no message of this protocol").unwrap();
    drop(stream);
    let socket = Socket::new(Protocol::Push0).unwrap();
    socket
        .dial(&format!("tcp://{}", daemon.peer_address()))
        .unwrap();
    socket.send(&[0xff; 32][..]).unwrap();
    wait_until("count of damaged messages", MAX_WAIT, || {
        let count = daemon.metric("wisteriaford_peer_messages_damaged", None);
        count.is_ok_and(|count| count >= 1.0)
    })
    .unwrap();

    check_serving(daemon).unwrap();
}
