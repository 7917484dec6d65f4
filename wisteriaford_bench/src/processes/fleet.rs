//! A complete fleet on this machine: platform, endpoints and daemons.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use wisteriaford_client::client::Client;
use wisteriaford_proto::settings::Caller;
use wisteriaford_proto::settings::Configuration;
use wisteriaford_proto::settings::Endpoint;
use wisteriaford_proto::settings::EndpointKind;
use wisteriaford_proto::settings::LogOutagePolicy;
use wisteriaford_proto::settings::Pool;
use wisteriaford_proto::settings::Priority;
use wisteriaford_proto::settings::Route;
use wisteriaford_standins::FaultChange;

use crate::processes::daemon::Daemon;
use crate::processes::daemon::DaemonOptions;
use crate::processes::error::ProcessError;
use crate::processes::error::Result;
use crate::processes::http::EXCHANGE_TIMEOUT;
use crate::processes::standin::StandinProcess;
use crate::processes::tool::Tool;
use crate::processes::tool::ToolOutput;
use crate::processes::wait::wait_until;

/// Pool of model engines.
pub const MODEL_POOL: &str = "restoration";
/// Model of that pool.
pub const MODEL: &str = "restorer";
/// Pool of plain services.
pub const PLAIN_POOL: &str = "badges";
/// Caller with interactive priority.
pub const INTERACTIVE_CALLER: &str = "portal";
/// Caller with batch priority that pulls training steps.
pub const TRAINER: &str = "trainer-a";
/// Idempotent route, whose calls may run more than once.
pub const LOOKUP_ROUTE: &str = "badge-lookup";
/// Route whose calls run at most once; refused while the log is down.
pub const SCAN_ROUTE: &str = "badge-scan";
/// Staleness bound of the pool of model engines, in versions.
pub const STALENESS_BOUND_VERSIONS: u32 = 2;

const REGION: &str = "tunis-nord";
const ZONES: [&str; 2] = ["ariana", "la-marsa"];
/// Availability of an endpoint that accepts requests.
const AVAILABLE: &str = "serving";
const ENGINE_SLOTS: u32 = 16;
const PLAIN_SLOTS: u32 = 64;
const SILENCE_TIMEOUT_MS: u64 = 2_000;
const QUARANTINE_MS: u64 = 600_000;
const LOOKUP_TIMEOUT_MS: u64 = 20_000;
/// Timeout of waits for a state of the fleet; generous, to end only waits that would hang.
pub const MAX_WAIT: Duration = Duration::from_secs(120);

static NEXT_FILE_NUMBER: AtomicU32 = AtomicU32::new(0);
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Numbers of processes of a fleet and their additional arguments.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Daemons, alternating between two availability zones.
    pub daemons: usize,
    /// Model engines; every second one ignores fencing numbers.
    pub engines: usize,
    /// Plain services.
    pub plain_services: usize,
    /// Additional arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Additional arguments of each plain service.
    pub plain_arguments: Vec<String>,
    /// Additional arguments of each daemon.
    pub daemon_arguments: Vec<String>,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            daemons: 3,
            engines: 2,
            plain_services: 2,
            engine_arguments: Vec::new(),
            plain_arguments: Vec::new(),
            daemon_arguments: Vec::new(),
        }
    }
}

/// Processes of a complete fleet; dropping it ends them all.
pub struct Fleet {
    /// Log.
    pub log: StandinProcess,
    /// Weight store.
    pub weight_store: StandinProcess,
    /// Instance list.
    pub instance_list: StandinProcess,
    /// Scorer.
    pub scorer: StandinProcess,
    /// Model engines.
    pub engines: Vec<StandinProcess>,
    /// Plain services.
    pub plain_services: Vec<StandinProcess>,
    /// Daemons.
    pub daemons: Vec<Daemon>,
    directory: PathBuf,
    /// Allows only one fleet at a time in this process.
    _fleet_guard: MutexGuard<'static, ()>,
}

impl Fleet {
    /// Starts all processes without publishing a configuration. Blocks while another fleet of this
    /// process runs.
    ///
    /// # Errors
    ///
    /// Fails if one of them does not start.
    pub fn start(options: &FleetOptions) -> Result<Self> {
        let fleet_guard = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let log = StandinProcess::start("log", "log", &[])?;
        let weight_store =
            StandinProcess::start("weight-store", "weight-store", &["--model", MODEL])?;
        let instance_list = StandinProcess::start("instance-list", "instance-list", &[])?;
        let scorer = StandinProcess::start("scorer", "scorer", &[])?;
        let engines = start_engines(options, weight_store.address())?;
        let plain_services = start_plain_services(options)?;
        let mut fleet = Self {
            log,
            weight_store,
            instance_list,
            scorer,
            engines,
            plain_services,
            daemons: Vec::new(),
            directory: create_temp_dir()?,
            _fleet_guard: fleet_guard,
        };
        fleet.start_daemons(options)?;
        Ok(fleet)
    }

