//! Shares: entitlements against a naive token-by-token split, and reasons for shortfalls.

use std::time::Duration;

use indexmap::IndexMap;
use proptest::prelude::ProptestConfig;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::settings::Caller;
use wisteriaford_core::shares::CallerShare;
use wisteriaford_core::shares::Shares;
use wisteriaford_core::shares::ShortfallReason;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::settings::Priority;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
const WINDOW: Duration = Duration::from_secs(60);

fn caller(name: &str, priority: Priority, share_weight: u32) -> (CallerId, Caller) {
    let caller = Caller {
        id: CallerId::from(name),
        priority,
        share_weight,
        in_flight_limit: 1,
        rate_limit_per_s: 1,
    };
    (caller.id.clone(), caller)
}

fn batch(name: &str, share_weight: u32) -> (CallerId, Caller) {
    caller(name, Priority::Batch, share_weight)
}

fn id(name: &str) -> CallerId {
    CallerId::from(name)
}

fn of<'a>(report: &'a [CallerShare], name: &str) -> &'a CallerShare {
    let found = report.iter().find(|share| share.caller == id(name));
    found.expect("every configured caller has a share")
}

/// Gives one token at a time to the open caller that has least for its weight.
fn naive_split(demands: &[u32], weights: &[u32], served: u64) -> Vec<u64> {
    let mut given = vec![0_u64; demands.len()];
    for _ in 0..served {
        let open = (0..demands.len()).filter(|&row| given[row] < u64::from(demands[row]));
        let least = open.min_by_key(|&row| given[row] * 1_000 / u64::from(weights[row]));
        given[least.expect("no more is served than asked for")] += 1;
    }
    given
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn entitlements_are_those_of_the_naive_split(
        rows in proptest::collection::vec((0_u32..500, 1_u32..5, 0_u32..100), 1..6),
    ) {
        // Arrange
        let names: Vec<_> = (0..rows.len()).map(|row| format!("caller-{row}")).collect();
        let callers: IndexMap<_, _> = (0..rows.len())
            .map(|row| batch(&names[row], rows[row].1))
            .collect();
        let demands: Vec<_> = rows.iter().map(|row| row.0).collect();
        let weights: Vec<_> = rows.iter().map(|row| row.1).collect();
        let mut shares = Shares::new(WINDOW);
        let mut served = 0;
        for (name, &(demand, _, percent)) in names.iter().zip(&rows) {
            let received = demand * percent / 100;
            served += u64::from(received);
            shares.note_demand(NOW, &id(name), demand);
            shares.note_received(NOW, &id(name), received);
        }

        // Act
        let report = shares.report(NOW, &callers);
        let naive = naive_split(&demands, &weights, served);

        // Assert
        for (share, naive) in report.iter().zip(naive) {
            let apart = share.entitled_tokens.abs_diff(naive);
            assert!(apart <= 4, "{share:?} against {naive}");
        }
    }
}

#[test]
fn interactive_is_entitled_first_and_shortfalls_are_explained() {
    // Arrange
    let callers = IndexMap::from([
        caller("portal", Priority::Interactive, 1),
        batch("served", 1),
        batch("limited", 1),
        batch("waiting", 1),
        batch("idle", 1),
    ]);
    let mut shares = Shares::new(WINDOW);
    let mut note = |name: &str, demanded, received| {
        shares.note_demand(NOW, &id(name), demanded);
        shares.note_received(NOW, &id(name), received);
    };
    note("portal", 100, 100);
    note("served", 1_000, 700);
    note("limited", 1_000, 100);
    note("waiting", 1_000, 100);
    shares.note_lost(NOW, &id("limited"), 900, ShortfallReason::Limit);
    shares.note_lost(NOW, &id("limited"), 5, ShortfallReason::Deadline);

    // Act
    let report = shares.report(NOW, &callers);
    let aged = shares.report(NOW + WINDOW, &callers);

    // Assert
    let reason = |name| of(&report, name).shortfall_reason;
    assert_eq!(of(&report, "portal").entitled_tokens, 100);
    assert_eq!(of(&report, "served").entitled_tokens, 300);
    assert_eq!(reason("portal"), None);
    assert_eq!(reason("served"), None);
    assert_eq!(reason("limited"), Some(ShortfallReason::Limit));
    assert_eq!(reason("waiting"), Some(ShortfallReason::InProgress));
    assert_eq!(reason("idle"), Some(ShortfallReason::NoDemand));
    assert!(aged.iter().all(|share| share.received_tokens == 0));
}
