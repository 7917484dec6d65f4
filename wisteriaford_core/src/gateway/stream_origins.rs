//! Versions of the endpoints' software that began streams.
//!
//! Only an endpoint of the same version can continue a stream, and endpoints don't check this. A caller
//! that lost its stream takes it up at any instance, so that the instance which began it tells some
//! others.

use std::cmp::Reverse;
use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::gateway::endpoint::EndpointTable;
use crate::hash::rendezvous_rank;
use crate::id::PoolId;
use crate::id::RequestId;
use crate::id::SoftwareVersion;
use crate::time::Timestamp;

/// Time after its last event for which a stream may be taken up again.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(20);
/// Number of instances that are told of a stream, so that some of them outlive a failure of many.
pub const HOLDERS: usize = 3;
/// Maximum number of streams kept; the oldest are forgotten first.
const MAX_STREAMS: usize = 32_768;

/// Version that began a stream.
#[derive(Clone, Debug)]
struct Origin {
    software: SoftwareVersion,
    recorded_at: Timestamp,
}

/// Streams by the request that brought their first event.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    origins: IndexMap<RequestId, Origin>,
}

impl StreamOrigins {
    /// Records that a version began, or continues, a stream.
    pub fn record(&mut self, now: Timestamp, request: &RequestId, software: &SoftwareVersion) {
        // The last place is that of the newest record.
        self.origins.shift_remove(request);
        let is_old = |origin: &Origin| now.since(origin.recorded_at) > STREAM_LIFETIME * 2;
        while let Some((_, oldest)) = self.origins.first()
            && (is_old(oldest) || self.origins.len() >= MAX_STREAMS)
        {
            self.origins.shift_remove_index(0);
        }
        let origin = Origin {
            software: software.clone(),
            recorded_at: now,
        };
        self.origins.insert(request.clone(), origin);
    }

    /// Returns the version that began a stream.
    #[must_use]
    pub fn get(&self, request: &RequestId) -> Option<&SoftwareVersion> {
        self.origins.get(request).map(|origin| &origin.software)
    }
}

/// Returns the hosts that are told of a stream, the same at every instance that knows the same hosts.
#[must_use]
pub fn holders<'a>(
    request: &RequestId,
    hosts: impl Iterator<Item = &'a CompactString>,
) -> Vec<&'a CompactString> {
    let mut hosts: Vec<_> = hosts.collect();
    hosts.sort_by_cached_key(|host| Reverse(rendezvous_rank(request.as_str(), host)));
    hosts.truncate(HOLDERS);
    hosts
}

/// Versions that the endpoints of each pool had lately.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    /// Time of the first table.
    since: Option<Timestamp>,
    /// Versions of endpoints that were replaced or removed, with the time until which they served.
    past: IndexMap<(PoolId, SoftwareVersion), Timestamp>,
}

impl SoftwareHistory {
    /// Records the table of endpoints that was in force until now.
    pub fn record_replaced(&mut self, now: Timestamp, table: &EndpointTable) {
        self.since.get_or_insert(now);
        self.past
            .retain(|_, until| now.since(*until) <= STREAM_LIFETIME);
        for endpoint in table.iter() {
            let key = (endpoint.pool.clone(), endpoint.software.clone());
            self.past.insert(key, now);
        }
    }

    /// Returns the only version that a pool had for as long as a stream may last.
    #[must_use]
    pub fn sole<'a>(
        &'a self,
        now: Timestamp,
        pool: &PoolId,
        table: &'a EndpointTable,
    ) -> Option<&'a SoftwareVersion> {
        let since = self.since?;
        if now.since(since) < STREAM_LIFETIME {
            return None;
        }
        let present = table.iter().filter(|endpoint| endpoint.pool == *pool);
        let present = present.map(|endpoint| &endpoint.software);
        let past = self.past.iter();
        let past = past.filter(|((past_pool, _), until)| {
            past_pool == pool && now.since(**until) <= STREAM_LIFETIME
        });
        let mut versions = present.chain(past.map(|((_, software), _)| software));
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }
}
