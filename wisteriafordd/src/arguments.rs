//! Settings of the daemon, by flag and environment variable.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
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

/// Daemon of the wisteriaford rollout service.
///
/// Stands between callers and endpoints. What it serves is decided by the configuration that
/// operators publish to the log; these settings only say who this instance is and where the
/// platform's services are.
#[derive(Clone, Debug, Parser)]
#[command(name = "wisteriafordd", version, after_help = EXIT_CODES)]
pub(crate) struct Arguments {
    /// Unique name of this instance: 1 to 128 letters, digits or any of `-_.:/`.
    #[arg(long, env = "WISTERIAFORD_INSTANCE_ID", value_name = "NAME")]
    pub(crate) instance_id: String,

    /// Availability zone that this instance runs in.
    #[arg(long, env = "WISTERIAFORD_AVAILABILITY_ZONE", value_name = "NAME")]
    pub(crate) availability_zone: String,

    /// Region that this instance runs in.
    #[arg(
        long,
        env = "WISTERIAFORD_REGION",
        value_name = "NAME",
        default_value = "default"
    )]
    pub(crate) region: String,

    /// IP number and port for callers, health checks and metrics.
    #[arg(
        long,
        env = "WISTERIAFORD_LISTEN",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:7400"
    )]
    pub(crate) listen: SocketAddr,

    /// IP number and port for the other instances; must be one that they can reach.
    #[arg(
        long,
        env = "WISTERIAFORD_PEER_LISTEN",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:7401"
    )]
    pub(crate) peer_listen: SocketAddr,

    /// Peer addresses of some other instances, separated by commas.
    #[arg(
        long,
        env = "WISTERIAFORD_PEERS",
        value_name = "IP:PORT,…",
        value_delimiter = ','
    )]
    pub(crate) peers: Vec<SocketAddr>,

    /// IP number and port of the platform's log.
    #[arg(long, env = "WISTERIAFORD_LOG_ADDRESS", value_name = "IP:PORT")]
    pub(crate) log_address: SocketAddr,

    /// IP number and port of the weight store.
    #[arg(
        long,
        env = "WISTERIAFORD_WEIGHT_STORE_ADDRESS",
        value_name = "IP:PORT"
    )]
    pub(crate) weight_store_address: SocketAddr,

    /// IP number and port of the platform's list of instances.
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
        value_parser = clap::value_parser!(u32).range(1..=65_536)
    )]
    pub(crate) max_connections: u32,

    /// Longest body that a caller may send, in bytes, 1024 to 268435456.
    #[arg(
        long,
        env = "WISTERIAFORD_MAX_BODY_BYTES",
        value_name = "BYTES",
        default_value_t = 16_777_216,
        value_parser = clap::value_parser!(u64).range(1_024..=268_435_456)
    )]
    pub(crate) max_body_bytes: u64,

    /// Time that a generation has if its caller names none, in milliseconds, 100 to 3600000.
    #[arg(
        long,
        env = "WISTERIAFORD_DEFAULT_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 60_000,
        value_parser = clap::value_parser!(u64).range(100..=3_600_000)
    )]
    pub(crate) default_timeout_ms: u64,

    /// Longest silence of an endpoint or of the platform before a call is given up, in
    /// milliseconds, 100 to 60000.
    #[arg(
        long,
        env = "WISTERIAFORD_SILENCE_TIMEOUT_MS",
        value_name = "MS",
        default_value_t = 5_000,
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
        value_parser = clap::value_parser!(u64).range(0..=3_600_000)
    )]
    pub(crate) shutdown_timeout_ms: u64,

    /// Least severe level of the lines logged: off, error, warn, info, debug or trace.
    #[arg(
        long,
        env = "WISTERIAFORD_LOG_LEVEL",
        value_name = "LEVEL",
        default_value = "info"
    )]
    pub(crate) log_level: LevelFilter,
}

/// Why the settings cannot be meant.
#[derive(Debug, Display, Error)]
pub(crate) enum SettingError {
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
    /// Checks what a single flag cannot check alone.
    pub(crate) fn check(&self) -> Result<(), SettingError> {
        self.check_names()?;
        let address = self.peer_listen;
        if address == self.listen && address.port() != 0 {
            return Err(SettingError::SameAddress { address });
        }
        if is_unspecified(address.ip()) {
            return Err(SettingError::UnspecifiedAddress { address });
        }
        if let Some(&address) = self.peers.iter().find(|&&peer| peer == self.peer_listen) {
            return Err(SettingError::OwnPeer { address });
        }
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
