//! Values that are seen some time after they changed.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// History of a value, as long as its lag needs.
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

    /// Records the value that holds from `now` on.
    pub(crate) fn set(&mut self, now: Instant, value: T) {
        self.history.push_back((now, value));
        self.forget(now);
    }

    /// Returns the value as it was one lag ago, and how long ago that is.
    pub(crate) fn seen(&mut self, now: Instant) -> (T, Duration) {
        self.forget(now);
        let (since, value) = &self.history[0];
        let age = now.saturating_duration_since(*since);
        (value.clone(), age.min(self.lag))
    }

    /// Returns the value that holds now.
    pub(crate) fn newest(&self) -> &T {
        &self.history[self.history.len() - 1].1
    }

    fn forget(&mut self, now: Instant) {
        while self
            .history
            .get(1)
            .is_some_and(|(since, _)| now.saturating_duration_since(*since) >= self.lag)
        {
            self.history.pop_front();
        }
    }
}
