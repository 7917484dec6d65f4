//! Scorer that assigns scores to samples.

use std::time::Duration;

use clap::Args;
use clap::value_parser;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::connection::Connection;
use crate::error::RequestError;
use crate::error::Result;
use crate::request::Request;
use crate::server::Reply;
use crate::server::Service;
use crate::text::expected_score_milli;

/// Settings of the scorer.
#[derive(Args, Clone, Debug)]
pub struct ScorerSettings {
    /// Time in milliseconds that each request takes [range: 0 to 3600000]
    #[arg(long, default_value_t = 2, value_parser = value_parser!(u64).range(0..=3_600_000))]
    pub score_ms: u64,
}

/// Scorer whose scores depend only on a sample's text.
#[derive(Debug)]
pub(crate) struct Scorer {
    settings: ScorerSettings,
}

#[derive(Deserialize)]
struct ScoreRequest {
    samples: Vec<Sample>,
}

#[derive(Deserialize)]
struct Sample {
    id: Value,
    text: String,
}

impl Scorer {
    pub(crate) const fn new(settings: ScorerSettings) -> Self {
        Self { settings }
    }

    fn score(&self, request: &Request, connection: &Connection) -> Result<Reply> {
        let score_request: ScoreRequest = request.json()?;
        connection.sleep(Duration::from_millis(self.settings.score_ms));
        let scores: Vec<Value> = score_request
            .samples
            .into_iter()
            .map(|sample| {
                let score_milli = expected_score_milli(&sample.text);
                json!({"id": sample.id, "score_milli": score_milli})
            })
            .collect();
        Ok(Reply::ok(json!({ "scores": scores })))
    }
}

impl Service for Scorer {
    fn handle(&self, request: &Request, connection: &mut Connection) -> Result<Reply> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/score") => self.score(request, connection),
            _ => Err(RequestError::NotFound),
        }
    }
}
