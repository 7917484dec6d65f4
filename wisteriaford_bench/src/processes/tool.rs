//! Runs the command-line tool to completion.

use std::net::SocketAddr;
use std::process::Command;

use serde_json::Value;

use crate::processes::error::ProcessError;
use crate::processes::error::Result;
use crate::processes::process::program_path;

const PROGRAM: &str = "wisteriaford";

/// Output and exit code of the tool.
#[derive(Clone, Debug)]
pub struct ToolOutput {
    /// Exit code; `None` if a signal ended the tool.
    pub exit_code: Option<i32>,
    /// Standard output as JSON; null if it is not JSON.
    pub json: Value,
    /// Standard output and standard error as text.
    pub text: String,
}

/// Command-line tool and the addresses that it uses.
#[derive(Clone, Debug)]
pub struct Tool {
    log: SocketAddr,
    daemons: Vec<SocketAddr>,
}

impl Tool {
    /// Returns a tool that uses a log and daemons.
    #[must_use]
    pub const fn new(log: SocketAddr, daemons: Vec<SocketAddr>) -> Self {
        Self { log, daemons }
    }

    /// Runs a command with JSON output.
    ///
    /// # Errors
    ///
    /// Fails if the tool cannot be run. A non-zero exit code is not an error.
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
