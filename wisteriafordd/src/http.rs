//! Blocking HTTP client for endpoints and the platform.

use std::io;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::header::CONTENT_LENGTH;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::header::TRANSFER_ENCODING;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Limits on reading the body of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Maximum size in bytes.
    max_bytes: usize,
    /// Time limit for the whole body.
    timeout: Duration,
}

impl BodyLimits {
    /// Limits on answers with few fields: states of endpoints, and acknowledgements.
    ///
    /// They need no large buffer. At 1 MiB, endless answers to cancellations held one each.
    pub(crate) fn small(timeout: Duration) -> Self {
        Self {
            max_bytes: SMALL_BODY_BYTES,
            timeout,
        }
    }

    /// Limits on answers of endpoints, and on short ones of the platform.
    pub(crate) fn short(timeout: Duration) -> Self {
        Self {
            max_bytes: 1 << 20,
            timeout,
        }
    }

    /// Limits on the changes of an engine's cache, of which a first read returns all blocks.
    pub(crate) fn cache(timeout: Duration) -> Self {
        Self {
            max_bytes: 4 << 20,
            timeout,
        }
    }

    /// Limits on a page of the log, which may hold many configurations.
    pub(crate) fn page(timeout: Duration) -> Self {
        Self {
            max_bytes: 64 << 20,
            timeout,
        }
    }
}

/// Size of the blocks in which bodies are read.
const BLOCK_BYTES: usize = 16 * 1024;
/// Size up to which any number of bodies may be read at the same time, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Number of larger bodies that may be read at the same time.
const MAX_LARGE_BODIES: usize = 2;
/// Maximum size of a buffer that is kept for the next large body, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 1 << 20;

/// Size from which the allocator of the GNU C library maps every block on its own, and returns it to the
/// system once it is freed. Up to this size, it raises the limit with each freed block, and keeps the next
/// ones: copies of 16 MiB took 131 MB of a machine of 112.
const MAPPED_BLOCK_BYTES: usize = 33 << 20;

/// Buffers of large bodies, which are reused: memory that many threads free is not returned.
struct LargeBuffers {
    in_use: usize,
    idle: Vec<Vec<u8>>,
}

static LARGE_BUFFERS: Mutex<LargeBuffers> = Mutex::new(LargeBuffers {
    in_use: 0,
    idle: Vec::new(),
});
static LARGE_BUFFER_FREED: Condvar = Condvar::new();

/// Buffer for a large body; their number bounds the memory that servers can make the process use.
struct LargeBuffer(Vec<u8>);

impl LargeBuffer {
    /// Waits until a buffer is free, and fills it with the part of a body that was read.
    fn acquire(read: &[u8], timeout: Duration) -> Result<Self, HttpError> {
        let buffers = LARGE_BUFFERS.lock().unwrap_or_else(PoisonError::into_inner);
        let (mut buffers, waited) = LARGE_BUFFER_FREED
            .wait_timeout_while(buffers, timeout, |buffers| {
                buffers.in_use >= MAX_LARGE_BODIES
            })
            .unwrap_or_else(PoisonError::into_inner);
        if waited.timed_out() {
            return Err(HttpError::ConnectionLost(ErrorKind::TimedOut.into()));
        }
        buffers.in_use += 1;
        let mut buffer = buffers.idle.pop().unwrap_or_default();
        buffer.extend_from_slice(read);
        Ok(Self(buffer))
    }
}

impl Drop for LargeBuffer {
    fn drop(&mut self) {
        let mut buffer = std::mem::take(&mut self.0);
        buffer.clear();
        buffer.shrink_to(MAX_IDLE_BUFFER_BYTES);
        let mut buffers = LARGE_BUFFERS.lock().unwrap_or_else(PoisonError::into_inner);
        buffers.in_use -= 1;
        buffers.idle.push(buffer);
        LARGE_BUFFER_FREED.notify_one();
    }
}

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub(crate) enum HttpError {
    /// The connection was refused or no local address was available, so no byte was sent.
    #[display("connection refused")]
    NotConnected,
    /// The connection failed or timed out after bytes may have been sent.
    #[display("connection lost: {_0}")]
    ConnectionLost(io::Error),
    /// The status of the answer is not 2xx.
    #[display("status {status}")]
    Status {
        /// Status code.
        status: u16,
        /// Error code in the body; empty if there is none.
        code: String,
    },
    /// The body of the answer is larger than expected.
    #[display("answer too large")]
    TooLarge,
    /// The request could not be built, or the answer could not be parsed.
    #[display("malformed answer")]
    Malformed,
}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::AddrNotAvailable => Self::NotConnected,
            _ => Self::ConnectionLost(error),
        }
    }
}

/// Returns a copy of a body whose memory is returned to the system with the request.
///
/// Pages of the block that aren't written take no memory.
pub(crate) fn unretained_copy(body: &[u8]) -> Vec<u8> {
    let mut copy = Vec::new();
    if body.len() > SMALL_BODY_BYTES {
        // Fails where address space is limited; the copy is then an ordinary block.
        drop(copy.try_reserve_exact(body.len().max(MAPPED_BLOCK_BYTES)));
    }
    copy.extend_from_slice(body);
    copy
}

