//! Stateful fuzzing of the configuration fold against a reference fold.
//!
//! Several instances read one log that drops its oldest records, while operators race, appends
//! are duplicated, records are corrupted, and instances pause, restart and send each other copies.
//! The reference folds the whole history without dropped records. `WISTERIAFORD_FOLD_SEED` sets
//! the seed (a number), `WISTERIAFORD_FOLD_CASES` the number of cases.

use std::collections::BTreeMap;
use std::env;
use std::str::FromStr;
use std::sync::Mutex;

use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use wisteriaford_core::configuration::Basis;
use wisteriaford_core::configuration::ConfigurationFold;
use wisteriaford_core::configuration::OfferError;
use wisteriaford_core::configuration::Rejection;
use wisteriaford_core::configuration::Retention;
use wisteriaford_core::configuration::Verdict;
use wisteriaford_core::configuration::publish;
use wisteriaford_core::configuration::restore;
use wisteriaford_core::id::Offset;
use wisteriaford_core::id::PublicationId;
use wisteriaford_core::id::Revision;
use wisteriaford_proto::record::Claim;
use wisteriaford_proto::record::Publication;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::record::Republication;
use wisteriaford_proto::record::record::Kind;

use self::fixtures::configuration;

#[path = "fixtures/configuration.rs"]
mod fixtures;

const INSTANCES: usize = 4;
const RETAINED_RECORDS: usize = 40;
const RETENTION: Retention = Retention {
    age_ms: 0,
    records: RETAINED_RECORDS as u64,
};
const STEP_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
enum Base {
    Current,
    Stale,
    Ahead,
}

#[derive(Clone, Copy, Debug)]
enum Content {
    Valid,
    Invalid,
    Corrupted,
}

#[derive(Clone, Debug)]
enum Transition {
    Publish(Base, Content),
    Race,
    Repeat(usize),
    Undecodable,
    Claims(usize),
    Read(usize, usize),
    Restart(usize),
    Republish(usize),
    Copy(usize),
    AppendOldCopy(usize),
    Offer(usize, usize),
    OfferOldCopy(usize, usize),
}

