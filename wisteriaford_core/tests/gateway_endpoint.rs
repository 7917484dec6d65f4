//! The list of endpoints, with entries that lapse and endpoints that start again.

#[allow(dead_code, unused_imports)]
#[path = "fixtures/gateway.rs"]
mod fixtures;

use indexmap::IndexSet;
use wisteriaford_core::gateway::endpoint::EndpointChange;
use wisteriaford_core::gateway::endpoint::EndpointTable;
use wisteriaford_core::id::EndpointId;

use crate::fixtures::at;
use crate::fixtures::endpoint;

#[test]
fn an_entry_that_lapsed_counts_until_its_time_is_over() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e", "a", 4));

    let change = table.remove(&"e".into(), Some(at(2_000)));
    let before = table.expire_lapsed(at(1_999));
    let after = table.expire_lapsed(at(2_000));

    assert_eq!(change, EndpointChange::Lapsed);
    assert_eq!(before, Vec::<EndpointId>::new());
    assert_eq!(after, vec![EndpointId::from("e")]);
    assert!(table.is_empty());
}

#[test]
fn an_entry_that_came_back_does_not_lapse() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e", "a", 4));
    table.remove(&"e".into(), Some(at(2_000)));

    table.insert(endpoint("e", "a", 4));
    let gone = table.expire_lapsed(at(5_000));

    assert!(gone.is_empty());
    assert_eq!(table.len(), 1);
}

/// Pattern: thousands of endpoints repeat their entry every second, and every instance reads them all.
#[test]
fn an_entry_that_says_nothing_new_is_known() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e", "a", 4));
    let mut leaving = endpoint("e", "a", 4);
    leaving.leaving = true;

    assert!(table.knows(&endpoint("e", "a", 4)));
    assert!(!table.knows(&leaving));
    assert!(!table.knows(&endpoint("f", "a", 4)));

    table.remove(&"e".into(), Some(at(2_000)));

    assert!(!table.knows(&endpoint("e", "a", 4)));
    assert!(!table.has_expired(at(1_999)));
    assert!(table.has_expired(at(2_000)));
}

#[test]
fn a_removal_without_an_outage_counts_at_once() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e", "a", 4));

    let change = table.remove(&"e".into(), None);

    assert_eq!(change, EndpointChange::Removed);
    assert!(table.is_empty());
}

#[test]
fn a_new_start_under_the_same_name_is_told_apart() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e", "a", 4));
    let mut again = endpoint("e", "a", 4);
    again.started_unix_ms = 2;

    let change = table.insert(again);

    assert_eq!(change, EndpointChange::Restarted);
}

#[test]
fn leaving_endpoints_serve_nothing_new() {
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
fn a_complete_list_tells_who_is_missing() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("e", "a", 4));
    table.insert(endpoint("f", "a", 4));

    let listed: IndexSet<EndpointId> = [EndpointId::from("e")].into_iter().collect();
    let missing = table.missing_from(&listed);

    assert_eq!(missing, vec![EndpointId::from("f")]);
}
