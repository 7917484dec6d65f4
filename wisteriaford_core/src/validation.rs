//! Validation of a configuration, before it is published and again on every instance that folds it.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use wisteriaford_proto::settings::Caller;
use wisteriaford_proto::settings::Configuration;
use wisteriaford_proto::settings::Endpoint;
use wisteriaford_proto::settings::EndpointKind;
use wisteriaford_proto::settings::LogOutagePolicy;
use wisteriaford_proto::settings::Pool;
use wisteriaford_proto::settings::Priority;
use wisteriaford_proto::settings::Route;

use crate::id::IdError;
use crate::id::RouteId;

/// Maximum number of entries in each section of a configuration.
pub const MAX_SECTION_LEN: usize = 10_000;

const PLAIN_CAPACITY_FLOOR_PERCENT: RangeInclusive<u64> = 0..=100;
const INTERACTIVE_CAP_PERCENT: RangeInclusive<u64> = 1..=100;
const MODEL_CAPACITY_FLOOR_PERCENT: RangeInclusive<u64> = 0..=99;
const STALENESS_BOUND_VERSIONS: RangeInclusive<u64> = 0..=1_000_000;
const CONCURRENT_LOADS: RangeInclusive<u64> = 1..=10_000;
const QUEUE_LIMIT: RangeInclusive<u64> = 1..=100_000;
const SILENCE_TIMEOUT_MS: RangeInclusive<u64> = 100..=600_000;
const QUARANTINE_MS: RangeInclusive<u64> = 1_000..=604_800_000;
const SLOTS: RangeInclusive<u64> = 1..=65_536;
const SHARE_WEIGHT: RangeInclusive<u64> = 1..=1_000_000;
const IN_FLIGHT_LIMIT: RangeInclusive<u64> = 1..=10_000_000;
const RATE_LIMIT_PER_S: RangeInclusive<u64> = 1..=10_000_000;
const ROUTE_TIMEOUT_MS: RangeInclusive<u64> = 10..=3_600_000;

/// Section of a configuration.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Section {
    /// Groups of endpoints.
    #[display("pools")]
    Pools,
    /// Model engines and plain services that serve requests.
    #[display("endpoints")]
    Endpoints,
    /// Trainers and interactive users.
    #[display("callers")]
    Callers,
    /// Named routes to plain services.
    #[display("routes")]
    Routes,
}

/// Location of an error within a section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryField {
    /// Index of the entry in the section, from 0.
    pub index: usize,
    /// Name of the entry; empty if it has none.
    pub name: CompactString,
    /// Field with the error.
    pub field: &'static str,
}

/// Location of an error, such as `pools[0] "restoration" queue_limit`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ErrorPath {
    /// Section of the configuration.
    pub section: Section,
    /// Entry and field, or `None` if the error concerns the section as a whole.
    pub entry: Option<EntryField>,
}

impl fmt::Display for ErrorPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(entry) = &self.entry else {
            return write!(formatter, "{}", self.section);
        };
        write!(formatter, "{}[{}]", self.section, entry.index)?;
        if !entry.name.is_empty() {
            write!(formatter, " {:?}", entry.name)?;
        }
        write!(formatter, " {}", entry.field)
    }
}

