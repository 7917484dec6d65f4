//! Fake of a model engine.

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

/// Shortest answer, in tokens.
const MIN_TOKENS: f64 = 40.0;
/// Exponent of the Pareto distribution of the lengths; lower has a heavier tail.
const TAIL_EXPONENT: f64 = 1.6;
const WORDS: [&str; 8] = ["a ", "b ", "c ", "d ", "e ", "f ", "g ", "h "];

/// Settings of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Streams generated at once; more wait inside the engine.
    pub slots: usize,
    /// Tokens a second of one stream.
    pub tokens_per_s: u32,
    /// Tokens sent at once.
    pub tokens_per_line: u32,
    /// Time until the first tokens.
    pub first_token: Duration,
    /// Time to load weights.
    pub load_time: Duration,
    /// Age of the state that it reports.
    pub report_age: Duration,
    /// Whether it refuses orders with an old fencing number.
    pub honours_fencing: bool,
    /// Version that it starts with.
    pub start_version: Version,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            tokens_per_s: 50,
            tokens_per_line: 10,
            first_token: Duration::from_millis(100),
            load_time: Duration::from_secs(4),
            report_age: Duration::from_millis(200),
            honours_fencing: true,
            start_version: Version(1),
        }
    }
}

/// Fake of a model engine.
#[derive(Debug)]
pub struct Engine {
    /// Settings.
    pub settings: EngineSettings,
    /// Whether its process is gone.
    pub is_down: bool,
    /// Whether it answers nothing on any connection.
    pub is_silent: bool,
    /// Whether it says that it is leaving.
    pub is_leaving: bool,
    /// Loads that fail.
    pub fail_swaps: u32,
    /// Text that makes it crash when a prompt holds it.
    pub crash_marker: Option<String>,
    /// Attempts that began, in order; those begun after it was leaving included.
    pub begun: u64,
    /// Crashes so far.
    pub crashes: u64,
    /// Changes of its prefix cache that it publishes, in the order of their numbers.
    pub cache_events: Vec<CacheEvent>,
    /// Tokens that it generated.
    pub tokens_made: u64,
    /// Loads of weights that failed.
    pub failed_swaps: u64,
    pub(crate) incarnation: Incarnation,
    pub(crate) version: Version,
    pub(crate) loading: Option<Version>,
    pub(crate) highest_fence: Fence,
    pub(crate) streams: IndexMap<AttemptId, Stream>,
}

/// Stream of one attempt.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) to: InstanceId,
    pub(crate) run: u64,
    pub(crate) work: Generation,
    pub(crate) next_token: u32,
    pub(crate) total_tokens: u32,
    /// Whether it went silent for good.
    pub(crate) is_silent: bool,
    /// Whether it waits for a slot inside the engine.
    pub(crate) is_waiting: bool,
}

impl Engine {
    /// Returns an engine that runs its start version.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            is_down: false,
            is_silent: false,
            is_leaving: false,
            fail_swaps: 0,
            crash_marker: None,
            begun: 0,
            crashes: 0,
            cache_events: Vec::new(),
            tokens_made: 0,
            failed_swaps: 0,
            incarnation: Incarnation(1),
            version: settings.start_version,
            loading: None,
            highest_fence: Fence(0),
            streams: IndexMap::new(),
            settings,
        }
    }

    /// Returns the version that it runs.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the streams that it generates or holds.
    #[must_use]
    pub fn running(&self) -> usize {
        self.streams.len()
    }

    /// Returns what it generates now, without what waits or went silent.
    pub fn generating(&self) -> impl Iterator<Item = &Generation> {
        let streams = self.streams.values();
        let running = streams.filter(|stream| !stream.is_waiting && !stream.is_silent);
        running.map(|stream| &stream.work)
    }

    /// Makes the streams open now go silent for good.
    pub fn silence_streams(&mut self) {
        for stream in self.streams.values_mut() {
            stream.is_silent = true;
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

    /// Takes an order; returns whether a load begins.
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

    /// Ends the process; returns the streams that break.
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

    pub(crate) fn is_poisoned_by(&self, work: &Generation) -> bool {
        let marker = self.crash_marker.as_ref();
        marker.is_some_and(|marker| work.prompt.contains(marker.as_str()))
    }

    pub(crate) fn line_time(&self) -> Duration {
        let tokens = self.settings.tokens_per_line.max(1);
        Duration::from_secs(1) * tokens / self.settings.tokens_per_s.max(1)
    }

    /// Starts a waiting stream if a slot is free; returns it.
    pub(crate) fn start_waiting(&mut self) -> Option<AttemptId> {
        let running = self.streams.values().filter(|s| !s.is_waiting).count();
        if running >= self.settings.slots {
            return None;
        }
        let (id, stream) = self.streams.iter_mut().find(|(_, s)| s.is_waiting)?;
        stream.is_waiting = false;
        Some(id.clone())
    }
}

/// Returns the length of an answer: a heavy-tailed function of prompt and seed.
#[must_use]
pub fn expected_tokens(prompt: &str, seed: u64, max_tokens: u32) -> u32 {
    let drawn = hash_parts(&[b"length", prompt.as_bytes(), &seed.to_le_bytes()]);
    let part = u32::try_from(drawn % 1_000_000).unwrap_or_default();
    let uniform = f64::from(part + 1) / 1_000_001.0;
    let tokens = MIN_TOKENS * uniform.powf(-1.0 / TAIL_EXPONENT);
    let longest = f64::from(max_tokens);
    // The value lies between 1 and `max_tokens`.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tokens = tokens.min(longest).max(1.0) as u32;
    tokens
}

/// Returns the text of some tokens of an answer.
#[must_use]
pub fn expected_text(prompt: &str, seed: u64, from_token: u32, to_token: u32) -> String {
    let key = hash_parts(&[b"text", prompt.as_bytes(), &seed.to_le_bytes()]);
    let word = |token: u32| {
        let drawn = key.rotate_left(token % 64) % WORDS.len() as u64;
        WORDS[usize::try_from(drawn).unwrap_or_default()]
    };
    (from_token..to_token).map(word).collect()
}
