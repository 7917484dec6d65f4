//! Scenarios: users, cases, and the fleet that a run starts from.

use std::sync::Arc;
use std::time::Duration;

use clap::ValueEnum;
use compact_str::CompactString;
use compact_str::format_compact;
use serde::Serialize;
use wisteriaford_core::configuration::publish;
use wisteriaford_core::event::InstanceIdentity;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::AvailabilityZone;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::PublicationId;
use wisteriaford_core::id::Region;
use wisteriaford_core::id::Revision;
use wisteriaford_core::id::Version;
use wisteriaford_fakes::Engine;
use wisteriaford_fakes::EngineSettings;
use wisteriaford_fakes::EventHandler;
use wisteriaford_fakes::Fleet;
use wisteriaford_fakes::FleetSettings;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::record::record::Kind;
use wisteriaford_proto::settings::Caller;
use wisteriaford_proto::settings::Configuration;
use wisteriaford_proto::settings::Endpoint;
use wisteriaford_proto::settings::Pool;
use wisteriaford_proto::settings::Priority;

use super::naive::EndpointTable;
use super::naive::Naive;

/// Pool of the engines that serve the trained model.
pub const TRAINED: &str = "trained";
/// Pool of the engines that serve interactive callers only.
pub const PORTAL: &str = "portal";
/// Number of engines of the trained pool.
pub const TRAINED_ENGINES: usize = 12;
/// Number of engines of the interactive pool.
pub const PORTAL_ENGINES: usize = 3;
/// Number of trainers.
pub const TRAINERS: usize = 3;
/// Text in a prompt that crashes the engine which runs it.
pub const CRASH_MARKER: &str = "crash-marker";
/// Share of the slots that interactive callers may occupy, in percent.
pub const INTERACTIVE_CAP_PERCENT: u32 = 80;
/// Maximum number of versions by which a sample may be behind the trainer's weights.
pub const STALENESS_BOUND_VERSIONS: u64 = 1;

const SCORER: &str = "127.0.0.1:1";
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// User whose fleet size is simulated.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum User {
    /// Office National de Restauration Photographique.
    Office,
    /// Passeport Costumé.
    Passeport,
}

/// Fault or load of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    /// No faults and no trainers: the baseline of the interactive latency.
    Idle,
    /// No faults.
    NoFault,
    /// An engine crashes every minute and restarts after ten seconds.
    EngineCrash,
    /// The next three loads of new weights fail on two engines, every minute.
    SwapFails,
    /// An instance is killed every minute and restarted after fifteen seconds.
    InstanceKilled,
    /// The log is down for two thirds of the time.
    LogDown,
    /// A request that crashes its endpoint arrives every minute, and its caller retries it.
    CrashingRequest,
    /// One interactive caller sends ten times its usual rate for half of the time.
    Burst,
    /// All faults and the burst at the same time.
    AllAtOnce,
}

/// Implementation that makes the decisions in the instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decider {
    /// The core.
    Design,
    /// The naive implementation.
    Naive,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// User whose fleet size is simulated.
    pub user: User,
    /// Fault or load.
    pub case: Case,
    /// Implementation of the instances.
    pub decider: Decider,
    /// Seed of the arrivals and of the instances.
    pub seed: u64,
    /// Virtual time of the run.
    pub length: Duration,
}

impl User {
    /// All users, in the order of the table.
    pub const ALL: [Self; 2] = [Self::Office, Self::Passeport];

    fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Office => ["ariana", "la-marsa", "carthage"],
            Self::Passeport => ["a", "b", "c"],
        }
    }

    fn region(self) -> &'static str {
        match self {
            Self::Office => "tunis-nord",
            Self::Passeport => "qc-east",
        }
    }

    fn instances(self) -> usize {
        match self {
            Self::Office => 9,
            Self::Passeport => 10,
        }
    }

    fn zone_latency(self) -> Duration {
        match self {
            Self::Office => Duration::from_millis(1),
            Self::Passeport => Duration::from_micros(1_500),
        }
    }

    /// Returns the one-way latency between clients and instances.
    #[must_use]
    pub fn client_latency(self) -> Duration {
        match self {
            Self::Office => Duration::from_millis(1),
            Self::Passeport => Duration::from_millis(3),
        }
    }
}

impl Case {
    /// Cases that run with both implementations, in the order of the table.
    pub const ALL: [Self; 8] = [
        Self::NoFault,
        Self::EngineCrash,
        Self::SwapFails,
        Self::InstanceKilled,
        Self::LogDown,
        Self::CrashingRequest,
        Self::Burst,
        Self::AllAtOnce,
    ];

