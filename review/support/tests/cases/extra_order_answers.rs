//! Two of four engines send their answer to one order a second time, late, where the answer to a later
//! request is expected. No result may be listed as completed without the whole output of its item.

use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::engine::Settings;
use crate::engine::event_data;
use crate::fleet::Bounds;
use crate::fleet::Fleet;
use crate::fleet::Item;
use crate::fleet::Verdict;
use crate::fleet::batch_job;
use crate::fleet::batch_route;
use crate::fleet::engine_service;
use crate::json::Json;

const EVENTS: u64 = 12;

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    for index in 0..4 {
        fleet.start_engine(Settings {
            id: format!("engine-{index}"),
            service: "llm".to_owned(),
            software: "1.0".to_owned(),
            models: vec!["m".to_owned()],
            slots: 12,
            event_time: Duration::from_millis(25),
            load_time: Duration::from_millis(900),
            checks_fences: false,
        })?;
    }
    let routes = vec![batch_route("proposals", "/jobs/", "llm", false, 7_500)];
    fleet.publish_configuration(7, routes, vec![engine_service("llm", 12)]);
    let bounds = Bounds {
        fencing_required: false,
    };
    fleet.start_daemons(3, bounds)?;
    if has_trouble {
        for engine in &fleet.engines[..2] {
            engine.faults.extra_order_answers.store(1, Ordering::SeqCst);
        }
    }
    let mut jobs = Vec::new();
    for step in 0..3 {
        if step > 0 {
            fleet.name_version("m", step + 1);
        }
        let items: Vec<Item> = (0..160)
            .map(|number| Item {
                id: format!("s{step}i{number}"),
                group: format!("s{step}g{}", number / 8),
                events: EVENTS,
            })
            .collect();
        let id = format!("step-{step}");
        let job = batch_job(step, "m", step, "/jobs/", &items);
        if !fleet.submit(&id, "/jobs/1", &job) {
            return Ok(Verdict::CannotRun);
        }
        let results = fleet.wait_results(&id, items.len(), Duration::from_secs(12));
        jobs.push((id, items, results));
        thread::sleep(Duration::from_secs(4));
    }
    Ok(check(fleet, &jobs))
}

/// Checks that the text of each completed result is the whole output of its item.
pub fn check(fleet: &Fleet, jobs: &[(String, Vec<Item>, Vec<Json>)]) -> Verdict {
    for engine in &fleet.engines {
        let (answers, streams, spoiled, extra) = engine.counts();
        fleet.note(&format!(
            "{}: {answers} answers, {streams} streams, {spoiled} with a wrong byte, {extra} extra answers",
            engine.settings.id
        ));
    }
    let mut verdict = Verdict::Held;
    let mut listed = 0;
    for (job, items, results) in jobs {
        listed += results.len();
        for result in results {
            let (id, state, text) = (result.text("id"), result.text("state"), result.text("text"));
            let Some(item) = items.iter().find(|item| item.id == id) else {
                fleet.note(&format!("{job}: a result names the unknown item {id}"));
                verdict = Verdict::Broken;
                continue;
            };
            let events = (1..=item.events).map(|event| event_data(&id, event));
            let whole = events.collect::<Vec<_>>().join("\n");
            if state == "completed" && text != whole {
                fleet.note(&format!(
                    "BROKEN: {job} lists {id} as completed with {} of {} events: {text:?}",
                    text.lines().count(),
                    item.events
                ));
                verdict = Verdict::Broken;
            }
        }
    }
    if listed == 0 {
        return Verdict::CannotRun;
    }
    verdict
}
