//! Fleets of any size in two regions with five availability zones.

use std::time::Duration;

use compact_str::CompactString;
use wisteriaford_core::configuration::publish;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::AvailabilityZone;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::PublicationId;
use wisteriaford_core::id::Region;
use wisteriaford_core::id::Revision;
use wisteriaford_core::id::Version;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::record::record::Kind;
use wisteriaford_proto::settings::Caller;
use wisteriaford_proto::settings::Configuration;
use wisteriaford_proto::settings::Endpoint;
use wisteriaford_proto::settings::EndpointKind;
use wisteriaford_proto::settings::LogOutagePolicy;
use wisteriaford_proto::settings::Pool;
use wisteriaford_proto::settings::Priority;
use wisteriaford_proto::settings::Route;

use crate::engine::Engine;
use crate::engine::EngineSettings;
use crate::fleet::Fleet;
use crate::fleet::FleetSettings;
use crate::service::Service;

const ZONES: [(&str, &str); 5] = [
    ("a", "north"),
    ("b", "north"),
    ("c", "north"),
    ("d", "south"),
    ("e", "south"),
];
const SILENCE_TIMEOUT_MS: u64 = 2_000;
const QUARANTINE_MS: u64 = 60_000;
const ROUTE_TIMEOUT_MS: u64 = 20_000;
/// Caller limit that no test reaches.
const UNLIMITED: u32 = 1_000_000;

/// Size of a fleet and of its endpoints and callers.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of instances.
    pub instances: usize,
    /// Number of model engines, all in one pool.
    pub engines: usize,
    /// Number of plain services, all in one pool.
    pub services: usize,
    /// Number of trainers.
    pub trainers: usize,
    /// Maximum number of concurrent loads from the weight store.
    pub concurrent_loads: usize,
    /// Percentage of engines that stay in service during a weight rollout.
    pub capacity_floor_percent: u32,
    /// Settings of each engine.
    pub engine: EngineSettings,
    /// Settings of the fleet.
    pub fleet: FleetSettings,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            instances: 10,
            engines: 15,
            services: 1,
            trainers: 1,
            concurrent_loads: 2,
            capacity_floor_percent: 50,
            engine: EngineSettings::default(),
            fleet: FleetSettings::default(),
        }
    }
}

impl Layout {
    /// Time within which all instances join and apply the configuration, for any fleet size.
    pub const JOIN_TIME: Duration = Duration::from_secs(30);
    /// Model that all engines run.
    pub const MODEL: &'static str = "restorer";
    /// Pool of the engines.
    pub const POOL: &'static str = "restoration";
    /// Interactive caller.
    pub const CALLER: &'static str = "portal";
    /// Route to the plain services. Its calls are not idempotent.
    pub const ROUTE: &'static str = "payments";

    /// Returns the availability zone and region of the instance or endpoint with this index.
    #[must_use]
    pub fn location(index: usize) -> (&'static str, &'static str) {
        ZONES[index % ZONES.len()]
    }

    /// Returns the name of the trainer with this index.
    #[must_use]
    pub fn trainer(index: usize) -> String {
        format!("trainer-{index}")
    }

    /// Returns the configuration of a fleet of this size.
    #[must_use]
    pub fn configuration(&self) -> Configuration {
        let engines = (0..self.engines).map(|index| self.endpoint(index));
        let services = (0..self.services).map(service);
        let trainers = (0..self.trainers).map(|i| caller(&Self::trainer(i), Priority::Batch));
        let interactive = caller(Self::CALLER, Priority::Interactive);
        Configuration {
            pools: vec![self.pool(), service_pool()],
            endpoints: engines.chain(services).collect(),
            callers: std::iter::once(interactive).chain(trainers).collect(),
            routes: vec![Route {
                name: Self::ROUTE.into(),
                pool: "services".into(),
                idempotent: false,
                timeout_ms: ROUTE_TIMEOUT_MS,
                log_outage: LogOutagePolicy::Refuse.into(),
            }],
        }
    }

    /// Starts a fleet of this size and publishes its configuration.
    #[must_use]
    pub fn start(&self) -> (Fleet, Vec<InstanceId>) {
        let mut settings = self.fleet.clone();
        settings.concurrent_loads = self.concurrent_loads;
        let mut fleet = Fleet::new(settings);
        let configuration = self.configuration();
        for (index, endpoint) in configuration.endpoints.iter().enumerate() {
            let address = CompactString::from(endpoint.address.as_str());
            if index < self.engines {
                let engine = Engine::new(self.engine.clone());
                fleet.engines.insert(address.clone(), engine);
            } else {
                fleet.services.insert(address.clone(), Service::default());
            }
            let zone = AvailabilityZone::from(endpoint.availability_zone.as_str());
            let region = Region::from(endpoint.region.as_str());
            fleet.endpoint_locations.insert(address, (zone, region));
        }
        fleet.models.insert(ModelId::from(Self::MODEL), Version(1));
        Self::publish(&mut fleet, "p-1", Revision(0), configuration);
        let start = |index| {
            let (zone, region) = Self::location(index);
            fleet.start(&format!("i-{index}"), zone, region)
        };
        let instances = (0..self.instances).map(start).collect();
        (fleet, instances)
    }

    /// Publishes a configuration on behalf of an operator.
    pub fn publish(fleet: &mut Fleet, id: &str, base: Revision, configuration: Configuration) {
        let publication = publish(&PublicationId::from(id), base, configuration, "operator");
        let kind = Some(Kind::Publication(publication));
        fleet.append(LogStream::Configuration, &Record { kind });
    }

    fn pool(&self) -> Pool {
        Pool {
            name: Self::POOL.into(),
            model: Self::MODEL.into(),
            staleness_bound_versions: 1,
            capacity_floor_percent: self.capacity_floor_percent,
            concurrent_loads: u32::try_from(self.concurrent_loads).unwrap_or(u32::MAX),
            interactive_cap_percent: 80,
            queue_limit: 1_000,
            silence_timeout_ms: SILENCE_TIMEOUT_MS,
            quarantine_ms: QUARANTINE_MS,
            scorer_address: String::new(),
        }
    }

    fn endpoint(&self, index: usize) -> Endpoint {
        let (zone, region) = Self::location(index);
        Endpoint {
            name: format!("engine-{index}"),
            pool: Self::POOL.into(),
            address: address(1, index),
            availability_zone: zone.into(),
            region: region.into(),
            slots: u32::try_from(self.engine.slots).unwrap_or(u32::MAX),
            honours_fencing: true,
            ..Endpoint::default()
        }
    }
}

fn service_pool() -> Pool {
    Pool {
        name: "services".into(),
        interactive_cap_percent: 80,
        queue_limit: 1_000,
        silence_timeout_ms: SILENCE_TIMEOUT_MS,
        quarantine_ms: QUARANTINE_MS,
        ..Pool::default()
    }
}

fn service(index: usize) -> Endpoint {
    let (zone, region) = Layout::location(index);
    Endpoint {
        name: format!("service-{index}"),
        pool: "services".into(),
        kind: EndpointKind::PlainService.into(),
        address: address(2, index),
        availability_zone: zone.into(),
        region: region.into(),
        slots: 64,
        ..Endpoint::default()
    }
}

fn caller(name: &str, priority: Priority) -> Caller {
    Caller {
        name: name.into(),
        priority: priority.into(),
        share_weight: 1,
        in_flight_limit: UNLIMITED,
        rate_limit_per_s: UNLIMITED,
    }
}

fn address(network: usize, index: usize) -> String {
    format!("10.{network}.{}.{}:7500", index / 250, index % 250 + 1)
}
