//! Configuration in force, indexed by identifier.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use wisteriaford_proto::settings::Configuration;
use wisteriaford_proto::settings::EndpointKind;
use wisteriaford_proto::settings::LogOutagePolicy;
use wisteriaford_proto::settings::Priority;

use crate::id::AvailabilityZone;
use crate::id::CallerId;
use crate::id::EndpointId;
use crate::id::ModelId;
use crate::id::PoolId;
use crate::id::Region;
use crate::id::RouteId;

/// Group of endpoints that serve the same model or service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Unique name.
    pub id: PoolId,
    /// Model whose weights its engines load; none for plain services.
    pub model: Option<ModelId>,
    /// Oldest weights that a sample may name, in versions behind the trainer's.
    pub staleness_bound_versions: u64,
    /// Part of the engines kept in service while weights are swapped, in percent.
    pub capacity_floor_percent: u32,
    /// Weight loads that the weight store serves at once.
    pub concurrent_loads: usize,
    /// Part of each endpoint's slots that interactive callers may fill, in percent.
    pub interactive_cap_percent: u32,
    /// Requests that may wait for each endpoint.
    pub queue_limit: usize,
    /// Longest silence of a stream before it is taken as lost.
    pub silence_timeout: Duration,
    /// How long a request that crashed two endpoints is refused.
    pub quarantine: Duration,
    /// Address of the service that scores samples.
    pub scorer_address: Option<CompactString>,
    /// Endpoints, in the order of the file.
    pub endpoints: Vec<EndpointId>,
}

/// Program that answers requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Unique name.
    pub id: EndpointId,
    /// Pool it belongs to.
    pub pool: PoolId,
    /// Kind of program.
    pub kind: EndpointKind,
    /// IP number and port.
    pub address: CompactString,
    /// Availability zone it runs in.
    pub availability_zone: AvailabilityZone,
    /// Region it runs in.
    pub region: Region,
    /// Requests it runs at once.
    pub slots: usize,
    /// Whether it refuses orders with an old fencing number.
    pub honours_fencing: bool,
    /// Whether it is being taken out of service.
    pub leaving: bool,
}

/// Trainer or interactive user.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Unique name.
    pub id: CallerId,
    /// Urgency of its requests.
    pub priority: Priority,
    /// Weight of its fair share against the other callers of a pool.
    pub share_weight: u32,
    /// Requests it may have in progress over the whole fleet.
    pub in_flight_limit: usize,
    /// Requests a second it may send over the whole fleet.
    pub rate_limit_per_s: u32,
}

/// Named way to reach the plain services of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name.
    pub id: RouteId,
    /// Pool of plain services.
    pub pool: PoolId,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time a request has from arrival to answer.
    pub timeout: Duration,
    /// Behaviour of a non-idempotent route while the log cannot be reached.
    pub log_outage: LogOutagePolicy,
}

/// Configuration in force, indexed by identifier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Pools by name.
    pub pools: IndexMap<PoolId, Pool>,
    /// Endpoints by name.
    pub endpoints: IndexMap<EndpointId, Endpoint>,
    /// Callers by name.
    pub callers: IndexMap<CallerId, Caller>,
    /// Routes by name.
    pub routes: IndexMap<RouteId, Route>,
}

impl Settings {
    /// Returns the pool of an endpoint.
    #[must_use]
    pub fn pool_of(&self, endpoint: &EndpointId) -> Option<&Pool> {
        self.pools.get(&self.endpoints.get(endpoint)?.pool)
    }
}

/// Indexes a configuration that was validated before.
impl From<&Configuration> for Settings {
    fn from(configuration: &Configuration) -> Self {
        let mut settings = Self::default();
        for pool in &configuration.pools {
            let pool = Pool::from(pool);
            settings.pools.insert(pool.id.clone(), pool);
        }
        for endpoint in &configuration.endpoints {
            let endpoint = Endpoint::from(endpoint);
            if let Some(pool) = settings.pools.get_mut(&endpoint.pool) {
                pool.endpoints.push(endpoint.id.clone());
            }
            settings.endpoints.insert(endpoint.id.clone(), endpoint);
        }
        for caller in &configuration.callers {
            let caller = Caller::from(caller);
            settings.callers.insert(caller.id.clone(), caller);
        }
        for route in &configuration.routes {
            let route = Route::from(route);
            settings.routes.insert(route.id.clone(), route);
        }
        settings
    }
}

impl From<&wisteriaford_proto::settings::Pool> for Pool {
    fn from(pool: &wisteriaford_proto::settings::Pool) -> Self {
        Self {
            id: PoolId::from(pool.name.as_str()),
            model: non_empty(&pool.model).map(ModelId::from),
            staleness_bound_versions: u64::from(pool.staleness_bound_versions),
            capacity_floor_percent: pool.capacity_floor_percent,
            concurrent_loads: pool.concurrent_loads as usize,
            interactive_cap_percent: pool.interactive_cap_percent,
            queue_limit: pool.queue_limit as usize,
            silence_timeout: Duration::from_millis(pool.silence_timeout_ms),
            quarantine: Duration::from_millis(pool.quarantine_ms),
            scorer_address: non_empty(&pool.scorer_address).map(CompactString::from),
            endpoints: Vec::new(),
        }
    }
}

impl From<&wisteriaford_proto::settings::Endpoint> for Endpoint {
    fn from(endpoint: &wisteriaford_proto::settings::Endpoint) -> Self {
        Self {
            id: EndpointId::from(endpoint.name.as_str()),
            pool: PoolId::from(endpoint.pool.as_str()),
            kind: endpoint.kind(),
            address: CompactString::from(endpoint.address.as_str()),
            availability_zone: AvailabilityZone::from(endpoint.availability_zone.as_str()),
            region: Region::from(endpoint.region.as_str()),
            slots: endpoint.slots as usize,
            honours_fencing: endpoint.honours_fencing,
            leaving: endpoint.leaving,
        }
    }
}

impl From<&wisteriaford_proto::settings::Caller> for Caller {
    fn from(caller: &wisteriaford_proto::settings::Caller) -> Self {
        Self {
            id: CallerId::from(caller.name.as_str()),
            priority: caller.priority(),
            share_weight: caller.share_weight,
            in_flight_limit: caller.in_flight_limit as usize,
            rate_limit_per_s: caller.rate_limit_per_s,
        }
    }
}

impl From<&wisteriaford_proto::settings::Route> for Route {
    fn from(route: &wisteriaford_proto::settings::Route) -> Self {
        Self {
            id: RouteId::from(route.name.as_str()),
            pool: PoolId::from(route.pool.as_str()),
            idempotent: route.idempotent,
            timeout: Duration::from_millis(route.timeout_ms),
            log_outage: route.log_outage(),
        }
    }
}

fn non_empty(text: &str) -> Option<&str> {
    Some(text).filter(|text| !text.is_empty())
}
