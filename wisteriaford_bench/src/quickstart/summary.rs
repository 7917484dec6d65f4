//! Summary of a run, and the guarantees that it must meet.

use std::collections::BTreeSet;

use serde::Serialize;

/// Maximum time until a configuration is in force on every daemon, in milliseconds.
pub const MAX_CONFIGURATION_IN_FORCE_MS: u64 = 5_000;

/// Counts and times of a run, printed as the last line of the output.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Samples requested by the steps.
    pub samples_asked: u64,
    /// Distinct samples delivered.
    pub samples_delivered: u64,
    /// Samples delivered more than once.
    pub samples_repeated: u64,
    /// Samples older than the staleness bound.
    pub samples_too_old: u64,
    /// Samples whose version labels do not cover every token.
    pub samples_unlabelled: u64,
    /// Requests sent by interactive callers.
    pub interactive_asked: u64,
    /// Complete and correct answers to them.
    pub interactive_complete: u64,
    /// Time from publishing the configuration until it was in force on every daemon, in
    /// milliseconds.
    pub configuration_in_force_ms: u64,
    /// Requests without a complete answer that were in progress at a graceful shutdown, or sent to
    /// any daemon while it went on.
    pub lost_at_shutdown: u64,
    /// Versions of the weights in the labels of the samples.
    pub versions_seen: BTreeSet<u64>,
}

impl Summary {
    /// Returns the violated guarantees, one sentence each; every version in `announced` must occur
    /// in the labels of the samples.
    #[must_use]
    pub fn violations(&self, announced: &[u64]) -> Vec<String> {
        let mut violations = Vec::new();
        let mut require = |holds: bool, violation: String| {
            if !holds {
                violations.push(violation);
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
            format!(
                "{} samples were delivered more than once",
                self.samples_repeated
            ),
        );
        require(
            self.samples_too_old == 0,
            format!(
                "{} samples are older than the staleness bound",
                self.samples_too_old
            ),
        );
        require(
            self.samples_unlabelled == 0,
            format!(
                "{} samples have tokens without a version",
                self.samples_unlabelled
            ),
        );
        require(
            self.interactive_asked > 0 && self.interactive_complete == self.interactive_asked,
            format!(
                "{} of {} interactive requests got a complete answer",
                self.interactive_complete, self.interactive_asked
            ),
        );
        require(
            self.configuration_in_force_ms <= MAX_CONFIGURATION_IN_FORCE_MS,
            format!(
                "the configuration took {} ms to be in force on every daemon",
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
                format!("no sample is labelled with version {version}"),
            );
        }
        violations
    }
}
