//! Tests of the program that runs a stand-in as a process.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use wisteriaford_standins::server::CRASH_EXIT_CODE;

use crate::support::get;
use crate::support::post;
use crate::support::send;

const PROGRAM: &str = env!("CARGO_BIN_EXE_wisteriaford_standins");

/// Stand-in process, killed when dropped.
struct Process(Child);

impl Process {
    fn start(arguments: &[&str]) -> (Self, SocketAddr) {
        let child = Command::new(PROGRAM)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("program should start");
        let mut process = Self(child);
        let output = process.0.stdout.take().expect("output should be piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("program should print a line");
        let announcement: Value = serde_json::from_str(&line).expect("line should be JSON");
        let address = announcement["listening"]
            .as_str()
            .expect("line should contain an address");
        (
            process,
            address.parse().expect("line should contain an address"),
        )
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(arguments)
        .output()
        .expect("program should start")
}

#[rstest]
fn each_stand_in_prints_its_address(
    #[values(
        "log",
        "weight-store",
        "instance-list",
        "engine",
        "plain-service",
        "scorer"
    )]
    name: &str,
) {
    let (_process, address) = Process::start(&[name, "--listen", "127.0.0.1:0"]);

    assert_eq!(get(address, "/faults")["down"], false);
}

#[test]
fn crash_marker_ends_the_process() {
    let (mut process, address) = Process::start(&["plain-service"]);
    post(address, "/faults", &json!({"crash_marker": "BOOM"}));

    let answer = send(address, "POST", "/call", "BOOM");

    assert!(answer.is_err());
    assert_eq!(process.0.wait().unwrap().code(), Some(CRASH_EXIT_CODE));
}

#[rstest]
#[case(&["engine", "--slots", "0"], "--slots")]
#[case(&["log", "--retention-ms", "-1"], "retention-ms")]
#[case(&["log", "--listen", "nowhere"], "--listen")]
fn invalid_setting_is_named_in_the_error(#[case] arguments: &[&str], #[case] name: &str) {
    let output = run(arguments);

    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains(name), "{message}");
}
