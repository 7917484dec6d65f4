//! The leader is killed just after it gave an order, and its successor just after it has taken over; the
//! successor's process is started again. No engine may get orders of two machines within `leaseMs`.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engine::ReceivedOrder;
use crate::engine::Settings;
use crate::fleet::Bounds;
use crate::fleet::Fleet;
use crate::fleet::Item;
use crate::fleet::Verdict;
use crate::fleet::batch_job;
use crate::fleet::batch_route;
use crate::fleet::engine_service;

const LEASE: Duration = Duration::from_millis(3_000);
/// Time until a killed process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const LEADERSHIP_TOPIC: &str = "keyed.duty";

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    for index in 0..10 {
        fleet.start_engine(Settings {
            id: format!("engine-{index}"),
            service: "llm".to_owned(),
            software: "1.0".to_owned(),
            models: vec!["m0".to_owned(), "m1".to_owned()],
            slots: 4,
            event_time: Duration::from_millis(25),
            load_time: Duration::from_millis(900),
            checks_fences: false,
        })?;
    }
    let routes = vec![
        batch_route("first", "/first/", "llm", false, 7_500),
        batch_route("second", "/second/", "llm", false, 7_500),
    ];
    fleet.publish_configuration(7, routes, vec![engine_service("llm", 4)]);
    let bounds = Bounds {
        fencing_required: false,
    };
    fleet.start_daemons(3, bounds)?;
    // The first leader doesn't have to wait for the lease of another one.
    thread::sleep(Duration::from_secs(2));
    fleet.name_version("m0", 2);
    submit(fleet, "step-a", "m0", "/first/", 8)?;
    let first_order = wait("an order", || orders(fleet).first().cloned())?;
    let leader = machine_of(&first_order.holder);
    fleet.note(&format!("{leader} leads, its first order has arrived"));
    if has_trouble {
        let daemon = fleet.daemon(&leader).ok_or(io::ErrorKind::NotFound)?;
        fleet.kill(daemon);
        let killed = Instant::now();
        thread::sleep(Duration::from_millis(600));
        fleet.name_version("m1", 2);
        submit(fleet, "step-b", "m1", "/second/", 40)?;
        let successor = wait("a successor", || {
            let appends = fleet.store.conditional_appends(LEADERSHIP_TOPIC);
            let by_other = appends
                .into_iter()
                .filter(|append| append.machine != leader);
            by_other.last().filter(|append| append.at > killed)
        })?;
        fleet.note(&format!(
            "{} wrote to the store under a condition, it leads now",
            successor.machine
        ));
        let daemon = fleet
            .daemon(&successor.machine)
            .ok_or(io::ErrorKind::NotFound)?;
        fleet.kill(daemon);
        thread::sleep(RESTART_DELAY);
        fleet.start(daemon)?;
        thread::sleep(Duration::from_secs(2));
        let daemon = fleet.daemon(&leader).ok_or(io::ErrorKind::NotFound)?;
        fleet.start(daemon)?;
    } else {
        thread::sleep(Duration::from_millis(600));
        fleet.name_version("m1", 2);
        submit(fleet, "step-b", "m1", "/second/", 40)?;
    }
    thread::sleep(Duration::from_secs(10));
    let count = orders(fleet).len();
    let mut verdict = Verdict::Held;
    for engine in &fleet.engines {
        let orders = engine.orders();
        for pair in orders.windows(2) {
            let gap = pair[1].at - pair[0].at;
            let (first, second) = (machine_of(&pair[0].holder), machine_of(&pair[1].holder));
            if first != second && gap < LEASE {
                fleet.note(&format!(
                    "BROKEN: {} got orders of {first} (fencing token {}) and {second} (fencing token {}) within {} ms",
                    engine.settings.id, pair[0].fence, pair[1].fence, gap.as_millis()
                ));
                verdict = Verdict::Broken;
            }
        }
    }
    if count < 4 {
        return Ok(Verdict::CannotRun);
    }
    Ok(verdict)
}

/// Returns the machine of a holder; holders are named after it.
fn machine_of(holder: &str) -> String {
    holder
        .rsplit_once('-')
        .map_or(holder, |(machine, _)| machine)
        .to_owned()
}

fn orders(fleet: &Fleet) -> Vec<ReceivedOrder> {
    let mut orders: Vec<_> = fleet
        .engines
        .iter()
        .flat_map(|engine| engine.orders())
        .collect();
    orders.sort_by_key(|order| order.at);
    orders
}

fn submit(fleet: &Fleet, id: &str, model: &str, path: &str, count: usize) -> io::Result<()> {
    let items: Vec<Item> = (0..count)
        .map(|number| Item {
            id: format!("{id}i{number}"),
            group: format!("{id}g{}", number / 4),
            events: 16,
        })
        .collect();
    let job = batch_job(1, model, 2, path, &items);
    if fleet.submit(id, &format!("{path}1"), &job) {
        return Ok(());
    }
    Err(io::Error::other("a batch job was not accepted"))
}

fn wait<T>(what: &str, find: impl Fn() -> Option<T>) -> io::Result<T> {
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        if let Some(found) = find() {
            return Ok(found);
        }
        thread::sleep(Duration::from_millis(5));
    }
    Err(io::Error::other(format!("no {what} in time")))
}
