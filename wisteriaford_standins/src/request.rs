//! Reads HTTP/1.1 requests from a connection.

use std::io::Read;
use std::str::FromStr;

use indexmap::IndexMap;
use serde::de::DeserializeOwned;

use crate::error::RequestError;
use crate::error::Result;

const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;
const MAX_HEADERS: usize = 96;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// HTTP request with its complete body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method, in upper case.
    pub method: String,
    /// Path, without the query string.
    pub path: String,
    /// Query parameters.
    pub query: IndexMap<String, String>,
    /// Headers, with names in lower case; values of repeated ones are separated by commas.
    pub headers: IndexMap<String, String>,
    /// Complete body, with the chunked encoding removed.
    pub body: Vec<u8>,
}

impl Request {
    /// Reads the next request; returns `None` if the peer has closed the connection.
    ///
    /// `buffer` holds bytes that were read but not consumed yet, for the next call.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or if the request isn't valid HTTP/1.1 or is too large.
    pub fn read(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<Option<Self>> {
        loop {
            if let Some((request, head_bytes)) = parse_head(buffer)? {
                buffer.drain(..head_bytes);
                return request.read_body(stream, buffer).map(Some);
            }
            if buffer.len() > MAX_HEAD_BYTES {
                return Err(RequestError::TooLarge {
                    limit_bytes: MAX_HEAD_BYTES,
                });
            }
            if !read_more(stream, buffer)? {
                return Ok(None);
            }
        }
    }

    /// Parses the body as JSON of type `T`.
    ///
    /// # Errors
    ///
    /// Fails if the body isn't valid JSON or doesn't match `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Returns a query parameter, or `default` if it is absent.
    ///
    /// # Errors
    ///
    /// Fails if the parameter can't be parsed as `T`.
    pub fn parameter<T: FromStr>(&self, name: &'static str, default: T) -> Result<T> {
        match self.query.get(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| RequestError::Parameter { name }),
        }
    }

    /// Returns the segments of the path.
    #[must_use]
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').skip(1).collect()
    }

    pub(crate) fn requests_close(&self) -> bool {
        self.headers
            .get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    fn read_body(mut self, stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<Self> {
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
        fill_buffer(stream, buffer, length_bytes)?;
        self.body = buffer.drain(..length_bytes).collect();
        Ok(self)
    }
}

fn parse_head(buffer: &[u8]) -> Result<Option<(Request, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
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
        headers: decode_headers(head.headers),
        body: Vec::new(),
    };
    Ok(Some((request, head_bytes)))
}

fn decode_headers(fields: &[httparse::Header<'_>]) -> IndexMap<String, String> {
    let mut headers: IndexMap<String, String> = IndexMap::new();
    for (name, value) in fields.iter().map(decode_header) {
        let entry = headers.entry(name);
        let entry = entry.and_modify(|values| {
            values.push_str(", ");
            values.push_str(&value);
        });
        entry.or_insert(value);
    }
    headers
}

fn decode_header(header: &httparse::Header<'_>) -> (String, String) {
    let value = String::from_utf8_lossy(header.value).into_owned();
    (header.name.to_ascii_lowercase(), value)
}

fn read_chunks(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let parsed = httparse::parse_chunk_size(buffer)
            .map_err(|_| RequestError::Parameter { name: "chunk size" })?;
        let httparse::Status::Complete((line_bytes, chunk_bytes)) = parsed else {
            let required_bytes = buffer.len() + 1;
            fill_buffer(stream, buffer, required_bytes)?;
            continue;
        };
        let chunk_bytes = usize::try_from(chunk_bytes).unwrap_or(usize::MAX);
        if chunk_bytes > MAX_BODY_BYTES - body.len() {
            return Err(RequestError::TooLarge {
                limit_bytes: MAX_BODY_BYTES,
            });
        }
        fill_buffer(stream, buffer, line_bytes + chunk_bytes + 2)?;
        body.extend_from_slice(&buffer[line_bytes..line_bytes + chunk_bytes]);
        buffer.drain(..line_bytes + chunk_bytes + 2);
        if chunk_bytes == 0 {
            return Ok(body);
        }
    }
}

fn fill_buffer(stream: &mut impl Read, buffer: &mut Vec<u8>, required_bytes: usize) -> Result<()> {
    if required_bytes > MAX_BODY_BYTES + MAX_HEAD_BYTES {
        return Err(RequestError::TooLarge {
            limit_bytes: MAX_BODY_BYTES,
        });
    }
    while buffer.len() < required_bytes {
        if !read_more(stream, buffer)? {
            let kind = std::io::ErrorKind::UnexpectedEof;
            return Err(RequestError::Connection(kind.into()));
        }
    }
    Ok(())
}

fn read_more(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<bool> {
    let mut bytes = [0; READ_BUFFER_BYTES];
    let count = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count > 0)
}
