//! Errors and exit codes of the tool.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use wisteriaford_client::client::ClientError;
use wisteriaford_client::log::ReadError;

use crate::configuration_file::FileError;
use crate::publish::PublishError;
use crate::rollout::RolloutError;

/// Exit code of the tool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command failed for the reason printed in its output.
    Failure = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The content of a publication was rejected.
    Rejected = 3,
    /// A publication lost a race against another one.
    LostRace = 4,
    /// The log or a daemon did not respond, or the outcome of a publication is unknown.
    Unavailable = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// Error that prevents a command from producing a result.
#[derive(Debug, Display, Error, From)]
pub enum ToolError {
    /// The address of the log is not set.
    #[display("this command requires --log-address or WISTERIAFORD_LOG_ADDRESS")]
    #[from(skip)]
    NoLogAddress,
    /// No daemon address is set.
    #[display("this command requires --daemon or WISTERIAFORD_DAEMON")]
    #[from(skip)]
    NoDaemon,
    /// A daemon doesn't answer questions about placement.
    #[display(
        "{address} doesn't tell where requests would go: it may run an older build, or the address may not \
         be that of its metrics port"
    )]
    #[from(skip)]
    NoPlacement {
        /// Address of the daemon.
        address: SocketAddr,
    },
    /// No configuration is in force.
    #[display("no configuration is in force")]
    #[from(skip)]
    NothingInForce,
    /// A configuration file cannot be read.
    #[display("{_0}")]
    File(FileError),
    /// Publishing failed, or its outcome is unknown.
    #[display("{_0}")]
    Publish(PublishError),
    /// The log cannot be read.
    #[display("{_0}")]
    Log(ReadError),
    /// A request to the daemons failed.
    #[display("{_0}")]
    Client(ClientError),
    /// The training steps cannot be run.
    #[display("{_0}")]
    Rollout(RolloutError),
    /// The output cannot be written.
    #[display("cannot write output: {_0}")]
    Write(io::Error),
}

impl ToolError {
    /// Returns the exit status for this error.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::NoLogAddress | Self::NoDaemon => ExitStatus::Usage,
            Self::NothingInForce | Self::File(_) | Self::Write(_) => ExitStatus::Failure,
            Self::Log(_) | Self::NoPlacement { .. } => ExitStatus::Unavailable,
            Self::Publish(error) => publish_exit_status(error),
            Self::Client(error) => client_exit_status(error),
            Self::Rollout(error) => rollout_exit_status(error),
        }
    }

    /// Returns a stable, machine-readable error code.
    #[must_use]
    pub fn code(&self) -> &str {
        match self {
            Self::NoLogAddress => "no_log_address",
            Self::NoDaemon => "no_daemon",
            Self::NothingInForce => "nothing_in_force",
            Self::NoPlacement { .. } => "placement_unknown",
            Self::File(_) => "file_unreadable",
            Self::Publish(error) => publish_code(error),
            Self::Log(_) => "log_unreachable",
            Self::Client(error) => error.code().unwrap_or("daemon_unreachable"),
            Self::Rollout(RolloutError::UnknownPool { .. }) => "pool_unknown",
            Self::Rollout(RolloutError::UnknownVersion { .. }) => "version_unknown",
            Self::Rollout(RolloutError::InvalidStep { .. }) => "bad_step",
            Self::Rollout(RolloutError::ConfigurationUnavailable { .. }) => "daemon_unreachable",
            Self::Write(_) => "write_failed",
        }
    }
}

fn publish_exit_status(error: &PublishError) -> ExitStatus {
    match error {
        PublishError::NoBasis | PublishError::RestoreNotNeeded => ExitStatus::Failure,
        PublishError::LogUnreadable { .. }
        | PublishError::NotAppended { .. }
        | PublishError::OutcomeUnknown { .. } => ExitStatus::Unavailable,
    }
}

fn publish_code(error: &PublishError) -> &'static str {
    match error {
        PublishError::LogUnreadable { .. } => "log_unreachable",
        PublishError::NoBasis => "no_basis",
        PublishError::RestoreNotNeeded => "nothing_lost",
        PublishError::NotAppended { .. } => "not_appended",
        PublishError::OutcomeUnknown { .. } => "outcome_unknown",
    }
}

fn client_exit_status(error: &ClientError) -> ExitStatus {
    match error {
        ClientError::Refused { .. } => ExitStatus::Failure,
        ClientError::NoAddress | ClientError::BadRequest { .. } => ExitStatus::Usage,
        ClientError::Transport { .. } | ClientError::BadAnswer { .. } => ExitStatus::Unavailable,
    }
}

fn rollout_exit_status(error: &RolloutError) -> ExitStatus {
    match error {
        RolloutError::UnknownPool { .. } => ExitStatus::Failure,
        RolloutError::UnknownVersion { .. } => ExitStatus::Unavailable,
        RolloutError::InvalidStep { .. } => ExitStatus::Usage,
        RolloutError::ConfigurationUnavailable { source } => client_exit_status(source),
    }
}
