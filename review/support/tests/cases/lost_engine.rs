//! One of six engines is lost for good while it runs an item on a route that wants a single version, and
//! the others have loaded the next version meanwhile. The item must reach an engine again before its step
//! runs out of time.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engine::RunRecord;
use crate::engine::Settings;
use crate::fleet::Bounds;
use crate::fleet::Fleet;
use crate::fleet::Item;
use crate::fleet::Verdict;
use crate::fleet::batch_job;
use crate::fleet::batch_route;
use crate::fleet::engine_service;

/// Time of a step, from its submission.
const STEP_TIME: Duration = Duration::from_secs(30);
/// Span at no engine in steady state from which the rule is broken.
const IDLE_SPAN: Duration = Duration::from_secs(5);
/// `stableWindowMs`: time after the disruption from which the state is steady.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Span before that in which no version may have been named.
const NAMING_SPAN: Duration = Duration::from_secs(6);
const LONG_EVENTS: u64 = 110;

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    for index in 0..6 {
        fleet.start_engine(Settings {
            id: format!("engine-{index}"),
            service: "llm".to_owned(),
            software: "1.0".to_owned(),
            models: vec!["m".to_owned()],
            slots: 12,
            event_time: Duration::from_millis(80),
            load_time: Duration::from_millis(900),
            checks_fences: false,
        })?;
    }
    let step_ms = STEP_TIME.as_millis() as u64;
    let routes = vec![batch_route("proposals", "/jobs/", "llm", true, step_ms)];
    fleet.publish_configuration(7, routes, vec![engine_service("llm", 12)]);
    let bounds = Bounds {
        fencing_required: false,
    };
    fleet.start_daemons(3, bounds)?;
    let first = short_items("a");
    if !fleet.submit("step-0", "/jobs/1", &batch_job(0, "m", 0, "/jobs/", &first)) {
        return Ok(Verdict::CannotRun);
    }
    // The trainer requests a step ahead, so that two of its batch jobs are open.
    let mut items = short_items("b");
    items.push(Item {
        id: "long".to_owned(),
        group: "b5".to_owned(),
        events: LONG_EVENTS,
    });
    let submitted = Instant::now();
    if !fleet.submit("step-1", "/jobs/1", &batch_job(1, "m", 0, "/jobs/", &items)) {
        return Ok(Verdict::CannotRun);
    }
    let done = fleet.wait_results("step-0", first.len(), Duration::from_secs(5));
    if done.len() < first.len() || !fleet.end_job("step-0") {
        return Ok(Verdict::CannotRun);
    }
    let is_long = |run: &RunRecord| run.request == "long";
    let holder = fleet
        .engines
        .iter()
        .position(|engine| engine.runs().iter().any(is_long));
    let Some(holder) = holder else {
        return Err(io::Error::other("the long item didn't begin"));
    };
    let named = Instant::now();
    fleet.name_version("m", 2);
    let others = || {
        fleet
            .engines
            .iter()
            .enumerate()
            .filter(move |(index, _)| *index != holder)
    };
    while others().any(|(_, engine)| engine.version("m") < 2) {
        if submitted.elapsed() > Duration::from_secs(8) {
            return Err(io::Error::other(
                "the other engines didn't load the version in time",
            ));
        }
        thread::sleep(Duration::from_millis(20));
    }
    fleet.note("all engines but that of the long item have version 2");
    let mut steady_from = Instant::now();
    if has_trouble {
        fleet.engines[holder].crash();
        fleet.note(&format!(
            "{} is lost for good",
            fleet.engines[holder].settings.id
        ));
        steady_from = Instant::now() + STABLE_WINDOW;
    }
    let steady_from = steady_from.max(named + NAMING_SPAN);
    let mut most_running = 0;
    let mut idle_since: Option<Instant> = None;
    let mut longest_idle = Duration::ZERO;
    let mut is_listed = false;
    while submitted.elapsed() < STEP_TIME && !is_listed {
        let now = Instant::now();
        let is_running = |run: &RunRecord| is_long(run) && run.ended.is_none();
        let at_engine = fleet
            .engines
            .iter()
            .any(|engine| engine.runs().iter().any(is_running));
        if at_engine || now < steady_from {
            idle_since = None;
        } else {
            let since = *idle_since.get_or_insert(now);
            longest_idle = longest_idle.max(now - since);
            let running = fleet.engines.iter().map(|engine| engine.running());
            most_running = most_running.max(running.sum());
        }
        if now.duration_since(submitted).as_millis() % 1_000 < 60 {
            let results = fleet
                .results(&fleet.daemons[0], "step-1")
                .unwrap_or_default();
            is_listed = results.iter().any(|result| result.text("id") == "long");
        }
        thread::sleep(Duration::from_millis(50));
    }
    let results = fleet
        .results(&fleet.daemons[1], "step-1")
        .unwrap_or_default();
    fleet.note(&format!(
        "at {:.1} s of the step: {} of {} results listed, long item listed: {is_listed}, at no engine for {:.1} s of \
         steady state, with at most {most_running} requests at the engines, which have 60 slots",
        submitted.elapsed().as_secs_f64(),
        results.len(),
        items.len(),
        longest_idle.as_secs_f64()
    ));
    Ok(if is_listed {
        Verdict::Held
    } else if longest_idle >= IDLE_SPAN && most_running < 30 && !results.is_empty() {
        Verdict::Broken
    } else {
        Verdict::CannotRun
    })
}

fn short_items(name: &str) -> Vec<Item> {
    let items = (0..40).map(|number| Item {
        id: format!("{name}-{number}"),
        group: format!("{name}{}", number / 8),
        events: 6,
    });
    items.collect()
}
