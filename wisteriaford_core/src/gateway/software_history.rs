//! Versions of the endpoints' software that pools had lately.
//!
//! A stream of unknown origin may be continued only if its pool had a single version for as long as a
//! stream may last. The leader lists what it knows in the records of its lease, so that instances know it
//! also after the death of all.

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;
use prost::Message;
use wisteriaford_proto::streams::SoftwareListing;
use wisteriaford_proto::streams::VersionListing;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::route::RouteTable;
use crate::gateway::stream_origins::STREAM_LIFETIME;
use crate::id::PoolId;
use crate::id::SoftwareVersion;
use crate::time::Timestamp;

/// Maximum age of the entries of endpoints that tell which versions a pool has; longer than a read of
/// them waits.
pub const MAX_TABLE_AGE: Duration = Duration::from_secs(2);
/// Maximum time between two reads of the entries without a gap in the history. The entry of an endpoint
/// that comes and goes within a longer time may be missed, as the log keeps the newest of each key.
const MAX_READ_GAP: Duration = Duration::from_secs(3);
/// Maximum size of a listing: it is in each renewal of the lease, which all instances read.
const MAX_LISTING_BYTES: usize = 8 * 1024;

/// Versions that the endpoints of each pool had lately.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    /// Time at which all versions have been known for the lifetime of a stream. A time since which they are
    /// known may lie before the start of the clock.
    complete_at: Option<Timestamp>,
    /// Time as of which the entries were last read to their end.
    read_at: Option<Timestamp>,
    /// Whether entries were removed from the log before this instance read them.
    has_missed: bool,
    /// Whether the entries were not read without a gap. Listings then don't reach back beyond it: one may
    /// have been made before the gap, and be read only now.
    has_gap: bool,
    /// Time at which a route last changed its pools.
    retargeted_at: Option<Timestamp>,
    /// Version of the routing table in force.
    routes_version: Option<u64>,
    /// Version of the routing table in the first listing.
    listed_routes_version: Option<u64>,
    /// Versions of each pool, with the time until which they are known to have served.
    versions: IndexMap<PoolId, IndexMap<SoftwareVersion, Timestamp>>,
}

