//! One of three servers answers a few calls with a body without end. A configuration that moves a route to
//! another service must be in force `configApplyMs` after its acknowledgement.

use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Settings;
use crate::fleet::Bounds;
use crate::fleet::Fleet;
use crate::fleet::Verdict;
use crate::fleet::call_route;
use crate::fleet::plain_service;
use crate::json::Json;

/// `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Routes that the configuration has grown by.
const MORE_ROUTES: usize = 350;
/// Calls that one daemon gets before the configuration changes.
const CALLS: usize = 640;
const CALL_INTERVAL: Duration = Duration::from_millis(15);
/// One answer of the faulty server in so many has a body without end.
const ENDLESS_EVERY: u64 = 50;
const PROBES: usize = 12;

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    for (service, count) in [("portal", 3), ("portal-next", 2)] {
        for index in 0..count {
            fleet.start_engine(Settings {
                id: format!("{service}-{index}"),
                service: service.to_owned(),
                software: "1.0".to_owned(),
                models: Vec::new(),
                slots: 12,
                event_time: Duration::from_millis(150),
                load_time: Duration::from_millis(900),
                checks_fences: false,
            })?;
        }
    }
    fleet.publish_configuration(7, routes("portal"), services());
    let bounds = Bounds {
        fencing_required: false,
    };
    fleet.start_daemons(3, bounds)?;
    // Longer than `stableWindowMs`, so that all machines are in touch.
    thread::sleep(Duration::from_secs(4));
    let fleet = &*fleet;
    let verdict = thread::scope(|scope| {
        let mut faulty = &fleet.engines[0];
        for number in 0..CALLS {
            if number == CALLS / 4 {
                // Any of the three may be the one in trouble; this one is in use.
                let servers = fleet.engines[..3].iter();
                faulty = servers
                    .max_by_key(|server| server.call_counts().0)
                    .unwrap_or(faulty);
                if has_trouble {
                    faulty
                        .faults
                        .endless_every
                        .store(ENDLESS_EVERY, Ordering::SeqCst);
                }
            }
            scope.spawn(move || {
                let id = format!("quote-{number}");
                let headers = [("x-request-id", &*id), ("x-deadline-milliseconds", "10000")];
                let timeout = Duration::from_secs(11);
                let daemon = &fleet.daemons[0];
                let answer = fleet.call(daemon, "POST", "/quotes/1", &headers, b"?", timeout);
                let status = answer.map_or(0, |answer| answer.status);
                if status != 200 {
                    fleet.note(&format!("{id}: answered {status}"));
                }
            });
            thread::sleep(CALL_INTERVAL);
        }
        let (calls, endless) = faulty.call_counts();
        fleet.note(&format!(
            "portal-0: {endless} of {calls} answers have no end"
        ));
        fleet.publish_configuration(9, routes("portal-next"), services());
        let acknowledged = Instant::now();
        thread::sleep(CONFIG_APPLY + Duration::from_millis(100));
        let mut verdict = Verdict::Held;
        for number in 0..PROBES {
            for daemon in &fleet.daemons {
                let id = format!("probe-{number}-{}", daemon.name);
                let headers = [("x-request-id", &*id), ("x-deadline-milliseconds", "2000")];
                let timeout = Duration::from_secs(3);
                let after_ms = acknowledged.elapsed().as_millis();
                let answer = fleet.call(daemon, "POST", "/moved/1", &headers, b"?", timeout);
                let answer = answer.unwrap_or_default();
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                fleet.note(&format!(
                    "{id}, {after_ms} ms after the acknowledgement of version 9: answered {} {body:?}",
                    answer.status
                ));
                if answer.status == 200 && body.starts_with("portal answers") {
                    fleet.note(&format!("BROKEN: {id} was run by the old service"));
                    verdict = Verdict::Broken;
                }
            }
            thread::sleep(Duration::from_millis(250));
        }
        verdict
    });
    Ok(verdict)
}

fn services() -> Vec<Json> {
    vec![plain_service("portal"), plain_service("portal-next")]
}

fn routes(moved_to: &str) -> Vec<Json> {
    let mut routes = vec![
        call_route("quotes", "/quotes/", "unsafe", "portal", 10_000),
        call_route("moved", "/moved/", "safe", moved_to, 2_000),
    ];
    for number in 0..MORE_ROUTES {
        let prefix = format!("/more/{number}/");
        routes.push(call_route(
            &format!("more-{number}"),
            &prefix,
            "safe",
            "portal",
            2_000,
        ));
    }
    routes
}
