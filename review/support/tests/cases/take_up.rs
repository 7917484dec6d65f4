//! All daemons are killed at the same time while clients receive streams, and start again. Streams that the
//! clients take up again must go on about as often as new streams begin.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engine::Settings;
use crate::fleet::Bounds;
use crate::fleet::Daemon;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::Verdict;
use crate::fleet::engine_service;
use crate::fleet::stream_route;
use crate::http::StreamEnd;
use crate::http::read_stream;

const STREAMS: usize = 16;
/// Fewer streams that are taken up than this aren't judged.
const MIN_JUDGED: usize = 12;
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// `stableWindowMs`: time after its start from which a machine is in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Time after which a client takes its stream up once more.
const RETRY_DELAY: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(20);
const EVENT_TIME: Duration = Duration::from_millis(150);

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> io::Result<Verdict> {
    for index in 0..4 {
        fleet.start_engine(Settings {
            id: format!("engine-{index}"),
            service: "llm".to_owned(),
            software: "1.0".to_owned(),
            models: vec!["m".to_owned()],
            slots: 12,
            event_time: EVENT_TIME,
            load_time: Duration::from_millis(900),
            checks_fences: false,
        })?;
    }
    let routes = vec![stream_route("replies", "/replies/", "llm", 20_000)];
    fleet.publish_configuration(7, routes, vec![engine_service("llm", 12)]);
    let bounds = Bounds {
        fencing_required: false,
    };
    fleet.start_daemons(3, bounds)?;
    // Longer than the daemons remember which versions of the software there were.
    thread::sleep(Duration::from_secs(22));
    let fronts: Vec<SocketAddr> = fleet.daemons.iter().map(Fleet::front).collect();
    let breaks = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (fronts, breaks) = (fronts.clone(), Arc::clone(&breaks));
        clients.push(thread::spawn(move || {
            let began = Instant::now();
            let id = format!("stream-{number}");
            let front = fronts[number % fronts.len()];
            // Without the disruption, the client breaks its connection off by itself.
            let stop = |_| breaks.load(Ordering::SeqCst);
            let end = stream(front, &id, None, began, stop);
            (id, began, end)
        }));
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        for daemon in &fleet.daemons {
            fleet.kill(daemon);
        }
        thread::sleep(RESTART_DELAY);
        for daemon in &fleet.daemons {
            fleet.start(daemon)?;
        }
    } else {
        breaks.store(true, Ordering::SeqCst);
    }
    let in_touch_from = Instant::now() + STABLE_WINDOW;
    let broken: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    while !fleet.daemons.iter().all(Daemon::is_ready) {
        thread::sleep(Duration::from_millis(50));
    }
    fleet.note("all daemons are ready again");
    thread::sleep(in_touch_from.saturating_duration_since(Instant::now()));
    fleet.note("all daemons are in touch again");
    let mut tries = Vec::new();
    for (number, (id, began, end)) in broken.into_iter().enumerate() {
        let Ok(end) = end else { continue };
        let Some(last) = end.events.last().copied().filter(|_| !end.is_complete) else {
            continue;
        };
        fleet.note(&format!("{id} broke off after event {last}"));
        let fronts = fronts.clone();
        tries.push(thread::spawn(move || {
            let mut statuses = Vec::new();
            for attempt in 0.. {
                if began.elapsed() + Duration::from_secs(1) > DEADLINE || attempt >= 6 {
                    break;
                }
                let front = fronts[(number + 1 + attempt) % fronts.len()];
                let next = format!("{id}-again-{attempt}");
                let end = stream(front, &next, Some((&id, last)), began, |_| true);
                let end = end.unwrap_or_default();
                statuses.push(end.status);
                if end.events.first() == Some(&(last + 1)) {
                    return (id, statuses, true);
                }
                thread::sleep(RETRY_DELAY);
            }
            (id, statuses, false)
        }));
    }
    let mut begun = 0;
    for number in 0..STREAMS {
        let front = fronts[number % fronts.len()];
        let id = format!("new-{number}");
        let end = stream(front, &id, None, Instant::now(), |_| true).unwrap_or_default();
        begun += usize::from(end.events.first() == Some(&1));
        fleet.note(&format!(
            "{id}: answered {}, events {:?}",
            end.status, end.events
        ));
    }
    let (mut taken_up, mut going_on) = (0, 0);
    for client in tries {
        let Ok((id, statuses, goes_on)) = client.join() else {
            continue;
        };
        taken_up += 1;
        going_on += usize::from(goes_on);
        fleet.note(&format!(
            "{id} taken up again: answered {statuses:?}, goes on: {goes_on}"
        ));
    }
    fleet.note(&format!(
        "{going_on} of {taken_up} streams go on, {begun} of {STREAMS} new streams begin"
    ));
    if taken_up < MIN_JUDGED || begun == 0 {
        return Ok(Verdict::CannotRun);
    }
    // The share that goes on is under half of the share of new streams that begin.
    let is_broken = going_on * STREAMS * 2 < begun * taken_up;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn stream(
    front: SocketAddr,
    id: &str,
    taken_up: Option<(&str, u64)>,
    began: Instant,
    stop: impl FnMut(u64) -> bool,
) -> io::Result<StreamEnd> {
    let left = DEADLINE.saturating_sub(began.elapsed());
    let deadline = left.as_millis().to_string();
    let last = taken_up.map(|(_, last)| last.to_string());
    let mut headers = vec![
        ("host", HOST),
        ("x-request-id", id),
        ("x-deadline-milliseconds", &*deadline),
        ("x-model", "m"),
        ("x-token-counts", "1016,5800"),
    ];
    if let (Some((first, _)), Some(last)) = (taken_up, &last) {
        headers.push(("resumes", first));
        headers.push(("last-event-id", last));
    }
    read_stream(front, "/replies/1", &headers, Duration::from_secs(3), stop)
}
