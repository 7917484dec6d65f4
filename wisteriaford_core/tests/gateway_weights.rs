//! Rollout of weights to engines that carry out one order at a time.

#[allow(dead_code, unused_imports)]
#[path = "fixtures/gateway.rs"]
mod fixtures;

use indexmap::IndexMap;
use indexmap::IndexSet;
use wisteriaford_core::gateway::weights::EngineReport;
use wisteriaford_core::gateway::weights::EngineView;
use wisteriaford_core::gateway::weights::ModelDemand;
use wisteriaford_core::gateway::weights::OrderOutcome;
use wisteriaford_core::gateway::weights::RunningItems;
use wisteriaford_core::gateway::weights::WeightAction;
use wisteriaford_core::gateway::weights::WeightPlan;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::Version;
use wisteriaford_core::time::Timestamp;

use crate::fixtures::at;

fn views(count: usize, models: &[&str]) -> Vec<EngineView> {
    let views = (0..count).map(|n| EngineView {
        endpoint: format!("e{n}").into(),
        slots: 10,
        models: models.iter().map(|model| ModelId::from(*model)).collect(),
        started_unix_ms: 1,
    });
    views.collect()
}

fn report(models: &[(&str, u64)], accepted_orders: u64) -> EngineReport {
    let versions = models.iter();
    let versions = versions.map(|(model, version)| (ModelId::from(*model), Version(*version)));
    EngineReport {
        versions: versions.collect(),
        accepted_orders,
        busy: false,
    }
}

fn demand(models: &[(&str, u64)]) -> IndexMap<ModelId, ModelDemand> {
    let demand = models.iter().map(|(model, items)| {
        let demand = ModelDemand {
            items: *items,
            ..ModelDemand::default()
        };
        (ModelId::from(*model), demand)
    });
    demand.collect()
}

/// Returns the given numbers of running items for each engine.
fn running(
    views: &[EngineView],
    items: u32,
    long_items: u32,
) -> IndexMap<EndpointId, RunningItems> {
    let running = RunningItems { long_items, items };
    let engines = views.iter().map(|view| view.endpoint.clone());
    engines.map(|endpoint| (endpoint, running)).collect()
}

/// Returns a plan with the reported state of every engine.
fn plan(now: Timestamp, views: &[EngineView], models: &[(&str, u64)]) -> WeightPlan {
    let mut plan = WeightPlan::default();
    for (model, version) in models {
        plan.set_target(at(1_000), &ModelId::from(*model), Version(*version));
    }
    plan.next_actions(now, views, &IndexMap::new());
    for view in views {
        let initial = report(models, 0);
        plan.on_report(now, &view.endpoint, Some(initial));
    }
    plan
}

fn orders(actions: &[WeightAction]) -> Vec<(EndpointId, ModelId, Version, u64)> {
    let orders = actions.iter().filter_map(|action| match action {
        WeightAction::Order {
            endpoint,
            model,
            version,
            expected_orders,
        } => Some((endpoint.clone(), model.clone(), *version, *expected_orders)),
        WeightAction::Inspect { .. } => None,
    });
    orders.collect()
}

/// Plans orders every 100 ms, completes each immediately, and returns the engines that received
/// one.
fn run_loads(
    plan: &mut WeightPlan,
    views: &[EngineView],
    demand: &IndexMap<ModelId, ModelDemand>,
    rounds: u64,
) -> Vec<EndpointId> {
    let mut loaded = Vec::new();
    for round in 1..rounds {
        let now = at(1_000 + round * 100);
        for (endpoint, ..) in orders(&plan.next_actions(now, views, demand)) {
            plan.on_order_outcome(now, &endpoint, OrderOutcome::AlreadyHolds);
            loaded.push(endpoint);
        }
    }
    loaded
}

#[test]
fn engines_are_inspected_before_they_get_orders() {
    let views = views(2, &["m"]);
    let mut plan = WeightPlan::default();
    plan.set_target(at(1_000), &ModelId::from("m"), Version(2));

    let actions = plan.next_actions(at(0), &views, &demand(&[("m", 20)]));

    assert_eq!(actions.len(), 2);
    assert!(orders(&actions).is_empty());
}

