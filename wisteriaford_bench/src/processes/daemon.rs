//! A daemon that runs as a process.

use std::net::SocketAddr;
use std::time::Duration;

use wisteriaford_client::client::Client;
use wisteriaford_client::message::StatusAnswer;
use wisteriaford_standins::free_address;

use crate::processes::error::ProcessError;
use crate::processes::error::Result;
use crate::processes::http;
use crate::processes::process::Process;
use crate::processes::process::Signal;
use crate::processes::wait::wait_until;

const PROGRAM: &str = "wisteriafordd";
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Identity, location and addresses that a daemon is started with.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// Unique name of the instance.
    pub id: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Region.
    pub region: String,
    /// Address on which it serves callers.
    pub listen: SocketAddr,
    /// Address on which it serves peers.
    pub peer_listen: SocketAddr,
    /// Addresses of peers to join through.
    pub peers: Vec<SocketAddr>,
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the weight store.
    pub weight_store: SocketAddr,
    /// Address of the instance list.
    pub instance_list: SocketAddr,
    /// Additional command-line arguments.
    pub arguments: Vec<String>,
}

impl DaemonOptions {
    fn arguments(&self) -> Vec<String> {
        let peers: Vec<String> = self.peers.iter().map(ToString::to_string).collect();
        let flags = [
            ("--instance-id", self.id.clone()),
            ("--availability-zone", self.availability_zone.clone()),
            ("--region", self.region.clone()),
            ("--listen", self.listen.to_string()),
            ("--peer-listen", self.peer_listen.to_string()),
            ("--peers", peers.join(",")),
            ("--log-address", self.log.to_string()),
            ("--weight-store-address", self.weight_store.to_string()),
            ("--instance-list-address", self.instance_list.to_string()),
        ];
        let mut arguments = Vec::new();
        for (flag, value) in flags {
            if !value.is_empty() {
                arguments.push(flag.to_owned());
                arguments.push(value);
            }
        }
        arguments.extend_from_slice(&self.arguments);
        arguments
    }
}

/// Daemon process and the options that it was started with.
pub struct Daemon {
    options: DaemonOptions,
    process: Process,
}

impl Daemon {
    /// Returns two unused addresses: one for callers and one for peers.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn free_addresses() -> Result<(SocketAddr, SocketAddr)> {
        let free = || free_address().ok_or(ProcessError::NoFreePort);
        Ok((free()?, free()?))
    }

    /// Starts a daemon and waits until it answers health checks; it may not be ready yet.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub fn start(options: DaemonOptions) -> Result<Self> {
        let process = launch(&options)?;
        Ok(Self { options, process })
    }

    /// Kills the process if it still runs, and starts the daemon again at the same addresses.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub fn restart(&mut self) -> Result<()> {
        // The signal fails if the process has already exited.
        let _ = self.process.signal(Signal::Kill);
        self.process.wait(START_TIMEOUT)?;
        self.process = launch(&self.options)?;
        Ok(())
    }

    /// Returns the instance id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.options.id
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.options.listen
    }

    /// Returns the address for peers.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.options.peer_listen
    }

    /// Returns the daemon's process.
    pub const fn process(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Returns the resident memory of the process, in kB.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn resident_kb(&self) -> Result<u64> {
        self.process.resident_kb()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        self.process.signal(signal)
    }

    /// Returns a client that uses this daemon only.
    #[must_use]
    pub fn client(&self) -> Client {
        Client::new(vec![self.options.listen], http::EXCHANGE_TIMEOUT)
    }

    /// Returns the status that the daemon reports.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub fn status(&self) -> Result<StatusAnswer> {
        Ok(self.client().status()?)
    }

    /// Returns the revision in force, or 0 if there is none or the daemon does not answer.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.status().map_or(0, |status| status.revision)
    }

    /// Returns whether the daemon accepts requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        http::is_ready(self.options.listen)
    }

    /// Returns the sum of a counter or gauge over all series with a name and, if given, a reason.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub fn metric(&self, name: &str, reason: Option<&str>) -> Result<f64> {
        let response = http::get(self.options.listen, "/metrics")?;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let values = text
            .lines()
            .filter_map(|line| metric_value(line, name, reason));
        Ok(values.sum())
    }

    /// Returns the lines that the daemon has written so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.process.lines()
    }
}

fn launch(options: &DaemonOptions) -> Result<Process> {
    let mut process = Process::start(&options.id, PROGRAM, &options.arguments())?;
    let mut has_exited = false;
    wait_until(&format!("start of {}", options.id), START_TIMEOUT, || {
        has_exited = process.exit_status().ok().flatten().is_some();
        has_exited || http::get(options.listen, "/healthz").is_ok()
    })?;
    if has_exited {
        return Err(process.start_error());
    }
    Ok(process)
}

/// Returns the value of a line of metrics if its name and reason label match.
fn metric_value(line: &str, name: &str, reason: Option<&str>) -> Option<f64> {
    let (series, value) = line.rsplit_once(' ')?;
    let (series_name, labels) = series.split_once('{').unwrap_or((series, ""));
    let is_named = series_name == name || series_name.strip_suffix("_total") == Some(name);
    let wanted = reason.map(|reason| format!("reason=\"{reason}\""));
    let has_reason = wanted.is_none_or(|wanted| labels.contains(&wanted));
    if !is_named || !has_reason {
        return None;
    }
    value.parse().ok()
}
