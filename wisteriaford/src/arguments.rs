//! Command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgAction;
use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;

/// What the exit codes mean, for `--help` and the man page.
const EXIT_CODES: &str = "\
Exit codes:
  0  done; a publication was accepted
  1  failed: the file has faults, nothing is in force, nothing is known of the request, or samples
     were missing, repeated, too old or unlabelled
  2  the command line is wrong
  3  a publication was rejected for its content
  4  a publication lost a race: another one is in force instead
  5  the log or a daemon did not answer, or the outcome of a publication is unknown";

/// Checks and publishes configurations, and shows what a fleet of wisteriaford daemons does.
///
/// A configuration is in force as a whole or not at all. It is published to the platform's log,
/// from which every daemon takes it; no command acts on a single daemon.
#[derive(Clone, Debug, Parser)]
#[command(name = "wisteriaford", version, after_help = EXIT_CODES, disable_help_subcommand = true)]
pub struct Arguments {
    /// Where to connect to, and how to print.
    #[command(flatten)]
    pub common: CommonArguments,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Arguments of every command.
#[derive(Args, Clone, Debug)]
pub struct CommonArguments {
    /// Form of the output.
    #[arg(
        long,
        global = true,
        value_enum,
        default_value_t,
        env = "WISTERIAFORD_OUTPUT"
    )]
    pub output: OutputFormat,

    /// IP number and port of the platform's log.
    #[arg(
        long,
        global = true,
        value_name = "ADDRESS",
        env = "WISTERIAFORD_LOG_ADDRESS"
    )]
    pub log_address: Option<SocketAddr>,

    /// IP number and port of a daemon's caller interface; repeated, or with commas between them.
    #[arg(
        long = "daemon",
        global = true,
        value_name = "ADDRESS",
        action = ArgAction::Append,
        value_delimiter = ',',
        env = "WISTERIAFORD_DAEMON"
    )]
    pub daemons: Vec<SocketAddr>,

    /// Longest time to connect and longest silence of a connection, in milliseconds, 100 to 600000.
    #[arg(
        long,
        global = true,
        value_name = "MS",
        default_value_t = 10_000,
        value_parser = clap::value_parser!(u64).range(100..=600_000),
        env = "WISTERIAFORD_TIMEOUT_MS"
    )]
    pub timeout_ms: u64,
}

impl CommonArguments {
    /// Returns the longest time to connect and the longest silence.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub enum OutputFormat {
    /// For people; errors go to the standard error output.
    #[default]
    Text,
    /// One JSON object on the standard output, errors too.
    Json,
}

/// What to do.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Check a configuration file and print every fault with its line and column.
    Check(CheckArguments),
    /// Publish a configuration file and wait until it is accepted or rejected.
    Publish(PublishArguments),
    /// Show the configuration in force, as TOML or JSON.
    Show(ShowArguments),
    /// Show the state of the daemons, their members and their endpoints.
    Status,
    /// Show what each caller was entitled to and received, summed over the daemons.
    Shares,
    /// Show what was decided about a request; the daemons are asked until one knows it.
    Explain(ExplainArguments),
    /// Run training steps as a reference trainer and print what came.
    Rollout(RolloutArguments),
    /// Write man pages and shell completions.
    #[command(hide = true)]
    Pages(PagesArguments),
}

/// Arguments of `check`.
#[derive(Args, Clone, Debug)]
pub struct CheckArguments {
    /// Configuration file.
    pub file: PathBuf,
}

/// Arguments of `publish`.
#[derive(Args, Clone, Debug)]
pub struct PublishArguments {
    /// Configuration file.
    pub file: PathBuf,

    /// Revision that the file was made from; another one in force rejects the publication.
    /// Default: the revision in force.
    #[arg(long, value_name = "REVISION")]
    pub base: Option<u64>,

    /// Who publishes, for people.
    #[arg(
        long,
        value_name = "NAME",
        default_value = "unknown",
        env = "WISTERIAFORD_AUTHOR"
    )]
    pub author: String,

    /// Longest time until the publication is accepted or rejected, in milliseconds, 100 to 3600000.
    #[arg(
        long,
        value_name = "MS",
        default_value_t = 30_000,
        value_parser = clap::value_parser!(u64).range(100..=3_600_000)
    )]
    pub wait_ms: u64,

    /// Publish although the log has lost every copy of the configuration in force.
    ///
    /// Refused while the log still holds one.
    #[arg(long, conflicts_with = "base")]
    pub restore: bool,
}

/// Arguments of `show`.
#[derive(Args, Clone, Debug)]
pub struct ShowArguments {
    /// Where to look.
    #[arg(long, value_enum, default_value_t)]
    pub source: Source,
}

/// Where the configuration in force is looked up.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub enum Source {
    /// The platform's log, by the same rule as the daemons.
    #[default]
    Log,
    /// The daemons; the highest revision is shown.
    Daemons,
}

/// Arguments of `explain`.
#[derive(Args, Clone, Debug)]
pub struct ExplainArguments {
    /// Request.
    #[arg(value_name = "REQUEST_ID")]
    pub request_id: String,
}

/// Arguments of `rollout`.
#[derive(Args, Clone, Debug)]
pub struct RolloutArguments {
    /// Caller that trains.
    #[arg(long, value_name = "CALLER")]
    pub trainer: String,

    /// Pool of model engines.
    #[arg(long, value_name = "POOL")]
    pub pool: String,

    /// Steps to run.
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub steps: u64,

    /// Number of the first step; the trainer must not have used it before. Default: the time in
    /// seconds since 1970.
    #[arg(long, value_name = "STEP")]
    pub first_step: Option<u64>,

    /// Groups of a step.
    #[arg(long, value_name = "N", default_value_t = 8)]
    pub groups: u32,

    /// Samples of a group.
    #[arg(long, value_name = "N", default_value_t = 4)]
    pub group_size: u32,

    /// Most tokens of a sample.
    #[arg(long, value_name = "TOKENS", default_value_t = 256)]
    pub max_tokens: u32,

    /// Prompt of each group; {step} and {group} stand for the numbers.
    #[arg(
        long,
        value_name = "TEXT",
        default_value = "Step {step}, group {group}:"
    )]
    pub prompt: String,

    /// Version of the weights that the trainer is at. Default: before each step, the highest that
    /// the daemons report for the pool.
    #[arg(long, value_name = "VERSION")]
    pub current_version: Option<u64>,

    /// Oldest weights that a sample may name, in versions behind the trainer's. Default: the bound
    /// of the pool in the configuration in force.
    #[arg(long, value_name = "VERSIONS")]
    pub staleness_bound: Option<u64>,

    /// Longest time that each pull waits for samples, in milliseconds, 0 to 60000.
    #[arg(
        long,
        value_name = "MS",
        default_value_t = 1_000,
        value_parser = clap::value_parser!(u64).range(0..=60_000)
    )]
    pub wait_ms: u64,

    /// Time that each step has, in milliseconds.
    #[arg(
        long,
        value_name = "MS",
        default_value_t = 480_000,
        value_parser = clap::value_parser!(u64).range(1..=86_400_000)
    )]
    pub step_timeout_ms: u64,
}

/// Arguments of `pages`.
#[derive(Args, Clone, Debug)]
pub struct PagesArguments {
    /// Directory that gets `man` and `completions`.
    #[arg(long, value_name = "DIRECTORY", default_value = "extra")]
    pub directory: PathBuf,
}
