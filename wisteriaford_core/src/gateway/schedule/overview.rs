//! Where the items of a batch job are, and what those that wait are waiting for.

use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::job::JobHead;
use crate::gateway::load_balancer::Exclusion;
use crate::gateway::load_balancer::LoadBalancer;
use crate::gateway::schedule::DispatchContext;
use crate::gateway::schedule::Schedule;
use crate::gateway::schedule::active::ActiveJob;
use crate::gateway::schedule::active::ItemPhase;
use crate::gateway::suspects::Suspects;
use crate::gateway::weights::VersionNeed;
use crate::id::EndpointId;
use crate::id::GroupId;
use crate::id::ItemId;
use crate::id::JobId;

/// What a waiting item waits for.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, PartialEq)]
pub enum ItemWait {
    /// The delay after a run that failed or was refused.
    #[display("back_off")]
    BackOff,
    /// A route for it, or nothing more, as its time is over.
    #[display("no_route_or_expired")]
    NoRouteOrExpired,
    /// An engine of its pool that isn't leaving.
    #[display("no_engine")]
    Engine,
    /// An engine with the version of the software that made its output so far.
    #[display("software_version")]
    Software,
    /// An engine with the version of the weights that it needs.
    #[display("weight_version")]
    Weights,
    /// The end of an ejection or a back-off of an engine.
    #[display("engine_back_off")]
    EngineBackOff,
    /// A free slot.
    #[display("free_slot")]
    Slot,
    /// A permit of an engine that limits its requests, or its turn after crashes of engines.
    #[display("permit_or_quarantine")]
    Admission,
}

/// Place of an unfinished item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ItemPlace {
    /// It would start now.
    Starting {
        /// Engine that would run it.
        endpoint: EndpointId,
    },
    /// It waits.
    Waiting {
        /// What it waits for.
        reason: ItemWait,
    },
    /// An engine runs it.
    Running {
        /// The engine.
        endpoint: EndpointId,
        /// Time since its run started.
        elapsed: Duration,
    },
    /// Its output is complete and has no score yet.
    Unscored,
}

/// Unfinished item of a batch job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemOverview {
    /// The item.
    pub item: ItemId,
    /// Its group.
    pub group: Option<GroupId>,
    /// Number of events of its output so far.
    pub events: usize,
    /// Where it is.
    pub place: ItemPlace,
}

/// What items are placed by, which an overview leaves as it is.
#[derive(Clone, Copy)]
pub struct DispatchState<'a> {
    /// Time, routes and endpoints.
    pub context: &'a DispatchContext<'a>,
    /// Statistics of the endpoints.
    pub load_balancer: &'a LoadBalancer,
    /// Requests that crashed endpoints.
    pub suspects: &'a Suspects,
}

impl Schedule {
    /// Returns the unfinished items of an open batch job in the order in which they start, or `None` if
    /// the batch job isn't open at this instance.
    ///
    /// Which items would start now is decided by [`Schedule::next_starts`] on copies.
    pub fn overview(
        &self,
        job: &JobId,
        state: &DispatchState<'_>,
        idle_connections: impl Fn(&EndpointId) -> usize,
        accepts: impl Fn(&Endpoint, &JobHead, VersionNeed) -> bool,
        may_request: impl Fn(&Endpoint) -> bool,
    ) -> Option<Vec<ItemOverview>> {
        let active = self.jobs.get(job)?;
        let context = state.context;
        let mut load_balancer = state.load_balancer.clone();
        let starts = self.clone().next_starts(
            context,
            &mut load_balancer,
            &mut state.suspects.clone(),
            &idle_connections,
            &accepts,
            |endpoint, _| may_request(endpoint),
        );
        let starts = starts.into_iter().filter(|start| start.job.id == *job);
        let mut starting: IndexMap<ItemId, EndpointId> = starts
            .map(|start| (start.item.id.clone(), start.endpoint.id))
            .collect();
        let unfinished = active.order.iter().filter_map(|id| {
            let item = active.items.get(id)?;
            let place = match &item.phase {
                ItemPhase::Done => return None,
                ItemPhase::Unscored | ItemPhase::Scoring { .. } => ItemPlace::Unscored,
                ItemPhase::Running {
                    endpoint, since, ..
                } => ItemPlace::Running {
                    endpoint: endpoint.clone(),
                    elapsed: context.now.since(*since),
                },
                ItemPhase::Waiting { .. } => match starting.swap_remove(id) {
                    Some(endpoint) => ItemPlace::Starting { endpoint },
                    None => ItemPlace::Waiting {
                        reason: wait(active, id, context, &load_balancer, &accepts),
                    },
                },
            };
            Some(ItemOverview {
                item: id.clone(),
                group: item.spec.group.clone(),
                events: item.progress.events.len(),
                place,
            })
        });
        Some(unfinished.collect())
    }
}

/// Returns what an item waits for that doesn't start, given the load after those that do.
fn wait(
    active: &ActiveJob,
    id: &ItemId,
    context: &DispatchContext<'_>,
    load_balancer: &LoadBalancer,
    accepts: impl Fn(&Endpoint, &JobHead, VersionNeed) -> bool,
) -> ItemWait {
    let Some(ready) = active.ready_item(id, context) else {
        let phase = active.items.get(id).map(|item| &item.phase);
        let is_backing_off = matches!(
            phase, Some(ItemPhase::Waiting { not_before }) if *not_before > context.now
        );
        return if is_backing_off {
            ItemWait::BackOff
        } else {
            ItemWait::NoRouteOrExpired
        };
    };
    let need = ready.version_need();
    let admits = |endpoint: &Endpoint| accepts(endpoint, &active.head, need);
    let (now, endpoints) = (context.now, context.endpoints);
    let states = load_balancer.candidate_states(now, endpoints, &ready.query(), |_| 0, admits);
    // The engine that came closest to being selected tells what is missing.
    let closest = states.iter().map(|state| match state.exclusion {
        Some(Exclusion::Leaving | Exclusion::Tried) => (0, ItemWait::Engine),
        Some(Exclusion::OtherSoftware) => (1, ItemWait::Software),
        Some(Exclusion::NotAccepted) => (2, ItemWait::Weights),
        Some(Exclusion::Ejected | Exclusion::Full) => (3, ItemWait::EngineBackOff),
        Some(Exclusion::AtLimit) => (4, ItemWait::Slot),
        None => (5, ItemWait::Admission),
    });
    let closest = closest.max_by_key(|(rank, _)| *rank);
    closest.map_or(ItemWait::Engine, |(_, wait)| wait)
}
