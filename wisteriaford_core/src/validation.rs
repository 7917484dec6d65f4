//! Checks of a configuration, before it is published and again wherever it is folded.

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

/// Entries that each section of a configuration may have.
pub const MAX_SECTION_LEN: usize = 10_000;

const PERCENT: RangeInclusive<u64> = 0..=100;
const INTERACTIVE_CAP_PERCENT: RangeInclusive<u64> = 1..=100;
const CAPACITY_FLOOR_PERCENT: RangeInclusive<u64> = 0..=99;
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

/// Part of a configuration.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Section {
    /// Groups of endpoints.
    #[display("pools")]
    Pools,
    /// Programs that answer requests.
    #[display("endpoints")]
    Endpoints,
    /// Trainers and interactive users.
    #[display("callers")]
    Callers,
    /// Named ways to reach plain services.
    #[display("routes")]
    Routes,
}

/// Entry of a section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Place in the section, from 0.
    pub index: usize,
    /// Name that the entry has; empty if it has none.
    pub name: CompactString,
    /// Field at fault.
    pub field: &'static str,
}

/// Where a fault is, such as `pools[0] "restoration" queue_limit`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FaultPath {
    /// Section of the configuration.
    pub section: Section,
    /// Entry of the section; none if the section as a whole is at fault.
    pub entry: Option<Entry>,
}

impl fmt::Display for FaultPath {
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

/// What is wrong.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum FaultKind {
    /// A section that must have entries has none.
    #[display("must have at least one entry")]
    Empty,
    /// A section has more than [`MAX_SECTION_LEN`] entries.
    #[display("has {len} entries, at most {MAX_SECTION_LEN} are allowed")]
    TooMany {
        /// Entries that it has.
        len: usize,
    },
    /// A text is no identifier.
    #[display("{value:?}: {cause}")]
    BadName {
        /// Text that was given.
        value: String,
        /// Why it is no identifier.
        #[error(source)]
        cause: IdError,
    },
    /// The name of a route cannot stand in a request path.
    #[display("{value:?} cannot stand in a request path: '/' and ':' are not allowed here")]
    NotInPath {
        /// Name that was given.
        value: String,
    },
    /// A name was given before in the same section.
    #[display("{value:?} is the name of entry {first} too")]
    DuplicateName {
        /// Name that was given.
        value: String,
        /// Entry that has it too.
        first: usize,
    },
    /// An address was given before.
    #[display("{value} is the address of entry {first} too")]
    DuplicateAddress {
        /// Address that was given.
        value: SocketAddr,
        /// Entry that has it too.
        first: usize,
    },
    /// A text is no IP number with a port that can be connected to.
    #[display("{value:?} is no IP number and port that can be connected to, such as 10.0.0.1:8000")]
    BadAddress {
        /// Text that was given.
        value: String,
    },
    /// No pool has the name.
    #[display("there is no pool {value:?}")]
    UnknownPool {
        /// Name that was given.
        value: String,
    },
    /// A number is out of range.
    #[display("{value} is out of range, {min} to {max} is allowed")]
    OutOfRange {
        /// Number that was given.
        value: u64,
        /// Lowest number allowed.
        min: u64,
        /// Highest number allowed.
        max: u64,
    },
    /// A number names no value of an enumeration.
    #[display("{value} names no value that is known")]
    UnknownValue {
        /// Number that was given.
        value: i32,
    },
    /// The kind of an endpoint is not what its pool holds.
    #[display("{kind} does not fit pool {pool:?}, which {}", pool_holds(*pool_has_model))]
    KindMismatch {
        /// Kind of the endpoint, by name.
        kind: &'static str,
        /// Pool of the endpoint.
        pool: String,
        /// Whether the pool has a model.
        pool_has_model: bool,
    },
    /// A pool has no endpoints.
    #[display("no endpoint belongs to the pool")]
    NoEndpoints,
    /// The capacity floor keeps every engine in service, so that none could load weights.
    #[display("{percent} % of {engines} engines lets none of them load weights")]
    FloorForbidsLoads {
        /// Floor that was given.
        percent: u32,
        /// Engines of the pool that are not leaving.
        engines: usize,
    },
    /// An availability zone is said to be in two regions.
    #[display("availability zone {zone:?} is in region {first:?} by an earlier endpoint")]
    ZoneInTwoRegions {
        /// Availability zone.
        zone: String,
        /// Region that an earlier endpoint gave.
        first: String,
    },
    /// A route for plain services names a pool of engines.
    #[display("pool {pool:?} holds model engines, a route needs a pool of plain services")]
    RouteToEngines {
        /// Pool that was given.
        pool: String,
    },
    /// A route may repeat requests and yet restricts them while the log is down.
    #[display("first_attempt_only contradicts idempotent = true")]
    ContradictoryRoute,
}

