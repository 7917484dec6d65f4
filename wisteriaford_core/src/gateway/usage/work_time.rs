//! Estimates of when an endpoint began to run a call that has been answered.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::id::RouteId;
use crate::time::Timestamp;

/// Number of calls of a route that are remembered.
const MAX_SAMPLES: usize = 128;
/// Rank of the usual time of work among the remembered calls, in percent: the fastest calls didn't wait
/// in a queue, and the very fastest may be refusals by the service.
const USUAL_PERCENT: usize = 10;
/// Multiple of the usual time of work up to which a call without an answer is taken to be running.
const MAX_RUNNING_FACTOR: u32 = 4;
/// Maximum number of routes that are remembered.
const MAX_ROUTES: usize = 4_096;

/// Usual times of work by route.
#[derive(Clone, Debug, Default)]
pub struct WorkTimes {
    samples_us: IndexMap<RouteId, VecDeque<u64>>,
}

impl WorkTimes {
    /// Records a call that was answered, and returns when its run probably began.
    ///
    /// Calls may wait in a queue of the endpoint, so that the time of the answer says more than the time
    /// at which the call was sent.
    pub fn record(&mut self, route: &RouteId, sent: Timestamp, answered: Timestamp) -> Timestamp {
        let elapsed = answered.since(sent);
        if self.samples_us.len() >= MAX_ROUTES && !self.samples_us.contains_key(route) {
            self.samples_us.swap_remove_index(0);
        }
        let samples_us = self.samples_us.entry(route.clone()).or_default();
        if samples_us.len() == MAX_SAMPLES {
            samples_us.pop_front();
        }
        samples_us.push_back(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX));
        let usual = usual(samples_us).unwrap_or(elapsed);
        answered - usual.min(elapsed)
    }

    /// Returns when the run of a call probably began that was given up without an answer, if it has.
    ///
    /// A call that was sent only just before may not have begun, and one without an answer for long waits in
    /// a queue, or was lost.
    #[must_use]
    pub fn abandoned(
        &self,
        route: &RouteId,
        sent: Timestamp,
        given_up: Timestamp,
    ) -> Option<Timestamp> {
        let usual = usual(self.samples_us.get(route)?)?;
        let elapsed = given_up.since(sent);
        let is_running = elapsed >= usual / 2 && elapsed <= usual * MAX_RUNNING_FACTOR;
        is_running.then(|| given_up - usual.min(elapsed))
    }
}

fn usual(samples_us: &VecDeque<u64>) -> Option<Duration> {
    let mut sorted: Vec<u64> = samples_us.iter().copied().collect();
    let rank = sorted.len() * USUAL_PERCENT / 100;
    if sorted.is_empty() {
        return None;
    }
    let (_, usual_us, _) = sorted.select_nth_unstable(rank);
    Some(Duration::from_micros(*usual_us))
}
