//! Tests of the binary: invalid and conflicting settings, help, generated pages.

use std::ffi::OsStr;
use std::fs;
use std::net::TcpListener;
use std::os::unix::ffi::OsStrExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use clap::CommandFactory;
use rstest::rstest;
use wisteriafordd::arguments::Arguments;
use wisteriafordd::pages;

const REQUIRED: [&str; 8] = [
    "--instance-id",
    "entry-1",
    "--availability-zone",
    "ariana",
    "--log-address",
    "127.0.0.1:8001",
    "--weight-store-address",
    "127.0.0.1:8002",
];

/// Returns a command that starts the daemon without any setting.
fn daemon() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wisteriafordd"));
    for (name, _) in std::env::vars_os() {
        if name.as_bytes().starts_with(b"WISTERIAFORD_") {
            command.env_remove(name);
        }
    }
    command
}

/// Returns a command that starts the daemon with the required settings only.
fn daemon_with_required() -> Command {
    let mut command = daemon();
    command.args(REQUIRED);
    command
}

/// Returns the single line of standard error, without the program name in front.
fn single_line(output: &Output) -> String {
    let text = String::from_utf8(output.stderr.clone()).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    text.trim_end()
        .strip_prefix("wisteriafordd: ")
        .expect("the line names the program")
        .to_owned()
}

