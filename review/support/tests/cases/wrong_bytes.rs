//! One of four engines hands out a wrong byte in one of fifty answers, in the line with the number of an
//! event. No result may be listed as completed with an event missing.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::cases::extra_order_answers::check;
use crate::engine::Settings;
use crate::fleet::Bounds;
use crate::fleet::Fleet;
use crate::fleet::Item;
use crate::fleet::Verdict;
use crate::fleet::batch_job;
use crate::fleet::batch_route;
use crate::fleet::engine_service;

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    for index in 0..4 {
        let engine = fleet.start_engine(Settings {
            id: format!("engine-{index}"),
            service: "llm".to_owned(),
            software: "1.0".to_owned(),
            models: vec!["m".to_owned()],
            slots: 12,
            event_time: Duration::from_millis(25),
            load_time: Duration::from_millis(900),
            checks_fences: false,
        })?;
        let every = if has_trouble && index == 0 { 50 } else { 0 };
        engine.faults.spoil_every.store(every, Ordering::SeqCst);
    }
    let routes = vec![batch_route("proposals", "/jobs/", "llm", false, 7_500)];
    fleet.publish_configuration(7, routes, vec![engine_service("llm", 12)]);
    let bounds = Bounds {
        fencing_required: false,
    };
    fleet.start_daemons(3, bounds)?;
    let mut jobs = Vec::new();
    for step in 0..3 {
        let items: Vec<Item> = (0..160)
            .map(|number| Item {
                id: format!("s{step}i{number}"),
                group: format!("s{step}g{}", number / 8),
                events: 17,
            })
            .collect();
        let id = format!("step-{step}");
        let job = batch_job(step, "m", 0, "/jobs/", &items);
        if !fleet.submit(&id, "/jobs/1", &job) {
            return Ok(Verdict::CannotRun);
        }
        let results = fleet.wait_results(&id, items.len(), Duration::from_secs(12));
        jobs.push((id, items, results));
    }
    Ok(check(fleet, &jobs))
}
