//! What a run came to, and whether it keeps what was promised.

use std::collections::BTreeSet;

use serde::Serialize;

/// Longest time until a configuration is in force everywhere, in milliseconds.
pub const MAX_CONFIGURATION_IN_FORCE_MS: u64 = 5_000;

/// Figures of a run, the last line that it prints.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Samples that the steps asked for.
    pub samples_asked: u64,
    /// Samples taken, each once.
    pub samples_delivered: u64,
    /// Samples that came again.
    pub samples_repeated: u64,
    /// Samples older than the bound.
    pub samples_too_old: u64,
    /// Samples whose versions do not cover every token.
    pub samples_unlabelled: u64,
    /// Requests of interactive callers.
    pub interactive_asked: u64,
    /// Whole and right answers to them.
    pub interactive_complete: u64,
    /// Time from the publication until it was in force at every daemon, in milliseconds.
    pub configuration_in_force_ms: u64,
    /// Requests in progress at a graceful shutdown, or sent while it went on to any daemon, that got
    /// no whole answer.
    pub lost_at_shutdown: u64,
    /// Versions of the weights that the samples name.
    pub versions_seen: BTreeSet<u64>,
}

impl Summary {
    /// Returns what of the promises is broken, one sentence each; `announced` are the versions
    /// that the samples must name.
    #[must_use]
    pub fn broken(&self, announced: &[u64]) -> Vec<String> {
        let mut broken = Vec::new();
        let mut require = |holds: bool, sentence: String| {
            if !holds {
                broken.push(sentence);
            }
        };
        require(
            self.samples_asked > 0 && self.samples_delivered == self.samples_asked,
            format!(
                "{} of {} samples were delivered",
                self.samples_delivered, self.samples_asked
            ),
        );
        require(
            self.samples_repeated == 0,
            format!("{} samples came again", self.samples_repeated),
        );
        require(
            self.samples_too_old == 0,
            format!("{} samples are too old", self.samples_too_old),
        );
        require(
            self.samples_unlabelled == 0,
            format!("{} samples are not labelled", self.samples_unlabelled),
        );
        require(
            self.interactive_asked > 0 && self.interactive_complete == self.interactive_asked,
            format!(
                "{} of {} interactive answers are complete",
                self.interactive_complete, self.interactive_asked
            ),
        );
        require(
            self.configuration_in_force_ms <= MAX_CONFIGURATION_IN_FORCE_MS,
            format!(
                "the configuration was in force after {} ms",
                self.configuration_in_force_ms
            ),
        );
        require(
            self.lost_at_shutdown == 0,
            format!("{} requests were lost at shutdown", self.lost_at_shutdown),
        );
        for version in announced {
            require(
                self.versions_seen.contains(version),
                format!("no sample names version {version}"),
            );
        }
        broken
    }
}
