//! Aggregation of the answers of several fake daemons, and the reference trainer run against them.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use clap::Parser;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use wisteriaford::arguments::Arguments;
use wisteriaford::arguments::Command;
use wisteriaford::arguments::RolloutArguments;
use wisteriaford::exit::ExitStatus;
use wisteriaford::fleet::FleetShares;
use wisteriaford::fleet::FleetStatus;
use wisteriaford::report::Report;
use wisteriaford::rollout;
use wisteriaford::rollout::RolloutError;
use wisteriaford::rollout::RolloutReport;
use wisteriaford_client::client::Client;
use wisteriaford_client::trainer::Timer;
use wisteriaford_client::transport::HttpRequest;
use wisteriaford_client::transport::HttpResponse;
use wisteriaford_client::transport::Transport;
use wisteriaford_client::transport::TransportError;

const STARTED_MS: u64 = 5_000_000;
const VERSION: u64 = 6;

/// Fake daemons whose answers come from one function. `None` refuses the connection.
struct FakeDaemons<F> {
    answer: F,
    pulls: Mutex<Vec<Value>>,
}

impl<F> Transport for FakeDaemons<F>
where
    F: Fn(usize, &str, &Value) -> Option<Value> + Send + Sync,
{
    fn send(
        &self,
        address: SocketAddr,
        http_request: &HttpRequest,
    ) -> Result<HttpResponse, TransportError> {
        let body = serde_json::from_slice(&http_request.body).unwrap_or(Value::Null);
        if http_request.path.ends_with("/pulls") {
            self.pulls.lock().unwrap().push(body.clone());
        }
        let daemon = usize::from(address.port() - 7_000);
        let Some(answer) = (self.answer)(daemon, &http_request.path, &body) else {
            let source = io::ErrorKind::ConnectionRefused.into();
            return Err(TransportError::NotSent { address, source });
        };
        Ok(HttpResponse {
            status: 200,
            headers: Vec::new(),
            body: serde_json::to_vec(&answer).unwrap(),
        })
    }
}

fn fake_daemons<F>(count: u16, answer: F) -> (Client, Arc<FakeDaemons<F>>)
where
    F: Fn(usize, &str, &Value) -> Option<Value> + Send + Sync + 'static,
{
    let fake = Arc::new(FakeDaemons {
        answer,
        pulls: Mutex::default(),
    });
    let addresses = (0..count).map(|n| SocketAddr::from(([127, 0, 0, 1], 7_000 + n)));
    let transport = Arc::clone(&fake) as Arc<dyn Transport>;
    (Client::with_transport(addresses.collect(), transport), fake)
}

fn shares(instance: &str, received: u64, reason: Option<&str>) -> Value {
    json!({"instance": instance, "window_ms": 60_000, "callers": [{
        "caller": "trainer-a", "priority": "batch", "entitled_tokens": 100,
        "received_tokens": received, "shortfall_reason": reason}]})
}

fn status(version: u64) -> Value {
    json!({"instance": "i", "availability_zone": "a", "region": "r", "incarnation": 1,
        "revision": 3, "ready": true, "leaving": false, "log": "down", "members": [],
        "endpoints": [{"endpoint": "e", "pool": "restoration", "version": version,
            "in_flight": 0, "queued": 0, "availability": "in_service", "steward": "i"}]})
}

fn configuration() -> Value {
    json!({"revision": 3, "publication_id": "p", "configuration": {
        "pools": [{"name": "restoration", "staleness_bound_versions": 2}]}})
}

/// Answers the first pull of a step with all samples, made by one weight version, and later pulls
/// with none.
fn samples(pull: &Value, version: u64) -> Value {
    let received = pull["received"].as_str().unwrap();
    let indices = if received.is_empty() { 0..4 } else { 0..0 };
    let sample = |index: u32| {
        json!({"index": index, "group": index / 2, "text": "word ", "tokens": 1,
            "spans": [{"from_token": 0, "to_token": 1, "version": version}],
            "score_milli": 5, "instance": "i", "endpoint": "e"})
    };
    let samples: Vec<Value> = indices.map(sample).collect();
    json!({"pull": pull["pull"], "samples": samples, "complete": true})
}

fn rollout_arguments(pool: &str, groups: &str, extra: &[&str]) -> RolloutArguments {
    let common = [
        "wisteriaford",
        "rollout",
        "--trainer",
        "trainer-a",
        "--group-size",
        "2",
        "--steps",
        "2",
        "--step-timeout-ms",
        "1000",
        "--pool",
        pool,
        "--groups",
        groups,
    ];
    let arguments = Arguments::try_parse_from(common.iter().chain(extra)).unwrap();
    match arguments.command {
        Command::Rollout(rollout) => rollout,
        other => panic!("parsed as {other:?}"),
    }
}

#[derive(Default)]
struct FakeTimer {
    elapsed: Duration,
}

impl Timer for FakeTimer {
    fn elapsed(&self) -> Duration {
        self.elapsed
    }

    fn sleep(&mut self, duration: Duration) {
        self.elapsed += duration;
    }
}

