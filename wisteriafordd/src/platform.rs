//! Calls to the platform: log, weight store, instance list, scorers.

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
use crate::http::BodyLimits;
use crate::http::HttpError;

/// Maximum number of records per read.
const READ_RECORDS: usize = 500;
/// Time for which the log blocks a read while it has no new records.
const READ_WAIT_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct ReadResponse {
    first_offset: u64,
    next_offset: u64,
    records: Vec<RecordResponse>,
}

#[derive(Deserialize)]
struct RecordResponse {
    offset: u64,
    at_ms: u64,
    data: String,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Deserialize)]
struct ModelResponse {
    version: u64,
}

#[derive(Deserialize)]
struct InstanceListResponse {
    instances: Vec<InstanceResponse>,
}

#[derive(Deserialize)]
struct InstanceResponse {
    id: String,
    address: String,
    availability_zone: String,
    region: String,
    state: String,
}

#[derive(Serialize)]
struct ScoreRequest<'a> {
    samples: Vec<ScoreRequestSample<'a>>,
}

#[derive(Serialize)]
struct ScoreRequestSample<'a> {
    id: String,
    prompt: &'a str,
    text: &'a str,
}

#[derive(Deserialize)]
struct ScoreResponse {
    scores: Vec<SampleScore>,
}

#[derive(Deserialize)]
struct SampleScore {
    id: String,
    score_milli: i64,
}

/// Reads records of a log stream from an offset. Waits up to [`READ_WAIT_TIMEOUT`] for new records.
pub(crate) fn read_log(
    address: &str,
    stream: LogStream,
    from: Offset,
    timeout: Duration,
) -> Result<LogRead, LogFailure> {
    let url = format!(
        "http://{address}/streams/{}/records?from={from}&max={READ_RECORDS}&wait_ms={}",
        stream.name(),
        READ_WAIT_TIMEOUT.as_millis(),
    );
    let limits = BodyLimits::page(timeout + READ_WAIT_TIMEOUT);
    let body: ReadResponse = http::get(limits, &url).map_err(|error| log_failure(&error))?;
    let records = body.records.into_iter().map(log_record).collect();
    Ok(LogRead {
        first_offset: Offset(body.first_offset),
        next_offset: Offset(body.next_offset),
        records,
    })
}

fn log_record(record: RecordResponse) -> LogRecord {
    LogRecord {
        offset: Offset(record.offset),
        at_ms: record.at_ms,
        // Invalid base64 becomes an empty record, which the fold reports as damaged.
        data: STANDARD.decode(record.data).unwrap_or_default(),
    }
}

/// Appends a record to a log stream and returns its offset.
pub(crate) fn append(
    address: &str,
    stream: LogStream,
    data: Vec<u8>,
    timeout: Duration,
) -> Result<Offset, LogFailure> {
    let url = format!("http://{address}/streams/{}/records", stream.name());
    let response = http::send(timeout, Method::POST, &url, &[], data);
    let bytes = response
        .and_then(|response| http::read_success_body(response, BodyLimits::short(timeout)))
        .map_err(|error| log_failure(&error))?;
    let body: AppendResponse =
        serde_json::from_slice(&bytes).map_err(|_| LogFailure::AnswerLost)?;
    Ok(Offset(body.offset))
}

fn log_failure(error: &HttpError) -> LogFailure {
    match error {
        HttpError::NotConnected => LogFailure::NotReached,
        HttpError::Status { status: 429, .. } => LogFailure::RateLimited,
        HttpError::Status { .. }
        | HttpError::ConnectionLost(_)
        | HttpError::TooLarge
        | HttpError::Malformed => LogFailure::AnswerLost,
    }
}

/// Queries the weight store for the newest version of a model.
pub(crate) fn newest_version(
    address: &str,
    model: &ModelId,
    timeout: Duration,
) -> Result<Version, HttpError> {
    let url = format!("http://{address}/models/{model}");
    let body: ModelResponse = http::get(BodyLimits::short(timeout), &url)?;
    Ok(Version(body.version))
}

/// Queries the platform for its list of instances.
pub(crate) fn list_instances(
    address: &str,
    timeout: Duration,
) -> Result<Vec<ListedInstance>, HttpError> {
    let url = format!("http://{address}/instances");
    let body: InstanceListResponse = http::get(BodyLimits::short(timeout), &url)?;
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

/// Sends samples to a scorer and returns their scores.
pub(crate) fn score(
    address: &str,
    samples: &[ScoreItem],
    timeout: Duration,
) -> Result<Vec<Score>, ScoreFailure> {
    let samples = samples.iter().map(|sample| ScoreRequestSample {
        id: sample.index.to_string(),
        prompt: &sample.prompt,
        text: &sample.text,
    });
    let body = ScoreRequest {
        samples: samples.collect(),
    };
    let url = format!("http://{address}/score");
    let answer: ScoreResponse =
        http::call(BodyLimits::short(timeout), Method::POST, &url, Some(&body))
            .map_err(|_| ScoreFailure)?;
    answer.scores.iter().map(parse_score).collect()
}

fn parse_score(score: &SampleScore) -> Result<Score, ScoreFailure> {
    let index = score.id.parse().map_err(|_| ScoreFailure)?;
    let score_milli = score.score_milli;
    Ok(Score { index, score_milli })
}
