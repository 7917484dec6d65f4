//! Small HTTP/1.1 server with one thread a connection.
//!
//! It has raw control of its sockets, which the faults and streamed answers need.

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
use crate::faults::FaultChange;
use crate::faults::Faults;
use crate::faults::Passage;
use crate::request::Request;

const FAULTS_PATH: &str = "/faults";
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Exit code of a process that a crash marker ended.
pub const CRASH_EXIT_CODE: i32 = 134;

/// Answer to one request.
#[derive(Debug)]
pub enum Reply {
    /// Whole JSON answer with its status.
    Json(u16, Value),
    /// The service has sent the answer itself.
    Sent,
}

impl Reply {
    /// Returns an ordinary JSON answer.
    #[must_use]
    pub const fn ok(body: Value) -> Self {
        Self::Json(200, body)
    }
}

/// What one kind of stand-in does with requests.
pub(crate) trait Service: Send + Sync {
    /// Handles one request.
    fn handle(&self, request: &Request, connection: &mut Connection) -> Result<Reply>;

    /// Begins a new life after a crash.
    fn restart(&self) {}
}

/// What a crash marker does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CrashAction {
    /// The stand-in goes down until a fault change says `down: false`.
    #[default]
    GoDown,
    /// The process exits at once.
    ExitProcess,
}

struct Shared {
    service: Arc<dyn Service>,
    faults: Arc<Faults>,
    crash_action: CrashAction,
    open: Mutex<IndexMap<u64, TcpStream>>,
}

/// Running server; it stops when dropped.
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
            open: Mutex::default(),
        });
        let accepting = Arc::clone(&shared);
        let acceptor = thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || accept(&listener, &accepting))?;
        Ok(Self {
            address,
            shared,
            acceptor: Some(acceptor),
        })
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
        cut_open(&self.shared);
        let _ = TcpStream::connect(self.address);
        self.wait();
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    let connections = WaitGroup::new();
    for number in 0.. {
        let accepted = listener.accept();
        if shared.faults.is_stopping() {
            break;
        }
        match accepted {
            Ok((stream, _)) => open(number, stream, shared, connections.clone()),
            Err(_) => thread::sleep(ACCEPT_RETRY),
        }
    }
    cut_open(shared);
    connections.wait();
}

fn open(number: u64, stream: TcpStream, shared: &Arc<Shared>, running: WaitGroup) {
    let Ok(registered) = stream.try_clone() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    lock_open(shared).insert(number, registered);
    let serving = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("connection".to_owned())
        .spawn(move || {
            serve(stream, &serving);
            close(number, &serving);
            drop(running);
        });
    if spawned.is_err() {
        close(number, shared);
    }
}

fn close(number: u64, shared: &Shared) {
    if let Some(stream) = lock_open(shared).swap_remove(&number) {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn cut_open(shared: &Shared) {
    for stream in lock_open(shared).values() {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn lock_open(shared: &Shared) -> MutexGuard<'_, IndexMap<u64, TcpStream>> {
    shared.open.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(stream: TcpStream, shared: &Shared) {
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
        let close = request.wants_close();
        let kept = if request.path == FAULTS_PATH {
            serve_faults(&request, &mut connection, shared)
        } else {
            serve_request(&request, &mut connection, shared)
        };
        if close && connection.is_silent() {
            connection.hold();
        }
        if close || !kept {
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
    connection.renew_mark();
    let sent = match reply {
        Ok(body) => connection.send_json_anyway(200, &body),
        Err(error) => connection.send_json_anyway(error.status(), &error.body()),
    };
    sent.is_ok()
}

fn serve_request(request: &Request, connection: &mut Connection, shared: &Shared) -> bool {
    match connection.passage() {
        Passage::Open => {}
        Passage::Cut => return false,
        Passage::Silent => {
            connection.hold();
            return false;
        }
    }
    let faults = shared.faults.settings();
    if !connection.sleep(Duration::from_millis(faults.slow_ms)) {
        return false;
    }
    if holds_marker(&request.body, &faults.crash_marker) {
        crash(shared);
        return false;
    }
    if request.method != "GET" && shared.faults.take_lost_answer() {
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

fn holds_marker(body: &[u8], marker: &str) -> bool {
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
    cut_open(shared);
}

fn change_faults(shared: &Shared, change: FaultChange) {
    if shared.faults.change(change) {
        shared.service.restart();
    }
}
