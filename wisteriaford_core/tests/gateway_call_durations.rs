//! Calls that an instance which stops still sends to endpoints.

#[allow(dead_code, unused_imports)]
#[path = "fixtures/gateway.rs"]
mod fixtures;

use std::time::Duration;

use rstest::rstest;
use wisteriaford_core::gateway::call_durations::CallDurations;
use wisteriaford_core::gateway::route::Route;
use wisteriaford_core::gateway::route::RouteKind;

use crate::fixtures::route;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn call_route() -> Route {
    let mut route = route("/calls/", RouteKind::NonIdempotent, "endpoints");
    route.latency_objective = ms(200);
    route
}

/// Guards against calls that are sent to an endpoint although they can't be answered before the instance ends.
#[rstest]
#[case::usual_time_left(&[1_500; 10], 9_000, 2_000, true)]
#[case::too_late(&[1_500; 10], 9_000, 1_000, false)]
#[case::ends_by_its_deadline(&[1_500; 10], 900, 1_000, true)]
#[case::mostly_too_long(&[50, 50, 1_500, 1_500], 9_000, 1_000, false)]
#[case::one_in_ten_longer(&[50, 50, 50, 50, 50, 50, 50, 50, 50, 1_500], 9_000, 1_000, true)]
#[case::by_objective(&[], 9_000, 300, true)]
#[case::beyond_objective(&[], 9_000, 100, false)]
fn calls_that_usually_take_longer_than_is_left_are_refused(
    #[case] taken_ms: &[u64],
    #[case] time_left_ms: u64,
    #[case] remaining_ms: u64,
    #[case] expected: bool,
) {
    let route = call_route();
    let mut durations = CallDurations::default();
    for taken in taken_ms {
        durations.record(&route.id, ms(*taken));
    }

    let may_finish = durations.may_finish(&route, ms(time_left_ms), ms(remaining_ms));

    assert_eq!(may_finish, expected);
}

/// Guards against judging by calls from before the endpoints became faster or slower.
#[test]
fn only_recent_calls_count() {
    let route = call_route();
    let mut durations = CallDurations::default();

    for _ in 0..40 {
        durations.record(&route.id, ms(1_500));
    }
    for _ in 0..32 {
        durations.record(&route.id, ms(50));
    }

    assert_eq!(durations.usual(&route), ms(50));
}
