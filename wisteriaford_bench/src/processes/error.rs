//! Errors of starting and reaching processes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use wisteriaford_client::client::ClientError;
use wisteriaford_client::transport::TransportError;

/// Result of an operation on a process.
pub type Result<T> = std::result::Result<T, ProcessError>;

/// Why a process cannot be started or reached.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// A program of the workspace has not been built.
    #[from(ignore)]
    #[display("no program at {}; build it with `cargo build --workspace`", path.display())]
    ProgramNotFound {
        /// Path that was checked.
        path: PathBuf,
    },
    /// The operating system failed to start a process, signal it or wait for it.
    #[from(ignore)]
    #[display("process {name}: {source}")]
    System {
        /// Name of the process.
        name: String,
        /// Underlying error.
        source: io::Error,
    },
    /// A process exited before it was ready.
    #[from(ignore)]
    #[display("process {name} did not start: {output}")]
    NotStarted {
        /// Name of the process.
        name: String,
        /// Output of the process.
        output: String,
    },
    /// No unused port was found.
    #[display("no free port from 10000 to 32000")]
    #[from(ignore)]
    NoFreePort,
    /// A condition was not met in time.
    #[from(ignore)]
    #[display("timed out waiting for {condition} after {} s", waited.as_secs())]
    Timeout {
        /// Condition that was waited for.
        condition: String,
        /// Time waited.
        waited: Duration,
    },
    /// A file cannot be written.
    #[from(ignore)]
    #[display("{}: {source}", path.display())]
    File {
        /// File.
        path: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// A configuration cannot be serialized to TOML.
    Toml(toml::ser::Error),
    /// A process does not answer.
    Transport(TransportError),
    /// A daemon returned an error or an invalid answer.
    Client(ClientError),
    /// A stand-in answered with an error status.
    #[from(ignore)]
    #[display("{address} answered {path} with {status}: {body}")]
    ErrorStatus {
        /// Address of the stand-in.
        address: SocketAddr,
        /// Path of the request.
        path: String,
        /// HTTP status.
        status: u16,
        /// Body.
        body: String,
    },
    /// An answer is not valid JSON, or lacks a field.
    Json(serde_json::Error),
}
