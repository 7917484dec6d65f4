//! Encoding and decoding of the log records of batch jobs, and their keys.
//!
//! Every instance reads the whole jobs topic. Items and texts account for nearly all of the bytes,
//! so they are stored in the contents topic, from which an instance fetches only what it needs.
//!
//! The log retains the newest record of each key indefinitely. Each acceptance and each record of
//! results has a unique key, so none replaces another and the order of the results never changes.

use std::sync::Arc;

use compact_str::CompactString;
use compact_str::format_compact;
use prost::DecodeError;
use prost::Message;
use wisteriaford_proto::job as proto;
use wisteriaford_proto::job::content;
use wisteriaford_proto::job::job_record::Kind;

use crate::gateway::job::ContentRef;
use crate::gateway::job::FailureCounts;
use crate::gateway::job::ItemResult;
use crate::gateway::job::ItemSpec;
use crate::gateway::job::ItemState;
use crate::gateway::job::JobHead;
use crate::gateway::job::JobSpec;
use crate::gateway::job::ListedResult;
use crate::gateway::job::Scorer;
use crate::gateway::schedule::ProgressPart;
use crate::id::GroupId;
use crate::id::InstanceId;
use crate::id::ItemId;
use crate::id::JobId;
use crate::id::ModelId;
use crate::id::Offset;
use crate::id::OrganisationId;
use crate::id::Version;

/// Bytes of a record reserved for its key and the encoding around its content.
pub(super) const RECORD_OVERHEAD_BYTES: usize = 1_024;
/// Key of all records of the progress topic, which is not compacted by key.
const PROGRESS_KEY: &str = "progress";
/// Encoding overhead of each item.
const ITEM_OVERHEAD_BYTES: usize = 8;

/// Record with its key; a record without a value deletes the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedValue {
    /// Key of the record.
    pub key: CompactString,
    /// Value of the record; `None` deletes the key.
    pub value: Option<Vec<u8>>,
}

impl KeyedValue {
    /// Returns a reference to the record at the given offset.
    #[must_use]
    pub fn content_ref(&self, offset: Offset) -> ContentRef {
        let size_bytes = self.key.len() + self.value.as_ref().map_or(0, Vec::len);
        ContentRef {
            key: self.key.clone(),
            offset,
            size_bytes: u64::try_from(size_bytes).unwrap_or(u64::MAX),
        }
    }
}

/// Decoded record of the contents topic.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// Part of the items of a batch job.
    Items(Vec<Arc<ItemSpec>>),
    /// Texts of results.
    Texts(Vec<String>),
}

/// Decoded record of the jobs topic.
#[derive(Clone, Debug, PartialEq)]
pub enum JobRecord {
    /// A batch job was accepted.
    Accepted(JobHead),
    /// Items of a batch job ended.
    Results {
        /// The batch job.
        job: JobId,
        /// Results in the order of their positions.
        results: Vec<ListedResult>,
    },
    /// A batch job was ended by its submitter.
    Ended {
        /// The batch job.
        job: JobId,
    },
    /// An item failed at an endpoint.
    Failed {
        /// The batch job.
        job: JobId,
        /// The item.
        item: ItemId,
        /// Failures so far.
        failures: FailureCounts,
    },
}

/// Error for which a record is skipped.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum RecordError {
    /// The bytes are not a valid record.
    #[display("cannot decode record: {_0}")]
    Undecodable(DecodeError),
    /// The record is empty or of an unknown kind.
    #[display("record is empty or of an unknown kind")]
    Empty,
}

/// Encodes the items of a batch job into records of the contents topic.
///
/// No record exceeds `max_record_bytes`, unless a single item does. `unique` must be unique to the
/// submission across all instances.
#[must_use]
pub fn item_contents(job: &JobSpec, unique: &str, max_record_bytes: usize) -> Vec<KeyedValue> {
    let max_items_bytes = max_record_bytes.saturating_sub(RECORD_OVERHEAD_BYTES);
    let mut chunks = vec![Vec::new()];
    let mut size_bytes = 0;
    for item in job.items.iter().map(|item| encode_item(item)) {
        let item_bytes = item.encoded_len() + ITEM_OVERHEAD_BYTES;
        if size_bytes > 0 && size_bytes + item_bytes > max_items_bytes {
            chunks.push(Vec::new());
            size_bytes = 0;
        }
        size_bytes += item_bytes;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(item);
        }
    }
    let job = &job.head.id;
    let records = chunks.into_iter().enumerate().map(|(part, items)| {
        let content = content::Kind::Items(proto::JobItems { items });
        KeyedValue {
            key: format_compact!("items/{job}/{unique}/{part}"),
            value: Some(encode_content(content)),
        }
    });
    records.collect()
}