#[test]
fn concurrent_loads_are_limited() {
    let views = views(20, &["m"]);
    let mut plan = plan(at(0), &views, &[("m", 1)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(3));

    let actions = plan.next_actions(at(1_000), &views, &demand(&[("m", 200)]));

    // A fifth of the engines, and one queued load.
    assert_eq!(orders(&actions).len(), 5);
}

/// Guards against loads that begin late: three trainers announce versions as fast as the engines
/// can load them.
#[test]
fn queued_loads_grow_with_the_number_of_engines() {
    let views = views(48, &["m"]);
    let mut plan = plan(at(0), &views, &[("m", 1)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(3));

    let actions = plan.next_actions(at(1_000), &views, &demand(&[("m", 480)]));

    // Nine concurrent loads, and three queued ones.
    assert_eq!(orders(&actions).len(), 12);
}

/// Guards against delaying long items for loads that the next step doesn't need: versions come
/// faster than all engines can load them, and a step also accepts the previous version.
#[test]
fn usable_engines_are_not_loaded_while_they_run_long_items() {
    let views = views(4, &["m"]);
    let mut plan = plan(at(0), &views, &[("m", 1)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(2));
    let mut busy = demand(&[("m", 40)]);
    let model = busy.get_mut(&ModelId::from("m")).expect("the model");
    model.running = running(&views, 1, 1);

    let actions = plan.next_actions(at(1_000), &views, &busy);

    assert!(orders(&actions).is_empty());
}

/// Guards against engines staying unloaded although they run only short items: the long items of a
/// step outlast the version, while the others run for a second.
#[test]
fn engines_without_long_items_are_preloaded() {
    let views = views(4, &["m"]);
    let mut plan = plan(at(0), &views, &[("m", 1)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(2));
    let mut busy = demand(&[("m", 40)]);
    let model = busy.get_mut(&ModelId::from("m")).expect("the model");
    model.running = running(&views[..3], 3, 2);
    model.running.extend(running(&views[3..], 3, 0));

    let actions = plan.next_actions(at(1_000), &views, &busy);

    let ordered: Vec<_> = orders(&actions).into_iter().map(|order| order.0).collect();
    assert_eq!(ordered, [views[3].endpoint.clone()]);
}

#[test]
fn no_engine_is_preloaded_while_items_wait() {
    let views = views(4, &["m"]);
    let mut plan = plan(at(0), &views, &[("m", 1)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(2));
    let mut busy = demand(&[("m", 40)]);
    let model = busy.get_mut(&ModelId::from("m")).expect("the model");
    model.waiting = 5;

    let actions = plan.next_actions(at(1_000), &views, &busy);

    assert!(orders(&actions).is_empty());
}

/// Guards against items of one model taking the slots of another when three trainers share the
/// engines.
#[test]
fn models_load_different_engines() {
    let views = views(30, &["m", "n", "o"]);
    let mut plan = plan(at(0), &views, &[("m", 1), ("n", 1), ("o", 1)]);
    let need = demand(&[("m", 80), ("n", 80), ("o", 80)]);
    for model in ["m", "n", "o"] {
        plan.set_target(at(1_000), &ModelId::from(model), Version(3));
    }

    let loaded = run_loads(&mut plan, &views, &need, 60);

    // 80 items want 100 slots, which is 10 engines per model.
    assert_eq!(loaded.len(), 30);
    let distinct: IndexSet<_> = loaded.iter().collect();
    assert_eq!(distinct.len(), 30);
}

#[test]
fn idle_engines_are_preloaded() {
    let views = views(4, &["m"]);
    let mut plan = plan(at(0), &views, &[("m", 1)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(2));

    let actions = plan.next_actions(at(1_000), &views, &demand(&[("m", 40)]));

    assert_eq!(orders(&actions).len(), 1);
}

#[test]
fn no_more_engines_are_loaded_than_the_items_need() {
    let views = views(10, &["m"]);
    let mut plan = plan(at(0), &views, &[("m", 1)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(3));
    let need = demand(&[("m", 16)]);

    let mut ordered = 0;
    for step in 1..9 {
        let now = at(step * 1_000);
        for (endpoint, ..) in orders(&plan.next_actions(now, &views, &need)) {
            ordered += 1;
            plan.on_order_outcome(now, &endpoint, OrderOutcome::Accepted);
            let done = report(&[("m", 3)], 1);
            plan.on_report(at(step * 1_000 + 900), &endpoint, Some(done));
        }
    }

    // 16 items want 20 slots, which is two engines.
    assert_eq!(ordered, 2);
}

#[test]
fn all_engines_are_loaded_once_a_version_has_been_the_newest_for_long() {
    let views = views(4, &["m"]);
    let mut plan = plan(at(0), &views, &[("m", 3)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(4));
    let need = demand(&[("m", 1)]);

    let mut ordered = 0;
    for step in 1..200 {
        let now = at(1_000 + step * 100);
        for action in plan.next_actions(now, &views, &need) {
            let (WeightAction::Order { endpoint, .. } | WeightAction::Inspect { endpoint }) =
                &action;
            if matches!(action, WeightAction::Order { .. }) {
                ordered += 1;
                plan.on_order_outcome(now, endpoint, OrderOutcome::Accepted);
            } else {
                plan.on_report(now, endpoint, Some(report(&[("m", 4)], 1)));
            }
        }
    }

    assert_eq!(ordered, 4);
}

/// Guards against a second order to an engine that is still loading, when two trainers share the
/// engines.
#[test]
fn an_engine_gets_one_order_at_a_time() {
    let views = views(1, &["m", "n"]);
    let mut plan = plan(at(0), &views, &[("m", 1), ("n", 1)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(3));
    plan.set_target(at(1_000), &ModelId::from("n"), Version(3));
    let need = demand(&[("m", 10), ("n", 10)]);

    let first = orders(&plan.next_actions(at(1_000), &views, &need));
    let second = orders(&plan.next_actions(at(1_050), &views, &need));

    assert_eq!(first.len(), 1);
    assert!(second.is_empty());
}

#[test]
fn the_model_that_lacks_most_slots_is_loaded_first() {
    let views = views(4, &["m", "n"]);
    let mut plan = plan(at(0), &views, &[("m", 3), ("n", 1)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(4));
    plan.set_target(at(1_000), &ModelId::from("n"), Version(3));

    let actions = plan.next_actions(at(1_000), &views, &demand(&[("m", 40), ("n", 40)]));

    let models: Vec<_> = orders(&actions).into_iter().map(|order| order.1).collect();
    assert_eq!(models, [ModelId::from("n")]);
}

/// Guards against planning more loads than the engines can complete: three trainers share the
/// engines, and versions come faster than all engines can load them for every model.
#[test]
fn models_that_share_engines_load_fewer_of_them() {
    let views = views(40, &["m", "n", "o"]);
    let old = [("m", 1), ("n", 1), ("o", 1)];
    let mut plan = plan(at(0), &views, &old);
    let need = demand(&[("m", 320), ("n", 320), ("o", 320)]);
    for (model, _) in old {
        plan.set_target(at(1_000), &ModelId::from(model), Version(3));
    }

    let loads = run_loads(&mut plan, &views, &need, 90).len();

    // The models want three times the available slots, so each gets a third of the engines.
    assert!((39..=42).contains(&loads), "{loads} loads");
}

#[test]
fn an_order_whose_answer_was_lost_is_repeated_after_an_inspection() {
    let views = views(1, &["m"]);
    let mut plan = plan(at(0), &views, &[("m", 1)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(3));
    let need = demand(&[("m", 10)]);
    let first = orders(&plan.next_actions(at(1_000), &views, &need));
    plan.on_order_outcome(at(1_800), &"e0".into(), OrderOutcome::Unknown);

    let inspections = plan.next_actions(at(2_400), &views, &need);
    plan.on_report(at(2_450), &"e0".into(), Some(report(&[("m", 1)], 0)));
    let repeated = orders(&plan.next_actions(at(3_000), &views, &need));

    let endpoint = EndpointId::from("e0");
    assert_eq!(inspections, [WeightAction::Inspect { endpoint }]);
    // Both orders expect the same number of accepted orders, so the engine carries out only one.
    assert_eq!(first.first().map(|order| order.3), Some(0));
    assert_eq!(repeated.first().map(|order| order.3), Some(0));
}

#[test]
fn a_restarted_engine_is_inspected_again() {
    let mut views = views(1, &["m"]);
    let mut plan = plan(at(0), &views, &[("m", 1)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(3));
    views[0].started_unix_ms = 2;

    let actions = plan.next_actions(at(1_000), &views, &demand(&[("m", 10)]));

    let endpoint = EndpointId::from("e0");
    assert_eq!(actions, [WeightAction::Inspect { endpoint }]);
}

#[test]
fn an_older_version_does_not_replace_the_target() {
    let views = views(1, &["m"]);
    let mut plan = plan(at(0), &views, &[("m", 1)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(4));
    plan.set_target(at(1_000), &ModelId::from("m"), Version(3));

    let actions = plan.next_actions(at(1_000), &views, &demand(&[("m", 10)]));

    assert_eq!(
        orders(&actions).first().map(|order| order.2),
        Some(Version(4))
    );
}

/// Guards against items that wait for good, if their batch job doesn't accept the version before the
/// newest one.
#[test]
fn engines_are_loaded_for_items_that_need_the_newest_version() {
    let views = views(4, &["m"]);
    let mut plan = plan(at(0), &views, &[("m", 3)]);
    plan.set_target(at(1_000), &ModelId::from("m"), Version(4));
    let mut need = demand(&[("m", 4)]);
    need[&ModelId::from("m")].waiting = 4;

    let before = orders(&plan.next_actions(at(1_000), &views, &need));
    need[&ModelId::from("m")].min_version = Version(4);
    let after = orders(&plan.next_actions(at(1_050), &views, &need));

    assert!(before.is_empty());
    assert_eq!(after.len(), 1);
}
