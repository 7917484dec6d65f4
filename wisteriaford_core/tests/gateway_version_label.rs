//! Versions of the weights by which engines label events.

use rstest::rstest;
use wisteriaford_core::gateway::version_label::LabelError;
use wisteriaford_core::gateway::version_label::VersionLabel;
use wisteriaford_core::gateway::version_label::check;
use wisteriaford_core::id::Version;

const fn valid(version: u64) -> VersionLabel {
    VersionLabel::Valid(Version(version))
}

/// Guards against events that are listed under a version that did not make them, after a wrong byte in the
/// version that their engine named.
#[rstest]
#[case::named(None, valid(4), Ok(4))]
#[case::still_holds(Some(4), VersionLabel::Missing, Ok(4))]
#[case::next(Some(4), valid(5), Ok(5))]
#[case::none_named(None, VersionLabel::Missing, Err(LabelError::Missing))]
#[case::unreadable(Some(4), VersionLabel::Malformed, Err(LabelError::Malformed))]
#[case::decreased(Some(4), valid(3), Err(LabelError::Decreased { named: Version(3), before: Version(4) }))]
#[case::unannounced(Some(4), valid(7), Err(LabelError::Unannounced { named: Version(7), newest: Version(5) }))]
fn a_version_that_is_not_certain_is_no_label(
    #[case] before: Option<u64>,
    #[case] label: VersionLabel,
    #[case] expected: Result<u64, LabelError>,
) {
    let checked = check(before.map(Version), label, Some(Version(5)));

    assert_eq!(checked, expected.map(Version));
}

/// Guards against refusing the versions of engines before any version was announced.
#[test]
fn any_version_is_accepted_before_one_is_announced() {
    assert_eq!(check(None, valid(9), None), Ok(Version(9)));
}
