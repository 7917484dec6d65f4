//! Fake plain service.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;

/// Fake plain service that counts the calls it ran.
#[derive(Debug)]
pub struct Service {
    /// Duration of a call.
    pub call_time: Duration,
    /// Whether the service is down and refuses connections.
    pub is_down: bool,
    /// Number of upcoming calls that run but whose answer is lost.
    pub lose_answers: u32,
    /// Number of runs by idempotency key.
    pub runs_by_key: IndexMap<CompactString, u32>,
    /// Number of runs by request.
    pub runs_by_request: IndexMap<CompactString, u32>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            call_time: Duration::from_millis(20),
            is_down: false,
            lose_answers: 0,
            runs_by_key: IndexMap::new(),
            runs_by_request: IndexMap::new(),
        }
    }
}

impl Service {
    /// Runs a call and returns whether its answer is delivered.
    pub(crate) fn run(&mut self, request: &str, key: Option<&CompactString>) -> bool {
        *self.runs_by_request.entry(request.into()).or_default() += 1;
        if let Some(key) = key {
            *self.runs_by_key.entry(key.clone()).or_default() += 1;
        }
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return false;
        }
        true
    }
}
