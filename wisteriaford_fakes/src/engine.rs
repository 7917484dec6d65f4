//! Fake model engine.

use std::time::Duration;

use indexmap::IndexMap;
use wisteriaford_core::event::CacheRead;
use wisteriaford_core::event::EndpointReport;
use wisteriaford_core::event::OrderAnswer;
use wisteriaford_core::hash::hash_parts;
use wisteriaford_core::id::AttemptId;
use wisteriaford_core::id::Fence;
use wisteriaford_core::id::Incarnation;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Version;
use wisteriaford_core::routing::CacheEvent;
use wisteriaford_core::work::Generation;

/// Scale of the length distribution: the shortest answer, unless the request allows fewer tokens.
const MIN_ANSWER_TOKENS: f64 = 40.0;
/// Exponent of the Pareto distribution of answer lengths. A lower value has a heavier tail.
const TAIL_EXPONENT: f64 = 1.6;
/// Words that answers consist of, one per token.
const WORDS: [&str; 8] = ["a ", "b ", "c ", "d ", "e ", "f ", "g ", "h "];

/// Settings of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Maximum number of concurrent streams. Further streams wait inside the engine.
    pub slots: usize,
    /// Tokens per second of each stream.
    pub tokens_per_s: u32,
    /// Tokens per chunk of a stream.
    pub tokens_per_chunk: u32,
    /// Delay before the first tokens of a stream.
    pub first_token_latency: Duration,
    /// Duration of a weight load.
    pub load_time: Duration,
    /// Age of the state in a report.
    pub report_age: Duration,
    /// Whether orders with an outdated fencing number are rejected.
    pub honours_fencing: bool,
    /// Version that runs after a start.
    pub start_version: Version,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            tokens_per_s: 50,
            tokens_per_chunk: 10,
            first_token_latency: Duration::from_millis(100),
            load_time: Duration::from_secs(4),
            report_age: Duration::from_millis(200),
            honours_fencing: true,
            start_version: Version(1),
        }
    }
}

/// Fake model engine.
#[derive(Debug)]
pub struct Engine {
    /// Settings of the engine.
    pub settings: EngineSettings,
    /// Whether the process is down.
    pub is_down: bool,
    /// Whether polls time out, orders have no answer and new streams stall.
    pub is_unresponsive: bool,
    /// Whether the engine reports that it is leaving.
    pub is_leaving: bool,
    /// Number of upcoming weight loads that fail.
    pub fail_swaps: u32,
    /// Text that crashes the engine when a prompt contains it.
    pub crash_marker: Option<String>,
    /// Attempts received, including those rejected because the engine is leaving.
    pub attempts_received: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// Published changes of the prefix cache, by ascending sequence number.
    pub cache_events: Vec<CacheEvent>,
    /// Number of generated tokens.
    pub tokens_generated: u64,
    /// Number of failed weight loads.
    pub failed_swaps: u64,
    pub(crate) incarnation: Incarnation,
    pub(crate) version: Version,
    pub(crate) loading: Option<Version>,
    pub(crate) highest_fence: Fence,
    pub(crate) streams: IndexMap<AttemptId, Stream>,
}

/// Token stream of one attempt.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) client: InstanceId,
    pub(crate) process_run: u64,
    pub(crate) work: Generation,
    pub(crate) next_token: u32,
    pub(crate) total_tokens: u32,
    /// Whether the stream sends no further tokens and never ends.
    pub(crate) is_stalled: bool,
    /// Whether the stream waits for a free slot inside the engine.
    pub(crate) is_waiting: bool,
}

