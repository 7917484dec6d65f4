//! Loads that could be ordered now, best first, from a single scan of all engines.
//!
//! Each load changes how many slots its model lacks, and so which model comes next, but not the
//! rank of any engine. Ranks are therefore computed once, regardless of the number of loads.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::gateway::weights::EngineView;
use crate::gateway::weights::LAZY_LOAD_AFTER;
use crate::gateway::weights::MAX_VERSION_LAG;
use crate::gateway::weights::ModelDemand;
use crate::gateway::weights::Target;
use crate::gateway::weights::WeightPlan;
use crate::gateway::weights::wanted_slots;
use crate::id::EndpointId;
use crate::id::ModelId;
use crate::id::Version;
use crate::time::Timestamp;

/// Iterator over the loads to order, best first.
pub(super) struct Candidates<'a> {
    models: Vec<ModelCandidates<'a>>,
    /// Engines of the loads returned so far.
    assigned: IndexSet<&'a EndpointId>,
}

/// Rank of an engine among those that could load a model; the lowest comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EngineRank {
    /// Number of the model's long items that the engine runs.
    long_items: u32,
    /// Whether the next step could use the engine with its current version.
    is_usable: bool,
    /// Number of positions from the model's first engine to this one.
    ///
    /// Each model has a first engine of its own, so that models share engines only if necessary.
    distance: usize,
}

struct Candidate<'a> {
    rank: EngineRank,
    view: &'a EngineView,
}

/// Slots that a model has and wants, and the engines that could load it, best last.
struct ModelCandidates<'a> {
    model: &'a ModelId,
    wanted_slots: u64,
    /// Slots with the newest version from which no more engines are loaded.
    sufficient_slots: u64,
    /// Slots that the next step can use, including those of engines that are loading.
    usable_slots: u64,
    /// Slots with the newest version, including those of engines that are loading.
    newest_slots: u64,
    /// Engines to load while the next step lacks usable slots.
    urgent: Vec<Candidate<'a>>,
    /// Engines to load ahead of need otherwise.
    preload: Vec<Candidate<'a>>,
}

impl<'a> Candidates<'a> {
    /// Scans all engines for all models.
    pub(super) fn new(
        plan: &'a WeightPlan,
        now: Timestamp,
        views: &'a [EngineView],
        demand: &IndexMap<ModelId, ModelDemand>,
    ) -> Self {
        let share_percent = plan.share_percent(views, demand);
        let no_demand = ModelDemand::default();
        let mut models = Vec::new();
        let mut first_position = 0;
        for (model, target) in &plan.targets {
            let demand = demand.get(model).unwrap_or(&no_demand);
            let hosts = views.iter().filter(|view| view.models.contains(model));
            let hosts: Vec<&EngineView> = hosts.collect();
            let all: u64 = hosts.iter().map(|view| u64::from(view.slots)).sum();
            let wanted_slots = all.min(wanted_slots(demand) * share_percent / 100);
            let scan = ModelScan {
                plan,
                now,
                model,
                target: *target,
                first_position: first_position % views.len().max(1),
                engines: views.len(),
            };
            models.push(scan.candidates(&hosts, demand, wanted_slots, all));
            first_position += engines_for(wanted_slots, all, hosts.len());
        }
        Self {
            models,
            assigned: IndexSet::new(),
        }
    }
}

impl Iterator for Candidates<'_> {
    type Item = (EndpointId, ModelId);

    fn next(&mut self) -> Option<Self::Item> {
        let assigned = &self.assigned;
        let ranks = self
            .models
            .iter_mut()
            .enumerate()
            .filter_map(|(index, model)| {
                let rank = model.best_rank(assigned)?;
                Some((model.covered_percent(), rank, index))
            });
        let (_, _, index) = ranks.min()?;
        let model = &mut self.models[index];
        let candidate = model.take_best()?;
        self.assigned.insert(&candidate.view.endpoint);
        Some((candidate.view.endpoint.clone(), model.model.clone()))
    }
}

impl<'a> ModelCandidates<'a> {
    /// Returns whether the next step has fewer usable slots than it wants.
    fn lacks_usable_slots(&self) -> bool {
        self.usable_slots < self.wanted_slots
    }

