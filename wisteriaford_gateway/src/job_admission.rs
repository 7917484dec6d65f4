//! Admission of batch jobs within the memory that is left for them.

use std::sync::Mutex;

use hyper::body::Body;
use hyper::body::Incoming;
use wisteriaford_core::gateway::job::JobSpec;
use wisteriaford_core::gateway::job_memory::JobLoad;
use wisteriaford_core::id::JobId;

use crate::state::Gateway;
use crate::state::lock;

/// Load of the batch jobs that are being stored and may not be known yet.
#[derive(Default)]
pub(crate) struct PendingJobs(Mutex<JobLoad>);

/// Admitted batch job that is being stored; dropping it ends its load.
pub(crate) struct PendingJob<'a> {
    pending: &'a PendingJobs,
    load: JobLoad,
}

impl Drop for PendingJob<'_> {
    fn drop(&mut self) {
        let mut sum = lock(&self.pending.0);
        *sum = sum.minus(self.load);
    }
}

/// Returns whether the body of a submission may be read. A batch job that is known already takes nothing.
pub(crate) fn may_read(gateway: &Gateway, job: &JobId, body: &Incoming) -> bool {
    let others = {
        let jobs = gateway.jobs();
        if jobs.get(job).is_some() {
            return true;
        }
        JobLoad::of_all(&jobs)
    };
    let others = others.plus(*lock(&gateway.pending_jobs.0));
    let limits = gateway.settings.load().job_limits();
    limits.may_accept(others, JobLoad::of_body(body.size_hint().lower()))
}

/// Admits a batch job, if there is memory for it beside the others.
pub(crate) fn admit<'a>(gateway: &'a Gateway, job: &JobSpec) -> Option<PendingJob<'a>> {
    let load = JobLoad::of_submission(job);
    let known = JobLoad::of_all(&gateway.jobs());
    let limits = gateway.settings.load().job_limits();
    let pending = &gateway.pending_jobs;
    let mut sum = lock(&pending.0);
    if !limits.may_accept(known.plus(*sum), load) {
        return None;
    }
    *sum = sum.plus(load);
    Some(PendingJob { pending, load })
}
