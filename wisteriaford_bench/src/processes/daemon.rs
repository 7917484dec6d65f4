//! Process of one daemon.

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

/// Where a daemon runs and what it reaches.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// Unique name.
    pub id: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Region.
    pub region: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for peers.
    pub peer_listen: SocketAddr,
    /// Addresses of some peers.
    pub peers: Vec<SocketAddr>,
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the weight store.
    pub weight_store: SocketAddr,
    /// Address of the instance list.
    pub instance_list: SocketAddr,
    /// Further arguments.
    pub arguments: Vec<String>,
}

impl DaemonPlan {
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

/// Daemon, as a process.
pub struct Daemon {
    plan: DaemonPlan,
    process: Process,
}

impl Daemon {
    /// Returns two free addresses, for callers and for peers.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn free_addresses() -> Result<(SocketAddr, SocketAddr)> {
        let free = || free_address().ok_or(ProcessError::NoPort);
        Ok((free()?, free()?))
    }

    /// Starts a daemon and waits until it answers; it needs not be ready.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub fn start(plan: DaemonPlan) -> Result<Self> {
        let process = launch(&plan)?;
        Ok(Self { plan, process })
    }

    /// Starts the daemon again at the same addresses, after its process was ended.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub fn restart(&mut self) -> Result<()> {
        // A process that has ended needs no signal.
        let _ = self.process.signal(Signal::Kill);
        self.process.wait(START_TIMEOUT)?;
        self.process = launch(&self.plan)?;
        Ok(())
    }

    /// Returns the name of the instance.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.plan.id
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.plan.listen
    }

    /// Returns the address for peers.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.plan.peer_listen
    }

    /// Returns its process.
    pub const fn process(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Returns the resident memory of the process, in kB.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn resident_kb(&self) -> Result<u64> {
        self.process.resident_kb()
    }

    /// Signals the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        self.process.signal(signal)
    }

    /// Returns a client of this daemon alone.
    #[must_use]
    pub fn client(&self) -> Client {
        Client::new(vec![self.plan.listen], http::EXCHANGE_TIMEOUT)
    }

    /// Returns the state that the daemon reports.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub fn status(&self) -> Result<StatusAnswer> {
        Ok(self.client().status()?)
    }

    /// Returns the revision in force; 0 where there is none or no answer.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.status().map_or(0, |status| status.revision)
    }

    /// Returns whether the daemon takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        http::is_ready(self.plan.listen)
    }

    /// Returns a counter or gauge by its name, and its reason where it has one.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub fn metric(&self, name: &str, reason: Option<&str>) -> Result<f64> {
        let reply = http::get(self.plan.listen, "/metrics")?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let values = text
            .lines()
            .filter_map(|line| metric_value(line, name, reason));
        Ok(values.sum())
    }

    /// Returns the lines that the daemon wrote so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.process.lines()
    }
}

fn launch(plan: &DaemonPlan) -> Result<Process> {
    let mut process = Process::start(&plan.id, PROGRAM, &plan.arguments())?;
    let mut has_ended = false;
    wait_until(&format!("start of {}", plan.id), START_TIMEOUT, || {
        has_ended = process.exit_status().ok().flatten().is_some();
        has_ended || http::get(plan.listen, "/healthz").is_ok()
    })?;
    if has_ended {
        return Err(process.not_started());
    }
    Ok(process)
}

/// Returns the value of a line of metrics, if it is the one by this name and reason.
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
