//! Report of the measurements, as text and as JSON.

use serde::Serialize;

use super::cost::Cost;
use super::cost::count;
use super::recovery::Recoveries;
use super::recovery::Times;
use super::slope;
use super::slope::Plane;

/// Planes fitted to the cost of an instance: bytes sent, CPU use and memory.
#[derive(Debug, Default, Serialize)]
struct Slopes {
    /// Bytes per second sent by an instance without load, by instances and engines of the fleet.
    idle_bytes: Option<Plane>,
    /// CPU use without load, in percent of a core, by instances and engines of the fleet.
    idle_core_percent: Option<Plane>,
    /// Memory in bytes without load, by instances and engines of the fleet.
    idle_memory: Option<Plane>,
    /// Bytes per second of admission messages, by requests per second and slots held per instance.
    admission_bytes: Option<Plane>,
    /// CPU use in percent of a core, by requests per second and slots held per instance.
    loaded_core_percent: Option<Plane>,
}

/// All measurements of a run.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    seed: u64,
    idle: Vec<Cost>,
    loaded: Vec<Cost>,
    times: Vec<Times>,
    recoveries: Vec<Recoveries>,
    slopes: Slopes,
}

impl Report {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            idle: Vec::new(),
            loaded: Vec::new(),
            times: Vec::new(),
            recoveries: Vec::new(),
            slopes: Slopes::default(),
        }
    }

    pub(crate) fn add_idle(&mut self, cost: Cost) {
        print_cost("idle", &cost);
        self.idle.push(cost);
    }

    pub(crate) fn add_loaded(&mut self, cost: Cost) {
        print_cost("load", &cost);
        self.loaded.push(cost);
    }

    pub(crate) fn add_times(&mut self, times: Times) {
        println!("{times:?}");
        self.times.push(times);
    }

    pub(crate) fn add_recoveries(&mut self, recoveries: Recoveries) {
        println!("{recoveries:?}");
        self.recoveries.push(recoveries);
    }

    /// Prints the fitted planes, and the whole report as one line of JSON.
    pub(crate) fn print(mut self) {
        self.slopes = self.fit();
        println!("{:#?}", self.slopes);
        match serde_json::to_string(&self) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("cannot serialize the report: {error}"),
        }
    }

    fn fit(&self) -> Slopes {
        let idle = |value: &dyn Fn(&Cost) -> f64| {
            let points = self.idle.iter().map(|cost| {
                let instances = count(cost.instances as u64);
                (instances, count(cost.engines as u64), value(cost))
            });
            slope::fit(&points.collect::<Vec<_>>())
        };
        let loaded = |value: &dyn Fn(&Cost) -> f64| {
            let requests = self.loaded.iter().filter(|cost| is_request_load(cost));
            let points = requests.map(|cost| {
                let instances = count(cost.instances as u64);
                let held = count(cost.held_slots as u64) / instances;
                (cost.requests_per_s / instances, held, value(cost))
            });
            slope::fit(&points.collect::<Vec<_>>())
        };
        Slopes {
            idle_bytes: idle(&|cost| cost.sent_bytes_per_s),
            idle_core_percent: idle(&|cost| cost.core_percent),
            idle_memory: idle(&|cost| count(cost.memory_bytes)),
            admission_bytes: loaded(&|cost| {
                cost.sent
                    .get("admission")
                    .map_or(0.0, |kind| kind.bytes_per_s)
            }),
            loaded_core_percent: loaded(&|cost| cost.core_percent),
        }
    }
}

/// Returns whether a load consisted of generations only, at the fleet size of the slopes.
fn is_request_load(cost: &Cost) -> bool {
    cost.instances < 420
        && cost.samples_per_s == 0.0
        && cost.log["wisteriaford-claims"].appends_per_s == 0.0
}

fn print_cost(name: &str, cost: &Cost) {
    println!(
        "{name} instances {} engines {}: requests {:.0}/s tokens {:.0}/s samples {:.1}/s \
         held slots {}; sent {:.0} B/s (max {:.0}), received {:.0} B/s; core {:.3} % \
         (max {:.3}); {} KB",
        cost.instances,
        cost.engines,
        cost.requests_per_s,
        cost.tokens_per_s,
        cost.samples_per_s,
        cost.held_slots,
        cost.sent_bytes_per_s,
        cost.most_sent_bytes_per_s,
        cost.received_bytes_per_s,
        cost.core_percent,
        cost.most_core_percent,
        cost.memory_bytes / 1_000,
    );
    for (kind, sent) in &cost.sent {
        let (messages, bytes) = (sent.messages_per_s, sent.bytes_per_s);
        println!("    {kind}: {messages:.2} messages/s {bytes:.0} B/s sent");
    }
    for (stream, usage) in &cost.log {
        println!(
            "    {stream}: {:.2} appends/s {:.0} reads/s {:.0} B/s read by the fleet",
            usage.appends_per_s, usage.read.messages_per_s, usage.read.bytes_per_s,
        );
    }
}