/// Kind of an error in a configuration.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum ValidationErrorKind {
    /// A section that requires at least one entry is empty.
    #[display("must have at least one entry")]
    Empty,
    /// A section has more than [`MAX_SECTION_LEN`] entries.
    #[display("has {len} entries, at most {MAX_SECTION_LEN} are allowed")]
    TooMany {
        /// Number of entries.
        len: usize,
    },
    /// A string is not a valid identifier.
    #[display("{value:?}: {cause}")]
    BadName {
        /// Configured string.
        value: String,
        /// Reason for which it is not a valid identifier.
        #[error(source)]
        cause: IdError,
    },
    /// The name of a route cannot be used in a request path.
    #[display("{value:?} cannot be used in a request path: '/' and ':' are not allowed")]
    InvalidPathSegment {
        /// Configured name.
        value: String,
    },
    /// An earlier entry of the section has the same name.
    #[display("{value:?} is the name of entry {first} too")]
    DuplicateName {
        /// Configured name.
        value: String,
        /// Index of the first entry with the name.
        first: usize,
    },
    /// An earlier endpoint has the same address.
    #[display("{value} is the address of entry {first} too")]
    DuplicateAddress {
        /// Configured address.
        value: SocketAddr,
        /// Index of the first entry with the address.
        first: usize,
    },
    /// A string is not an IP address and port that can be connected to.
    #[display("{value:?} is no IP number and port that can be connected to, such as 10.0.0.1:8000")]
    BadAddress {
        /// Configured string.
        value: String,
    },
    /// The named pool does not exist.
    #[display("pool {value:?} does not exist")]
    UnknownPool {
        /// Configured name.
        value: String,
    },
    /// A number is out of range.
    #[display("{value} is out of range, {min} to {max} is allowed")]
    OutOfRange {
        /// Configured number.
        value: u64,
        /// Minimum allowed number.
        min: u64,
        /// Maximum allowed number.
        max: u64,
    },
    /// A number is not a value of the enumeration.
    #[display("{value} is not a known value")]
    UnknownValue {
        /// Configured number.
        value: i32,
    },
    /// The kind of an endpoint does not match its pool.
    #[display("{kind} does not match pool {pool:?}, which {}", pool_holds(*pool_has_model))]
    KindMismatch {
        /// Name of the kind of the endpoint.
        kind: &'static str,
        /// Pool of the endpoint.
        pool: String,
        /// Whether the pool has a model.
        pool_has_model: bool,
    },
    /// A pool has no endpoints.
    #[display("the pool has no endpoints")]
    NoEndpoints,
    /// The capacity floor keeps every engine in service, so that none can load weights.
    #[display(
        "a floor of {percent} % keeps all {engines} engines in service, so none can load weights"
    )]
    FloorForbidsLoads {
        /// Configured capacity floor.
        percent: u32,
        /// Number of engines of the pool that are not leaving.
        engines: usize,
    },
    /// Two endpoints assign an availability zone to different regions.
    #[display("an earlier endpoint assigns availability zone {zone:?} to region {first:?}")]
    ZoneInTwoRegions {
        /// Availability zone.
        zone: String,
        /// Region in the first endpoint of the availability zone.
        first: String,
    },
    /// A route refers to a pool of model engines instead of plain services.
    #[display("pool {pool:?} holds model engines, but a route requires a pool of plain services")]
    RouteToEngines {
        /// Configured pool.
        pool: String,
    },
    /// An idempotent route restricts its requests while the log is down.
    #[display("first_attempt_only conflicts with idempotent = true")]
    ContradictoryRoute,
}

fn pool_holds(has_model: bool) -> &'static str {
    if has_model {
        "has a model and holds model engines"
    } else {
        "has no model and holds plain services"
    }
}

/// Error in a configuration.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{path}: {kind}")]
pub struct ValidationError {
    /// Location of the error.
    pub path: ErrorPath,
    /// Kind of the error.
    #[error(source)]
    pub kind: ValidationErrorKind,
}

/// Returns all errors of a configuration, section by section.
#[must_use]
pub fn validate(configuration: &Configuration) -> Vec<ValidationError> {
    let mut validator = Validator::default();
    validator.validate_pools(configuration);
    validator.validate_endpoints(configuration);
    validator.validate_callers(configuration);
    validator.validate_routes(configuration);
    validator.faults
}

/// Entry that is being validated.
struct EntryContext<'a> {
    section: Section,
    index: usize,
    name: &'a str,
}

impl EntryContext<'_> {
    fn path(&self, field: &'static str) -> ErrorPath {
        ErrorPath {
            section: self.section,
            entry: Some(EntryField {
                index: self.index,
                name: CompactString::from(self.name),
                field,
            }),
        }
    }
}

/// Configuration entry that has a name.
trait Named {
    fn name(&self) -> &str;
}

