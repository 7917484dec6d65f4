//! Settings of the daemon, by flag and environment variable.

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

const EXIT_CODES: &str = "Exit codes: 0 after a graceful shutdown, 1 when a socket cannot be \
    opened, 2 when a setting is wrong.";

const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Daemon of the wisteriaford rollout service.
///
/// Stands between callers and endpoints. What it serves is decided by the configuration that
/// operators publish to the log; these settings only say who this instance is and where the
/// platform's services are.
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

    /// IP number and port for callers, health checks and metrics; port 1 to 65535.
    #[arg(
        long,
        env = "WISTERIAFORD_LISTEN",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:7400"
    )]
    pub(crate) listen: SocketAddr,

    /// IP number and port for the other instances; must be one that they can reach; port 1 to
    /// 65535.
    #[arg(
        long,
        env = "WISTERIAFORD_PEER_LISTEN",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:7401"
    )]
    pub(crate) peer_listen: SocketAddr,

    /// Peer addresses of some other instances, separated by commas: IP number and port 1 to
    /// 65535 of each. Optional; an instance without any starts a fleet of its own, unless the
    /// platform lists others.
    #[arg(
        long,
        env = "WISTERIAFORD_PEERS",
        value_name = "IP:PORT,…",
        value_delimiter = ','
    )]
    pub(crate) peers: Vec<SocketAddr>,

    /// IP number and port of the platform's log; port 1 to 65535. Required.
    #[arg(long, env = "WISTERIAFORD_LOG_ADDRESS", value_name = "IP:PORT")]
    pub(crate) log_address: SocketAddr,

    /// IP number and port of the weight store; port 1 to 65535. Required.
    #[arg(
        long,
        env = "WISTERIAFORD_WEIGHT_STORE_ADDRESS",
        value_name = "IP:PORT"
    )]
    pub(crate) weight_store_address: SocketAddr,

    /// IP number and port of the platform's list of instances; port 1 to 65535. Optional;
    /// without it the fleet knows its members by gossip alone.
    #[arg(
        long,
        env = "WISTERIAFORD_INSTANCE_LIST_ADDRESS",
        value_name = "IP:PORT"
    )]
    pub(crate) instance_list_address: Option<SocketAddr>,

    /// Connections of callers served at once, 1 to 65536.
    #[arg(
        long,
        env = "WISTERIAFORD_MAX_CONNECTIONS",
        value_name = "NUMBER",
        default_value_t = 2048,
        allow_negative_numbers = true,
        value_parser = clap::value_parser!(u32).range(1..=65_536)
    )]
    pub(crate) max_connections: u32,

    /// Longest body that a caller may send, in bytes, 1024 to 268435456.
    #[arg(
        long,
        env = "WISTERIAFORD_MAX_BODY_BYTES",
        value_name = "BYTES",
        default_value_t = 16_777_216,
        allow_negative_numbers = true,
        value_parser = clap::value_parser!(u64).range(1_024..=268_435_456)
    )]
    pub(crate) max_body_bytes: u64,

    /// Time that a generation has if its caller names none, in milliseconds, 100 to 3600000; not
    /// less than the silence timeout.
    #[arg(
        long,
        env = "WISTERIAFORD_DEFAULT_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 60_000,
        allow_negative_numbers = true,
        value_parser = clap::value_parser!(u64).range(100..=3_600_000)
    )]
    pub(crate) default_timeout_ms: u64,

    /// Longest silence of the platform, or of an endpoint that is polled or given an order, before
    /// the call is given up, in milliseconds, 100 to 60000.
    #[arg(
        long,
        env = "WISTERIAFORD_SILENCE_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 5_000,
        allow_negative_numbers = true,
        value_parser = clap::value_parser!(u64).range(100..=60_000)
    )]
    pub(crate) silence_timeout_ms: u64,

    /// Longest time that a graceful shutdown waits for requests in progress, in milliseconds, 0
    /// to 3600000.
    #[arg(
        long,
        env = "WISTERIAFORD_SHUTDOWN_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 600_000,
        allow_negative_numbers = true,
        value_parser = clap::value_parser!(u64).range(0..=3_600_000)
    )]
    pub(crate) shutdown_timeout_ms: u64,

    /// Least severe level of the lines logged.
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

