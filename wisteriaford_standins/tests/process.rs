//! Program that runs one stand-in.

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

/// Process of a stand-in, ended when dropped.
struct Process(Child);

impl Process {
    fn start(arguments: &[&str]) -> (Self, SocketAddr) {
        let child = Command::new(PROGRAM)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program");
        let mut process = Self(child);
        let output = process.0.stdout.take().expect("its output");
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).expect("a line");
        let ready: Value = serde_json::from_str(&line).expect("a JSON line");
        let address = ready["listening"].as_str().expect("an address");
        (process, address.parse().expect("an address"))
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
        .expect("the program")
}

#[rstest]
fn each_stand_in_says_where_it_listens(
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
fn bad_setting_is_refused_by_name(#[case] arguments: &[&str], #[case] name: &str) {
    let output = run(arguments);

    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains(name), "{message}");
}