impl Engine {
    /// Creates an engine that runs its start version.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            is_down: false,
            is_unresponsive: false,
            is_leaving: false,
            fail_swaps: 0,
            crash_marker: None,
            attempts_received: 0,
            crashes: 0,
            cache_events: Vec::new(),
            tokens_generated: 0,
            failed_swaps: 0,
            incarnation: Incarnation(1),
            version: settings.start_version,
            loading: None,
            highest_fence: Fence(0),
            streams: IndexMap::new(),
            settings,
        }
    }

    /// Returns the running version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the number of open streams, including waiting ones.
    #[must_use]
    pub fn running(&self) -> usize {
        self.streams.len()
    }

    /// Returns the work of all active streams, without waiting and stalled ones.
    pub fn generating(&self) -> impl Iterator<Item = &Generation> {
        let streams = self.streams.values();
        let running = streams.filter(|stream| !stream.is_waiting && !stream.is_stalled);
        running.map(|stream| &stream.work)
    }

    /// Stalls all open streams permanently.
    pub fn stall_streams(&mut self) {
        for stream in self.streams.values_mut() {
            stream.is_stalled = true;
        }
    }

    pub(crate) fn report(&self) -> EndpointReport {
        let waiting = self.streams.values().filter(|s| s.is_waiting).count();
        let running = self.streams.len() - waiting;
        EndpointReport {
            incarnation: self.incarnation,
            version: self.version,
            loading_version: self.loading.unwrap_or_default(),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            leaving: self.is_leaving,
            age: self.settings.report_age,
        }
    }

    pub(crate) fn read_cache(&self, from: u64) -> CacheRead {
        let events = self.cache_events.iter();
        let events: Vec<CacheEvent> = events.filter(|e| e.sequence >= from).copied().collect();
        let next = events.last().map_or(from, |event| event.sequence + 1);
        CacheRead { events, next }
    }

    /// Handles an order. The second value is whether a weight load starts.
    pub(crate) fn order(&mut self, fence: Fence, version: Version) -> (OrderAnswer, bool) {
        if self.settings.honours_fencing && fence < self.highest_fence {
            return (OrderAnswer::Fenced, false);
        }
        self.highest_fence = self.highest_fence.max(fence);
        if self.version == version || self.loading.is_some() {
            return (OrderAnswer::Accepted, false);
        }
        self.loading = Some(version);
        (OrderAnswer::Accepted, true)
    }

    pub(crate) fn finish_load(&mut self) {
        let Some(version) = self.loading.take() else {
            return;
        };
        if self.fail_swaps > 0 {
            self.fail_swaps -= 1;
            self.failed_swaps += 1;
            return;
        }
        self.version = version;
    }

    /// Stops the process and returns the interrupted streams.
    pub(crate) fn crash(&mut self) -> Vec<(AttemptId, Stream)> {
        self.is_down = true;
        self.crashes += 1;
        self.loading = None;
        self.streams.drain(..).collect()
    }

    pub(crate) fn restart(&mut self) {
        self.is_down = false;
        self.is_leaving = false;
        self.incarnation = self.incarnation.next();
        self.version = self.settings.start_version;
        self.loading = None;
        self.highest_fence = Fence(0);
    }

    pub(crate) fn crashes_on(&self, work: &Generation) -> bool {
        let marker = self.crash_marker.as_ref();
        marker.is_some_and(|marker| work.prompt.contains(marker.as_str()))
    }

    pub(crate) fn chunk_interval(&self) -> Duration {
        let tokens = self.settings.tokens_per_chunk.max(1);
        Duration::from_secs(1) * tokens / self.settings.tokens_per_s.max(1)
    }

    /// Starts the first waiting stream and returns its attempt, if a slot is free.
    pub(crate) fn start_next_waiting(&mut self) -> Option<AttemptId> {
        let running = self.streams.values().filter(|s| !s.is_waiting).count();
        if running >= self.settings.slots {
            return None;
        }
        let (id, stream) = self.streams.iter_mut().find(|(_, s)| s.is_waiting)?;
        stream.is_waiting = false;
        Some(id.clone())
    }
}

/// Returns the number of tokens of an answer: a heavy-tailed function of prompt and seed.
#[must_use]
pub fn expected_tokens(prompt: &str, seed: u64, max_tokens: u32) -> u32 {
    let hash = hash_parts(&[b"length", prompt.as_bytes(), &seed.to_le_bytes()]);
    let sample = u32::try_from(hash % 1_000_000).unwrap_or_default();
    let uniform = f64::from(sample + 1) / 1_000_001.0;
    let tokens = MIN_ANSWER_TOKENS * uniform.powf(-1.0 / TAIL_EXPONENT);
    let limit = f64::from(max_tokens);
    // The value is clamped to the range from 1 to `max_tokens`.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tokens = tokens.min(limit).max(1.0) as u32;
    tokens
}

/// Returns the text of a token range of an answer.
#[must_use]
pub fn expected_text(prompt: &str, seed: u64, from_token: u32, to_token: u32) -> String {
    let key = hash_parts(&[b"text", prompt.as_bytes(), &seed.to_le_bytes()]);
    let word = |token: u32| {
        let hash = key.rotate_left(token % 64) % WORDS.len() as u64;
        WORDS[usize::try_from(hash).unwrap_or_default()]
    };
    (from_token..to_token).map(word).collect()
}
