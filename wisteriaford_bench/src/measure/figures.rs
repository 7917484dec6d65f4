//! Figures of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

/// Figures of a run, as they are printed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    /// Time in which trainers had computed with all that they held while their step was not
    /// whole, as a part of the time of their steps, in percent. The step under way at the end
    /// counts.
    pub idle_percent: f64,
    /// Mean time of a whole step, in seconds.
    pub step_s: f64,
    /// Steps that were whole.
    pub steps: u64,
    /// Versions between the trainer's and a delivered sample's oldest, median.
    pub staleness_p50_versions: u64,
    /// The same, 99th percentile.
    pub staleness_p99_versions: u64,
    /// Time since a version newer than a delivered sample's oldest was announced, median.
    pub staleness_p50_s: f64,
    /// The same, 99th percentile.
    pub staleness_p99_s: f64,
    /// Time from an interactive caller's first send to its answer, median; those that burst or
    /// crash endpoints do not count, those that gave up count with the time after which they did.
    pub interactive_p50_ms: u64,
    /// The same, 99th percentile.
    pub interactive_p99_ms: u64,
    /// Interactive requests that were answered.
    pub interactive: u64,
    /// Interactive requests whose callers gave up.
    pub interactive_failed: u64,
    /// Slot time received as a part of the slot time entitled to, of the worst caller, in percent.
    pub worst_share_percent: f64,
    /// That caller.
    pub worst_caller: &'static str,
    /// Samples delivered again.
    pub repeated: u64,
    /// Samples delivered with a span older than the bound.
    pub too_old: u64,
    /// Samples delivered with a token without a version.
    pub unlabelled: u64,
    /// Tokens made that no caller received, as a part of all tokens made, in percent.
    pub wasted_percent: f64,
    /// Times that an engine crashed.
    pub crashes: u64,
    /// Loads of weights that failed.
    pub failed_swaps: u64,
}

/// Collects durations or counts and returns percentiles.
#[derive(Debug)]
pub struct Percentiles {
    histogram: Histogram<u64>,
}

impl Default for Percentiles {
    fn default() -> Self {
        let mut histogram = Histogram::new(3).expect("three significant digits are allowed");
        histogram.auto(true);
        Self { histogram }
    }
}

impl Percentiles {
    /// Adds a value.
    pub fn add(&mut self, value: u64) {
        // It grows with its values, so that none is refused.
        let _ = self.histogram.record(value);
    }

    /// Adds a duration, in milliseconds.
    pub fn add_time(&mut self, time: Duration) {
        self.add(u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    }

    /// Returns a percentile.
    #[must_use]
    pub fn at(&self, percent: f64) -> u64 {
        self.histogram.value_at_percentile(percent)
    }

    /// Returns the number of values.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns whether there is no value.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.histogram.is_empty()
    }
}

/// Slots that callers held and were entitled to, by window.
#[derive(Debug, Default)]
pub struct SlotShares {
    window: IndexMap<&'static str, (f64, f64)>,
    total: IndexMap<&'static str, (f64, f64)>,
}

impl SlotShares {
    /// Adds what a caller held and was entitled to at one look.
    pub fn add(&mut self, caller: &'static str, held: f64, entitled: f64) {
        if entitled > 0.0 {
            let sums = self.window.entry(caller).or_default();
            sums.0 += held;
            sums.1 += entitled;
        }
    }

    /// Ends a window: what a caller received beyond its entitlement does not make up for others.
    pub fn end_window(&mut self) {
        for (caller, (held, entitled)) in self.window.drain(..) {
            let sums = self.total.entry(caller).or_default();
            sums.0 += held.min(entitled);
            sums.1 += entitled;
        }
    }

    /// Returns the caller with the smallest part of its entitlement, and that part in percent.
    #[must_use]
    pub fn worst(&self) -> (&'static str, f64) {
        let parts = self.total.iter();
        let parts = parts.map(|(caller, (held, entitled))| (*caller, 100.0 * held / entitled));
        let worst = parts.min_by(|one, other| one.1.total_cmp(&other.1));
        worst.unwrap_or(("none", 100.0))
    }
}

/// Divides slots between equal callers, none of which gets more than it can use.
///
/// Source: Bertsekas and Gallager, "Data Networks", 1992 (max-min fairness).
#[must_use]
pub fn max_min(mut capacity: f64, demands: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|&one, &other| demands[one].total_cmp(&demands[other]));
    let mut parts = vec![0.0; demands.len()];
    let mut left = demands.len();
    for index in order {
        let fair = capacity / as_f64(left as u64);
        parts[index] = demands[index].min(fair);
        capacity -= parts[index];
        left -= 1;
    }
    parts
}

/// Returns a count as a floating-point number; exact below 2^53.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub const fn as_f64(count: u64) -> f64 {
    count as f64
}

/// Returns a part in percent; 0 of nothing.
#[must_use]
pub fn percent(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        100.0 * part / whole
    } else {
        0.0
    }
}

/// Returns a number rounded to hundredths.
#[must_use]
pub fn hundredths(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}
