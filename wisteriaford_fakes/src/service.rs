//! Fake of a plain service.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;

/// Fake of a plain service, which counts what it ran.
#[derive(Debug)]
pub struct Service {
    /// Time that a call takes.
    pub call_time: Duration,
    /// Whether it answers nothing, as if its process were gone.
    pub is_down: bool,
    /// Calls that run and whose answer is lost.
    pub lose_answers: u32,
    /// Runs by key.
    pub runs_by_key: IndexMap<CompactString, u32>,
    /// Runs by request.
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
    /// Runs a call; returns whether its answer gets through.
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
