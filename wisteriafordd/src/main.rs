//! Daemon of the wisteriaford rollout service.

use std::process::ExitCode;

use wisteriafordd::app;

fn main() -> ExitCode {
    app::main()
}
