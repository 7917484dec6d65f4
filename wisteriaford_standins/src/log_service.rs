//! Append-only log with offsets, retention and a limited append rate.

use std::collections::VecDeque;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use clap::Args;
use clap::value_parser;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;

use crate::connection::Connection;
use crate::error::RequestError;
use crate::error::Result;
use crate::rate::TokenBucket;
use crate::request::Request;
use crate::server::Reply;
use crate::server::Service;

const FIRST_OFFSET: u64 = 1;
const MAX_RECORD_BYTES: usize = 1024 * 1024;
const MAX_STREAMS: usize = 64;
const DEFAULT_READ_RECORDS: usize = 1_000;
const MAX_READ_RECORDS: usize = 10_000;
const MAX_WAIT_MS: u64 = 30_000;
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Settings of the log.
#[derive(Args, Clone, Debug)]
pub struct LogSettings {
    /// Maximum number of appends per second over all streams [range: 1 to 1000000]
    #[arg(long, default_value_t = 400, value_parser = value_parser!(u32).range(1..=1_000_000))]
    pub appends_per_s: u32,
    /// Time in milliseconds for which a record is retained [range: 1 to 31536000000]
    #[arg(long, default_value_t = 3_600_000, value_parser = value_parser!(u64).range(1..=31_536_000_000))]
    pub retention_ms: u64,
    /// Maximum number of records retained per stream [range: 1 to 10000000]
    #[arg(long, default_value_t = 100_000, value_parser = value_parser!(u32).range(1..=10_000_000))]
    pub retention_records: u32,
}

#[derive(Debug)]
struct Record {
    at_ms: u64,
    data: Vec<u8>,
}

#[derive(Debug)]
struct Stream {
    first_offset: u64,
    records: VecDeque<Record>,
}

impl Default for Stream {
    fn default() -> Self {
        Self {
            first_offset: FIRST_OFFSET,
            records: VecDeque::new(),
        }
    }
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn apply_retention(&mut self, settings: &LogSettings, now_ms: u64) {
        while self.records.front().is_some_and(|record| {
            self.records.len() > settings.retention_records as usize
                || record.at_ms + settings.retention_ms <= now_ms
        }) {
            self.records.pop_front();
            self.first_offset += 1;
        }
    }

    fn read(&self, from: u64, max: usize) -> Value {
        let from = from.max(self.first_offset);
        let skip_count = usize::try_from(from - self.first_offset).unwrap_or(usize::MAX);
        let records: Vec<Value> = self
            .records
            .iter()
            .skip(skip_count)
            .take(max)
            .zip(from..)
            .map(|(record, offset)| {
                let data = STANDARD.encode(&record.data);
                json!({"offset": offset, "at_ms": record.at_ms, "data": data})
            })
            .collect();
        json!({
            "first_offset": self.first_offset,
            "next_offset": self.next_offset(),
            "records": records,
        })
    }
}

#[derive(Debug)]
struct LogState {
    streams: IndexMap<String, Stream>,
    append_limiter: TokenBucket,
}

/// Append-only log.
#[derive(Debug)]
pub(crate) struct LogService {
    settings: LogSettings,
    state: Mutex<LogState>,
    appended: Condvar,
}

impl LogService {
    pub(crate) fn new(settings: LogSettings) -> Self {
        let append_limiter = TokenBucket::new(settings.appends_per_s, Instant::now());
        Self {
            settings,
            state: Mutex::new(LogState {
                streams: IndexMap::new(),
                append_limiter,
            }),
            appended: Condvar::new(),
        }
    }

    fn append(&self, name: &str, data: &[u8]) -> Result<Reply> {
        if data.is_empty() {
            return Err(RequestError::Parameter { name: "body" });
        }
        if data.len() > MAX_RECORD_BYTES {
            return Err(RequestError::TooLarge {
                limit_bytes: MAX_RECORD_BYTES,
            });
        }
        let mut state = self.lock();
        if !state.streams.contains_key(name) && state.streams.len() >= MAX_STREAMS {
            return Err(RequestError::Parameter { name: "stream" });
        }
        if !state.append_limiter.try_take(Instant::now()) {
            return Err(RequestError::RateLimited);
        }
        let stream = state.streams.entry(name.to_owned()).or_default();
        let at_ms = unix_ms();
        let offset = stream.next_offset();
        stream.records.push_back(Record {
            at_ms,
            data: data.to_vec(),
        });
        stream.apply_retention(&self.settings, at_ms);
        self.appended.notify_all();
        Ok(Reply::ok(json!({ "offset": offset })))
    }

    fn read(&self, name: &str, request: &Request, connection: &Connection) -> Result<Reply> {
        let from = request.parameter("from", FIRST_OFFSET)?.max(FIRST_OFFSET);
        let max = request.parameter("max", DEFAULT_READ_RECORDS)?;
        let wait_ms = request.parameter("wait_ms", 0)?.min(MAX_WAIT_MS);
        if max == 0 || max > MAX_READ_RECORDS {
            return Err(RequestError::Parameter { name: "max" });
        }
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            let next_offset = state
                .streams
                .get(name)
                .map_or(FIRST_OFFSET, Stream::next_offset);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if next_offset > from || remaining.is_zero() {
                break;
            }
            (state, _) = self
                .appended
                .wait_timeout(state, remaining.min(CONNECTION_CHECK_INTERVAL))
                .unwrap_or_else(PoisonError::into_inner);
            drop(state);
            if connection.is_closed() {
                return Err(RequestError::Connection(
                    std::io::ErrorKind::ConnectionAborted.into(),
                ));
            }
            state = self.lock();
        }
        let answer = match state.streams.get_mut(name) {
            Some(stream) => {
                stream.apply_retention(&self.settings, unix_ms());
                stream.read(from, max)
            }
            None => Stream::default().read(from, max),
        };
        Ok(Reply::ok(answer))
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for LogService {
    fn handle(&self, request: &Request, connection: &mut Connection) -> Result<Reply> {
        match (request.method.as_str(), request.segments().as_slice()) {
            ("POST", ["streams", name, "records"]) => self.append(name, &request.body),
            ("GET", ["streams", name, "records"]) => self.read(name, request, connection),
            _ => Err(RequestError::NotFound),
        }
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
