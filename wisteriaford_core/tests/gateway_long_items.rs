//! Where long items run, and when they leave a slow engine.

#[allow(dead_code, unused_imports)]
#[path = "fixtures/gateway.rs"]
mod fixtures;
#[allow(dead_code)]
#[path = "fixtures/schedule.rs"]
mod schedule;

use std::sync::Arc;

use indexmap::IndexSet;
use wisteriaford_core::gateway::job::ItemSpec;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::ModelId;

use crate::fixtures::at;
use crate::fixtures::item;
use crate::fixtures::job;
use crate::schedule::World;

/// Pattern: engines turn slow for seconds while long items run there.
#[test]
fn long_items_leave_a_slow_engine_while_others_have_room() {
    let mut world = World::new(&["e", "f", "slow"], 1);
    let items = ["a", "b", "c"].map(|name| item(name, name, 6_000));
    world.open(&job("j", items.to_vec()));
    let starts = world.starts(at(500));
    let on_slow = starts
        .iter()
        .find(|s| s.endpoint.id.as_str() == "slow")
        .cloned();
    let on_slow = on_slow.expect("an item at the slow engine");
    world.observe(&[("e", 38), ("f", 38), ("slow", 130)]);

    let (endpoints, fleet) = (&world.endpoints, &world.fleet);
    let no_room = world.schedule.move_from_slow(at(2_000), endpoints, fleet);
    world.fleet.ended(&"e".into());
    let moved = world
        .schedule
        .move_from_slow(at(2_000), &world.endpoints, &world.fleet);
    world.fleet.ended(&"slow".into());
    let again = world.starts(at(2_010));

    assert!(no_room.is_empty());
    assert_eq!(moved, [on_slow.run]);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].endpoint.id.as_str(), "e");
    assert!(Arc::ptr_eq(&again[0].item, &on_slow.item));
}

#[test]
fn short_items_stay_where_they_are() {
    let mut world = World::new(&["e", "f", "slow"], 4);
    world.open(&job("j", vec![item("a", "g", 58)]));
    world.starts(at(500));
    world.observe(&[("e", 38), ("f", 38), ("slow", 130)]);

    let moved = world
        .schedule
        .move_from_slow(at(2_000), &world.endpoints, &world.fleet);

    assert!(moved.is_empty());
}

#[test]
fn demand_counts_what_waits_and_runs() {
    let mut world = World::new(&["e"], 2);
    let items = (0..5).map(|n| item(&format!("i{n}"), "g", 0)).collect();
    world.open(&job("j", items));
    world.starts(at(0));

    let demand = world.schedule.demand(&world.endpoints, &world.fleet);

    let model = demand.get(&ModelId::from("m")).expect("the model");
    assert_eq!((model.items, model.waiting), (5, 3));
    let running = model.running.get(&EndpointId::from("e"));
    assert_eq!(running.map(|running| running.items), Some(2));
}

#[test]
fn demand_tells_which_engines_run_long_items() {
    let mut world = World::new(&["e"], 2);
    world.observe(&[("e", 50)]);
    world.open(&job("j", vec![item("a", "g", 9_000), item("b", "g", 58)]));
    world.starts(at(2_000));

    let demand = world.schedule.demand(&world.endpoints, &world.fleet);

    let model = demand.get(&ModelId::from("m")).expect("the model");
    let running = model.running.get(&EndpointId::from("e"));
    assert_eq!(
        running.map(|running| (running.items, running.long_items)),
        Some((2, 1))
    );
}

/// Pattern: one item in ten takes as long as a version lasts, and an engine that runs one can't be
/// loaded for the next step.
#[test]
fn long_items_share_few_engines() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut world = World::new(&names, 8);
    world.observe(&names.map(|name| (name, 50)));
    let long = (0..6).map(|n| item(&format!("long{n}"), &format!("g{n}"), 9_000));
    let short = (0..40).map(|n| item(&format!("short{n}"), &format!("g{}", n % 6), 300));
    world.open(&job("j", long.chain(short).collect()));

    let starts = world.starts(at(2_000));

    let of = |kind: &str| -> IndexSet<&str> {
        let of_kind = starts
            .iter()
            .filter(|s| s.item.id.as_str().starts_with(kind));
        of_kind.map(|start| start.endpoint.id.as_str()).collect()
    };
    assert_eq!(starts.len(), 46);
    assert_eq!(of("long").len(), 1);
    assert!(of("short").len() > 3, "{:?}", of("short"));
}

#[test]
fn long_items_leave_memory_for_others() {
    let names = ["a", "b", "c", "d"];
    let mut world = World::new(&names, 8);
    world.observe(&names.map(|name| (name, 50)));
    let long = (0..8).map(|n| {
        let spec = item(&format!("long{n}"), &format!("g{n}"), 9_000);
        Arc::new(ItemSpec {
            tokens: 20_000,
            ..ItemSpec::clone(&spec)
        })
    });
    world.open(&job("j", long.collect()));

    let starts = world.starts(at(2_000));

    // An engine has 80,000 tokens, so two items of 20,000 fill half of it, and a third too much.
    for name in names {
        let at_engine = starts.iter().filter(|s| s.endpoint.id.as_str() == name);
        assert_eq!(at_engine.count(), 2, "{name}");
    }
}

#[test]
fn long_items_join_no_slow_engine() {
    let mut world = World::new(&["e", "f"], 8);
    world.observe(&[("e", 50), ("f", 50)]);
    let long = |name: &str| vec![item(name, name, 9_000)];
    world.open(&job("j1", long("first")));
    let first = world.starts(at(2_000));
    let joined = first[0].endpoint.id.clone();
    let other = if joined.as_str() == "e" { "f" } else { "e" };
    world.observe(&[(joined.as_str(), 90), (other, 50)]);

    world.open(&job("j2", long("second")));
    let second = world.starts(at(2_010));

    assert_eq!(second[0].endpoint.id.as_str(), other);
}
