//! Latency that a daemon adds to a call, and the rate that one daemon sustains.

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
use wisteriaford_client::transport::HttpMethod;
use wisteriaford_client::transport::HttpRequest;

use crate::processes::Fleet;
use crate::processes::FleetOptions;
use crate::processes::Result;
use crate::processes::error::ProcessError;
use crate::processes::fleet::INTERACTIVE_CALLER;
use crate::processes::fleet::LOOKUP_ROUTE;
use crate::processes::http;

/// Rates measured in turn, in requests per second.
const RATES_PER_S: [u32; 10] = [
    50, 200, 800, 1_600, 3_200, 4_800, 6_400, 8_000, 9_600, 12_800,
];
/// Threads that send calls at the measured rate.
const SENDERS: usize = 96;
/// Slots of each service, enough not to limit the rate.
const SLOTS: u32 = 10_000;
/// Rate limit of the callers, high enough not to limit the rate.
const RATE_LIMIT_PER_S: u32 = 1_000_000;
/// Calls made before the measurement starts.
const WARM_UP: u32 = 200;
const OK_STATUS: u16 = 200;

/// Settings of the measurement.
#[derive(Args, Clone, Debug)]
pub struct Settings {
    /// Calls on each path for the added latency, 100 to 1000000
    #[arg(long, env = "WISTERIAFORD_LATENCY_CALLS", default_value_t = 3_000,
        value_parser = clap::value_parser!(u32).range(100..=1_000_000))]
    calls: u32,

    /// Duration of each rate, in seconds, 1 to 600
    #[arg(long, env = "WISTERIAFORD_LATENCY_SECONDS", default_value_t = 4,
        value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
}

/// Latency percentiles of one path or one rate, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
struct Latency {
    p50_us: u64,
    p99_us: u64,
}

/// Results at one rate.
#[derive(Clone, Copy, Debug, Serialize)]
struct RateResult {
    rate_per_s: u32,
    answered_per_s: u64,
    failed: u64,
    latency: Latency,
}

/// Results of the measurement.
#[derive(Clone, Debug, Serialize)]
struct Report {
    direct: Latency,
    through_daemon: Latency,
    added_p50_us: i64,
    added_p99_us: i64,
    rates: Vec<RateResult>,
    carried_per_s: u32,
}

/// Runs the measurement and prints a table and a line of JSON.
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
    let (direct, through_daemon) = measure_both_paths(&call, settings.calls)?;
    let rates = rates(&call, Duration::from_secs(settings.seconds));
    let carried_per_s = sustained_rate(&rates);
    Ok(Report {
        direct,
        through_daemon,
        added_p50_us: signed_difference(through_daemon.p50_us, direct.p50_us),
        added_p99_us: signed_difference(through_daemon.p99_us, direct.p99_us),
        rates,
        carried_per_s,
    })
}

