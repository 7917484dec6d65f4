//! Resource cost of an instance, and propagation and recovery times, for fleets of several sizes.

mod cost;
mod load;
mod process;
mod recovery;
mod report;
mod slope;

use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use wisteriaford_fakes::EngineSettings;
use wisteriaford_fakes::FleetSettings;
use wisteriaford_fakes::Layout;

use self::load::Load;
use self::report::Report;

/// Fleet sizes measured without load, as numbers of instances and engines.
const IDLE_SIZES: [(usize, usize); 6] = [
    (10, 15),
    (10, 600),
    (50, 70),
    (150, 15),
    (150, 215),
    (420, 600),
];
/// Fleet sizes at which a zone loss and a region partition are measured too, which takes long.
const RECOVERY_SIZES: [(usize, usize); 2] = [(10, 15), (50, 70)];
/// Fleet size at which the slopes of cost under load are measured.
const LOADED_SIZE: (usize, usize) = (50, 70);
/// Request rates from which the slopes are fitted, per second over the whole fleet.
const LOADED_REQUESTS_PER_S: [u32; 3] = [0, 100, 200];
/// Request rate of the whole two-year fleet size, per second.
const FULL_REQUESTS_PER_S: u32 = 3_500;
/// Virtual time over which costs are measured.
const WINDOW: Duration = Duration::from_secs(10);
/// Virtual time over which costs are measured under the whole two-year load.
const FULL_WINDOW: Duration = Duration::from_secs(5);
/// Engines that load weights at the same time at the two-year fleet size.
const CONCURRENT_LOADS: usize = 150;

/// Command-line arguments of the capacity measurement.
#[derive(Args)]
pub struct Settings {
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Largest number of instances.
    #[arg(long, default_value_t = 420)]
    max_instances: usize,
    /// Skip the slowest measurements: the two-year load, the zone loss and the region partition.
    #[arg(long)]
    short: bool,
    /// Measure only a fleet of this many instances, with `engines` engines.
    #[arg(long, requires = "engines")]
    instances: Option<usize>,
    /// Engines of the fleet of `instances` instances.
    #[arg(long, requires = "instances")]
    engines: Option<usize>,
    /// Requests per second for the fleet of `instances` instances; no load by default.
    #[arg(long, requires = "instances")]
    requests_per_s: Option<u32>,
}

/// Runs the measurements that the settings select.
#[must_use]
pub fn main(settings: &Settings) -> ExitCode {
    settings.run();
    ExitCode::SUCCESS
}

impl Settings {
    /// Prints the results as text, followed by one line of JSON unless a single fleet is measured.
    fn run(&self) {
        let mut report = Report::new(self.seed);
        if let (Some(instances), Some(engines)) = (self.instances, self.engines) {
            self.measure_one(&mut report, (instances, engines));
            return;
        }
        let sizes = IDLE_SIZES
            .iter()
            .filter(|size| size.0 <= self.max_instances);
        for &size in sizes {
            report.add_idle(cost::idle(&self.layout(size), WINDOW));
        }
        let sizes = IDLE_SIZES
            .iter()
            .filter(|size| self.is_proportional(**size));
        for &size in sizes {
            report.add_times(recovery::propagation_times(&self.layout(size)));
        }
        for requests_per_s in LOADED_REQUESTS_PER_S {
            for tokens_per_s in [50, 25] {
                let load = Load::requests(requests_per_s);
                let layout = self.layout_with_engine_rate(LOADED_SIZE, tokens_per_s);
                report.add_loaded(cost::loaded(&layout, &load, WINDOW));
            }
        }
        let step = Load::step(1_024);
        report.add_loaded(cost::loaded(&self.layout(LOADED_SIZE), &step, WINDOW));
        let keyed = Load::keyed(40);
        report.add_loaded(cost::loaded(&self.layout(LOADED_SIZE), &keyed, WINDOW));
        if !self.short {
            self.measure_slow(&mut report);
        }
        report.print();
    }

    fn measure_one(&self, report: &mut Report, size: (usize, usize)) {
        let layout = self.layout(size);
        if let Some(per_s) = self.requests_per_s {
            let load = Load::requests(per_s);
            report.add_loaded(cost::loaded(&layout, &load, FULL_WINDOW));
            return;
        }
        report.add_idle(cost::idle(&layout, WINDOW));
        report.add_times(recovery::propagation_times(&layout));
    }

    fn measure_slow(&self, report: &mut Report) {
        for size in RECOVERY_SIZES {
            report.add_recoveries(recovery::partition_and_zone_loss(&self.layout(size)));
        }
        if self.max_instances >= 420 {
            let load = Load::requests(FULL_REQUESTS_PER_S);
            let layout = self.layout((420, 600));
            report.add_loaded(cost::loaded(&layout, &load, FULL_WINDOW));
        }
    }

    fn is_proportional(&self, (instances, engines): (usize, usize)) -> bool {
        let is_small_enough = instances <= self.max_instances;
        is_small_enough && engines > instances && engines < instances * 2
    }

    fn layout_with_engine_rate(&self, size: (usize, usize), tokens_per_s: u32) -> Layout {
        let engine = EngineSettings {
            tokens_per_s,
            ..EngineSettings::default()
        };
        Layout {
            engine,
            ..self.layout(size)
        }
    }

    fn layout(&self, (instances, engines): (usize, usize)) -> Layout {
        Layout {
            instances,
            engines,
            services: 5,
            trainers: 11,
            concurrent_loads: (CONCURRENT_LOADS * engines).div_ceil(600),
            fleet: FleetSettings {
                seed: self.seed,
                measures_processing_time: true,
                ..FleetSettings::default()
            },
            ..Layout::default()
        }
    }
}
