//! OpenTelemetry metrics, exported in the Prometheus text format.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use wisteriaford_core::gateway::duties::DutyKind;
use wisteriaford_core::gateway::load_balancer::LimitChange;
use wisteriaford_core::id::OrganisationId;
use wisteriaford_http::Guard;

use crate::refusal::Reason;
use crate::sends::SendKind;

/// Upper bucket bounds of the latency histograms, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 150.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0, 10_000.0,
];

/// Counters and histograms of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    pub(crate) log_failures: Counter<u64>,
    pub(crate) skipped_records: Counter<u64>,
    pub(crate) results_listed: Counter<u64>,
    pub(crate) hedges: Counter<u64>,
    pub(crate) orders: Counter<u64>,
    pub(crate) moved_items: Counter<u64>,
    pub(crate) unneeded_moves: Counter<u64>,
    pub(crate) relayed_calls: Counter<u64>,
    pub(crate) failed_connections: Counter<u64>,
    pub(crate) late_verifications: Counter<u64>,
    pub(crate) carried_connections: Counter<u64>,
    pub(crate) connections_over_others: Counter<u64>,
    pub(crate) endpoint_crashes: Counter<u64>,
    pub(crate) crash_reports: Counter<u64>,
    pub(crate) usage_requests: Counter<u64>,
    pub(crate) usage_reports: Counter<u64>,
    duty_calls: Counter<u64>,
    limited_sends: Counter<u64>,
    limited_endpoints: Gauge<u64>,
    limit_starts: Counter<u64>,
    limit_ends: Counter<u64>,
    organisation_requests: Counter<u64>,
    over_share: Counter<u64>,
    pub(crate) shared_item_starts: Counter<u64>,
    refusals: Counter<u64>,
    call_ms: Histogram<f64>,
    submit_ms: Histogram<f64>,
    item_ms: Histogram<f64>,
    scorer_calls: Counter<u64>,
    score_ms: Histogram<f64>,
}

