//! Versions of the endpoints' software that began streams.
//!
//! Only an endpoint of the same version can continue a stream, and endpoints don't check this. A caller
//! that lost its stream takes it up at any instance, so that the instance which began it tells some
//! others.

use std::cmp::Reverse;
use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::gateway::endpoint::EndpointTable;
use crate::gateway::software_history::SoftwareHistory;
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

/// What is recorded of a stream.
#[derive(Clone, Debug)]
struct Record {
    /// Version that began the stream; `None` if records name several.
    software: Option<SoftwareVersion>,
    recorded_at: Timestamp,
}

/// What is known of the version that began a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// Nothing is recorded.
    Unknown,
    /// The version that began it.
    Version(SoftwareVersion),
    /// Streams of several versions began under the same request id.
    Ambiguous,
}

/// Streams by the request that brought their first event.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    origins: IndexMap<RequestId, Record>,
}

impl StreamOrigins {
    /// Records that a version began, or continues, a stream.
    pub fn record(&mut self, now: Timestamp, request: &RequestId, software: &SoftwareVersion) {
        // The last place is that of the newest record.
        let before = self.origins.shift_remove(request);
        let is_old = |origin: &Record| now.since(origin.recorded_at) > STREAM_LIFETIME * 2;
        while let Some((_, oldest)) = self.origins.first()
            && (is_old(oldest) || self.origins.len() >= MAX_STREAMS)
        {
            self.origins.shift_remove_index(0);
        }
        // A caller that uses an id for two attempts may have received the first event of either.
        let is_same =
            |before: &Record| is_old(before) || before.software.as_ref() == Some(software);
        let origin = Record {
            software: before
                .as_ref()
                .is_none_or(is_same)
                .then(|| software.clone()),
            recorded_at: now,
        };
        self.origins.insert(request.clone(), origin);
    }

    /// Returns what is known of the version that began a stream.
    #[must_use]
    pub fn get(&self, request: &RequestId) -> Origin {
        match self.origins.get(request) {
            None => Origin::Unknown,
            Some(record) => record
                .software
                .clone()
                .map_or(Origin::Ambiguous, Origin::Version),
        }
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

/// Whether a stream of unknown origin can only have been begun by one version.
#[derive(Clone, Debug, Default)]
pub struct SoleClaims {
    /// The only version of every pool, or `None` if this instance doesn't know it of some pool.
    own: Option<SoftwareVersion>,
    /// Versions that this instance knows that a pool had.
    seen: IndexSet<SoftwareVersion>,
    /// The only versions by the answers of other instances.
    answers: Vec<SoftwareVersion>,
}

impl SoleClaims {
    /// Returns what this instance knows of the pools of a route; the stream began in one of them.
    #[must_use]
    pub fn of_pools<'a>(
        now: Timestamp,
        history: &SoftwareHistory,
        pools: impl Iterator<Item = &'a PoolId>,
        table: &EndpointTable,
    ) -> Self {
        let mut claims = Self::default();
        let mut is_known = true;
        for pool in pools {
            claims.seen.extend(history.seen(now, pool, table).cloned());
            is_known &= history.sole(now, pool, table).is_some();
        }
        if is_known && claims.seen.len() == 1 {
            claims.own = claims.seen.first().cloned();
        }
        claims
    }

    /// Adds the only versions by the answers of other instances.
    pub fn add_answers(&mut self, answers: impl IntoIterator<Item = SoftwareVersion>) {
        self.answers.extend(answers);
    }

    /// Returns the only version that can have begun the stream, unless this instance or an answer knows
    /// another one.
    #[must_use]
    pub fn decide(&self) -> Option<SoftwareVersion> {
        let known = self.own.as_ref().or(self.answers.first())?;
        let mut all = self.seen.iter().chain(&self.answers);
        all.all(|version| version == known).then(|| known.clone())
    }
}
