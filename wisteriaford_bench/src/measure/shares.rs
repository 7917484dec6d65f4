//! Who holds engine slots, and who is entitled to them.
//!
//! At each look a caller's demand is the number of requests or unfinished samples that it waits
//! for, and what it holds is the number of them that engines generate. Interactive callers are
//! entitled first, up to their part of the slots of the engines that run; the rest goes to the
//! trainers, and within each kind the division is max-min fair.

use std::collections::HashSet;
use std::time::Duration;

use wisteriaford_core::id::PoolId;

use super::callers::BURSTING;
use super::callers::CRASHING;
use super::callers::INTERACTIVE;
use super::figures::as_f64;
use super::figures::max_min;
use super::run::Run;
use super::scenario::Case;
use super::scenario::INTERACTIVE_CAP_PERCENT;
use super::scenario::PORTAL;
use super::scenario::TRAINED;
use super::scenario::TRAINED_ENGINES;

/// Time over which what a caller received is compared with what it was entitled to.
pub(super) const SHARES_WINDOW: Duration = Duration::from_secs(60);

const TRAINERS: [&str; 3] = ["trainer-0", "trainer-1", "trainer-2"];

impl Run {
    /// Looks at who holds slots now.
    pub(super) fn look(&mut self) {
        for pool in [TRAINED, PORTAL] {
            self.look_at(pool);
        }
    }

    fn look_at(&mut self, pool: &'static str) {
        let capacity = self.capacity(pool);
        let held = self.held(pool);
        let callers: Vec<usize> = (0..INTERACTIVE.len())
            .filter(|&caller| INTERACTIVE[caller].pool == pool && caller != CRASHING)
            .collect();
        let demands: Vec<f64> = callers.iter().map(|&caller| self.demand(caller)).collect();
        let has_batch = pool == TRAINED;
        let cap = if has_batch {
            capacity * f64::from(INTERACTIVE_CAP_PERCENT) / 100.0
        } else {
            capacity
        };
        let entitled = max_min(cap, &demands);
        for (&caller, &entitled) in callers.iter().zip(&entitled) {
            let is_measured = caller != BURSTING || !self.scenario.case.includes(Case::Burst);
            if is_measured {
                let held = as_f64(held.interactive[caller]);
                self.shares.add(INTERACTIVE[caller].name, held, entitled);
            }
        }
        if has_batch {
            self.look_at_trainers(capacity - entitled.iter().sum::<f64>(), &held);
        }
    }

    fn look_at_trainers(&mut self, capacity: f64, held: &Held) {
        let demands: Vec<f64> = self
            .trainers
            .iter()
            .map(|trainer| {
                let open = trainer.spec.total() as usize - trainer.finished.len();
                let open = if trainer.is_whole() { 0 } else { open };
                as_f64(open as u64)
            })
            .collect();
        let entitled = max_min(capacity, &demands);
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

    fn held(&self, pool: &str) -> Held {
        let pool = PoolId::from(pool);
        let mut held = Held::default();
        let mut seen = HashSet::new();
        for work in self
            .engines_of(&pool)
            .flat_map(wisteriaford_fakes::Engine::generating)
        {
            if !seen.insert(work.seed) {
                continue;
            }
            let is_of = |name: &str| work.prompt.starts_with(name);
            if let Some(index) = TRAINERS.iter().position(|name| is_of(name)) {
                held.trainers[index] += 1;
            } else if let Some(index) = INTERACTIVE.iter().position(|kind| is_of(kind.name)) {
                held.interactive[index] += 1;
            }
        }
        held
    }
}

/// Slots that callers hold.
#[derive(Debug, Default)]
struct Held {
    trainers: [u64; 3],
    interactive: [u64; INTERACTIVE.len()],
}
