//! Schedule of the faults of each case.

use std::time::Duration;

use super::run::Run;
use super::scenario::Case;
use super::scenario::Scenario;
use super::scenario::TRAINED_ENGINES;

const FAULT_INTERVAL: Duration = Duration::from_secs(60);
const ENGINE_DOWNTIME: Duration = Duration::from_secs(10);
const INSTANCE_DOWNTIME: Duration = Duration::from_secs(15);
const FAILING_ENGINES: usize = 2;
const FAILING_LOADS: u32 = 3;

/// Beginning or end of a fault.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// Crashes an engine, which restarts after [`ENGINE_DOWNTIME`].
    CrashEngine(usize),
    /// Makes the next [`FAILING_LOADS`] weight loads of [`FAILING_ENGINES`] engines fail.
    FailSwaps(usize),
    /// Kills an instance.
    KillInstance(usize),
    /// Restarts a killed instance.
    RestartInstance(usize),
    /// Takes the log down.
    LogDown,
    /// Brings the log back up.
    LogUp,
    /// Sends a request that crashes its endpoint.
    CrashingRequest,
}

impl Fault {
    /// Returns the faults of a scenario with their times after its start.
    #[must_use]
    pub(super) fn schedule(scenario: &Scenario) -> Vec<(Duration, Self)> {
        let mut faults = Vec::new();
        let rounds = u32::try_from(scenario.length.as_secs() / FAULT_INTERVAL.as_secs());
        for round in 0..rounds.unwrap_or(u32::MAX) {
            // Each kind of fault has its own offset within the minute, so that none coincide.
            let at = |seconds| FAULT_INTERVAL * round + Duration::from_secs(seconds);
            let index = round as usize;
            if scenario.case.includes(Case::EngineCrash) {
                faults.push((at(20), Self::CrashEngine(index % TRAINED_ENGINES)));
            }
            if scenario.case.includes(Case::SwapFails) {
                faults.push((at(25), Self::FailSwaps(index)));
            }
            if scenario.case.includes(Case::InstanceKilled) {
                faults.push((at(30), Self::KillInstance(index)));
                faults.push((at(30) + INSTANCE_DOWNTIME, Self::RestartInstance(index)));
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
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::CrashEngine(index) => {
                let address = self.engine_address(index);
                self.fleet.crash_engine(&address, Some(ENGINE_DOWNTIME));
            }
            Fault::FailSwaps(round) => {
                for offset in 0..FAILING_ENGINES {
                    let index = (round * FAILING_ENGINES + offset) % TRAINED_ENGINES;
                    let address = self.engine_address(index);
                    self.fleet.engines[&address].fail_swaps = FAILING_LOADS;
                }
            }
            Fault::KillInstance(round) => {
                let instance = self.instances[round % self.instances.len()].clone();
                self.fleet.kill(&instance);
                self.break_connections(&instance);
            }
            Fault::RestartInstance(round) => {
                let instance = self.instances[round % self.instances.len()].clone();
                self.fleet.restart(&instance);
            }
            Fault::LogDown => self.fleet.log.is_down = true,
            Fault::LogUp => self.fleet.log.is_down = false,
            Fault::CrashingRequest => self.start_crashing_request(),
        }
    }

    fn engine_address(&self, engine: usize) -> compact_str::CompactString {
        let address = self.fleet.engines.get_index(engine);
        address.map_or_else(Default::default, |(address, _)| address.clone())
    }
}
