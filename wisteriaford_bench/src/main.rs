//! Command-line program that tests and benchmarks the fleet.

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;
use wisteriaford_bench::capacity;
use wisteriaford_bench::latency;
use wisteriaford_bench::measure;
use wisteriaford_bench::quickstart;

/// Tests and benchmarks a fleet of wisteriaford daemons on this machine.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the whole system end to end as separate processes and check its guarantees
    Quickstart(quickstart::Settings),
    /// Measure the latency that a daemon adds to a call, and the rate that one daemon sustains
    Latency(latency::Settings),
    /// Measure the scheduling policy under load and faults, in virtual time
    Measure(measure::Settings),
    /// Measure the resource cost of an instance in fleets of several sizes, in virtual time
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
