//! Program that tries out and measures the fleet.

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;
use wisteriaford_bench::capacity;
use wisteriaford_bench::latency;
use wisteriaford_bench::measure;
use wisteriaford_bench::quickstart;

/// Tries out and measures a fleet of wisteriaford daemons on this machine.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the whole path as separate processes and check what the users were promised
    Quickstart(quickstart::Settings),
    /// Measure the latency that the path adds to a call, and the rate that one daemon carries
    Latency(latency::Settings),
    /// Measure the policy under load and faults, in virtual time
    Measure(measure::Settings),
    /// Measure what an instance costs in fleets of several sizes, in virtual time
    Capacity(capacity::Settings),
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Quickstart(settings) => quickstart::main(&settings),
        Command::Latency(settings) => latency::main(&settings),
        Command::Measure(settings) => measure::main(&settings),
        Command::Capacity(settings) => capacity::main(&settings),
    }
}