fn pool_holds(has_model: bool) -> &'static str {
    if has_model {
        "has a model and holds model engines"
    } else {
        "has no model and holds plain services"
    }
}

/// A fault of a configuration.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{path}: {kind}")]
pub struct Fault {
    /// Where it is.
    pub path: FaultPath,
    /// What is wrong.
    #[error(source)]
    pub kind: FaultKind,
}

/// Returns everything that is wrong with a configuration, in the order of the file.
#[must_use]
pub fn validate(configuration: &Configuration) -> Vec<Fault> {
    let mut check = Check::default();
    check.pools(configuration);
    check.endpoints(configuration);
    check.callers(configuration);
    check.routes(configuration);
    check.faults
}

/// One entry under check.
struct Subject<'a> {
    section: Section,
    index: usize,
    name: &'a str,
}

impl Subject<'_> {
    fn path(&self, field: &'static str) -> FaultPath {
        FaultPath {
            section: self.section,
            entry: Some(Entry {
                index: self.index,
                name: CompactString::from(self.name),
                field,
            }),
        }
    }
}

/// Entry that has a name.
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

/// Returns the entries of a section, each with its place for faults.
fn subjects<T: Named>(section: Section, entries: &[T]) -> impl Iterator<Item = (Subject<'_>, &T)> {
    entries.iter().enumerate().map(move |(index, entry)| {
        let name = entry.name();
        let subject = Subject {
            section,
            index,
            name,
        };
        (subject, entry)
    })
}

#[derive(Default)]
struct Check {
    faults: Vec<Fault>,
}

impl Check {
    fn pools(&mut self, configuration: &Configuration) {
        let section = Section::Pools;
        if configuration.pools.is_empty() {
            self.section_fault(section, FaultKind::Empty);
        }
        self.section(section, &configuration.pools);
        for (subject, pool) in subjects(section, &configuration.pools) {
            self.pool(&subject, pool, configuration);
        }
    }

    fn pool(&mut self, subject: &Subject<'_>, pool: &Pool, configuration: &Configuration) {
        let cap = u64::from(pool.interactive_cap_percent);
        self.range(
            subject,
            "interactive_cap_percent",
            cap,
            INTERACTIVE_CAP_PERCENT,
        );
        self.range(
            subject,
            "queue_limit",
            u64::from(pool.queue_limit),
            QUEUE_LIMIT,
        );
        self.range(subject, "quarantine_ms", pool.quarantine_ms, QUARANTINE_MS);
        if !pool.scorer_address.is_empty() {
            self.address(subject, "scorer_address", &pool.scorer_address);
        }
        if pool.model.is_empty() {
            self.plain_pool(subject, pool);
        } else {
            self.model_pool(subject, pool, configuration);
        }
        let mut endpoints = configuration.endpoints.iter();
        if !endpoints.any(|endpoint| endpoint.pool == pool.name) {
            self.fault(subject, "name", FaultKind::NoEndpoints);
        }
    }

    fn plain_pool(&mut self, subject: &Subject<'_>, pool: &Pool) {
        let floor = u64::from(pool.capacity_floor_percent);
        self.range(subject, "capacity_floor_percent", floor, PERCENT);
        if pool.silence_timeout_ms != 0 {
            let timeout_ms = pool.silence_timeout_ms;
            self.range(
                subject,
                "silence_timeout_ms",
                timeout_ms,
                SILENCE_TIMEOUT_MS,
            );
        }
    }