/// Starts one daemon in front of services that answer at once, with limits that never apply.
fn start() -> Result<Fleet> {
    let options = FleetOptions {
        daemons: 1,
        engines: 2,
        plain_services: 2,
        plain_arguments: ["--call-ms", "0", "--slots", "10000"]
            .map(str::to_owned)
            .to_vec(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(&options)?;
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

/// A call that is made directly to a service or through a daemon.
struct Call<'a> {
    fleet: &'a Fleet,
    service: SocketAddr,
}

impl Call<'_> {
    fn direct(&self) -> Result<Duration> {
        let http_request = HttpRequest {
            method: HttpMethod::Post,
            path: "/call".to_owned(),
            headers: vec![("content-type", "text/plain".to_owned())],
            body: b"badge".to_vec(),
        };
        let started = Instant::now();
        let response = http::send(self.service, &http_request)?;
        let elapsed = started.elapsed();
        if response.status == OK_STATUS {
            return Ok(elapsed);
        }
        Err(ProcessError::ErrorStatus {
            address: self.service,
            path: http_request.path,
            status: response.status,
            body: String::from_utf8_lossy(&response.body).into_owned(),
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

/// Alternates direct calls and calls through the daemon, one at a time.
fn measure_both_paths(call: &Call, calls: u32) -> Result<(Latency, Latency)> {
    let mut direct = histogram();
    let mut through_daemon = histogram();
    for _ in 0..calls {
        record(&mut direct, call.direct()?);
        record(&mut through_daemon, call.through_daemon()?);
    }
    Ok((latency(&direct), latency(&through_daemon)))
}

/// Measures rising rates until a call fails or the 99th percentile is more than twice the lowest
/// so far.
fn rates(call: &Call, duration: Duration) -> Vec<RateResult> {
    let mut results: Vec<RateResult> = Vec::new();
    for rate_per_s in RATES_PER_S {
        let result = measure_rate(call, rate_per_s, duration);
        results.push(result);
        if !is_sustained(&results, &result) {
            break;
        }
    }
    results
}

fn is_sustained(results: &[RateResult], result: &RateResult) -> bool {
    let lowest = results.iter().map(|other| other.latency.p99_us).min();
    result.failed == 0 && lowest.is_some_and(|p99_us| result.latency.p99_us <= 2 * p99_us)
}

/// Returns the highest rate of the first run of sustained rates.
fn sustained_rate(rates: &[RateResult]) -> u32 {
    let sustained = rates
        .iter()
        .skip_while(|result| !is_sustained(rates, result));
    let sustained = sustained.take_while(|result| is_sustained(rates, result));
    sustained.map(|result| result.rate_per_s).max().unwrap_or(0)
}

/// Sends calls at a fixed rate, independently of the answers; latency is measured from the time at
/// which a call was due.
fn measure_rate(call: &Call, rate_per_s: u32, duration: Duration) -> RateResult {
    let total = u64::from(rate_per_s) * duration.as_secs();
    let next = AtomicU64::new(0);
    let started = Instant::now();
    let (sum, failed) = thread::scope(|scope| {
        let senders: Vec<_> = (0..SENDERS)
            .map(|_| scope.spawn(|| send_scheduled(call, rate_per_s, total, &next, started)))
            .collect();
        let mut sum = histogram();
        let mut failed = 0;
        for sender in senders {
            let (latencies, failures) = sender.join().unwrap_or_else(|_| (histogram(), 1));
            // Adding cannot fail: both histograms resize and have the same precision.
            let _ = sum.add(&latencies);
            failed += failures;
        }
        (sum, failed)
    });
    let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    RateResult {
        rate_per_s,
        answered_per_s: sum.len() * 1_000 / elapsed_ms.max(1),
        failed,
        latency: latency(&sum),
    }
}

fn send_scheduled(
    call: &Call,
    rate_per_s: u32,
    total: u64,
    next: &AtomicU64,
    started: Instant,
) -> (Histogram<u64>, u64) {
    let mut latencies = histogram();
    let mut failed = 0;
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= total {
            return (latencies, failed);
        }
        let due = started + Duration::from_secs(number) / rate_per_s;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        match call.through_daemon() {
            Ok(_) => record(&mut latencies, due.elapsed()),
            Err(_) => failed += 1,
        }
    }
}

fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three significant digits are valid");
    histogram.auto(true);
    histogram
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    // Recording cannot fail: the histogram resizes.
    let _ = histogram.record(latency_us);
}

fn latency(histogram: &Histogram<u64>) -> Latency {
    Latency {
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
    }
}

fn signed_difference(through: u64, direct: u64) -> i64 {
    let signed = |value| i64::try_from(value).unwrap_or(i64::MAX);
    signed(through) - signed(direct)
}

fn print_report(report: &Report) {
    println!("| path | p50 µs | p99 µs |");
    println!("| --- | ---: | ---: |");
    let row = |path: &str, latency: Latency| {
        println!("| {path} | {} | {} |", latency.p50_us, latency.p99_us);
    };
    row("direct", report.direct);
    row("through a daemon", report.through_daemon);
    println!(
        "| added | {} | {} |\n",
        report.added_p50_us, report.added_p99_us
    );
    println!("| requests/s | answered/s | failed | p50 µs | p99 µs |");
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for result in &report.rates {
        println!(
            "| {} | {} | {} | {} | {} |",
            result.rate_per_s,
            result.answered_per_s,
            result.failed,
            result.latency.p50_us,
            result.latency.p99_us
        );
    }
    println!();
    // Serializing a report of numbers does not fail.
    println!("{}", serde_json::to_string(report).unwrap_or_default());
}