fn run_rollout(client: &Client, extra: &[&str]) -> Result<RolloutReport, RolloutError> {
    let mut timer = FakeTimer::default();
    let arguments = rollout_arguments("restoration", "2", extra);
    rollout::run(client, &mut timer, &arguments, STARTED_MS)
}

fn answers_with(
    sample_version: u64,
) -> impl Fn(usize, &str, &Value) -> Option<Value> + Send + Sync + 'static {
    move |_, path, body| match path {
        "/v1/configuration" => Some(configuration()),
        "/v1/status" => Some(status(VERSION)),
        _ => Some(samples(body, sample_version)),
    }
}

#[test]
fn shares_are_summed_once_per_instance() {
    let (client, _) = fake_daemons(4, |daemon, _, _| match daemon {
        0 | 2 => Some(shares("i0", 40, Some("queue_full"))),
        1 => Some(shares("i1", 90, Some("queue_full"))),
        _ => None,
    });

    let sums = FleetShares::fetch(&client);

    let total = &sums.callers[0];
    assert_eq!(sums.instances, ["i0", "i1"]);
    assert_eq!(total.entitled_tokens, 200);
    assert_eq!(total.received_tokens, 130);
    assert_eq!(total.shortfall_tokens, 70);
    assert_eq!(total.shortfall_reasons["queue_full"], ["i0", "i1"]);
    assert_eq!(sums.missing.len(), 1);
    assert_eq!(sums.exit_status(), ExitStatus::Unavailable);
    assert!(sums.to_string().contains("queue_full (i0, i1)"), "{sums}");
}

#[test]
fn status_lists_every_daemon() {
    let (client, _) = fake_daemons(3, |daemon, _, _| {
        (daemon != 1).then(|| status(daemon as u64 + 4))
    });

    let fleet = FleetStatus::fetch(&client);

    assert_eq!(fleet.daemons.len(), 2);
    assert_eq!(fleet.missing[0].address.port(), 7_001);
    assert_eq!(fleet.pool_version("restoration"), Some(6));
    assert_eq!(fleet.pool_version("badges"), None);
    assert_eq!(fleet.exit_status(), ExitStatus::Unavailable);
    assert!(fleet.to_string().contains("in_service"), "{fleet}");
}

#[test]
fn trainer_receives_every_sample_once() {
    let (client, fake) = fake_daemons(1, answers_with(VERSION));

    let report = run_rollout(&client, &[]).unwrap();

    let pulls = fake.pulls.lock().unwrap();
    let numbers: BTreeSet<u64> = pulls.iter().map(|p| p["pull"].as_u64().unwrap()).collect();
    assert_eq!(report.steps_complete, 2);
    assert_eq!(report.samples_delivered, 8);
    assert_eq!(report.samples_scored, 8);
    assert_eq!(report.versions_seen, BTreeSet::from([VERSION]));
    assert_eq!(report.exit_status(), ExitStatus::Success);
    assert_eq!(numbers.len(), pulls.len());
    assert_eq!(pulls[0]["spec"]["prompts"][1], "Step 5000, group 1:");
    assert_eq!(pulls[0]["current_version"], VERSION);
}

#[test]
fn trainer_fails_over_to_another_daemon() {
    let healthy = answers_with(VERSION);
    let (client, _) = fake_daemons(2, move |daemon, path, body| match daemon {
        0 => None,
        _ => healthy(daemon, path, body),
    });

    let report = run_rollout(&client, &[]).unwrap();

    assert!(report.is_clean(), "{report}");
}

#[test]
fn trainer_rejects_stale_samples() {
    let (client, _) = fake_daemons(1, answers_with(VERSION - 3));

    let report = run_rollout(&client, &[]).unwrap();

    assert!(report.samples_too_old > 0);
    assert_eq!(report.samples_delivered, 0);
    assert!(report.failure.is_some());
    assert_eq!(report.exit_status(), ExitStatus::Failure);
}

#[test]
fn staleness_bound_can_be_overridden() {
    let (client, _) = fake_daemons(1, answers_with(VERSION - 3));

    let report = run_rollout(&client, &["--staleness-bound", "3"]).unwrap();

    assert!(report.is_clean(), "{report}");
}

#[rstest]
#[case("badges", "2", &[], "no pool `badges`")]
#[case("badges", "2", &["--staleness-bound", "1"], "--current-version")]
#[case("restoration", "0", &[], "a step has 1 to")]
fn invalid_steps_are_rejected_before_any_pull(
    #[case] pool: &str,
    #[case] groups: &str,
    #[case] extra: &[&str],
    #[case] message: &str,
) {
    let (client, fake) = fake_daemons(1, answers_with(VERSION));
    let mut timer = FakeTimer::default();
    let arguments = rollout_arguments(pool, groups, extra);

    let error = rollout::run(&client, &mut timer, &arguments, STARTED_MS).unwrap_err();

    assert!(error.to_string().contains(message), "{error}");
    assert!(fake.pulls.lock().unwrap().is_empty());
}
