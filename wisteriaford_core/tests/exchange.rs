//! Tests that the fleet's state reaches all instances in time and within the size limits.

use std::time::Duration;

use prost::Message;
use wisteriaford_core::configuration::ConfigurationFold;
use wisteriaford_core::configuration::publish;
use wisteriaford_core::exchange::Exchange;
use wisteriaford_core::exchange::ExchangeOutput;
use wisteriaford_core::exchange::FANOUT;
use wisteriaford_core::exchange::MAX_CONFIGURATIONS_PER_ROUND;
use wisteriaford_core::exchange::MAX_MESSAGE_BYTES;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::Incarnation;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::PublicationId;
use wisteriaford_core::id::Revision;
use wisteriaford_core::id::Version;
use wisteriaford_core::membership::Sender;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::fleet::EndpointState;
use wisteriaford_proto::fleet::FleetMessage;
use wisteriaford_proto::record::Republication;

use self::fixtures::configuration;

#[path = "fixtures/configuration.rs"]
mod fixtures;

const TICK_INTERVAL: Duration = Duration::from_millis(100);

struct World {
    now: Timestamp,
    exchanges: Vec<Exchange>,
    folds: Vec<ConfigurationFold>,
    peers: Vec<Sender>,
    packets: Vec<(usize, Sender, FleetMessage)>,
    drop_every: Option<u64>,
    sent: u64,
    dropped: u64,
    max_message_bytes: usize,
    configurations_sent: u64,
}

fn sender(index: usize) -> Sender {
    Sender {
        id: InstanceId::from(format!("instance-{index}")),
        address: index.to_string().into(),
    }
}

fn republication(revision: u64) -> Republication {
    let id = PublicationId::from(format!("publication-{revision}"));
    Republication {
        revision,
        publication: Some(publish(
            &id,
            Revision(revision - 1),
            configuration(),
            "operator",
        )),
        through_offset: revision,
    }
}

impl World {
    fn new(instances: usize) -> Self {
        let exchange = |index| {
            let incarnation = Incarnation(1);
            Exchange::new(sender(index).id, incarnation, index as u64)
        };
        let fold = |index| {
            let mut fold = ConfigurationFold::new(index as u64);
            fold.release();
            fold
        };
        Self {
            now: Timestamp::from_millis(1_000),
            exchanges: (0..instances).map(exchange).collect(),
            folds: (0..instances).map(fold).collect(),
            peers: (0..instances).map(sender).collect(),
            packets: Vec::new(),
            drop_every: None,
            sent: 0,
            dropped: 0,
            max_message_bytes: 0,
            configurations_sent: 0,
        }
    }