macro_rules! named {
    ($($entry:ty),+) => {
        $(impl Named for $entry {
            fn name(&self) -> &str {
                &self.name
            }
        })+
    };
}

named!(Pool, Endpoint, Caller, Route);

/// Returns the entries of a section, each with its context for error locations.
fn with_context<T: Named>(
    section: Section,
    entries: &[T],
) -> impl Iterator<Item = (EntryContext<'_>, &T)> {
    entries.iter().enumerate().map(move |(index, entry)| {
        let name = entry.name();
        let context = EntryContext {
            section,
            index,
            name,
        };
        (context, entry)
    })
}

#[derive(Default)]
struct Validator {
    faults: Vec<ValidationError>,
}

impl Validator {
    fn validate_pools(&mut self, configuration: &Configuration) {
        let section = Section::Pools;
        if configuration.pools.is_empty() {
            self.report_section(section, ValidationErrorKind::Empty);
        }
        self.validate_section(section, &configuration.pools);
        for (context, pool) in with_context(section, &configuration.pools) {
            self.validate_pool(&context, pool, configuration);
        }
    }

    fn validate_pool(
        &mut self,
        context: &EntryContext<'_>,
        pool: &Pool,
        configuration: &Configuration,
    ) {
        let cap = u64::from(pool.interactive_cap_percent);
        self.check_range(
            context,
            "interactive_cap_percent",
            cap,
            INTERACTIVE_CAP_PERCENT,
        );
        self.check_range(
            context,
            "queue_limit",
            u64::from(pool.queue_limit),
            QUEUE_LIMIT,
        );
        self.check_range(context, "quarantine_ms", pool.quarantine_ms, QUARANTINE_MS);
        if !pool.scorer_address.is_empty() {
            self.parse_address(context, "scorer_address", &pool.scorer_address);
        }
        if pool.model.is_empty() {
            self.validate_plain_pool(context, pool);
        } else {
            self.validate_model_pool(context, pool, configuration);
        }
        let mut endpoints = configuration.endpoints.iter();
        if !endpoints.any(|endpoint| endpoint.pool == pool.name) {
            self.report(context, "name", ValidationErrorKind::NoEndpoints);
        }
    }

    fn validate_plain_pool(&mut self, context: &EntryContext<'_>, pool: &Pool) {
        let floor = u64::from(pool.capacity_floor_percent);
        self.check_range(
            context,
            "capacity_floor_percent",
            floor,
            PLAIN_CAPACITY_FLOOR_PERCENT,
        );
        if pool.silence_timeout_ms != 0 {
            let timeout_ms = pool.silence_timeout_ms;
            self.check_range(
                context,
                "silence_timeout_ms",
                timeout_ms,
                SILENCE_TIMEOUT_MS,
            );
        }
    }

    fn validate_model_pool(
        &mut self,
        context: &EntryContext<'_>,
        pool: &Pool,
        configuration: &Configuration,
    ) {
        self.check_name(context, "model", &pool.model);
        let bound = u64::from(pool.staleness_bound_versions);
        self.check_range(
            context,
            "staleness_bound_versions",
            bound,
            STALENESS_BOUND_VERSIONS,
        );
        let loads = u64::from(pool.concurrent_loads);
        self.check_range(context, "concurrent_loads", loads, CONCURRENT_LOADS);
        let timeout_ms = pool.silence_timeout_ms;
        self.check_range(
            context,
            "silence_timeout_ms",
            timeout_ms,
            SILENCE_TIMEOUT_MS,
        );
        let percent = pool.capacity_floor_percent;
        let floor = u64::from(percent);
        let faults_before = self.faults.len();
        self.check_range(
            context,
            "capacity_floor_percent",
            floor,
            MODEL_CAPACITY_FLOOR_PERCENT,
        );
        let endpoints = configuration.endpoints.iter();
        let engines = endpoints
            .filter(|endpoint| endpoint.pool == pool.name && !endpoint.leaving)
            .count();
        let in_range = self.faults.len() == faults_before;
        if in_range && engines > 0 && max_concurrent_loads(engines, percent) == 0 {
            let kind = ValidationErrorKind::FloorForbidsLoads { percent, engines };
            self.report(context, "capacity_floor_percent", kind);
        }
    }

