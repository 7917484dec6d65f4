//! Rate of requests.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

/// Highest rate that is told apart from an even higher one, in requests per second.
const MAX_PER_S: f64 = 1e9;

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestRate {
    milli_per_s: u64,
}

/// Error parsing a rate.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("not a rate: a decimal number of requests per second is expected")]
pub struct ParseRateError;

impl RequestRate {
    /// Returns the rate of a number of thousandths of a request per second.
    #[must_use]
    pub const fn from_milli(milli_per_s: u64) -> Self {
        Self { milli_per_s }
    }

    /// Returns the thousandths of a request per second.
    #[must_use]
    pub fn as_milli(self) -> u64 {
        self.milli_per_s
    }

    /// Returns the number of requests in a time.
    #[must_use]
    pub fn requests_in(self, time: Duration) -> f64 {
        self.per_s() * time.as_secs_f64()
    }

    /// Returns the time in which a number of requests may be sent.
    #[must_use]
    pub fn time_for(self, requests: f64) -> Duration {
        Duration::try_from_secs_f64(requests / self.per_s()).unwrap_or(Duration::MAX)
    }

    /// Returns a part of this rate, in percent.
    #[must_use]
    pub fn percent(self, percent: u64) -> Self {
        Self::from_milli(self.milli_per_s.saturating_mul(percent) / 100)
    }

    // Rates above 2^52 thousandths are not told apart.
    #[allow(clippy::cast_precision_loss)]
    fn per_s(self) -> f64 {
        self.milli_per_s as f64 / 1e3
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_s())
    }
}

impl FromStr for RequestRate {
    type Err = ParseRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_s: f64 = text.trim().parse().map_err(|_| ParseRateError)?;
        if !per_s.is_finite() || per_s < 0.0 {
            return Err(ParseRateError);
        }
        // Neither negative nor too large.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let milli_per_s = (per_s.min(MAX_PER_S) * 1e3).round() as u64;
        Ok(Self { milli_per_s })
    }
}
