//! Connections of callers: idle connections, and callers that disconnect.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use wisteriaford_bench::processes::Fleet;
use wisteriaford_bench::processes::FleetOptions;
use wisteriaford_bench::processes::fleet::MAX_WAIT;
use wisteriaford_bench::processes::wait_until;
use wisteriaford_bench::quickstart::interactive;
use wisteriaford_standins::expected_tokens;

const IDLE_CONNECTIONS: usize = 2_000;
/// Maximum memory growth for that many idle connections.
const MAX_IDLE_KB: u64 = 20_000;
/// Time given to the daemon to accept them all.
const ACCEPT_TIME: Duration = Duration::from_secs(1);
/// Minimum tokens of the generation whose caller disconnects. Generating them takes more than twice
/// as long as [`CANCEL_TIMEOUT`].
const MIN_TOKENS: u32 = 400;
const MAX_TOKENS: u32 = 600;
/// Maximum time until the generation is cancelled, also on a busy machine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the body of a generation request whose answer has many tokens.
fn long_request_body() -> String {
    let prompts = (0_u32..).map(|number| format!("Long order {number}:"));
    let mut prompts_with_long_answers = prompts.filter(|prompt| {
        let seed = interactive::seed(prompt);
        expected_tokens(prompt, seed, MAX_TOKENS) >= MIN_TOKENS
    });
    let prompt = prompts_with_long_answers.next().unwrap();
    format!(
        r#"{{"caller":"portal","pool":"restoration","prompt":"{prompt}","max_tokens":{MAX_TOKENS}}}"#
    )
}

fn running_generations(fleet: &Fleet) -> u64 {
    let states = fleet.engines.iter().map(|engine| engine.get("/state"));
    let counts = states.map(|state| state.unwrap()["running"].as_u64().unwrap());
    counts.sum()
}

#[test]
fn idle_connections_cost_little_memory() {
    let fleet = Fleet::start_ready(&FleetOptions::default()).unwrap();
    let daemon = &fleet.daemons[0];
    let before_kb = daemon.resident_kb().unwrap();

    let connect = |_| TcpStream::connect(daemon.address()).unwrap();
    let idle: Vec<TcpStream> = (0..IDLE_CONNECTIONS).map(connect).collect();
    thread::sleep(ACCEPT_TIME);
    let after_kb = daemon.resident_kb().unwrap();

    let growth_kb = after_kb.saturating_sub(before_kb);
    assert!(growth_kb < MAX_IDLE_KB, "{growth_kb} kB for {}", idle.len());
}

#[test]
fn generation_is_cancelled_when_its_caller_disconnects() {
    let fleet = Fleet::start_ready(&FleetOptions::default()).unwrap();
    let mut stream = TcpStream::connect(fleet.daemons[0].address()).unwrap();
    let body = long_request_body();
    let head = format!(
        "POST /v1/generate HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
    wait_until("start of the generation", MAX_WAIT, || {
        running_generations(&fleet) == 1
    })
    .unwrap();

    drop(stream);

    wait_until("end of the generation", CANCEL_TIMEOUT, || {
        running_generations(&fleet) == 0
    })
    .unwrap();
}
