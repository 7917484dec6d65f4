//! Durations of recent calls, by which an instance that stops tells which calls it can still finish.
//!
//! A call that is sent to an endpoint but not answered before the process ends is lost, and must not be
//! repeated if its route forbids it. One that is refused goes to another instance. Under a release of
//! all instances, one after the other, every route meets this several times.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::route::Route;
use crate::id::RouteId;

/// Number of durations kept of each route.
const SAMPLES: usize = 32;
/// Part of the calls that may take longer than the usual time, as a divisor.
const LONGER_DIVISOR: usize = 10;
/// Maximum number of routes kept; the one seen first is forgotten first.
const MAX_ROUTES: usize = 1_024;

/// Durations of the last calls of each route.
#[derive(Clone, Debug, Default)]
pub struct CallDurations {
    routes: IndexMap<RouteId, VecDeque<Duration>>,
}

impl CallDurations {
    /// Records the time from the arrival of a call to the end of its answer.
    pub fn record(&mut self, route: &RouteId, duration: Duration) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.routes.shift_remove_index(0);
        }
        let durations = self.routes.entry(route.clone()).or_default();
        if durations.len() >= SAMPLES {
            durations.pop_front();
        }
        durations.push_back(duration);
    }

    /// Returns the time that nine of ten recent calls of a route did not exceed, or its latency objective if
    /// there were none.
    #[must_use]
    pub fn usual(&self, route: &Route) -> Duration {
        let Some(durations) = self.routes.get(&route.id) else {
            return route.latency_objective;
        };
        let mut sorted: Vec<Duration> = durations.iter().copied().collect();
        sorted.sort_unstable();
        let longer = sorted.len() / LONGER_DIVISOR;
        let usual = sorted.iter().rev().nth(longer);
        usual.copied().unwrap_or(route.latency_objective)
    }

    /// Returns whether a call that must end within `time_left` has an answer by the end of `remaining`, the
    /// time that this instance still has.
    #[must_use]
    pub fn may_finish(&self, route: &Route, time_left: Duration, remaining: Duration) -> bool {
        time_left <= remaining || self.usual(route) <= remaining
    }
}
