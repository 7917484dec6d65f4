//! Stateful fuzzing of claims: several instances and a log that delays, loses and forgets.
//!
//! Oracle: each key is dispatched at most once, after `not_run` neither that claim nor an earlier
//! one of its key ran or runs, and once faults stop every claim is settled. Seeds: see
//! `support/request_fuzz.rs`.

#[path = "support/request_fuzz.rs"]
mod request_fuzz;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use wisteriaford_core::claim::ClaimEnd;
use wisteriaford_core::claim::ClaimKey;
use wisteriaford_core::claim::ClaimOutput;
use wisteriaford_core::claim::ClaimRequest;
use wisteriaford_core::claim::ClaimSettings;
use wisteriaford_core::claim::Claims;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::ClaimId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Offset;
use wisteriaford_core::id::RouteId;
use wisteriaford_core::refusal::Outcome;
use wisteriaford_core::refusal::Refusal;
use wisteriaford_core::refusal::RefusalReason;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::record::ClaimOutcome;
use wisteriaford_proto::record::record::Kind;
use wisteriaford_proto::settings::LogOutagePolicy;

const INSTANCES: usize = 3;
const START_MS: u64 = 1_700_000_000_000;
const RETENTION_MS: u64 = 20_000;
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
enum Transition {
    Send { at: usize },
    Repeat { at: usize, key: u8 },
    Land(u8),
    LandAndReadAll,
    LoseAppend(u8),
    Read { at: usize },
    Dispatch { at: usize, pick: u8, end: u8 },
    Pause { at: usize, paused: bool },
    Restart { at: usize },
    Outage(bool),
    Pass(u16),
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
        let at = || 0..INSTANCES;
        let any = || 0..u8::MAX;
        let rarely = || (0..5_u8).prop_map(|draw| draw == 0);
        prop_oneof![
            3 => at().prop_map(|at| Transition::Send { at }),
            6 => (at(), any()).prop_map(|(at, key)| Transition::Repeat { at, key }),
            10 => any().prop_map(Transition::Land),
            8 => Just(Transition::LandAndReadAll),
            2 => any().prop_map(Transition::LoseAppend),
            14 => at().prop_map(|at| Transition::Read { at }),
            8 => (at(), any(), any())
                .prop_map(|(at, pick, end)| Transition::Dispatch { at, pick, end }),
            2 => (at(), rarely()).prop_map(|(at, paused)| Transition::Pause { at, paused }),
            1 => at().prop_map(|at| Transition::Restart { at }),
            1 => rarely().prop_map(Transition::Outage),
            6 => (1..2_000_u16).prop_map(Transition::Pass),
            2 => (6_000..30_000_u16).prop_map(Transition::Pass),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

thread_local! {
    static COUNTS: RefCell<BTreeMap<String, u64>> = const { RefCell::new(BTreeMap::new()) };
}

fn count(kind: &str) {
    COUNTS.with_borrow_mut(|counts| *counts.entry(String::from(kind)).or_default() += 1);
}

struct Instance {
    claims: Claims,
    next: u64,
    paused: bool,
    won: Vec<ClaimId>,
}

struct World {
    now: Timestamp,
    instances: Vec<Instance>,
    /// Records from offset `first`.
    log: Vec<(u64, Kind)>,
    first: u64,
    down: bool,
    appends: Vec<Kind>,
    landed: BTreeSet<String>,
    abandoned: BTreeSet<String>,
    keys: Vec<ClaimKey>,
    claims: BTreeMap<ClaimId, ClaimKey>,
    deadlines: BTreeMap<ClaimId, Timestamp>,
    runs: BTreeMap<String, ClaimId>,
    not_run: BTreeSet<ClaimId>,
}

fn claims(at: usize) -> Claims {
    let settings = ClaimSettings {
        retention: Duration::from_millis(RETENTION_MS),
        clock_skew: Duration::from_secs(1),
        max_claims: 1_000,
    };
    Claims::new(InstanceId::from(format!("instance-{at}")), &settings)
}

fn instance(at: usize) -> Instance {
    Instance {
        claims: claims(at),
        next: 1,
        paused: false,
        won: Vec::new(),
    }
}

impl World {
    fn send(&mut self, at: usize, key: ClaimKey, first_attempt: bool) {
        if self.instances[at].paused {
            return;
        }
        let claim = ClaimId::from(format!("claim-{:06}", self.claims.len()));
        self.claims.insert(claim.clone(), key.clone());
        self.deadlines.insert(claim.clone(), self.now + TIMEOUT);
        let request = ClaimRequest {
            claim: claim.clone(),
            key,
            first_attempt,
            deadline: self.now + TIMEOUT,
            timeout: TIMEOUT,
            log_outage: LogOutagePolicy::Refuse,
        };
        if let Err(refusal) = self.instances[at].claims.begin(self.now, request) {
            self.refused(claim, refusal);
        }
    }

    fn refused(&mut self, claim: ClaimId, refusal: Refusal) {
        count(refusal.reason.code());
        if refusal.outcome == Outcome::NotRun {
            count("not_run");
            let earlier = self.runs.get(self.claims[&claim].key.as_str());
            let earlier = earlier.filter(|ran| **ran <= claim);
            assert!(earlier.is_none(), "{claim} not run, but {earlier:?} ran");
            self.not_run.insert(claim);
        }
    }

    fn poll(&mut self) {
        for at in 0..INSTANCES {
            if self.instances[at].paused {
                continue;
            }
            let mut outputs = Vec::new();
            self.instances[at].claims.poll(self.now, &mut outputs);
            for output in outputs {
                match output {
                    ClaimOutput::AppendClaim(claim) => self.appends.push(Kind::Claim(claim)),
                    ClaimOutput::AppendResult(result) => {
                        self.appends.push(Kind::ClaimResult(result));
                    }
                    ClaimOutput::Won(claim) => self.instances[at].won.push(claim),
                    ClaimOutput::Refused(claim, refusal) => self.refused(claim, refusal),
                }
            }
        }
    }

    fn take_append(&mut self, pick: u8) -> Option<Kind> {
        let len = self.appends.len();
        (len > 0).then(|| self.appends.remove(usize::from(pick) % len))
    }

    fn land(&mut self, pick: u8) {
        let Some(kind) = self.take_append(pick) else {
            return;
        };
        match &kind {
            Kind::Claim(claim) => {
                if self.abandoned.contains(&claim.claim_id) {
                    count("claim landed after its end");
                }
                if !self.landed.insert(claim.claim_id.clone()) {
                    count("claim landed twice");
                }
            }
            Kind::ClaimResult(result) if result.outcome() == ClaimOutcome::Abandoned => {
                self.abandoned.insert(result.claim_id.clone());
            }
            _ => {}
        }
        self.log.push((self.now.as_millis(), kind));
    }

    fn read(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        if instance.paused || self.down {
            return;
        }
        if instance.next < self.first {
            count("gap read");
            instance.next = self.first;
        }
        while let Some(index) = instance.next.checked_sub(self.first)
            && let Some((at_ms, kind)) = self.log.get(usize::try_from(index).unwrap())
        {
            let offset = Offset(instance.next);
            instance
                .claims
                .observe(self.now, offset, *at_ms, Some(kind));
            instance.next += 1;
        }
    }

    fn forget(&mut self) {
        let oldest_ms = self.now.as_millis() - RETENTION_MS;
        let kept = self.log.iter().position(|(at_ms, _)| *at_ms >= oldest_ms);
        let gone = kept.unwrap_or(self.log.len());
        if gone > 0 {
            count("records forgotten");
        }
        self.log.drain(..gone);
        self.first += gone as u64;
    }

    fn dispatch(&mut self, at: usize, pick: u8, end: u8) {
        let waiting = (0..INSTANCES).map(|step| (at + step) % INSTANCES);
        let mut waiting = waiting.filter(|&at| !self.instances[at].won.is_empty());
        let Some(at) = waiting.next() else {
            return;
        };
        let instance = &mut self.instances[at];
        let claim = instance.won.remove(usize::from(pick) % instance.won.len());
        if !instance.claims.dispatch(self.now, &claim) {
            count("dispatch forbidden");
            return;
        }
        assert!(self.now < self.deadlines[&claim], "{claim} dispatched late");
        if end.is_multiple_of(4) {
            count("proven not run");
            instance.claims.note_not_run(&claim);
            let outcome = instance.claims.unsent_outcome(&claim);
            instance.claims.finish(self.now, &claim, ClaimEnd::NotRun);
            if outcome == Outcome::NotRun {
                self.refused(claim, Refusal::not_run(RefusalReason::EndpointFailed));
            }
            return;
        }
        count("ran");
        let key = self.claims[&claim].clone();
        let told = self.not_run.iter();
        let told = told.filter(|told| self.claims[*told] == key && **told >= claim);
        assert_eq!(told.count(), 0, "{claim} ran after not_run");
        let key = key.key.to_string();
        let earlier = self.runs.insert(key, claim.clone());
        assert!(earlier.is_none(), "{claim} ran after {earlier:?}");
        let end = [ClaimEnd::Answered, ClaimEnd::Unknown][usize::from(end % 2)];
        instance.claims.finish(self.now, &claim, end);
    }

    fn restart(&mut self, at: usize) {
        count("restart");
        self.instances[at] = instance(at);
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.forget();
    }

    fn set_outage(&mut self, down: bool) {
        if down {
            count("outage");
        }
        self.down = down;
        for instance in &mut self.instances {
            instance.claims.set_log_up(!down);
        }
    }

    fn land_and_read_all(&mut self) {
        while !self.appends.is_empty() {
            self.land(0);
        }
        for at in 0..INSTANCES {
            self.read(at);
        }
    }

    fn settle(&mut self) {
        self.set_outage(false);
        for instance in &mut self.instances {
            instance.paused = false;
        }
        for _ in 0..20 {
            self.pass(1_000);
            self.poll();
            self.land_and_read_all();
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Machine;

    fn init_test((): &()) -> Self {
        count("cases");
        Self {
            now: Timestamp::from_millis(START_MS),
            instances: (0..INSTANCES).map(instance).collect(),
            log: Vec::new(),
            first: 1,
            down: false,
            appends: Vec::new(),
            landed: BTreeSet::new(),
            abandoned: BTreeSet::new(),
            keys: Vec::new(),
            claims: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            runs: BTreeMap::new(),
            not_run: BTreeSet::new(),
        }
    }

    fn apply(mut world: Self, (): &(), transition: Transition) -> Self {
        count("transitions");
        match transition {
            Transition::Send { at } => {
                let key = ClaimKey {
                    route: RouteId::from("passes"),
                    caller: CallerId::from("portal"),
                    key: format!("{:013}-{}", world.now.as_millis(), world.keys.len()).into(),
                };
                world.keys.push(key.clone());
                world.send(at, key, true);
            }
            Transition::Repeat { at, key } if !world.keys.is_empty() => {
                count("repeat");
                let key = world.keys[usize::from(key) % world.keys.len()].clone();
                world.send(at, key, false);
            }
            Transition::Repeat { .. } => {}
            Transition::Land(pick) => world.land(pick),
            Transition::LandAndReadAll => world.land_and_read_all(),
            Transition::LoseAppend(pick) => {
                if world.take_append(pick).is_some() {
                    count("append lost");
                }
            }
            Transition::Read { at } => world.read(at),
            Transition::Dispatch { at, pick, end } => world.dispatch(at, pick, end),
            Transition::Pause { at, paused } => {
                if paused {
                    count("pause");
                }
                world.instances[at].paused = paused;
            }
            Transition::Restart { at } => world.restart(at),
            Transition::Outage(down) => world.set_outage(down),
            Transition::Pass(millis) => world.pass(u64::from(millis)),
        }
        world.poll();
        world
    }

    fn teardown(mut world: Self, (): ()) {
        world.settle();
        for instance in &world.instances {
            assert_eq!(instance.claims.in_progress(), 0, "unsettled claims");
        }
    }
}

#[test]
fn each_key_runs_at_most_once_and_not_run_is_true() {
    // Arrange
    let kinds = [
        "cases",
        "transitions",
        "ran",
        "proven not run",
        "dispatch forbidden",
        "repeat",
        "claim landed after its end",
        "claim landed twice",
        "append lost",
        "records forgotten",
        "gap read",
        "pause",
        "restart",
        "outage",
        "not_run",
        "key_in_use",
        "key_already_run",
        "key_expired",
        "claim_unresolved",
        "log_unavailable",
        "deadline",
    ];

    // Act
    request_fuzz::run::<World>(512, 200);

    // Assert
    COUNTS.with_borrow(|counts| {
        println!("{counts:?}");
        for kind in kinds {
            assert!(counts.get(kind).is_some_and(|&n| n > 0), "no {kind}");
        }
    });
}
