//! Settings of the daemon, from command line flags and environment variables.

use std::ffi::OsString;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use clap::CommandFactory;
use clap::Parser;
use clap::builder::PossibleValuesParser;
use clap::builder::TypedValueParser;
use clap::error::ContextKind;
use clap::error::ContextValue;
use clap::error::ErrorKind;
use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use log::LevelFilter;
use wisteriaford_core::id::AvailabilityZone;
use wisteriaford_core::id::IdError;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Region;

const EXIT_CODES: &str = "Exit codes: 0 after a graceful shutdown, 1 if a socket cannot be \
    opened, 2 if a setting is invalid.";

const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Daemon of the wisteriaford rollout service.
///
/// Schedules requests from callers on endpoints. Which callers and endpoints it serves is set in
/// the configuration that operators publish to the log. These settings only identify this instance
/// and locate the platform's services.
#[derive(Clone, Debug, Parser)]
#[command(name = "wisteriafordd", version, after_help = EXIT_CODES)]
pub struct Arguments {
    /// Unique name of this instance: 1 to 128 letters, digits or any of `-_.:/`. Required.
    #[arg(long, env = "WISTERIAFORD_INSTANCE_ID", value_name = "NAME")]
    pub(crate) instance_id: String,

    /// Availability zone that this instance runs in: 1 to 128 letters, digits or any of
    /// `-_.:/`. Required.
    #[arg(long, env = "WISTERIAFORD_AVAILABILITY_ZONE", value_name = "NAME")]
    pub(crate) availability_zone: String,

    /// Region that this instance runs in: 1 to 128 letters, digits or any of `-_.:/`.
    #[arg(
        long,
        env = "WISTERIAFORD_REGION",
        value_name = "NAME",
        default_value = "default"
    )]
    pub(crate) region: String,

    /// IP address and port to listen on for callers, health checks and metrics; port 1 to 65535.
    #[arg(
        long,
        env = "WISTERIAFORD_LISTEN",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:7400"
    )]
    pub(crate) listen: SocketAddr,

    /// IP address and port to listen on for other instances, which must be able to reach it; port 1
    /// to 65535.
    #[arg(
        long,
        env = "WISTERIAFORD_PEER_LISTEN",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:7401"
    )]
    pub(crate) peer_listen: SocketAddr,

    /// Comma-separated peer addresses of other instances, each an IP address with port 1 to 65535.
    /// Optional; without any, the instance starts a new fleet unless the platform's list of
    /// instances contains others.
    #[arg(
        long,
        env = "WISTERIAFORD_PEERS",
        value_name = "IP:PORT,…",
        value_delimiter = ','
    )]
    pub(crate) peers: Vec<SocketAddr>,

    /// IP address and port of the platform's log; port 1 to 65535. Required.
    #[arg(long, env = "WISTERIAFORD_LOG_ADDRESS", value_name = "IP:PORT")]
    pub(crate) log_address: SocketAddr,

    /// IP address and port of the weight store; port 1 to 65535. Required.
    #[arg(
        long,
        env = "WISTERIAFORD_WEIGHT_STORE_ADDRESS",
        value_name = "IP:PORT"
    )]
    pub(crate) weight_store_address: SocketAddr,

    /// IP address and port of the platform's list of instances; port 1 to 65535. Optional;
    /// without it, members are discovered by gossip only.
    #[arg(
        long,
        env = "WISTERIAFORD_INSTANCE_LIST_ADDRESS",
        value_name = "IP:PORT"
    )]
    pub(crate) instance_list_address: Option<SocketAddr>,

    /// Connections from callers served concurrently, 1 to 65536.
    #[arg(
        long,
        env = "WISTERIAFORD_MAX_CONNECTIONS",
        value_name = "NUMBER",
        default_value_t = 2048,
        allow_negative_numbers = true,
        value_parser = clap::value_parser!(u32).range(1..=65_536)
    )]
    pub(crate) max_connections: u32,

    /// Memory of the machine, in megabytes, 64 to 1048576; what is held for callers stays within a
    /// part of it. Optional; without it, it has no limit.
    #[arg(
        long,
        env = "WISTERIAFORD_MEMORY_MB",
        value_name = "MEGABYTES",
        allow_negative_numbers = true,
        value_parser = clap::value_parser!(u64).range(64..=1_048_576)
    )]
    pub(crate) memory_mb: Option<u64>,

    /// Maximum size of a request body, in bytes, 1024 to 268435456.
    #[arg(
        long,
        env = "WISTERIAFORD_MAX_BODY_BYTES",
        value_name = "BYTES",
        default_value_t = 16_777_216,
        allow_negative_numbers = true,
        value_parser = clap::value_parser!(u64).range(1_024..=268_435_456)
    )]
    pub(crate) max_body_bytes: u64,

    /// Timeout of a generation whose request sets none, in milliseconds, 100 to 3600000; not less
    /// than the silence timeout.
    #[arg(
        long,
        env = "WISTERIAFORD_DEFAULT_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 60_000,
        allow_negative_numbers = true,
        value_parser = clap::value_parser!(u64).range(100..=3_600_000)
    )]
    pub(crate) default_timeout_ms: u64,

    /// Time without an answer after which a call to the platform, or a poll of or an order to an
    /// endpoint, is aborted, in milliseconds, 100 to 60000.
    #[arg(
        long,
        env = "WISTERIAFORD_SILENCE_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 5_000,
        allow_negative_numbers = true,
        value_parser = clap::value_parser!(u64).range(100..=60_000)
    )]
    pub(crate) silence_timeout_ms: u64,

    /// Maximum time for which a graceful shutdown waits for requests in progress, in milliseconds,
    /// 0 to 3600000.
    #[arg(
        long,
        env = "WISTERIAFORD_SHUTDOWN_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 600_000,
        allow_negative_numbers = true,
        value_parser = clap::value_parser!(u64).range(0..=3_600_000)
    )]
    pub(crate) shutdown_timeout_ms: u64,

    /// Least severe level to log.
    #[arg(
        long,
        env = "WISTERIAFORD_LOG_LEVEL",
        value_name = "LEVEL",
        default_value = "info",
        ignore_case = true,
        value_parser = log_level_parser()
    )]
    pub(crate) log_level: LevelFilter,
}

