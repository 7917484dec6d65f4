//! Encoding and decoding of relayed calls and their answers.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use prost::DecodeError;
use prost::Message;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::id::Offset;
use wisteriaford_proto::relay as proto;
use wisteriaford_proto::relay::answer;
use wisteriaford_proto::relay::call;

use crate::adapter::LogError;
use crate::adapter::LogPage;
use crate::adapter::LogRecord;
use crate::adapter::NewestPage;
use crate::adapter::Topic;

/// Call of the log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LogCall {
    /// Append of records; with an offset, only if the topic ends there.
    Append(Vec<KeyedValue>, Option<Offset>),
    /// Read from an offset, with the maximum wait.
    Read(Offset, Duration),
    /// Read of the record at an offset, with its size in bytes.
    Fetch(Offset, u64),
    /// Read of the newest record of each key, starting after a key.
    Newest(Option<CompactString>),
}

impl LogCall {
    /// Returns whether the call may be made twice.
    ///
    /// Of two appends with the same required offset, only one can take effect. Without a required
    /// offset both do, and the second replaces the first as the newest record of its key, which
    /// changes the order of the records.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self {
            Self::Append(_, at) => at.is_some(),
            Self::Read(..) | Self::Fetch(..) | Self::Newest(_) => true,
        }
    }

    /// Returns how long the log may hold the call open.
    pub(crate) fn wait(&self) -> Duration {
        match self {
            Self::Read(_, wait) => *wait,
            Self::Append(..) | Self::Fetch(..) | Self::Newest(_) => Duration::ZERO,
        }
    }
}

/// Answer of the log.
#[derive(Clone, Debug)]
pub(crate) enum LogAnswer {
    /// Offset of the first record.
    Appended(Offset),
    /// Records returned by a read.
    Page(LogPage),
    /// Fetched record.
    Record(LogRecord),
    /// Page of newest records.
    Newest(NewestPage),
}

/// Error decoding a relayed call or its answer.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub(crate) enum RelayError {
    /// The bytes are not a valid message.
    #[display("malformed message: {_0}")]
    Undecodable(DecodeError),
    /// The message lacks required content or has an unknown topic.
    #[display("the message has no content of a known kind")]
    Empty,
}

pub(crate) fn encode_call(topic: Topic, call: &LogCall) -> Vec<u8> {
    let kind = match call {
        LogCall::Append(records, at) => call::Kind::Append(proto::Append {
            records: records.iter().map(encode_keyed_value).collect(),
            at: at.map(|at| at.0),
        }),
        LogCall::Read(from, wait) => call::Kind::Read(proto::Read {
            from: from.0,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        }),
        LogCall::Fetch(offset, size_bytes) => call::Kind::Fetch(proto::Fetch {
            offset: offset.0,
            size_bytes: *size_bytes,
        }),
        LogCall::Newest(after) => call::Kind::Newest(proto::Newest {
            after: after.as_ref().map(ToString::to_string),
        }),
    };
    let message = proto::Call {
        topic: encode_topic(topic).into(),
        kind: Some(kind),
    };
    message.encode_to_vec()
}

pub(crate) fn decode_call(bytes: &[u8]) -> Result<(Topic, LogCall), RelayError> {
    let message = proto::Call::decode(bytes)?;
    let topic = decode_topic(message.topic()).ok_or(RelayError::Empty)?;
    let call = match message.kind.ok_or(RelayError::Empty)? {
        call::Kind::Append(append) => {
            let records = append.records.into_iter().map(|record| KeyedValue {
                key: record.key.into(),
                value: record.value,
            });
            LogCall::Append(records.collect(), append.at.map(Offset))
        }
        call::Kind::Read(read) => {
            LogCall::Read(Offset(read.from), Duration::from_millis(read.wait_ms))
        }
        call::Kind::Fetch(fetch) => LogCall::Fetch(Offset(fetch.offset), fetch.size_bytes),
        call::Kind::Newest(newest) => LogCall::Newest(newest.after.map(CompactString::from)),
    };
    Ok((topic, call))
}

pub(crate) fn encode_answer(answer: &Result<LogAnswer, LogError>) -> Vec<u8> {
    let kind = match answer {
        Ok(LogAnswer::Appended(offset)) => {
            answer::Kind::Appended(proto::Appended { offset: offset.0 })
        }
        Ok(LogAnswer::Page(page)) => answer::Kind::Page(proto::Page {
            records: page.records.iter().map(encode_log_record).collect(),
            end: page.end.0,
            more_after: None,
        }),
        Ok(LogAnswer::Record(record)) => answer::Kind::Page(proto::Page {
            records: vec![encode_log_record(record)],
            end: 0,
            more_after: None,
        }),
        Ok(LogAnswer::Newest(page)) => answer::Kind::Page(proto::Page {
            records: page.records.iter().map(encode_log_record).collect(),
            end: page.end.0,
            more_after: page.more_after.as_ref().map(ToString::to_string),
        }),
        Err(error) => answer::Kind::Failure(encode_failure(error)),
    };
    proto::Answer { kind: Some(kind) }.encode_to_vec()
}

