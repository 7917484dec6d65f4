//! Stateful fuzzing of the slot queue of one endpoint, with several ingress instances and changes
//! of the coordinator.
//!
//! The simulated endpoint is the oracle: the attempts running on it never exceed its slots, and
//! every request ends once faults stop. Seeds: see `support/request_fuzz.rs`.

#[path = "support/request_fuzz.rs"]
mod request_fuzz;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use wisteriaford_core::admission::HeldGrant;
use wisteriaford_core::admission::QueueOutput;
use wisteriaford_core::admission::QueueSettings;
use wisteriaford_core::admission::QueuedSlotRequest;
use wisteriaford_core::admission::SlotQueue;
use wisteriaford_core::id::AttemptId;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Version;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::settings::Priority;

const SLOTS: usize = 4;
const INSTANCES: u8 = 3;
const INTERVAL: Duration = Duration::from_millis(500);
const LONG_TIMEOUT: Duration = Duration::from_secs(100_000);

#[derive(Clone, Debug)]
enum Transition {
    Request {
        from: u8,
        caller: u8,
        interactive: bool,
        tokens: u32,
        short: bool,
        alone: bool,
    },
    RepeatRequests,
    Finish(u8),
    AdvanceTime,
    DropNextOutputs,
    DropRelease(u8),
    ChangeCoordinator,
    KillIngress(u8),
    SetSwapping(bool),
}