    fn validate_endpoints(&mut self, configuration: &Configuration) {
        let section = Section::Endpoints;
        self.validate_section(section, &configuration.endpoints);
        let has_model_by_pool: HashMap<&str, bool> = configuration
            .pools
            .iter()
            .map(|pool| (pool.name.as_str(), !pool.model.is_empty()))
            .collect();
        let mut first_by_address = HashMap::new();
        let mut region_by_zone = HashMap::new();
        for (context, endpoint) in with_context(section, &configuration.endpoints) {
            let index = context.index;
            self.validate_endpoint(
                &context,
                endpoint,
                has_model_by_pool.get(endpoint.pool.as_str()),
            );
            if let Some(address) = self.parse_address(&context, "address", &endpoint.address) {
                let first = *first_by_address.entry(address).or_insert(index);
                if first != index {
                    let value = address;
                    let kind = ValidationErrorKind::DuplicateAddress { value, first };
                    self.report(&context, "address", kind);
                }
            }
            let zone = endpoint.availability_zone.as_str();
            let region = endpoint.region.as_str();
            let first = *region_by_zone.entry(zone).or_insert(region);
            if first != region {
                let kind = ValidationErrorKind::ZoneInTwoRegions {
                    zone: zone.to_owned(),
                    first: first.to_owned(),
                };
                self.report(&context, "region", kind);
            }
        }
    }

    fn validate_endpoint(
        &mut self,
        context: &EntryContext<'_>,
        endpoint: &Endpoint,
        has_model: Option<&bool>,
    ) {
        self.check_name(context, "availability_zone", &endpoint.availability_zone);
        self.check_name(context, "region", &endpoint.region);
        self.check_range(context, "slots", u64::from(endpoint.slots), SLOTS);
        let kind = EndpointKind::try_from(endpoint.kind);
        let Ok(kind) = kind else {
            let value = endpoint.kind;
            return self.report(context, "kind", ValidationErrorKind::UnknownValue { value });
        };
        let Some(&pool_has_model) = has_model else {
            let value = endpoint.pool.clone();
            return self.report(context, "pool", ValidationErrorKind::UnknownPool { value });
        };
        if pool_has_model != (kind == EndpointKind::ModelEngine) {
            let fault = ValidationErrorKind::KindMismatch {
                kind: kind.as_str_name(),
                pool: endpoint.pool.clone(),
                pool_has_model,
            };
            self.report(context, "kind", fault);
        }
    }

    fn validate_callers(&mut self, configuration: &Configuration) {
        let section = Section::Callers;
        self.validate_section(section, &configuration.callers);
        for (context, caller) in with_context(section, &configuration.callers) {
            self.validate_caller(&context, caller);
        }
    }

    fn validate_caller(&mut self, context: &EntryContext<'_>, caller: &Caller) {
        if Priority::try_from(caller.priority).is_err() {
            let value = caller.priority;
            self.report(
                context,
                "priority",
                ValidationErrorKind::UnknownValue { value },
            );
        }
        let weight = u64::from(caller.share_weight);
        self.check_range(context, "share_weight", weight, SHARE_WEIGHT);
        let in_flight = u64::from(caller.in_flight_limit);
        self.check_range(context, "in_flight_limit", in_flight, IN_FLIGHT_LIMIT);
        let rate = u64::from(caller.rate_limit_per_s);
        self.check_range(context, "rate_limit_per_s", rate, RATE_LIMIT_PER_S);
    }

    fn validate_routes(&mut self, configuration: &Configuration) {
        let section = Section::Routes;
        self.validate_section(section, &configuration.routes);
        for (context, route) in with_context(section, &configuration.routes) {
            self.validate_route(&context, route, configuration);
        }
    }

