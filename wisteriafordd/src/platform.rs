//! Calls to the platform: log, weight store, list of instances, scorers.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use compact_str::CompactString;
use oxhttp::model::Method;
use serde::Deserialize;
use serde::Serialize;
use wisteriaford_core::event::LogFailure;
use wisteriaford_core::event::LogRead;
use wisteriaford_core::event::LogRecord;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::Offset;
use wisteriaford_core::id::Version;
use wisteriaford_core::membership::ListedInstance;
use wisteriaford_core::membership::ListedState;
use wisteriaford_core::step::Score;
use wisteriaford_core::step::ScoreFailure;
use wisteriaford_core::step::ScoreItem;

use crate::http;
use crate::http::HttpError;

/// Records read at once.
const READ_RECORDS: usize = 500;
/// Time that the log holds a read which has nothing to return yet.
const READ_WAIT: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct ReadBody {
    first_offset: u64,
    next_offset: u64,
    records: Vec<RecordBody>,
}

#[derive(Deserialize)]
struct RecordBody {
    offset: u64,
    at_ms: u64,
    data: String,
}

#[derive(Deserialize)]
struct AppendBody {
    offset: u64,
}

#[derive(Deserialize)]
struct ModelBody {
    version: u64,
}

#[derive(Deserialize)]
struct InstancesBody {
    instances: Vec<InstanceBody>,
}

#[derive(Deserialize)]
struct InstanceBody {
    id: String,
    address: String,
    availability_zone: String,
    region: String,
    state: String,
}

#[derive(Serialize)]
struct ScoreBody<'a> {
    samples: Vec<UnscoredBody<'a>>,
}

#[derive(Serialize)]
struct UnscoredBody<'a> {
    id: String,
    prompt: &'a str,
    text: &'a str,
}

#[derive(Deserialize)]
struct ScoresBody {
    scores: Vec<ScoredBody>,
}

#[derive(Deserialize)]
struct ScoredBody {
    id: String,
    score_milli: i64,
}

/// Reads a stream of the log from an offset, waiting a little if there is nothing.
pub(crate) fn read_log(
    address: &str,
    stream: LogStream,
    from: Offset,
    timeout: Duration,
) -> Result<LogRead, LogFailure> {
    let url = format!(
        "http://{address}/streams/{}/records?from={from}&max={READ_RECORDS}&wait_ms={}",
        stream.name(),
        READ_WAIT.as_millis(),
    );
    let body: ReadBody =
        http::get(timeout + READ_WAIT, &url).map_err(|error| log_failure(&error))?;
    let records = body.records.into_iter().map(record_of).collect();
    Ok(LogRead {
        first_offset: Offset(body.first_offset),
        next_offset: Offset(body.next_offset),
        records,
    })
}

fn record_of(record: RecordBody) -> LogRecord {
    LogRecord {
        offset: Offset(record.offset),
        at_ms: record.at_ms,
        // Data that is no base64 is kept as an empty record, which the fold reports as damaged.
        data: STANDARD.decode(record.data).unwrap_or_default(),
    }
}

/// Appends a record to a stream of the log.
pub(crate) fn append(
    address: &str,
    stream: LogStream,
    data: Vec<u8>,
    timeout: Duration,
) -> Result<Offset, LogFailure> {
    let url = format!("http://{address}/streams/{}/records", stream.name());
    let sent = http::send(timeout, Method::POST, &url, &[], data);
    let bytes = sent
        .and_then(http::read_whole)
        .map_err(|error| log_failure(&error))?;
    let body: AppendBody = serde_json::from_slice(&bytes).map_err(|_| LogFailure::AnswerLost)?;
    Ok(Offset(body.offset))
}

fn log_failure(error: &HttpError) -> LogFailure {
    match error {
        HttpError::NotConnected => LogFailure::NotReached,
        HttpError::Status { status: 429, .. } => LogFailure::RateLimited,
        HttpError::Status { .. } | HttpError::Lost(_) | HttpError::Malformed => {
            LogFailure::AnswerLost
        }
    }
}

/// Asks the weight store for the newest version of a model.
pub(crate) fn newest_version(
    address: &str,
    model: &ModelId,
    timeout: Duration,
) -> Result<Version, HttpError> {
    let url = format!("http://{address}/models/{model}");
    let body: ModelBody = http::get(timeout, &url)?;
    Ok(Version(body.version))
}

/// Asks the platform for its list of instances.
pub(crate) fn list_instances(
    address: &str,
    timeout: Duration,
) -> Result<Vec<ListedInstance>, HttpError> {
    let url = format!("http://{address}/instances");
    let body: InstancesBody = http::get(timeout, &url)?;
    let instances = body.instances.into_iter().map(|instance| ListedInstance {
        id: instance.id.into(),
        address: CompactString::from(instance.address),
        availability_zone: instance.availability_zone.into(),
        region: instance.region.into(),
        state: if instance.state == "leaving" {
            ListedState::Leaving
        } else {
            ListedState::Live
        },
    });
    Ok(instances.collect())
}

/// Has samples scored.
pub(crate) fn score(
    address: &str,
    samples: &[ScoreItem],
    timeout: Duration,
) -> Result<Vec<Score>, ScoreFailure> {
    let samples = samples.iter().map(|sample| UnscoredBody {
        id: sample.index.to_string(),
        prompt: &sample.prompt,
        text: &sample.text,
    });
    let body = ScoreBody {
        samples: samples.collect(),
    };
    let url = format!("http://{address}/score");
    let answer: ScoresBody =
        http::call(timeout, Method::POST, &url, Some(&body)).map_err(|_| ScoreFailure)?;
    answer.scores.iter().map(score_of).collect()
}

fn score_of(score: &ScoredBody) -> Result<Score, ScoreFailure> {
    let index = score.id.parse().map_err(|_| ScoreFailure)?;
    let score_milli = score.score_milli;
    Ok(Score { index, score_milli })
}
