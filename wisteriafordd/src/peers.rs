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

/// Maximum size of a received message, in bytes.
const MAX_MESSAGE_LEN_BYTES: usize = 64 << 20;
/// Maximum number of messages buffered per peer while its connection is not ready.
const SEND_BUFFER_MESSAGES: i32 = 256;
/// Time without a message after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Opens the socket for messages from peers and forwards them to the event loop.
///
/// # Errors
///
/// Returns an error if the socket cannot listen on the address.
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
            Err(_) => Input::MalformedPeerMessage,
        };
        if inputs.send(input).is_err() {
            return;
        }
    }
}

/// Connections to peers, opened on first use and closed when idle.
pub(crate) struct Peers {
    sockets: IndexMap<CompactString, Peer>,
}

struct Peer {
    socket: Socket,
    used_at: Instant,
}

impl Peers {
    /// Creates an empty set of connections.
    pub(crate) fn new() -> Self {
        Self {
            sockets: IndexMap::new(),
        }
    }

    /// Sends a message to the peer at an address, or drops it if it cannot be queued.
    ///
    /// Returns the length of the message in bytes, or 0 if no socket could be opened.
    pub(crate) fn send(&mut self, address: &CompactString, message: &PeerMessage) -> usize {
        let bytes = message.encode_to_vec();
        let Some(peer) = self.connect(address) else {
            return 0;
        };
        peer.used_at = Instant::now();
        // The membership probes detect a peer that does not receive messages.
        let _ = peer.socket.try_send(bytes.as_slice());
        bytes.len()
    }

    /// Closes connections that have been idle for [`IDLE_TIMEOUT`].
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