/// Encodes the texts of results into a record of the contents topic.
#[must_use]
pub fn text_content(job: &JobId, unique: &str, results: &[ItemResult]) -> KeyedValue {
    let texts = results.iter().map(|result| result.text.clone()).collect();
    KeyedValue {
        key: format_compact!("texts/{job}/{unique}"),
        value: Some(encode_content(content::Kind::Texts(proto::ResultTexts {
            texts,
        }))),
    }
}

fn encode_content(kind: content::Kind) -> Vec<u8> {
    proto::Content { kind: Some(kind) }.encode_to_vec()
}

/// Decodes a record of the contents topic.
///
/// # Errors
///
/// Returns an error if the value is not a valid record or its kind is unknown.
pub fn decode_content(value: &[u8]) -> Result<Content, RecordError> {
    let content = proto::Content::decode(value)?;
    Ok(match content.kind.ok_or(RecordError::Empty)? {
        content::Kind::Items(part) => {
            Content::Items(part.items.into_iter().map(decode_item).collect())
        }
        content::Kind::Texts(part) => Content::Texts(part.texts),
    })
}

/// Encodes the acceptance of a batch job.
#[must_use]
pub fn accepted_record(job: &JobHead, unique: &str) -> KeyedValue {
    let accepted = proto::JobAccepted {
        job: String::from(&job.id),
        contents: job.contents.iter().map(encode_ref).collect(),
        host: job.host.to_string(),
        path: job.path.to_string(),
        submitted_unix_ms: job.submitted_unix_ms,
        model: job.model.as_ref().map(String::from).unwrap_or_default(),
        min_version: job.min_version.0,
        desired_groups: job.desired_groups,
        step: job.step,
        total_items: u32::try_from(job.total_items).unwrap_or(u32::MAX),
        organisation: job.organisation.as_ref().map(String::from),
    };
    KeyedValue {
        key: format_compact!("job/{}/{unique}", job.id),
        value: Some(encode(Kind::Accepted(accepted))),
    }
}

/// Encodes results; `unique` must be unique to the append across all instances.
#[must_use]
pub fn results_record(
    job: &JobId,
    unique: &str,
    results: &[ItemResult],
    content: &ContentRef,
) -> KeyedValue {
    let results = results.iter().map(|result| proto::ListedResult {
        item: String::from(&result.item),
        state: match result.state {
            ItemState::Completed => proto::ItemState::Completed.into(),
            ItemState::Abandoned => proto::ItemState::Abandoned.into(),
        },
        versions: result.versions.iter().map(|version| version.0).collect(),
        score: result
            .score
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
    });
    KeyedValue {
        key: format_compact!("results/{job}/{unique}"),
        value: Some(encode(Kind::Results(proto::JobResults {
            job: String::from(job),
            results: results.collect(),
            content: Some(encode_ref(content)),
        }))),
    }
}

/// Encodes the end of a batch job.
#[must_use]
pub fn ended_record(job: &JobId) -> KeyedValue {
    KeyedValue {
        key: format_compact!("ended/{job}"),
        value: Some(encode(Kind::Ended(proto::JobEnded {
            job: String::from(job),
        }))),
    }
}

/// Encodes a failure of an item at an endpoint.
#[must_use]
pub fn failed_record(job: &JobId, item: &ItemId, failures: FailureCounts) -> KeyedValue {
    KeyedValue {
        key: format_compact!("failed/{job}/{item}"),
        value: Some(encode(Kind::Failed(proto::ItemFailed {
            job: String::from(job),
            item: String::from(item),
            failures: failures.runs,
            score_failures: failures.scores,
        }))),
    }
}

/// Decodes a record of the jobs topic.
///
/// # Errors
///
/// Returns an error if the value is not a valid record or its kind is unknown.
pub fn decode(value: &[u8]) -> Result<JobRecord, RecordError> {
    let record = proto::JobRecord::decode(value)?;
    Ok(match record.kind.ok_or(RecordError::Empty)? {
        Kind::Accepted(accepted) => JobRecord::Accepted(decode_accepted(accepted)),
        Kind::Results(list) => {
            let content = Arc::new(decode_ref(list.content.ok_or(RecordError::Empty)?));
            let results = list.results.into_iter().enumerate();
            JobRecord::Results {
                job: list.job.into(),
                results: results
                    .map(|(index, result)| decode_result(result, &content, index))
                    .collect(),
            }
        }
        Kind::Ended(ended) => JobRecord::Ended {
            job: ended.job.into(),
        },
        Kind::Failed(failed) => JobRecord::Failed {
            job: failed.job.into(),
            item: failed.item.into(),
            failures: FailureCounts {
                runs: failed.failures,
                scores: failed.score_failures,
            },
        },
    })
}

