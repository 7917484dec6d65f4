//! Versions that began streams, as the log keeps them while a pool has several.
//!
//! Instances send the origins to the leader, which appends them in batches. An instance that starts reads
//! them.

use std::collections::HashMap;

use indexmap::IndexMap;
use indexmap::IndexSet;
use wisteriaford_proto::streams::OriginBatch;

use crate::gateway::stream_origins::Origin;
use crate::hash::hash_parts;
use crate::id::PoolId;
use crate::id::RequestId;
use crate::id::SoftwareVersion;

/// Maximum number of streams that wait to be appended: some seconds of the largest deployment. A stream
/// that isn't appended is refused after the death of all instances.
const MAX_WAITING: usize = 16_384;
/// Number of the newest streams that are kept at least, the lifetime of a stream at 3,500 a second; at most twice as
/// many are.
const MAX_STORED: usize = 70_000;
/// Size of a stream in a record.
const STREAM_BYTES: usize = 8;

/// Returns the hash of a request by which the log names it.
fn request_hash(request: &RequestId) -> u64 {
    hash_parts(&[request.as_str().as_bytes()])
}

/// Origins that wait to be sent to the leader, or to be appended by it.
#[derive(Clone, Debug, Default)]
pub struct OriginQueue {
    streams: IndexMap<(PoolId, SoftwareVersion), IndexSet<u64>>,
    count: usize,
}

impl OriginQueue {
    /// Adds a stream that a version began.
    pub fn push(&mut self, request: &RequestId, pool: &PoolId, software: &SoftwareVersion) {
        self.insert(pool, software, [request_hash(request)]);
    }

    /// Adds the streams of another queue.
    pub fn extend(&mut self, batches: &[OriginBatch]) {
        for batch in batches {
            let pool = PoolId::from(batch.pool.as_str());
            let software = SoftwareVersion::from(batch.software.as_str());
            self.insert(&pool, &software, batch.requests.iter().copied());
        }
    }

    fn insert(
        &mut self,
        pool: &PoolId,
        software: &SoftwareVersion,
        requests: impl IntoIterator<Item = u64>,
    ) {
        for request in requests {
            if self.count >= MAX_WAITING {
                return;
            }
            let key = (pool.clone(), software.clone());
            let is_new = self.streams.entry(key).or_default().insert(request);
            self.count += usize::from(is_new);
        }
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Takes all streams, in batches of which none has more than about `max_bytes`.
    pub fn take(&mut self, max_bytes: usize) -> Vec<OriginBatch> {
        self.count = 0;
        let mut batches = Vec::new();
        for ((pool, software), requests) in std::mem::take(&mut self.streams) {
            let requests: Vec<u64> = requests.into_iter().collect();
            for part in requests.chunks((max_bytes / STREAM_BYTES).max(1)) {
                batches.push(OriginBatch {
                    pool: pool.to_string(),
                    software: software.to_string(),
                    requests: part.to_vec(),
                });
            }
        }
        batches
    }
}

/// Origins that were read from the log.
#[derive(Clone, Debug, Default)]
pub struct StoredOrigins {
    /// Version that began each stream; `None` if records name several.
    origins: HashMap<u64, Option<SoftwareVersion>>,
    /// Older streams, which are forgotten when there are too many newer ones.
    older: HashMap<u64, Option<SoftwareVersion>>,
}

impl StoredOrigins {
    /// Adds the streams of a record.
    pub fn restore(&mut self, batch: &OriginBatch) {
        let software = SoftwareVersion::from(batch.software.as_str());
        for request in &batch.requests {
            if self.origins.len() >= MAX_STORED {
                // Those read first are the oldest.
                self.older = std::mem::take(&mut self.origins);
            }
            let older = self.older.remove(request);
            let known = self.origins.entry(*request);
            let known = known.or_insert_with(|| older.unwrap_or_else(|| Some(software.clone())));
            if known.as_ref() != Some(&software) {
                *known = None;
            }
        }
    }

    /// Returns what the log keeps of the version that began a stream.
    #[must_use]
    pub fn get(&self, request: &RequestId) -> Origin {
        let hash = request_hash(request);
        match self.origins.get(&hash).or_else(|| self.older.get(&hash)) {
            None => Origin::Unknown,
            Some(None) => Origin::Ambiguous,
            Some(Some(software)) => Origin::Version(software.clone()),
        }
    }

    /// Returns the number of streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.origins.len() + self.older.len()
    }

    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
