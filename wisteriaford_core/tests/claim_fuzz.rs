//! Stateful fuzzing of claims: several instances and a log that delays and loses appends and drops
//! old records.
//!
//! Checks that the request of each key runs at most once, that after `not_run` neither that claim
//! nor an earlier one of its key ran or runs later, and that every claim is settled once the faults
//! stop. For the seeds, see `support/request_fuzz.rs`.

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
    Send { index: usize },
    Repeat { index: usize, key: u8 },
    Commit(u8),
    CommitAndReadAll,
    LoseAppend(u8),
    Read { index: usize },
    Dispatch { index: usize, selector: u8, end: u8 },
    Pause { index: usize, paused: bool },
    Restart { index: usize },
    Outage(bool),
    AdvanceTime(u16),
}

#[derive(Clone, Debug)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let index = || 0..INSTANCES;
        let any = || 0..u8::MAX;
        let one_in_five = || (0..5_u8).prop_map(|draw| draw == 0);
        prop_oneof![
            3 => index().prop_map(|index| Transition::Send { index }),
            6 => (index(), any()).prop_map(|(index, key)| Transition::Repeat { index, key }),
            10 => any().prop_map(Transition::Commit),
            8 => Just(Transition::CommitAndReadAll),
            2 => any().prop_map(Transition::LoseAppend),
            14 => index().prop_map(|index| Transition::Read { index }),
            8 => (index(), any(), any())
                .prop_map(|(index, selector, end)| Transition::Dispatch { index, selector, end }),
            2 => (index(), one_in_five()).prop_map(|(index, paused)| Transition::Pause { index, paused }),
            1 => index().prop_map(|index| Transition::Restart { index }),
            1 => one_in_five().prop_map(Transition::Outage),
            6 => (1..2_000_u16).prop_map(Transition::AdvanceTime),
            2 => (6_000..30_000_u16).prop_map(Transition::AdvanceTime),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

thread_local! {
    static COUNTS: RefCell<BTreeMap<String, u64>> = const { RefCell::new(BTreeMap::new()) };
}

fn count(event: &str) {
    COUNTS.with_borrow_mut(|counts| *counts.entry(String::from(event)).or_default() += 1);
}

struct Instance {
    claims: Claims,
    next_offset: u64,
    paused: bool,
    won: Vec<ClaimId>,
}

struct Simulation {
    now: Timestamp,
    instances: Vec<Instance>,
    /// Times and kinds of the records from `first_offset`.
    log: Vec<(u64, Kind)>,
    first_offset: u64,
    log_down: bool,
    in_flight: Vec<Kind>,
    committed: BTreeSet<String>,
    abandoned: BTreeSet<String>,
    keys: Vec<ClaimKey>,
    claims: BTreeMap<ClaimId, ClaimKey>,
    deadlines: BTreeMap<ClaimId, Timestamp>,
    runs: BTreeMap<String, ClaimId>,
    not_run: BTreeSet<ClaimId>,
}

fn claims(index: usize) -> Claims {
    let settings = ClaimSettings {
        retention: Duration::from_millis(RETENTION_MS),
        clock_skew: Duration::from_secs(1),
        max_claims: 1_000,
    };
    Claims::new(InstanceId::from(format!("instance-{index}")), &settings)
}

fn instance(index: usize) -> Instance {
    Instance {
        claims: claims(index),
        next_offset: 1,
        paused: false,
        won: Vec::new(),
    }
}

impl Simulation {
    fn send(&mut self, index: usize, key: ClaimKey, first_attempt: bool) {
        if self.instances[index].paused {
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
        if let Err(refusal) = self.instances[index].claims.begin(self.now, request) {
            self.record_refusal(claim, refusal);
        }
    }

    fn record_refusal(&mut self, claim: ClaimId, refusal: Refusal) {
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
        for index in 0..INSTANCES {
            if self.instances[index].paused {
                continue;
            }
            let mut outputs = Vec::new();
            self.instances[index].claims.poll(self.now, &mut outputs);
            for output in outputs {
                match output {
                    ClaimOutput::AppendClaim(claim) => self.in_flight.push(Kind::Claim(claim)),
                    ClaimOutput::AppendResult(result) => {
                        self.in_flight.push(Kind::ClaimResult(result));
                    }
                    ClaimOutput::Won(claim) => self.instances[index].won.push(claim),
                    ClaimOutput::Refused(claim, refusal) => self.record_refusal(claim, refusal),
                }
            }
        }
    }

    fn take_append(&mut self, selector: u8) -> Option<Kind> {
        let len = self.in_flight.len();
        (len > 0).then(|| self.in_flight.remove(usize::from(selector) % len))
    }

    fn commit(&mut self, selector: u8) {
        let Some(kind) = self.take_append(selector) else {
            return;
        };
        match &kind {
            Kind::Claim(claim) => {
                if self.abandoned.contains(&claim.claim_id) {
                    count("claim committed after its end");
                }
                if !self.committed.insert(claim.claim_id.clone()) {
                    count("claim committed twice");
                }
            }
            Kind::ClaimResult(result) if result.outcome() == ClaimOutcome::Abandoned => {
                self.abandoned.insert(result.claim_id.clone());
            }
            _ => {}
        }
        self.log.push((self.now.as_millis(), kind));
    }

    fn read(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.paused || self.log_down {
            return;
        }
        if instance.next_offset < self.first_offset {
            count("gap read");
            instance.next_offset = self.first_offset;
        }
        while let Some(position) = instance.next_offset.checked_sub(self.first_offset)
            && let Some((at_ms, kind)) = self.log.get(usize::try_from(position).unwrap())
        {
            let offset = Offset(instance.next_offset);
            instance
                .claims
                .observe(self.now, offset, *at_ms, Some(kind));
            instance.next_offset += 1;
        }
    }

    fn drop_expired_records(&mut self) {
        let oldest_ms = self.now.as_millis() - RETENTION_MS;
        let first_kept = self.log.iter().position(|(at_ms, _)| *at_ms >= oldest_ms);
        let dropped = first_kept.unwrap_or(self.log.len());
        if dropped > 0 {
            count("records dropped");
        }
        self.log.drain(..dropped);
        self.first_offset += dropped as u64;
    }

    fn dispatch(&mut self, index: usize, selector: u8, end: u8) {
        let candidates = (0..INSTANCES).map(|step| (index + step) % INSTANCES);
        let mut candidates = candidates.filter(|&index| !self.instances[index].won.is_empty());
        let Some(index) = candidates.next() else {
            return;
        };
        let instance = &mut self.instances[index];
        let claim = instance
            .won
            .remove(usize::from(selector) % instance.won.len());
        if !instance.claims.dispatch(self.now, &claim) {
            count("dispatch forbidden");
            return;
        }
        assert!(
            self.now < self.deadlines[&claim],
            "{claim} dispatched after its deadline"
        );
        if end.is_multiple_of(4) {
            count("proven not run");
            instance.claims.record_not_run(&claim);
            let outcome = instance.claims.unsent_outcome(&claim);
            instance.claims.finish(self.now, &claim, ClaimEnd::NotRun);
            if outcome == Outcome::NotRun {
                self.record_refusal(claim, Refusal::not_run(RefusalReason::EndpointFailed));
            }
            return;
        }
        count("ran");
        let key = self.claims[&claim].clone();
        let refused = self.not_run.iter();
        let refused = refused.filter(|refused| self.claims[*refused] == key && **refused >= claim);
        assert_eq!(refused.count(), 0, "{claim} ran after not_run");
        let key = key.key.to_string();
        let earlier = self.runs.insert(key, claim.clone());
        assert!(earlier.is_none(), "{claim} ran after {earlier:?}");
        let end = [ClaimEnd::Answered, ClaimEnd::Unknown][usize::from(end % 2)];
        instance.claims.finish(self.now, &claim, end);
    }

    fn restart(&mut self, index: usize) {
        count("restart");
        self.instances[index] = instance(index);
    }

    fn advance_time(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.drop_expired_records();
    }

    fn set_outage(&mut self, down: bool) {
        if down {
            count("outage");
        }
        self.log_down = down;
        for instance in &mut self.instances {
            instance.claims.set_log_up(!down);
        }
    }

    fn commit_and_read_all(&mut self) {
        while !self.in_flight.is_empty() {
            self.commit(0);
        }
        for index in 0..INSTANCES {
            self.read(index);
        }
    }

    fn settle_all(&mut self) {
        self.set_outage(false);
        for instance in &mut self.instances {
            instance.paused = false;
        }
        for _ in 0..20 {
            self.advance_time(1_000);
            self.poll();
            self.commit_and_read_all();
        }
    }
}

impl StateMachineTest for Simulation {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test((): &()) -> Self {
        count("cases");
        Self {
            now: Timestamp::from_millis(START_MS),
            instances: (0..INSTANCES).map(instance).collect(),
            log: Vec::new(),
            first_offset: 1,
            log_down: false,
            in_flight: Vec::new(),
            committed: BTreeSet::new(),
            abandoned: BTreeSet::new(),
            keys: Vec::new(),
            claims: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            runs: BTreeMap::new(),
            not_run: BTreeSet::new(),
        }
    }

    fn apply(mut simulation: Self, (): &(), transition: Transition) -> Self {
        count("transitions");
        match transition {
            Transition::Send { index } => {
                let key = ClaimKey {
                    route: RouteId::from("passes"),
                    caller: CallerId::from("portal"),
                    key: format!(
                        "{:013}-{}",
                        simulation.now.as_millis(),
                        simulation.keys.len()
                    )
                    .into(),
                };
                simulation.keys.push(key.clone());
                simulation.send(index, key, true);
            }
            Transition::Repeat { index, key } if !simulation.keys.is_empty() => {
                count("repeat");
                let key = simulation.keys[usize::from(key) % simulation.keys.len()].clone();
                simulation.send(index, key, false);
            }
            Transition::Repeat { .. } => {}
            Transition::Commit(selector) => simulation.commit(selector),
            Transition::CommitAndReadAll => simulation.commit_and_read_all(),
            Transition::LoseAppend(selector) => {
                if simulation.take_append(selector).is_some() {
                    count("append lost");
                }
            }
            Transition::Read { index } => simulation.read(index),
            Transition::Dispatch {
                index,
                selector,
                end,
            } => simulation.dispatch(index, selector, end),
            Transition::Pause { index, paused } => {
                if paused {
                    count("pause");
                }
                simulation.instances[index].paused = paused;
            }
            Transition::Restart { index } => simulation.restart(index),
            Transition::Outage(down) => simulation.set_outage(down),
            Transition::AdvanceTime(millis) => simulation.advance_time(u64::from(millis)),
        }
        simulation.poll();
        simulation
    }

    fn teardown(mut simulation: Self, (): ()) {
        simulation.settle_all();
        for instance in &simulation.instances {
            assert_eq!(instance.claims.unsettled_len(), 0, "unsettled claims");
        }
    }
}

#[test]
fn each_key_runs_at_most_once_and_not_run_is_accurate() {
    // Arrange
    let expected_events = [
        "cases",
        "transitions",
        "ran",
        "proven not run",
        "dispatch forbidden",
        "repeat",
        "claim committed after its end",
        "claim committed twice",
        "append lost",
        "records dropped",
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
    request_fuzz::run::<Simulation>(512, 200);

    // Assert
    COUNTS.with_borrow(|counts| {
        println!("{counts:?}");
        for event in expected_events {
            assert!(counts.get(event).is_some_and(|&n| n > 0), "no {event}");
        }
    });
}
