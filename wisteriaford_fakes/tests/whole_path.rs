//! The whole path in virtual time: configuration, calls, steps and new weights.

use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::configuration::publish;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::PublicationId;
use wisteriaford_core::id::PullNumber;
use wisteriaford_core::id::Revision;
use wisteriaford_core::id::StepNumber;
use wisteriaford_core::id::Version;
use wisteriaford_core::reply::Reply;
use wisteriaford_core::step::StepSpec;
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

const MODEL: &str = "restorer";
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

fn configuration() -> Configuration {
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

fn fleet() -> (Fleet, Vec<InstanceId>) {
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

fn pull(number: u64, received: Vec<u8>, version: u64) -> CallerRequest {
    CallerRequest::Pull {
        trainer: CallerId::from("trainer"),
        step: StepNumber(1),
        pool: PoolId::from("restoration"),
        pull: PullNumber(number),
        current_version: Version(version),
        received,
        wait: Duration::from_secs(2),
        spec: Some(Arc::new(StepSpec {
            group_size: 4,
            max_tokens: 400,
            prompts: (0..8).map(|group| format!("prompt {group}")).collect(),
        })),
    }
}

fn generation(prompt: &str) -> CallerRequest {
    CallerRequest::Generate {
        request: None,
        caller: CallerId::from("portal"),
        pool: PoolId::from("restoration"),
        prompt: prompt.into(),
        max_tokens: 200,
        timeout: None,
    }
}

#[test]
fn generation_is_answered_whole_through_any_instance() {
    let (mut fleet, instances) = fleet();

    let tickets: Vec<_> = instances
        .iter()
        .map(|instance| fleet.call(instance, generation("hello")))
        .collect();
    fleet.run_for(Duration::from_secs(30));

    let answers = fleet.take_answers();
    assert_eq!(answers.len(), tickets.len());
    for answer in answers {
        let Reply::Generated(generated) = answer.reply else {
            panic!("refused: {:?}", answer.reply);
        };
        let seed = wisteriaford_core::hash::hash_parts(&[b"hello"]);
        let tokens = wisteriaford_fakes::expected_tokens("hello", seed, 200);
        let text = wisteriaford_fakes::expected_text("hello", seed, 0, tokens);
        assert_eq!(generated.text, text);
    }
}

#[test]
fn step_is_whole_across_instances_and_versions() {
    let (mut fleet, instances) = fleet();
    let mut received = wisteriaford_core::index_set::IndexSet::default();
    let mut versions = Vec::new();

    for number in 1..200 {
        if number == 3 {
            fleet.models.insert(ModelId::from(MODEL), Version(2));
        }
        let instance = &instances[usize::try_from(number % 3).unwrap()];
        let request = pull(number, received.as_bytes().to_vec(), 1);
        fleet.call(instance, request).unwrap();
        fleet.run_until_answer(fleet.now() + Duration::from_secs(10));
        for answer in fleet.take_answers() {
            let Reply::Pulled(pulled) = answer.reply else {
                panic!("refused: {:?}", answer.reply);
            };
            for sample in pulled.samples {
                assert!(received.insert(sample.index).unwrap(), "repeated");
                versions.extend(sample.label.spans().iter().map(|span| span.version));
            }
        }
        if received.len() == 32 {
            break;
        }
    }

    assert_eq!(received.len(), 32);
    assert!(versions.contains(&Version(1)));
}
