//! Tests of the byte and text encodings of index sets.

use rstest::rstest;
use wisteriaford_core::index_set::IndexSet;
use wisteriaford_core::index_set::IndexSetError;
use wisteriaford_core::index_set::MAX_INDICES;

fn set_of(indices: &[u32]) -> IndexSet {
    let mut set = IndexSet::new();
    for &index in indices {
        set.insert(index).unwrap();
    }
    set
}

#[rstest]
#[case(&[])]
#[case(&[0])]
#[case(&[7, 8, 9])]
#[case(&[0, 1_023, MAX_INDICES - 1])]
fn round_trip_preserves_the_indices(#[case] indices: &[u32]) {
    let set = set_of(indices);

    let json = serde_json::to_string(&set).unwrap();
    let read: IndexSet = serde_json::from_str(&json).unwrap();

    assert_eq!(read, set);
    assert_eq!(read.iter().collect::<Vec<_>>(), indices);
    assert_eq!(read.len(), indices.len());
}

#[test]
fn bit_positions_follow_the_protocol() {
    let set = set_of(&[0, 9]);

    assert_eq!(set.as_bytes(), [0b1, 0b10]);
    assert_eq!(set.to_string(), "AQI=");
}

#[test]
fn union_contains_both_sets() {
    let mut set = set_of(&[1, 3]);

    set.union(&set_of(&[3, 200]));

    assert_eq!(set, set_of(&[1, 3, 200]));
    assert!(!set.contains(2));
}

#[test]
fn trailing_zero_bytes_are_ignored() {
    let set = IndexSet::try_from([1, 0, 0].as_slice()).unwrap();

    assert_eq!(set, set_of(&[0]));
    assert!(!set.is_empty());
    assert!(IndexSet::try_from([0, 0].as_slice()).unwrap().is_empty());
}

#[test]
fn insert_reports_whether_the_index_is_new() {
    let mut set = IndexSet::new();

    assert_eq!(set.insert(5), Ok(true));
    assert_eq!(set.insert(5), Ok(false));
}

#[test]
fn index_out_of_range_is_rejected() {
    let index = MAX_INDICES;

    let error = IndexSet::new().insert(index).unwrap_err();

    assert_eq!(error, IndexSetError::IndexTooHigh { index });
    assert!(!IndexSet::new().contains(u32::MAX));
}

#[rstest]
#[case("\"***\"", "base64")]
#[case("5", "string")]
fn invalid_text_is_rejected(#[case] json: &str, #[case] reason: &str) {
    let error = serde_json::from_str::<IndexSet>(json).unwrap_err();

    assert!(error.to_string().contains(reason), "{error}");
}

#[test]
fn oversized_set_is_rejected() {
    let len_bytes = MAX_INDICES as usize / 8 + 1;

    let error = IndexSet::try_from(vec![0; len_bytes].as_slice()).unwrap_err();

    assert_eq!(error, IndexSetError::TooLong { len_bytes });
}
