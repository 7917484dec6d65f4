//! Failures to start and reach processes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use wisteriaford_client::client::ClientError;
use wisteriaford_client::transport::TransportError;

/// Result of working with processes.
pub type Result<T> = std::result::Result<T, ProcessError>;

/// Why a process cannot be started or reached.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// A program of the workspace is not built.
    #[from(ignore)]
    #[display("there is no program at {}; build it with `cargo build --workspace`", path.display())]
    NoProgram {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// The system does not start the process, signal it or wait for it.
    #[from(ignore)]
    #[display("process {name}: {source}")]
    System {
        /// Process.
        name: String,
        /// Cause.
        source: io::Error,
    },
    /// A process ended before it was ready, or said something else than where it listens.
    #[from(ignore)]
    #[display("process {name} did not start: {output}")]
    NotStarted {
        /// Process.
        name: String,
        /// What it wrote.
        output: String,
    },
    /// No port is free.
    #[display("no port is free from 10000 to 32000")]
    #[from(ignore)]
    NoPort,
    /// Something did not come about in time.
    #[from(ignore)]
    #[display("{what} did not come about within {} s", waited.as_secs())]
    NotInTime {
        /// What was waited for.
        what: String,
        /// How long.
        waited: Duration,
    },
    /// A file cannot be written.
    #[from(ignore)]
    #[display("{}: {source}", path.display())]
    File {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A configuration cannot be written as TOML.
    Toml(toml::ser::Error),
    /// A process does not answer.
    Transport(TransportError),
    /// A daemon does not answer as it should.
    Client(ClientError),
    /// A stand-in refuses a request.
    #[from(ignore)]
    #[display("{address} answered {path} with {status}: {body}")]
    Refused {
        /// Stand-in.
        address: SocketAddr,
        /// Path of the request.
        path: String,
        /// HTTP status.
        status: u16,
        /// Body.
        body: String,
    },
    /// An answer is not JSON, or lacks a field.
    Json(serde_json::Error),
}
