//! Stateful fuzzing of membership: kills, restarts, freezes, cuts one way and both, leaving.
//!
//! Several instances exchange messages in virtual time. Once all faults are healed, all that live
//! must see each other, the dead must be dead to all, and who is leaving has no duties.
//! `WISTERIAFORD_MEMBERSHIP_SEED` sets the seed (a number), `WISTERIAFORD_MEMBERSHIP_CASES` the
//! number of cases.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::env;
use std::str::FromStr;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use prost::Message;
use wisteriaford_core::id::AvailabilityZone;
use wisteriaford_core::id::Incarnation;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Region;
use wisteriaford_core::membership::BURST_BYTES;
use wisteriaford_core::membership::BYTES_PER_S;
use wisteriaford_core::membership::Cause;
use wisteriaford_core::membership::ListedInstance;
use wisteriaford_core::membership::ListedState;
use wisteriaford_core::membership::Member;
use wisteriaford_core::membership::MemberState;
use wisteriaford_core::membership::Membership;
use wisteriaford_core::membership::MembershipOutput;
use wisteriaford_core::membership::Sender;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::membership::MembershipMessage;

const INSTANCES: usize = 7;
const STEP: Duration = Duration::from_millis(50);
const SETTLE: Duration = Duration::from_secs(90);

#[derive(Clone, Debug)]
enum Transition {
    Run(u64),
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    CutOneWay(usize, usize),
    Deafen(usize),
    Partition(u32),
    Heal,
    Leave(usize),
}

