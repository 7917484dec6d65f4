//! Generation of man pages and shell completions.

use std::fs;
use std::io;
use std::path::Path;

use clap::CommandFactory;
use clap_complete::Shell;

use crate::arguments::Arguments;

const SHELLS: [Shell; 3] = [Shell::Bash, Shell::Fish, Shell::Zsh];

/// Writes man pages to `man` and completion scripts to `completions` below a directory.
///
/// # Errors
///
/// Returns an error if a directory or file cannot be written.
pub fn write(directory: &Path) -> io::Result<()> {
    let man = directory.join("man");
    fs::create_dir_all(&man)?;
    clap_mangen::generate_to(Arguments::command(), &man)?;
    let completions = directory.join("completions");
    fs::create_dir_all(&completions)?;
    for shell in SHELLS {
        let mut command = Arguments::command();
        clap_complete::generate_to(shell, &mut command, "wisteriaford", &completions)?;
    }
    Ok(())
}
