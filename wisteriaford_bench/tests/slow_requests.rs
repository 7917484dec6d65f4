//! Callers of `wisteriafordd` that send honestly but slowly.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use wisteriaford_bench::processes::Fleet;
use wisteriaford_bench::processes::FleetOptions;
use wisteriaford_bench::processes::fleet::INTERACTIVE_CALLER;
use wisteriaford_bench::processes::fleet::SCAN_ROUTE;

/// Time that a plain service takes for a call.
const CALL_MS: u64 = 4_000;
/// Times that a head takes; the time limit is 10 s where the memory is limited.
const HEAD_MS: [u64; 3] = [0, 5_000, 8_500];

/// Sends a call whose head takes some time, and its body in two parts; returns all bytes that come back.
fn call_slowly(address: SocketAddr, head_time: Duration) -> io::Result<String> {
    let head = format!(
        "POST /v1/call/{SCAN_ROUTE} HTTP/1.1\r\nHost: h.example\r\nContent-Type: text/plain\r\n\
         wisteriaford-caller: {INTERACTIVE_CALLER}\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
    );
    let (first, second) = head.split_at(head.len() / 2);
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(first.as_bytes())?;
    thread::sleep(head_time);
    stream.write_all(second.as_bytes())?;
    stream.write_all(b"ab")?;
    thread::sleep(Duration::from_millis(300));
    stream.write_all(b"cd")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// Guards against a 408 to a call that runs, and may run at most once: its head came within the time limit, and
/// its answer after it.
#[test]
fn a_call_with_a_slow_head_is_answered_once() {
    let options = FleetOptions {
        plain_arguments: vec!["--call-ms".to_owned(), CALL_MS.to_string()],
        daemon_arguments: vec!["--memory-mb".to_owned(), "512".to_owned()],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_ready(&options).unwrap();
    let address = fleet.daemons[0].address();

    let answers = thread::scope(|scope| {
        let calls = HEAD_MS.map(|head_ms| {
            scope.spawn(move || call_slowly(address, Duration::from_millis(head_ms)))
        });
        calls.map(|call| call.join().unwrap())
    });

    for answer in answers {
        let answer = answer.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    }
}
