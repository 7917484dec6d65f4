//! Interactive callers that verify every answer.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use wisteriaford_client::client::Client;
use wisteriaford_client::client::RouteCall;
use wisteriaford_client::message::GenerateAnswer;
use wisteriaford_client::message::GenerateRequest;
use wisteriaford_core::hash::hash_parts;
use wisteriaford_standins::expected_text;
use wisteriaford_standins::expected_tokens;

use crate::processes::fleet::INTERACTIVE_CALLER;
use crate::processes::fleet::LOOKUP_ROUTE;
use crate::processes::fleet::MODEL_POOL;
use crate::processes::fleet::SCAN_ROUTE;
use crate::processes::http;

const MAX_TOKENS: u32 = 64;
const PAUSE: Duration = Duration::from_millis(20);
const REQUEST_KINDS: u64 = 3;
const OK_STATUS: u16 = 200;

/// Counts of interactive requests and their failures.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Complete and correct answers.
    pub correct: u64,
    /// Description of each request that failed or got a wrong answer.
    pub failures: Vec<String>,
}

impl Tally {
    /// Adds the counts of another caller.
    pub fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.correct += other.correct;
        self.failures.extend(other.failures);
    }

    /// Counts the result of one request.
    pub fn count(&mut self, result: Result<(), String>) {
        self.sent += 1;
        match result {
            Ok(()) => self.correct += 1,
            Err(failure) => self.failures.push(failure),
        }
    }
}

/// Caller that sends requests on its own thread until it is stopped.
pub struct InteractiveCaller {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Tally>,
}

impl InteractiveCaller {
    /// Starts a caller that rotates through the daemons and the kinds of requests.
    #[must_use]
    pub fn start(name: &str, client: Client) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let name = name.to_owned();
        let thread = thread::spawn(move || run(&name, client, &stopped));
        Self { stop, thread }
    }

    /// Stops the caller after its current request and returns its counts.
    #[must_use]
    pub fn stop(self) -> Tally {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_else(|_| Tally {
            sent: 1,
            correct: 0,
            failures: vec!["an interactive caller panicked".to_owned()],
        })
    }
}

fn run(name: &str, mut client: Client, stopped: &AtomicBool) -> Tally {
    let mut tally = Tally::default();
    let mut number = 0;
    while !stopped.load(Ordering::Relaxed) {
        let id = format!("{name}-{number}");
        tally.count(match number % REQUEST_KINDS {
            0 => generate(&client, &id, &format!("Order {id}:"), MAX_TOKENS),
            1 => call(&client, LOOKUP_ROUTE, &id, None),
            _ => call(&client, SCAN_ROUTE, &id, Some(&id)),
        });
        number += 1;
        client.rotate();
        prefer_ready(&mut client);
        thread::sleep(PAUSE);
    }
    tally
}

/// Skips instances that are not ready, as the platform's load balancer does.
fn prefer_ready(client: &mut Client) {
    for _ in 0..client.addresses().len() {
        let Some(&first) = client.addresses().first() else {
            return;
        };
        if http::is_ready(first) {
            return;
        }
        client.rotate();
    }
}

/// Sends a generation request and verifies the complete answer.
///
/// # Errors
///
/// Fails with a description if there is no complete and correct answer.
pub fn generate(client: &Client, id: &str, prompt: &str, max_tokens: u32) -> Result<(), String> {
    let request = GenerateRequest {
        caller: INTERACTIVE_CALLER.to_owned(),
        pool: MODEL_POOL.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        request_id: Some(id.to_owned()),
        timeout_ms: None,
    };
    let answer = client.generate(&request);
    let answer = answer.map_err(|error| format!("generation {id}: {error}"))?;
    if is_correct(&answer, id, prompt, max_tokens) {
        return Ok(());
    }
    Err(format!("generation {id}: wrong answer {answer:?}"))
}

/// Returns the seed of a generation that is not part of a training step.
#[must_use]
pub fn seed(prompt: &str) -> u64 {
    hash_parts(&[prompt.as_bytes()])
}

fn is_correct(answer: &GenerateAnswer, id: &str, prompt: &str, max_tokens: u32) -> bool {
    let seed = seed(prompt);
    let tokens = expected_tokens(prompt, seed, max_tokens);
    let mut next_token = 0;
    for span in &answer.spans {
        if span.from_token != next_token || span.version == 0 {
            return false;
        }
        next_token = span.to_token;
    }
    answer.request_id == id
        && answer.text == expected_text(prompt, seed, max_tokens)
        && answer.tokens == tokens
        && next_token == tokens
}

/// Calls a route of a plain service and verifies the complete answer.
///
/// # Errors
///
/// Fails with a description if there is no complete and correct answer.
pub fn call(client: &Client, route: &str, id: &str, key: Option<&str>) -> Result<(), String> {
    let text = format!("badge of {id}");
    let call = RouteCall {
        route: route.to_owned(),
        caller: INTERACTIVE_CALLER.to_owned(),
        content_type: "text/plain".to_owned(),
        body: text.clone().into_bytes(),
        idempotency_key: key.map(str::to_owned),
        // Otherwise an instance that shuts down cannot report that the call did not run.
        is_first_attempt: key.is_some(),
        request_id: Some(id.to_owned()),
        ..RouteCall::default()
    };
    let answer = client.call(&call);
    let answer = answer.map_err(|error| format!("call {id} of {route}: {error}"))?;
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    if answer.status == OK_STATUS && body["echo"] == text.as_str() {
        return Ok(());
    }
    Err(format!("call {id} of {route}: wrong answer {answer:?}"))
}
