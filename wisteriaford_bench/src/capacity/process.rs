//! CPU time and memory of this process, as reported by the operating system.

use std::fs;
use std::time::Duration;

const PAGE_BYTES: u64 = 4_096;

/// Returns the CPU time that this process has used.
pub(crate) fn cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}

/// Returns the resident memory of this process.
pub(crate) fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
