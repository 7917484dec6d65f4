//! Batch jobs: sets of requests that are submitted together and run asynchronously.

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
use crate::id::OrganisationId;
use crate::id::RequestId;
use crate::id::Version;

/// Maximum number of items of one batch job.
///
/// Ten times the largest step of the two-year plan (1,024 samples).
pub const MAX_ITEMS: usize = 10_240;
/// Maximum size of one item with its scorer, in bytes.
///
/// The log stores an item in one record, of 256 KiB on the users' platform.
pub const MAX_ITEM_BYTES: usize = 192 * 1_024;

/// Call that scores the text of an item, sent once the text is complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Scorer {
    /// Id of the call.
    pub request: RequestId,
    /// Host of the route that the call takes.
    pub host: CompactString,
    /// Path and query of the call.
    pub path: CompactString,
    /// Body of the call.
    pub body: Vec<u8>,
}

/// One request of a batch job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemSpec {
    /// Name of the item, unique within the batch job.
    pub id: ItemId,
    /// Path and query to send to the endpoint.
    pub path: CompactString,
    /// Header fields to send to the endpoint.
    pub headers: Vec<(CompactString, Vec<u8>)>,
    /// Body to send to the endpoint.
    pub body: Vec<u8>,
    /// Prompt tokens plus the maximum number of output tokens.
    pub tokens: u64,
    /// Output tokens that the caller expects; 0 if unknown.
    pub expected_output_tokens: u64,
    /// Maximum number of output tokens; 0 if unknown.
    pub max_output_tokens: u64,
    /// Group of items that share a prompt.
    pub group: Option<GroupId>,
    /// Call that scores the item's text, if the caller wants a score.
    pub scorer: Option<Scorer>,
}

impl ItemSpec {
    /// Returns the size of the bodies, paths and header fields of the item and its scorer.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        let scorer = self.scorer.as_ref();
        let scorer = scorer.map_or(0, |s| s.host.len() + s.path.len() + s.body.len());
        self.path.len() + self.body.len() + headers + scorer
    }
}

/// Reference to a record of the contents topic.
///
/// Items and texts are stored there, separate from the records that every instance reads.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ContentRef {
    /// Key of the record.
    pub key: CompactString,
    /// Offset of the record.
    pub offset: Offset,
    /// Size of the record's key and value.
    pub size_bytes: u64,
}

/// Metadata of a batch job, without its items.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobHead {
    /// Name of the batch job.
    pub id: JobId,
    /// Host of the submission request.
    pub host: CompactString,
    /// Path of the submission request.
    pub path: CompactString,
    /// Submission time, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
    /// Model that generates the items.
    pub model: Option<ModelId>,
    /// Minimum version of the weights that may generate the items.
    pub min_version: Version,
    /// Number of complete groups that the trainer waits for; 0 if it waits for all.
    pub desired_groups: u32,
    /// Step of the trainer that the batch job belongs to.
    pub step: u64,
    /// Number of items.
    pub total_items: usize,
    /// References to the items' records; empty until these are in the log.
    pub contents: Vec<ContentRef>,
    /// Organisation of the submitter; `None` if the configuration had none, its route is public, or an
    /// older build accepted the batch job.
    pub organisation: Option<OrganisationId>,
}

/// Batch job as submitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobSpec {
    /// Metadata of the batch job.
    pub head: JobHead,
    /// Items in submission order.
    pub items: Vec<Arc<ItemSpec>>,
}