/// Decodes the answer to a call; the inner result is the outcome of the log call.
pub(crate) fn decode_answer(
    call: &LogCall,
    bytes: &[u8],
) -> Result<Result<LogAnswer, LogError>, RelayError> {
    let message = proto::Answer::decode(bytes)?;
    Ok(match message.kind.ok_or(RelayError::Empty)? {
        answer::Kind::Appended(appended) => Ok(LogAnswer::Appended(Offset(appended.offset))),
        answer::Kind::Page(page) => {
            let mut records: Vec<LogRecord> =
                page.records.into_iter().map(decode_log_record).collect();
            let end = Offset(page.end);
            Ok(match call {
                LogCall::Newest(_) => LogAnswer::Newest(NewestPage {
                    records,
                    more_after: page.more_after.map(CompactString::from),
                    end,
                }),
                LogCall::Fetch(..) => LogAnswer::Record(records.pop().ok_or(RelayError::Empty)?),
                LogCall::Read(..) | LogCall::Append(..) => {
                    LogAnswer::Page(LogPage { records, end })
                }
            })
        }
        answer::Kind::Failure(failure) => Err(decode_failure(failure)),
    })
}

fn encode_failure(error: &LogError) -> proto::Failure {
    let mut failure = proto::Failure {
        may_have_effect: error.may_have_effect(),
        cause: error.to_string(),
        ..proto::Failure::default()
    };
    match error {
        LogError::Truncated { first } => failure.truncated_before = Some(first.0),
        LogError::Conflict { end } => failure.conflict_end = Some(end.0),
        _ => {}
    }
    failure
}

fn decode_failure(failure: proto::Failure) -> LogError {
    if let Some(first) = failure.truncated_before {
        return LogError::Truncated {
            first: Offset(first),
        };
    }
    if let Some(end) = failure.conflict_end {
        return LogError::Conflict { end: Offset(end) };
    }
    let cause = CompactString::from(failure.cause);
    if failure.may_have_effect {
        LogError::AnswerLost { cause }
    } else {
        LogError::Unreachable { cause }
    }
}

fn encode_keyed_value(record: &KeyedValue) -> proto::Record {
    proto::Record {
        key: record.key.to_string(),
        value: record.value.clone(),
        offset: 0,
    }
}

fn encode_log_record(record: &LogRecord) -> proto::Record {
    proto::Record {
        key: record.key.to_string(),
        value: record.value.as_ref().map(|value| value.to_vec()),
        offset: record.offset.0,
    }
}

fn decode_log_record(record: proto::Record) -> LogRecord {
    LogRecord {
        offset: Offset(record.offset),
        key: record.key.into(),
        value: record.value.map(Bytes::from),
    }
}

fn encode_topic(topic: Topic) -> proto::Topic {
    match topic {
        Topic::Publications => proto::Topic::Publications,
        Topic::Endpoints => proto::Topic::Endpoints,
        Topic::Jobs => proto::Topic::Jobs,
        Topic::Leadership => proto::Topic::Duty,
        Topic::Instances => proto::Topic::Instances,
        Topic::Contents => proto::Topic::Contents,
        Topic::Progress => proto::Topic::Progress,
        Topic::Quarantine => proto::Topic::Quarantine,
        Topic::StreamOrigins => proto::Topic::StreamOrigins,
        Topic::UsageCounts => proto::Topic::UsageCounts,
        Topic::UsageReports => proto::Topic::UsageReports,
    }
}

fn decode_topic(topic: proto::Topic) -> Option<Topic> {
    Some(match topic {
        proto::Topic::Unspecified => return None,
        proto::Topic::Publications => Topic::Publications,
        proto::Topic::Endpoints => Topic::Endpoints,
        proto::Topic::Jobs => Topic::Jobs,
        proto::Topic::Duty => Topic::Leadership,
        proto::Topic::Instances => Topic::Instances,
        proto::Topic::Contents => Topic::Contents,
        proto::Topic::Progress => Topic::Progress,
        proto::Topic::Quarantine => Topic::Quarantine,
        proto::Topic::StreamOrigins => Topic::StreamOrigins,
        proto::Topic::UsageCounts => Topic::UsageCounts,
        proto::Topic::UsageReports => Topic::UsageReports,
    })
}
