//! Runs one stand-in for a platform service or an endpoint as a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Arg;
use clap::CommandFactory;
use clap::FromArgMatches;
use clap::Parser;
use serde_json::json;
use wisteriaford_standins::CrashAction;
use wisteriaford_standins::Standin;

const EXIT_LISTEN_FAILED: u8 = 1;

/// Runs a stand-in for a platform service or an endpoint, for trials and tests.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Address to listen on as IP:PORT; port 0 selects a free port
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(subcommand)]
    standin: Standin,
}

/// Parses the arguments.
///
/// Negative numbers are accepted as option values, so that the error names the option that is out
/// of range rather than an unknown flag.
fn parse_arguments() -> Arguments {
    let command = Arguments::command()
        .mut_subcommands(|subcommand| subcommand.mut_args(allow_negative_numbers));
    Arguments::from_arg_matches(&command.get_matches()).unwrap_or_else(|error| error.exit())
}

fn allow_negative_numbers(argument: Arg) -> Arg {
    let takes_values = argument.get_action().takes_values();
    argument.allow_negative_numbers(takes_values)
}

fn main() -> ExitCode {
    let arguments = parse_arguments();
    match arguments
        .standin
        .start_at(arguments.listen, CrashAction::ExitProcess)
    {
        Ok(standin) => {
            println!("{}", json!({"listening": standin.address().to_string()}));
            standin.wait();
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_LISTEN_FAILED)
        }
    }
}
