//! Latency that the path adds to a call, and the rate that one daemon carries.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use clap::Args;
use hdrhistogram::Histogram;
use serde::Serialize;
use wisteriaford_client::client::RouteCall;
use wisteriaford_client::transport::Exchange;
use wisteriaford_client::transport::ExchangeKind;

use crate::processes::Fleet;
use crate::processes::FleetPlan;
use crate::processes::Result;
use crate::processes::error::ProcessError;
use crate::processes::fleet::INTERACTIVE_CALLER;
use crate::processes::fleet::LOOKUP_ROUTE;
use crate::processes::http;

/// Rates that are tried, in requests a second.
const RATES_PER_S: [u32; 10] = [
    50, 200, 800, 1_600, 3_200, 4_800, 6_400, 8_000, 9_600, 12_800,
];
/// Callers that send at the tried rate.
const SENDERS: usize = 96;
/// Slots of each service, so that they hold nothing up.
const SLOTS: u32 = 10_000;
/// Limit of the caller, so that it holds nothing up.
const RATE_LIMIT_PER_S: u32 = 1_000_000;
/// Calls before the first that counts.
const WARM_UP: u32 = 200;
const OK_STATUS: u16 = 200;

/// Settings of the measurement.
#[derive(Args, Clone, Debug)]
pub struct Settings {
    /// Calls on each way for the added latency, 100 to 1000000
    #[arg(long, env = "WISTERIAFORD_LATENCY_CALLS", default_value_t = 3_000,
        value_parser = clap::value_parser!(u32).range(100..=1_000_000))]
    calls: u32,

    /// Time at each rate, in seconds, 1 to 600
    #[arg(long, env = "WISTERIAFORD_LATENCY_SECONDS", default_value_t = 4,
        value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
}

/// Latencies of one way or one rate, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
struct Latency {
    p50_us: u64,
    p99_us: u64,
}