    /// Returns whether this case includes the fault or load of another.
    #[must_use]
    pub fn includes(self, other: Self) -> bool {
        self == other || (self == Self::AllAtOnce && other != Self::Idle)
    }
}

impl Scenario {
    /// Starts the fleet, publishes its configuration and returns the fleet and its instances.
    #[must_use]
    pub fn fleet(&self) -> (Fleet, Vec<InstanceId>) {
        let mut fleet = Fleet::new(self.fleet_settings());
        let endpoints = self.endpoints();
        for endpoint in &endpoints {
            self.add_engine(&mut fleet, endpoint);
        }
        fleet.models.insert(ModelId::from(TRAINED), Version(1));
        fleet.models.insert(ModelId::from(PORTAL), Version(1));
        if self.decider == Decider::Naive {
            let endpoint_table = Arc::new(EndpointTable::from(endpoints.as_slice()));
            let make_naive = move |identity: &InstanceIdentity| {
                let naive = Naive::new(identity.id.clone(), Arc::clone(&endpoint_table));
                Box::new(naive) as Box<dyn EventHandler>
            };
            fleet.handler_factory = Some(Box::new(make_naive));
        }
        let zones = self.user.zones();
        let start = |index: usize| {
            let name = format_compact!("instance-{index:02}");
            fleet.start(&name, zones[index % zones.len()], self.user.region())
        };
        let instances = (0..self.user.instances()).map(start).collect();
        let id = PublicationId::from("publication-1");
        let publication = publish(&id, Revision(0), configuration(endpoints), "operator");
        let kind = Some(Kind::Publication(publication));
        fleet.append(LogStream::Configuration, &Record { kind });
        fleet.run_for(SETTLE_TIME);
        (fleet, instances)
    }

    fn fleet_settings(&self) -> FleetSettings {
        FleetSettings {
            seed: self.seed,
            region_latency: self.user.zone_latency(),
            keeps_finished: true,
            ..FleetSettings::default()
        }
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let zones = self.user.zones();
        let endpoint = |index: usize| {
            let pool = if index < TRAINED_ENGINES {
                TRAINED
            } else {
                PORTAL
            };
            Endpoint {
                name: format!("engine-{index:02}"),
                pool: pool.into(),
                address: format!("127.0.0.1:{}", 7_000 + index),
                availability_zone: zones[index % zones.len()].into(),
                region: self.user.region().into(),
                slots: u32::try_from(EngineSettings::default().slots).unwrap_or(u32::MAX),
                honours_fencing: true,
                ..Endpoint::default()
            }
        };
        (0..TRAINED_ENGINES + PORTAL_ENGINES)
            .map(endpoint)
            .collect()
    }

    fn add_engine(&self, fleet: &mut Fleet, endpoint: &Endpoint) {
        let mut engine = Engine::new(EngineSettings::default());
        engine.crash_marker = Some(CRASH_MARKER.into());
        let address = CompactString::from(&endpoint.address);
        fleet.engines.insert(address.clone(), engine);
        let zone = AvailabilityZone::from(endpoint.availability_zone.as_str());
        let region = Region::from(self.user.region());
        fleet.endpoint_locations.insert(address, (zone, region));
    }
}

/// Returns the name of a trainer.
#[must_use]
pub fn trainer(index: usize) -> CompactString {
    format_compact!("trainer-{index}")
}

fn pool(name: &str, scorer_address: &str) -> Pool {
    Pool {
        name: name.into(),
        model: name.into(),
        staleness_bound_versions: u32::try_from(STALENESS_BOUND_VERSIONS).unwrap_or(u32::MAX),
        capacity_floor_percent: 50,
        concurrent_loads: 2,
        interactive_cap_percent: INTERACTIVE_CAP_PERCENT,
        queue_limit: 500,
        silence_timeout_ms: 2_000,
        quarantine_ms: 600_000,
        scorer_address: scorer_address.into(),
    }
}

fn caller(name: &str, priority: Priority) -> Caller {
    Caller {
        name: name.into(),
        priority: priority.into(),
        share_weight: 1,
        in_flight_limit: 4_096,
        rate_limit_per_s: 10_000,
    }
}

fn configuration(endpoints: Vec<Endpoint>) -> Configuration {
    let interactive = super::callers::INTERACTIVE_CALLERS.iter();
    let interactive = interactive.map(|kind| caller(kind.name, Priority::Interactive));
    let trainers = (0..TRAINERS).map(|index| caller(&trainer(index), Priority::Batch));
    Configuration {
        pools: vec![pool(TRAINED, SCORER), pool(PORTAL, "")],
        endpoints,
        callers: interactive.chain(trainers).collect(),
        routes: Vec::new(),
    }
}
