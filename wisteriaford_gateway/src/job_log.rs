//! Batch jobs, as followed in the log.

use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::gateway::job_fold::JobChange;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;

use crate::border::LogRecord;
use crate::border::Topic;
use crate::follow::Follower;
use crate::state::Gateway;

/// Longest wait of a read; an answer about a batch job may be this old.
const JOBS_WAIT: Duration = Duration::from_millis(500);

/// Folds the records of batch jobs.
pub(crate) struct JobFollower {
    pub(crate) gateway: Arc<Gateway>,
}

impl Follower for JobFollower {
    fn topic(&self) -> Topic {
        Topic::Jobs
    }

    fn wait(&self) -> Duration {
        JOBS_WAIT
    }

    fn snapshot(&mut self, records: Vec<LogRecord>, _end: Offset) {
        for record in records {
            self.record(record);
        }
    }

    fn record(&mut self, record: LogRecord) {
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
        self.note(&change, record.offset);
    }

    fn caught_up(&mut self, _end: Offset, as_of: Timestamp) {
        self.gateway.freshness(Topic::Jobs).advance(as_of);
        self.gateway.jobs_have_changed();
    }
}

impl JobFollower {
    fn note(&self, change: &JobChange, offset: Offset) {
        match change {
            JobChange::Accepted(job) => {
                log::info!(job:% = job, offset = offset.0; "batch job accepted");
            }
            JobChange::Repeated(job) => {
                log::info!(job:% = job, offset = offset.0; "batch job was accepted before");
            }
            JobChange::Ended(job) => {
                log::info!(job:% = job, offset = offset.0; "batch job ended by its submitter");
            }
            JobChange::Listed(job, items) => {
                log::debug!(job:% = job, offset = offset.0, items = items.len(); "results listed");
                let mut schedule = self.gateway.schedule();
                for item in items {
                    schedule.listed(job, item);
                }
            }
            JobChange::Deleted(job) => {
                log::info!(job:% = job, offset = offset.0; "batch job deleted");
            }
            JobChange::Failed(..) | JobChange::Nothing => {}
        }
    }
}
