//! Minimal HTTP/1.1 server and client over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Request that a stand-in received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            decoded.push(byte);
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
) -> io::Result<Option<Vec<u8>>> {
    let header = |name: &str| {
        let found = headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.clone())
    };
    if header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(body));
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = header("content-length").and_then(|value| value.parse().ok());
    let Some(length) = length else {
        return Ok(None);
    };
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(body))
}

/// Reads a request; `None` once the connection is closed.
fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut parts = first.split(' ');
    let method = parts.next().unwrap_or("").to_owned();
    let target = parts.next().unwrap_or("").to_owned();
    let body = read_body(reader, &headers)?.unwrap_or_default();
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

/// Encodes an answer with a body of known length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = head(status, headers);
    bytes.extend(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes the beginning of a head, without the empty line that ends it.
pub fn head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.into_bytes()
}

/// Encodes a chunk of a body.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Connection of a server, as a handler sees it.
pub struct Connection {
    pub stream: TcpStream,
    /// Bytes that the handler keeps until a later request of the connection.
    pub held_back: Option<(std::time::Instant, Vec<u8>)>,
}

impl Connection {
    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        drop(self.stream.set_nonblocking(true));
        let peeked = self.stream.peek(&mut byte);
        drop(self.stream.set_nonblocking(false));
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Handler of requests; an error closes the connection.
pub type Handler = dyn Fn(&Request, &mut Connection) -> io::Result<()> + Send + Sync;

/// Server that can be ended like a process that crashes.
pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(ip: &str, handler: Arc<Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let ended = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_ended, open) = (Arc::clone(&ended), Arc::clone(&connections));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if is_ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(clone) = stream.try_clone() {
                    open.lock().unwrap().push(clone);
                }
                let handler = Arc::clone(&handler);
                let is_ended = Arc::clone(&is_ended);
                thread::spawn(move || drop(serve(stream, &*handler, &is_ended)));
            }
        });
        Ok(Self {
            address,
            ended,
            connections,
        })
    }

    /// Closes the port and all connections.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which is dropped then.
        drop(TcpStream::connect(self.address));
        for stream in self.connections.lock().unwrap().drain(..) {
            drop(stream.shutdown(std::net::Shutdown::Both));
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, ended: &AtomicBool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut connection = Connection {
        stream,
        held_back: None,
    };
    let result = (|| {
        while let Some(request) = read_request(&mut reader)? {
            if ended.load(Ordering::SeqCst) {
                break;
            }
            handler(&request, &mut connection)?;
        }
        Ok(())
    })();
    // The server keeps a clone, which would leave the connection open.
    drop(connection.stream.shutdown(std::net::Shutdown::Both));
    result
}

/// Answer that a client received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection, and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut request = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!(
        "content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    ));
    stream.write_all(request.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let body = match read_body(&mut reader, &headers)? {
        Some(body) => body,
        None => {
            let mut body = Vec::new();
            reader.read_to_end(&mut body)?;
            body
        }
    };
    Ok(Answer {
        status: status.unwrap_or(0),
        body,
    })
}

/// How a stream of events ended.
#[derive(Clone, Debug, Default)]
pub struct StreamEnd {
    pub status: u16,
    /// Numbers of the events that came, in order.
    pub events: Vec<u64>,
    pub is_complete: bool,
}

/// Reads a stream of events until it ends, or until `stop` says so after an event.
pub fn read_stream(
    address: SocketAddr,
    target: &str,
    headers: &[(&str, &str)],
    timeout: Duration,
    mut stop: impl FnMut(u64) -> bool,
) -> io::Result<StreamEnd> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut request = format!("POST {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str("content-length: 6\r\n\r\nprompt");
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, _) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let mut end = StreamEnd {
        status: status.unwrap_or(0),
        ..StreamEnd::default()
    };
    if end.status != 200 {
        return Ok(end);
    }
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return Ok(end);
        }
        if line.trim_end() == "0" {
            end.is_complete = true;
            return Ok(end);
        }
        let event = line
            .strip_prefix("id:")
            .and_then(|text| text.trim().parse().ok());
        if let Some(event) = event {
            end.events.push(event);
            if stop(event) {
                return Ok(end);
            }
        }
    }
}
