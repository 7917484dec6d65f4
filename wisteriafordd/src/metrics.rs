//! OpenTelemetry metrics, exported in the Prometheus text format.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use wisteriaford_core::counters::Counter;

use crate::runtime::SharedState;

/// Metrics of the daemon, with the registry that exports them.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers metrics that read the shared state on each export.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn start(shared: &Arc<SharedState>) -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("wisteriaford");
        observe_reasons(&meter, shared);
        observe_totals(&meter, shared);
        observe_daemon(&meter, shared);
        Ok(Self {
            registry,
            _provider: provider,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        // Writing to a `Vec` cannot fail.
        let _ = TextEncoder::new().encode(&families, &mut text);
        text
    }
}

fn observe_reasons(meter: &Meter, shared: &Arc<SharedState>) {
    let refusals = |shared: &SharedState| {
        let counters = &shared.snapshot.load().counters;
        let refusals = counters.refusals().map(|(reason, count)| {
            let http_count = shared.http_refusals.get(reason);
            (reason.code(), count + http_count)
        });
        refusals.collect()
    };
    let name = "wisteriaford_refusals";
    observe_by_reason(meter, shared, name, "Refusals by reason.", refusals);
    let retries = |shared: &SharedState| {
        let counters = &shared.snapshot.load().counters;
        let retries = counters.retries();
        retries
            .map(|(reason, count)| (reason.code(), count))
            .collect()
    };
    let name = "wisteriaford_retries";
    observe_by_reason(meter, shared, name, "Retries by reason.", retries);
}

fn observe_by_reason(
    meter: &Meter,
    shared: &Arc<SharedState>,
    name: &'static str,
    description: &'static str,
    read: fn(&SharedState) -> Vec<(&'static str, u64)>,
) {
    let shared = Arc::clone(shared);
    meter
        .u64_observable_counter(name)
        .with_description(description)
        .with_callback(move |observer| {
            for (reason, count) in read(&shared) {
                observer.observe(count, &[KeyValue::new("reason", reason)]);
            }
        })
        .build();
}

fn observe_totals(meter: &Meter, shared: &Arc<SharedState>) {
    for &counter in Counter::ALL {
        let shared = Arc::clone(shared);
        meter
            .u64_observable_counter(counter.code())
            .with_description(counter.description())
            .with_callback(move |observer| {
                observer.observe(shared.snapshot.load().counters.get(counter), &[]);
            })
            .build();
    }
}

fn observe_daemon(meter: &Meter, shared: &Arc<SharedState>) {
    let sent = Arc::clone(shared);
    meter
        .u64_observable_counter("wisteriaford_peer_sent_bytes")
        .with_description("Bytes sent to peers.")
        .with_callback(move |observer| {
            observer.observe(sent.peer_bytes_sent.load(Ordering::Relaxed), &[]);
        })
        .build();
    let malformed = Arc::clone(shared);
    meter
        .u64_observable_counter("wisteriaford_peer_messages_damaged")
        .with_description("Messages of peers that could not be understood.")
        .with_callback(move |observer| {
            observer.observe(
                malformed.malformed_peer_messages.load(Ordering::Relaxed),
                &[],
            );
        })
        .build();
    let ready = Arc::clone(shared);
    meter
        .u64_observable_gauge("wisteriaford_ready")
        .with_description("1 while the instance takes requests.")
        .with_callback(move |observer| {
            let is_ready = ready.snapshot.load().ready.is_ok();
            observer.observe(u64::from(is_ready), &[]);
        })
        .build();
}
