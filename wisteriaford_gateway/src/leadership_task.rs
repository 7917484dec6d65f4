//! Renewal and takeover of the runner leadership.

use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::gateway::leadership::LeadershipAppendOutcome;
use wisteriaford_core::gateway::leadership::LeadershipChange;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;

use crate::adapter::Log;
use crate::adapter::LogRecord;
use crate::adapter::Topic;
use crate::clock;
use crate::follow::Follower;
use crate::progress;
use crate::reach;
use crate::state::Gateway;
use crate::state::stopped;

/// Maximum wait of a read of the leadership topic.
const LEADERSHIP_WAIT: Duration = Duration::from_secs(1);
/// Interval of the check whether an append is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the links must be cut before a leader hands over.
const MIN_CUT_TIME: Duration = Duration::from_millis(300);
/// Age up to which a connection to an endpoint shows that the links work.
const RECENT_CONNECTION: Duration = Duration::from_secs(1);
/// Key of the leadership records.
const LEADERSHIP_KEY: &str = "runner";

/// Follower of the leadership records.
pub(crate) struct LeadershipFollower {
    pub(crate) gateway: Arc<Gateway>,
}

impl Follower for LeadershipFollower {
    fn topic(&self) -> Topic {
        Topic::Leadership
    }

    fn wait(&self) -> Duration {
        LEADERSHIP_WAIT
    }

    fn apply_snapshot(&mut self, records: Vec<LogRecord>, _end: Offset) {
        self.apply_records(records);
    }

    fn apply_records(&mut self, records: Vec<LogRecord>) {
        for record in records {
            if let Some(value) = &record.value {
                apply(&self.gateway, record.offset, value);
            }
        }
    }

    fn on_caught_up(&mut self, end: Offset, as_of: Timestamp) {
        let listed = {
            let mut leadership = self.gateway.leadership();
            leadership.set_end(end);
            leadership.take_listed_software()
        };
        if let Some(listed) = listed {
            let mut history = self.gateway.origins.history();
            history.apply_listing(clock::now(), &listed);
        }
        self.gateway.freshness(Topic::Leadership).advance(as_of);
    }

    fn on_reachability(&mut self, reachable: bool) {
        self.gateway
            .leadership()
            .set_reachable(clock::now(), reachable);
    }
}

fn apply(gateway: &Gateway, offset: Offset, value: &[u8]) {
    let (change, limits) = {
        let mut leadership = gateway.leadership();
        let change = leadership.apply(clock::now(), offset, value);
        (change, leadership.listed_limits().map(<[_]>::to_vec))
    };
    if let Some(limits) = limits {
        gateway
            .announced_limits()
            .apply_listing(clock::now(), &limits);
    }
    let (change, leader) = match change {
        Ok(None) => return,
        Ok(Some(LeadershipChange::Acquired(fence))) => ("taken", format!("self, fence {fence}")),
        Ok(Some(LeadershipChange::Lost(leader))) => ("lost", leader.to_string()),
        Ok(Some(LeadershipChange::LeaderChanged(leader))) => ("moved", leader.to_string()),
        Ok(Some(LeadershipChange::Released(leader))) => ("released", leader.to_string()),
        Err(error) => {
            gateway.metrics.skipped_records.add(1, &[]);
            log::warn!(topic:% = Topic::Leadership, offset = offset.0, error:% = error; "record skipped");
            return;
        }
    };
    log::info!(change = change, holder = leader, offset = offset.0; "runner leadership changed");
    gateway.runner_wake.notify_one();
}

/// Returns whether this instance may claim: it reaches endpoints, nobody does, or nobody else claims.
async fn may_claim(gateway: &Arc<Gateway>) -> bool {
    if gateway.links().is_cut() {
        return true;
    }
    let is_intact = reach::check(gateway, clock::now() - RECENT_CONNECTION).await;
    if !is_intact {
        log::warn!("leadership not claimed, the links to endpoints are cut");
    }
    is_intact
}

/// Renews or claims the leadership until the gateway stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    loop {
        let limits = gateway
            .announced_limits()
            .listing(&gateway.view.load().endpoints);
        let software = {
            let view = gateway.view.load();
            let history = gateway.origins.history();
            history.listing(clock::now(), &view.endpoints)
        };
        let append = {
            let cut_known_at = gateway.links().cut_known_at();
            let now = clock::now();
            let is_cut = cut_known_at.is_some_and(|at| now.since(at) >= MIN_CUT_TIME);
            let mut leadership = gateway.leadership();
            leadership.set_limits(limits);
            leadership.set_software(software);
            leadership.set_standing_aside(is_cut);
            leadership.due_append(now)
        };
        if let Some(append) = append {
            if append.claims && !may_claim(&gateway).await {
                let mut leadership = gateway.leadership();
                leadership.on_append_outcome(clock::now(), LeadershipAppendOutcome::Refused);
                continue;
            }
            if append.releases {
                log::info!(orders_ended = append.ends_orders; "leadership being released");
                progress::save_before_release(&gateway).await;
            }
            let record = KeyedValue {
                key: LEADERSHIP_KEY.into(),
                value: Some(append.value.clone()),
            };
            let appended = gateway
                .log
                .append(Topic::Leadership, vec![record], Some(append.at))
                .await;
            let outcome = match &appended {
                Ok(_) => LeadershipAppendOutcome::Appended,
                Err(error) if error.may_have_effect() => LeadershipAppendOutcome::Unknown,
                Err(_) => LeadershipAppendOutcome::Refused,
            };
            match appended {
                Ok(offset) => apply(&gateway, offset, &append.value),
                Err(error) => {
                    gateway.metrics.log_failures.add(1, &[]);
                    log::warn!(
                        at = append.at.0, error:% = error; "leadership not renewed or claimed"
                    );
                }
            }
            gateway
                .leadership()
                .on_append_outcome(clock::now(), outcome);
        }
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = stopped(&mut stop) => return,
        }
    }
}
