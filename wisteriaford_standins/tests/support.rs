//! Clients and fixtures of the tests.

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

/// Prevents hangs only; nothing is asserted about time.
const HANG_LIMIT: Duration = Duration::from_secs(30);
/// Time within which a silent connection is seen to send nothing.
const SILENCE_SAMPLE: Duration = Duration::from_millis(100);
const POLL: Duration = Duration::from_millis(5);

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
        .expect("a valid request");
    Client::new()
        .with_global_timeout(HANG_LIMIT)
        .request(request)
}

pub(crate) fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: impl Into<Vec<u8>>,
) -> (u16, Value) {
    let response = send(address, method, path, body).expect("an answer");
    let status = response.status().as_u16();
    let text = response.into_body().to_string().expect("a whole body");
    (status, serde_json::from_str(&text).expect("JSON"))
}

pub(crate) fn get(address: SocketAddr, path: &str) -> Value {
    let (status, body) = ask(address, "GET", path, "");
    assert_eq!(status, 200, "{path}: {body}");
    body
}

pub(crate) fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    ask(address, "POST", path, body.to_string())
}

/// Opens a connection and sends a request on it, without reading the answer.
pub(crate) fn send_raw(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(HANG_LIMIT))
        .expect("a timeout");
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

/// Reads one whole answer whose length its head names.
pub(crate) fn read_answer(stream: &mut TcpStream) -> io::Result<String> {
    let mut answer = String::new();
    while !is_whole(&answer) {
        let more = read_some(stream)?;
        if more.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        answer.push_str(&more);
    }
    Ok(answer)
}

fn is_whole(answer: &str) -> bool {
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

/// Reads what comes until the connection sends nothing; fails if it is closed.
pub(crate) fn read_until_silent(stream: &mut TcpStream) -> io::Result<String> {
    let mut text = String::new();
    stream
        .set_read_timeout(Some(SILENCE_SAMPLE))
        .expect("a timeout");
    let error = loop {
        match read_some(stream) {
            Ok(more) if more.is_empty() => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(more) => text.push_str(&more),
            Err(error) => break error,
        }
    };
    stream
        .set_read_timeout(Some(HANG_LIMIT))
        .expect("a timeout");
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Ok(text),
        _ => Err(error),
    }
}

/// Waits until `condition` holds.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let limit = Instant::now() + HANG_LIMIT;
    while !condition() {
        assert!(Instant::now() < limit, "never came: {what}");
        thread::sleep(POLL);
    }
}

/// Returns settings of an engine that answers at once and reports without lag.
pub(crate) fn quick_engine() -> EngineSettings {
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

/// Returns settings of an engine whose streams make a token every few seconds.
pub(crate) fn stuck_engine() -> EngineSettings {
    EngineSettings {
        tokens_per_s: 1,
        slots: 1,
        ..quick_engine()
    }
}

pub(crate) fn start_engine(settings: EngineSettings) -> StandinHandle {
    Standin::Engine(settings).start().expect("a free port")
}

pub(crate) fn run_faster(engine: &StandinHandle) {
    engine.change_faults(FaultChange {
        tokens_per_s: Some(1_000_000),
        ..FaultChange::default()
    });
}

/// Returns a seed with which the answer to `prompt` has at least `tokens` tokens.
pub(crate) fn seed_of_long_answer(prompt: &str, tokens: u32) -> u64 {
    (0..1_000_000)
        .find(|seed| expected_tokens(prompt, *seed, u32::MAX) >= tokens)
        .expect("a long answer")
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

/// Lines of one streamed answer.
pub(crate) struct Stream {
    lines: Lines<BufReader<Body>>,
}

/// Text that a stream brought, its versions in order and the total, if it was complete.
#[derive(Debug, Default)]
pub(crate) struct Streamed {
    pub(crate) text: String,
    pub(crate) versions: Vec<u64>,
    pub(crate) total_tokens: Option<u64>,
}

impl Stream {
    pub(crate) fn open(address: SocketAddr, body: &Value) -> Self {
        let response = send(address, "POST", "/generate", body.to_string()).expect("an answer");
        assert_eq!(response.status().as_u16(), 200);
        Self {
            lines: BufReader::new(response.into_body()).lines(),
        }
    }

    pub(crate) fn next_line(&mut self) -> Option<Value> {
        let line = self.lines.next()?.ok()?;
        Some(serde_json::from_str(&line).expect("a JSON line"))
    }

    pub(crate) fn finish(mut self) -> Streamed {
        let mut streamed = Streamed::default();
        while let Some(line) = self.next_line() {
            streamed.add(&line);
        }
        streamed
    }
}

impl Streamed {
    pub(crate) fn add(&mut self, line: &Value) {
        if line["done"] == true {
            self.total_tokens = line["total_tokens"].as_u64();
            return;
        }
        self.text.push_str(line["text"].as_str().expect("a text"));
        let version = line["version"].as_u64().expect("a version");
        if self.versions.last() != Some(&version) {
            self.versions.push(version);
        }
    }
}
