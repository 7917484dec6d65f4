//! Contents of batch jobs (items and result texts), read from the log on demand and cached.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use indexmap::IndexMap;
use wisteriaford_core::gateway::job::ContentRef;
use wisteriaford_core::gateway::job::ItemSpec;
use wisteriaford_core::gateway::job::JobHead;
use wisteriaford_core::gateway::record;
use wisteriaford_core::gateway::record::Content;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::gateway::record::RecordError;

use crate::adapter::Log;
use crate::adapter::LogError;
use crate::adapter::Topic;
use crate::state::Gateway;

/// Maximum size of the content cache in bytes; the oldest entries are evicted first.
///
/// The smallest planned instance has 88 MB of memory in total.
const MAX_CACHED_BYTES: u64 = 12 * 1024 * 1024;
/// Number of instances up to which each prefetches texts as they are listed, so that it can serve
/// them while the log is down. With more instances the prefetches would overload the log.
const MAX_PREFETCHING: usize = 20;

/// Encoded size of a result in bytes beyond its text, in records and in answers: two ids and a list
/// of versions.
pub(crate) const RESULT_OVERHEAD_BYTES: usize = 200;

/// Error fetching a content.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ContentError {
    /// The call of the log failed.
    #[display("{_0}")]
    Log(LogError),
    /// The record can't be decoded.
    #[display("{_0}")]
    Record(RecordError),
    /// The log no longer has the record.
    #[display("no record with this key in the log")]
    Missing,
}

/// In-memory cache of contents, by key.
#[derive(Default)]
pub(crate) struct ContentCache {
    entries: Mutex<IndexMap<CompactString, (u64, Arc<Content>)>>,
}

impl ContentCache {
    fn get(&self, key: &str) -> Option<Arc<Content>> {
        let entries = self.lock();
        entries.get(key).map(|(_, content)| Arc::clone(content))
    }

    fn put(&self, key: CompactString, size_bytes: u64, content: Arc<Content>) {
        let mut entries = self.lock();
        entries.insert(key, (size_bytes, content));
        let mut total: u64 = entries.values().map(|(size, _)| size).sum();
        while total > MAX_CACHED_BYTES && entries.len() > 1 {
            if let Some((_, (size, _))) = entries.shift_remove_index(0) {
                total -= size;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<CompactString, (u64, Arc<Content>)>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Appends a content and returns its location.
pub(crate) async fn append(gateway: &Gateway, record: KeyedValue) -> Result<ContentRef, LogError> {
    let appended = record.clone();
    let offset = gateway
        .log
        .append(Topic::Contents, vec![record], None)
        .await?;
    let location = appended.content_ref(offset);
    if let Some(Ok(content)) = appended.value.as_deref().map(record::decode_content) {
        let key = location.key.clone();
        gateway
            .contents
            .put(key, location.size_bytes, Arc::new(content));
    }
    Ok(location)
}

/// Returns a content from the cache or the log.
pub(crate) async fn fetch(
    gateway: &Gateway,
    location: &ContentRef,
) -> Result<Arc<Content>, ContentError> {
    if let Some(content) = gateway.contents.get(&location.key) {
        return Ok(content);
    }
    let fetched = gateway
        .log
        .fetch(Topic::Contents, location.offset, location.size_bytes)
        .await;
    let value = match fetched {
        Ok(record) if record.key == location.key => record.value,
        Ok(_) | Err(LogError::Truncated { .. }) => fetch_by_key(gateway, &location.key).await?,
        Err(error) => return Err(error.into()),
    };
    let value = value.ok_or(ContentError::Missing)?;
    let content = Arc::new(record::decode_content(&value)?);
    let key = location.key.clone();
    gateway
        .contents
        .put(key, location.size_bytes, Arc::clone(&content));
    Ok(content)
}

/// Returns the newest record of a key whose known offset is no longer retained.
async fn fetch_by_key(
    gateway: &Gateway,
    key: &CompactString,
) -> Result<Option<bytes::Bytes>, ContentError> {
    // Pages start after a key, so listing after the key without its last character includes
    // the key itself.
    let mut after = key.clone();
    after.pop();
    let mut after = Some(after);
    while after.is_some() {
        let page = gateway.log.newest(Topic::Contents, after).await?;
        if let Some(record) = page.records.into_iter().find(|record| record.key == *key) {
            return Ok(record.value);
        }
        after = page.more_after.filter(|last| last.as_str() < key.as_str());
    }
    Ok(None)
}

/// Returns the items of a batch job.
pub(crate) async fn items(
    gateway: &Gateway,
    job: &JobHead,
) -> Result<Vec<Arc<ItemSpec>>, ContentError> {
    let mut items = Vec::with_capacity(job.total_items);
    for location in &job.contents {
        if let Content::Items(part) = &*fetch(gateway, location).await? {
            items.extend(part.iter().cloned());
        }
    }
    Ok(items)
}

/// Fetches a content into the cache in the background, if the fleet is small enough.
pub(crate) fn prefetch(gateway: &Arc<Gateway>, location: Arc<ContentRef>) {
    if gateway.log.peers().len() >= MAX_PREFETCHING || gateway.contents.get(&location.key).is_some()
    {
        return;
    }
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        if let Err(error) = fetch(&gateway, &location).await {
            log::debug!(key:% = location.key, error:% = error; "failed to prefetch content");
        }
    });
}