/// Encodes partial output of items into a record of the progress topic.
#[must_use]
pub fn progress_record(runner: &InstanceId, parts: &[ProgressPart]) -> KeyedValue {
    let items = parts.iter().map(|part| proto::ItemProgress {
        job: String::from(&part.job),
        item: String::from(&part.item),
        first_index: u64::try_from(part.first_index).unwrap_or(u64::MAX),
        events: part.events.iter().map(ToString::to_string).collect(),
        last_event: part.last_event,
        versions: part.versions.iter().map(|version| version.0).collect(),
        is_complete: part.is_complete,
        software: part.software.as_ref().map(ToString::to_string),
    });
    let batch = proto::ProgressBatch {
        items: items.collect(),
        runner: String::from(runner),
    };
    KeyedValue {
        key: PROGRESS_KEY.into(),
        value: Some(batch.encode_to_vec()),
    }
}

/// Decodes a record of the progress topic into the instance that wrote it and the partial outputs.
///
/// # Errors
///
/// Returns an error if the value is not a valid record.
pub fn decode_progress(value: &[u8]) -> Result<(InstanceId, Vec<ProgressPart>), RecordError> {
    let batch = proto::ProgressBatch::decode(value)?;
    let parts = batch.items.into_iter().map(|item| ProgressPart {
        job: item.job.into(),
        item: item.item.into(),
        first_index: usize::try_from(item.first_index).unwrap_or(usize::MAX),
        events: item.events.into_iter().map(CompactString::from).collect(),
        last_event: item.last_event,
        versions: item.versions.into_iter().map(Version).collect(),
        software: item.software.map(|software| software.as_str().into()),
        is_complete: item.is_complete,
    });
    Ok((batch.runner.into(), parts.collect()))
}

fn encode(kind: Kind) -> Vec<u8> {
    proto::JobRecord { kind: Some(kind) }.encode_to_vec()
}

fn encode_ref(content: &ContentRef) -> proto::ContentRef {
    proto::ContentRef {
        key: content.key.to_string(),
        offset: content.offset.0,
        size_bytes: content.size_bytes,
    }
}

fn decode_ref(content: proto::ContentRef) -> ContentRef {
    ContentRef {
        key: content.key.into(),
        offset: Offset(content.offset),
        size_bytes: content.size_bytes,
    }
}

fn encode_item(item: &ItemSpec) -> proto::Item {
    let headers = item.headers.iter().map(|(name, value)| proto::Header {
        name: name.to_string(),
        value: value.clone(),
    });
    proto::Item {
        id: String::from(&item.id),
        path: item.path.to_string(),
        headers: headers.collect(),
        body: item.body.clone(),
        tokens: item.tokens,
        expected_output_tokens: item.expected_output_tokens,
        max_output_tokens: item.max_output_tokens,
        group: item.group.as_ref().map(String::from).unwrap_or_default(),
        scorer: item.scorer.as_ref().map(|scorer| proto::Scorer {
            request: String::from(&scorer.request),
            host: scorer.host.to_string(),
            path: scorer.path.to_string(),
            body: scorer.body.clone(),
        }),
    }
}

fn decode_item(item: proto::Item) -> Arc<ItemSpec> {
    let headers = item.headers.into_iter();
    Arc::new(ItemSpec {
        id: item.id.into(),
        path: item.path.into(),
        headers: headers.map(|h| (h.name.into(), h.value)).collect(),
        body: item.body,
        tokens: item.tokens,
        expected_output_tokens: item.expected_output_tokens,
        max_output_tokens: item.max_output_tokens,
        group: Some(item.group)
            .filter(|group| !group.is_empty())
            .map(GroupId::from),
        scorer: item.scorer.map(|scorer| Scorer {
            request: scorer.request.into(),
            host: scorer.host.into(),
            path: scorer.path.into(),
            body: scorer.body,
        }),
    })
}

fn decode_accepted(accepted: proto::JobAccepted) -> JobHead {
    JobHead {
        id: accepted.job.into(),
        host: accepted.host.into(),
        path: accepted.path.into(),
        submitted_unix_ms: accepted.submitted_unix_ms,
        model: Some(accepted.model)
            .filter(|model| !model.is_empty())
            .map(ModelId::from),
        min_version: Version(accepted.min_version),
        desired_groups: accepted.desired_groups,
        step: accepted.step,
        total_items: accepted.total_items as usize,
        contents: accepted.contents.into_iter().map(decode_ref).collect(),
        organisation: accepted.organisation.map(OrganisationId::from),
    }
}

fn decode_result(
    result: proto::ListedResult,
    content: &Arc<ContentRef>,
    text_index: usize,
) -> ListedResult {
    let state = match result.state() {
        proto::ItemState::Completed => ItemState::Completed,
        proto::ItemState::Abandoned | proto::ItemState::Unspecified => ItemState::Abandoned,
    };
    ListedResult {
        item: result.item.into(),
        state,
        versions: result.versions.into_iter().map(Version).collect(),
        score: Some(result.score)
            .filter(|score| !score.is_empty())
            .map(CompactString::from),
        content: Arc::clone(content),
        text_index,
    }
}
