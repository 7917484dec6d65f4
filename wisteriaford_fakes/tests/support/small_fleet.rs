//! Fleet of three instances and two engines.

use std::time::Duration;

use wisteriaford_core::configuration::publish;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::PublicationId;
use wisteriaford_core::id::Revision;
use wisteriaford_core::id::Version;
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

/// Model of the pool.
pub(crate) const MODEL: &str = "restorer";
const ZONES: [&str; 2] = ["a", "b"];

fn pool() -> Pool {
    Pool {
        name: "restoration".into(),
        model: MODEL.into(),
        staleness_bound_versions: 1,
        capacity_floor_percent: 50,
        concurrent_loads: 1,
        interactive_cap_percent: 80,
        queue_limit: 1_000,
        silence_timeout_ms: 2_000,
        quarantine_ms: 60_000,
        scorer_address: "127.0.0.1:1".into(),
    }
}

fn endpoint(index: u32) -> Endpoint {
    Endpoint {
        name: format!("engine-{index}"),
        pool: "restoration".into(),
        address: format!("127.0.0.1:{}", 7_000 + index),
        availability_zone: ZONES[index as usize % 2].into(),
        region: "r".into(),
        slots: 8,
        honours_fencing: true,
        ..Endpoint::default()
    }
}

fn caller(name: &str, priority: Priority) -> Caller {
    Caller {
        name: name.into(),
        priority: priority.into(),
        share_weight: 1,
        in_flight_limit: 1_000,
        rate_limit_per_s: 1_000,
    }
}

pub(crate) fn configuration() -> Configuration {
    Configuration {
        pools: vec![pool()],
        endpoints: (0..2).map(endpoint).collect(),
        callers: vec![
            caller("portal", Priority::Interactive),
            caller("trainer", Priority::Batch),
        ],
        routes: Vec::new(),
    }
}

/// Starts three instances and two engines and waits until the configuration is in force.
pub(crate) fn fleet() -> (Fleet, Vec<InstanceId>) {
    let mut fleet = Fleet::new(FleetSettings::default());
    for index in 0..2 {
        let endpoint = endpoint(index);
        let engine = Engine::new(EngineSettings::default());
        let address = compact_str::CompactString::from(endpoint.address);
        fleet.engines.insert(address, engine);
    }
    fleet.models.insert(ModelId::from(MODEL), Version(1));
    let names = [("i-1", "a"), ("i-2", "b"), ("i-3", "a")];
    let instances = names.map(|(name, zone)| fleet.start(name, zone, "r"));
    let id = PublicationId::from("p-1");
    let publication = publish(&id, Revision(0), configuration(), "operator");
    let kind = Some(Kind::Publication(publication));
    fleet.append(LogStream::Configuration, &Record { kind });
    fleet.run_for(Duration::from_secs(8));
    (fleet, instances.to_vec())
}

/// Returns a generation request of the interactive caller.
pub(crate) fn generation(prompt: &str) -> CallerRequest {
    CallerRequest::Generate {
        request: None,
        caller: CallerId::from("portal"),
        pool: PoolId::from("restoration"),
        prompt: prompt.into(),
        max_tokens: 200,
        timeout: None,
    }
}
