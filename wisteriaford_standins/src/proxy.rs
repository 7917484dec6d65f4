//! TCP proxy that can stop forwarding without closing its connections.

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
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time limit for the connection that wakes the acceptor, which may get no answer.
const WAKE_TIMEOUT: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = 16 * 1024;

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    FromTarget,
}

/// Directions of a connection in which nothing is forwarded.
#[derive(Clone, Copy, Debug, Default)]
struct Silenced {
    to_target: bool,
    from_target: bool,
}

impl Silenced {
    const BOTH: Self = Self {
        to_target: true,
        from_target: true,
    };

    const fn is_silent(self, direction: Direction) -> bool {
        match direction {
            Direction::ToTarget => self.to_target,
            Direction::FromTarget => self.from_target,
        }
    }

    const fn silence(&mut self, direction: Direction) {
        match direction {
            Direction::ToTarget => self.to_target = true,
            Direction::FromTarget => self.from_target = true,
        }
    }
}

#[derive(Debug)]
struct ProxiedConnection {
    client: TcpStream,
    target: TcpStream,
    state: Mutex<ProxiedState>,
}

#[derive(Clone, Copy, Debug)]
struct ProxiedState {
    silenced: Silenced,
    open: bool,
    /// Whether the connection ends with a reset.
    resets: bool,
    /// Direction in which the first bytes reset the connection and aren't forwarded.
    reset_by: Option<Direction>,
}

impl ProxiedConnection {
    fn state(&self) -> MutexGuard<'_, ProxiedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self) {
        let is_reset = {
            let mut state = self.state();
            state.open = false;
            state.resets
        };
        if is_reset {
            return;
        }
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }

    /// Lets both connections end with a reset once no thread uses them any more.
    fn reset(&self) {
        for stream in [&self.client, &self.target] {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
        {
            let mut state = self.state();
            state.open = false;
            state.resets = true;
        }
        // Wakes the threads that read, and sends nothing.
        for stream in [&self.client, &self.target] {
            let _ = stream.shutdown(Shutdown::Read);
        }
    }
}

/// What happens to new connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum NewConnections {
    /// They are accepted.
    #[default]
    Accepted,
    /// They are refused.
    Refused,
    /// They get no answer.
    Unanswered,
    /// They open and are reset at once.
    ResetOnOpening,
    /// They open and are reset by the first bytes in a direction.
    ResetOnBytes(Direction),
}

impl NewConnections {
    /// Returns whether connections open, whatever happens to them then.
    const fn opens(self) -> bool {
        matches!(
            self,
            Self::Accepted | Self::ResetOnOpening | Self::ResetOnBytes(_)
        )
    }
}

#[derive(Debug, Default)]
struct ProxyState {
    silenced_for_new: Silenced,
    new_connections: NewConnections,
    new_connections_in_force: NewConnections,
    connections: Vec<Arc<ProxiedConnection>>,
    stopping: bool,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    target: SocketAddr,
    state: Mutex<ProxyState>,
    /// Notified when what happens to new connections changes.
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// TCP proxy in front of one address, which stops when dropped.
#[derive(Debug)]
pub struct SilentProxy {
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
            address,
            target,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let acceptor_shared = Arc::clone(&shared);
        let acceptor = thread::Builder::new()
            .name("proxy".to_owned())
            .spawn(move || run_acceptor(listener, &acceptor_shared))?;
        Ok(Self {
            shared,
            acceptor: Some(acceptor),
        })
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Stops forwarding on open and new connections, which stay open.
    pub fn silence_all(&self) {
        let mut state = self.shared.lock();
        state.silenced_for_new = Silenced::BOTH;
        update_silenced(&state.connections, |flags| *flags = Silenced::BOTH);
    }

    /// Stops forwarding on the open connections; new ones work.
    pub fn silence_open(&self) {
        let state = self.shared.lock();
        update_silenced(&state.connections, |flags| *flags = Silenced::BOTH);
    }

    /// Stops forwarding in one direction on open and new connections.
    pub fn silence_direction(&self, direction: Direction) {
        let mut state = self.shared.lock();
        state.silenced_for_new.silence(direction);
        update_silenced(&state.connections, |flags| flags.silence(direction));
    }

    /// Resumes forwarding on all connections, including the data held back meanwhile.
    pub fn resume(&self) {
        let mut state = self.shared.lock();
        state.silenced_for_new = Silenced::default();
        update_silenced(&state.connections, |flags| *flags = Silenced::default());
    }