    fn validate_route(
        &mut self,
        context: &EntryContext<'_>,
        route: &Route,
        configuration: &Configuration,
    ) {
        if route.name.contains(['/', ':']) {
            let value = route.name.clone();
            self.report(
                context,
                "name",
                ValidationErrorKind::InvalidPathSegment { value },
            );
        }
        self.check_range(context, "timeout_ms", route.timeout_ms, ROUTE_TIMEOUT_MS);
        let pool = configuration.pools.iter().find(|p| p.name == route.pool);
        match pool {
            None => {
                let value = route.pool.clone();
                self.report(context, "pool", ValidationErrorKind::UnknownPool { value });
            }
            Some(pool) if !pool.model.is_empty() => {
                let pool = pool.name.clone();
                self.report(
                    context,
                    "pool",
                    ValidationErrorKind::RouteToEngines { pool },
                );
            }
            Some(_) => {}
        }
        match LogOutagePolicy::try_from(route.log_outage) {
            Err(_) => {
                let value = route.log_outage;
                self.report(
                    context,
                    "log_outage",
                    ValidationErrorKind::UnknownValue { value },
                );
            }
            Ok(LogOutagePolicy::FirstAttemptOnly) if route.idempotent => {
                self.report(
                    context,
                    "log_outage",
                    ValidationErrorKind::ContradictoryRoute,
                );
            }
            Ok(_) => {}
        }
    }

    /// Validates the number of entries of a section and their names.
    fn validate_section<T: Named>(&mut self, section: Section, entries: &[T]) {
        let len = entries.len();
        if len > MAX_SECTION_LEN {
            self.report_section(section, ValidationErrorKind::TooMany { len });
        }
        let mut first_by_name = HashMap::new();
        for (context, entry) in with_context(section, entries) {
            let name = entry.name();
            self.check_name(&context, "name", name);
            let first = *first_by_name.entry(name).or_insert(context.index);
            if first != context.index {
                let value = name.to_owned();
                self.report(
                    &context,
                    "name",
                    ValidationErrorKind::DuplicateName { value, first },
                );
            }
        }
    }

    fn check_name(&mut self, context: &EntryContext<'_>, field: &'static str, text: &str) {
        if let Err(cause) = RouteId::from_str(text) {
            let value = text.to_owned();
            self.report(
                context,
                field,
                ValidationErrorKind::BadName { value, cause },
            );
        }
    }

    /// Parses an address and reports an error unless it can be connected to.
    fn parse_address(
        &mut self,
        context: &EntryContext<'_>,
        field: &'static str,
        text: &str,
    ) -> Option<SocketAddr> {
        let parsed = SocketAddr::from_str(text).ok();
        let address = parsed.filter(|address| {
            let ip = address.ip();
            address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
        });
        if address.is_none() {
            let value = text.to_owned();
            self.report(context, field, ValidationErrorKind::BadAddress { value });
        }
        address
    }

    fn check_range(
        &mut self,
        context: &EntryContext<'_>,
        field: &'static str,
        value: u64,
        allowed: RangeInclusive<u64>,
    ) {
        if allowed.contains(&value) {
            return;
        }
        let (min, max) = allowed.into_inner();
        self.report(
            context,
            field,
            ValidationErrorKind::OutOfRange { value, min, max },
        );
    }

    fn report(
        &mut self,
        context: &EntryContext<'_>,
        field: &'static str,
        kind: ValidationErrorKind,
    ) {
        let path = context.path(field);
        self.faults.push(ValidationError { path, kind });
    }

    fn report_section(&mut self, section: Section, kind: ValidationErrorKind) {
        let path = ErrorPath {
            section,
            entry: None,
        };
        self.faults.push(ValidationError { path, kind });
    }
}

/// Returns how many of `engines` may be out of service at the same time under a capacity floor.
#[must_use]
pub fn max_concurrent_loads(engines: usize, capacity_floor_percent: u32) -> usize {
    let in_service = (engines * capacity_floor_percent as usize).div_ceil(100);
    engines.saturating_sub(in_service)
}
