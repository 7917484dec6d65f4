//! Stateful fuzzing of the slot queue: several entries, one endpoint, stewards that move.
//!
//! The oracle is the endpoint itself: what entries run on it never exceeds its slots, and once
//! faults stop every ask ends. Seeds: see `support/request_fuzz.rs`.

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
use wisteriaford_core::admission::SlotAsk;
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
const FAR: Duration = Duration::from_secs(100_000);

#[derive(Clone, Debug)]
enum Transition {
    Ask {
        from: u8,
        caller: u8,
        interactive: bool,
        tokens: u32,
        short: bool,
        alone: bool,
    },
    RepeatAsks,
    Finish(u8),
    Pass,
    LoseNextOutputs,
    LoseRelease(u8),
    MoveSteward,
    KillEntry(u8),
    Swap(bool),
}

#[derive(Clone, Debug)]
struct Machine;

impl ReferenceStateMachine for Machine {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let ask = (0..INSTANCES, 0..3_u8, 1..2_000_u32, 0..20_u8);
        let ask = ask.prop_map(|(from, caller, tokens, kind)| Transition::Ask {
            from,
            caller,
            interactive: caller == 0,
            tokens,
            short: kind == 0,
            alone: kind == 1,
        });
        prop_oneof![
            12 => ask,
            2 => Just(Transition::RepeatAsks),
            6 => (0..u8::MAX).prop_map(Transition::Finish),
            4 => Just(Transition::Pass),
            1 => Just(Transition::LoseNextOutputs),
            1 => (0..u8::MAX).prop_map(Transition::LoseRelease),
            1 => Just(Transition::MoveSteward),
            1 => (0..INSTANCES).prop_map(Transition::KillEntry),
            1 => (0..2_u8).prop_map(|swap| Transition::Swap(swap == 1)),
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

struct World {
    now: Timestamp,
    queue: SlotQueue,
    asked: Vec<SlotAsk>,
    running: Vec<SlotAsk>,
    granted: Vec<AttemptId>,
    lose_outputs: bool,
    stewards: u64,
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

impl World {
    fn new() -> Self {
        let now = Timestamp::from_millis(1_000);
        Self {
            now,
            queue: SlotQueue::new(now, settings(), 1),
            asked: Vec::new(),
            running: Vec::new(),
            granted: Vec::new(),
            lose_outputs: false,
            stewards: 1,
        }
    }

    fn ask(&mut self, ask: SlotAsk) {
        if self.queue.request(self.now, ask.clone()).is_ok() {
            self.asked.push(ask);
        } else {
            count("denied at once");
        }
    }

    fn deliver(&mut self) {
        let mut outputs = Vec::new();
        self.queue.poll(self.now, &mut outputs);
        if self.lose_outputs && !outputs.is_empty() {
            self.lose_outputs = false;
            count("outputs lost");
            return;
        }
        for output in outputs {
            match output {
                QueueOutput::Grant { attempt, .. } => self.start(&attempt),
                QueueOutput::Deny { attempt, .. } => {
                    count("denied later");
                    self.asked.retain(|ask| ask.attempt != attempt);
                }
            }
        }
    }

    fn start(&mut self, attempt: &AttemptId) {
        let Some(at) = self.asked.iter().position(|ask| &ask.attempt == attempt) else {
            let held = self.running.iter().any(|ask| &ask.attempt == attempt);
            if !held {
                self.queue.release(self.now, attempt, 0);
            }
            return;
        };
        let ask = self.asked.remove(at);
        assert!(!self.granted.contains(attempt), "{attempt} ran twice");
        if ask.alone {
            count("alone");
            assert!(self.running.is_empty(), "a suspect ran beside others");
        }
        let beside = self.running.iter().find(|running| running.alone);
        assert!(beside.is_none(), "others ran beside a suspect");
        count("granted");
        self.granted.push(attempt.clone());
        self.running.push(ask);
    }

    fn beat(&mut self) {
        for index in 0..INSTANCES {
            let from = instance(index);
            let own = self.running.iter().filter(|ask| ask.from == from);
            let held: Vec<_> = own
                .map(|ask| HeldGrant {
                    attempt: ask.attempt.clone(),
                    caller: ask.caller.clone(),
                    priority: ask.priority,
                    alone: ask.alone,
                })
                .collect();
            self.queue.heartbeat(self.now, &from, &held);
        }
    }

    fn pass(&mut self) {
        self.beat();
        self.now = self.now + INTERVAL;
        self.beat();
    }

    fn finish(&mut self, pick: u8, lose: bool) {
        if self.running.is_empty() {
            return;
        }
        let ask = self.running.remove(usize::from(pick) % self.running.len());
        if lose {
            count("release lost");
        } else {
            self.queue
                .release(self.now, &ask.attempt, ask.expected_tokens / 2);
        }
    }

    fn move_steward(&mut self) {
        count("steward moved");
        self.stewards += 1;
        self.queue = SlotQueue::new(self.now, settings(), self.stewards);
        self.ask_again();
    }

    fn ask_again(&mut self) {
        let now = self.now;
        let queue = &mut self.queue;
        self.asked
            .retain(|ask| queue.request(now, ask.clone()).is_ok());
    }

    fn kill(&mut self, index: u8) {
        count("entry killed");
        let gone = instance(index);
        self.asked.retain(|ask| ask.from != gone);
        self.running.retain(|ask| ask.from != gone);
        self.queue.forget_instance(&gone);
    }

    fn drain(&mut self) {
        self.lose_outputs = false;
        self.queue.set_endpoint(Version(1), Availability::Serving);
        for _ in 0..200 {
            self.ask_again();
            self.pass();
            self.deliver();
            self.finish(0, false);
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Machine;

    fn init_test((): &()) -> Self {
        count("cases");
        Self::new()
    }

    fn apply(mut world: Self, (): &(), transition: Transition) -> Self {
        count("transitions");
        match transition {
            Transition::Ask {
                from,
                caller,
                interactive,
                tokens,
                short,
                alone,
            } => {
                let number = COUNTS.with_borrow(|counts| counts["transitions"]);
                let priority = [Priority::Batch, Priority::Interactive][usize::from(interactive)];
                world.ask(SlotAsk {
                    attempt: AttemptId::from(format!("attempt-{number}")),
                    from: instance(from),
                    caller: CallerId::from(format!("caller-{caller}")),
                    priority,
                    expected_tokens: tokens,
                    rank: tokens % 3,
                    deadline: world.now + if short { INTERVAL } else { FAR },
                    oldest_version: Version(0),
                    alone,
                });
            }
            Transition::RepeatAsks => {
                count("asks repeated");
                world.ask_again();
            }
            Transition::Finish(pick) => world.finish(pick, false),
            Transition::Pass => world.pass(),
            Transition::LoseNextOutputs => world.lose_outputs = true,
            Transition::LoseRelease(pick) => world.finish(pick, true),
            Transition::MoveSteward => world.move_steward(),
            Transition::KillEntry(index) => world.kill(index),
            Transition::Swap(swapping) => {
                count("swap");
                let state = [Availability::Serving, Availability::Swapping];
                let state = state[usize::from(swapping)];
                world.queue.set_endpoint(Version(1), state);
            }
        }
        world.deliver();
        world
    }

    fn check_invariants(world: &Self, (): &()) {
        let running = world.running.len();
        assert!(running <= SLOTS, "{running} run on {SLOTS} slots");
        assert!(world.queue.in_flight() <= SLOTS);
        assert!(world.queue.queued() <= settings().queue_limit);
    }

    fn teardown(mut world: Self, (): ()) {
        world.drain();
        assert!(world.asked.is_empty(), "starved: {:?}", world.asked);
        assert_eq!(world.queue.queued(), 0);
        assert_eq!(world.queue.in_flight(), 0);
    }
}

#[test]
fn slots_are_never_overfilled_and_nobody_starves() {
    // Arrange
    let kinds = [
        "cases",
        "transitions",
        "granted",
        "alone",
        "denied at once",
        "denied later",
        "asks repeated",
        "outputs lost",
        "release lost",
        "steward moved",
        "entry killed",
        "swap",
    ];

    // Act
    request_fuzz::run::<World>(256, 120);

    // Assert
    COUNTS.with_borrow(|counts| {
        println!("{counts:?}");
        for kind in kinds {
            assert!(counts.get(kind).is_some_and(|&n| n > 0), "no {kind}");
        }
    });
}