impl Metrics {
    /// Sets up the meter and the exporter.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
    pub(crate) fn start() -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("wisteriaford");
        let counter = |name, description| {
            let builder = meter.u64_counter(name);
            builder.with_description(description).build()
        };
        Ok(Self {
            log_failures: counter("wisteriaford_log_failures", "Failed calls of the log."),
            skipped_records: counter("wisteriaford_skipped_records", "Records not understood."),
            results_listed: counter("wisteriaford_results_listed", "Results added to the log."),
            hedges: counter(
                "wisteriaford_hedges",
                "Calls also sent to a second endpoint.",
            ),
            orders: counter("wisteriaford_orders", "Orders to engines."),
            moved_items: counter("wisteriaford_moved_items", "Items taken from slow engines."),
            unneeded_moves: counter(
                "wisteriaford_unneeded_moves",
                "Items left at slow engines, as no step depends on them.",
            ),
            relayed_calls: counter("wisteriaford_relayed_calls", "Calls of the log for peers."),
            failed_connections: counter(
                "wisteriaford_failed_connections",
                "Direct connections to endpoints that failed.",
            ),
            late_verifications: counter(
                "wisteriaford_late_verifications",
                "Late answers over new connections that calls waited for.",
            ),
            carried_connections: counter(
                "wisteriaford_carried_connections",
                "Connections to endpoints carried for other instances.",
            ),
            connections_over_others: counter(
                "wisteriaford_connections_over_others",
                "Connections to endpoints that other instances carry.",
            ),
            endpoint_crashes: counter(
                "wisteriaford_endpoint_crashes",
                "Endpoints that ended without notice.",
            ),
            crash_reports: counter(
                "wisteriaford_crash_reports",
                "Reports of requests that may have crashed endpoints.",
            ),
            usage_requests: counter(
                "wisteriaford_usage_requests",
                "Requests counted for organisations.",
            ),
            usage_reports: counter("wisteriaford_usage_reports", "Usage reports fixed."),
            duty_calls: counter(
                "wisteriaford_duty_calls",
                "Calls of the platform's API, by duty and outcome.",
            ),
            limited_endpoints: meter
                .u64_gauge("wisteriaford_limited_endpoints")
                .with_description("Endpoints limited after a start or an ejection.")
                .build(),
            limit_starts: counter(
                "wisteriaford_endpoint_limit_starts",
                "Limits of endpoints begun after a start or an ejection, by cause.",
            ),
            limit_ends: counter(
                "wisteriaford_endpoint_limit_ends",
                "Limits of endpoints ended, by reason.",
            ),
            limited_sends: counter(
                "wisteriaford_limited_sends",
                "Requests sent to endpoints that limit their requests, by kind.",
            ),
            organisation_requests: counter(
                "wisteriaford_organisation_requests",
                "Requests accepted with a key, by organisation.",
            ),
            over_share: counter(
                "wisteriaford_over_share_calls",
                "Calls refused by the fair shares of a contended pool, by organisation.",
            ),
            shared_item_starts: counter(
                "wisteriaford_shared_item_starts",
                "Items started by the fair shares of a contended pool.",
            ),
            refusals: counter(
                "wisteriaford_refusals",
                "Refused or failed requests by reason.",
            ),
            call_ms: histogram(&meter, "wisteriaford_call_ms", "Forwarded calls."),
            submit_ms: histogram(&meter, "wisteriaford_submit_ms", "Accepting batch jobs."),
            item_ms: histogram(&meter, "wisteriaford_item_ms", "Runs of items."),
            scorer_calls: counter("wisteriaford_scorer_calls", "Scorer calls by outcome."),
            score_ms: histogram(&meter, "wisteriaford_score_ms", "Scorer calls."),
            registry,
            provider,
        })
    }

    pub(crate) fn record_duty_call(&self, duty: DutyKind, outcome: &'static str) {
        let duty = KeyValue::new("duty", duty.to_string());
        self.duty_calls
            .add(1, &[duty, KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn record_refusal(&self, reason: Reason) {
        let reason = KeyValue::new("reason", reason.to_string());
        self.refusals.add(1, &[reason]);
    }

    pub(crate) fn record_organisation(&self, organisation: &OrganisationId) {
        let organisation = KeyValue::new("organisation", organisation.to_string());
        self.organisation_requests.add(1, &[organisation]);
    }

    /// Records a call over the share of its organisation; `None` for those without one.
    pub(crate) fn record_over_share(&self, organisation: Option<&OrganisationId>) {
        let organisation = organisation.map_or_else(String::new, ToString::to_string);
        let organisation = KeyValue::new("organisation", organisation);
        self.over_share.add(1, &[organisation]);
    }

    pub(crate) fn record_limited_send(&self, kind: SendKind) {
        let kind = KeyValue::new("kind", kind.to_string());
        self.limited_sends.add(1, &[kind]);
    }

    /// Records a change of an endpoint's limit after a start or an ejection.
    pub(crate) fn record_limit_change(&self, change: &LimitChange) {
        match change {
            LimitChange::Started { cause, .. } => {
                let cause = KeyValue::new("cause", cause.to_string());
                self.limit_starts.add(1, &[cause]);
            }
            LimitChange::Ended { end, .. } => {
                let reason = KeyValue::new("reason", end.to_string());
                self.limit_ends.add(1, &[reason]);
            }
        }
    }

    pub(crate) fn record_limited_endpoints(&self, count: usize) {
        self.limited_endpoints.record(count as u64, &[]);
    }

    pub(crate) fn record_call_time(&self, elapsed: Duration) {
        self.call_ms.record(elapsed.as_secs_f64() * 1e3, &[]);
    }

    pub(crate) fn record_submit_time(&self, elapsed: Duration) {
        self.submit_ms.record(elapsed.as_secs_f64() * 1e3, &[]);
    }

    pub(crate) fn record_item_time(&self, elapsed: Duration) {
        self.item_ms.record(elapsed.as_secs_f64() * 1e3, &[]);
    }

    pub(crate) fn record_scorer_call(&self, outcome: &str, elapsed: Duration) {
        let outcome = KeyValue::new("outcome", outcome.to_owned());
        self.scorer_calls.add(1, &[outcome]);
        self.score_ms.record(elapsed.as_secs_f64() * 1e3, &[]);
    }

    /// Exports what is held for callers and what was refused or closed for its limits.
    pub(crate) fn observe_callers(&self, guard: &Arc<Guard>) {
        let meter = self.provider.meter("wisteriaford");
        let counted = Arc::clone(guard);
        meter
            .u64_observable_counter("wisteriaford_caller_limits")
            .with_description("Connections and requests of callers refused or closed, by event.")
            .with_callback(move |observer| {
                for (event, count) in counted.counts().events() {
                    observer.observe(count, &[KeyValue::new("event", event)]);
                }
            })
            .build();
        let held = Arc::clone(guard);
        meter
            .u64_observable_gauge("wisteriaford_caller_held_bytes")
            .with_description("Memory charged for callers.")
            .with_callback(move |observer| observer.observe(held.counts().held_bytes, &[]))
            .build();
        let open = Arc::clone(guard);
        meter
            .u64_observable_gauge("wisteriaford_caller_connections")
            .with_description("Open connections of callers.")
            .with_callback(move |observer| observer.observe(open.counts().connections, &[]))
            .build();
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!(error:% = error; "failed to encode metrics");
        }
        text
    }
}

fn histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
        .build()
}