impl SoftwareHistory {
    /// Records a version that a pool has or had.
    pub fn record(&mut self, until: Timestamp, pool: &PoolId, software: &SoftwareVersion) {
        let versions = self.versions.entry(pool.clone()).or_default();
        let known = versions.entry(software.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Records that a stream of a version goes on in a pool, and returns whether the log must keep its origin:
    /// unless the pool is known to have had only this version.
    ///
    /// An endpoint may serve its streams for longer than a stream's lifetime after its entry was removed.
    pub fn record_stream(
        &mut self,
        now: Timestamp,
        pool: &PoolId,
        software: &SoftwareVersion,
        table: &EndpointTable,
    ) -> bool {
        self.record(now, pool, software);
        self.sole(now, pool, table).is_none()
    }

    /// Records the table of endpoints that was in force until now.
    pub fn record_replaced(&mut self, now: Timestamp, table: &EndpointTable) {
        let is_recent = |until: &Timestamp| now.since(*until) <= STREAM_LIFETIME;
        self.versions.retain(|_, versions| {
            versions.retain(|_, until| is_recent(until));
            !versions.is_empty()
        });
        for endpoint in table.iter() {
            self.record(now, &endpoint.pool, &endpoint.software);
        }
    }

    /// Records that entries were removed from the log before they were read: an endpoint may have come and
    /// gone meanwhile.
    pub fn record_missed(&mut self) {
        self.has_missed = true;
    }

    /// Records that the entries of endpoints were read to their end, as of a time.
    pub fn record_read(&mut self, as_of: Timestamp) {
        let has_missed = std::mem::take(&mut self.has_missed);
        match self.read_at {
            // A listing may reach back further.
            None => self.extend_complete(as_of + STREAM_LIFETIME),
            Some(read_at) if has_missed || as_of.since(read_at) > MAX_READ_GAP => {
                self.complete_at = Some(as_of + STREAM_LIFETIME);
                self.has_gap = true;
            }
            Some(_) => {}
        }
        self.read_at = self.read_at.max(Some(as_of));
    }

    /// Records that a routing table replaces another: if a route changes its pools, a stream may have begun
    /// at one that the route no longer has.
    pub fn record_routes(&mut self, now: Timestamp, before: &RouteTable, after: &RouteTable) {
        let is_first = self.routes_version.replace(after.version.0).is_none();
        let is_changed = if is_first {
            let listed = self.listed_routes_version;
            listed.is_some_and(|listed| listed != after.version.0)
        } else {
            stream_targets(before) != stream_targets(after)
        };
        if is_changed {
            self.retargeted_at = Some(now);
        }
    }

    /// Returns whether the entries that were read are recent enough to tell the version of an endpoint.
    #[must_use]
    pub fn is_current(&self, now: Timestamp) -> bool {
        self.read_at
            .is_some_and(|read_at| now.since(read_at) <= MAX_TABLE_AGE)
    }

    /// Returns whether the entries were read as of a time or later. All versions that any instance used before
    /// are then known, also if this instance reads more slowly than others.
    #[must_use]
    pub fn has_read_as_of(&self, at: Timestamp) -> bool {
        self.read_at.is_some_and(|read_at| read_at >= at)
    }

    /// Returns whether the entries show that an endpoint still runs the software that its entry named when a
    /// request was sent there. It may have restarted under its id while the entries were old.
    #[must_use]
    pub fn confirms(&self, now: Timestamp, sent_to: &Endpoint, table: &EndpointTable) -> bool {
        let is_same = |listed: &Endpoint| {
            listed.started_unix_ms == sent_to.started_unix_ms && listed.software == sent_to.software
        };
        self.is_current(now) && table.get(&sent_to.id).is_none_or(is_same)
    }

    /// Returns the only version that a pool had for as long as a stream may last.
    #[must_use]
    pub fn sole<'a>(
        &'a self,
        now: Timestamp,
        pool: &'a PoolId,
        table: &'a EndpointTable,
    ) -> Option<&'a SoftwareVersion> {
        if !self.is_current(now) || self.complete_time(now)? < STREAM_LIFETIME {
            return None;
        }
        let mut versions = self.seen(now, pool, table);
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// Returns how long all versions have been known, up to now.
    fn complete_time(&self, now: Timestamp) -> Option<Duration> {
        let retargeted_at = self.retargeted_at.map(|at| at + STREAM_LIFETIME);
        let complete_at = self.complete_at?.max(retargeted_at.unwrap_or_default());
        Some((now + STREAM_LIFETIME).since(complete_at))
    }

    fn extend_complete(&mut self, complete_at: Timestamp) {
        let known = self.complete_at.unwrap_or(complete_at);
        self.complete_at = Some(known.min(complete_at));
    }

    /// Returns the versions that a pool has or had within the lifetime of a stream, as far as is known.
    pub fn seen<'a>(
        &'a self,
        now: Timestamp,
        pool: &'a PoolId,
        table: &'a EndpointTable,
    ) -> impl Iterator<Item = &'a SoftwareVersion> {
        let present = table.iter().filter(move |endpoint| endpoint.pool == *pool);
        let past = self.versions.get(pool).into_iter().flatten();
        let past = past.filter(move |(_, until)| now.since(**until) <= STREAM_LIFETIME);
        let present = present.map(|endpoint| &endpoint.software);
        present.chain(past.map(|(software, _)| software))
    }

    /// Returns what the leader lists in its next record; nothing if it doesn't know the present versions.
    #[must_use]
    pub fn listing(&self, now: Timestamp, table: &EndpointTable) -> Option<SoftwareListing> {
        if !self.is_current(now) {
            return None;
        }
        let complete_ms = millis(self.complete_time(now)?);
        let routes_version = self.routes_version?;
        let mut ages: IndexMap<&SoftwareVersion, IndexMap<&PoolId, u64>> = IndexMap::new();
        for (pool, versions) in &self.versions {
            for (software, until) in versions {
                let age = now.since(*until);
                if age <= STREAM_LIFETIME {
                    let pools = ages.entry(software).or_default();
                    pools.insert(pool, millis(age));
                }
            }
        }
        for endpoint in table.iter() {
            let pools = ages.entry(&endpoint.software).or_default();
            pools.insert(&endpoint.pool, 0);
        }
        let versions = ages.into_iter().map(|(software, pools)| VersionListing {
            software: software.to_string(),
            pools: pools.keys().map(ToString::to_string).collect(),
            ended_ms_ago: pools.into_values().collect(),
        });
        let listing = SoftwareListing {
            complete_ms,
            versions: versions.collect(),
            routes_version,
        };
        (listing.encoded_len() <= MAX_LISTING_BYTES).then_some(listing)
    }

    /// Applies the listing in the newest record of the lease, once.
    ///
    /// Its age isn't known, so it counts as made now: all its times are then later than they were, which
    /// keeps versions longer and knows less of the past. No streams begin between the death of all
    /// instances and their start.
    pub fn apply_listing(&mut self, now: Timestamp, listing: &SoftwareListing) {
        for version in &listing.versions {
            let software = SoftwareVersion::from(version.software.as_str());
            for (pool, ended_ms_ago) in version.pools.iter().zip(&version.ended_ms_ago) {
                let until = now - Duration::from_millis(*ended_ms_ago);
                self.record(until, &PoolId::from(pool.as_str()), &software);
            }
        }
        if self.listed_routes_version.is_none() {
            self.listed_routes_version = Some(listing.routes_version);
            // The routing table changed while no instance ran.
            let is_changed = |version| version != listing.routes_version;
            if self.routes_version.is_some_and(is_changed) {
                self.retargeted_at = Some(now);
            }
        }
        let is_valid = |version: &VersionListing| version.pools.len() == version.ended_ms_ago.len();
        if !self.has_gap && listing.versions.iter().all(is_valid) {
            let complete = Duration::from_millis(listing.complete_ms);
            self.extend_complete(now + STREAM_LIFETIME - complete);
        }
    }
}

/// Returns the pools of each route whose streams can be resumed.
fn stream_targets(routes: &RouteTable) -> BTreeSet<(&str, &str, Vec<&str>)> {
    let routes = routes.iter().filter(|route| route.is_resumable());
    let targets = routes.map(|route| {
        let mut pools: Vec<_> = route.targets.iter().map(|t| t.pool.as_str()).collect();
        pools.sort_unstable();
        (route.host.as_str(), route.path_prefix.as_str(), pools)
    });
    targets.collect()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