impl Transition {
    fn name(&self) -> &'static str {
        match self {
            Self::Publish(Base::Current, Content::Valid) => "publication",
            Self::Publish(Base::Stale, _) => "stale publication",
            Self::Publish(Base::Ahead, _) => "publication ahead of the log",
            Self::Publish(Base::Current, Content::Invalid) => "invalid publication",
            Self::Publish(Base::Current, Content::Corrupted) => "corrupted publication",
            Self::Race => "operator race",
            Self::Repeat(_) => "repeated append",
            Self::Undecodable => "undecodable record",
            Self::Claims(_) => "other records",
            Self::Read(..) => "read",
            Self::Restart(_) => "restart",
            Self::Republish(_) => "republication check",
            Self::Copy(_) => "copy taken before a pause",
            Self::AppendOldCopy(_) => "old copy appended after a pause",
            Self::Offer(..) => "offer",
            Self::OfferOldCopy(..) => "old copy offered after a pause",
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
        let base = prop_oneof![
            8 => Just(Base::Current),
            3 => Just(Base::Stale),
            1 => Just(Base::Ahead),
        ];
        let content = prop_oneof![
            8 => Just(Content::Valid),
            1 => Just(Content::Invalid),
            1 => Just(Content::Corrupted),
        ];
        let instance = 0..INSTANCES;
        prop_oneof![
            4 => (base, content).prop_map(|(base, content)| Transition::Publish(base, content)),
            1 => Just(Transition::Race),
            2 => (0..1_000usize).prop_map(Transition::Repeat),
            1 => Just(Transition::Undecodable),
            3 => (1..15usize).prop_map(Transition::Claims),
            12 => (instance.clone(), 1..60usize).prop_map(|(i, n)| Transition::Read(i, n)),
            1 => instance.clone().prop_map(Transition::Restart),
            6 => instance.clone().prop_map(Transition::Republish),
            1 => instance.clone().prop_map(Transition::Copy),
            1 => (0..1_000usize).prop_map(Transition::AppendOldCopy),
            3 => (instance.clone(), instance.clone()).prop_map(|(i, j)| Transition::Offer(i, j)),
            1 => (0..1_000usize, instance).prop_map(|(i, j)| Transition::OfferOldCopy(i, j)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

/// Verdict of the reference fold.
#[derive(Clone, Debug, PartialEq)]
enum ReferenceVerdict {
    Accepted(u64),
    Rejected,
    Repeated,
}

/// Fold of the whole history without dropped records.
#[derive(Default)]
struct ReferenceFold {
    revision: u64,
    revision_at: Vec<u64>,
    ids: BTreeMap<u64, String>,
    verdicts: BTreeMap<u64, ReferenceVerdict>,
    seen: Vec<String>,
}

impl ReferenceFold {
    fn append(&mut self, offset: u64, publication: Option<(&Publication, bool)>) {
        if let Some((publication, is_valid)) = publication {
            let verdict = if is_valid && publication.base_revision == self.revision {
                self.revision += 1;
                self.ids.insert(self.revision, publication.id.clone());
                ReferenceVerdict::Accepted(self.revision)
            } else if self.seen.contains(&publication.id) {
                ReferenceVerdict::Repeated
            } else {
                ReferenceVerdict::Rejected
            };
            self.seen.push(publication.id.clone());
            self.verdicts.insert(offset, verdict);
        }
        self.revision_at.push(self.revision);
    }
}

struct Instance {
    fold: ConfigurationFold,
    served: u64,
    /// Revision in the log when the instance last read it before its fold was released.
    log_revision: u64,
}

struct Simulation {
    log: Vec<(u64, Option<Record>)>,
    first_offset: usize,
    now_ms: u64,
    reference: ReferenceFold,
    published: Vec<(Publication, bool)>,
    copies: Vec<Republication>,
    instances: Vec<Instance>,
    last_seed: u64,
}

static COUNTS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

fn count(name: &'static str) {
    *COUNTS.lock().unwrap().entry(name).or_default() += 1;
}

impl Simulation {
    fn new() -> Self {
        let start = |seed| Instance {
            fold: ConfigurationFold::new(seed),
            served: 0,
            log_revision: 0,
        };
        Self {
            log: Vec::new(),
            first_offset: 1,
            now_ms: 0,
            reference: ReferenceFold::default(),
            published: Vec::new(),
            copies: Vec::new(),
            instances: (0..INSTANCES as u64).map(start).collect(),
            last_seed: INSTANCES as u64,
        }
    }

    fn append(&mut self, kind: Option<Kind>, is_valid: bool) {
        let offset = self.log.len() as u64 + 1;
        let publication = match &kind {
            Some(Kind::Publication(publication)) => Some((publication, is_valid)),
            _ => None,
        };
        self.reference.append(offset, publication);
        let record = kind.map(|kind| Record { kind: Some(kind) });
        self.log.push((self.now_ms, record));
        let oldest = (self.log.len() + 1).saturating_sub(RETAINED_RECORDS);
        self.first_offset = self.first_offset.max(oldest.max(1));
    }

    fn publish(&mut self, base: Base, content: Content) {
        let id = PublicationId::from(format!("publication-{}", self.published.len()));
        let base = match base {
            Base::Current => self.reference.revision,
            Base::Stale => self.reference.revision.saturating_sub(1),
            Base::Ahead => self.reference.revision + 1,
        };
        let mut settings = configuration();
        settings.pools[0].queue_limit += u32::try_from(self.published.len()).unwrap();
        if matches!(content, Content::Invalid) {
            settings.endpoints[0].slots = 0;
        }
        let mut publication = publish(&id, Revision(base), settings, "operator");
        if matches!(content, Content::Corrupted) {
            publication.digest[0] ^= 1;
        }
        let is_valid = matches!(content, Content::Valid);
        self.published.push((publication.clone(), is_valid));
        self.append(Some(Kind::Publication(publication)), is_valid);
    }

    fn read(&mut self, index: usize, records: usize) {
        let next_offset = Offset(self.log.len() as u64 + 1);
        let first = Offset(self.first_offset as u64);
        if !self.instances[index].fold.is_released() {
            self.instances[index].log_revision = self.reference.revision;
        }
        let fold = &mut self.instances[index].fold;
        let gaps = fold.counts().gaps;
        fold.set_log_range(first, next_offset);
        if fold.counts().gaps > gaps {
            count("gap by retention");
        }
        let from = index_of(fold.next_offset());
        let batch = self.log.iter().enumerate().skip(from).take(records);
        for (position, (at_ms, record)) in batch {
            let offset = Offset(position as u64 + 1);
            let Some(record) = record else {
                fold.skip_undecodable(offset);
                continue;
            };
            let verdict = fold.apply(offset, *at_ms, record);
            assert_eq!(
                fold.apply(offset, *at_ms, record),
                None,
                "record folded twice"
            );
            if let Some(verdict) = verdict {
                assert_verdict(&verdict, &self.reference.verdicts[&offset.0]);
            }
        }
    }

    fn offer(&mut self, copy: &Republication, to: usize) {
        let result = self.instances[to].fold.offer(copy);
        match result {
            Ok(()) => count("offer taken"),
            Err(OfferError::NotNewer { .. }) => {}
            Err(error) => panic!("{error}"),
        }
    }

    fn current_copy(&self, index: usize) -> Option<Republication> {
        let current = self.instances[index].fold.current()?;
        Some(current.republication())
    }

    fn run(&mut self, transition: &Transition) {
        self.now_ms += STEP_MS;
        match *transition {
            Transition::Publish(base, content) => self.publish(base, content),
            Transition::Race => {
                let base = self.reference.revision;
                self.publish(Base::Current, Content::Valid);
                self.publish(Base::Stale, Content::Valid);
                let (loser, _) = self.published.last().unwrap();
                assert_eq!(loser.base_revision, base);
            }
            Transition::Repeat(position) => {
                if !self.published.is_empty() {
                    let (publication, is_valid) = &self.published[position % self.published.len()];
                    let kind = Kind::Publication(publication.clone());
                    self.append(Some(kind), *is_valid);
                }
            }
            Transition::Undecodable => self.append(None, false),
            Transition::Claims(number) => {
                for _ in 0..number {
                    self.append(Some(Kind::Claim(Claim::default())), false);
                }
            }
            Transition::Read(index, records) => self.read(index, records),
            Transition::Restart(index) => {
                self.last_seed += 1;
                let fold = ConfigurationFold::new(self.last_seed);
                self.instances[index] = Instance {
                    fold,
                    served: 0,
                    log_revision: 0,
                };
            }
            Transition::Republish(index) => {
                let due = self.instances[index]
                    .fold
                    .due_republication(self.now_ms, RETENTION);
                if let Some(copy) = due {
                    count("republication");
                    self.append(Some(Kind::Republication(copy)), false);
                }
            }
            Transition::Copy(index) => self.copies.extend(self.current_copy(index)),
            Transition::AppendOldCopy(position) => {
                if !self.copies.is_empty() {
                    let copy = self.copies[position % self.copies.len()].clone();
                    self.append(Some(Kind::Republication(copy)), false);
                }
            }
            Transition::Offer(from, to) => {
                if let Some(copy) = self.current_copy(from) {
                    self.offer(&copy, to);
                }
            }
            Transition::OfferOldCopy(position, to) => {
                if !self.copies.is_empty() {
                    let copy = self.copies[position % self.copies.len()].clone();
                    self.offer(&copy, to);
                }
            }
        }
    }

    fn check(&mut self) {
        for instance in &mut self.instances {
            let Some(current) = instance.fold.current() else {
                continue;
            };
            let revision = current.revision.0;
            assert!(revision >= instance.served, "revision went backwards");
            let is_first_served = instance.served == 0;
            assert!(
                !is_first_served || revision >= instance.log_revision,
                "an older revision than that of the log was served"
            );
            assert_eq!(
                current.publication_id.as_str(),
                self.reference.ids[&revision]
            );
            assert_eq!(
                revision,
                self.reference.revision_at[index_of(current.through)]
            );
            if let Basis::FoldedThrough(through) = instance.fold.basis()
                && through.0 > 0
            {
                assert!(revision >= self.reference.revision_at[index_of(through)]);
            }
            instance.served = revision;
        }
    }

    /// Lets all instances read the whole log and exchange copies, then checks that they agree if any
    /// of them has a basis.
    fn settle(&mut self) {
        for index in 0..INSTANCES {
            self.read(index, usize::MAX);
        }
        self.check();
        // Two passes, since a copy may give its receiver the basis for a newer copy.
        for from in (0..INSTANCES).chain(0..INSTANCES) {
            for to in 0..INSTANCES {
                if let Some(copy) = self.current_copy(from) {
                    self.offer(&copy, to);
                }
            }
        }
        self.check();
        let has_basis = |i: &Instance| i.fold.basis() != Basis::None;
        if !self.instances.iter().any(has_basis) || self.reference.revision == 0 {
            count("no instance with a basis");
            return;
        }
        count("agreement");
        for instance in &self.instances {
            assert_eq!(instance.fold.revision().0, self.reference.revision);
            let through = Offset(self.log.len() as u64);
            assert_eq!(instance.fold.basis(), Basis::FoldedThrough(through));
        }
    }
}

fn index_of(offset: Offset) -> usize {
    usize::try_from(offset.0 - 1).unwrap()
}

fn assert_verdict(verdict: &Verdict, expected: &ReferenceVerdict) {
    match (verdict, expected) {
        (Verdict::Accepted { revision }, ReferenceVerdict::Accepted(expected_revision)) => {
            assert_eq!(revision.0, *expected_revision);
        }
        // An instance that has read only the end of the log rejects a duplicate as superseded.
        (Verdict::Rejected { .. }, ReferenceVerdict::Rejected | ReferenceVerdict::Repeated)
        | (Verdict::Duplicate { .. }, ReferenceVerdict::Repeated) => {}
        _ => panic!("{verdict:?}, but the reference fold gives {expected:?}"),
    }
    match verdict {
        Verdict::Accepted { .. } => count("accepted"),
        Verdict::Duplicate { .. } => count("repeated"),
        Verdict::Rejected { reason } => match reason {
            Rejection::Superseded { .. } => count("superseded"),
            Rejection::Invalid(_) => count("invalid"),
            Rejection::DigestMismatch => count("digest mismatch"),
            _ => count("other rejection"),
        },
    }
}

struct FoldTest;

impl StateMachineTest for FoldTest {
    type SystemUnderTest = Simulation;
    type Reference = Reference;

    fn init_test((): &()) -> Simulation {
        count("case");
        Simulation::new()
    }

    fn apply(mut simulation: Simulation, (): &(), transition: Transition) -> Simulation {
        count("transition");
        count(transition.name());
        simulation.run(&transition);
        simulation.check();
        simulation
    }

    fn teardown(mut simulation: Simulation, (): ()) {
        simulation.settle();
    }
}

fn number_from_env(variable: &str, default: u32) -> u32 {
    let value = env::var(variable).ok();
    value.map_or(default, |text| u32::from_str(&text).expect(variable))
}

#[test]
fn instances_agree_with_the_reference_fold() {
    let config = Config {
        cases: number_from_env("WISTERIAFORD_FOLD_CASES", 300),
        rng_seed: RngSeed::Fixed(number_from_env("WISTERIAFORD_FOLD_SEED", 5).into()),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());

    let result = runner.run(
        &Reference::sequential_strategy(20..150),
        |(initial, run, seen)| {
            FoldTest::test_sequential(config.clone(), initial, run, seen);
            Ok(())
        },
    );

    result.unwrap();
    let counts = COUNTS.lock().unwrap();
    println!("{counts:#?}");
    let expected = [
        "case",
        "transition",
        "publication",
        "stale publication",
        "publication ahead of the log",
        "invalid publication",
        "corrupted publication",
        "operator race",
        "repeated append",
        "undecodable record",
        "restart",
        "republication",
        "copy taken before a pause",
        "old copy appended after a pause",
        "old copy offered after a pause",
        "offer taken",
        "gap by retention",
        "accepted",
        "superseded",
        "repeated",
        "invalid",
        "digest mismatch",
        "agreement",
    ];
    for name in expected {
        assert!(
            counts.get(name).is_some_and(|&n| n > 0),
            "{name} never happened"
        );
    }
}

fn valid_publication(id: &str, base: u64) -> Publication {
    publish(
        &PublicationId::from(id),
        Revision(base),
        configuration(),
        "operator",
    )
}

fn record(kind: Kind) -> Record {
    Record { kind: Some(kind) }
}

#[test]
fn no_publication_is_decided_until_a_copy_is_contiguous_with_the_log() {
    let mut fold = ConfigurationFold::new(1);
    let publication = record(Kind::Publication(valid_publication("b", 7)));
    let copy = |through| Republication {
        revision: 7,
        publication: Some(valid_publication("a", 6)),
        through_offset: through,
    };
    fold.set_log_range(Offset(50), Offset(51));

    let undecided = fold.apply(Offset(50), 0, &publication);
    let with_gap = fold.offer(&copy(48));
    let basis_before = fold.basis();
    let contiguous = fold.offer(&copy(49));

    assert_eq!(undecided, None);
    assert_eq!(with_gap, Ok(()));
    assert_eq!(basis_before, Basis::None);
    assert_eq!(
        contiguous.map_err(|e| e.to_string()),
        Err("revision 7 is not above revision 7".into())
    );
    assert_eq!(fold.basis(), Basis::FoldedThrough(Offset(50)));
    assert_eq!(fold.revision(), Revision(8));
}

#[test]
fn restored_configuration_is_above_every_earlier_revision() {
    let mut running = ConfigurationFold::new(1);
    running.set_log_range(Offset(50), Offset(50));
    let old = Republication {
        revision: 7,
        publication: Some(valid_publication("a", 6)),
        through_offset: 20,
    };
    running.offer(&old).unwrap();
    let mut restarted = ConfigurationFold::new(2);
    let restored = record(Kind::Republication(restore(
        valid_publication("c", 0),
        Offset(49),
    )));

    for fold in [&mut running, &mut restarted] {
        fold.set_log_range(Offset(50), Offset(51));
        fold.apply(Offset(50), 0, &restored);
    }

    assert_eq!(running.revision(), Revision(50));
    assert_eq!(restarted.revision(), Revision(50));
    assert!(restarted.offer(&old).is_err());
}

#[test]
fn rejection_of_a_superseded_publication_names_the_winner() {
    let mut fold = ConfigurationFold::new(1);
    fold.set_log_range(Offset(1), Offset(3));
    fold.apply(
        Offset(1),
        0,
        &record(Kind::Publication(valid_publication("first", 0))),
    );

    let verdict = fold.apply(
        Offset(2),
        0,
        &record(Kind::Publication(valid_publication("second", 0))),
    );

    let text = verdict.unwrap().to_string();
    let expected = "rejected: it is based on revision 0, but revision 1, publication first by \
                    \"operator\" is in force";
    assert_eq!(text, expected);
}
