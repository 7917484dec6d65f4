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
    /// Model that its engines serve; `None` for plain services.
    pub model: Option<ModelId>,
    /// Maximum staleness of a sample's weights, in versions behind the trainer's version.
    pub staleness_bound_versions: u64,
    /// Minimum share of the engines kept in service during a weight swap, in percent.
    pub capacity_floor_percent: u32,
    /// Maximum number of concurrent weight loads from the weight store.
    pub concurrent_loads: usize,
    /// Maximum share of each endpoint's slots that interactive callers may use, in percent.
    pub interactive_cap_percent: u32,
    /// Maximum number of requests queued for each endpoint.
    pub queue_limit: usize,
    /// Time without data after which a stream is considered lost.
    pub silence_timeout: Duration,
    /// Time for which a request that crashed two endpoints is refused.
    pub quarantine: Duration,
    /// Address of the service that scores samples, if any.
    pub scorer_address: Option<CompactString>,
    /// Endpoints, in configuration order.
    pub endpoints: Vec<EndpointId>,
}

/// Program that serves requests: a model engine or a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Unique name.
    pub id: EndpointId,
    /// Pool that the endpoint belongs to.
    pub pool: PoolId,
    /// Kind of endpoint.
    pub kind: EndpointKind,
    /// IP address and port.
    pub address: CompactString,
    /// Availability zone that the endpoint runs in.
    pub availability_zone: AvailabilityZone,
    /// Region that the endpoint runs in.
    pub region: Region,
    /// Maximum number of requests that the endpoint runs concurrently.
    pub slots: usize,
    /// Whether the endpoint rejects orders with an outdated fencing number.
    pub honours_fencing: bool,
    /// Whether the endpoint is being taken out of service.
    pub leaving: bool,
}

/// Trainer or interactive user.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Unique name.
    pub id: CallerId,
    /// Scheduling priority of its requests.
    pub priority: Priority,
    /// Weight of its fair share, relative to the other callers of a pool.
    pub share_weight: u32,
    /// Maximum number of its requests in flight across the whole fleet.
    pub in_flight_limit: usize,
    /// Maximum rate of its requests across the whole fleet, per second.
    pub rate_limit_per_s: u32,
}

/// Named route to the plain services of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name.
    pub id: RouteId,
    /// Pool of plain services that serves the route.
    pub pool: PoolId,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Maximum time from the arrival of a request to its answer.
    pub timeout: Duration,
    /// Policy for a non-idempotent route while the log is unreachable.
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

/// Indexes a configuration that has already been validated.
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