    /// Starts all processes, publishes the default configuration and waits until all are ready.
    ///
    /// # Errors
    ///
    /// Fails if one of them does not start or does not become ready.
    pub fn start_ready(options: &FleetOptions) -> Result<Self> {
        let fleet = Self::start(options)?;
        let output = fleet.publish(&fleet.configuration(), &[])?;
        if output.exit_code != Some(0) {
            return Err(ProcessError::NotStarted {
                name: "wisteriaford publish".to_owned(),
                output: output.text,
            });
        }
        fleet.wait_until_ready(1)?;
        Ok(fleet)
    }

    /// Waits until every daemon is ready, has at least a given revision in force, knows all other
    /// daemons and sees every endpoint as serving.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`MAX_WAIT`].
    pub fn wait_until_ready(&self, revision: u64) -> Result<()> {
        wait_until("readiness of all daemons", MAX_WAIT, || {
            self.daemons
                .iter()
                .all(|daemon| self.has_converged(daemon, revision))
        })
    }

    /// Returns the default configuration of this fleet.
    #[must_use]
    pub fn configuration(&self) -> Configuration {
        let engines = self.engines.iter().enumerate();
        let engines = engines.map(|(index, engine)| engine_endpoint(index, engine));
        let services = self.plain_services.iter().enumerate();
        let services = services.map(|(index, service)| plain_service_endpoint(index, service));
        Configuration {
            pools: pools(self.scorer.address()),
            endpoints: engines.chain(services).collect(),
            callers: callers(),
            routes: routes(),
        }
    }

    /// Publishes a configuration with the command-line tool.
    ///
    /// # Errors
    ///
    /// Fails if the tool cannot be run. A rejected publication is not an error.
    pub fn publish(&self, configuration: &Configuration, arguments: &[&str]) -> Result<ToolOutput> {
        let path = self.write_configuration(configuration)?;
        let path = path.to_string_lossy();
        let mut all = vec!["publish", &path];
        all.extend_from_slice(arguments);
        self.tool().run(&all)
    }

