//! HTTP clients and fixtures shared by the tests.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Lines;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use serde_json::Value;
use serde_json::json;
use wisteriaford_standins::EngineSettings;
use wisteriaford_standins::FaultChange;
use wisteriaford_standins::Standin;
use wisteriaford_standins::StandinHandle;
use wisteriaford_standins::expected_tokens;

/// Prevents tests from hanging; no test asserts on time.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without data after which a connection counts as silent.
const SILENCE_DURATION: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

pub(crate) fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: impl Into<Vec<u8>>,
) -> io::Result<Response<Body>> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Body::from(body.into()))
        .expect("request should be valid");
    Client::new()
        .with_global_timeout(HANG_TIMEOUT)
        .request(request)
}

pub(crate) fn request_json(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: impl Into<Vec<u8>>,
) -> (u16, Value) {
    let response = send(address, method, path, body).expect("request should be answered");
    let status = response.status().as_u16();
    let text = response
        .into_body()
        .to_string()
        .expect("body should be complete");
    (status, serde_json::from_str(&text).expect("JSON"))
}

pub(crate) fn get(address: SocketAddr, path: &str) -> Value {
    let (status, body) = request_json(address, "GET", path, "");
    assert_eq!(status, 200, "{path}: {body}");
    body
}

pub(crate) fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    request_json(address, "POST", path, body.to_string())
}

/// Opens a connection and sends a request, without reading the answer.
pub(crate) fn send_raw(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connection should be accepted");
    stream
        .set_read_timeout(Some(HANG_TIMEOUT))
        .expect("read timeout should be set");
    stream.write_all(request.as_bytes()).expect("sent");
    stream
}

pub(crate) fn get_raw(address: SocketAddr, path: &str) -> TcpStream {
    send_raw(address, &format!("GET {path} HTTP/1.1\r\n\r\n"))
}

pub(crate) fn read_some(stream: &mut TcpStream) -> io::Result<String> {
    let mut bytes = [0; 4096];
    let count = stream.read(&mut bytes)?;
    Ok(String::from_utf8_lossy(&bytes[..count]).into_owned())
}

/// Reads one complete answer, whose head must contain its length.
pub(crate) fn read_answer(stream: &mut TcpStream) -> io::Result<String> {
    let mut answer = String::new();
    while !is_complete(&answer) {
        let chunk = read_some(stream)?;
        if chunk.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        answer.push_str(&chunk);
    }
    Ok(answer)
}

fn is_complete(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    head.lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .is_some_and(|length| length.parse() == Ok(body.len()))
}

/// Returns true if the connection stays open and sends nothing.
pub(crate) fn is_silent(stream: &mut TcpStream) -> bool {
    read_until_silent(stream).is_ok_and(|text| text.is_empty())
}

/// Reads until the connection falls silent; fails if it is closed.
pub(crate) fn read_until_silent(stream: &mut TcpStream) -> io::Result<String> {
    let mut text = String::new();
    stream
        .set_read_timeout(Some(SILENCE_DURATION))
        .expect("read timeout should be set");
    let error = loop {
        match read_some(stream) {
            Ok(chunk) if chunk.is_empty() => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(chunk) => text.push_str(&chunk),
            Err(error) => break error,
        }
    };
    stream
        .set_read_timeout(Some(HANG_TIMEOUT))
        .expect("read timeout should be set");
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Ok(text),
        _ => Err(error),
    }
}

/// Waits until `condition` holds.
pub(crate) fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + HANG_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting for {description}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns settings for an engine that answers immediately and reports its state without lag.
pub(crate) fn fast_engine_settings() -> EngineSettings {
    EngineSettings {
        tokens_per_s: 1_000_000,
        first_token_ms: 0,
        cached_first_token_ms: 0,
        line_ms: 1,
        cache_event_delay_ms: 0,
        cache_event_gap: 0,
        state_age_ms: 0,
        load_ms: 0,
        ..EngineSettings::default()
    }
}

/// Returns settings for an engine with one slot that generates one token per second, so that
/// requests stay in progress.
pub(crate) fn slow_engine_settings() -> EngineSettings {
    EngineSettings {
        tokens_per_s: 1,
        slots: 1,
        ..fast_engine_settings()
    }
}

pub(crate) fn start_engine(settings: EngineSettings) -> StandinHandle {
    Standin::Engine(settings)
        .start()
        .expect("stand-in should start")
}

pub(crate) fn speed_up(engine: &StandinHandle) {
    engine.change_faults(FaultChange {
        tokens_per_s: Some(1_000_000),
        ..FaultChange::default()
    });
}

/// Returns a seed for which the answer to `prompt` has at least `tokens` tokens.
pub(crate) fn seed_of_long_answer(prompt: &str, tokens: u32) -> u64 {
    (0..1_000_000)
        .find(|seed| expected_tokens(prompt, *seed, u32::MAX) >= tokens)
        .expect("a seed with a long answer should exist")
}

pub(crate) fn generate_body(request_id: &str, prompt: &str, seed: u64) -> Value {
    json!({
        "request_id": request_id,
        "prompt": prompt,
        "seed": seed,
        "max_tokens": 1_000,
        "priority": "batch",
        "from_token": 0,
    })
}

/// Lines of a streamed answer.
pub(crate) struct GenerationStream {
    lines: Lines<BufReader<Body>>,
}

/// Text received from a stream, the weight versions in order, and the total number of tokens if the
/// stream was complete.
#[derive(Debug, Default)]
pub(crate) struct CollectedStream {
    pub(crate) text: String,
    pub(crate) versions: Vec<u64>,
    pub(crate) total_tokens: Option<u64>,
}

impl GenerationStream {
    pub(crate) fn open(address: SocketAddr, body: &Value) -> Self {
        let response = send(address, "POST", "/generate", body.to_string())
            .expect("request should be answered");
        assert_eq!(response.status().as_u16(), 200);
        Self {
            lines: BufReader::new(response.into_body()).lines(),
        }
    }

    pub(crate) fn next_line(&mut self) -> Option<Value> {
        let line = self.lines.next()?.ok()?;
        Some(serde_json::from_str(&line).expect("line should be JSON"))
    }

    pub(crate) fn finish(mut self) -> CollectedStream {
        let mut streamed = CollectedStream::default();
        while let Some(line) = self.next_line() {
            streamed.add(&line);
        }
        streamed
    }
}

impl CollectedStream {
    pub(crate) fn add(&mut self, line: &Value) {
        if line["done"] == true {
            self.total_tokens = line["total_tokens"].as_u64();
            return;
        }
        self.text
            .push_str(line["text"].as_str().expect("line should have a text"));
        let version = line["version"]
            .as_u64()
            .expect("line should have a version");
        if self.versions.last() != Some(&version) {
            self.versions.push(version);
        }
    }
}