impl Transition {
    fn name(&self) -> &'static str {
        match self {
            Self::Run(_) => "run",
            Self::Kill(_) => "kill",
            Self::Restart(_) => "restart",
            Self::Freeze(_) => "freeze",
            Self::Thaw(_) => "thaw",
            Self::CutOneWay(..) => "one-way cut",
            Self::Deafen(_) => "instance that receives nothing",
            Self::Partition(_) => "partition",
            Self::Heal => "heal",
            Self::Leave(_) => "leave",
        }
    }
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let one = 0..INSTANCES;
        prop_oneof![
            8 => (100..20_000u64).prop_map(Transition::Run),
            1 => one.clone().prop_map(Transition::Kill),
            1 => one.clone().prop_map(Transition::Restart),
            2 => one.clone().prop_map(Transition::Freeze),
            2 => one.clone().prop_map(Transition::Thaw),
            2 => (one.clone(), one.clone()).prop_map(|(i, j)| Transition::CutOneWay(i, j)),
            1 => one.clone().prop_map(Transition::Deafen),
            1 => (1..(1u32 << INSTANCES) - 1).prop_map(Transition::Partition),
            2 => Just(Transition::Heal),
            1 => one.prop_map(Transition::Leave),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

struct Node {
    membership: Membership,
    sender: Sender,
    up: bool,
    frozen: bool,
    left: bool,
    started_at: Timestamp,
    sent_bytes: u64,
}

struct Packet {
    from: Sender,
    to: CompactString,
    message: MembershipMessage,
}

struct World {
    now: Timestamp,
    nodes: Vec<Node>,
    cuts: BTreeSet<(usize, usize)>,
    packets: Vec<Packet>,
    // Messages that a frozen instance has not read yet.
    held: Vec<Packet>,
    starts: u64,
    suspicions: usize,
}

static COUNTS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

fn count(name: &'static str) {
    *COUNTS.lock().unwrap().entry(name).or_default() += 1;
}

fn address(index: usize) -> CompactString {
    CompactString::from(format!("10.0.0.{index}:7000"))
}

fn index_of(address: &str) -> usize {
    let host = address.split(':').next().unwrap();
    host.split('.').next_back().unwrap().parse().unwrap()
}

fn node(index: usize, start: u64, now: Timestamp) -> Node {
    let me = Member {
        id: InstanceId::from(format!("instance-{index}")),
        address: address(index),
        availability_zone: AvailabilityZone::from(format!("zone-{}", index % 3)),
        region: Region::from(format!("region-{}", index % 3 / 2)),
        incarnation: Incarnation(start),
        state: MemberState::Alive,
    };
    let sender = Sender {
        id: me.id.clone(),
        address: me.address.clone(),
    };
    let seeds = [address(0), address(1)];
    Node {
        membership: Membership::new(me, &seeds, start),
        sender,
        up: true,
        frozen: false,
        left: false,
        started_at: now,
        sent_bytes: 0,
    }
}

impl World {
    fn new(instances: usize) -> Self {
        let now = Timestamp::from_millis(1_000);
        let nodes = (0..instances).map(|index| node(index, index as u64 + 1, now));
        Self {
            now,
            nodes: nodes.collect(),
            cuts: BTreeSet::new(),
            packets: Vec::new(),
            held: Vec::new(),
            starts: instances as u64,
            suspicions: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for packet in std::mem::take(&mut self.packets) {
            self.deliver(packet);
        }
        for index in 0..self.nodes.len() {
            self.tick(index);
        }
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.up || node.frozen {
            return;
        }
        let mut out = Vec::new();
        node.membership.tick(self.now, &mut out);
        self.take(index, out);
    }

    fn deliver(&mut self, packet: Packet) {
        let to = index_of(&packet.to);
        let from = index_of(&packet.from.address);
        let node = &mut self.nodes[to];
        if !node.up || self.cuts.contains(&(from, to)) {
            return;
        }
        if node.frozen {
            self.held.push(packet);
            return;
        }
        let mut out = Vec::new();
        node.membership
            .handle(self.now, &packet.from, &packet.message, &mut out);
        self.take(to, out);
    }

    fn take(&mut self, index: usize, out: Vec<MembershipOutput>) {
        let node = &mut self.nodes[index];
        for output in out {
            match output {
                MembershipOutput::Send {
                    address, message, ..
                } => {
                    node.sent_bytes += message.encoded_len() as u64;
                    self.packets.push(Packet {
                        from: node.sender.clone(),
                        to: address,
                        message,
                    });
                }
                MembershipOutput::Changed { to, cause, .. } => match (to, cause) {
                    (Some(MemberState::Dead), _) => count("member found dead"),
                    (Some(MemberState::Suspect), Cause::ProbeFailed) => {
                        count("suspicion");
                        self.suspicions += 1;
                    }
                    (Some(MemberState::Alive), _) => count("member found alive"),
                    _ => {}
                },
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn thaw(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.frozen {
            return;
        }
        node.frozen = false;
        let deaths_before = dead_to(node).len();
        // Its own late timers run before it reads what came meanwhile.
        self.tick(index);
        assert_eq!(
            dead_to(&self.nodes[index]).len(),
            deaths_before,
            "killed others on resuming"
        );
        for packet in std::mem::take(&mut self.held) {
            self.deliver(packet);
        }
    }

    fn apply(&mut self, transition: &Transition) {
        match *transition {
            Transition::Run(millis) => self.run(Duration::from_millis(millis)),
            Transition::Kill(index) => self.nodes[index].up = false,
            Transition::Restart(index) => {
                self.starts += 1;
                self.nodes[index] = node(index, self.starts, self.now);
            }
            Transition::Freeze(index) => self.nodes[index].frozen = true,
            Transition::Thaw(index) => self.thaw(index),
            Transition::CutOneWay(from, to) => {
                self.cuts.insert((from, to));
            }
            Transition::Deafen(to) => {
                self.cuts.extend((0..INSTANCES).map(|from| (from, to)));
            }
            Transition::Partition(side) => {
                let here = |index: usize| side >> index & 1;
                for from in 0..INSTANCES {
                    let others = (0..INSTANCES).filter(|&to| here(to) != here(from));
                    self.cuts.extend(others.map(|to| (from, to)));
                }
            }
            Transition::Heal => self.cuts.clear(),
            Transition::Leave(index) => {
                let node = &mut self.nodes[index];
                if node.up && !node.frozen {
                    node.left = true;
                    let mut out = Vec::new();
                    node.membership.leave(self.now, &mut out);
                    self.take(index, out);
                }
            }
        }
    }

    fn settle(&mut self) {
        self.cuts.clear();
        for index in 0..self.nodes.len() {
            self.thaw(index);
        }
        self.run(SETTLE);
        self.check();
    }

    fn check(&self) {
        let up = || self.nodes.iter().filter(|node| node.up);
        let serving = up().filter(|node| !node.left);
        let expected: BTreeSet<&str> = serving.map(|n| n.sender.id.as_str()).collect();
        for node in up() {
            let view: BTreeSet<&str> = node.membership.alive().map(|m| m.id.as_str()).collect();
            assert_eq!(view, expected, "view of {}", node.sender.id);
            let lived_s = self.now.since(node.started_at).as_secs() + 1;
            // Probes and answers go out even when the allowance is used up.
            let bound = BURST_BYTES + 2 * BYTES_PER_S * lived_s;
            assert!(node.sent_bytes <= bound, "{} bytes", node.sent_bytes);
        }
        count("agreement");
    }
}

fn dead_to(node: &Node) -> BTreeSet<&str> {
    let members = node.membership.members();
    let dead = members.filter(|member| member.state == MemberState::Dead);
    dead.map(|member| member.id.as_str()).collect()
}

struct MembershipTest;

impl StateMachineTest for MembershipTest {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test((): &()) -> World {
        count("case");
        let mut world = World::new(INSTANCES);
        world.run(Duration::from_secs(5));
        world.check();
        world
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        count("transition");
        count(transition.name());
        world.apply(&transition);
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.settle();
    }
}

fn number(variable: &str, default: u32) -> u32 {
    let value = env::var(variable).ok();
    value.map_or(default, |text| u32::from_str(&text).expect(variable))
}

#[test]
fn all_that_live_see_each_other_once_healed() {
    let config = Config {
        cases: number("WISTERIAFORD_MEMBERSHIP_CASES", 60),
        rng_seed: RngSeed::Fixed(number("WISTERIAFORD_MEMBERSHIP_SEED", 5).into()),
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());

    let result = runner.run(
        &Reference::sequential_strategy(5..30),
        |(initial, run, seen)| {
            MembershipTest::test_sequential(config.clone(), initial, run, seen);
            Ok(())
        },
    );

    result.unwrap();
    let counts = COUNTS.lock().unwrap();
    println!("{counts:#?}");
    let expected = [
        "case",
        "transition",
        "kill",
        "restart",
        "freeze",
        "thaw",
        "one-way cut",
        "instance that receives nothing",
        "partition",
        "heal",
        "leave",
        "suspicion",
        "member found dead",
        "member found alive",
        "agreement",
    ];
    for name in expected {
        assert!(
            counts.get(name).is_some_and(|&n| n > 0),
            "{name} never happened"
        );
    }
}

#[test]
fn one_way_cut_brings_nobody_under_suspicion() {
    let mut world = World::new(5);
    world.run(Duration::from_secs(5));
    world.cuts.insert((2, 3));

    world.run(Duration::from_secs(60));

    assert_eq!(world.suspicions, 0);
    world.check();
}

#[test]
fn fleet_that_starts_at_once_joins_soon() {
    let mut world = World::new(200);

    world.run(Duration::from_secs(10));

    world.check();
}

#[test]
fn death_of_one_is_soon_known_to_all() {
    let mut world = World::new(40);
    world.run(Duration::from_secs(10));
    world.check();
    world.nodes[7].up = false;

    world.run(Duration::from_secs(12));

    world.check();
}

#[test]
fn halves_join_again_after_minutes() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(5));
    for (here, there) in [
        (0, 3),
        (1, 4),
        (2, 5),
        (0, 4),
        (0, 5),
        (1, 3),
        (1, 5),
        (2, 3),
        (2, 4),
    ] {
        world.cuts.extend([(here, there), (there, here)]);
    }
    world.run(Duration::from_secs(300));
    let apart = world.nodes[0].membership.alive().count();
    world.cuts.clear();

    world.run(Duration::from_secs(30));

    assert_eq!(apart, 3);
    world.check();
}

#[test]
fn listed_as_leaving_has_no_duties() {
    let mut world = World::new(3);
    world.run(Duration::from_secs(5));
    let listed = ListedInstance {
        id: InstanceId::from("instance-2"),
        address: address(2),
        availability_zone: AvailabilityZone::from("zone-2"),
        region: Region::from("region-1"),
        state: ListedState::Leaving,
    };

    world.nodes[0].membership.hint(&[listed]);

    let alive: Vec<&str> = world.nodes[0]
        .membership
        .alive()
        .map(|m| m.id.as_str())
        .collect();
    assert_eq!(alive, ["instance-0", "instance-1"]);
}