/// Why the settings could not be read.
#[derive(Debug, Display, Error)]
pub enum UsageError {
    /// Help or the version was requested.
    #[display("{text}")]
    HelpRequested {
        /// Text to print.
        text: String,
    },
    /// A setting is missing, or malformed on the command line.
    #[display("{message}")]
    CommandLine {
        /// What is wrong, in one line.
        message: String,
    },
    /// A setting in an environment variable is malformed.
    #[display("environment variable {variable}: {message}")]
    Environment {
        /// Name of the variable.
        variable: String,
        /// What is wrong, in one line.
        message: String,
    },
}

impl UsageError {
    /// Converts an error of parsing `arguments` and the environment.
    fn new(error: &clap::Error, arguments: &[OsString]) -> Self {
        let text = error.render().to_string();
        if matches!(
            error.kind(),
            ErrorKind::DisplayHelp | ErrorKind::DisplayVersion
        ) {
            return Self::HelpRequested { text };
        }
        let message = first_paragraph(&text);
        match offending_variable(error, arguments) {
            Some(variable) => Self::Environment { variable, message },
            None => Self::CommandLine { message },
        }
    }
}

/// Why a setting is invalid.
#[derive(Debug, Display, Error)]
pub enum SettingError {
    /// A name is malformed.
    #[display("--{flag}: {error}")]
    Name {
        /// Flag that sets it.
        flag: &'static str,
        /// What is wrong with it.
        error: IdError,
    },
    /// Both sockets would listen on the same address.
    #[display("--peer-listen: {address} is already used by --listen")]
    SameAddress {
        /// Address in question.
        #[error(not(source))]
        address: SocketAddr,
    },
    /// An address has port 0, which cannot be connected to.
    #[display("--{flag}: {address} has port 0, use a port from 1 to 65535")]
    NoPort {
        /// Flag that sets it.
        flag: &'static str,
        /// Address in question.
        address: SocketAddr,
    },
    /// A service of the platform has an address of this instance.
    #[display("--{flag}: {address} is an address that this instance listens on")]
    OwnAddress {
        /// Flag that sets it.
        flag: &'static str,
        /// Address in question.
        address: SocketAddr,
    },
    /// The address for peers is a wildcard address, which peers cannot connect to.
    #[display("--peer-listen: {address} is a wildcard address, use one that peers can reach")]
    UnspecifiedAddress {
        /// Address in question.
        #[error(not(source))]
        address: SocketAddr,
    },
    /// The instance is listed as its own peer.
    #[display("--peers: {address} is the --peer-listen address of this instance")]
    OwnPeer {
        /// Address in question.
        #[error(not(source))]
        address: SocketAddr,
    },
    /// The default timeout is shorter than the silence timeout.
    #[display(
        "--default-timeout-ms: {default_timeout_ms} is shorter than --silence-timeout-ms \
         {silence_timeout_ms}"
    )]
    TimeoutBelowSilence {
        /// Default timeout of a generation, in milliseconds.
        default_timeout_ms: u64,
        /// Silence timeout, in milliseconds.
        silence_timeout_ms: u64,
    },
}

impl Arguments {
    /// Reads the settings of this process.
    ///
    /// # Errors
    ///
    /// Returns an error that says in one line what is missing or malformed, or one with the text to
    /// print if help or the version was requested.
    pub fn from_process() -> Result<Self, UsageError> {
        let arguments: Vec<OsString> = std::env::args_os().collect();
        Self::try_parse_from(&arguments).map_err(|error| UsageError::new(&error, &arguments))
    }

