//! Free ports for processes that must know theirs before they start.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::processes::error::ProcessError;
use crate::processes::error::Result;

/// Lowest port that is given out; all lie below those that the system gives to outgoing
/// connections.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 22_000;
/// Spreads the ports of processes that run at the same time.
const STRIDE: u32 = 97;

static GIVEN_OUT: AtomicU32 = AtomicU32::new(0);

/// Returns an address on 127.0.0.1 that nothing listens on, and that was not returned before.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_address() -> Result<SocketAddr> {
    let first = process::id().wrapping_mul(STRIDE);
    for _ in 0..PORTS {
        let place = GIVEN_OUT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + first.wrapping_add(place) % PORTS;
        let port = u16::try_from(port).map_err(|_| ProcessError::NoPort)?;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(ProcessError::NoPort)
}
