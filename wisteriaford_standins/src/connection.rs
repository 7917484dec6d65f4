//! Server side of a connection, where injected faults take effect.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use crate::error::Result;
use crate::faults::ConnectionEpoch;
use crate::faults::ConnectionState;
use crate::faults::Faults;
use crate::request::Request;

const PEEK_TIMEOUT: Duration = Duration::from_millis(1);

/// Server side of a connection.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    faults: Arc<Faults>,
    epoch: ConnectionEpoch,
    answer_lost: bool,
    silent: bool,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, faults: Arc<Faults>) -> Self {
        let epoch = faults.current_epoch();
        Self {
            stream,
            buffer: Vec::new(),
            faults,
            epoch,
            answer_lost: false,
            silent: false,
        }
    }

    pub(crate) fn read_request(&mut self) -> Result<Option<Request>> {
        Request::read(&mut self.stream, &mut self.buffer)
    }

    pub(crate) fn wait_for_state(&self) -> ConnectionState {
        self.faults.wait_for_state(self.epoch)
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

    /// Treats the connection as newly opened, so that earlier silences and crashes no longer affect
    /// it. Requests that change faults are thereby always answered.
    pub(crate) fn renew_epoch(&mut self) {
        self.epoch = self.faults.current_epoch();
    }

    /// Sleeps for `duration`; returns false immediately if the stand-in stops or crashes.
    pub(crate) fn sleep(&self, duration: Duration) -> bool {
        self.faults.sleep(self.epoch, duration)
    }

    /// Returns true if the stand-in or the peer has closed the connection.
    pub(crate) fn is_closed(&self) -> bool {
        self.faults.is_closed(self.epoch) || self.is_closed_by_peer()
    }

    /// Returns true if the peer has closed the connection.
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

    /// Reads and discards bytes until the peer closes the connection.
    pub(crate) fn discard_until_closed(&mut self) {
        let mut bytes = [0; 1024];
        while self.stream.read(&mut bytes).is_ok_and(|count| count > 0) {}
    }

    /// Sends a JSON answer.
    pub(crate) fn send_json(&mut self, status: u16, body: &Value) -> io::Result<()> {
        self.send(&encode_json_answer(status, body))
    }

    /// Sends a JSON answer regardless of the faults.
    pub(crate) fn send_json_despite_faults(&mut self, status: u16, body: &Value) -> io::Result<()> {
        self.stream.write_all(&encode_json_answer(status, body))
    }

    /// Sends the head of a chunked answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken or closed by a fault.
    pub(crate) fn begin_chunks(&mut self, content_type: &str) -> io::Result<()> {
        self.begin_chunks_with(content_type, &[])
    }

    /// Sends the head of a chunked answer with additional headers.
    pub(crate) fn begin_chunks_with(
        &mut self,
        content_type: &str,
        headers: &[(&str, &str)],
    ) -> io::Result<()> {
        let fields = encode_headers(headers);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\ntransfer-encoding: chunked\r\n{fields}\r\n"
        );
        self.send(head.as_bytes())
    }

    /// Sends an answer with a body of raw bytes.
    pub(crate) fn send_bytes(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let phrase = reason_phrase(status);
        let fields = encode_headers(headers);
        let length_bytes = body.len();
        let head =
            format!("HTTP/1.1 {status} {phrase}\r\ncontent-length: {length_bytes}\r\n{fields}\r\n");
        let mut answer = head.into_bytes();
        answer.extend_from_slice(body);
        self.send(&answer)
    }

    /// Sends an answer that breaks off halfway through its body.
    pub(crate) fn send_truncated(
        &mut self,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let fields = encode_headers(headers);
        let length_bytes = body.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length_bytes}\r\n{fields}\r\n");
        self.send(head.as_bytes())?;
        self.send(&body[..length_bytes / 2])?;
        Err(ErrorKind::ConnectionAborted.into())
    }

    /// Sends one chunk, which must not be empty: an empty chunk would end the answer.
    pub(crate) fn send_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.send(&chunk)
    }

    /// Ends a chunked answer.
    pub(crate) fn end_chunks(&mut self) -> io::Result<()> {
        self.send(b"0\r\n\r\n")
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self.wait_for_state() {
            ConnectionState::Closed => Err(ErrorKind::ConnectionAborted.into()),
            ConnectionState::Silent => {
                self.silent = true;
                Ok(())
            }
            ConnectionState::Open if self.answer_lost || self.silent => Ok(()),
            ConnectionState::Open => self.stream.write_all(bytes),
        }
    }
}

fn encode_headers(headers: &[(&str, &str)]) -> String {
    let lines = headers.iter();
    lines
        .map(|(name, value)| [name, ": ", value, "\r\n"].concat())
        .collect()
}

fn encode_json_answer(status: u16, body: &Value) -> Vec<u8> {
    let phrase = reason_phrase(status);
    let body = body.to_string();
    let length_bytes = body.len();
    let head = format!(
        "HTTP/1.1 {status} {phrase}\r\ncontent-type: application/json\r\ncontent-length: {length_bytes}\r\n\r\n"
    );
    (head + &body).into_bytes()
}

const fn reason_phrase(status: u16) -> &'static str {
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
