//! A stand-in that runs as a process.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use wisteriaford_standins::FaultChange;
use wisteriaford_standins::free_address;

use crate::processes::error::ProcessError;
use crate::processes::error::Result;
use crate::processes::http;
use crate::processes::process::Process;
use crate::processes::wait::wait_until;

const PROGRAM: &str = "wisteriaford_standins";
const START_TIMEOUT: Duration = Duration::from_secs(60);
const LISTENING_EVENT: &str = "\"listening\"";

/// Process that stands in for a service of the platform or for an endpoint.
pub struct StandinProcess {
    name: String,
    kind: String,
    arguments: Vec<String>,
    address: SocketAddr,
    process: Process,
}

impl StandinProcess {
    /// Starts the stand-in of a subcommand, `kind`, and waits until it listens.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub fn start(name: &str, kind: &str, arguments: &[&str]) -> Result<Self> {
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        let address = free_address().ok_or(ProcessError::NoFreePort)?;
        let process = launch(name, kind, &arguments, address)?;
        Ok(Self {
            name: name.to_owned(),
            kind: kind.to_owned(),
            arguments,
            address,
            process,
        })
    }

    /// Returns the name of the stand-in.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address on which it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the stand-in's process.
    pub const fn process(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Kills the process if it still runs, and starts the stand-in again at the same address, as a
    /// supervisor would. Its state is lost.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub fn restart(&mut self) -> Result<()> {
        // The signal fails if the process has already exited.
        let _ = self.process.signal(crate::processes::Signal::Kill);
        self.process.wait(START_TIMEOUT)?;
        self.process = launch(&self.name, &self.kind, &self.arguments, self.address)?;
        Ok(())
    }

    /// Configures faults of the stand-in.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn set_faults(&self, change: &FaultChange) -> Result<()> {
        let change = serde_json::to_value(change)?;
        http::post_json(self.address, "/faults", &change)?;
        Ok(())
    }

    /// Fetches JSON from a path.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn get(&self, path: &str) -> Result<Value> {
        http::get_json(self.address, path)
    }

    /// Posts JSON to a path and returns the JSON of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer or refuses.
    pub fn post(&self, path: &str, body: &Value) -> Result<Value> {
        http::post_json(self.address, path, body)
    }
}

fn launch(name: &str, kind: &str, arguments: &[String], address: SocketAddr) -> Result<Process> {
    let listen = ["--listen".to_owned(), address.to_string()];
    let mut all = vec![kind.to_owned()];
    all.extend(listen);
    all.extend_from_slice(arguments);
    let mut process = Process::start(name, PROGRAM, &all)?;
    let mut has_exited = false;
    wait_until(&format!("start of {name}"), START_TIMEOUT, || {
        has_exited = process.exit_status().ok().flatten().is_some();
        let listens = process
            .lines()
            .iter()
            .any(|line| line.contains(LISTENING_EVENT));
        has_exited || listens
    })?;
    if has_exited {
        return Err(process.start_error());
    }
    Ok(process)
}
