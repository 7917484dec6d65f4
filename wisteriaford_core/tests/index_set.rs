//! Differential test of the received set against a `HashSet`, and tests of the label's rules.
//!
//! To run more seeds: `WISTERIAFORD_SEEDS=20 cargo test -p wisteriaford_core --test index_set`.

use std::collections::HashSet;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use wisteriaford_core::id::Version;
use wisteriaford_core::index_set::IndexSet;
use wisteriaford_core::index_set::MAX_INDICES;
use wisteriaford_core::label::Label;
use wisteriaford_core::label::LabelError;
use wisteriaford_core::label::Span;

fn runner(seed: u64) -> TestRunner {
    TestRunner::new(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(seed),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    })
}

fn seeds() -> u64 {
    let text = std::env::var("WISTERIAFORD_SEEDS").unwrap_or_default();
    text.parse().unwrap_or(1)
}

fn span(from_token: u32, to_token: u32, version: u64) -> Span {
    Span {
        from_token,
        to_token,
        version: Version(version),
    }
}

#[test]
fn index_set_equals_hash_set() {
    for seed in 0..seeds() {
        let indices = vec(
            (0u32..2_000, any::<bool>()).prop_map(|(i, spread)| if spread { i * 32 } else { i }),
            0..300,
        );
        runner(seed)
            .run(&indices, |indices| {
                let mut expected_set = HashSet::new();
                let mut set = IndexSet::default();
                for index in indices {
                    assert_eq!(set.insert(index), Ok(expected_set.insert(index)));
                }
                let mut padded = set.as_bytes().to_vec();
                padded.resize(8_192, 0);
                let copy = IndexSet::try_from(padded.as_slice()).expect("bytes within bounds");
                assert_eq!(copy, set);
                assert_eq!(set.len(), expected_set.len());
                assert_eq!(set.iter().collect::<HashSet<_>>(), expected_set);
                Ok(())
            })
            .expect("equal sets");
    }
}

#[test]
fn index_set_rejects_out_of_range_input() {
    let mut set = IndexSet::default();
    assert!(set.insert(MAX_INDICES).is_err());
    assert!(IndexSet::try_from([0u8; 8_193].as_slice()).is_err());
    assert!(set.is_empty());
}

#[test]
fn label_rejects_gaps_and_overlaps_and_merges_adjacent_spans() {
    let mut label = Label::default();
    label.append(span(0, 3, 4)).expect("first");
    label.append(span(3, 5, 4)).expect("neighbour");
    let gap = label.append(span(6, 7, 4));
    let overlap = label.append(span(4, 7, 4));
    let resumed = label.append_resumed(span(4, 7, 5));
    let (from_token, expected) = (6, 5);
    assert_eq!(
        gap,
        Err(LabelError::Gap {
            from_token,
            expected
        })
    );
    assert!(matches!(overlap, Err(LabelError::Overlap { .. })));
    assert_eq!(resumed, Ok(2));
    assert_eq!(label.append_resumed(span(0, 4, 9)), Ok(0));
    assert_eq!(label.append(span(7, 8, 0)), Err(LabelError::NoVersion));
    assert_eq!(label.spans(), [span(0, 5, 4), span(5, 7, 5)]);
    assert!(label.is_fresh(Version(6), 2));
    assert!(!label.is_fresh(Version(7), 2));
    assert!(!Label::default().is_fresh(Version(0), 9));
}
