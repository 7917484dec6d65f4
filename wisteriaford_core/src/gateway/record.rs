//! Records of batch jobs in the log, and their keys.
//!
//! The log keeps the newest record of each key for good. Every record of a batch job has a key of
//! its own, so none replaces another and the order of the results never changes.

use std::sync::Arc;

use compact_str::CompactString;
use compact_str::format_compact;
use prost::DecodeError;
use prost::Message;
use wisteriaford_proto::job as proto;
use wisteriaford_proto::job::job_record::Kind;

use crate::gateway::job::ItemResult;
use crate::gateway::job::ItemSpec;
use crate::gateway::job::ItemState;
use crate::gateway::job::JobSpec;
use crate::id::GroupId;
use crate::id::ItemId;
use crate::id::JobId;
use crate::id::ModelId;
use crate::id::Version;

/// Bytes of a record that are left for its key and the encoding around its content.
const RECORD_OVERHEAD_BYTES: usize = 1_024;

/// Record with its key; without a value the key is dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedValue {
    /// Key of the record.
    pub key: CompactString,
    /// Content of the record.
    pub value: Option<Vec<u8>>,
}

/// What a record says.
#[derive(Clone, Debug, PartialEq)]
pub enum JobRecord {
    /// Some items of a submission that may be accepted by a later record.
    Items {
        /// Submission that they belong to.
        submission: CompactString,
        /// The items.
        items: Vec<Arc<ItemSpec>>,
    },
    /// A batch job is accepted, with the items of its submission before this record.
    Accepted {
        /// Submission that is accepted.
        submission: CompactString,
        /// The batch job, without items.
        job: JobSpec,
        /// Number of its items.
        total_items: usize,
    },
    /// Items of a batch job ended.
    Results {
        /// The batch job.
        job: JobId,
        /// Results in the order of their positions.
        results: Vec<ItemResult>,
    },
    /// A batch job was ended by its submitter.
    Ended {
        /// The batch job.
        job: JobId,
    },
    /// An endpoint failed an item.
    Failed {
        /// The batch job.
        job: JobId,
        /// The item.
        item: ItemId,
        /// Failures so far.
        failures: u32,
    },
}

/// Why a record is skipped.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum RecordError {
    /// The bytes are no record.
    #[display("the record can't be decoded: {_0}")]
    Undecodable(DecodeError),
    /// The record says nothing.
    #[display("the record has no content of a known kind")]
    Empty,
}

/// Returns the records that accept a batch job, the accepting one last.
///
/// No record exceeds `max_record_bytes`, unless a single item does.
#[must_use]
pub fn accept_records(job: &JobSpec, submission: &str, max_record_bytes: usize) -> Vec<KeyedValue> {
    let room_bytes = max_record_bytes.saturating_sub(RECORD_OVERHEAD_BYTES);
    let mut records = Vec::new();
    let mut items = Vec::new();
    let mut size_bytes = 0;
    for item in job.items.iter().map(|item| encode_item(item)) {
        let item_bytes = item.encoded_len() + 8;
        if !items.is_empty() && size_bytes + item_bytes > room_bytes {
            let part = records.len();
            records.push(items_record(
                job,
                submission,
                part,
                std::mem::take(&mut items),
            ));
            size_bytes = 0;
        }
        size_bytes += item_bytes;
        items.push(item);
    }
    let part = records.len();
    records.push(items_record(job, submission, part, items));
    records.push(accepted_record(job, submission));
    records
}

fn items_record(
    job: &JobSpec,
    submission: &str,
    part: usize,
    items: Vec<proto::Item>,
) -> KeyedValue {
    let submission_id = submission.to_owned();
    KeyedValue {
        key: format_compact!("items/{}/{submission}/{part}", job.id),
        value: encode(Kind::Items(proto::JobItems {
            submission: submission_id,
            items,
        })),
    }
}

