//! Minimal HTTP/1.1 server with one thread per connection.
//!
//! It works on raw sockets, because faults and streamed answers need control over when bytes are
//! sent and connections are closed.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::sync::WaitGroup;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;

use crate::connection::Connection;
use crate::error::RequestError;
use crate::error::Result;
use crate::faults::ConnectionState;
use crate::faults::FaultChange;
use crate::faults::Faults;
use crate::platform_store::AddressView;
use crate::request::Request;

const FAULTS_PATH: &str = "/faults";
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Exit code of a process that was ended by a crash marker.
pub const CRASH_EXIT_CODE: i32 = 134;

/// Answer to a request.
#[derive(Debug)]
pub enum Reply {
    /// JSON answer with its status code, still to be sent.
    Json(u16, Value),
    /// The service has already sent the answer.
    Sent,
}

impl Reply {
    /// Returns a JSON answer with status 200.
    #[must_use]
    pub const fn ok(body: Value) -> Self {
        Self::Json(200, body)
    }
}

/// Request handling of one kind of stand-in.
pub(crate) trait Service: Send + Sync {
    /// Handles a request.
    fn handle(&self, request: &Request, connection: &mut Connection) -> Result<Reply>;

    /// Returns whether the service would process a request, so that a marker in it has an effect.
    fn accepts(&self, _request: &Request) -> bool {
        true
    }

    /// Returns the service as a reader with a view of its own sees it, if it has such views.
    fn with_view(&self, _view: AddressView) -> Option<Arc<dyn Service>> {
        None
    }

    /// Resets the service's state when it restarts after a crash.
    fn restart(&self) {}
}

/// What happens on a crash.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CrashAction {
    /// The stand-in stays down until a fault change sets `down` to false.
    #[default]
    GoDown,
    /// The process exits immediately.
    ExitProcess,
}

struct Shared {
    service: Arc<dyn Service>,
    faults: Arc<Faults>,
    crash_action: CrashAction,
    connections: Mutex<IndexMap<u64, TcpStream>>,
}

/// Running server, which stops when dropped.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

impl Server {
    pub(crate) fn start(
        listen: SocketAddr,
        service: Arc<dyn Service>,
        faults: Arc<Faults>,
        crash_action: CrashAction,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            service,
            faults,
            crash_action,
            connections: Mutex::default(),
        });
        let acceptor_shared = Arc::clone(&shared);
        let acceptor = thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || accept_connections(&listener, &acceptor_shared))?;
        Ok(Self {
            address,
            shared,
            acceptor: Some(acceptor),
        })
    }

    pub(crate) fn service(&self) -> &dyn Service {
        &*self.shared.service
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn change_faults(&self, change: FaultChange) {
        change_faults(&self.shared, change);
    }

    pub(crate) fn crash(&self) {
        crash(&self.shared);
    }

    pub(crate) fn wait(&mut self) {
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.faults.stop();
        shut_down_connections(&self.shared);
        let _ = TcpStream::connect(self.address);
        self.wait();
    }
}

fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>) {
    let running = WaitGroup::new();
    for id in 0.. {
        let accepted = listener.accept();
        if shared.faults.is_stopping() {
            break;
        }
        match accepted {
            Ok((stream, _)) => open_connection(id, stream, shared, running.clone()),
            Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
        }
    }
    shut_down_connections(shared);
    running.wait();
}

fn open_connection(id: u64, stream: TcpStream, shared: &Arc<Shared>, running: WaitGroup) {
    let Ok(registered) = stream.try_clone() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    lock_connections(shared).insert(id, registered);
    let connection_shared = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("connection".to_owned())
        .spawn(move || {
            serve_connection(stream, &connection_shared);
            close_connection(id, &connection_shared);
            drop(running);
        });
    if spawned.is_err() {
        close_connection(id, shared);
    }
}

fn close_connection(id: u64, shared: &Shared) {
    if let Some(stream) = lock_connections(shared).swap_remove(&id) {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn shut_down_connections(shared: &Shared) {
    for stream in lock_connections(shared).values() {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn lock_connections(shared: &Shared) -> MutexGuard<'_, IndexMap<u64, TcpStream>> {
    shared
        .connections
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

fn serve_connection(stream: TcpStream, shared: &Shared) {
    let mut connection = Connection::new(stream, Arc::clone(&shared.faults));
    loop {
        let request = match connection.read_request() {
            Ok(Some(request)) => request,
            Ok(None) | Err(RequestError::Connection(_)) => return,
            Err(error) => {
                let _ = connection.send_json(error.status(), &error.body());
                return;
            }
        };
        let close = request.requests_close();
        let keep_alive = if request.path == FAULTS_PATH {
            serve_faults(&request, &mut connection, shared)
        } else {
            serve_request(&request, &mut connection, shared)
        };
        if close && connection.is_silent() {
            connection.discard_until_closed();
        }
        if close || !keep_alive {
            return;
        }
    }
}

fn serve_faults(request: &Request, connection: &mut Connection, shared: &Shared) -> bool {
    let reply = match request.method.as_str() {
        "GET" => Ok(json!(shared.faults.settings())),
        "POST" => request.json().map(|change| {
            change_faults(shared, change);
            json!({})
        }),
        _ => Err(RequestError::NotFound),
    };
    connection.renew_epoch();
    let sent = match reply {
        Ok(body) => connection.send_json_despite_faults(200, &body),
        Err(error) => connection.send_json_despite_faults(error.status(), &error.body()),
    };
    sent.is_ok()
}

fn serve_request(request: &Request, connection: &mut Connection, shared: &Shared) -> bool {
    match connection.wait_for_state() {
        ConnectionState::Open => {}
        ConnectionState::Closed => return false,
        ConnectionState::Silent => {
            connection.discard_until_closed();
            return false;
        }
    }
    let faults = shared.faults.settings();
    if !connection.sleep(Duration::from_millis(faults.slow_ms)) {
        return false;
    }
    let has_marker = contains_marker(&request.body, &faults.crash_marker);
    if has_marker && shared.service.accepts(request) {
        if !faults.marker_silences {
            crash(shared);
            return false;
        }
        change_faults(
            shared,
            FaultChange {
                silent: Some(true),
                ..FaultChange::default()
            },
        );
        connection.discard_until_closed();
        return false;
    }
    if request.method != "GET" && shared.faults.consume_lost_answer() {
        connection.lose_answer();
    }
    let sent = match shared.service.handle(request, connection) {
        Ok(Reply::Json(status, body)) => connection.send_json(status, &body),
        Ok(Reply::Sent) => Ok(()),
        Err(RequestError::Connection(error)) => Err(error),
        Err(error) => connection.send_json(error.status(), &error.body()),
    };
    sent.is_ok() && !connection.is_answer_lost()
}

pub(crate) fn contains_marker(body: &[u8], marker: &str) -> bool {
    !marker.is_empty()
        && body
            .windows(marker.len())
            .any(|window| window == marker.as_bytes())
}

fn crash(shared: &Shared) {
    if shared.crash_action == CrashAction::ExitProcess {
        process::exit(CRASH_EXIT_CODE);
    }
    shared.faults.crash();
    shut_down_connections(shared);
}

fn change_faults(shared: &Shared, change: FaultChange) {
    if shared.faults.change(change) {
        shared.service.restart();
    }
}