fn help() -> String {
    let output = daemon().arg("--help").output().unwrap();
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

#[rstest]
#[case(&["--bogus", "1"], "--bogus")]
#[case(&["extra"], "extra")]
#[case(&["--instance-id", "entry-2"], "--instance-id")]
#[case(&["--region"], "--region")]
#[case(&["--listen", "localhost:80"], "--listen")]
#[case(&["--listen", "127.0.0.1"], "--listen")]
#[case(&["--peers", "127.0.0.1:9101,elsewhere"], "--peers")]
#[case(&["--instance-list-address", "10.0.0.1:65536"], "--instance-list-address")]
#[case(&["--max-connections", "0"], "--max-connections")]
#[case(&["--max-connections", "65537"], "--max-connections")]
#[case(&["--max-connections", "-1"], "--max-connections")]
#[case(&["--max-body-bytes", "1023"], "--max-body-bytes")]
#[case(&["--max-body-bytes", "16 MB"], "--max-body-bytes")]
#[case(&["--default-timeout-ms", "99"], "--default-timeout-ms")]
#[case(&["--silence-timeout-ms", "60001"], "--silence-timeout-ms")]
#[case(&["--shutdown-timeout-ms", "99999999999999999999"], "--shutdown-timeout-ms")]
#[case(&["--log-level", "loud"], "off, error, warn, info, debug, trace")]
fn malformed_setting_is_refused(#[case] arguments: &[&str], #[case] expected: &str) {
    let output = daemon_with_required().args(arguments).output().unwrap();

    let line = single_line(&output);
    assert_eq!(output.status.code(), Some(2), "{line}");
    assert!(line.contains(expected), "{line}");
}

#[rstest]
#[case(&["--region", ""], "--region")]
#[case(&["--region", "tunis nord"], "--region")]
#[case(&["--listen", "127.0.0.1:7401"], "--peer-listen")]
#[case(&["--listen", "0.0.0.0:7401"], "--peer-listen")]
#[case(&["--listen", "127.0.0.1:0"], "--listen")]
#[case(&["--peer-listen", "127.0.0.1:0"], "--peer-listen")]
#[case(&["--peer-listen", "0.0.0.0:9101"], "--peer-listen")]
#[case(&["--peers", "127.0.0.1:7401"], "--peers")]
#[case(&["--peers", "127.0.0.1:0"], "--peers")]
#[case(&["--listen", "127.0.0.1:8001"], "--log-address")]
#[case(&["--listen", "0.0.0.0:8002"], "--weight-store-address")]
#[case(&["--instance-list-address", "127.0.0.1:7401"], "--instance-list-address")]
#[case(&["--default-timeout-ms", "4999"], "--default-timeout-ms")]
fn conflicting_settings_are_refused(#[case] arguments: &[&str], #[case] expected: &str) {
    let output = daemon_with_required().args(arguments).output().unwrap();

    let line = single_line(&output);
    assert_eq!(output.status.code(), Some(2), "{line}");
    assert!(line.starts_with(&format!("{expected}: ")), "{line}");
}

#[rstest]
#[case("instance id with blanks", "z", "--instance-id: ")]
#[case("entry-1", "", "--availability-zone: ")]
fn malformed_name_is_refused(#[case] instance: &str, #[case] zone: &str, #[case] expected: &str) {
    let mut command = daemon();
    command.args(["--instance-id", instance, "--availability-zone", zone]);

    let output = command.args(&REQUIRED[4..]).output().unwrap();

    let line = single_line(&output);
    assert_eq!(output.status.code(), Some(2), "{line}");
    assert!(line.starts_with(expected), "{line}");
}

#[test]
fn every_missing_setting_is_named() {
    let output = daemon().output().unwrap();

    let line = single_line(&output);
    assert_eq!(output.status.code(), Some(2));
    for flag in REQUIRED.iter().step_by(2) {
        assert!(line.contains(flag), "{line}");
    }
}

#[rstest]
#[case("WISTERIAFORD_LISTEN", b"here")]
#[case("WISTERIAFORD_LISTEN", b"\xff")]
#[case("WISTERIAFORD_PEERS", b"127.0.0.1:9101;127.0.0.1:9102")]
#[case("WISTERIAFORD_MAX_CONNECTIONS", b"many")]
#[case("WISTERIAFORD_MAX_BODY_BYTES", b"-7")]
#[case("WISTERIAFORD_SILENCE_TIMEOUT_MS", b"")]
#[case("WISTERIAFORD_LOG_LEVEL", b"loud")]
fn malformed_variable_is_named(#[case] variable: &str, #[case] value: &[u8]) {
    let mut command = daemon_with_required();

    let output = command
        .env(variable, OsStr::from_bytes(value))
        .output()
        .unwrap();

    let line = single_line(&output);
    assert_eq!(output.status.code(), Some(2), "{line}");
    assert!(line.contains(variable), "{line}");
}

#[test]
fn invalid_flag_is_not_attributed_to_its_variable() {
    let mut command = daemon_with_required();
    command.env("WISTERIAFORD_MAX_CONNECTIONS", "5");

    let output = command.arg("--max-connections=0").output().unwrap();

    let line = single_line(&output);
    assert_eq!(output.status.code(), Some(2));
    assert!(!line.contains("WISTERIAFORD_"), "{line}");
}

#[test]
fn address_in_use_is_not_a_setting_error() {
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = occupied.local_addr().unwrap().to_string();
    let peer_listen = free.local_addr().unwrap().to_string();
    drop(free);
    let mut command = daemon_with_required();
    command.args(["--listen", &listen, "--peer-listen", &peer_listen]);

    let output = command.output().unwrap();

    let line = single_line(&output);
    assert_eq!(output.status.code(), Some(1), "{line}");
    assert!(line.starts_with("--listen: "), "{line}");
}

#[rstest]
#[case("instance-id", &["1 to 128 letters", "Required"])]
#[case("availability-zone", &["1 to 128 letters", "Required"])]
#[case("region", &["1 to 128 letters", "[default: default]"])]
#[case("listen", &["port 1 to 65535", "[default: 127.0.0.1:7400]"])]
#[case("peer-listen", &["port 1 to 65535", "[default: 127.0.0.1:7401]"])]
#[case("peers", &["port 1 to 65535", "Optional"])]
#[case("log-address", &["port 1 to 65535", "Required"])]
#[case("weight-store-address", &["port 1 to 65535", "Required"])]
#[case("instance-list-address", &["port 1 to 65535", "Optional"])]
#[case("max-connections", &["Connections", "1 to 65536", "[default: 2048]"])]
#[case("max-body-bytes", &["in bytes", "1024 to 268435456", "[default: 16777216]"])]
#[case("default-timeout-ms", &["in milliseconds", "100 to 3600000", "[default: 60000]"])]
#[case("silence-timeout-ms", &["in milliseconds", "100 to 60000", "[default: 5000]"])]
#[case("shutdown-timeout-ms", &["in milliseconds", "0 to 3600000", "[default: 600000]"])]
#[case("log-level", &["possible values: off, error, warn, info, debug, trace", "[default: info]"])]
fn help_gives_unit_range_and_default(#[case] flag: &str, #[case] parts: &[&str]) {
    let help = help();

    let (_, options) = help.split_once("Options:").expect("help lists options");
    let (_, rest) = options
        .split_once(&format!(" --{flag} <"))
        .expect("help has the flag");
    let entry = &rest[..rest.find(" --").unwrap_or(rest.len())];

    let variable = flag.replace('-', "_").to_ascii_uppercase();
    let variable = format!("[env: WISTERIAFORD_{variable}=]");
    assert!(entry.contains(&variable), "{entry}");
    for part in parts {
        assert!(entry.contains(part), "{part} is missing in: {entry}");
    }
}

#[test]
fn every_setting_has_a_flag_and_a_variable() {
    let command = Arguments::command();

    for setting in command.get_arguments() {
        let flag = setting.get_long().expect("a flag");
        let variable = setting.get_env().and_then(OsStr::to_str);
        let expected = flag.replace('-', "_").to_ascii_uppercase();
        let expected = format!("WISTERIAFORD_{expected}");
        assert_eq!(variable, Some(expected.as_str()), "--{flag}");
    }
}

#[rstest]
#[case("man")]
#[case("completions")]
fn generated_pages_match_committed_files(#[case] folder: &str) {
    let directory =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("wisteriafordd_pages_{folder}"));
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra");

    pages::write(&directory).unwrap();

    let generated = read_files(&directory.join(folder));
    assert!(!generated.is_empty());
    for (name, content) in generated {
        let found = fs::read_to_string(committed.join(folder).join(&name)).ok();
        let is_same = found.as_deref() == Some(&content);
        assert!(
            is_same,
            "{name} differs; run `cargo run -p wisteriafordd --example pages`"
        );
    }
}

fn read_files(directory: &Path) -> Vec<(String, String)> {
    let entries = fs::read_dir(directory).unwrap().map(Result::unwrap);
    let file = |path: PathBuf| {
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        (name, fs::read_to_string(path).unwrap())
    };
    entries.map(|entry| file(entry.path())).collect()
}