/// Sends a request and returns the answer with its body still unread.
pub(crate) fn send(
    timeout: Duration,
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<Response<Body>, HttpError> {
    let mut request = Request::builder().method(method).uri(url);
    for &(name, value) in headers {
        request = request.header(name, value);
    }
    let request = request
        .body(Body::from(body))
        .map_err(|_| HttpError::Malformed)?;
    let client = Client::new().with_global_timeout(timeout);
    Ok(client.request(request)?)
}

/// Sends a request with an optional JSON body and parses its JSON answer.
pub(crate) fn call<A: DeserializeOwned>(
    limits: BodyLimits,
    method: Method,
    url: &str,
    body: Option<&impl Serialize>,
) -> Result<A, HttpError> {
    let body = match body {
        Some(body) => serde_json::to_vec(body).map_err(|_| HttpError::Malformed)?,
        None => Vec::new(),
    };
    let headers = [(CONTENT_TYPE.as_str(), "application/json")];
    let response = send(limits.timeout, method, url, &headers, body)?;
    let bytes = read_success_body(response, limits)?;
    serde_json::from_slice(&bytes).map_err(|_| HttpError::Malformed)
}

/// Sends a GET request and parses its JSON answer.
pub(crate) fn get<A: DeserializeOwned>(limits: BodyLimits, url: &str) -> Result<A, HttpError> {
    call(limits, Method::GET, url, None::<&()>)
}

/// Sends a GET request and parses its JSON answer while it is read, without a buffer for the body: an
/// answer that is no JSON ends at its first byte.
pub(crate) fn get_streamed<A: DeserializeOwned>(
    limits: BodyLimits,
    url: &str,
) -> Result<A, HttpError> {
    let began = Instant::now();
    let response = send(limits.timeout, Method::GET, url, &[], Vec::new())?;
    if !response.status().is_success() {
        read_success_body(response, BodyLimits::small(limits.timeout))?;
        return Err(HttpError::Malformed);
    }
    let body = TimedBody {
        body: response.into_body(),
        deadline: began + limits.timeout,
    };
    let body = body.take(u64::try_from(limits.max_bytes).unwrap_or(u64::MAX));
    let body = BufReader::with_capacity(BLOCK_BYTES, body);
    serde_json::from_reader(body).map_err(|error| match error.io_error_kind() {
        Some(kind) => HttpError::ConnectionLost(kind.into()),
        None => HttpError::Malformed,
    })
}

/// Body that must be read before a deadline, however many of its bytes come.
struct TimedBody {
    body: Body,
    deadline: Instant,
}

impl Read for TimedBody {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.body.read(buffer)?;
        if Instant::now() > self.deadline {
            return Err(ErrorKind::TimedOut.into());
        }
        Ok(count)
    }
}

/// Reads the body of an answer, or returns an error if its status is not 2xx.
pub(crate) fn read_success_body(
    response: Response<Body>,
    limits: BodyLimits,
) -> Result<Vec<u8>, HttpError> {
    let status = response.status();
    let bytes = read_body(response, limits)?;
    if status.is_success() {
        return Ok(bytes);
    }
    Err(HttpError::Status {
        status: status.as_u16(),
        code: error_code(&bytes),
    })
}

/// Reads the body of an answer regardless of its status.
///
/// A body that exceeds the limits is an error: what was read of it is not the whole answer.
pub(crate) fn read_body(
    response: Response<Body>,
    limits: BodyLimits,
) -> Result<Vec<u8>, HttpError> {
    let began = Instant::now();
    let headers = response.headers();
    let declared_bytes = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared_bytes.is_none() && !headers.contains_key(TRANSFER_ENCODING) {
        // The library takes a body that ends with its connection for an empty one.
        return Err(HttpError::Malformed);
    }
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut large: Option<LargeBuffer> = None;
    let mut block = vec![0; BLOCK_BYTES];
    loop {
        let count = body.read(&mut block).map_err(HttpError::ConnectionLost)?;
        if count == 0 {
            break;
        }
        if began.elapsed() > limits.timeout {
            return Err(HttpError::ConnectionLost(ErrorKind::TimedOut.into()));
        }
        let held_bytes = large.as_ref().map_or(bytes.len(), |large| large.0.len());
        if held_bytes + count > limits.max_bytes {
            return Err(HttpError::TooLarge);
        }
        if large.is_none() && held_bytes + count > SMALL_BODY_BYTES {
            large = Some(LargeBuffer::acquire(&bytes, limits.timeout)?);
        }
        let read = large.as_mut().map_or(&mut bytes, |large| &mut large.0);
        read.extend_from_slice(&block[..count]);
    }
    let bytes = large.map_or(bytes, |large| large.0.clone());
    if declared_bytes.is_some_and(|declared| declared != bytes.len()) {
        return Err(HttpError::ConnectionLost(ErrorKind::UnexpectedEof.into()));
    }
    Ok(bytes)
}

/// Returns the error code in a typed error body, or an empty string if there is none.
pub(crate) fn error_code(bytes: &[u8]) -> String {
    let body: Option<serde_json::Value> = serde_json::from_slice(bytes).ok();
    let code = body
        .as_ref()
        .and_then(|body| body["error"]["code"].as_str());
    code.unwrap_or_default().to_owned()
}
