//! Stand-in for the log store of the users' platform, a log with keyed topics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use clap::Args;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::json;

use crate::connection::Connection;
use crate::error::RequestError;
use crate::error::Result;
use crate::request::Request;
use crate::server::Reply;
use crate::server::Service;

/// Topic of the entries of endpoints.
const ENDPOINTS_TOPIC: &str = "keyed.servers";
/// Maximum number of records on one page of newest records.
const MAX_PAGE_RECORDS: usize = 500;
/// Interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum time that a read waits.
const MAX_WAIT_MS: u64 = 30_000;

/// Settings of the store.
#[derive(Args, Clone, Copy, Debug)]
pub struct PlatformStoreSettings {
    /// Records of a topic that remain readable by offset; older ones remain only as a key's newest
    #[arg(long, default_value_t = usize::MAX)]
    pub retained_records: usize,
}

#[derive(Debug, Default)]
struct Topic {
    /// All records, also those that are no longer readable by offset.
    records: Vec<Vec<u8>>,
    /// Number of records that were trimmed.
    trimmed: usize,
}

/// Body of a request to trim a topic.
#[derive(Deserialize)]
struct Trim {
    topic: String,
    before: usize,
}

impl Topic {
    fn first_retained_offset(&self, retained: usize) -> usize {
        let expired = self.records.len().saturating_sub(retained);
        expired.max(self.trimmed)
    }

    /// Returns the key, value and offset of the newest record of each key, sorted by key.
    ///
    /// Keys whose newest value is empty are left out: an empty value deletes its key.
    fn newest_by_key(&self) -> Vec<(&[u8], &[u8], usize)> {
        let mut newest_by_key: IndexMap<&[u8], (&[u8], usize)> = IndexMap::new();
        for (offset, record) in self.records.iter().enumerate() {
            let Some((key, value)) = split_key(record) else {
                continue;
            };
            newest_by_key.insert(key, (value, offset));
        }
        newest_by_key.retain(|_, (value, _)| !value.is_empty());
        let mut list: Vec<_> = newest_by_key
            .into_iter()
            .map(|(key, (value, offset))| (key, value, offset))
            .collect();
        list.sort_unstable();
        list
    }
}

/// Splits a record of a keyed topic into its key and value: one byte of key length, the key and the
/// value.
fn split_key(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = record.split_first()?;
    rest.split_at_checked(usize::from(*length))
}

/// Addresses that a reader of the store sees in place of others, in the entries of endpoints.
///
/// Its links to the endpoints can be cut then without those of other readers.
#[derive(Clone, Debug, Default)]
pub struct AddressView(Arc<Mutex<IndexMap<String, String>>>);

impl AddressView {
    /// Lets the reader see `seen` where an entry says `published`.
    pub fn replace(&self, published: SocketAddr, seen: SocketAddr) {
        self.lock().insert(published.to_string(), seen.to_string());
    }

