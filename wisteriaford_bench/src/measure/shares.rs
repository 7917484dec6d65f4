//! Slots that callers hold, and slots that they are entitled to.
//!
//! At each observation, the demand of a caller is the number of requests or unfinished samples that
//! it waits for, and the slots that it holds are the ones on which engines generate them.
//! Interactive callers are entitled first, up to their share of the slots of the running engines;
//! trainers are entitled to the rest. Within each kind, slots are divided by max-min fairness.

use std::collections::HashSet;
use std::time::Duration;

use wisteriaford_core::id::PoolId;

use super::callers::BURSTING_CALLER;
use super::callers::CRASHING_CALLER;
use super::callers::INTERACTIVE_CALLERS;
use super::figures::as_f64;
use super::figures::max_min_shares;
use super::run::Run;
use super::scenario::Case;
use super::scenario::INTERACTIVE_CAP_PERCENT;
use super::scenario::PORTAL;
use super::scenario::TRAINED;
use super::scenario::TRAINED_ENGINES;

/// Window over which the slots that a caller held are compared with its entitlement.
pub(super) const SHARES_WINDOW: Duration = Duration::from_secs(60);

const TRAINERS: [&str; 3] = ["trainer-0", "trainer-1", "trainer-2"];

impl Run {
    /// Records the slots that callers hold and are entitled to now.
    pub(super) fn sample_shares(&mut self) {
        for pool in [TRAINED, PORTAL] {
            self.sample_pool(pool);
        }
    }

    fn sample_pool(&mut self, pool: &'static str) {
        let capacity = self.capacity(pool);
        let held = self.held_slots(pool);
        let callers: Vec<usize> = (0..INTERACTIVE_CALLERS.len())
            .filter(|&caller| INTERACTIVE_CALLERS[caller].pool == pool && caller != CRASHING_CALLER)
            .collect();
        let demands: Vec<f64> = callers.iter().map(|&caller| self.demand(caller)).collect();
        let has_batch = pool == TRAINED;
        let cap = if has_batch {
            capacity * f64::from(INTERACTIVE_CAP_PERCENT) / 100.0
        } else {
            capacity
        };
        let entitled = max_min_shares(cap, &demands);
        for (&caller, &entitled) in callers.iter().zip(&entitled) {
            let is_measured =
                caller != BURSTING_CALLER || !self.scenario.case.includes(Case::Burst);
            if is_measured {
                let held = as_f64(held.interactive[caller]);
                self.shares
                    .add(INTERACTIVE_CALLERS[caller].name, held, entitled);
            }
        }
        if has_batch {
            self.sample_trainers(capacity - entitled.iter().sum::<f64>(), &held);
        }
    }

    fn sample_trainers(&mut self, capacity: f64, held: &HeldSlots) {
        let demands: Vec<f64> = self
            .trainers
            .iter()
            .map(|trainer| {
                let unfinished = trainer.spec.total() as usize - trainer.finished.len();
                let unfinished = if trainer.is_complete() { 0 } else { unfinished };
                as_f64(unfinished as u64)
            })
            .collect();
        let entitled = max_min_shares(capacity, &demands);
        for (index, entitled) in entitled.into_iter().enumerate() {
            self.shares
                .add(TRAINERS[index], as_f64(held.trainers[index]), entitled);
        }
    }

    fn demand(&self, caller: usize) -> f64 {
        let requests = self.requests.values();
        as_f64(requests.filter(|request| request.caller == caller).count() as u64)
    }

    fn engines_of(&self, pool: &PoolId) -> impl Iterator<Item = &wisteriaford_fakes::Engine> {
        let is_trained = pool.as_str() == TRAINED;
        let engines = self.fleet.engines.values().enumerate();
        let engines = engines.filter(move |(index, _)| (*index < TRAINED_ENGINES) == is_trained);
        engines.map(|(_, engine)| engine)
    }

    fn capacity(&self, pool: &str) -> f64 {
        let pool = PoolId::from(pool);
        let running = self.engines_of(&pool).filter(|engine| !engine.is_down);
        let slots: usize = running.map(|engine| engine.settings.slots).sum();
        as_f64(slots as u64)
    }

    fn held_slots(&self, pool: &str) -> HeldSlots {
        let pool = PoolId::from(pool);
        let mut held = HeldSlots::default();
        let mut seen_seeds = HashSet::new();
        for work in self
            .engines_of(&pool)
            .flat_map(wisteriaford_fakes::Engine::generating)
        {
            if !seen_seeds.insert(work.seed) {
                continue;
            }
            let belongs_to = |name: &str| work.prompt.starts_with(name);
            if let Some(index) = TRAINERS.iter().position(|name| belongs_to(name)) {
                held.trainers[index] += 1;
            } else if let Some(index) = INTERACTIVE_CALLERS
                .iter()
                .position(|kind| belongs_to(kind.name))
            {
                held.interactive[index] += 1;
            }
        }
        held
    }
}

/// Number of slots that each caller holds.
#[derive(Debug, Default)]
struct HeldSlots {
    trainers: [u64; 3],
    interactive: [u64; INTERACTIVE_CALLERS.len()],
}