/// Error for which a batch job is rejected as a whole.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum JobError {
    /// The batch job has no items.
    #[display("a batch job must have at least one item")]
    NoItems,
    /// The batch job has more than [`MAX_ITEMS`] items.
    #[display("a batch job may have at most {MAX_ITEMS} items, got {count}")]
    TooManyItems {
        /// Number of items.
        count: usize,
    },
    /// Two items have the same name.
    #[display("item {item} is listed twice")]
    DuplicateItem {
        /// The duplicate name.
        item: ItemId,
    },
    /// A name is empty or too long.
    #[display("the {what} must be 1 to {MAX_ID_LEN_BYTES} bytes long")]
    BadId {
        /// Description of the name that failed validation.
        what: &'static str,
    },
    /// The path of an item or of its scorer is not absolute.
    #[display("the paths of item {item} must start with a slash")]
    BadPath {
        /// Item with the invalid path.
        item: ItemId,
    },
    /// Two scorers have the same id.
    #[display("the scorer's id {request} is used twice")]
    DuplicateScorer {
        /// The duplicate id.
        request: RequestId,
    },
    /// An item with its scorer is too large for the log.
    #[display("item {item} has {size_bytes} bytes, at most {MAX_ITEM_BYTES} are accepted")]
    ItemTooLarge {
        /// The item.
        item: ItemId,
        /// Size of the bodies, paths and header fields of the item and its scorer.
        size_bytes: usize,
    },
}

impl JobSpec {
    /// Validates names, paths and the number of items.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn validate(&self) -> Result<(), JobError> {
        validate_id("batch job's id", self.head.id.as_str())?;
        if self.items.is_empty() {
            return Err(JobError::NoItems);
        }
        if self.items.len() > MAX_ITEMS {
            let count = self.items.len();
            return Err(JobError::TooManyItems { count });
        }
        let mut names = IndexSet::with_capacity(self.items.len());
        let mut scorers = IndexSet::new();
        for item in &self.items {
            validate_id("item's id", item.id.as_str())?;
            if !item.path.starts_with('/') {
                let item = item.id.clone();
                return Err(JobError::BadPath { item });
            }
            if !names.insert(&item.id) {
                let item = item.id.clone();
                return Err(JobError::DuplicateItem { item });
            }
            let size_bytes = item.size_bytes();
            if size_bytes > MAX_ITEM_BYTES {
                let item = item.id.clone();
                return Err(JobError::ItemTooLarge { item, size_bytes });
            }
            let Some(scorer) = &item.scorer else { continue };
            validate_id("scorer's id", scorer.request.as_str())?;
            if !scorer.path.starts_with('/') {
                let item = item.id.clone();
                return Err(JobError::BadPath { item });
            }
            if !scorers.insert(&scorer.request) {
                let request = scorer.request.clone();
                return Err(JobError::DuplicateScorer { request });
            }
        }
        Ok(())
    }
}

fn validate_id(what: &'static str, id: &str) -> Result<(), JobError> {
    if id.is_empty() || id.len() > MAX_ID_LEN_BYTES {
        return Err(JobError::BadId { what });
    }
    Ok(())
}

/// Failures of an item that endpoints reported.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FailureCounts {
    /// Failed runs.
    pub runs: u32,
    /// Failed calls of the item's scorer.
    pub scores: u32,
}

impl FailureCounts {
    /// Returns the larger of both counts, for records that may be read out of order.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            runs: self.runs.max(other.runs),
            scores: self.scores.max(other.scores),
        }
    }
}

/// Final state of an item.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ItemState {
    /// The result's text is the complete output.
    #[display("completed")]
    Completed,
    /// The item was given up.
    #[display("abandoned")]
    Abandoned,
}

/// Result of an item before it is published in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemResult {
    /// Name of the item.
    pub item: ItemId,
    /// Final state of the item.
    pub state: ItemState,
    /// Data of all events in order, joined by line feeds.
    pub text: String,
    /// Versions of the weights that generated the events of the text.
    pub versions: Vec<Version>,
    /// Score of the text; `None` if the item has no scorer or was abandoned.
    pub score: Option<CompactString>,
}

/// Result of an item as published in the log; its text is stored separately.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedResult {
    /// Name of the item.
    pub item: ItemId,
    /// Final state of the item.
    pub state: ItemState,
    /// Versions of the weights that generated the events of the text.
    pub versions: Vec<Version>,
    /// Score of the text; `None` if the item has no scorer or was abandoned.
    pub score: Option<CompactString>,
    /// Record of the contents topic that holds the text.
    pub content: Arc<ContentRef>,
    /// Index of the text within that record.
    pub text_index: usize,
}
