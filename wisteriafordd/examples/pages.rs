//! Writes the man page and the shell completions of the daemon below `extra`.

use std::io;
use std::path::Path;

use wisteriafordd::pages;

fn main() -> io::Result<()> {
    pages::write(Path::new("extra"))
}