/// Why there are no settings to start with.
#[derive(Debug, Display, Error)]
pub enum UsageError {
    /// Help or the version was asked for.
    #[display("{text}")]
    Asked {
        /// What was asked for.
        text: String,
    },
    /// A setting of the command line is missing or malformed.
    #[display("{message}")]
    CommandLine {
        /// What is wrong, in one line.
        message: String,
    },
    /// A setting of the environment is malformed.
    #[display("environment variable {variable}: {message}")]
    Environment {
        /// Environment variable that holds it.
        variable: String,
        /// What is wrong, in one line.
        message: String,
    },
}

impl UsageError {
    /// Returns the error of settings that were read from `words` and the environment.
    fn new(error: &clap::Error, words: &[OsString]) -> Self {
        let text = error.render().to_string();
        if matches!(
            error.kind(),
            ErrorKind::DisplayHelp | ErrorKind::DisplayVersion
        ) {
            return Self::Asked { text };
        }
        let message = first_paragraph(&text);
        match variable_at_fault(error, words) {
            Some(variable) => Self::Environment { variable, message },
            None => Self::CommandLine { message },
        }
    }
}

/// Why the settings cannot be meant.
#[derive(Debug, Display, Error)]
pub enum SettingError {
    /// A name is malformed.
    #[display("--{flag}: {error}")]
    Name {
        /// Flag that holds it.
        flag: &'static str,
        /// What is wrong with it.
        error: IdError,
    },
    /// Two sockets would listen at one address.
    #[display("--peer-listen: {address} is the address of --listen already")]
    SameAddress {
        /// Address.
        #[error(not(source))]
        address: SocketAddr,
    },
    /// Nothing can be connected to at port 0.
    #[display("--{flag}: {address} has port 0, name one from 1 to 65535")]
    NoPort {
        /// Flag that holds it.
        flag: &'static str,
        /// Address.
        address: SocketAddr,
    },
    /// A service of the platform is said to be this instance itself.
    #[display("--{flag}: {address} is an address that this instance listens at")]
    OwnAddress {
        /// Flag that holds it.
        flag: &'static str,
        /// Address.
        address: SocketAddr,
    },
    /// Others cannot reach an address that stands for every interface.
    #[display("--peer-listen: {address} stands for every interface, name one that peers can reach")]
    UnspecifiedAddress {
        /// Address.
        #[error(not(source))]
        address: SocketAddr,
    },
    /// The instance is its own peer.
    #[display("--peers: {address} is this instance's own --peer-listen")]
    OwnPeer {
        /// Address.
        #[error(not(source))]
        address: SocketAddr,
    },
    /// The default time is shorter than the silence that is waited for.
    #[display(
        "--default-timeout-ms: {default_timeout_ms} is shorter than --silence-timeout-ms \
         {silence_timeout_ms}"
    )]
    TimeoutBelowSilence {
        /// Default time of a generation.
        default_timeout_ms: u64,
        /// Longest silence.
        silence_timeout_ms: u64,
    },
}

impl Arguments {
    /// Reads the settings of this process.
    ///
    /// # Errors
    ///
    /// Says in one line what is missing or malformed; asking for help ends here as well.
    pub fn of_process() -> Result<Self, UsageError> {
        let words: Vec<OsString> = std::env::args_os().collect();
        Self::try_parse_from(&words).map_err(|error| UsageError::new(&error, &words))
    }

