//! Command-line tool of the wisteriaford rollout service.

use std::process::ExitCode;

use clap::Parser;
use wisteriaford::app;
use wisteriaford::arguments::Arguments;

fn main() -> ExitCode {
    app::run(&Arguments::parse()).into()
}
