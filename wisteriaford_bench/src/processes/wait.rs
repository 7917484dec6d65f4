//! Waiting for something to come about.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::processes::error::ProcessError;
use crate::processes::error::Result;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Asks until something has come about; the time to wait only ends what would hang.
///
/// # Errors
///
/// Fails if it has not come about in time.
pub fn wait_until(what: &str, longest: Duration, mut is_so: impl FnMut() -> bool) -> Result<()> {
    let started = Instant::now();
    while !is_so() {
        if started.elapsed() >= longest {
            return Err(ProcessError::NotInTime {
                what: what.to_owned(),
                waited: longest,
            });
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
