//! Planned stop: requests are answered, or refused as not run, before the process ends.

use std::future::Future;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use wisteriaford_core::gateway::call_durations::CallDurations;
use wisteriaford_core::gateway::route::Route;
use wisteriaford_core::id::RouteId;
use wisteriaford_core::time::Timestamp;

use crate::clock;
use crate::state::Gateway;
use crate::state::lock;
use crate::usage;

/// Time after the stop signal until the load balancer sends no new callers.
///
/// The load balancer probes readiness once a second and removes an instance after two failed
/// probes.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2_300);
/// Part of the shutdown timeout that is reserved for closing the last connections.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(700);
/// Time before the end at which requests in progress get their last answer, enough to send it.
const LAST_ANSWERS_MARGIN: Duration = Duration::from_millis(250);
/// Interval of the check whether all requests have ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// `Retry-After` of requests that are refused because the instance stops: others serve them at once, and
/// this connection is closed.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(50);

/// What an instance needs for a planned stop.
#[derive(Debug, Default)]
pub(crate) struct ShutdownState {
    /// Time at which requests that are still in progress get their last answer, once the instance stops.
    last_answers_at: watch::Sender<Option<Timestamp>>,
    durations: Mutex<CallDurations>,
}

impl ShutdownState {
    /// Records the time from the arrival of a call to the end of its answer.
    pub(crate) fn record_duration(&self, route: &RouteId, duration: Duration) {
        lock(&self.durations).record(route, duration);
    }

    fn last_answers_at(&self) -> Option<Timestamp> {
        *self.last_answers_at.borrow()
    }

    /// Waits until requests in progress must get their last answer.
    async fn last_answers_due(&self) {
        let mut last_answers_at = self.last_answers_at.subscribe();
        // The sender lives as long as this state.
        drop(last_answers_at.wait_for(Option::is_some).await);
        let at = self.last_answers_at().unwrap_or_default();
        tokio::time::sleep(at.since(clock::now())).await;
    }
}

/// Reports the instance as not ready, waits for the requests in progress and stops all tasks.
pub(crate) async fn shut_down(gateway: &Gateway, stop: &watch::Sender<bool>) {
    let signalled_at = clock::now();
    let shutdown_timeout = gateway.settings.load().shutdown_timeout;
    let grace_end = signalled_at + shutdown_timeout.saturating_sub(SHUTDOWN_RESERVE);
    log::info!(
        grace_ms = shutdown_timeout.as_millis(),
        requests = gateway.requests_in_progress.load(Ordering::Acquire);
        "gateway stopping, no longer ready for new callers"
    );
    gateway.leaving.store(true, Ordering::Release);
    let last_answers_at = grace_end - LAST_ANSWERS_MARGIN;
    let shutdown = &gateway.shutdown;
    shutdown.last_answers_at.send_replace(Some(last_answers_at));
    gateway.leadership().resign();
    tokio::time::sleep(LOAD_BALANCER_DELAY).await;
    // Starts the graceful close of connections; requests in progress still get their answers.
    stop.send_replace(true);
    // Longer than a request on a connection that was just accepted may take to arrive.
    tokio::time::sleep(SHUTDOWN_POLL_INTERVAL * 2).await;
    // Heads that arrive in part belong to no request yet, but to an open connection.
    let is_serving = || {
        gateway.requests_in_progress.load(Ordering::Acquire) > 0
            || gateway.open_connections.load(Ordering::Acquire) > 0
            || gateway.carried_connections.load(Ordering::Acquire) > 0
    };
    while clock::now() < grace_end && is_serving() {
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    usage::append_last_counts(gateway).await;
    log::info!(
        took_ms = clock::now().since(signalled_at).as_millis(),
        requests = gateway.requests_in_progress.load(Ordering::Acquire);
        "gateway stopped"
    );
}

/// Returns whether a call may be sent to an endpoint: while the instance stops, only one that usually ends
/// before the last answers are given.
pub(crate) fn may_begin(gateway: &Gateway, route: &Route, deadline: Timestamp) -> bool {
    let Some(last_answers_at) = gateway.shutdown.last_answers_at() else {
        return true;
    };
    let now = clock::now();
    let (time_left, remaining) = (deadline.since(now), last_answers_at.since(now));
    lock(&gateway.shutdown.durations).may_finish(route, time_left, remaining)
}

/// Waits for a part of a request; returns `None` if the request must get its last answer now.
pub(crate) async fn unless_last_answer<T>(
    gateway: &Gateway,
    part: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        biased;
        ended = part => Some(ended),
        () = gateway.shutdown.last_answers_due() => None,
    }
}
