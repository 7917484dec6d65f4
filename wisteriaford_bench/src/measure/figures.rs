//! Values measured in a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

/// Values measured in a run, as printed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    /// Share of step time in which trainers had processed all samples received and waited for more,
    /// in percent. Includes the steps in progress at the end.
    pub idle_percent: f64,
    /// Mean time of a complete step, in seconds.
    pub step_s: f64,
    /// Number of complete steps.
    pub steps: u64,
    /// Median number of versions by which the oldest version of a delivered sample is behind the
    /// trainer's.
    pub staleness_p50_versions: u64,
    /// 99th percentile of the same.
    pub staleness_p99_versions: u64,
    /// Median time since the version after the oldest one of a delivered sample was announced, in
    /// seconds.
    pub staleness_p50_s: f64,
    /// 99th percentile of the same.
    pub staleness_p99_s: f64,
    /// Median time from the first send of an interactive request to its answer, in milliseconds.
    /// Excludes callers that send bursts or crash endpoints; requests that were given up count with
    /// their timeout.
    pub interactive_p50_ms: u64,
    /// 99th percentile of the same.
    pub interactive_p99_ms: u64,
    /// Number of interactive requests that were answered.
    pub interactive: u64,
    /// Number of interactive requests that their callers gave up.
    pub interactive_failed: u64,
    /// Lowest ratio of slot time received to slot time entitled to, over all callers, in percent.
    pub worst_share_percent: f64,
    /// Caller with that ratio.
    pub worst_caller: &'static str,
    /// Number of samples delivered more than once.
    pub repeated: u64,
    /// Number of samples delivered with a span older than the staleness bound.
    pub too_old: u64,
    /// Number of samples delivered with a token that has no version.
    pub unlabelled: u64,
    /// Share of generated tokens that no caller received, in percent.
    pub wasted_percent: f64,
    /// Number of engine crashes.
    pub crashes: u64,
    /// Number of weight loads that failed.
    pub failed_swaps: u64,
}

/// Histogram of durations or counts.
#[derive(Debug)]
pub struct Percentiles {
    histogram: Histogram<u64>,
}

impl Default for Percentiles {
    fn default() -> Self {
        let mut histogram = Histogram::new(3).expect("three significant digits are valid");
        histogram.auto(true);
        Self { histogram }
    }
}

impl Percentiles {
    /// Adds a value.
    pub fn add(&mut self, value: u64) {
        // Recording cannot fail: the histogram resizes.
        let _ = self.histogram.record(value);
    }

    /// Adds a duration, recorded in milliseconds.
    pub fn add_time(&mut self, time: Duration) {
        self.add(u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    }

    /// Returns the value at a percentile.
    #[must_use]
    pub fn at(&self, percent: f64) -> u64 {
        self.histogram.value_at_percentile(percent)
    }

    /// Returns the number of values.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns whether no value was added.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.histogram.is_empty()
    }
}

/// Slots that callers held and were entitled to, summed per window and in total.
#[derive(Debug, Default)]
pub struct SlotShares {
    window: IndexMap<&'static str, (f64, f64)>,
    total: IndexMap<&'static str, (f64, f64)>,
}

impl SlotShares {
    /// Adds one observation of the slots that a caller held and was entitled to.
    pub fn add(&mut self, caller: &'static str, held: f64, entitled: f64) {
        if entitled > 0.0 {
            let sums = self.window.entry(caller).or_default();
            sums.0 += held;
            sums.1 += entitled;
        }
    }

    /// Ends a window. Slots held beyond the entitlement of one window do not make up for a
    /// shortfall in another.
    pub fn end_window(&mut self) {
        for (caller, (held, entitled)) in self.window.drain(..) {
            let sums = self.total.entry(caller).or_default();
            sums.0 += held.min(entitled);
            sums.1 += entitled;
        }
    }

    /// Returns the caller that received the smallest share of its entitlement, and that share in
    /// percent.
    #[must_use]
    pub fn worst(&self) -> (&'static str, f64) {
        let shares = self.total.iter();
        let shares = shares.map(|(caller, (held, entitled))| (*caller, 100.0 * held / entitled));
        let worst = shares.min_by(|one, other| one.1.total_cmp(&other.1));
        worst.unwrap_or(("none", 100.0))
    }
}

/// Divides slots by max-min fairness between callers of equal weight, none of which gets more than
/// it demands.
///
/// Source: Bertsekas and Gallager, "Data Networks", 1992 (max-min fairness).
#[must_use]
pub fn max_min_shares(mut capacity: f64, demands: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|&one, &other| demands[one].total_cmp(&demands[other]));
    let mut shares = vec![0.0; demands.len()];
    let mut remaining = demands.len();
    for index in order {
        let fair_share = capacity / as_f64(remaining as u64);
        shares[index] = demands[index].min(fair_share);
        capacity -= shares[index];
        remaining -= 1;
    }
    shares
}

/// Converts a count to `f64`; exact below 2^53.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub const fn as_f64(count: u64) -> f64 {
    count as f64
}

/// Returns `part` in percent of `whole`, or 0 if `whole` is not positive.
#[must_use]
pub fn percent(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        100.0 * part / whole
    } else {
        0.0
    }
}

/// Rounds a number to hundredths.
#[must_use]
pub fn round_to_hundredths(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}
