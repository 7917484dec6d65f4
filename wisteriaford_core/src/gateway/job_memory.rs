//! Memory that batch jobs take, and how many are accepted and opened within it.
//!
//! The leader holds the items of the batch jobs that are open there. Every instance holds the heads and the
//! listed results of all batch jobs until they are deleted.

use crate::gateway::job::JobHead;
use crate::gateway::job::JobSpec;
use crate::gateway::job_fold::JobFold;

/// Memory that isn't available to callers on any machine, in bytes, and the part of a larger one, as a
/// divisor. It is the memory from which batch jobs get their part.
const MIN_OWN_BYTES: u64 = 36 * 1024 * 1024;
const OWN_DIVISOR: u64 = 4;
/// Part of that memory for open items, and as much for heads and results, as a divisor. The program, routes
/// and endpoints take 14 MiB of the smallest machine and cached contents 12 MiB.
const JOBS_DIVISOR: u64 = 4;
/// Bytes of accepted batch jobs for each byte of open ones; the others wait in the log.
const ACCEPTED_FACTOR: u64 = 4;
/// Memory of an open item beyond its encoded size, in bytes: two maps, its order, header fields and the
/// state of its run.
const OPEN_ITEM_BYTES: u64 = 1_024;
/// Memory of an item's listed result, in bytes: the result, its position, and its part of the keys.
const LISTED_ITEM_BYTES: u64 = 256;
/// Memory of the head of a batch job, in bytes, without its items.
const HEAD_BYTES: u64 = 1_024;

/// Memory of batch jobs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobLoad {
    /// Memory that the items of the unfinished batch jobs take at a leader that opens them all, in bytes.
    pub unfinished_bytes: u64,
    /// Memory that the heads and results of all batch jobs take at every instance, in bytes.
    pub listed_bytes: u64,
}

impl JobLoad {
    /// Returns the load of all known batch jobs.
    #[must_use]
    pub fn of_all(jobs: &JobFold) -> Self {
        let mut load = Self::default();
        for job in jobs.iter() {
            load.listed_bytes += HEAD_BYTES + LISTED_ITEM_BYTES * count(job.head.total_items);
            if !job.ended && !job.is_complete() {
                load.unfinished_bytes += open_bytes(&job.head);
            }
        }
        load
    }

    /// Returns the load of a batch job that is being submitted.
    #[must_use]
    pub fn of_submission(job: &JobSpec) -> Self {
        let items = job.items.iter();
        let items_bytes: u64 = items.map(|item| count(item.size_bytes())).sum();
        let items = count(job.items.len());
        Self {
            unfinished_bytes: items_bytes + OPEN_ITEM_BYTES * items,
            listed_bytes: HEAD_BYTES + LISTED_ITEM_BYTES * items,
        }
    }

    /// Returns the least load of a batch job whose body has a length.
    #[must_use]
    pub fn of_body(body_bytes: u64) -> Self {
        Self {
            // Most of a body is base64 text.
            unfinished_bytes: body_bytes / 4 * 3,
            listed_bytes: HEAD_BYTES,
        }
    }

    /// Returns the sum of two loads.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            unfinished_bytes: self.unfinished_bytes.saturating_add(other.unfinished_bytes),
            listed_bytes: self.listed_bytes.saturating_add(other.listed_bytes),
        }
    }

    /// Returns what is left of a load without a part of it.
    #[must_use]
    pub fn minus(self, part: Self) -> Self {
        Self {
            unfinished_bytes: self.unfinished_bytes.saturating_sub(part.unfinished_bytes),
            listed_bytes: self.listed_bytes.saturating_sub(part.listed_bytes),
        }
    }
}

/// Returns the memory that the items of a batch job take at the leader, in bytes.
#[must_use]
pub fn open_bytes(head: &JobHead) -> u64 {
    let contents = head.contents.iter();
    let encoded_bytes: u64 = contents.map(|content| content.size_bytes).sum();
    encoded_bytes + OPEN_ITEM_BYTES * count(head.total_items)
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}

/// Limits on the memory of batch jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobLimits {
    max_open_bytes: u64,
    max_listed_bytes: u64,
}

impl JobLimits {
    /// Derives the limits from the memory of the machine; `None` means no limit.
    #[must_use]
    pub fn for_machine(memory_bytes: Option<u64>) -> Self {
        let bytes = memory_bytes.map_or(u64::MAX, |memory_bytes| {
            MIN_OWN_BYTES.max(memory_bytes / OWN_DIVISOR) / JOBS_DIVISOR
        });
        Self {
            max_open_bytes: bytes,
            max_listed_bytes: bytes,
        }
    }

    /// Returns whether a batch job may be accepted beside others. One of any size is, if no other is
    /// unfinished.
    #[must_use]
    pub fn may_accept(&self, others: JobLoad, job: JobLoad) -> bool {
        let sum = others.plus(job);
        let max_bytes = self.max_open_bytes.saturating_mul(ACCEPTED_FACTOR);
        sum.listed_bytes <= self.max_listed_bytes
            && (others.unfinished_bytes == 0 || sum.unfinished_bytes <= max_bytes)
    }

    /// Returns whether the leader may open a batch job beside those that are open. One of any size is
    /// opened alone.
    #[must_use]
    pub fn may_open(&self, others_bytes: u64, job_bytes: u64) -> bool {
        others_bytes == 0 || others_bytes.saturating_add(job_bytes) <= self.max_open_bytes
    }
}