    /// Checks what a single flag cannot check alone.
    ///
    /// # Errors
    ///
    /// Names the first setting that cannot be meant.
    pub fn check(&self) -> Result<(), SettingError> {
        self.check_names()?;
        self.check_ports()?;
        let address = self.peer_listen;
        if covers(self.listen, address) {
            return Err(SettingError::SameAddress { address });
        }
        if is_unspecified(address.ip()) {
            return Err(SettingError::UnspecifiedAddress { address });
        }
        if let Some(&address) = self.peers.iter().find(|&&peer| peer == self.peer_listen) {
            return Err(SettingError::OwnPeer { address });
        }
        self.check_platform()?;
        if self.default_timeout_ms < self.silence_timeout_ms {
            return Err(SettingError::TimeoutBelowSilence {
                default_timeout_ms: self.default_timeout_ms,
                silence_timeout_ms: self.silence_timeout_ms,
            });
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), SettingError> {
        let named = |flag, error| SettingError::Name { flag, error };
        self.instance_id
            .parse::<InstanceId>()
            .map_err(|error| named("instance-id", error))?;
        self.availability_zone
            .parse::<AvailabilityZone>()
            .map_err(|error| named("availability-zone", error))?;
        self.region
            .parse::<Region>()
            .map_err(|error| named("region", error))?;
        Ok(())
    }

    fn check_ports(&self) -> Result<(), SettingError> {
        let own = [("listen", self.listen), ("peer-listen", self.peer_listen)];
        let peers = self.peers.iter().map(|&peer| ("peers", peer));
        let mut addresses = own.into_iter().chain(self.platform()).chain(peers);
        match addresses.find(|(_, address)| address.port() == 0) {
            Some((flag, address)) => Err(SettingError::NoPort { flag, address }),
            None => Ok(()),
        }
    }

    fn check_platform(&self) -> Result<(), SettingError> {
        let is_own = |address| covers(self.listen, address) || address == self.peer_listen;
        match self.platform().find(|&(_, address)| is_own(address)) {
            Some((flag, address)) => Err(SettingError::OwnAddress { flag, address }),
            None => Ok(()),
        }
    }

    /// Returns the addresses of the platform's services, with the flags that hold them.
    fn platform(&self) -> impl Iterator<Item = (&'static str, SocketAddr)> {
        let required = [
            ("log-address", self.log_address),
            ("weight-store-address", self.weight_store_address),
        ];
        let list = self.instance_list_address;
        let list = list.map(|address| ("instance-list-address", address));
        required.into_iter().chain(list)
    }

    /// Returns the longest silence before a call is given up.
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

/// Returns whether a socket that listens at `listen` is reached at `address`.
fn covers(listen: SocketAddr, address: SocketAddr) -> bool {
    let same_ip = listen.ip() == address.ip() || is_unspecified(listen.ip());
    same_ip && listen.port() == address.port()
}

/// Returns the first paragraph of a message as one line, without its label.
fn first_paragraph(text: &str) -> String {
    let lines = text.lines().map(str::trim);
    let lines: Vec<_> = lines.take_while(|line| !line.is_empty()).collect();
    let line = lines.join(" ");
    line.strip_prefix("error: ").unwrap_or(&line).to_owned()
}

/// Returns the environment variable that an error is about, if the setting came from there.
fn variable_at_fault(error: &clap::Error, words: &[OsString]) -> Option<String> {
    let command = Arguments::command();
    let mut settings = command.get_arguments();
    if error.kind() == ErrorKind::InvalidUtf8 {
        let variables = settings.filter_map(clap::Arg::get_env);
        return variables
            .filter(|name| std::env::var_os(name).is_some_and(|value| value.to_str().is_none()))
            .map(|name| name.to_string_lossy().into_owned())
            .next();
    }
    let Some(ContextValue::String(named)) = error.get(ContextKind::InvalidArg) else {
        return None;
    };
    let flag = named.split_whitespace().next()?;
    let is_given = |word: &OsString| {
        let word = word.to_string_lossy();
        word == flag || word.starts_with(&format!("{flag}="))
    };
    if words.iter().any(is_given) {
        return None;
    }
    let setting = settings.find(|arg| arg.get_long() == flag.strip_prefix("--"))?;
    let name = setting.get_env()?;
    std::env::var_os(name)?;
    Some(name.to_string_lossy().into_owned())
}