    fn model_pool(&mut self, subject: &Subject<'_>, pool: &Pool, configuration: &Configuration) {
        self.name(subject, "model", &pool.model);
        let bound = u64::from(pool.staleness_bound_versions);
        self.range(
            subject,
            "staleness_bound_versions",
            bound,
            STALENESS_BOUND_VERSIONS,
        );
        let loads = u64::from(pool.concurrent_loads);
        self.range(subject, "concurrent_loads", loads, CONCURRENT_LOADS);
        let timeout_ms = pool.silence_timeout_ms;
        self.range(
            subject,
            "silence_timeout_ms",
            timeout_ms,
            SILENCE_TIMEOUT_MS,
        );
        let percent = pool.capacity_floor_percent;
        let floor = u64::from(percent);
        let before = self.faults.len();
        self.range(
            subject,
            "capacity_floor_percent",
            floor,
            CAPACITY_FLOOR_PERCENT,
        );
        let endpoints = configuration.endpoints.iter();
        let engines = endpoints
            .filter(|endpoint| endpoint.pool == pool.name && !endpoint.leaving)
            .count();
        let in_range = self.faults.len() == before;
        if in_range && engines > 0 && loads_at_once(engines, percent) == 0 {
            let kind = FaultKind::FloorForbidsLoads { percent, engines };
            self.fault(subject, "capacity_floor_percent", kind);
        }
    }

    fn endpoints(&mut self, configuration: &Configuration) {
        let section = Section::Endpoints;
        self.section(section, &configuration.endpoints);
        let models: HashMap<&str, bool> = configuration
            .pools
            .iter()
            .map(|pool| (pool.name.as_str(), !pool.model.is_empty()))
            .collect();
        let mut addresses = HashMap::new();
        let mut regions = HashMap::new();
        for (subject, endpoint) in subjects(section, &configuration.endpoints) {
            let index = subject.index;
            self.endpoint(&subject, endpoint, models.get(endpoint.pool.as_str()));
            if let Some(address) = self.address(&subject, "address", &endpoint.address) {
                let first = *addresses.entry(address).or_insert(index);
                if first != index {
                    let value = address;
                    let kind = FaultKind::DuplicateAddress { value, first };
                    self.fault(&subject, "address", kind);
                }
            }
            let zone = endpoint.availability_zone.as_str();
            let region = endpoint.region.as_str();
            let first = *regions.entry(zone).or_insert(region);
            if first != region {
                let kind = FaultKind::ZoneInTwoRegions {
                    zone: zone.to_owned(),
                    first: first.to_owned(),
                };
                self.fault(&subject, "region", kind);
            }
        }
    }

    fn endpoint(&mut self, subject: &Subject<'_>, endpoint: &Endpoint, has_model: Option<&bool>) {
        self.name(subject, "availability_zone", &endpoint.availability_zone);
        self.name(subject, "region", &endpoint.region);
        self.range(subject, "slots", u64::from(endpoint.slots), SLOTS);
        let kind = EndpointKind::try_from(endpoint.kind);
        let Ok(kind) = kind else {
            let value = endpoint.kind;
            return self.fault(subject, "kind", FaultKind::UnknownValue { value });
        };
        let Some(&pool_has_model) = has_model else {
            let value = endpoint.pool.clone();
            return self.fault(subject, "pool", FaultKind::UnknownPool { value });
        };
        if pool_has_model != (kind == EndpointKind::ModelEngine) {
            let fault = FaultKind::KindMismatch {
                kind: kind.as_str_name(),
                pool: endpoint.pool.clone(),
                pool_has_model,
            };
            self.fault(subject, "kind", fault);
        }
    }

    fn callers(&mut self, configuration: &Configuration) {
        let section = Section::Callers;
        self.section(section, &configuration.callers);
        for (subject, caller) in subjects(section, &configuration.callers) {
            self.caller(&subject, caller);
        }
    }

