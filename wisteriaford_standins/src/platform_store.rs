//! Stand-in of the users' platform's store: a log with keyed topics.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use clap::Args;
use indexmap::IndexMap;
use serde_json::json;

use crate::connection::Connection;
use crate::error::RequestError;
use crate::error::Result;
use crate::request::Request;
use crate::server::Reply;
use crate::server::Service;

/// Most records on one page of the newest.
const PAGE_RECORDS: usize = 500;
/// Time between two looks for a record that a read waits for.
const POLL: Duration = Duration::from_millis(2);
/// Longest wait of a read.
const MAX_WAIT_MS: u64 = 30_000;

/// Settings of the store.
#[derive(Args, Clone, Copy, Debug)]
pub struct PlatformStoreSettings {
    /// Records of a topic that stay readable by offset; older ones are only kept as the newest
    #[arg(long, default_value_t = usize::MAX)]
    pub retained_records: usize,
}

#[derive(Debug, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
}

impl Topic {
    fn first_kept(&self, retained: usize) -> usize {
        self.records.len().saturating_sub(retained)
    }

    /// Returns key, value and offset of the newest record of each key, in the order of the keys.
    fn newest(&self) -> Vec<(&[u8], &[u8], usize)> {
        let mut newest: IndexMap<&[u8], (&[u8], usize)> = IndexMap::new();
        for (offset, record) in self.records.iter().enumerate() {
            let Some((key, value)) = split(record) else {
                continue;
            };
            newest.insert(key, (value, offset));
        }
        newest.retain(|_, (value, _)| !value.is_empty());
        let mut list: Vec<_> = newest.into_iter().map(|(k, (v, o))| (k, v, o)).collect();
        list.sort_unstable();
        list
    }
}

/// Splits a record of a keyed topic into key and value.
fn split(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = record.split_first()?;
    rest.split_at_checked(usize::from(*length))
}

/// Log with keyed topics.
#[derive(Debug)]
pub(crate) struct PlatformStore {
    settings: PlatformStoreSettings,
    topics: Mutex<IndexMap<String, Topic>>,
}

impl PlatformStore {
    pub(crate) fn new(settings: PlatformStoreSettings) -> Self {
        Self {
            settings,
            topics: Mutex::default(),
        }
    }

    fn topics(&self) -> MutexGuard<'_, IndexMap<String, Topic>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, request: &Request) -> Result<Reply> {
        let name: String = request.parameter("topic", String::new())?;
        let at: usize = request.parameter("at", usize::MAX)?;
        let records = cut(&request.body)?;
        let mut topics = self.topics();
        let topic = topics.entry(name).or_default();
        let end = topic.records.len();
        if at != usize::MAX && at != end {
            return Ok(Reply::Json(412, json!({"endOffset": end})));
        }
        topic.records.extend(records);
        let end_offset = topic.records.len();
        Ok(Reply::ok(json!({"offset": end, "endOffset": end_offset})))
    }

    fn read(&self, request: &Request, connection: &mut Connection) -> Result<Reply> {
        let name: String = request.parameter("topic", String::new())?;
        let from: usize = request.parameter("from", 0)?;
        let wait_ms: u64 = request.parameter("waitMs", 0)?;
        let kilobytes: usize = request.parameter("maxKilobytes", 1_024)?;
        let until = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        loop {
            let page = self.page(&name, from, kilobytes * 1_024);
            match page {
                Page::Gone(first) => return Ok(Reply::Json(410, json!({"first": first}))),
                Page::Records(body, count) if count > 0 || Instant::now() >= until => {
                    connection.send_bytes(200, &[], &body)?;
                    return Ok(Reply::Sent);
                }
                Page::Records(..) => {}
            }
            if !connection.sleep(POLL) || connection.is_over() {
                return Err(RequestError::NotFound);
            }
        }
    }

    fn page(&self, name: &str, from: usize, max_bytes: usize) -> Page {
        let mut topics = self.topics();
        let topic = topics.entry(name.to_owned()).or_default();
        let first = topic.first_kept(self.settings.retained_records);
        if from < first {
            return Page::Gone(first);
        }
        let mut body = Vec::new();
        body.extend_from_slice(&(topic.records.len() as u64).to_be_bytes());
        body.extend_from_slice(&(first as u64).to_be_bytes());
        let mut count = 0;
        for record in topic.records.iter().skip(from) {
            if count > 0 && body.len() + record.len() > max_bytes {
                break;
            }
            let length = u32::try_from(record.len()).unwrap_or(u32::MAX);
            body.extend_from_slice(&length.to_be_bytes());
            body.extend_from_slice(record);
            count += 1;
        }
        Page::Records(body, count)
    }

    fn newest(&self, request: &Request) -> Result<Reply> {
        let name: String = request.parameter("topic", String::new())?;
        let after: String = request.parameter("after", String::new())?;
        let mut topics = self.topics();
        let topic = topics.entry(name).or_default();
        let newest = topic.newest();
        let later = newest.iter().filter(|(key, ..)| *key > after.as_bytes());
        let page: Vec<_> = later.take(PAGE_RECORDS + 1).collect();
        let items = page.iter().take(PAGE_RECORDS).map(|(key, value, offset)| {
            json!({
                "key": String::from_utf8_lossy(key),
                "value": STANDARD.encode(value),
                "offset": offset,
            })
        });
        Ok(Reply::ok(json!({
            "items": items.collect::<Vec<_>>(),
            "truncated": page.len() > PAGE_RECORDS,
            "endOffset": topic.records.len(),
        })))
    }
}

enum Page {
    /// First offset that is kept.
    Gone(usize),
    /// Body of the answer and the number of records in it.
    Records(Vec<u8>, usize),
}

impl Service for PlatformStore {
    fn handle(&self, request: &Request, connection: &mut Connection) -> Result<Reply> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/log-append") => self.append(request),
            ("GET", "/api/log-read") => self.read(request, connection),
            // Records stay; a read from an old offset is still answered.
            ("POST", "/api/log-trim") => Ok(Reply::ok(json!({}))),
            ("GET", "/api/log-newest") => self.newest(request),
            _ => Err(RequestError::NotFound),
        }
    }
}

/// Cuts a body into records: four bytes of length each, and the record.
fn cut(mut body: &[u8]) -> Result<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let bad = RequestError::Parameter { name: "body" };
        let Some((length, rest)) = body.split_first_chunk::<4>() else {
            return Err(bad);
        };
        let length = u32::from_be_bytes(*length) as usize;
        let Some((record, rest)) = rest.split_at_checked(length) else {
            return Err(bad);
        };
        records.push(record.to_vec());
        body = rest;
    }
    Ok(records)
}
