//! List of endpoints, as the endpoints themselves keep it in the log.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::id::AvailabilityZone;
use crate::id::EndpointId;
use crate::id::ModelId;
use crate::id::PoolId;
use crate::id::Version;
use crate::time::Timestamp;

/// How long an endpoint whose entry lapsed during an outage of the list may take to come back.
///
/// Source: the platform restores entries of live endpoints within about two seconds.
pub const LAPSED_ENTRY_GRACE: Duration = Duration::from_millis(1_800);

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Address that it takes requests at.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub availability_zone: AvailabilityZone,
    /// Requests that it processes at once.
    pub slots: u32,
    /// It takes no new requests.
    pub leaving: bool,
    /// When this run of the endpoint began, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_unix_ms: u64,
    /// Versions of the weights that it has loaded.
    pub weights: Vec<(ModelId, Version)>,
}

/// What an entry changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointChange {
    /// The endpoint was not listed before.
    Added,
    /// The endpoint started again under its name.
    Restarted,
    /// The endpoint began to leave.
    Leaving,
    /// The endpoint is no longer listed.
    Removed,
    /// The entry is gone, but may only have lapsed during an outage.
    Lapsed,
    /// Nothing that routing depends on.
    Unchanged,
}

/// Endpoints by name.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: IndexMap<EndpointId, Endpoint>,
    lapsed: IndexMap<EndpointId, Timestamp>,
}

impl EndpointTable {
    /// Takes an endpoint's entry.
    pub fn insert(&mut self, endpoint: Endpoint) -> EndpointChange {
        self.lapsed.shift_remove(&endpoint.id);
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

    /// Returns whether an entry says what is known already, so that it needs not be inserted.
    ///
    /// Nearly all entries do: an endpoint repeats its own every second or so.
    #[must_use]
    pub fn knows(&self, endpoint: &Endpoint) -> bool {
        self.endpoints.get(&endpoint.id) == Some(endpoint)
            && !self.lapsed.contains_key(&endpoint.id)
    }

    /// Takes the removal of an entry.
    ///
    /// With `lapse_until`, the list was out of reach until now, and the entry counts until then.
    pub fn remove(
        &mut self,
        endpoint: &EndpointId,
        lapse_until: Option<Timestamp>,
    ) -> EndpointChange {
        if !self.endpoints.contains_key(endpoint) {
            return EndpointChange::Unchanged;
        }
        if let Some(until) = lapse_until {
            self.lapsed.entry(endpoint.clone()).or_insert(until);
            return EndpointChange::Lapsed;
        }
        self.lapsed.shift_remove(endpoint);
        self.endpoints.shift_remove(endpoint);
        EndpointChange::Removed
    }

    /// Returns the names that a complete list of entries lacks.
    #[must_use]
    pub fn missing_from(&self, listed: &IndexSet<EndpointId>) -> Vec<EndpointId> {
        let names = self.endpoints.keys().filter(|id| !listed.contains(*id));
        names.cloned().collect()
    }

    /// Returns whether an entry that lapsed did not come back in time.
    #[must_use]
    pub fn has_expired(&self, now: Timestamp) -> bool {
        self.lapsed.values().any(|until| *until <= now)
    }

    /// Removes the endpoints whose lapsed entry did not come back in time, and returns them.
    pub fn expire_lapsed(&mut self, now: Timestamp) -> Vec<EndpointId> {
        let due = self.lapsed.iter().filter(|(_, until)| **until <= now);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.lapsed.shift_remove(id);
            self.endpoints.shift_remove(id);
        }
        due
    }

    /// Returns an endpoint by name.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(endpoint)
    }

    /// Returns the endpoints of a pool that take new requests.
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
