//! Choice among endpoints under load: slow, failing, full and distant ones.

#[allow(dead_code, unused_imports)]
#[path = "fixtures/gateway.rs"]
mod fixtures;

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use rstest::rstest;
use wisteriaford_core::gateway::endpoint::EndpointTable;
use wisteriaford_core::gateway::fleet::CALL_COSTS;
use wisteriaford_core::gateway::fleet::Fleet;
use wisteriaford_core::gateway::fleet::ITEM_COSTS;
use wisteriaford_core::gateway::fleet::Query;
use wisteriaford_core::gateway::fleet::Shortlist;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::time::Timestamp;

use crate::fixtures::at;
use crate::fixtures::endpoint;
use crate::fixtures::endpoints;

fn fleet() -> Fleet {
    Fleet::new("a".into())
}

fn query<'a>(pool: &'a PoolId, tried: &'a [EndpointId]) -> Query<'a> {
    Query {
        pool,
        tried,
        affinity: None,
        max_in_flight: None,
        may_force: true,
        costs: CALL_COSTS,
    }
}

fn choose(
    fleet: &Fleet,
    now: Timestamp,
    table: &EndpointTable,
    query: &Query<'_>,
) -> Option<String> {
    let chosen = fleet.choose(now, table, query, |_| 1, |_| true);
    chosen.map(|(endpoint, _)| endpoint.id.to_string())
}

/// Lets every endpoint work at its pace for a second, 25 units of work a second and slot.
fn observe(fleet: &mut Fleet, paces: &[(&str, u64)]) {
    let pool = "engines".into();
    for step in 0..100 {
        for (name, millis) in paces {
            let taken = Duration::from_millis(*millis);
            fleet.note_pace(at(1_000 + step * 10), &pool, &(*name).into(), taken);
        }
    }
}

#[test]
fn calls_spread_by_requests_in_progress() {
    let table = endpoints(&["e", "f"], 4);
    let mut fleet = fleet();
    fleet.started(&"e".into());

    let pool = "engines".into();
    let chosen = choose(&fleet, at(0), &table, &query(&pool, &[]));

    assert_eq!(chosen.as_deref(), Some("f"));
}

#[test]
fn an_endpoint_of_the_own_zone_comes_first() {
    let mut table = EndpointTable::default();
    table.insert(endpoint("far", "b", 4));
    table.insert(endpoint("near", "a", 4));

    let pool = "engines".into();
    let chosen = choose(&fleet(), at(0), &table, &query(&pool, &[]));

    assert_eq!(chosen.as_deref(), Some("near"));
}

#[test]
fn an_endpoint_that_fails_in_a_row_is_left_out_for_a_while() {
    let table = endpoints(&["e", "f"], 4);
    let mut fleet = fleet();
    fleet.note_failure(at(0), &"e".into());
    fleet.note_failure(at(0), &"e".into());
    fleet.started(&"f".into());

    let pool = "engines".into();
    let during = choose(&fleet, at(100), &table, &query(&pool, &[]));
    let after = choose(&fleet, at(1_000), &table, &query(&pool, &[]));

    assert_eq!(during.as_deref(), Some("f"));
    assert_eq!(after.as_deref(), Some("e"));
}

#[test]
fn the_last_endpoint_is_taken_though_it_fails() {
    let table = endpoints(&["e"], 4);
    let mut fleet = fleet();
    fleet.note_unreachable(at(0), &"e".into());

    let pool = "engines".into();
    let mut asked = query(&pool, &[]);
    let forced = choose(&fleet, at(1), &table, &asked);
    asked.may_force = false;
    let patient = choose(&fleet, at(1), &table, &asked);

    assert_eq!(forced.as_deref(), Some("e"));
    assert_eq!(patient, None);
}

#[test]
fn endpoints_that_were_tried_are_not_taken_again() {
    let table = endpoints(&["e", "f"], 4);
    let tried = [EndpointId::from("e")];

    let pool = "engines".into();
    let chosen = choose(&fleet(), at(0), &table, &query(&pool, &tried));

    assert_eq!(chosen.as_deref(), Some("f"));
}

