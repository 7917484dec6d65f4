//! Startup and main function of the daemon.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Sender;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use wisteriaford_core::event::InstanceIdentity;
use wisteriaford_core::id::Incarnation;
use wisteriaford_core::instance::Instance;
use wisteriaford_core::instance::Options;

use crate::arguments::Arguments;
use crate::arguments::SettingError;
use crate::arguments::UsageError;
use crate::clock::Clock;
use crate::logger;
use crate::metrics::Metrics;
use crate::peers;
use crate::runtime;
use crate::runtime::Input;
use crate::runtime::Runtime;
use crate::runtime::SharedState;
use crate::server;
use crate::worker::Addresses;
use crate::worker::Workers;

/// Exit code for an invalid setting.
const EXIT_SETTING: u8 = 2;
/// Exit code for any other startup failure.
const EXIT_FAILURE: u8 = 1;
/// Time to flush answers from socket buffers before the process exits.
const FLUSH_GRACE: Duration = Duration::from_millis(300);

/// Why the daemon failed to start.
#[derive(Debug, Display, Error, From)]
enum StartError {
    /// The command line or an environment variable cannot be parsed.
    Usage(UsageError),
    /// A setting is invalid.
    Setting(SettingError),
    /// The socket for peers cannot be opened.
    #[display("--peer-listen: {_0}")]
    PeerSocket(nng::Error),
    /// The socket for callers cannot be opened.
    #[display("--listen: {_0}")]
    CallerSocket(std::io::Error),
    /// Signal handlers cannot be registered.
    #[from(ignore)]
    #[display("signals: {_0}")]
    Signal(std::io::Error),
    /// Metrics cannot be registered.
    #[display("metrics: {_0}")]
    Metrics(opentelemetry_sdk::error::OTelSdkError),
    /// The logger cannot be started.
    #[display("logging: {_0}")]
    Logger(flexi_logger::FlexiLoggerError),
}

impl StartError {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Setting(_) => EXIT_SETTING,
            _ => EXIT_FAILURE,
        }
    }
}

/// Runs the daemon with the settings of this process until it has shut down.
#[must_use]
pub fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wisteriafordd: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn start() -> Result<(), StartError> {
    let arguments = match Arguments::from_process() {
        Ok(arguments) => arguments,
        Err(UsageError::HelpRequested { text }) => {
            print!("{text}");
            return Ok(());
        }
        Err(error) => return Err(error.into()),
    };
    run(&arguments)
}

fn run(arguments: &Arguments) -> Result<(), StartError> {
    arguments.check()?;
    let _logger = logger::start(arguments.log_level)?;
    let shutdown_requested = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&shutdown_requested))
            .map_err(StartError::Signal)?;
    }
    let clock = Clock::start();
    let shared = Arc::new(SharedState::new(shutdown_requested));
    let metrics = Metrics::start(&shared)?;
    let (inputs, events) = crossbeam::channel::unbounded();
    peers::listen(&arguments.peer_address(), inputs.clone())?;
    let identity = identity(arguments, clock);
    start_server(arguments, &identity, &shared, metrics, inputs.clone())?;
    let workers = Workers::start(addresses(arguments), &inputs);
    let instance = Instance::new(identity, options(arguments, clock));
    let shutdown_timeout = Duration::from_millis(arguments.shutdown_timeout_ms);
    log::info!("listening on {}", arguments.listen);
    Runtime::new(
        instance,
        clock,
        Arc::clone(&shared),
        workers,
        shutdown_timeout,
    )
    .run(&events);
    runtime::refuse_late_callers(&shared, &events);
    // From here on, the request handlers refuse new requests themselves.
    drop(events);
    thread::sleep(FLUSH_GRACE);
    Ok(())
}

fn start_server(
    arguments: &Arguments,
    identity: &InstanceIdentity,
    shared: &Arc<SharedState>,
    metrics: Metrics,
    inputs: Sender<Input>,
) -> Result<(), StartError> {
    let settings = server::ServerSettings {
        max_connections: arguments.max_connections as usize,
        max_body_bytes: usize::try_from(arguments.max_body_bytes).unwrap_or(usize::MAX),
        memory_bytes: arguments.memory_mb.map(|mb| mb << 20),
        identity: identity.clone(),
    };
    let service = server::Service::new(settings, Arc::clone(shared), metrics, inputs);
    Ok(service.listen(arguments.listen)?)
}

fn identity(arguments: &Arguments, clock: Clock) -> InstanceIdentity {
    InstanceIdentity {
        id: arguments.instance_id.as_str().into(),
        address: arguments.peer_address(),
        availability_zone: arguments.availability_zone.as_str().into(),
        region: arguments.region.as_str().into(),
        incarnation: Incarnation(clock.now().as_millis()),
    }
}

fn options(arguments: &Arguments, clock: Clock) -> Options {
    Options {
        seeds: arguments.peers.iter().map(address_text).collect(),
        default_timeout: Duration::from_millis(arguments.default_timeout_ms),
        seed: clock.now().0 ^ u64::from(std::process::id()),
    }
}

fn address_text(address: &SocketAddr) -> compact_str::CompactString {
    compact_str::CompactString::from(address.to_string())
}

fn addresses(arguments: &Arguments) -> Addresses {
    Addresses {
        instance_id: arguments.instance_id.clone(),
        log: arguments.log_address.to_string(),
        weight_store: arguments.weight_store_address.to_string(),
        instance_list: arguments
            .instance_list_address
            .as_ref()
            .map(ToString::to_string),
        silence_timeout: arguments.silence_timeout(),
    }
}
