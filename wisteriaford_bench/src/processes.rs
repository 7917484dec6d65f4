//! Runs daemons, stand-ins and the command-line tool as processes on this machine.

pub mod daemon;
pub mod error;
pub mod fleet;
pub mod http;
pub mod process;
pub mod standin;
pub mod tool;
pub mod wait;

pub use daemon::Daemon;
pub use daemon::DaemonOptions;
pub use error::ProcessError;
pub use error::Result;
pub use fleet::Fleet;
pub use fleet::FleetOptions;
pub use process::Process;
pub use process::Signal;
pub use standin::StandinProcess;
pub use tool::Tool;
pub use tool::ToolOutput;
pub use wait::wait_until;
