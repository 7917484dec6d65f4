//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgAction;
use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;

/// Explanation of the exit codes for `--help` and the man page.
const EXIT_CODES: &str = "\
Exit codes:
  0  success; a publication was accepted
  1  failure: the file has faults, no configuration is in force, the request is unknown, or samples
     were missing, duplicated, too old or unlabelled
  2  the command line is invalid
  3  the content of a publication was rejected
  4  a publication lost a race: another one is in force instead
  5  the log or a daemon did not respond, or the outcome of a publication is unknown";

/// Checks and publishes configurations, and shows the state of a fleet of wisteriaford daemons.
///
/// A configuration comes into force as a whole or not at all. It is published to the platform's
/// log, from which every daemon reads it. No command changes a single daemon.
#[derive(Clone, Debug, Parser)]
#[command(name = "wisteriaford", version, after_help = EXIT_CODES, disable_help_subcommand = true)]
pub struct Arguments {
    /// Connection and output options.
    #[command(flatten)]
    pub common: CommonArguments,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Arguments common to all commands.
#[derive(Args, Clone, Debug)]
pub struct CommonArguments {
    /// Output format.
    #[arg(
        long,
        global = true,
        value_enum,
        default_value_t,
        env = "WISTERIAFORD_OUTPUT"
    )]
    pub output: OutputFormat,

    /// IP address and port of the platform's log.
    #[arg(
        long,
        global = true,
        value_name = "ADDRESS",
        env = "WISTERIAFORD_LOG_ADDRESS"
    )]
    pub log_address: Option<SocketAddr>,

    /// IP address and port of a daemon's caller interface; may be repeated or comma-separated.
    #[arg(
        long = "daemon",
        global = true,
        value_name = "ADDRESS",
        action = ArgAction::Append,
        value_delimiter = ',',
        env = "WISTERIAFORD_DAEMON"
    )]
    pub daemons: Vec<SocketAddr>,

    /// Timeout for connecting and for inactivity of a connection, in milliseconds, 100 to 600000.
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
    /// Returns the timeout for connecting and for inactivity of a connection.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Output format.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub enum OutputFormat {
    /// Human-readable text; errors are printed to standard error.
    #[default]
    Text,
    /// One JSON object on standard output, also for errors.
    Json,
}

/// Commands of the tool.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Check a configuration file and print every fault with its line and column.
    Check(CheckArguments),
    /// Publish a configuration file and wait until it is accepted or rejected.
    Publish(PublishArguments),
    /// Show the configuration in force, as TOML or JSON.
    Show(ShowArguments),
    /// Show the status of the daemons, their members and their endpoints.
    Status,
    /// Show the tokens that each caller was entitled to and received, summed over the daemons.
    Shares,
    /// Show the decisions made for a request, or where a request or a batch job would go now.
    ///
    /// Nothing is sent to an endpoint. For --request and --job, the daemon's address is that of its
    /// metrics port, and only daemons on the platform answer.
    Explain(ExplainArguments),
    /// Run training steps as a reference trainer and print statistics of the samples received.
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

    /// Revision that the file is based on; the publication is rejected if another one is in force.
    /// Default: the revision in force.
    #[arg(long, value_name = "REVISION")]
    pub base: Option<u64>,

    /// Name of the publisher, for information only.
    #[arg(
        long,
        value_name = "NAME",
        default_value = "unknown",
        env = "WISTERIAFORD_AUTHOR"
    )]
    pub author: String,

    /// Maximum time to wait for the publication to be accepted or rejected, in milliseconds, 100 to
    /// 3600000.
    #[arg(
        long,
        value_name = "MS",
        default_value_t = 30_000,
        value_parser = clap::value_parser!(u64).range(100..=3_600_000)
    )]
    pub wait_ms: u64,

    /// Publish even though the log has lost every copy of the configuration in force.
    ///
    /// Fails if the log still holds a copy.
    #[arg(long, conflicts_with = "base")]
    pub restore: bool,
}

