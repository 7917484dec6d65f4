//! Connections of callers: idle ones, and callers that leave.

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
/// Memory that so many idle connections may take.
const IDLE_KB: u64 = 20_000;
/// Time in which the daemon accepts them all.
const ACCEPTED_WITHIN: Duration = Duration::from_secs(1);
/// Tokens of the generation whose caller leaves; it takes more than twice as long as `ENDED_WITHIN`.
const MIN_TOKENS: u32 = 400;
const MAX_TOKENS: u32 = 600;
/// Time in which its work ends, on a busy machine too.
const ENDED_WITHIN: Duration = Duration::from_secs(2);

/// Returns a generation of many tokens.
fn long_generation() -> String {
    let prompts = (0_u32..).map(|number| format!("Long order {number}:"));
    let mut long = prompts.filter(|prompt| {
        let seed = interactive::seed(prompt);
        expected_tokens(prompt, seed, MAX_TOKENS) >= MIN_TOKENS
    });
    let prompt = long.next().unwrap();
    format!(
        r#"{{"caller":"portal","pool":"restoration","prompt":"{prompt}","max_tokens":{MAX_TOKENS}}}"#
    )
}

fn running(fleet: &Fleet) -> u64 {
    let states = fleet.engines.iter().map(|engine| engine.get("/state"));
    let running = states.map(|state| state.unwrap()["running"].as_u64().unwrap());
    running.sum()
}

#[test]
fn idle_connections_cost_little_memory() {
    let fleet = Fleet::start_ready(&FleetOptions::default()).unwrap();
    let daemon = &fleet.daemons[0];
    let before_kb = daemon.resident_kb().unwrap();

    let connect = |_| TcpStream::connect(daemon.address()).unwrap();
    let idle: Vec<TcpStream> = (0..IDLE_CONNECTIONS).map(connect).collect();
    thread::sleep(ACCEPTED_WITHIN);
    let after_kb = daemon.resident_kb().unwrap();

    let grown_kb = after_kb.saturating_sub(before_kb);
    assert!(grown_kb < IDLE_KB, "{grown_kb} kB for {}", idle.len());
}

#[test]
fn work_ends_when_its_caller_has_left() {
    let fleet = Fleet::start_ready(&FleetOptions::default()).unwrap();
    let mut stream = TcpStream::connect(fleet.daemons[0].address()).unwrap();
    let body = long_generation();
    let head = format!(
        "POST /v1/generate HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
    wait_until("the generation to run", MAX_WAIT, || running(&fleet) == 1).unwrap();

    drop(stream);

    wait_until("the generation to end", ENDED_WITHIN, || {
        running(&fleet) == 0
    })
    .unwrap();
}
