//! Tests of pauses of the process and of the confirmation after them.

use std::time::Duration;

use rstest::rstest;
use wisteriaford_core::pause::Confirmation;
use wisteriaford_core::pause::PauseDetector;
use wisteriaford_core::time::Timestamp;

const START: Timestamp = Timestamp::from_millis(100_000);

fn after(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

#[test]
fn a_long_time_without_activity_is_a_pause() {
    let mut detector = PauseDetector::default();

    let gaps = [0, 1_999, 4_000, 4_010].map(|millis| detector.observe(after(millis)));

    let expected = [None, None, Some(Duration::from_millis(2_001)), None];
    assert_eq!(gaps, expected);
}

/// The answer to a read that began before the pause may be as old as that read.
#[rstest]
#[case::began_before(Some(START), true)]
#[case::began_after(Some(after(1)), false)]
#[case::unknown(None, true)]
fn only_a_read_after_the_pause_confirms(
    #[case] began_at: Option<Timestamp>,
    #[case] is_pending: bool,
) {
    let mut confirmation = Confirmation::default();
    confirmation.require(after(1));

    confirmation.record_read(began_at);

    assert_eq!(confirmation.is_pending(), is_pending);
}

#[test]
fn the_second_read_confirms_if_it_is_unknown_when_reads_began() {
    let mut confirmation = Confirmation::default();
    confirmation.require(START);

    confirmation.record_read(None);
    confirmation.record_read(None);

    assert!(!confirmation.is_pending());
}

#[rstest]
#[case::log_up(3_000, false, true)]
#[case::soon(2_999, true, true)]
#[case::log_down(3_000, true, false)]
fn a_log_that_is_down_is_not_waited_for(
    #[case] millis: u64,
    #[case] is_down: bool,
    #[case] is_pending: bool,
) {
    let mut confirmation = Confirmation::default();
    confirmation.require(START);

    confirmation.tick(after(millis), is_down);

    assert_eq!(confirmation.is_pending(), is_pending);
}
