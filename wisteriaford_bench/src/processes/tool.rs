//! The command-line tool, run to its end.

use std::net::SocketAddr;
use std::process::Command;

use serde_json::Value;

use crate::processes::error::ProcessError;
use crate::processes::error::Result;
use crate::processes::process::program_path;

const PROGRAM: &str = "wisteriaford";

/// What the tool wrote, and how it ended.
#[derive(Clone, Debug)]
pub struct ToolOutput {
    /// Exit code; none after a signal.
    pub exit_code: Option<i32>,
    /// JSON of the standard output; null where it was none.
    pub json: Value,
    /// Both outputs as text.
    pub text: String,
}

/// Tool with the addresses that it needs.
#[derive(Clone, Debug)]
pub struct Tool {
    log: SocketAddr,
    daemons: Vec<SocketAddr>,
}

impl Tool {
    /// Returns a tool that reaches a log and daemons.
    #[must_use]
    pub const fn new(log: SocketAddr, daemons: Vec<SocketAddr>) -> Self {
        Self { log, daemons }
    }

    /// Runs a command, with JSON as its output.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be run; not if it refuses.
    pub fn run(&self, arguments: &[&str]) -> Result<ToolOutput> {
        let daemons: Vec<String> = self.daemons.iter().map(ToString::to_string).collect();
        let output = Command::new(program_path(PROGRAM)?)
            .args(arguments)
            .args(["--output", "json"])
            .args(["--log-address", &self.log.to_string()])
            .args(["--daemon", &daemons.join(",")])
            .output()
            .map_err(|source| ProcessError::System {
                name: PROGRAM.to_owned(),
                source,
            })?;
        let stdout = String::from_utf8_lossy(&output.stdout);
        let stderr = String::from_utf8_lossy(&output.stderr);
        Ok(ToolOutput {
            exit_code: output.status.code(),
            json: serde_json::from_str(stdout.trim()).unwrap_or_default(),
            text: format!("{stdout}{stderr}"),
        })
    }
}
