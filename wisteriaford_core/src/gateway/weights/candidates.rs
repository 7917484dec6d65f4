//! Loads that could be given now, best first, from one look at all engines.
//!
//! A load changes how much its model lacks, and so which model comes next, but no engine's rank: ranks
//! are computed once, however many loads are given.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::gateway::weights::ALLOWED_LAG;
use crate::gateway::weights::EngineView;
use crate::gateway::weights::LAZY_LOAD_AFTER;
use crate::gateway::weights::ModelDemand;
use crate::gateway::weights::Target;
use crate::gateway::weights::WeightPlan;
use crate::gateway::weights::wanted_slots;
use crate::id::EndpointId;
use crate::id::ModelId;
use crate::id::Version;
use crate::time::Timestamp;

/// Loads in the order in which they are given, as an iterator.
pub(super) struct Candidates<'a> {
    models: Vec<ModelCandidates<'a>>,
    given: IndexSet<&'a EndpointId>,
}

/// Rank of an engine among those that could load a model; the least comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EngineRank {
    /// Long items of the model that the engine runs.
    long_items: u32,
    /// The next step could use the engine as it is.
    is_usable: bool,
    /// Place of the engine after the first one of the model.
    ///
    /// Each model has a first engine of its own, so that models share engines only if they must.
    distance: usize,
}

struct Candidate<'a> {
    rank: EngineRank,
    view: &'a EngineView,
}

/// What a model has and wants, and the engines that could load it, best last.
struct ModelCandidates<'a> {
    model: &'a ModelId,
    wanted_slots: u64,
    /// Slots with the newest version that end the loads.
    enough_slots: u64,
    /// Slots that the next step can use, those of engines that load included.
    usable_slots: u64,
    /// Slots with the newest version, those of engines that load included.
    newest_slots: u64,
    urgent: Vec<Candidate<'a>>,
    ahead: Vec<Candidate<'a>>,
}

impl<'a> Candidates<'a> {
    /// Looks at all engines for all models.
    pub(super) fn new(
        plan: &'a WeightPlan,
        now: Timestamp,
        views: &'a [EngineView],
        demand: &IndexMap<ModelId, ModelDemand>,
    ) -> Self {
        let share_percent = plan.share_percent(views, demand);
        let nothing = ModelDemand::default();
        let mut models = Vec::new();
        let mut first_place = 0;
        for (model, target) in &plan.targets {
            let demand = demand.get(model).unwrap_or(&nothing);
            let hosts = views.iter().filter(|view| view.models.contains(model));
            let hosts: Vec<&EngineView> = hosts.collect();
            let all: u64 = hosts.iter().map(|view| u64::from(view.slots)).sum();
            let wanted_slots = all.min(wanted_slots(demand) * share_percent / 100);
            let look = Look {
                plan,
                now,
                model,
                target: *target,
                first_place: first_place % views.len().max(1),
                engines: views.len(),
            };
            models.push(look.candidates(&hosts, demand, wanted_slots, all));
            first_place += engines_for(wanted_slots, all, hosts.len());
        }
        Self {
            models,
            given: IndexSet::new(),
        }
    }
}

impl Iterator for Candidates<'_> {
    type Item = (EndpointId, ModelId);

    fn next(&mut self) -> Option<Self::Item> {
        let given = &self.given;
        let ranks = self
            .models
            .iter_mut()
            .enumerate()
            .filter_map(|(index, model)| {
                let rank = model.best(given)?;
                Some((model.covered_percent(), rank, index))
            });
        let (_, _, index) = ranks.min()?;
        let model = &mut self.models[index];
        let candidate = model.take_best()?;
        self.given.insert(&candidate.view.endpoint);
        Some((candidate.view.endpoint.clone(), model.model.clone()))
    }
}

impl<'a> ModelCandidates<'a> {
    /// Returns whether the next step can't use as many slots as it wants.
    fn is_urgent(&self) -> bool {
        self.usable_slots < self.wanted_slots
    }

    /// Returns the slots of the next step that the model has, in percent; 100 if it lacks none.
    fn covered_percent(&self) -> u64 {
        if self.is_urgent() {
            self.usable_slots * 100 / self.wanted_slots.max(1)
        } else {
            100
        }
    }

    /// Returns the rank of the best engine that was given no load for another model.
    fn best(&mut self, given: &IndexSet<&EndpointId>) -> Option<EngineRank> {
        if self.newest_slots >= self.enough_slots {
            return None;
        }
        let list = if self.is_urgent() {
            &mut self.urgent
        } else {
            &mut self.ahead
        };
        while list
            .last()
            .is_some_and(|last| given.contains(&last.view.endpoint))
        {
            list.pop();
        }
        list.last().map(|last| last.rank)
    }

    fn take_best(&mut self) -> Option<Candidate<'a>> {
        let list = if self.is_urgent() {
            &mut self.urgent
        } else {
            &mut self.ahead
        };
        let taken = list.pop()?;
        let slots = u64::from(taken.view.slots);
        self.newest_slots += slots;
        if !taken.rank.is_usable {
            self.usable_slots += slots;
        }
        Some(taken)
    }
}

/// What the engines are looked at for.
struct Look<'a> {
    plan: &'a WeightPlan,
    now: Timestamp,
    model: &'a ModelId,
    target: Target,
    /// Place of the model's first engine.
    first_place: usize,
    engines: usize,
}

impl<'a> Look<'a> {
    fn candidates(
        &self,
        hosts: &[&'a EngineView],
        demand: &ModelDemand,
        wanted_slots: u64,
        all_slots: u64,
    ) -> ModelCandidates<'a> {
        // The step that follows takes the newest version and the one before it.
        let newest = self.target.version;
        let needed = Version(newest.0.saturating_sub(ALLOWED_LAG));
        let has_lasted = self.now.since(self.target.since) >= LAZY_LOAD_AFTER;
        let mut found = ModelCandidates {
            model: self.model,
            wanted_slots,
            enough_slots: if has_lasted { all_slots } else { wanted_slots },
            usable_slots: 0,
            newest_slots: 0,
            urgent: Vec::new(),
            ahead: Vec::new(),
        };
        for (place, view) in hosts.iter().enumerate() {
            let Some(engine) = self.plan.engines.get(&view.endpoint) else {
                continue;
            };
            let is_usable = engine.has(self.model, needed);
            let is_newest = engine.has(self.model, newest);
            if is_usable || engine.loads(self.model, needed) {
                found.usable_slots += u64::from(view.slots);
            }
            if is_newest || engine.loads(self.model, newest) {
                found.newest_slots += u64::from(view.slots);
            }
            if is_newest || !engine.is_free(self.now) {
                continue;
            }
            let running = demand.running.get(&view.endpoint);
            let long_items = running.map_or(0, |running| running.long_items);
            let rank = EngineRank {
                long_items,
                is_usable,
                distance: (place + self.engines - self.first_place) % self.engines,
            };
            if !is_usable {
                found.urgent.push(Candidate { rank, view });
            }
            if demand.waiting == 0 && long_items == 0 {
                found.ahead.push(Candidate { rank, view });
            }
        }
        for list in [&mut found.urgent, &mut found.ahead] {
            list.sort_by_key(|candidate| std::cmp::Reverse(candidate.rank));
        }
        found
    }
}

/// Returns the number of engines that have so many of all slots.
fn engines_for(slots: u64, all_slots: u64, engines: usize) -> usize {
    let engines = u64::try_from(engines).unwrap_or(u64::MAX);
    let part = slots.saturating_mul(engines).div_ceil(all_slots.max(1));
    usize::try_from(part).unwrap_or(usize::MAX)
}
