//! Routing table: hosts and path prefixes to pools of endpoints.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::hash::hash_parts;
use crate::id::PoolId;
use crate::id::RouteId;
use crate::id::TableVersion;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// Requests submit batch jobs.
    Batch,
}

/// What the answers on a route are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answers {
    /// Whole bodies.
    Whole,
    /// Streams of events.
    Streams {
        /// A stream may go on at another endpoint after its last event.
        resumable: bool,
    },
}

/// Part of a route's requests that goes to one pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Pool that gets the part.
    pub pool: PoolId,
    /// Size of the part, relative to the other targets.
    pub weight: u32,
}

/// Where requests of one host and prefix go, and how they may be handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Host that requests name.
    pub host: CompactString,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Pools, at least one.
    pub targets: Vec<Target>,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Longest time that a request may be kept waiting.
    pub timeout: Option<Duration>,
    /// Time within which an answer is on time.
    pub latency_objective: Duration,
    /// Rank of the route's requests; 0 is the highest.
    pub priority: u32,
    /// What its answers are.
    pub answers: Answers,
    /// Requests name parts of their prompt that endpoints may have cached.
    pub prompt_affinity: bool,
    /// All results of a batch job are due this long after its submission.
    pub result_deadline: Option<Duration>,
    /// Items may be given up this long after the batch job's submission.
    pub retention: Option<Duration>,
    /// Each result must come from a single version of the weights.
    pub single_version: bool,
}

impl Route {
    /// Returns the pool for a request: the same one each time it is asked for.
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

    /// Returns whether a request may be run again after it may have run.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        match (self.kind, self.answers) {
            (RouteKind::Batch, _) => true,
            (_, Answers::Streams { resumable }) => resumable,
            (kind, Answers::Whole) => kind == RouteKind::Idempotent,
        }
    }

    /// Returns whether a stream may go on at another endpoint after its last event.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.answers == Answers::Streams { resumable: true }
    }
}

/// How the engines of a pool batch requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineLimits {
    /// Requests that one engine processes at once.
    pub slots: u32,
    /// Memory of one engine, in tokens.
    pub cache_tokens: u64,
}

/// Pool of endpoints that serve the same model or service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolSettings {
    /// Name of the pool.
    pub id: PoolId,
    /// Connections that one endpoint accepts from all instances together.
    pub max_connections: u32,
    /// Set for pools of model engines.
    pub engine: Option<EngineLimits>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub max_head_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Longest time that a head may take to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits until an operator has published some.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 32 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Version of the routing that is in force as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version that the operator gave it.
    pub version: TableVersion,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
    /// Pools by name.
    pub pools: IndexMap<PoolId, PoolSettings>,
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
            routes_by_host,
        }
    }

    /// Returns the route of the longest prefix that begins `path`.
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
