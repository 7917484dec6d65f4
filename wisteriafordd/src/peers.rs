//! Messages between instances over `nng`.

use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use crossbeam::channel::Sender;
use indexmap::IndexMap;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::SendBufferSize;
use prost::Message;
use wisteriaford_core::event::Event;
use wisteriaford_proto::peer::PeerMessage;

use crate::runtime::Input;

/// Longest message that is read, in bytes.
const MAX_MESSAGE_LEN_BYTES: usize = 64 << 20;
/// Messages that wait for a connection to a peer.
const SEND_BUFFER_MESSAGES: i32 = 256;
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Opens the socket that peers send to and hands on what they send.
///
/// # Errors
///
/// Fails if the socket cannot listen at the address.
pub(crate) fn listen(address: &str, inputs: Sender<Input>) -> Result<(), nng::Error> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<nng::options::RecvMaxSize>(MAX_MESSAGE_LEN_BYTES)?;
    socket.listen(&format!("tcp://{address}"))?;
    std::thread::spawn(move || receive(&socket, &inputs));
    Ok(())
}

fn receive(socket: &Socket, inputs: &Sender<Input>) {
    loop {
        let Ok(bytes) = socket.recv() else {
            return;
        };
        let input = match PeerMessage::decode(bytes.as_slice()) {
            Ok(message) => Input::Event(Event::Peer(message)),
            Err(_) => Input::DamagedPeerMessage,
        };
        if inputs.send(input).is_err() {
            return;
        }
    }
}

/// Connections to the peers that were sent to lately.
pub(crate) struct Peers {
    sockets: IndexMap<CompactString, Peer>,
}

struct Peer {
    socket: Socket,
    used_at: Instant,
}

impl Peers {
    /// Returns no connections.
    pub(crate) fn new() -> Self {
        Self {
            sockets: IndexMap::new(),
        }
    }

    /// Sends a message to the peer at an address, or drops it if the peer does not take it.
    ///
    /// Returns the length of the message in bytes.
    pub(crate) fn send(&mut self, address: &CompactString, message: &PeerMessage) -> usize {
        let bytes = message.encode_to_vec();
        let Some(peer) = self.connect(address) else {
            return 0;
        };
        peer.used_at = Instant::now();
        // A peer that takes nothing is found by the probes of membership.
        let _ = peer.socket.try_send(bytes.as_slice());
        bytes.len()
    }

    /// Closes the connections that were not used lately.
    pub(crate) fn close_idle(&mut self) {
        self.sockets
            .retain(|_, peer| peer.used_at.elapsed() < IDLE_TIMEOUT);
    }

    fn connect(&mut self, address: &CompactString) -> Option<&mut Peer> {
        if !self.sockets.contains_key(address) {
            let socket = Socket::new(Protocol::Push0).ok()?;
            socket
                .set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)
                .ok()?;
            socket.dial_async(&format!("tcp://{address}")).ok()?;
            let used_at = Instant::now();
            self.sockets
                .insert(address.clone(), Peer { socket, used_at });
        }
        self.sockets.get_mut(address)
    }
}