    /// Returns a record as the reader sees it.
    fn apply(&self, topic: &str, record: &[u8]) -> Vec<u8> {
        let addresses = self.lock();
        if topic != ENDPOINTS_TOPIC || addresses.is_empty() {
            return record.to_vec();
        }
        let Ok(mut text) = String::from_utf8(record.to_vec()) else {
            return record.to_vec();
        };
        for (published, seen) in addresses.iter() {
            text = text.replace(&format!("\"{published}\""), &format!("\"{seen}\""));
        }
        text.into_bytes()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<String, String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Log with keyed topics, as one of its readers sees it.
#[derive(Debug)]
pub(crate) struct PlatformStore {
    settings: PlatformStoreSettings,
    topics: Arc<Mutex<IndexMap<String, Topic>>>,
    view: AddressView,
}

impl PlatformStore {
    pub(crate) fn new(settings: PlatformStoreSettings) -> Self {
        Self {
            settings,
            topics: Arc::default(),
            view: AddressView::default(),
        }
    }

    fn topics(&self) -> MutexGuard<'_, IndexMap<String, Topic>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, request: &Request) -> Result<Reply> {
        let name: String = request.parameter("topic", String::new())?;
        let expected_end: usize = request.parameter("at", usize::MAX)?;
        let records = split_records(&request.body)?;
        let mut topics = self.topics();
        let topic = topics.entry(name).or_default();
        let end = topic.records.len();
        if expected_end != usize::MAX && expected_end != end {
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
        let max_kilobytes: usize = request.parameter("maxKilobytes", 1_024)?;
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        loop {
            let page = self.page(&name, from, max_kilobytes * 1_024);
            match page {
                Page::NotRetained(first) => return Ok(Reply::Json(410, json!({"first": first}))),
                Page::Records(body, count) if count > 0 || Instant::now() >= deadline => {
                    connection.send_bytes(200, &[], &body)?;
                    return Ok(Reply::Sent);
                }
                Page::Records(..) => {}
            }
            if !connection.sleep(POLL_INTERVAL) || connection.is_closed() {
                return Err(RequestError::NotFound);
            }
        }
    }

    fn page(&self, name: &str, from: usize, max_bytes: usize) -> Page {
        let mut topics = self.topics();
        let topic = topics.entry(name.to_owned()).or_default();
        let first_offset = topic.first_retained_offset(self.settings.retained_records);
        if from < first_offset {
            return Page::NotRetained(first_offset);
        }
        let mut body = Vec::new();
        body.extend_from_slice(&(topic.records.len() as u64).to_be_bytes());
        body.extend_from_slice(&(first_offset as u64).to_be_bytes());
        let mut count = 0;
        for record in topic.records.iter().skip(from) {
            let record = self.view.apply(name, record);
            if count > 0 && body.len() + record.len() > max_bytes {
                break;
            }
            let length = u32::try_from(record.len()).unwrap_or(u32::MAX);
            body.extend_from_slice(&length.to_be_bytes());
            body.extend_from_slice(&record);
            count += 1;
        }
        Page::Records(body, count)
    }

    fn trim(&self, request: &Request) -> Result<Reply> {
        let trim: Trim = serde_json::from_slice(&request.body)?;
        let mut topics = self.topics();
        let topic = topics.entry(trim.topic).or_default();
        topic.trimmed = topic.trimmed.max(trim.before).min(topic.records.len());
        Ok(Reply::ok(json!({})))
    }

    fn read_newest(&self, request: &Request) -> Result<Reply> {
        let name: String = request.parameter("topic", String::new())?;
        let after: String = request.parameter("after", String::new())?;
        let mut topics = self.topics();
        let topic = topics.entry(name.clone()).or_default();
        let newest_by_key = topic.newest_by_key();
        let later = newest_by_key
            .iter()
            .filter(|(key, ..)| *key > after.as_bytes());
        let page: Vec<_> = later.take(MAX_PAGE_RECORDS + 1).collect();
        let items = page
            .iter()
            .take(MAX_PAGE_RECORDS)
            .map(|(key, value, offset)| {
                json!({
                    "key": String::from_utf8_lossy(key),
                    "value": STANDARD.encode(self.view.apply(&name, value)),
                    "offset": offset,
                })
            });
        Ok(Reply::ok(json!({
            "items": items.collect::<Vec<_>>(),
            "truncated": page.len() > MAX_PAGE_RECORDS,
            "endOffset": topic.records.len(),
        })))
    }
}

enum Page {
    /// The requested records are no longer retained; contains the first retained offset.
    NotRetained(usize),
    /// Body of the answer and the number of records it contains.
    Records(Vec<u8>, usize),
}

impl Service for PlatformStore {
    fn with_view(&self, view: AddressView) -> Option<Arc<dyn Service>> {
        Some(Arc::new(Self {
            settings: self.settings,
            topics: Arc::clone(&self.topics),
            view,
        }))
    }

    fn handle(&self, request: &Request, connection: &mut Connection) -> Result<Reply> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/log-append") => self.append(request),
            ("GET", "/api/log-read") => self.read(request, connection),
            ("POST", "/api/log-trim") => self.trim(request),
            ("GET", "/api/log-newest") => self.read_newest(request),
            _ => Err(RequestError::NotFound),
        }
    }
}

/// Splits a body into records, each preceded by its length in four bytes, big-endian.
fn split_records(mut body: &[u8]) -> Result<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let invalid_body = RequestError::Parameter { name: "body" };
        let Some((length, rest)) = body.split_first_chunk::<4>() else {
            return Err(invalid_body);
        };
        let length = u32::from_be_bytes(*length) as usize;
        let Some((record, rest)) = rest.split_at_checked(length) else {
            return Err(invalid_body);
        };
        records.push(record.to_vec());
        body = rest;
    }
    Ok(records)
}