/// Arguments of `show`.
#[derive(Args, Clone, Debug)]
pub struct ShowArguments {
    /// Source of the configuration.
    #[arg(long, value_enum, default_value_t)]
    pub source: Source,
}

/// Source that the configuration in force is read from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub enum Source {
    /// The platform's log, read by the same rules as the daemons use.
    #[default]
    Log,
    /// The daemons; shows the highest revision that any of them reports.
    Daemons,
}

/// Arguments of `explain`.
#[derive(Args, Clone, Debug)]
pub struct ExplainArguments {
    /// What to explain.
    #[command(flatten)]
    pub subject: ExplainSubject,

    /// Organisation that sends the request; names no key.
    #[arg(long, value_name = "ORGANISATION", requires = "request")]
    pub organisation: Option<String>,

    /// Id of the request, which selects the pool of a route with several.
    #[arg(long, value_name = "ID", requires = "request")]
    pub id: Option<String>,
}

/// What `explain` explains.
#[derive(Args, Clone, Debug)]
#[group(required = true, multiple = false)]
pub struct ExplainSubject {
    /// Id of a request that was made.
    #[arg(value_name = "REQUEST_ID")]
    pub request_id: Option<String>,

    /// Host and path of a request that would be made now.
    #[arg(long, value_name = "HOST/PATH", value_parser = parse_target)]
    pub request: Option<RequestTarget>,

    /// Id of a batch job.
    #[arg(long, value_name = "JOB_ID")]
    pub job: Option<String>,
}

/// Host and path of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestTarget {
    /// Host, as in the header of the request.
    pub host: String,
    /// Path, beginning with a slash.
    pub path: String,
}

fn parse_target(text: &str) -> Result<RequestTarget, String> {
    match text.find('/') {
        Some(index) if index > 0 => Ok(RequestTarget {
            host: text[..index].to_owned(),
            path: text[index..].to_owned(),
        }),
        _ => Err("a host and a path are expected, as in example.org/a/b".to_owned()),
    }
}

/// Arguments of `rollout`.
#[derive(Args, Clone, Debug)]
pub struct RolloutArguments {
    /// Name of the caller that runs the training.
    #[arg(long, value_name = "CALLER")]
    pub trainer: String,

    /// Name of a pool of model engines.
    #[arg(long, value_name = "POOL")]
    pub pool: String,

    /// Number of steps to run.
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub steps: u64,

    /// Number of the first step; the trainer must not have used it before. Default: the time in
    /// seconds since the Unix epoch.
    #[arg(long, value_name = "STEP")]
    pub first_step: Option<u64>,

    /// Number of groups per step.
    #[arg(long, value_name = "N", default_value_t = 8)]
    pub groups: u32,

    /// Number of samples per group.
    #[arg(long, value_name = "N", default_value_t = 4)]
    pub group_size: u32,

    /// Maximum number of tokens per sample.
    #[arg(long, value_name = "TOKENS", default_value_t = 256)]
    pub max_tokens: u32,

    /// Prompt of each group; {step} and {group} are replaced by their numbers.
    #[arg(
        long,
        value_name = "TEXT",
        default_value = "Step {step}, group {group}:"
    )]
    pub prompt: String,

    /// Current weight version of the trainer. Default: the highest version that the daemons report
    /// for the pool, fetched before each step.
    #[arg(long, value_name = "VERSION")]
    pub current_version: Option<u64>,

    /// Maximum number of versions that the weights of a sample may be behind the trainer's.
    /// Default: the bound of the pool in the configuration in force.
    #[arg(long, value_name = "VERSIONS")]
    pub staleness_bound: Option<u64>,

    /// Maximum time that each pull waits for samples, in milliseconds, 0 to 60000.
    #[arg(
        long,
        value_name = "MS",
        default_value_t = 1_000,
        value_parser = clap::value_parser!(u64).range(0..=60_000)
    )]
    pub wait_ms: u64,

    /// Timeout of each step, in milliseconds.
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
    /// Directory in which `man` and `completions` are created.
    #[arg(long, value_name = "DIRECTORY", default_value = "extra")]
    pub directory: PathBuf,
}
