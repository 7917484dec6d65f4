//! Fold of the log into batch jobs and their results.
//!
//! The state after an offset depends only on the records up to that offset, so all instances list
//! the same results at the same positions. In log order, the first acceptance of a batch job and
//! the first result of each item take effect; later ones are ignored.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::gateway::job::FailureCounts;
use crate::gateway::job::JobHead;
use crate::gateway::job::ListedResult;
use crate::gateway::record;
use crate::gateway::record::JobRecord;
use crate::gateway::record::RecordError;
use crate::id::ItemId;
use crate::id::JobId;
use crate::id::Offset;

/// State of a batch job, derived from the log.
#[derive(Clone, Debug)]
pub struct Job {
    /// Metadata from the submission.
    pub head: Arc<JobHead>,
    /// Whether its submitter ended it.
    pub ended: bool,
    /// Failures of each item at endpoints.
    pub failures: IndexMap<ItemId, FailureCounts>,
    results: Vec<Arc<ListedResult>>,
    /// Position of each item's result in `results`.
    positions: IndexMap<ItemId, usize>,
    keys: Vec<CompactString>,
    content_keys: Vec<CompactString>,
}

impl Job {
    /// Returns the results from a position onwards.
    #[must_use]
    pub fn results_from(&self, position: usize) -> &[Arc<ListedResult>] {
        self.results.get(position..).unwrap_or_default()
    }

    /// Returns the result of an item, if it has one.
    #[must_use]
    pub fn result_of(&self, item: &ItemId) -> Option<&Arc<ListedResult>> {
        self.results.get(*self.positions.get(item)?)
    }

    /// Returns the number of results.
    #[must_use]
    pub fn result_count(&self) -> usize {
        self.results.len()
    }

    /// Returns whether every item has a result.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.results.len() >= self.head.total_items
    }

    /// Returns the keys of all records of the batch job.
    #[must_use]
    pub fn keys(&self) -> &[CompactString] {
        &self.keys
    }

    /// Returns the keys of all contents of the batch job.
    #[must_use]
    pub fn content_keys(&self) -> &[CompactString] {
        &self.content_keys
    }
}

/// Effect of a record on the batch jobs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobChange {
    /// A batch job was accepted.
    Accepted(JobId),
    /// The batch job had been accepted before; only the record's keys were added to it.
    Repeated(JobId),
    /// Results were added; the list names the items whose result is new.
    Listed(JobId, Vec<ItemId>),
    /// A batch job was ended by its submitter.
    Ended(JobId),
    /// An item failed at an endpoint.
    Failed(JobId, ItemId),
    /// A batch job was deleted from the log.
    Deleted(JobId),
    /// Nothing visible changed.
    Unchanged,
}

/// Batch jobs by name, derived from the log.
#[derive(Clone, Debug, Default)]
pub struct JobFold {
    jobs: IndexMap<JobId, Job>,
    next_offset: Offset,
}

impl JobFold {
    /// Returns a batch job by name.
    #[must_use]
    pub fn get(&self, job: &JobId) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// Returns all batch jobs in order of acceptance.
    #[must_use]
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the number of batch jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether there are no batch jobs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Applies the record at an offset; records that were already applied are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the record cannot be decoded; the record is skipped.
    pub fn apply(
        &mut self,
        offset: Offset,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<JobChange, RecordError> {
        if offset < self.next_offset {
            return Ok(JobChange::Unchanged);
        }
        self.next_offset = offset.next();
        let Some(value) = value else {
            return Ok(self.delete(key));
        };
        Ok(match record::decode(value)? {
            JobRecord::Accepted(head) => self.accept(key, head),
            JobRecord::Results { job, results } => self.add_results(key, &job, results),
            JobRecord::Ended { job } => self.end(key, &job),
            JobRecord::Failed {
                job,
                item,
                failures,
            } => self.record_failure(key, &job, item, failures),
        })
    }

    fn accept(&mut self, key: &str, head: JobHead) -> JobChange {
        let contents = head.contents.iter().map(|content| content.key.clone());
        let contents: Vec<CompactString> = contents.collect();
        if let Some(job) = self.jobs.get_mut(&head.id) {
            job.keys.push(key.into());
            job.content_keys.extend(contents);
            return JobChange::Repeated(head.id);
        }
        let id = head.id.clone();
        let job = Job {
            head: Arc::new(head),
            ended: false,
            failures: IndexMap::new(),
            results: Vec::new(),
            positions: IndexMap::new(),
            keys: vec![key.into()],
            content_keys: contents,
        };
        self.jobs.insert(id.clone(), job);
        JobChange::Accepted(id)
    }

    fn add_results(&mut self, key: &str, id: &JobId, results: Vec<ListedResult>) -> JobChange {
        let Some(job) = self.jobs.get_mut(id) else {
            return JobChange::Unchanged;
        };
        job.keys.push(key.into());
        if let Some(result) = results.first() {
            job.content_keys.push(result.content.key.clone());
        }
        let mut added = Vec::with_capacity(results.len());
        for result in results {
            let has_result = job.positions.contains_key(&result.item);
            if has_result || job.is_complete() {
                continue;
            }
            job.positions.insert(result.item.clone(), job.results.len());
            added.push(result.item.clone());
            job.results.push(Arc::new(result));
        }
        JobChange::Listed(id.clone(), added)
    }

    fn end(&mut self, key: &str, id: &JobId) -> JobChange {
        let Some(job) = self.jobs.get_mut(id) else {
            return JobChange::Unchanged;
        };
        job.keys.push(key.into());
        job.ended = true;
        JobChange::Ended(id.clone())
    }

    fn record_failure(
        &mut self,
        key: &str,
        id: &JobId,
        item: ItemId,
        failures: FailureCounts,
    ) -> JobChange {
        let Some(job) = self.jobs.get_mut(id) else {
            return JobChange::Unchanged;
        };
        job.keys.push(key.into());
        let count = job.failures.entry(item.clone()).or_default();
        *count = count.max(failures);
        JobChange::Failed(id.clone(), item)
    }

    fn delete(&mut self, key: &str) -> JobChange {
        let name = key
            .strip_prefix("job/")
            .and_then(|rest| rest.rsplit_once('/'));
        let Some((id, _unique)) = name else {
            return JobChange::Unchanged;
        };
        let id = JobId::from(id);
        match self.jobs.shift_remove(&id) {
            Some(_) => JobChange::Deleted(id),
            None => JobChange::Unchanged,
        }
    }
}
