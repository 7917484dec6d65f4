//! Resource cost of an instance over a window of virtual time.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Serialize;
use wisteriaford_core::counters::Counter;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::InstanceId;
use wisteriaford_fakes::Engine;
use wisteriaford_fakes::Fleet;
use wisteriaford_fakes::Layout;

use super::load::Load;
use super::process;

/// Messages and bytes of one kind, per second and instance.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Traffic {
    pub(crate) messages_per_s: f64,
    pub(crate) bytes_per_s: f64,
}

/// Reads and appends of one stream of the log, per second over the whole fleet.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct LogUsage {
    pub(crate) appends_per_s: f64,
    pub(crate) read: Traffic,
}

/// Mean cost of an instance, and the highest cost of any instance.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Cost {
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    /// Requests answered per second over the whole fleet.
    pub(crate) requests_per_s: f64,
    /// Tokens per second over the whole fleet.
    pub(crate) tokens_per_s: f64,
    /// Samples per second over the whole fleet.
    pub(crate) samples_per_s: f64,
    /// Slots held at the end of the window, over the whole fleet.
    pub(crate) held_slots: usize,
    pub(crate) sent: IndexMap<&'static str, Traffic>,
    pub(crate) received: IndexMap<&'static str, Traffic>,
    pub(crate) sent_bytes_per_s: f64,
    pub(crate) received_bytes_per_s: f64,
    pub(crate) most_sent_bytes_per_s: f64,
    pub(crate) log: IndexMap<&'static str, LogUsage>,
    /// CPU use, in percent of a core.
    pub(crate) core_percent: f64,
    pub(crate) most_core_percent: f64,
    /// Memory of the process divided by the number of instances; includes the fakes.
    pub(crate) memory_bytes: u64,
}

/// Measures the cost of a fleet without callers.
pub(crate) fn idle(layout: &Layout, window: Duration) -> Cost {
    loaded(layout, &Load::None, window)
}

/// Measures the cost of a fleet under a load.
pub(crate) fn loaded(layout: &Layout, load: &Load, window: Duration) -> Cost {
    let memory_before = process::resident_bytes();
    let (mut fleet, instances) = layout.start();
    fleet.run_for(Layout::JOIN_TIME);
    fleet.diagnostics = Vec::new();
    let warm_up = if matches!(load, Load::None) {
        Duration::ZERO
    } else {
        load.warm_up()
    };
    let mut active_load = load.start();
    active_load.run(&mut fleet, &instances, warm_up);
    fleet.take_answers();
    let snapshot = Snapshot::capture(&mut fleet, &instances);
    let started = Instant::now();
    let answered = active_load.run(&mut fleet, &instances, window);
    let cpu_fraction = cpu_fraction(snapshot.cpu_time, started);
    let memory = process::resident_bytes().saturating_sub(memory_before);
    let held_slots = fleet.engines.values().map(Engine::running).sum();
    let window_s = window.as_secs_f64();
    let per_instance = window_s * count(instances.len() as u64);
    let sent = traffic(&fleet.sent, per_instance);
    let received = traffic(&fleet.received, per_instance);
    let highest = |of: &dyn Fn(&InstanceId) -> f64| instances.iter().map(of).fold(0.0, f64::max);
    let sent_by = |id: &InstanceId| {
        let sent_by_instance = fleet.sent.iter().filter(|((from, _), _)| from == id);
        count(sent_by_instance.map(|(_, sent)| sent.bytes).sum()) / window_s
    };
    let core_percent_of = |id: &InstanceId| {
        let time = fleet.processing_time.get(id).copied().unwrap_or_default();
        time.as_secs_f64() / window_s * cpu_fraction * 100.0
    };
    Cost {
        instances: layout.instances,
        engines: layout.engines,
        requests_per_s: count(answered.requests) / window_s,
        tokens_per_s: count(answered.tokens) / window_s,
        samples_per_s: count(delivered_samples(&fleet, &instances) - snapshot.delivered_samples)
            / window_s,
        held_slots,
        sent_bytes_per_s: sent.values().map(|kind| kind.bytes_per_s).sum(),
        received_bytes_per_s: received.values().map(|kind| kind.bytes_per_s).sum(),
        most_sent_bytes_per_s: highest(&sent_by),
        log: log_usage(&fleet, &snapshot, window_s),
        core_percent: instances.iter().map(core_percent_of).sum::<f64>()
            / count(instances.len() as u64),
        most_core_percent: highest(&core_percent_of),
        memory_bytes: memory / instances.len() as u64,
        sent,
        received,
    }
}

/// CPU time and counts at the start of a window.
struct Snapshot {
    cpu_time: Duration,
    appends: IndexMap<LogStream, usize>,
    delivered_samples: u64,
}

impl Snapshot {
    fn capture(fleet: &mut Fleet, instances: &[InstanceId]) -> Self {
        fleet.sent.clear();
        fleet.received.clear();
        fleet.log_reads.clear();
        fleet.processing_time.clear();
        let appends = LogStream::ALL.map(|stream| (stream, fleet.log.records(stream).len()));
        Self {
            cpu_time: process::cpu_time(),
            appends: appends.into_iter().collect(),
            delivered_samples: delivered_samples(fleet, instances),
        }
    }
}

fn delivered_samples(fleet: &Fleet, instances: &[InstanceId]) -> u64 {
    let cores = instances.iter().filter_map(|id| fleet.core(id));
    cores
        .map(|core| core.counters().get(Counter::Samples))
        .sum()
}

/// Returns the fraction of the elapsed time since `started` during which this process used a CPU.
fn cpu_fraction(cpu_time_before: Duration, started: Instant) -> f64 {
    let used = process::cpu_time().saturating_sub(cpu_time_before);
    (used.as_secs_f64() / started.elapsed().as_secs_f64()).min(1.0)
}

fn traffic(
    counted: &IndexMap<(InstanceId, &'static str), wisteriaford_fakes::MessageTotals>,
    per: f64,
) -> IndexMap<&'static str, Traffic> {
    let mut kinds: IndexMap<&'static str, Traffic> = IndexMap::new();
    for ((_, kind), sent) in counted {
        let traffic = kinds.entry(kind).or_default();
        traffic.messages_per_s += count(sent.messages) / per;
        traffic.bytes_per_s += count(sent.bytes) / per;
    }
    kinds.sort_unstable_keys();
    kinds
}

fn log_usage(
    fleet: &Fleet,
    snapshot: &Snapshot,
    window_s: f64,
) -> IndexMap<&'static str, LogUsage> {
    let usage_of = |stream: LogStream| {
        let appended = fleet.log.records(stream).len() - snapshot.appends[&stream];
        let reads = fleet.log_reads.get(&stream).copied().unwrap_or_default();
        let usage = LogUsage {
            appends_per_s: count(appended as u64) / window_s,
            read: Traffic {
                messages_per_s: count(reads.messages) / window_s,
                bytes_per_s: count(reads.bytes) / window_s,
            },
        };
        (stream.name(), usage)
    };
    LogStream::ALL.into_iter().map(usage_of).collect()
}

/// Converts a count to `f64`; exact, as counts here are far below 2^52.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn count(count: u64) -> f64 {
    count as f64
}
