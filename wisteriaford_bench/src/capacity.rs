//! What an instance costs, and how long the fleet takes, at several sizes.

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

/// Sizes measured without load, as instances and engines.
const IDLE_SIZES: [(usize, usize); 6] = [
    (10, 15),
    (10, 600),
    (50, 70),
    (150, 15),
    (150, 215),
    (420, 600),
];
/// Sizes at which zones and regions are lost too, which takes long.
const RECOVERY_SIZES: [(usize, usize); 2] = [(10, 15), (50, 70)];
/// Size at which the slopes of load are measured.
const LOADED_SIZE: (usize, usize) = (50, 70);
/// Requests a second of the loads whose slopes are taken.
const LOADED_REQUESTS_PER_S: [u32; 3] = [0, 100, 200];
/// Requests a second of the whole two-year size.
const FULL_REQUESTS_PER_S: u32 = 3_500;
/// Virtual time over which costs are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Virtual time over which costs are counted under the whole load.
const FULL_WINDOW: Duration = Duration::from_secs(5);
/// Engines that load weights at once at the two-year size.
const CONCURRENT_LOADS: usize = 150;

/// Arguments of the measurement of capacity.
#[derive(Args)]
pub struct Settings {
    /// Seed of all that is drawn at random.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Largest number of instances.
    #[arg(long, default_value_t = 420)]
    max_instances: usize,
    /// Leave out what takes longest: the whole load and the lost zones and regions.
    #[arg(long)]
    short: bool,
    /// Measure only a fleet of this many instances, before `engines`.
    #[arg(long, requires = "engines")]
    instances: Option<usize>,
    /// Engines of the fleet of `instances`.
    #[arg(long, requires = "instances")]
    engines: Option<usize>,
    /// Requests a second for the fleet of `instances`; without load if none are named.
    #[arg(long, requires = "instances")]
    requests_per_s: Option<u32>,
}

/// Measures what the settings ask for.
#[must_use]
pub fn main(settings: &Settings) -> ExitCode {
    settings.run();
    ExitCode::SUCCESS
}

impl Settings {
    /// Measures and prints a table for people, then one line of JSON.
    fn run(&self) {
        let mut report = Report::new(self.seed);
        if let (Some(instances), Some(engines)) = (self.instances, self.engines) {
            self.one(&mut report, (instances, engines));
            return;
        }
        let sizes = IDLE_SIZES
            .iter()
            .filter(|size| size.0 <= self.max_instances);
        for &size in sizes {
            report.idle(cost::idle(&self.layout(size), WINDOW));
        }
        let sizes = IDLE_SIZES
            .iter()
            .filter(|size| self.is_proportional(**size));
        for &size in sizes {
            report.times(recovery::times(&self.layout(size)));
        }
        for requests_per_s in LOADED_REQUESTS_PER_S {
            for tokens_per_s in [50, 25] {
                let load = Load::requests(requests_per_s);
                let layout = self.engines_of(LOADED_SIZE, tokens_per_s);
                report.loaded(cost::loaded(&layout, &load, WINDOW));
            }
        }
        let step = Load::step(1_024);
        report.loaded(cost::loaded(&self.layout(LOADED_SIZE), &step, WINDOW));
        let keyed = Load::keyed(40);
        report.loaded(cost::loaded(&self.layout(LOADED_SIZE), &keyed, WINDOW));
        if !self.short {
            self.long(&mut report);
        }
        report.print();
    }

    fn one(&self, report: &mut Report, size: (usize, usize)) {
        let layout = self.layout(size);
        if let Some(per_s) = self.requests_per_s {
            let load = Load::requests(per_s);
            report.loaded(cost::loaded(&layout, &load, FULL_WINDOW));
            return;
        }
        report.idle(cost::idle(&layout, WINDOW));
        report.times(recovery::times(&layout));
    }

    fn long(&self, report: &mut Report) {
        for size in RECOVERY_SIZES {
            report.recoveries(recovery::lost_places(&self.layout(size)));
        }
        if self.max_instances >= 420 {
            let load = Load::requests(FULL_REQUESTS_PER_S);
            let layout = self.layout((420, 600));
            report.loaded(cost::loaded(&layout, &load, FULL_WINDOW));
        }
    }

    fn is_proportional(&self, (instances, engines): (usize, usize)) -> bool {
        let is_small_enough = instances <= self.max_instances;
        is_small_enough && engines > instances && engines < instances * 2
    }

    fn engines_of(&self, size: (usize, usize), tokens_per_s: u32) -> Layout {
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
                is_timed: true,
                ..FleetSettings::default()
            },
            ..Layout::default()
        }
    }
}
