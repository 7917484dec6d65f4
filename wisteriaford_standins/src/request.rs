//! Requests as a stand-in reads them from a connection.

use std::io::Read;
use std::str::FromStr;

use indexmap::IndexMap;
use serde::de::DeserializeOwned;

use crate::error::RequestError;
use crate::error::Result;

const HEAD_LIMIT_BYTES: usize = 64 * 1024;
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const HEADER_LIMIT: usize = 96;
const READ_BYTES: usize = 16 * 1024;

/// One request with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method in capitals.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Parameters of the query.
    pub query: IndexMap<String, String>,
    /// Headers, their names in lower case.
    pub headers: IndexMap<String, String>,
    /// Body, its chunks put together.
    pub body: Vec<u8>,
}

impl Request {
    /// Reads the next request, or `None` at the end of the connection.
    ///
    /// `buffer` keeps bytes that belong to a later request.
    ///
    /// # Errors
    ///
    /// Fails on a broken connection, on bytes that aren't HTTP/1.1 and on too large a request.
    pub fn read(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<Option<Self>> {
        loop {
            if let Some((request, head_bytes)) = parse_head(buffer)? {
                buffer.drain(..head_bytes);
                return request.with_body(stream, buffer).map(Some);
            }
            if buffer.len() > HEAD_LIMIT_BYTES {
                return Err(RequestError::TooLarge {
                    limit_bytes: HEAD_LIMIT_BYTES,
                });
            }
            if !read_more(stream, buffer)? {
                return Ok(None);
            }
        }
    }

    /// Returns the body as JSON of type `T`.
    ///
    /// # Errors
    ///
    /// Fails if the body isn't such JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Returns a parameter of the query, or `default` without it.
    ///
    /// # Errors
    ///
    /// Fails if the parameter can't be read as `T`.
    pub fn parameter<T: FromStr>(&self, name: &'static str, default: T) -> Result<T> {
        match self.query.get(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| RequestError::Parameter { name }),
        }
    }

    /// Returns the parts of the path between slashes.
    #[must_use]
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').skip(1).collect()
    }

    pub(crate) fn wants_close(&self) -> bool {
        self.headers
            .get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    fn with_body(mut self, stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<Self> {
        if self.headers.contains_key("transfer-encoding") {
            self.body = read_chunks(stream, buffer)?;
            return Ok(self);
        }
        let length_bytes = match self.headers.get("content-length") {
            None => 0,
            Some(text) => text.parse().map_err(|_| RequestError::Parameter {
                name: "content-length",
            })?,
        };
        fill(stream, buffer, length_bytes)?;
        self.body = buffer.drain(..length_bytes).collect();
        Ok(self)
    }
}

fn parse_head(buffer: &[u8]) -> Result<Option<(Request, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut head = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head_bytes) = head.parse(buffer)? else {
        return Ok(None);
    };
    let target = head.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let request = Request {
        method: head.method.unwrap_or("GET").to_owned(),
        path: path.to_owned(),
        query: query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        headers: head.headers.iter().map(header_text).collect(),
        body: Vec::new(),
    };
    Ok(Some((request, head_bytes)))
}

fn header_text(header: &httparse::Header<'_>) -> (String, String) {
    let value = String::from_utf8_lossy(header.value).into_owned();
    (header.name.to_ascii_lowercase(), value)
}

fn read_chunks(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let parsed = httparse::parse_chunk_size(buffer)
            .map_err(|_| RequestError::Parameter { name: "chunk size" })?;
        let httparse::Status::Complete((line_bytes, chunk_bytes)) = parsed else {
            let wanted_bytes = buffer.len() + 1;
            fill(stream, buffer, wanted_bytes)?;
            continue;
        };
        let chunk_bytes = usize::try_from(chunk_bytes).unwrap_or(usize::MAX);
        if chunk_bytes > BODY_LIMIT_BYTES - body.len() {
            return Err(RequestError::TooLarge {
                limit_bytes: BODY_LIMIT_BYTES,
            });
        }
        fill(stream, buffer, line_bytes + chunk_bytes + 2)?;
        body.extend_from_slice(&buffer[line_bytes..line_bytes + chunk_bytes]);
        buffer.drain(..line_bytes + chunk_bytes + 2);
        if chunk_bytes == 0 {
            return Ok(body);
        }
    }
}

fn fill(stream: &mut impl Read, buffer: &mut Vec<u8>, wanted_bytes: usize) -> Result<()> {
    if wanted_bytes > BODY_LIMIT_BYTES + HEAD_LIMIT_BYTES {
        return Err(RequestError::TooLarge {
            limit_bytes: BODY_LIMIT_BYTES,
        });
    }
    while buffer.len() < wanted_bytes {
        if !read_more(stream, buffer)? {
            let cause = std::io::ErrorKind::UnexpectedEof;
            return Err(RequestError::Connection(cause.into()));
        }
    }
    Ok(())
}

fn read_more(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<bool> {
    let mut bytes = [0; READ_BYTES];
    let count = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count > 0)
}
