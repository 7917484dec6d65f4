//! Tests of the endpoint table: deferred removals, restarts and leaving endpoints.

#[allow(dead_code, unused_imports)]
#[path = "fixtures/gateway.rs"]
mod fixtures;

use indexmap::IndexSet;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::endpoint::EndpointChange;
use wisteriaford_core::gateway::endpoint::EndpointTable;
use wisteriaford_core::id::EndpointId;

use crate::fixtures::at;
use crate::fixtures::endpoint;

#[test]
fn expired_entry_is_removed_after_the_grace_period() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e", "a", 4));

    let change = table.remove(&"e".into(), Some(at(2_000)));
    let before = table.remove_expired(at(1_999));
    let after = table.remove_expired(at(2_000)).into_iter();
    let after: Vec<_> = after.map(|endpoint| endpoint.id).collect();

    assert_eq!(change, EndpointChange::Lapsed);
    assert_eq!(before, Vec::new());
    assert_eq!(after, vec![EndpointId::from("e")]);
    assert!(table.is_empty());
}

#[test]
fn restored_entry_cancels_the_deferred_removal() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e", "a", 4));
    table.remove(&"e".into(), Some(at(2_000)));

    table.insert(endpoint("e", "a", 4));
    let removed = table.remove_expired(at(5_000));

    assert!(removed.is_empty());
    assert_eq!(table.len(), 1);
}

/// Unchanged entries must be cheap to detect: every instance reads the entries of thousands of
/// endpoints, which republish them every second.
#[test]
fn unchanged_entry_is_detected() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e", "a", 4));
    let mut leaving = endpoint("e", "a", 4);
    leaving.leaving = true;

    assert!(table.is_up_to_date(&endpoint("e", "a", 4)));
    assert!(!table.is_up_to_date(&leaving));
    assert!(!table.is_up_to_date(&endpoint("f", "a", 4)));

    table.remove(&"e".into(), Some(at(2_000)));

    assert!(!table.is_up_to_date(&endpoint("e", "a", 4)));
    assert!(!table.has_due_removals(at(1_999)));
    assert!(table.has_due_removals(at(2_000)));
}

#[test]
fn removal_without_an_outage_is_immediate() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e", "a", 4));

    let change = table.remove(&"e".into(), None);

    assert_eq!(change, EndpointChange::Removed);
    assert!(table.is_empty());
}

#[test]
fn restart_under_the_same_name_is_detected() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e", "a", 4));
    let mut restarted = endpoint("e", "a", 4);
    restarted.started_unix_ms = 2;

    let change = table.insert(restarted);

    assert_eq!(change, EndpointChange::Restarted);
}

#[test]
fn leaving_endpoints_accept_no_new_requests() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("stays", "a", 4));
    let mut leaving = endpoint("leaves", "a", 4);
    leaving.leaving = true;
    table.insert(leaving);

    let pool = "engines".into();
    let serving: Vec<&str> = table.serving(&pool).map(|e| e.id.as_str()).collect();

    assert_eq!(serving, vec!["stays"]);
}

#[test]
fn endpoints_absent_from_a_complete_list_are_found() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e", "a", 4));
    table.insert(endpoint("f", "a", 4));

    let listed: IndexSet<EndpointId> = [EndpointId::from("e")].into_iter().collect();
    let missing = table.missing_from(&listed);

    assert_eq!(missing, vec![EndpointId::from("f")]);
}

#[test]
fn an_endpoint_that_returns_under_a_new_name_replaces_the_entry_at_its_address() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e-1", "a", 4));
    let successor = Endpoint {
        id: "e-2".into(),
        ..endpoint("e-1", "a", 4)
    };
    let elsewhere = Endpoint {
        address: "10.0.0.9:1".parse().expect("an address"),
        ..successor.clone()
    };

    let replaced = table.at_address(&successor).map(|e| e.id.clone());
    let kept = table.at_address(&elsewhere).map(|e| e.id.clone());
    let renewed = table.at_address(&endpoint("e-1", "a", 4)).is_some();

    assert_eq!(replaced, Some(EndpointId::from("e-1")));
    assert_eq!(kept, None);
    assert!(!renewed);
}
