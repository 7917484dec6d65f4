//! Stateful fuzzing of membership: kills, restarts, process pauses, network partitions, one-way
//! link cuts and leaving instances.
//!
//! Several instances exchange messages in virtual time. After all faults have healed, all live
//! instances must see each other as alive, and must see dead and leaving ones as not alive.
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
const SETTLE_TIME: Duration = Duration::from_secs(90);

#[derive(Clone, Debug)]
enum Transition {
    Run(u64),
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    CutOneWay(usize, usize),
    CutInbound(usize),
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
            Self::Pause(_) => "pause",
            Self::Resume(_) => "resume",
            Self::CutOneWay(..) => "one-way cut",
            Self::CutInbound(_) => "inbound cut",
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
            2 => one.clone().prop_map(Transition::Pause),
            2 => one.clone().prop_map(Transition::Resume),
            2 => (one.clone(), one.clone()).prop_map(|(i, j)| Transition::CutOneWay(i, j)),
            1 => one.clone().prop_map(Transition::CutInbound),
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
    is_up: bool,
    is_paused: bool,
    has_left: bool,
    started_at: Timestamp,
    sent_bytes: u64,
}

struct Envelope {
    from: Sender,
    to: CompactString,
    message: MembershipMessage,
}

struct Cluster {
    now: Timestamp,
    nodes: Vec<Node>,
    cut_links: BTreeSet<(usize, usize)>,
    in_transit: Vec<Envelope>,
    // Messages that a paused instance has not read yet.
    queued: Vec<Envelope>,
    start_count: u64,
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
        is_up: true,
        is_paused: false,
        has_left: false,
        started_at: now,
        sent_bytes: 0,
    }
}

