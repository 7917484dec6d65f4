//! Routing table that maps hosts and path prefixes to pools of endpoints.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::gateway::organisations::KeyDigest;
use crate::gateway::organisations::Organisations;
use crate::gateway::organisations::Sender;
use crate::gateway::scaling::allocation::ScalingPolicy;
use crate::hash::hash_parts;
use crate::id::OrganisationId;
use crate::id::PoolId;
use crate::id::RouteId;
use crate::id::TableVersion;

/// Retry semantics of the requests on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may be executed more than once.
    Idempotent,
    /// A request may be executed at most once.
    NonIdempotent,
    /// A request submits a batch job.
    Batch,
}

/// Form of the answers on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answers {
    /// A complete body.
    Whole,
    /// A stream of events.
    Streams {
        /// Whether another endpoint may continue a stream after its last event.
        resumable: bool,
    },
}

/// Pool that receives a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Pool that receives the share.
    pub pool: PoolId,
    /// Weight of the share, relative to the other targets.
    pub weight: u32,
}

/// Destination and handling of the requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name of the route.
    pub id: RouteId,
    /// Host name of the requests.
    pub host: CompactString,
    /// Path prefix; starts and ends with a slash.
    pub path_prefix: CompactString,
    /// Retry semantics.
    pub kind: RouteKind,
    /// Target pools; at least one.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Maximum time until a request is answered.
    pub timeout: Option<Duration>,
    /// Target latency; an answer within it counts as on time.
    pub latency_objective: Duration,
    /// Priority of the route's requests; 0 is the highest.
    pub priority: u32,
    /// Form of the answers.
    pub answers: Answers,
    /// Whether requests name parts of their prompt that endpoints may have cached.
    pub prompt_affinity: bool,
    /// Time after the submission of a batch job by which all its results are due.
    pub result_deadline: Option<Duration>,
    /// Time after the submission of a batch job from which its items may be given up.
    pub retention: Option<Duration>,
    /// Whether each result must come from a single version of the weights.
    pub single_version: bool,
    /// Whether requests need no key although the configuration has organisations.
    pub is_public: bool,
}

impl Route {
    /// Selects a target pool by weight; the same request always gets the same pool.
    #[must_use]
    pub fn pool_for(&self, request: &str) -> Option<&PoolId> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.pool);
        }
        let mut point = hash_parts(&[request.as_bytes()]) % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.pool);
            }
            point -= weight;
        }
        None
    }

    /// Returns whether a request that may have been executed already may be executed again.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        match (self.kind, self.answers) {
            (RouteKind::Batch, _) => true,
            (_, Answers::Streams { resumable }) => resumable,
            (kind, Answers::Whole) => kind == RouteKind::Idempotent,
        }
    }

    /// Returns whether another endpoint may continue a stream after its last event.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.answers == Answers::Streams { resumable: true }
    }
}

/// Batching limits of the engines of a pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineLimits {
    /// Maximum number of requests that one engine processes concurrently.
    pub slots: u32,
    /// Capacity of one engine's KV cache, in tokens.
    pub cache_tokens: u64,
}

/// Pool of endpoints that serve the same model or service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolSettings {
    /// Name of the pool.
    pub id: PoolId,
    /// Maximum number of connections that one endpoint accepts from all instances together.
    pub max_connections: u32,
    /// Limits of the engines; `None` unless the pool consists of model engines.
    pub engine: Option<EngineLimits>,
    /// Limits and prices of the engines, if the fleet chooses their number.
    pub scaling: Option<ScalingPolicy>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request's head.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until an operator publishes some.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 32 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Complete routing table of one published version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version assigned by the operator.
    pub version: TableVersion,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Pools by name.
    pub pools: IndexMap<PoolId, PoolSettings>,
    /// Organisations and their keys; `None` if requests need no key.
    pub organisations: Option<Organisations>,
    /// Routes of each host, longest path prefix first.
    routes_by_host: IndexMap<CompactString, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds a table from its routes and pools.
    #[must_use]
    pub fn new(
        version: TableVersion,
        limits: CallerLimits,
        pools: Vec<PoolSettings>,
        routes: Vec<Route>,
    ) -> Self {
        let mut routes_by_host: IndexMap<CompactString, Vec<Arc<Route>>> = IndexMap::new();
        for route in routes {
            let host = route.host.clone();
            routes_by_host
                .entry(host)
                .or_default()
                .push(Arc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            limits,
            pools: pools.into_iter().map(|p| (p.id.clone(), p)).collect(),
            organisations: None,
            routes_by_host,
        }
    }

    /// Sets the organisations; `None` or none at all if requests need no key.
    #[must_use]
    pub fn with_organisations(mut self, organisations: Option<Organisations>) -> Self {
        self.organisations = organisations.filter(|organisations| !organisations.is_empty());
        self
    }

    /// Returns the sender of a request with a key, or without one.
    #[must_use]
    pub fn sender(&self, key: Option<&KeyDigest>) -> Sender {
        let Some(organisations) = &self.organisations else {
            return Sender::Unrestricted;
        };
        let found = key.and_then(|key| organisations.find(key));
        found.map_or(Sender::Anonymous, |found| Sender::Member(Arc::clone(found)))
    }

    /// Returns the priority of an organisation's requests on a route.
    #[must_use]
    pub fn priority(&self, route: &Route, organisation: Option<&OrganisationId>) -> u32 {
        let organisations = self.organisations.as_ref();
        let found = organisations.and_then(|organisations| organisations.get(organisation?));
        let own = found.and_then(|found| found.priority);
        own.unwrap_or(route.priority)
    }

    /// Returns the route with the longest path prefix that matches `path`, ignoring the query.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(host)?;
        let path = path.split('?').next().unwrap_or(path);
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes_by_host.values().flatten()
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }

    /// Returns whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes_by_host.is_empty()
    }
}
