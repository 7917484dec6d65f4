//! Follower of the batch jobs in the log.

use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::gateway::job_fold::JobChange;
use wisteriaford_core::id::ItemId;
use wisteriaford_core::id::JobId;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;

use crate::adapter::Log;
use crate::adapter::LogRecord;
use crate::adapter::Topic;
use crate::contents;
use crate::follow::Follower;
use crate::state::Gateway;

/// Fraction of an instance's share of the read calls that batch jobs may use.
const READ_SHARE: f64 = 0.25;
/// Minimum and maximum delay after a read that returned records.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(150));
/// Maximum wait of a read; answers about batch jobs may be stale by this much.
const JOBS_WAIT: Duration = Duration::from_millis(500);

/// Applies the records of batch jobs to the fold.
pub(crate) struct JobFollower {
    pub(crate) gateway: Arc<Gateway>,
    /// Whether records are new, as opposed to part of a snapshot.
    pub(crate) is_live: bool,
}

impl Follower for JobFollower {
    fn topic(&self) -> Topic {
        Topic::Jobs
    }

    fn wait(&self) -> Duration {
        JOBS_WAIT
    }

    fn pause(&self) -> Duration {
        let log = &self.gateway.log;
        let instances = f64::from(u32::try_from(log.peers().len() + 1).unwrap_or(u32::MAX));
        let reads_per_s = f64::from(log.limits().max_reads_per_s) * READ_SHARE / instances;
        let pause = Duration::try_from_secs_f64(1.0 / reads_per_s);
        pause
            .unwrap_or(PAUSE_RANGE.1)
            .clamp(PAUSE_RANGE.0, PAUSE_RANGE.1)
    }

    fn apply_snapshot(&mut self, records: Vec<LogRecord>, _end: Offset) {
        // Texts of old results are read on demand: reading all of them at once would exceed the
        // calls per second that the log allows.
        self.is_live = false;
        self.apply_records(records);
        self.is_live = true;
    }

    fn apply_records(&mut self, records: Vec<LogRecord>) {
        for record in records {
            self.apply(&record);
        }
    }

    fn on_caught_up(&mut self, _end: Offset, as_of: Timestamp) {
        self.gateway.freshness(Topic::Jobs).advance(as_of);
        self.gateway.notify_jobs_changed();
    }
}

impl JobFollower {
    fn apply(&self, record: &LogRecord) {
        let value = record.value.as_deref();
        let change = self.gateway.jobs().apply(record.offset, &record.key, value);
        let change = match change {
            Ok(change) => change,
            Err(error) => {
                self.gateway.metrics.skipped_records.add(1, &[]);
                log::warn!(
                    topic:% = Topic::Jobs, key:% = record.key, offset = record.offset.0,
                    error:% = error;
                    "record skipped"
                );
                return;
            }
        };
        self.on_change(&change, record.offset);
    }

    fn prefetch(&self, job: &JobId, items: &[ItemId]) {
        let jobs = self.gateway.jobs();
        let first = items.first();
        let result = first.and_then(|item| jobs.get(job)?.result_of(item));
        if let Some(result) = result {
            contents::prefetch(&self.gateway, Arc::clone(&result.content));
        }
    }

    fn on_change(&self, change: &JobChange, offset: Offset) {
        match change {
            JobChange::Accepted(job) => {
                log::info!(job:% = job, offset = offset.0; "batch job accepted");
            }
            JobChange::Repeated(job) => {
                log::info!(job:% = job, offset = offset.0; "duplicate record of an accepted batch job");
            }
            JobChange::Ended(job) => {
                log::info!(job:% = job, offset = offset.0; "batch job ended by its submitter");
            }
            JobChange::Listed(job, items) => {
                log::debug!(job:% = job, offset = offset.0, items = items.len(); "results listed");
                let mut schedule = self.gateway.schedule();
                for item in items {
                    schedule.mark_listed(job, item);
                }
                drop(schedule);
                if self.is_live {
                    self.prefetch(job, items);
                }
            }
            JobChange::Deleted(job) => {
                log::info!(job:% = job, offset = offset.0; "batch job deleted");
            }
            JobChange::Failed(..) | JobChange::Unchanged => {}
        }
    }
}