    /// Writes a configuration to a new file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write_configuration(&self, configuration: &Configuration) -> Result<PathBuf> {
        let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = self.directory.join(format!("configuration-{number}.toml"));
        let text = toml::to_string(configuration)?;
        fs::write(&path, text).map_err(|source| ProcessError::File {
            path: path.clone(),
            source,
        })?;
        Ok(path)
    }

    /// Returns the command-line tool, set up for the log and the daemons of this fleet.
    #[must_use]
    pub fn tool(&self) -> Tool {
        let daemons = self.daemons.iter().map(Daemon::address);
        Tool::new(self.log.address(), daemons.collect())
    }

    /// Returns a client of all daemons that prefers the one at an index, modulo their number.
    #[must_use]
    pub fn client(&self, preferred: usize) -> Client {
        let mut addresses: Vec<SocketAddr> = self.daemons.iter().map(Daemon::address).collect();
        if !addresses.is_empty() {
            let first = preferred % addresses.len();
            addresses.rotate_left(first);
        }
        Client::new(addresses, EXCHANGE_TIMEOUT)
    }

    /// Announces new weights in the weight store.
    ///
    /// # Errors
    ///
    /// Fails if the weight store does not answer.
    pub fn announce_weights(&self, version: u64) -> Result<()> {
        let path = format!("/models/{MODEL}");
        self.weight_store
            .post(&path, &json!({"version": version}))?;
        Ok(())
    }

    /// Waits until each of the given daemons sees every engine at a version or a later one.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`MAX_WAIT`].
    pub fn wait_for_weights(&self, version: u64, daemons: &[usize]) -> Result<()> {
        wait_until("new weights on every engine", MAX_WAIT, || {
            let mut daemons = daemons.iter().filter_map(|&index| self.daemons.get(index));
            daemons.all(|daemon| engines_have_version(daemon, version))
        })
    }

    fn has_converged(&self, daemon: &Daemon, revision: u64) -> bool {
        let Ok(status) = daemon.status() else {
            return false;
        };
        // A published configuration may list further endpoints, which may already be serving.
        let own = self.configuration().endpoints;
        let serving = status.endpoints.iter().filter(|e| {
            e.availability == AVAILABLE && own.iter().any(|own| own.name == e.endpoint)
        });
        status.ready
            && status.revision >= revision
            && status.members.len() == self.daemons.len()
            && serving.count() == own.len()
    }

    fn start_daemons(&mut self, options: &FleetOptions) -> Result<()> {
        let mut peers: Vec<SocketAddr> = Vec::new();
        for number in 1..=options.daemons {
            let (listen, peer_listen) = Daemon::free_addresses()?;
            let daemon = Daemon::start(DaemonOptions {
                id: format!("entry-{number}"),
                availability_zone: zone(number - 1),
                region: REGION.to_owned(),
                listen,
                peer_listen,
                peers: peers.clone(),
                log: self.log.address(),
                weight_store: self.weight_store.address(),
                instance_list: self.instance_list.address(),
                arguments: options.daemon_arguments.clone(),
            })?;
            peers.push(peer_listen);
            self.daemons.push(daemon);
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // On failure, the files stay in the system's directory for temporary files.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn engines_have_version(daemon: &Daemon, version: u64) -> bool {
    let Ok(status) = daemon.status() else {
        return false;
    };
    let mut engines = status.endpoints.iter().filter(|e| e.pool == MODEL_POOL);
    engines.all(|engine| engine.version >= version)
}

fn zone(index: usize) -> String {
    ZONES[index % ZONES.len()].to_owned()
}

fn create_temp_dir() -> Result<PathBuf> {
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("wisteriaford-{}-{number}", process::id());
    let path = env::temp_dir().join(name);
    fs::create_dir_all(&path).map_err(|source| ProcessError::File {
        path: path.clone(),
        source,
    })?;
    Ok(path)
}

fn honours_fencing(index: usize) -> bool {
    index.is_multiple_of(2)
}

fn start_engines(options: &FleetOptions, weight_store: SocketAddr) -> Result<Vec<StandinProcess>> {
    let weight_store = weight_store.to_string();
    let mut engines = Vec::new();
    for index in 0..options.engines {
        let mut arguments = vec!["--weight-store", &weight_store, "--model", MODEL];
        arguments.extend(options.engine_arguments.iter().map(String::as_str));
        let name = format!("engine-{}", index + 1);
        let engine = StandinProcess::start(&name, "engine", &arguments)?;
        engine.set_faults(&FaultChange {
            ignore_fencing: Some(!honours_fencing(index)),
            ..FaultChange::default()
        })?;
        engines.push(engine);
    }
    Ok(engines)
}

fn start_plain_services(options: &FleetOptions) -> Result<Vec<StandinProcess>> {
    let arguments: Vec<&str> = options.plain_arguments.iter().map(String::as_str).collect();
    (1..=options.plain_services)
        .map(|number| {
            let name = format!("badge-service-{number}");
            StandinProcess::start(&name, "plain-service", &arguments)
        })
        .collect()
}

fn pools(scorer: SocketAddr) -> Vec<Pool> {
    let model_pool = Pool {
        name: MODEL_POOL.to_owned(),
        model: MODEL.to_owned(),
        staleness_bound_versions: STALENESS_BOUND_VERSIONS,
        capacity_floor_percent: 50,
        concurrent_loads: 2,
        interactive_cap_percent: 80,
        queue_limit: 256,
        silence_timeout_ms: SILENCE_TIMEOUT_MS,
        quarantine_ms: QUARANTINE_MS,
        scorer_address: scorer.to_string(),
    };
    let plain_pool = Pool {
        name: PLAIN_POOL.to_owned(),
        interactive_cap_percent: 100,
        queue_limit: 64,
        silence_timeout_ms: SILENCE_TIMEOUT_MS,
        quarantine_ms: QUARANTINE_MS,
        ..Pool::default()
    };
    vec![model_pool, plain_pool]
}

fn engine_endpoint(index: usize, engine: &StandinProcess) -> Endpoint {
    Endpoint {
        name: engine.name().to_owned(),
        pool: MODEL_POOL.to_owned(),
        kind: EndpointKind::ModelEngine.into(),
        address: engine.address().to_string(),
        availability_zone: zone(index),
        region: REGION.to_owned(),
        slots: ENGINE_SLOTS,
        honours_fencing: honours_fencing(index),
        leaving: false,
    }
}

fn plain_service_endpoint(index: usize, service: &StandinProcess) -> Endpoint {
    Endpoint {
        name: service.name().to_owned(),
        pool: PLAIN_POOL.to_owned(),
        kind: EndpointKind::PlainService.into(),
        address: service.address().to_string(),
        availability_zone: zone(index),
        region: REGION.to_owned(),
        slots: PLAIN_SLOTS,
        honours_fencing: false,
        leaving: false,
    }
}

fn callers() -> Vec<Caller> {
    let interactive = Caller {
        name: INTERACTIVE_CALLER.to_owned(),
        priority: Priority::Interactive.into(),
        share_weight: 1,
        in_flight_limit: 1_000,
        rate_limit_per_s: 100_000,
    };
    let trainer = Caller {
        name: TRAINER.to_owned(),
        priority: Priority::Batch.into(),
        share_weight: 1,
        in_flight_limit: 2_048,
        rate_limit_per_s: 10_000,
    };
    vec![interactive, trainer]
}

fn routes() -> Vec<Route> {
    let lookup = Route {
        name: LOOKUP_ROUTE.to_owned(),
        pool: PLAIN_POOL.to_owned(),
        idempotent: true,
        timeout_ms: LOOKUP_TIMEOUT_MS,
        ..Route::default()
    };
    let scan = Route {
        name: SCAN_ROUTE.to_owned(),
        pool: PLAIN_POOL.to_owned(),
        idempotent: false,
        timeout_ms: LOOKUP_TIMEOUT_MS,
        log_outage: LogOutagePolicy::Refuse.into(),
    };
    vec![lookup, scan]
}
