//! Batch jobs, as followed in the log.

use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::gateway::job_fold::JobChange;
use wisteriaford_core::id::ItemId;
use wisteriaford_core::id::JobId;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;

use crate::border::Log;
use crate::border::LogRecord;
use crate::border::Topic;
use crate::contents;
use crate::follow::Follower;
use crate::state::Gateway;

/// Part of an instance's share of the reading calls that batch jobs may use.
const READ_SHARE: f64 = 0.25;
/// Shortest and longest time between two reads that returned records.
const PAUSES: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(150));
/// Longest wait of a read; an answer about a batch job may be this old.
const JOBS_WAIT: Duration = Duration::from_millis(500);

/// Folds the records of batch jobs.
pub(crate) struct JobFollower {
    pub(crate) gateway: Arc<Gateway>,
    /// Records come as they are written, and not from the past.
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
        let reads_per_s = f64::from(log.bounds().max_reads_per_s) * READ_SHARE / instances;
        let pause = Duration::try_from_secs_f64(1.0 / reads_per_s);
        pause.unwrap_or(PAUSES.1).clamp(PAUSES.0, PAUSES.1)
    }

    fn snapshot(&mut self, records: Vec<LogRecord>, _end: Offset) {
        // Texts of old results are read when somebody asks: all of them at once are more calls
        // than the log takes in a second.
        self.is_live = false;
        self.records(records);
        self.is_live = true;
    }

    fn records(&mut self, records: Vec<LogRecord>) {
        for record in records {
            self.apply(&record);
        }
    }

    fn caught_up(&mut self, _end: Offset, as_of: Timestamp) {
        self.gateway.freshness(Topic::Jobs).advance(as_of);
        self.gateway.jobs_have_changed();
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
        self.note(&change, record.offset);
    }

    fn prefetch(&self, job: &JobId, items: &[ItemId]) {
        let jobs = self.gateway.jobs();
        let first = items.first();
        let result = first.and_then(|item| jobs.get(job)?.result_of(item));
        if let Some(result) = result {
            contents::prefetch(&self.gateway, Arc::clone(&result.content));
        }
    }

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
                drop(schedule);
                if self.is_live {
                    self.prefetch(job, items);
                }
            }
            JobChange::Deleted(job) => {
                log::info!(job:% = job, offset = offset.0; "batch job deleted");
            }
            JobChange::Failed(..) | JobChange::Nothing => {}
        }
    }
}
