//! Metrics by OpenTelemetry, in the Prometheus text form.

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

use crate::runtime::Shared;

/// Meters of the daemon and the registry that they are read from.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Starts metrics that read the shared state whenever they are asked for.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot register itself.
    pub fn start(shared: &Arc<Shared>) -> Result<Self, OTelSdkError> {
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

    /// Returns all metrics in the Prometheus text form.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        // Writing into memory does not fail.
        let _ = TextEncoder::new().encode(&families, &mut text);
        text
    }
}

fn observe_reasons(meter: &Meter, shared: &Arc<Shared>) {
    let refusals = |shared: &Shared| {
        let counters = &shared.snapshot.load().counters;
        let refusals = counters.refusals().map(|(reason, count)| {
            let at_border = shared.border_refusals.get(reason);
            (reason.code(), count + at_border)
        });
        refusals.collect()
    };
    let name = "wisteriaford_refusals";
    observe_labelled(meter, shared, name, "Refusals by reason.", refusals);
    let retries = |shared: &Shared| {
        let counters = &shared.snapshot.load().counters;
        let retries = counters.retries();
        retries
            .map(|(reason, count)| (reason.code(), count))
            .collect()
    };
    let name = "wisteriaford_retries";
    observe_labelled(meter, shared, name, "Retries by reason.", retries);
}

fn observe_labelled(
    meter: &Meter,
    shared: &Arc<Shared>,
    name: &'static str,
    description: &'static str,
    read: fn(&Shared) -> Vec<(&'static str, u64)>,
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

fn observe_totals(meter: &Meter, shared: &Arc<Shared>) {
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

fn observe_daemon(meter: &Meter, shared: &Arc<Shared>) {
    let peers = Arc::clone(shared);
    meter
        .u64_observable_counter("wisteriaford_peer_sent_bytes")
        .with_description("Bytes sent to peers.")
        .with_callback(move |observer| {
            observer.observe(peers.peer_bytes_sent.load(Ordering::Relaxed), &[]);
        })
        .build();
    let damaged = Arc::clone(shared);
    meter
        .u64_observable_counter("wisteriaford_peer_messages_damaged")
        .with_description("Messages of peers that could not be understood.")
        .with_callback(move |observer| {
            observer.observe(damaged.damaged_peer_messages.load(Ordering::Relaxed), &[]);
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
