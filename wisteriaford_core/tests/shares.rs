//! Tests of shares: entitlements compared with a token-by-token split, and shortfall reasons.

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

fn share_of<'a>(report: &'a [CallerShare], name: &str) -> &'a CallerShare {
    let found = report.iter().find(|share| share.caller == id(name));
    found.expect("every configured caller has a share")
}

/// Reference split: gives one token at a time to the caller with unmet demand that has received
/// least for its weight.
fn reference_split(demands: &[u32], weights: &[u32], served: u64) -> Vec<u64> {
    let mut received = vec![0_u64; demands.len()];
    for _ in 0..served {
        let unsatisfied = (0..demands.len()).filter(|&row| received[row] < u64::from(demands[row]));
        let least = unsatisfied.min_by_key(|&row| received[row] * 1_000 / u64::from(weights[row]));
        received[least.expect("the tokens served don't exceed the demand")] += 1;
    }
    received
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn entitlements_match_the_reference_split(
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
            shares.record_demand(NOW, &id(name), demand);
            shares.record_received(NOW, &id(name), received);
        }

        // Act
        let report = shares.report(NOW, &callers);
        let reference = reference_split(&demands, &weights, served);

        // Assert
        for (share, reference) in report.iter().zip(reference) {
            let difference = share.entitled_tokens.abs_diff(reference);
            assert!(difference <= 4, "{share:?}, reference {reference} tokens");
        }
    }
}

#[test]
fn interactive_callers_are_entitled_first_and_shortfalls_have_reasons() {
    // Arrange
    let callers = IndexMap::from([
        caller("portal", Priority::Interactive, 1),
        batch("served", 1),
        batch("limited", 1),
        batch("waiting", 1),
        batch("idle", 1),
    ]);
    let mut shares = Shares::new(WINDOW);
    let mut record = |name: &str, demanded, received| {
        shares.record_demand(NOW, &id(name), demanded);
        shares.record_received(NOW, &id(name), received);
    };
    record("portal", 100, 100);
    record("served", 1_000, 700);
    record("limited", 1_000, 100);
    record("waiting", 1_000, 100);
    shares.record_lost(NOW, &id("limited"), 900, ShortfallReason::Limit);
    shares.record_lost(NOW, &id("limited"), 5, ShortfallReason::Deadline);

    // Act
    let report = shares.report(NOW, &callers);
    let after_window = shares.report(NOW + WINDOW, &callers);

    // Assert
    let reason = |name| share_of(&report, name).shortfall_reason;
    assert_eq!(share_of(&report, "portal").entitled_tokens, 100);
    assert_eq!(share_of(&report, "served").entitled_tokens, 300);
    assert_eq!(reason("portal"), None);
    assert_eq!(reason("served"), None);
    assert_eq!(reason("limited"), Some(ShortfallReason::Limit));
    assert_eq!(reason("waiting"), Some(ShortfallReason::InProgress));
    assert_eq!(reason("idle"), Some(ShortfallReason::NoDemand));
    assert!(after_window.iter().all(|share| share.received_tokens == 0));
}
