//! Stateful fuzzing of the configuration's fold, and its difference from a naive one.
//!
//! Several instances read one log that drops its oldest records, while operators race, appends
//! are repeated, records are damaged, and instances pause, restart and hand each other copies.
//! The oracle folds the whole history with nothing dropped. `WISTERIAFORD_FOLD_SEED` sets the
//! seed (a number), `WISTERIAFORD_FOLD_CASES` the number of cases.

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
use wisteriaford_core::configuration::Fold;
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
    Sound,
    Faulty,
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
    Tend(usize),
    Copy(usize),
    AppendOldCopy(usize),
    Offer(usize, usize),
    OfferOldCopy(usize, usize),
}

impl Transition {
    fn name(&self) -> &'static str {
        match self {
            Self::Publish(Base::Current, Content::Sound) => "publication",
            Self::Publish(Base::Stale, _) => "stale publication",
            Self::Publish(Base::Ahead, _) => "publication ahead of the log",
            Self::Publish(Base::Current, Content::Faulty) => "faulty publication",
            Self::Publish(Base::Current, Content::Corrupted) => "corrupted publication",
            Self::Race => "operator race",
            Self::Repeat(_) => "repeated append",
            Self::Undecodable => "undecodable record",
            Self::Claims(_) => "other records",
            Self::Read(..) => "read",
            Self::Restart(_) => "restart",
            Self::Tend(_) => "republication check",
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
            8 => Just(Content::Sound),
            1 => Just(Content::Faulty),
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
            6 => instance.clone().prop_map(Transition::Tend),
            1 => instance.clone().prop_map(Transition::Copy),
            1 => (0..1_000usize).prop_map(Transition::AppendOldCopy),
            3 => (instance.clone(), instance.clone()).prop_map(|(i, j)| Transition::Offer(i, j)),
            1 => (0..1_000usize, instance).prop_map(|(i, j)| Transition::OfferOldCopy(i, j)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

/// Verdict as the naive fold sees it.
#[derive(Clone, Debug, PartialEq)]
enum Naive {
    Accepted(u64),
    Rejected,
    Repeated,
}

/// State of the whole history, folded with nothing dropped.
#[derive(Default)]
struct Oracle {
    revision: u64,
    revision_at: Vec<u64>,
    ids: BTreeMap<u64, String>,
    verdicts: BTreeMap<u64, Naive>,
    seen: Vec<String>,
}

impl Oracle {
    fn append(&mut self, offset: u64, publication: Option<(&Publication, bool)>) {
        if let Some((publication, sound)) = publication {
            let verdict = if sound && publication.base_revision == self.revision {
                self.revision += 1;
                self.ids.insert(self.revision, publication.id.clone());
                Naive::Accepted(self.revision)
            } else if self.seen.contains(&publication.id) {
                Naive::Repeated
            } else {
                Naive::Rejected
            };
            self.seen.push(publication.id.clone());
            self.verdicts.insert(offset, verdict);
        }
        self.revision_at.push(self.revision);
    }
}

struct Instance {
    fold: Fold,
    served: u64,
    // Revision that the log held when the instance last asked it before it was released.
    log_revision: u64,
}

struct World {
    log: Vec<(u64, Option<Record>)>,
    first: usize,
    now_ms: u64,
    oracle: Oracle,
    published: Vec<(Publication, bool)>,
    copies: Vec<Republication>,
    instances: Vec<Instance>,
    starts: u64,
}

static COUNTS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

fn count(name: &'static str) {
    *COUNTS.lock().unwrap().entry(name).or_default() += 1;
}

impl World {
    fn new() -> Self {
        let start = |seed| Instance {
            fold: Fold::new(seed),
            served: 0,
            log_revision: 0,
        };
        Self {
            log: Vec::new(),
            first: 1,
            now_ms: 0,
            oracle: Oracle::default(),
            published: Vec::new(),
            copies: Vec::new(),
            instances: (0..INSTANCES as u64).map(start).collect(),
            starts: INSTANCES as u64,
        }
    }

    fn append(&mut self, kind: Option<Kind>, sound: bool) {
        let offset = self.log.len() as u64 + 1;
        let publication = match &kind {
            Some(Kind::Publication(publication)) => Some((publication, sound)),
            _ => None,
        };
        self.oracle.append(offset, publication);
        let record = kind.map(|kind| Record { kind: Some(kind) });
        self.log.push((self.now_ms, record));
        let oldest = (self.log.len() + 1).saturating_sub(RETAINED_RECORDS);
        self.first = self.first.max(oldest.max(1));
    }

    fn publish(&mut self, base: Base, content: Content) {
        let id = PublicationId::from(format!("publication-{}", self.published.len()));
        let base = match base {
            Base::Current => self.oracle.revision,
            Base::Stale => self.oracle.revision.saturating_sub(1),
            Base::Ahead => self.oracle.revision + 1,
        };
        let mut settings = configuration();
        settings.pools[0].queue_limit += u32::try_from(self.published.len()).unwrap();
        if matches!(content, Content::Faulty) {
            settings.endpoints[0].slots = 0;
        }
        let mut publication = publish(&id, Revision(base), settings, "operator");
        if matches!(content, Content::Corrupted) {
            publication.digest[0] ^= 1;
        }
        let sound = matches!(content, Content::Sound);
        self.published.push((publication.clone(), sound));
        self.append(Some(Kind::Publication(publication)), sound);
    }

    fn read(&mut self, index: usize, records: usize) {
        let next_offset = Offset(self.log.len() as u64 + 1);
        let first = Offset(self.first as u64);
        if !self.instances[index].fold.is_released() {
            self.instances[index].log_revision = self.oracle.revision;
        }
        let fold = &mut self.instances[index].fold;
        let gaps = fold.counts().gaps;
        fold.bounds(first, next_offset);
        if fold.counts().gaps > gaps {
            count("gap by retention");
        }
        let from = index_of(fold.next_offset());
        let batch = self.log.iter().enumerate().skip(from).take(records);
        for (place, (at_ms, record)) in batch {
            let offset = Offset(place as u64 + 1);
            let Some(record) = record else {
                fold.damaged(offset);
                continue;
            };
            let verdict = fold.apply(offset, *at_ms, record);
            assert_eq!(
                fold.apply(offset, *at_ms, record),
                None,
                "a record counts once"
            );
            if let Some(verdict) = verdict {
                agree(&verdict, &self.oracle.verdicts[&offset.0]);
            }
        }
    }

    fn offer(&mut self, copy: &Republication, to: usize) {
        let result = self.instances[to].fold.offer(copy);
        match result {
            Ok(()) => count("offer taken"),
            Err(OfferError::NotHigher { .. }) => {}
            Err(error) => panic!("{error}"),
        }
    }

    fn take_copy(&self, index: usize) -> Option<Republication> {
        let current = self.instances[index].fold.current()?;
        Some(current.republication())
    }

    fn run(&mut self, transition: &Transition) {
        self.now_ms += STEP_MS;
        match *transition {
            Transition::Publish(base, content) => self.publish(base, content),
            Transition::Race => {
                let base = self.oracle.revision;
                self.publish(Base::Current, Content::Sound);
                self.publish(Base::Stale, Content::Sound);
                let (loser, _) = self.published.last().unwrap();
                assert_eq!(loser.base_revision, base);
            }
            Transition::Repeat(place) => {
                if !self.published.is_empty() {
                    let (publication, sound) = &self.published[place % self.published.len()];
                    let kind = Kind::Publication(publication.clone());
                    self.append(Some(kind), *sound);
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
                self.starts += 1;
                let fold = Fold::new(self.starts);
                self.instances[index] = Instance {
                    fold,
                    served: 0,
                    log_revision: 0,
                };
            }
            Transition::Tend(index) => {
                let due = self.instances[index]
                    .fold
                    .due_republication(self.now_ms, RETENTION);
                if let Some(copy) = due {
                    count("republication");
                    self.append(Some(Kind::Republication(copy)), false);
                }
            }
            Transition::Copy(index) => self.copies.extend(self.take_copy(index)),
            Transition::AppendOldCopy(place) => {
                if !self.copies.is_empty() {
                    let copy = self.copies[place % self.copies.len()].clone();
                    self.append(Some(Kind::Republication(copy)), false);
                }
            }
            Transition::Offer(from, to) => {
                if let Some(copy) = self.take_copy(from) {
                    self.offer(&copy, to);
                }
            }
            Transition::OfferOldCopy(place, to) => {
                if !self.copies.is_empty() {
                    let copy = self.copies[place % self.copies.len()].clone();
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
            assert!(revision >= instance.served, "a revision went back");
            let starts = instance.served == 0;
            assert!(
                !starts || revision >= instance.log_revision,
                "served an older revision"
            );
            assert_eq!(current.publication_id.as_str(), self.oracle.ids[&revision]);
            assert_eq!(revision, self.oracle.revision_at[index_of(current.through)]);
            if let Basis::FoldedThrough(through) = instance.fold.basis()
                && through.0 > 0
            {
                assert!(revision >= self.oracle.revision_at[index_of(through)]);
            }
            instance.served = revision;
        }
    }

    /// Lets everyone read everything and hear everyone: all that have a basis agree.
    fn settle(&mut self) {
        for index in 0..INSTANCES {
            self.read(index, usize::MAX);
        }
        self.check();
        // Twice, since a copy may give its receiver the basis for a newer one.
        for from in (0..INSTANCES).chain(0..INSTANCES) {
            for to in 0..INSTANCES {
                if let Some(copy) = self.take_copy(from) {
                    self.offer(&copy, to);
                }
            }
        }
        self.check();
        let basis = |i: &Instance| i.fold.basis() != Basis::None;
        if !self.instances.iter().any(basis) || self.oracle.revision == 0 {
            count("no basis anywhere");
            return;
        }
        count("agreement");
        for instance in &self.instances {
            assert_eq!(instance.fold.revision().0, self.oracle.revision);
            let through = Offset(self.log.len() as u64);
            assert_eq!(instance.fold.basis(), Basis::FoldedThrough(through));
        }
    }
}

fn index_of(offset: Offset) -> usize {
    usize::try_from(offset.0 - 1).unwrap()
}

fn agree(verdict: &Verdict, naive: &Naive) {
    match (verdict, naive) {
        (Verdict::Accepted { revision }, Naive::Accepted(expected)) => {
            assert_eq!(revision.0, *expected);
        }
        // An instance that reads the end of the log alone takes a repeat for a lost race.
        (Verdict::Rejected { .. }, Naive::Rejected | Naive::Repeated)
        | (Verdict::Repeated { .. }, Naive::Repeated) => {}
        _ => panic!("{verdict:?} where the naive fold says {naive:?}"),
    }
    match verdict {
        Verdict::Accepted { .. } => count("accepted"),
        Verdict::Repeated { .. } => count("repeated"),
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
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test((): &()) -> World {
        count("case");
        World::new()
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        count("transition");
        count(transition.name());
        world.run(&transition);
        world.check();
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
fn instances_agree_with_the_naive_fold() {
    let config = Config {
        cases: number("WISTERIAFORD_FOLD_CASES", 300),
        rng_seed: RngSeed::Fixed(number("WISTERIAFORD_FOLD_SEED", 5).into()),
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
        "faulty publication",
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

fn sound(id: &str, base: u64) -> Publication {
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
fn end_of_the_log_decides_nothing_until_a_copy_joins_it() {
    let mut fold = Fold::new(1);
    let publication = record(Kind::Publication(sound("b", 7)));
    let copy = |through| Republication {
        revision: 7,
        publication: Some(sound("a", 6)),
        through_offset: through,
    };
    fold.bounds(Offset(50), Offset(51));

    let undecided = fold.apply(Offset(50), 0, &publication);
    let too_old = fold.offer(&copy(48));
    let before = fold.basis();
    let joins = fold.offer(&copy(49));

    assert_eq!(undecided, None);
    assert_eq!(too_old, Ok(()));
    assert_eq!(before, Basis::None);
    assert_eq!(
        joins.map_err(|e| e.to_string()),
        Err("revision 7 is not above revision 7".into())
    );
    assert_eq!(fold.basis(), Basis::FoldedThrough(Offset(50)));
    assert_eq!(fold.revision(), Revision(8));
}

#[test]
fn restored_configuration_is_above_every_earlier_revision() {
    let mut survivor = Fold::new(1);
    survivor.bounds(Offset(50), Offset(50));
    let old = Republication {
        revision: 7,
        publication: Some(sound("a", 6)),
        through_offset: 20,
    };
    survivor.offer(&old).unwrap();
    let mut fresh = Fold::new(2);
    let restored = record(Kind::Republication(restore(sound("c", 0), Offset(49))));

    for fold in [&mut survivor, &mut fresh] {
        fold.bounds(Offset(50), Offset(51));
        fold.apply(Offset(50), 0, &restored);
    }

    assert_eq!(survivor.revision(), Revision(50));
    assert_eq!(fresh.revision(), Revision(50));
    assert!(fresh.offer(&old).is_err());
}

#[test]
fn loser_of_a_race_is_told_the_winner() {
    let mut fold = Fold::new(1);
    fold.bounds(Offset(1), Offset(3));
    fold.apply(Offset(1), 0, &record(Kind::Publication(sound("first", 0))));

    let verdict = fold.apply(Offset(2), 0, &record(Kind::Publication(sound("second", 0))));

    let text = verdict.unwrap().to_string();
    let expected = "rejected: it is based on revision 0, but in force is revision 1, \
                    publication first by \"operator\"";
    assert_eq!(text, expected);
}