#[derive(Clone, Debug)]
struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let request = (0..INSTANCES, 0..3_u8, 1..2_000_u32, 0..20_u8);
        let request = request.prop_map(|(from, caller, tokens, kind)| Transition::Request {
            from,
            caller,
            interactive: caller == 0,
            tokens,
            short: kind == 0,
            alone: kind == 1,
        });
        prop_oneof![
            12 => request,
            2 => Just(Transition::RepeatRequests),
            6 => (0..u8::MAX).prop_map(Transition::Finish),
            4 => Just(Transition::AdvanceTime),
            1 => Just(Transition::DropNextOutputs),
            1 => (0..u8::MAX).prop_map(Transition::DropRelease),
            1 => Just(Transition::ChangeCoordinator),
            1 => (0..INSTANCES).prop_map(Transition::KillIngress),
            1 => (0..2_u8).prop_map(|swap| Transition::SetSwapping(swap == 1)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

thread_local! {
    static COUNTS: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

fn count(kind: &'static str) {
    COUNTS.with_borrow_mut(|counts| *counts.entry(kind).or_default() += 1);
}

struct Simulation {
    now: Timestamp,
    queue: SlotQueue,
    waiting: Vec<QueuedSlotRequest>,
    running: Vec<QueuedSlotRequest>,
    granted: Vec<AttemptId>,
    drop_outputs: bool,
    coordinators: u64,
}

fn settings() -> QueueSettings {
    QueueSettings {
        slots: SLOTS,
        interactive_cap_percent: 50,
        queue_limit: 16,
        heartbeat_interval: INTERVAL,
    }
}

fn instance(index: u8) -> InstanceId {
    InstanceId::from(format!("instance-{index}"))
}

impl Simulation {
    fn new() -> Self {
        let now = Timestamp::from_millis(1_000);
        Self {
            now,
            queue: SlotQueue::new(now, settings(), 1),
            waiting: Vec::new(),
            running: Vec::new(),
            granted: Vec::new(),
            drop_outputs: false,
            coordinators: 1,
        }
    }

    fn request(&mut self, request: QueuedSlotRequest) {
        if self.queue.request(self.now, request.clone()).is_ok() {
            self.waiting.push(request);
        } else {
            count("denied immediately");
        }
    }

    fn deliver(&mut self) {
        let mut outputs = Vec::new();
        self.queue.poll(self.now, &mut outputs);
        if self.drop_outputs && !outputs.is_empty() {
            self.drop_outputs = false;
            count("outputs dropped");
            return;
        }
        for output in outputs {
            match output {
                QueueOutput::Grant { attempt, .. } => self.start(&attempt),
                QueueOutput::Deny { attempt, .. } => {
                    count("denied while waiting");
                    self.waiting.retain(|request| request.attempt != attempt);
                }
            }
        }
    }

    fn start(&mut self, attempt: &AttemptId) {
        let Some(at) = self
            .waiting
            .iter()
            .position(|request| &request.attempt == attempt)
        else {
            let held = self
                .running
                .iter()
                .any(|request| &request.attempt == attempt);
            if !held {
                self.queue.release(self.now, attempt, 0);
            }
            return;
        };
        let request = self.waiting.remove(at);
        assert!(
            !self.granted.contains(attempt),
            "{attempt} was started twice"
        );
        if request.alone {
            count("alone");
            assert!(
                self.running.is_empty(),
                "a suspect was started while other attempts ran"
            );
        }
        let exclusive = self.running.iter().find(|running| running.alone);
        assert!(
            exclusive.is_none(),
            "an attempt was started while a suspect ran"
        );
        count("granted");
        self.granted.push(attempt.clone());
        self.running.push(request);
    }

    fn send_heartbeats(&mut self) {
        for index in 0..INSTANCES {
            let from = instance(index);
            let own = self.running.iter().filter(|request| request.from == from);
            let held: Vec<_> = own
                .map(|request| HeldGrant {
                    attempt: request.attempt.clone(),
                    caller: request.caller.clone(),
                    priority: request.priority,
                    alone: request.alone,
                })
                .collect();
            self.queue.heartbeat(self.now, &from, &held);
        }
    }

    fn advance_time(&mut self) {
        self.send_heartbeats();
        self.now = self.now + INTERVAL;
        self.send_heartbeats();
    }

    fn finish(&mut self, pick: u8, drop_release: bool) {
        if self.running.is_empty() {
            return;
        }
        let request = self.running.remove(usize::from(pick) % self.running.len());
        if drop_release {
            count("release dropped");
        } else {
            self.queue
                .release(self.now, &request.attempt, request.expected_tokens / 2);
        }
    }

    fn change_coordinator(&mut self) {
        count("coordinator changed");
        self.coordinators += 1;
        self.queue = SlotQueue::new(self.now, settings(), self.coordinators);
        self.repeat_requests();
    }

    fn repeat_requests(&mut self) {
        let now = self.now;
        let queue = &mut self.queue;
        self.waiting
            .retain(|request| queue.request(now, request.clone()).is_ok());
    }

    fn kill_ingress(&mut self, index: u8) {
        count("ingress killed");
        let killed = instance(index);
        self.waiting.retain(|request| request.from != killed);
        self.running.retain(|request| request.from != killed);
        self.queue.remove_instance(&killed);
    }

    fn finish_all(&mut self) {
        self.drop_outputs = false;
        self.queue.set_endpoint(Version(1), Availability::Serving);
        for _ in 0..200 {
            self.repeat_requests();
            self.advance_time();
            self.deliver();
            self.finish(0, false);
        }
    }
}

impl StateMachineTest for Simulation {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test((): &()) -> Self {
        count("cases");
        Self::new()
    }

    fn apply(mut simulation: Self, (): &(), transition: Transition) -> Self {
        count("transitions");
        match transition {
            Transition::Request {
                from,
                caller,
                interactive,
                tokens,
                short,
                alone,
            } => {
                let number = COUNTS.with_borrow(|counts| counts["transitions"]);
                let priority = [Priority::Batch, Priority::Interactive][usize::from(interactive)];
                simulation.request(QueuedSlotRequest {
                    attempt: AttemptId::from(format!("attempt-{number}")),
                    from: instance(from),
                    caller: CallerId::from(format!("caller-{caller}")),
                    priority,
                    expected_tokens: tokens,
                    rank: tokens % 3,
                    deadline: simulation.now + if short { INTERVAL } else { LONG_TIMEOUT },
                    oldest_version: Version(0),
                    alone,
                });
            }
            Transition::RepeatRequests => {
                count("requests repeated");
                simulation.repeat_requests();
            }
            Transition::Finish(pick) => simulation.finish(pick, false),
            Transition::AdvanceTime => simulation.advance_time(),
            Transition::DropNextOutputs => simulation.drop_outputs = true,
            Transition::DropRelease(pick) => simulation.finish(pick, true),
            Transition::ChangeCoordinator => simulation.change_coordinator(),
            Transition::KillIngress(index) => simulation.kill_ingress(index),
            Transition::SetSwapping(swapping) => {
                count("swap");
                let state = [Availability::Serving, Availability::Swapping];
                let state = state[usize::from(swapping)];
                simulation.queue.set_endpoint(Version(1), state);
            }
        }
        simulation.deliver();
        simulation
    }

    fn check_invariants(simulation: &Self, (): &()) {
        let running = simulation.running.len();
        assert!(running <= SLOTS, "{running} attempts run on {SLOTS} slots");
        assert!(simulation.queue.in_flight() <= SLOTS);
        assert!(simulation.queue.queued() <= settings().queue_limit);
    }

    fn teardown(mut simulation: Self, (): ()) {
        simulation.finish_all();
        assert!(
            simulation.waiting.is_empty(),
            "requests still waiting: {:?}",
            simulation.waiting
        );
        assert_eq!(simulation.queue.queued(), 0);
        assert_eq!(simulation.queue.in_flight(), 0);
    }
}

#[test]
fn slots_are_never_oversubscribed_and_no_request_starves() {
    // Arrange
    let kinds = [
        "cases",
        "transitions",
        "granted",
        "alone",
        "denied immediately",
        "denied while waiting",
        "requests repeated",
        "outputs dropped",
        "release dropped",
        "coordinator changed",
        "ingress killed",
        "swap",
    ];

    // Act
    request_fuzz::run::<Simulation>(256, 120);

    // Assert
    COUNTS.with_borrow(|counts| {
        println!("{counts:?}");
        for kind in kinds {
            assert!(
                counts.get(kind).is_some_and(|&n| n > 0),
                "no event of kind {kind:?}"
            );
        }
    });
}