/// Latencies at one rate.
#[derive(Clone, Copy, Debug, Serialize)]
struct AtRate {
    rate_per_s: u32,
    answered_per_s: u64,
    failed: u64,
    latency: Latency,
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
struct Report {
    direct: Latency,
    through_daemon: Latency,
    added_p50_us: i64,
    added_p99_us: i64,
    rates: Vec<AtRate>,
    carried_per_s: u32,
}

/// Measures and prints a table and one JSON line.
#[must_use]
pub fn main(settings: &Settings) -> ExitCode {
    match measure(settings) {
        Ok(report) => {
            print_report(&report);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("latency: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(settings: &Settings) -> Result<Report> {
    let fleet = start()?;
    let service = fleet.plain_services[0].address();
    let call = Call {
        fleet: &fleet,
        service,
    };
    for _ in 0..WARM_UP {
        call.direct()?;
        call.through_daemon()?;
    }
    let (direct, through_daemon) = alternate(&call, settings.calls)?;
    let rates = rates(&call, Duration::from_secs(settings.seconds));
    let carried_per_s = carried(&rates);
    Ok(Report {
        direct,
        through_daemon,
        added_p50_us: difference(through_daemon.p50_us, direct.p50_us),
        added_p99_us: difference(through_daemon.p99_us, direct.p99_us),
        rates,
        carried_per_s,
    })
}

/// Starts one daemon before services that answer at once, without limits that would count.
fn start() -> Result<Fleet> {
    let plan = FleetPlan {
        daemons: 1,
        engines: 2,
        plain_services: 2,
        plain_arguments: ["--call-ms", "0", "--slots", "10000"]
            .map(str::to_owned)
            .to_vec(),
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(&plan)?;
    let mut configuration = fleet.configuration();
    for endpoint in &mut configuration.endpoints {
        endpoint.slots = SLOTS;
    }
    for caller in &mut configuration.callers {
        caller.rate_limit_per_s = RATE_LIMIT_PER_S;
        caller.in_flight_limit = SLOTS;
    }
    let output = fleet.publish(&configuration, &[])?;
    if output.exit_code != Some(0) {
        return Err(ProcessError::NotStarted {
            name: "configuration".to_owned(),
            output: output.text,
        });
    }
    fleet.wait_until_ready(1)?;
    Ok(fleet)
}

/// One call, on either way.
struct Call<'a> {
    fleet: &'a Fleet,
    service: SocketAddr,
}

impl Call<'_> {
    fn direct(&self) -> Result<Duration> {
        let exchange = Exchange {
            kind: ExchangeKind::Post,
            path: "/call".to_owned(),
            headers: vec![("content-type", "text/plain".to_owned())],
            body: b"badge".to_vec(),
        };
        let started = Instant::now();
        let reply = http::send(self.service, &exchange)?;
        let elapsed = started.elapsed();
        if reply.status == OK_STATUS {
            return Ok(elapsed);
        }
        Err(ProcessError::Refused {
            address: self.service,
            path: exchange.path,
            status: reply.status,
            body: String::from_utf8_lossy(&reply.body).into_owned(),
        })
    }

    fn through_daemon(&self) -> Result<Duration> {
        let client = self.fleet.daemons[0].client();
        let call = RouteCall {
            route: LOOKUP_ROUTE.to_owned(),
            caller: INTERACTIVE_CALLER.to_owned(),
            content_type: "text/plain".to_owned(),
            body: b"badge".to_vec(),
            ..RouteCall::default()
        };
        let started = Instant::now();
        client.call(&call)?;
        Ok(started.elapsed())
    }
}

/// Calls on both ways by turns, one at a time.
fn alternate(call: &Call, calls: u32) -> Result<(Latency, Latency)> {
    let mut direct = histogram();
    let mut through_daemon = histogram();
    for _ in 0..calls {
        record(&mut direct, call.direct()?);
        record(&mut through_daemon, call.through_daemon()?);
    }
    Ok((latency(&direct), latency(&through_daemon)))
}

/// Tries rising rates until the 99th percentile is more than twice the lowest seen.
fn rates(call: &Call, length: Duration) -> Vec<AtRate> {
    let mut tried: Vec<AtRate> = Vec::new();
    for rate_per_s in RATES_PER_S {
        let at_rate = try_rate(call, rate_per_s, length);
        tried.push(at_rate);
        if !holds(&tried, &at_rate) {
            break;
        }
    }
    tried
}

fn holds(tried: &[AtRate], at_rate: &AtRate) -> bool {
    let lowest = tried.iter().map(|other| other.latency.p99_us).min();
    at_rate.failed == 0 && lowest.is_some_and(|p99_us| at_rate.latency.p99_us <= 2 * p99_us)
}

/// Returns the highest rate up to which each held.
fn carried(rates: &[AtRate]) -> u32 {
    let holding = rates.iter().skip_while(|at_rate| !holds(rates, at_rate));
    let holding = holding.take_while(|at_rate| holds(rates, at_rate));
    holding.map(|at_rate| at_rate.rate_per_s).max().unwrap_or(0)
}

/// Sends at a rate whatever the answers do; latency counts from when a call was due.
fn try_rate(call: &Call, rate_per_s: u32, length: Duration) -> AtRate {
    let total = u64::from(rate_per_s) * length.as_secs();
    let next = AtomicU64::new(0);
    let started = Instant::now();
    let (sum, failed) = thread::scope(|scope| {
        let senders: Vec<_> = (0..SENDERS)
            .map(|_| scope.spawn(|| send_due(call, rate_per_s, total, &next, started)))
            .collect();
        let mut sum = histogram();
        let mut failed = 0;
        for sender in senders {
            let (times, failures) = sender.join().unwrap_or_else(|_| (histogram(), 1));
            // Histograms of one kind add up without loss.
            let _ = sum.add(&times);
            failed += failures;
        }
        (sum, failed)
    });
    let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    AtRate {
        rate_per_s,
        answered_per_s: sum.len() * 1_000 / elapsed_ms.max(1),
        failed,
        latency: latency(&sum),
    }
}

fn send_due(
    call: &Call,
    rate_per_s: u32,
    total: u64,
    next: &AtomicU64,
    started: Instant,
) -> (Histogram<u64>, u64) {
    let mut times = histogram();
    let mut failed = 0;
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= total {
            return (times, failed);
        }
        let due = started + Duration::from_secs(number) / rate_per_s;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        match call.through_daemon() {
            Ok(_) => record(&mut times, due.elapsed()),
            Err(_) => failed += 1,
        }
    }
}

fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three significant digits are allowed");
    histogram.auto(true);
    histogram
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    // It grows with its values, so that none is refused.
    let _ = histogram.record(time_us);
}

fn latency(histogram: &Histogram<u64>) -> Latency {
    Latency {
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
    }
}

fn difference(through: u64, direct: u64) -> i64 {
    let signed = |value| i64::try_from(value).unwrap_or(i64::MAX);
    signed(through) - signed(direct)
}

fn print_report(report: &Report) {
    println!("| way | p50 µs | p99 µs |");
    println!("| --- | ---: | ---: |");
    let row = |way: &str, latency: Latency| {
        println!("| {way} | {} | {} |", latency.p50_us, latency.p99_us);
    };
    row("direct", report.direct);
    row("through a daemon", report.through_daemon);
    println!(
        "| added | {} | {} |\n",
        report.added_p50_us, report.added_p99_us
    );
    println!("| requests/s | answered/s | failed | p50 µs | p99 µs |");
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for at in &report.rates {
        println!(
            "| {} | {} | {} | {} | {} |",
            at.rate_per_s, at.answered_per_s, at.failed, at.latency.p50_us, at.latency.p99_us
        );
    }
    println!();
    // A report of numbers is always written.
    println!("{}", serde_json::to_string(report).unwrap_or_default());
}
