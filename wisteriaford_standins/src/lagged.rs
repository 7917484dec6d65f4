//! Values whose changes become visible after a fixed lag.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Value whose changes become visible after `lag`, with the history that this requires.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    lag: Duration,
    history: VecDeque<(Instant, T)>,
}

impl<T: Clone> Lagged<T> {
    pub(crate) fn new(lag: Duration, now: Instant, value: T) -> Self {
        Self {
            lag,
            history: VecDeque::from([(now, value)]),
        }
    }

    /// Sets the value as of `now`.
    pub(crate) fn set(&mut self, now: Instant, value: T) {
        self.history.push_back((now, value));
        self.prune(now);
    }

    /// Returns the value that is visible at `now`, and how far that view lags behind.
    pub(crate) fn visible(&mut self, now: Instant) -> (T, Duration) {
        self.prune(now);
        let (since, value) = &self.history[0];
        let age = now.saturating_duration_since(*since);
        (value.clone(), age.min(self.lag))
    }

    /// Returns the latest value, without the lag.
    pub(crate) fn latest(&self) -> &T {
        &self.history[self.history.len() - 1].1
    }

    fn prune(&mut self, now: Instant) {
        while self
            .history
            .get(1)
            .is_some_and(|(since, _)| now.saturating_duration_since(*since) >= self.lag)
        {
            self.history.pop_front();
        }
    }
}
