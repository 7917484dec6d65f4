//! Polling for a condition.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::processes::error::ProcessError;
use crate::processes::error::Result;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a condition until it is met. Callers choose generous timeouts, which only end waits that
/// would hang.
///
/// # Errors
///
/// Fails if the condition is not met in time.
pub fn wait_until(
    condition: &str,
    timeout: Duration,
    mut is_met: impl FnMut() -> bool,
) -> Result<()> {
    let started = Instant::now();
    while !is_met() {
        if started.elapsed() >= timeout {
            return Err(ProcessError::Timeout {
                condition: condition.to_owned(),
                waited: timeout,
            });
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
