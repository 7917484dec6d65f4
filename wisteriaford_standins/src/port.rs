//! Allocates ports for processes that must know their port before they start.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Lowest port of the range. The whole range lies below the system's ephemeral ports, so that an
/// outgoing connection can't take an allocated port before its process listens on it.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 22_000;
/// Distance between the first ports of processes with consecutive ids, so that concurrent processes
/// rarely try the same ports.
const PROCESS_STRIDE: u32 = 97;

static NEXT_INDEX: AtomicU32 = AtomicU32::new(0);

/// Returns an address on 127.0.0.1 whose port is free, or `None` if there is none.
///
/// Successive calls in one process try successive ports, so a port isn't returned again until the
/// whole range has been tried.
#[must_use]
pub fn free_address() -> Option<SocketAddr> {
    let first_index = process::id().wrapping_mul(PROCESS_STRIDE);
    (0..PORT_COUNT).find_map(|_| {
        let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + first_index.wrapping_add(index) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(port).ok()?));
        is_free(address).then_some(address)
    })
}

/// Returns whether no socket listens on an address.
///
/// The socket that finds out never listens itself: a child process that another thread starts holds a
/// copy of it for a while, which would keep the address from being used.
fn is_free(address: SocketAddr) -> bool {
    let bind = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())
    };
    bind().is_ok()
}