impl Cluster {
    fn new(instances: usize) -> Self {
        let now = Timestamp::from_millis(1_000);
        let nodes = (0..instances).map(|index| node(index, index as u64 + 1, now));
        Self {
            now,
            nodes: nodes.collect(),
            cut_links: BTreeSet::new(),
            in_transit: Vec::new(),
            queued: Vec::new(),
            start_count: instances as u64,
            suspicions: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for envelope in std::mem::take(&mut self.in_transit) {
            self.deliver(envelope);
        }
        for index in 0..self.nodes.len() {
            self.tick(index);
        }
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.is_up || node.is_paused {
            return;
        }
        let mut out = Vec::new();
        node.membership.tick(self.now, &mut out);
        self.apply_outputs(index, out);
    }

    fn deliver(&mut self, envelope: Envelope) {
        let to = index_of(&envelope.to);
        let from = index_of(&envelope.from.address);
        let node = &mut self.nodes[to];
        if !node.is_up || self.cut_links.contains(&(from, to)) {
            return;
        }
        if node.is_paused {
            self.queued.push(envelope);
            return;
        }
        let mut out = Vec::new();
        node.membership
            .handle(self.now, &envelope.from, &envelope.message, &mut out);
        self.apply_outputs(to, out);
    }

    fn apply_outputs(&mut self, index: usize, out: Vec<MembershipOutput>) {
        let node = &mut self.nodes[index];
        for output in out {
            match output {
                MembershipOutput::Send {
                    address, message, ..
                } => {
                    node.sent_bytes += message.encoded_len() as u64;
                    self.in_transit.push(Envelope {
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

    fn resume(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.is_paused {
            return;
        }
        node.is_paused = false;
        let deaths_before = dead_members(node).len();
        // Its overdue timers run before it reads the messages that arrived during the pause.
        self.tick(index);
        assert_eq!(
            dead_members(&self.nodes[index]).len(),
            deaths_before,
            "declared other members dead on resuming"
        );
        for envelope in std::mem::take(&mut self.queued) {
            self.deliver(envelope);
        }
    }

    fn apply(&mut self, transition: &Transition) {
        match *transition {
            Transition::Run(millis) => self.run(Duration::from_millis(millis)),
            Transition::Kill(index) => self.nodes[index].is_up = false,
            Transition::Restart(index) => {
                self.start_count += 1;
                self.nodes[index] = node(index, self.start_count, self.now);
            }
            Transition::Pause(index) => self.nodes[index].is_paused = true,
            Transition::Resume(index) => self.resume(index),
            Transition::CutOneWay(from, to) => {
                self.cut_links.insert((from, to));
            }
            Transition::CutInbound(to) => {
                self.cut_links.extend((0..INSTANCES).map(|from| (from, to)));
            }
            Transition::Partition(side) => {
                let side_of = |index: usize| side >> index & 1;
                for from in 0..INSTANCES {
                    let others = (0..INSTANCES).filter(|&to| side_of(to) != side_of(from));
                    self.cut_links.extend(others.map(|to| (from, to)));
                }
            }
            Transition::Heal => self.cut_links.clear(),
            Transition::Leave(index) => {
                let node = &mut self.nodes[index];
                if node.is_up && !node.is_paused {
                    node.has_left = true;
                    let mut out = Vec::new();
                    node.membership.leave(self.now, &mut out);
                    self.apply_outputs(index, out);
                }
            }
        }
    }

    fn settle(&mut self) {
        self.cut_links.clear();
        for index in 0..self.nodes.len() {
            self.resume(index);
        }
        self.run(SETTLE_TIME);
        self.assert_converged();
    }

    fn assert_converged(&self) {
        let running = || self.nodes.iter().filter(|node| node.is_up);
        let serving = running().filter(|node| !node.has_left);
        let expected: BTreeSet<&str> = serving.map(|n| n.sender.id.as_str()).collect();
        for node in running() {
            let view: BTreeSet<&str> = node.membership.eligible().map(|m| m.id.as_str()).collect();
            assert_eq!(view, expected, "view of {}", node.sender.id);
            let uptime_s = self.now.since(node.started_at).as_secs() + 1;
            // Probes and replies are sent even when the byte budget is used up.
            let max_bytes = BURST_BYTES + 2 * BYTES_PER_S * uptime_s;
            assert!(node.sent_bytes <= max_bytes, "{} bytes", node.sent_bytes);
        }
        count("agreement");
    }
}

fn dead_members(node: &Node) -> BTreeSet<&str> {
    let members = node.membership.members();
    let dead = members.filter(|member| member.state == MemberState::Dead);
    dead.map(|member| member.id.as_str()).collect()
}

struct MembershipTest;

impl StateMachineTest for MembershipTest {
    type SystemUnderTest = Cluster;
    type Reference = Reference;

    fn init_test((): &()) -> Cluster {
        count("case");
        let mut cluster = Cluster::new(INSTANCES);
        cluster.run(Duration::from_secs(5));
        cluster.assert_converged();
        cluster
    }

    fn apply(mut cluster: Cluster, (): &(), transition: Transition) -> Cluster {
        count("transition");
        count(transition.name());
        cluster.apply(&transition);
        cluster
    }

    fn teardown(mut cluster: Cluster, (): ()) {
        cluster.settle();
    }
}

fn env_number(variable: &str, default: u32) -> u32 {
    let value = env::var(variable).ok();
    value.map_or(default, |text| u32::from_str(&text).expect(variable))
}

#[test]
fn live_members_converge_after_faults_heal() {
    let config = Config {
        cases: env_number("WISTERIAFORD_MEMBERSHIP_CASES", 60),
        rng_seed: RngSeed::Fixed(env_number("WISTERIAFORD_MEMBERSHIP_SEED", 5).into()),
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
        "pause",
        "resume",
        "one-way cut",
        "inbound cut",
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
fn one_way_cut_causes_no_suspicion() {
    let mut cluster = Cluster::new(5);
    cluster.run(Duration::from_secs(5));
    cluster.cut_links.insert((2, 3));

    cluster.run(Duration::from_secs(60));

    assert_eq!(cluster.suspicions, 0);
    cluster.assert_converged();
}

#[test]
fn simultaneously_started_fleet_converges() {
    let mut cluster = Cluster::new(200);

    cluster.run(Duration::from_secs(10));

    cluster.assert_converged();
}

#[test]
fn dead_member_is_detected_by_all() {
    let mut cluster = Cluster::new(40);
    cluster.run(Duration::from_secs(10));
    cluster.assert_converged();
    cluster.nodes[7].is_up = false;

    cluster.run(Duration::from_secs(12));

    cluster.assert_converged();
}

#[test]
fn partitioned_halves_rejoin_after_minutes() {
    let mut cluster = Cluster::new(6);
    cluster.run(Duration::from_secs(5));
    for (left, right) in [
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
        cluster.cut_links.extend([(left, right), (right, left)]);
    }
    cluster.run(Duration::from_secs(300));
    let seen_while_partitioned = cluster.nodes[0].membership.eligible().count();
    cluster.cut_links.clear();

    cluster.run(Duration::from_secs(30));

    assert_eq!(seen_while_partitioned, 3);
    cluster.assert_converged();
}

#[test]
fn instance_listed_as_leaving_is_not_eligible() {
    let mut cluster = Cluster::new(3);
    cluster.run(Duration::from_secs(5));
    let listed = ListedInstance {
        id: InstanceId::from("instance-2"),
        address: address(2),
        availability_zone: AvailabilityZone::from("zone-2"),
        region: Region::from("region-1"),
        state: ListedState::Leaving,
    };

    cluster.nodes[0].membership.apply_instance_list(&[listed]);

    let alive: Vec<&str> = cluster.nodes[0]
        .membership
        .eligible()
        .map(|m| m.id.as_str())
        .collect();
    assert_eq!(alive, ["instance-0", "instance-1"]);
}
