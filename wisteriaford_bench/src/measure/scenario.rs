//! What is measured: users, cases, and the fleet that they start from.

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
use wisteriaford_fakes::Decide;
use wisteriaford_fakes::Engine;
use wisteriaford_fakes::EngineSettings;
use wisteriaford_fakes::Fleet;
use wisteriaford_fakes::FleetSettings;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::record::record::Kind;
use wisteriaford_proto::settings::Caller;
use wisteriaford_proto::settings::Configuration;
use wisteriaford_proto::settings::Endpoint;
use wisteriaford_proto::settings::Pool;
use wisteriaford_proto::settings::Priority;

use super::naive::Naive;
use super::naive::Plan;

/// Pool of the engines that serve the trained model.
pub const TRAINED: &str = "trained";
/// Pool of the engines that serve interactive callers alone.
pub const PORTAL: &str = "portal";
/// Engines of the trained pool.
pub const TRAINED_ENGINES: usize = 12;
/// Engines of the interactive pool.
pub const PORTAL_ENGINES: usize = 3;
/// Trainers.
pub const TRAINERS: usize = 3;
/// Text that crashes an engine which runs it.
pub const CRASH_MARKER: &str = "crash-marker";
/// Part of the slots that interactive callers may fill, in percent.
pub const INTERACTIVE_CAP_PERCENT: u32 = 80;
/// Oldest weights that a sample may name, in versions behind the trainer's.
pub const STALENESS_BOUND_VERSIONS: u64 = 1;

const SCORER: &str = "127.0.0.1:1";
const SETTLE: Duration = Duration::from_secs(10);

/// User whose size is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum User {
    /// Office National de Restauration Photographique.
    Office,
    /// Passeport Costumé.
    Passeport,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    /// Nothing, and no trainer works: what interactive latency is compared with.
    Idle,
    /// Nothing.
    NoFault,
    /// An engine crashes every minute and is back after ten seconds.
    EngineCrash,
    /// At each new version two engines fail to load it three times.
    SwapFails,
    /// An instance is killed every minute and started again after fifteen seconds.
    InstanceKilled,
    /// The log is down for two thirds of the time.
    LogDown,
    /// A request that crashes its endpoint comes every minute, and its caller sends it again.
    CrashingRequest,
    /// One interactive caller sends ten times as much for half of the time.
    Burst,
    /// All of them.
    AllAtOnce,
}

/// What decides in the instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decider {
    /// The core.
    Design,
    /// The naive version.
    Naive,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// User whose size it has.
    pub user: User,
    /// What goes wrong.
    pub case: Case,
    /// What decides.
    pub decider: Decider,
    /// Seed of arrivals and of the instances.
    pub seed: u64,
    /// Virtual time that is measured.
    pub length: Duration,
}

impl User {
    /// Users, in the order of the table.
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
    /// Cases that are compared, in the order of the table.
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

    /// Returns whether this case holds what another alone stands for.
    #[must_use]
    pub fn includes(self, other: Self) -> bool {
        self == other || (self == Self::AllAtOnce && other != Self::Idle)
    }
}

impl Scenario {
    /// Returns the fleet with the configuration in force, and its instances.
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
            let plan = Arc::new(Plan::from(endpoints.as_slice()));
            let maker = move |identity: &InstanceIdentity| {
                let naive = Naive::new(identity.id.clone(), Arc::clone(&plan));
                Box::new(naive) as Box<dyn Decide>
            };
            fleet.maker = Some(Box::new(maker));
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
        fleet.run_for(SETTLE);
        (fleet, instances)
    }

    fn fleet_settings(&self) -> FleetSettings {
        FleetSettings {
            seed: self.seed,
            region_latency: self.user.zone_latency(),
            is_traced: true,
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
        fleet.zones.insert(address, (zone, region));
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
    let interactive = super::callers::INTERACTIVE.iter();
    let interactive = interactive.map(|kind| caller(kind.name, Priority::Interactive));
    let trainers = (0..TRAINERS).map(|index| caller(&trainer(index), Priority::Batch));
    Configuration {
        pools: vec![pool(TRAINED, SCORER), pool(PORTAL, "")],
        endpoints,
        callers: interactive.chain(trainers).collect(),
        routes: Vec::new(),
    }
}
