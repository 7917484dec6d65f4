//! Faults of the cases, by time.

use std::time::Duration;

use super::run::Run;
use super::scenario::Case;
use super::scenario::Scenario;
use super::scenario::TRAINED_ENGINES;

const FAULT_INTERVAL: Duration = Duration::from_secs(60);
const ENGINE_DOWN: Duration = Duration::from_secs(10);
const INSTANCE_DOWN: Duration = Duration::from_secs(15);
const FAILING_ENGINES: usize = 2;
const FAILING_LOADS: u32 = 3;

/// A fault that begins or ends.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// An engine crashes and is back after a while.
    CrashEngine(usize),
    /// The next loads of some engines fail.
    FailSwaps(usize),
    /// An instance is killed.
    Kill(usize),
    /// The instance is started again.
    Restart(usize),
    /// The log goes down.
    LogDown,
    /// The log is back.
    LogUp,
    /// A request comes that crashes its endpoint.
    CrashingRequest,
}

impl Fault {
    /// Returns the faults of a scenario and the times after its start.
    #[must_use]
    pub(super) fn all(scenario: &Scenario) -> Vec<(Duration, Self)> {
        let mut faults = Vec::new();
        let times = u32::try_from(scenario.length.as_secs() / FAULT_INTERVAL.as_secs());
        for turn in 0..times.unwrap_or(u32::MAX) {
            // Each kind has its own moment within the minute, so that not all strike at once.
            let at = |seconds| FAULT_INTERVAL * turn + Duration::from_secs(seconds);
            let index = turn as usize;
            if scenario.case.includes(Case::EngineCrash) {
                faults.push((at(20), Self::CrashEngine(index % TRAINED_ENGINES)));
            }
            if scenario.case.includes(Case::SwapFails) {
                faults.push((at(25), Self::FailSwaps(index)));
            }
            if scenario.case.includes(Case::InstanceKilled) {
                faults.push((at(30), Self::Kill(index)));
                faults.push((at(30) + INSTANCE_DOWN, Self::Restart(index)));
            }
            if scenario.case.includes(Case::CrashingRequest) {
                faults.push((at(40), Self::CrashingRequest));
            }
        }
        if scenario.case.includes(Case::LogDown) {
            faults.push((scenario.length / 6, Self::LogDown));
            faults.push((scenario.length * 5 / 6, Self::LogUp));
        }
        faults
    }
}

impl Run {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::CrashEngine(index) => {
                let address = self.address(index);
                self.fleet.crash_engine(&address, Some(ENGINE_DOWN));
            }
            Fault::FailSwaps(turn) => {
                for place in 0..FAILING_ENGINES {
                    let index = (turn * FAILING_ENGINES + place) % TRAINED_ENGINES;
                    let address = self.address(index);
                    self.fleet.engines[&address].fail_swaps = FAILING_LOADS;
                }
            }
            Fault::Kill(turn) => {
                let instance = self.instances[turn % self.instances.len()].clone();
                self.fleet.kill(&instance);
                self.break_connections(&instance);
            }
            Fault::Restart(turn) => {
                let instance = self.instances[turn % self.instances.len()].clone();
                self.fleet.restart(&instance);
            }
            Fault::LogDown => self.fleet.log.is_down = true,
            Fault::LogUp => self.fleet.log.is_down = false,
            Fault::CrashingRequest => self.arrive_crashing(),
        }
    }

    fn address(&self, engine: usize) -> compact_str::CompactString {
        let address = self.fleet.engines.get_index(engine);
        address.map_or_else(Default::default, |(address, _)| address.clone())
    }
}
