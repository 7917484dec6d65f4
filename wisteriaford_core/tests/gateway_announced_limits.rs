//! Limits on their requests that endpoints announce.

#[allow(dead_code, unused_imports)]
#[path = "fixtures/gateway.rs"]
mod fixtures;

use rstest::rstest;
use wisteriaford_core::gateway::announced_limits::AnnouncedLimits;
use wisteriaford_core::gateway::announced_limits::LimitChange;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::request_rate::RequestRate;

use crate::fixtures::at;
use crate::fixtures::endpoint;

fn rate(milli_per_s: u64) -> RequestRate {
    RequestRate::from_milli(milli_per_s)
}

#[test]
fn a_limit_lasts_from_its_announcement_to_an_answer_without_one() {
    let endpoint = endpoint("e", "a", 4);
    let mut limits = AnnouncedLimits::default();

    let began = limits.record(at(10), &endpoint, at(5), Some(rate(2_300)));
    let repeated = limits.record(at(20), &endpoint, at(15), Some(rate(2_300)));
    let changed = limits.record(at(30), &endpoint, at(25), Some(rate(3_000)));
    let during = limits.get(&endpoint).map(|limit| limit.rate);
    let ended = limits.record(at(40), &endpoint, at(35), None);

    assert_eq!(began, Some(LimitChange::Began));
    assert_eq!(repeated, None);
    assert_eq!(
        changed,
        Some(LimitChange::Changed {
            before: rate(2_300)
        })
    );
    assert_eq!(during, Some(rate(3_000)));
    assert!(matches!(ended, Some(LimitChange::Ended { before }) if before.since == at(10)));
    assert_eq!(limits.get(&endpoint), None);
}

/// Guards against a late answer, from before the limit began, that ends it.
#[test]
fn an_answer_to_an_earlier_request_ends_no_limit() {
    let endpoint = endpoint("e", "a", 4);
    let mut limits = AnnouncedLimits::default();
    limits.record(at(10), &endpoint, at(5), Some(rate(2_300)));

    let change = limits.record(at(20), &endpoint, at(9), None);

    assert_eq!(change, None);
    assert!(limits.get(&endpoint).is_some());
}

/// Guards against a limit that outlives the endpoint that announced it.
#[test]
fn a_restarted_endpoint_has_no_limit() {
    let before = endpoint("e", "a", 4);
    let after = Endpoint {
        started_unix_ms: before.started_unix_ms + 1,
        ..before.clone()
    };
    let mut limits = AnnouncedLimits::default();

    limits.record(at(10), &before, at(5), Some(rate(2_300)));

    assert_eq!(limits.get(&after), None);
}

#[rstest]
#[case("2.3", 2_300)]
#[case("0", 0)]
#[case(" 17 ", 17_000)]
#[case("1e30", 1_000_000_000_000)]
fn a_decimal_number_is_a_rate(#[case] text: &str, #[case] milli_per_s: u64) {
    let parsed = text.parse::<RequestRate>();

    assert_eq!(parsed, Ok(rate(milli_per_s)));
}

/// Guards against a malformed announcement that is taken for a limit.
#[rstest]
#[case("")]
#[case("-1")]
#[case("NaN")]
#[case("inf")]
#[case("2,3")]
fn other_text_is_no_rate(#[case] text: &str) {
    let parsed = text.parse::<RequestRate>();

    assert!(parsed.is_err());
}

#[test]
fn a_rate_is_written_as_it_is_read() {
    let text = rate(2_345).to_string();

    assert_eq!(text, "2.345");
    assert_eq!(text.parse(), Ok(rate(2_345)));
}
