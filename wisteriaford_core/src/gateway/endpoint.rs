//! Table of endpoints, built from the entries that endpoints publish in the log.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::id::AvailabilityZone;
use crate::id::EndpointId;
use crate::id::ModelId;
use crate::id::PoolId;
use crate::id::SoftwareVersion;
use crate::id::Version;
use crate::time::Timestamp;

/// Grace period for an endpoint whose entry expired while the endpoint list was unreachable.
///
/// The platform restores the entries of live endpoints within about two seconds.
pub const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(1_800);

/// Entry that an endpoint publishes about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Unique name of the endpoint.
    pub id: EndpointId,
    /// Pool that the endpoint belongs to.
    pub pool: PoolId,
    /// Address on which the endpoint accepts requests.
    pub address: SocketAddr,
    /// Availability zone that the endpoint runs in.
    pub availability_zone: AvailabilityZone,
    /// Maximum number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Whether the endpoint is being taken out of service and accepts no new requests.
    pub leaving: bool,
    /// Start time of the endpoint process, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_unix_ms: u64,
    /// Whether the endpoint says that it is slow for a while after its start.
    pub warms_up: bool,
    /// Whether the platform may take the endpoint back at any time.
    pub is_spot: bool,
    /// Version of the software that the endpoint runs. Another version can't continue its streams.
    pub software: SoftwareVersion,
    /// Loaded version of the weights of each model.
    pub weights: Vec<(ModelId, Version)>,
}

impl Endpoint {
    /// Returns the name of this incarnation of the endpoint, the same at every instance.
    #[must_use]
    pub fn incarnation(&self) -> CompactString {
        format_compact!("{}@{}", self.id, self.started_unix_ms)
    }
}

/// Effect of an update on the endpoint table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointChange {
    /// The endpoint is new to the table.
    Added,
    /// The endpoint restarted under the same name.
    Restarted,
    /// The endpoint began to leave service.
    Leaving,
    /// The endpoint was removed.
    Removed,
    /// The entry is gone, but may only have expired during an outage, so removal is deferred.
    Lapsed,
    /// Nothing that affects routing changed.
    Unchanged,
}

/// Endpoints by name, including those whose removal is deferred.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: IndexMap<EndpointId, Endpoint>,
    /// Endpoints whose entry expired during an outage, with the time at which they are removed.
    deferred_removals: IndexMap<EndpointId, Timestamp>,
}

impl EndpointTable {
    /// Inserts or updates an endpoint and cancels its deferred removal.
    pub fn insert(&mut self, endpoint: Endpoint) -> EndpointChange {
        self.deferred_removals.shift_remove(&endpoint.id);
        let before = self.endpoints.insert(endpoint.id.clone(), endpoint);
        let Some(before) = before else {
            return EndpointChange::Added;
        };
        let Some(after) = self.endpoints.get(&before.id) else {
            return EndpointChange::Unchanged;
        };
        if after.started_unix_ms != before.started_unix_ms {
            EndpointChange::Restarted
        } else if after.leaving && !before.leaving {
            EndpointChange::Leaving
        } else {
            EndpointChange::Unchanged
        }
    }

    /// Marks an endpoint as leaving, whatever its entry says.
    pub(crate) fn mark_leaving(&mut self, endpoint: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.leaving = true;
        }
    }

    /// Returns whether inserting an entry would change nothing.
    ///
    /// This holds for nearly all entries, since an endpoint republishes its own about every second.
    #[must_use]
    pub fn is_up_to_date(&self, endpoint: &Endpoint) -> bool {
        self.endpoints.get(&endpoint.id) == Some(endpoint)
            && !self.deferred_removals.contains_key(&endpoint.id)
    }

    /// Removes an endpoint whose entry was deleted.
    ///
    /// `remove_at` is set if the endpoint list has just become reachable again: the endpoint then
    /// stays in the table until that time, and a new entry cancels the removal.
    pub fn remove(
        &mut self,
        endpoint: &EndpointId,
        remove_at: Option<Timestamp>,
    ) -> EndpointChange {
        if !self.endpoints.contains_key(endpoint) {
            return EndpointChange::Unchanged;
        }
        if let Some(remove_at) = remove_at {
            self.deferred_removals
                .entry(endpoint.clone())
                .or_insert(remove_at);
            return EndpointChange::Lapsed;
        }
        self.deferred_removals.shift_remove(endpoint);
        self.endpoints.shift_remove(endpoint);
        EndpointChange::Removed
    }

    /// Returns the endpoints of this table that are absent from a complete list of entries.
    #[must_use]
    pub fn missing_from(&self, listed: &IndexSet<EndpointId>) -> Vec<EndpointId> {
        let names = self.endpoints.keys().filter(|id| !listed.contains(*id));
        names.cloned().collect()
    }

    /// Returns whether the grace period of an expired entry is over.
    #[must_use]
    pub fn has_due_removals(&self, now: Timestamp) -> bool {
        self.deferred_removals
            .values()
            .any(|remove_at| *remove_at <= now)
    }

    /// Removes and returns the endpoints whose entry expired and was not restored in time.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<Endpoint> {
        let due = self
            .deferred_removals
            .iter()
            .filter(|(_, remove_at)| **remove_at <= now);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        let removed = due.iter().filter_map(|id| {
            self.deferred_removals.shift_remove(id);
            self.endpoints.shift_remove(id)
        });
        removed.collect()
    }

    /// Returns an endpoint by name.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(endpoint)
    }

    /// Returns another endpoint that is listed at the address of a new one.
    ///
    /// Its entry is left over: an endpoint that returns after a crash mostly has a new name.
    #[must_use]
    pub fn at_address(&self, new: &Endpoint) -> Option<&Endpoint> {
        if self.endpoints.contains_key(&new.id) {
            return None;
        }
        let mut endpoints = self.endpoints.values();
        endpoints.find(|endpoint| endpoint.address == new.address)
    }

    /// Returns the endpoints of a pool that accept new requests.
    pub fn serving<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a Endpoint> {
        let endpoints = self.endpoints.values();
        endpoints.filter(move |endpoint| endpoint.pool == *pool && !endpoint.leaving)
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether there are no endpoints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