#[test]
fn full_engines_get_no_further_items() {
    let table = endpoints(&["e"], 2);
    let mut fleet = fleet();
    fleet.started(&"e".into());
    fleet.started(&"e".into());

    let pool = "engines".into();
    let mut asked = query(&pool, &[]);
    asked.max_in_flight = Some(2);
    let chosen = choose(&fleet, at(0), &table, &asked);

    assert_eq!(chosen, None);
}

/// Pattern: engines of one pool differ by 1.3 in pace, and long items end late at slow ones.
#[test]
fn items_go_to_a_fast_engine_though_a_slow_one_is_empty() {
    let table = endpoints(&["fast", "middle", "slow"], 12);
    let mut fleet = fleet();
    observe(&mut fleet, &[("fast", 38), ("middle", 38), ("slow", 50)]);
    for _ in 0..11 {
        fleet.started(&"fast".into());
        fleet.started(&"middle".into());
    }

    let pool = "engines".into();
    let mut asked = query(&pool, &[]);
    asked.costs = ITEM_COSTS;
    let chosen = choose(&fleet, at(2_000), &table, &asked);

    assert_ne!(chosen.as_deref(), Some("slow"));
}

/// Pattern: a step begins, and all engines read prompts at once.
#[test]
fn engines_that_all_get_slower_are_not_slow() {
    let mut fleet = fleet();
    observe(&mut fleet, &[("e", 38), ("f", 38), ("g", 38)]);
    let pool = "engines".into();
    for step in 0..50 {
        for name in ["e", "f", "g"] {
            let taken = Duration::from_millis(110);
            fleet.note_pace(at(3_000 + step * 10), &pool, &name.into(), taken);
        }
    }

    let paces = ["e", "f", "g"].map(|name| fleet.relative_pace(at(3_500), &name.into()));

    assert!(paces.iter().all(|pace| *pace < 1.2), "{paces:?}");
}

#[test]
fn a_slow_engine_is_seen_and_forgiven_later() {
    let mut fleet = fleet();
    observe(&mut fleet, &[("e", 38), ("f", 38), ("slow", 130)]);

    let during = fleet.relative_pace(at(2_000), &"slow".into());
    let later = fleet.relative_pace(at(30_000), &"slow".into());

    assert!(during > 2.5, "{during}");
    assert!(later < 1.2, "{later}");
}

/// Endpoints with paces and requests in progress that a seed decides.
fn busy_pool(seed: u64) -> (EndpointTable, Fleet) {
    let mut random = Pcg32::seed_from_u64(seed);
    let names: Vec<String> = (0..12).map(|number| format!("e{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut fleet = fleet();
    let paces: Vec<(&str, u64)> = names
        .iter()
        .map(|name| (*name, random.random_range(40..90)))
        .collect();
    observe(&mut fleet, &paces);
    for name in &names {
        for _ in 0..random.random_range(0..8) {
            fleet.started(&(*name).into());
        }
    }
    fleet.note_unreachable(at(1_990), &"e3".into());
    (endpoints(&names, 8), fleet)
}

/// Pattern: hundreds of items of a step start before thousands of engines.
#[rstest]
fn a_shortlist_chooses_as_looking_at_all_does(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let (table, mut one_by_one) = busy_pool(seed);
    let mut listed = one_by_one.clone();
    let pool = "engines".into();
    let cached = EndpointId::from("e5");
    let now = at(2_000);
    let mut asked = query(&pool, &[]);
    asked.costs = ITEM_COSTS;
    asked.may_force = false;
    asked.max_in_flight = Some(8);
    let mut shortlist = Shortlist::new(
        &listed,
        now,
        &table,
        &asked,
        |_| 100,
        |e| e.id != "e7".into(),
    );

    for number in 0..100 {
        asked.affinity = (number % 3 == 0).then_some(&cached);
        let expected = one_by_one.choose(now, &table, &asked, |_| 100, |e| e.id != "e7".into());
        let chosen = shortlist.choose(&mut listed, asked.affinity);

        let expected = expected.map(|(endpoint, _)| endpoint.id.clone());
        assert_eq!(chosen.map(|(endpoint, _)| endpoint.id.clone()), expected);
        if let Some(id) = expected {
            one_by_one.started(&id);
        }
    }
    // Both ran out of slots.
    assert!(shortlist.choose(&mut listed, None).is_none());
}
