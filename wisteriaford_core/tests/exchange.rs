//! The fleet's state reaches all instances, in time and within bounds.

use std::time::Duration;

use prost::Message;
use wisteriaford_core::configuration::Fold;
use wisteriaford_core::configuration::publish;
use wisteriaford_core::exchange::CONTENTS_A_ROUND;
use wisteriaford_core::exchange::Exchange;
use wisteriaford_core::exchange::ExchangeOutput;
use wisteriaford_core::exchange::FANOUT;
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

const STEP: Duration = Duration::from_millis(100);

struct World {
    now: Timestamp,
    exchanges: Vec<Exchange>,
    folds: Vec<Fold>,
    peers: Vec<Sender>,
    packets: Vec<(usize, Sender, FleetMessage)>,
    loses_one_in: Option<u64>,
    sent: u64,
    lost: u64,
    most_bytes: usize,
    contents: u64,
}

fn sender(index: usize) -> Sender {
    Sender {
        id: InstanceId::from(format!("instance-{index}")),
        address: index.to_string().into(),
    }
}

fn copy(revision: u64) -> Republication {
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
            let mut fold = Fold::new(index as u64);
            fold.release();
            fold
        };
        Self {
            now: Timestamp::from_millis(1_000),
            exchanges: (0..instances).map(exchange).collect(),
            folds: (0..instances).map(fold).collect(),
            peers: (0..instances).map(sender).collect(),
            packets: Vec::new(),
            loses_one_in: None,
            sent: 0,
            lost: 0,
            most_bytes: 0,
            contents: 0,
        }
    }

    fn take(&mut self, index: usize, out: Vec<ExchangeOutput>) {
        for output in out {
            match output {
                ExchangeOutput::Send { to, message } => {
                    self.sent += 1;
                    if message.configuration.is_empty() {
                        self.most_bytes = self.most_bytes.max(message.encoded_len());
                    } else {
                        self.contents += 1;
                    }
                    if self
                        .loses_one_in
                        .is_some_and(|n| self.sent.is_multiple_of(n))
                    {
                        self.lost += 1;
                        continue;
                    }
                    let to = to.address.parse().unwrap();
                    self.packets.push((to, sender(index), message));
                }
                ExchangeOutput::Offered(copy) => {
                    // A copy that came twice is not higher the second time.
                    let _ = self.folds[index].offer(&copy);
                }
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for (to, from, message) in std::mem::take(&mut self.packets) {
            let mut out = Vec::new();
            let current = self.folds[to].current();
            self.exchanges[to].handle(self.now, &from, &message, current, &mut out);
            self.take(to, out);
        }
        for index in 0..self.exchanges.len() {
            let mut out = Vec::new();
            let mut peers = self.peers.clone();
            peers.remove(index);
            let revision = self.folds[index].revision();
            self.exchanges[index].tick(self.now, &peers, revision, &mut out);
            self.take(index, out);
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
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
fn revision_reaches_420_in_5_s_without_the_log() {
    let mut world = World::new(420);
    world.run(Duration::from_secs(1));
    world.folds[17].offer(&copy(1)).unwrap();

    world.run(Duration::from_secs(5));

    assert!(
        world
            .folds
            .iter()
            .all(|fold| fold.revision() == Revision(1))
    );
    assert!(world.contents < 2 * 420, "{} contents", world.contents);
}

#[test]
fn state_spreads_through_lost_messages_within_bounds() {
    let instances = 60;
    let mut world = World::new(instances);
    world.loses_one_in = Some(5);
    let model = ModelId::from("fixer");
    let now = world.now;
    for index in 0..instances {
        world.exchanges[index].report_endpoint(now, state(&long_name(index), 3));
    }
    world.exchanges[1].announce_model(&model, Version(4));

    world.run(Duration::from_secs(15));

    assert!(world.lost > 0);
    for exchange in &world.exchanges {
        assert_eq!(exchange.model(&model), Version(4));
        for index in 0..instances {
            let endpoint = EndpointId::from(long_name(index));
            assert_eq!(exchange.endpoint(&endpoint).map(|s| s.version), Some(3));
        }
    }
    // The last piece may reach beyond the bound.
    assert!(
        world.most_bytes > MAX_MESSAGE_BYTES / 2,
        "{} bytes",
        world.most_bytes
    );
    assert!(
        world.most_bytes <= MAX_MESSAGE_BYTES + 200,
        "{} bytes",
        world.most_bytes
    );
    assert!(world.sent <= (instances * FANOUT * (17 * 2 + 1)) as u64);
}

#[test]
fn older_report_of_a_steward_does_nothing() {
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
    assert_eq!(exchange.endpoint(&endpoint).map(|s| s.version), Some(5));
}

#[test]
fn what_nobody_reports_is_dropped() {
    let mut world = World::new(2);
    world.exchanges[0].report_endpoint(world.now, state("engine-1", 1));
    world.run(Duration::from_secs(5));
    let endpoint = EndpointId::from("engine-1");
    let before = world.exchanges[1].endpoint(&endpoint).is_some();

    world.run(Duration::from_secs(95));

    assert!(before);
    assert!(world.exchanges[1].endpoint(&endpoint).is_none());
}

#[test]
fn contents_handed_out_a_round_are_bounded() {
    let mut exchange = Exchange::new(sender(0).id, Incarnation(1), 0);
    let mut fold = Fold::new(0);
    fold.offer(&copy(1)).unwrap();
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

    assert_eq!(out.len(), CONTENTS_A_ROUND);
}
