//! Server that answers every request with bytes without end.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Size of the blocks that are sent as fast as the caller takes them.
const BLOCK_BYTES: usize = 16 * 1024;
/// Interval between the pieces of a slow flood, shorter than any silence timeout.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);

/// What is sent without end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flood {
    /// Bytes that are no HTTP.
    Noise,
    /// Fields of a head.
    HeadFields,
    /// A single field of a head.
    HeadField,
    /// Interim answers.
    InterimAnswers,
    /// Chunks of a body.
    Chunks,
    /// A body without a length.
    UnboundedBody,
    /// An event of a stream.
    Event,
    /// Comments of a stream, slowly.
    Comments,
    /// Bytes of a body, slowly.
    DrippingBody,
    /// A large part of a body, then more of it slowly.
    LargeDrippingBody,
    /// A large part of a body, then nothing.
    LargeSilentBody,
}

impl Flood {
    fn head(self) -> &'static str {
        match self {
            Self::Noise | Self::InterimAnswers => "",
            Self::HeadFields | Self::HeadField => "HTTP/1.1 200 OK\r\nx-first: 1\r\n",
            Self::Chunks | Self::DrippingBody | Self::LargeDrippingBody | Self::LargeSilentBody => {
                "HTTP/1.1 200 OK\r\nx-response-stamp: flood\r\ntransfer-encoding: chunked\r\n\r\n"
            }
            Self::UnboundedBody => "HTTP/1.1 200 OK\r\nx-response-stamp: flood\r\n\r\n",
            Self::Event | Self::Comments => {
                "HTTP/1.1 200 OK\r\nx-response-stamp: flood\r\nx-weight-versions: 1\r\n\
                 content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
            }
        }
    }

    fn piece(self) -> Vec<u8> {
        let padding = "a".repeat(BLOCK_BYTES);
        match self {
            Self::Noise | Self::HeadField | Self::UnboundedBody => padding.into_bytes(),
            Self::HeadFields => "x-more: 1\r\n".repeat(1_000).into_bytes(),
            Self::InterimAnswers => "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(500).into_bytes(),
            Self::Chunks | Self::Event => format!("{BLOCK_BYTES:x}\r\n{padding}\r\n").into_bytes(),
            Self::Comments => b"3\r\n:\n\n\r\n".to_vec(),
            Self::DrippingBody | Self::LargeDrippingBody => b"1\r\na\r\n".to_vec(),
            Self::LargeSilentBody => Vec::new(),
        }
    }

    /// Returns what comes at once after the head.
    fn first_part(self) -> Vec<u8> {
        let blocks = match self {
            Self::LargeDrippingBody => 3,
            Self::LargeSilentBody => 12,
            _ => 0,
        };
        Self::Chunks.piece().repeat(blocks)
    }

    const fn is_slow(self) -> bool {
        matches!(
            self,
            Self::Comments | Self::DrippingBody | Self::LargeDrippingBody | Self::LargeSilentBody
        )
    }
}

/// Running server; it accepts no more connections once dropped.
#[derive(Debug)]
pub struct FloodServer {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    begun: Arc<AtomicUsize>,
    stopping: Arc<AtomicBool>,
}

impl FloodServer {
    /// Starts a server on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(flood: Flood) -> io::Result<Self> {
        Self::start_with_state(flood, "")
    }

    /// Starts a server that answers requests for its state with a JSON text, and floods the others.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start_with_state(flood: Flood, state: &'static str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self {
            address: listener.local_addr()?,
            open: Arc::default(),
            begun: Arc::default(),
            stopping: Arc::default(),
        };
        let (open, begun) = (Arc::clone(&server.open), Arc::clone(&server.begun));
        let stopping = Arc::clone(&server.stopping);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if stopping.load(Ordering::Acquire) {
                    return;
                }
                open.fetch_add(1, Ordering::AcqRel);
                let (open, begun) = (Arc::clone(&open), Arc::clone(&begun));
                let stopping = Arc::clone(&stopping);
                thread::spawn(move || {
                    // Ends with an error once the caller closes the connection.
                    drop(send_flood(stream, flood, state, &begun, &stopping));
                    open.fetch_sub(1, Ordering::AcqRel);
                });
            }
        });
        Ok(server)
    }

    /// Returns the address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections that their callers have not closed.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Returns the number of floods so far.
    #[must_use]
    pub fn floods(&self) -> usize {
        self.begun.load(Ordering::Acquire)
    }
}

impl Drop for FloodServer {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        // Wakes the thread that accepts.
        drop(TcpStream::connect(self.address));
    }
}

fn send_flood(
    mut stream: TcpStream,
    flood: Flood,
    state: &str,
    begun: &AtomicUsize,
    stopping: &AtomicBool,
) -> io::Result<()> {
    // Answers the first request only, which has come with the first bytes.
    let mut request = [0; 4 * 1024];
    let count = stream.read(&mut request)?;
    if count == 0 {
        return Ok(());
    }
    if !state.is_empty() && request[..count].starts_with(b"GET /state ") {
        let length_bytes = state.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length_bytes}\r\n\r\n");
        return stream.write_all((head + state).as_bytes());
    }
    begun.fetch_add(1, Ordering::AcqRel);
    stream.write_all(flood.head().as_bytes())?;
    stream.write_all(&flood.first_part())?;
    let piece = flood.piece();
    while !stopping.load(Ordering::Acquire) {
        stream.write_all(&piece)?;
        if flood.is_slow() {
            thread::sleep(DRIP_INTERVAL);
        }
    }
    Ok(())
}
