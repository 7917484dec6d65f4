//! Reads the memory usage of processes.

use std::fs;
use std::io;

/// Returns the resident set size of a process, in kB.
///
/// # Errors
///
/// Fails if the process has ended or its status has no resident set size.
pub fn resident_kb(process_id: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{process_id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let size = line.and_then(|line| line.split_whitespace().next());
    let size = size.and_then(|digits| digits.parse().ok());
    size.ok_or_else(|| io::ErrorKind::InvalidData.into())
}
