//! Items and texts of batch jobs, read from the log when they are needed.

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

use crate::border::Log;
use crate::border::LogError;
use crate::border::Topic;
use crate::state::Gateway;

/// Bytes of contents that an instance keeps in memory; the oldest yield.
///
/// The smallest machine of the plan has 88 MB in all.
const MAX_CACHED_BYTES: u64 = 12 * 1024 * 1024;
/// Instances up to which each reads texts as they are listed, so that it can answer for them while
/// the log is down. More instances would load the log with it.
const MAX_PREFETCHING: usize = 20;

/// Bytes that a result's names take beside its text, in a record as in an answer: two ids and a list
/// of versions.
pub(crate) const RESULT_OVERHEAD_BYTES: usize = 200;

/// Why a content can't be had.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ContentError {
    /// The log failed.
    #[display("{_0}")]
    Log(LogError),
    /// The record can't be decoded.
    #[display("{_0}")]
    Record(RecordError),
    /// The log no longer has the record.
    #[display("the log has no record of this key")]
    Missing,
}

/// Contents that are kept in memory.
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

/// Appends a content, and returns where it is.
pub(crate) async fn append(gateway: &Gateway, record: KeyedValue) -> Result<ContentRef, LogError> {
    let kept = record.clone();
    let offset = gateway
        .log
        .append(Topic::Contents, vec![record], None)
        .await?;
    let place = kept.content_ref(offset);
    if let Some(Ok(content)) = kept.value.as_deref().map(record::decode_content) {
        let key = place.key.clone();
        gateway
            .contents
            .put(key, place.size_bytes, Arc::new(content));
    }
    Ok(place)
}

/// Returns a content from memory or the log.
pub(crate) async fn fetch(
    gateway: &Gateway,
    place: &ContentRef,
) -> Result<Arc<Content>, ContentError> {
    if let Some(content) = gateway.contents.get(&place.key) {
        return Ok(content);
    }
    let fetched = gateway
        .log
        .fetch(Topic::Contents, place.offset, place.size_bytes)
        .await;
    let value = match fetched {
        Ok(record) if record.key == place.key => record.value,
        Ok(_) | Err(LogError::Truncated { .. }) => fetch_by_key(gateway, &place.key).await?,
        Err(error) => return Err(error.into()),
    };
    let value = value.ok_or(ContentError::Missing)?;
    let content = Arc::new(record::decode_content(&value)?);
    let key = place.key.clone();
    gateway
        .contents
        .put(key, place.size_bytes, Arc::clone(&content));
    Ok(content)
}

/// Returns the newest record of a key whose offset is no longer kept.
async fn fetch_by_key(
    gateway: &Gateway,
    key: &CompactString,
) -> Result<Option<bytes::Bytes>, ContentError> {
    // The keys from the one without its last character on include the key itself.
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
    for place in &job.contents {
        if let Content::Items(part) = &*fetch(gateway, place).await? {
            items.extend(part.iter().cloned());
        }
    }
    Ok(items)
}

/// Reads a content ahead of any request for it, where the fleet is small enough.
pub(crate) fn prefetch(gateway: &Arc<Gateway>, place: Arc<ContentRef>) {
    if gateway.log.peers().len() >= MAX_PREFETCHING || gateway.contents.get(&place.key).is_some() {
        return;
    }
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        if let Err(error) = fetch(&gateway, &place).await {
            log::debug!(key:% = place.key, error:% = error; "content not read ahead");
        }
    });
}
