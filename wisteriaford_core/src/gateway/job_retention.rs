//! How long batch jobs are kept.

use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::job_fold::Job;
use crate::gateway::job_fold::JobFold;
use crate::id::JobId;
use crate::time::Timestamp;

/// Age at which a batch job is deleted although it is neither ended nor complete; its route no
/// longer exists.
const MAX_JOB_AGE: Duration = Duration::from_secs(3_600);
/// Time that a batch job is kept beyond its retention, to allow for clock skew.
const MARGIN: Duration = Duration::from_secs(30);

/// Times since which batch jobs are known to be over.
///
/// An ended batch job is kept for its retention after its submission. The submitter of one that is
/// complete but not ended may still read it, whenever it was submitted: it is kept for the retention
/// after this instance has seen it complete.
#[derive(Clone, Debug, Default)]
pub struct JobRetention {
    complete_since: IndexMap<JobId, Timestamp>,
}

impl JobRetention {
    /// Records which batch jobs are complete, and returns those whose retention is over, oldest first.
    pub fn expired<'a>(
        &mut self,
        now: Timestamp,
        unix_ms: u64,
        jobs: &'a JobFold,
        retention: Duration,
    ) -> Vec<&'a Job> {
        let retention = retention + MARGIN;
        self.complete_since.retain(|id, _| jobs.get(id).is_some());
        for job in jobs.iter().filter(|job| job.is_complete()) {
            let since = self.complete_since.entry(job.head.id.clone());
            since.or_insert(now);
        }
        let is_expired = |job: &&Job| {
            let age = Duration::from_millis(unix_ms.saturating_sub(job.head.submitted_unix_ms));
            if age > MAX_JOB_AGE {
                return true;
            }
            let complete_since = self.complete_since.get(&job.head.id);
            let is_read = complete_since.is_some_and(|since| now.since(*since) > retention);
            age > retention && (job.ended || is_read)
        };
        jobs.iter().filter(is_expired).collect()
    }
}
