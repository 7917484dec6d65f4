//! Batch jobs: many requests that are submitted at once and run later.

use std::sync::Arc;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use indexmap::IndexSet;

use crate::id::GroupId;
use crate::id::ItemId;
use crate::id::JobId;
use crate::id::MAX_ID_LEN_BYTES;
use crate::id::ModelId;
use crate::id::Offset;
use crate::id::Version;

/// Most items of one batch job.
///
/// Ten times the largest step of the two-year plan (1,024 samples).
pub const MAX_ITEMS: usize = 10_240;

/// Request that a batch job consists of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemSpec {
    /// Name of the item.
    pub id: ItemId,
    /// Path and query that the endpoint is sent.
    pub path: CompactString,
    /// Header fields that the endpoint is sent.
    pub headers: Vec<(CompactString, Vec<u8>)>,
    /// Body that the endpoint is sent.
    pub body: Vec<u8>,
    /// Prompt tokens and the most output tokens.
    pub tokens: u64,
    /// Output tokens that the caller expects; 0 if unknown.
    pub expected_output_tokens: u64,
    /// Items that share a prompt.
    pub group: Option<GroupId>,
}

/// Record of the contents topic, where items and texts are kept apart from what every instance
/// reads.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ContentRef {
    /// Key of the record.
    pub key: CompactString,
    /// Offset of the record.
    pub offset: Offset,
    /// Size of the record.
    pub size_bytes: u64,
}

/// Batch job without its items.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobHead {
    /// Name of the batch job.
    pub id: JobId,
    /// Host that it was submitted to.
    pub host: CompactString,
    /// Path that it was submitted to.
    pub path: CompactString,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
    /// Model whose weights generate its items.
    pub model: Option<ModelId>,
    /// Oldest version of the weights that may generate its items.
    pub min_version: Version,
    /// Complete groups that the trainer waits for; 0 if it waits for all.
    pub desired_groups: u32,
    /// Step of the trainer.
    pub step: u64,
    /// Number of its items.
    pub total_items: usize,
    /// Where its items are; empty until they are in the log.
    pub contents: Vec<ContentRef>,
}

/// Batch job as it was submitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobSpec {
    /// Everything but its items.
    pub head: JobHead,
    /// Items in the order of the submission.
    pub items: Vec<Arc<ItemSpec>>,
}

/// Why a batch job is refused as a whole.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum JobError {
    /// There are no items.
    #[display("a batch job needs at least one item")]
    NoItems,
    /// There are more than [`MAX_ITEMS`] items.
    #[display("a batch job has at most {MAX_ITEMS} items, this one has {count}")]
    TooManyItems {
        /// Items of the batch job.
        count: usize,
    },
    /// Two items have the same name.
    #[display("item {item} is listed twice")]
    DuplicateItem {
        /// Name that is used twice.
        item: ItemId,
    },
    /// A name is empty or too long.
    #[display("the {what} must have 1 to {MAX_ID_LEN_BYTES} bytes")]
    BadId {
        /// What is named.
        what: &'static str,
    },
    /// An item's path is not absolute.
    #[display("the path of item {item} must begin with a slash")]
    BadPath {
        /// Item with the path.
        item: ItemId,
    },
}

impl JobSpec {
    /// Checks what the types don't.
    ///
    /// # Errors
    ///
    /// Returns the first fault that is found.
    pub fn check(&self) -> Result<(), JobError> {
        check_id("batch job's id", self.head.id.as_str())?;
        if self.items.is_empty() {
            return Err(JobError::NoItems);
        }
        if self.items.len() > MAX_ITEMS {
            let count = self.items.len();
            return Err(JobError::TooManyItems { count });
        }
        let mut names = IndexSet::with_capacity(self.items.len());
        for item in &self.items {
            check_id("item's id", item.id.as_str())?;
            if !item.path.starts_with('/') {
                let item = item.id.clone();
                return Err(JobError::BadPath { item });
            }
            if !names.insert(&item.id) {
                let item = item.id.clone();
                return Err(JobError::DuplicateItem { item });
            }
        }
        Ok(())
    }
}

fn check_id(what: &'static str, id: &str) -> Result<(), JobError> {
    if id.is_empty() || id.len() > MAX_ID_LEN_BYTES {
        return Err(JobError::BadId { what });
    }
    Ok(())
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ItemState {
    /// Its whole output is the result's text.
    #[display("completed")]
    Completed,
    /// It was given up.
    #[display("abandoned")]
    Abandoned,
}

/// Result of an item that is not listed yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemResult {
    /// Item that ended.
    pub item: ItemId,
    /// How it ended.
    pub state: ItemState,
    /// Data of all events in order, separated by line feeds.
    pub text: String,
    /// Versions of the weights that generated an event of the text.
    pub versions: Vec<Version>,
}

/// Result of an item at its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedResult {
    /// Item that ended.
    pub item: ItemId,
    /// How it ended.
    pub state: ItemState,
    /// Versions of the weights that generated an event of the text.
    pub versions: Vec<Version>,
    /// Where the text is.
    pub content: Arc<ContentRef>,
    /// Number of the text in the content.
    pub text_index: usize,
}