fn accepted_record(job: &JobSpec, submission: &str) -> KeyedValue {
    let accepted = proto::JobAccepted {
        job: String::from(&job.id),
        submission: submission.to_owned(),
        host: job.host.to_string(),
        path: job.path.to_string(),
        submitted_unix_ms: job.submitted_unix_ms,
        model: job.model.as_ref().map(String::from).unwrap_or_default(),
        min_version: job.min_version.0,
        desired_groups: job.desired_groups,
        step: job.step,
        total_items: u32::try_from(job.items.len()).unwrap_or(u32::MAX),
    };
    KeyedValue {
        key: format_compact!("job/{}/{submission}", job.id),
        value: encode(Kind::Accepted(accepted)),
    }
}

/// Returns the record of results; `unique` must differ for each append of the whole fleet.
#[must_use]
pub fn results_record(job: &JobId, unique: &str, results: &[ItemResult]) -> KeyedValue {
    let results = results.iter().map(|result| proto::ItemResult {
        item: String::from(&result.item),
        state: match result.state {
            ItemState::Completed => proto::ItemState::Completed.into(),
            ItemState::Abandoned => proto::ItemState::Abandoned.into(),
        },
        text: result.text.clone(),
        versions: result.versions.iter().map(|version| version.0).collect(),
    });
    KeyedValue {
        key: format_compact!("results/{job}/{unique}"),
        value: encode(Kind::Results(proto::JobResults {
            job: String::from(job),
            results: results.collect(),
        })),
    }
}

/// Returns the record of a batch job's end.
#[must_use]
pub fn ended_record(job: &JobId) -> KeyedValue {
    KeyedValue {
        key: format_compact!("ended/{job}"),
        value: encode(Kind::Ended(proto::JobEnded {
            job: String::from(job),
        })),
    }
}

/// Returns the record of an item's failure at an endpoint.
#[must_use]
pub fn failed_record(job: &JobId, item: &ItemId, failures: u32) -> KeyedValue {
    KeyedValue {
        key: format_compact!("failed/{job}/{item}"),
        value: encode(Kind::Failed(proto::ItemFailed {
            job: String::from(job),
            item: String::from(item),
            failures,
        })),
    }
}

/// Decodes a record.
///
/// # Errors
///
/// Fails on bytes of another format or a kind that is not known.
pub fn decode(value: &[u8]) -> Result<JobRecord, RecordError> {
    let record = proto::JobRecord::decode(value)?;
    Ok(match record.kind.ok_or(RecordError::Empty)? {
        Kind::Items(part) => JobRecord::Items {
            submission: part.submission.into(),
            items: part.items.into_iter().map(decode_item).collect(),
        },
        Kind::Accepted(accepted) => decode_accepted(accepted),
        Kind::Results(list) => JobRecord::Results {
            job: list.job.into(),
            results: list.results.into_iter().map(decode_result).collect(),
        },
        Kind::Ended(ended) => JobRecord::Ended {
            job: ended.job.into(),
        },
        Kind::Failed(failed) => JobRecord::Failed {
            job: failed.job.into(),
            item: failed.item.into(),
            failures: failed.failures,
        },
    })
}

fn encode(kind: Kind) -> Option<Vec<u8>> {
    Some(proto::JobRecord { kind: Some(kind) }.encode_to_vec())
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
        group: item.group.as_ref().map(String::from).unwrap_or_default(),
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
        group: Some(item.group)
            .filter(|group| !group.is_empty())
            .map(GroupId::from),
    })
}

fn decode_accepted(accepted: proto::JobAccepted) -> JobRecord {
    JobRecord::Accepted {
        submission: accepted.submission.into(),
        total_items: accepted.total_items as usize,
        job: JobSpec {
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
            items: Vec::new(),
        },
    }
}

fn decode_result(result: proto::ItemResult) -> ItemResult {
    let state = match result.state() {
        proto::ItemState::Completed => ItemState::Completed,
        proto::ItemState::Abandoned | proto::ItemState::Unspecified => ItemState::Abandoned,
    };
    ItemResult {
        item: result.item.into(),
        state,
        text: result.text,
        versions: result.versions.into_iter().map(Version).collect(),
    }
}
