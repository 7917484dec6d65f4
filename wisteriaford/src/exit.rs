//! How the tool ends.

use std::io;
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
pub enum Exit {
    /// Done.
    Done = 0,
    /// Failed, for a reason that the output gives.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A publication was rejected for its content.
    Rejected = 3,
    /// A publication lost a race.
    LostRace = 4,
    /// The log or a daemon did not answer, or an outcome is unknown.
    Unanswered = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Why a command has no result.
#[derive(Debug, Display, Error, From)]
pub enum ToolError {
    /// The command needs the address of the log.
    #[display("this command needs --log-address or WISTERIAFORD_LOG_ADDRESS")]
    #[from(skip)]
    NoLogAddress,
    /// The command needs the address of a daemon.
    #[display("this command needs --daemon or WISTERIAFORD_DAEMON")]
    #[from(skip)]
    NoDaemon,
    /// No configuration is in force.
    #[display("no configuration is in force")]
    #[from(skip)]
    NothingInForce,
    /// A file cannot be read.
    #[display("{_0}")]
    File(FileError),
    /// A publication has no known fate.
    #[display("{_0}")]
    Publish(PublishError),
    /// The log cannot be read.
    #[display("{_0}")]
    Log(ReadError),
    /// A daemon gave no answer that helps.
    #[display("{_0}")]
    Client(ClientError),
    /// Steps cannot be run.
    #[display("{_0}")]
    Rollout(RolloutError),
    /// Output cannot be written.
    #[display("cannot write: {_0}")]
    Write(io::Error),
}

impl ToolError {
    /// Returns the exit code.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::NoLogAddress | Self::NoDaemon => Exit::Usage,
            Self::NothingInForce | Self::File(_) | Self::Write(_) => Exit::Failed,
            Self::Log(_) => Exit::Unanswered,
            Self::Publish(error) => publish_exit(error),
            Self::Client(error) => client_exit(error),
            Self::Rollout(error) => rollout_exit(error),
        }
    }

    /// Returns a stable code for programs.
    #[must_use]
    pub fn code(&self) -> &str {
        match self {
            Self::NoLogAddress => "no_log_address",
            Self::NoDaemon => "no_daemon",
            Self::NothingInForce => "nothing_in_force",
            Self::File(_) => "file_unreadable",
            Self::Publish(error) => publish_code(error),
            Self::Log(_) => "log_unreachable",
            Self::Client(error) => error.code().unwrap_or("daemon_unreachable"),
            Self::Rollout(RolloutError::UnknownPool { .. }) => "pool_unknown",
            Self::Rollout(RolloutError::UnknownVersion { .. }) => "version_unknown",
            Self::Rollout(RolloutError::BadStep { .. }) => "bad_step",
            Self::Rollout(RolloutError::Unanswered { .. }) => "daemon_unreachable",
            Self::Write(_) => "write_failed",
        }
    }
}

fn publish_exit(error: &PublishError) -> Exit {
    match error {
        PublishError::NoBasis | PublishError::NothingLost => Exit::Failed,
        PublishError::Unread { .. }
        | PublishError::NotAppended { .. }
        | PublishError::OutcomeUnknown { .. } => Exit::Unanswered,
    }
}

fn publish_code(error: &PublishError) -> &'static str {
    match error {
        PublishError::Unread { .. } => "log_unreachable",
        PublishError::NoBasis => "no_basis",
        PublishError::NothingLost => "nothing_lost",
        PublishError::NotAppended { .. } => "not_appended",
        PublishError::OutcomeUnknown { .. } => "outcome_unknown",
    }
}

fn client_exit(error: &ClientError) -> Exit {
    match error {
        ClientError::Refused { .. } => Exit::Failed,
        ClientError::NoAddress | ClientError::BadRequest { .. } => Exit::Usage,
        ClientError::Transport { .. } | ClientError::BadAnswer { .. } => Exit::Unanswered,
    }
}

fn rollout_exit(error: &RolloutError) -> Exit {
    match error {
        RolloutError::UnknownPool { .. } => Exit::Failed,
        RolloutError::UnknownVersion { .. } => Exit::Unanswered,
        RolloutError::BadStep { .. } => Exit::Usage,
        RolloutError::Unanswered { source } => client_exit(source),
    }
}
