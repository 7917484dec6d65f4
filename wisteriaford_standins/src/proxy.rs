//! TCP proxy whose connections can go silent.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

const POLL: Duration = Duration::from_millis(10);
const BUFFER_BYTES: usize = 16 * 1024;

/// Way that bytes take through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From those who connect to the proxy.
    ToTarget,
    /// Back to those who connected.
    FromTarget,
}

#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    to_target_silent: bool,
    from_target_silent: bool,
}

impl Flow {
    const SILENT: Self = Self {
        to_target_silent: true,
        from_target_silent: true,
    };

    const fn is_silent(self, direction: Direction) -> bool {
        match direction {
            Direction::ToTarget => self.to_target_silent,
            Direction::FromTarget => self.from_target_silent,
        }
    }

    const fn silence(&mut self, direction: Direction) {
        match direction {
            Direction::ToTarget => self.to_target_silent = true,
            Direction::FromTarget => self.from_target_silent = true,
        }
    }
}

#[derive(Debug)]
struct Pair {
    client: TcpStream,
    target: TcpStream,
    state: Mutex<PairState>,
}

#[derive(Clone, Copy, Debug)]
struct PairState {
    flow: Flow,
    open: bool,
}

impl Pair {
    fn state(&self) -> MutexGuard<'_, PairState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cut(&self) {
        self.state().open = false;
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }
}

#[derive(Debug, Default)]
struct ProxyState {
    new_connections: Flow,
    pairs: Vec<Arc<Pair>>,
    stopping: bool,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    state: Mutex<ProxyState>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// TCP proxy before one address; it stops when dropped.
#[derive(Debug)]
pub struct SilentProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

impl SilentProxy {
    /// Starts a proxy on a free port of 127.0.0.1 that connects to `target`.
    ///
    /// # Errors
    ///
    /// Fails if it can't listen.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            state: Mutex::default(),
        });
        let accepting = Arc::clone(&shared);
        let acceptor = thread::Builder::new()
            .name("proxy".to_owned())
            .spawn(move || accept(&listener, &accepting))?;
        Ok(Self {
            address,
            shared,
            acceptor: Some(acceptor),
        })
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes open and new connections silent: they stay open and nothing passes.
    pub fn silence_all(&self) {
        let mut state = self.shared.lock();
        state.new_connections = Flow::SILENT;
        set_flow(&state.pairs, |flow| *flow = Flow::SILENT);
    }

    /// Makes open connections silent; new ones work.
    pub fn silence_open(&self) {
        let state = self.shared.lock();
        set_flow(&state.pairs, |flow| *flow = Flow::SILENT);
    }

    /// Makes one direction of open and new connections silent.
    pub fn silence_direction(&self, direction: Direction) {
        let mut state = self.shared.lock();
        state.new_connections.silence(direction);
        set_flow(&state.pairs, |flow| flow.silence(direction));
    }

    /// Lets everything pass again, also what was held back on silent connections.
    pub fn go_on(&self) {
        let mut state = self.shared.lock();
        state.new_connections = Flow::default();
        set_flow(&state.pairs, |flow| *flow = Flow::default());
    }

    /// Cuts the open connections; new ones work.
    pub fn cut(&self) {
        for pair in self.shared.lock().pairs.drain(..) {
            pair.cut();
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        let state = self.shared.lock();
        state.pairs.iter().filter(|pair| pair.state().open).count()
    }
}

impl Drop for SilentProxy {
    fn drop(&mut self) {
        self.shared.lock().stopping = true;
        self.cut();
        let _ = TcpStream::connect(self.address);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        self.cut();
    }
}

fn set_flow(pairs: &[Arc<Pair>], set: impl Fn(&mut Flow)) {
    for pair in pairs {
        set(&mut pair.state().flow);
    }
}

fn accept(listener: &TcpListener, shared: &Shared) {
    loop {
        let accepted = listener.accept();
        if shared.lock().stopping {
            return;
        }
        match accepted {
            Ok((client, _)) => {
                let _ = open(client, shared);
            }
            Err(_) => thread::sleep(POLL),
        }
    }
}

fn open(client: TcpStream, shared: &Shared) -> io::Result<()> {
    let target = TcpStream::connect(shared.target)?;
    for stream in [&client, &target] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(POLL))?;
    }
    let mut state = shared.lock();
    let pair = Arc::new(Pair {
        client,
        target,
        state: Mutex::new(PairState {
            flow: state.new_connections,
            open: true,
        }),
    });
    state.pairs.retain(|pair| pair.state().open);
    state.pairs.push(Arc::clone(&pair));
    drop(state);
    for direction in [Direction::ToTarget, Direction::FromTarget] {
        let pumped = Arc::clone(&pair);
        thread::Builder::new()
            .name("proxy-pump".to_owned())
            .spawn(move || pump(&pumped, direction))?;
    }
    Ok(())
}

/// Passes bytes on until one end closes, and then what was read before.
fn pump(pair: &Pair, direction: Direction) {
    let (mut from, mut to) = match direction {
        Direction::ToTarget => (&pair.client, &pair.target),
        Direction::FromTarget => (&pair.target, &pair.client),
    };
    let mut bytes = [0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut bytes) {
            Ok(count) => count,
            Err(error) if is_timeout(&error) && pair.state().open => continue,
            Err(_) => break,
        };
        if !wait_while_silent(pair, direction) {
            return;
        }
        if count == 0 {
            let _ = to.shutdown(Shutdown::Write);
            return finish(pair, direction);
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    pair.cut();
}

/// Cuts the pair once the target has said all; a client may close its half before.
fn finish(pair: &Pair, direction: Direction) {
    if direction == Direction::FromTarget {
        pair.cut();
    }
}

/// Returns false if the pair is cut while it is silent.
fn wait_while_silent(pair: &Pair, direction: Direction) -> bool {
    loop {
        let state = *pair.state();
        if !state.open {
            return false;
        }
        if !state.flow.is_silent(direction) {
            return true;
        }
        thread::sleep(POLL);
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
