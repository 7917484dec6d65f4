//! Answering side of one connection, where the faults take hold.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use crate::error::Result;
use crate::faults::ConnectionMark;
use crate::faults::Faults;
use crate::faults::Passage;
use crate::request::Request;

const PEEK_TIMEOUT: Duration = Duration::from_millis(1);

/// Answering side of one connection.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    faults: Arc<Faults>,
    mark: ConnectionMark,
    answer_lost: bool,
    silent: bool,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, faults: Arc<Faults>) -> Self {
        let mark = faults.mark();
        Self {
            stream,
            buffer: Vec::new(),
            faults,
            mark,
            answer_lost: false,
            silent: false,
        }
    }

    pub(crate) fn read_request(&mut self) -> Result<Option<Request>> {
        Request::read(&mut self.stream, &mut self.buffer)
    }

    pub(crate) fn passage(&self) -> Passage {
        self.faults.passage(self.mark)
    }

    pub(crate) fn lose_answer(&mut self) {
        self.answer_lost = true;
    }

    pub(crate) const fn is_answer_lost(&self) -> bool {
        self.answer_lost
    }

    pub(crate) const fn is_silent(&self) -> bool {
        self.silent
    }

    /// Forgets silences that began before now, so that switching faults is always answered.
    pub(crate) fn renew_mark(&mut self) {
        self.mark = self.faults.mark();
    }

    /// Waits for `duration`; returns false at once if the stand-in stops or crashes.
    pub(crate) fn sleep(&self, duration: Duration) -> bool {
        self.faults.sleep(self.mark, duration)
    }

    /// Returns true once nothing that is sent could arrive.
    pub(crate) fn is_over(&self) -> bool {
        self.faults.is_over(self.mark) || self.is_closed_by_peer()
    }

    /// Returns true once the other end has closed the connection.
    fn is_closed_by_peer(&self) -> bool {
        if self.stream.set_read_timeout(Some(PEEK_TIMEOUT)).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let restored = self.stream.set_read_timeout(None);
        match peeked {
            Ok(count) => count == 0 || restored.is_err(),
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }

    /// Reads and drops bytes until the other end closes the connection.
    pub(crate) fn hold(&mut self) {
        let mut bytes = [0; 1024];
        while self.stream.read(&mut bytes).is_ok_and(|count| count > 0) {}
    }

    /// Sends a whole answer.
    pub(crate) fn send_json(&mut self, status: u16, body: &Value) -> io::Result<()> {
        self.send(&whole_answer(status, body))
    }

    /// Sends a whole answer whatever the faults are.
    pub(crate) fn send_json_anyway(&mut self, status: u16, body: &Value) -> io::Result<()> {
        self.stream.write_all(&whole_answer(status, body))
    }

    /// Begins an answer whose chunks follow.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken or cut by a fault.
    pub(crate) fn begin_chunks(&mut self, content_type: &str) -> io::Result<()> {
        self.begin_chunks_with(content_type, &[])
    }

    /// Begins an answer with more header fields, whose chunks follow.
    pub(crate) fn begin_chunks_with(
        &mut self,
        content_type: &str,
        headers: &[(&str, &str)],
    ) -> io::Result<()> {
        let fields = header_lines(headers);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\ntransfer-encoding: chunked\r\n{fields}\r\n"
        );
        self.send(head.as_bytes())
    }

    /// Sends a whole answer of any bytes.
    pub(crate) fn send_bytes(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let reason = reason(status);
        let fields = header_lines(headers);
        let length_bytes = body.len();
        let head =
            format!("HTTP/1.1 {status} {reason}\r\ncontent-length: {length_bytes}\r\n{fields}\r\n");
        let mut answer = head.into_bytes();
        answer.extend_from_slice(body);
        self.send(&answer)
    }

    /// Sends one chunk, which mustn't be empty.
    pub(crate) fn send_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.send(&chunk)
    }

    /// Ends an answer made of chunks.
    pub(crate) fn end_chunks(&mut self) -> io::Result<()> {
        self.send(b"0\r\n\r\n")
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self.passage() {
            Passage::Cut => Err(ErrorKind::ConnectionAborted.into()),
            Passage::Silent => {
                self.silent = true;
                Ok(())
            }
            Passage::Open if self.answer_lost || self.silent => Ok(()),
            Passage::Open => self.stream.write_all(bytes),
        }
    }
}

fn header_lines(headers: &[(&str, &str)]) -> String {
    let lines = headers.iter();
    lines
        .map(|(name, value)| [name, ": ", value, "\r\n"].concat())
        .collect()
}

fn whole_answer(status: u16, body: &Value) -> Vec<u8> {
    let reason = reason(status);
    let body = body.to_string();
    let length_bytes = body.len();
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\ncontent-length: {length_bytes}\r\n\r\n"
    );
    (head + &body).into_bytes()
}

const fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Bad Request",
    }
}
