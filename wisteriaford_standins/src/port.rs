//! Free ports for processes that must know theirs before they start.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Lowest port that is given out; all lie below those that the system gives to outgoing
/// connections.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 22_000;
/// Spreads the ports of processes that run at the same time.
const STRIDE: u32 = 97;

static GIVEN_OUT: AtomicU32 = AtomicU32::new(0);

/// Returns an address on 127.0.0.1 that nothing listens on, and that was not returned before;
/// `None` if no port is free.
#[must_use]
pub fn free_address() -> Option<SocketAddr> {
    let first = process::id().wrapping_mul(STRIDE);
    (0..PORTS).find_map(|_| {
        let place = GIVEN_OUT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + first.wrapping_add(place) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(port).ok()?));
        TcpListener::bind(address).is_ok().then_some(address)
    })
}