    /// Returns the usable slots in percent of those wanted for the next step; at most 100.
    fn covered_percent(&self) -> u64 {
        if self.lacks_usable_slots() {
            self.usable_slots * 100 / self.wanted_slots.max(1)
        } else {
            100
        }
    }

    /// Returns the rank of the best engine that hasn't been assigned a load for another model.
    fn best_rank(&mut self, assigned: &IndexSet<&EndpointId>) -> Option<EngineRank> {
        if self.newest_slots >= self.sufficient_slots {
            return None;
        }
        let list = if self.lacks_usable_slots() {
            &mut self.urgent
        } else {
            &mut self.preload
        };
        while list
            .last()
            .is_some_and(|last| assigned.contains(&last.view.endpoint))
        {
            list.pop();
        }
        list.last().map(|last| last.rank)
    }

    /// Removes the best engine and counts its slots as loaded.
    fn take_best(&mut self) -> Option<Candidate<'a>> {
        let list = if self.lacks_usable_slots() {
            &mut self.urgent
        } else {
            &mut self.preload
        };
        let best = list.pop()?;
        let slots = u64::from(best.view.slots);
        self.newest_slots += slots;
        if !best.rank.is_usable {
            self.usable_slots += slots;
        }
        Some(best)
    }
}

/// Parameters of the scan of all engines for one model.
struct ModelScan<'a> {
    plan: &'a WeightPlan,
    now: Timestamp,
    model: &'a ModelId,
    target: Target,
    /// Position of the model's first engine.
    first_position: usize,
    engines: usize,
}

impl<'a> ModelScan<'a> {
    fn candidates(
        &self,
        hosts: &[&'a EngineView],
        demand: &ModelDemand,
        wanted_slots: u64,
        all_slots: u64,
    ) -> ModelCandidates<'a> {
        // The next step accepts the newest version and, unless waiting items say otherwise, the one
        // before it.
        let newest = self.target.version;
        let oldest_usable = Version(newest.0.saturating_sub(MAX_VERSION_LAG));
        let oldest_usable = oldest_usable.max(demand.min_version).min(newest);
        let is_stable = self.now.since(self.target.since) >= LAZY_LOAD_AFTER;
        let mut candidates = ModelCandidates {
            model: self.model,
            wanted_slots,
            sufficient_slots: if is_stable { all_slots } else { wanted_slots },
            usable_slots: 0,
            newest_slots: 0,
            urgent: Vec::new(),
            preload: Vec::new(),
        };
        for (position, view) in hosts.iter().enumerate() {
            let Some(engine) = self.plan.engines.get(&view.endpoint) else {
                continue;
            };
            let is_usable = engine.has_version(self.model, oldest_usable);
            let is_newest = engine.has_version(self.model, newest);
            if is_usable || engine.is_loading(self.model, oldest_usable) {
                candidates.usable_slots += u64::from(view.slots);
            }
            if is_newest || engine.is_loading(self.model, newest) {
                candidates.newest_slots += u64::from(view.slots);
            }
            if is_newest || !engine.can_take_order(self.now) {
                continue;
            }
            let running = demand.running.get(&view.endpoint);
            let long_items = running.map_or(0, |running| running.long_items);
            let rank = EngineRank {
                long_items,
                is_usable,
                distance: (position + self.engines - self.first_position) % self.engines,
            };
            if !is_usable {
                candidates.urgent.push(Candidate { rank, view });
            }
            if demand.waiting == 0 && long_items == 0 {
                candidates.preload.push(Candidate { rank, view });
            }
        }
        for list in [&mut candidates.urgent, &mut candidates.preload] {
            list.sort_by_key(|candidate| std::cmp::Reverse(candidate.rank));
        }
        candidates
    }
}

/// Returns the number of engines that have the given number of slots, at the average slots per
/// engine.
fn engines_for(slots: u64, all_slots: u64, engines: usize) -> usize {
    let engines = u64::try_from(engines).unwrap_or(u64::MAX);
    let needed = slots.saturating_mul(engines).div_ceil(all_slots.max(1));
    usize::try_from(needed).unwrap_or(usize::MAX)
}
