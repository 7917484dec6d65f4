//! Permits for endpoints that limit their requests.

#[allow(dead_code, unused_imports)]
#[path = "fixtures/gateway.rs"]
mod fixtures;

use std::time::Duration;

use rstest::rstest;
use wisteriaford_core::gateway::permits::IssuingTerm;
use wisteriaford_core::gateway::permits::PermitDecision;
use wisteriaford_core::gateway::permits::PermitIssuer;
use wisteriaford_core::gateway::permits::Urgency;
use wisteriaford_core::gateway::request_rate::RequestRate;
use wisteriaford_core::id::Fence;

use crate::fixtures::at;

/// Window in which an endpoint counts its requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests beyond one and a half times the limit that an endpoint tolerates in a window.
const TOLERANCE: f64 = 5.0;

const CALLER: Urgency = Urgency {
    priority: 1,
    is_batch: false,
};
const ITEM: Urgency = Urgency {
    priority: 1,
    is_batch: true,
};

fn term(fence: u64, is_leased: bool) -> IssuingTerm {
    IssuingTerm {
        fence: Fence(fence),
        is_leased,
    }
}

/// Asks for a permit every 5 ms, and returns the times at which there was one.
fn grants(
    issuer: &mut PermitIssuer,
    term: IssuingTerm,
    limit: RequestRate,
    urgency: Urgency,
    times_ms: std::ops::Range<u64>,
) -> Vec<u64> {
    let times = times_ms.step_by(5);
    let granted = times.filter(|time| {
        let decision = issuer.take_work(at(*time), term, "e@1", limit, urgency);
        decision == PermitDecision::Granted
    });
    granted.collect()
}

fn max_in_window(times_ms: &[u64]) -> usize {
    let window_ms = u64::try_from(WINDOW.as_millis()).expect("a small number");
    let counts = times_ms.iter().map(|&first| {
        let window = first..first + window_ms;
        times_ms.iter().filter(|time| window.contains(time)).count()
    });
    counts.max().unwrap_or(0)
}

// A small number of requests.
#[allow(clippy::cast_precision_loss)]
fn is_tolerated(requests: usize, limit: RequestRate) -> bool {
    requests as f64 <= 1.5 * limit.requests_in(WINDOW) + TOLERANCE
}

/// Guards against leaders that together spend a limit several times: the one before last continues
/// without a valid lease, and the next begins with a full allowance.
#[rstest]
#[case(0)]
#[case(300)]
#[case(1_000)]
#[case(2_300)]
#[case(10_000)]
#[case(200_000)]
fn leaders_that_overlap_stay_within_a_limit(#[case] limit_milli: u64) {
    let limit = RequestRate::from_milli(limit_milli);
    let (mut old, mut new) = (PermitIssuer::default(), PermitIssuer::default());

    let mut times = grants(&mut old, term(1, true), limit, ITEM, 1_000..10_000);
    times.extend(grants(
        &mut old,
        term(1, false),
        limit,
        ITEM,
        10_000..30_000,
    ));
    times.extend(grants(&mut new, term(2, true), limit, ITEM, 10_000..30_000));
    let control = (1_000..30_000).step_by(5).filter(|time| {
        let decision = new.take_control(at(*time), term(2, true), "e@1", limit);
        decision == PermitDecision::Granted
    });
    times.extend(control);

    let max = max_in_window(&times);
    assert!(is_tolerated(max, limit), "{max} requests in a window");
}

/// Guards against a limit of which little is used.
#[rstest]
#[case(1_000)]
#[case(2_300)]
#[case(200_000)]
fn most_of_a_limit_is_used(#[case] limit_milli: u64) {
    let limit = RequestRate::from_milli(limit_milli);
    let mut issuer = PermitIssuer::default();

    let times = grants(&mut issuer, term(1, true), limit, ITEM, 0..40_000);

    // Too few requests to lose precision.
    #[allow(clippy::cast_precision_loss)]
    let used = times.len() as f64 / limit.requests_in(Duration::from_secs(40));
    assert!(used > 0.8, "{used} of the limit");
}

/// Guards against items, which ask all the time, that leave no permit to callers.
#[test]
fn callers_come_before_items_of_their_priority() {
    let limit = RequestRate::from_milli(2_000);
    let mut issuer = PermitIssuer::default();
    let mut counts = [0, 0];

    for time in (0..40_000).step_by(5) {
        for (index, urgency) in [ITEM, CALLER].into_iter().enumerate() {
            // A caller comes every 200 ms.
            if urgency == CALLER && time % 200 != 0 {
                continue;
            }
            let decision = issuer.take_work(at(time), term(1, true), "e@1", limit, urgency);
            counts[index] += usize::from(decision == PermitDecision::Granted);
        }
    }

    let [items, callers] = counts;
    assert!(callers > 2 * items, "{callers} callers, {items} items");
    assert!(items > 10, "{items} items");
}

/// Guards against a burst at the start of a term, whose predecessor may just have spent the limit.
#[test]
fn a_term_begins_without_permits() {
    let limit = RequestRate::from_milli(2_000);
    let mut issuer = PermitIssuer::default();
    grants(&mut issuer, term(1, true), limit, ITEM, 0..1_000);

    let decision = issuer.take_work(at(9_000), term(2, true), "e@1", limit, ITEM);

    assert!(
        matches!(decision, PermitDecision::Denied { retry_after } if retry_after > Duration::ZERO)
    );
}
