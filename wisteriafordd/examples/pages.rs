//! Writes the man page and shell completions of the daemon to `extra`.

use std::io;
use std::path::Path;

use wisteriafordd::pages;

fn main() -> io::Result<()> {
    pages::write(Path::new("extra"))
}