    /// Checks names and ports, and settings that depend on each other.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid setting.
    pub fn check(&self) -> Result<(), SettingError> {
        self.check_names()?;
        self.check_ports()?;
        let address = self.peer_listen;
        if accepts_connections_to(self.listen, address) {
            return Err(SettingError::SameAddress { address });
        }
        if is_unspecified(address.ip()) {
            return Err(SettingError::UnspecifiedAddress { address });
        }
        if let Some(&address) = self.peers.iter().find(|&&peer| peer == self.peer_listen) {
            return Err(SettingError::OwnPeer { address });
        }
        self.check_platform_addresses()?;
        if self.default_timeout_ms < self.silence_timeout_ms {
            return Err(SettingError::TimeoutBelowSilence {
                default_timeout_ms: self.default_timeout_ms,
                silence_timeout_ms: self.silence_timeout_ms,
            });
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), SettingError> {
        let invalid_name = |flag, error| SettingError::Name { flag, error };
        self.instance_id
            .parse::<InstanceId>()
            .map_err(|error| invalid_name("instance-id", error))?;
        self.availability_zone
            .parse::<AvailabilityZone>()
            .map_err(|error| invalid_name("availability-zone", error))?;
        self.region
            .parse::<Region>()
            .map_err(|error| invalid_name("region", error))?;
        Ok(())
    }

    fn check_ports(&self) -> Result<(), SettingError> {
        let own = [("listen", self.listen), ("peer-listen", self.peer_listen)];
        let peers = self.peers.iter().map(|&peer| ("peers", peer));
        let mut addresses = own
            .into_iter()
            .chain(self.platform_addresses())
            .chain(peers);
        match addresses.find(|(_, address)| address.port() == 0) {
            Some((flag, address)) => Err(SettingError::NoPort { flag, address }),
            None => Ok(()),
        }
    }

    fn check_platform_addresses(&self) -> Result<(), SettingError> {
        let is_own =
            |address| accepts_connections_to(self.listen, address) || address == self.peer_listen;
        match self
            .platform_addresses()
            .find(|&(_, address)| is_own(address))
        {
            Some((flag, address)) => Err(SettingError::OwnAddress { flag, address }),
            None => Ok(()),
        }
    }

    /// Returns the addresses of the platform's services with the flags that set them.
    fn platform_addresses(&self) -> impl Iterator<Item = (&'static str, SocketAddr)> {
        let required = [
            ("log-address", self.log_address),
            ("weight-store-address", self.weight_store_address),
        ];
        let list = self.instance_list_address;
        let list = list.map(|address| ("instance-list-address", address));
        required.into_iter().chain(list)
    }

    /// Returns the time without an answer after which a call is aborted.
    pub(crate) fn silence_timeout(&self) -> Duration {
        Duration::from_millis(self.silence_timeout_ms)
    }

    /// Returns the address for peers as text.
    pub(crate) fn peer_address(&self) -> CompactString {
        CompactString::from(self.peer_listen.to_string())
    }
}

fn is_unspecified(ip: IpAddr) -> bool {
    ip.is_unspecified()
}

fn log_level_parser() -> impl TypedValueParser<Value = LevelFilter> {
    PossibleValuesParser::new(LOG_LEVELS).try_map(|name| name.parse::<LevelFilter>())
}

/// Returns whether a socket that listens on `listen` accepts connections to `address`.
fn accepts_connections_to(listen: SocketAddr, address: SocketAddr) -> bool {
    let same_ip = listen.ip() == address.ip() || is_unspecified(listen.ip());
    same_ip && listen.port() == address.port()
}

/// Returns the first paragraph of a message as one line, without the `error:` prefix.
fn first_paragraph(text: &str) -> String {
    let lines = text.lines().map(str::trim);
    let lines: Vec<_> = lines.take_while(|line| !line.is_empty()).collect();
    let line = lines.join(" ");
    line.strip_prefix("error: ").unwrap_or(&line).to_owned()
}

/// Returns the environment variable that caused an error, if the setting came from one.
fn offending_variable(error: &clap::Error, arguments: &[OsString]) -> Option<String> {
    let command = Arguments::command();
    let mut settings = command.get_arguments();
    if error.kind() == ErrorKind::InvalidUtf8 {
        let variables = settings.filter_map(clap::Arg::get_env);
        return variables
            .filter(|name| std::env::var_os(name).is_some_and(|value| value.to_str().is_none()))
            .map(|name| name.to_string_lossy().into_owned())
            .next();
    }
    let Some(ContextValue::String(invalid_argument)) = error.get(ContextKind::InvalidArg) else {
        return None;
    };
    let flag = invalid_argument.split_whitespace().next()?;
    let is_given = |argument: &OsString| {
        let argument = argument.to_string_lossy();
        argument == flag || argument.starts_with(&format!("{flag}="))
    };
    if arguments.iter().any(is_given) {
        return None;
    }
    let setting = settings.find(|arg| arg.get_long() == flag.strip_prefix("--"))?;
    let name = setting.get_env()?;
    std::env::var_os(name)?;
    Some(name.to_string_lossy().into_owned())
}
