//! Program that runs one stand-in of the platform or of an endpoint.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use serde_json::json;
use wisteriaford_standins::CrashAction;
use wisteriaford_standins::Standin;

const EXIT_CANNOT_LISTEN: u8 = 1;

/// Runs a small stand-in of the platform or of an endpoint, for trials and tests.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Address to listen on as IP:PORT; port 0 takes a free one
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(subcommand)]
    standin: Standin,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
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
            ExitCode::from(EXIT_CANNOT_LISTEN)
        }
    }
}