    fn handle_outputs(&mut self, index: usize, out: Vec<ExchangeOutput>) {
        for output in out {
            match output {
                ExchangeOutput::Send { to, message } => {
                    self.sent += 1;
                    if message.configuration.is_empty() {
                        self.max_message_bytes = self.max_message_bytes.max(message.encoded_len());
                    } else {
                        self.configurations_sent += 1;
                    }
                    if self.drop_every.is_some_and(|n| self.sent.is_multiple_of(n)) {
                        self.dropped += 1;
                        continue;
                    }
                    let to = to.address.parse().unwrap();
                    self.packets.push((to, sender(index), message));
                }
                ExchangeOutput::ConfigurationReceived(copy) => {
                    // The fold rejects a configuration that it already has.
                    let _ = self.folds[index].offer(&copy);
                }
                _ => {}
            }
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK_INTERVAL;
        for (to, from, message) in std::mem::take(&mut self.packets) {
            let mut out = Vec::new();
            let current = self.folds[to].current();
            self.exchanges[to].handle(self.now, &from, &message, current, &mut out);
            self.handle_outputs(to, out);
        }
        for index in 0..self.exchanges.len() {
            let mut out = Vec::new();
            let mut peers = self.peers.clone();
            peers.remove(index);
            let revision = self.folds[index].revision();
            self.exchanges[index].tick(self.now, &peers, revision, &mut out);
            self.handle_outputs(index, out);
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }
}

fn long_name(index: usize) -> String {
    format!("engine-{index}-{}", "x".repeat(80))
}

fn state(endpoint: &str, version: u64) -> EndpointState {
    EndpointState {
        endpoint: endpoint.to_owned(),
        version,
        ..EndpointState::default()
    }
}

#[test]
fn revision_reaches_420_instances_in_5_s_without_the_log() {
    let mut world = World::new(420);
    world.run(Duration::from_secs(1));
    world.folds[17].offer(&republication(1)).unwrap();

    world.run(Duration::from_secs(5));

    assert!(
        world
            .folds
            .iter()
            .all(|fold| fold.revision() == Revision(1))
    );
    assert!(
        world.configurations_sent < 2 * 420,
        "{} configurations sent",
        world.configurations_sent
    );
}

#[test]
fn state_spreads_within_limits_despite_lost_messages() {
    let instances = 60;
    let mut world = World::new(instances);
    world.drop_every = Some(5);
    let model = ModelId::from("fixer");
    let now = world.now;
    for index in 0..instances {
        world.exchanges[index].report_endpoint(now, state(&long_name(index), 3));
    }
    world.exchanges[1].announce_model(&model, Version(4));

    world.run(Duration::from_secs(15));

    assert!(world.dropped > 0);
    for exchange in &world.exchanges {
        assert_eq!(exchange.model_version(&model), Version(4));
        for index in 0..instances {
            let endpoint = EndpointId::from(long_name(index));
            assert_eq!(
                exchange.endpoint_state(&endpoint).map(|s| s.version),
                Some(3)
            );
        }
    }
    // The last item of a message may exceed the limit.
    assert!(
        world.max_message_bytes > MAX_MESSAGE_BYTES / 2,
        "{} bytes",
        world.max_message_bytes
    );
    assert!(
        world.max_message_bytes <= MAX_MESSAGE_BYTES + 200,
        "{} bytes",
        world.max_message_bytes
    );
    assert!(world.sent <= (instances * FANOUT * (17 * 2 + 1)) as u64);
}

#[test]
fn older_report_of_a_coordinator_is_ignored() {
    let mut exchange = Exchange::new(sender(0).id, Incarnation(1), 0);
    let now = Timestamp::from_millis(1);
    let report = |sequence, version| FleetMessage {
        endpoints: vec![EndpointState {
            sequence,
            steward: "instance-1".to_owned(),
            ..state("engine-1", version)
        }],
        ..FleetMessage::default()
    };
    let mut out = Vec::new();

    for message in [report(2, 5), report(1, 4), report(2, 5)] {
        exchange.handle(now, &sender(1), &message, None, &mut out);
    }

    assert_eq!(out.len(), 1);
    let endpoint = EndpointId::from("engine-1");
    assert_eq!(
        exchange.endpoint_state(&endpoint).map(|s| s.version),
        Some(5)
    );
}

#[test]
fn unreported_endpoint_expires() {
    let mut world = World::new(2);
    world.exchanges[0].report_endpoint(world.now, state("engine-1", 1));
    world.run(Duration::from_secs(5));
    let endpoint = EndpointId::from("engine-1");
    let before = world.exchanges[1].endpoint_state(&endpoint).is_some();

    world.run(Duration::from_secs(95));

    assert!(before);
    assert!(world.exchanges[1].endpoint_state(&endpoint).is_none());
}

#[test]
fn configurations_sent_per_round_are_limited() {
    let mut exchange = Exchange::new(sender(0).id, Incarnation(1), 0);
    let mut fold = ConfigurationFold::new(0);
    fold.offer(&republication(1)).unwrap();
    fold.release();
    let wants = FleetMessage {
        wants_configuration: true,
        ..FleetMessage::default()
    };
    let mut out = Vec::new();

    for index in 1..20 {
        let now = Timestamp::from_millis(1);
        exchange.handle(now, &sender(index), &wants, fold.current(), &mut out);
    }

    assert_eq!(out.len(), MAX_CONFIGURATIONS_PER_ROUND);
}