    /// Sets what happens to new connections, and returns once it does; open ones live on.
    pub fn set_new_connections(&self, new_connections: NewConnections) {
        {
            let mut state = self.shared.lock();
            state.new_connections = new_connections;
        }
        self.shared.changed.notify_all();
        // Wakes the acceptor.
        drop(TcpStream::connect_timeout(
            &self.shared.address,
            WAKE_TIMEOUT,
        ));
        while self.shared.lock().new_connections_in_force != new_connections {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Lets the next bytes in a direction reset each of the open connections; `None` ends this.
    pub fn reset_open_on_bytes(&self, direction: Option<Direction>) {
        for connection in &self.shared.lock().connections {
            connection.state().reset_by = direction;
        }
    }

    /// Resets the open connections; new ones are not affected.
    pub fn reset_connections(&self) {
        for connection in self.shared.lock().connections.drain(..) {
            connection.reset();
        }
    }

    /// Closes the open connections; new ones work.
    pub fn close_connections(&self) {
        for connection in self.shared.lock().connections.drain(..) {
            connection.close();
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        let state = self.shared.lock();
        state
            .connections
            .iter()
            .filter(|connection| connection.state().open)
            .count()
    }
}

impl Drop for SilentProxy {
    fn drop(&mut self) {
        self.shared.lock().stopping = true;
        self.shared.changed.notify_all();
        self.close_connections();
        drop(TcpStream::connect_timeout(
            &self.shared.address,
            WAKE_TIMEOUT,
        ));
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        self.close_connections();
    }
}

fn update_silenced(connections: &[Arc<ProxiedConnection>], update: impl Fn(&mut Silenced)) {
    for connection in connections {
        update(&mut connection.state().silenced);
    }
}

/// Accepts, refuses or ignores connections until the proxy stops.
fn run_acceptor(listener: TcpListener, shared: &Arc<Shared>) {
    let mut listener = Some(listener);
    while !shared.lock().stopping {
        let mode = shared.lock().new_connections;
        if mode.opens() {
            let Some(accepting) = listener.take().or_else(|| bind(shared)) else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            accept_connections(&accepting, shared);
            continue;
        }
        // A full queue leaves further connections unanswered.
        let full_queue = (mode == NewConnections::Unanswered).then(|| fill_queue(shared.address));
        let mut state = shared.lock();
        state.new_connections_in_force = mode;
        while state.new_connections == mode && !state.stopping {
            let waited = shared.changed.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        drop(state);
        drop(full_queue);
    }
}

fn bind(shared: &Shared) -> Option<TcpListener> {
    TcpListener::bind(shared.address).ok()
}

/// Listens at an address with a queue of connections that is full.
fn fill_queue(address: SocketAddr) -> io::Result<(Socket, Vec<TcpStream>)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(0)?;
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, WAKE_TIMEOUT) {
        queued.push(stream);
    }
    Ok((socket, queued))
}

/// Accepts connections until they are no longer to be accepted.
fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        let mode = {
            let mut state = shared.lock();
            if state.stopping || !state.new_connections.opens() {
                return;
            }
            state.new_connections_in_force = state.new_connections;
            state.new_connections
        };
        match listener.accept() {
            Ok(_) if shared.lock().new_connections != mode => {}
            Ok((client, _)) if mode == NewConnections::ResetOnOpening => {
                let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
            }
            Ok((client, _)) => {
                let _ = open_connection(client, shared);
            }
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

fn open_connection(client: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    let target = TcpStream::connect(shared.target)?;
    for stream in [&client, &target] {
        stream.set_nodelay(true)?;
    }
    let mut state = shared.lock();
    let connection = Arc::new(ProxiedConnection {
        client,
        target,
        state: Mutex::new(ProxiedState {
            silenced: state.silenced_for_new,
            open: true,
            resets: false,
            reset_by: match state.new_connections {
                NewConnections::ResetOnBytes(direction) => Some(direction),
                _ => None,
            },
        }),
    });
    state
        .connections
        .retain(|connection| connection.state().open);
    state.connections.push(Arc::clone(&connection));
    drop(state);
    for direction in [Direction::ToTarget, Direction::FromTarget] {
        let forwarded = Arc::clone(&connection);
        let shared = Arc::clone(shared);
        thread::Builder::new()
            .name("proxy-pump".to_owned())
            .spawn(move || forward(&shared, &forwarded, direction))?;
    }
    Ok(())
}

/// Forwards bytes in one direction until an end closes or fails. Data that was read before the end
/// closes is still forwarded.
fn forward(shared: &Shared, connection: &Arc<ProxiedConnection>, direction: Direction) {
    let (mut from, mut to) = match direction {
        Direction::ToTarget => (&connection.client, &connection.target),
        Direction::FromTarget => (&connection.target, &connection.client),
    };
    let mut bytes = [0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut bytes) {
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(_) => break,
        };
        if !wait_while_silent(connection, direction) {
            return;
        }
        if count > 0 && connection.state().reset_by == Some(direction) {
            connection.reset();
            // The connections end once nothing refers to them.
            let mut state = shared.lock();
            state
                .connections
                .retain(|other| !Arc::ptr_eq(other, connection));
            return;
        }
        if count == 0 {
            let _ = to.shutdown(Shutdown::Write);
            return close_finished(connection, direction);
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    connection.close();
}

/// Closes the connection after the target has closed its side. A client that has closed its side
/// can still receive the rest of the answer.
fn close_finished(connection: &ProxiedConnection, direction: Direction) {
    if direction == Direction::FromTarget {
        connection.close();
    }
}

/// Waits while the direction is silent; returns false once the connection is closed.
fn wait_while_silent(connection: &ProxiedConnection, direction: Direction) -> bool {
    loop {
        let state = *connection.state();
        if !state.open {
            return false;
        }
        if !state.silenced.is_silent(direction) {
            return true;
        }
        thread::sleep(POLL_INTERVAL);
    }
}
