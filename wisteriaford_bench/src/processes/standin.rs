//! Process of one stand-in.

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
const LISTENING: &str = "\"listening\"";

/// Stand-in of the platform or of an endpoint, as a process.
pub struct StandinProcess {
    name: String,
    kind: String,
    arguments: Vec<String>,
    address: SocketAddr,
    process: Process,
}

impl StandinProcess {
    /// Starts a stand-in by the name of its subcommand, and waits until it listens.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub fn start(name: &str, kind: &str, arguments: &[&str]) -> Result<Self> {
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        let address = free_address().ok_or(ProcessError::NoPort)?;
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

    /// Returns the address at which it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its process.
    pub const fn process(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Starts the stand-in again at the same address, as a supervisor would; what it held is lost.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub fn restart(&mut self) -> Result<()> {
        // A process that has ended needs no signal.
        let _ = self.process.signal(crate::processes::Signal::Kill);
        self.process.wait(START_TIMEOUT)?;
        self.process = launch(&self.name, &self.kind, &self.arguments, self.address)?;
        Ok(())
    }

    /// Sets faults.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn set_faults(&self, change: &FaultChange) -> Result<()> {
        let change = serde_json::to_value(change)?;
        http::post_json(self.address, "/faults", &change)?;
        Ok(())
    }

    /// Reads JSON from a path.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub fn get(&self, path: &str) -> Result<Value> {
        http::get_json(self.address, path)
    }

    /// Sends JSON to a path.
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
    let mut has_ended = false;
    wait_until(&format!("start of {name}"), START_TIMEOUT, || {
        has_ended = process.exit_status().ok().flatten().is_some();
        let listens = process.lines().iter().any(|line| line.contains(LISTENING));
        has_ended || listens
    })?;
    if has_ended {
        return Err(process.not_started());
    }
    Ok(process)
}
