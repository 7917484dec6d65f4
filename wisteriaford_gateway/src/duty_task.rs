//! Keeping and taking over the runner's duty.

use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::gateway::duty::DutyChange;
use wisteriaford_core::gateway::duty::DutyOutcome;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;

use crate::border::Log;
use crate::border::LogRecord;
use crate::border::Topic;
use crate::clock;
use crate::follow::Follower;
use crate::state::Gateway;
use crate::state::stopped;

/// Longest wait of a read of the duty's topic.
const DUTY_WAIT: Duration = Duration::from_secs(1);
/// Time between two looks at whether an append is due.
const TICK: Duration = Duration::from_millis(100);
/// Key of the duty's records.
const DUTY_KEY: &str = "runner";

/// Follows the records of the duty.
pub(crate) struct DutyFollower {
    pub(crate) gateway: Arc<Gateway>,
}

impl Follower for DutyFollower {
    fn topic(&self) -> Topic {
        Topic::Duty
    }

    fn wait(&self) -> Duration {
        DUTY_WAIT
    }

    fn snapshot(&mut self, records: Vec<LogRecord>, _end: Offset) {
        self.records(records);
    }

    fn records(&mut self, records: Vec<LogRecord>) {
        for record in records {
            if let Some(value) = &record.value {
                apply(&self.gateway, record.offset, value);
            }
        }
    }

    fn caught_up(&mut self, end: Offset, as_of: Timestamp) {
        self.gateway.duty().read_to(end);
        self.gateway.freshness(Topic::Duty).advance(as_of);
    }

    fn reachable(&mut self, reachable: bool) {
        self.gateway.duty().set_reachable(clock::now(), reachable);
    }
}

fn apply(gateway: &Gateway, offset: Offset, value: &[u8]) {
    let change = gateway.duty().apply(clock::now(), offset, value);
    let (change, holder) = match change {
        Ok(None) => return,
        Ok(Some(DutyChange::Taken(fence))) => ("taken", format!("self, fence {fence}")),
        Ok(Some(DutyChange::Lost(holder))) => ("lost", holder.to_string()),
        Ok(Some(DutyChange::Moved(holder))) => ("moved", holder.to_string()),
        Ok(Some(DutyChange::Released(holder))) => ("released", holder.to_string()),
        Err(error) => {
            gateway.metrics.skipped_records.add(1, &[]);
            log::warn!(topic:% = Topic::Duty, offset = offset.0, error:% = error; "record skipped");
            return;
        }
    };
    log::info!(change = change, holder = holder, offset = offset.0; "runner's duty changed");
    gateway.runner_wake.notify_one();
}

/// Renews or claims the duty until the gateway stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    loop {
        let due = gateway.duty().due(clock::now());
        if let Some(due) = due {
            let record = KeyedValue {
                key: DUTY_KEY.into(),
                value: Some(due.value.clone()),
            };
            let appended = gateway
                .log
                .append(Topic::Duty, vec![record], Some(due.at))
                .await;
            let outcome = match &appended {
                Ok(_) => DutyOutcome::Appended,
                Err(error) if error.may_have_effect() => DutyOutcome::Unknown,
                Err(_) => DutyOutcome::Refused,
            };
            match appended {
                Ok(offset) => apply(&gateway, offset, &due.value),
                Err(error) => {
                    gateway.metrics.log_failures.add(1, &[]);
                    log::warn!(at = due.at.0, error:% = error; "duty not renewed or claimed");
                }
            }
            gateway.duty().settled(clock::now(), outcome);
        }
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = stopped(&mut stop) => return,
        }
    }
}