    fn caller(&mut self, subject: &Subject<'_>, caller: &Caller) {
        if Priority::try_from(caller.priority).is_err() {
            let value = caller.priority;
            self.fault(subject, "priority", FaultKind::UnknownValue { value });
        }
        let weight = u64::from(caller.share_weight);
        self.range(subject, "share_weight", weight, SHARE_WEIGHT);
        let in_flight = u64::from(caller.in_flight_limit);
        self.range(subject, "in_flight_limit", in_flight, IN_FLIGHT_LIMIT);
        let rate = u64::from(caller.rate_limit_per_s);
        self.range(subject, "rate_limit_per_s", rate, RATE_LIMIT_PER_S);
    }

    fn routes(&mut self, configuration: &Configuration) {
        let section = Section::Routes;
        self.section(section, &configuration.routes);
        for (subject, route) in subjects(section, &configuration.routes) {
            self.route(&subject, route, configuration);
        }
    }

    fn route(&mut self, subject: &Subject<'_>, route: &Route, configuration: &Configuration) {
        if route.name.contains(['/', ':']) {
            let value = route.name.clone();
            self.fault(subject, "name", FaultKind::NotInPath { value });
        }
        self.range(subject, "timeout_ms", route.timeout_ms, ROUTE_TIMEOUT_MS);
        let pool = configuration.pools.iter().find(|p| p.name == route.pool);
        match pool {
            None => {
                let value = route.pool.clone();
                self.fault(subject, "pool", FaultKind::UnknownPool { value });
            }
            Some(pool) if !pool.model.is_empty() => {
                let pool = pool.name.clone();
                self.fault(subject, "pool", FaultKind::RouteToEngines { pool });
            }
            Some(_) => {}
        }
        match LogOutagePolicy::try_from(route.log_outage) {
            Err(_) => {
                let value = route.log_outage;
                self.fault(subject, "log_outage", FaultKind::UnknownValue { value });
            }
            Ok(LogOutagePolicy::FirstAttemptOnly) if route.idempotent => {
                self.fault(subject, "log_outage", FaultKind::ContradictoryRoute);
            }
            Ok(_) => {}
        }
    }

    /// Checks the length of a section and the names in it.
    fn section<T: Named>(&mut self, section: Section, entries: &[T]) {
        let len = entries.len();
        if len > MAX_SECTION_LEN {
            self.section_fault(section, FaultKind::TooMany { len });
        }
        let mut first_by_name = HashMap::new();
        for (subject, entry) in subjects(section, entries) {
            let name = entry.name();
            self.name(&subject, "name", name);
            let first = *first_by_name.entry(name).or_insert(subject.index);
            if first != subject.index {
                let value = name.to_owned();
                self.fault(&subject, "name", FaultKind::DuplicateName { value, first });
            }
        }
    }

    fn name(&mut self, subject: &Subject<'_>, field: &'static str, text: &str) {
        if let Err(cause) = RouteId::from_str(text) {
            let value = text.to_owned();
            self.fault(subject, field, FaultKind::BadName { value, cause });
        }
    }

    fn address(
        &mut self,
        subject: &Subject<'_>,
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
            self.fault(subject, field, FaultKind::BadAddress { value });
        }
        address
    }

    fn range(
        &mut self,
        subject: &Subject<'_>,
        field: &'static str,
        value: u64,
        allowed: RangeInclusive<u64>,
    ) {
        if allowed.contains(&value) {
            return;
        }
        let (min, max) = allowed.into_inner();
        self.fault(subject, field, FaultKind::OutOfRange { value, min, max });
    }

    fn fault(&mut self, subject: &Subject<'_>, field: &'static str, kind: FaultKind) {
        let path = subject.path(field);
        self.faults.push(Fault { path, kind });
    }

    fn section_fault(&mut self, section: Section, kind: FaultKind) {
        let path = FaultPath {
            section,
            entry: None,
        };
        self.faults.push(Fault { path, kind });
    }
}

/// Returns how many of `engines` may be out of service under a capacity floor.
#[must_use]
pub fn loads_at_once(engines: usize, capacity_floor_percent: u32) -> usize {
    let kept = (engines * capacity_floor_percent as usize).div_ceil(100);
    engines.saturating_sub(kept)
}
